"""Epochs: the agreed sequence of routing states of one data centre.

An epoch lists the instances that route and, for each service, the target of
every bucket. Epochs are numbered within a lineage. When a majority of the
instances is lost for good, the others fork a new lineage from the old one.

A bucket that moved to another target is in transition until no flow of its
earlier targets is left. Its history lists these targets, oldest first, and
ends with the target that it moved to. A bucket that is not in transition is
stable.
"""

from collections.abc import Mapping
from collections.abc import Set as AbstractSet
from typing import NamedTuple

from bluebelltide import _types
from bluebelltide.flows import _hashing
from bluebelltide.flows import _table


class BucketKey(NamedTuple):
    """Identifies a bucket."""

    service: _types.ServiceName
    """The service that the bucket belongs to."""
    bucket: int
    """The bucket's number within the service."""


class BucketTransition(NamedTuple):
    """A bucket whose earlier targets may still have flows."""

    bucket: int
    """The bucket's number."""
    history: tuple[_types.TargetId, ...]
    """The bucket's targets, oldest first; the last one gets new flows."""
    moved_in_epoch: int
    """The number of the epoch in which the bucket moved last."""
    started_in_epoch: int
    """The number of the epoch in which the transition started."""


class ServiceTable(NamedTuple):
    """The routing table of one service."""

    service: _types.ServiceName
    """The service."""
    assignment: tuple[_types.TargetId, ...]
    """The target of each bucket's new flows, by bucket number."""
    transitions: tuple[BucketTransition, ...]
    """The buckets in transition, sorted by number."""


class Epoch(NamedTuple):
    """One agreed routing state."""

    number: int
    """The epoch's number; each epoch of a lineage adds one."""
    lineage: str
    """The lineage's name, chosen by the instance that formed or forked it."""
    instances: tuple[_types.InstanceId, ...]
    """The instances that route, sorted."""
    tables: tuple[ServiceTable, ...]
    """The table of each service, sorted by service."""
    leaving: tuple[_types.InstanceId, ...] = ()
    """Instances that still route but own no bucket, sorted."""
    previous_instances: tuple[_types.InstanceId, ...] = ()
    """The instances of the previous epoch, which may hold bucket states."""
    parent_lineage: str = ""
    """In the first epoch after a fork, the lineage that was forked."""
    fork_count: int = 0
    """How many forks led to this lineage."""


class TargetWeight(NamedTuple):
    """A live target and its weight, as the planner sees them."""

    target_id: _types.TargetId
    """The target."""
    weight: float
    """The target's relative share of new flows; 0 if it accepts none."""


class DesiredInstances(NamedTuple):
    """The instances that the next epoch should have."""

    instances: tuple[_types.InstanceId, ...]
    """Instances that route and own buckets."""
    leaving: tuple[_types.InstanceId, ...] = ()
    """Instances that route until they have left, but own no bucket."""


TargetWeights = Mapping[_types.ServiceName, tuple[TargetWeight, ...]]
"""The live targets of each service, draining ones included."""


def first_epoch(lineage: str, instances: tuple[str, ...]) -> Epoch:
    """Returns the first epoch of a new lineage."""
    return Epoch(1, lineage, tuple(sorted(instances)), ())


def plan_next_epoch(
    epoch: Epoch,
    desired: DesiredInstances,
    targets: TargetWeights,
    stable_buckets: frozenset[tuple[BucketKey, int]],
) -> Epoch | None:
    """Plans the next epoch.

    Args:
        epoch: The current epoch.
        desired: The instances that should route.
        targets: The live targets of each service.
        stable_buckets: Buckets that their owners report stable, each with the
            number of the epoch in which it moved last.

    Returns:
        The next epoch, or None if nothing needs to change.
    """
    epoch_number = epoch.number + 1
    known_tables = {table.service: table for table in epoch.tables}
    unassigned = (_table.UNASSIGNED,) * _hashing.BUCKETS
    tables = tuple(
        _plan_table(
            known_tables.get(service, ServiceTable(service, unassigned, ())),
            weights,
            stable_buckets,
            epoch_number,
        )
        for service, weights in sorted(targets.items())
    )
    planned = Epoch(
        epoch_number,
        epoch.lineage,
        tuple(sorted(desired.instances)),
        tables,
        tuple(sorted(desired.leaving)),
        epoch.instances,
    )
    is_same = (
        planned.instances == epoch.instances
        and planned.leaving == epoch.leaving
        and planned.tables == epoch.tables
    )
    return None if is_same else planned


