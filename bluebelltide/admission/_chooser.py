"""Choice of a target from own observations and delayed load reports.

In slot mode each slot of each local target is owned by one live instance of
the data centre. The owner follows from the instance's position, so instances
need no messages to agree and do not compete for slots under overload. An
instance prefers the slots that it owns. If they are busy, it borrows a slot
of another instance that seems idle, by the target's last report and by the
requests sent and ended since then. Of two random targets with such a slot it
chooses the less busy one. In connection mode an instance chooses the target
with the fewest open flows for the target's share of new work.
"""

from collections.abc import Iterable
import random
from typing import NamedTuple

import xxhash

from bluebelltide import _types
from bluebelltide.admission import _estimate
from bluebelltide.admission import _limits
from bluebelltide.membership import _registry

EJECT_AFTER_FAILURES = 3
"""Failures in a row that eject a target."""
EJECT_BASE_MS = 1000
"""How long the first ejection of a target lasts; it doubles each time."""
EJECT_LIMIT_MS = 30_000
"""The upper bound of the duration of an ejection."""
BORROW_BASE_MS = 200
"""How long no slot of a target is borrowed after it shed a request.

The time doubles with each shed.
"""
BORROW_LIMIT_MS = 5000
"""The upper bound of the time for which no slot is borrowed."""
EJECT_MAXIMUM_PERCENT = 50
"""The largest part of a service's targets that may be ejected at once."""


class Choice(NamedTuple):
    """A target to which one request may be sent now."""

    target: _types.Target
    """The target."""
    is_borrowed: bool
    """Whether the slot belongs to another instance."""


class _TargetLoad:
    """The state that one instance keeps about one target."""

    def __init__(self, availability: _registry.TargetAvailability) -> None:
        self.availability = availability
        self.outstanding = 0
        self.sent_since_report = 0
        self.ended_since_report = 0
        self.failures = 0
        self.ejections = 0
        self.ejected_until_ms = 0
        self.owned_slots = 0
        self.estimator = _estimate.WaitEstimator()
        self.recent_sheds = 0
        self.borrow_after_ms = 0

    def effective_slots(self) -> float:
        """Returns the usable slots; a target that ramps up has fewer."""
        return max(
            1.0, self.availability.target.slots * self.availability.share
        )

    def reported_busy(self) -> float:
        """Returns the busy slots by the last report and own traffic since."""
        target = self.availability.target
        reported = target.slots * target.load_percent / 100
        busy = reported + self.sent_since_report - self.ended_since_report
        return max(float(self.outstanding), busy)


