"""Admission: decides which requests run, at which target and when."""

from bluebelltide.admission._admission import Action
from bluebelltide.admission._admission import Admission
from bluebelltide.admission._admission import Dispatch
from bluebelltide.admission._admission import Refuse
from bluebelltide.admission._admission import Retry
from bluebelltide.admission._admission import create_admission
from bluebelltide.admission._limits import Share

__all__ = [
    "Action",
    "Admission",
    "Dispatch",
    "Refuse",
    "Retry",
    "Share",
    "create_admission",
]
