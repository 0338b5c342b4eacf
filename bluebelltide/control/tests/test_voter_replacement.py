"""Tests of who should vote."""

import pytest

from bluebelltide.catalogue import _register
from bluebelltide.control import _voter_replacement
from bluebelltide.news import _messages

NOW_MS = 100_000
SILENT_MS = _voter_replacement.REPLACE_AFTER_MS + 1


def replica(name: str) -> _messages.Replica:
    return _messages.Replica(name, "dc-" + name[0])


def make_situation(
    voters: tuple[str, ...],
    heard_ago_ms: dict[str, int],
    own: str = "a~0",
    next_voters: tuple[str, ...] = (),
    wanted_voters: int = 3,
) -> _voter_replacement.ClusterView:
    heard = {
        name: _voter_replacement.SeenReplica(replica(name), NOW_MS - ago_ms)
        for name, ago_ms in heard_ago_ms.items()
    }
    return _voter_replacement.ClusterView(
        replica(own),
        _register.Voters(1, voters, next_voters),
        heard,
        0,
        wanted_voters,
        NOW_MS,
    )


def plan(
    voters: tuple[str, ...],
    heard_ago_ms: dict[str, int],
    own: str = "a~0",
    next_voters: tuple[str, ...] = (),
    wanted_voters: int = 3,
) -> tuple[str, ...] | None:
    situation = make_situation(
        voters, heard_ago_ms, own, next_voters, wanted_voters
    )
    return _voter_replacement.plan_next_voters(situation)


VOTERS = ("a~0", "b~0", "c~0")


@pytest.mark.parametrize(
    ("name", "heard_ago_ms", "expected"),
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
    name: str, heard_ago_ms: dict[str, int], expected: tuple[str, ...] | None
) -> None:
    del name
    assert plan(VOTERS, heard_ago_ms) == expected


def test_only_the_first_live_voter_plans() -> None:
    heard = {"a~0": 0, "c~0": SILENT_MS, "d~0": 0}
    assert plan(VOTERS, heard, own="b~0") is None
    heard["a~0"] = SILENT_MS
    assert plan(VOTERS, heard, own="b~0") is not None


def test_a_step_that_was_begun_is_finished_first() -> None:
    heard = {"b~0": 0, "c~0": SILENT_MS, "d~0": 0, "e~0": 0}
    following = ("a~0", "b~0", "e~0")
    assert plan(VOTERS, heard, next_voters=following) == following


def test_voters_grow_to_the_wanted_number() -> None:
    heard = {"b~0": 0, "c~0": 0, "d~0": 0, "e~0": 0}
    assert plan(VOTERS, heard, wanted_voters=5) == (*VOTERS, "d~0")


def test_a_spare_does_not_plan() -> None:
    heard = {"a~0": 0, "b~0": 0, "c~0": SILENT_MS}
    assert plan(VOTERS, heard, own="d~0") is None


@pytest.mark.parametrize(
    ("own", "heard_ago_ms", "expected"),
    [
        ("a~0", {"b~0": 0, "c~0": SILENT_MS}, True),
        ("a~0", {"b~0": SILENT_MS, "c~0": SILENT_MS, "d~0": 0}, False),
        ("d~0", {"a~0": 0, "b~0": 0}, True),
        ("d~0", {"a~0": 0}, False),
        ("a~0", {}, False),
    ],
)
def test_a_replica_that_is_cut_off_knows_it(
    own: str, heard_ago_ms: dict[str, int], expected: bool
) -> None:
    situation = make_situation(VOTERS, heard_ago_ms, own)
    assert _voter_replacement.is_quorum_alive(situation) == expected
