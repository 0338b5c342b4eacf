"""Messages between the routers of a data centre."""

from typing import NamedTuple

from bluebelltide import _types
from bluebelltide.flows import _epoch
from bluebelltide.flows import _owner
from bluebelltide.flows import _wire


class EpochDecided(NamedTuple):
    """The coordinator announces an epoch that the routers must prepare."""

    coordinator: _types.InstanceId
    """The coordinator."""
    epoch: _wire.WireEpoch
    """The epoch, whole or as a difference."""
    has_majority: bool
    """Whether the coordinator receives heartbeats of a majority."""


class EpochPrepared(NamedTuple):
    """A router has prepared an epoch and routes by it."""

    sender: _types.InstanceId
    """The router's instance."""
    lineage: str
    """The epoch's lineage."""
    epoch_number: int
    """The epoch's number."""
    fork_count: int
    """How many forks led to the lineage."""
    stable_buckets: tuple[tuple[_epoch.BucketKey, int], ...]
    """Stable buckets of this owner, with the epoch of their last move."""


class StateRequest(NamedTuple):
    """A new owner asks an earlier owner or backup for a bucket's state."""

    sender: _types.InstanceId
    """The new owner."""
    key: _epoch.BucketKey
    """The bucket."""
    epoch_number: int
    """The epoch that made the sender the owner."""


class StateTransfer(NamedTuple):
    """The answer to StateRequest; its sender no longer owns the bucket."""

    key: _epoch.BucketKey
    """The bucket."""
    epoch_number: int
    """The epoch number of the request."""
    state: _owner.BucketState | None
    """The state, or None if the sender has none."""


class Mirror(NamedTuple):
    """An owner sends its backup the whole state of a bucket."""

    sender: _types.InstanceId
    """The owner."""
    key: _epoch.BucketKey
    """The bucket."""
    sequence: int
    """A number that identifies the mirror; copied into MirrorHeld."""
    state: _owner.BucketState
    """The state."""


class MirrorHeld(NamedTuple):
    """A backup acknowledges a Mirror."""

    key: _epoch.BucketKey
    """The bucket."""
    sequence: int
    """The sequence of the mirror."""


class Directions(NamedTuple):
    """Route hints: another instance may route a cut-over bucket by itself."""

    sender: _types.InstanceId
    """The owner."""
    key: _epoch.BucketKey
    """The bucket."""
    moved_in_epoch: int
    """The epoch in which the bucket moved last."""
    pinned_flows: tuple[tuple[int, _types.TargetId], ...]
    """Flows that do not belong to the newest target, by flow hash."""
    valid_ms: int
    """How long the hints are valid from their receipt."""


class ForgetFlow(NamedTuple):
    """An owner revokes its route hints for a bucket, because of one flow."""

    sender: _types.InstanceId
    """The owner."""
    key: _epoch.BucketKey
    """The bucket."""
    flow_hash: int
    """The flow that opens anew on another target."""


class FlowForgotten(NamedTuple):
    """The answer to ForgetFlow."""

    sender: _types.InstanceId
    """The instance that has dropped its route hints."""
    key: _epoch.BucketKey
    """The bucket."""
    flow_hash: int
    """The flow."""


class Heartbeat(NamedTuple):
    """An instance asks its coordinator to renew its routing lease."""

    sender: _types.InstanceId
    """The instance."""
    sent_ms: int
    """When it was sent by the sender's clock; copied into LeaseGranted."""
    has_lease: bool
    """Whether the sender holds a lease, which shows that grants reach it."""
    is_leaving: bool
    """Whether the sender is leaving, so that others must own its buckets."""


class LeaseGranted(NamedTuple):
    """The coordinator renews a routing lease."""

    coordinator: _types.InstanceId
    """The coordinator."""
    sent_ms: int
    """The heartbeat's `sent_ms`, at which the lease starts."""
    lease_ms: int
    """The duration of the lease."""
    lineage: str
    """The lineage of the coordinator's epoch."""
    active_epoch_number: int
    """The newest epoch that every live instance has prepared."""


RouterMessage = (
    EpochDecided
    | EpochPrepared
    | StateRequest
    | StateTransfer
    | Mirror
    | MirrorHeld
    | Directions
    | ForgetFlow
    | FlowForgotten
)


class FlowRecord(NamedTuple):
    """What a backup records of a flow, relayed with the opening packet."""

    key: _epoch.BucketKey
    """The bucket."""
    moved_in_epoch: int
    """The epoch in which the bucket moved last."""
    flow_hash: int
    """The flow."""
    target_id: _types.TargetId
    """The target that the owner chose."""
