"""An entry instance for a fabric whose packets carry a target's token.

It follows the control replicas for routes and targets, forwards packets and
tells its peers what it sees of the targets.
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
from bluebelltide.fronts import _tagged
from bluebelltide.membership import _directory
from bluebelltide.membership import _subscription
from bluebelltide.news import _calls
from bluebelltide.news import _messages
from bluebelltide.placement import create_placer

POLL_INTERVAL_MS = 200
"""Time between two polls, of one replica after the other."""
STARTING_POLL_INTERVAL_MS = 50
"""Time between two polls of all replicas, while routes or targets are not
known."""
NEAR_REPORT_MS = 10
"""Shortest time between two load reports inside the data centre."""
FAR_REPORT_MS = 150
"""Shortest time between two load reports to other data centres."""
NEAR_REPORTS_PER_S = 200
"""How many reports an instance sends inside its data centre."""
FAR_REPORTS_PER_S = 40
"""How many reports an instance sends to other data centres."""
BUSY_FAR_REPORT_MS = 20
"""Shortest time between reports to other data centres while flows wait."""
BUSY_FAR_REPORTS_PER_S = 300
"""How many reports an instance sends there while flows wait."""
RELEASE_MS = 10
"""Time between two looks at flows that wait for a free slot."""
REPORT_KEPT_MS = 1000
"""How long a peer's load report counts."""
FETCH_TIMEOUT_MS = 1000
"""How long fetching a deployment may take."""
LEAVE_MS = 2500
"""How long packets are still carried after readiness was withdrawn."""
EXPIRE_INTERVAL_MS = 100
"""Time between two searches for flows that have been idle for too long."""


class DirectEntrySettings(NamedTuple):
    """What an entry instance of a direct deployment is told."""

    host: str
    """The address of its machine."""
    data_centre: str
    """Its data centre."""
    packet_address: _types.Address
    """Where the fabric sends packets."""
    ready_address: _types.Address
    """Where readiness is served."""
    port: int
    """The port for calls and datagrams between processes, on all machines."""
    seed_hosts: tuple[str, ...]
    """The machines of some control replicas."""
    ready_path: str
    """The path of readiness."""
    bind_host: str = ""
    """Where `port` is bound and calls leave from, if that isn't `host`."""


