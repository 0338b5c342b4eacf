"""Epochs: the agreed sequence of routing states of one data centre.

An epoch names the instances that route and, for each service, the target of
every bucket. A bucket that moved is unsettled until no flow of its earlier
targets is left; its history lists those targets, oldest first.
"""

from collections.abc import Mapping
from collections.abc import Set as AbstractSet
from typing import NamedTuple

from bluebelltide import _types
from bluebelltide.flows import _hashing
from bluebelltide.flows import _table


class BucketKey(NamedTuple):
    """Names a bucket."""

    service: _types.ServiceName
    """The service."""
    bucket: int
    """The bucket's number."""


class BucketTransition(NamedTuple):
    """A bucket whose earlier targets may still have flows."""

    bucket: int
    """The bucket's number."""
    history: tuple[_types.TargetId, ...]
    """Its targets, oldest first; the last one takes new flows."""
    moved_in_epoch: int
    """The number of the epoch in which it moved last."""
    started_in_epoch: int
    """The number of the epoch in which it became unsettled."""


class ServiceTable(NamedTuple):
    """The routing table of one service."""

    service: _types.ServiceName
    """The service."""
    assignment: tuple[_types.TargetId, ...]
    """The target of new flows of each bucket."""
    transitions: tuple[BucketTransition, ...]
    """The buckets that are not settled, by number."""


class Epoch(NamedTuple):
    """One agreed routing state."""

    number: int
    """Grows by one with each epoch."""
    lineage: str
    """Named by the instance that formed it; differs after a lost majority."""
    instances: tuple[_types.InstanceId, ...]
    """The instances that route, sorted."""
    tables: tuple[ServiceTable, ...]
    """The table of each service, sorted by service."""
    leaving: tuple[_types.InstanceId, ...] = ()
    """Instances that still route but own no bucket, sorted."""
    previous_instances: tuple[_types.InstanceId, ...] = ()
    """The instances of the epoch before, which may hold bucket states."""
    parent_lineage: str = ""
    """The lineage that this one was forked from after a lost majority."""
    fork_count: int = 0
    """How many forks led to this lineage."""


class TargetWeight(NamedTuple):
    """What the planner knows of a target."""

    target_id: _types.TargetId
    """The target."""
    weight: float
    """Its share of new flows; 0 if it takes none."""


class DesiredInstances(NamedTuple):
    """The instances that the next epoch should have."""

    instances: tuple[_types.InstanceId, ...]
    """Those that route and own buckets."""
    leaving: tuple[_types.InstanceId, ...] = ()
    """Those that route until they have left."""


TargetWeights = Mapping[_types.ServiceName, tuple[TargetWeight, ...]]
"""The live targets of each service, draining ones included."""


def first_epoch(lineage: str, instances: tuple[str, ...]) -> Epoch:
    """Returns the epoch that a data centre starts from."""
    return Epoch(1, lineage, tuple(sorted(instances)), ())


def plan_next_epoch(
    epoch: Epoch,
    desired: DesiredInstances,
    targets: TargetWeights,
    stable_buckets: frozenset[tuple[BucketKey, int]],
) -> Epoch | None:
    """Works out the next epoch.

    Args:
        epoch: The present epoch.
        desired: The instances that should route.
        targets: The live targets of each service.
        stable_buckets: Buckets that their owners report settled, with the
            epoch in which they had moved.

    Returns:
        The next epoch, or None if nothing needs to change.
    """
    number = epoch.number + 1
    known = {table.service: table for table in epoch.tables}
    empty = (_table.UNASSIGNED,) * _hashing.BUCKETS
    tables = tuple(
        _plan_table(
            known.get(service, ServiceTable(service, empty, ())),
            inputs,
            stable_buckets,
            number,
        )
        for service, inputs in sorted(targets.items())
    )
    after = Epoch(
        number,
        epoch.lineage,
        tuple(sorted(desired.instances)),
        tables,
        tuple(sorted(desired.leaving)),
        epoch.instances,
    )
    is_same = (
        after.instances == epoch.instances
        and after.leaving == epoch.leaving
        and after.tables == epoch.tables
    )
    return None if is_same else after


