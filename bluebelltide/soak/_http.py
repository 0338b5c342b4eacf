"""HTTP calls of the stand-ins, each over a connection of its own."""

from typing import NamedTuple

import anyio
import h11

from bluebelltide import _types
from bluebelltide.soak import _adapter

TIMEOUT_S = 1.0
"""How long a call may take; the platform's callers have the same timeout."""
READ_BYTES = 65_536
"""The largest number of bytes to read at once."""


class Answer(NamedTuple):
    """A complete response."""

    status: int
    """The status code."""
    body: bytes
    """The body."""


async def make_call(
    address: _types.Address, call: _adapter.HttpCall, awaits_answer: bool = True
) -> Answer | None:
    """Makes a call.

    Args:
        address: The address of the program that is called.
        call: The request to send.
        awaits_answer: Whether to wait for the answer; if False, the call
            ends as if the answer had been lost on its way.

    Returns:
        The answer, or None if the call failed or no answer came in time.
    """
    try:
        with anyio.fail_after(TIMEOUT_S):
            async with await anyio.connect_tcp(*address) as stream:
                protocol = h11.Connection(h11.CLIENT)
                await stream.send(_encode(protocol, address, call))
                if not awaits_answer:
                    await anyio.sleep(TIMEOUT_S / 2)
                    return None
                return await _read(protocol, stream)
    except (OSError, anyio.EndOfStream, h11.ProtocolError):
        return None
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return None


def _encode(
    protocol: h11.Connection, address: _types.Address, call: _adapter.HttpCall
) -> bytes:
    headers = [
        ("host", str(address)),
        ("content-type", "application/json"),
        ("content-length", str(len(call.body))),
    ]
    request = h11.Request(method=call.method, target=call.path, headers=headers)
    data = protocol.send(request) or b""
    data += protocol.send(h11.Data(data=call.body)) or b""
    return data + (protocol.send(h11.EndOfMessage()) or b"")


async def _read(
    protocol: h11.Connection, stream: anyio.abc.SocketStream
) -> Answer:
    status = 0
    body = bytearray()
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await stream.receive(READ_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
        else:
            return Answer(status, bytes(body))
