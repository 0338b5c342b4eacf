"""What an instance sees of its targets from the callers' packets alone.

Targets answer callers directly, so an instance sees a flow's opening packet,
the caller's acknowledgements and its end. That is enough to count the flows
that a target holds and to notice a target that does not answer.
"""

from collections import deque
from collections.abc import Iterable
import heapq
from typing import NamedTuple

FlowKey = bytes
"""Both ends of a flow, as they stand in its packets."""

EJECT_AFTER_UNANSWERED = 2
"""Unanswered flows, with none answered since, that set a target aside."""
EJECT_BASE_MS = 800
"""How long a target is set aside the first time."""
EJECT_LIMIT_MS = 6400
"""Upper bound of the time for which a target is set aside."""
FLOW_IDLE_TIMEOUT_MS = 800
"""How long a flow without packets counts as open; it may have gone on through
another instance, which counts it only after the same time."""
OPENING_TIMEOUT_MS = 1500
"""How long a caller repeats its opening packet."""
ANSWER_TIMEOUT_MS = 80
"""How long an opening packet and its answer may take between data centres."""


class ObservedFlow:
    """One flow that this instance believes to be open.

    A flow that was opened through another instance is counted there for
    FLOW_IDLE_MS after its last packet, so it is counted here only after that.
    If it ends before, its end is reported against the other's count.
    """

    __slots__ = (
        "was_slot_free",
        "has_ended",
        "last_seen_ms",
        "is_answered",
        "is_counted",
        "first_seen_ms",
        "request_id",
        "token",
        "was_opened_here",
    )

    def __init__(self, token: int, now_ms: int, is_answered: bool) -> None:
        """Creates the flow's state."""
        self.token = token
        self.first_seen_ms = now_ms
        self.last_seen_ms = now_ms
        self.is_answered = is_answered
        self.was_opened_here = not is_answered
        self.is_counted = self.was_opened_here
        self.has_ended = False
        self.was_slot_free = False
        self.request_id = ""


class TargetHealth(NamedTuple):
    """What was seen of one target."""

    last_answer_ms: int = -1_000_000
    """When it last answered an opening packet or a caller's data."""
    unanswered_flows: int = 0
    """Flows that it left unanswered since then."""
    ejected_until_ms: int = -1_000_000
    """Until when it gets no new flows."""
    ejections: int = 0
    """How often it was set aside without an answer in between."""


UNKNOWN_HEALTH = TargetHealth()


