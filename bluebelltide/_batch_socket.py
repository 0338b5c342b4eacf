"""UDP sockets that are read in batches, without a task for each datagram."""

import asyncio
from collections.abc import Callable
import socket

from bluebelltide import _guard
from bluebelltide import _types

BATCH_DATAGRAMS = 64
"""How many datagrams are read before control returns to the event loop."""
MAXIMUM_DATAGRAM_BYTES = 65_535
"""The maximum size of a received datagram."""
SOCKET_BUFFER_BYTES = 1024 * 1024
"""The receive buffer that the system keeps while the process is busy."""

DatagramHandler = Callable[[bytes, tuple[str, int]], None]
"""Handles a datagram and its sender's address; must not block."""


class BatchSocket:
    """A non-blocking UDP socket that passes datagrams to a handler."""

    def __init__(
        self, udp_socket: socket.socket, handle: DatagramHandler
    ) -> None:
        """Wraps a bound socket; use `open_batch_socket`."""
        self._socket = udp_socket
        self._handle = handle

    def start(self) -> None:
        """Starts to read datagrams on the running event loop."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._read_batch)

    def read_pending(self) -> None:
        """Handles all datagrams that have arrived by now."""
        while self._read_batch():
            pass

    def _read_batch(self) -> bool:
        """Handles a batch; returns whether more may have arrived."""
        receive = self._socket.recvfrom
        handle = self._handle
        for _ in range(BATCH_DATAGRAMS):
            try:
                data, sender = receive(MAXIMUM_DATAGRAM_BYTES)
            except BlockingIOError:
                return False
            except OSError:
                # The receiver of an earlier datagram refused it (ICMP error).
                continue
            try:
                handle(data, sender)
            except Exception as error:
                # One datagram must not cost the others of the batch.
                _guard.report_error("a datagram", error, str(sender))
        return True

    def send(self, data: bytes, address: tuple[str, int]) -> bool:
        """Sends a datagram; returns False if the system rejects it."""
        try:
            self._socket.sendto(data, address)
        except (OSError, OverflowError, ValueError):
            # A port out of range raises OverflowError, and a host that is no
            # text of an address raises ValueError.
            return False
        return True

    def close(self) -> None:
        """Stops reading and closes the socket."""
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()


def open_batch_socket(
    address: _types.Address, handle: DatagramHandler
) -> BatchSocket:
    """Opens a UDP socket.

    Args:
        address: The address to bind.
        handle: The handler of received datagrams.

    Returns:
        The socket; `start` starts reading.
    """
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.setblocking(False)
    udp_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES
    )
    udp_socket.bind(address)
    return BatchSocket(udp_socket, handle)
