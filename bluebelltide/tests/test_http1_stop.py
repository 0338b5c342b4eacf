"""Tests of the planned stop of the small HTTP server under load."""

import collections
import socket

import anyio
import anyio.abc
import pytest

from bluebelltide import _http1
from bluebelltide import _types

LOOPBACK = _types.Address("127.0.0.1", 0)
CALLERS = 20
REQUEST = b"PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"


async def answer_slowly(request: _http1.Request) -> _http1.Response:
    await anyio.sleep(0.05)
    return _http1.Response(200, request.body)


async def send_requests(
    port: int, outcomes: collections.Counter[str], may_keep: bool
) -> None:
    """Sends requests until the server accepts no more connections.

    Args:
        port: The port of the server.
        outcomes: Counts answers, and requests that were cut off.
        may_keep: Whether the caller uses a connection for many requests.
    """
    while True:
        try:
            stream = await anyio.connect_tcp("127.0.0.1", port)
        except OSError:
            return
        async with stream:
            is_open = True
            while is_open:
                is_open = await send_request(stream, outcomes) and may_keep


async def send_request(
    stream: anyio.abc.ByteStream, outcomes: collections.Counter[str]
) -> bool:
    """Sends one request; returns whether the connection may be kept."""
    try:
        await stream.send(REQUEST)
        response = await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        outcomes["cut"] += 1
        return False
    assert response.startswith(b"HTTP/1.1 200") or b" 503 " in response
    outcomes["answered"] += 1
    return b"connection: close" not in response


@pytest.mark.parametrize("may_keep", [False, True])
def test_a_stop_under_load_cuts_no_request(may_keep: bool) -> None:
    outcomes: collections.Counter[str] = collections.Counter()

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            server = _http1.open_http_server(LOOPBACK, answer_slowly)
            server.start(tasks)
            async with anyio.create_task_group() as callers:
                for _ in range(CALLERS):
                    callers.start_soon(
                        send_requests, server.port, outcomes, may_keep
                    )
                await anyio.sleep(0.3)
                await server.close(timeout_s=10)
                tasks.cancel_scope.cancel()

    anyio.run(run)
    assert outcomes["answered"] > CALLERS
    assert outcomes["cut"] == 0


def test_a_connection_that_was_not_accepted_yet_is_served() -> None:
    async def run() -> bytes:
        async with anyio.create_task_group() as tasks:
            server = _http1.open_http_server(LOOPBACK, answer_slowly)
            # The system completes connections before the server starts.
            with socket.create_connection(("127.0.0.1", server.port)) as caller:
                caller.sendall(REQUEST)
                server.start(tasks)
                await server.close(timeout_s=10)
                response = caller.recv(65_536)
        return response

    assert anyio.run(run).startswith(b"HTTP/1.1 200")


def test_a_request_that_takes_too_long_gets_an_answer() -> None:
    async def answer_never(request: _http1.Request) -> _http1.Response:
        del request
        await anyio.sleep_forever()
        raise AssertionError

    async def run() -> bytes:
        async with anyio.create_task_group() as tasks:
            server = _http1.open_http_server(LOOPBACK, answer_never)
            server.start(tasks)
            with socket.create_connection(("127.0.0.1", server.port)) as caller:
                caller.sendall(REQUEST)
                await anyio.sleep(0.05)
                await server.close(timeout_s=0.1)
                response = caller.recv(65_536)
        return response

    assert anyio.run(run).startswith(b"HTTP/1.1 503")
