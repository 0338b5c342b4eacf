"""Tests of announcements: which are accepted, refused and counted."""

from typing import Any

import pytest

from bluebelltide import _exceptions
from bluebelltide import _metrics
from bluebelltide import _tokens
from bluebelltide import _types
from bluebelltide.catalogue import _entries
from bluebelltide.catalogue import _view
from bluebelltide.entry import _announce
from bluebelltide.membership import _registry

Code = _exceptions.ErrorCode


class AnnounceFixture:
    """An announcement handler for two services, each with its own key."""

    def __init__(self) -> None:
        """Creates the handler, a catalogue and an empty registry."""
        self.view = _view.CatalogueView()
        for number, name in enumerate(("a", "b")):
            entry = _entries.ServiceEntry(
                name,
                "team",
                _entries.ServiceClass.NORMAL,
                (_types.Address("127.0.0.1", 8000 + number),),
                (_tokens.hash_token(f"key-{name}"),),
            )
            value = _entries.encode_entry(entry)
            self.view.merge(_view.VersionedEntry(f"service/{name}", 1, value))
        self.registry = _registry.TargetRegistry()
        self.metrics = _metrics.create_metrics(None, "test")
        self.is_initialised = True
        self.handler = _announce.AnnounceHandler(
            self.registry,
            self.view,
            "dc",
            self.metrics,
            lambda: self.is_initialised,
        )

    def announce(
        self,
        key: str = "key-a",
        now_ms: int = 0,
        **changes: Any,  # noqa: ANN401
    ) -> None:
        """Announces a target whose fields are the defaults or `changes`."""
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
        self.handler.handle({**body, **changes}, key, now_ms)


REFUSALS: list[tuple[str, dict[str, Any], Code, str]] = [
    ("wrong key", {"key": "x"}, Code.UNAUTHORISED, "peer.bad_key"),
    ("other key", {"key": "key-b"}, Code.UNAUTHORISED, "peer.bad_key"),
    ("unknown service", {"service": "zzz"}, Code.NOT_FOUND, ""),
    ("bad state", {"state": "sleepy"}, Code.BAD_REQUEST, ""),
    ("unknown field", {"colour": 1}, Code.BAD_REQUEST, ""),
    ("host name", {"address": "localhost:1"}, Code.BAD_REQUEST, ""),
    # Peers could not read these, or not compute with them.
    ("huge slots", {"slots": 10**400}, Code.BAD_TARGET, ""),
    ("huge sequence", {"sequence": 2**63}, Code.BAD_TARGET, ""),
    ("unsendable id", {"target_id": "t\ud800"}, Code.BAD_TARGET, ""),
    ("long id", {"target_id": "t" * 256}, Code.BAD_TARGET, ""),
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
    fixture = AnnounceFixture()
    fixture.announce()
    before = fixture.registry.targets()
    with pytest.raises(_exceptions.BluebelltideError) as raised:
        fixture.announce(**changes)
    assert raised.value.code == code
    assert fixture.registry.targets() == before
    if counter:
        assert fixture.metrics.counts[counter] == 1


def test_an_instance_with_a_saved_catalogue_only_accepts_no_announcement() -> (
    None
):
    """The saved catalogue may hold a key that has been withdrawn since."""
    fixture = AnnounceFixture()
    fixture.is_initialised = False
    with pytest.raises(_exceptions.BluebelltideError) as raised:
        fixture.announce()
    assert raised.value.code == Code.NOT_READY
    assert fixture.registry.targets() == []


def accepting_targets(
    fixture: AnnounceFixture, service: str, now_ms: int
) -> list[str]:
    return [
        availability.target.target_id
        for availability in fixture.registry.availabilities(service, now_ms)
        if availability.is_accepting
    ]


def test_missed_leases_end_new_flows_then_remove_the_target() -> None:
    fixture = AnnounceFixture()
    fixture.announce()
    assert accepting_targets(fixture, "a", 900) == ["t1"]
    assert accepting_targets(fixture, "a", 1100) == []
    assert fixture.registry.remove_expired(1100) == []
    assert [t.target_id for t in fixture.registry.remove_expired(2100)] == [
        "t1"
    ]


def test_draining_target_gets_no_new_flows() -> None:
    fixture = AnnounceFixture()
    fixture.announce()
    fixture.announce(sequence=2, state="draining")
    assert accepting_targets(fixture, "a", 1) == []


def test_cold_target_ramps() -> None:
    fixture = AnnounceFixture()
    fixture.announce(state="cold", lease_ms=60_000)
    shares = [
        fixture.registry.availabilities("a", now_ms)[0].share
        for now_ms in (0, 5000, 10_000)
    ]
    assert shares == [0.1, 0.5, 1.0]


def test_address_claimed_by_two_services_gets_no_new_flows() -> None:
    """Each side of a partition may have accepted one of the announcements."""
    first, second = AnnounceFixture(), AnnounceFixture()
    first.announce()
    second.announce(key="key-b", service="b", target_id="t2")
    first.registry.merge(second.registry.targets(), 10)
    assert accepting_targets(first, "a", 20) == []
    assert accepting_targets(first, "b", 20) == []
    address = _types.Address("127.0.0.1", 9000)
    assert first.registry.target_at(address) is None
    first.announce(sequence=2, now_ms=1900)
    first.registry.remove_expired(2100)
    assert accepting_targets(first, "a", 2100) == ["t1"]


def test_gossip_in_any_order_results_in_equal_registries() -> None:
    fixture, other = AnnounceFixture(), AnnounceFixture()
    for sequence in (1, 2, 3):
        fixture.announce(sequence=sequence, load_percent=10 * sequence)
    changed, renewed = fixture.registry.take_pending_updates()
    other.registry.renew(renewed, 0)
    other.registry.merge(changed, 0)
    other.registry.merge(changed, 0)
    assert other.registry.targets() == fixture.registry.targets()
    assert other.registry.summary() == fixture.registry.summary()
    assert not other.registry.is_behind(fixture.registry.digest())
