"""Tests of failure detection in a lossless network with cut links."""

import pytest

from bluebelltide import _types
from bluebelltide.membership import _swim

ALIVE = _swim.MemberStatus.ALIVE
DEAD = _swim.MemberStatus.DEAD


class Network:
    """Delivers messages at once unless a link is cut or a receiver stopped."""

    def __init__(self, count: int) -> None:
        """Creates instances that know each other."""
        self.swims = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.stopped: set[str] = set()
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
            self.swims[name] = _swim.Swim(member, number)
        for swim in self.swims.values():
            for other in self.swims.values():
                swim.add_member(other.own_member, 0)

    def run(self, duration_ms: int) -> None:
        """Advances the time in steps of 100 ms."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 100
            queue = [
                (name, action)
                for name, swim in self.swims.items()
                if name not in self.stopped
                for action in swim.tick(self.now_ms)
            ]
            while queue:
                sender, action = queue.pop(0)
                if not isinstance(action, _swim.SendTo):
                    continue
                link = (sender, action.name)
                if action.name in self.stopped or link in self.cut_links:
                    continue
                swim = self.swims[action.name]
                replies = swim.receive(action.message, self.now_ms)
                queue += [(action.name, reply) for reply in replies]

    def status(self, observer: str, name: str) -> _swim.MemberStatus:
        """Returns the status of an instance in the member list of another."""
        return self.swims[observer].members[name].status

    def isolate(self, name: str) -> None:
        """Cuts all links of an instance in both directions."""
        for other in self.swims:
            self.cut_links |= {(name, other), (other, name)}


def test_no_suspicion_without_faults() -> None:
    network = Network(9)
    network.run(20_000)
    for swim in network.swims.values():
        assert {m.status for m in swim.members.values()} == {ALIVE}


def test_all_instances_detect_a_stopped_instance() -> None:
    network = Network(9)
    network.run(2000)
    network.stopped.add("e4")
    network.run(12_000)
    others = set(network.swims) - {"e4"}
    assert {network.status(name, "e4") for name in others} == {DEAD}
    assert all(network.status(a, b) == ALIVE for a in others for b in others)


@pytest.mark.parametrize("direction", ["out", "in", "both"])
def test_cut_link_between_two_instances_causes_no_death(direction: str) -> None:
    network = Network(5)
    if direction in ("out", "both"):
        network.cut_links.add(("e1", "e2"))
    if direction in ("in", "both"):
        network.cut_links.add(("e2", "e1"))
    network.run(30_000)
    for swim in network.swims.values():
        assert DEAD not in {m.status for m in swim.members.values()}


def test_membership_recovers_after_a_partition() -> None:
    """Guards against members that list each other as dead forever.

    An instance that only pings live members never contacts the other side
    again, so dead members must be pinged too.
    """
    network = Network(5)
    network.run(2000)
    network.isolate("e2")
    network.run(20_000)
    assert network.status("e0", "e2") == DEAD
    assert network.status("e2", "e0") == DEAD
    network.cut_links.clear()
    network.run(60_000)
    for observer in network.swims:
        for name in network.swims:
            assert network.status(observer, name) == ALIVE


def test_restarted_instance_replaces_its_dead_record() -> None:
    network = Network(3)
    network.stopped.add("e2")
    network.run(15_000)
    restarted = network.swims["e2"].own_member._replace(incarnation=50)
    network.swims["e2"] = _swim.Swim(restarted, 77)
    network.stopped.clear()
    for other in ("e0", "e1"):
        network.swims[other].add_member(restarted, network.now_ms)
        known = network.swims[other].own_member
        network.swims["e2"].add_member(known, network.now_ms)
    network.run(5000)
    assert network.status("e0", "e2") == ALIVE
    assert network.status("e2", "e0") == ALIVE
