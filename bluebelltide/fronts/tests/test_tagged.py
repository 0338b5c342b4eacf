"""Tests of the packet front with a stand-in fabric, targets and callers.

The fabric hands each packet to any of several fronts; targets echo the token
and answer directly, and reset what they do not hold.
"""

import random

import pytest

from bluebelltide import _types
from bluebelltide.catalogue import _deployment
from bluebelltide.catalogue.tests import test_deployment
from bluebelltide.fronts import _tagged
from bluebelltide.placement import create_placer
from bluebelltide.placement.tests import test_placer

DEPLOYMENT = test_deployment.make_deployment(test_deployment.ROUTE)
CALLER = ("100.64.0.1", 8000)


def parse(data: bytes) -> _tagged.TaggedPacket | None:
    """Parses a stand-in packet: kind, copy, port, token and flow."""
    parts = data.split(b"|")
    if len(parts) != 5:
        return None
    kind, copy, port, token, key = parts
    return _tagged.TaggedPacket(
        _tagged.PacketKind(kind.decode()),
        int(token),
        key,
        int(copy),
        "198.18.0.1",
        int(port),
    )


def make_packet(
    kind: str, key: str, token: int = 0, copy: int = 0, port: int = 443
) -> bytes:
    return f"{kind}|{copy}|{port}|{token}|{key}".encode()


CODEC = _tagged.PacketCodec(
    parse,
    lambda data: data.decode(),
    lambda target: target.target_id.encode(),
    lambda data, token, label: label + b"/" + str(token).encode() + b"/" + data,
    lambda data: (b"reset", CALLER),
)


class Fabric:
    """Several fronts, and what they sent."""

    def __init__(
        self, targets: dict[int, _types.Target], fronts: int = 3
    ) -> None:
        """Creates fronts that know these targets."""
        self.sent: list[tuple[bytes, tuple[str, int]]] = []
        self.counts: list[tuple[str, str]] = []
        self.fronts = [self.make_front(targets) for _ in range(fronts)]

    def make_front(
        self, targets: dict[int, _types.Target]
    ) -> _tagged.TaggedFront:
        front = _tagged.TaggedFront(
            CODEC,
            create_placer("north", random.Random(4).random),
            self.send,
            lambda kind, code: self.counts.append((kind, code)),
            lambda name, value_ms: None,
            lambda report: None,
            lambda report: None,
            lambda report: None,
        )
        front.use_targets(targets, targets)
        front.routes = _deployment.RouteTable(DEPLOYMENT)
        front.is_complete = True
        return front

    def send(self, data: bytes, address: tuple[str, int]) -> bool:
        self.sent.append((data, address))
        return True

    def take(self, front: int, data: bytes, now_ms: int = 0) -> bytes:
        """Gives a packet to a front; returns what it sent, or nothing."""
        self.sent.clear()
        self.fronts[front].take_packet(data, now_ms)
        return self.sent[0][0] if self.sent else b""


TARGETS = {
    11: test_placer.make_target("a"),
    22: test_placer.make_target("b", slots=10),
}


def test_any_front_carries_a_flow_to_the_target_of_its_token() -> None:
    fabric = Fabric(TARGETS)
    label, token, _ = fabric.take(0, make_packet("opening", "k")).split(b"/")
    data = make_packet("data", "k", token=int(token))
    for front in (1, 2, 0):
        assert fabric.take(front, data).split(b"/")[0] == label


def test_a_front_that_has_just_started_carries_open_flows() -> None:
    fabric = Fabric(TARGETS)
    _, token, _ = fabric.take(0, make_packet("opening", "k")).split(b"/")
    fabric.fronts.append(fabric.make_front(TARGETS))
    data = make_packet("data", "k", token=int(token))
    assert fabric.take(3, data).startswith((b"a/", b"b/"))


