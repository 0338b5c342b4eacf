"""Tests that an unexpected error ends neither a process nor its loops."""

import anyio
import logbook
import pytest

from bluebelltide import _guard
from bluebelltide import _metrics


@pytest.fixture
def metrics() -> _metrics.Metrics:
    metrics = _metrics.create_metrics(None, "test")
    _guard.count_errors_in(metrics)
    return metrics


def test_an_error_ends_its_task_only_and_is_counted_and_logged(
    metrics: _metrics.Metrics,
) -> None:
    finished = []

    async def fail(subject: str) -> None:
        raise RuntimeError(subject)

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            _guard.start(tasks, "a task", fail, "one")
            await anyio.sleep(0)
            finished.append(True)

    with logbook.TestHandler() as handler:
        anyio.run(run)
    assert finished
    assert metrics.counts["unexpected_error.a task"] == 1
    (record,) = handler.records
    assert record.message == "unexpected_error"
    assert record.extra["error"] == "RuntimeError('one')"
    assert "in fail" in record.extra["traceback"]


def test_a_loop_begins_again_after_an_error_and_may_return(
    metrics: _metrics.Metrics, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_guard, "RESTART_DELAY_S", 0.0)
    rounds: list[int] = []

    async def loop() -> None:
        rounds.append(len(rounds))
        if len(rounds) < 3:
            raise ValueError

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            _guard.start_forever(tasks, "a loop", loop)

    anyio.run(run)
    assert rounds == [0, 1, 2]
    assert metrics.counts["unexpected_error.a loop"] == 2


def test_cancellation_ends_a_guarded_loop(metrics: _metrics.Metrics) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            _guard.start_forever(tasks, "a loop", anyio.sleep_forever)
            await anyio.sleep(0)
            tasks.cancel_scope.cancel()

    anyio.run(run)
    assert not metrics.counts
