"""Tests of the admission core: every refusal and retry, and its truth."""

from collections.abc import Callable

import pytest

from bluebelltide import _codes
from bluebelltide import _types
from bluebelltide import admission
from bluebelltide import catalogue
from bluebelltide import membership
from bluebelltide.admission import _limits

Refusal = _codes.RefusalCode


def make(
    targets: int = 2, slots: int = 1, **limits: int
) -> admission.Admission:
    entry = catalogue.ServiceEntry(
        "svc",
        "team",
        catalogue.ServiceClass.NORMAL,
        (),
        (),
        admission_mode=catalogue.AdmissionMode.SLOTS,
        limits=catalogue.Limits(**limits),
    )
    core = admission.create_admission(entry, 1)
    core.update_targets(standings(targets, slots), admission.Share(0, 1), 0)
    return core


def standings(
    targets: int, slots: int = 1, sequence: int = 1, load_percent: int = 0
) -> list[membership.Standing]:
    return [
        membership.Standing(
            _types.Target(
                f"t{number}",
                "svc",
                _types.Address("127.0.0.1", 1000 + number),
                "dc",
                1,
                sequence,
                _types.TargetState.READY,
                slots,
                0,
                load_percent,
                1000,
            ),
            True,
            1.0,
        )
        for number in range(targets)
    ]


def arrive(
    core: admission.Admission, number: int, now_ms: int = 0
) -> list[admission.Action]:
    return core.submit_request(number, "10.0.0.1", False, now_ms)


def refuse_stopping() -> admission.Refuse:
    (action,) = make().submit_request(1, "10.0.0.1", True, 0)
    assert isinstance(action, admission.Refuse)
    return action


def refuse_open_flows() -> admission.Refuse:
    core = make(open_flows=1)
    arrive(core, 1)
    return last_refusal(arrive(core, 2))


def refuse_no_target() -> admission.Refuse:
    return last_refusal(arrive(make(targets=0), 1))


def refuse_full_line() -> admission.Refuse:
    core = make(targets=1, waiting_flows=1)
    arrive(core, 1)
    arrive(core, 2)
    return last_refusal(arrive(core, 3))


def refuse_rate() -> admission.Refuse:
    core = make(targets=9, new_flows_per_s=4)
    arrive(core, 1)
    return last_refusal(arrive(core, 2))


def refuse_deadline() -> admission.Refuse:
    core = make(targets=1, deadline_ms=100)
    arrive(core, 1)
    arrive(core, 2)
    return last_refusal(core.tick(100))


def refuse_connect_failed() -> admission.Refuse:
    core = make(retry_percent=0)
    arrive(core, 1)
    return last_refusal(
        core.retry_or_refuse(1, _codes.RetryCode.CONNECT_REFUSED, 1)
    )


def last_refusal(
    actions: list[admission.Action],
) -> admission.Refuse:
    refusals = [a for a in actions if isinstance(a, admission.Refuse)]
    assert len(refusals) == 1
    return refusals[0]


REFUSALS: list[tuple[Callable[[], admission.Refuse], Refusal]] = [
    (refuse_stopping, Refusal.STOPPING),
    (refuse_open_flows, Refusal.OPEN_FLOW_LIMIT),
    (refuse_no_target, Refusal.NO_TARGET),
    (refuse_full_line, Refusal.OVERLOAD),
    (refuse_rate, Refusal.RATE_LIMIT),
    (refuse_deadline, Refusal.DEADLINE),
    (refuse_connect_failed, Refusal.CONNECT_FAILED),
]


@pytest.mark.parametrize(("provoke", "code"), REFUSALS)
def test_refusal_has_its_code(
    provoke: Callable[[], admission.Refuse], code: Refusal
) -> None:
    assert provoke().code == code


