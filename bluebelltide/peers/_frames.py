"""Frames between peers: CBOR arrays that are decoded into typed messages."""

from typing import Any, NamedTuple

from bluebelltide import _codec
from bluebelltide import _exceptions
from bluebelltide import _types
from bluebelltide.catalogue import _register
from bluebelltide.catalogue import _view
from bluebelltide.flows import _messages
from bluebelltide.membership import _registry
from bluebelltide.membership import _swim
from bluebelltide.membership import _target_records

MAXIMUM_FRAME_BYTES = 256 * 1024
"""Upper bound of the size of a frame."""


class Hello(NamedTuple):
    """The first frame that each side of a link sends."""

    role: str
    """Either `control` or `entry`."""
    name: str
    """The process's name in its settings."""
    identity: str
    """The identity of a control replica, or the incarnation of an entry
    instance."""
    data_centre: str
    """The data centre of the process."""


class Learned(NamedTuple):
    """Sends committed catalogue entries."""

    entries: tuple[_view.VersionedEntry, ...]
    """The entries with their versions."""


class InForce(NamedTuple):
    """Reports which catalogue versions an entry instance applies."""

    name: str
    """The name of the instance."""
    versions: tuple[tuple[str, int], ...]
    """Key and version of each entry that changed since the last report."""


class ListKeys(NamedTuple):
    """Asks a replica for the keys that its acceptor holds."""

    request_id: str
    """Identifies the request; copied into the answer."""


class KeysListed(NamedTuple):
    """Answers ListKeys with the keys that an acceptor holds."""

    request_id: str
    """The id of the request that is answered."""
    keys: tuple[str, ...]
    """The keys."""


class TargetsAnnounced(NamedTuple):
    """Sends the announcements that changed since the sender's last frame."""

    targets: tuple[_types.Target, ...]
    """The announcements."""


class LeasesRenewed(NamedTuple):
    """Sends lease renewals of targets that are otherwise unchanged."""

    renewals: tuple[_registry.Renewal, ...]
    """The renewals."""


class StateSummary(NamedTuple):
    """Sends hashes of the sender's state, so that a receiver can compare.

    A receiver whose hashes differ answers with a StateDigest.
    """

    targets: int
    """Hash of the known targets and their generations."""
    catalogue: int
    """Hash of the versions of the catalogue entries."""


class StateDigest(NamedTuple):
    """Lists what the sender knows, so that a receiver can send the rest."""

    targets: tuple[_registry.Renewal, ...]
    """The newest known announcement of each target."""
    catalogue: tuple[tuple[str, int], ...]
    """Key and version of each catalogue entry."""


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
"""The message types, by the name under which they are sent."""


def encode_frame(message: Message) -> bytes:
    """Encodes a message as the CBOR array `[kind, fields]`."""
    kind = type(message).__name__
    return _codec.encode([kind, _codec.to_plain(message)])


def decode_frame(data: bytes | str) -> Message:
    """Decodes and validates a frame.

    Args:
        data: The received frame.

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
    if kind == TargetsAnnounced.__name__:
        return TargetsAnnounced(_read_targets(fields, kind))
    message: Message = _codec.from_plain(fields, MESSAGE_TYPES[kind], kind)
    return message


def _read_targets(fields: object, source: str) -> tuple[_types.Target, ...]:
    """Reads targets, each by itself: a bad one costs not the others."""
    if not isinstance(fields, list) or len(fields) != 1:
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.BAD_FRAME, "expected a list", source
        )
    plain_targets = _codec.from_plain(fields[0], list[object], source)
    return _target_records.read_targets(plain_targets, source)
