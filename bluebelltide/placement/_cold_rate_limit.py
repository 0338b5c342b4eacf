"""The rate limit of cold targets, shared by all instances without a counter.

For each cold target only some instances may open flows there. They are chosen
by their rank among all instances, which control replicas tell them, and each
keeps to its own part of the rate by its own clock. So the sum holds even for
instances that cannot reach each other.

While the number of instances changes, some still use an older rank. Each view
alone allows three quarters of the stated rate, so two views add up to one and a
half times the rate at most.

The code does no I/O; callers pass in the time.
"""

from collections.abc import Iterable
import math
from typing import NamedTuple

from bluebelltide import _types
from bluebelltide.catalogue import _deployment
from bluebelltide.placement import _changing_targets

USED_SHARE = 0.75
"""Part of the stated rate that one view of the instances allows."""
SETTLE_MS = 1000
"""How long an instance opens no flows at limited targets after its start, a
pause or a change of its rank. Those who were allowed before have then opened
their last flows more than the window of the limit ago."""
JITTER_MS = 50
"""Added to the time between two flows of an instance, since packets that are
sent at a distance may arrive closer to each other."""
PEAK_MEMORY_MS = 60_000
"""How long the largest known number of instances counts. Replicas that are cut
off from each other each rank only the instances that they see."""


PHASE_STEP = 0x9E3779B1
"""A large odd number, so that neighbouring ranks get different phases."""


EXPIRY_INTERVAL_MS = 100
"""Time between two walks over the cold targets, which would else be part of the
work of each opening packet."""


class _Rank(NamedTuple):
    """The place of this instance among all of them."""

    rank: int
    """The rank, 0 to below `instance_count`."""
    instance_count: int
    """How many instances are ranked."""


class _Part(NamedTuple):
    """What one instance of a rank may open at one limited target."""

    is_allowed: bool
    """Whether it may open flows at all."""
    interval_ms: float
    """Minimum time between two flows."""
    instances_per_allowed: float
    """How many instances there are for each one that may open flows."""


def _part_of(place: _Rank, token: int, flows_per_s: float) -> _Part:
    """Returns the part of the rate that an instance of a rank has."""
    used_per_s = USED_SHARE * flows_per_s
    count = place.instance_count
    allowed = min(count, max(1, math.ceil(used_per_s)))
    return _Part(
        (place.rank - token) % count < allowed,
        1000 * allowed / used_per_s,
        count / allowed,
    )


