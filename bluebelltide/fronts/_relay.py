"""Packets that one instance relays to another, authenticated.

A relayed datagram is a tag, a length, a CBOR header and the packet. The tag is
a keyed BLAKE2b of all the rest. Keys come from a file, one in each line: the
first signs, all are accepted, so a key is rotated by putting the new one below
the old, then above it, then taking the old one out.
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
LENGTH = struct.Struct(">H")
"""Length of the header in bytes."""


class RelayHeader(NamedTuple):
    """What travels with a relayed packet."""

    via: _types.InstanceId
    """The instance that relays it."""
    hops: int
    """How often it has been relayed, this time included."""
    record: flows.FlowRecord | None
    """What the receiver must record first."""


class KeyFile:
    """Keys that are read again when their file changes."""

    def __init__(self, path: str) -> None:
        """Reads the file.

        Args:
            path: The file.

        Raises:
            BluebelltideError: With BAD_SETTINGS if it holds no key.
        """
        self._path = pathlib.Path(path)
        self._changed_ns = -1
        self.keys: tuple[bytes, ...] = ()
        self.refresh()

    def refresh(self) -> None:
        """Reads the file again if it has changed."""
        try:
            changed_ns = self._path.stat().st_mtime_ns
            if changed_ns == self._changed_ns:
                return
            lines = self._path.read_bytes().split()
        except OSError as error:
            lines = []
            changed_ns = self._changed_ns
            if not self.keys:
                raise _exceptions.BluebelltideError(
                    _exceptions.ErrorCode.BAD_SETTINGS,
                    str(error),
                    str(self._path),
                ) from error
        self._changed_ns = changed_ns
        if lines:
            # An empty or missing file while the process runs keeps the keys:
            # a rotation that is half done must not cut the relays.
            self.keys = tuple(line[:64] for line in lines)
        elif not self.keys:
            raise _exceptions.BluebelltideError(
                _exceptions.ErrorCode.BAD_SETTINGS,
                "expected one key in each line, found none",
                str(self._path),
            )


def _tag(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, key=key, digest_size=TAG_BYTES).digest()


def wrap_packet(header: RelayHeader, packet: bytes, key: bytes) -> bytes:
    """Returns the datagram that carries a packet to another instance."""
    encoded = _codec.encode(_codec.to_plain(header))
    body = LENGTH.pack(len(encoded)) + encoded + packet
    return _tag(key, body) + body


def unwrap_packet(
    datagram: bytes, keys: tuple[bytes, ...]
) -> tuple[RelayHeader, bytes] | None:
    """Checks a relayed datagram.

    Args:
        datagram: What arrived.
        keys: The accepted keys.

    Returns:
        The header and the packet, or None if no key fits or it is malformed.
    """
    tag, body = datagram[:TAG_BYTES], datagram[TAG_BYTES:]
    if not any([hmac.compare_digest(_tag(key, body), tag) for key in keys]):
        return None
    try:
        (size,) = LENGTH.unpack_from(body)
        start = LENGTH.size
        plain = _codec.decode(body[start : start + size], "relay")
        header = _codec.from_plain(plain, RelayHeader, "relay")
    except (struct.error, _exceptions.BluebelltideError):
        return None
    return header, body[start + size :]
