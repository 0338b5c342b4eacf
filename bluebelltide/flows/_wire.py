"""Encoding of epochs in messages, as a difference from a known epoch.

A table lists each target once and refers to it by index, so that a change of
one service takes a few kilobytes in a data centre of any size.
"""

from array import array
import sys
from typing import NamedTuple

from bluebelltide import _exceptions
from bluebelltide import _types
from bluebelltide.flows import _epoch


class WireTransition(NamedTuple):
    """A bucket in transition; targets by index."""

    bucket: int
    """The bucket's number."""
    history: tuple[int, ...]
    """The bucket's targets, oldest first, by index."""
    moved_in_epoch: int
    """The number of the epoch in which the bucket moved last."""
    started_in_epoch: int
    """The number of the epoch in which the transition started."""


class WireTable(NamedTuple):
    """A service's table; targets by index."""

    service: _types.ServiceName
    """The service."""
    targets: tuple[_types.TargetId, ...]
    """The targets of the table, which the other fields refer to by index."""
    assignment: bytes
    """The target of each bucket: two bytes each, least significant first."""
    transitions: tuple[WireTransition, ...]
    """The buckets in transition."""


class WireEpoch(NamedTuple):
    """An epoch, whole or as its difference from the epoch before it."""

    number: int
    """The epoch's number."""
    lineage: str
    """The epoch's lineage."""
    base_number: int
    """The number of the base epoch; 0 if this epoch is whole."""
    instances: tuple[_types.InstanceId, ...] | None
    """The instances, or None if they are those of the base."""
    leaving: tuple[_types.InstanceId, ...]
    """Instances that still route but own no bucket."""
    previous_instances: tuple[_types.InstanceId, ...] | None
    """The previous epoch's instances, or None if they are the base's."""
    parent_lineage: str
    """In the first epoch after a fork, the lineage that was forked."""
    fork_count: int
    """How many forks led to this lineage."""
    tables: tuple[WireTable, ...]
    """The tables that differ from the base, or all of them."""
    removed_services: tuple[_types.ServiceName, ...]
    """Services of the base that the epoch does not contain."""


def to_wire(epoch: _epoch.Epoch, base: _epoch.Epoch | None) -> WireEpoch:
    """Encodes an epoch for a message.

    Args:
        epoch: The epoch.
        base: An epoch of the same lineage that the receiver has, or None.

    Returns:
        The difference from the base, or the whole epoch if there is none.
    """
    base_tables = (
        {table.service: table for table in base.tables} if base else {}
    )
    services = {table.service for table in epoch.tables}
    changed = [t for t in epoch.tables if base_tables.get(t.service) != t]
    has_same_instances = base is not None and base.instances == epoch.instances
    is_successor = (
        base is not None and base.instances == epoch.previous_instances
    )
    return WireEpoch(
        epoch.number,
        epoch.lineage,
        base.number if base else 0,
        None if has_same_instances else epoch.instances,
        epoch.leaving,
        None if is_successor else epoch.previous_instances,
        epoch.parent_lineage,
        epoch.fork_count,
        tuple(_table_to_wire(table) for table in changed),
        tuple(sorted(set(base_tables) - services)),
    )


def from_wire(
    wire: WireEpoch, base: _epoch.Epoch | None
) -> _epoch.Epoch | None:
    """Decodes an epoch from a message.

    Args:
        wire: The encoded epoch.
        base: The epoch that the receiver has, or None.

    Returns:
        The epoch, or None if its base is another epoch than `base`.

    Raises:
        BluebelltideError: With BAD_FRAME if it is malformed.
    """
    tables: dict[str, _epoch.ServiceTable] = {}
    if wire.base_number:
        is_base_known = base is not None and (
            (base.number, base.lineage) == (wire.base_number, wire.lineage)
        )
        if base is None or not is_base_known:
            return None
        tables = {table.service: table for table in base.tables}
    for name in wire.removed_services:
        tables.pop(name, None)
    for wire_table in wire.tables:
        tables[wire_table.service] = _table_from_wire(wire_table)
    base_instances = base.instances if base else ()
    instances = wire.instances
    previous_instances = wire.previous_instances
    return _epoch.Epoch(
        wire.number,
        wire.lineage,
        base_instances if instances is None else instances,
        tuple(table for _, table in sorted(tables.items())),
        wire.leaving,
        base_instances if previous_instances is None else previous_instances,
        wire.parent_lineage,
        wire.fork_count,
    )


def _table_to_wire(table: _epoch.ServiceTable) -> WireTable:
    names = set(table.assignment)
    for transition in table.transitions:
        names.update(transition.history)
    ordered = tuple(sorted(names))
    index_by_name = {name: number for number, name in enumerate(ordered)}
    indices = array("H", [index_by_name[name] for name in table.assignment])
    if sys.byteorder == "big":
        indices.byteswap()
    return WireTable(
        table.service,
        ordered,
        indices.tobytes(),
        tuple(
            WireTransition(
                transition.bucket,
                tuple(index_by_name[name] for name in transition.history),
                transition.moved_in_epoch,
                transition.started_in_epoch,
            )
            for transition in table.transitions
        ),
    )


def _table_from_wire(wire: WireTable) -> _epoch.ServiceTable:
    indices = array("H")
    try:
        indices.frombytes(wire.assignment)
        if sys.byteorder == "big":
            indices.byteswap()
        assignment = tuple(wire.targets[number] for number in indices)
        transitions = tuple(
            _epoch.BucketTransition(
                transition.bucket,
                tuple(wire.targets[number] for number in transition.history),
                transition.moved_in_epoch,
                transition.started_in_epoch,
            )
            for transition in wire.transitions
        )
    except (ValueError, IndexError) as error:
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.BAD_FRAME, repr(error), wire.service
        ) from error
    return _epoch.ServiceTable(wire.service, assignment, transitions)
