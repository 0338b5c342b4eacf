"""Tests of calls over real connections on loopback."""

import anyio
import anyio.abc
import pytest

from bluebelltide import _types
from bluebelltide.catalogue import _register
from bluebelltide.messaging import _calls

ANSWER = _calls.Fetched(_register.RegisterState(3, b"three"))


async def serve_and_call(
    handler: _calls.RequestHandler, malformed: bytes = b""
) -> list[_calls.Answer | None]:
    """Serves on loopback, sends `malformed` first, then makes two calls."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    address = _types.Address("127.0.0.1", port)

    async def serve(stream: anyio.abc.SocketStream) -> None:
        await _calls.serve_call(stream, handler)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        if malformed:
            async with await anyio.connect_tcp(*address) as stream:
                await stream.send(malformed)
                await stream.send_eof()
                with pytest.raises((anyio.EndOfStream, OSError)):
                    await stream.receive()
        answers = [
            await _calls.call(address, "", _calls.Fetch("k"), 5000)
            for _ in range(2)
        ]
        tasks.cancel_scope.cancel()
    return answers


def test_an_unexpected_error_ends_one_call_and_not_the_server() -> None:
    calls = 0

    async def fail_once(
        receiver: str, request: _calls.Request
    ) -> _calls.Answer:
        nonlocal calls
        calls += 1
        if calls == 1:
            raise ValueError("write to closed file")
        return ANSWER

    assert anyio.run(serve_and_call, fail_once) == [None, ANSWER]


@pytest.mark.parametrize(
    "malformed",
    [
        b"\x00\x00\x00\x05hello",
        b"\xff\xff\xff\xff",
        b"\x00\x00\x00\x00",
        b"\x00\x00\x00\x04\x83eFetch",
        b"GET / HTTP/1.1\r\n\r\n",
    ],
)
def test_a_malformed_call_ends_only_itself(malformed: bytes) -> None:
    async def answer(receiver: str, request: _calls.Request) -> _calls.Answer:
        return ANSWER

    assert anyio.run(serve_and_call, answer, malformed) == [ANSWER, ANSWER]
