"""Tests of what the ledger takes for a broken promise."""

from collections.abc import Callable

import pytest

from bluebelltide.soak import _invariants

Ledger = _invariants.InvariantChecker


def _calm(from_s: float, to_s: float) -> bool:
    return True


def _faulty(from_s: float, to_s: float) -> bool:
    return False


def _run_twice(ledger: Ledger) -> None:
    ledger.request_sent("r", "one", False, 0.0)
    ledger.request_run("r", "one", "f", 0.1)
    ledger.request_run("r", "one", "f", 0.2)


def _run_elsewhere(ledger: Ledger) -> None:
    ledger.request_sent("r", "one", True, 0.0)
    ledger.request_run("r", "two", "f", 0.1)


def _run_unasked(ledger: Ledger) -> None:
    ledger.request_run("r", "one", "f", 0.1)


def _run_after_refusal(ledger: Ledger) -> None:
    ledger.request_sent("r", "one", True, 0.0)
    ledger.flow_reset("f", "", 0.1)
    ledger.request_run("r", "one", "f", 0.2)


def _reset_by_the_product(ledger: Ledger) -> None:
    ledger.flow_open("f", "t")
    ledger.flow_reset("f", "", 0.1)


def _reset_by_another_target(ledger: Ledger) -> None:
    ledger.flow_open("f", "t")
    ledger.flow_reset("f", "u", 0.1)


def _packet_astray(ledger: Ledger) -> None:
    ledger.flow_open("f", "t")
    ledger.packet_astray("f", "u", 0.1)


def _answer_of_another(ledger: Ledger) -> None:
    ledger.answer("r", "s", 0.1)


def _late_flow_at_leaving_target(ledger: Ledger) -> None:
    ledger.drain_acknowledged("t", 0.0)
    ledger.flow_reached("t", "f", _invariants.DRAIN_S + 0.1)


def _older_read(ledger: Ledger) -> None:
    ledger.change_sent(1, b"1", frozenset(), 0.0)
    ledger.change_sent(2, b"2", frozenset(), 0.0)
    ledger.change_acknowledged(2, 0.0)
    asked_s = _invariants.APPLY_S + 0.1
    ledger.version_read(1, b"1", asked_s, asked_s)


def _other_content(ledger: Ledger) -> None:
    ledger.change_sent(1, b"1", frozenset(), 0.0)
    ledger.change_sent(1, b"other", frozenset(), 0.0)
    ledger.version_read(1, b"other", 0.1, 0.1)


def _lost_at_the_end(ledger: Ledger) -> None:
    ledger.change_sent(1, b"1", frozenset(), 0.0)
    ledger.change_acknowledged(1, 0.0)
    ledger.read_at_end(None, 9.0)


def _dropped_route_opens(ledger: Ledger) -> None:
    ledger.change_sent(1, b"1", frozenset({7}), 0.0)
    ledger.change_sent(2, b"2", frozenset(), 0.0)
    ledger.change_acknowledged(2, 0.0)
    ledger.probed(7, True, _invariants.APPLY_S + 0.1)


def _present_route_refused(ledger: Ledger) -> None:
    ledger.change_sent(1, b"1", frozenset({7}), 0.0)
    ledger.change_acknowledged(1, 0.0)
    ledger.probed(7, False, _invariants.APPLY_S + 0.1)


def _no_recovery(ledger: Ledger) -> None:
    for number in range(4):
        ledger.request_ended(str(number), 7.0, "failed")
    ledger.check_recovery(0.0, 10.0)


def _lost_after_recovery(ledger: Ledger) -> None:
    for number in range(9):
        ledger.request_ended(str(number), 13.0, "served")
    ledger.request_ended("9", 13.0, "failed")
    ledger.check_recovery(0.0, 16.0)


@pytest.mark.parametrize(
    ("happens", "promise"),
    [
        (_run_twice, "at_most_once"),
        (_run_elsewhere, "own_service"),
        (_run_unasked, "unasked"),
        (_run_after_refusal, "not_run_is_true"),
        (_reset_by_the_product, "flows_stay_whole"),
        (_reset_by_another_target, "flows_stay_whole"),
        (_packet_astray, "flows_stay_whole"),
        (_answer_of_another, "own_answer"),
        (_late_flow_at_leaving_target, "drain"),
        (_older_read, "never_reverts"),
        (_other_content, "never_reverts"),
        (_lost_at_the_end, "never_lost"),
        (_dropped_route_opens, "change_in_force"),
        (_present_route_refused, "change_in_force"),
        (_no_recovery, "recovery"),
        (_lost_after_recovery, "nothing_lost"),
    ],
)
def test_a_broken_promise_is_seen(
    happens: Callable[[Ledger], None], promise: str
) -> None:
    ledger = Ledger(_calm)
    happens(ledger)
    assert [broken.invariant for broken in ledger.broken] == [promise]


@pytest.mark.parametrize(
    "happens",
    [
        _late_flow_at_leaving_target,
        _dropped_route_opens,
        _present_route_refused,
    ],
)
def test_bounds_in_time_hold_only_while_it_is_calm(
    happens: Callable[[Ledger], None],
) -> None:
    ledger = Ledger(_faulty)
    happens(ledger)
    assert not ledger.broken


def test_what_is_allowed_breaks_nothing() -> None:
    ledger = Ledger(_calm)
    ledger.request_sent("r", "one", True, 0.0)
    ledger.request_run("r", "one", "f", 0.1)
    ledger.request_run("r", "one", "f", 0.2)
    ledger.answer("r", "r", 0.3)
    ledger.flow_open("f", "t")
    ledger.flow_reset("f", "t", 0.4)
    ledger.flow_open("g", "t")
    ledger.target_gone("t")
    ledger.flow_reset("g", "u", 0.5)
    ledger.flow_reset("h", "", 0.6)
    ledger.drain_acknowledged("t", 0.0)
    ledger.flow_reached("t", "i", _invariants.DRAIN_S - 0.1)
    ledger.change_sent(1, b"1", frozenset({7}), 0.0)
    ledger.change_sent(2, b"2", frozenset(), 3.0)
    ledger.change_acknowledged(1, 0.0)
    ledger.change_acknowledged(2, 3.0)
    ledger.version_read(1, b"1", 5.0, 5.1)
    ledger.probed(7, True, 5.0)
    ledger.probed(7, False, 5.0)
    ledger.read_at_end(2, 9.0)
    assert not ledger.broken
