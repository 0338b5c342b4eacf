"""The pace of targets that have just started or recovered.

Such a target *ramps*: it gets a fraction of its fair share of the service's new
flows, its pace. Each answer that is as fast as those of the other targets
raises the pace by one level. A slow or overdue answer is a setback: it lowers
the pace by one level, and each further rise takes longer.

Instances share what they find as pairs `(setbacks, level)`, of which the
greater one holds. As a setback raises the first number, it overrides any rise
that was found at the same time, and pairs merge to the same result in any
order, even if they come late or repeatedly.

The code does no I/O; callers pass in the time.
"""

from collections.abc import Callable, Collection, Iterable
from enum import StrEnum
from typing import NamedTuple

from bluebelltide import _types
from bluebelltide.placement import _answer_times
from bluebelltide.placement import _changing_targets
from bluebelltide.placement import _choice
from bluebelltide.placement import _observed_flow

LEVELS = (1 / 16, 1 / 8, 1 / 4, 1 / 2, 3 / 4, 1.0)
"""The fraction of a fair share at each level."""
START_LEVEL = 1
"""The level of a target that has just started. The lower one is for targets
that have answered slowly or not at all."""
FULL_LEVEL = len(LEVELS)
"""The level of a target that no longer ramps."""
MAXIMUM_RAMPING_SHARE = 0.5
"""The share of a service's slots that may ramp. If more would, the others could
not take the load, and all targets are used normally."""
CHANGE_DELAY_MS = 125
"""Minimum time at a level after the first setback; it doubles with each one."""
CHANGE_DELAY_LIMIT_MS = 1000
"""Upper bound of the minimum time at a level."""
SLOW_IN_A_ROW = 2
"""Slow answers in a row that lower the level at once. A single one does not
during the delay, in which no answer raises the level; otherwise occasional slow
requests would keep a healthy target below its full share."""
QUIET_RISE_MS = 2500
"""Time without a change of the pace, beyond the minimum time at the level,
after which the level rises. In a service with few flows, an instance may never
see an answer of the target."""
REPORTED_FOR_MS = 1000
"""How long a changed pair is reported; longer than two rounds of reports, so
that a lost one does not matter."""
MAXIMUM_REPORTED_PACES = 12
"""Upper bound of the pairs in a load report, so that its size stays bounded
when many targets are replaced at once."""
REQUEST_TIMEOUT_MS = 10_000
"""How long the answer to a request is awaited."""


class Pace(NamedTuple):
    """The pace of a target as instances share it; the greater one holds."""

    setbacks: int = 0
    """How often the target fell back or started again."""
    level: int = FULL_LEVEL
    """The index in `LEVELS`, or FULL_LEVEL."""


class PaceCause(StrEnum):
    """Why a pace changed."""

    STARTED = "started"
    """The target appeared beside known targets of its service."""
    COLD = "cold"
    """The target announced that it is cold."""
    EJECTED = "ejected"
    """The target left openings unanswered."""
    RETURNED = "returned"
    """The target's data centre is no longer evacuated."""
    ANSWERED = "answered"
    """The target answered as fast as the others."""
    QUIET = "quiet"
    """Nothing spoke against the target for a while."""
    SLOW = "slow"
    """An answer was clearly slower than those of the others."""
    OVERDUE = "overdue"
    """A request has had no answer for longer than a slow one takes."""
    PEER = "peer"
    """Another instance reported the change."""


class PaceChange(NamedTuple):
    """A change of the pace of one target."""

    token: int
    """The target's token."""
    pace: Pace
    """The new pace."""
    cause: PaceCause
    """Why it changed."""


class _AwaitedAnswer(NamedTuple):
    """A flow whose first request is awaited, running or not judged yet."""

    token: int
    """The token of the flow's target."""
    service: _types.ServiceName
    """The target's service."""
    pace: Pace | None
    """The target's pace at the opening; None if it did not ramp."""
    opened_ms: int
    """When the flow was opened."""
    requested_ms: int | None = None
    """When its first request began."""


def _ignore(change: PaceChange) -> None:
    del change


