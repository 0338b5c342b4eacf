"""Tests of held packets and of the return of all callers after an outage."""

import pytest

from bluebelltide.placement import _held_packets
from bluebelltide.placement import _placer
from bluebelltide.placement.tests import recovery_simulation
from bluebelltide.placement.tests import test_placer

# Plans like the deployments of two users, named as in the bench.
KHUVSGUL_PLAN = recovery_simulation.RecoveryPlan(holds_late_packets=True)
CARONI_PLAN = KHUVSGUL_PLAN._replace(
    instances=7,
    flows_per_s=188.0,
    slots=3,
    queue=12,
    work_ms=59.0,
    latency_goal_ms=300,
)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("plan", [KHUVSGUL_PLAN, CARONI_PLAN])
def test_after_an_outage_all_are_served_and_the_new_ones_in_time(
    plan: recovery_simulation.RecoveryPlan, seed: int
) -> None:
    held = recovery_simulation.simulate_recovery(plan, seed)
    at_once = recovery_simulation.simulate_recovery(
        plan._replace(holds_late_packets=False), seed
    )
    assert held.served >= 0.99
    assert held.served > at_once.served
    assert held.shed < at_once.shed / 4
    assert held.new_in_time > at_once.new_in_time - 0.01


@pytest.mark.parametrize(
    ("retransmissions", "released_ms"),
    [
        (0, _held_packets.HOLD_TIMES_MS[0]),
        (1, _held_packets.HOLD_TIMES_MS[1]),
        (2, _held_packets.LAST_HOLD_TIME_MS),
    ],
)
def test_a_held_packet_is_released_before_its_retransmission_is_due(
    retransmissions: int, released_ms: int
) -> None:
    queue: _held_packets.HeldPacketQueue[None] = _held_packets.HeldPacketQueue()
    waited_ms = _placer.TRANSMISSION_TIMES_MS[retransmissions]
    packet = _held_packets.HeldPacket(
        b"k", waited_ms, retransmissions, 1000, None
    )
    assert queue.hold(packet)
    if not packet.is_last_retransmission:
        next_transmission_ms = (
            _placer.TRANSMISSION_TIMES_MS[retransmissions + 1] - waited_ms
        )
        assert released_ms < next_transmission_ms
    queue.release(lambda packet, may_wait: not may_wait, 1000 + released_ms - 1)
    assert len(queue) == 1
    queue.release(lambda packet, may_wait: not may_wait, 1000 + released_ms)
    assert len(queue) == 0


def test_the_longest_wait_is_tried_first() -> None:
    queue: _held_packets.HeldPacketQueue[None] = _held_packets.HeldPacketQueue()
    for name, waited_ms, arrived_ms in (
        (b"new", 0, 1000),
        (b"old", 600, 1010),
        (b"mid", 200, 1005),
    ):
        queue.hold(
            _held_packets.HeldPacket(name, waited_ms, 2, arrived_ms, None)
        )
    tried: list[bytes] = []

    def place_old(
        packet: _held_packets.HeldPacket[None], may_wait: bool
    ) -> bool:
        tried.append(packet.key)
        return packet.key == b"old"

    queue.release(place_old, 1020)
    assert tried == [b"old", b"mid", b"new"]
    assert [packet.key for packet in queue] == [b"mid", b"new"]


def test_a_full_queue_rejects_packets_but_accepts_retransmissions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_held_packets, "MAXIMUM_HELD_PACKETS", 1)
    queue: _held_packets.HeldPacketQueue[None] = _held_packets.HeldPacketQueue()
    assert queue.hold(_held_packets.HeldPacket(b"a", 0, 0, 0, None))
    assert not queue.hold(_held_packets.HeldPacket(b"b", 0, 0, 0, None))
    assert queue.hold(_held_packets.HeldPacket(b"a", 200, 1, 200, None))


