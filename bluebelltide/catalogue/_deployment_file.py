"""The file with the newest deployment that a replica has learned.

A voter finds the deployment that it accepted in its log. A replica that has
only learned the newest deployment, such as a standby replica, saves it in this
file, so that after a restart it, too, can serve a deployment to entry
instances that have none. The copy may be out of date and has no influence on
what is committed.
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
        OSError: If the write fails; the file is then unchanged.
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
    saved = _store.read_record(folder / FILE_NAME, _register.RegisterState)
    return _register.RegisterState() if saved is None else saved
