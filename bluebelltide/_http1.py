"""A small HTTP/1.1 server for programs that must start fast.

It reads each request as a whole, limits the size of its body, and supports
persistent connections. Plain small requests, which targets send all the time,
are read without h11 and, if the answer needs no wait, without a task.
"""

import asyncio
from collections.abc import Awaitable, Callable
import socket
from typing import NamedTuple

import anyio
import anyio.abc
import h11
import logbook

from bluebelltide import _accepting
from bluebelltide import _guard
from bluebelltide import _plain_connections
from bluebelltide import _small_requests
from bluebelltide import _types

MAXIMUM_BODY_BYTES = 2 * 1024 * 1024
"""The maximum size of a request body."""
IDLE_TIMEOUT_S = 30.0
"""How long a connection may take to deliver its next request."""
CLOSING_IDLE_TIMEOUT_S = 0.5
"""How long a connection may take to deliver its next request while the server
closes. A request may be on its way when the server begins to close."""
CLOSING_WRITE_TIMEOUT_S = 0.2
"""How long the last responses may take to be written."""
IDLE_CHECK_INTERVAL_S = 1.0
"""Time between two searches for connections that wait for too long."""
CLOSING_CHECK_INTERVAL_S = 0.05
"""The same while the server closes."""
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
ImmediateHandler = Callable[[Request], Response | None]
"""Returns the response to a request that needs no wait, None for the others."""


class _Connection:
    """One connection; h11 holds the protocol state."""

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        self.stream = stream
        self.protocol = h11.Connection(h11.SERVER)

    async def receive_data(self) -> None:
        """Passes the next bytes of the connection to the protocol."""
        try:
            data = await self.stream.receive(_plain_connections.READ_BYTES)
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

    def __init__(
        self,
        listener: socket.socket,
        handler: Handler,
        immediate_handler: ImmediateHandler | None = None,
    ) -> None:
        """Creates the server; use `open_http_server`."""
        self._listener = listener
        self._handler = handler
        self._immediate_handler = immediate_handler
        self._is_closing = False
        self._closing = anyio.Event()
        self._has_accepted_all = False
        self._sending_count = 0
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
        self._closing.set()
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
        plain = None
        try:
            async with anyio.create_task_group() as tasks:
                plain = self._make_plain_connections(tasks)
                _guard.start_forever(
                    tasks,
                    "ending idle connections",
                    self._end_idle_connections,
                    plain,
                )
                with self._accepting:
                    await self._accept_forever(plain)
        finally:
            if plain is not None:
                plain.end_all()
            self._has_ended.set()

    def _make_plain_connections(
        self, tasks: anyio.abc.TaskGroup
    ) -> _plain_connections.PlainConnections:
        """Makes the connections that wait without a task.

        Args:
            tasks: Serves the requests that take time.
        """

        def handle(
            connection: _plain_connections.PlainConnection,
            head: _small_requests.RequestHead,
            body: bytes,
        ) -> None:
            request = Request(head.method, head.path, body)
            response = self._respond_at_once(request)
            if response is None:
                plain.remove(connection)
                _guard.start(
                    tasks,
                    "a connection",
                    self._respond_later,
                    plain,
                    connection,
                    request,
                )
                return
            is_last = self._is_closing
            data = _encode_response(response, is_last)
            sent = _send_at_once(connection.socket, data)
            if is_last or sent < len(data):
                plain.remove(connection)
                _guard.start(
                    tasks,
                    "a connection",
                    self._send_rest,
                    plain,
                    connection,
                    data[sent:],
                    is_last,
                )
            else:
                plain.restart_wait(connection)

        def hand_over(connection: socket.socket, received: bytes) -> None:
            tasks.start_soon(self._serve_socket, connection, received)

        # The functions above refer to it.
        plain = _plain_connections.PlainConnections(handle, hand_over)
        return plain

    async def _end_idle_connections(
        self, plain: _plain_connections.PlainConnections
    ) -> None:
        """Ends waiting connections that deliver no request in time.

        Returns once the server closes and no connection waits.
        """
        while not self._is_closing:
            with anyio.move_on_after(IDLE_CHECK_INTERVAL_S):
                await self._closing.wait()
            plain.end_idle(IDLE_TIMEOUT_S)
        closing_since_s = anyio.current_time()
        while len(plain) or self._sending_count or not self._has_accepted_all:
            await anyio.sleep(CLOSING_CHECK_INTERVAL_S)
            plain.end_idle(IDLE_TIMEOUT_S)
            plain.end_unused(CLOSING_IDLE_TIMEOUT_S, closing_since_s)

    def _respond_at_once(self, request: Request) -> Response | None:
        """Returns the response to a request, None if that takes time."""
        if self._immediate_handler is None:
            return None
        try:
            return self._immediate_handler(request)
        except Exception as error:
            return _report_handler_error(request, error)

    async def _respond_later(
        self,
        plain: _plain_connections.PlainConnections,
        connection: _plain_connections.PlainConnection,
        request: Request,
    ) -> None:
        """Answers a request whose handler takes time."""
        data = b""
        is_last = True
        try:
            response = await self._handle(request)
            is_last = self._is_closing
            data = _encode_response(response, is_last)
        finally:
            if not data:
                connection.socket.close()
        await self._send_rest(plain, connection, data, is_last)

    async def _send_rest(
        self,
        plain: _plain_connections.PlainConnections,
        connection: _plain_connections.PlainConnection,
        data: bytes,
        is_last: bool,
    ) -> None:
        """Sends what is left of a response; an error ends the connection."""
        is_kept = False
        self._sending_count += 1
        try:
            await asyncio.get_running_loop().sock_sendall(
                connection.socket, data
            )
            if not is_last:
                plain.add(connection)
                is_kept = True
        except OSError as error:
            _LOG.debug("connection ended: {!r}", error)
        finally:
            self._sending_count -= 1
            if not is_kept:
                connection.socket.close()

    async def _accept_forever(
        self, plain: _plain_connections.PlainConnections
    ) -> None:
        try:
            while True:
                # An error here must not close the listener, which would leave
                # a process that nobody can reach.
                with _guard.log_errors("accepting requests"):
                    # Unlike accepting, waiting may be cancelled without the
                    # loss of a connection.
                    await anyio.wait_readable(self._listener)
                    if self._accept_all(plain):
                        continue
                await anyio.sleep(_accepting.RETRY_DELAY_S)
        finally:
            # Connections that were not accepted yet would be reset.
            self._accept_all(plain)
            self._has_accepted_all = True
            self._listener.close()

    def _accept_all(self, plain: _plain_connections.PlainConnections) -> bool:
        """Accepts the connections that wait; returns False after an error."""
        while True:
            try:
                connection, _ = self._listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                _LOG.warning("a connection was not accepted: {!r}", error)
                return False
            try:
                connection.setblocking(False)
                # As the event loop does for the connections that it reads.
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                plain.add(_plain_connections.PlainConnection(connection))
            except OSError as error:
                # The peer reset the connection before it was accepted.
                _LOG.debug("connection ended: {!r}", error)
                connection.close()

    async def _serve_socket(
        self, connection: socket.socket, received: bytes
    ) -> None:
        """Serves a connection with h11; an error ends only this one.

        Args:
            connection: The connection.
            received: What it has delivered of its next request.
        """
        try:
            stream = await anyio.abc.SocketStream.from_socket(connection)
        except (OSError, ValueError) as error:
            # The peer reset the connection before it was accepted.
            _LOG.debug("connection ended: {!r}", error)
            connection.close()
            return
        try:
            await self._serve_connection(stream, received)
        except Exception as error:
            _guard.report_error("a connection", error)

    async def _serve_connection(
        self, stream: anyio.abc.ByteStream, received: bytes
    ) -> None:
        """Serves the requests of one connection, one after the other."""
        connection = _Connection(stream)
        connection.protocol.receive_data(received)
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
                return _report_handler_error(request, error)
            finally:
                self._handling.discard(scope)
        return Response(503)


