"""Tests of the plan of faults."""

from collections import Counter

import pytest

from bluebelltide.soak import _plan


@pytest.mark.parametrize("seed", range(20))
def test_a_plan_follows_from_its_seed_and_keeps_within_its_time(
    seed: int,
) -> None:
    plan = _plan.make_plan(seed, 20.0)
    assert plan == _plan.make_plan(seed, 20.0)
    limit_s = 20.0 + _plan.QUIET_S
    assert all(0 <= fault.at_s < limit_s for fault in plan)
    longest_s = _plan.SHORTEST_S + _plan.LONGEST_DELAY_S
    assert all(fault.end_s <= limit_s + longest_s for fault in plan)


@pytest.mark.parametrize("seed", range(20))
def test_nothing_happens_between_the_series(seed: int) -> None:
    plan = _plan.make_plan(seed, 20.0)
    (quiet_s,) = _plan.quiet_times(20.0)
    begins_s = quiet_s + _plan.SHORTEST_S + _plan.LONGEST_DELAY_S
    ends_s = quiet_s + _plan.QUIET_S
    assert _plan.is_calm(plan, begins_s, ends_s, settle_s=0.0)
    assert any(fault.at_s < quiet_s for fault in plan)
    assert any(fault.at_s > ends_s for fault in plan)


@pytest.mark.parametrize("seed", range(20))
def test_only_one_disk_is_lost(seed: int) -> None:
    kinds = Counter(fault.kind for fault in _plan.make_plan(seed, 20.0))
    assert kinds[_plan.FaultKind.WIPE] == 1


def test_all_kinds_come_and_overlap() -> None:
    plans = [_plan.make_plan(seed, 20.0) for seed in range(40)]
    kinds = {fault.kind for plan in plans for fault in plan}
    assert kinds == set(_plan.FaultKind)
    assert any(
        first.end_s > second.at_s
        for plan in plans
        for first, second in zip(plan, plan[1:], strict=False)
    )


@pytest.mark.parametrize(
    ("from_s", "to_s", "calm"),
    [
        (0.0, 0.9, True),
        (0.0, 1.0, False),
        (2.0, 2.5, False),
        (4.5, 9.0, False),
        (7.1, 9.0, True),
    ],
)
def test_a_span_is_calm_when_no_fault_still_counts(
    from_s: float, to_s: float, calm: bool
) -> None:
    plan = (_plan.Fault(1.0, _plan.FaultKind.CUT, 0, 2.0),)
    assert _plan.is_calm(plan, from_s, to_s, settle_s=4.0) is calm
