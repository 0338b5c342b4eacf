"""Flow routing of one instance: packets and messages in, actions out.

A packet of a settled bucket is routed from the table alone. A packet of an
unsettled bucket goes to the bucket's owner, unless the owner has given this
instance directions. The opening packet of a flow that the table does not tell
passes through the owner's backup, which records the flow before the packet
leaves; so no flow exists whose only record is one instance.
"""

from collections.abc import Mapping
from typing import NamedTuple

from bluebelltide import _codes
from bluebelltide import _types
from bluebelltide.flows import _epoch
from bluebelltide.flows import _hashing
from bluebelltide.flows import _messages
from bluebelltide.flows import _owner
from bluebelltide.flows import _packets
from bluebelltide.flows import _wire

MAXIMUM_HOPS = 4
"""How often a packet may be relayed between instances."""
RETRY_INTERVAL_MS = 50
"""Time between two sends of an unanswered message."""
ROUTE_HINTS_INTERVAL_MS = 500
"""Directions for a bucket are sent to an instance at most this often."""
DEFAULT_IDLE_TIMEOUT_MS = 60_000
"""The idle timeout of services that state none."""


class TargetSets(NamedTuple):
    """The targets of a service as the registry sees them."""

    live: frozenset[_types.TargetId]
    """Targets that are live, draining ones included."""
    accepting: frozenset[_types.TargetId]
    """Targets that take new work."""


NO_TARGETS = TargetSets(frozenset(), frozenset())


class _RouteHints(NamedTuple):
    moved_in_epoch: int
    pinned_flows: Mapping[int, _types.TargetId]
    expires_ms: int


class _PendingState(NamedTuple):
    """A bucket whose state has not arrived from an earlier holder."""

    epoch_number: int
    possible_holders: tuple[_types.InstanceId, ...]


class _PendingMirror(NamedTuple):
    sequence: int
    is_cutover: bool
    sent_state: _owner.BucketState | None


class _IndexedTable:
    """A service's table, indexed for look-ups."""

    def __init__(self, table: _epoch.ServiceTable) -> None:
        self.assignment = table.assignment
        self.transitions = {item.bucket: item for item in table.transitions}


