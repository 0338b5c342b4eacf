"""Flow routing: every instance sends each packet to its flow's target."""

from bluebelltide.flows._engine import EngineInput
from bluebelltide.flows._engine import EngineMessage
from bluebelltide.flows._engine import RoutingEngine
from bluebelltide.flows._engine import SendMessage
from bluebelltide.flows._epoch import BucketKey
from bluebelltide.flows._epoch import Epoch
from bluebelltide.flows._epoch import TargetWeight
from bluebelltide.flows._hashing import BUCKETS
from bluebelltide.flows._hashing import FlowTuple
from bluebelltide.flows._hashing import hash_flow
from bluebelltide.flows._messages import FlowRecord
from bluebelltide.flows._packets import Decision
from bluebelltide.flows._packets import Deliver
from bluebelltide.flows._packets import Drop
from bluebelltide.flows._packets import Packet
from bluebelltide.flows._packets import Relay
from bluebelltide.flows._weights import EVEN_LOAD_INTERVAL_MS
from bluebelltide.flows._weights import even_load_weights

__all__ = [
    "BUCKETS",
    "BucketKey",
    "Decision",
    "Deliver",
    "Drop",
    "Epoch",
    "RoutingEngine",
    "FlowTuple",
    "EngineInput",
    "EngineMessage",
    "Packet",
    "FlowRecord",
    "Relay",
    "SendMessage",
    "TargetWeight",
    "EVEN_LOAD_INTERVAL_MS",
    "even_load_weights",
    "hash_flow",
]
