"""Drops targets that a restarted replica recovered but nobody has renewed.

A target may have left while the replica was down, so long ago that the others
no longer keep a tombstone of it. Its record must not come back with the
replica. A target that still lives renews its lease within a few announcements,
here or through another replica.
"""

from collections.abc import Iterable

from bluebelltide import _types
from bluebelltide.membership import _directory

CONFIRMATION_LEASE_SHARE = 0.25
"""Fraction of a target's lease within which a recovered target must renew
it."""


class RecoveredTargets:
    """The targets of the previous run that are not confirmed yet."""

    def __init__(self, records: Iterable[_directory.TargetRecord]) -> None:
        """Creates the set.

        Args:
            records: The records that were recovered.
        """
        self._unconfirmed: dict[_types.TargetId, _types.Target] = {
            record.target.target_id: record.target
            for record in records
            if not record.has_left
        }

    def take_unconfirmed(
        self,
        directory: _directory.TargetDirectory,
        lease_ms: int,
        listened_ms: int,
    ) -> list[_types.TargetId]:
        """Returns the targets to mark as left, once.

        Args:
            directory: The present records.
            lease_ms: How long a target may be silent.
            listened_ms: How long this replica has heard from a quorum.

        Returns:
            The targets that have not renewed their lease since the restart, or
            none before they had time to do so.
        """
        if listened_ms <= CONFIRMATION_LEASE_SHARE * lease_ms:
            return []
        unconfirmed = self._unconfirmed
        self._unconfirmed = {}
        return [
            target_id
            for target_id, recovered in unconfirmed.items()
            if (record := directory.get(target_id)) is not None
            and not record.has_left
            and record.target.generation == recovered.generation
            and directory.heard_sequence(target_id) == recovered.sequence
        ]
