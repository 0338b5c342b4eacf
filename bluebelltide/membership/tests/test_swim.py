"""Tests of failure detection on a small lossless network with cuts."""

import pytest

from bluebelltide import _types
from bluebelltide.membership import _swim

ALIVE = _swim.MemberStatus.ALIVE
DEAD = _swim.MemberStatus.DEAD


class Network:
    """Cores that answer each other at once, unless a link is cut."""

    def __init__(self, count: int) -> None:
        """Starts instances that know each other."""
        self.cores = {}
        self.cut: set[tuple[str, str]] = set()
        self.down: set[str] = set()
        self.now_ms = 0
        for number in range(count):
            name = f"e{number}"
            member = _swim.Member(
                name,
                1,
                ALIVE,
                "dc",
                _types.Address("10.0.0.1", 1000 + number),
                True,
            )
            self.cores[name] = _swim.Swim(member, number)
        for core in self.cores.values():
            for other in self.cores.values():
                core.add_member(other.own_member, 0)

    def run(self, duration_ms: int) -> None:
        """Lets time pass."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 100
            queue = [
                (name, action)
                for name, core in self.cores.items()
                if name not in self.down
                for action in core.tick(self.now_ms)
            ]
            while queue:
                sender, action = queue.pop(0)
                if not isinstance(action, _swim.SendTo):
                    continue
                link = (sender, action.name)
                if action.name in self.down or link in self.cut:
                    continue
                core = self.cores[action.name]
                replies = core.receive(action.message, self.now_ms)
                queue += [(action.name, reply) for reply in replies]

    def status(self, observer: str, name: str) -> _swim.MemberStatus:
        """Returns what one instance thinks of another."""
        return self.cores[observer].members[name].status

    def cut_off(self, name: str) -> None:
        """Cuts an instance off in both directions."""
        for other in self.cores:
            self.cut |= {(name, other), (other, name)}


def test_quiet_network_suspects_nobody() -> None:
    network = Network(9)
    network.run(20_000)
    for core in network.cores.values():
        assert {m.status for m in core.members.values()} == {ALIVE}


def test_dead_instance_is_found_by_all() -> None:
    network = Network(9)
    network.run(2000)
    network.down.add("e4")
    network.run(12_000)
    others = set(network.cores) - {"e4"}
    assert {network.status(name, "e4") for name in others} == {DEAD}
    assert all(network.status(a, b) == ALIVE for a in others for b in others)


@pytest.mark.parametrize("direction", ["out", "in", "both"])
def test_cut_between_two_is_not_a_death(direction: str) -> None:
    network = Network(5)
    if direction in ("out", "both"):
        network.cut.add(("e1", "e2"))
    if direction in ("in", "both"):
        network.cut.add(("e2", "e1"))
    network.run(30_000)
    for core in network.cores.values():
        assert DEAD not in {m.status for m in core.members.values()}


def test_both_sides_meet_again_after_a_cut() -> None:
    """Members that took each other for dead once never met again."""
    network = Network(5)
    network.run(2000)
    network.cut_off("e2")
    network.run(20_000)
    assert network.status("e0", "e2") == DEAD
    assert network.status("e2", "e0") == DEAD
    network.cut.clear()
    network.run(60_000)
    for observer in network.cores:
        for name in network.cores:
            assert network.status(observer, name) == ALIVE


def test_restarted_instance_is_not_taken_for_its_dead_self() -> None:
    network = Network(3)
    network.down.add("e2")
    network.run(15_000)
    reborn = network.cores["e2"].own_member._replace(incarnation=50)
    network.cores["e2"] = _swim.Swim(reborn, 77)
    network.down.clear()
    for other in ("e0", "e1"):
        network.cores[other].add_member(reborn, network.now_ms)
        known = network.cores[other].own_member
        network.cores["e2"].add_member(known, network.now_ms)
    network.run(5000)
    assert network.status("e0", "e2") == ALIVE
    assert network.status("e2", "e0") == ALIVE
