"""Websocket links between our processes, with mutual TLS if configured."""

from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import random
import ssl

import anyio
import logbook
import websockets
from websockets.asyncio import client
from websockets.asyncio import server

from bluebelltide import _codes
from bluebelltide import _exceptions
from bluebelltide import _metrics
from bluebelltide import _settings
from bluebelltide import _types
from bluebelltide.peers import _frames

RECONNECT_DELAY_MS = 300
"""Pause before a lost link is dialled again; it doubles."""
RECONNECT_LIMIT_MS = 5000
"""The longest pause before a lost link is dialled again."""
HANDSHAKE_TIMEOUT_MS = 3000
"""How long a peer may take from connecting to its Hello."""
CLOSE_TIMEOUT_MS = 500
"""How long a link may take to close."""

_LOG = logbook.Logger("peers")


class Link:
    """One open link to a peer that has said Hello."""

    def __init__(
        self,
        connection: client.ClientConnection | server.ServerConnection,
        hello: _frames.Hello,
        metrics: _metrics.Metrics,
    ) -> None:
        """Wraps a connection; links are made by this module only."""
        self._connection = connection
        self._metrics = metrics
        self.hello = hello

    async def send(self, message: _frames.Message) -> None:
        """Sends a message; a lost link drops it, as peers send again."""
        data = _frames.encode_frame(message)
        self._metrics.count("peer_sent_bytes", "total", len(data))
        with contextlib.suppress(websockets.ConnectionClosed):
            await self._connection.send(data)

    async def messages(self) -> AsyncIterator[_frames.Message]:
        """Yields messages until the link is lost or a frame is bad."""
        with contextlib.suppress(websockets.ConnectionClosed):
            async for data in self._connection:
                self._metrics.count("peer_received_bytes", "total", len(data))
                try:
                    message = _frames.decode_frame(data)
                except _exceptions.BluebelltideError as error:
                    self._metrics.count("peer", _codes.PeerCode.BAD_FRAME)
                    _LOG.warning("{} sent {}", self.hello.name, error)
                    return
                yield message


LinkHandler = Callable[[Link], Awaitable[None]]


def create_server_tls(
    settings: _settings.TlsSettings | None,
) -> ssl.SSLContext | None:
    """Creates a context that demands a certificate from each peer."""
    if settings is None:
        return None
    context = ssl.create_default_context(
        ssl.Purpose.CLIENT_AUTH, cafile=settings.authority_file
    )
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(settings.certificate_file, settings.key_file)
    return context


def create_client_tls(
    settings: _settings.TlsSettings | None,
) -> ssl.SSLContext | None:
    """Creates a context that shows our certificate and checks the peer's.

    Peers are reached by IP number, so the authority is what is checked and
    not the host name.
    """
    if settings is None:
        return None
    context = ssl.create_default_context(cafile=settings.authority_file)
    context.check_hostname = False
    context.load_cert_chain(settings.certificate_file, settings.key_file)
    return context


async def _exchange_hello(
    connection: client.ClientConnection | server.ServerConnection,
    own_hello: _frames.Hello,
    metrics: _metrics.Metrics,
) -> Link | None:
    hello = None
    with (
        anyio.move_on_after(HANDSHAKE_TIMEOUT_MS / 1000),
        contextlib.suppress(
            websockets.ConnectionClosed, _exceptions.BluebelltideError
        ),
    ):
        await connection.send(_frames.encode_frame(own_hello))
        hello = _frames.decode_frame(await connection.recv())
    if not isinstance(hello, _frames.Hello):
        metrics.count("peer", _codes.PeerCode.BAD_HANDSHAKE)
        return None
    return Link(connection, hello, metrics)


@contextlib.asynccontextmanager
async def serve_links(
    address: _types.Address,
    tls: _settings.TlsSettings | None,
    own_hello: _frames.Hello,
    metrics: _metrics.Metrics,
    handler: LinkHandler,
) -> AsyncIterator[_types.Address]:
    """Accepts links while the context is open.

    Args:
        address: Where to listen.
        tls: Mutual TLS, or None.
        own_hello: What this process says of itself.
        metrics: Counters.
        handler: Called for each link; the link closes when it returns.

    Yields:
        The address that is listened on.

    Raises:
        BluebelltideError: With PORT_IN_USE if the address is taken.
    """

    async def on_connection(connection: server.ServerConnection) -> None:
        link = await _exchange_hello(connection, own_hello, metrics)
        if link is not None:
            await handler(link)

    try:
        listener = await server.serve(
            on_connection,
            address.host,
            address.port,
            ssl=create_server_tls(tls),
            max_size=_frames.MAXIMUM_FRAME_BYTES,
            open_timeout=HANDSHAKE_TIMEOUT_MS / 1000,
            close_timeout=CLOSE_TIMEOUT_MS / 1000,
            compression=None,
        )
    except OSError as error:
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.PORT_IN_USE, str(error), str(address)
        ) from error
    try:
        port = next(iter(listener.sockets)).getsockname()[1]
        yield _types.Address(address.host, port)
    finally:
        listener.close()
        with anyio.CancelScope(shield=True):
            await listener.wait_closed()


async def maintain_link(
    address: _types.Address,
    tls: _settings.TlsSettings | None,
    own_hello: _frames.Hello,
    metrics: _metrics.Metrics,
    handler: LinkHandler,
) -> None:
    """Keeps one link to a peer open until cancelled.

    Args:
        address: Where the peer listens.
        tls: Mutual TLS, or None.
        own_hello: What this process says of itself.
        metrics: Counters.
        handler: Called for each link; when it returns, the peer is dialled
            again.
    """
    scheme = "ws" if tls is None else "wss"
    pause_ms = RECONNECT_DELAY_MS
    while True:
        with contextlib.suppress(
            OSError, TimeoutError, websockets.WebSocketException
        ):
            async with client.connect(
                f"{scheme}://{address}",
                ssl=create_client_tls(tls),
                max_size=_frames.MAXIMUM_FRAME_BYTES,
                open_timeout=HANDSHAKE_TIMEOUT_MS / 1000,
                close_timeout=CLOSE_TIMEOUT_MS / 1000,
                compression=None,
                proxy=None,
            ) as connection:
                link = await _exchange_hello(connection, own_hello, metrics)
                if link is not None:
                    pause_ms = RECONNECT_DELAY_MS
                    await handler(link)
        await anyio.sleep(random.uniform(0.5, 1.0) * pause_ms / 1000)
        pause_ms = min(RECONNECT_LIMIT_MS, 2 * pause_ms)
