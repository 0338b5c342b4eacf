"""Tests of the plan for which replicas should vote."""

import pytest

from bluebelltide.catalogue import _register
from bluebelltide.control import _direct_service
from bluebelltide.control import _lease_watch
from bluebelltide.control import _voter_replacement
from bluebelltide.messaging import _datagrams

NOW_MS = 100_000
SILENT_MS = _voter_replacement.REPLACE_AFTER_MS + 1


def make_replica(name: str) -> _datagrams.Replica:
    return _datagrams.Replica(name, "dc-" + name[0])


def make_cluster_view(
    voters: tuple[str, ...],
    seen_ago_ms: dict[str, int],
    own: str = "a~0",
    next_voters: tuple[str, ...] = (),
    desired_voter_count: int = 3,
    listening_since_ms: int = 0,
) -> _voter_replacement.ClusterView:
    seen_replicas = {
        name: _voter_replacement.SeenReplica(
            make_replica(name), NOW_MS - ago_ms
        )
        for name, ago_ms in seen_ago_ms.items()
    }
    return _voter_replacement.ClusterView(
        make_replica(own),
        _register.Voters(1, voters, next_voters),
        seen_replicas,
        listening_since_ms,
        desired_voter_count,
        NOW_MS,
    )


def plan_next_voters(
    voters: tuple[str, ...],
    seen_ago_ms: dict[str, int],
    own: str = "a~0",
    next_voters: tuple[str, ...] = (),
    desired_voter_count: int = 3,
) -> tuple[str, ...] | None:
    cluster_view = make_cluster_view(
        voters, seen_ago_ms, own, next_voters, desired_voter_count
    )
    return _voter_replacement.plan_next_voters(cluster_view)


VOTERS = ("a~0", "b~0", "c~0")


@pytest.mark.parametrize(
    ("name", "seen_ago_ms", "expected"),
    [
        ("all live", {"b~0": 0, "c~0": 0, "d~0": 0}, None),
        ("short silence", {"b~0": 0, "c~0": 2000, "d~0": 0}, None),
        (
            "long silence",
            {"b~0": 0, "c~0": SILENT_MS, "d~0": 0},
            ("a~0", "b~0", "d~0"),
        ),
        ("no spare", {"b~0": 0, "c~0": SILENT_MS}, None),
        (
            "lost disk",
            {"b~0": 0, "c~0": 1600, "c~9": 0, "d~0": 0},
            ("a~0", "b~0", "c~9"),
        ),
        (
            "never heard since the start",
            {"b~0": 0, "d~0": 0},
            ("a~0", "b~0", "d~0"),
        ),
    ],
)
def test_silent_and_wiped_voters_are_replaced(
    name: str, seen_ago_ms: dict[str, int], expected: tuple[str, ...] | None
) -> None:
    del name
    assert plan_next_voters(VOTERS, seen_ago_ms) == expected


def test_only_the_first_live_voter_plans() -> None:
    seen_ago_ms = {"a~0": 0, "c~0": SILENT_MS, "d~0": 0}
    assert plan_next_voters(VOTERS, seen_ago_ms, own="b~0") is None
    seen_ago_ms["a~0"] = SILENT_MS
    assert plan_next_voters(VOTERS, seen_ago_ms, own="b~0") is not None


def test_an_interrupted_joint_step_is_finished_first() -> None:
    seen_ago_ms = {"b~0": 0, "c~0": SILENT_MS, "d~0": 0, "e~0": 0}
    next_voters = ("a~0", "b~0", "e~0")
    assert (
        plan_next_voters(VOTERS, seen_ago_ms, next_voters=next_voters)
        == next_voters
    )


def test_voters_are_added_up_to_the_desired_number() -> None:
    seen_ago_ms = {"b~0": 0, "c~0": 0, "d~0": 0, "e~0": 0}
    assert plan_next_voters(VOTERS, seen_ago_ms, desired_voter_count=5) == (
        *VOTERS,
        "d~0",
    )


def test_a_standby_replica_does_not_plan() -> None:
    seen_ago_ms = {"a~0": 0, "b~0": 0, "c~0": SILENT_MS}
    assert plan_next_voters(VOTERS, seen_ago_ms, own="d~0") is None


@pytest.mark.parametrize(
    ("own", "seen_ago_ms", "expected"),
    [
        ("a~0", {"b~0": 0, "c~0": SILENT_MS}, True),
        ("a~0", {"b~0": SILENT_MS, "c~0": SILENT_MS, "d~0": 0}, False),
        ("d~0", {"a~0": 0, "b~0": 0}, True),
        ("d~0", {"a~0": 0}, False),
        ("a~0", {}, False),
    ],
)
def test_a_replica_that_is_cut_off_sees_no_quorum(
    own: str, seen_ago_ms: dict[str, int], expected: bool
) -> None:
    cluster_view = make_cluster_view(VOTERS, seen_ago_ms, own)
    assert _voter_replacement.is_quorum_alive(cluster_view) == expected


@pytest.mark.parametrize("was_paused", [False, True])
def test_after_a_pause_or_a_cut_no_voter_counts_as_silent(
    was_paused: bool,
) -> None:
    watch = _lease_watch.LeaseWatch()
    interval_ms = _direct_service.POLL_INTERVAL_MS
    gap_from_ms = NOW_MS - 2 * SILENT_MS
    for now_ms in range(gap_from_ms - 2000, NOW_MS, interval_ms):
        if now_ms < gap_from_ms:
            watch.check(has_quorum=True, now_ms=now_ms)
        elif not was_paused:
            watch.check(has_quorum=False, now_ms=now_ms)
    # The first datagrams of one voter and a standby replica have arrived.
    assert watch.check(has_quorum=True, now_ms=NOW_MS) == NOW_MS
    cluster_view = make_cluster_view(
        VOTERS,
        {"b~0": 0, "c~0": 2 * SILENT_MS, "d~0": 0},
        listening_since_ms=NOW_MS,
    )
    assert _voter_replacement.plan_next_voters(cluster_view) is None
    later = cluster_view._replace(listening_since_ms=NOW_MS - SILENT_MS)
    assert _voter_replacement.plan_next_voters(later) is not None
