"""Files with the newest committed states that a replica has learned.

A voter finds the states that it accepted in its log. A replica that has only
learned the newest state of a register, such as a standby replica, saves it in
a file, so that after a restart it, too, can serve the state to entry instances
that have none. The copy may be out of date and has no influence on what is
committed.
"""

import pathlib

from bluebelltide import _codec
from bluebelltide.catalogue import _deployment
from bluebelltide.catalogue import _evacuations
from bluebelltide.catalogue import _register
from bluebelltide.catalogue import _store

SAVED_KEYS = (_deployment.DEPLOYMENT_KEY, _evacuations.EVACUATIONS_KEY)
"""The keys of the registers that are saved; each names its file in the data
folder."""


def write_state(
    folder: pathlib.Path, key: str, state: _register.RegisterState
) -> None:
    """Replaces the file of a register.

    Args:
        folder: The data folder.
        key: The register's key, one of SAVED_KEYS.
        state: The committed state.

    Raises:
        OSError: If the write fails; the file is then unchanged.
    """
    data = _codec.encode(_codec.to_plain(state))
    _store.write_file_atomically(folder / key, data)


def read_state(folder: pathlib.Path, key: str) -> _register.RegisterState:
    """Reads the file of a register.

    Args:
        folder: The data folder.
        key: The register's key, one of SAVED_KEYS.

    Returns:
        The state, in which nothing is stored if there is no file.

    Raises:
        BluebelltideError: With BAD_FRAME if the file is damaged.
    """
    saved = _store.read_record(folder / key, _register.RegisterState)
    return _register.RegisterState() if saved is None else saved
