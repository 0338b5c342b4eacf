"""A randomized soak of the real programs, with faults from outside.

The programs run as separate processes on loopback. Stand-in callers, targets
and operators use them while a seeded plan pauses, kills, cuts and fills; a
ledger checks the promises from what these see.
"""

from bluebelltide.soak._ledger import Ledger
from bluebelltide.soak._plan import Fault
from bluebelltide.soak._plan import FaultKind
from bluebelltide.soak._plan import make_plan
from bluebelltide.soak._regressions import REGRESSION_SEEDS
from bluebelltide.soak._run import SoakOptions
from bluebelltide.soak._run import SoakReport
from bluebelltide.soak._run import run_soak
from bluebelltide.soak._wire import Wire

__all__ = [
    "Fault",
    "FaultKind",
    "Ledger",
    "REGRESSION_SEEDS",
    "SoakOptions",
    "SoakReport",
    "Wire",
    "make_plan",
    "run_soak",
]
