"""Durable acceptor states: an append-only log with checksums and snapshots.

The data folder holds `identity`, one `snapshot-N` and one `log-N`. A log
record is durable once `write` returns. A torn record at the end of the log,
which an interrupted write leaves, is cut off; a wrong checksum anywhere else
is an error.
"""

from collections.abc import Iterable
import contextlib
import os
import pathlib
import struct
from typing import Any, BinaryIO, NamedTuple, TypeVar

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
    """The state that a replica recovers from its data folder."""

    acceptor_states: dict[str, _register.AcceptorState]
    """Acceptor states by key."""
    torn_bytes: int
    """How many bytes of a torn record were cut off the log."""


def encode_record(write: _register.AcceptorStateWrite) -> bytes:
    """Encodes one record with its length and checksum."""
    payload = _codec.encode(_codec.to_plain(write))
    checksum = xxhash.xxh3_64_intdigest(payload)
    return RECORD_HEADER.pack(len(payload), checksum) + payload


def decode_records(
    data: bytes, source: str
) -> tuple[list[_register.AcceptorStateWrite], int]:
    """Decodes a log or snapshot.

    Args:
        data: The file's bytes.
        source: The file's name, for errors.

    Returns:
        The records, and the length in bytes of the valid data before a torn
        record.

    Raises:
        BluebelltideError: With CORRUPT_STORE if a record has a wrong checksum
            and a valid record follows it.
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
                    source,
                )
            break
        plain = _codec.decode(payload, source)
        records.append(
            _codec.from_plain(plain, _register.AcceptorStateWrite, source)
        )
        offset = start + size_bytes
    return records, offset


def _has_valid_record(data: bytes, first_offset: int) -> bool:
    """Returns whether a valid record starts at or after an offset.

    This distinguishes a damaged record, which valid ones follow, from a torn
    write at the end, any part of which may be missing.
    """
    for offset in range(first_offset, len(data) - RECORD_HEADER.size):
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
    """Replaces a file; a crash leaves either the old or the new content.

    Args:
        path: The file.
        data: The new content.
    """
    temporary = _write_temporary(path, data)
    temporary.replace(path)
    _fsync_folder(path.parent)


def _write_temporary(path: pathlib.Path, data: bytes) -> pathlib.Path:
    """Writes the new content of a file durably to another file beside it."""
    temporary = path.with_suffix(".new")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    return temporary


def _file_generation(path: pathlib.Path) -> int:
    return int(path.name.rpartition("-")[2])


class Store:
    """The files of one replica, used by one process at a time."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Creates the store; `start` opens the folder."""
        self._folder = folder
        self._log: BinaryIO | None = None
        self._log_bytes = 0
        self._generation = 0
        self._acceptor_states: dict[str, _register.AcceptorState] = {}
        self._may_have_torn_tail = False
        # A restart may find the snapshot of the next generation, which makes
        # it ignore the present log. No record may then be appended to that.
        self._is_log_superseded = False

    def start(self) -> RecoveredState:
        """Opens the folder and recovers the state.

        Returns:
            The recovered state.

        Raises:
            BluebelltideError: With CORRUPT_STORE if a file is damaged.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        snapshots = sorted(
            self._folder.glob("snapshot-*[0-9]"), key=_file_generation
        )
        if snapshots:
            newest = snapshots[-1]
            self._generation = _file_generation(newest)
            data = newest.read_bytes()
            records, valid_bytes = decode_records(data, str(newest))
            if valid_bytes != len(data):
                raise _exceptions.BluebelltideError(
                    _exceptions.ErrorCode.CORRUPT_STORE,
                    f"snapshot ends within a record at byte {valid_bytes}",
                    str(newest),
                )
            self._acceptor_states = {
                record.key: record.acceptor_state for record in records
            }
        torn_bytes = self._recover_log()
        return RecoveredState(dict(self._acceptor_states), torn_bytes)

    def _recover_log(self) -> int:
        path = self._folder / f"log-{self._generation}"
        data = path.read_bytes() if path.exists() else b""
        records, valid_bytes = decode_records(data, str(path))
        for record in records:
            self._acceptor_states[record.key] = record.acceptor_state
        log = path.open("ab")
        log.truncate(valid_bytes)
        os.fsync(log.fileno())
        _fsync_folder(self._folder)
        self._log = log
        self._log_bytes = valid_bytes
        return len(data) - valid_bytes

    def write(self, writes: Iterable[_register.AcceptorStateWrite]) -> None:
        """Makes acceptor states durable; returns once the data is on disk.

        Args:
            writes: The states to write, in order.

        Raises:
            OSError: If the write fails. The states are then not stored, and
                the next write starts where the last successful one ended.
        """
        assert self._log is not None
        pending = list(writes)
        data = b"".join(encode_record(write) for write in pending)
        if self._is_log_superseded:
            self._compact()
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
                # The records are durable; only the log remains long until the
                # next write tries to compact it again.
                _LOG.warning("cannot compact the log: {}", error)

    def _truncate_torn_tail(self) -> None:
        """Reopens the log without the remains of a failed write."""
        path = self._folder / f"log-{self._generation}"
        if self._log is not None:
            with contextlib.suppress(OSError):
                # Closing flushes the buffered rest of the failed write, which
                # may fail again; the truncation below removes it.
                self._log.close()
        self._log = path.open("ab")
        self._log.truncate(self._log_bytes)
        self._may_have_torn_tail = False

    def _compact(self) -> None:
        """Replaces the log by a snapshot and an empty log.

        Raises:
            OSError: If a step fails. Writes go on in the present log, or call
                this again first if a restart may already ignore that log.
        """
        assert self._log is not None
        data = b"".join(
            encode_record(_register.AcceptorStateWrite(key, acceptor_state))
            for key, acceptor_state in sorted(self._acceptor_states.items())
        )
        old_generation = self._generation
        new_generation = old_generation + 1
        snapshot = self._folder / f"snapshot-{new_generation}"
        temporary = _write_temporary(snapshot, data)
        self._is_log_superseded = True
        temporary.replace(snapshot)
        _fsync_folder(self._folder)
        # The new log must not exist before the snapshot on which it is based,
        # and the old files may be deleted only once both exist.
        self._open_empty_log(new_generation)
        for name in (f"log-{old_generation}", f"snapshot-{old_generation}"):
            (self._folder / name).unlink(missing_ok=True)
        _fsync_folder(self._folder)

    def _open_empty_log(self, generation: int) -> None:
        """Continues in an empty log; on an error nothing changes."""
        path = self._folder / f"log-{generation}"
        log = path.open("wb")
        try:
            os.fsync(log.fileno())
            _fsync_folder(self._folder)
        except OSError:
            log.close()
            raise
        if self._log is not None:
            with contextlib.suppress(OSError):
                self._log.close()
        self._log = log
        self._log_bytes = 0
        self._generation = generation
        self._may_have_torn_tail = False
        self._is_log_superseded = False

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
    plain = read_plain(path)
    if plain is None:
        return None
    return _codec.from_plain(plain, record_type, str(path))


def read_plain(path: pathlib.Path) -> Any:  # noqa: ANN401
    """Reads a file of plain values.

    Args:
        path: The file.

    Returns:
        The plain values, or None if there is no file.

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
    return _codec.decode(data, str(path))


def read_identity(folder: pathlib.Path) -> str | None:
    """Returns the identity stored in a data folder, or None if it has none."""
    path = folder / "identity"
    return path.read_text(encoding="utf-8") if path.exists() else None


def write_identity(folder: pathlib.Path, identity: str) -> None:
    """Stores the identity of a new data folder, which is created if needed."""
    folder.mkdir(parents=True, exist_ok=True)
    write_file_atomically(folder / "identity", identity.encode())
