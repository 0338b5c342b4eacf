"""Tests of what the answers to a query show."""

from bluebelltide.catalogue import _register
from bluebelltide.control import _read_tally
from bluebelltide.messaging import _calls

VOTERS = _register.Voters(1, ("a", "b", "c"))
OLD = _register.Ballot(1, "x")
NEW = _register.Ballot(2, "y")
OTHER = _register.Ballot(3, "z")
Finding = _read_tally.Finding


def tally_all(
    *answers: tuple[str, _register.Ballot, int],
    voters: _register.Voters = VOTERS,
) -> Finding:
    """Adds answers at a reader that knows version 5 is committed."""
    tally = _read_tally.ReadTally(voters, 5)
    finding = Finding.OPEN
    for identity, ballot, version in answers:
        finding = tally.add(identity, _calls.QueryAnswer(ballot, version, 1))
    return finding


def test_a_quorum_without_a_newer_version_confirms_the_known_one() -> None:
    assert tally_all(("a", OLD, 5)) is Finding.OPEN
    # The same state may have been written again under another ballot.
    answers = (("a", OLD, 5), ("b", OTHER, 5))
    assert tally_all(*answers) is Finding.KNOWN_IS_NEWEST


def test_a_change_that_a_minority_accepted_does_not_hold_up_a_read() -> None:
    answers = (("a", NEW, 6), ("b", OLD, 5), ("c", OLD, 4))
    assert tally_all(*answers[:2]) is Finding.OPEN
    assert tally_all(*answers) is Finding.KNOWN_IS_NEWEST


def test_a_newer_ballot_is_committed_once_a_quorum_has_accepted_it() -> None:
    assert tally_all(("a", NEW, 6)) is Finding.OPEN
    answers = (("a", NEW, 6), ("c", NEW, 6))
    assert tally_all(*answers) is Finding.BALLOT_IS_COMMITTED


def test_two_newer_ballots_leave_the_read_undecided() -> None:
    answers = (("a", NEW, 6), ("b", OTHER, 6))
    assert tally_all(*answers) is Finding.OPEN
    assert tally_all(*answers, ("c", OLD, 5)) is Finding.UNDECIDED


def test_a_newer_voter_set_leaves_the_read_undecided() -> None:
    tally = _read_tally.ReadTally(VOTERS, 5)
    assert tally.add("a", _calls.QueryAnswer(OLD, 5, 1)) is Finding.OPEN
    answer = _calls.QueryAnswer(OLD, 5, 2)
    assert tally.add("b", answer) is Finding.UNDECIDED


def test_during_a_joint_step_both_voter_sets_must_agree() -> None:
    joint = _register.Voters(1, ("a", "b", "c"), ("c", "d", "e"))
    answers = (("a", OLD, 5), ("b", OLD, 5), ("d", OLD, 5))
    assert tally_all(*answers, voters=joint) is Finding.OPEN
    finding = tally_all(*answers, ("c", OLD, 5), voters=joint)
    assert finding is Finding.KNOWN_IS_NEWEST
