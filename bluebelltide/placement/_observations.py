"""What an instance learns about targets from the callers' packets.

Targets answer callers directly, so an instance sees only the packets of the
callers: the opening packet of a flow, the acknowledgements and the end. That
is enough to count a target's open flows and to detect a target that does not
answer.
"""

from collections import deque
from collections.abc import Iterable
import heapq
from typing import NamedTuple

from bluebelltide.placement import _observed_flow
from bluebelltide.placement import _response_watch

EJECT_AFTER_UNANSWERED = 2
"""Unanswered flows in a row that eject a target."""
EJECT_BASE_MS = 800
"""How long the first ejection of a target lasts; it doubles each time."""
EJECT_LIMIT_MS = 6400
"""Upper bound of the duration of an ejection."""
OPENING_TIMEOUT_MS = 1500
"""How long a caller retransmits its opening packet."""
ANSWER_TIMEOUT_MS = 80
"""How long an opening packet and its answer may take between data centres."""


class TargetHealth(NamedTuple):
    """Whether one target answers, as seen by this instance."""

    last_answer_ms: int = -1_000_000
    """When the target was last seen to answer an opening packet."""
    unanswered_flows: int = 0
    """Flows that the target has left unanswered since then."""
    ejected_until_ms: int = -1_000_000
    """Until when the target gets no new flows."""
    ejections: int = 0
    """How often the target was ejected since its last answer."""


UNKNOWN_HEALTH = TargetHealth()
"""The health of a target about which nothing is known."""


