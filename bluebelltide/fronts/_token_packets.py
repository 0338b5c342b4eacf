"""Packets that carry a target's token, as the packet front sees them.

The layout of a packet depends on the fabric. A codec of plain functions hides
it from the front.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from bluebelltide import _types


class PacketKind(StrEnum):
    """What a caller's packet does to its flow."""

    OPENING = "opening"
    """An opening packet or a retransmission of it."""
    DATA = "data"
    """A packet that carries data of an open flow."""
    ACKNOWLEDGEMENT = "acknowledgement"
    """A packet without data, by which the caller acknowledges some."""
    ENDING = "ending"
    """A packet that closes the caller's side of the flow or the whole flow."""


class TokenPacket(NamedTuple):
    """The parts of a caller's packet that decide where it goes."""

    kind: PacketKind
    """What the packet does to its flow."""
    token: int
    """The token that the caller echoes; 0 before it has received one."""
    flow_key: bytes
    """The addresses and ports of both ends of the flow."""
    retransmissions: int
    """How often the caller sent the opening packet before this one."""
    host: str
    """The destination address."""
    port: int
    """The destination port."""
    request_id: str = ""
    """The id of the request that begins in this packet, or empty if the packet
    shows none."""


class PacketCodec(NamedTuple):
    """The fabric's packet layout, as functions."""

    parse: Callable[[bytes], TokenPacket | None]
    """Parses a datagram of the fabric; returns None if it is malformed."""
    format_flow: Callable[[bytes], str]
    """Returns both ends of a packet's flow as readable text."""
    make_target_label: Callable[[_types.Target], bytes]
    """Returns the label that names a target and precedes its packets."""
    wrap_for_target: Callable[[bytes, int, bytes], bytes]
    """Returns the datagram to a target, given a packet, a token and a label."""
    make_reset: Callable[[bytes], tuple[bytes, tuple[str, int]]]
    """Returns a reset for an opening packet and the address to send it to."""
