"""Tests of UDP sockets that are read in batches."""

import socket

import anyio
import pytest

from bluebelltide import _batch_socket
from bluebelltide import _types


def test_an_error_in_the_handler_does_not_cost_other_datagrams() -> None:
    received: list[bytes] = []

    def handle(data: bytes, sender: tuple[str, int]) -> None:
        if data == b"bad":
            raise KeyError("unexpected")
        received.append(data)

    async def run() -> None:
        udp_socket = _batch_socket.open_batch_socket(
            _types.Address("127.0.0.1", 0), handle
        )
        udp_socket.start()
        address = udp_socket._socket.getsockname()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for data in (b"one", b"bad", b"two"):
                sender.sendto(data, address)
        with anyio.fail_after(5):
            while len(received) < 2:
                await anyio.sleep(0.01)
        udp_socket.close()

    anyio.run(run)
    assert received == [b"one", b"two"]


@pytest.mark.parametrize("port", [-1, 0, 65_536, 2**40])
def test_a_datagram_to_an_impossible_port_is_not_sent(port: int) -> None:
    async def run() -> bool:
        udp_socket = _batch_socket.open_batch_socket(
            _types.Address("127.0.0.1", 0), lambda data, sender: None
        )
        udp_socket.start()
        try:
            return udp_socket.send(b"x", ("127.0.0.1", port))
        finally:
            udp_socket.close()

    assert not anyio.run(run)
