"""Tests of links: mutual TLS, incomplete handshakes, invalid frames."""

from collections.abc import Awaitable, Callable
import pathlib

import anyio
import pytest
import trustme
import websockets
from websockets.asyncio import client

from bluebelltide import _exceptions
from bluebelltide import _metrics
from bluebelltide import _settings
from bluebelltide import _types
from bluebelltide.peers import _frames
from bluebelltide.peers import _links

ANYWHERE = _types.Address("127.0.0.1", 0)
HELLO = _frames.Hello("entry", "e1", "1", "dc")


def make_tls(
    folder: pathlib.Path, name: str, authority: trustme.CA
) -> _settings.TlsSettings:
    issued = authority.issue_cert("127.0.0.1")
    paths = [folder / f"{name}.{kind}" for kind in ("ca", "cert", "key")]
    authority.cert_pem.write_to_path(paths[0])
    for certificate in issued.cert_chain_pems:
        certificate.write_to_path(paths[1], append=True)
    issued.private_key_pem.write_to_path(paths[2])
    return _settings.TlsSettings(*(str(path) for path in paths))


async def can_link(
    server_tls: _settings.TlsSettings | None,
    client_tls: _settings.TlsSettings | None,
) -> bool:
    metrics = _metrics.create_metrics(None, "test")
    linked = anyio.Event()

    async def serve(link: _links.Link) -> None:
        async for _ in link.messages():
            pass

    async def dial(link: _links.Link) -> None:
        assert link.hello == HELLO
        linked.set()
        await serve(link)

    async with (
        _links.serve_links(
            ANYWHERE, server_tls, HELLO, metrics, serve
        ) as address,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(
            _links.maintain_link, address, client_tls, HELLO, metrics, dial
        )
        with anyio.move_on_after(1.5):
            await linked.wait()
        tasks.cancel_scope.cancel()
    return linked.is_set()


@pytest.mark.parametrize(
    ("server", "caller", "expected"),
    [
        ("ours", "ours", True),
        ("ours", "foreign", False),
        ("foreign", "ours", False),
        ("ours", None, False),
        (None, None, True),
    ],
)
def test_mutual_tls(
    tmp_path: pathlib.Path,
    server: str | None,
    caller: str | None,
    expected: bool,
) -> None:
    authorities = {"ours": trustme.CA(), "foreign": trustme.CA()}

    def tls(side: str, name: str | None) -> _settings.TlsSettings | None:
        if name is None:
            return None
        return make_tls(tmp_path, f"{side}-{name}", authorities[name])

    found = anyio.run(can_link, tls("server", server), tls("caller", caller))
    assert found == expected


Attack = Callable[[client.ClientConnection], Awaitable[None]]


async def send_text(connection: client.ClientConnection) -> None:
    await connection.send("hello")


async def send_oversized(connection: client.ClientConnection) -> None:
    await connection.send(_frames.encode_frame(HELLO))
    await connection.send(b"x" * (_frames.MAXIMUM_FRAME_BYTES + 1))


async def send_garbage(connection: client.ClientConnection) -> None:
    await connection.send(_frames.encode_frame(HELLO))
    await connection.send(b"\x9f" * 50)


async def send_nothing(connection: client.ClientConnection) -> None:
    del connection
    await anyio.sleep(0.3)


@pytest.mark.parametrize(
    ("attack", "counter"),
    [
        (send_text, "peer.bad_handshake"),
        (send_oversized, ""),
        (send_garbage, "peer.bad_frame"),
        (send_nothing, "peer.bad_handshake"),
    ],
)
def test_faulty_peer_is_disconnected_and_other_links_stay_open(
    attack: Attack, counter: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_links, "HANDSHAKE_TIMEOUT_MS", 200)

    async def run() -> None:
        metrics = _metrics.create_metrics(None, "test")
        received: list[_frames.Message] = []

        async def serve(link: _links.Link) -> None:
            async for message in link.messages():
                received.append(message)

        async with _links.serve_links(
            ANYWHERE, None, HELLO, metrics, serve
        ) as address:
            url = f"ws://{address}"
            async with client.connect(url, proxy=None) as good:
                await good.send(_frames.encode_frame(HELLO))
                async with client.connect(url, proxy=None) as bad:
                    await bad.recv()
                    await attack(bad)
                    with (
                        anyio.fail_after(3),
                        pytest.raises(websockets.ConnectionClosed),
                    ):
                        await bad.recv()
                request = _frames.ListKeys("id")
                await good.send(_frames.encode_frame(request))
                with anyio.fail_after(3):
                    while not received:
                        await anyio.sleep(0.01)
            assert received == [request]
        if counter:
            assert metrics.counts[counter] == 1

    anyio.run(run)


def test_an_unexpected_error_ends_one_link_which_is_opened_anew(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_links, "INITIAL_RECONNECT_DELAY_MS", 10)

    async def run() -> None:
        metrics = _metrics.create_metrics(None, "test")
        links: list[_links.Link] = []

        async def serve(link: _links.Link) -> None:
            async for _ in link.messages():
                pass

        async def fail(link: _links.Link) -> None:
            links.append(link)
            raise KeyError("unexpected")

        async with (
            _links.serve_links(
                ANYWHERE, None, HELLO, metrics, serve
            ) as address,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(
                _links.maintain_link, address, None, HELLO, metrics, fail
            )
            with anyio.fail_after(5):
                while len(links) < 2:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_port_in_use_raises_its_error_code() -> None:
    async def run() -> None:
        metrics = _metrics.create_metrics(None, "test")

        async def serve(link: _links.Link) -> None:
            del link

        async with _links.serve_links(
            ANYWHERE, None, HELLO, metrics, serve
        ) as address:
            with pytest.raises(_exceptions.BluebelltideError) as caught:
                async with _links.serve_links(
                    address, None, HELLO, metrics, serve
                ):
                    pass
            code = caught.value.code
            assert code == _exceptions.ErrorCode.PORT_IN_USE

    anyio.run(run)
