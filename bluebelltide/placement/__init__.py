"""Placement: chooses the target of each new flow from observed packets.

The code does no I/O; callers pass in the time and random numbers.
"""

from bluebelltide.placement._choice import Candidate
from bluebelltide.placement._choice import choose_target
from bluebelltide.placement._ejections import EjectionReport
from bluebelltide.placement._ejections import WatchOutcome
from bluebelltide.placement._held_packets import HeldPacket
from bluebelltide.placement._held_packets import HeldPacketQueue
from bluebelltide.placement._observations import Observations
from bluebelltide.placement._observed_flow import FlowKey
from bluebelltide.placement._peer_loads import PeerLoads
from bluebelltide.placement._placer import TRANSMISSION_TIMES_MS
from bluebelltide.placement._placer import LatencyBudget
from bluebelltide.placement._placer import Placement
from bluebelltide.placement._placer import PlacementOutcome
from bluebelltide.placement._placer import Placer
from bluebelltide.placement._placer import create_placer
from bluebelltide.placement._response_watch import ResponseWatch
from bluebelltide.placement._witness_reports import witness_number

__all__ = [
    "Candidate",
    "EjectionReport",
    "FlowKey",
    "HeldPacket",
    "HeldPacketQueue",
    "LatencyBudget",
    "Observations",
    "PeerLoads",
    "Placement",
    "PlacementOutcome",
    "Placer",
    "ResponseWatch",
    "TRANSMISSION_TIMES_MS",
    "WatchOutcome",
    "choose_target",
    "create_placer",
    "witness_number",
]
