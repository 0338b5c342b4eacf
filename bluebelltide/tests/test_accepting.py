"""Tests that errors of accepting do not end a process."""

from collections.abc import Awaitable, Callable
import errno

import anyio
import anyio.abc
import pytest

from bluebelltide import _accepting


class FailingListener:
    """A listener that fails some times before it accepts connections."""

    def __init__(self, failures: int, is_group: bool) -> None:
        """Creates the listener.

        Args:
            failures: How often accepting fails.
            is_group: Whether the error is raised in a group, as a listener on
                several sockets does.
        """
        self.failures = failures
        self.is_accepting = anyio.Event()
        self._is_group = is_group

    async def serve(
        self,
        handle: Callable[[anyio.abc.SocketStream], Awaitable[None]],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Fails, or accepts until cancelled."""
        if self.failures:
            self.failures -= 1
            error = OSError(errno.EMFILE, "Too many open files")
            raise ExceptionGroup("", [error]) if self._is_group else error
        self.is_accepting.set()
        await anyio.sleep_forever()


@pytest.mark.parametrize("is_group", [False, True])
def test_accepting_goes_on_once_files_can_be_opened_again(
    is_group: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_accepting, "RETRY_DELAY_S", 0.001)

    async def handle(stream: anyio.abc.SocketStream) -> None:
        del stream

    async def run() -> int:
        listener = FailingListener(3, is_group)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                _accepting.accept_forever,  # type: ignore[arg-type]
                listener,
                handle,
                tasks,
            )
            with anyio.fail_after(5):
                await listener.is_accepting.wait()
            tasks.cancel_scope.cancel()
        return listener.failures

    assert anyio.run(run) == 0


def test_an_unexpected_error_ends_one_connection_only() -> None:
    async def handle(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            if await stream.receive() == b"bad":
                raise ZeroDivisionError
            await stream.send(b"answer")

    async def run() -> bytes:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_accepting.accept_forever, listener, handle, tasks)
            bad = await anyio.connect_tcp("127.0.0.1", port)
            good = await anyio.connect_tcp("127.0.0.1", port)
            async with bad, good:
                await bad.send(b"bad")
                with pytest.raises(anyio.EndOfStream):
                    await bad.receive()
                await good.send(b"good")
                answer = await good.receive()
            tasks.cancel_scope.cancel()
        return answer

    assert anyio.run(run) == b"answer"
