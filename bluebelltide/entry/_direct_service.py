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
from bluebelltide import _http1
from bluebelltide import _metrics
from bluebelltide import _types
from bluebelltide._events import events
from bluebelltide.catalogue import _deployment
from bluebelltide.fronts import _token_front
from bluebelltide.membership import _directory
from bluebelltide.membership import _replica_poller
from bluebelltide.messaging import _calls
from bluebelltide.messaging import _datagrams
from bluebelltide.placement import create_placer

POLL_INTERVAL_MS = 200
"""Time between two polls; each goes to the next replica in turn."""
STARTING_POLL_INTERVAL_MS = 50
"""Time between two polls of all replicas while routes or targets are
unknown."""
LOCAL_REPORT_INTERVAL_MS = 10
"""Minimum time between load reports to peers in the same data centre."""
REMOTE_REPORT_INTERVAL_MS = 150
"""Minimum time between load reports to peers in other data centres."""
LOCAL_REPORTS_PER_S = 200
"""Maximum rate of load reports to peers in the same data centre."""
REMOTE_REPORTS_PER_S = 40
"""Maximum rate of load reports to peers in other data centres."""
BUSY_REMOTE_REPORT_INTERVAL_MS = 20
"""Minimum time between load reports to peers in other data centres while
packets are held until a slot is free."""
BUSY_REMOTE_REPORTS_PER_S = 300
"""Maximum rate of load reports to peers in other data centres while packets
are held until a slot is free."""
HELD_PACKET_CHECK_INTERVAL_MS = 10
"""Time between two checks whether a slot is free for a held packet."""
REPORT_LIFETIME_MS = 1000
"""How long the load report of a peer is used."""
FETCH_TIMEOUT_MS = 1000
"""Timeout of fetching a deployment."""
STOP_DELAY_MS = 2500
"""How long a stopping instance forwards packets after it became unready."""
EXPIRY_INTERVAL_MS = 100
"""Time between two searches for overdue answers and idle flows."""


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


