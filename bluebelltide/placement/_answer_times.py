"""How long a service's targets usually take to answer a request.

The figures are quantiles and not means, because a few slow requests raise a
mean a lot. A target like the others answers three requests of four within the
usual time, and nine of ten within the time that is certainly not slow.
"""

from collections import deque
from enum import Enum
from enum import auto

KEPT_TIMES = 40
"""How many answer times of a service are kept."""
RECENT_TIMES = 8
"""How many of them show that the whole service has become slower just now."""
MINIMUM_TIMES = 8
"""How many answer times a judgement needs."""
USUAL_QUANTILE = 0.75
"""The share of the kept answers that are no slower than usual."""
SLOW_QUANTILE = 0.9
"""The share of the kept answers that are clearly not slow."""
RECENT_QUANTILE = 0.75
"""The quantile of the recent answers; both bounds rise if it is higher."""
FAST_QUANTILE = 0.1
"""The quantile that `FAST_SHARE` refers to."""
FAST_SHARE = 0.5
"""Part of a fast answer below which an answer does not count. A target with a
full queue rejects requests faster than it could run them."""
USUAL_MARGIN_MS = 20
"""Added to the usual time. Four trips between data centres take as long."""
SLOW_FACTOR = 2.0
"""Multiple of the `SLOW_QUANTILE` time above which an answer is slow."""
SLOW_MARGIN_MS = 60
"""Minimum excess of a slow answer over the `SLOW_QUANTILE` time, since this
instance may itself see a packet some tens of milliseconds late."""


class Verdict(Enum):
    """What one answer says about its target."""

    USUAL = auto()
    """The target answers about as fast as the others."""
    SLOW = auto()
    """The target is clearly slower than the others."""
    UNCLEAR = auto()
    """The answer says nothing."""


class AnswerTimes:
    """The newest answer times of one service's targets."""

    def __init__(self) -> None:
        """Creates the state of a service without answers."""
        self._times_ms: deque[int] = deque(maxlen=KEPT_TIMES)
        self._usual_ms: float | None = None
        self._not_slow_ms = 0.0
        self._fast_ms = 0.0

    def add(self, answer_ms: int) -> None:
        """Adds the answer time of a target that takes its full share."""
        self._times_ms.append(answer_ms)
        self._usual_ms = None

    def _update_quantiles(self) -> None:
        if self._usual_ms is not None:
            return
        times_ms = list(self._times_ms)
        recent_ms = sorted(times_ms[-RECENT_TIMES:])
        times_ms.sort()
        self._fast_ms = times_ms[int(FAST_QUANTILE * len(times_ms))]
        # If all targets have just become slower, load is the cause, and a
        # slow answer says nothing about its target.
        recently_usual_ms = recent_ms[int(RECENT_QUANTILE * len(recent_ms))]
        self._usual_ms = max(
            times_ms[int(USUAL_QUANTILE * len(times_ms))], recently_usual_ms
        )
        self._not_slow_ms = max(
            times_ms[int(SLOW_QUANTILE * len(times_ms))], recently_usual_ms
        )

    def judge(self, answer_ms: int, is_pending: bool = False) -> Verdict:
        """Compares one answer time with those of the service.

        Args:
            answer_ms: The time from the request to its answer, or until now.
            is_pending: Whether there is no answer yet.

        Returns:
            The verdict; UNCLEAR if too few answer times are known.
        """
        if len(self._times_ms) < MINIMUM_TIMES:
            return Verdict.UNCLEAR
        self._update_quantiles()
        assert self._usual_ms is not None
        usual_ms = self._usual_ms
        not_slow_ms = self._not_slow_ms
        if answer_ms > max(
            SLOW_FACTOR * not_slow_ms, not_slow_ms + SLOW_MARGIN_MS
        ):
            return Verdict.SLOW
        is_usual = (
            FAST_SHARE * self._fast_ms <= answer_ms
            and answer_ms <= usual_ms + USUAL_MARGIN_MS
        )
        return Verdict.USUAL if is_usual and not is_pending else Verdict.UNCLEAR