def place(
    placer: _placer.Placer,
    key: bytes,
    waited_ms: int,
    latency_goal_ms: int = 200,
) -> _placer.PlacementOutcome:
    latency_budget = _placer.LatencyBudget(waited_ms, latency_goal_ms)
    retransmissions = _placer.TRANSMISSION_TIMES_MS.index(waited_ms)
    return placer.place(key, "dues", retransmissions, 0, latency_budget).outcome


def test_a_late_caller_gets_only_a_free_slot() -> None:
    placer = test_placer.make_placer(test_placer.make_target("a"))
    assert place(placer, b"1", waited_ms=200) == _placer.PlacementOutcome.NEW
    assert place(placer, b"2", waited_ms=200) == _placer.PlacementOutcome.NEW
    assert place(placer, b"3", waited_ms=200) == _placer.PlacementOutcome.WAIT
    # A caller that would still be in time may queue at the target.
    early = place(placer, b"4", waited_ms=200, latency_goal_ms=2000)
    assert early == _placer.PlacementOutcome.NEW


def test_a_first_transmission_never_waits_even_if_estimates_are_wrong() -> None:
    placer = test_placer.make_placer(test_placer.make_target("a"))
    observations = placer.observations
    placer.peer_flows = {1: 50}
    for number in range(20):
        key = str(number).encode()
        assert place(placer, key, 0) == _placer.PlacementOutcome.NEW
        observations.note_packet_with_token(key, 1, 1)
        flow = observations.note_flow_end(key, 1, 5000)
        flow.was_slot_free = True
        placer.update_flow_duration("dues", flow, 5000)


def test_nobody_waits_where_flows_are_kept_for_many_requests() -> None:
    placer = test_placer.make_placer(test_placer.make_target("a"))
    for number in range(6):
        key = str(number).encode()
        placer.place(key, "dues", 0, 0)
        placer.observations.note_packet_with_token(key, 1, 1)
        placer.note_request("dues", key, f"first-{number}", 1)
    assert place(placer, b"x", waited_ms=200) == _placer.PlacementOutcome.WAIT
    # A retransmitted packet is not a second request.
    placer.note_request("dues", b"0", "first-0", 2)
    assert place(placer, b"x", waited_ms=200) == _placer.PlacementOutcome.WAIT
    placer.note_request("dues", b"0", "second", 3)
    assert place(placer, b"x", waited_ms=200) == _placer.PlacementOutcome.NEW


def test_nobody_waits_without_targets() -> None:
    placer = test_placer.make_placer()
    outcome = place(placer, b"1", waited_ms=600)
    assert outcome == _placer.PlacementOutcome.NO_TARGET


def test_only_flows_that_found_a_slot_count_for_the_mean_duration() -> None:
    placer = test_placer.make_placer(test_placer.make_target("a"))
    observations = placer.observations
    for key in (b"1", b"2", b"3"):
        place(placer, key, waited_ms=0)
        observations.note_packet_with_token(key, 1, 1)
    placer.update_flow_duration(
        "dues", observations.note_flow_end(b"3", 1, 900), 900
    )
    assert place(placer, b"4", 200, 700) == _placer.PlacementOutcome.NEW
    # One and a half rounds of 400 ms each exceed the 500 ms that are left.
    placer.update_flow_duration(
        "dues", observations.note_flow_end(b"1", 1, 400), 400
    )
    assert place(placer, b"5", 200, 700) == _placer.PlacementOutcome.WAIT


@pytest.mark.parametrize(
    ("peers", "peer_flows", "most"), [(0, 0, 4), (3, 0, 2), (3, 4, 0)]
)
def test_instances_share_free_slots(
    peers: int, peer_flows: int, most: int
) -> None:
    placer = test_placer.make_placer(
        test_placer.make_target("a"), test_placer.make_target("b")
    )
    placer.peer_count = peers
    placer.peer_flows = {1: peer_flows // 2, 2: peer_flows // 2}
    assert placer.release_allowance("dues", 0) <= most
    assert (placer.release_allowance("dues", 0) > 0) is (most > 0)
