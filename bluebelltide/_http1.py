"""A small HTTP/1.1 server for programs that must start fast.

It reads each request as a whole, limits the size of its body, and supports
persistent connections.
"""

from collections.abc import Awaitable, Callable
import socket
from typing import NamedTuple

import anyio
import anyio.abc
import h11
import logbook

from bluebelltide import _accepting
from bluebelltide import _guard
from bluebelltide import _types

MAXIMUM_BODY_BYTES = 2 * 1024 * 1024
"""The maximum size of a request body."""
IDLE_TIMEOUT_S = 30.0
"""How long a connection may take to deliver its next request."""
READ_BYTES = 65_536
"""The maximum number of bytes per read from a connection."""
CLOSING_IDLE_TIMEOUT_S = 0.5
"""How long a connection may take to deliver its next request while the server
closes. A request may be on its way when the server begins to close."""
CLOSING_WRITE_TIMEOUT_S = 0.2
"""How long the last responses may take to be written."""
LISTEN_BACKLOG = 1024
"""How many new connections the system keeps until they are accepted."""

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

    async def receive_data(self) -> None:
        """Passes the next bytes of the connection to the protocol."""
        try:
            data = await self.stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            data = b""
        self.protocol.receive_data(data)

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            event = self.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            if self.protocol.they_are_waiting_for_100_continue:
                await self.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            await self.receive_data()

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
                    await self.respond(Response(413), is_last=True)
                    return None
            elif isinstance(part, h11.EndOfMessage):
                return Request(method, path, bytes(body))
            else:
                return None

    async def respond(self, response: Response, is_last: bool) -> None:
        """Sends a complete response.

        Args:
            response: The response.
            is_last: Whether the connection is closed after it.
        """
        headers = [
            ("content-length", str(len(response.body))),
            ("content-type", response.content_type),
        ]
        if is_last:
            headers.append(("connection", "close"))
        head = h11.Response(status_code=response.status, headers=headers)
        data = self.protocol.send(head) or b""
        data += self.protocol.send(h11.Data(data=response.body)) or b""
        data += self.protocol.send(h11.EndOfMessage()) or b""
        await self.stream.send(data)

    def start_next_request(self) -> bool:
        """Prepares for the next request; returns False if there is none."""
        if self.protocol.our_state is not h11.DONE:
            return False
        if self.protocol.their_state is not h11.DONE:
            return False
        self.protocol.start_next_cycle()
        return True

    @property
    def has_unread_data(self) -> bool:
        """Whether bytes of the next request have arrived already."""
        return bool(self.protocol.trailing_data[0])