class Observations:
    """The flows and targets that one instance sees."""

    def __init__(self) -> None:
        """Creates the state of an instance that has seen nothing."""
        self.open_flows: dict[int, int] = {}
        self._count_corrections: list[tuple[int, int]] = []
        self._flows: dict[FlowKey, ObservedFlow] = {}
        self._awaiting_answer: deque[tuple[FlowKey, ObservedFlow]] = deque()
        self._health: dict[int, TargetHealth] = {}

    def find_flow(self, key: FlowKey) -> ObservedFlow | None:
        """Returns the state of a flow, or None if it is not known."""
        return self._flows.get(key)

    def note_opening_packet(
        self, key: FlowKey, token: int, now_ms: int, was_slot_free: bool = False
    ) -> None:
        """Notes that a flow's opening packet goes to a target.

        Args:
            key: The flow.
            token: The target's token.
            now_ms: The present time.
            was_slot_free: Whether the target seemed to have a free slot.
        """
        self._remove_flow(key)
        flow = ObservedFlow(token, now_ms, is_answered=False)
        flow.was_slot_free = was_slot_free
        self._flows[key] = flow
        self._awaiting_answer.append((key, flow))
        self._change_open_count(token, 1)

    def note_packet_with_token(
        self, key: FlowKey, token: int, now_ms: int
    ) -> ObservedFlow | None:
        """Notes a packet that carries a token, which proves an answer.

        Args:
            key: The flow.
            token: The token that the target returned to the caller.
            now_ms: The present time.

        Returns:
            The flow, if this is the first packet after its opening here.
        """
        flow = self._flows.get(key)
        if flow is not None and flow.token != token:
            # A copy went elsewhere, but the first target answered, too.
            self._remove_flow(key)
            flow = None
        if flow is None:
            # The flow was opened through another instance.
            flow = ObservedFlow(token, now_ms, is_answered=True)
            self._flows[key] = flow
            return None
        flow.last_seen_ms = now_ms
        if flow.is_answered or flow.has_ended:
            return None
        flow.is_answered = True
        if not flow.is_counted:
            flow.is_counted = True
            self._change_open_count(token, 1)
        self._health[token] = TargetHealth(last_answer_ms=now_ms)
        return flow

    def note_request(self, key: FlowKey, request_id: str) -> bool:
        """Notes that a request begins on a flow.

        Args:
            key: The flow.
            request_id: The request; the same again is a repeated packet.

        Returns:
            Whether the flow has carried another request before.
        """
        flow = self._flows.get(key)
        if flow is None:
            return False
        is_further = flow.request_id not in ("", request_id)
        flow.request_id = request_id
        return is_further

    def check_overdue_answers(self, now_ms: int) -> None:
        """Judges the openings whose answer is overdue.

        A caller that was answered acknowledges at once, so this shows a dead
        target, and one that rejects flows, before any packet is repeated.
        """
        overdue = self._awaiting_answer
        while (
            overdue
            and now_ms - overdue[0][1].first_seen_ms >= ANSWER_TIMEOUT_MS
        ):
            key, flow = overdue.popleft()
            is_open = self._flows.get(key) is flow and not flow.has_ended
            if is_open and not flow.is_answered:
                self._note_unanswered_flow(flow, now_ms)
                self._stop_counting(flow)

    def _stop_counting(self, flow: ObservedFlow) -> None:
        """Keeps a flow for its copies, but not as a load on its target."""
        if flow.is_counted:
            flow.is_counted = False
            self._change_open_count(flow.token, -1)

    def _note_unanswered_flow(self, flow: ObservedFlow, now_ms: int) -> None:
        health = self._health.get(flow.token, UNKNOWN_HEALTH)
        if health.last_answer_ms >= flow.first_seen_ms:
            # The target lives; the packet or its answer was lost.
            return
        silent_flows = health.unanswered_flows + 1
        health = health._replace(unanswered_flows=silent_flows)
        is_aside = now_ms < health.ejected_until_ms
        if silent_flows >= EJECT_AFTER_UNANSWERED and not is_aside:
            health = _eject(health, now_ms)
        self._health[flow.token] = health

    def note_flow_end(
        self, key: FlowKey, token: int, now_ms: int
    ) -> ObservedFlow:
        """Notes the end of a flow.

        It is remembered for a while, so that the caller's last
        acknowledgements are not taken for a flow that goes on.

        Args:
            key: The flow.
            token: The token that the caller's last packet carries.
            now_ms: The present time.

        Returns:
            The flow's state.
        """
        flow = self._flows.get(key)
        if flow is None:
            flow = ObservedFlow(token, now_ms, is_answered=True)
            self._flows[key] = flow
        flow.last_seen_ms = now_ms
        is_first_end = not flow.has_ended
        flow.has_ended = True
        if flow.is_counted:
            self._stop_counting(flow)
        elif is_first_end and not flow.was_opened_here:
            # Another instance counts the flow for a while longer.
            self._change_open_count(flow.token, -1)
            until_ms = flow.first_seen_ms + FLOW_IDLE_TIMEOUT_MS
            heapq.heappush(self._count_corrections, (until_ms, flow.token))
        return flow

    def _remove_flow(self, key: FlowKey) -> None:
        flow = self._flows.pop(key, None)
        if flow is not None:
            self._stop_counting(flow)

    def _change_open_count(self, token: int, change: int) -> None:
        count = self.open_flows.get(token, 0) + change
        if count:
            self.open_flows[token] = count
        else:
            self.open_flows.pop(token, None)

    def is_ejected(self, token: int, now_ms: int) -> bool:
        """Returns whether a target gets no new flows for now."""
        health = self._health.get(token)
        return health is not None and now_ms < health.ejected_until_ms

    def has_answered_since(self, token: int, since_ms: int) -> bool:
        """Returns whether a target answered an opening after a time."""
        return (
            self._health.get(token, UNKNOWN_HEALTH).last_answer_ms >= since_ms
        )

    def is_suspect(self, token: int) -> bool:
        """Returns whether a target has left its latest flows unanswered."""
        health = self._health.get(token)
        return (
            health is not None
            and health.unanswered_flows >= EJECT_AFTER_UNANSWERED
        )

    def note_peer_ejections(self, tokens: Iterable[int], now_ms: int) -> None:
        """Sets targets aside that another instance found silent.

        A target that has answered here lately is left in use.
        """
        for token in tokens:
            health = self._health.get(token, UNKNOWN_HEALTH)
            is_trusted = now_ms - health.last_answer_ms < EJECT_BASE_MS
            if not is_trusted and not self.is_suspect(token):
                health = health._replace(
                    unanswered_flows=EJECT_AFTER_UNANSWERED
                )
                self._health[token] = _eject(health, now_ms)

    def ejected_targets(self, now_ms: int) -> list[int]:
        """Returns the targets that are set aside."""
        return [
            token
            for token, health in self._health.items()
            if now_ms < health.ejected_until_ms
        ]

    def expire_idle_flows(self, now_ms: int) -> None:
        """Forgets flows that have been idle for too long.

        It also begins to count flows that came from another instance, which
        has stopped to count them by now.
        """
        ended = self._count_corrections
        while ended and ended[0][0] <= now_ms:
            _, token = heapq.heappop(ended)
            self._change_open_count(token, 1)
        for key, flow in list(self._flows.items()):
            # A caller repeats its opening packet for longer than a flow in
            # use is silent.
            limit_ms = (
                FLOW_IDLE_TIMEOUT_MS if flow.is_answered else OPENING_TIMEOUT_MS
            )
            if now_ms - flow.last_seen_ms > limit_ms:
                self._remove_flow(key)
            elif self._must_start_counting(flow, now_ms):
                flow.is_counted = True
                self._change_open_count(flow.token, 1)

    @staticmethod
    def _must_start_counting(flow: ObservedFlow, now_ms: int) -> bool:
        """Returns whether a flow is counted here from now on."""
        is_elsewhere = flow.was_opened_here or flow.is_counted
        if (
            is_elsewhere
            or flow.has_ended
            or flow.last_seen_ms == flow.first_seen_ms
        ):
            return False
        return now_ms - flow.first_seen_ms >= FLOW_IDLE_TIMEOUT_MS


def _eject(health: TargetHealth, now_ms: int) -> TargetHealth:
    duration_ms = min(EJECT_LIMIT_MS, EJECT_BASE_MS * 2**health.ejections)
    return health._replace(
        ejected_until_ms=now_ms + duration_ms,
        ejections=health.ejections + 1,
    )
