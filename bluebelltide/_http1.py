"""A small HTTP/1.1 server for programs that must start fast.

It reads each request as a whole, limits the size of its body, and supports
persistent connections.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio
import anyio.abc
import h11
import logbook

MAXIMUM_BODY_BYTES = 2 * 1024 * 1024
"""The maximum size of a request body."""
IDLE_TIMEOUT_S = 30.0
"""How long a connection may take to deliver its next request."""
READ_BYTES = 65_536
"""The maximum number of bytes per read from a connection."""

_LOG = logbook.Logger("http")

_CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    h11.ProtocolError,
)


class Request(NamedTuple):
    """A complete request."""

    method: str
    """The method in upper case."""
    path: str
    """The path without the query."""
    body: bytes
    """The body."""


class Response(NamedTuple):
    """A complete response."""

    status: int
    """The status code."""
    body: bytes = b""
    """The body."""
    content_type: str = "application/json"
    """The content type of the body."""


Handler = Callable[[Request], Awaitable[Response]]
"""Returns the response to a request."""


class _Connection:
    """One connection; h11 holds the protocol state."""

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        self.stream = stream
        self.protocol = h11.Connection(h11.SERVER)

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            event = self.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            if self.protocol.they_are_waiting_for_100_continue:
                await self.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            try:
                data = await self.stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                data = b""
            self.protocol.receive_data(data)

    async def send(self, event: h11.Event) -> None:
        data = self.protocol.send(event)
        if data:
            await self.stream.send(data)

    async def read_request(self) -> Request | None:
        """Reads a complete request; returns None if the connection ends."""
        event = await self.next_event()
        if not isinstance(event, h11.Request):
            return None
        method = event.method.decode("ascii")
        path = event.target.decode("ascii").partition("?")[0]
        body = bytearray()
        while True:
            part = await self.next_event()
            if isinstance(part, h11.Data):
                body += part.data
                if len(body) > MAXIMUM_BODY_BYTES:
                    await self.respond(Response(413))
                    return None
            elif isinstance(part, h11.EndOfMessage):
                return Request(method, path, bytes(body))
            else:
                return None

    async def respond(self, response: Response) -> None:
        """Sends a complete response."""
        headers = [
            ("content-length", str(len(response.body))),
            ("content-type", response.content_type),
        ]
        head = h11.Response(status_code=response.status, headers=headers)
        data = self.protocol.send(head) or b""
        data += self.protocol.send(h11.Data(data=response.body)) or b""
        data += self.protocol.send(h11.EndOfMessage()) or b""
        await self.stream.send(data)


async def serve_connection(
    stream: anyio.abc.ByteStream, handler: Handler
) -> None:
    """Serves the requests of one connection, one after the other.

    Args:
        stream: The connection; this function closes it.
        handler: Returns the response to each request.
    """
    connection = _Connection(stream)
    async with stream:
        try:
            while True:
                with anyio.fail_after(IDLE_TIMEOUT_S):
                    request = await connection.read_request()
                if request is None:
                    return
                response = await _call_handler(handler, request)
                await connection.respond(response)
                if connection.protocol.our_state is not h11.DONE:
                    return
                if connection.protocol.their_state is not h11.DONE:
                    return
                connection.protocol.start_next_cycle()
        except _CONNECTION_ERRORS as error:
            # The sender repeats a request that got no response.
            _LOG.debug("connection ended: {!r}", error)


async def _call_handler(handler: Handler, request: Request) -> Response:
    """Calls the handler; an unexpected exception becomes a 500 response."""
    try:
        return await handler(request)
    except Exception as error:
        _LOG.exception(
            "{} {} failed: {!r}", request.method, request.path, error
        )
        return Response(500)


async def serve_http(
    listener: anyio.abc.Listener[anyio.abc.SocketStream], handler: Handler
) -> None:
    """Serves connections until cancelled.

    Args:
        listener: The listener that accepts the connections.
        handler: Returns the response to each request.
    """

    async def serve(stream: anyio.abc.ByteStream) -> None:
        await serve_connection(stream, handler)

    await listener.serve(serve)
