"""Reads the heads of plain HTTP/1.1 requests without h11.

Only requests in the form that nearly all clients send are read here. Whatever
this module does not recognize is left to h11, which also decides how malformed
requests are answered. What is read here, h11 reads in the same way.
"""

import re
from typing import NamedTuple

MAXIMUM_BODY_BYTES = 32_768
"""The maximum size of a body that is read here."""

_HEAD = re.compile(
    rb"(GET|PUT|POST|DELETE) ([\x21-\x7e]+) HTTP/1\.1\r\n"
    rb"((?:[-!#$%&'*+.^_`|~0-9a-zA-Z]+:[\x20-\x7e\t]*\r\n)+)\r\n"
)
"""The request line and the headers. Methods whose responses have no body,
folded headers, bare line feeds and bytes beyond ASCII are left to h11."""
_REFUSED_NAMES = frozenset({b"transfer-encoding", b"expect", b"upgrade"})
"""Headers that change how a request is read or answered."""
_BLANKS = b" \t"
_MAXIMUM_LENGTH_DIGITS = 5


class RequestHead(NamedTuple):
    """The head of a request on a connection that stays open."""

    method: str
    """The method in upper case."""
    path: str
    """The path without the query."""
    body_start: int
    """The number of bytes before the body."""
    end: int
    """The number of bytes of the request."""


def read_head(data: bytes) -> RequestHead | None:
    """Reads the head of a request.

    Args:
        data: What a connection has delivered since its previous request.

    Returns:
        The head, or None if the head is incomplete or is left to h11.
    """
    match = _HEAD.match(data)
    if match is None:
        return None
    body_length = _read_body_length(match[3])
    if body_length is None:
        return None
    return RequestHead(
        match[1].decode("ascii"),
        match[2].partition(b"?")[0].decode("ascii"),
        match.end(),
        match.end() + body_length,
    )


def _read_body_length(header_lines: bytes) -> int | None:
    """Returns the length of the body, None if the request is left to h11."""
    host_count = 0
    body_length = None
    for line in header_lines.lower().split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name == b"host":
            host_count += 1
        elif name == b"content-length":
            digits = value.strip(_BLANKS)
            is_number = digits.isdigit()
            if not is_number or len(digits) > _MAXIMUM_LENGTH_DIGITS:
                return None
            if body_length is not None:
                # Two lengths are how requests are smuggled past a proxy.
                return None
            body_length = int(digits)
        elif name == b"connection":
            if value.strip(_BLANKS) != b"keep-alive":
                return None
        elif name in _REFUSED_NAMES:
            return None
    if host_count != 1:
        return None
    if body_length is None:
        return 0
    return body_length if body_length <= MAXIMUM_BODY_BYTES else None