class HttpServer:
    """Serves the connections of one listening socket.

    While the server closes, each request that has reached it is answered.
    """

    def __init__(self, listener: socket.socket, handler: Handler) -> None:
        """Creates the server; use `open_http_server`."""
        self._listener = listener
        self._handler = handler
        self._is_closing = False
        self._accepting = anyio.CancelScope()
        self._waiting: set[anyio.CancelScope] = set()
        self._handling: set[anyio.CancelScope] = set()
        self._has_ended = anyio.Event()

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        port: int = self._listener.getsockname()[1]
        return port

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts to accept connections.

        Args:
            tasks: Serves the connections until it is cancelled.
        """
        tasks.start_soon(self._serve)

    async def close(self, timeout_s: float) -> None:
        """Stops accepting connections and ends those that are open.

        Each request that arrives meanwhile is answered. The handlers that
        are still running after the timeout are cancelled, and their requests
        are answered with status 503.

        Args:
            timeout_s: How long requests in progress may take.
        """
        self._is_closing = True
        idle_until = anyio.current_time() + CLOSING_IDLE_TIMEOUT_S
        for scope in self._waiting:
            scope.deadline = min(scope.deadline, idle_until)
        with anyio.move_on_after(timeout_s):
            # Callers that have not noticed yet still get answers.
            await anyio.sleep(CLOSING_IDLE_TIMEOUT_S)
            self._accepting.cancel()
            await self._has_ended.wait()
            return
        self._accepting.cancel()
        for scope in self._handling:
            scope.cancel()
        with anyio.move_on_after(CLOSING_WRITE_TIMEOUT_S):
            await self._has_ended.wait()

    async def _serve(self) -> None:
        try:
            async with anyio.create_task_group() as connections:
                with self._accepting:
                    await self._accept_forever(connections)
        finally:
            self._has_ended.set()

    async def _accept_forever(self, connections: anyio.abc.TaskGroup) -> None:
        try:
            while True:
                # An error here must not close the listener, which would leave
                # a process that nobody can reach.
                with _guard.log_errors("accepting requests"):
                    # Unlike accepting, waiting may be cancelled without the
                    # loss of a connection.
                    await anyio.wait_readable(self._listener)
                    if self._accept_all(connections):
                        continue
                await anyio.sleep(_accepting.RETRY_DELAY_S)
        finally:
            # Connections that were not accepted yet would be reset.
            self._accept_all(connections)
            self._listener.close()

    def _accept_all(self, connections: anyio.abc.TaskGroup) -> bool:
        """Accepts the connections that wait; returns False after an error."""
        while True:
            try:
                connection, _ = self._listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                _LOG.warning("a connection was not accepted: {!r}", error)
                return False
            connections.start_soon(self._serve_socket, connection)

    async def _serve_socket(self, connection: socket.socket) -> None:
        """Serves an accepted connection; an error ends only this one."""
        try:
            connection.setblocking(False)
            stream = await anyio.abc.SocketStream.from_socket(connection)
        except (OSError, ValueError) as error:
            # The peer reset the connection before it was accepted.
            _LOG.debug("connection ended: {!r}", error)
            connection.close()
            return
        try:
            await self._serve_connection(stream)
        except Exception as error:
            _guard.report_error("a connection", error)

    async def _serve_connection(self, stream: anyio.abc.ByteStream) -> None:
        """Serves the requests of one connection, one after the other."""
        connection = _Connection(stream)
        async with stream:
            try:
                while await self._wait_for_request(connection):
                    with anyio.fail_after(IDLE_TIMEOUT_S):
                        request = await connection.read_request()
                    if request is None:
                        return
                    response = await self._handle(request)
                    await connection.respond(response, self._is_closing)
                    if not connection.start_next_request():
                        return
            except _CONNECTION_ERRORS as error:
                # The sender repeats a request that got no response.
                _LOG.debug("connection ended: {!r}", error)

    async def _wait_for_request(self, connection: _Connection) -> bool:
        """Returns True when a request arrives, False if none does in time."""
        if connection.has_unread_data:
            return True
        timeout_s = (
            CLOSING_IDLE_TIMEOUT_S if self._is_closing else IDLE_TIMEOUT_S
        )
        with anyio.move_on_after(timeout_s) as scope:
            self._waiting.add(scope)
            try:
                await connection.receive_data()
                return True
            finally:
                self._waiting.discard(scope)
        return False

    async def _handle(self, request: Request) -> Response:
        """Calls the handler; an unexpected exception becomes a 500 response."""
        with anyio.CancelScope() as scope:
            self._handling.add(scope)
            try:
                return await self._handler(request)
            except Exception as error:
                subject = f"{request.method} {request.path}"
                _guard.report_error("a request", error, subject)
                return Response(500)
            finally:
                self._handling.discard(scope)
        return Response(503)


def open_http_server(address: _types.Address, handler: Handler) -> HttpServer:
    """Opens a listening socket and makes its server.

    Args:
        address: The address to listen on; port 0 picks a free port.
        handler: Returns the response to each request.

    Returns:
        The server, which accepts connections after `HttpServer.start`.

    Raises:
        OSError: If the address cannot be bound.
    """
    listener = socket.create_server(tuple(address), backlog=LISTEN_BACKLOG)
    listener.setblocking(False)
    return HttpServer(listener, handler)
