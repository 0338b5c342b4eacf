"""Tests of the choice of targets and of the counts of open flows."""

import random

import pytest

from bluebelltide import _types
from bluebelltide.placement import _observations
from bluebelltide.placement import _placer
from bluebelltide.placement import create_placer


def make_target(
    name: str, data_centre: str = "north", slots: int = 2
) -> _types.Target:
    return _types.Target(
        name,
        "dues",
        _types.Address("10.0.0.1", 80),
        data_centre,
        1,
        1,
        _types.TargetState.READY,
        slots,
        0,
        0,
        9600,
    )


def make_placer(*targets: _types.Target) -> _placer.Placer:
    placer = create_placer("north", random.Random(1).random)
    placer.use_targets(dict(enumerate(targets, start=1)))
    return placer


def place(
    placer: _placer.Placer,
    key: bytes,
    retransmissions: int = 0,
    now_ms: int = 0,
) -> _placer.Placement:
    return placer.place(key, "dues", retransmissions, now_ms)


def test_retransmissions_go_to_the_first_target_while_it_is_alive() -> None:
    placer = make_placer(make_target("a"), make_target("b"))
    first = place(placer, b"flow")
    placer.observations.note_opening_packet(b"other", first.token, now_ms=0)
    placer.observations.note_packet_with_token(
        b"other", first.token, now_ms=100
    )
    for retransmissions in (1, 2):
        again = place(
            placer, b"flow", retransmissions, now_ms=200 * retransmissions
        )
        assert again.token == first.token
        assert again.outcome == _placer.PlacementOutcome.RETRANSMISSION


def test_one_lost_packet_does_not_change_the_target() -> None:
    placer = make_placer(make_target("a"), make_target("b"))
    first = place(placer, b"flow")
    assert place(placer, b"flow", 1, now_ms=200).token == first.token
    # The target has answered no flow for 600 ms.
    assert place(placer, b"flow", 2, now_ms=600).token != first.token


def test_a_retransmission_leaves_a_target_that_no_longer_accepts() -> None:
    placer = make_placer(make_target("a"), make_target("b"))
    first = place(placer, b"flow")
    placer.use_targets({3 - first.token: make_target("c")})
    again = place(placer, b"flow", 1, now_ms=200)
    assert again.token == 3 - first.token
    assert again.outcome == _placer.PlacementOutcome.MOVED


def test_an_unresponsive_target_is_left_within_one_retransmission() -> None:
    placer = make_placer(make_target("a"), make_target("b"))
    placer.peer_flows = {2: 50}
    flows = [b"1", b"2", b"3"]
    assert [place(placer, key).token for key in flows] == [1, 1, 1]
    outcomes = [place(placer, key, 1, now_ms=200).token for key in flows]
    assert outcomes[1:] == [2, 2]
    assert place(placer, b"new", now_ms=210).token == 2


def test_an_answer_after_the_opening_packet_prevents_an_ejection() -> None:
    placer = make_placer(make_target("a"), make_target("b"))
    placer.peer_flows = {2: 50}
    for key in (b"1", b"2", b"3"):
        place(placer, key)
    placer.observations.note_packet_with_token(b"3", 1, now_ms=100)
    assert place(placer, b"1", 1, now_ms=200).token == 1
    assert place(placer, b"2", 1, now_ms=200).token == 1


def test_without_targets_the_outcome_is_no_target() -> None:
    placer = make_placer()
    assert place(placer, b"1").outcome == _placer.PlacementOutcome.NO_TARGET


def test_when_all_targets_are_ejected_all_stay_eligible() -> None:
    placer = make_placer(make_target("a"), make_target("b"))
    placer.observations.note_peer_ejections([1, 2], now_ms=0)
    assert place(placer, b"1", now_ms=1).token in (1, 2)


def test_ejected_targets_get_no_flows_while_others_answer() -> None:
    names = ["a", "b", "c", "d", "e"]
    placer = make_placer(*(make_target(name) for name in names))
    placer.observations.note_peer_ejections([1, 2, 3], now_ms=0)
    keys = [bytes([number]) for number in range(20)]
    assert {place(placer, key, now_ms=1).token for key in keys} == {4, 5}


def test_a_local_target_is_preferred_until_it_is_clearly_busier() -> None:
    placer = make_placer(make_target("a"), make_target("b", "south"))
    tokens = [place(placer, bytes([number])).token for number in range(4)]
    assert tokens[0] == 1
    assert 2 in tokens


@pytest.mark.parametrize("seed", range(5))
def test_load_is_even_when_targets_are_the_bottleneck(seed: int) -> None:
    """Simulates 300 requests/s on 12 targets of 2 slots each for 20 s."""
    generator = random.Random(seed)
    targets = [make_target(str(number)) for number in range(12)]
    placer = create_placer("north", generator.random)
    placer.use_targets(dict(enumerate(targets, start=1)))
    ends: list[tuple[int, bytes]] = []
    flows_placed: dict[int, int] = {}
    now_ms = 0.0
    for number in range(6000):
        now_ms += generator.expovariate(300) * 1000
        while ends and ends[0][0] <= now_ms:
            placer.observations.note_flow_end(ends.pop(0)[1], 0, int(now_ms))
        key = number.to_bytes(4, "big")
        token = place(placer, key, now_ms=int(now_ms)).token
        placer.observations.note_packet_with_token(key, token, int(now_ms))
        flows_placed[token] = flows_placed.get(token, 0) + 1
        ends.append((int(now_ms + generator.expovariate(1 / 60)), key))
        ends.sort()
    busiest = max(flows_placed.values()) / (6000 / len(targets))
    assert busiest < 1.1


