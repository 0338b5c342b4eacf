"""Runs a test in virtual time: timeouts do not depend on the machine's speed.

Time passes only when every task waits; it then jumps to the next timer. Work
that is handed to a thread runs at once instead, so disks take no time either.
This is for tests without sockets, whose events come from outside.
"""

import asyncio
from collections.abc import Awaitable, Callable
import selectors
from typing import Any, TypeVar

import anyio
import anyio.lowlevel
import anyio.to_thread
import pytest

ResultT = TypeVar("ResultT")


class _JumpingSelector(selectors.DefaultSelector):
    """Advances the clock by each timeout instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise AssertionError("every task waits, and there is no timer")
        ready = super().select(0)
        if not ready:
            self.now_s += timeout
        return ready


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)

    def time(self) -> float:
        return self._jumping_selector.now_s


async def _run_inline(
    function: Callable[..., ResultT],
    *args: Any,  # noqa: ANN401
    **options: object,
) -> ResultT:
    del options
    await anyio.lowlevel.checkpoint()
    return function(*args)


def run_in_virtual_time(
    function: Callable[[], Awaitable[ResultT]],
    monkeypatch: pytest.MonkeyPatch,
) -> ResultT:
    """Runs an async function in virtual time and returns its result.

    Args:
        function: The function; a deadlock in it raises AssertionError.
        monkeypatch: Replaces the threads while the test runs.
    """
    monkeypatch.setattr(anyio.to_thread, "run_sync", _run_inline)
    return anyio.run(
        function, backend_options={"loop_factory": _VirtualTimeLoop}
    )
