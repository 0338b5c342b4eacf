"""A file of the targets and entry instances that a control replica knows.

The replica reads the file after a restart. It only shortens the time until a
restarted deployment serves again: targets announce themselves within seconds
anyway, newer announcements replace the saved records, and entry instances
find the replica through the seeds.
"""

import pathlib
from typing import NamedTuple

from bluebelltide import _codec
from bluebelltide.catalogue import _store
from bluebelltide.membership import _directory

FILE_NAME = "targets"
"""The file in the data folder."""


class SavedMembership(NamedTuple):
    """The content of the file."""

    records: tuple[_directory.TargetRecord, ...] = ()
    """The records of the targets."""
    entry_hosts: tuple[str, ...] = ()
    """The addresses of the machines whose entry instances polled."""


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


def read_targets(folder: pathlib.Path) -> SavedMembership:
    """Reads the file.

    Args:
        folder: The data folder.

    Returns:
        The content; empty if there is no file.

    Raises:
        BluebelltideError: With BAD_FRAME if the file is damaged.
    """
    saved = _store.read_record(folder / FILE_NAME, SavedMembership)
    return SavedMembership() if saved is None else saved
