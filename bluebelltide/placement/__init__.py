"""Placement: which target gets a new flow, decided from what is seen.

Everything here is pure: times and random numbers are passed in.
"""

from bluebelltide.placement._choice import Candidate
from bluebelltide.placement._choice import choose_target
from bluebelltide.placement._held import HeldOpening
from bluebelltide.placement._held import HeldOpenings
from bluebelltide.placement._observations import FlowKey
from bluebelltide.placement._observations import Observations
from bluebelltide.placement._openings import WAITED_MS
from bluebelltide.placement._openings import OpeningOutcome
from bluebelltide.placement._openings import Patience
from bluebelltide.placement._openings import Placement
from bluebelltide.placement._openings import Placer
from bluebelltide.placement._openings import create_placer

__all__ = [
    "Candidate",
    "FlowKey",
    "HeldOpening",
    "HeldOpenings",
    "Observations",
    "OpeningOutcome",
    "Patience",
    "Placement",
    "Placer",
    "WAITED_MS",
    "choose_target",
    "create_placer",
]
