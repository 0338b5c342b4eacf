"""Updates from a control replica to the processes that poll it.

The publisher records which processes poll and up to which change each is
informed. It creates the updates; sending them is left to its user, so that
this module does no input or output.
"""

from collections.abc import Iterable
from typing import NamedTuple

from bluebelltide.control import _voter_replacement
from bluebelltide.membership import _directory
from bluebelltide.messaging import _datagrams

POLLER_TIMEOUT_MS = 3000
"""How long after its latest poll a process gets updates without polling."""
MAXIMUM_ENTRY_HOSTS = 16
"""How many local, and how many remote, entry instances an update lists."""


class _Poller(NamedTuple):
    """A process that polls this replica."""

    latest_poll: _datagrams.Poll
    last_seen_ms: int


class ReplicaStatus(NamedTuple):
    """What an update reports of a replica besides the targets."""

    deployment_version: int
    """The newest committed version of the deployment."""
    voters_version: int
    """The version of the committed voter set; 0 if none is known."""
    has_complete_view: bool
    """Whether the replica has had time to receive an announcement of every
    live target."""
    unconfirmed_version: int = 0
    """The newest version of the deployment that entry instances may fetch; it
    may be uncommitted."""


class OutgoingUpdate(NamedTuple):
    """An update and its receiver."""

    host: str
    """The address of the receiver's machine."""
    update: _datagrams.Update
    """The update."""


class UpdatePublisher:
    """Records the pollers of one replica and creates updates for them.

    Attributes:
        seen_replicas: The other replicas, by identity.
    """

    def __init__(
        self,
        own_replica: _datagrams.Replica,
        run_id: int,
        directory: _directory.TargetDirectory,
    ) -> None:
        """Creates the publisher for one run of a replica's process.

        Args:
            own_replica: The replica that publishes.
            run_id: Identifies the run; the indexes of changes belong to it.
            directory: The targets that the replica knows.
        """
        self.seen_replicas: dict[str, _voter_replacement.SeenReplica] = {}
        self._own_replica = own_replica
        self._run_id = run_id
        self._directory = directory
        self._pollers: dict[str, _Poller] = {}

    def record_poll(self, poll: _datagrams.Poll, now_ms: int) -> None:
        """Records which process polls and which changes it knows."""
        self._pollers[poll.sender] = _Poller(poll, now_ms)
        if poll.replica is not None:
            self.record_replica(poll.replica, now_ms)

    def record_replica(self, replica: _datagrams.Replica, now_ms: int) -> None:
        """Records that a datagram of another replica arrived."""
        if replica.identity != self._own_replica.identity:
            seen = _voter_replacement.SeenReplica(replica, now_ms)
            self.seen_replicas[replica.identity] = seen

    def answer_poll(
        self,
        poll: _datagrams.Poll,
        status: ReplicaStatus,
        now_ms: int,
    ) -> _datagrams.Update:
        """Creates the answer to a poll.

        Args:
            poll: The poll.
            status: What to report besides the targets.
            now_ms: The current time.

        Returns:
            The update for the poll's sender.
        """
        index = poll.known_index if poll.run_id == self._run_id else 0
        changes = self._directory.changes_since(index)
        batch = changes[: _datagrams.RECORDS_PER_UPDATE]
        last_index = (
            batch[-1].change_index if batch else self._directory.last_index
        )
        return _datagrams.Update(
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
        """Returns the addresses of the entry instances that poll."""
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
        """Creates updates for instances that polled before a restart.

        An instance whose seeds do not include this replica learns from the
        update that it can poll the replica again.

        Args:
            hosts: The addresses of the instances.
            status: What to report besides the targets.
            now_ms: The current time.

        Returns:
            An update for each instance that has not polled since the restart.
        """
        return [
            OutgoingUpdate(
                host,
                self.answer_poll(
                    _datagrams.Poll(host, "", None, 0, 0), status, now_ms
                ),
            )
            for host in hosts
            if host not in self._pollers
        ]

    def make_updates(
        self, status: ReplicaStatus, now_ms: int
    ) -> list[OutgoingUpdate]:
        """Creates updates for every process that polled recently."""
        updates = []
        for host, poller in list(self._pollers.items()):
            if now_ms - poller.last_seen_ms > POLLER_TIMEOUT_MS:
                del self._pollers[host]
                continue
            update = self.answer_poll(poller.latest_poll, status, now_ms)
            updates.append(OutgoingUpdate(host, update))
            # The update counts as received. A process that missed it finds a
            # gap before the next update's first index and polls again.
            poll = poller.latest_poll._replace(
                run_id=self._run_id, known_index=update.last_index
            )
            self._pollers[host] = poller._replace(latest_poll=poll)
        return updates

    def _live_replicas(self, now_ms: int) -> tuple[_datagrams.Replica, ...]:
        return tuple(
            seen.replica
            for seen in self.seen_replicas.values()
            if now_ms - seen.last_seen_ms <= POLLER_TIMEOUT_MS
        )

    def _other_entry_hosts(
        self, poll: _datagrams.Poll, is_local: bool, now_ms: int
    ) -> tuple[str, ...]:
        """Returns entry instances in, or outside, the poll's data centre."""
        if poll.replica is not None:
            return ()
        hosts = [
            poller.latest_poll.sender
            for poller in self._pollers.values()
            if poller.latest_poll.replica is None
            and poller.latest_poll.sender != poll.sender
            and (poller.latest_poll.data_centre == poll.data_centre) == is_local
            and now_ms - poller.last_seen_ms <= POLLER_TIMEOUT_MS
        ]
        return tuple(sorted(hosts)[:MAXIMUM_ENTRY_HOSTS])

    def forget_silent_replicas(self, now_ms: int, keep_ms: int) -> None:
        """Forgets replicas that were silent for longer than `keep_ms`."""
        for identity, seen in list(self.seen_replicas.items()):
            if now_ms - seen.last_seen_ms > keep_ms:
                del self.seen_replicas[identity]
