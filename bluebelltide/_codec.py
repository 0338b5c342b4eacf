"""Encodes typed records as CBOR and checks types when it decodes them."""

from typing import Any, TypeVar

import cbor2
import msgspec

from bluebelltide import _exceptions

RecordT = TypeVar("RecordT")

_SHORT_LIST_LENGTH = 24
"""CBOR encodes the length of a list with fewer items in its first byte."""
_SHORT_LIST = 0x80
"""The first byte of such a list, to which its length is added."""
_LIST_WITH_LENGTH_BYTE = 0x98
"""The first byte of a list whose length is in the second byte."""

_DECODE_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    RecursionError,
    OverflowError,
    msgspec.ValidationError,
    cbor2.CBORDecodeError,
)


def to_plain(record: object) -> Any:  # noqa: ANN401
    """Converts a record into plain values: lists, strings, numbers, bytes."""
    return msgspec.to_builtins(record, builtin_types=(bytes,))


def encode(plain: object) -> bytes:
    """Encodes plain values as CBOR."""
    data: bytes = cbor2.dumps(plain)
    return data


def encode_list_head(count: int) -> bytes:
    """Encodes the bytes before the items of a list; at most 255 items."""
    if count < _SHORT_LIST_LENGTH:
        return bytes((_SHORT_LIST | count,))
    return bytes((_LIST_WITH_LENGTH_BYTE, count))


def encode_items(items: list[object]) -> bytes:
    """Encodes the items of a list without its head; at most 255 items."""
    return encode(items)[len(encode_list_head(len(items))) :]


def decode(data: bytes, source: str) -> Any:  # noqa: ANN401
    """Decodes CBOR into plain values.

    Args:
        data: The bytes to decode.
        source: Where the bytes come from, for the error: a file or a peer,
            or the kind of message.

    Returns:
        The plain values.

    Raises:
        BluebelltideError: With BAD_FRAME if the bytes are malformed.
    """
    try:
        return cbor2.loads(data)
    except _DECODE_ERRORS as error:
        raise _bad_frame(error, source) from error


def from_plain(
    plain: object, record_type: type[RecordT], source: str
) -> RecordT:
    """Converts plain values into a record, checking each type.

    Args:
        plain: The plain values, as `decode` returns them.
        record_type: The type of the record.
        source: Where the values come from, for the error; see `decode`.

    Returns:
        The record.

    Raises:
        BluebelltideError: With BAD_FRAME if the values do not match the type.
    """
    try:
        return msgspec.convert(plain, record_type)
    except _DECODE_ERRORS as error:
        raise _bad_frame(error, source) from error


def _bad_frame(error: Exception, source: str) -> _exceptions.BluebelltideError:
    return _exceptions.BluebelltideError(
        _exceptions.ErrorCode.BAD_FRAME, repr(error), source
    )
