"""A UDP socket that several tasks may send on; errors are lost datagrams."""

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from bluebelltide import _types


class UdpSocket:
    """An open UDP socket."""

    def __init__(self, opened: anyio.abc.UDPSocket) -> None:
        """Wraps a socket; use `open_datagrams`."""
        self._socket = opened
        self._lock = anyio.Lock()

    async def send(self, data: bytes, address: _types.Address) -> bool:
        """Sends a datagram.

        A datagram that cannot be sent is a lost one, which its sender sends
        again; it must not end the process.

        Args:
            data: The datagram.
            address: The receiver.

        Returns:
            Whether the system took it.
        """
        try:
            async with self._lock:
                await self._socket.sendto(data, *address)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return False
        return True

    async def receive_forever(
        self, handle: Callable[[bytes], Awaitable[None]]
    ) -> None:
        """Hands over each datagram until the socket is closed."""
        while True:
            try:
                data, _ = await self._socket.receive()
            except (anyio.ClosedResourceError, anyio.EndOfStream):
                return
            except (OSError, anyio.BrokenResourceError):
                # An earlier datagram was refused by its receiver's system.
                await anyio.sleep(0)
                continue
            await handle(data)

    async def close(self) -> None:
        """Closes the socket."""
        await self._socket.aclose()


async def open_udp_socket(address: _types.Address) -> UdpSocket:
    """Opens a UDP socket.

    Args:
        address: Where to receive.

    Returns:
        The socket.
    """
    opened = await anyio.create_udp_socket(
        local_host=address.host, local_port=address.port
    )
    return UdpSocket(opened)
