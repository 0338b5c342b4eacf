"""Routing decisions of the owner of one bucket in transition.

Phases of a transition:

- `PENDING`: Some live instances may not send the bucket's packets to the owner
  yet. New flows still go to the previous target.
- `OBSERVING`: New flows go to the newest target. For one idle timeout the owner
  observes which flows are alive on the oldest target.
- `CUT_OVER`: These flows are pinned to the oldest target, and all flows that
  are not pinned belong to the newest one. Other instances can route the bucket
  by themselves if the owner has sent them route hints.
"""

from enum import IntEnum
from typing import NamedTuple

from bluebelltide import _types
from bluebelltide.flows import _epoch

CYCLE_IDLE_TIMEOUTS = 10
"""Length of one cycle after the cutover, as a number of idle timeouts.

In the last idle timeout of a cycle the owner observes all packets of the
bucket.
"""


class Phase(IntEnum):
    """The phase of a bucket's transition."""

    PENDING = 0
    """New flows still go to the target before the newest one."""
    OBSERVING = 1
    """New flows go to the newest target, unpinned ones belong to the oldest."""
    CUT_OVER = 2
    """New flows and unpinned flows belong to the newest target."""


class BucketState(NamedTuple):
    """The state that an owner sends to its backup or to the next owner."""

    history: tuple[_types.TargetId, ...]
    """The bucket's targets, oldest first."""
    moved_in_epoch: int
    """The epoch in which the bucket moved last."""
    is_cut_over: bool
    """Whether unpinned flows belong to the newest target."""
    pinned_flows: tuple[tuple[int, _types.TargetId], ...]
    """Flows that have another target than the unpinned ones, by flow hash."""


class OwnerDecision(NamedTuple):
    """The target that the owner chooses for a packet."""

    target_id: _types.TargetId | None
    """The target, or None if the flow's target is gone."""
    is_record_needed: bool
    """Whether the backup must record the flow before the packet leaves."""


