"""The control replica of a direct deployment.

In a direct deployment targets announce themselves to the control replicas. A
replica receives announcements and whole deployment documents, and sends
updates to the entry instances and the other replicas when something changes.
"""

from collections.abc import Callable, Iterable
import random

import anyio
import anyio.abc

from bluebelltide import _accepting
from bluebelltide import _batch_socket
from bluebelltide import _clock
from bluebelltide import _exceptions
from bluebelltide import _guard
from bluebelltide import _http1
from bluebelltide import _metrics
from bluebelltide import _types
from bluebelltide._events import events
from bluebelltide.catalogue import _deployment
from bluebelltide.catalogue import _evacuations
from bluebelltide.catalogue import _register
from bluebelltide.catalogue import _store
from bluebelltide.control import _deployment_replica
from bluebelltide.control import _order_gate
from bluebelltide.control import _renewals
from bluebelltide.control import _saved_targets
from bluebelltide.control import _update_publisher
from bluebelltide.control import _update_sender
from bluebelltide.control import _voter_planner
from bluebelltide.control import _voters
from bluebelltide.membership import _directory
from bluebelltide.membership import _replica_poller
from bluebelltide.membership import _start_order
from bluebelltide.membership import _target_records
from bluebelltide.messaging import _calls
from bluebelltide.messaging import _datagrams

POLL_INTERVAL_MS = 300
"""Time between two polls of each other replica."""
PLAN_INTERVAL_MS = 400
"""Time between two checks of the voter set and of unconfirmed states."""
CONFIRM_INTERVAL_MS = 60
"""Time between two such checks while a state is unconfirmed."""
COMPLETE_VIEW_LEASE_SHARE = 0.125
"""Fraction of a target's lease within which every live target announces
itself."""
LATER_START_LEASE_SHARE = 0.125
"""Fraction of a target's lease for which a start whose time does not prove that
it is the later one must announce itself, while the known start is silent."""
SAVE_INTERVAL_MS = 700
"""Time between two checks whether the files for the next start are out of
date."""
RESTART_NOTICE_MS = 3000
"""How long after a start restart notices go to the instances that polled the
previous run."""
RESTART_NOTICE_INTERVAL_MS = 60
"""Minimum time between two rounds of restart notices."""
RESTART_NOTICE_MS_PER_HOST = 4
"""Time between two rounds for each instance that gets notices, so that the
rate of notices is bounded."""
START_RETRY_INTERVAL_MS = 200
"""Time between two attempts to open the data folder."""
FETCH_TIMEOUT_MS = 1500
"""How long fetching a committed state from a replica may take."""
FORGET_REPLICA_MS = 60_000
"""How long a silent replica stays known."""


def _make_unknown_service_error(
    target: _types.Target,
) -> _exceptions.BluebelltideError:
    return _exceptions.BluebelltideError(
        _exceptions.ErrorCode.BAD_TARGET,
        f"expected a service of the deployment, found {target.service!r}",
        target.target_id,
    )


async def start_when_disk_accepts(start: Callable[[], None]) -> None:
    """Starts a replica; waits while its disk refuses to be written.

    A process that ended instead might be restarted with settings that no
    longer say that the whole deployment starts for the first time. The replica
    would then get an identity that never votes.

    Args:
        start: Opens the data folder; may be called again after an OSError.
    """
    while True:
        try:
            start()
            return
        except OSError as error:
            events.write("store_not_opened", error=str(error))
        await anyio.sleep(START_RETRY_INTERVAL_MS / 1000)


