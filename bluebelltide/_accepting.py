"""Accepts connections for as long as a process runs.

Accepting fails while a process has too many open files. That must not end the
process, nor the connections that are open.
"""

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import logbook

from bluebelltide import _guard

RETRY_DELAY_S = 0.1
"""How long to wait after a connection could not be accepted. The cause does not
end at once."""

_LOG = logbook.Logger("accepting")


async def accept_forever(
    listener: anyio.abc.Listener[anyio.abc.SocketStream],
    handle: Callable[[anyio.abc.SocketStream], Awaitable[None]],
    tasks: anyio.abc.TaskGroup,
) -> None:
    """Accepts connections until cancelled, and goes on after errors.

    Args:
        listener: The listener.
        handle: Serves and closes one connection.
        tasks: Runs the handlers.
    """

    async def serve_connection(stream: anyio.abc.SocketStream) -> None:
        with _guard.log_errors("a connection"):
            await handle(stream)

    while True:
        try:
            await listener.serve(serve_connection, tasks)
        except* OSError as errors:
            _LOG.warning("a connection was not accepted: {!r}", errors)
        await anyio.sleep(RETRY_DELAY_S)
