"""What a control replica tells other processes, and when.

Pure: it keeps who polls and what they know, and makes the updates.
"""

from collections.abc import Iterable
from typing import NamedTuple

from bluebelltide.control import _voter_replacement
from bluebelltide.membership import _directory
from bluebelltide.news import _messages

POLLER_TIMEOUT_MS = 3000
"""How long after its latest poll a process is told of changes at once."""
PEERS_PER_ENTRY = 16
"""How many other entry instances an entry instance is told of."""


class _Poller(NamedTuple):
    latest_poll: _messages.Poll
    last_seen_ms: int


class ReplicaStatus(NamedTuple):
    """What a replica knows besides the targets."""

    deployment_version: int
    """The newest committed version of the deployment."""
    voters_version: int
    """The version of the committed voter set; 0 if none is known."""
    has_complete_view: bool
    """Whether every live target had time to announce itself."""
    unconfirmed_version: int = 0
    """The version of the deployment that entry instances may fetch."""


class OutgoingUpdate(NamedTuple):
    """An update and who gets it."""

    host: str
    """The receiver's machine."""
    update: _messages.Update
    """The update."""


class UpdatePublisher:
    """Keeps the followers of one replica.

    Attributes:
        heard: The other replicas, by identity.
    """

    def __init__(
        self,
        own: _messages.Replica,
        run_id: int,
        directory: _directory.TargetDirectory,
    ) -> None:
        """Creates the desk of one run of a replica's process."""
        self.seen_replicas: dict[str, _voter_replacement.SeenReplica] = {}
        self._own_replica = own
        self._run_id = run_id
        self._directory = directory
        self._pollers: dict[str, _Poller] = {}

    def record_poll(self, poll: _messages.Poll, now_ms: int) -> None:
        """Notes who polls and what it knows."""
        self._pollers[poll.sender] = _Poller(poll, now_ms)
        if poll.replica is not None:
            self.record_replica(poll.replica, now_ms)

    def record_replica(self, replica: _messages.Replica, now_ms: int) -> None:
        """Notes that a replica was heard."""
        if replica.identity != self._own_replica.identity:
            heard = _voter_replacement.SeenReplica(replica, now_ms)
            self.seen_replicas[replica.identity] = heard

    def answer_poll(
        self,
        poll: _messages.Poll,
        status: ReplicaStatus,
        now_ms: int,
    ) -> _messages.Update:
        """Makes the answer to a poll.

        Args:
            poll: The poll.
            status: What the replica knows besides the targets.
            now_ms: The present time.

        Returns:
            The update for the poll's sender.
        """
        index = poll.known_index if poll.run_id == self._run_id else 0
        changes = self._directory.changes_since(index)
        batch = changes[: _messages.RECORDS_PER_UPDATE]
        last_index = batch[-1].position if batch else self._directory.last_index
        return _messages.Update(
            self._own_replica,
            self._run_id,
            index,
            last_index,
            len(changes) > len(batch),
            status.has_complete_view,
            status.deployment_version,
            status.voters_version,
            self._live_replicas(now_ms),
            self._other_entry_hosts(poll, True, now_ms),
            self._other_entry_hosts(poll, False, now_ms),
            tuple(change.record for change in batch),
            status.unconfirmed_version,
        )

    def entry_hosts(self) -> tuple[str, ...]:
        """Returns the machines of the entry instances that poll."""
        return tuple(
            sorted(
                host
                for host, poller in self._pollers.items()
                if poller.latest_poll.replica is None
            )
        )

    def make_restart_notices(
        self, hosts: Iterable[str], status: ReplicaStatus, now_ms: int
    ) -> list[OutgoingUpdate]:
        """Makes updates for instances that polled before a restart.

        They may not have this replica among their seeds.

        Args:
            hosts: The machines of the instances.
            status: What the replica knows besides the targets.
            now_ms: The present time.

        Returns:
            An update for each that has not polled yet.
        """
        return [
            OutgoingUpdate(
                host,
                self.answer_poll(
                    _messages.Poll(host, "", None, 0, 0), status, now_ms
                ),
            )
            for host in hosts
            if host not in self._pollers
        ]

    def make_updates(
        self, status: ReplicaStatus, now_ms: int
    ) -> list[OutgoingUpdate]:
        """Makes updates for every process that polled lately."""
        told = []
        for host, poller in list(self._pollers.items()):
            if now_ms - poller.last_seen_ms > POLLER_TIMEOUT_MS:
                del self._pollers[host]
                continue
            update = self.answer_poll(poller.latest_poll, status, now_ms)
            told.append(OutgoingUpdate(host, update))
            # A receiver that missed this one sees the gap and polls again.
            poll = poller.latest_poll._replace(
                run_id=self._run_id, known_index=update.last_index
            )
            self._pollers[host] = poller._replace(latest_poll=poll)
        return told

    def _live_replicas(self, now_ms: int) -> tuple[_messages.Replica, ...]:
        return tuple(
            heard.replica
            for heard in self.seen_replicas.values()
            if now_ms - heard.last_seen_ms <= POLLER_TIMEOUT_MS
        )

    def _other_entry_hosts(
        self, poll: _messages.Poll, is_local: bool, now_ms: int
    ) -> tuple[str, ...]:
        """Returns the entry instances in, or outside, a data centre."""
        if poll.replica is not None:
            return ()
        entries = [
            poller.latest_poll.sender
            for poller in self._pollers.values()
            if poller.latest_poll.replica is None
            and poller.latest_poll.sender != poll.sender
            and (poller.latest_poll.data_centre == poll.data_centre) == is_local
            and now_ms - poller.last_seen_ms <= POLLER_TIMEOUT_MS
        ]
        return tuple(sorted(entries)[:PEERS_PER_ENTRY])

    def forget_silent_replicas(self, now_ms: int, keep_ms: int) -> None:
        """Forgets replicas that have been silent for long."""
        for identity, heard in list(self.seen_replicas.items()):
            if now_ms - heard.last_seen_ms > keep_ms:
                del self.seen_replicas[identity]
