"""What a control replica tells other processes, and when.

Pure: it keeps who polls and what they know, and makes the updates.
"""

from collections.abc import Iterable
from typing import NamedTuple

from bluebelltide.control import _succession
from bluebelltide.membership import _directory
from bluebelltide.news import _datagrams

FOLLOWER_MS = 3000
"""How long after its latest poll a process is told of changes at once."""
PEERS_PER_ENTRY = 16
"""How many other entry instances an entry instance is told of."""


class _Poller(NamedTuple):
    poll: _datagrams.Poll
    heard_ms: int


class Known(NamedTuple):
    """What a replica knows besides the targets."""

    document_version: int
    """The newest committed version of the deployment."""
    voters_version: int
    """The version of the committed voter set; 0 if none is known."""
    is_warm: bool
    """Whether every live target had time to announce itself."""
    offered_version: int = 0
    """The version of the deployment that entry instances may fetch."""


class Told(NamedTuple):
    """An update and who gets it."""

    host: str
    """The receiver's machine."""
    update: _datagrams.Update
    """The update."""


class Newsdesk:
    """Keeps the followers of one replica.

    Attributes:
        heard: The other replicas, by identity.
    """

    def __init__(
        self,
        own: _datagrams.Replica,
        run_id: int,
        directory: _directory.TargetDirectory,
    ) -> None:
        """Creates the desk of one run of a replica's process."""
        self.heard: dict[str, _succession.Heard] = {}
        self._own = own
        self._run_id = run_id
        self._directory = directory
        self._pollers: dict[str, _Poller] = {}

    def note_poll(self, poll: _datagrams.Poll, now_ms: int) -> None:
        """Notes who polls and what it knows."""
        self._pollers[poll.sender] = _Poller(poll, now_ms)
        if poll.replica is not None:
            self.note_replica(poll.replica, now_ms)

    def note_replica(self, replica: _datagrams.Replica, now_ms: int) -> None:
        """Notes that a replica was heard."""
        if replica.identity != self._own.identity:
            heard = _succession.Heard(replica, now_ms)
            self.heard[replica.identity] = heard

    def answer(
        self,
        poll: _datagrams.Poll,
        known: Known,
        now_ms: int,
    ) -> _datagrams.Update:
        """Makes the answer to a poll.

        Args:
            poll: The poll.
            known: What the replica knows besides the targets.
            now_ms: The present time.

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
            self._own,
            self._run_id,
            index,
            last_index,
            len(changes) > len(batch),
            known.is_warm,
            known.document_version,
            known.voters_version,
            self._live_replicas(now_ms),
            self._other_entries(poll, True, now_ms),
            self._other_entries(poll, False, now_ms),
            tuple(change.record for change in batch),
            known.offered_version,
        )

    def entry_hosts(self) -> tuple[str, ...]:
        """Returns the machines of the entry instances that poll."""
        return tuple(
            sorted(
                host
                for host, poller in self._pollers.items()
                if poller.poll.replica is None
            )
        )

    def greet(
        self, hosts: Iterable[str], known: Known, now_ms: int
    ) -> list[Told]:
        """Makes updates for instances that polled before a restart.

        They may not have this replica among their seeds.

        Args:
            hosts: The machines of the instances.
            known: What the replica knows besides the targets.
            now_ms: The present time.

        Returns:
            An update for each that has not polled yet.
        """
        return [
            Told(
                host,
                self.answer(
                    _datagrams.Poll(host, "", None, 0, 0), known, now_ms
                ),
            )
            for host in hosts
            if host not in self._pollers
        ]

    def tell_all(self, known: Known, now_ms: int) -> list[Told]:
        """Makes updates for every process that polled lately."""
        told = []
        for host, poller in list(self._pollers.items()):
            if now_ms - poller.heard_ms > FOLLOWER_MS:
                del self._pollers[host]
                continue
            update = self.answer(poller.poll, known, now_ms)
            told.append(Told(host, update))
            # A receiver that missed this one sees the gap and polls again.
            poll = poller.poll._replace(
                run_id=self._run_id, known_index=update.last_index
            )
            self._pollers[host] = poller._replace(poll=poll)
        return told

    def _live_replicas(self, now_ms: int) -> tuple[_datagrams.Replica, ...]:
        return tuple(
            heard.replica
            for heard in self.heard.values()
            if now_ms - heard.heard_ms <= FOLLOWER_MS
        )

    def _other_entries(
        self, poll: _datagrams.Poll, is_near: bool, now_ms: int
    ) -> tuple[str, ...]:
        """Returns the entry instances in, or outside, a data centre."""
        if poll.replica is not None:
            return ()
        entries = [
            poller.poll.sender
            for poller in self._pollers.values()
            if poller.poll.replica is None
            and poller.poll.sender != poll.sender
            and (poller.poll.data_centre == poll.data_centre) == is_near
            and now_ms - poller.heard_ms <= FOLLOWER_MS
        ]
        return tuple(sorted(entries)[:PEERS_PER_ENTRY])

    def forget_silent(self, now_ms: int, keep_ms: int) -> None:
        """Forgets replicas that have been silent for long."""
        for identity, heard in list(self.heard.items()):
            if now_ms - heard.heard_ms > keep_ms:
                del self.heard[identity]
