"""Tests of callers that share a run."""

import anyio
import pytest

from bluebelltide.control import _shared_run
from bluebelltide.tests import virtual_time

RUN_MS = 100
CALLERS = 20


def test_waiting_callers_share_a_run_that_began_after_their_calls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    begun_at: list[float] = []
    results: list[tuple[float, float]] = []

    async def function() -> float:
        begun_at.append(anyio.current_time())
        await anyio.sleep(RUN_MS / 1000)
        return begun_at[-1]

    async def run() -> None:
        shared = _shared_run.SharedRun(function)

        async def call(delay_ms: int) -> None:
            await anyio.sleep(delay_ms / 1000)
            called_at = anyio.current_time()
            results.append((called_at, await shared.get()))

        async with anyio.create_task_group() as callers:
            for number in range(CALLERS):
                callers.start_soon(call, number)

    virtual_time.run_in_virtual_time(run, monkeypatch)
    assert len(results) == CALLERS
    assert all(begun >= called_at for called_at, begun in results)
    assert len(begun_at) == 2


def test_a_cancelled_caller_leaves_the_run_to_the_next_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    results: list[str] = []

    async def function() -> str:
        await anyio.sleep(RUN_MS / 1000)
        return "done"

    async def run() -> None:
        shared = _shared_run.SharedRun(function)

        async def call(timeout_ms: int) -> None:
            with anyio.move_on_after(timeout_ms / 1000):
                results.append(await shared.get())

        async with anyio.create_task_group() as callers:
            callers.start_soon(call, RUN_MS // 2)
            callers.start_soon(call, 3 * RUN_MS)

    virtual_time.run_in_virtual_time(run, monkeypatch)
    assert results == ["done"]
