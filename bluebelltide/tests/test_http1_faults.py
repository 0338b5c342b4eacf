"""Tests that a bad connection costs the HTTP server that connection only."""

import errno
import socket
import struct

import anyio
import pytest

from bluebelltide import _http1
from bluebelltide import _types

REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


async def answer(request: _http1.Request) -> _http1.Response:
    return _http1.Response(200)


async def is_answered(port: int) -> bool:
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        await stream.send(REQUEST)
        data = await stream.receive()
    return data.startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("sent", [b"", REQUEST])
def test_connections_that_are_reset_before_they_are_accepted_end_alone(
    sent: bytes,
) -> None:
    async def run() -> bool:
        server = _http1.open_http_server(_types.Address("127.0.0.1", 0), answer)
        for _ in range(20):
            with socket.create_connection(("127.0.0.1", server.port)) as caller:
                caller.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                caller.sendall(sent)
        async with anyio.create_task_group() as tasks:
            server.start(tasks)
            with anyio.fail_after(5):
                was_answered = await is_answered(server.port)
            tasks.cancel_scope.cancel()
        return was_answered

    assert anyio.run(run)


class FullTable:
    """A listening socket of a process that has too many open files."""

    def __init__(self, listener: socket.socket) -> None:
        """Wraps the real socket."""
        self.attempts = 0
        self.is_full = True
        self._listener = listener

    def fileno(self) -> int:
        """Returns the descriptor of the real socket."""
        return self._listener.fileno()

    def accept(self) -> tuple[socket.socket, object]:
        """Accepts a connection, unless the table of open files is full."""
        self.attempts += 1
        if self.is_full:
            raise OSError(errno.EMFILE, "Too many open files")
        return self._listener.accept()

    def close(self) -> None:
        """Closes the real socket."""
        self._listener.close()


def test_a_process_with_too_many_open_files_does_not_spin_and_recovers() -> (
    None
):
    async def run() -> tuple[int, bool]:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        port = listener.getsockname()[1]
        table = FullTable(listener)
        server = _http1.HttpServer(table, answer)  # type: ignore[arg-type]
        async with anyio.create_task_group() as tasks:
            server.start(tasks)
            with socket.create_connection(("127.0.0.1", port)):
                await anyio.sleep(0.3)
            attempts = table.attempts
            table.is_full = False
            with anyio.fail_after(5):
                was_answered = await is_answered(port)
            tasks.cancel_scope.cancel()
        return attempts, was_answered

    attempts, was_answered = anyio.run(run)
    assert attempts <= 10
    assert was_answered


def test_an_unexpected_error_while_accepting_leaves_the_server_reachable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a process that runs on with a closed listener."""

    def fail(*args: object) -> bool:
        raise RuntimeError("accepting")

    async def run() -> bool:
        server = _http1.open_http_server(_types.Address("127.0.0.1", 0), answer)
        async with anyio.create_task_group() as tasks:
            with monkeypatch.context() as patch:
                patch.setattr(_http1.HttpServer, "_accept_all", fail)
                server.start(tasks)
                with socket.create_connection(("127.0.0.1", server.port)):
                    await anyio.sleep(0.05)
            with anyio.fail_after(5):
                was_answered = await is_answered(server.port)
            tasks.cancel_scope.cancel()
        return was_answered

    assert anyio.run(run)
