"""Polling of the control replicas for updates.

Entry instances poll the replicas, and replicas poll each other, by the same
rules. A poll carries the index of the last change that the sender knows, so
the answer holds only newer changes. All replicas are polled in turn: a replica
that is partitioned from the others must not be the only source of an instance
that can reach all of them.
"""

from collections.abc import Iterable
from typing import NamedTuple

from bluebelltide.messaging import _datagrams

REPLICA_RETENTION_MS = 20_000
"""How long a replica that is not a seed is polled after it was last listed in
an update or sent one. It counts only while other replicas are heard."""
MAXIMUM_GAP_MS = 2000
"""Time without any update after which this process counts as cut off."""
POLL_ROUND_MS = 2000
"""Time in which an entry instance polls each replica once."""
POLL_INTERVALS_MS = (200, 400)
"""Bounds of the time between two polls of an entry instance. A change that was
pushed but lost is known after the next poll."""
SOURCE_TIMEOUT_MS = 200
"""How long the replica from which a process takes many changes, an update at a
time, may be silent before another replica takes over."""


class _Cursor(NamedTuple):
    """The last change that this process received from one replica."""

    run_id: int = 0
    """The run of the replica that the index belongs to; 0 if unknown."""
    known_index: int = 0
    """The index of the last change."""


class _Contact(NamedTuple):
    """A replica's machine that is polled."""

    last_listed_ms: int
    """When an update last listed the replica."""
    last_received_ms: int
    """When the replica last sent an update."""


