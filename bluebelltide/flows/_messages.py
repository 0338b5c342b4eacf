"""Messages between the routers of a data centre."""

from typing import NamedTuple

from bluebelltide import _types
from bluebelltide.flows import _epoch
from bluebelltide.flows import _owner
from bluebelltide.flows import _wire


class EpochDecided(NamedTuple):
    """The coordinator announces an epoch; routers prepare it."""

    coordinator: _types.InstanceId
    """Who coordinates."""
    epoch: _wire.WireEpoch
    """The epoch, whole or as a difference."""
    has_majority: bool
    """Whether the sender hears a majority of the epoch's instances."""


class EpochPrepared(NamedTuple):
    """A router routes by an epoch."""

    sender: _types.InstanceId
    """The router's instance."""
    lineage: str
    """The epoch's lineage."""
    epoch_number: int
    """The epoch's number."""
    fork_count: int
    """How many forks led to the lineage."""
    stable_buckets: tuple[tuple[_epoch.BucketKey, int], ...]
    """Buckets that this owner found settled, and when they had moved."""


class StateRequest(NamedTuple):
    """A new owner asks an earlier holder for a bucket's state."""

    sender: _types.InstanceId
    """Who asks."""
    key: _epoch.BucketKey
    """The bucket."""
    epoch_number: int
    """The epoch that made the sender the owner."""


class StateTransfer(NamedTuple):
    """The answer to a StateRequest; the sender decides no more."""

    key: _epoch.BucketKey
    """The bucket."""
    epoch_number: int
    """The number of the request."""
    state: _owner.BucketState | None
    """The state, or None if the sender holds none."""


class Mirror(NamedTuple):
    """An owner gives its backup the whole state of a bucket."""

    sender: _types.InstanceId
    """The owner."""
    key: _epoch.BucketKey
    """The bucket."""
    sequence: int
    """Copied into the answer."""
    state: _owner.BucketState
    """The state."""


class MirrorHeld(NamedTuple):
    """A backup holds a mirror."""

    key: _epoch.BucketKey
    """The bucket."""
    sequence: int
    """The sequence of the mirror."""


class Directions(NamedTuple):
    """An owner lets another instance route a flipped bucket by itself."""

    sender: _types.InstanceId
    """The owner."""
    key: _epoch.BucketKey
    """The bucket."""
    moved_in_epoch: int
    """The epoch in which the bucket moved last."""
    pinned_flows: tuple[tuple[int, _types.TargetId], ...]
    """Flows that do not belong to the newest target."""
    valid_ms: int
    """For how long."""


class ForgetFlow(NamedTuple):
    """An owner takes one exception out of the directions it gave."""

    sender: _types.InstanceId
    """The owner."""
    key: _epoch.BucketKey
    """The bucket."""
    flow_hash: int
    """The flow."""


class FlowForgotten(NamedTuple):
    """The answer to ForgetFlow."""

    sender: _types.InstanceId
    """Who answers."""
    key: _epoch.BucketKey
    """The bucket."""
    flow_hash: int
    """The flow."""


class Heartbeat(NamedTuple):
    """An instance asks its coordinator to renew its routing lease."""

    sender: _types.InstanceId
    """The instance."""
    sent_ms: int
    """The sender's clock, copied into the answer."""
    has_lease: bool
    """Whether the sender holds a lease; if not, grants do not reach it."""
    is_leaving: bool
    """Whether the sender wants to leave by plan."""


class LeaseGranted(NamedTuple):
    """The coordinator renews a routing lease."""

    coordinator: _types.InstanceId
    """Who coordinates."""
    sent_ms: int
    """Copied from the heartbeat; the lease runs from it."""
    lease_ms: int
    """How long the lease lasts."""
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
    """What an owner tells its backup along with an opening packet."""

    key: _epoch.BucketKey
    """The bucket."""
    moved_in_epoch: int
    """The epoch in which the bucket moved last."""
    flow_hash: int
    """The flow."""
    target_id: _types.TargetId
    """The target that the owner chose."""
