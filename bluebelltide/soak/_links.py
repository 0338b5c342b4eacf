"""Loopback proxies in front of machines, which inject faults into links.

Other processes send to the address of a machine's proxy. The proxy knows the
sending machine from the source address of a datagram or connection, so each
direction between two machines can have faults of its own.
"""

import asyncio
import contextlib
import random
import socket
import struct
from typing import NamedTuple

import anyio
import anyio.abc

from bluebelltide import _batch_socket
from bluebelltide import _types

READ_BYTES = 65_536
"""The largest number of bytes to read from a connection at once."""
BLOCKED_POLL_S = 0.05
"""Time between two checks whether a blocked link carries data again."""
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""The linger option with which closing a socket resets its connection."""


class LinkState(NamedTuple):
    """The faults of one direction between two machines."""

    lost_share: float = 0.0
    """The share of datagrams that is lost; at 1, connections stall, too."""
    delay_s: float = 0.0
    """The delay that is added to all traffic."""
    is_silent: bool = False
    """Whether connections are accepted but carry no data."""
    is_reset: bool = False
    """Whether connections are reset."""


NO_FAULT = LinkState()
"""The state of a link without faults."""


def _combine(first: LinkState, second: LinkState) -> LinkState:
    return LinkState(
        max(first.lost_share, second.lost_share),
        max(first.delay_s, second.delay_s),
        first.is_silent or second.is_silent,
        first.is_reset or second.is_reset,
    )


class Links:
    """The state of all directed links; faults of one link may overlap."""

    def __init__(self) -> None:
        """Creates links without faults."""
        self._faults: dict[int, tuple[frozenset[tuple[str, str]], LinkState]]
        self._faults = {}
        self._last_fault_number = 0

    def add_fault(
        self, pairs: frozenset[tuple[str, str]], state: LinkState
    ) -> int:
        """Adds a fault.

        Args:
            pairs: The affected links, as bound hosts of sender and receiver.
            state: The state that the fault gives these links.

        Returns:
            The number with which `remove_fault` ends the fault.
        """
        self._last_fault_number += 1
        self._faults[self._last_fault_number] = (pairs, state)
        return self._last_fault_number

    def remove_fault(self, number: int) -> None:
        """Ends the fault of a number that `add_fault` returned."""
        del self._faults[number]

    def state(self, sender: str, receiver: str) -> LinkState:
        """Returns the combined faults of one directed link."""
        state = NO_FAULT
        for pairs, fault in self._faults.values():
            if (sender, receiver) in pairs:
                state = _combine(state, fault)
        return state


class Proxy:
    """Forwards the traffic of other machines to one machine's process."""

    def __init__(
        self,
        links: Links,
        listen_address: _types.Address,
        process_address: _types.Address,
        rng: random.Random,
    ) -> None:
        """Creates the proxy; `start` opens its sockets.

        Args:
            links: The state of the links.
            listen_address: The address that other machines send to.
            process_address: The address that the machine's process binds.
            rng: Decides which datagrams are lost.
        """
        self._links = links
        self._listen_address = listen_address
        self._process_address = process_address
        self._rng = rng
        self._socket: _batch_socket.BatchSocket | None = None

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Opens the sockets; `tasks` runs the forwarding of connections."""
        self._socket = _batch_socket.open_batch_socket(
            self._listen_address, self._on_datagram
        )
        self._socket.start()
        listener = await anyio.create_tcp_listener(
            local_host=self._listen_address.host,
            local_port=self._listen_address.port,
        )
        tasks.start_soon(listener.serve, self._handle_connection)

    def close(self) -> None:
        """Closes the datagram socket."""
        if self._socket is not None:
            self._socket.close()

    def _on_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        assert self._socket is not None
        state = self._links.state(sender[0], self._process_address.host)
        if self._rng.random() < state.lost_share:
            return
        if state.delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(
                state.delay_s, self._socket.send, data, self._process_address
            )
        else:
            self._socket.send(data, self._process_address)

    async def _handle_connection(self, stream: anyio.abc.SocketStream) -> None:
        sender = stream.extra(anyio.abc.SocketAttribute.remote_address)[0]
        try:
            async with stream:
                await self._forward_both_ways(stream, str(sender))
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            # A fault has ended the process at one end or the connection.
            return

    async def _forward_both_ways(
        self, stream: anyio.abc.SocketStream, sender: str
    ) -> None:
        host = self._process_address.host
        while self._links.state(sender, host).lost_share >= 1:
            await anyio.sleep(BLOCKED_POLL_S)
        async with (
            await anyio.connect_tcp(*self._process_address) as process_stream,
            anyio.create_task_group() as directions,
        ):
            directions.start_soon(
                self._forward, stream, process_stream, sender, host
            )
            directions.start_soon(
                self._forward, process_stream, stream, host, sender
            )

    async def _forward(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        sender: str,
        receiver: str,
    ) -> None:
        """Forwards one direction of a connection until it ends."""
        try:
            while True:
                data = await source.receive(READ_BYTES)
                await self._wait_while_blocked(sender, receiver, source, sink)
                await sink.send(data)
        except (OSError, anyio.EndOfStream, anyio.ClosedResourceError):
            pass
        except anyio.BrokenResourceError:
            _reset_on_close(sink)
        await sink.aclose()

    async def _wait_while_blocked(
        self,
        sender: str,
        receiver: str,
        *streams: anyio.abc.SocketStream,
    ) -> None:
        """Waits while a fault blocks the link, then for the link's delay.

        Args:
            sender: The bound host of the sending machine.
            receiver: The bound host of the receiving machine.
            *streams: Both streams of the connection, which a fault may reset.

        Raises:
            ClosedResourceError: If a fault resets the connection.
        """
        while True:
            state = self._links.state(sender, receiver)
            if state.is_reset:
                for stream in streams:
                    _reset_on_close(stream)
                raise anyio.ClosedResourceError
            if not state.is_silent and state.lost_share < 1:
                await anyio.sleep(state.delay_s)
                return
            await anyio.sleep(BLOCKED_POLL_S)


def _reset_on_close(stream: anyio.abc.SocketStream) -> None:
    """Makes the end of a connection a reset, unless it has ended already.

    Both directions close both streams, so the other one may have been faster.
    """
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    with contextlib.suppress(OSError):
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
