"""Tests of announcements: what is taken, refused and counted."""

from typing import Any

import pytest

from bluebelltide import _exceptions
from bluebelltide import _metrics
from bluebelltide import _tokens
from bluebelltide import _types
from bluebelltide import catalogue
from bluebelltide import membership
from bluebelltide.catalogue import _view
from bluebelltide.entry import _announce

Code = _exceptions.ErrorCode


class Desk:
    """A handler for two services with keys of their own."""

    def __init__(self) -> None:
        """Creates the catalogue and an empty registry."""
        self.view = _view.CatalogueView()
        for number, name in enumerate(("a", "b")):
            entry = catalogue.ServiceEntry(
                name,
                "team",
                catalogue.ServiceClass.NORMAL,
                (_types.Address("127.0.0.1", 8000 + number),),
                (_tokens.hash_token(f"key-{name}"),),
            )
            value = catalogue.encode_entry(entry)
            self.view.merge(_view.VersionedEntry(f"service/{name}", 1, value))
        self.registry = membership.TargetRegistry()
        self.metrics = _metrics.create_metrics(None, "test")
        self.handler = _announce.AnnounceHandler(
            self.registry, self.view, "dc", self.metrics
        )

    def take(self, key: str = "key-a", now_ms: int = 0, **changes: Any) -> None:  # noqa: ANN401
        """Announces a target with some fields changed."""
        body = {
            "target_id": "t1",
            "service": "a",
            "address": "127.0.0.1:9000",
            "generation": 5,
            "sequence": 1,
            "state": "ready",
            "slots": 3,
            "lease_ms": 1000,
        }
        self.handler.take({**body, **changes}, key, now_ms)


REFUSALS: list[tuple[str, dict[str, Any], Code, str]] = [
    ("wrong key", {"key": "x"}, Code.UNAUTHORISED, "peer.bad_key"),
    ("other key", {"key": "key-b"}, Code.UNAUTHORISED, "peer.bad_key"),
    ("unknown service", {"service": "zzz"}, Code.NOT_FOUND, ""),
    ("bad state", {"state": "sleepy"}, Code.BAD_REQUEST, ""),
    ("unknown field", {"colour": 1}, Code.BAD_REQUEST, ""),
    ("host name", {"address": "localhost:1"}, Code.BAD_REQUEST, ""),
    (
        "older generation",
        {"generation": 4, "sequence": 99},
        Code.STALE_GENERATION,
        "peer.stale_generation",
    ),
    (
        "address of another service",
        {"key": "key-b", "service": "b", "target_id": "t2"},
        Code.FORBIDDEN,
        "peer.wrong_service",
    ),
]


@pytest.mark.parametrize(
    ("changes", "code", "counter"),
    [case[1:] for case in REFUSALS],
    ids=[case[0] for case in REFUSALS],
)
def test_refused_announcement_changes_nothing(
    changes: dict[str, Any], code: Code, counter: str
) -> None:
    desk = Desk()
    desk.take()
    before = desk.registry.targets()
    with pytest.raises(_exceptions.BluebelltideError) as caught:
        desk.take(**changes)
    assert caught.value.code == code
    assert desk.registry.targets() == before
    if counter:
        assert desk.metrics.counts[counter] == 1


def accepting(desk: Desk, service: str, now_ms: int) -> list[str]:
    return [
        standing.target.target_id
        for standing in desk.registry.standings(service, now_ms)
        if standing.is_accepting
    ]


def test_lease_ends_new_work_then_the_target() -> None:
    desk = Desk()
    desk.take()
    assert accepting(desk, "a", 900) == ["t1"]
    assert accepting(desk, "a", 1100) == []
    assert desk.registry.expire(1100) == []
    assert [t.target_id for t in desk.registry.expire(2100)] == ["t1"]


def test_draining_ends_new_work_at_once() -> None:
    desk = Desk()
    desk.take()
    desk.take(sequence=2, state="draining")
    assert accepting(desk, "a", 1) == []


def test_cold_target_ramps() -> None:
    desk = Desk()
    desk.take(state="cold", lease_ms=60_000)
    shares = [
        desk.registry.standings("a", now_ms)[0].share
        for now_ms in (0, 5000, 10_000)
    ]
    assert shares == [0.1, 0.5, 1.0]


def test_address_that_two_services_claim_gets_no_new_work() -> None:
    """Both claims can be taken on the two sides of a cut."""
    left, right = Desk(), Desk()
    left.take()
    right.take(key="key-b", service="b", target_id="t2")
    left.registry.merge(right.registry.targets(), 10)
    assert accepting(left, "a", 20) == []
    assert accepting(left, "b", 20) == []
    address = _types.Address("127.0.0.1", 9000)
    assert left.registry.target_at(address) is None
    left.take(sequence=2, now_ms=1900)
    left.registry.expire(2100)
    assert accepting(left, "a", 2100) == ["t1"]


def test_gossip_in_any_order_gives_one_registry() -> None:
    desk, other = Desk(), Desk()
    for sequence in (1, 2, 3):
        desk.take(sequence=sequence, load_percent=10 * sequence)
    changed, renewed = desk.registry.take_outgoing()
    other.registry.renew(renewed, 0)
    other.registry.merge(changed, 0)
    other.registry.merge(changed, 0)
    assert other.registry.targets() == desk.registry.targets()
    assert other.registry.summary() == desk.registry.summary()
    assert not other.registry.lacks(desk.registry.digest())
