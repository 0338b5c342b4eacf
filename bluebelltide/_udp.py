"""A UDP socket that several tasks send on; a failed send loses a datagram."""

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from bluebelltide import _guard
from bluebelltide import _types


class UdpSocket:
    """An open UDP socket that several tasks may use."""

    def __init__(self, udp_socket: anyio.abc.UDPSocket) -> None:
        """Wraps a socket; use `open_udp_socket`."""
        self._socket = udp_socket
        self._send_lock = anyio.Lock()

    async def send(self, data: bytes, address: _types.Address) -> bool:
        """Sends a datagram.

        A datagram that cannot be sent counts as lost, and its original sender
        retransmits it. An error here must not end the process.

        Args:
            data: The datagram.
            address: The address of the receiver.

        Returns:
            Whether the system accepted the datagram.
        """
        try:
            async with self._send_lock:
                await self._socket.sendto(data, *address)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return False
        return True

    async def receive_forever(
        self, handle: Callable[[bytes], Awaitable[None]]
    ) -> None:
        """Passes each datagram to a handler until the socket is closed."""
        while True:
            try:
                data, _ = await self._socket.receive()
            except (anyio.ClosedResourceError, anyio.EndOfStream):
                return
            except (OSError, anyio.BrokenResourceError):
                # The receiver of an earlier datagram refused it (ICMP error).
                await anyio.sleep(0)
                continue
            with _guard.log_errors("a datagram"):
                await handle(data)

    async def close(self) -> None:
        """Closes the socket."""
        await self._socket.aclose()


async def open_udp_socket(address: _types.Address) -> UdpSocket:
    """Opens a UDP socket.

    Args:
        address: The address to bind.

    Returns:
        The socket.
    """
    udp_socket = await anyio.create_udp_socket(
        local_host=address.host, local_port=address.port
    )
    return UdpSocket(udp_socket)
