"""Datagrams that spread what changes: polls, their answers, load reports.

They replace streams between the processes of a deployment whose connections
may fall silent: each datagram stands for itself, a lost one is made up for by
the next poll, and there is nothing to reconnect.
"""

import struct
from typing import NamedTuple

from bluebelltide import _codec
from bluebelltide import _exceptions
from bluebelltide.membership import _directory

MAXIMUM_DATAGRAM_BYTES = 60_000
"""Upper bound of a datagram that is decoded."""
RECORDS_PER_UPDATE = 16
"""How many records one answer carries, so that it fits in one packet."""
_RENEWAL = struct.Struct(">II")
"""A target's token and the newest sequence that was heard."""


class Replica(NamedTuple):
    """A control replica, as the others know it."""

    identity: str
    """Names the replica's data; starts with the host and a tilde."""
    data_centre: str
    """The data centre that it is in."""

    @property
    def host(self) -> str:
        """The address of the replica's machine."""
        return self.identity.partition("~")[0]


class Poll(NamedTuple):
    """Asks a control replica for what changed."""

    sender: str
    """The address that answers go to."""
    data_centre: str
    """The data centre of the sender."""
    replica: Replica | None
    """The sender, if it is a control replica itself."""
    run_id: int
    """The run of the receiver that `known_index` belongs to; 0 if unknown."""
    known_index: int
    """The last change that the sender knows."""
    renewals: bytes = b""
    """What the sender heard of live targets, packed."""


class Update(NamedTuple):
    """Answers a poll, or tells of a change at once."""

    replica: Replica
    """The replica that tells."""
    run_id: int
    """Names the run of its process, to which the indexes belong."""
    first_index: int
    """The index from which the records follow without a gap."""
    last_index: int
    """The index that the receiver knows after this update."""
    has_more: bool
    """Whether the receiver should poll again at once."""
    has_complete_view: bool
    """Whether the replica has had time to hear of every live target."""
    deployment_version: int
    """The newest committed version of the deployment."""
    voters_version: int
    """The version of the committed voter set; 0 if none is known."""
    replicas: tuple[Replica, ...]
    """The control replicas that were heard of lately."""
    local_entry_hosts: tuple[str, ...]
    """Other entry instances in the data centre of the receiver."""
    remote_entry_hosts: tuple[str, ...]
    """Other entry instances elsewhere."""
    records: tuple[_directory.TargetRecord, ...]
    """What changed since the poll's index."""
    unconfirmed_version: int = 0
    """The deployment that entry instances may fetch. After a restart it may
    be newer than the committed one that is known, or out of date."""


class LoadReport(NamedTuple):
    """What one entry instance sees of targets, for its peers."""

    sender: str
    """The address of the instance."""
    open_flows: dict[int, int]
    """Open flows by token."""
    ejected_tokens: tuple[int, ...]
    """Tokens of targets that were set aside."""


Message = Poll | Update | LoadReport

_TYPES: tuple[type[Message], ...] = (Poll, Update, LoadReport)


def encode_datagram(message: Message) -> bytes:
    """Encodes a datagram."""
    kind = _TYPES.index(type(message))
    return _codec.encode([kind, _codec.to_plain(message)])


def decode_datagram(data: bytes, place: str) -> Message:
    """Decodes a datagram.

    Args:
        data: The datagram.
        place: Who sent it, for the error.

    Returns:
        The message.

    Raises:
        BluebelltideError: With BAD_FRAME if it is malformed.
    """
    plain = _codec.decode(data[:MAXIMUM_DATAGRAM_BYTES], place)
    if (
        not isinstance(plain, list)
        or len(plain) != 2
        or not isinstance(plain[0], int)
        or not 0 <= plain[0] < len(_TYPES)
    ):
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.BAD_FRAME, "expected [kind, message]", place
        )
    return _codec.from_plain(plain[1], _TYPES[plain[0]], place)


def pack_renewals(renewals: dict[int, int]) -> bytes:
    """Packs the newest sequences of targets, by token."""
    return b"".join(
        _RENEWAL.pack(token, sequence & 0xFFFFFFFF)
        for token, sequence in renewals.items()
    )


def unpack_renewals(data: bytes) -> dict[int, int]:
    """Unpacks what `pack_renewals` made; a torn end is left out."""
    whole = len(data) - len(data) % _RENEWAL.size
    return dict(_RENEWAL.iter_unpack(data[:whole]))