class ColdRateLimit:
    """The limited targets and what this instance may open there."""

    def __init__(self) -> None:
        """Creates the state of an instance without rank, limits and targets."""
        self._limits: dict[_types.ServiceName, _deployment.ColdLimit] = {}
        self._targets: dict[int, _types.Target] = {}
        self._new_cold_ms: dict[int, int] = {}
        """How much longer targets are cold, by token; applied by the next
        `check`."""
        self._cold_until_ms: dict[int, int] = {}
        self._returned_until_ms: dict[int, int] = {}
        """Until when targets count as cold after an evacuation, whatever they
        announced before it."""
        self._expired_ms = 0
        self._next_opening_ms: dict[int, float] = {}
        self._place: _Rank | None = None
        self._usable_from_ms = 0
        self._peak_count = 0
        self._peak_ms = 0

    def use_limits(self, limits: Iterable[_deployment.ColdLimit]) -> None:
        """Replaces the limits of all services."""
        self._limits = {limit.service: limit for limit in limits}

    def use_rank(
        self, rank: int | None, instance_count: int, now_ms: int
    ) -> None:
        """Sets the rank of this instance.

        Args:
            rank: The rank; None if a replica does not know it.
            instance_count: How many instances are ranked.
            now_ms: The current time.
        """
        place = None
        if rank is not None and rank < instance_count:
            place = _Rank(rank, instance_count)
        if place == self._place:
            return
        previous_count = self._place.instance_count if self._place else 0
        is_peak_old = now_ms - self._peak_ms > PEAK_MEMORY_MS
        if previous_count >= self._peak_count or is_peak_old:
            self._peak_count = previous_count
            self._peak_ms = now_ms
        self._place = place
        self._usable_from_ms = now_ms + SETTLE_MS

    def note_pause(self, now_ms: int) -> None:
        """Records that the instance was paused until now."""
        self._usable_from_ms = now_ms + SETTLE_MS

    def use_changes(
        self, changes: Iterable[_changing_targets.TargetChange]
    ) -> None:
        """Takes over changes of the targets that accept new flows."""
        for token, before, after in changes:
            if after is None:
                self._targets.pop(token, None)
                self._forget(token)
                continue
            self._targets[token] = after
            remaining_ms = after.cold_remaining_ms
            if before is None or before.cold_remaining_ms != remaining_ms:
                self._new_cold_ms[token] = remaining_ms

    def note_returned_targets(self, tokens: Iterable[int], now_ms: int) -> None:
        """Takes targets for cold that are in use again after an evacuation."""
        self.check(now_ms)
        for token in tokens:
            target = self._targets.get(token)
            limit = target and self._limits.get(target.service)
            if limit:
                until_ms = now_ms + limit.cold_ms
                self._returned_until_ms[token] = until_ms
                self._cold_until_ms[token] = max(
                    self._cold_until_ms.get(token, 0), until_ms
                )

    def _forget(self, token: int) -> None:
        self._cold_until_ms.pop(token, None)
        self._returned_until_ms.pop(token, None)
        self._next_opening_ms.pop(token, None)

    def check(self, now_ms: int) -> bool:
        """Updates which targets are cold.

        Args:
            now_ms: The current time.

        Returns:
            Whether any target may be limited.
        """
        for token, remaining_ms in self._new_cold_ms.items():
            if token in self._targets:
                self._cold_until_ms[token] = max(
                    now_ms + remaining_ms, self._returned_until_ms.get(token, 0)
                )
        self._new_cold_ms.clear()
        if now_ms - self._expired_ms >= EXPIRY_INTERVAL_MS:
            self._expired_ms = now_ms
            for token, until_ms in list(self._cold_until_ms.items()):
                if now_ms >= until_ms:
                    self._forget(token)
        return bool(self._cold_until_ms and self._limits)

    def _limit_of(self, token: int) -> _deployment.ColdLimit | None:
        """Returns the limit of a target that is cold now."""
        target = self._targets.get(token)
        if target is None or token not in self._cold_until_ms:
            return None
        return self._limits.get(target.service)

    def may_open(self, token: int, now_ms: int) -> bool:
        """Returns whether this instance may open a flow at a target now."""
        limit = self._limit_of(token)
        if limit is None:
            return True
        if self._place is None or now_ms < self._usable_from_ms:
            return False
        part = _part_of(self._place, token, limit.flows_per_s)
        if not part.is_allowed:
            return False
        if token not in self._next_opening_ms:
            # Instances that see fewer instances than before start at different
            # times, because others may use the same rank.
            delay_ms = (self._interval_factor(now_ms) - 1) * part.interval_ms
            phase = (self._place.rank * PHASE_STEP + token) % 1000 / 1000
            self._next_opening_ms[token] = now_ms + phase * delay_ms
        return now_ms >= self._next_opening_ms[token]

    def _interval_factor(self, now_ms: int) -> float:
        """Returns the factor by which the time between two flows is longer.

        If there were more instances a while ago, replicas that are cut off
        from this instance may still count them.
        """
        if self._place is None or now_ms - self._peak_ms > PEAK_MEMORY_MS:
            return 1.0
        return max(1.0, self._peak_count / self._place.instance_count)

    def note_opening(self, token: int, now_ms: int) -> None:
        """Records that an opening packet goes to a target."""
        limit = self._limit_of(token)
        if limit is None or self._place is None:
            return
        part = _part_of(self._place, token, limit.flows_per_s)
        interval_ms = (
            part.interval_ms * self._interval_factor(now_ms) + JITTER_MS
        )
        start_ms = max(now_ms, self._next_opening_ms.get(token, 0))
        self._next_opening_ms[token] = start_ms + interval_ms

    def instances_per_allowed(self, token: int) -> float:
        """Returns how many instances there are for each allowed one.

        A target's share of the flows comes from the allowed instances alone.
        """
        limit = self._limit_of(token)
        if limit is None or self._place is None:
            return 1.0
        return _part_of(
            self._place, token, limit.flows_per_s
        ).instances_per_allowed
