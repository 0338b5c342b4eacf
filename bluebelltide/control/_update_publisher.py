"""Updates from a control replica to the processes that poll it.

The publisher records which processes poll and up to which change each is
informed. It creates the updates; sending them is left to its user, so that
this module does no input or output.

An update is encoded once for all receivers that know the same changes.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

import xxhash

from bluebelltide import _types
from bluebelltide.catalogue import _evacuations
from bluebelltide.catalogue import _register
from bluebelltide.control import _voter_replacement
from bluebelltide.membership import _directory
from bluebelltide.membership import _peer_ring
from bluebelltide.messaging import _datagrams

POLLER_TIMEOUT_MS = 4500
"""How long after its latest poll a process gets updates without polling."""
RING_INTERVAL_MS = 200
"""Minimum time between two changes of the ring of entry instances."""
MAXIMUM_ENCODED_UPDATES = 500
"""How many encoded updates are kept for further receivers."""


class _Poller(NamedTuple):
    """A process that polls this replica."""

    latest_poll: _datagrams.Poll
    last_seen_ms: int


class ReplicaStatus(NamedTuple):
    """What an update reports of a replica besides the targets."""

    deployment_version: int | None
    """The newest committed version of the deployment; None if none is known."""
    voters_version: int
    """The version of the committed voter set; 0 if none is known."""
    has_complete_view: bool
    """Whether the replica has had time to receive an announcement of every
    live target."""
    unconfirmed_version: int | None = None
    """The newest version of the deployment that entry instances may fetch; it
    may be uncommitted. None if there is none."""
    evacuations: _evacuations.EvacuationSet = _evacuations.NO_EVACUATIONS
    """The newest committed set of evacuated data centres."""
    unconfirmed_evacuations: _evacuations.EvacuationSet | None = None
    """A newer set that the replica holds and that may be uncommitted."""


class EncodedUpdate(NamedTuple):
    """An update with its datagram."""

    update: _datagrams.Update
    """The update."""
    data: bytes
    """The encoded update."""


class OutgoingUpdate(NamedTuple):
    """An encoded update and its receiver."""

    host: str
    """The address of the receiver's machine."""
    encoded: EncodedUpdate
    """The update."""


class _Basis(NamedTuple):
    """What updates are made from, besides the receiver's known changes."""

    last_index: int
    status: ReplicaStatus
    replicas: tuple[_datagrams.Replica, ...]


