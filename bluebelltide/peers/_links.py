"""WebSocket links between peers, with mutual TLS if configured."""

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
from bluebelltide import _guard
from bluebelltide import _metrics
from bluebelltide import _settings
from bluebelltide import _types
from bluebelltide.peers import _frames

INITIAL_RECONNECT_DELAY_MS = 300
"""Delay before the first reconnection; it doubles with each failure."""
MAXIMUM_RECONNECT_DELAY_MS = 5000
"""Upper bound of the delay before a reconnection."""
HANDSHAKE_TIMEOUT_MS = 3000
"""How long a peer may take to open the WebSocket, and again to send Hello."""
CLOSE_TIMEOUT_MS = 500
"""How long a link may take to close."""

_LOG = logbook.Logger("peers")


class Link:
    """An open link to a peer that has sent its Hello.

    Attributes:
        hello: The Hello of the peer.
    """

    def __init__(
        self,
        connection: client.ClientConnection | server.ServerConnection,
        hello: _frames.Hello,
        metrics: _metrics.Metrics,
    ) -> None:
        """Wraps a connection; only this module creates links."""
        self._connection = connection
        self._metrics = metrics
        self.hello = hello

    async def send(self, message: _frames.Message) -> None:
        """Sends a message; drops it if the link is lost, as peers resend."""
        data = _frames.encode_frame(message)
        self._metrics.count("peer_sent_bytes", "total", len(data))
        with contextlib.suppress(websockets.ConnectionClosed):
            await self._connection.send(data)

    async def messages(self) -> AsyncIterator[_frames.Message]:
        """Yields messages until the link is lost or a frame is invalid."""
        with contextlib.suppress(websockets.ConnectionClosed):
            async for data in self._connection:
                self._metrics.count("peer_received_bytes", "total", len(data))
                try:
                    message = _frames.decode_frame(data)
                except _exceptions.BluebelltideError as error:
                    self._metrics.count("peer", _codes.PeerCode.BAD_FRAME)
                    _LOG.warning(
                        "{} sent an invalid frame: {}", self.hello.name, error
                    )
                    return
                yield message


LinkHandler = Callable[[Link], Awaitable[None]]


def create_server_tls(
    settings: _settings.TlsSettings | None,
) -> ssl.SSLContext | None:
    """Creates a context that requires a certificate from each peer."""
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
    """Creates a context that sends a certificate and verifies the peer's.

    Peers are addressed by IP address, so the context verifies that the
    authority issued the certificate, but not the host name in it.
    """
    if settings is None:
        return None
    context = ssl.create_default_context(cafile=settings.authority_file)
    context.check_hostname = False
    context.load_cert_chain(settings.certificate_file, settings.key_file)
    return context


async def _exchange_hello(
    connection: client.ClientConnection | server.ServerConnection,
    local_hello: _frames.Hello,
    metrics: _metrics.Metrics,
) -> Link | None:
    hello = None
    with (
        anyio.move_on_after(HANDSHAKE_TIMEOUT_MS / 1000),
        contextlib.suppress(
            websockets.ConnectionClosed, _exceptions.BluebelltideError
        ),
    ):
        await connection.send(_frames.encode_frame(local_hello))
        hello = _frames.decode_frame(await connection.recv())
    if not isinstance(hello, _frames.Hello):
        metrics.count("peer", _codes.PeerCode.BAD_HANDSHAKE)
        return None
    return Link(connection, hello, metrics)


@contextlib.asynccontextmanager
async def serve_links(
    address: _types.Address,
    tls: _settings.TlsSettings | None,
    local_hello: _frames.Hello,
    metrics: _metrics.Metrics,
    handler: LinkHandler,
) -> AsyncIterator[_types.Address]:
    """Accepts links while the context is open.

    Args:
        address: The address to listen on; port 0 chooses a free port.
        tls: The settings of mutual TLS, or None for no TLS.
        local_hello: The Hello that this process sends.
        metrics: Counters.
        handler: Called for each link; the link closes when it returns.

    Yields:
        The address that the listener is bound to.

    Raises:
        BluebelltideError: With PORT_IN_USE if the address cannot be bound.
    """

    async def on_connection(connection: server.ServerConnection) -> None:
        link = await _exchange_hello(connection, local_hello, metrics)
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
    local_hello: _frames.Hello,
    metrics: _metrics.Metrics,
    handler: LinkHandler,
) -> None:
    """Keeps a link to a peer open until cancelled; reconnects after a loss.

    Args:
        address: The address that the peer listens on.
        tls: The settings of mutual TLS, or None for no TLS.
        local_hello: The Hello that this process sends.
        metrics: Counters.
        handler: Called for each link; when it returns, the link is closed and
            opened anew.
    """
    scheme = "ws" if tls is None else "wss"
    delay_ms = INITIAL_RECONNECT_DELAY_MS
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
                link = await _exchange_hello(connection, local_hello, metrics)
                if link is not None:
                    delay_ms = INITIAL_RECONNECT_DELAY_MS
                    with _guard.log_errors("a link", str(address)):
                        await handler(link)
        await anyio.sleep(random.uniform(0.5, 1.0) * delay_ms / 1000)
        delay_ms = min(MAXIMUM_RECONNECT_DELAY_MS, 2 * delay_ms)
