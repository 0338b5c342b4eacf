"""Tests of the sum of the load that peers report."""

import random

from bluebelltide.placement import PeerLoads
from bluebelltide.placement import _peer_loads


def test_the_sum_follows_the_newest_report_of_each_peer() -> None:
    loads = PeerLoads()
    loads.receive("a", {1: 2, 2: 1}, now_ms=0)
    loads.receive("b", {1: 3}, now_ms=0)
    assert loads.flows == {1: 5, 2: 1}
    loads.receive("a", {1: 1}, now_ms=10)
    assert loads.flows == {1: 4}
    assert loads.peer_count == 2


def test_idle_flows_are_summed_apart_and_leave_with_their_report() -> None:
    loads = PeerLoads()
    loads.receive("a", {1: 2}, 0, {1: 1})
    loads.receive("b", {1: 3}, 500, {1: 2})
    assert loads.idle_flows == {1: 3}
    loads.receive("b", {1: 3}, 500)
    assert loads.idle_flows == {1: 1}
    loads.expire(_peer_loads.REPORT_LIFETIME_MS + 1)
    assert loads.idle_flows == {}


def test_the_reports_of_a_silent_peer_expire() -> None:
    loads = PeerLoads()
    loads.receive("a", {1: 2}, now_ms=0)
    loads.receive("b", {1: 1}, now_ms=500)
    loads.expire(_peer_loads.REPORT_LIFETIME_MS)
    assert loads.flows == {1: 3}
    loads.expire(_peer_loads.REPORT_LIFETIME_MS + 1)
    assert loads.flows == {1: 1}
    assert loads.peer_count == 1


def test_the_sum_equals_one_that_is_made_anew() -> None:
    chance = random.Random(1)
    loads = PeerLoads()
    newest: dict[str, dict[int, int]] = {}
    for now_ms in range(500):
        sender = f"peer-{chance.randrange(12)}"
        flows = {
            chance.randrange(20): chance.choice([-1, 1, 2, 3])
            for _ in range(chance.randrange(6))
        }
        newest[sender] = flows
        loads.receive(sender, flows, now_ms)
    total: dict[int, int] = {}
    for flows in newest.values():
        for token, count in flows.items():
            total[token] = total.get(token, 0) + count
    assert loads.flows == {k: v for k, v in total.items() if v}