def test_idle_flows_are_removed() -> None:
    placer = make_placer(make_target("a"))
    place(placer, b"1")
    placer.observations.expire_idle_flows(_observations.OPENING_TIMEOUT_MS + 1)
    assert placer.observations.open_flows == {}


def test_the_last_acknowledgement_of_a_flow_does_not_count_as_a_flow() -> None:
    placer = make_placer(make_target("a"))
    observations = placer.observations
    place(placer, b"1")
    observations.note_packet_with_token(b"1", 1, now_ms=10)
    observations.note_flow_end(b"1", 1, now_ms=60)
    observations.note_packet_with_token(b"1", 1, now_ms=62)
    assert observations.open_flows == {}
    # The caller reuses the port.
    place(placer, b"1", now_ms=70)
    assert observations.open_flows == {1: 1}


@pytest.mark.parametrize("is_end", [False, True])
@pytest.mark.parametrize("is_answered", [False, True])
def test_a_late_packet_of_an_earlier_flow_leaves_the_new_one_alone(
    is_end: bool, is_answered: bool
) -> None:
    placer = make_placer(make_target("a"), make_target("b"))
    observations = placer.observations
    earlier = place(placer, b"1").token
    observations.note_packet_with_token(b"1", earlier, now_ms=10)
    observations.note_flow_end(b"1", earlier, now_ms=60)
    # The caller reuses the port, and the earlier target is busy.
    placer.peer_flows = {earlier: 2}
    new = place(placer, b"1", now_ms=70).token
    assert new != earlier
    if is_answered:
        observations.note_packet_with_token(b"1", new, now_ms=75)
    if is_end:
        observations.note_flow_end(b"1", earlier, now_ms=80)
    else:
        observations.note_packet_with_token(b"1", earlier, now_ms=80)
    assert observations.open_flows == {new: 1}
    assert place(placer, b"1", 1, now_ms=270).token == new


class Fleet:
    """Instances that each see a part of one flow; time advances by 10 ms."""

    def __init__(self, instances: int) -> None:
        """Creates instances that have seen no packets."""
        self.observations = [
            _observations.Observations() for _ in range(instances)
        ]
        self.now_ms = 0

    def advance_to(self, until_ms: int) -> set[int]:
        """Advances the time; returns every sum of the counts on the way."""
        sums = set()
        while self.now_ms < until_ms:
            self.now_ms += 10
            for one in self.observations:
                if self.now_ms % 100 == 0:
                    one.expire_idle_flows(self.now_ms)
            sums.add(sum(one.open_flows.get(1, 0) for one in self.observations))
        return sums

    def receive_packet(self, instance: int) -> None:
        self.observations[instance].note_packet_with_token(
            b"flow", 1, self.now_ms
        )


@pytest.mark.parametrize("moves_ms", [(), (60,), (60, 90), (60, 90, 400)])
def test_a_flow_that_moves_counts_once_until_it_ends(
    moves_ms: tuple[int, ...],
) -> None:
    fleet = Fleet(4)
    fleet.observations[0].note_opening_packet(b"flow", 1, 0)
    fleet.advance_to(10)
    fleet.receive_packet(0)
    for instance, moved_ms in enumerate(moves_ms, start=1):
        assert fleet.advance_to(moved_ms) == {1}
        fleet.receive_packet(instance)
    assert fleet.advance_to(500) == {1}
    last = len(moves_ms)
    fleet.observations[last].note_flow_end(b"flow", 1, fleet.now_ms)
    assert fleet.advance_to(600) == {0}
    # The caller's last acknowledgement passes through instance 3.
    fleet.receive_packet(3)
    assert fleet.advance_to(790) == {0}
    # Counting at earlier instances may end one expiry round early or late.
    assert fleet.advance_to(3000) <= {-1, 0, 1}
    assert fleet.advance_to(4000) == {0}


def test_a_long_flow_counts_once_wherever_it_goes() -> None:
    fleet = Fleet(3)
    fleet.observations[0].note_opening_packet(b"flow", 1, 0)
    sums: list[int] = []
    for step in range(1, 60):
        sums += fleet.advance_to(step * 100)
        fleet.receive_packet(step // 20)
    # At each of the two moves the counts may overlap for one expiry round.
    assert set(sums) <= {0, 1, 2}
    assert sums.count(1) >= len(sums) - 6
    fleet.observations[2].note_flow_end(b"flow", 1, fleet.now_ms)
    assert fleet.advance_to(8000) == {0}
