"""Sums the load that other instances report of the targets."""

from collections.abc import Mapping
from typing import NamedTuple

REPORT_LIFETIME_MS = 1000
"""How long the load report of a peer is used."""
NO_FLOWS: Mapping[int, int] = {}
"""The idle flows of a report that names none."""


class _PeerReport(NamedTuple):
    """The newest load report of a peer."""

    flows: Mapping[int, int]
    """The number of open flows by target token."""
    received_ms: int
    """When the report arrived."""
    idle_flows: Mapping[int, int]
    """The number of idle ones among the open flows, by target token."""


class PeerLoads:
    """The newest reports of all peers and their sum.

    The sum is kept up to date with each report, so the work of a report does
    not depend on the number of peers.

    Attributes:
        flows: The open flows that the peers report, by target token.
        idle_flows: The idle ones among them, by target token.
    """

    def __init__(self) -> None:
        """Creates the sum of no reports."""
        self.flows: dict[int, int] = {}
        self.idle_flows: dict[int, int] = {}
        self._reports: dict[str, _PeerReport] = {}

    @property
    def peer_count(self) -> int:
        """The number of peers whose reports are used."""
        return len(self._reports)

    def receive(
        self,
        sender: str,
        flows: Mapping[int, int],
        now_ms: int,
        idle_flows: Mapping[int, int] = NO_FLOWS,
    ) -> None:
        """Replaces the report of a peer.

        Args:
            sender: The address of the peer.
            flows: The peer's open flows by target token.
            now_ms: The current time.
            idle_flows: The idle ones among the open flows by target token.
        """
        self._forget(sender)
        self._reports[sender] = _PeerReport(flows, now_ms, idle_flows)
        _add(self.flows, flows, 1)
        _add(self.idle_flows, idle_flows, 1)

    def expire(self, now_ms: int) -> None:
        """Forgets the reports of peers that have been silent for too long."""
        for sender, report in list(self._reports.items()):
            if now_ms - report.received_ms > REPORT_LIFETIME_MS:
                self._forget(sender)

    def _forget(self, sender: str) -> None:
        report = self._reports.pop(sender, None)
        if report is not None:
            _add(self.flows, report.flows, -1)
            _add(self.idle_flows, report.idle_flows, -1)


def _add(sums: dict[int, int], flows: Mapping[int, int], sign: int) -> None:
    for token, count in flows.items():
        total = sums.get(token, 0) + sign * count
        if total:
            sums[token] = total
        else:
            sums.pop(token, None)
