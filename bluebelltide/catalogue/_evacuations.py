"""The set of evacuated data centres, held by one register.

Operators declare that nothing new is sent to the targets of a data centre, and
later withdraw this. An order names a data centre and what should hold for it,
so it may be sent again: only an order that changes the set raises the version.
The set is independent of the deployment and of its version.
"""

from typing import Annotated, NamedTuple

import msgspec

from bluebelltide import _exceptions
from bluebelltide import _types
from bluebelltide.catalogue import _register

EVACUATIONS_KEY = "evacuations"
"""The key of the register that holds the set."""


class EvacuationSet(NamedTuple):
    """One version of the set of evacuated data centres.

    The ranges are checked whenever a set is decoded.
    """

    version: Annotated[int, msgspec.Meta(ge=0, le=_types.MAXIMUM_INT64)] = 0
    """Grows by one with each change; 0 before the first."""
    data_centres: tuple[_types.DataCentre, ...] = ()
    """The names of the evacuated data centres, sorted."""


NO_EVACUATIONS = EvacuationSet()
"""The set before the first order."""


class Order(NamedTuple):
    """An operator's order."""

    data_centre: str
    """The name of the data centre."""
    is_evacuated: bool
    """Whether the data centre is to be evacuated; False withdraws this."""


def read_evacuations(state: _register.RegisterState) -> EvacuationSet:
    """Decodes the set of a register's state.

    Args:
        state: The register's state.

    Returns:
        The set.

    Raises:
        BluebelltideError: With CORRUPT_STORE if the value is malformed.
    """
    names = [] if state.value is None else _decode_names(state.value)
    try:
        return msgspec.convert([state.encoded_version, names], EvacuationSet)
    except msgspec.ValidationError as error:
        raise _corrupt(error) from error


def _decode_names(value: bytes) -> object:
    try:
        return msgspec.json.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _corrupt(error) from error


def _corrupt(error: Exception) -> _exceptions.BluebelltideError:
    return _exceptions.BluebelltideError(
        _exceptions.ErrorCode.CORRUPT_STORE, str(error), EVACUATIONS_KEY
    )


def apply_order(
    state: _register.RegisterState, order: Order
) -> tuple[_register.RegisterState, _register.ChangeResult]:
    """Applies an order to the register's state.

    Args:
        state: The newest state that a quorum reported.
        order: The order.

    Returns:
        The next state, equal to `state` if nothing changes, and the result.

    Raises:
        BluebelltideError: With CORRUPT_STORE if the state is malformed.
    """
    names = set(read_evacuations(state).data_centres)
    if (order.data_centre in names) != order.is_evacuated:
        names ^= {order.data_centre}
        value = msgspec.json.encode(sorted(names))
        state = _register.RegisterState(state.base_version + 1, value)
    return state, _register.ChangeResult(None, state, state.version)
