"""What routing sees of a packet, and what it decides."""

from typing import NamedTuple

from bluebelltide import _codes
from bluebelltide import _types
from bluebelltide.flows import _messages


class Packet(NamedTuple):
    """What routing needs to know of a packet."""

    service: _types.ServiceName
    """The service that owns the caller's or the target's address."""
    flow_hash: int
    """The flow."""
    is_opening: bool
    """Whether the packet opens the flow."""
    from_target: _types.TargetId | None
    """The target that sent it, or None if the caller did."""
    via: _types.InstanceId | None = None
    """The instance that relayed it here, or None if the fabric did."""
    hops: int = 0
    """How often it has been relayed."""


class Deliver(NamedTuple):
    """Action: hand the packet to a target, or to the caller."""

    target_id: _types.TargetId
    """The flow's target."""


class Relay(NamedTuple):
    """Action: hand the packet to another instance."""

    instance: _types.InstanceId
    """The instance."""
    record: _messages.FlowRecord | None
    """What the instance must record before it delivers the packet."""


class Drop(NamedTuple):
    """Action: drop the packet; its sender will send it again."""

    code: _codes.DropCode
    """Why."""


class SendMessage(NamedTuple):
    """Action: send a message to another instance."""

    instance: _types.InstanceId
    """The receiver."""
    message: _messages.RouterMessage
    """The message."""


Decision = Deliver | Relay | Drop
