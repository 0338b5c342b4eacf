"""A control replica for targets that announce themselves to it.

It takes announcements and whole deployment documents, and tells the entry
instances and the other replicas what changed.
"""

import random

import anyio
import anyio.abc

from bluebelltide import _batch_socket
from bluebelltide import _clock
from bluebelltide import _exceptions
from bluebelltide import _metrics
from bluebelltide import _types
from bluebelltide._events import events
from bluebelltide.catalogue import _deployment
from bluebelltide.catalogue import _register
from bluebelltide.catalogue import _store
from bluebelltide.control import _deployments
from bluebelltide.control import _newsdesk
from bluebelltide.control import _succession
from bluebelltide.control import _voters
from bluebelltide.membership import _directory
from bluebelltide.membership import _subscription
from bluebelltide.membership import _target_file
from bluebelltide.news import _calls
from bluebelltide.news import _messages
from bluebelltide.placement import _affinity

POLL_INTERVAL_MS = 300
"""Time between two polls of each other replica."""
PLAN_INTERVAL_MS = 400
"""Time between two looks at the voter set and at unconfirmed states."""
CONFIRM_INTERVAL_MS = 60
"""The same, while a state may be newer than what is known committed."""
WARM_AFTER_LEASE_SHARE = 0.125
"""Part of a target's lease in which every live target announces itself."""
STORE_INTERVAL_MS = 700
"""Time between two looks at whether the files for the next start are out of
date."""
GREET_MS = 3000
"""How long after a start instances of the earlier run are told of it."""
GREET_INTERVAL_MS = 60
"""Shortest time between two rounds of that."""
GREET_MS_PER_HOST = 4
"""Time between rounds for each instance, so that many are told less often."""
FETCH_TIMEOUT_MS = 1500
"""How long fetching a committed state from a replica may take."""
FORGET_REPLICA_MS = 60_000
"""How long a silent replica is remembered."""


