"""Lets callers that wait at the same time share one run of a function."""

from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import anyio

Result = TypeVar("Result")


class SharedRun(Generic[Result]):
    """Runs a function once for all callers that wait.

    A caller gets the result of a run that began after its call, so the result
    includes all that had happened by then. A caller that is cancelled while it
    runs the function leaves the run to the next one.
    """

    def __init__(self, function: Callable[[], Awaitable[Result]]) -> None:
        """Creates the object.

        Args:
            function: The function; it never runs twice at the same time.
        """
        self._function = function
        self._lock = anyio.Lock()
        self._begun_count = 0
        self._last_run: tuple[int, Result] | None = None

    async def get(self) -> Result:
        """Returns the result of a run that began after this call."""
        begun_before = self._begun_count
        async with self._lock:
            if self._last_run is not None:
                number, result = self._last_run
                if number > begun_before:
                    return result
            self._begun_count += 1
            number = self._begun_count
            result = await self._function()
            self._last_run = (number, result)
            return result
