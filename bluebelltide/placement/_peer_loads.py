"""Sums the load that other instances report of the targets."""

from collections.abc import Mapping
from typing import NamedTuple

REPORT_LIFETIME_MS = 1000
"""How long the load report of a peer is used."""


class _PeerReport(NamedTuple):
    """The newest load report of a peer."""

    flows: Mapping[int, int]
    """The number of open flows by target token."""
    received_ms: int
    """When the report arrived."""


class PeerLoads:
    """The newest reports of all peers and their sum.

    The sum is kept up to date with each report, so the work of a report does
    not depend on the number of peers.

    Attributes:
        flows: The open flows that the peers report, by target token.
    """

    def __init__(self) -> None:
        """Creates the sum of no reports."""
        self.flows: dict[int, int] = {}
        self._reports: dict[str, _PeerReport] = {}

    @property
    def peer_count(self) -> int:
        """The number of peers whose reports are used."""
        return len(self._reports)

    def receive(
        self, sender: str, flows: Mapping[int, int], now_ms: int
    ) -> None:
        """Replaces the report of a peer.

        Args:
            sender: The address of the peer.
            flows: The peer's open flows by target token.
            now_ms: The current time.
        """
        self._forget(sender)
        self._reports[sender] = _PeerReport(flows, now_ms)
        self._add(flows, 1)

    def expire(self, now_ms: int) -> None:
        """Forgets the reports of peers that have been silent for too long."""
        for sender, report in list(self._reports.items()):
            if now_ms - report.received_ms > REPORT_LIFETIME_MS:
                self._forget(sender)

    def _forget(self, sender: str) -> None:
        report = self._reports.pop(sender, None)
        if report is not None:
            self._add(report.flows, -1)

    def _add(self, flows: Mapping[int, int], sign: int) -> None:
        for token, count in flows.items():
            total = self.flows.get(token, 0) + sign * count
            if total:
                self.flows[token] = total
            else:
                self.flows.pop(token, None)