class ReplicaPoller:
    """Chooses the replica to poll and tracks what each one has sent."""

    def __init__(
        self,
        own_host: str,
        data_centre: str,
        replica: _datagrams.Replica | None,
    ) -> None:
        """Creates a poller without replicas.

        Args:
            own_host: The address of this machine, which is not polled.
            data_centre: The data centre of this process.
            replica: This process, if it is a replica itself.
        """
        self._own_host = own_host
        self._data_centre = data_centre
        self._own_replica = replica
        self._seeds: set[str] = set()
        self._contacts: dict[str, _Contact] = {}
        self._cursors: dict[str, _Cursor] = {}
        self._poll_count = 0
        # When the latest update arrived, and since when updates have arrived
        # without a gap.
        self._heard_ms = 0
        self._listening_since_ms = 0
        # All replicas hold the same changes, so a process that lacks many
        # takes them from one replica.
        self._source_host = ""
        self._source_until_ms = 0
        # Until when the answer to a poll that was sent at once is awaited.
        self._answer_until_ms = 0

    def set_seed_hosts(self, hosts: Iterable[str], now_ms: int) -> None:
        """Sets the replicas' machines that the settings list.

        Args:
            hosts: The addresses of the machines.
            now_ms: The current time.
        """
        self._seeds = set(hosts) - {self._own_host}
        for host in self._seeds:
            self._contacts.setdefault(
                host, _Contact(now_ms, -REPLICA_RETENTION_MS)
            )

    def hosts(self, now_ms: int) -> list[str]:
        """Removes replicas that have gone and returns the machines to poll.

        A process that was cut off or paused heard of nobody, so no replica is
        removed for its silence until the others have been heard again. The
        seeds alone may all be gone by then.
        """
        self._check_gap(now_ms)
        for host, contact in list(self._contacts.items()):
            silent_since_ms = max(
                contact.last_listed_ms,
                contact.last_received_ms,
                self._listening_since_ms,
            )
            if (
                host not in self._seeds
                and self._heard_ms - silent_since_ms > REPLICA_RETENTION_MS
            ):
                del self._contacts[host]
                self._cursors.pop(host, None)
        return sorted(self._contacts)

    def _check_gap(self, now_ms: int) -> None:
        """Counts silence anew if no update has arrived for a while."""
        if now_ms - self._heard_ms > MAXIMUM_GAP_MS:
            self._listening_since_ms = now_ms

    @property
    def interval_ms(self) -> int:
        """The time between two polls of one replica each.

        A replica gets the same number of polls from an instance, however many
        replicas there are.
        """
        shortest_ms, longest_ms = POLL_INTERVALS_MS
        round_share_ms = POLL_ROUND_MS // max(1, len(self._contacts))
        return max(shortest_ms, min(longest_ms, round_share_ms))

    def next_host(self, now_ms: int) -> str | None:
        """Returns the next machine in turn, or None if there is none."""
        hosts = self.hosts(now_ms)
        if not hosts:
            return None
        self._poll_count += 1
        return hosts[self._poll_count % len(hosts)]

    def make_poll(
        self,
        host: str,
        renewals: bytes = b"",
        peers_version: int = 0,
        digest: int = 0,
    ) -> _datagrams.Poll:
        """Returns the poll to send to a replica's machine.

        Args:
            host: The address of the machine.
            renewals: Lease renewals to send with the poll, packed.
            peers_version: The version of the peer list that is in use.
            digest: The digest of the targets that this process knows.

        Returns:
            The poll.
        """
        cursor = self._cursors.get(host, _Cursor())
        return _datagrams.Poll(
            self._own_host,
            self._data_centre,
            self._own_replica,
            cursor.run_id,
            cursor.known_index,
            renewals,
            peers_version,
            digest,
        )

    def receive(self, update: _datagrams.Update, now_ms: int) -> bool:
        """Handles an update, whether it answers a poll or was pushed.

        Args:
            update: The update; its records may be merged whatever this method
                returns.
            now_ms: The current time.

        Returns:
            Whether to poll the same replica again at once.
        """
        self._check_gap(now_ms)
        self._heard_ms = now_ms
        host = update.replica.host
        for replica in update.replicas:
            self._note_listed(replica.host, now_ms)
        self._note_listed(host, now_ms)
        if host not in self._contacts:
            return False
        contact = self._contacts[host]
        self._contacts[host] = contact._replace(last_received_ms=now_ms)
        if update.is_partial:
            return False
        known = self._cursors.get(host, _Cursor())
        has_more = self._advance_cursor(host, update)
        has_advanced = self._cursors[host] != known
        return self._may_poll_at_once(host, has_more, has_advanced, now_ms)

    def _may_poll_at_once(
        self, host: str, has_more: bool, has_advanced: bool, now_ms: int
    ) -> bool:
        """Returns whether to take further changes from a replica now.

        Only one such poll is on its way at a time. Pushed updates arrive in
        between; if each led to a poll, every one of them would start a chain
        of polls that asks for the same changes as the others.
        """
        is_source = host == self._source_host
        if not has_more:
            if is_source:
                self._source_until_ms = now_ms
            return False
        if not is_source and now_ms < self._source_until_ms:
            return False
        if is_source and not has_advanced and now_ms < self._answer_until_ms:
            return False
        self._source_host = host
        self._source_until_ms = now_ms + SOURCE_TIMEOUT_MS
        self._answer_until_ms = now_ms + SOURCE_TIMEOUT_MS
        return True

    def _note_listed(self, host: str, now_ms: int) -> None:
        if host == self._own_host:
            return
        contact = self._contacts.get(
            host, _Contact(now_ms, -REPLICA_RETENTION_MS)
        )
        self._contacts[host] = contact._replace(last_listed_ms=now_ms)

    def _advance_cursor(self, host: str, update: _datagrams.Update) -> bool:
        cursor = self._cursors.get(host, _Cursor())
        if cursor.run_id != update.run_id:
            # The replica was restarted; its indexes start from zero again.
            cursor = _Cursor(update.run_id, 0)
        if update.first_index <= cursor.known_index < update.last_index:
            cursor = cursor._replace(known_index=update.last_index)
        self._cursors[host] = cursor
        return update.has_more or update.first_index > cursor.known_index