class Router:
    """The routing state of one instance."""

    def __init__(self, name: _types.InstanceId) -> None:
        """Creates a router without an epoch; it drops every packet."""
        self.name = name
        self.epoch: _epoch.Epoch | None = None
        self.active_epoch_number = 0
        self._tables: dict[_types.ServiceName, _IndexedTable] = {}
        self._targets: dict[_types.ServiceName, TargetSets] = {}
        self._idle_timeouts_ms: dict[_types.ServiceName, int] = {}
        self._owned_buckets: dict[_epoch.BucketKey, _owner.OwnedBucket] = {}
        self._pending_states: dict[_epoch.BucketKey, _PendingState] = {}
        self._released_states: dict[
            _epoch.BucketKey, tuple[int, _owner.BucketState]
        ] = {}
        self._mirrors: dict[_epoch.BucketKey, _owner.BucketState] = {}
        self._route_hints: dict[_epoch.BucketKey, _RouteHints] = {}
        self._hints_sent_ms: dict[tuple[_epoch.BucketKey, str], int] = {}
        self._pending_forgets: dict[tuple[_epoch.BucketKey, int], set[str]] = {}
        self._pending_mirrors: dict[_epoch.BucketKey, _PendingMirror] = {}
        self._mirror_sequence = 0
        self._next_retry_ms = 0

    def update_targets(
        self,
        targets: Mapping[_types.ServiceName, TargetSets],
        idle_timeouts_ms: Mapping[_types.ServiceName, int],
    ) -> None:
        """Takes the registry's present view.

        Args:
            targets: The targets of each service.
            idle_timeouts_ms: The idle timeout of each service.
        """
        self._targets = dict(targets)
        self._idle_timeouts_ms = dict(idle_timeouts_ms)

    # Packets.

    def route(
        self, packet: _packets.Packet, now_ms: int
    ) -> tuple[_packets.Decision, list[_packets.SendMessage]]:
        """Decides what happens to a packet.

        Args:
            packet: The packet.
            now_ms: The present time.

        Returns:
            The decision, and messages to send.
        """
        table = self._tables.get(packet.service)
        if table is None:
            return _packets.Drop(_codes.DropCode.NO_TARGET), []
        bucket = _hashing.bucket_of(packet.flow_hash)
        if bucket not in table.transitions:
            return self._deliver_or_drop(packet, table.assignment[bucket]), []
        key = _epoch.BucketKey(packet.service, bucket)
        owner, _ = self._owner_and_backup(key)
        if owner == self.name:
            return self._route_as_owner(key, packet, now_ms)
        target_id = self._hinted_target(key, table, packet, now_ms)
        if target_id is not None:
            return self._deliver_or_drop(packet, target_id), []
        if packet.hops >= MAXIMUM_HOPS:
            return _packets.Drop(_codes.DropCode.HOP_LIMIT), []
        return _packets.Relay(owner, None), []

    def record_and_route(
        self, record: _messages.FlowRecord, packet: _packets.Packet
    ) -> _packets.Decision:
        """Records a flow as its bucket's backup, then delivers its packet."""
        owned = self._owned_buckets.get(record.key)
        if owned is not None:
            owned.pinned_flows[record.flow_hash] = record.target_id
        else:
            mirror = self._mirrors.get(record.key)
            if mirror is None or mirror.moved_in_epoch != record.moved_in_epoch:
                # The mirror is on its way; the caller will send again.
                return _packets.Drop(_codes.DropCode.NOT_OWNER)
            exceptions = dict(mirror.pinned_flows)
            exceptions[record.flow_hash] = record.target_id
            self._mirrors[record.key] = mirror._replace(
                pinned_flows=tuple(exceptions.items())
            )
        return self._deliver_or_drop(packet, record.target_id)

    def _deliver_or_drop(
        self, packet: _packets.Packet, target_id: _types.TargetId | None
    ) -> _packets.Decision:
        if not target_id:
            return _packets.Drop(_codes.DropCode.NO_TARGET)
        live = self._targets.get(packet.service, NO_TARGETS).live
        if target_id not in live:
            # The epoch knows the target and this instance does not, yet or any
            # more; another instance may.
            return _packets.Drop(_codes.DropCode.UNKNOWN_TARGET)
        if packet.from_target not in (None, target_id):
            return _packets.Drop(_codes.DropCode.STALE_ANSWER)
        return _packets.Deliver(target_id)

    def _hinted_target(
        self,
        key: _epoch.BucketKey,
        table: _IndexedTable,
        packet: _packets.Packet,
        now_ms: int,
    ) -> _types.TargetId | None:
        directed = self._route_hints.get(key)
        if directed is None or directed.expires_ms <= now_ms:
            return None
        known = directed.pinned_flows.get(packet.flow_hash)
        if known is None:
            return table.assignment[key.bucket]
        return None if packet.is_opening else known

    def _route_as_owner(
        self, key: _epoch.BucketKey, packet: _packets.Packet, now_ms: int
    ) -> tuple[_packets.Decision, list[_packets.SendMessage]]:
        owned = self._owned_buckets.get(key)
        if owned is None:
            return _packets.Drop(_codes.DropCode.NOT_OWNER), []
        sends = self._route_hints_for(key, owned, packet.via, now_ms)
        accepting = self._targets.get(key.service, NO_TARGETS).accepting
        if packet.is_opening and packet.from_target is None:
            blocked = self._forget_requests(key, owned, packet, accepting)
            if blocked:
                return _packets.Drop(_codes.DropCode.REOPENING), sends + blocked
        is_opening = packet.is_opening and packet.from_target is None
        verdict = owned.decide(packet.flow_hash, is_opening, accepting, now_ms)
        decision = self._deliver_or_drop(packet, verdict.target_id)
        _, backup = self._owner_and_backup(key)
        if (
            verdict.is_record_needed
            and backup is not None
            and isinstance(decision, _packets.Deliver)
        ):
            record = _messages.FlowRecord(
                key, owned.moved_in_epoch, packet.flow_hash, decision.target_id
            )
            return _packets.Relay(backup, record), sends
        return decision, sends

    def _route_hints_for(
        self,
        key: _epoch.BucketKey,
        owned: _owner.OwnedBucket,
        via: _types.InstanceId | None,
        now_ms: int,
    ) -> list[_packets.SendMessage]:
        valid_ms = owned.route_hints_valid_ms(now_ms)
        if via is None or valid_ms <= 0:
            return []
        given_ms = self._hints_sent_ms.get((key, via))
        if given_ms is not None and now_ms - given_ms < ROUTE_HINTS_INTERVAL_MS:
            return []
        self._hints_sent_ms[(key, via)] = now_ms
        directions = _messages.Directions(
            self.name,
            key,
            owned.moved_in_epoch,
            tuple(sorted(owned.pinned_flows.items())),
            valid_ms,
        )
        return [_packets.SendMessage(via, directions)]

    def _forget_requests(
        self,
        key: _epoch.BucketKey,
        owned: _owner.OwnedBucket,
        packet: _packets.Packet,
        accepting: frozenset[_types.TargetId],
    ) -> list[_packets.SendMessage]:
        """Returns messages that must be answered before a flow opens anew.

        The flow's old target takes no new work, and other instances hold
        directions that send the flow there.
        """
        flow = packet.flow_hash
        known = owned.pinned_flows.get(flow)
        if known is None or known in accepting:
            return []
        given = {name for held, name in self._hints_sent_ms if held == key}
        pending = self._pending_forgets.setdefault((key, flow), given)
        pending &= set(self.epoch.instances if self.epoch else ())
        if not pending:
            del self._pending_forgets[(key, flow)]
            return []
        message = _messages.ForgetFlow(self.name, key, flow)
        return [_packets.SendMessage(name, message) for name in sorted(pending)]

    # Messages.

    def receive(
        self, message: _messages.RouterMessage, now_ms: int
    ) -> list[_packets.SendMessage]:
        """Takes a message from another instance."""
        if isinstance(message, _messages.EpochDecided):
            return self._on_epoch(message, now_ms)
        if isinstance(message, _messages.StateRequest):
            return self._on_state_request(message)
        if isinstance(message, _messages.StateTransfer):
            self._on_state_transfer(message, now_ms)
        elif isinstance(message, _messages.Mirror):
            return self._on_mirror(message)
        elif isinstance(message, _messages.MirrorHeld):
            self._on_mirror_held(message, now_ms)
        elif isinstance(message, _messages.Directions):
            self._on_directions(message, now_ms)
        elif isinstance(message, _messages.ForgetFlow):
            return self._on_forget(message)
        elif isinstance(message, _messages.FlowForgotten):
            pending = self._pending_forgets.get(
                (message.key, message.flow_hash)
            )
            if pending is not None:
                pending.discard(message.sender)
                self._hints_sent_ms.pop((message.key, message.sender), None)
        return []

    def _on_epoch(
        self, message: _messages.EpochDecided, now_ms: int
    ) -> list[_packets.SendMessage]:
        epoch = _wire.from_wire(message.epoch, self.epoch)
        if epoch is not None and _epoch.is_newer(epoch, self.epoch):
            is_same = self.epoch is None or (
                self.epoch.lineage in (epoch.lineage, epoch.parent_lineage)
            )
            # The rest of a lineage that lost its majority takes nobody over.
            if is_same or message.has_majority:
                self.install(epoch, now_ms)
        return [
            _packets.SendMessage(message.coordinator, self.epoch_prepared())
        ]

    def epoch_prepared(self) -> _messages.EpochPrepared:
        """Returns the answer to the coordinator.

        An epoch counts as prepared once the states of all buckets that this
        instance owns by it have arrived.
        """
        if self.epoch is None:
            return _messages.EpochPrepared(self.name, "", 0, 0, ())
        settled = tuple(
            (key, bucket.moved_in_epoch)
            for key, bucket in self._owned_buckets.items()
            if bucket.is_stable()
        )
        number = self.epoch.number - (1 if self._pending_states else 0)
        return _messages.EpochPrepared(
            self.name,
            self.epoch.lineage,
            number,
            self.epoch.fork_count,
            settled,
        )

    def activate(self, number: int) -> None:
        """Takes the news that every live instance prepared an epoch."""
        self.active_epoch_number = max(self.active_epoch_number, number)
        for bucket in self._owned_buckets.values():
            if bucket.moved_in_epoch <= self.active_epoch_number:
                bucket.activate()

    def install(self, epoch: _epoch.Epoch, now_ms: int) -> None:
        """Prepares an epoch: routes by it from now on."""
        before = self.epoch
        follows = before is not None and (
            before.lineage in (epoch.lineage, epoch.parent_lineage)
            and before.number + 1 == epoch.number
        )
        if not follows:
            # Others have decided for this instance's buckets in the epochs
            # that it missed; what it holds is out of date.
            self._clear_bucket_states()
            self.active_epoch_number = 0
        self.epoch = epoch
        if not epoch.parent_lineage:
            # An epoch is planned only after every live instance has prepared
            # the one before; a new instance must not begin behind that.
            self.activate(epoch.number - 1)
        self._tables = {t.service: _IndexedTable(t) for t in epoch.tables}
        wanted = _epoch.buckets_in_transition(epoch)
        self._drop_stable_buckets(set(wanted))
        for key, item in wanted.items():
            directed = self._route_hints.get(key)
            if (
                directed is not None
                and directed.moved_in_epoch != item.moved_in_epoch
            ):
                del self._route_hints[key]
            self._assume_role(key, item, now_ms)

    def _clear_bucket_states(self) -> None:
        for held in (
            self._owned_buckets,
            self._pending_states,
            self._released_states,
            self._mirrors,
            self._route_hints,
            self._hints_sent_ms,
            self._pending_forgets,
            self._pending_mirrors,
        ):
            held.clear()

    def _drop_stable_buckets(self, wanted: set[_epoch.BucketKey]) -> None:
        for held in (
            self._owned_buckets,
            self._pending_states,
            self._released_states,
            self._mirrors,
            self._route_hints,
            self._pending_mirrors,
        ):
            for key in [key for key in held if key not in wanted]:
                del held[key]
        for pair in [p for p in self._hints_sent_ms if p[0] not in wanted]:
            del self._hints_sent_ms[pair]
        for flow in [p for p in self._pending_forgets if p[0] not in wanted]:
            del self._pending_forgets[flow]

    def _assume_role(
        self, key: _epoch.BucketKey, item: _epoch.BucketTransition, now_ms: int
    ) -> None:
        assert self.epoch is not None
        owner, backup = self._owner_and_backup(key)
        is_new = item.started_in_epoch == self.epoch.number
        if owner != self.name:
            self._release(key, backup == self.name)
            if is_new and backup == self.name:
                # Nothing has happened in the bucket yet, so the backup can
                # take records before the owner's mirror arrives.
                self._mirrors[key] = _initial_state(item)
            return
        owned = self._owned_buckets.get(key)
        if owned is not None:
            owned.move(item)
            self._schedule_mirror(key, is_flip=False)
            return
        mirror = self._mirrors.pop(key, None)
        holders = () if is_new else self._possible_holders(key)
        if mirror is not None and (not holders or holders[0] == self.name):
            self._become_owner(key, mirror, now_ms)
            return
        others = tuple(name for name in holders if name != self.name)
        if others:
            self._pending_states[key] = _PendingState(self.epoch.number, others)
        else:
            self._become_owner(key, _initial_state(item), now_ms)

    def _possible_holders(
        self, key: _epoch.BucketKey
    ) -> tuple[_types.InstanceId, ...]:
        """Returns the live instances that may hold a bucket's state."""
        assert self.epoch is not None
        live = (*self.epoch.instances, *self.epoch.leaving)
        awaited = self._pending_states.get(key)
        if awaited is not None:
            return tuple(
                name for name in awaited.possible_holders if name in live
            )
        ranked = _hashing.rank_instances(
            self.epoch.previous_instances, key.service, key.bucket
        )
        return tuple(name for name in ranked if name in live)

    def _release(self, key: _epoch.BucketKey, is_backup: bool) -> None:
        """Stops deciding for a bucket and keeps its state for the owner."""
        assert self.epoch is not None
        owned = self._owned_buckets.pop(key, None)
        self._pending_states.pop(key, None)
        self._pending_mirrors.pop(key, None)
        if owned is not None:
            self._released_states[key] = (self.epoch.number, owned.state())
        elif key in self._mirrors:
            self._released_states[key] = (self.epoch.number, self._mirrors[key])
        if not is_backup:
            self._mirrors.pop(key, None)

    def _become_owner(
        self, key: _epoch.BucketKey, state: _owner.BucketState, now_ms: int
    ) -> None:
        item = self._tables[key.service].transitions[key.bucket]
        idle_ms = self._idle_timeouts_ms.get(
            key.service, DEFAULT_IDLE_TIMEOUT_MS
        )
        owned = _owner.OwnedBucket(state, idle_ms)
        if state.moved_in_epoch <= self.active_epoch_number:
            owned.activate()
        owned.move(item)
        if item.moved_in_epoch <= self.active_epoch_number:
            owned.activate()
        owned.start_observation(now_ms)
        self._pending_states.pop(key, None)
        self._released_states.pop(key, None)
        self._owned_buckets[key] = owned
        self._schedule_mirror(key, is_flip=False)

    def _schedule_mirror(self, key: _epoch.BucketKey, is_flip: bool) -> None:
        # The retry timer sends it, so that a change of many buckets is paced.
        self._mirror_sequence += 1
        self._pending_mirrors[key] = _PendingMirror(
            self._mirror_sequence, is_flip, None
        )

    def _on_state_request(
        self, request: _messages.StateRequest
    ) -> list[_packets.SendMessage]:
        if self.epoch is None or self.epoch.number < request.epoch_number:
            # This instance still decides by an older epoch.
            return []
        if (
            request.key in self._owned_buckets
            or request.key in self._pending_states
        ):
            return []
        state = None
        released = self._released_states.get(request.key)
        if released is not None:
            state = released[1]
        elif request.key in self._mirrors:
            state = self._mirrors[request.key]
        answer = _messages.StateTransfer(
            request.key, request.epoch_number, state
        )
        return [_packets.SendMessage(request.sender, answer)]

    def _on_state_transfer(
        self, message: _messages.StateTransfer, now_ms: int
    ) -> None:
        awaited = self._pending_states.get(message.key)
        if awaited is None or awaited.epoch_number != message.epoch_number:
            return
        if message.state is not None:
            self._become_owner(message.key, message.state, now_ms)
            return
        rest = awaited.possible_holders[1:]
        if rest:
            self._pending_states[message.key] = awaited._replace(
                possible_holders=rest
            )
            return
        item = self._tables[message.key.service].transitions[message.key.bucket]
        self._become_owner(message.key, _initial_state(item), now_ms)

    def _on_mirror(
        self, message: _messages.Mirror
    ) -> list[_packets.SendMessage]:
        if message.key in self._owned_buckets:
            return []
        if self.epoch is None or message.key.service not in self._tables:
            return []
        state = message.state
        known = self._mirrors.get(message.key)
        if (
            known is not None
            and not state.is_cut_over
            and (known.moved_in_epoch == state.moved_in_epoch)
        ):
            # A record may have overtaken the mirror that lacks it.
            exceptions = {
                **dict(known.pinned_flows),
                **dict(state.pinned_flows),
            }
            state = state._replace(pinned_flows=tuple(exceptions.items()))
        self._mirrors[message.key] = state
        answer = _messages.MirrorHeld(message.key, message.sequence)
        return [_packets.SendMessage(message.sender, answer)]

    def _on_mirror_held(
        self, message: _messages.MirrorHeld, now_ms: int
    ) -> None:
        wait = self._pending_mirrors.get(message.key)
        if wait is None or wait.sequence != message.sequence:
            return
        del self._pending_mirrors[message.key]
        owned = self._owned_buckets.get(message.key)
        if not wait.is_cutover or owned is None:
            return
        if owned.state_after_cutover() == wait.sent_state:
            owned.cut_over(now_ms)
        else:
            # An old flow showed itself meanwhile; the backup must know it.
            self._schedule_mirror(message.key, is_flip=True)

    def _on_directions(
        self, message: _messages.Directions, now_ms: int
    ) -> None:
        table = self._tables.get(message.key.service)
        item = table.transitions.get(message.key.bucket) if table else None
        if item is None or item.moved_in_epoch != message.moved_in_epoch:
            return
        if self._owner_and_backup(message.key)[0] != message.sender:
            return
        self._route_hints[message.key] = _RouteHints(
            message.moved_in_epoch,
            dict(message.pinned_flows),
            now_ms + message.valid_ms,
        )

    def _on_forget(
        self, message: _messages.ForgetFlow
    ) -> list[_packets.SendMessage]:
        self._route_hints.pop(message.key, None)
        answer = _messages.FlowForgotten(
            self.name, message.key, message.flow_hash
        )
        return [_packets.SendMessage(message.sender, answer)]

    def on_lease_lost(self) -> None:
        """Takes the news that this instance may not route for now.

        It sees no packets meanwhile, so it cannot tell which flows live.
        """
        for bucket in self._owned_buckets.values():
            bucket.restart_observation()

    # Timers.

    def tick(self, now_ms: int) -> list[_packets.SendMessage]:
        """Runs timers; call it about every 50 ms.

        Args:
            now_ms: The present time.

        Returns:
            Messages to send.
        """
        for key, owned in self._owned_buckets.items():
            owned.start_observation(now_ms)
            if owned.is_cutover_due(now_ms) and not owned.is_cutover_requested:
                self._begin_cutover(key, owned, now_ms)
            if owned.expire_pinned_flows(now_ms):
                self._schedule_mirror(key, is_flip=False)
        if now_ms < self._next_retry_ms:
            return []
        self._next_retry_ms = now_ms + RETRY_INTERVAL_MS
        return self._unanswered_requests()

    def _begin_cutover(
        self, key: _epoch.BucketKey, owned: _owner.OwnedBucket, now_ms: int
    ) -> None:
        if self._owner_and_backup(key)[1] is None:
            owned.cut_over(now_ms)
            return
        owned.is_cutover_requested = True
        self._schedule_mirror(key, is_flip=True)

    def _unanswered_requests(self) -> list[_packets.SendMessage]:
        sends = []
        for key, awaited in self._pending_states.items():
            request = _messages.StateRequest(
                self.name, key, awaited.epoch_number
            )
            sends.append(
                _packets.SendMessage(awaited.possible_holders[0], request)
            )
        for key, wait in list(self._pending_mirrors.items()):
            _, backup = self._owner_and_backup(key)
            owned = self._owned_buckets.get(key)
            if backup is None or owned is None:
                del self._pending_mirrors[key]
                continue
            state = (
                owned.state_after_cutover()
                if wait.is_cutover
                else owned.state()
            )
            sequence = wait.sequence
            if wait.sent_state != state:
                self._mirror_sequence += 1
                sequence = self._mirror_sequence
                self._pending_mirrors[key] = _PendingMirror(
                    sequence, wait.is_cutover, state
                )
            message = _messages.Mirror(self.name, key, sequence, state)
            sends.append(_packets.SendMessage(backup, message))
        return sends

    def _owner_and_backup(
        self, key: _epoch.BucketKey
    ) -> tuple[_types.InstanceId, _types.InstanceId | None]:
        assert self.epoch is not None
        ranked = _hashing.rank_instances(
            self.epoch.instances, key.service, key.bucket
        )
        return ranked[0], ranked[1] if len(ranked) > 1 else None

    def pinned_flow_count(self) -> int:
        """Returns how many flows this instance holds exceptions of."""
        return sum(
            len(bucket.pinned_flows) for bucket in self._owned_buckets.values()
        )

    def owned_bucket_count(self) -> int:
        """Returns how many unsettled buckets this instance owns."""
        return len(self._owned_buckets)


def _initial_state(item: _epoch.BucketTransition) -> _owner.BucketState:
    return _owner.BucketState(item.history, item.moved_in_epoch, False, ())
