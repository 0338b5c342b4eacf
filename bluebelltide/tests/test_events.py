"""Tests of rate-limited, structured log lines."""

import json
import os
import sys
import time

import logbook
import pytest

from bluebelltide import _events


def test_lines_over_the_budget_are_left_out_and_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now_s = 100.0
    monkeypatch.setattr(time, "monotonic", lambda: now_s)
    log = _events.EventLog()
    with logbook.TestHandler() as handler:
        for number in range(_events.LINES_PER_SECOND + 50):
            log.write("flow_opening", number=number)
        log.write("other")
        now_s += _events.WINDOW_S
        log.write("flow_opening", number=-1)
    assert len(handler.records) == _events.LINES_PER_SECOND + 2
    assert handler.records[-1].extra["lines_left_out"] == 50


def test_a_full_pipe_never_blocks(monkeypatch: pytest.MonkeyPatch) -> None:
    reader, writer = os.pipe()

    class Stdout:
        def fileno(self) -> int:
            return writer

    monkeypatch.setattr(sys, "stdout", Stdout())
    monkeypatch.setattr(_events, "MAXIMUM_BUFFERED_LINES", 10)
    handler = _events.StdoutHandler()
    with handler.applicationbound():
        log = logbook.Logger("test")
        for _ in range(3000):
            log.info("x" * 100)
    assert handler.dropped_lines > 0
    first = os.read(reader, 65536).split(b"\n")[0]
    assert json.loads(first)["event"] == "x" * 100
    os.close(reader)
    os.close(writer)


@pytest.mark.parametrize(
    "value",
    ["\ud800", 10**400, 10**5000],
    ids=["surrogate", "401 digits", "5001 digits"],
)
def test_a_value_that_json_cannot_hold_costs_neither_line_nor_caller(
    monkeypatch: pytest.MonkeyPatch, value: str | int
) -> None:
    """Guards against a log line that ends the decision that it tells of."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)

    class Stdout:
        def fileno(self) -> int:
            return writer

    monkeypatch.setattr(sys, "stdout", Stdout())
    with _events.StdoutHandler().applicationbound():
        _events.EventLog().write("target_refused", source=value)
    line = json.loads(os.read(reader, 65536))
    assert line["event"] == "target_refused"
    assert line["source"] in (value, ascii("\ud800"), "unprintable int")
    os.close(reader)
    os.close(writer)
