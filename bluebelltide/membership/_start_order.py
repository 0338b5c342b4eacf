"""Orders the starts of a target whose clock may have been set back.

A target tells the time of its start, and its latest start counts. If its clock
was set back between two starts, the later one tells the earlier time. Such a
start is recognised because it goes on announcing itself while nothing is heard
of the known one. A late copy of an earlier announcement does not.

Once a clock has been set back, a later time proves nothing either: a late copy
of the start before the step tells one, too. From then on every other start of
this target is recognised by going on, whatever time it tells. This needs no
memory of the superseded starts, so it also holds at a replica that has
heard of none of them and after a restart.

A generation is the time of the start with the number of such steps before it in
its upper bits. So generations order the starts, and replicas that recognise the
same start give it the same generation.
"""

from typing import NamedTuple

from bluebelltide import _types

STARTED_BITS = 48
"""The lower bits of a generation, which hold the time of the start."""
MAXIMUM_STARTED_MS = (1 << STARTED_BITS) - 1
"""The latest time of a start, in Unix milliseconds."""
MAXIMUM_STEPS = _types.MAXIMUM_INT64 >> STARTED_BITS
"""How often the clock of a target may be set back between its starts."""
MAXIMUM_CANDIDATES = 1000
"""How many targets are observed at the same time."""


class KnownStart(NamedTuple):
    """The start of a target that is known at present."""

    generation: int
    """Its generation."""
    heard_ms: int
    """When an announcement of it was last heard of, here or elsewhere."""


class _Candidate(NamedTuple):
    """A start that may be later than the known one, whatever time it tells."""

    started_ms: int
    """The time that it tells."""
    first_ms: int
    """When its first announcement arrived."""
    sequence: int
    """The sequence of its latest announcement."""


def started_ms(generation: int) -> int:
    """Returns the time of a start by its target's clock, from a generation."""
    return generation & MAXIMUM_STARTED_MS


class StartOrder:
    """Gives the announcements that one replica receives their generations."""

    def __init__(self, confirm_ms: int) -> None:
        """Creates the order.

        Args:
            confirm_ms: How long a start must go on announcing itself if its
                time does not prove that it is the later one; a few
                announcements long.
        """
        self._confirm_ms = confirm_ms
        self._candidates: dict[_types.TargetId, _Candidate] = {}

    def find_generation(
        self, target: _types.Target, known: KnownStart, now_ms: int
    ) -> int | None:
        """Returns the generation of an announced start.

        Args:
            target: The announced target; its generation is the time of its
                start.
            known: The known start of the same target.
            now_ms: The current time.

        Returns:
            The generation, or None if the announcement belongs to an earlier
            start than the known one, or cannot be told from one yet.
        """
        started = target.generation
        known_started = started_ms(known.generation)
        steps = known.generation >> STARTED_BITS
        is_proved_by_time = started > known_started and not steps
        if not (
            started == known_started
            or is_proved_by_time
            or self._is_confirmed(target, known, now_ms)
        ):
            return None
        self._candidates.pop(target.target_id, None)
        if started < known_started:
            steps += 1
        if steps > MAXIMUM_STEPS:
            return None
        return steps << STARTED_BITS | started

    def _is_confirmed(
        self, target: _types.Target, known: KnownStart, now_ms: int
    ) -> bool:
        """Returns whether a start goes on while the known one is silent."""
        target_id = target.target_id
        candidate = self._candidates.get(target_id)
        if (
            candidate is None
            or candidate.started_ms != target.generation
            or known.heard_ms >= candidate.first_ms
        ):
            if len(self._candidates) >= MAXIMUM_CANDIDATES:
                del self._candidates[next(iter(self._candidates))]
            self._candidates[target_id] = _Candidate(
                target.generation, now_ms, target.sequence
            )
            return False
        if target.sequence <= candidate.sequence:
            return False
        self._candidates[target_id] = candidate._replace(
            sequence=target.sequence
        )
        return now_ms - candidate.first_ms >= self._confirm_ms