class Observations:
    """The flows and targets that one instance sees.

    Attributes:
        open_flows: The flows counted by this instance, by target token. A
            count is negative if it offsets counts of other instances.
        idle_flows: Those of them whose last request has been answered, by
            target token.
        response_watch: Finds targets that leave requests unanswered, or None
            if the deployment does not expect any.
    """

    def __init__(self) -> None:
        """Creates the state of an instance that has seen no packets."""
        self.response_watch: _response_watch.ResponseWatch | None = None
        self.open_flows: dict[int, int] = {}
        self.idle_flows: dict[int, int] = {}
        self._count_corrections: list[tuple[int, int]] = []
        self._flows: dict[
            _observed_flow.FlowKey, _observed_flow.ObservedFlow
        ] = {}
        self._silent_flows: dict[
            _observed_flow.FlowKey, _observed_flow.ObservedFlow
        ] = {}
        """Open flows without packets for FLOW_IDLE_TIMEOUT_MS, by the time
        when they were found silent."""
        self._awaiting_answer: deque[
            tuple[_observed_flow.FlowKey, _observed_flow.ObservedFlow]
        ] = deque()
        self._health: dict[int, TargetHealth] = {}

    def find_flow(
        self, key: _observed_flow.FlowKey
    ) -> _observed_flow.ObservedFlow | None:
        """Returns the state of a flow, or None if it is unknown."""
        return self._flows.get(key)

    def note_opening_packet(
        self,
        key: _observed_flow.FlowKey,
        token: int,
        now_ms: int,
        was_slot_free: bool = False,
        is_first_choice: bool = False,
    ) -> None:
        """Records that a flow's opening packet is sent to a target.

        Args:
            key: The flow.
            token: The target's token.
            now_ms: The current time.
            was_slot_free: Whether the target seemed to have a free slot.
            is_first_choice: Whether the packet is the first transmission, so
                that no other target can have been chosen before.
        """
        self._remove_flow(key)
        flow = _observed_flow.ObservedFlow(token, now_ms, is_answered=False)
        flow.was_slot_free = was_slot_free
        flow.is_first_choice = is_first_choice
        self._flows[key] = flow
        self._awaiting_answer.append((key, flow))
        self._change_open_count(token, 1)

    def note_packet_with_token(
        self, key: _observed_flow.FlowKey, token: int, now_ms: int
    ) -> _observed_flow.ObservedFlow | None:
        """Records a packet that carries a token.

        The token proves that the target has answered.

        Args:
            key: The flow.
            token: The token that the target returned to the caller.
            now_ms: The current time.

        Returns:
            The flow, if this packet is the first sign that the target has
            answered an opening packet that this instance sent; else None.
        """
        is_retransmitted = False
        flow = self._find_or_resume(key, now_ms)
        if flow is not None and not flow.may_have_token(token):
            return None
        if flow is not None and flow.token != token:
            # A retransmission went to another target, but the first target
            # answered, too.
            self._remove_flow(key)
            flow = None
            is_retransmitted = True
        if flow is None:
            # The flow was opened through another instance.
            if self.response_watch is not None and not is_retransmitted:
                self.response_watch.note_moved_flow()
            flow = _observed_flow.ObservedFlow(token, now_ms, is_answered=True)
            self._flows[key] = flow
            return None
        flow.last_seen_ms = now_ms
        if flow.is_answered or flow.has_ended:
            return None
        flow.is_answered = True
        self._start_counting(flow)
        self._health[token] = TargetHealth(last_answer_ms=now_ms)
        return flow

    def note_request(
        self, key: _observed_flow.FlowKey, request_id: str, now_ms: int
    ) -> bool:
        """Records that a request begins on a flow.

        Args:
            key: The flow.
            request_id: The request. The same id again means that its packet
                was retransmitted.
            now_ms: The current time.

        Returns:
            Whether the flow carried another request before.
        """
        flow = self._find_or_resume(key, now_ms)
        if flow is None:
            return False
        self._set_idle(flow, False)
        has_earlier_request = flow.request_id not in ("", request_id)
        if self.response_watch is not None and flow.was_opened_here:
            is_first_packet = not flow.is_answered
            if request_id != flow.request_id:
                self.response_watch.note_request(
                    key, flow.token, now_ms, is_first_packet
                )
        flow.request_id = request_id
        return has_earlier_request

    def note_response(self, key: _observed_flow.FlowKey) -> None:
        """Records that the caller has received (part of) a response.

        The flow is idle until its next request.
        """
        flow = self._flows.get(key)
        if flow is not None and flow.request_id and not flow.has_ended:
            self._set_idle(flow, True)

    def _find_or_resume(
        self, key: _observed_flow.FlowKey, now_ms: int
    ) -> _observed_flow.ObservedFlow | None:
        """Returns a flow; one that was silent counts again."""
        flow = self._flows.get(key)
        if flow is not None or key not in self._silent_flows:
            return flow
        flow = self._silent_flows.pop(key)
        flow.last_seen_ms = now_ms
        self._flows[key] = flow
        self._start_counting(flow)
        return flow

    def check_overdue_answers(self, now_ms: int) -> None:
        """Records the opening packets whose answer is overdue.

        A caller acknowledges an answer at once. So a missing acknowledgement
        reveals a target that is dead or rejects flows, even before the caller
        retransmits.
        """
        if self.response_watch is not None:
            self.response_watch.check(now_ms)
        awaiting = self._awaiting_answer
        while (
            awaiting
            and now_ms - awaiting[0][1].first_seen_ms >= ANSWER_TIMEOUT_MS
        ):
            key, flow = awaiting.popleft()
            is_open = self._flows.get(key) is flow and not flow.has_ended
            if is_open and not flow.is_answered:
                self._note_unanswered_flow(flow, now_ms)
                self._stop_counting(flow)

    def _start_counting(self, flow: _observed_flow.ObservedFlow) -> None:
        if not flow.is_counted:
            flow.is_counted = True
            self._change_open_count(flow.token, 1)

    def _stop_counting(self, flow: _observed_flow.ObservedFlow) -> None:
        """Keeps a flow for retransmissions, but not as load of its target."""
        if flow.is_counted:
            self._set_idle(flow, False)
            flow.is_counted = False
            self._change_open_count(flow.token, -1)

    def _set_idle(
        self, flow: _observed_flow.ObservedFlow, is_idle: bool
    ) -> None:
        if flow.is_counted and flow.is_idle != is_idle:
            flow.is_idle = is_idle
            _change_count(self.idle_flows, flow.token, 1 if is_idle else -1)

    def _note_unanswered_flow(
        self, flow: _observed_flow.ObservedFlow, now_ms: int
    ) -> None:
        health = self._health.get(flow.token, UNKNOWN_HEALTH)
        if health.last_answer_ms >= flow.first_seen_ms:
            # The target is alive; the packet or its answer was lost.
            return
        unanswered = health.unanswered_flows + 1
        health = health._replace(unanswered_flows=unanswered)
        is_ejected = now_ms < health.ejected_until_ms
        if unanswered >= EJECT_AFTER_UNANSWERED and not is_ejected:
            health = _eject(health, now_ms)
        self._health[flow.token] = health

    def note_flow_end(
        self, key: _observed_flow.FlowKey, token: int, now_ms: int
    ) -> _observed_flow.ObservedFlow:
        """Records the end of a flow.

        The flow's state is kept for a while, so that the caller's last
        acknowledgements are not mistaken for packets of an open flow.

        Args:
            key: The flow.
            token: The token that the caller's last packet carries.
            now_ms: The current time.

        Returns:
            The flow's state.
        """
        flow = self._find_or_resume(key, now_ms)
        if flow is not None and not flow.may_have_token(token):
            return _observed_flow.ObservedFlow(token, now_ms, is_answered=True)
        if flow is None:
            flow = _observed_flow.ObservedFlow(token, now_ms, is_answered=True)
            self._flows[key] = flow
        flow.last_seen_ms = now_ms
        if self.response_watch is not None:
            self.response_watch.requests.note_end(key, now_ms)
        is_first_end = not flow.has_ended
        flow.has_ended = True
        if flow.is_counted:
            self._stop_counting(flow)
        elif is_first_end and not flow.was_opened_here:
            # Another instance still counts the flow. Subtract it here until
            # that instance has stopped.
            self._change_open_count(flow.token, -1)
            offset_until_ms = (
                flow.first_seen_ms + _observed_flow.FLOW_IDLE_TIMEOUT_MS
            )
            heapq.heappush(
                self._count_corrections, (offset_until_ms, flow.token)
            )
        return flow

    def _remove_flow(self, key: _observed_flow.FlowKey) -> None:
        for flows in (self._flows, self._silent_flows):
            flow = flows.pop(key, None)
            if flow is not None:
                self._stop_counting(flow)
                if self.response_watch is not None:
                    self.response_watch.requests.forget_flow(key)

    def _change_open_count(self, token: int, change: int) -> None:
        _change_count(self.open_flows, token, change)

    def is_ejected(self, token: int, now_ms: int) -> bool:
        """Returns whether a target gets no new flows at present."""
        health = self._health.get(token)
        return health is not None and now_ms < health.ejected_until_ms

    def has_answered_since(self, token: int, since_ms: int) -> bool:
        """Returns whether a target answered an opening packet since a time."""
        return (
            self._health.get(token, UNKNOWN_HEALTH).last_answer_ms >= since_ms
        )

    def is_suspect(self, token: int) -> bool:
        """Returns whether a target left its latest flows unanswered.

        It stays suspect after its ejection, until it answers.
        """
        health = self._health.get(token)
        return (
            health is not None
            and health.unanswered_flows >= EJECT_AFTER_UNANSWERED
        )

    def note_peer_ejections(self, tokens: Iterable[int], now_ms: int) -> None:
        """Ejects targets that another instance has ejected.

        A target that has recently answered this instance stays in use.
        """
        for token in tokens:
            health = self._health.get(token, UNKNOWN_HEALTH)
            has_answered_recently = (
                now_ms - health.last_answer_ms < EJECT_BASE_MS
            )
            if not has_answered_recently and not self.is_suspect(token):
                health = health._replace(
                    unanswered_flows=EJECT_AFTER_UNANSWERED
                )
                self._health[token] = _eject(health, now_ms)

    def ejected_targets(self, now_ms: int) -> list[int]:
        """Returns the tokens of the targets that are ejected."""
        return [
            token
            for token, health in self._health.items()
            if now_ms < health.ejected_until_ms
        ]

    def expire_idle_flows(self, now_ms: int) -> None:
        """Removes flows that have been idle for too long.

        Also starts to count flows that moved here from another instance,
        which has stopped counting them by now.
        """
        corrections = self._count_corrections
        while corrections and corrections[0][0] <= now_ms:
            _, token = heapq.heappop(corrections)
            self._change_open_count(token, 1)
        for key, flow in list(self._flows.items()):
            # A caller retransmits its opening packet for longer than an open
            # flow may be idle.
            limit_ms = (
                _observed_flow.FLOW_IDLE_TIMEOUT_MS
                if flow.is_answered
                else OPENING_TIMEOUT_MS
            )
            if now_ms - flow.last_seen_ms > limit_ms:
                self._end_or_silence(key, flow)
            elif self._must_start_counting(flow, now_ms):
                self._start_counting(flow)
        self._expire_silent_flows(now_ms)

    def _end_or_silence(
        self, key: _observed_flow.FlowKey, flow: _observed_flow.ObservedFlow
    ) -> None:
        """Removes a flow, or only remembers it if it may go on later."""
        if flow.has_ended or not flow.request_id:
            self._remove_flow(key)
            return
        del self._flows[key]
        self._silent_flows[key] = flow
        if not flow.is_idle:
            # It may have moved to another instance with its request.
            self._stop_counting(flow)

    def _expire_silent_flows(self, now_ms: int) -> None:
        limit_ms = _observed_flow.KEPT_FLOW_TIMEOUT_MS
        while self._silent_flows:
            key, flow = next(iter(self._silent_flows.items()))
            if now_ms - flow.last_seen_ms <= limit_ms:
                return
            self._remove_flow(key)

    @staticmethod
    def _must_start_counting(
        flow: _observed_flow.ObservedFlow, now_ms: int
    ) -> bool:
        """Returns whether this instance must now start to count a flow.

        A flow of which it saw only one packet is not counted.
        """
        is_opened_or_counted_here = flow.was_opened_here or flow.is_counted
        if (
            is_opened_or_counted_here
            or flow.has_ended
            or flow.last_seen_ms == flow.first_seen_ms
        ):
            return False
        return (
            now_ms - flow.first_seen_ms >= _observed_flow.FLOW_IDLE_TIMEOUT_MS
        )


def _change_count(counts: dict[int, int], token: int, change: int) -> None:
    count = counts.get(token, 0) + change
    if count:
        counts[token] = count
    else:
        counts.pop(token, None)


def _eject(health: TargetHealth, now_ms: int) -> TargetHealth:
    duration_ms = min(EJECT_LIMIT_MS, EJECT_BASE_MS * 2**health.ejections)
    return health._replace(
        ejected_until_ms=now_ms + duration_ms,
        ejections=health.ejections + 1,
    )
