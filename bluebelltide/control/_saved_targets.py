"""The targets that a replica saves, so that it knows them after a restart.

The targets and the instances that polled are saved whenever they change. A
restart recovers them, so that the replica has a complete view before all
targets have announced themselves again.
"""

import pathlib

import anyio.to_thread

from bluebelltide import _exceptions
from bluebelltide._events import events
from bluebelltide.control import _recovered_targets
from bluebelltide.membership import _directory
from bluebelltide.membership import _target_file
from bluebelltide.membership import _target_records


class SavedTargets:
    """Saves and recovers the targets of one replica.

    Attributes:
        recovered_count: How many targets the previous run had saved.
        recovered: Those of them that have not renewed their lease since.
        previous_entry_hosts: The addresses of the instances that polled the
            previous run.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        directory: _directory.TargetDirectory,
        refuse: _target_records.RefusalHandler = _target_records.log_refusal,
    ) -> None:
        """Creates the state; `recover` reads the file.

        Args:
            folder: The data folder.
            directory: The targets that the replica knows.
            refuse: Receives the error of each saved entry that is refused.
        """
        self.recovered_count = 0
        self.recovered = _recovered_targets.RecoveredTargets(())
        self.previous_entry_hosts: tuple[str, ...] = ()
        self._folder = folder
        self._directory = directory
        self._refuse = refuse
        self._last_saved: tuple[int, tuple[str, ...]] = (0, ())

    def recover(self, now_ms: int) -> None:
        """Loads the targets of the previous run, most of which still live."""
        try:
            saved = _target_file.read_targets(self._folder, self._refuse)
        except _exceptions.BluebelltideError as error:
            events.write("targets_not_recovered", error=str(error))
            return
        for record in saved.records:
            self._directory.merge(record, now_ms)
        self.recovered_count = len(saved.records)
        self.recovered = _recovered_targets.RecoveredTargets(saved.records)
        self.previous_entry_hosts = saved.entry_hosts
        self._last_saved = (self._directory.last_index, saved.entry_hosts)
        events.write(
            "targets_recovered",
            records=len(saved.records),
            instances=len(saved.entry_hosts),
        )

    async def save_if_changed(self, entry_hosts: tuple[str, ...]) -> None:
        """Saves the targets, unless the file is up to date.

        Args:
            entry_hosts: The addresses of the instances that poll.
        """
        state_to_save = (self._directory.last_index, entry_hosts)
        if state_to_save == self._last_saved:
            return
        membership = _target_file.SavedMembership(
            tuple(self._directory.records()), entry_hosts
        )
        try:
            await anyio.to_thread.run_sync(
                _target_file.write_targets, self._folder, membership
            )
        except OSError as error:
            # A restart would recover targets that have left since the last
            # success, so the next check tries again.
            events.write("targets_not_stored", error=str(error))
            return
        self._last_saved = state_to_save