class TargetChooser:
    """Chooses targets of one service for one instance."""

    def __init__(self, uses_slots: bool, seed: int) -> None:
        """Creates a chooser without targets.

        Args:
            uses_slots: Whether each open flow takes one slot of its target.
            seed: Seeds the random choices.
        """
        self.uses_slots = uses_slots
        self._random = random.Random(seed)
        self._loads: dict[_types.TargetId, _TargetLoad] = {}

    def update(
        self,
        availabilities: Iterable[_registry.TargetAvailability],
        share: _limits.Share,
    ) -> None:
        """Replaces the targets and this instance's share of their slots."""
        seen = set()
        for availability in availabilities:
            target = availability.target
            seen.add(target.target_id)
            load = self._loads.get(target.target_id)
            if load is None or (
                load.availability.target.generation != target.generation
            ):
                load = _TargetLoad(availability)
                self._loads[target.target_id] = load
            elif load.availability.target.sequence != target.sequence:
                load.sent_since_report = 0
                load.ended_since_report = 0
            load.availability = availability
        for target_id in set(self._loads) - seen:
            if self._loads[target_id].outstanding == 0:
                del self._loads[target_id]
            else:
                load = self._loads[target_id]
                load.availability = load.availability._replace(
                    is_accepting=False
                )
        self._assign_slots(share)

    def _assign_slots(self, share: _limits.Share) -> None:
        count = max(1, share.live_instances)
        offset = 0
        for _, load in sorted(self._loads.items()):
            load.owned_slots = 0
            target = load.availability.target
            if (
                not load.availability.is_accepting
                or not load.availability.is_local
            ):
                continue
            # Slots are assigned round-robin across all targets, so that no
            # instance owns two more than another. It starts at a hash of the
            # service: the surplus slots of services go to various instances.
            if offset == 0:
                offset = (
                    xxhash.xxh3_64_intdigest(target.service.encode()) % count
                )
            for slot in range(target.slots):
                if (offset + slot) % count == share.position:
                    load.owned_slots += 1
            offset += target.slots

    def _usable_targets(
        self, now_ms: int, excluded: set[str]
    ) -> list[_TargetLoad]:
        accepting = [
            load
            for load in self._loads.values()
            if load.availability.is_accepting
        ]
        usable = [load for load in accepting if load.ejected_until_ms <= now_ms]
        maximum_ejected = len(accepting) * EJECT_MAXIMUM_PERCENT // 100
        if len(accepting) - len(usable) > maximum_ejected:
            usable = accepting
        return [
            load
            for load in usable
            if load.availability.target.target_id not in excluded
        ]

    def has_targets(self, now_ms: int) -> bool:
        """Returns whether any target accepts new requests."""
        return bool(self._usable_targets(now_ms, set()))

    def choose(
        self, now_ms: int, excluded: set[str], may_borrow: bool
    ) -> Choice | None:
        """Chooses a target for one request.

        Args:
            now_ms: The current time.
            excluded: Targets that already failed this request.
            may_borrow: Whether a slot of another instance may be used.

        Returns:
            The choice, or None if the request must wait.
        """
        usable = self._usable_targets(now_ms, excluded)
        if not usable:
            return None
        if not self.uses_slots:
            return self._choose_by_connections(usable)
        own = self._choose_own(usable)
        if own is not None or not may_borrow:
            return own
        return self._choose_borrowed(
            usable, True, now_ms
        ) or self._choose_borrowed(usable, False, now_ms)

    def _choose_by_connections(self, usable: list[_TargetLoad]) -> Choice:
        # Reports are delayed, so the requests of this instance decide first,
        # and the reported connections only break ties. There are few targets,
        # so all are compared.
        best = min(
            usable,
            key=lambda load: (
                (load.outstanding + 1) / load.availability.share,
                load.availability.target.connections,
                self._random.random(),
            ),
        )
        return Choice(best.availability.target, False)

    def _choose_own(self, usable: list[_TargetLoad]) -> Choice | None:
        free = [
            load
            for load in usable
            if load.outstanding < load.owned_slots
            and load.outstanding < load.effective_slots()
        ]
        if not free:
            return None
        best = min(
            free, key=lambda load: (load.reported_busy(), self._random.random())
        )
        return Choice(best.availability.target, False)

    def _choose_borrowed(
        self, usable: list[_TargetLoad], is_local: bool, now_ms: int
    ) -> Choice | None:
        idle = [
            load
            for load in usable
            if load.availability.is_local == is_local
            and load.borrow_after_ms <= now_ms
            and load.reported_busy() + 1 <= load.effective_slots()
        ]
        if not idle:
            return None
        pair = self._random.sample(idle, min(2, len(idle)))
        best = min(pair, key=lambda load: load.reported_busy())
        return Choice(best.availability.target, True)

    def note_sent(self, target_id: _types.TargetId) -> None:
        """Counts a request that is sent to a target."""
        load = self._loads[target_id]
        load.outstanding += 1
        load.sent_since_report += 1

    def note_ended(
        self, target_id: _types.TargetId, is_failure: bool, now_ms: int
    ) -> None:
        """Counts a request that ended at a target.

        Args:
            target_id: The target.
            is_failure: Whether the target could not be reached.
            now_ms: The current time.
        """
        load = self._loads.get(target_id)
        if load is None:
            return
        load.outstanding = max(0, load.outstanding - 1)
        load.ended_since_report += 1
        if not is_failure:
            load.failures = 0
            load.ejections = 0
            load.recent_sheds = max(0, load.recent_sheds - 1)
            return
        load.failures += 1
        if load.failures >= EJECT_AFTER_FAILURES:
            duration_ms = EJECT_BASE_MS * 2**load.ejections
            load.ejected_until_ms = now_ms + min(EJECT_LIMIT_MS, duration_ms)
            load.ejections = min(load.ejections + 1, 10)
            load.failures = 0

    def note_run_time(self, target_id: _types.TargetId, run_ms: int) -> None:
        """Records how long a request ran at a target."""
        load = self._loads.get(target_id)
        if load is not None:
            load.estimator.note_run_time(run_ms)

    def upper_run_time_ms(self, target_id: _types.TargetId) -> int:
        """Returns a high estimate of the run time of a request at a target."""
        return self._loads[target_id].estimator.upper_run_time_ms()

    def note_shed(self, target_id: _types.TargetId, now_ms: int) -> None:
        """Counts a request that a target shed although a slot seemed free.

        The target's report is delayed or wrong, so none of its slots is
        borrowed for a while. Slots that this instance owns stay in use.
        """
        self.note_ended(target_id, False, now_ms)
        load = self._loads.get(target_id)
        if load is not None:
            pause_ms = min(
                BORROW_LIMIT_MS, BORROW_BASE_MS * 2**load.recent_sheds
            )
            load.borrow_after_ms = now_ms + pause_ms
            load.recent_sheds = min(load.recent_sheds + 1, 10)

    def outstanding(self) -> dict[_types.TargetId, int]:
        """Returns how many requests this instance has at each target."""
        return {
            target_id: load.outstanding
            for target_id, load in self._loads.items()
        }
