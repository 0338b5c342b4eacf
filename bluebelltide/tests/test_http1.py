"""Tests of the small HTTP server and of the Prometheus text format."""

import anyio
import anyio.abc
import httpx
import pytest

from bluebelltide import _exposition
from bluebelltide import _http1
from bluebelltide import _metrics
from bluebelltide import _types

LOOPBACK = _types.Address("127.0.0.1", 0)


async def answer(request: _http1.Request) -> _http1.Response:
    if request.path == "/fails":
        raise ZeroDivisionError
    body = f"{request.method} {request.path} {len(request.body)}"
    return _http1.Response(200, body.encode())


async def serve(tasks: anyio.abc.TaskGroup) -> str:
    server = _http1.open_http_server(LOOPBACK, answer)
    server.start(tasks)
    return f"http://127.0.0.1:{server.port}"


def test_requests_are_answered_on_one_connection() -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            url = await serve(tasks)
            async with httpx.AsyncClient(trust_env=False) as client:
                for body in (b"", b"x" * 100_000):
                    reply = await client.put(f"{url}/a?q=1", content=body)
                    assert reply.text == f"PUT /a {len(body)}"
                # An exception in the handler does not stop the server.
                assert (await client.get(f"{url}/fails")).status_code == 500
                assert (await client.get(url)).status_code == 200
            tasks.cancel_scope.cancel()

    anyio.run(run)


@pytest.mark.parametrize(
    "data",
    [b"\x00\x01\x02\r\n\r\n", b"GET\r\n\r\n", b"PUT / HTTP/1.1\r\n\r\n"],
)
def test_malformed_requests_close_only_their_connection(data: bytes) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            url = await serve(tasks)
            port = int(url.rpartition(":")[2])
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await stream.send(data)
                with pytest.raises(
                    (anyio.EndOfStream, anyio.BrokenResourceError)
                ):
                    await stream.receive()
            async with httpx.AsyncClient(trust_env=False) as client:
                assert (await client.get(url)).status_code == 200
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_a_body_over_the_limit_is_refused() -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            url = await serve(tasks)
            body = b"x" * (_http1.MAXIMUM_BODY_BYTES + 1)
            async with httpx.AsyncClient(trust_env=False) as client:
                try:
                    reply = await client.put(url, content=body)
                    assert reply.status_code == 413
                except httpx.TransportError:
                    # The server may close the connection while the rest of
                    # the body is still being sent.
                    pass
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_counters_and_histograms_are_exposed() -> None:
    metrics = _metrics.create_metrics(None, "entry")
    metrics.count("refused", "no_target", 3)
    for value_ms in (1, 7, 9000):
        metrics.observe_ms("handshake_ms", value_ms)
    text = _exposition.render_metrics(metrics).decode()
    line = 'bluebelltide_events_total{code="no_target",kind="refused"} 3.0'
    assert line in text
    assert 'bluebelltide_handshake_ms_bucket{le="10.0"} 2.0' in text
    assert "bluebelltide_handshake_ms_count 3.0" in text
