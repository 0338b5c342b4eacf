"""Tests of the load reports that entry instances exchange."""

import pytest

from bluebelltide.entry import _load_reporter
from bluebelltide.placement import _peer_loads


@pytest.mark.parametrize("peers", [0, 1, 2, 5, 16, 100])
def test_load_reports_stay_within_their_maximum_rate(peers: int) -> None:
    interval_ms = _load_reporter.report_interval_ms(peers, 10, 200)
    assert interval_ms >= 10
    assert peers * 1000 / interval_ms <= 200 * 1.01


def test_a_report_is_used_until_the_next_one_with_many_peers() -> None:
    interval_ms = _load_reporter.report_interval_ms(
        16,
        _load_reporter.REMOTE_REPORT_INTERVAL_MS,
        _load_reporter.REMOTE_REPORTS_PER_S,
    )
    assert 2 * interval_ms <= _peer_loads.REPORT_LIFETIME_MS
