"""An entry instance of a direct deployment.

In a direct deployment the packets of a flow carry the token of their target.
The instance polls the control replicas for routes and targets, forwards
packets, and reports the load that it observes on targets to its peers.
"""

from collections.abc import Callable
import random
from typing import NamedTuple

import anyio
import anyio.abc

from bluebelltide import _batch_socket
from bluebelltide import _clock
from bluebelltide import _exceptions
from bluebelltide import _guard
from bluebelltide import _http1
from bluebelltide import _metrics
from bluebelltide import _types
from bluebelltide._events import events
from bluebelltide.catalogue import _deployment
from bluebelltide.catalogue import _register
from bluebelltide.entry import _evacuation_view
from bluebelltide.entry import _flow_log
from bluebelltide.entry import _load_reporter
from bluebelltide.entry import _pause_watch
from bluebelltide.entry import _target_index
from bluebelltide.fronts import _token_front
from bluebelltide.fronts import _token_packets
from bluebelltide.membership import _directory
from bluebelltide.membership import _replica_poller
from bluebelltide.membership import _target_records
from bluebelltide.messaging import _calls
from bluebelltide.messaging import _datagrams
from bluebelltide.placement import PaceChange
from bluebelltide.placement import Paces
from bluebelltide.placement import create_placer

STARTING_POLL_INTERVAL_MS = 50
"""Time between the first two polls of all replicas while routes or targets are
unknown; it doubles with each poll, so that replicas that start together with
many instances are not overloaded."""
STARTING_POLL_LIMIT_MS = 400
"""Upper bound of the time between two polls of all replicas."""
FETCH_TIMEOUT_MS = 1000
"""Timeout of fetching a deployment."""
REMOTE_FETCH_DELAY_MS = 100
"""How long an instance with routes waits at most for the replica of its own
data centre to offer a new deployment before it fetches it from another."""
STOP_DELAY_MS = 2500
"""How long a stopping instance forwards packets after it became unready."""
FEW_TARGETS = 256
"""Up to how many targets a change is applied at once."""
APPLY_DELAY_MS = 10
"""How long a change waits for further ones of the same burst."""
EXPIRY_INTERVAL_MS = 90
"""Minimum time between two searches for overdue answers and idle flows."""


class DirectEntrySettings(NamedTuple):
    """The settings of an entry instance of a direct deployment."""

    host: str
    """The address of the instance's machine."""
    data_centre: str
    """The instance's data centre."""
    packet_address: _types.Address
    """Where the instance receives packets from the fabric."""
    ready_address: _types.Address
    """Where the instance serves its readiness over HTTP."""
    port: int
    """The port for calls and datagrams between processes, the same on all
    machines."""
    seed_hosts: tuple[str, ...]
    """The machines of some control replicas."""
    ready_path: str
    """The HTTP path of the readiness."""
    bind_host: str = ""
    """Where `port` is bound and from which calls are made; `host` if empty."""
    learns_from_answers: bool = False
    """Whether the instance judges targets by how fast they answer."""


