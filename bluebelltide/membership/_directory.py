"""A replicated directory of targets that merges in any order.

Every control replica takes announcements, also while it is cut off, and
replicas and entry instances exchange what changed. The newest
`(generation, sequence)` of a target wins, so that repetition, reordering and
delay do no harm. A target that left stays as a tombstone for a while; an
address belongs to the incarnation that started last.
"""

from collections.abc import Iterable
from typing import NamedTuple

from bluebelltide import _types

TOMBSTONE_MS = 90_000
"""How long a target that left is remembered; longer than any flow lives."""
MAXIMUM_TARGETS = 20_000
"""Upper bound of remembered incarnations; more announcements are refused."""


class TargetRecord(NamedTuple):
    """What one replica knows of one target."""

    target: _types.Target
    """The newest announcement."""
    has_left: bool = False
    """Whether the target said goodbye or was silent for too long."""


class Change(NamedTuple):
    """A record together with the position of its latest change."""

    change_index: int
    """Grows with each change in one directory."""
    record: TargetRecord
    """The record."""


def _rank(record: TargetRecord) -> tuple[int, int, bool]:
    target = record.target
    return target.generation, target.sequence, record.has_left


def is_news(before: TargetRecord | None, after: TargetRecord) -> bool:
    """Returns whether more than the sequence and the load has changed."""
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


class TargetDirectory:
    """All targets that one process knows."""

    def __init__(self) -> None:
        """Creates an empty directory."""
        self.last_index = 0
        self._records: dict[_types.TargetId, TargetRecord] = {}
        self._indexes: dict[_types.TargetId, int] = {}
        self._heard_ms: dict[_types.TargetId, int] = {}

    def get(self, target_id: _types.TargetId) -> TargetRecord | None:
        """Returns the record of a target, or None if it is unknown."""
        return self._records.get(target_id)

    def merge(self, record: TargetRecord, now_ms: int) -> bool:
        """Takes a record if it is newer than what is known.

        Args:
            record: The record, from the target or from a replica.
            now_ms: The present time.

        Returns:
            Whether other processes have to be told.
        """
        target_id = record.target.target_id
        known = self._records.get(target_id)
        if known is not None and _rank(record) <= _rank(known):
            return False
        if known is None and len(self._records) >= MAXIMUM_TARGETS:
            return False
        self._records[target_id] = record
        self._heard_ms[target_id] = now_ms
        if not is_news(known, record):
            return False
        self.last_index += 1
        self._indexes[target_id] = self.last_index
        return True

    def renew(
        self, target_id: _types.TargetId, sequence: int, now_ms: int
    ) -> None:
        """Notes that another replica heard a live target."""
        known = self._records.get(target_id)
        if known is None or sequence <= known.target.sequence:
            return
        target = known.target._replace(sequence=sequence)
        self.merge(TargetRecord(target), now_ms)

    def retire(self, target_id: _types.TargetId, now_ms: int) -> bool:
        """Marks a target as gone.

        Args:
            target_id: The target.
            now_ms: The present time.

        Returns:
            Whether other processes have to be told.
        """
        known = self._records.get(target_id)
        if known is None or known.has_left:
            return False
        return self.merge(known._replace(has_left=True), now_ms)

    def purge_tombstones(self, now_ms: int) -> None:
        """Forgets targets that left long ago."""
        for target_id, heard_ms in list(self._heard_ms.items()):
            has_left = self._records[target_id].has_left
            if has_left and now_ms - heard_ms > TOMBSTONE_MS:
                self._forget(target_id)

    def expire_leases(
        self, lease_ms: int, now_ms: int
    ) -> list[_types.TargetId]:
        """Retires targets that were silent for longer than their lease.

        Args:
            lease_ms: How long a target may be silent.
            now_ms: The present time.

        Returns:
            The targets whose lease ended now.
        """
        ended = []
        for target_id, heard_ms in list(self._heard_ms.items()):
            is_silent = now_ms - heard_ms > lease_ms
            if is_silent and self.retire(target_id, now_ms):
                ended.append(target_id)
        return ended

    def _forget(self, target_id: _types.TargetId) -> None:
        del self._records[target_id]
        del self._heard_ms[target_id]
        self._indexes.pop(target_id, None)

    def changes_since(self, index: int) -> list[Change]:
        """Returns the records that changed after an index, oldest first."""
        changed = [
            Change(position, self._records[target_id])
            for target_id, position in self._indexes.items()
            if position > index
        ]
        return sorted(changed, key=lambda change: change.change_index)

    def records(self) -> list[TargetRecord]:
        """Returns everything that is known."""
        return list(self._records.values())

    def incarnations(self) -> Iterable[_types.Target]:
        """Returns every remembered incarnation, also those that left."""
        return [record.target for record in self._records.values()]

    def live_targets(self) -> list[_types.Target]:
        """Returns the targets that have not left.

        An address that two records claim belongs to the later start: a
        delayed announcement must not bring back the earlier one.
        """
        owners: dict[_types.Address, _types.Target] = {}
        for record in self._records.values():
            target = record.target
            owner = owners.get(target.address)
            if owner is None or target.generation > owner.generation:
                owners[target.address] = target
        return [
            target
            for target in owners.values()
            if not self._records[target.target_id].has_left
        ]
