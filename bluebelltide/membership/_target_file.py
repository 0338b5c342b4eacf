"""The targets and instances that a control replica knew before a restart.

The file only shortens the time until a restarted deployment serves again:
targets announce themselves within seconds anyway, newer announcements replace
what the file says, and instances find the replica through the seeds.
"""

import pathlib
from typing import NamedTuple

from bluebelltide import _codec
from bluebelltide.catalogue import _store
from bluebelltide.membership import _directory

FILE_NAME = "targets"
"""The name of the file in the data folder."""


class SavedMembership(NamedTuple):
    """What the file holds."""

    records: tuple[_directory.TargetRecord, ...] = ()
    """The targets."""
    entry_hosts: tuple[str, ...] = ()
    """The machines of the entry instances that polled."""


def write_targets(folder: pathlib.Path, known: SavedMembership) -> None:
    """Replaces the file.

    Args:
        folder: The data folder.
        known: What the replica knows.

    Raises:
        OSError: If the disk refuses; the file is then as it was.
    """
    data = _codec.encode(_codec.to_plain(known))
    _store.write_file_atomically(folder / FILE_NAME, data)


def read_targets(folder: pathlib.Path) -> SavedMembership:
    """Reads the file.

    Args:
        folder: The data folder.

    Returns:
        What the replica knew; nothing if there is no file.

    Raises:
        BluebelltideError: With BAD_FRAME if the file is damaged.
    """
    known = _store.read_record(folder / FILE_NAME, SavedMembership)
    return SavedMembership() if known is None else known
