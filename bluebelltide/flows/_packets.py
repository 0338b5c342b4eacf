"""Input and output of routing: packets, decisions and messages."""

from typing import NamedTuple

from bluebelltide import _codes
from bluebelltide import _types
from bluebelltide.flows import _messages


class Packet(NamedTuple):
    """The properties of a packet that routing depends on."""

    service: _types.ServiceName
    """The service that owns the caller's or the target's address."""
    flow_hash: int
    """The hash of the packet's flow."""
    is_opening: bool
    """Whether it is an opening packet."""
    from_target: _types.TargetId | None
    """The target that sent it, or None if the caller did."""
    via: _types.InstanceId | None = None
    """The instance that relayed it, or None if the fabric delivered it."""
    hops: int = 0
    """The number of times it has been relayed."""


class Deliver(NamedTuple):
    """Action: send the packet to its flow's target or to the caller."""

    target_id: _types.TargetId
    """The flow's target."""


class Relay(NamedTuple):
    """Action: relay the packet to another instance."""

    instance: _types.InstanceId
    """The receiver."""
    record: _messages.FlowRecord | None
    """The record that the receiver stores before it delivers the packet."""


class Drop(NamedTuple):
    """Action: drop the packet and rely on its sender's retransmission."""

    code: _codes.DropCode
    """The reason."""


class SendMessage(NamedTuple):
    """Action: send a message to another instance."""

    instance: _types.InstanceId
    """The receiver."""
    message: _messages.RouterMessage
    """The message."""


Decision = Deliver | Relay | Drop
