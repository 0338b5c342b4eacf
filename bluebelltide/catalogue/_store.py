"""Durable acceptor state: an append-only log with checksums and snapshots.

The data folder holds `identity`, one `snapshot-N` and one `log-N`. A log
record is durable once `write` returns. A torn record at the end of the log is
cut off; a wrong checksum anywhere else is refused.
"""

from collections.abc import Iterable
import contextlib
import os
import pathlib
import struct
from typing import BinaryIO, NamedTuple, TypeVar

import logbook
import xxhash

from bluebelltide import _codec
from bluebelltide import _exceptions
from bluebelltide.catalogue import _register

_LOG = logbook.Logger("store")

RecordT = TypeVar("RecordT")

RECORD_HEADER = struct.Struct(">IQ")
"""Length of the payload in bytes, then its 64-bit checksum."""
COMPACT_AFTER_BYTES = 4 * 1024 * 1024
"""Log size at which a snapshot replaces the log."""


class RecoveredState(NamedTuple):
    """What a replica finds in its data folder."""

    acceptor_states: dict[str, _register.AcceptorState]
    """Acceptor slots by key."""
    torn_bytes: int
    """How many bytes of a torn record were cut off."""


def encode_record(write: _register.AcceptorStateWrite) -> bytes:
    """Encodes one record with its length and checksum."""
    payload = _codec.encode(_codec.to_plain(write))
    checksum = xxhash.xxh3_64_intdigest(payload)
    return RECORD_HEADER.pack(len(payload), checksum) + payload


def decode_records(
    data: bytes, place: str
) -> tuple[list[_register.AcceptorStateWrite], int]:
    """Decodes a log or snapshot.

    Args:
        data: The file's bytes.
        place: The file's name, for errors.

    Returns:
        The records and how many bytes at the start were whole.

    Raises:
        BluebelltideError: With CORRUPT_STORE if a record that others follow
            has a wrong checksum.
    """
    records: list[_register.AcceptorStateWrite] = []
    offset = 0
    while offset + RECORD_HEADER.size <= len(data):
        size_bytes, checksum = RECORD_HEADER.unpack_from(data, offset)
        start = offset + RECORD_HEADER.size
        payload = data[start : start + size_bytes]
        if len(payload) < size_bytes:
            break
        if xxhash.xxh3_64_intdigest(payload) != checksum:
            if _has_valid_record(data, offset + 1):
                raise _exceptions.BluebelltideError(
                    _exceptions.ErrorCode.CORRUPT_STORE,
                    f"wrong checksum at byte {offset}; replace this replica",
                    place,
                )
            break
        plain = _codec.decode(payload, place)
        records.append(
            _codec.from_plain(plain, _register.AcceptorStateWrite, place)
        )
        offset = start + size_bytes
    return records, offset


def _has_valid_record(data: bytes, first: int) -> bool:
    """Returns whether a whole record starts at or after an offset.

    It tells a damaged record, which others follow, from a torn write at the
    end, of which any part may be missing.
    """
    for offset in range(first, len(data) - RECORD_HEADER.size):
        size_bytes, checksum = RECORD_HEADER.unpack_from(data, offset)
        start = offset + RECORD_HEADER.size
        payload = data[start : start + size_bytes]
        is_plausible = 0 < size_bytes == len(payload)
        if is_plausible and xxhash.xxh3_64_intdigest(payload) == checksum:
            return True
    return False


