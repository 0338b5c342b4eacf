"""Frames between our processes: CBOR arrays decoded into typed messages."""

from typing import Any, NamedTuple

from bluebelltide import _codec
from bluebelltide import _exceptions
from bluebelltide import _types
from bluebelltide.catalogue import _register
from bluebelltide.catalogue import _view
from bluebelltide.flows import _messages
from bluebelltide.membership import _registry
from bluebelltide.membership import _swim

MAXIMUM_FRAME_BYTES = 256 * 1024
"""Upper bound of one frame."""


class Hello(NamedTuple):
    """The first frame of each side of a link."""

    role: str
    """Either `control` or `entry`."""
    name: str
    """The process's name in its settings."""
    identity: str
    """A replica's identity; for an entry instance its incarnation."""
    data_centre: str
    """The data centre of the process."""


class Learned(NamedTuple):
    """Committed entries."""

    entries: tuple[_view.VersionedEntry, ...]
    """The entries."""


class InForce(NamedTuple):
    """An instance reports the versions that it applies."""

    name: str
    """The instance."""
    versions: tuple[tuple[str, int], ...]
    """Key and version of each entry that changed since the last report."""


class ListKeys(NamedTuple):
    """Asks a replica for the keys that its acceptor holds."""

    request_id: str
    """Copied into the answer."""


class KeysListed(NamedTuple):
    """The keys that an acceptor holds."""

    request_id: str
    """The id of the request."""
    keys: tuple[str, ...]
    """The keys."""


class TargetsAnnounced(NamedTuple):
    """Announcements that changed since the sender's last frame."""

    targets: tuple[_types.Target, ...]
    """The announcements."""


class LeasesRenewed(NamedTuple):
    """Announcements that only renewed their leases."""

    renewals: tuple[_registry.Renewal, ...]
    """The renewals."""


class StateSummary(NamedTuple):
    """Digests of what a sender knows; a receiver that differs answers."""

    targets: int
    """Digest of the known targets and their generations."""
    catalogue: int
    """Digest of the entries' versions."""


class StateDigest(NamedTuple):
    """What a sender knows, so that a receiver can send what it lacks."""

    targets: tuple[_registry.Renewal, ...]
    """The newest announcement known of each target."""
    catalogue: tuple[tuple[str, int], ...]
    """Key and version of each entry."""


Message = (
    Hello
    | Learned
    | InForce
    | ListKeys
    | KeysListed
    | TargetsAnnounced
    | LeasesRenewed
    | StateDigest
    | StateSummary
    | _swim.Ping
    | _swim.Ack
    | _swim.PingRequest
    | _messages.EpochDecided
    | _messages.EpochPrepared
    | _messages.StateRequest
    | _messages.StateTransfer
    | _messages.Mirror
    | _messages.MirrorHeld
    | _messages.Directions
    | _messages.ForgetFlow
    | _messages.FlowForgotten
    | _messages.Heartbeat
    | _messages.LeaseGranted
    | _register.Prepare
    | _register.Accept
    | _register.Promise
    | _register.Accepted
    | _register.Rejected
)

MESSAGE_TYPES: dict[str, type[Any]] = {
    kind.__name__: kind for kind in Message.__args__
}


def encode_frame(message: Message) -> bytes:
    """Encodes a message as the CBOR array `[kind, fields]`."""
    kind = type(message).__name__
    return _codec.encode([kind, _codec.to_plain(message)])


def decode_frame(data: bytes | str) -> Message:
    """Decodes and checks a frame.

    Args:
        data: What arrived on the link.

    Returns:
        The message.

    Raises:
        BluebelltideError: With BAD_FRAME if it is not a valid message.
    """
    plain = _codec.decode(data, "frame") if isinstance(data, bytes) else None
    if not (
        isinstance(plain, list)
        and len(plain) == 2
        and isinstance(plain[0], str)
        and plain[0] in MESSAGE_TYPES
    ):
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.BAD_FRAME, "expected [kind, fields]", "frame"
        )
    kind, fields = plain
    message: Message = _codec.from_plain(fields, MESSAGE_TYPES[kind], kind)
    return message
