"""Loopback proxies in front of each machine, and what they do to links.

Other processes know a machine by its proxy's address. The address that a
datagram or connection comes from tells the sender, so each direction between
two machines can be harmed on its own.
"""

import asyncio
import random
import socket
import struct
from typing import NamedTuple

import anyio
import anyio.abc

from bluebelltide import _batch_socket
from bluebelltide import _types

READ_BYTES = 65_536
"""How much is read from a connection at once."""
HELD_POLL_S = 0.05
"""How often bytes that a cut holds up look whether it is over."""
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""The socket option that resets a connection instead of closing it."""


class LinkState(NamedTuple):
    """What is wrong with one direction between two machines."""

    lost_share: float = 0.0
    """The share of datagrams that is lost; at 1 connections hang, too."""
    delay_s: float = 0.0
    """How much longer everything takes."""
    is_silent: bool = False
    """Whether connections are accepted and carry nothing."""
    is_reset: bool = False
    """Whether connections are reset."""


CLEAR = LinkState()
"""A link without faults."""


def _worse(first: LinkState, second: LinkState) -> LinkState:
    return LinkState(
        max(first.lost_share, second.lost_share),
        max(first.delay_s, second.delay_s),
        first.is_silent or second.is_silent,
        first.is_reset or second.is_reset,
    )


class Links:
    """The state of all directed links; faults on one link overlap."""

    def __init__(self) -> None:
        """Creates links without faults."""
        self._faults: dict[int, tuple[frozenset[tuple[str, str]], LinkState]]
        self._faults = {}
        self._next_fault = 0

    def harm(self, pairs: frozenset[tuple[str, str]], state: LinkState) -> int:
        """Adds a fault.

        Args:
            pairs: The bound hosts of senders and receivers.
            state: What is wrong.

        Returns:
            The number with which `mend` ends the fault.
        """
        self._next_fault += 1
        self._faults[self._next_fault] = (pairs, state)
        return self._next_fault

    def mend(self, fault: int) -> None:
        """Ends a fault."""
        del self._faults[fault]

    def state(self, sender: str, receiver: str) -> LinkState:
        """Returns what is wrong with a direction."""
        state = CLEAR
        for pairs, fault in self._faults.values():
            if (sender, receiver) in pairs:
                state = _worse(state, fault)
        return state


class Proxy:
    """Carries what other machines send to one machine."""

    def __init__(
        self,
        links: Links,
        front: _types.Address,
        behind: _types.Address,
        draw: random.Random,
    ) -> None:
        """Creates the proxy; `start` opens its sockets.

        Args:
            links: What is wrong with the links.
            front: Where other machines send to.
            behind: Where the machine's process receives.
            draw: Decides which datagrams are lost.
        """
        self._links = links
        self._front = front
        self._behind = behind
        self._draw = draw
        self._socket: _batch_socket.BatchSocket | None = None

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Opens the sockets; `tasks` runs the connections."""
        self._socket = _batch_socket.open_batch_socket(
            self._front, self._on_datagram
        )
        self._socket.start()
        listener = await anyio.create_tcp_listener(
            local_host=self._front.host, local_port=self._front.port
        )
        tasks.start_soon(listener.serve, self._serve)

    def close(self) -> None:
        """Closes the datagram socket."""
        if self._socket is not None:
            self._socket.close()

    def _on_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        assert self._socket is not None
        state = self._links.state(sender[0], self._behind.host)
        if self._draw.random() < state.lost_share:
            return
        if state.delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(
                state.delay_s, self._socket.send, data, self._behind
            )
        else:
            self._socket.send(data, self._behind)

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        sender = stream.extra(anyio.abc.SocketAttribute.remote_address)[0]
        try:
            async with stream:
                await self._connect(stream, str(sender))
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            # Either end went away, as processes in a soak do.
            return

    async def _connect(
        self, stream: anyio.abc.SocketStream, sender: str
    ) -> None:
        host = self._behind.host
        while self._links.state(sender, host).lost_share >= 1:
            await anyio.sleep(HELD_POLL_S)
        async with (
            await anyio.connect_tcp(*self._behind) as onward,
            anyio.create_task_group() as pumps,
        ):
            pumps.start_soon(self._pump, stream, onward, sender, host)
            pumps.start_soon(self._pump, onward, stream, host, sender)

    async def _pump(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        sender: str,
        receiver: str,
    ) -> None:
        """Carries one direction of a connection until it ends."""
        try:
            while True:
                data = await source.receive(READ_BYTES)
                await self._hold(sender, receiver, source, sink)
                await sink.send(data)
        except (OSError, anyio.EndOfStream, anyio.ClosedResourceError):
            pass
        except anyio.BrokenResourceError:
            _reset_on_close(sink)
        await sink.aclose()

    async def _hold(
        self,
        sender: str,
        receiver: str,
        *streams: anyio.abc.SocketStream,
    ) -> None:
        """Waits while a fault keeps bytes from going on."""
        while True:
            state = self._links.state(sender, receiver)
            if state.is_reset:
                for stream in streams:
                    _reset_on_close(stream)
                raise anyio.ClosedResourceError
            if not state.is_silent and state.lost_share < 1:
                await anyio.sleep(state.delay_s)
                return
            await anyio.sleep(HELD_POLL_S)


def _reset_on_close(stream: anyio.abc.SocketStream) -> None:
    opened = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