def report_interval_ms(
    peer_count: int, minimum_ms: int, maximum_reports_per_s: int
) -> int:
    """Returns the time between two rounds of load reports.

    The number of reports grows with the square of the number of instances, so
    instances with many peers report less often.

    Args:
        peer_count: How many peers get each report.
        minimum_ms: The interval with few peers.
        maximum_reports_per_s: How many reports may be sent per second.

    Returns:
        The interval in milliseconds.
    """
    return max(minimum_ms, peer_count * 1000 // maximum_reports_per_s)


class _PeerReport(NamedTuple):
    """The newest load report of a peer."""

    flows: dict[int, int]
    """The number of open flows by target token."""
    received_ms: int
    """When the report arrived."""


class DirectEntry:
    """Runs one entry instance of a direct deployment."""

    def __init__(
        self,
        settings: DirectEntrySettings,
        codec: _token_front.PacketCodec,
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
        self._placer = create_placer(settings.data_centre, random.random)
        self._directory = _directory.TargetDirectory()
        self._replica_poller = _replica_poller.ReplicaPoller(
            settings.host, settings.data_centre, None
        )
        self._front = _token_front.TokenFront(
            codec,
            self._placer,
            self._send_packet,
            metrics.count,
            metrics.observe_ms,
            self._log_opening_packet,
            self._log_request,
            self._log_flow_end,
        )
        self._is_stopping = False
        self._is_fetching = False
        self._is_confirmed = False
        self._local_peers: tuple[str, ...] = ()
        self._remote_peers: tuple[str, ...] = ()
        self._peer_reports: dict[str, _PeerReport] = {}
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
        listener = await anyio.create_tcp_listener(
            local_host=settings.ready_address.host,
            local_port=settings.ready_address.port,
        )
        tasks.start_soon(_http1.serve_http, listener, self._answer_readiness)
        tasks.start_soon(self._poll_replicas_forever)
        tasks.start_soon(self._report_load_forever)
        tasks.start_soon(self._expire_flows_forever)
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
        self._front.handle_packet(data, _clock.now_ms())

    def _log_opening_packet(self, report: _token_front.OpeningReport) -> None:
        placement = report.placement
        events.write(
            "flow_opening",
            flow=report.flow,
            copy=report.retransmissions,
            route=report.route,
            version=report.version,
            service=report.service,
            target=report.target_id,
            outcome=report.outcome,
            own_flows=placement.own_flows,
            peer_flows=placement.peer_flows,
            candidates=placement.candidate_count,
            held_ms=report.held_ms,
        )

    def _log_request(self, report: _token_front.RequestReport) -> None:
        events.write(
            "request_forwarded",
            request=report.request_id,
            flow=report.flow,
            target=report.target_id,
            outcome="forwarded" if report.target_id else "unknown_target",
        )

    def _log_flow_end(self, report: _token_front.FlowEndReport) -> None:
        self._metrics.observe_ms("flow_open_ms", report.open_ms)
        events.write(
            "flow_ended",
            flow=report.flow,
            target=report.target_id,
            open_ms=report.open_ms,
        )

    def _on_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        try:
            message = _datagrams.decode_datagram(data, sender[0])
        except _exceptions.BluebelltideError:
            self._metrics.count("dropped", "bad_frame")
            return
        now_ms = _clock.now_ms()
        if isinstance(message, _datagrams.Update):
            self._on_update(message, now_ms)
        elif isinstance(message, _datagrams.LoadReport):
            self._on_load_report(message, now_ms)

    def _on_update(self, update: _datagrams.Update, now_ms: int) -> None:
        has_changed = False
        if update.records:
            self._directory.purge_tombstones(now_ms)
        for record in update.records:
            has_changed |= self._directory.merge(record, now_ms)
        if self._replica_poller.receive(update, now_ms):
            self._send_poll(update.replica.host)
        self._local_peers = update.local_entry_hosts
        self._remote_peers = update.remote_entry_hosts
        has_complete_view = update.has_complete_view and not update.has_more
        if has_complete_view and not self._front.has_all_targets:
            self._front.has_all_targets = True
            events.write("targets_complete", replica=update.replica.identity)
        if has_changed:
            self._apply_targets()
        if self._should_fetch_deployment(update):
            self._start_fetch(update.replica.host)

    def _should_fetch_deployment(self, update: _datagrams.Update) -> bool:
        """Returns whether to fetch the deployment of an update's sender."""
        version = self._deployment_version()
        if max(update.deployment_version, update.unconfirmed_version) > version:
            return True
        # An unconfirmed deployment is fetched again once its version is
        # committed: other content may have been committed under it.
        is_confirmed_or_absent = self._is_confirmed or version < 0
        return (
            not is_confirmed_or_absent and update.deployment_version == version
        )

    def _start_fetch(self, host: str) -> None:
        if not self._is_fetching and self._tasks is not None:
            self._is_fetching = True
            self._tasks.start_soon(self._fetch_deployment, host)

    def _apply_targets(self) -> None:
        known, accepting = _token_front.index_targets_by_token(
            list(self._directory.incarnations()),
            self._directory.live_targets(),
        )
        self._front.use_targets(known, accepting)
        events.write(
            "targets_changed", known=len(known), accepting=len(accepting)
        )

    def _deployment_version(self) -> int:
        routes = self._front.routes
        return -1 if routes is None else routes.deployment.version

    async def _fetch_deployment(self, host: str) -> None:
        """Fetches and applies the newest deployment that a replica has."""
        try:
            answer = await _calls.call(
                _types.Address(host, self._settings.port),
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
        is_newer = state.version > self._deployment_version()
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
        self._front.routes = _deployment.RouteTable(deployment)
        self._is_confirmed = is_committed
        events.write(
            "deployment_in_force",
            version=deployment.version,
            is_confirmed=is_committed,
        )

    def _send_message(self, host: str, message: _datagrams.Message) -> None:
        self._send_datagram(host, _datagrams.encode_datagram(message))

    def _send_datagram(self, host: str, data: bytes) -> None:
        assert self._update_socket is not None
        if not self._update_socket.send(data, (host, self._settings.port)):
            self._metrics.count("dropped", "send_failed")

    def _send_poll(self, host: str) -> None:
        self._send_message(host, self._replica_poller.make_poll(host))

    async def _poll_replicas_forever(self) -> None:
        while not self._has_routes_and_targets:
            for host in self._replica_poller.hosts(_clock.now_ms()):
                self._send_poll(host)
            await anyio.sleep(STARTING_POLL_INTERVAL_MS / 1000)
        while True:
            next_host = self._replica_poller.next_host(_clock.now_ms())
            if next_host is not None:
                self._send_poll(next_host)
            await anyio.sleep(POLL_INTERVAL_MS / 1000)

    def _report_intervals_ms(self) -> tuple[int, int]:
        """Returns the times between reports to local and remote peers."""
        remote_interval_ms, remote_reports_per_s = (
            REMOTE_REPORT_INTERVAL_MS,
            REMOTE_REPORTS_PER_S,
        )
        if self._front.held_packet_count:
            # Slots are scarce, so instances must learn sooner of the flows
            # that others placed on the same targets.
            remote_interval_ms, remote_reports_per_s = (
                BUSY_REMOTE_REPORT_INTERVAL_MS,
                BUSY_REMOTE_REPORTS_PER_S,
            )
        return (
            report_interval_ms(
                len(self._local_peers),
                LOCAL_REPORT_INTERVAL_MS,
                LOCAL_REPORTS_PER_S,
            ),
            report_interval_ms(
                len(self._remote_peers),
                remote_interval_ms,
                remote_reports_per_s,
            ),
        )

    async def _report_load_forever(self) -> None:
        local_sent_ms = remote_sent_ms = 0
        last_report: _datagrams.LoadReport | None = None
        while True:
            local_interval_ms, remote_interval_ms = self._report_intervals_ms()
            has_held_packets = self._front.held_packet_count > 0
            wait_ms = (
                min(local_interval_ms, HELD_PACKET_CHECK_INTERVAL_MS)
                if has_held_packets
                else local_interval_ms
            )
            await anyio.sleep(wait_ms / 1000)
            now_ms = _clock.now_ms()
            self._front.release_held_packets(now_ms)
            report = self._make_load_report(now_ms)
            is_remote_due = now_ms - remote_sent_ms >= remote_interval_ms
            is_local_due = now_ms - local_sent_ms >= local_interval_ms
            if is_remote_due or (is_local_due and report != last_report):
                last_report = report
                local_sent_ms = now_ms
                self._send_report(self._local_peers, report)
            if is_remote_due:
                remote_sent_ms = now_ms
                self._send_report(self._remote_peers, report)
                self._update_peer_flows(now_ms)

    def _make_load_report(self, now_ms: int) -> _datagrams.LoadReport:
        observations = self._placer.observations
        return _datagrams.LoadReport(
            self._settings.host,
            dict(observations.open_flows),
            tuple(observations.ejected_targets(now_ms)),
        )

    def _send_report(
        self, hosts: tuple[str, ...], report: _datagrams.LoadReport
    ) -> None:
        data = _datagrams.encode_datagram(report)
        for host in hosts:
            self._send_datagram(host, data)

    def _on_load_report(
        self, report: _datagrams.LoadReport, now_ms: int
    ) -> None:
        self._peer_reports[report.sender] = _PeerReport(
            report.open_flows, now_ms
        )
        self._placer.observations.note_peer_ejections(
            report.ejected_tokens, now_ms
        )
        self._update_peer_flows(now_ms)

    def _update_peer_flows(self, now_ms: int) -> None:
        total: dict[int, int] = {}
        for sender, report in list(self._peer_reports.items()):
            if now_ms - report.received_ms > REPORT_LIFETIME_MS:
                del self._peer_reports[sender]
                continue
            for token, flows in report.flows.items():
                total[token] = total.get(token, 0) + flows
        self._placer.peer_flows = total
        self._placer.peer_count = len(self._peer_reports)

    async def _expire_flows_forever(self) -> None:
        while True:
            await anyio.sleep(EXPIRY_INTERVAL_MS / 1000)
            now_ms = _clock.now_ms()
            self._placer.observations.check_overdue_answers(now_ms)
            self._placer.observations.expire_idle_flows(now_ms)