class Paces:
    """The paces of the targets that one instance knows.

    Attributes:
        ramping: The tokens of the targets that ramp.
        is_trusted: Whether the levels are current. After a pause they may be
            out of date until a replica has answered; the lowest one then
            holds, and nothing is reported.
    """

    def __init__(self, report: Callable[[PaceChange], None] = _ignore) -> None:
        """Creates the state of an instance that knows no targets.

        Args:
            report: Called with each change of a pace.
        """
        self.ramping: set[int] = set()
        self.is_trusted = True
        self._report = report
        self._has_first_targets = False
        self._targets: dict[int, _types.Target] = {}
        self._paces: dict[int, Pace] = {}
        self._changed_ms: dict[int, int] = {}
        self._slow_in_a_row: dict[int, int] = {}
        self._now_ms = 0
        self._answer_times: dict[
            _types.ServiceName, _answer_times.AnswerTimes
        ] = {}
        self._awaited: dict[_observed_flow.FlowKey, _AwaitedAnswer] = {}
        self._awaited_of_ramping: set[_observed_flow.FlowKey] = set()

    def note_first_targets(self) -> None:
        """Records that all live targets are known; later ones ramp."""
        self._has_first_targets = True

    def use_changes(
        self,
        changes: Iterable[_changing_targets.TargetChange],
        known_services: Collection[_types.ServiceName],
    ) -> None:
        """Takes over changes of the targets that accept new flows.

        Args:
            changes: The changes.
            known_services: The services that had targets before them.
        """
        for token, before, after in changes:
            if after is None:
                self._targets.pop(token, None)
                self._forget(token)
                continue
            self._targets[token] = after
            if not self._has_first_targets:
                continue
            is_cold = after.cold_remaining_ms > 0
            if before is None and after.service in known_services:
                self._start(token, PaceCause.STARTED)
            elif (
                before is not None and is_cold and not before.cold_remaining_ms
            ):
                self._start(token, PaceCause.COLD)

    def _forget(self, token: int) -> None:
        self.ramping.discard(token)
        self._paces.pop(token, None)
        self._changed_ms.pop(token, None)
        self._slow_in_a_row.pop(token, None)

    def share_of(self, token: int) -> float:
        """Returns the share of its fair part that a target gets."""
        if token not in self.ramping:
            return 1.0
        return (
            LEVELS[self._paces[token].level] if self.is_trusted else LEVELS[0]
        )

    def usable_share_of(self, token: int) -> float:
        """Returns the share of its slots that a target may use when needed.

        If all others are busy, a target against which nothing speaks is used
        as far as one that is known to be cold.
        """
        share = self.share_of(token)
        if token not in self.ramping or not self.is_trusted:
            return share
        if self._paces[token].level >= START_LEVEL:
            share = max(share, 1 / _choice.COLD_SLOWDOWN_FACTOR)
        return share

    def _start(self, token: int, cause: PaceCause) -> None:
        """Lets a target ramp, unless it ramps already."""
        if token not in self.ramping:
            known = self._paces.get(token)
            setbacks = 0
            if known is not None:
                setbacks = min(known.setbacks + 1, _types.MAXIMUM_INT32)
            level = 0 if cause == PaceCause.EJECTED else START_LEVEL
            self._change(token, Pace(setbacks, level), cause)

    def is_ramping(self, token: int) -> bool:
        """Returns whether a target ramps."""
        return token in self.ramping

    def note_returned_targets(self, tokens: Iterable[int], now_ms: int) -> None:
        """Lets targets ramp that are in use again after an evacuation.

        Args:
            tokens: The targets' tokens.
            now_ms: The current time.
        """
        self._now_ms = now_ms
        for token in tokens:
            if token in self._targets:
                self._start(token, PaceCause.RETURNED)

    def note_ejection(
        self, token: int, now_ms: int, is_own: bool = True
    ) -> None:
        """Lets a target ramp when its ejection is over.

        Args:
            token: The target's token.
            now_ms: The current time.
            is_own: Whether this instance found that the target does not
                answer. The news of others is no further setback.
        """
        self._now_ms = now_ms
        if token not in self._targets or not self._has_first_targets:
            return
        if is_own and token in self.ramping:
            self._set_back(token, PaceCause.EJECTED, to_lowest=True)
        else:
            self._start(token, PaceCause.EJECTED)

    def _change(self, token: int, pace: Pace, cause: PaceCause) -> None:
        self._paces[token] = pace
        self._changed_ms[token] = self._now_ms
        if pace.level < FULL_LEVEL:
            self.ramping.add(token)
        else:
            self.ramping.discard(token)
        self._report(PaceChange(token, pace, cause))

    def _rise(self, token: int, cause: PaceCause) -> None:
        pace = self._paces[token]
        self._change(token, pace._replace(level=pace.level + 1), cause)

    def _set_back(
        self, token: int, cause: PaceCause, to_lowest: bool = False
    ) -> None:
        pace = self._paces[token]
        setbacks = min(pace.setbacks + 1, _types.MAXIMUM_INT32)
        level = 0 if to_lowest else max(0, pace.level - 1)
        self._change(token, Pace(setbacks, level), cause)

    def _change_delay_ms(self, token: int) -> int:
        setbacks = min(self._paces[token].setbacks, 10)
        if not setbacks:
            return 0
        return min(CHANGE_DELAY_LIMIT_MS, CHANGE_DELAY_MS << (setbacks - 1))

    def merge(self, token: int, pace: Pace, now_ms: int) -> bool:
        """Uses the pace of a target that another instance reports.

        Args:
            token: The target's token.
            pace: The reported pace.
            now_ms: The current time.

        Returns:
            Whether the pace is one that an instance may report.
        """
        if not 0 <= pace.level <= FULL_LEVEL:
            return False
        self._now_ms = now_ms
        known = self._paces.get(token)
        if token in self._targets and (known is None or pace > known):
            # An instance that starts while a target ramps learns of it here.
            self._change(token, pace, PaceCause.PEER)
        return True

    def reported_paces(self, now_ms: int) -> dict[int, tuple[int, int]]:
        """Returns the pairs that changed of late, by token."""
        if not self.is_trusted:
            return {}
        changed = [
            (changed_ms, token)
            for token, changed_ms in self._changed_ms.items()
            if now_ms - changed_ms <= REPORTED_FOR_MS
        ]
        changed.sort(reverse=True)
        return {
            token: (self._paces[token].setbacks, self._paces[token].level)
            for _, token in changed[:MAXIMUM_REPORTED_PACES]
        }

    def note_opening(
        self,
        key: _observed_flow.FlowKey,
        service: _types.ServiceName,
        token: int,
        now_ms: int,
    ) -> None:
        """Records that a flow is opened at a target."""
        self._discard(key)
        pace = self._paces[token] if token in self.ramping else None
        self._awaited[key] = _AwaitedAnswer(token, service, pace, now_ms)
        if pace is not None:
            self._awaited_of_ramping.add(key)

    def note_request(self, key: _observed_flow.FlowKey, now_ms: int) -> None:
        """Records that a request begins on a flow."""
        awaited = self._awaited.get(key)
        if awaited is not None and awaited.requested_ms is None:
            self._awaited[key] = awaited._replace(requested_ms=now_ms)

    def note_response(self, key: _observed_flow.FlowKey, now_ms: int) -> None:
        """Records that the caller has an answer to the flow's request."""
        awaited = self._awaited.get(key)
        if awaited is None or awaited.requested_ms is None:
            return
        self._discard(key)
        self._now_ms = now_ms
        answer_ms = now_ms - awaited.requested_ms
        times = self._answer_times.setdefault(
            awaited.service, _answer_times.AnswerTimes()
        )
        if awaited.pace is None:
            times.add(answer_ms)
        elif self._is_current(awaited):
            self._judge(awaited, times.judge(answer_ms), PaceCause.SLOW)

    def _is_current(self, awaited: _AwaitedAnswer) -> bool:
        """Returns whether a target still has the pace of the opening."""
        return self.is_trusted and (
            awaited.token in self.ramping
            and self._paces[awaited.token] == awaited.pace
        )

    def _judge(
        self,
        awaited: _AwaitedAnswer,
        verdict: _answer_times.Verdict,
        slow_cause: PaceCause,
    ) -> None:
        token = awaited.token
        since_change_ms = self._now_ms - self._changed_ms[token]
        may_change = since_change_ms >= self._change_delay_ms(token)
        if verdict == _answer_times.Verdict.SLOW:
            slow_in_a_row = self._slow_in_a_row.get(token, 0) + 1
            if may_change or slow_in_a_row >= SLOW_IN_A_ROW:
                slow_in_a_row = 0
                self._set_back(token, slow_cause)
            self._slow_in_a_row[token] = slow_in_a_row
        elif verdict == _answer_times.Verdict.USUAL:
            self._slow_in_a_row.pop(token, None)
            if may_change:
                self._rise(token, PaceCause.ANSWERED)

    def _discard(self, key: _observed_flow.FlowKey) -> None:
        self._awaited.pop(key, None)
        self._awaited_of_ramping.discard(key)

    def note_pause(self, now_ms: int) -> None:
        """Records that the instance was paused until now.

        Levels may be out of date, and answers may have been missed.
        """
        self._now_ms = now_ms
        self.is_trusted = False
        self._awaited.clear()
        self._awaited_of_ramping.clear()

    def check(self, now_ms: int) -> None:
        """Finds overdue answers and quiet targets; call it periodically.

        Args:
            now_ms: The current time.
        """
        self._now_ms = now_ms
        while self._awaited:
            key, oldest = next(iter(self._awaited.items()))
            if now_ms - oldest.opened_ms <= REQUEST_TIMEOUT_MS:
                break
            self._discard(key)
        for key in list(self._awaited_of_ramping):
            self._check_overdue(key)
        if not self.is_trusted:
            return
        for token in list(self.ramping):
            quiet_ms = now_ms - self._changed_ms[token]
            if quiet_ms >= QUIET_RISE_MS + self._change_delay_ms(token):
                self._rise(token, PaceCause.QUIET)

    def _check_overdue(self, key: _observed_flow.FlowKey) -> None:
        awaited = self._awaited[key]
        times = self._answer_times.get(awaited.service)
        if times is None or awaited.requested_ms is None:
            return
        pending_ms = self._now_ms - awaited.requested_ms
        verdict = times.judge(pending_ms, is_pending=True)
        if verdict == _answer_times.Verdict.SLOW:
            self._discard(key)
            if self._is_current(awaited):
                self._judge(awaited, verdict, PaceCause.OVERDUE)
