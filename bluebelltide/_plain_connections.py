"""Connections that wait for a plain HTTP request without a task each.

A replica holds thousands of connections that each deliver a small request
every few seconds. A callback of the event loop reads and answers such a
request, which avoids switching to a task. A connection that delivers anything
else is handed over to be read by h11.
"""

import asyncio
from collections.abc import Callable
import itertools
import socket

import logbook

from bluebelltide import _guard
from bluebelltide import _small_requests

READ_BYTES = 65_536
"""The maximum number of bytes per read from a connection."""

_LOG = logbook.Logger("http")


class PlainConnection:
    """A connection of which h11 has read nothing.

    Attributes:
        socket: The socket; non-blocking.
        waits_since_s: Since when the connection waits for its next request, or
            for the rest of one.
        received: The request that is incomplete.
        head: The head of that request; None if nothing of it has arrived.
    """

    __slots__ = ("head", "received", "socket", "waits_since_s")

    def __init__(self, connection: socket.socket) -> None:
        """Wraps a connected socket."""
        self.socket = connection
        self.waits_since_s = 0.0
        self.received = b""
        self.head: _small_requests.RequestHead | None = None


RequestHandler = Callable[
    [PlainConnection, _small_requests.RequestHead, bytes], None
]
"""Receives a request with its body; the connection still waits."""
HandOver = Callable[[socket.socket, bytes], None]
"""Receives a connection whose next request is left to h11, and what has arrived
of that request."""


class PlainConnections:
    """The connections of one server that wait for a request."""

    def __init__(self, handle: RequestHandler, hand_over: HandOver) -> None:
        """Creates an empty set.

        Args:
            handle: Handles each request; must not block.
            hand_over: Serves a connection from now on.
        """
        self._handle = handle
        self._hand_over = hand_over
        # Ordered by the time since which they wait.
        self._waiting: dict[PlainConnection, None] = {}

    def __len__(self) -> int:
        """Returns how many connections wait."""
        return len(self._waiting)

    def add(self, connection: PlainConnection) -> None:
        """Waits for the next request of a connection."""
        asyncio.get_running_loop().add_reader(
            connection.socket.fileno(), self._read, connection
        )
        self.restart_wait(connection)

    def restart_wait(self, connection: PlainConnection) -> None:
        """Records that a connection begins to wait."""
        connection.waits_since_s = asyncio.get_running_loop().time()
        # Reinserting keeps the connections ordered by time.
        self._waiting.pop(connection, None)
        self._waiting[connection] = None

    def remove(self, connection: PlainConnection) -> None:
        """Stops waiting for a connection, which stays open."""
        self._waiting.pop(connection, None)
        asyncio.get_running_loop().remove_reader(connection.socket.fileno())

    def end(self, connection: PlainConnection) -> None:
        """Closes a connection that waits."""
        self.remove(connection)
        connection.socket.close()

    def end_all(self) -> None:
        """Closes all connections that wait."""
        for connection in list(self._waiting):
            self.end(connection)

    def end_idle(self, timeout_s: float) -> None:
        """Closes the connections that have waited for longer than a time."""
        latest_s = asyncio.get_running_loop().time() - timeout_s
        idle = itertools.takewhile(
            lambda connection: connection.waits_since_s <= latest_s,
            self._waiting,
        )
        for connection in list(idle):
            self.end(connection)

    def end_unused(self, timeout_s: float, since_s: float) -> None:
        """Closes the connections that deliver nothing of a request.

        Args:
            timeout_s: How long they may wait.
            since_s: Earlier waiting does not count; by the loop's clock.
        """
        latest_s = asyncio.get_running_loop().time() - timeout_s
        if since_s > latest_s:
            return
        for connection in list(self._waiting):
            if connection.head is None and connection.waits_since_s <= latest_s:
                self.end(connection)

    def _read(self, connection: PlainConnection) -> None:
        """Reads what has arrived; an error ends only this connection."""
        try:
            self._receive(connection)
        except OSError as error:
            # The sender repeats a request that got no response.
            _LOG.debug("connection ended: {!r}", error)
            self.end(connection)
        except Exception as error:
            _guard.report_error("a connection", error)
            self.end(connection)

    def _receive(self, connection: PlainConnection) -> None:
        try:
            data = connection.socket.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        if not data:
            self.end(connection)
            return
        if connection.received:
            data = connection.received + data
        head = connection.head or _small_requests.read_head(data)
        if head is None or len(data) > head.end:
            self.remove(connection)
            self._hand_over(connection.socket, data)
        elif len(data) == head.end:
            connection.received = b""
            connection.head = None
            self._handle(connection, head, data[head.body_start :])
        else:
            connection.received = data
            if connection.head is None:
                connection.head = head
                # The rest may take as long as a request.
                self.restart_wait(connection)
