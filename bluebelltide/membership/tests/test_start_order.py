"""Tests of the order of a target's starts."""

import pytest

from bluebelltide import _types
from bluebelltide.membership import _start_order
from bluebelltide.membership.tests import test_directory

CONFIRM_MS = 2400
HEARTBEAT_MS = 1200
KNOWN_STARTED_MS = 1_796_453_336_521
BEFORE_MS = KNOWN_STARTED_MS - 2400


def make_target(started_ms: int, sequence: int = 1) -> _types.Target:
    target = test_directory.make_target("i-1", sequence=sequence)
    return target._replace(generation=started_ms)


def announce(
    order: _start_order.StartOrder,
    known: _start_order.KnownStart,
    started_ms: int,
    times_ms: tuple[int, ...],
) -> list[int | None]:
    return [
        order.find_generation(make_target(started_ms, sequence), known, now_ms)
        for sequence, now_ms in enumerate(times_ms, start=1)
    ]


def test_a_later_start_is_used_at_once() -> None:
    order = _start_order.StartOrder(CONFIRM_MS)
    known = _start_order.KnownStart(KNOWN_STARTED_MS, 0)
    later = KNOWN_STARTED_MS + 1
    assert announce(order, known, later, (10,)) == [later]


def test_a_start_after_the_clock_was_set_back_is_used_once_it_goes_on() -> None:
    """Guards against a drain that is acknowledged and dropped.

    The announcements of the later start were taken for late ones of an earlier
    start, as long as the known one had a lease.
    """
    order = _start_order.StartOrder(CONFIRM_MS)
    known = _start_order.KnownStart(KNOWN_STARTED_MS, 0)
    found = announce(order, known, BEFORE_MS, (100, 1300, 2500))
    generation = found[2]
    assert found[:2] == [None, None]
    assert generation is not None
    assert generation > KNOWN_STARTED_MS
    assert _start_order.started_ms(generation) == BEFORE_MS
    # Replicas that hear of it give its announcements the same generation.
    other = _start_order.StartOrder(CONFIRM_MS)
    known = _start_order.KnownStart(generation, 2500)
    assert announce(other, known, BEFORE_MS, (2600,)) == [generation]
    # The next start is ordered after it, once it goes on: its time alone does
    # not prove that it is no late copy of the start before the step.
    found = announce(other, known, BEFORE_MS + 1, (2700, 3900, 5100))
    assert found[:2] == [None, None]
    assert found[2] is not None
    assert found[2] > generation


def test_a_late_copy_of_the_start_before_a_step_does_not_come_back() -> None:
    """Guards against a drain that a late announcement undoes.

    Only the number of steps was kept, so the superseded start, which tells the
    later time, counted as a new one.
    """
    order = _start_order.StartOrder(CONFIRM_MS)
    known = _start_order.KnownStart(KNOWN_STARTED_MS, 0)
    (*_, generation) = announce(order, known, BEFORE_MS, (100, 1300, 2500))
    assert generation is not None
    known = _start_order.KnownStart(generation, 6000)
    # A replica that heard of neither start knows the record only.
    for one in (order, _start_order.StartOrder(CONFIRM_MS)):
        late = make_target(KNOWN_STARTED_MS, 2)
        assert one.find_generation(late, known, 6100) is None
        later = make_target(KNOWN_STARTED_MS, 3)
        known_again = known._replace(heard_ms=7200)
        assert one.find_generation(later, known_again, 9000) is None


@pytest.mark.parametrize(
    ("times_ms", "heard_ms"),
    [
        # Late copies come together, not over several intervals.
        ((100, 101, 102, 103), 0),
        # The known start goes on.
        ((100, 1300, 2500, 3700), 50_000),
    ],
)
def test_late_announcements_of_an_earlier_start_are_not_used(
    times_ms: tuple[int, ...], heard_ms: int
) -> None:
    """Guards against a target that comes back in an old state."""
    order = _start_order.StartOrder(CONFIRM_MS)
    known = _start_order.KnownStart(KNOWN_STARTED_MS, heard_ms)
    found = announce(order, known, BEFORE_MS, times_ms)
    assert found == [None] * len(times_ms)


def test_one_late_announcement_again_and_again_is_not_used() -> None:
    order = _start_order.StartOrder(CONFIRM_MS)
    known = _start_order.KnownStart(KNOWN_STARTED_MS, 0)
    for now_ms in range(100, 20_000, HEARTBEAT_MS):
        target = make_target(BEFORE_MS)
        assert order.find_generation(target, known, now_ms) is None


def test_a_known_start_that_is_heard_in_between_starts_the_wait_anew() -> None:
    order = _start_order.StartOrder(CONFIRM_MS)
    known = _start_order.KnownStart(KNOWN_STARTED_MS, 0)
    assert announce(order, known, BEFORE_MS, (100, 1300)) == [None, None]
    known = _start_order.KnownStart(KNOWN_STARTED_MS, 1400)
    for sequence, now_ms in ((3, 2500), (4, 3700)):
        target = make_target(BEFORE_MS, sequence)
        assert order.find_generation(target, known, now_ms) is None
    target = make_target(BEFORE_MS, 5)
    assert order.find_generation(target, known, 4900) is not None


def test_the_observed_targets_are_bounded() -> None:
    order = _start_order.StartOrder(CONFIRM_MS)
    known = _start_order.KnownStart(KNOWN_STARTED_MS, 0)
    for number in range(2 * _start_order.MAXIMUM_CANDIDATES):
        target = make_target(BEFORE_MS)._replace(target_id=f"i-{number}")
        order.find_generation(target, known, 100)
    assert len(order._candidates) == _start_order.MAXIMUM_CANDIDATES
