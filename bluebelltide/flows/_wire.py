"""Epochs as they travel: only what differs from an epoch that both know.

A table names each target once and its buckets by index, so that the news of
one changed service is a few kilobytes whatever the size of the data centre.
"""

from array import array
import sys
from typing import NamedTuple

from bluebelltide import _exceptions
from bluebelltide import _types
from bluebelltide.flows import _epoch


class WireTransition(NamedTuple):
    """An unsettled bucket; targets by index."""

    bucket: int
    """The bucket's number."""
    history: tuple[int, ...]
    """Its targets, oldest first, by index."""
    moved_in_epoch: int
    """The epoch in which it moved last."""
    started_in_epoch: int
    """The epoch in which it became unsettled."""


class WireTable(NamedTuple):
    """A service's table; targets by index."""

    service: _types.ServiceName
    """The service."""
    targets: tuple[_types.TargetId, ...]
    """The targets that the table names."""
    assignment: bytes
    """The target of each bucket: two bytes each, least significant first."""
    transitions: tuple[WireTransition, ...]
    """The buckets that are not settled."""


class WireEpoch(NamedTuple):
    """An epoch, whole or as its difference from the epoch before it."""

    number: int
    """The epoch's number."""
    lineage: str
    """The epoch's lineage."""
    base_number: int
    """The number of the epoch that this one differs from; 0 if it is whole."""
    instances: tuple[_types.InstanceId, ...] | None
    """The instances, or None if they are those of the base."""
    leaving: tuple[_types.InstanceId, ...]
    """Instances that leave."""
    previous_instances: tuple[_types.InstanceId, ...] | None
    """The instances before, or None if they are those of the base."""
    parent_lineage: str
    """The lineage that this one was forked from."""
    fork_count: int
    """How many forks led to this lineage."""
    tables: tuple[WireTable, ...]
    """The tables that differ from the base, or all of them."""
    removed_services: tuple[_types.ServiceName, ...]
    """Services of the base that are gone."""


def to_wire(epoch: _epoch.Epoch, base: _epoch.Epoch | None) -> WireEpoch:
    """Returns the form of an epoch that travels.

    Args:
        epoch: The epoch.
        base: An epoch of the same lineage that the receiver holds, or None.

    Returns:
        The difference from the base, or the whole epoch.
    """
    known = {table.service: table for table in base.tables} if base else {}
    services = {table.service for table in epoch.tables}
    changed = [t for t in epoch.tables if known.get(t.service) != t]
    same = base is not None and base.instances == epoch.instances
    follows = base is not None and base.instances == epoch.previous_instances
    return WireEpoch(
        epoch.number,
        epoch.lineage,
        base.number if base else 0,
        None if same else epoch.instances,
        epoch.leaving,
        None if follows else epoch.previous_instances,
        epoch.parent_lineage,
        epoch.fork_count,
        tuple(_table_to_wire(table) for table in changed),
        tuple(sorted(set(known) - services)),
    )


def from_wire(
    wire: WireEpoch, base: _epoch.Epoch | None
) -> _epoch.Epoch | None:
    """Returns the epoch that a travelling form stands for.

    Args:
        wire: What arrived.
        base: The epoch that the receiver holds, or None.

    Returns:
        The epoch, or None if it differs from an epoch that is not held.

    Raises:
        BluebelltideError: With BAD_FRAME if it is malformed.
    """
    tables: dict[str, _epoch.ServiceTable] = {}
    if wire.base_number:
        is_base = base is not None and (
            (base.number, base.lineage) == (wire.base_number, wire.lineage)
        )
        if base is None or not is_base:
            return None
        tables = {table.service: table for table in base.tables}
    for name in wire.removed_services:
        tables.pop(name, None)
    for changed in wire.tables:
        tables[changed.service] = _table_from_wire(changed)
    inherited = base.instances if base else ()
    instances = wire.instances
    previous = wire.previous_instances
    return _epoch.Epoch(
        wire.number,
        wire.lineage,
        inherited if instances is None else instances,
        tuple(table for _, table in sorted(tables.items())),
        wire.leaving,
        inherited if previous is None else previous,
        wire.parent_lineage,
        wire.fork_count,
    )


def _table_to_wire(table: _epoch.ServiceTable) -> WireTable:
    names = set(table.assignment)
    for item in table.transitions:
        names.update(item.history)
    ordered = tuple(sorted(names))
    index = {name: number for number, name in enumerate(ordered)}
    numbers = array("H", [index[name] for name in table.assignment])
    if sys.byteorder == "big":
        numbers.byteswap()
    return WireTable(
        table.service,
        ordered,
        numbers.tobytes(),
        tuple(
            WireTransition(
                item.bucket,
                tuple(index[name] for name in item.history),
                item.moved_in_epoch,
                item.started_in_epoch,
            )
            for item in table.transitions
        ),
    )


def _table_from_wire(wire: WireTable) -> _epoch.ServiceTable:
    numbers = array("H")
    try:
        numbers.frombytes(wire.assignment)
        if sys.byteorder == "big":
            numbers.byteswap()
        assignment = tuple(wire.targets[number] for number in numbers)
        unsettled = tuple(
            _epoch.BucketTransition(
                item.bucket,
                tuple(wire.targets[number] for number in item.history),
                item.moved_in_epoch,
                item.started_in_epoch,
            )
            for item in wire.transitions
        )
    except (ValueError, IndexError) as error:
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.BAD_FRAME, repr(error), wire.service
        ) from error
    return _epoch.ServiceTable(wire.service, assignment, unsettled)