class DirectControl:
    """The controller of one control process of a direct deployment.

    Attributes:
        directory: The targets that this replica knows.
        deployment_replica: Replicates the deployment document and the set of
            evacuated data centres.
        data_centres: The names of the deployment's data centres, by the
            settings; they may change while the replica runs.
        refuse_target: Counts and logs a target's entry that cannot be used.
    """

    def __init__(
        self,
        settings: _deployment_replica.ReplicaSettings,
        read_services: Callable[[bytes], frozenset[_types.ServiceName]],
        metrics: _metrics.Metrics,
    ) -> None:
        """Creates the controller; `start` opens files and sockets.

        Args:
            settings: The settings.
            read_services: Decodes the names of the services of a deployment's
                document.
            metrics: The metrics of the process.
        """
        self.directory = _directory.TargetDirectory()
        self._read_services = read_services
        self.refuse_target = _target_records.make_refusal_handler(metrics)
        self.deployment_replica = _deployment_replica.DeploymentReplica(
            settings,
            _store.Store(settings.data_folder),
            self._on_commit,
            metrics,
        )
        self.data_centres: frozenset[str] = frozenset()
        self._settings = settings
        self._metrics = metrics
        _guard.count_errors_in(metrics)
        self._started_ms = _clock.now_ms()
        self._run_id = random.getrandbits(31) | 1
        self._start_order = _start_order.StartOrder(
            int(LATER_START_LEASE_SHARE * settings.target_lease_ms)
        )
        self._renewals = _renewals.Renewals(self.directory)
        self._order_gate = _order_gate.OrderGate(_clock.boot_ms())
        # The deployment's document whose services the directory knows.
        self._services_document: bytes | None = None
        self._keys_being_fetched: set[str] = set()
        self._saved_targets = _saved_targets.SavedTargets(
            settings.data_folder, self.directory, self.refuse_target
        )
        self._own_replica = _datagrams.Replica("", settings.data_centre)
        self._publisher: _update_publisher.UpdatePublisher | None = None
        self._update_sender: _update_sender.UpdateSender | None = None
        self._replica_poller: _replica_poller.ReplicaPoller | None = None
        self._voter_planner: _voter_planner.VoterPlanner | None = None
        self._socket: _batch_socket.BatchSocket | None = None
        self._tasks: anyio.abc.TaskGroup | None = None

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Recovers the durable state and starts to serve other processes.

        Args:
            tasks: Runs the background tasks until it is cancelled.
        """
        settings = self._settings
        self._tasks = tasks
        await start_when_disk_accepts(
            lambda: self.deployment_replica.start(tasks)
        )
        self._use_services()
        self._saved_targets.recover(_clock.now_ms())
        self._own_replica = _datagrams.Replica(
            self.deployment_replica.identity, settings.data_centre
        )
        self._publisher = _update_publisher.UpdatePublisher(
            self._own_replica, self._run_id, self.directory
        )
        self._voter_planner = _voter_planner.VoterPlanner(
            self.deployment_replica,
            self._own_replica,
            self._publisher.seen_replicas,
            settings.minimum_voter_count,
            self._metrics,
            _clock.now_ms,
        )
        self._update_sender = _update_sender.UpdateSender(
            self._publisher, self._status, self._send_data, tasks
        )
        self._replica_poller = _replica_poller.ReplicaPoller(
            settings.host, settings.data_centre, self._own_replica
        )
        self.set_seed_hosts(settings.seed_hosts)
        address = _types.Address(
            settings.bind_host or settings.host, settings.port
        )
        self._socket = _batch_socket.open_batch_socket(
            address, self._on_datagram
        )
        self._socket.start()
        listener = await anyio.create_tcp_listener(
            local_host=address.host, local_port=address.port
        )
        _guard.start_forever(
            tasks,
            "accepting calls",
            _accepting.accept_forever,
            listener,
            self._serve_call,
            tasks,
        )
        _guard.start_forever(tasks, "polling", self._poll_forever)
        _guard.start_forever(
            tasks, "confirming and planning", self._confirm_and_plan_forever
        )
        _guard.start_forever(
            tasks, "saving for a restart", self._save_for_restart_forever
        )
        _guard.start(
            tasks, "notifying of a restart", self._notify_previous_instances
        )
        events.write("started", identity=self._own_replica.identity)

    def _on_commit(self) -> None:
        self._use_services()
        self._push_update()

    def _use_services(self) -> None:
        """Tells the directory which services the newest deployment names."""
        key = _deployment.DEPLOYMENT_KEY
        document = self.deployment_replica.newest_state(key).value
        if document is None or document == self._services_document:
            return
        self._services_document = document
        try:
            body = _deployment.decompress_document(
                document, _http1.MAXIMUM_BODY_BYTES
            )
            self.directory.services = self._read_services(body)
        except _exceptions.BluebelltideError as error:
            # Another writer may have sent it. The earlier names stay in use.
            events.write("deployment_unreadable", error=str(error))

    async def hand_over(self) -> None:
        """Waits until another replica has taken over this one's vote.

        It is called before a planned stop, while the replica still answers.
        """
        if self._voter_planner is None:
            return
        with _guard.log_errors("handing over the vote"):
            await self._voter_planner.hand_over(self._send_polls)

    def close(self) -> None:
        """Closes files and sockets."""
        if self._socket is not None:
            self._socket.close()
        self.deployment_replica.close()

    def set_seed_hosts(self, hosts: tuple[str, ...]) -> None:
        """Sets the addresses of the replicas' machines from the settings."""
        if self._replica_poller is not None:
            self._replica_poller.set_seed_hosts(hosts, _clock.now_ms())

    def record_announcement(self, target: _types.Target) -> bool:
        """Records a target's announcement; a change is published at once.

        Args:
            target: The target; its generation is the time of its start.

        Returns:
            Whether the announcement is in use. It is not if a later start of
            the target is known, as far as that can be told, or if it cannot be
            used and the known one can.
        """
        now_ms = _clock.now_ms()
        if self.directory.is_kept_out(target):
            self.refuse_target(_make_unknown_service_error(target))
            return False
        known = self.directory.get(target.target_id)
        if known is not None and known.target.generation != target.generation:
            generation = self._find_generation(target, known, now_ms)
            if generation is None:
                return False
            target = target._replace(generation=generation)
        record = _directory.TargetRecord(target)
        self._renewals.record(target, now_ms)
        if self.directory.merge(record, now_ms):
            self._metrics.count("target", target.state)
            events.write(
                "target_changed",
                target=target.target_id,
                service=target.service,
                state=target.state.value,
                address=str(target.address),
                generation=target.generation,
                sequence=target.sequence,
                cold_remaining_ms=target.cold_remaining_ms,
            )
            is_draining = target.state == _types.TargetState.DRAINING
            self._push_update((target.target_id,) if is_draining else ())
        return True

    def _find_generation(
        self,
        target: _types.Target,
        known: _directory.TargetRecord,
        now_ms: int,
    ) -> int | None:
        """Returns the generation of an announced start, None if it is old."""
        generation = self._start_order.find_generation(
            target,
            _start_order.KnownStart(
                known.target.generation,
                self.directory.heard_ms(target.target_id),
            ),
            now_ms,
        )
        if generation is None:
            self._metrics.count("target", "earlier_start")
            events.write(
                "target_of_earlier_start",
                target=target.target_id,
                generation=target.generation,
                known_generation=known.target.generation,
                sequence=target.sequence,
            )
        return generation

    def deregister_target(self, target_id: _types.TargetId) -> None:
        """Records that a target leaves."""
        if self.directory.mark_as_left(target_id, _clock.now_ms()):
            self._metrics.count("target", "left")
            events.write("target_left", target=target_id)
            self._push_update((target_id,))

    def set_data_centres(self, names: Iterable[str]) -> None:
        """Sets the names of the data centres from the settings.

        A name that no target could announce is left out: no message could
        carry it.
        """
        self.data_centres = frozenset(filter(_types.is_data_centre_name, names))

    def knows_data_centre(self, name: str) -> bool:
        """Returns whether orders may name a data centre.

        An evacuation of one that the settings no longer list can still be
        withdrawn.
        """
        evacuations = self.deployment_replica.evacuations
        return name in self.data_centres or name in evacuations.data_centres

    async def order_evacuation(
        self, order: _evacuations.Order
    ) -> _evacuations.EvacuationSet | None:
        """Declares or withdraws the evacuation of a data centre.

        Args:
            order: The order; its data centre is known.

        Returns:
            The committed set, in which the order is in force, or None if no
            quorum answered in time, so that the order may have been committed,
            or if the order may have waited for too long.
        """
        kind = "declared" if order.is_evacuated else "withdrawn"
        if not self._order_gate.check(_clock.boot_ms()):
            self._metrics.count("evacuation", "refused_after_pause")
            events.write(
                "evacuation_refused", order=kind, data_centre=order.data_centre
            )
            return None
        outcome = await self.deployment_replica.order_evacuation(order)
        evacuations = _evacuations.read_evacuations(outcome.state)
        self._metrics.count(
            "evacuation", kind if outcome.is_certain else "no_quorum"
        )
        events.write(
            "evacuation_ordered",
            order=kind,
            data_centre=order.data_centre,
            version=evacuations.version,
            data_centres=list(evacuations.data_centres),
            is_confirmed=outcome.is_certain,
        )
        return evacuations if outcome.is_certain else None

    async def _serve_call(self, stream: anyio.abc.SocketStream) -> None:
        await _calls.serve_call(stream, self.deployment_replica.handle_call)

    async def _notify_previous_instances(self) -> None:
        """Notifies the instances of the previous run of the restart."""
        assert self._publisher is not None
        until_ms = self._started_ms + RESTART_NOTICE_MS
        hosts = self._saved_targets.previous_entry_hosts
        interval_ms = max(
            RESTART_NOTICE_INTERVAL_MS, RESTART_NOTICE_MS_PER_HOST * len(hosts)
        )
        while hosts and _clock.now_ms() < until_ms:
            notices = self._publisher.make_restart_notices(
                hosts, self._status(), _clock.now_ms()
            )
            for notice in notices:
                self._send_data(notice.host, notice.encoded.data)
            await anyio.sleep(interval_ms / 1000)

    async def _save_for_restart_forever(self) -> None:
        """Saves what the acceptor's log lacks for the next start."""
        assert self._publisher is not None
        while True:
            await anyio.sleep(SAVE_INTERVAL_MS / 1000)
            with _guard.log_errors("saving for a restart"):
                entry_hosts = self._publisher.entry_hosts()
                await self._saved_targets.save_if_changed(entry_hosts)
                unsaved_states = self.deployment_replica.unsaved_states()
                for key, state in unsaved_states.items():
                    await self._save_state(key, state)

    async def _save_state(
        self, key: str, state: _register.RegisterState
    ) -> None:
        try:
            await anyio.to_thread.run_sync(
                self.deployment_replica.save_state, key, state
            )
        except OSError as error:
            events.write(f"{key}_not_stored", error=str(error))

    def _has_complete_view(self) -> bool:
        """Returns whether every live target should be known here.

        They are known from the previous run, or because each of them has had
        time to announce itself.
        """
        if self._saved_targets.recovered_count:
            return True
        age_ms = _clock.now_ms() - self._started_ms
        share = COMPLETE_VIEW_LEASE_SHARE
        return age_ms > share * self._settings.target_lease_ms

    def _deployment_version(self) -> int | None:
        return self.deployment_replica.committed_state(
            _deployment.DEPLOYMENT_KEY
        ).version

    def _status(self) -> _update_publisher.ReplicaStatus:
        voters = self.deployment_replica.committed_voters
        return _update_publisher.ReplicaStatus(
            self._deployment_version(),
            0 if voters is None else voters.version,
            self._has_complete_view(),
            self.deployment_replica.newest_state(
                _deployment.DEPLOYMENT_KEY
            ).version,
            self.deployment_replica.evacuations,
            self.deployment_replica.unconfirmed_evacuations,
        )

    def _push_update(self, urgent_ids: Iterable[_types.TargetId] = ()) -> None:
        """Sends a change to other processes; see `UpdateSender.push`."""
        if self._update_sender is not None:
            self._update_sender.push(urgent_ids)

    def _send(self, host: str, message: _datagrams.Message) -> None:
        self._send_data(host, _datagrams.encode_datagram(message))

    def _send_data(self, host: str, data: bytes) -> None:
        assert self._socket is not None
        if not self._socket.send(data, (host, self._settings.port)):
            self._metrics.count("dropped", "send_failed")

    def _on_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        try:
            message = _datagrams.decode_datagram(
                data, sender[0], self.refuse_target
            )
        except _exceptions.BluebelltideError:
            self._metrics.count("dropped", "bad_frame")
            return
        if isinstance(message, _datagrams.Poll):
            self._on_poll(message)
        elif isinstance(message, _datagrams.Update):
            self._on_update(message)

    def _on_poll(self, poll: _datagrams.Poll) -> None:
        assert self._publisher is not None
        now_ms = _clock.now_ms()
        self._publisher.record_poll(poll, now_ms)
        self._renewals.apply(_datagrams.unpack_renewals(poll.renewals), now_ms)
        encoded = self._publisher.answer_poll(poll, self._status(), now_ms)
        self._send_data(poll.sender, encoded.data)
        peer_list = self._publisher.answer_with_peers(poll, now_ms)
        if peer_list is not None:
            self._send_data(poll.sender, peer_list)

    def _on_update(self, update: _datagrams.Update) -> None:
        assert self._replica_poller is not None
        assert self._publisher is not None
        now_ms = _clock.now_ms()
        self._publisher.record_replica(update.replica, now_ms)
        has_changed = False
        for record in update.records:
            has_changed |= self.directory.merge(record, now_ms)
            has_changed |= self.directory.resend_if_newer(record)
        if self._replica_poller.receive(update, now_ms):
            self._send_poll(update.replica.host)
        self._fetch_newer_states(update)
        if has_changed:
            # An entry instance may be unable to reach the replica that sent
            # the change, so this replica forwards it. A record that is already
            # known is not forwarded, so forwarding ends.
            self._push_update()

    def _fetch_newer_states(self, update: _datagrams.Update) -> None:
        voters = self.deployment_replica.committed_voters
        voters_version = 0 if voters is None else voters.version
        if update.voters_version > voters_version:
            self._start_fetch(update.replica, _voters.VOTERS_KEY)
        known_version = self._deployment_version()
        if _register.is_newer(update.deployment_version, known_version):
            self._start_fetch(update.replica, _deployment.DEPLOYMENT_KEY)
        evacuations = self.deployment_replica.evacuations
        if update.evacuations.version > evacuations.version:
            self._start_fetch(update.replica, _evacuations.EVACUATIONS_KEY)

    def _start_fetch(self, replica: _datagrams.Replica, key: str) -> None:
        if key not in self._keys_being_fetched and self._tasks is not None:
            self._keys_being_fetched.add(key)
            _guard.start(
                self._tasks, "fetching a state", self._fetch, replica, key
            )

    async def _fetch(self, replica: _datagrams.Replica, key: str) -> None:
        address = _types.Address(replica.host, self._settings.port)
        try:
            answer = await _calls.call(
                address,
                "",
                _calls.Fetch(key),
                FETCH_TIMEOUT_MS,
                self._settings.bind_host,
            )
            if isinstance(answer, _calls.Fetched):
                with _guard.log_errors("learning a state"):
                    self.deployment_replica.learn(key, answer.state)
        finally:
            self._keys_being_fetched.discard(key)

    def _send_poll(self, host: str) -> None:
        assert self._replica_poller is not None
        renewals = self._renewals.pack_recent(_clock.now_ms())
        poll = self._replica_poller.make_poll(
            host, renewals, digest=self.directory.digest
        )
        planner = self._voter_planner
        is_leaving = planner is not None and planner.is_leaving
        self._send(host, poll._replace(is_leaving=is_leaving))

    def _send_polls(self) -> None:
        assert self._replica_poller is not None
        for host in self._replica_poller.hosts(_clock.now_ms()):
            self._send_poll(host)

    async def _poll_forever(self) -> None:
        while True:
            self._order_gate.check(_clock.boot_ms())
            with _guard.log_errors("a poll"):
                self._send_polls()
                self._expire_targets()
            await anyio.sleep(POLL_INTERVAL_MS / 1000)

    def _expire_targets(self) -> None:
        assert self._voter_planner is not None
        self.directory.purge_tombstones(_clock.now_ms())
        self._renewals.forget_old(_clock.now_ms())
        listening_since_ms = self._voter_planner.check_quorum()
        if listening_since_ms is None:
            return
        self._drop_silent_targets(_clock.now_ms(), listening_since_ms)

    def _drop_silent_targets(
        self, now_ms: int, listening_since_ms: int
    ) -> None:
        """Marks targets as left that are silent for too long."""
        lease_ms = self._settings.target_lease_ms
        expired = self.directory.expire_leases(
            lease_ms, now_ms, listening_since_ms
        )
        for target_id in expired:
            self._metrics.count("target", "expired")
            events.write("target_expired", target=target_id, silent_ms=lease_ms)
        listened_ms = now_ms - listening_since_ms
        unconfirmed = self._saved_targets.recovered.take_unconfirmed(
            self.directory, lease_ms, listened_ms
        )
        for target_id in unconfirmed:
            self.directory.mark_as_left(target_id, now_ms)
            self._metrics.count("target", "not_confirmed")
            events.write(
                "target_not_confirmed", target=target_id, silent_ms=listened_ms
            )
        if expired or unconfirmed:
            self._push_update((*expired, *unconfirmed))

    async def _confirm_and_plan_forever(self) -> None:
        assert self._publisher is not None
        assert self._voter_planner is not None
        while True:
            with _guard.log_errors("confirming and planning"):
                for key in self.deployment_replica.unconfirmed_keys():
                    await self.deployment_replica.confirm(key)
                self._publisher.forget_silent_replicas(
                    _clock.now_ms(), FORGET_REPLICA_MS
                )
                await self._voter_planner.plan()
            interval_ms = PLAN_INTERVAL_MS
            if self.deployment_replica.unconfirmed_keys():
                # After a restart this replica does not serve its accepted
                # states as committed until they are confirmed.
                interval_ms = CONFIRM_INTERVAL_MS
            await anyio.sleep(interval_ms * random.uniform(0.7, 1.3) / 1000)
