"""The owner's state of one unsettled bucket.

Phases: `PENDING` until every live instance sends the bucket's packets here;
`OPEN` while old flows are watched for one idle timeout, new flows going to the
newest target; `FLIPPED` when everything but the surviving exceptions belongs
to the newest target, so that other instances can route by themselves.
"""

from enum import IntEnum
from typing import NamedTuple

from bluebelltide import _types
from bluebelltide.flows import _epoch

CYCLE_IDLE_TIMEOUTS = 10
"""A flipped bucket is watched again after this many idle timeouts."""


class Phase(IntEnum):
    """How far a bucket has moved."""

    PENDING = 0
    """New flows still go to the target before the newest."""
    OBSERVING = 1
    """New flows go to the newest target; unknown flows are old."""
    CUT_OVER = 2
    """Unknown flows belong to the newest target."""


class BucketState(NamedTuple):
    """What travels to a backup or to the next owner."""

    history: tuple[_types.TargetId, ...]
    """The bucket's targets, oldest first."""
    moved_in_epoch: int
    """The epoch in which the bucket moved last."""
    is_cut_over: bool
    """Whether unknown flows belong to the newest target."""
    pinned_flows: tuple[tuple[int, _types.TargetId], ...]
    """Flows whose target the history does not tell, by flow hash."""


class OwnerDecision(NamedTuple):
    """Where the owner sends a packet."""

    target_id: _types.TargetId | None
    """The target, or None if the flow's target is gone."""
    is_record_needed: bool
    """Whether the backup must hold the record before the packet leaves."""


