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
    minimum_voter_count: int = 3,
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
        minimum_voter_count,
        NOW_MS,
    )


def plan_next_voters(
    voters: tuple[str, ...],
    seen_ago_ms: dict[str, int],
    own: str = "a~0",
    next_voters: tuple[str, ...] = (),
    minimum_voter_count: int = 3,
) -> tuple[str, ...] | None:
    cluster_view = make_cluster_view(
        voters, seen_ago_ms, own, next_voters, minimum_voter_count
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


def test_the_next_voter_plans_soon_after_the_planner_has_gone() -> None:
    """Guards against removals that no replica answers by a change of voters.

    If the replicas that are removed are the planners in turn, each of them was
    waited for before the next voter planned.
    """
    seen_ago_ms = {"a~0": 700, "b~0": SILENT_MS, "d~0": 0}
    assert plan_next_voters(VOTERS, seen_ago_ms, own="c~0") is None
    seen_ago_ms["a~0"] = 701
    # The planner is not given up itself.
    expected = ("a~0", "c~0", "d~0")
    assert plan_next_voters(VOTERS, seen_ago_ms, own="c~0") == expected


def test_an_interrupted_joint_step_is_finished_first() -> None:
    seen_ago_ms = {"b~0": 0, "c~0": SILENT_MS, "d~0": 0, "e~0": 0}
    next_voters = ("a~0", "b~0", "e~0")
    assert (
        plan_next_voters(VOTERS, seen_ago_ms, next_voters=next_voters)
        == next_voters
    )


@pytest.mark.parametrize(
    ("minimum_voter_count", "standbys", "expected_count"),
    [
        (5, ("d~0",), 4),
        (5, ("d~0", "e~0"), 5),
        # An even number of voters tolerates no more losses.
        (3, ("d~0",), 3),
        (3, ("d~0", "e~0"), 5),
        (5, ("d~0", "e~0", "f~0"), 5),
        (5, ("d~0", "e~0", "f~0", "g~0"), 7),
        (3, tuple(f"{letter}~0" for letter in "defghijklm"), 9),
    ],
)
def test_voters_are_added_up_to_the_largest_odd_number_of_replicas(
    minimum_voter_count: int, standbys: tuple[str, ...], expected_count: int
) -> None:
    """Guards against a quorum that is lost while most replicas run."""
    seen_ago_ms = dict.fromkeys(("b~0", "c~0", *standbys), 0)
    planned = plan_next_voters(
        VOTERS, seen_ago_ms, minimum_voter_count=minimum_voter_count
    )
    added = standbys[: expected_count - len(VOTERS)]
    assert planned == ((*VOTERS, *added) if added else None)


FIVE_VOTERS = ("a~0", "b~0", "c~0", "d~0", "e~0")


@pytest.mark.parametrize(
    ("minimum_voter_count", "seen_ago_ms", "expected"),
    [
        # Two have gone, and three vote for the three that are left.
        (
            3,
            {"b~0": 0, "c~0": 0, "d~0": SILENT_MS, "e~0": SILENT_MS},
            ("a~0", "b~0", "c~0"),
        ),
        # Five voters are needed: those that are silent may return.
        (5, {"b~0": 0, "c~0": 0, "d~0": SILENT_MS, "e~0": SILENT_MS}, None),
        # The one that has been silent for longer is replaced first.
        (
            5,
            {
                "b~0": 0,
                "c~0": 0,
                "d~0": SILENT_MS + 1,
                "e~0": SILENT_MS,
                "f~0": 0,
            },
            ("a~0", "b~0", "c~0", "e~0", "f~0"),
        ),
        # One has gone; of the other four the one that is silent is left out.
        (
            3,
            {"b~0": 2000, "c~0": 0, "d~0": 0, "e~0": SILENT_MS},
            ("a~0", "c~0", "d~0"),
        ),
    ],
)
def test_voters_that_are_gone_are_given_up_while_enough_are_left(
    minimum_voter_count: int,
    seen_ago_ms: dict[str, int],
    expected: tuple[str, ...] | None,
) -> None:
    """Guards against voters that are gone and count in each quorum for good."""
    planned = plan_next_voters(
        FIVE_VOTERS, seen_ago_ms, minimum_voter_count=minimum_voter_count
    )
    assert planned == expected


def leave(
    cluster_view: _voter_replacement.ClusterView, name: str
) -> _voter_replacement.ClusterView:
    """Returns the view in which a replica is about to stop."""
    if name == cluster_view.own_replica.identity:
        return cluster_view._replace(is_leaving=True)
    seen = cluster_view.seen_replicas[name]._replace(is_leaving=True)
    return cluster_view._replace(
        seen_replicas={**cluster_view.seen_replicas, name: seen}
    )


def test_a_voter_that_is_about_to_stop_is_replaced_without_a_delay() -> None:
    seen_ago_ms = {"b~0": 0, "c~0": 0, "d~0": 0}
    cluster_view = make_cluster_view(VOTERS, seen_ago_ms)
    planned = _voter_replacement.plan_next_voters(leave(cluster_view, "b~0"))
    assert planned == ("a~0", "c~0", "d~0")
    # A standby replica that is about to stop does not replace it.
    cluster_view = leave(leave(cluster_view, "b~0"), "d~0")
    assert _voter_replacement.plan_next_voters(cluster_view) is None


def test_a_planner_that_is_about_to_stop_leaves_the_plan_to_the_next() -> None:
    seen_ago_ms = {"b~0": 0, "c~0": 0, "d~0": 0}
    cluster_view = leave(make_cluster_view(VOTERS, seen_ago_ms), "a~0")
    assert _voter_replacement.can_hand_over(cluster_view)
    assert _voter_replacement.plan_next_voters(cluster_view) is None
    seen_ago_ms = {"a~0": 0, "c~0": 0, "d~0": 0}
    cluster_view = make_cluster_view(VOTERS, seen_ago_ms, own="b~0")
    planned = _voter_replacement.plan_next_voters(leave(cluster_view, "a~0"))
    assert planned == ("b~0", "c~0", "d~0")


@pytest.mark.parametrize(
    ("own", "seen_ago_ms", "next_voters", "expected"),
    [
        ("a~0", {"b~0": 0, "c~0": 0, "d~0": 0}, (), True),
        ("a~0", {"b~0": 0, "c~0": 0}, (), False),
        ("d~0", {"a~0": 0, "b~0": 0, "c~0": 0}, (), False),
        # The step that takes the vote away has not ended yet.
        ("a~0", {"b~0": 0, "c~0": 0, "d~0": 0}, ("b~0", "c~0", "d~0"), True),
    ],
)
def test_a_vote_is_handed_over_if_another_replica_can_take_it(
    own: str,
    seen_ago_ms: dict[str, int],
    next_voters: tuple[str, ...],
    expected: bool,
) -> None:
    """Guards against a stop that waits for what cannot happen."""
    cluster_view = make_cluster_view(VOTERS, seen_ago_ms, own, next_voters)
    assert _voter_replacement.can_hand_over(cluster_view) == expected


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
