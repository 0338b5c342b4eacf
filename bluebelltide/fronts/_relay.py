"""Authenticated datagrams that carry a packet from one instance to another.

A relayed datagram consists of an authentication tag, the length of the header,
a CBOR header and the packet. The tag is a keyed BLAKE2b hash of all that
follows it. Keys come from a file, one in each line. The first key signs and
all are accepted, so a key is rotated in three steps: add the new key below the
old one, move it above the old one, remove the old one. BLAKE2b allows keys of
at most 64 bytes, so the rest of a longer key is ignored.
"""

import hashlib
import hmac
import pathlib
import struct
from typing import NamedTuple

from bluebelltide import _codec
from bluebelltide import _exceptions
from bluebelltide import _types
from bluebelltide import flows

TAG_BYTES = 16
"""Length of the authentication tag."""
HEADER_LENGTH = struct.Struct(">H")
"""The encoded length of the header in bytes."""


class RelayHeader(NamedTuple):
    """The header of a relayed packet."""

    via: _types.InstanceId
    """The instance that relays the packet."""
    hops: int
    """How often the packet has been relayed, including this time."""
    record: flows.FlowRecord | None
    """The flow that the receiver must record before it delivers the packet."""


class KeyFile:
    """The relay keys in a file, reloaded when the file changes.

    Attributes:
        keys: The accepted keys; the first one signs.
    """

    def __init__(self, path: str) -> None:
        """Reads the file.

        Args:
            path: The path of the file.

        Raises:
            BluebelltideError: With BAD_SETTINGS if the file cannot be read or
                holds no key.
        """
        self._path = pathlib.Path(path)
        self._modified_ns = -1
        self.keys: tuple[bytes, ...] = ()
        self.refresh()

    def refresh(self) -> None:
        """Reads the file again if its modification time has changed."""
        try:
            modified_ns = self._path.stat().st_mtime_ns
            if modified_ns == self._modified_ns:
                return
            lines = self._path.read_bytes().split()
        except OSError as error:
            lines = []
            modified_ns = self._modified_ns
            if not self.keys:
                raise _exceptions.BluebelltideError(
                    _exceptions.ErrorCode.BAD_SETTINGS,
                    str(error),
                    str(self._path),
                ) from error
        self._modified_ns = modified_ns
        if lines:
            # If the file becomes empty or unreadable, the keys stay in use: an
            # unfinished rotation must not interrupt relaying.
            self.keys = tuple(line[:64] for line in lines)
        elif not self.keys:
            raise _exceptions.BluebelltideError(
                _exceptions.ErrorCode.BAD_SETTINGS,
                "expected one key in each line, found none",
                str(self._path),
            )


def _compute_tag(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, key=key, digest_size=TAG_BYTES).digest()


def wrap_packet(header: RelayHeader, packet: bytes, key: bytes) -> bytes:
    """Returns the datagram that relays a packet to another instance."""
    encoded = _codec.encode(_codec.to_plain(header))
    body = HEADER_LENGTH.pack(len(encoded)) + encoded + packet
    return _compute_tag(key, body) + body


def unwrap_packet(
    datagram: bytes, keys: tuple[bytes, ...]
) -> tuple[RelayHeader, bytes] | None:
    """Authenticates and decodes a relayed datagram.

    Args:
        datagram: The received datagram.
        keys: The accepted keys.

    Returns:
        The header and the packet, or None if the tag matches no key or the
        datagram is malformed.
    """
    tag, body = datagram[:TAG_BYTES], datagram[TAG_BYTES:]
    if not any(
        [hmac.compare_digest(_compute_tag(key, body), tag) for key in keys]
    ):
        return None
    try:
        (size_bytes,) = HEADER_LENGTH.unpack_from(body)
        start = HEADER_LENGTH.size
        plain = _codec.decode(body[start : start + size_bytes], "relay")
        header = _codec.from_plain(plain, RelayHeader, "relay")
    except (struct.error, _exceptions.BluebelltideError):
        return None
    return header, body[start + size_bytes :]
