"""Datagrams that spread state: polls, updates, peer lists and load reports.

They are used in place of long-lived connections, which may stall without an
error. Each datagram is complete in itself, the next poll recovers what a lost
one carried, and there is nothing to reconnect.
"""

import functools
import struct
from typing import Annotated, NamedTuple

import msgspec

from bluebelltide import _codec
from bluebelltide import _exceptions
from bluebelltide import _types
from bluebelltide.catalogue import _evacuations
from bluebelltide.catalogue import _register
from bluebelltide.membership import _directory
from bluebelltide.membership import _target_records

MAXIMUM_DATAGRAM_BYTES = 60_000
"""Upper bound of the bytes of a datagram that are decoded."""
RECORDS_PER_UPDATE = 16
"""Upper bound of the records in an update, so that it fits in one packet."""
MAXIMUM_ENCODED_RECORDS = 5000
"""How many encoded records are kept for further updates."""
IDENTITY_PATTERN = rf"^{_types.IPV4_PATTERN}~[0-9a-f]{{1,32}}\Z"
"""The identity of a replica: the IPv4 address of its machine and a nonce."""
_RENEWAL = struct.Struct(">II")
"""A target's token and the newest sequence that was received from it."""


class Replica(NamedTuple):
    """A control replica, as other processes know it."""

    identity: Annotated[str, msgspec.Meta(pattern=IDENTITY_PATTERN)]
    """Identifies the replica's stored data; begins with its host and `~`."""
    data_centre: str
    """The replica's data centre."""

    @property
    def host(self) -> str:
        """The address of the machine that the replica runs on."""
        return self.identity.partition("~")[0]


class Poll(NamedTuple):
    """Asks a control replica for the changes that the sender does not know."""

    sender: _types.HostAddress
    """The address that the answer is sent to."""
    data_centre: str
    """The data centre of the sender."""
    replica: Replica | None
    """The sender, if it is a control replica itself."""
    run_id: int
    """The `Update.run_id` that `known_index` belongs to; 0 if unknown."""
    known_index: int
    """The index of the last change that the sender knows."""
    renewals: bytes = b""
    """Sequences that the sender received from live targets of late, packed by
    `pack_renewals`."""
    peers_version: int = 0
    """The `PeerList.version` that the sender uses; 0 if none."""
    digest: int = 0
    """The `TargetDirectory.digest` of the sender; 0 if none. A sender with the
    digest of the replica lacks no live target, whatever `known_index` says."""
    is_leaving: bool = False
    """Whether the sender is a control replica that is about to stop."""


class Update(NamedTuple):
    """Answers a poll, or pushes a change without one."""

    replica: Replica
    """The replica that sends the update."""
    run_id: int
    """Identifies the run of the replica's process; its indexes are valid for
    this run only."""
    first_index: int
    """The index after which the records hold every change up to `last_index`.
    A receiver that knows all changes up to this index misses none."""
    last_index: int
    """The index of the last change that the receiver then knows."""
    has_more: bool
    """Whether more changes are waiting, so that the receiver should poll again
    at once."""
    has_complete_view: bool
    """Whether the replica has run long enough to have received an announcement
    of every live target."""
    encoded_deployment_version: int
    """The newest version of the deployment that the replica knows to be
    committed, encoded by `encode_version`."""
    voters_version: int
    """The version of the committed voter set; 0 if none is known."""
    replicas: tuple[Replica, ...]
    """The control replicas that this one received a message from recently."""
    records: tuple[_directory.TargetRecord, ...]
    """The targets that changed since `first_index`."""
    encoded_unconfirmed_version: int = _register.NOTHING_STORED
    """The newest version of the deployment that entry instances may fetch,
    encoded by `encode_version`. After a restart the replica does not know
    whether it is committed, and it may be newer or older than the newest
    committed one."""
    is_partial: bool = False
    """Whether the records are urgent changes only. The receiver learns the
    others from another replica, so `last_index` says nothing."""
    evacuations: _evacuations.EvacuationSet = _evacuations.NO_EVACUATIONS
    """The newest set of evacuated data centres that the replica knows to be
    committed; version 0 if it knows none."""
    unconfirmed_evacuations: _evacuations.EvacuationSet | None = None
    """A newer set that the replica holds and that may not be committed, for
    instances that have heard of no committed one. Mostly None."""

    @property
    def deployment_version(self) -> int | None:
        """The newest committed version; None if the replica knows none."""
        return _register.decode_version(self.encoded_deployment_version)

    @property
    def unconfirmed_version(self) -> int | None:
        """The newest version to fetch; None if the replica holds none."""
        return _register.decode_version(self.encoded_unconfirmed_version)


