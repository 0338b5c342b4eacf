"""Tests of the plans of faults."""

from collections import Counter

import pytest

from bluebelltide.soak import _plan


@pytest.mark.parametrize("seed", range(20))
def test_a_plan_is_reproducible_and_stays_within_its_time(
    seed: int,
) -> None:
    plan = _plan.make_plan(seed, 20.0)
    assert plan == _plan.make_plan(seed, 20.0)
    limit_s = 20.0 + _plan.QUIET_PERIOD_S
    assert all(0 <= fault.start_s < limit_s for fault in plan)
    longest_s = _plan.SHORTEST_FAULT_S + _plan.LONGEST_FAULT_DELAY_S
    assert all(fault.end_s <= limit_s + longest_s for fault in plan)


@pytest.mark.parametrize("seed", range(20))
def test_no_fault_occurs_between_the_series(seed: int) -> None:
    plan = _plan.make_plan(seed, 20.0)
    (quiet_start_s,) = _plan.quiet_period_starts(20.0)
    begin_s = (
        quiet_start_s + _plan.SHORTEST_FAULT_S + _plan.LONGEST_FAULT_DELAY_S
    )
    end_s = quiet_start_s + _plan.QUIET_PERIOD_S
    assert _plan.is_fault_free(plan, begin_s, end_s, stabilisation_s=0.0)
    assert any(fault.start_s < quiet_start_s for fault in plan)
    assert any(fault.start_s > end_s for fault in plan)


@pytest.mark.parametrize("seed", range(20))
def test_exactly_one_disk_is_lost(seed: int) -> None:
    kinds = Counter(fault.kind for fault in _plan.make_plan(seed, 20.0))
    assert kinds[_plan.FaultKind.WIPE] == 1


def test_all_kinds_occur_and_overlap() -> None:
    plans = [_plan.make_plan(seed, 20.0) for seed in range(40)]
    kinds = {fault.kind for plan in plans for fault in plan}
    assert kinds == set(_plan.FaultKind)
    assert any(
        first.end_s > second.start_s
        for plan in plans
        for first, second in zip(plan, plan[1:], strict=False)
    )


@pytest.mark.parametrize(
    ("from_s", "to_s", "expected"),
    [
        (0.0, 0.9, True),
        (0.0, 1.0, False),
        (2.0, 2.5, False),
        (4.5, 9.0, False),
        (7.1, 9.0, True),
    ],
)
def test_a_span_is_fault_free_after_the_stabilisation_time(
    from_s: float, to_s: float, expected: bool
) -> None:
    plan = (_plan.Fault(1.0, _plan.FaultKind.CUT, 0, 2.0),)
    assert (
        _plan.is_fault_free(plan, from_s, to_s, stabilisation_s=4.0) is expected
    )