class OwnedBucket:
    """The owner's routing state of a bucket in transition."""

    def __init__(self, state: BucketState, idle_timeout_ms: int) -> None:
        """Creates the bucket from its initial or a transferred state."""
        self.history = state.history
        self.moved_in_epoch = state.moved_in_epoch
        self.phase = Phase.CUT_OVER if state.is_cut_over else Phase.PENDING
        self.pinned_flows: dict[int, _types.TargetId] = dict(state.pinned_flows)
        self.idle_timeout_ms = idle_timeout_ms
        self.is_cutover_requested = False
        self._last_packet_ms: dict[int, int] = {}
        self._old_flows: set[int] = set()
        # Start of the observation or, after the cutover, of the cycle.
        self._period_start_ms: int | None = None

    def state(self) -> BucketState:
        """Returns the state for the backup or the next owner."""
        return BucketState(
            self.history,
            self.moved_in_epoch,
            self.phase == Phase.CUT_OVER,
            tuple(sorted(self.pinned_flows.items())),
        )

    def move(self, transition: _epoch.BucketTransition) -> None:
        """Applies the bucket's transition in a newer epoch."""
        # Only the epoch decides which targets are dead. This instance's own
        # registry may be stale and must not cause it to drop pinned flows.
        self.pinned_flows = {
            flow: target
            for flow, target in self.pinned_flows.items()
            if target in transition.history
        }
        if transition.moved_in_epoch == self.moved_in_epoch:
            # The bucket has not moved; the epoch only drops dead targets. Its
            # history may be longer than the owner's, because an epoch does not
            # contain the cutover.
            live = frozenset(transition.history)
            live_targets = tuple(t for t in self.history[:-1] if t in live)
            self.history = (*live_targets, self.history[-1])
            return
        newest = transition.history[-1]
        earlier_targets = self.history
        if self.phase == Phase.CUT_OVER:
            earlier_targets = self.history[-1:]
        live = frozenset(transition.history)
        self.history = _epoch.extend_history(earlier_targets, newest, live)
        # Unpinned flows stay on the oldest target of the new history. A flow
        # that was opened on another target has been pinned to it.
        self.moved_in_epoch = transition.moved_in_epoch
        self.phase = Phase.PENDING
        self.is_cutover_requested = False
        self._reset_observation()

    def activate(self) -> None:
        """Starts to send new flows to the newest target."""
        if self.phase == Phase.PENDING:
            self.phase = Phase.OBSERVING
            self._reset_observation()

    def _reset_observation(self) -> None:
        self._period_start_ms = None
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
            accepting: The targets that accept new flows.
            now_ms: The current time.

        Returns:
            The decision.
        """
        if self._period_start_ms is None:
            self._period_start_ms = now_ms
        self._last_packet_ms[flow_hash] = now_ms
        pinned_target = self.pinned_flows.get(flow_hash)
        if pinned_target is not None and not (
            is_opening and pinned_target not in accepting
        ):
            # A retransmitted opening packet carries the record to the backup
            # again, because the record that went with the first one may have
            # been lost.
            return OwnerDecision(pinned_target, is_opening)
        if is_opening:
            return self._decide_opening_packet(flow_hash, accepting)
        return OwnerDecision(self._target_of_unpinned_flow(flow_hash), False)

    def _target_of_unpinned_flow(
        self, flow_hash: int
    ) -> _types.TargetId | None:
        if self.phase == Phase.CUT_OVER:
            return self.history[-1]
        if self.history[0] != self.history[-1]:
            self._old_flows.add(flow_hash)
        return self.history[0]

    def _decide_opening_packet(
        self, flow_hash: int, accepting: frozenset[_types.TargetId]
    ) -> OwnerDecision:
        # An opening packet of a flow that was observed on the oldest target is
        # a retransmission, or the caller reuses the port at once. The oldest
        # target can tell which, so it gets the packet while it accepts flows.
        oldest = self.history[0]
        if flow_hash in self._old_flows and oldest in accepting:
            return OwnerDecision(oldest, False)
        target = self.history[-1]
        if self.phase == Phase.PENDING and len(self.history) > 1:
            target = self.history[-2]
        self._old_flows.discard(flow_hash)
        is_default = target == self._default_target()
        if is_default:
            was_pinned = self.pinned_flows.pop(flow_hash, None) is not None
            return OwnerDecision(target, was_pinned)
        self.pinned_flows[flow_hash] = target
        return OwnerDecision(target, True)

    def _default_target(self) -> _types.TargetId:
        if self.phase == Phase.CUT_OVER:
            return self.history[-1]
        return self.history[0]

    def is_cutover_due(self, now_ms: int) -> bool:
        """Returns whether all flows that are alive have been observed."""
        return (
            self.phase == Phase.OBSERVING
            and self._period_start_ms is not None
            and now_ms - self._period_start_ms >= self.idle_timeout_ms
        )

    def state_after_cutover(self) -> BucketState:
        """Returns the state after the cutover, which the backup needs first."""
        oldest = self.history[0]
        newest = self.history[-1]
        targets = {flow: oldest for flow in self._old_flows}
        targets.update(self.pinned_flows)
        pinned_flows = tuple(
            sorted((f, t) for f, t in targets.items() if t != newest)
        )
        return BucketState(
            self.history, self.moved_in_epoch, True, pinned_flows
        )

    def cut_over(self, now_ms: int) -> None:
        """Makes the newest target the default target of unpinned flows."""
        self.pinned_flows = dict(self.state_after_cutover().pinned_flows)
        self.phase = Phase.CUT_OVER
        self._reset_observation()
        self._period_start_ms = now_ms

    def restart_observation(self) -> None:
        """Restarts the observation after packets may have been missed."""
        self._period_start_ms = None
        self.is_cutover_requested = False

    def start_observation(self, now_ms: int) -> None:
        """Starts the observation, even if the bucket has no traffic."""
        if self._period_start_ms is None:
            self._period_start_ms = now_ms

    def route_hints_valid_ms(self, now_ms: int) -> int:
        """Returns how long other instances may route by themselves.

        A bucket that is cut over alternates. For most of a cycle the other
        instances route by its pinned flows. Then all packets go through the
        owner for one idle timeout, which shows which pinned flows are alive.
        """
        if self.phase != Phase.CUT_OVER or self._period_start_ms is None:
            return 0
        end_ms = (
            self._period_start_ms
            + (CYCLE_IDLE_TIMEOUTS - 1) * self.idle_timeout_ms
        )
        return max(0, end_ms - now_ms)

    def expire_pinned_flows(self, now_ms: int) -> bool:
        """Drops pinned flows without packets in the last idle timeout.

        It has an effect only at the end of a cycle.

        Args:
            now_ms: The current time.

        Returns:
            Whether any pinned flow was dropped.
        """
        if self.phase != Phase.CUT_OVER or self._period_start_ms is None:
            return False
        if (
            now_ms - self._period_start_ms
            < CYCLE_IDLE_TIMEOUTS * self.idle_timeout_ms
        ):
            return False
        active_since_ms = now_ms - self.idle_timeout_ms
        idle_flows = [
            flow
            for flow in self.pinned_flows
            if self._last_packet_ms.get(flow, 0) < active_since_ms
        ]
        for flow in idle_flows:
            del self.pinned_flows[flow]
        self._reset_observation()
        self._period_start_ms = now_ms
        return bool(idle_flows)

    def is_stable(self) -> bool:
        """Returns whether only the newest target has flows."""
        return self.phase == Phase.CUT_OVER and not self.pinned_flows
