"""Calls to control replicas: a request and its answer on a TCP connection.

Each call uses a new connection. A connection that stalls or is reset affects
one call only, and there is no connection state to monitor. Calls are rare, so
the cost of a TCP handshake for each does not matter.
"""

from collections.abc import Awaitable, Callable
import struct
from typing import NamedTuple

import anyio
import anyio.abc

from bluebelltide import _codec
from bluebelltide import _exceptions
from bluebelltide import _guard
from bluebelltide import _types
from bluebelltide.catalogue import _register

MAXIMUM_FRAME_BYTES = 8 * 1024 * 1024
"""Upper bound of the size of a request or an answer."""
SERVE_TIMEOUT_S = 10.0
"""Time limit for serving a call: receiving, handling and answering it."""
_FAILURES = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    _exceptions.BluebelltideError,
)
"""The errors that end a call without an answer; a timeout is an OSError."""
_LENGTH = struct.Struct(">I")
"""The length of the frame that follows, in bytes."""


class Query(NamedTuple):
    """Asks a voter which state it has accepted, without a Prepare."""

    key: str
    """The register's key."""


class QueryAnswer(NamedTuple):
    """What a voter has accepted."""

    accepted_ballot: _register.Ballot
    """The ballot of the accepted state, which identifies the state."""
    encoded_version: int
    """The version of the accepted state, encoded by `encode_version`."""
    voters_version: int
    """The version of the voter set that the voter uses."""

    @property
    def version(self) -> int | None:
        """The version of the accepted state, None if the voter has none."""
        return _register.decode_version(self.encoded_version)


class Fetch(NamedTuple):
    """Asks any replica for the newest state of a register."""

    key: str
    """The register's key."""
    may_be_unconfirmed: bool = False
    """Whether the answer may hold an unconfirmed state: one that the replica
    does not yet know to be committed, nor to be the newest."""


class Fetched(NamedTuple):
    """Answers a Fetch."""

    state: _register.RegisterState
    """The state, in which nothing is stored if the replica knows none."""
    is_committed: bool = True
    """Whether the replica knows that the state is committed."""


Request = _register.Prepare | _register.Accept | Query | Fetch
Answer = (
    _register.Promise
    | _register.Accepted
    | _register.Rejected
    | QueryAnswer
    | Fetched
)


class _Envelope(NamedTuple):
    """A message and, for a request, the identity of its receiver."""

    kind: str
    receiver: str
    body: object


_TYPES: dict[str, type[Request | Answer]] = {
    kind.__name__: kind
    for kind in (
        _register.Prepare,
        _register.Accept,
        Query,
        Fetch,
        _register.Promise,
        _register.Accepted,
        _register.Rejected,
        QueryAnswer,
        Fetched,
    )
}
"""The message types, by the name under which they are sent."""

RequestHandler = Callable[[str, Request], Awaitable[Answer | None]]
"""Answers a request, given its receiver's identity and the request. If it
returns None, no answer is sent."""


def _pack(message: Request | Answer, receiver: str) -> bytes:
    name = type(message).__name__
    envelope = [name, receiver, _codec.to_plain(message)]
    data = _codec.encode(envelope)
    return _LENGTH.pack(len(data)) + data


async def _read_frame(stream: anyio.abc.ByteReceiveStream) -> bytes:
    buffer = bytearray()
    while True:
        if len(buffer) >= _LENGTH.size:
            (size_bytes,) = _LENGTH.unpack_from(buffer)
            if size_bytes > MAXIMUM_FRAME_BYTES:
                raise _exceptions.BluebelltideError(
                    _exceptions.ErrorCode.TOO_LARGE,
                    f"expected at most {MAXIMUM_FRAME_BYTES} bytes",
                )
            if len(buffer) >= _LENGTH.size + size_bytes:
                return bytes(buffer[_LENGTH.size : _LENGTH.size + size_bytes])
        buffer += await stream.receive()


def _unpack(data: bytes, source: str) -> tuple[str, Request | Answer]:
    plain = _codec.decode(data, source)
    envelope = _codec.from_plain(plain, _Envelope, source)
    message_type = _TYPES.get(envelope.kind)
    if message_type is None:
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.BAD_FRAME,
            f"unknown message kind {envelope.kind!r}",
            source,
        )
    body = _codec.from_plain(envelope.body, message_type, source)
    return envelope.receiver, body


async def call(
    address: _types.Address,
    receiver: str,
    request: Request,
    timeout_ms: int,
    local_host: str = "",
) -> Answer | None:
    """Sends a request to a control replica and waits for the answer.

    Args:
        address: The address that the replica listens on.
        receiver: The identity of the replica that must answer; empty for any.
        request: The request.
        timeout_ms: How long the whole call may take.
        local_host: The local address to connect from; if empty, the operating
            system chooses it.

    Returns:
        The answer, or None if there was none in time.
    """
    try:
        with anyio.fail_after(timeout_ms / 1000):
            async with await anyio.connect_tcp(
                *address, local_host=local_host or None
            ) as stream:
                await stream.send(_pack(request, receiver))
                _, answer = _unpack(await _read_frame(stream), str(address))
    except _FAILURES:
        # A failed call counts as one without an answer: a proposal needs only
        # the answers of a quorum, and a later update starts a fetch again.
        return None
    if isinstance(answer, Request):
        return None
    return answer


async def serve_call(
    stream: anyio.abc.ByteStream, handler: RequestHandler
) -> None:
    """Serves the single call of a connection, then closes the connection.

    Args:
        stream: The connection.
        handler: Answers the request.
    """
    async with stream:
        try:
            with anyio.fail_after(SERVE_TIMEOUT_S):
                receiver, request = _unpack(await _read_frame(stream), "call")
                if not isinstance(request, Request):
                    return
                answer = await handler(receiver, request)
                if answer is not None:
                    await stream.send(_pack(answer, ""))
        except _FAILURES:
            # The sender treats the closed connection as no answer.
            return
        except Exception as error:
            # An unexpected error ends this call, not the process.
            _guard.report_error("a call", error)
