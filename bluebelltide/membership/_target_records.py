"""Decodes the targets that others announce, send or have saved.

Anybody may write an entry, and an older process may have passed it on. So each
entry is checked by itself before it is stored: a bad one is refused, counted
and logged, and the others that arrived with it are used. What passes can be
stored, sent, logged and computed with by every process.
"""

from collections.abc import Callable, Iterable
import functools
import ipaddress

import msgspec

from bluebelltide import _codec
from bluebelltide import _exceptions
from bluebelltide import _metrics
from bluebelltide import _types
from bluebelltide._events import events
from bluebelltide.membership import _directory

RefusalHandler = Callable[[_exceptions.BluebelltideError], None]
"""Receives the error of each entry that is refused."""

MAXIMUM_SEQUENCE = 2**32 - 1
"""Upper bound of a sequence; polls carry it in 32 bits."""
MAXIMUM_CACHED_HOSTS = 20_000
"""How many hosts are remembered as callable."""


def check_fields(target: _types.Target, source: str) -> _types.Target:
    """Checks the ranges of a target's fields, which may be anything yet.

    Args:
        target: The target as it was announced.
        source: Where the target comes from, for the error.

    Returns:
        The target.

    Raises:
        BluebelltideError: With BAD_TARGET if it is refused.
    """
    # Values that already have the type would not be checked.
    plain = [list(one) if isinstance(one, tuple) else one for one in target]
    try:
        return msgspec.convert(plain, _types.Target)
    except (msgspec.ValidationError, ValueError, TypeError) as error:
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.BAD_TARGET, str(error), source
        ) from error


def check_target(target: _types.Target, source: str) -> _types.Target:
    """Checks a target that was announced in a direct deployment.

    Args:
        target: The target as it was announced.
        source: Where the target comes from, for the error.

    Returns:
        The target.

    Raises:
        BluebelltideError: With BAD_TARGET or BAD_ADDRESS if it is refused.
    """
    checked = check_fields(target, source)
    _check_for_direct_use(checked, source)
    return checked


def _check_for_direct_use(target: _types.Target, source: str) -> None:
    """Checks that packets reach a target and polls can renew its lease."""
    if target.sequence > MAXIMUM_SEQUENCE:
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.BAD_TARGET,
            f"expected a sequence up to {MAXIMUM_SEQUENCE}, found "
            f"{target.sequence}",
            source,
        )
    check_address(target.address, source)


def check_address(address: _types.Address, source: str) -> None:
    """Checks that an address is that of one machine.

    Args:
        address: The address.
        source: Where it comes from, for the error.

    Raises:
        BluebelltideError: With BAD_ADDRESS if it is not.
    """
    is_port = 1 <= address.port <= _types.MAXIMUM_PORT
    if not is_port or not _is_callable_host(address.host):
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.BAD_ADDRESS,
            "expected the IPv4 address and port of one machine, found "
            f"{address.host!r} and {address.port}",
            source,
        )


@functools.lru_cache(MAXIMUM_CACHED_HOSTS)
def _is_callable_host(host: str) -> bool:
    """Returns whether a text is the IPv4 address of one machine."""
    try:
        address = ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return not (
        address.is_unspecified or address.is_multicast or address.is_reserved
    )


def read_record(plain: object, source: str) -> _directory.TargetRecord:
    """Checks one plain record from a datagram or a file.

    Args:
        plain: The plain values.
        source: Where they come from, for the error.

    Returns:
        The record.

    Raises:
        BluebelltideError: With BAD_TARGET or BAD_ADDRESS if it is refused.
    """
    try:
        record = _codec.from_plain(plain, _directory.TargetRecord, source)
    except _exceptions.BluebelltideError as error:
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.BAD_TARGET, error.message, source
        ) from error
    _check_for_direct_use(record.target, source)
    return record


def log_refusal(error: _exceptions.BluebelltideError) -> None:
    """Logs an entry that is refused."""
    events.write(
        "target_refused",
        source=error.place,
        code=error.code.value,
        reason=error.message,
    )


def read_targets(
    plain: Iterable[object], source: str
) -> tuple[_types.Target, ...]:
    """Checks plain targets of instances that gossip, each one by itself.

    Args:
        plain: The plain targets.
        source: Where they come from, for the log.

    Returns:
        Those that are not refused.
    """
    targets = []
    for entry in plain:
        try:
            targets.append(_codec.from_plain(entry, _types.Target, source))
        except _exceptions.BluebelltideError as error:
            log_refusal(error)
    return tuple(targets)


def read_records(
    plain: object, source: str, refuse: RefusalHandler
) -> tuple[_directory.TargetRecord, ...]:
    """Checks each plain record by itself.

    Args:
        plain: The plain records.
        source: Where they come from, for the errors.
        refuse: Receives the error of each record that is refused.

    Returns:
        The other records.

    Raises:
        BluebelltideError: With BAD_FRAME if there is no list of records.
    """
    if not isinstance(plain, list | tuple):
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.BAD_FRAME,
            "expected a list of records",
            source,
        )
    try:
        records = _codec.from_plain(
            plain, tuple[_directory.TargetRecord, ...], source
        )
        for record in records:
            _check_for_direct_use(record.target, source)
        return records
    except _exceptions.BluebelltideError:
        # Some are bad; those are refused and the others used.
        return tuple(_read_each(plain, source, refuse))


def _read_each(
    plain: Iterable[object], source: str, refuse: RefusalHandler
) -> Iterable[_directory.TargetRecord]:
    for entry in plain:
        try:
            yield read_record(entry, source)
        except _exceptions.BluebelltideError as error:
            refuse(error)


def make_refusal_handler(metrics: _metrics.Metrics) -> RefusalHandler:
    """Makes a handler that counts and logs each refused entry.

    Args:
        metrics: Counts the entries by the code of the error.

    Returns:
        The handler.
    """

    def refuse(error: _exceptions.BluebelltideError) -> None:
        metrics.count("target_refused", error.code)
        log_refusal(error)

    return refuse
