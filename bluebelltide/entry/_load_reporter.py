"""Load reports that entry instances of a direct deployment exchange.

Each instance reports the flows that it sees on targets to a bounded number of
other instances (`membership._peer_ring`) and adds up what it is told.
"""

from collections.abc import Callable
from typing import Protocol

from bluebelltide.messaging import _datagrams
from bluebelltide.placement import PeerLoads
from bluebelltide.placement import Placer

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
SPARSE_LOCAL_REPORT_INTERVAL_MS = 100
"""Minimum time between reports to local peers in a large deployment, where one
instance sees few flows."""
SPARSE_REMOTE_REPORT_INTERVAL_MS = 400
"""Minimum time between reports to remote peers in a large deployment; a report
is used for longer."""
CALM_UTILISATION = 0.4
"""The share of busy slots below which an instance of a large deployment reports
less often. Nearly every target has a free slot then, whatever other instances
have placed."""
CALM_LOCAL_REPORT_INTERVAL_MS = 400
"""Minimum time between reports to local peers while few slots are busy. News of
an ejected target does not wait for it."""
NEWS_INTERVAL_MS = 100
"""Maximum time until remote peers are told what was seen of targets that leave
requests unanswered."""
HELD_PACKET_CHECK_INTERVAL_MS = 10
"""Time between two checks whether a slot is free for a held packet."""


class HeldPackets(Protocol):
    """The opening packets that an instance holds until a slot is free."""

    @property
    def held_packet_count(self) -> int:
        """How many opening packets are held."""


SendFunction = Callable[[str, bytes], None]
"""Sends a datagram to the instance on a machine."""


