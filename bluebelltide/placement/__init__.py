"""Placement: which target gets a new flow, decided from what is seen.

Everything here is pure: times and random numbers are passed in.
"""

from bluebelltide.placement._choice import Candidate
from bluebelltide.placement._choice import choose_target
from bluebelltide.placement._held_packets import HeldPacket
from bluebelltide.placement._held_packets import HeldPacketQueue
from bluebelltide.placement._observations import FlowKey
from bluebelltide.placement._observations import Observations
from bluebelltide.placement._placer import TRANSMISSION_TIMES_MS
from bluebelltide.placement._placer import LatencyBudget
from bluebelltide.placement._placer import Placement
from bluebelltide.placement._placer import PlacementOutcome
from bluebelltide.placement._placer import Placer
from bluebelltide.placement._placer import create_placer

__all__ = [
    "Candidate",
    "FlowKey",
    "HeldPacket",
    "HeldPacketQueue",
    "Observations",
    "PlacementOutcome",
    "LatencyBudget",
    "Placement",
    "Placer",
    "TRANSMISSION_TIMES_MS",
    "choose_target",
    "create_placer",
]