class PeerList(NamedTuple):
    """Names the instances to which an entry instance reports its load.

    A control replica sends it with the answer to a poll whose sender uses
    another list.
    """

    version: int
    """A hash of the hosts and the rank, so that replicas with the same view of
    the instances send the same version."""
    local_hosts: tuple[_types.HostAddress, ...]
    """Entry instances in the data centre of the receiver."""
    remote_hosts: tuple[_types.HostAddress, ...]
    """Entry instances in other data centres."""
    instance_count: _types.Count
    """The number of entry instances in the deployment."""
    rank: _types.Count | None = None
    """The place of the receiver among the entry instances, in the order of a
    hash; None if unknown."""


class LoadReport(NamedTuple):
    """The state of the targets as one entry instance observes it.

    Entry instances send load reports to each other.
    """

    sender: _types.HostAddress
    """The address of the instance."""
    open_flows: dict[int, _types.SignedCount]
    """The number of open flows of each target, by token. It is negative while
    the sender offsets flows that another instance still counts."""
    ejected_tokens: tuple[int, ...]
    """The tokens of the ejected targets."""
    idle_flows: dict[int, _types.Count] = {}
    """The number of those open flows that wait for their next request, by
    token."""
    paces: dict[int, tuple[_types.Count, _types.Count]] = {}
    """The pace of each target whose pace changed recently, by token, as a pair:
    the number of setbacks and the level. See `placement._pace`."""


_RECORDS_INDEX = Update._fields.index("records")
"""The position of the records in a plain update."""

Message = Poll | Update | LoadReport | PeerList

_TYPES: tuple[type[Message], ...] = (Poll, Update, LoadReport, PeerList)
"""The message types; a datagram names its type by the index here."""


def encode_datagram(message: Message) -> bytes:
    """Encodes a message as a datagram."""
    type_index = _TYPES.index(type(message))
    if isinstance(message, Update):
        return _encode_update(type_index, message)
    return _codec.encode([type_index, _codec.to_plain(message)])


def _encode_update(type_index: int, update: Update) -> bytes:
    """Encodes an update of records that are encoded once for all updates.

    While targets start, each receiver lacks other changes, so that nearly each
    update differs, but all hold the same records.
    """
    fields = _codec.to_plain(update._replace(records=()))
    records = map(_encode_record, update.records)
    encoded_fields = (
        _codec.encode_items(fields[:_RECORDS_INDEX])
        + _codec.encode_list_head(len(update.records))
        + b"".join(records)
        + _codec.encode_items(fields[_RECORDS_INDEX + 1 :])
    )
    return (
        _codec.encode_list_head(2)
        + _codec.encode(type_index)
        + _codec.encode_list_head(len(fields))
        + encoded_fields
    )


@functools.lru_cache(MAXIMUM_ENCODED_RECORDS)
def _encode_record(record: _directory.TargetRecord) -> bytes:
    return _codec.encode(_codec.to_plain(record))


def decode_datagram(
    data: bytes,
    source: str,
    refuse: _target_records.RefusalHandler = _target_records.log_refusal,
) -> Message:
    """Decodes a datagram.

    Args:
        data: The datagram.
        source: The sender, for the error.
        refuse: Receives the error of each record of an update that is refused;
            the update then lacks it.

    Returns:
        The message.

    Raises:
        BluebelltideError: With BAD_FRAME if it is malformed.
    """
    plain = _codec.decode(data[:MAXIMUM_DATAGRAM_BYTES], source)
    if (
        not isinstance(plain, list)
        or len(plain) != 2
        or not isinstance(plain[0], int)
        or not 0 <= plain[0] < len(_TYPES)
    ):
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.BAD_FRAME, "expected [kind, message]", source
        )
    message_type = _TYPES[plain[0]]
    if message_type is Update:
        return _decode_update(plain[1], source, refuse)
    return _codec.from_plain(plain[1], message_type, source)


def _decode_update(
    plain: object, source: str, refuse: _target_records.RefusalHandler
) -> Update:
    """Decodes an update, whose records come from many writers."""
    if not isinstance(plain, list) or len(plain) <= _RECORDS_INDEX:
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.BAD_FRAME, "expected an update", source
        )
    raw_records = plain[_RECORDS_INDEX]
    plain[_RECORDS_INDEX] = ()
    update = _codec.from_plain(plain, Update, source)
    records = _target_records.read_records(raw_records, source, refuse)
    return update._replace(records=records)


def pack_renewals(renewals: dict[int, int]) -> bytes:
    """Packs the newest sequences of targets, which are given by token."""
    return b"".join(
        _RENEWAL.pack(token, sequence & 0xFFFFFFFF)
        for token, sequence in renewals.items()
    )


def unpack_renewals(data: bytes) -> dict[int, int]:
    """Unpacks what `pack_renewals` packed, without an incomplete last entry."""
    whole_bytes = len(data) - len(data) % _RENEWAL.size
    return dict(_RENEWAL.iter_unpack(data[:whole_bytes]))
