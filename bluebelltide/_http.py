"""Shared parts of the Starlette HTTP APIs: limits, tokens and serving."""

from collections.abc import AsyncIterator, Iterator
import contextlib
import json
import socket
from typing import Any

import anyio
from starlette import applications
from starlette import requests
import uvicorn

from bluebelltide import _exceptions
from bluebelltide import _types

MAXIMUM_BODY_BYTES = 64 * 1024
"""The maximum size of a request body."""


class _Server(uvicorn.Server):
    """A server that does not handle signals; the program handles them."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


def bearer_token(request: requests.Request) -> str:
    """Returns the bearer token of a request, or an empty string."""
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    return token if scheme.lower() == "bearer" else ""


def error_body(error: _exceptions.BluebelltideError) -> dict[str, str]:
    """Returns the JSON form of an error."""
    return {
        "code": error.code.value,
        "message": error.message,
        "place": error.place,
    }


async def read_json(request: requests.Request) -> dict[str, Any]:
    """Reads a JSON object of limited size from a request.

    Args:
        request: The request.

    Returns:
        The object.

    Raises:
        BluebelltideError: With TOO_LARGE if the body exceeds the limit, or
            BAD_REQUEST if it is not a JSON object.
    """
    body = b""
    async for chunk in request.stream():
        body += chunk
        if len(body) > MAXIMUM_BODY_BYTES:
            raise _exceptions.BluebelltideError(
                _exceptions.ErrorCode.TOO_LARGE,
                f"expected at most {MAXIMUM_BODY_BYTES} bytes",
                "body",
            )
    try:
        parsed = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.BAD_REQUEST, str(error), "body"
        ) from error
    if not isinstance(parsed, dict):
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.BAD_REQUEST, "expected an object", "body"
        )
    return parsed


def open_listener(address: _types.Address) -> socket.socket:
    """Opens a non-blocking listening TCP socket.

    Args:
        address: The address to listen on.

    Returns:
        The socket.

    Raises:
        BluebelltideError: With PORT_IN_USE if the socket cannot be bound.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind(address)
        listener.listen(1024)
    except OSError as error:
        listener.close()
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.PORT_IN_USE, str(error), str(address)
        ) from error
    listener.setblocking(False)
    return listener


@contextlib.asynccontextmanager
async def serve_http(
    address: _types.Address, application: applications.Starlette
) -> AsyncIterator[_types.Address]:
    """Serves an application while the context is open.

    Args:
        address: The address to listen on; port 0 picks a free port.
        application: The application to serve.

    Yields:
        The address that the server listens on.

    Raises:
        BluebelltideError: With PORT_IN_USE if the socket cannot be bound.
    """
    listener = open_listener(address)
    config = uvicorn.Config(
        application,
        log_config=None,
        lifespan="off",
        timeout_graceful_shutdown=1,
        limit_concurrency=512,
    )
    server = _Server(config)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, [listener])
        try:
            port = listener.getsockname()[1]
            yield _types.Address(address.host, port)
        finally:
            server.should_exit = True
