"""The newest deployment that a replica without a vote had learned.

A voter finds what it accepted in its log. Other replicas keep a copy in this
file, so that after a restart they, too, can offer a deployment to entry
instances that have none. The copy may be out of date; nothing is decided by
it.
"""

import pathlib

from bluebelltide import _codec
from bluebelltide.catalogue import _register
from bluebelltide.catalogue import _store

FILE_NAME = "deployment"
"""The name of the file in the data folder."""


def write_deployment(
    folder: pathlib.Path, state: _register.RegisterState
) -> None:
    """Replaces the file.

    Args:
        folder: The data folder.
        state: The committed state.

    Raises:
        OSError: If the disk refuses; the file is then as it was.
    """
    data = _codec.encode(_codec.to_plain(state))
    _store.write_file_atomically(folder / FILE_NAME, data)


def read_deployment(folder: pathlib.Path) -> _register.RegisterState:
    """Reads the file.

    Args:
        folder: The data folder.

    Returns:
        The state; version 0 if there is no file.

    Raises:
        BluebelltideError: With BAD_FRAME if the file is damaged.
    """
    known = _store.read_record(folder / FILE_NAME, _register.RegisterState)
    return _register.RegisterState() if known is None else known