class DirectEntry:
    """Runs one entry instance of a direct deployment."""

    def __init__(
        self,
        settings: DirectEntrySettings,
        codec: _token_packets.PacketCodec,
        read_deployment: Callable[[bytes], _deployment.Deployment],
        metrics: _metrics.Metrics,
    ) -> None:
        """Creates the instance; `start` opens the sockets.

        Args:
            settings: The settings.
            codec: The layout of the fabric's packets, as functions.
            read_deployment: Decodes the document of a deployment.
            metrics: The metrics of the process.
        """
        self._settings = settings
        self._read_deployment = read_deployment
        self._metrics = metrics
        _guard.count_errors_in(metrics)
        self._paces: Paces | None = None
        if settings.learns_from_answers:
            self._paces = Paces(self._report_pace)
        self._placer = create_placer(
            settings.data_centre, random.random, self._paces
        )
        self._directory = _directory.TargetDirectory()
        self._target_index = _target_index.TargetIndex(self._directory)
        self._refuse_target = _target_records.make_refusal_handler(metrics)
        self._replica_poller = _replica_poller.ReplicaPoller(
            settings.host, settings.data_centre, None
        )
        self._front = _token_front.TokenFront(
            codec,
            self._placer,
            self._send_packet,
            metrics.count,
            metrics.observe_ms,
            _flow_log.log_opening_packet,
            _flow_log.log_request,
            _flow_log.make_flow_end_logger(metrics),
        )
        self._reporter = _load_reporter.LoadReporter(
            settings.host,
            self._placer,
            self._front,
            self._send_datagram,
            metrics.count,
        )
        self._pause_watch = _pause_watch.PauseWatch(_clock.boot_ms())
        self._is_stopping = False
        self._is_fetching = False
        self._is_applying_targets = False
        self._is_confirmed = False
        # The data centres that were evacuated when targets were last applied.
        self._applied_evacuated: tuple[str, ...] = ()
        self._evacuation_view = _evacuation_view.EvacuationView()
        # The replica to fetch a newer deployment from.
        self._offering_replica = _datagrams.Replica("", "")
        self._packet_socket: _batch_socket.BatchSocket | None = None
        self._update_socket: _batch_socket.BatchSocket | None = None
        self._tasks: anyio.abc.TaskGroup | None = None

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Opens the sockets and starts to poll the control replicas.

        Args:
            tasks: The task group that runs the loops until it is cancelled.
        """
        settings = self._settings
        self._tasks = tasks
        self.set_seed_hosts(settings.seed_hosts)
        bind_address = _types.Address(
            settings.bind_host or settings.host, settings.port
        )
        self._update_socket = _batch_socket.open_batch_socket(
            bind_address, self._on_datagram
        )
        self._packet_socket = _batch_socket.open_batch_socket(
            settings.packet_address, self._on_packet
        )
        self._update_socket.start()
        self._packet_socket.start()
        _http1.open_http_server(
            settings.ready_address, self._answer_readiness
        ).start(tasks)
        _guard.start_forever(tasks, "polling", self._poll_replicas_forever)
        _guard.start_forever(tasks, "maintenance", self._maintain_forever)
        events.write("started", address=str(settings.packet_address))

    def close(self) -> None:
        """Closes the sockets."""
        for batch_socket in (self._packet_socket, self._update_socket):
            if batch_socket is not None:
                batch_socket.close()

    async def stop(self) -> None:
        """Becomes unready, and returns once the fabric had time to notice.

        Until then packets are still forwarded.
        """
        self._is_stopping = True
        events.write("stopping", carries_for_ms=STOP_DELAY_MS)
        await anyio.sleep(STOP_DELAY_MS / 1000)

    def set_seed_hosts(self, hosts: tuple[str, ...]) -> None:
        """Sets the control replicas' machines that the settings list."""
        self._replica_poller.set_seed_hosts(hosts, _clock.now_ms())

    @property
    def is_ready(self) -> bool:
        """Whether the fabric should send packets here."""
        return self._has_routes_and_targets and not self._is_stopping

    @property
    def _has_routes_and_targets(self) -> bool:
        """Whether both the routes and all live targets are known."""
        return self._front.routes is not None and self._front.has_all_targets

    async def _answer_readiness(
        self, request: _http1.Request
    ) -> _http1.Response:
        if request.path != self._settings.ready_path:
            return _http1.Response(404)
        return _http1.Response(200 if self.is_ready else 503)

    def _send_packet(self, data: bytes, address: tuple[str, int]) -> bool:
        assert self._packet_socket is not None
        return self._packet_socket.send(data, address)

    def _on_packet(self, data: bytes, sender: tuple[str, int]) -> None:
        del sender
        self._check_for_pause()
        self._front.handle_packet(data, _clock.now_ms())

    def _check_for_pause(self) -> None:
        now_ms = _clock.boot_ms()
        paused_ms = self._pause_watch.check(now_ms)
        if paused_ms:
            self._recover_from_pause(paused_ms)
        elif not self._front.is_view_current:
            self._front.is_view_current = self._pause_watch.must_resume(now_ms)

    def _recover_from_pause(self, paused_ms: int) -> None:
        """Opens no flows until a replica has answered a new poll."""
        events.write("paused", paused_ms=paused_ms)
        self._metrics.count("pause", "noticed")
        self._front.suspend_openings()
        # What arrived during the pause is out of date, updates included.
        for batch_socket in (self._packet_socket, self._update_socket):
            if batch_socket is not None:
                batch_socket.read_pending()
        self._front.suspend_openings()
        now_ms = _clock.now_ms()
        self._placer.cold_rate_limit.note_pause(now_ms)
        if self._paces is not None:
            self._paces.note_pause(now_ms)
        for host in self._replica_poller.hosts(_clock.now_ms()):
            self._send_poll(host)

    def _on_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        self._check_for_pause()
        try:
            message = _datagrams.decode_datagram(
                data, sender[0], self._refuse_target
            )
        except _exceptions.BluebelltideError:
            self._metrics.count("dropped", "bad_frame")
            return
        now_ms = _clock.now_ms()
        if isinstance(message, _datagrams.Update):
            self._on_update(message, now_ms)
        elif isinstance(message, _datagrams.LoadReport):
            self._reporter.receive(message, now_ms)
        elif isinstance(message, _datagrams.PeerList):
            self._reporter.peers = message
            self._placer.cold_rate_limit.use_rank(
                message.rank, message.instance_count, now_ms
            )

    def _on_update(self, update: _datagrams.Update, now_ms: int) -> None:
        has_changed = False
        if update.records:
            self._directory.purge_tombstones(now_ms)
        for record in update.records:
            has_changed |= self._directory.merge(record, now_ms)
        if self._replica_poller.receive(update, now_ms):
            self._send_poll(update.replica.host)
        has_all = not (update.has_more or update.is_partial)
        if has_all and self._paces is not None:
            self._paces.is_trusted = True
        has_complete_view = update.has_complete_view and has_all
        have_evacuations_changed = self._update_evacuations(update)
        if has_complete_view and not self._front.has_all_targets:
            self._apply_targets()
            self._front.has_all_targets = True
            if self._paces is not None:
                self._paces.note_first_targets()
            events.write("targets_complete", replica=update.replica.identity)
        elif have_evacuations_changed:
            # Not delayed as changes of many targets are: operators wait for
            # the effect, and the set changes rarely.
            self._apply_targets()
        elif has_changed:
            self._apply_targets_soon()
        if self._should_fetch_deployment(update):
            self._start_fetch(update.replica)
        elif has_all:
            self._front.is_view_current = True

    def _update_evacuations(self, update: _datagrams.Update) -> bool:
        """Takes in an update's evacuated data centres.

        Args:
            update: The update.

        Returns:
            Whether the targets must be applied again.
        """
        previous = self._evacuation_view
        view = _evacuation_view.update_view(
            previous, update.evacuations, update.unconfirmed_evacuations
        )
        if view == previous:
            return False
        self._evacuation_view = view
        names = view.evacuations.data_centres
        outcome = "in_force" if view.is_confirmed else "unconfirmed"
        self._metrics.count("evacuation", outcome)
        events.write(
            "evacuations_in_force",
            version=view.evacuations.version,
            data_centres=list(names),
            is_confirmed=view.is_confirmed,
        )
        return names != previous.evacuations.data_centres

    def _should_fetch_deployment(self, update: _datagrams.Update) -> bool:
        """Returns whether to fetch the deployment of an update's sender."""
        version = self._deployment_version()
        offered_versions = (
            update.deployment_version,
            update.unconfirmed_version,
        )
        if any(_register.is_newer(one, version) for one in offered_versions):
            return True
        # An unconfirmed deployment is fetched again once its version is
        # committed: other content may have been committed under it.
        is_confirmed_or_absent = self._is_confirmed or version is None
        return (
            not is_confirmed_or_absent and update.deployment_version == version
        )

    def _start_fetch(self, replica: _datagrams.Replica) -> None:
        is_local = replica.data_centre == self._settings.data_centre
        if is_local or not self._is_fetching:
            self._offering_replica = replica
        if not self._is_fetching and self._tasks is not None:
            self._is_fetching = True
            _guard.start(
                self._tasks, "fetching the deployment", self._fetch_deployment
            )

    def _apply_targets_soon(self) -> None:
        """Applies changed targets now, or a little later if there are many.

        Where many change, as at a start, the changes of some time share one
        round and one log line.
        """
        if self._is_applying_targets:
            return
        target_count = self._directory.record_count
        if target_count < FEW_TARGETS or self._tasks is None:
            self._apply_targets()
            return
        self._is_applying_targets = True
        _guard.start(self._tasks, "applying targets", self._apply_targets_later)

    async def _apply_targets_later(self) -> None:
        await anyio.sleep(APPLY_DELAY_MS / 1000)
        self._is_applying_targets = False
        self._apply_targets()

    def _apply_targets(self) -> None:
        routes = self._front.routes
        services = None if routes is None else routes.services
        evacuated = self._evacuation_view.evacuations.data_centres
        index = self._target_index
        index.refresh(services, evacuated)
        self._front.use_targets(index.known, index.accepting)
        returned = set(self._applied_evacuated).difference(evacuated)
        self._applied_evacuated = evacuated
        if returned:
            self._note_returned_targets(returned)
        events.write(
            "targets_changed",
            known=len(index.known),
            accepting=len(index.accepting),
        )

    def _report_pace(self, change: PaceChange) -> None:
        self._metrics.count("pace", change.cause)
        events.write(
            "pace_changed",
            target=self._front.target_id_of(change.token),
            level=change.pace.level,
            setbacks=change.pace.setbacks,
            cause=change.cause,
        )

    def _note_returned_targets(self, data_centres: set[str]) -> None:
        """Records which targets are in use again after an evacuation."""
        tokens = [
            token
            for token, target in self._target_index.accepting.items()
            if target.data_centre in data_centres
        ]
        self._placer.note_returned_targets(tokens, _clock.now_ms())

    def _deployment_version(self) -> int | None:
        routes = self._front.routes
        return None if routes is None else routes.deployment.version

    async def _fetch_deployment(self) -> None:
        """Fetches and applies the newest deployment that a replica has.

        All instances learn of a new deployment at the same time. So that they
        do not all fetch it from one replica, they prefer the local one.
        """
        try:
            data_centre = self._offering_replica.data_centre
            is_local = data_centre == self._settings.data_centre
            if self._front.routes is not None and not is_local:
                delay_ms = REMOTE_FETCH_DELAY_MS * random.uniform(0.5, 1)
                await anyio.sleep(delay_ms / 1000)
            answer = await _calls.call(
                _types.Address(
                    self._offering_replica.host, self._settings.port
                ),
                "",
                _calls.Fetch(_deployment.DEPLOYMENT_KEY, True),
                FETCH_TIMEOUT_MS,
                self._settings.bind_host,
            )
        finally:
            self._is_fetching = False
        if not isinstance(answer, _calls.Fetched):
            self._metrics.count("fetch", "failed")
            return
        state = answer.state
        is_newer = state.is_newer_than(self._deployment_version())
        is_confirmation = (
            state.version == self._deployment_version() and answer.is_committed
        )
        if state.value is not None and (is_newer or is_confirmation):
            self._apply_deployment(state.value, answer.is_committed)

    def _apply_deployment(self, value: bytes, is_committed: bool) -> None:
        try:
            body = _deployment.decompress_document(
                value, _http1.MAXIMUM_BODY_BYTES
            )
            deployment = self._read_deployment(body)
        except _exceptions.BluebelltideError as error:
            self._metrics.count("deployment", "unreadable")
            events.write("deployment_unreadable", error=str(error))
            return
        previous = self._front.routes
        routes = _deployment.RouteTable(deployment)
        self._front.routes = routes
        self._directory.services = routes.services
        self._placer.cold_rate_limit.use_limits(deployment.cold_limits)
        if previous is None or previous.services != routes.services:
            # Which targets count depends on the services.
            self._apply_targets()
        self._front.is_view_current = True
        self._is_confirmed = is_committed
        events.write(
            "deployment_in_force",
            version=deployment.version,
            is_confirmed=is_committed,
        )

    def _send_datagram(self, host: str, data: bytes) -> None:
        assert self._update_socket is not None
        if not self._update_socket.send(data, (host, self._settings.port)):
            self._metrics.count("dropped", "send_failed")

    def _send_poll(self, host: str) -> None:
        poll = self._replica_poller.make_poll(
            host,
            peers_version=self._reporter.peers_version,
            digest=self._directory.digest,
        )
        self._send_datagram(host, _datagrams.encode_datagram(poll))

    async def _poll_replicas_forever(self) -> None:
        interval_ms = STARTING_POLL_INTERVAL_MS
        while not self._has_routes_and_targets:
            with _guard.log_errors("a poll"):
                for host in self._replica_poller.hosts(_clock.now_ms()):
                    self._send_poll(host)
            await anyio.sleep(interval_ms * random.uniform(0.75, 1.25) / 1000)
            interval_ms = min(2 * interval_ms, STARTING_POLL_LIMIT_MS)
        while True:
            with _guard.log_errors("a poll"):
                next_host = self._replica_poller.next_host(_clock.now_ms())
                if next_host is not None:
                    self._send_poll(next_host)
            await anyio.sleep(self._replica_poller.interval_ms / 1000)

    async def _maintain_forever(self) -> None:
        """Checks timeouts, releases held packets and reports the load."""
        expired_ms = 0
        while True:
            await anyio.sleep(self._reporter.next_wait_ms() / 1000)
            now_ms = _clock.now_ms()
            with _guard.log_errors("maintenance"):
                self._check_for_pause()
                if now_ms - expired_ms >= EXPIRY_INTERVAL_MS:
                    expired_ms = now_ms
                    self._placer.check_overdue_answers(now_ms)
                    self._placer.observations.expire_idle_flows(now_ms)
                self._front.release_held_packets(now_ms)
                self._reporter.send_due_reports(now_ms)
