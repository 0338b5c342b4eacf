"""A replicated directory of targets whose records merge in any order.

Every control replica accepts announcements, even while it is partitioned, and
replicas and entry instances exchange changed records. The record with the
highest `(generation, sequence)` of a target wins, so repetition, reordering
and delay are harmless. That holds only as long as a sequence always comes with
what the target said under it: a lease renewal, which names a sequence without
the rest, never changes a record. The record of a target that left is kept for a
while as a tombstone. An address belongs to the incarnation that started last
among those of services that the deployment names.

Anybody may write an entry under the id of a target. One of a service that the
deployment does not name cannot be used, so it replaces no live record of a
service that it names. One start has one service, so among two entries of the
same start the one that can be used counts, whatever their sequences.
"""

import bisect
from collections.abc import Callable, Container, Iterable
import itertools
from typing import NamedTuple

import xxhash

from bluebelltide import _types

TOMBSTONE_MS = 90_000
"""How long the record of a target that left is kept; longer than any flow
lives."""
MAXIMUM_TARGETS = 20_000
"""Maximum number of records, tombstones included; announcements of further
targets are ignored."""


SPARE_INDEXES = 64
"""How many indexes of replaced changes may collect at least before the list of
indexes is rebuilt."""


class TargetRecord(NamedTuple):
    """The state of one target."""

    target: _types.Target
    """The newest announcement."""
    has_left: bool = False
    """Whether the target deregistered or its lease expired."""


class Change(NamedTuple):
    """A record with the index of its latest change."""

    change_index: int
    """Counts the changes of one directory."""
    record: TargetRecord
    """The changed record."""


def _recency(record: TargetRecord) -> tuple[int, int, bool]:
    target = record.target
    return target.generation, target.sequence, record.has_left


def _is_usable(
    record: TargetRecord, services: Container[_types.ServiceName]
) -> bool:
    return record.target.service in services and not record.has_left


def _replaces(
    record: TargetRecord,
    known: TargetRecord,
    services: Container[_types.ServiceName] | None,
) -> bool:
    """Returns whether a record takes the place of the known one."""
    target = record.target
    if services is not None and target.service != known.target.service:
        is_named = target.service in services
        was_named = known.target.service in services
        if _is_usable(known, services) and not is_named:
            return False
        is_same_start = target.generation == known.target.generation
        if is_same_start and is_named and not was_named:
            return True
    return _recency(record) > _recency(known)


def is_material_change(
    before: TargetRecord | None, after: TargetRecord
) -> bool:
    """Returns whether other processes need the new record at once.

    A change of only the sequence or the load is not material.
    """
    if before is None or before.has_left != after.has_left:
        return True
    old, new = before.target, after.target
    return (
        old.generation != new.generation
        or old.state != new.state
        or old.address != new.address
        or old.service != new.service
        or old.slots != new.slots
        or (old.cold_remaining_ms > 0) != (new.cold_remaining_ms > 0)
    )


def _hash_record(record: TargetRecord) -> int:
    """Hashes what other processes need of a record; 0 if it has left."""
    if record.has_left:
        return 0
    target = record.target
    content = (
        f"{target.target_id}|{target.generation}|{target.state}|"
        f"{target.address}|{target.service}|{target.slots}|"
        f"{target.cold_remaining_ms > 0}"
    )
    return xxhash.xxh64_intdigest(content.encode())


def _ignore(target_id: _types.TargetId) -> None:
    """Does nothing."""


def _take_until(
    times_ms: dict[_types.TargetId, int], before_ms: int
) -> list[_types.TargetId]:
    """Returns the targets before a time, of a dictionary in order of time."""
    return list(
        itertools.takewhile(
            lambda target_id: times_ms[target_id] < before_ms, times_ms
        )
    )