def _fsync_folder(folder: pathlib.Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_file_atomically(path: pathlib.Path, data: bytes) -> None:
    """Replaces a file so that a crash leaves the old or the new content.

    Args:
        path: The file.
        data: Its new content.
    """
    temporary = path.with_suffix(".new")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    _fsync_folder(path.parent)


def _file_generation(path: pathlib.Path) -> int:
    return int(path.name.rpartition("-")[2])


class Store:
    """The files of one replica; one process owns them at a time."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Names the folder; `start` opens it."""
        self._folder = folder
        self._log: BinaryIO | None = None
        self._log_bytes = 0
        self._generation = 0
        self._acceptor_states: dict[str, _register.AcceptorState] = {}
        self._may_have_torn_tail = False

    def start(self) -> RecoveredState:
        """Opens the folder and recovers the state.

        Returns:
            The slots and how many torn bytes were cut off.

        Raises:
            BluebelltideError: With CORRUPT_STORE if a checksum is wrong.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        snapshots = sorted(
            self._folder.glob("snapshot-*[0-9]"), key=_file_generation
        )
        if snapshots:
            newest = snapshots[-1]
            self._generation = _file_generation(newest)
            data = newest.read_bytes()
            records, whole = decode_records(data, str(newest))
            if whole != len(data):
                raise _exceptions.BluebelltideError(
                    _exceptions.ErrorCode.CORRUPT_STORE,
                    f"snapshot ends within a record at byte {whole}",
                    str(newest),
                )
            self._acceptor_states = {
                record.key: record.acceptor_state for record in records
            }
        torn_bytes = self._open_log()
        return RecoveredState(dict(self._acceptor_states), torn_bytes)

    def _open_log(self) -> int:
        path = self._folder / f"log-{self._generation}"
        data = path.read_bytes() if path.exists() else b""
        records, whole = decode_records(data, str(path))
        for record in records:
            self._acceptor_states[record.key] = record.acceptor_state
        log = path.open("ab")
        log.truncate(whole)
        os.fsync(log.fileno())
        _fsync_folder(self._folder)
        self._log = log
        self._log_bytes = whole
        return len(data) - whole

    def write(self, writes: Iterable[_register.AcceptorStateWrite]) -> None:
        """Makes slots durable; returns after the data is on disk.

        Args:
            writes: The slots to write, in order.

        Raises:
            OSError: If the disk refuses; the slots are then not stored, and
                the next write starts where the last good one ended.
        """
        assert self._log is not None
        pending = list(writes)
        data = b"".join(encode_record(write) for write in pending)
        if self._may_have_torn_tail:
            self._truncate_torn_tail()
        self._may_have_torn_tail = True
        self._log.write(data)
        self._log.flush()
        os.fsync(self._log.fileno())
        self._may_have_torn_tail = False
        self._acceptor_states.update(
            (write.key, write.acceptor_state) for write in pending
        )
        self._log_bytes += len(data)
        if self._log_bytes > COMPACT_AFTER_BYTES:
            try:
                self._compact()
            except OSError as error:
                # The record is durable; the log only stays long for now.
                _LOG.warning("log not compacted: {}", error)

    def _truncate_torn_tail(self) -> None:
        """Opens the log anew without what a failed write left."""
        path = self._folder / f"log-{self._generation}"
        if self._log is not None:
            with contextlib.suppress(OSError):
                # The buffered rest of the failed write is not wanted.
                self._log.close()
        self._log = path.open("ab")
        self._log.truncate(self._log_bytes)
        self._may_have_torn_tail = False

    def _compact(self) -> None:
        assert self._log is not None
        data = b"".join(
            encode_record(_register.AcceptorStateWrite(key, slot))
            for key, slot in sorted(self._acceptor_states.items())
        )
        old = self._generation
        # The new log must not exist before the snapshot that it continues,
        # and the old files may go only after both are in place.
        write_file_atomically(self._folder / f"snapshot-{old + 1}", data)
        self._generation = old + 1
        self._log.close()
        self._open_log()
        for name in (f"log-{old}", f"snapshot-{old}"):
            (self._folder / name).unlink(missing_ok=True)
        _fsync_folder(self._folder)

    def close(self) -> None:
        """Closes the log."""
        if self._log is not None:
            self._log.close()
            self._log = None


def read_record(
    path: pathlib.Path, record_type: type[RecordT]
) -> RecordT | None:
    """Reads a file that holds one encoded record.

    Args:
        path: The file.
        record_type: The type of the record.

    Returns:
        The record, or None if there is no file.

    Raises:
        BluebelltideError: With BAD_FRAME if the file is damaged.
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as error:
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.BAD_FRAME, str(error), str(path)
        ) from error
    plain = _codec.decode(data, str(path))
    return _codec.from_plain(plain, record_type, str(path))


def read_identity(folder: pathlib.Path) -> str | None:
    """Returns the identity kept in a data folder, or None if it is new."""
    path = folder / "identity"
    return path.read_text(encoding="utf-8") if path.exists() else None


def write_identity(folder: pathlib.Path, identity: str) -> None:
    """Gives a new data folder its identity."""
    folder.mkdir(parents=True, exist_ok=True)
    write_file_atomically(folder / "identity", identity.encode())
