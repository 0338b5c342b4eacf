"""A randomized soak test of the real programs under injected faults.

The programs run as separate processes on loopback addresses. Stand-in
callers, targets and operators use them while a plan drawn from a seed pauses
and kills processes, cuts links and fills disks. A checker compares what the
stand-ins observe with the invariants of the system.
"""

from bluebelltide.soak._adapter import PlatformAdapter
from bluebelltide.soak._invariants import InvariantChecker
from bluebelltide.soak._plan import Fault
from bluebelltide.soak._plan import FaultKind
from bluebelltide.soak._plan import make_plan
from bluebelltide.soak._regressions import REGRESSION_SEEDS
from bluebelltide.soak._run import SoakOptions
from bluebelltide.soak._run import SoakReport
from bluebelltide.soak._run import run_soak

__all__ = [
    "Fault",
    "FaultKind",
    "InvariantChecker",
    "PlatformAdapter",
    "REGRESSION_SEEDS",
    "SoakOptions",
    "SoakReport",
    "make_plan",
    "run_soak",
]