def is_newer(epoch: Epoch, known: Epoch | None) -> bool:
    """Returns whether an epoch replaces the known one.

    A fork assumes that the instances it leaves out are dead. If instances of
    both lineages meet, the assumption was wrong, and the lineage with fewer
    forks wins.
    """
    if known is None:
        return True
    if epoch.lineage == known.lineage:
        return epoch.number > known.number
    return _precedence(epoch) > _precedence(known)


def _precedence(epoch: Epoch) -> tuple[int, int, str]:
    return (-epoch.fork_count, epoch.number, epoch.lineage)


def buckets_in_transition(epoch: Epoch) -> dict[BucketKey, BucketTransition]:
    """Returns the buckets in transition of all services."""
    return {
        BucketKey(table.service, transition.bucket): transition
        for table in epoch.tables
        for transition in table.transitions
    }


def _plan_table(
    table: ServiceTable,
    targets: tuple[TargetWeight, ...],
    stable_buckets: frozenset[tuple[BucketKey, int]],
    epoch_number: int,
) -> ServiceTable:
    weights = {t.target_id: t.weight for t in targets if t.weight > 0}
    live = {t.target_id for t in targets}
    assignment = _table.rebalance(table.assignment, weights)
    known_transitions = {
        transition.bucket: transition for transition in table.transitions
    }
    transitions = []
    for bucket, target in enumerate(assignment):
        transition = known_transitions.get(bucket)
        if transition is not None and (
            (BucketKey(table.service, bucket), transition.moved_in_epoch)
            in stable_buckets
        ):
            transition = None
        has_moved = target != table.assignment[bucket]
        if transition is None and not has_moved:
            continue
        earlier_targets = (
            transition.history if transition else (table.assignment[bucket],)
        )
        history = extend_history(earlier_targets, target, live)
        if len(history) < 2:
            continue
        moved_in_epoch = (
            epoch_number
            if has_moved or transition is None
            else transition.moved_in_epoch
        )
        started_in_epoch = (
            transition.started_in_epoch if transition else epoch_number
        )
        transitions.append(
            BucketTransition(bucket, history, moved_in_epoch, started_in_epoch)
        )
    return ServiceTable(table.service, assignment, tuple(transitions))


def extend_history(
    earlier_targets: tuple[_types.TargetId, ...],
    target: _types.TargetId,
    live: AbstractSet[_types.TargetId],
) -> tuple[_types.TargetId, ...]:
    """Returns a bucket's history after a move, without dead targets.

    The oldest target stays first, even if the bucket moves back to it, because
    it is the target of all flows that have no record.

    Args:
        earlier_targets: The history before the move.
        target: The target of new flows from now on; may be the current one.
        live: The live targets.

    Returns:
        The history, oldest first, ending with `target`.
    """
    history = [name for name in earlier_targets if name in live]
    if not history or history[-1] != target:
        history.append(target)
    between = [
        name for name in dict.fromkeys(history[1:-1]) if name != history[0]
    ]
    if len(history) == 1 or (history[0] == history[-1] and not between):
        return (target,)
    return (history[0], *between, target)


def with_epoch_targets(epoch: Epoch, targets: TargetWeights) -> TargetWeights:
    """Adds the targets of the epoch's tables to the planner's input.

    An instance that has just become the coordinator may have an incomplete
    registry. A target that it does not know yet may still be live.

    Args:
        epoch: The current epoch.
        targets: The targets that this instance knows.

    Returns:
        The targets that this instance knows or that the epoch contains.
    """
    completed = dict(targets)
    for table in epoch.tables:
        known_weights = completed.get(table.service, ())
        known_ids = {item.target_id for item in known_weights}
        assigned = set(table.assignment) - {_table.UNASSIGNED}
        earlier = {name for item in table.transitions for name in item.history}
        added = tuple(
            TargetWeight(name, 1.0 if name in assigned else 0.0)
            for name in sorted((assigned | earlier) - known_ids)
        )
        completed[table.service] = known_weights + added
    return completed