def is_newer(epoch: Epoch, known: Epoch | None) -> bool:
    """Returns whether an epoch replaces the one that is known.

    A fork assumes that its parent is dead. Where the two meet, that was wrong,
    and the lineage with fewer forks wins.
    """
    if known is None:
        return True
    if epoch.lineage == known.lineage:
        return epoch.number > known.number
    return _precedence(epoch) > _precedence(known)


def _precedence(epoch: Epoch) -> tuple[int, int, str]:
    return (-epoch.fork_count, epoch.number, epoch.lineage)


def buckets_in_transition(epoch: Epoch) -> dict[BucketKey, BucketTransition]:
    """Returns the unsettled buckets of all services."""
    return {
        BucketKey(table.service, item.bucket): item
        for table in epoch.tables
        for item in table.transitions
    }


def _plan_table(
    table: ServiceTable,
    inputs: tuple[TargetWeight, ...],
    settled: frozenset[tuple[BucketKey, int]],
    number: int,
) -> ServiceTable:
    weights = {t.target_id: t.weight for t in inputs if t.weight > 0}
    live = {t.target_id for t in inputs}
    assignment = _table.rebalance(table.assignment, weights)
    before = {item.bucket: item for item in table.transitions}
    unsettled = []
    for bucket, target in enumerate(assignment):
        item = before.get(bucket)
        if item is not None and (
            (BucketKey(table.service, bucket), item.moved_in_epoch) in settled
        ):
            item = None
        moved = target != table.assignment[bucket]
        if item is None and not moved:
            continue
        past = item.history if item else (table.assignment[bucket],)
        history = extend_history(past, target, live)
        if len(history) < 2:
            continue
        moved_in = number if moved or item is None else item.moved_in_epoch
        since = item.started_in_epoch if item else number
        unsettled.append(BucketTransition(bucket, history, moved_in, since))
    return ServiceTable(table.service, assignment, tuple(unsettled))


def extend_history(
    past: tuple[_types.TargetId, ...],
    target: _types.TargetId,
    live: AbstractSet[_types.TargetId],
) -> tuple[_types.TargetId, ...]:
    """Returns a bucket's history after a move, without dead targets.

    The oldest target must stay first, also if the bucket moves back to it: it
    owns the flows that no record tells of.

    Args:
        past: The history until now.
        target: The target of new flows from now on; may be the present one.
        live: The targets that are live.

    Returns:
        The history, oldest first, ending with `target`.
    """
    kept = [name for name in past if name in live]
    if not kept or kept[-1] != target:
        kept.append(target)
    middle = [name for name in dict.fromkeys(kept[1:-1]) if name != kept[0]]
    if len(kept) == 1 or (kept[0] == kept[-1] and not middle):
        return (target,)
    return (kept[0], *middle, target)


def with_epoch_targets(epoch: Epoch, targets: TargetWeights) -> TargetWeights:
    """Adds the targets of the present tables to the planner's input.

    The registry of an instance that has just begun to coordinate may be behind
    that of the others; what it lacks is not gone for that.

    Args:
        epoch: The present epoch.
        targets: The targets that this instance knows.

    Returns:
        The targets that this instance or the epoch knows.
    """
    completed = dict(targets)
    for table in epoch.tables:
        known = completed.get(table.service, ())
        names = {item.target_id for item in known}
        assigned = set(table.assignment) - {_table.UNASSIGNED}
        past = {name for item in table.transitions for name in item.history}
        added = tuple(
            TargetWeight(name, 1.0 if name in assigned else 0.0)
            for name in sorted((assigned | past) - names)
        )
        completed[table.service] = known + added
    return completed