class UpdatePublisher:
    """Records the pollers of one replica and creates updates for them.

    Attributes:
        seen_replicas: The other replicas, by identity.
        encoding_count: How many messages were encoded so far.
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
        self.encoding_count = 0
        self._pollers: dict[str, _Poller] = {}
        self._basis: _Basis | None = None
        # The status that partial updates last reported.
        self._reported_status: ReplicaStatus | None = None
        self._encoded_updates: dict[tuple[int, bool], EncodedUpdate] = {}
        self._ring = _peer_ring.PeerRing({})
        self._ring_made_ms = -RING_INTERVAL_MS
        self._peer_lists: dict[str, tuple[int, bytes]] = {}

    def record_poll(self, poll: _datagrams.Poll, now_ms: int) -> None:
        """Records which process polls and which changes it knows."""
        if self._lacks_no_target(poll):
            poll = poll._replace(
                run_id=self._run_id, known_index=self._directory.last_index
            )
        # The digest is that of this moment; later updates must not rely on it.
        self._pollers[poll.sender] = _Poller(poll._replace(digest=0), now_ms)
        if poll.replica is not None:
            self.record_replica(poll.replica, now_ms, poll.is_leaving)

    def _lacks_no_target(self, poll: _datagrams.Poll) -> bool:
        """Returns whether a poll's sender knows all targets that live."""
        return poll.digest != 0 and poll.digest == self._directory.digest

    def record_replica(
        self,
        replica: _datagrams.Replica,
        now_ms: int,
        is_leaving: bool | None = None,
    ) -> None:
        """Records that a datagram of another replica arrived.

        Args:
            replica: The other replica.
            now_ms: The current time.
            is_leaving: Whether it is about to stop, None if the datagram does
                not tell.
        """
        identity = replica.identity
        if identity == self._own_replica.identity:
            return
        if is_leaving is None:
            known = self.seen_replicas.get(identity)
            is_leaving = known is not None and known.is_leaving
        self.seen_replicas[identity] = _voter_replacement.SeenReplica(
            replica, now_ms, is_leaving
        )

    def answer_poll(
        self,
        poll: _datagrams.Poll,
        status: ReplicaStatus,
        now_ms: int,
    ) -> EncodedUpdate:
        """Creates the answer to a poll.

        Args:
            poll: The poll.
            status: What to report besides the targets.
            now_ms: The current time.

        Returns:
            The update for the poll's sender.
        """
        index = poll.known_index if poll.run_id == self._run_id else 0
        is_informed = self._lacks_no_target(poll)
        basis = _Basis(
            self._directory.last_index, status, self._live_replicas(now_ms)
        )
        is_full = len(self._encoded_updates) >= MAXIMUM_ENCODED_UPDATES
        if basis != self._basis or is_full:
            self._basis = basis
            self._encoded_updates.clear()
        encoded = self._encoded_updates.get((index, is_informed))
        if encoded is None:
            encoded = self._encode_update(index, is_informed, basis)
            self._encoded_updates[index, is_informed] = encoded
        return encoded

    def _encode_update(
        self, index: int, is_informed: bool, basis: _Basis
    ) -> EncodedUpdate:
        """Creates the update for receivers that know changes up to `index`.

        Args:
            index: The index of the last change that they know.
            is_informed: Whether they know all live targets from other
                replicas. They then get only tombstones, without which an
                outdated replica could make them use a target that left.
            basis: What the update is made from besides.
        """
        changes = self._directory.changes_since(
            index, _datagrams.RECORDS_PER_UPDATE + 1, only_left=is_informed
        )
        batch = changes[: _datagrams.RECORDS_PER_UPDATE]
        has_more = len(changes) > len(batch)
        update = _datagrams.Update(
            self._own_replica,
            self._run_id,
            index,
            batch[-1].change_index if has_more else basis.last_index,
            has_more,
            basis.status.has_complete_view,
            _register.encode_version(basis.status.deployment_version),
            basis.status.voters_version,
            basis.replicas,
            tuple(change.record for change in batch),
            _register.encode_version(basis.status.unconfirmed_version),
            evacuations=basis.status.evacuations,
            unconfirmed_evacuations=basis.status.unconfirmed_evacuations,
        )
        self.encoding_count += 1
        return EncodedUpdate(update, _datagrams.encode_datagram(update))

    def answer_with_peers(
        self, poll: _datagrams.Poll, now_ms: int
    ) -> bytes | None:
        """Returns the peer list for a poll's sender, encoded.

        Args:
            poll: The poll.
            now_ms: The current time.

        Returns:
            The datagram, or None if the sender needs no other list.
        """
        if poll.replica is not None:
            return None
        if now_ms - self._ring_made_ms >= RING_INTERVAL_MS:
            self._ring_made_ms = now_ms
            self._ring = _peer_ring.PeerRing(self._live_entries(now_ms))
            self._peer_lists.clear()
        known = self._peer_lists.get(poll.sender)
        if known is None:
            known = self._encode_peer_list(poll)
            self._peer_lists[poll.sender] = known
        version, data = known
        return None if version == poll.peers_version else data

    def _encode_peer_list(self, poll: _datagrams.Poll) -> tuple[int, bytes]:
        peers = self._ring.peers_of(poll.sender, poll.data_centre)
        count = self._ring.instance_count
        rank = self._ring.rank_of(poll.sender)
        content = "|".join(
            (*peers.local_hosts, "", *peers.remote_hosts, f"{rank}/{count}")
        )
        version = xxhash.xxh32_intdigest(content.encode()) or 1
        peer_list = _datagrams.PeerList(
            version,
            peers.local_hosts,
            peers.remote_hosts,
            count,
            rank,
        )
        self.encoding_count += 1
        return version, _datagrams.encode_datagram(peer_list)

    def _live_entries(self, now_ms: int) -> dict[str, str]:
        """Returns the data centres of the entry instances that poll."""
        return {
            host: poller.latest_poll.data_centre
            for host, poller in self._pollers.items()
            if poller.latest_poll.replica is None
            and now_ms - poller.last_seen_ms <= POLLER_TIMEOUT_MS
        }

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
        self,
        status: ReplicaStatus,
        now_ms: int,
        urgent_ids: Sequence[_types.TargetId] = (),
    ) -> list[OutgoingUpdate]:
        """Creates updates for the processes that polled recently.

        An instance gets the changes from the replica in its own data centre.
        From the others it gets only what cannot wait until it polls them,
        should its own replica have failed just now.

        Args:
            status: What to report besides the targets.
            now_ms: The current time.
            urgent_ids: The targets that must get no more flows, if this
                replica heard of it itself.
        """
        live_data_centres = {
            replica.data_centre for replica in self._live_replicas(now_ms)
        }
        partial_updates = self._make_partial_updates(status, urgent_ids, now_ms)
        updates: list[OutgoingUpdate] = []
        for host, poller in list(self._pollers.items()):
            if now_ms - poller.last_seen_ms > POLLER_TIMEOUT_MS:
                del self._pollers[host]
                continue
            poll = poller.latest_poll
            if self._has_nearer_replica(poll, live_data_centres):
                updates.extend(
                    OutgoingUpdate(host, encoded) for encoded in partial_updates
                )
                continue
            encoded = self.answer_poll(poll, status, now_ms)
            updates.append(OutgoingUpdate(host, encoded))
            # The update counts as received. A process that missed it finds a
            # gap before the next update's first index and polls again.
            self._pollers[host] = poller._replace(
                latest_poll=poll._replace(
                    run_id=self._run_id, known_index=encoded.update.last_index
                )
            )
        return updates

    def _make_partial_updates(
        self,
        status: ReplicaStatus,
        urgent_ids: Sequence[_types.TargetId],
        now_ms: int,
    ) -> list[EncodedUpdate]:
        """Creates updates without the changes that may wait."""
        records = [
            record
            for target_id in urgent_ids
            if (record := self._directory.get(target_id)) is not None
        ]
        is_status_new = status != self._reported_status
        self._reported_status = status
        if not records and not is_status_new:
            return []
        size = _datagrams.RECORDS_PER_UPDATE
        batches = [
            tuple(records[start : start + size])
            for start in range(0, max(1, len(records)), size)
        ]
        return [
            self._encode_partial_update(batch, status, now_ms)
            for batch in batches
        ]

    def _encode_partial_update(
        self,
        records: tuple[_directory.TargetRecord, ...],
        status: ReplicaStatus,
        now_ms: int,
    ) -> EncodedUpdate:
        update = _datagrams.Update(
            self._own_replica,
            self._run_id,
            0,
            0,
            False,
            False,
            _register.encode_version(status.deployment_version),
            status.voters_version,
            self._live_replicas(now_ms),
            records,
            _register.encode_version(status.unconfirmed_version),
            is_partial=True,
            evacuations=status.evacuations,
            unconfirmed_evacuations=status.unconfirmed_evacuations,
        )
        self.encoding_count += 1
        return EncodedUpdate(update, _datagrams.encode_datagram(update))

    def _has_nearer_replica(
        self, poll: _datagrams.Poll, live_data_centres: set[str]
    ) -> bool:
        """Returns whether another replica is in the data centre of a poller."""
        return (
            poll.replica is None
            and poll.data_centre != self._own_replica.data_centre
            and poll.data_centre in live_data_centres
        )

    def _live_replicas(self, now_ms: int) -> tuple[_datagrams.Replica, ...]:
        return tuple(
            seen.replica
            for seen in self.seen_replicas.values()
            if now_ms - seen.last_seen_ms <= POLLER_TIMEOUT_MS
        )

    def forget_silent_replicas(self, now_ms: int, keep_ms: int) -> None:
        """Forgets replicas that were silent for longer than `keep_ms`."""
        for identity, seen in list(self.seen_replicas.items()):
            if now_ms - seen.last_seen_ms > keep_ms:
                del self.seen_replicas[identity]