class OwnedBucket:
    """The decisions of a bucket's owner."""

    def __init__(self, state: BucketState, idle_timeout_ms: int) -> None:
        """Creates the bucket from an epoch or from an earlier owner."""
        self.history = state.history
        self.moved_in_epoch = state.moved_in_epoch
        self.phase = Phase.CUT_OVER if state.is_cut_over else Phase.PENDING
        self.pinned_flows: dict[int, _types.TargetId] = dict(state.pinned_flows)
        self.idle_timeout_ms = idle_timeout_ms
        self.is_cutover_requested = False
        self._last_packet_ms: dict[int, int] = {}
        self._old_flows: set[int] = set()
        self._observing_since_ms: int | None = None

    def state(self) -> BucketState:
        """Returns what a backup or the next owner must hold."""
        return BucketState(
            self.history,
            self.moved_in_epoch,
            self.phase == Phase.CUT_OVER,
            tuple(sorted(self.pinned_flows.items())),
        )

    def move(self, unsettled: _epoch.BucketTransition) -> None:
        """Takes another move of the bucket by a later epoch."""
        # Which targets are dead is agreed with the epoch: one instance's own
        # registry may be stale, and must not make it forget flows.
        self.pinned_flows = {
            flow: target
            for flow, target in self.pinned_flows.items()
            if target in unsettled.history
        }
        if unsettled.moved_in_epoch == self.moved_in_epoch:
            # Only dead targets have left. The epoch's history may be longer
            # than the owner's: a flip is the owner's own knowledge.
            live = frozenset(unsettled.history)
            kept = tuple(t for t in self.history[:-1] if t in live)
            self.history = (*kept, self.history[-1])
            return
        newest = unsettled.history[-1]
        past = self.history
        if self.phase == Phase.CUT_OVER:
            past = self.history[-1:]
        live = frozenset(unsettled.history)
        self.history = _epoch.extend_history(past, newest, live)
        # What was unknown until now keeps its oldest target; flows that went
        # to the newest one are recorded only if it was not unknown's target.
        self.moved_in_epoch = unsettled.moved_in_epoch
        self.phase = Phase.PENDING
        self.is_cutover_requested = False
        self._reset_observation()

    def activate(self) -> None:
        """Lets new flows go to the newest target."""
        if self.phase == Phase.PENDING:
            self.phase = Phase.OBSERVING
            self._reset_observation()

    def _reset_observation(self) -> None:
        self._observing_since_ms = None
        self._last_packet_ms = {}
        self._old_flows = set()

    def decide(
        self,
        flow_hash: int,
        is_opening: bool,
        accepting: frozenset[_types.TargetId],
        now_ms: int,
    ) -> OwnerDecision:
        """Decides where a packet goes.

        Args:
            flow_hash: The flow.
            is_opening: Whether the packet opens the flow.
            accepting: The targets that take new work.
            now_ms: The present time.

        Returns:
            The verdict.
        """
        if self._observing_since_ms is None:
            self._observing_since_ms = now_ms
        self._last_packet_ms[flow_hash] = now_ms
        known = self.pinned_flows.get(flow_hash)
        if known is not None and not (is_opening and known not in accepting):
            # An opening packet that comes again may be the first that the
            # backup sees: the record that went with the earlier one can be
            # lost, so this one takes it along once more.
            return OwnerDecision(known, is_opening)
        if is_opening:
            return self._decide_opening_packet(flow_hash, accepting)
        return OwnerDecision(self._target_of_unknown_flow(flow_hash), False)

    def _target_of_unknown_flow(self, flow_hash: int) -> _types.TargetId | None:
        if self.phase == Phase.CUT_OVER:
            return self.history[-1]
        if self.history[0] != self.history[-1]:
            self._old_flows.add(flow_hash)
        return self.history[0]

    def _decide_opening_packet(
        self, flow_hash: int, accepting: frozenset[_types.TargetId]
    ) -> OwnerDecision:
        # An opening packet of a flow that was seen to live on the oldest
        # target is a duplicate, or the caller's port is used again at once.
        # The old target can tell which, so it goes there while it accepts.
        oldest = self.history[0]
        if flow_hash in self._old_flows and oldest in accepting:
            return OwnerDecision(oldest, False)
        target = self.history[-1]
        if self.phase == Phase.PENDING and len(self.history) > 1:
            target = self.history[-2]
        self._old_flows.discard(flow_hash)
        is_default = target == self._default_target()
        if is_default:
            changed = self.pinned_flows.pop(flow_hash, None) is not None
            return OwnerDecision(target, changed)
        self.pinned_flows[flow_hash] = target
        return OwnerDecision(target, True)

    def _default_target(self) -> _types.TargetId:
        if self.phase == Phase.CUT_OVER:
            return self.history[-1]
        return self.history[0]

    def is_cutover_due(self, now_ms: int) -> bool:
        """Returns whether every old flow that lives has been seen."""
        return (
            self.phase == Phase.OBSERVING
            and self._observing_since_ms is not None
            and now_ms - self._observing_since_ms >= self.idle_timeout_ms
        )

    def state_after_cutover(self) -> BucketState:
        """Returns the state after the flip, for the backup to hold first."""
        oldest = self.history[0]
        newest = self.history[-1]
        surviving = {flow: oldest for flow in self._old_flows}
        surviving.update(self.pinned_flows)
        exceptions = tuple(
            sorted((f, t) for f, t in surviving.items() if t != newest)
        )
        return BucketState(self.history, self.moved_in_epoch, True, exceptions)

    def cut_over(self, now_ms: int) -> None:
        """Makes the newest target the default of unknown flows."""
        self.pinned_flows = dict(self.state_after_cutover().pinned_flows)
        self.phase = Phase.CUT_OVER
        self._reset_observation()
        self._observing_since_ms = now_ms

    def restart_observation(self) -> None:
        """Starts the watch anew, since packets may have been missed."""
        self._observing_since_ms = None
        self.is_cutover_requested = False

    def start_observation(self, now_ms: int) -> None:
        """Starts the clock, also of a bucket that has no traffic."""
        if self._observing_since_ms is None:
            self._observing_since_ms = now_ms

    def route_hints_valid_ms(self, now_ms: int) -> int:
        """Returns how long other instances may route by themselves.

        A flipped bucket alternates: for most of the time others route by its
        exceptions, then all packets come here for one idle timeout and show
        which exceptions still live.
        """
        if self.phase != Phase.CUT_OVER or self._observing_since_ms is None:
            return 0
        end_ms = (
            self._observing_since_ms
            + (CYCLE_IDLE_TIMEOUTS - 1) * self.idle_timeout_ms
        )
        return max(0, end_ms - now_ms)

    def expire_pinned_flows(self, now_ms: int) -> bool:
        """Drops exceptions that a whole watch did not see.

        Args:
            now_ms: The present time.

        Returns:
            Whether any exception was dropped.
        """
        if self.phase != Phase.CUT_OVER or self._observing_since_ms is None:
            return False
        if (
            now_ms - self._observing_since_ms
            < CYCLE_IDLE_TIMEOUTS * self.idle_timeout_ms
        ):
            return False
        limit_ms = now_ms - self.idle_timeout_ms
        gone = [
            flow
            for flow in self.pinned_flows
            if self._last_packet_ms.get(flow, 0) < limit_ms
        ]
        for flow in gone:
            del self.pinned_flows[flow]
        self._reset_observation()
        self._observing_since_ms = now_ms
        return bool(gone)

    def is_stable(self) -> bool:
        """Returns whether nothing but the newest target is left."""
        return self.phase == Phase.CUT_OVER and not self.pinned_flows