class DirectControl:
    """The controller of one control process of a direct deployment.

    Attributes:
        directory: The targets that are known here.
        deployments: The replicated document.
    """

    def __init__(
        self,
        settings: _deployments.ReplicaSettings,
        metrics: _metrics.Metrics,
    ) -> None:
        """Creates the controller; `start` opens files and sockets."""
        self.directory = _directory.TargetDirectory()
        self.deployments = _deployments.DeploymentReplica(
            settings,
            _store.Store(settings.data_folder),
            self._tell_all,
            metrics,
        )
        self._settings = settings
        self._metrics = metrics
        self._started_ms = _clock.now_ms()
        self._run_id = random.getrandbits(31) | 1
        self._renewals: dict[int, int] = {}
        self._fetching: set[str] = set()
        self._recovered_targets = 0
        self._entries_before: tuple[str, ...] = ()
        self._stored: tuple[int, tuple[str, ...]] = (0, ())
        self._own = _messages.Replica("", settings.data_centre)
        self._desk: _newsdesk.Newsdesk | None = None
        self._follower: _subscription.Follower | None = None
        self._socket: _batch_socket.BatchSocket | None = None
        self._tasks: anyio.abc.TaskGroup | None = None

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Recovers the durable state and begins to serve peers.

        Args:
            tasks: Runs the loops until it is cancelled.
        """
        settings = self._settings
        self._tasks = tasks
        self.deployments.start(tasks)
        self._recover_targets()
        self._own = _messages.Replica(
            self.deployments.identity, settings.data_centre
        )
        self._desk = _newsdesk.Newsdesk(self._own, self._run_id, self.directory)
        self._follower = _subscription.Follower(
            settings.host, settings.data_centre, self._own
        )
        self.use_seeds(settings.seed_hosts)
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
        tasks.start_soon(listener.serve, self._serve_call)
        tasks.start_soon(self._poll_forever)
        tasks.start_soon(self._plan_forever)
        tasks.start_soon(self._store_known_forever)
        tasks.start_soon(self._greet_instances)
        events.write("started", identity=self._own.identity)

    def close(self) -> None:
        """Closes files and sockets."""
        if self._socket is not None:
            self._socket.close()
        self.deployments.close()

    def use_seeds(self, hosts: tuple[str, ...]) -> None:
        """Takes the replicas' machines that the settings name."""
        if self._follower is not None:
            self._follower.use_seeds(hosts, _clock.now_ms())

    def announce(self, target: _types.Target) -> None:
        """Takes a target's announcement and tells of changes at once."""
        record = _directory.TargetRecord(target)
        self._renewals[_affinity.compute_token(target)] = target.sequence
        if self.directory.merge(record, _clock.now_ms()):
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
            self._tell_all()

    def retire(self, target_id: _types.TargetId) -> None:
        """Takes a target's goodbye."""
        if self.directory.retire(target_id, _clock.now_ms()):
            self._metrics.count("target", "left")
            events.write("target_left", target=target_id)
            self._tell_all()

    async def _serve_call(self, stream: anyio.abc.SocketStream) -> None:
        await _calls.serve_call(stream, self.deployments.handle)

    def _recover_targets(self) -> None:
        """Takes the targets of the earlier run, which mostly still live."""
        folder = self._settings.data_folder
        try:
            known = _target_file.read_targets(folder)
        except _exceptions.BluebelltideError as error:
            events.write("targets_not_recovered", error=str(error))
            return
        for record in known.records:
            self.directory.merge(record, _clock.now_ms())
        self._recovered_targets = len(known.records)
        self._entries_before = known.entry_hosts
        self._stored = (self.directory.last_index, known.entry_hosts)
        events.write(
            "targets_recovered",
            records=len(known.records),
            instances=len(known.entry_hosts),
        )

    async def _greet_instances(self) -> None:
        """Tells the instances of the earlier run that this replica is back."""
        assert self._desk is not None
        until_ms = self._started_ms + GREET_MS
        interval_ms = max(
            GREET_INTERVAL_MS, GREET_MS_PER_HOST * len(self._entries_before)
        )
        while self._entries_before and _clock.now_ms() < until_ms:
            told = self._desk.greet(
                self._entries_before, self._known(), _clock.now_ms()
            )
            for receiver in told:
                self._send(receiver.host, receiver.update)
            await anyio.sleep(interval_ms / 1000)

    async def _store_known_forever(self) -> None:
        """Keeps for the next start what is known besides the vote."""
        while True:
            await anyio.sleep(STORE_INTERVAL_MS / 1000)
            if self._stored != self._storable():
                await self._store_targets()
            state = self.deployments.unremembered()
            if state is not None:
                await self._store_deployment(state)

    def _storable(self) -> tuple[int, tuple[str, ...]]:
        """Returns the latest change of targets, and the instances."""
        assert self._desk is not None
        return self.directory.last_index, self._desk.entry_hosts()

    async def _store_targets(self) -> None:
        storable = self._storable()
        known = _target_file.KnownBefore(
            tuple(self.directory.records()), storable[1]
        )
        try:
            await anyio.to_thread.run_sync(
                _target_file.write_targets, self._settings.data_folder, known
            )
        except OSError as error:
            events.write("targets_not_stored", error=str(error))
        self._stored = storable

    async def _store_deployment(self, state: _register.RegisterState) -> None:
        try:
            await anyio.to_thread.run_sync(self.deployments.remember, state)
        except OSError as error:
            events.write("deployment_not_stored", error=str(error))

    def _is_warm(self) -> bool:
        if self._recovered_targets:
            return True
        age_ms = _clock.now_ms() - self._started_ms
        share = WARM_AFTER_LEASE_SHARE
        return age_ms > share * self._settings.target_lease_ms

    def _document_version(self) -> int:
        return self.deployments.committed(_deployment.DEPLOYMENT_KEY).version

    def _known(self) -> _newsdesk.Known:
        voters = self.deployments.committed_voters
        return _newsdesk.Known(
            self._document_version(),
            0 if voters is None else voters.version,
            self._is_warm(),
            self.deployments.offered(_deployment.DEPLOYMENT_KEY).version,
        )

    def _tell_all(self) -> None:
        if self._desk is None:
            return
        told = self._desk.tell_all(self._known(), _clock.now_ms())
        for receiver in told:
            self._send(receiver.host, receiver.update)

    def _send(self, host: str, news: _messages.News) -> None:
        assert self._socket is not None
        data = _messages.encode_news(news)
        if not self._socket.send(data, (host, self._settings.port)):
            self._metrics.count("dropped", "send_failed")

    def _on_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        try:
            news = _messages.decode_news(data, sender[0])
        except _exceptions.BluebelltideError:
            self._metrics.count("dropped", "bad_frame")
            return
        if isinstance(news, _messages.Poll):
            self._on_poll(news)
        elif isinstance(news, _messages.Update):
            self._on_update(news)

    def _on_poll(self, poll: _messages.Poll) -> None:
        assert self._desk is not None
        now_ms = _clock.now_ms()
        self._desk.note_poll(poll, now_ms)
        self._renew(_messages.unpack_renewals(poll.renewals), now_ms)
        update = self._desk.answer(poll, self._known(), now_ms)
        self._send(poll.sender, update)

    def _renew(self, sequences: dict[int, int], now_ms: int) -> None:
        if not sequences:
            return
        for target in list(self.directory.incarnations()):
            sequence = sequences.get(_affinity.compute_token(target))
            if sequence is not None:
                self.directory.renew(target.target_id, sequence, now_ms)

    def _on_update(self, update: _messages.Update) -> None:
        assert self._follower is not None
        assert self._desk is not None
        now_ms = _clock.now_ms()
        self._desk.note_replica(update.replica, now_ms)
        has_news = False
        for record in update.records:
            has_news |= self.directory.merge(record, now_ms)
        if self._follower.receive(update, now_ms):
            self._send_poll(update.replica.host)
        self._learn_from(update)
        if has_news:
            # A replica that hears more than an entry instance can passes
            # the change on; what is known already goes no further.
            self._tell_all()

    def _learn_from(self, update: _messages.Update) -> None:
        known = self.deployments.committed_voters
        known_version = 0 if known is None else known.version
        if update.voters_version > known_version:
            self._fetch_soon(update.replica, _voters.VOTERS_KEY)
        if update.document_version > self._document_version():
            self._fetch_soon(update.replica, _deployment.DEPLOYMENT_KEY)

    def _fetch_soon(self, replica: _messages.Replica, key: str) -> None:
        if key not in self._fetching and self._tasks is not None:
            self._fetching.add(key)
            self._tasks.start_soon(self._fetch, replica, key)

    async def _fetch(self, replica: _messages.Replica, key: str) -> None:
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
                self.deployments.learn(key, answer.state)
        finally:
            self._fetching.discard(key)

    def _send_poll(self, host: str) -> None:
        assert self._follower is not None
        renewals = _messages.pack_renewals(self._renewals)
        self._send(host, self._follower.poll(host, renewals))

    async def _poll_forever(self) -> None:
        assert self._follower is not None
        while True:
            for host in self._follower.hosts(_clock.now_ms()):
                self._send_poll(host)
            self._expire_targets()
            await anyio.sleep(POLL_INTERVAL_MS / 1000)

    def _expire_targets(self) -> None:
        self.directory.forget_left(_clock.now_ms())
        situation = self._situation()
        if situation is None or not _succession.hears_majority(situation):
            return
        lease_ms = self._settings.target_lease_ms
        ended = self.directory.expire(lease_ms, situation.now_ms)
        for target_id in ended:
            self._metrics.count("target", "expired")
            events.write("target_expired", target=target_id, silent_ms=lease_ms)
        if ended:
            self._tell_all()
        live = {
            _affinity.compute_token(target)
            for target in self.directory.live_targets()
        }
        for token in list(self._renewals):
            if token not in live:
                del self._renewals[token]

    async def _plan_forever(self) -> None:
        while True:
            for key in self.deployments.unconfirmed_keys():
                await self.deployments.confirm(key)
            await self._plan_voters()
            interval_ms = PLAN_INTERVAL_MS
            if self.deployments.unconfirmed_keys():
                # After a restart nothing is served until this is settled.
                interval_ms = CONFIRM_INTERVAL_MS
            await anyio.sleep(interval_ms * random.uniform(0.7, 1.3) / 1000)

    def _situation(self) -> _succession.Situation | None:
        """Returns what this replica knows of the others, if they vote."""
        assert self._desk is not None
        voters = self.deployments.committed_voters
        if voters is None:
            return None
        return _succession.Situation(
            self._own,
            voters,
            self._desk.heard,
            self._started_ms,
            self._settings.wanted_voters,
            _clock.now_ms(),
        )

    async def _plan_voters(self) -> None:
        assert self._desk is not None
        self._desk.forget_silent(_clock.now_ms(), FORGET_REPLICA_MS)
        situation = self._situation()
        if situation is None:
            return
        wanted = _succession.plan_next_voters(situation)
        if wanted is None:
            return
        is_done = await self.deployments.change_voters(wanted)
        self._metrics.count("voters", "changed" if is_done else "not_changed")
        events.write(
            "voters_changed",
            voters=list(situation.voters.voters),
            wanted=list(wanted),
            version=situation.voters.version,
            outcome="in_force" if is_done else "not_finished",
        )
