"""Structured log lines, rate-limited per event, written without blocking.

Each line is a JSON object with the name of an event and its fields. A budget
limits how many lines of one event are written per second; the next line of
the event reports how many lines were left out. Lines are queued in a bounded
buffer, which is written to standard output whenever that does not block.
"""

from collections import deque
import os
import sys
import time

import logbook
import msgspec

LINES_PER_SECOND = 100
"""The maximum number of lines of one event per budget window."""
MAXIMUM_BUFFERED_LINES = 4000
"""The size of the buffer; lines beyond it are dropped and counted."""
MAXIMUM_READABLE_LENGTH = 1000
"""Upper bound of the length of a value that JSON cannot hold."""
WINDOW_S = 1.0
"""The length of a budget window."""

_LOG = logbook.Logger("events")
_encode_json = msgspec.json.Encoder().encode

FieldValue = str | int | float | bool | None | list[str] | dict[str, int]


class _Budget:
    """The lines of one event in the current budget window."""

    __slots__ = ("left_out", "used", "window_start_s")

    def __init__(self) -> None:
        self.window_start_s = 0.0
        self.used = 0
        self.left_out = 0


class EventLog:
    """Writes the events of one process and applies their budgets."""

    def __init__(self) -> None:
        """Creates a log; programs use the shared `events` instead."""
        self._budgets: dict[str, _Budget] = {}

    def write(self, event: str, **fields: FieldValue) -> None:
        """Writes one line unless the event's budget is used up.

        Args:
            event: The event's stable name.
            **fields: The inputs of the decision with their age or version,
                and the outcome.
        """
        budget = self._budgets.get(event)
        if budget is None:
            budget = self._budgets[event] = _Budget()
        now_s = time.monotonic()
        if now_s - budget.window_start_s >= WINDOW_S:
            budget.window_start_s = now_s
            budget.used = 0
        budget.used += 1
        if budget.used > LINES_PER_SECOND:
            budget.left_out += 1
            return
        if budget.left_out:
            fields["lines_left_out"] = budget.left_out
            budget.left_out = 0
        _LOG.info(event, extra=fields)


events = EventLog()
"""The event log of this process."""


class StdoutHandler(logbook.Handler):  # type: ignore[misc]
    """Writes log lines to standard output without blocking the process.

    Attributes:
        dropped_lines: How many lines were dropped because the buffer was full.
    """

    def __init__(self) -> None:
        """Creates the handler and makes standard output non-blocking."""
        super().__init__(level=logbook.INFO)
        self.dropped_lines = 0
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._descriptor = sys.stdout.fileno()
        os.set_blocking(self._descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Buffers a line and writes as much as possible without blocking."""
        if len(self._lines) >= MAXIMUM_BUFFERED_LINES:
            self.dropped_lines += 1
            return
        self._lines.append(_format_line(record))
        self.flush()

    def flush(self) -> None:
        """Writes buffered lines until standard output would block."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._lines.popleft()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except OSError:
                # Standard output is full or closed. The lines stay in the
                # buffer; once it is full, new lines are dropped and counted.
                return
            self._unwritten = self._unwritten[written:]


def _format_line(record: logbook.LogRecord) -> bytes:
    line = {
        "unix_ms": int(time.time() * 1000),
        "level": record.level_name.lower(),
        "channel": record.channel,
        "event": record.message,
        **record.extra,
    }
    if record.exception_name is not None:
        line["exception"] = record.formatted_exception
    try:
        return _encode_json(line) + b"\n"
    except (TypeError, ValueError, OverflowError):
        # A field holds what JSON or UTF-8 cannot. The line is written anyway.
        readable = {name: _to_readable(value) for name, value in line.items()}
        return _encode_json(readable) + b"\n"


def _to_readable(value: object) -> object:
    """Returns a value that JSON can hold, if need be as bounded ASCII text."""
    try:
        _encode_json(value)
        return value
    except (TypeError, ValueError, OverflowError):
        pass
    try:
        return ascii(value)[:MAXIMUM_READABLE_LENGTH]
    except ValueError:
        # The interpreter refuses to print integers of thousands of digits.
        return f"unprintable {type(value).__name__}"


def install_stdout_events() -> StdoutHandler:
    """Writes every log line of the process to standard output as JSON.

    Returns:
        The handler, which counts the lines that it drops.
    """
    handler = StdoutHandler()
    handler.push_application()
    return handler
