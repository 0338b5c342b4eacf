"""A model of a target's starts, with late copies at any moment.

Three starts of one target follow each other, and its clock may be stepped
between them, in either direction. Two replicas take its announcements and tell
each other of them. Copies of earlier announcements arrive late, at any moment
and at either replica. The last start drains.
"""

from collections.abc import Iterator
import itertools
from typing import NamedTuple

import pytest

from bluebelltide import _types
from bluebelltide.membership import _directory
from bluebelltide.membership import _start_order
from bluebelltide.membership.tests import test_directory

INTERVAL_MS = 1200
CONFIRM_MS = 2 * INTERVAL_MS
ANNOUNCEMENTS = 6
"""How often each start announces itself; the last one goes on as long again."""
TARGET_ID = "i-1"
BASE_MS = 1_796_453_336_521
REPLICAS = (0, 1)


class Announcement(NamedTuple):
    """What a start says of itself."""

    life: int
    """The number of the start."""
    target: _types.Target
    """The target; its generation is the time that the start tells."""


class LateCopy(NamedTuple):
    """A copy of an announcement that arrives late."""

    announcement: Announcement
    """The announcement."""
    tick: int
    """The interval in which it arrives."""
    replica: int
    """The replica at which it arrives."""


class Replica:
    """What one replica knows of the target."""

    def __init__(self) -> None:
        """Creates a replica that knows nothing."""
        self.directory = _directory.TargetDirectory()
        self.order = _start_order.StartOrder(CONFIRM_MS)

    def announce(self, target: _types.Target, now_ms: int) -> bool:
        """Takes an announcement; returns whether it is in use."""
        known = self.directory.get(TARGET_ID)
        if known is not None:
            generation = self.order.find_generation(
                target,
                _start_order.KnownStart(
                    known.target.generation, self.directory.heard_ms(TARGET_ID)
                ),
                now_ms,
            )
            if generation is None:
                return False
            target = target._replace(generation=generation)
        self.directory.merge(_directory.TargetRecord(target), now_ms)
        return True

    def tell(self, other: "Replica", now_ms: int) -> None:
        """Sends the record and the renewal to another replica."""
        record = self.directory.get(TARGET_ID)
        if record is None:
            return
        other.directory.merge(record, now_ms)
        known = other.directory.get(TARGET_ID)
        assert known is not None
        if known.target.generation == record.target.generation:
            heard = self.directory.heard_sequence(TARGET_ID)
            other.directory.renew(TARGET_ID, heard, now_ms)

    @property
    def state(self) -> _types.TargetState | None:
        """The state that instances hear of."""
        record = self.directory.get(TARGET_ID)
        return None if record is None else record.target.state


def make_schedule(started: tuple[int, ...]) -> list[Announcement]:
    """Returns the announcements in their order, one for each interval."""
    schedule = []
    for life, started_ms in enumerate(started):
        is_last = life == len(started) - 1
        count = ANNOUNCEMENTS * (2 if is_last else 1)
        for sequence in range(1, count + 1):
            is_draining = is_last and sequence > ANNOUNCEMENTS // 2
            target = test_directory.make_target(TARGET_ID, sequence=sequence)
            state = (
                _types.TargetState.DRAINING
                if is_draining
                else _types.TargetState.READY
            )
            target = target._replace(generation=started_ms, state=state)
            schedule.append(Announcement(life, target))
    return schedule


def make_late_copies(schedule: list[Announcement]) -> list[LateCopy]:
    """Returns every late copy of an announcement of an earlier start."""
    copies = []
    for tick in range(len(schedule)):
        current = schedule[tick].life
        for announcement in schedule[:tick]:
            if announcement.life < current:
                copies += [LateCopy(announcement, tick, r) for r in REPLICAS]
    return copies


def find_violation(
    schedule: list[Announcement],
    copies: tuple[LateCopy, ...],
    knows_both: bool = True,
) -> str | None:
    """Plays a schedule; returns what goes wrong.

    Args:
        schedule: The announcements, one for each interval.
        copies: The copies that arrive late.
        knows_both: Whether the second replica runs all the time; else it
            starts when the last start has been taken for the later one.
    """
    replicas = [Replica(), Replica()]
    last_life = schedule[-1].life
    is_drain_acknowledged = False
    for tick, (life, target) in enumerate(schedule):
        now_ms = tick * INTERVAL_MS
        first = replicas[tick % 2 if knows_both else 0]
        is_used = first.announce(target, now_ms)
        if life == last_life and is_used:
            knows_both = True
            if target.state == _types.TargetState.DRAINING:
                is_drain_acknowledged = True
        exchange(replicas, now_ms + 300, knows_both)
        for copy in copies:
            if copy.tick == tick and (knows_both or copy.replica == 0):
                late = copy.announcement.target
                replicas[copy.replica].announce(late, now_ms + 600)
                exchange(replicas, now_ms + 900, knows_both)
        if is_drain_acknowledged:
            states = {replica.state for replica in replicas}
            if states != {_types.TargetState.DRAINING}:
                return f"interval {tick}: an acknowledged drain was undone"
    if not is_drain_acknowledged:
        return "the last start was never taken for the later one"
    return None


def exchange(replicas: list[Replica], now_ms: int, knows_both: bool) -> None:
    if knows_both:
        replicas[0].tell(replicas[1], now_ms)
        replicas[1].tell(replicas[0], now_ms)


def make_clocks() -> Iterator[tuple[int, ...]]:
    """Yields the times that the three starts tell, in each order."""
    for order in itertools.permutations(range(3)):
        yield tuple(BASE_MS + 2400 * place for place in order)


@pytest.mark.parametrize("started", list(make_clocks()))
@pytest.mark.parametrize("knows_both", [True, False])
def test_no_late_copy_undoes_the_drain_of_the_last_start(
    started: tuple[int, ...], knows_both: bool
) -> None:
    """Guards against a superseded start that counts as a new one."""
    schedule = make_schedule(started)
    assert find_violation(schedule, (), knows_both) is None
    for copy in make_late_copies(schedule):
        assert find_violation(schedule, (copy,), knows_both) is None, copy


@pytest.mark.parametrize("started", list(make_clocks()))
def test_no_two_late_copies_undo_the_drain_of_the_last_start(
    started: tuple[int, ...],
) -> None:
    """Two copies with growing sequences could look like a start that goes on.

    Each copy is combined with those that follow it within four intervals.
    """
    schedule = make_schedule(started)
    copies = make_late_copies(schedule)
    for first, second in itertools.combinations(copies[::3], 2):
        if 0 <= second.tick - first.tick <= 4:
            violation = find_violation(schedule, (first, second))
            assert violation is None, (first, second)
