"""Tests of admission: refusals, retries, slots and the retry budget."""

from collections.abc import Callable

import pytest

from bluebelltide import _codes
from bluebelltide import _types
from bluebelltide import admission
from bluebelltide.admission import _limits
from bluebelltide.catalogue import _entries
from bluebelltide.membership import _registry

Refusal = _codes.RefusalCode


def make_admission(
    targets: int = 2, slots: int = 1, **limits: int
) -> admission.Admission:
    entry = _entries.ServiceEntry(
        "svc",
        "team",
        _entries.ServiceClass.NORMAL,
        (),
        (),
        admission_mode=_entries.AdmissionMode.SLOTS,
        limits=_entries.Limits(**limits),
    )
    controller = admission.create_admission(entry, 1)
    controller.update_targets(
        make_availabilities(targets, slots), admission.Share(0, 1), 0
    )
    return controller


def make_availabilities(
    targets: int, slots: int = 1, sequence: int = 1, load_percent: int = 0
) -> list[_registry.TargetAvailability]:
    return [
        _registry.TargetAvailability(
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


def submit(
    controller: admission.Admission, number: int, now_ms: int = 0
) -> list[admission.Action]:
    return controller.submit_request(number, "10.0.0.1", False, now_ms)


def refuse_stopping() -> admission.Refuse:
    (action,) = make_admission().submit_request(1, "10.0.0.1", True, 0)
    assert isinstance(action, admission.Refuse)
    return action


def refuse_open_flows() -> admission.Refuse:
    controller = make_admission(open_flows=1)
    submit(controller, 1)
    return single_refusal(submit(controller, 2))


def refuse_no_target() -> admission.Refuse:
    return single_refusal(submit(make_admission(targets=0), 1))


def refuse_full_queue() -> admission.Refuse:
    controller = make_admission(targets=1, waiting_flows=1)
    submit(controller, 1)
    submit(controller, 2)
    return single_refusal(submit(controller, 3))


def refuse_rate() -> admission.Refuse:
    controller = make_admission(targets=9, new_flows_per_s=4)
    submit(controller, 1)
    return single_refusal(submit(controller, 2))


def refuse_deadline() -> admission.Refuse:
    controller = make_admission(targets=1, deadline_ms=100)
    submit(controller, 1)
    submit(controller, 2)
    return single_refusal(controller.tick(100))


def refuse_connect_failed() -> admission.Refuse:
    controller = make_admission(retry_percent=0)
    submit(controller, 1)
    return single_refusal(
        controller.retry_or_refuse(1, _codes.RetryCode.CONNECT_REFUSED, 1)
    )


def single_refusal(
    actions: list[admission.Action],
) -> admission.Refuse:
    refusals = [a for a in actions if isinstance(a, admission.Refuse)]
    assert len(refusals) == 1
    return refusals[0]


REFUSALS: list[tuple[Callable[[], admission.Refuse], Refusal]] = [
    (refuse_stopping, Refusal.STOPPING),
    (refuse_open_flows, Refusal.OPEN_FLOW_LIMIT),
    (refuse_no_target, Refusal.NO_TARGET),
    (refuse_full_queue, Refusal.OVERLOAD),
    (refuse_rate, Refusal.RATE_LIMIT),
    (refuse_deadline, Refusal.DEADLINE),
    (refuse_connect_failed, Refusal.CONNECT_FAILED),
]


@pytest.mark.parametrize(("provoke", "code"), REFUSALS)
def test_each_refusal_has_its_code(
    provoke: Callable[[], admission.Refuse], code: Refusal
) -> None:
    assert provoke().code == code


@pytest.mark.parametrize("code", list(_codes.RetryCode))
def test_failure_before_the_first_byte_is_retried_elsewhere(
    code: _codes.RetryCode,
) -> None:
    controller = make_admission(targets=2)
    (first,) = submit(controller, 1)
    assert isinstance(first, admission.Dispatch)
    (retry,) = controller.retry_or_refuse(1, code, 1)
    assert retry == admission.Retry(1, code)
    (second,) = controller.tick(1000)
    assert isinstance(second, admission.Dispatch)
    assert second.target != first.target


def test_running_request_is_never_retried() -> None:
    controller = make_admission()
    submit(controller, 1)
    controller.note_running(1)
    with pytest.raises(ValueError, match="not running may be retried"):
        controller.retry_or_refuse(1, _codes.RetryCode.SHED, 1)


def test_queued_request_gets_the_next_free_slot() -> None:
    controller = make_admission(targets=1)
    submit(controller, 1)
    assert submit(controller, 2) == []
    (action,) = controller.end_request(1, 10)
    assert isinstance(action, admission.Dispatch)
    assert action.request_id == 2


def test_queued_request_of_a_lost_caller_is_removed() -> None:
    controller = make_admission(targets=1)
    submit(controller, 1)
    submit(controller, 2)
    assert controller.end_request(2, 5) == []
    assert controller.queued_count() == 0
    assert controller.end_request(1, 6) == []


def test_retries_stay_within_the_budget_when_every_target_fails() -> None:
    controller = make_admission(
        targets=1, slots=50, retry_percent=10, deadline_ms=60_000
    )
    retries = 0
    for number in range(500):
        for action in submit(controller, number, number):
            if isinstance(action, admission.Dispatch):
                failed = controller.retry_or_refuse(
                    number, _codes.RetryCode.CONNECT_REFUSED, number
                )
                retries += sum(isinstance(a, admission.Retry) for a in failed)
    assert retries <= 50


def test_only_the_failing_target_is_ejected() -> None:
    controller = make_admission(targets=2, slots=9, retry_percent=100)
    for number in range(40):
        (action,) = submit(controller, number, number)
        assert isinstance(action, admission.Dispatch)
        if action.target.target_id == "t0":
            controller.retry_or_refuse(
                number, _codes.RetryCode.CONNECT_TIMEOUT, number
            )
        else:
            controller.end_request(number, number)
    chosen = set()
    for number in range(100, 110):
        for action in submit(controller, number, 41):
            if isinstance(action, admission.Dispatch):
                chosen.add(action.target.target_id)
        controller.end_request(number, 41)
    assert chosen == {"t1"}


@pytest.mark.parametrize("limit", [0, 1, 7, 100])
@pytest.mark.parametrize("count", [1, 2, 9])
def test_shares_add_up_to_the_limit(limit: int, count: int) -> None:
    shares = [
        _limits.share_of(limit, admission.Share(position, count))
        for position in range(count)
    ]
    assert sum(shares) == limit


def test_each_slot_is_owned_by_one_instance() -> None:
    instances = 4
    dispatched: list[str] = []
    for position in range(instances):
        controller = make_admission(targets=3, slots=2)
        busy = make_availabilities(3, 2, sequence=2, load_percent=100)
        controller.update_targets(busy, admission.Share(position, instances), 0)
        for number in range(6):
            for action in submit(controller, number):
                assert isinstance(action, admission.Dispatch)
                dispatched.append(action.target.target_id)
    assert sorted(dispatched) == ["t0", "t0", "t1", "t1", "t2", "t2"]


def test_burst_after_a_quiet_period_is_not_refused() -> None:
    """Guards against taking the rate of a quiet second for the capacity."""
    controller = make_admission(targets=6, slots=1)
    for number in range(20):
        now_ms = number * 1000
        submit(controller, number, now_ms)
        controller.end_request(number, now_ms + 50)
    actions = [
        action
        for number in range(100, 130)
        for action in submit(controller, number, 20_100)
    ]
    assert not any(isinstance(a, admission.Refuse) for a in actions)
    assert controller.queued_count() == 24


def test_retry_budget_ignores_old_requests() -> None:
    budget = _limits.RetryBudget()
    for _ in range(100):
        budget.note_request(0)
    assert budget.remaining(10, 0) == 10
    assert budget.remaining(10, 30_000) == budget.MINIMUM_RETRIES