def report_interval_ms(peers: int, shortest_ms: int, reports_per_s: int) -> int:
    """Returns the time between two rounds of load reports.

    The cost of reports grows with the square of the instances, so more peers
    are told less often.

    Args:
        peers: How many peers get each report.
        shortest_ms: The interval among few peers.
        reports_per_s: How many reports may be sent in a second.

    Returns:
        The interval in milliseconds.
    """
    return max(shortest_ms, peers * 1000 // reports_per_s)


class _PeerReport(NamedTuple):
    flows: dict[int, int]
    heard_ms: int


class DirectEntry:
    """The controller of one entry process."""

    def __init__(
        self,
        settings: DirectEntrySettings,
        codec: _tagged.PacketCodec,
        read_deployment: Callable[[bytes], _deployment.Deployment],
        metrics: _metrics.Metrics,
    ) -> None:
        """Creates the controller; `start` opens sockets.

        Args:
            settings: The settings.
            codec: The fabric's packet layout.
            read_deployment: Decodes a deployment's document.
            metrics: The counters.
        """
        self._settings = settings
        self._read_deployment = read_deployment
        self._metrics = metrics
        self._placer = create_placer(settings.data_centre, random.random)
        self._directory = _directory.TargetDirectory()
        self._follower = _subscription.Follower(
            settings.host, settings.data_centre, None
        )
        self._front = _tagged.TaggedFront(
            codec,
            self._placer,
            self._send_packet,
            metrics.count,
            metrics.observe_ms,
            self._report_opening,
            self._report_request,
            self._report_end,
        )
        self._is_stopping = False
        self._is_fetching = False
        self._is_confirmed = False
        self._near_peers: tuple[str, ...] = ()
        self._far_peers: tuple[str, ...] = ()
        self._reports: dict[str, _PeerReport] = {}
        self._packets: _batch_socket.BatchSocket | None = None
        self._news: _batch_socket.BatchSocket | None = None
        self._tasks: anyio.abc.TaskGroup | None = None

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Opens the sockets and begins to follow the control replicas.

        Args:
            tasks: Runs the loops until it is cancelled.
        """
        settings = self._settings
        self._tasks = tasks
        self.use_seeds(settings.seed_hosts)
        own = _types.Address(settings.bind_host or settings.host, settings.port)
        self._news = _batch_socket.open_batch_socket(own, self._on_news)
        self._packets = _batch_socket.open_batch_socket(
            settings.packet_address, self._on_packet
        )
        self._news.start()
        self._packets.start()
        listener = await anyio.create_tcp_listener(
            local_host=settings.ready_address.host,
            local_port=settings.ready_address.port,
        )
        tasks.start_soon(_http1.serve_http, listener, self._answer)
        tasks.start_soon(self._poll_forever)
        tasks.start_soon(self._report_forever)
        tasks.start_soon(self._expire_forever)
        events.write("started", address=str(settings.packet_address))

    def close(self) -> None:
        """Closes the sockets."""
        for opened in (self._packets, self._news):
            if opened is not None:
                opened.close()

    async def stop(self) -> None:
        """Withdraws readiness and carries packets until they go elsewhere."""
        self._is_stopping = True
        events.write("stopping", carries_for_ms=LEAVE_MS)
        await anyio.sleep(LEAVE_MS / 1000)

    def use_seeds(self, hosts: tuple[str, ...]) -> None:
        """Takes the control replicas' machines that the settings name."""
        self._follower.use_seeds(hosts, _clock.now_ms())

    @property
    def is_ready(self) -> bool:
        """Whether the fabric should send packets here."""
        return self._has_all and not self._is_stopping

    @property
    def _has_all(self) -> bool:
        """Whether routes and targets are known."""
        return self._front.routes is not None and self._front.is_complete

    async def _answer(self, request: _http1.Request) -> _http1.Response:
        if request.path != self._settings.ready_path:
            return _http1.Response(404)
        return _http1.Response(200 if self.is_ready else 503)

    def _send_packet(self, data: bytes, address: tuple[str, int]) -> bool:
        assert self._packets is not None
        return self._packets.send(data, address)

    def _on_packet(self, data: bytes, sender: tuple[str, int]) -> None:
        del sender
        self._front.take_packet(data, _clock.now_ms())

    def _report_opening(self, report: _tagged.OpeningReport) -> None:
        placement = report.placement
        events.write(
            "flow_opening",
            flow=report.flow,
            copy=report.copy,
            route=report.route,
            version=report.version,
            service=report.service,
            target=report.target_id,
            outcome=report.outcome,
            own_flows=placement.own_flows,
            peer_flows=placement.peer_flows,
            candidates=placement.candidates,
            held_ms=report.held_ms,
        )

    def _report_request(self, report: _tagged.RequestReport) -> None:
        events.write(
            "request_forwarded",
            request=report.request_id,
            flow=report.flow,
            target=report.target_id,
            outcome="forwarded" if report.target_id else "unknown_target",
        )

    def _report_end(self, report: _tagged.EndReport) -> None:
        self._metrics.observe_ms("flow_open_ms", report.open_ms)
        events.write(
            "flow_ended",
            flow=report.flow,
            target=report.target_id,
            open_ms=report.open_ms,
        )

    def _on_news(self, data: bytes, sender: tuple[str, int]) -> None:
        try:
            news = _messages.decode_news(data, sender[0])
        except _exceptions.BluebelltideError:
            self._metrics.count("dropped", "bad_frame")
            return
        now_ms = _clock.now_ms()
        if isinstance(news, _messages.Update):
            self._on_update(news, now_ms)
        elif isinstance(news, _messages.LoadReport):
            self._on_load_report(news, now_ms)

    def _on_update(self, update: _messages.Update, now_ms: int) -> None:
        has_news = False
        if update.records:
            self._directory.forget_left(now_ms)
        for record in update.records:
            has_news |= self._directory.merge(record, now_ms)
        if self._follower.receive(update, now_ms):
            self._send_poll(update.replica.host)
        self._near_peers = update.near_entries
        self._far_peers = update.far_entries
        has_all = update.is_warm and not update.has_more
        if has_all and not self._front.is_complete:
            self._front.is_complete = True
            events.write("targets_complete", replica=update.replica.identity)
        if has_news:
            self._use_targets()
        if self._wants_deployment(update):
            self._fetch_soon(update.replica.host)

    def _wants_deployment(self, update: _messages.Update) -> bool:
        """Returns whether a replica has a deployment to be fetched."""
        version = self._version()
        if max(update.document_version, update.offered_version) > version:
            return True
        # Other content may have been committed under the same version.
        is_settled = self._is_confirmed or version < 0
        return not is_settled and update.document_version == version

    def _fetch_soon(self, host: str) -> None:
        if not self._is_fetching and self._tasks is not None:
            self._is_fetching = True
            self._tasks.start_soon(self._fetch, host)

    def _use_targets(self) -> None:
        known, accepting = _tagged.known_and_accepting(
            list(self._directory.incarnations()),
            self._directory.live_targets(),
        )
        self._front.use_targets(known, accepting)
        events.write(
            "targets_changed", known=len(known), accepting=len(accepting)
        )

    def _version(self) -> int:
        routes = self._front.routes
        return -1 if routes is None else routes.deployment.version

    async def _fetch(self, host: str) -> None:
        """Fetches the newest deployment that a replica offers."""
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
        is_newer = state.version > self._version()
        confirms = state.version == self._version() and answer.is_committed
        if state.value is not None and (is_newer or confirms):
            self._use_deployment(state.value, answer.is_committed)

    def _use_deployment(self, value: bytes, is_committed: bool) -> None:
        try:
            body = _deployment.expand_document(value, _http1.MAXIMUM_BODY_BYTES)
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

    def _send_news(self, host: str, news: _messages.News) -> None:
        self._send_datagram(host, _messages.encode_news(news))

    def _send_datagram(self, host: str, data: bytes) -> None:
        assert self._news is not None
        if not self._news.send(data, (host, self._settings.port)):
            self._metrics.count("dropped", "send_failed")

    def _send_poll(self, host: str) -> None:
        self._send_news(host, self._follower.poll(host))

    async def _poll_forever(self) -> None:
        while not self._has_all:
            for host in self._follower.hosts(_clock.now_ms()):
                self._send_poll(host)
            await anyio.sleep(STARTING_POLL_INTERVAL_MS / 1000)
        while True:
            next_host = self._follower.next_host(_clock.now_ms())
            if next_host is not None:
                self._send_poll(next_host)
            await anyio.sleep(POLL_INTERVAL_MS / 1000)

    def _report_intervals_ms(self) -> tuple[int, int]:
        """Returns the times between reports, near and far."""
        far_ms, far_per_s = FAR_REPORT_MS, FAR_REPORTS_PER_S
        if self._front.held_count:
            # Instances that share scarce slots must know of each other's
            # flows sooner.
            far_ms, far_per_s = BUSY_FAR_REPORT_MS, BUSY_FAR_REPORTS_PER_S
        return (
            report_interval_ms(
                len(self._near_peers), NEAR_REPORT_MS, NEAR_REPORTS_PER_S
            ),
            report_interval_ms(len(self._far_peers), far_ms, far_per_s),
        )

    async def _report_forever(self) -> None:
        near_told_ms = far_told_ms = 0
        told: _messages.LoadReport | None = None
        while True:
            near_ms, far_ms = self._report_intervals_ms()
            is_holding = self._front.held_count > 0
            wait_ms = min(near_ms, RELEASE_MS) if is_holding else near_ms
            await anyio.sleep(wait_ms / 1000)
            now_ms = _clock.now_ms()
            self._front.release_held(now_ms)
            report = self._load_report(now_ms)
            is_far_due = now_ms - far_told_ms >= far_ms
            is_near_due = now_ms - near_told_ms >= near_ms
            if is_far_due or (is_near_due and report != told):
                told = report
                near_told_ms = now_ms
                self._send_report(self._near_peers, report)
            if is_far_due:
                far_told_ms = now_ms
                self._send_report(self._far_peers, report)
                self._sum_reports(now_ms)

    def _load_report(self, now_ms: int) -> _messages.LoadReport:
        seen = self._placer.observations
        return _messages.LoadReport(
            self._settings.host,
            dict(seen.open_flows),
            tuple(seen.suspects(now_ms)),
        )

    def _send_report(
        self, hosts: tuple[str, ...], report: _messages.LoadReport
    ) -> None:
        data = _messages.encode_news(report)
        for host in hosts:
            self._send_datagram(host, data)

    def _on_load_report(
        self, report: _messages.LoadReport, now_ms: int
    ) -> None:
        self._reports[report.sender] = _PeerReport(report.flows, now_ms)
        self._placer.observations.note_peer_suspicion(report.suspects, now_ms)
        self._sum_reports(now_ms)

    def _sum_reports(self, now_ms: int) -> None:
        total: dict[int, int] = {}
        for sender, report in list(self._reports.items()):
            if now_ms - report.heard_ms > REPORT_KEPT_MS:
                del self._reports[sender]
                continue
            for token, flows in report.flows.items():
                total[token] = total.get(token, 0) + flows
        self._placer.peer_flows = total
        self._placer.peers = len(self._reports)

    async def _expire_forever(self) -> None:
        while True:
            await anyio.sleep(EXPIRE_INTERVAL_MS / 1000)
            now_ms = _clock.now_ms()
            self._placer.observations.note_unanswered(now_ms)
            self._placer.observations.expire(now_ms)