class TargetDirectory:
    """The records of all targets that one process knows.

    Attributes:
        last_index: The index of the last change.
        digest: A hash of the targets that have not left, whatever the order
            of the changes; 0 if there are none.
        services: The services that the deployment names; None while no
            deployment is known, when any entry may be that of a target.
    """

    def __init__(self) -> None:
        """Creates an empty directory."""
        self.last_index = 0
        self.digest = 0
        self.services: Container[_types.ServiceName] | None = None
        self._note_record: Callable[[_types.TargetId], None] = _ignore
        self._hashes: dict[_types.TargetId, int] = {}
        self._records: dict[_types.TargetId, TargetRecord] = {}
        self._change_indexes: dict[_types.TargetId, int] = {}
        # The same changes by index.
        self._changes: dict[int, _types.TargetId] = {}
        # Their indexes in ascending order. Indexes of replaced changes stay in
        # the list until it is rebuilt.
        self._indexes: list[int] = []
        # The newest sequence heard of, and when. The record itself may be
        # older, as renewals do not repeat what the target said.
        self._heard_sequences: dict[_types.TargetId, int] = {}
        # Both in order of time, so that what is old is found without a walk
        # over the others.
        self._live_heard_ms: dict[_types.TargetId, int] = {}
        self._left_heard_ms: dict[_types.TargetId, int] = {}
        self._latest_heard_ms = 0

    def watch(self, note_record: Callable[[_types.TargetId], None]) -> None:
        """Sets what is called whenever a record is stored or removed.

        Args:
            note_record: Receives the target, for an index that is kept up to
                date without a walk over all records.
        """
        self._note_record = note_record

    def get(self, target_id: _types.TargetId) -> TargetRecord | None:
        """Returns the record of a target, or None if it is unknown."""
        return self._records.get(target_id)

    def heard_sequence(self, target_id: _types.TargetId) -> int:
        """Returns the newest sequence heard of a target's incarnation."""
        return self._heard_sequences.get(target_id, 0)

    def heard_ms(self, target_id: _types.TargetId) -> int:
        """Returns when a known target was last heard of."""
        known = self._records[target_id]
        return self._heard_times(known.has_left)[target_id]

    def merge(self, record: TargetRecord, now_ms: int) -> bool:
        """Stores a record if it takes the place of the known one.

        Args:
            record: The record, from the target or from a replica.
            now_ms: The current time.

        Returns:
            Whether the change must be sent to other processes.
        """
        target_id = record.target.target_id
        known = self._records.get(target_id)
        if known is not None and not _replaces(record, known, self.services):
            return False
        if known is None and len(self._records) >= MAXIMUM_TARGETS:
            return False
        self._records[target_id] = record
        self._hear(known, record, now_ms)
        self._note_record(target_id)
        if not is_material_change(known, record):
            return False
        self._set_hash(target_id, _hash_record(record))
        self._mark_as_changed(target_id)
        return True

    def is_kept_out(self, target: _types.Target) -> bool:
        """Returns whether the known record can be used and this entry cannot.

        Args:
            target: A target of which an entry has arrived.
        """
        known = self._records.get(target.target_id)
        if known is None or self.services is None:
            return False
        return target.service not in self.services and _is_usable(
            known, self.services
        )

    def resend_if_newer(self, record: TargetRecord) -> bool:
        """Marks the known record as changed if a sender lacks it.

        The sender may have renewed the lease since, or have taken the target
        for lost, and learns what the target said from this directory only.

        Args:
            record: The record that the sender sent.

        Returns:
            Whether the known record must be sent to other processes.
        """
        target_id = record.target.target_id
        known = self._records.get(target_id)
        if known is None or _recency(known) <= _recency(record):
            return False
        if not is_material_change(record, known):
            return False
        self._mark_as_changed(target_id)
        return True

    def _hear(
        self, known: TargetRecord | None, record: TargetRecord, now_ms: int
    ) -> None:
        """Records when a sequence was first heard of."""
        target = record.target
        # A start has one service, so another one comes from another writer,
        # whose sequences say nothing of the target.
        is_same_start = (
            known is not None
            and known.target.generation == target.generation
            and known.target.service == target.service
        )
        heard = self._heard_sequences.get(target.target_id, 0)
        if is_same_start and target.sequence < heard:
            assert known is not None
            if known.has_left != record.has_left:
                before = self._heard_times(known.has_left)
                heard_ms = before.pop(target.target_id)
                self._set_heard_ms(record, heard_ms)
            return
        self._heard_sequences[target.target_id] = target.sequence
        if known is not None:
            del self._heard_times(known.has_left)[target.target_id]
        self._set_heard_ms(record, now_ms)

    def _heard_times(self, has_left: bool) -> dict[_types.TargetId, int]:
        return self._left_heard_ms if has_left else self._live_heard_ms

    def _set_heard_ms(self, record: TargetRecord, heard_ms: int) -> None:
        """Stores when a target without such a time was last heard of."""
        times = self._heard_times(record.has_left)
        times[record.target.target_id] = heard_ms
        if heard_ms >= self._latest_heard_ms:
            self._latest_heard_ms = heard_ms
        else:
            # Rare: a record that is newer than the known one, but older than
            # what renewals told of.
            ordered = sorted(times.items(), key=lambda item: item[1])
            times.clear()
            times.update(ordered)

    def _mark_as_changed(self, target_id: _types.TargetId) -> None:
        self._forget_change(target_id)
        self.last_index += 1
        self._change_indexes[target_id] = self.last_index
        self._changes[self.last_index] = target_id
        self._indexes.append(self.last_index)
        if len(self._indexes) > 2 * len(self._changes) + SPARE_INDEXES:
            self._indexes = sorted(self._changes)

    def _set_hash(self, target_id: _types.TargetId, value: int) -> None:
        self.digest ^= self._hashes.pop(target_id, 0) ^ value
        if value:
            self._hashes[target_id] = value

    def renew(
        self, target_id: _types.TargetId, sequence: int, now_ms: int
    ) -> None:
        """Renews a target's lease after an announcement to another replica.

        What the target said under that sequence is not known here, so the
        record stays as it is.

        Args:
            target_id: The target.
            sequence: The newest sequence that another replica received.
            now_ms: The current time.
        """
        heard = self._heard_sequences.get(target_id)
        if heard is None or sequence <= heard:
            return
        self._heard_sequences[target_id] = sequence
        record = self._records[target_id]
        # Reinserting keeps the times in order.
        del self._heard_times(record.has_left)[target_id]
        self._set_heard_ms(record, now_ms)

    def mark_as_left(self, target_id: _types.TargetId, now_ms: int) -> bool:
        """Marks a target as left.

        Args:
            target_id: The target.
            now_ms: The current time.

        Returns:
            Whether the change must be sent to other processes.
        """
        known = self._records.get(target_id)
        if known is None or known.has_left:
            return False
        # No announcement that was heard of may bring the target back.
        sequence = max(known.target.sequence, self._heard_sequences[target_id])
        target = known.target._replace(sequence=sequence)
        return self.merge(TargetRecord(target, has_left=True), now_ms)

    def purge_tombstones(self, now_ms: int) -> None:
        """Removes the records of targets that left long ago."""
        for target_id in _take_until(
            self._left_heard_ms, now_ms - TOMBSTONE_MS
        ):
            self._remove(target_id)

    def expire_leases(
        self, lease_ms: int, now_ms: int, listening_since_ms: int
    ) -> list[_types.TargetId]:
        """Marks targets as left if their lease has expired.

        Args:
            lease_ms: How long a target may go without an announcement.
            now_ms: The current time.
            listening_since_ms: Since when this process has been able to
                receive announcements; earlier silence does not count.

        Returns:
            The targets whose lease expired since the last call.
        """
        if now_ms - listening_since_ms <= lease_ms:
            return []
        expired = _take_until(self._live_heard_ms, now_ms - lease_ms)
        for target_id in expired:
            self.mark_as_left(target_id, now_ms)
        return expired

    def _remove(self, target_id: _types.TargetId) -> None:
        del self._records[target_id]
        del self._left_heard_ms[target_id]
        del self._heard_sequences[target_id]
        self._forget_change(target_id)
        self._note_record(target_id)

    def _forget_change(self, target_id: _types.TargetId) -> None:
        change_index = self._change_indexes.pop(target_id, None)
        if change_index is not None:
            del self._changes[change_index]

    def changes_since(
        self,
        since_index: int,
        limit: int = MAXIMUM_TARGETS,
        only_left: bool = False,
    ) -> list[Change]:
        """Returns the changes after a change index, oldest first.

        The work depends on the number of these changes only, and without
        `only_left` on the limit.

        Args:
            since_index: The change index.
            limit: Upper bound of the number of changes.
            only_left: Whether to return tombstones only.
        """
        changed: list[Change] = []
        start = bisect.bisect_right(self._indexes, since_index)
        for position in range(start, len(self._indexes)):
            change_index = self._indexes[position]
            target_id = self._changes.get(change_index)
            if target_id is None:
                continue
            record = self._records[target_id]
            if record.has_left or not only_left:
                changed.append(Change(change_index, record))
                if len(changed) >= limit:
                    break
        return changed

    @property
    def record_count(self) -> int:
        """How many records there are, tombstones included."""
        return len(self._records)

    def records(self) -> list[TargetRecord]:
        """Returns all records, tombstones included."""
        return list(self._records.values())

    def incarnations(self) -> Iterable[_types.Target]:
        """Returns the targets of all records, tombstones included."""
        return [record.target for record in self._records.values()]

    def live_targets(
        self, services: Container[_types.ServiceName] | None = None
    ) -> list[_types.Target]:
        """Returns the targets that have not left.

        If several records have the same address, only the target that started
        last may count: a delayed announcement of an earlier one must not
        return the address to it. A target of an unknown service cannot be
        used, so it takes the address of no other one.

        Args:
            services: The services that the deployment names; all if None.

        Returns:
            The targets of these services.
        """
        owners: dict[_types.Address, _types.Target] = {}
        for record in self._records.values():
            target = record.target
            if services is not None and target.service not in services:
                continue
            owner = owners.get(target.address)
            if owner is None or target.generation > owner.generation:
                owners[target.address] = target
        return [
            target
            for target in owners.values()
            if not self._records[target.target_id].has_left
        ]