def _encode_response(response: Response, is_last: bool) -> bytes:
    """Encodes a complete response as h11 does.

    Args:
        response: The response.
        is_last: Whether the connection is closed after it.
    """
    closing = "connection: close\r\n" if is_last else ""
    head = (
        f"HTTP/1.1 {response.status} \r\n"
        f"content-length: {len(response.body)}\r\n"
        f"content-type: {response.content_type}\r\n"
        f"{closing}\r\n"
    )
    return head.encode("ascii") + response.body


def _send_at_once(connection: socket.socket, data: bytes) -> int:
    """Sends what the system accepts now; returns the number of bytes."""
    try:
        return connection.send(data)
    except (BlockingIOError, InterruptedError):
        return 0


def _report_handler_error(request: Request, error: Exception) -> Response:
    """Counts and logs an unexpected error and returns the response to it."""
    subject = f"{request.method} {request.path}"
    _guard.report_error("a request", error, subject)
    return Response(500)


def open_http_server(
    address: _types.Address,
    handler: Handler,
    immediate_handler: ImmediateHandler | None = None,
) -> HttpServer:
    """Opens a listening socket and makes its server.

    Args:
        address: The address to listen on; port 0 picks a free port.
        handler: Returns the response to each request.
        immediate_handler: Returns the response to the requests that need no
            wait; it is asked before `handler`. None if there are none.

    Returns:
        The server, which accepts connections after `HttpServer.start`.

    Raises:
        OSError: If the address cannot be bound.
    """
    listener = socket.create_server(tuple(address), backlog=LISTEN_BACKLOG)
    listener.setblocking(False)
    return HttpServer(listener, handler, immediate_handler)