def test_a_leaving_target_keeps_its_flows_and_gets_no_new_ones() -> None:
    fabric = Fabric(TARGETS)
    fabric.fronts[0].use_targets(TARGETS, {22: TARGETS[22]})
    for number in range(10):
        opened = fabric.take(0, make_packet("opening", str(number)))
        assert opened.startswith(b"b/")
    assert fabric.take(0, make_packet("data", "k", 11)).startswith(b"a/")


@pytest.mark.parametrize("kind", ["data", "ending"])
@pytest.mark.parametrize("token", [0, 33])
def test_an_unknown_token_is_dropped_and_never_reset(
    kind: str, token: int
) -> None:
    fabric = Fabric(TARGETS)
    assert fabric.take(0, make_packet(kind, "k", token)) == b""
    assert fabric.counts == [("dropped", "unknown_target")]


def test_a_restart_under_the_same_id_gets_flows_under_its_own_token() -> None:
    fabric = Fabric(TARGETS)
    again = {33: TARGETS[11]._replace(generation=2)}
    fabric.fronts[0].use_targets({**TARGETS, **again}, again)
    assert fabric.take(0, make_packet("opening", "k")).startswith(b"a/33/")
    # A flow of the earlier incarnation still reaches the address, where the
    # target says that it does not hold it.
    assert fabric.take(0, make_packet("data", "j", 11)).startswith(b"a/11/")


def test_what_no_route_takes_is_reset_only_while_it_opens() -> None:
    fabric = Fabric(TARGETS)
    assert fabric.take(0, make_packet("opening", "k", port=1)) == b"reset"
    assert fabric.sent[0][1] == CALLER
    assert fabric.take(0, make_packet("data", "k", port=1)) == b""


def test_nothing_is_refused_before_routes_and_targets_are_known() -> None:
    fabric = Fabric({})
    front = fabric.fronts[0]
    front.is_complete = False
    assert fabric.take(0, make_packet("opening", "k")) == b""
    front.routes = None
    assert fabric.take(0, make_packet("opening", "k", port=1)) == b""
    front.routes = _deployment.RouteTable(DEPLOYMENT)
    front.is_complete = True
    assert fabric.take(0, make_packet("opening", "k")) == b"reset"


def test_a_late_caller_waits_for_a_slot_and_is_placed_when_one_is_free() -> (
    None
):
    target = test_placer.make_target("a", slots=1)
    fabric = Fabric({11: target})
    front = fabric.fronts[0]
    assert fabric.take(0, make_packet("opening", "k")).startswith(b"a/")
    late = make_packet("opening", "late", copy=2)
    assert fabric.take(0, late, now_ms=10) == b""
    assert front.held_count == 1
    front.release_held(20)
    assert fabric.sent == []
    # The end of the first flow frees the slot.
    fabric.take(0, make_packet("ending", "k", 11), now_ms=30)
    assert [data.split(b"/")[0] for data, _ in fabric.sent] == [b"a", b"a"]
    assert front.held_count == 0


def test_a_caller_that_repeats_its_opening_is_not_placed_late() -> None:
    fabric = Fabric({11: test_placer.make_target("a", slots=1)})
    front = fabric.fronts[0]
    fabric.take(0, make_packet("opening", "k"))
    fabric.take(0, make_packet("data", "k", 11), now_ms=5)
    assert fabric.take(0, make_packet("opening", "late", copy=1), 10) == b""
    front.release_held(10 + 399)
    assert fabric.sent == []
    assert front.held_count == 0
    assert ("dropped", "no_slot") in fabric.counts
    # The last copy is placed in any case once its time is over.
    assert fabric.take(0, make_packet("opening", "late", copy=2), 410) == b""
    front.release_held(410 + 600)
    assert len(fabric.sent) == 1


def test_malformed_packets_are_counted() -> None:
    fabric = Fabric(TARGETS)
    assert fabric.take(0, b"nonsense") == b""
    assert fabric.counts == [("dropped", "malformed")]