def report_interval_ms(
    peer_count: int, minimum_ms: int, maximum_reports_per_s: int
) -> int:
    """Returns the time between two rounds of load reports.

    Instances with many peers report less often, so that the rate of reports
    is bounded.

    Args:
        peer_count: How many peers get each report.
        minimum_ms: The interval with few peers.
        maximum_reports_per_s: How many reports may be sent per second.

    Returns:
        The interval in milliseconds.
    """
    return max(minimum_ms, peer_count * 1000 // maximum_reports_per_s)


class LoadReporter:
    """Sends the load reports of one instance and receives those of its peers.

    Attributes:
        peers: The instances that get the reports, or None before they are
            known.
    """

    def __init__(
        self,
        host: str,
        placer: Placer,
        front: HeldPackets,
        send: SendFunction,
    ) -> None:
        """Creates the reporter.

        Args:
            host: The address of the instance's machine.
            placer: Counts the flows and uses what the peers report.
            front: Holds opening packets until a slot is free.
            send: Sends a datagram.
        """
        self.peers: _datagrams.PeerList | None = None
        self._host = host
        self._placer = placer
        self._front = front
        self._send = send
        self._loads = PeerLoads()
        placer.peer_flows = self._loads.flows
        placer.peer_idle_flows = self._loads.idle_flows
        self._local_sent_ms = 0
        self._remote_sent_ms = 0
        self._last_report: _datagrams.LoadReport | None = None

    @property
    def peers_version(self) -> int:
        """The version of the peer list in use; 0 before there is one."""
        return 0 if self.peers is None else self.peers.version

    @property
    def _local_hosts(self) -> tuple[str, ...]:
        return () if self.peers is None else self.peers.local_hosts

    @property
    def _remote_hosts(self) -> tuple[str, ...]:
        return () if self.peers is None else self.peers.remote_hosts

    def receive(self, report: _datagrams.LoadReport, now_ms: int) -> None:
        """Uses the report of a peer."""
        self._loads.receive(
            report.sender, report.open_flows, now_ms, report.idle_flows
        )
        self._placer.observations.note_peer_ejections(
            report.ejected_tokens, now_ms
        )
        watch = self._placer.response_watch
        if watch is not None and report.witness_reports:
            watch.merge_reports(
                report.witness_reports, now_ms, passes_on=self._is_sparse
            )
        self._update_peer_count()

    def _update_peer_count(self) -> None:
        """Sets the number of instances that share the targets' free slots.

        In a large deployment only some of them report to this one.
        """
        reporting = self._loads.peer_count
        if self.peers is not None and self._is_sparse:
            reporting = max(reporting, self.peers.instance_count - 1)
        self._placer.peer_count = reporting

    @property
    def _is_sparse(self) -> bool:
        """Whether this instance reports to some of the instances only."""
        if self.peers is None:
            return False
        peer_count = len(self._local_hosts) + len(self._remote_hosts)
        return peer_count < self.peers.instance_count - 1

    def _intervals_ms(self) -> tuple[int, int]:
        """Returns the times between reports to local and remote peers."""
        local_interval_ms = LOCAL_REPORT_INTERVAL_MS
        remote_interval_ms, remote_reports_per_s = (
            REMOTE_REPORT_INTERVAL_MS,
            REMOTE_REPORTS_PER_S,
        )
        if self._is_sparse:
            local_interval_ms = SPARSE_LOCAL_REPORT_INTERVAL_MS
            remote_interval_ms = SPARSE_REMOTE_REPORT_INTERVAL_MS
        if self._front.held_packet_count:
            # Slots are scarce, so instances must learn sooner of the flows
            # that others placed on the same targets.
            remote_interval_ms, remote_reports_per_s = (
                BUSY_REMOTE_REPORT_INTERVAL_MS,
                BUSY_REMOTE_REPORTS_PER_S,
            )
        if self._has_witness_news(is_local=False):
            remote_interval_ms = min(remote_interval_ms, NEWS_INTERVAL_MS)
        return (
            report_interval_ms(
                len(self._local_hosts),
                local_interval_ms,
                LOCAL_REPORTS_PER_S,
            ),
            report_interval_ms(
                len(self._remote_hosts),
                remote_interval_ms,
                remote_reports_per_s,
            ),
        )

    def next_wait_ms(self) -> int:
        """Returns the time until held packets and due reports are checked."""
        local_interval_ms, _ = self._intervals_ms()
        if self._front.held_packet_count:
            return min(local_interval_ms, HELD_PACKET_CHECK_INTERVAL_MS)
        return local_interval_ms

    def send_due_reports(self, now_ms: int) -> None:
        """Sends the load to the peers whose next report is due."""
        local_interval_ms, remote_interval_ms = self._intervals_ms()
        report = self._make_report(now_ms)
        is_remote_due = now_ms - self._remote_sent_ms >= remote_interval_ms
        since_local_ms = now_ms - self._local_sent_ms
        is_local_due = since_local_ms >= local_interval_ms and (
            self._has_news(report, since_local_ms)
        )
        if is_remote_due or is_local_due:
            self._last_report = report
            self._local_sent_ms = now_ms
            self._send_report(
                self._local_hosts, self._add_witness_news(report, True, now_ms)
            )
        if is_remote_due:
            self._remote_sent_ms = now_ms
            self._send_report(
                self._remote_hosts,
                self._add_witness_news(report, False, now_ms),
            )
            self._loads.expire(now_ms)
            self._update_peer_count()

    def _has_news(
        self, report: _datagrams.LoadReport, since_local_ms: int
    ) -> bool:
        """Returns whether local peers should get a report now."""
        last = self._last_report
        if last is None or report.ejected_tokens != last.ejected_tokens:
            return True
        if self._has_witness_news(is_local=True):
            return True
        may_wait = since_local_ms < CALM_LOCAL_REPORT_INTERVAL_MS
        if may_wait and self._is_sparse and self._is_calm():
            return False
        return report != last

    def _has_witness_news(self, is_local: bool) -> bool:
        watch = self._placer.response_watch
        return watch is not None and watch.has_news(is_local)

    def _add_witness_news(
        self, report: _datagrams.LoadReport, is_local: bool, now_ms: int
    ) -> _datagrams.LoadReport:
        watch = self._placer.response_watch
        if watch is None:
            return report
        return report._replace(
            witness_reports=watch.take_news(is_local, now_ms)
        )

    def _is_calm(self) -> bool:
        """Returns whether few slots are busy, by the flows known here."""
        utilisation = self._placer.estimate_utilisation(
            1 + self._loads.peer_count
        )
        return utilisation < CALM_UTILISATION

    def _make_report(self, now_ms: int) -> _datagrams.LoadReport:
        observations = self._placer.observations
        return _datagrams.LoadReport(
            self._host,
            dict(observations.open_flows),
            tuple(observations.ejected_targets(now_ms)),
            dict(observations.idle_flows),
        )

    def _send_report(
        self, hosts: tuple[str, ...], report: _datagrams.LoadReport
    ) -> None:
        if not hosts:
            return
        data = _datagrams.encode_datagram(report)
        for host in hosts:
            self._send(host, data)
