"""A stand-in caller that checks every answer."""

from typing import NamedTuple

import anyio

from bluebelltide import _types


class Answer(NamedTuple):
    """What a caller received on one flow."""

    service: str
    """The service that answered; empty if none did."""
    target_id: str
    """The target that answered."""
    runs: int
    """How often that target has run the request id."""
    is_whole: bool
    """Whether the whole answer arrived and the connection closed cleanly."""
    was_refused: bool
    """Whether the caller received the refusal text instead."""


NO_ANSWER = Answer("", "", 0, False, False)


async def call(
    address: _types.Address,
    request_id: str,
    size_bytes: int = 100,
    delay_ms: int = 0,
    method: str = "GET",
    refusal: bytes = b"",
    timeout_s: float = 60,
) -> Answer:
    """Sends one request on a flow of its own.

    Args:
        address: The address to connect to.
        request_id: The id under which the target counts runs.
        size_bytes: The size of the answer.
        delay_ms: The time over which the target spreads its answer.
        method: `GET` or `POST`.
        refusal: The service's refusal text; empty if it has none.
        timeout_s: How long to wait for the complete answer.

    Returns:
        What the caller received; `NO_ANSWER` if no valid answer arrived.
    """
    data = b""
    try:
        with anyio.fail_after(timeout_s):
            async with await anyio.connect_tcp(*address) as stream:
                request_line = (
                    f"{method} {request_id} {size_bytes} {delay_ms}\n"
                )
                await stream.send(request_line.encode())
                while True:
                    data += await stream.receive()
    except anyio.EndOfStream:
        pass
    except (OSError, TimeoutError, anyio.BrokenResourceError):
        return NO_ANSWER
    return _parse(data, request_id, size_bytes, refusal)


def _parse(
    data: bytes, request_id: str, size_bytes: int, refusal: bytes
) -> Answer:
    if refusal and data == refusal:
        return NO_ANSWER._replace(was_refused=True)
    answer_line, separator, body = data.partition(b"\n")
    fields = answer_line.decode(errors="replace").split()
    if not separator or len(fields) != 5:
        return NO_ANSWER
    service, target_id, answered_id, runs, size_text = fields
    is_whole = (
        answered_id == request_id
        and int(size_text) == size_bytes
        and len(body) == size_bytes
    )
    return Answer(service, target_id, int(runs), is_whole, False)
