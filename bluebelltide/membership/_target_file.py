"""A file of the targets and entry instances that a control replica knows.

The replica reads the file after a restart. It only shortens the time until a
restarted deployment serves again: targets announce themselves within seconds
anyway, newer announcements replace the saved records, and entry instances
find the replica through the seeds.
"""

import pathlib
from typing import Any, NamedTuple

from bluebelltide import _codec
from bluebelltide import _types
from bluebelltide.catalogue import _store
from bluebelltide.membership import _directory
from bluebelltide.membership import _target_records

FILE_NAME = "targets"
"""The file in the data folder."""


class SavedMembership(NamedTuple):
    """The content of the file."""

    records: tuple[_directory.TargetRecord, ...] = ()
    """The records of the targets."""
    entry_hosts: tuple[str, ...] = ()
    """The addresses of the machines whose entry instances polled."""


class _RawMembership(NamedTuple):
    """The content of the file before the records are checked."""

    records: tuple[Any, ...]
    entry_hosts: tuple[str, ...]


def write_targets(folder: pathlib.Path, saved: SavedMembership) -> None:
    """Replaces the file.

    Args:
        folder: The data folder.
        saved: The new content.

    Raises:
        OSError: If writing fails; the file is then unchanged.
    """
    data = _codec.encode(_codec.to_plain(saved))
    _store.write_file_atomically(folder / FILE_NAME, data)


def read_targets(
    folder: pathlib.Path,
    refuse: _target_records.RefusalHandler = _target_records.log_refusal,
) -> SavedMembership:
    """Reads the file.

    Args:
        folder: The data folder.
        refuse: Receives the error of each record that is refused; the content
            then lacks it.

    Returns:
        The content; empty if there is no file.

    Raises:
        BluebelltideError: With BAD_FRAME if the file is damaged.
    """
    source = str(folder / FILE_NAME)
    plain = _store.read_plain(folder / FILE_NAME)
    if plain is None:
        return SavedMembership()
    raw = _codec.from_plain(plain, _RawMembership, source)
    records = _target_records.read_records(raw.records, source, refuse)
    entry_hosts = filter(_types.is_ipv4, raw.entry_hosts)
    return SavedMembership(records, tuple(entry_hosts))
