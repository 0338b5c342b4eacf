"""Datagram sockets that are read in batches, without a task for each packet."""

import asyncio
from collections.abc import Callable
import socket

from bluebelltide import _types

BATCH = 64
"""How many datagrams are read before other work gets its turn."""
MAXIMUM_DATAGRAM_BYTES = 65_535
"""The size of the receive buffer of one datagram."""
SOCKET_BUFFER_BYTES = 1024 * 1024
"""How much the system may queue while the process is busy."""

DatagramHandler = Callable[[bytes, tuple[str, int]], None]
"""Takes a datagram and the address that it came from; must not block."""


class BatchSocket:
    """A UDP socket of one process."""

    def __init__(self, opened: socket.socket, handle: DatagramHandler) -> None:
        """Wraps a bound socket; use `open_batch_socket`."""
        self._socket = opened
        self._handle = handle

    def start(self) -> None:
        """Begins to hand over datagrams on the running event loop."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._read_batch)

    def _read_batch(self) -> None:
        receive = self._socket.recvfrom
        handle = self._handle
        for _ in range(BATCH):
            try:
                data, sender = receive(MAXIMUM_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # An earlier datagram was refused by its receiver's system.
                continue
            handle(data, sender)

    def send(self, data: bytes, address: tuple[str, int]) -> bool:
        """Sends a datagram; returns False if the system refuses it."""
        try:
            self._socket.sendto(data, address)
        except OSError:
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
        address: Where to receive.
        handle: Takes each datagram.

    Returns:
        The socket; `start` begins reading.
    """
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    opened.bind(address)
    return BatchSocket(opened, handle)
