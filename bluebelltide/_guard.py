"""Keeps an unexpected error from ending a whole process.

An error that leaves a task ends its task group, and with it the process. So
every task that runs as long as the process, and every task that one message
starts, is started here. An error costs one round or one message: it is counted,
logged within the budget of log lines, and the work goes on.
"""

from collections.abc import Awaitable, Callable, Iterator
import contextlib
import traceback
from typing import TypeVarTuple

import anyio
import anyio.abc

from bluebelltide import _metrics
from bluebelltide._events import events

RESTART_DELAY_S = 0.2
"""How long a loop that ended by an error waits before it begins again."""
TRACEBACK_FRAMES = 12
"""How many of the innermost calls a log line shows."""

ArgumentTs = TypeVarTuple("ArgumentTs")


class _ErrorCounter:
    """Counts unexpected errors in the metrics of the process."""

    def __init__(self) -> None:
        self.metrics: _metrics.Metrics | None = None


_ERROR_COUNTER = _ErrorCounter()


def count_errors_in(metrics: _metrics.Metrics) -> None:
    """Sets the metrics that count the unexpected errors of the process."""
    _ERROR_COUNTER.metrics = metrics


def report_error(
    activity: str, error: BaseException, subject: str = ""
) -> None:
    """Counts and logs an unexpected error.

    Args:
        activity: What failed; one of few texts, as it names a counter.
        error: The error.
        subject: What it failed for, for example a peer.
    """
    if _ERROR_COUNTER.metrics is not None:
        _ERROR_COUNTER.metrics.count("unexpected_error", activity)
    frames = traceback.format_exception(error, limit=-TRACEBACK_FRAMES)
    events.write(
        "unexpected_error",
        activity=activity,
        subject=subject,
        error=repr(error),
        traceback="".join(frames),
    )


@contextlib.contextmanager
def log_errors(activity: str, subject: str = "") -> Iterator[None]:
    """Logs an error of one round of a periodic activity and ends the round.

    Cancellation passes through.

    Args:
        activity: What failed, for the counter and the log.
        subject: What it failed for, for the log.
    """
    try:
        yield
    except Exception as error:
        report_error(activity, error, subject)


def start(
    tasks: anyio.abc.TaskGroup,
    activity: str,
    function: Callable[[*ArgumentTs], Awaitable[object]],
    *args: *ArgumentTs,
) -> None:
    """Starts a task that an error ends without ending the others.

    Args:
        tasks: Runs the task.
        activity: What the task does, for the counter and the log.
        function: The task.
        *args: Its arguments.
    """

    async def run() -> None:
        with log_errors(activity):
            await function(*args)

    tasks.start_soon(run, name=activity)


def start_forever(
    tasks: anyio.abc.TaskGroup,
    activity: str,
    function: Callable[[*ArgumentTs], Awaitable[object]],
    *args: *ArgumentTs,
) -> None:
    """Starts a task that begins again whenever an error has ended it.

    Args:
        tasks: Runs the task until it is cancelled.
        activity: What the task does, for the counter and the log.
        function: The task; if it returns, it is not started again.
        *args: Its arguments.
    """

    async def run() -> None:
        while True:
            with log_errors(activity):
                await function(*args)
                return
            await anyio.sleep(RESTART_DELAY_S)

    tasks.start_soon(run, name=activity)