@pytest.mark.parametrize("code", list(_codes.RetryCode))
def test_failure_before_the_first_byte_is_retried_elsewhere(
    code: _codes.RetryCode,
) -> None:
    core = make(targets=2)
    (first,) = arrive(core, 1)
    assert isinstance(first, admission.Dispatch)
    (retry,) = core.retry_or_refuse(1, code, 1)
    assert retry == admission.Retry(1, code)
    (second,) = core.tick(1000)
    assert isinstance(second, admission.Dispatch)
    assert second.target != first.target


def test_running_request_is_never_retried() -> None:
    core = make()
    arrive(core, 1)
    core.note_running(1)
    with pytest.raises(ValueError, match="not running may be retried"):
        core.retry_or_refuse(1, _codes.RetryCode.SHED, 1)


def test_waiting_request_gets_the_slot_that_ends() -> None:
    core = make(targets=1)
    arrive(core, 1)
    assert arrive(core, 2) == []
    (action,) = core.end_request(1, 10)
    assert isinstance(action, admission.Dispatch)
    assert action.request_id == 2


def test_caller_that_leaves_frees_its_place() -> None:
    core = make(targets=1)
    arrive(core, 1)
    arrive(core, 2)
    assert core.end_request(2, 5) == []
    assert core.waiting_count() == 0
    assert core.end_request(1, 6) == []


def test_no_retry_storm_when_targets_return() -> None:
    core = make(targets=1, slots=50, retry_percent=10, deadline_ms=60_000)
    retries = 0
    for number in range(500):
        for action in arrive(core, number, number):
            if isinstance(action, admission.Dispatch):
                failed = core.retry_or_refuse(
                    number, _codes.RetryCode.CONNECT_REFUSED, number
                )
                retries += sum(isinstance(a, admission.Retry) for a in failed)
    assert retries <= 50


def test_failing_target_is_ejected_but_not_all() -> None:
    core = make(targets=2, slots=9, retry_percent=100)
    for number in range(40):
        (action,) = arrive(core, number, number)
        assert isinstance(action, admission.Dispatch)
        if action.target.target_id == "t0":
            core.retry_or_refuse(
                number, _codes.RetryCode.CONNECT_TIMEOUT, number
            )
        else:
            core.end_request(number, number)
    chosen = set()
    for number in range(100, 110):
        for action in arrive(core, number, 41):
            if isinstance(action, admission.Dispatch):
                chosen.add(action.target.target_id)
        core.end_request(number, 41)
    assert chosen == {"t1"}


@pytest.mark.parametrize("limit", [0, 1, 7, 100])
@pytest.mark.parametrize("count", [1, 2, 9])
def test_shares_add_up_to_the_limit(limit: int, count: int) -> None:
    shares = [
        _limits.share_of(limit, admission.Share(position, count))
        for position in range(count)
    ]
    assert sum(shares) == limit


def test_slots_are_dealt_out_without_overlap() -> None:
    instances = 4
    taken: list[str] = []
    for position in range(instances):
        core = make(targets=3, slots=2)
        busy = standings(3, 2, sequence=2, load_percent=100)
        core.update_targets(busy, admission.Share(position, instances), 0)
        for number in range(6):
            for action in arrive(core, number):
                assert isinstance(action, admission.Dispatch)
                taken.append(action.target.target_id)
    assert sorted(taken) == ["t0", "t0", "t1", "t1", "t2", "t2"]


def test_burst_after_a_quiet_time_is_not_refused() -> None:
    """The rate of a quiet second once passed for the capacity."""
    core = make(targets=6, slots=1)
    for number in range(20):
        now_ms = number * 1000
        arrive(core, number, now_ms)
        core.end_request(number, now_ms + 50)
    actions = [
        action
        for number in range(100, 130)
        for action in arrive(core, number, 20_100)
    ]
    assert not any(isinstance(a, admission.Refuse) for a in actions)
    assert core.waiting_count() == 24


def test_budget_forgets_old_requests() -> None:
    budget = _limits.RetryBudget()
    for _ in range(100):
        budget.note_request(0)
    assert budget.remaining(10, 0) == 10
    assert budget.remaining(10, 30_000) == budget.MINIMUM_RETRIES
