"""Packet routing of one instance.

A router performs no I/O. It gets packets and messages and returns actions.

A packet of a stable bucket is routed by the table alone. A packet of a bucket
in transition is relayed to the bucket's owner, unless the owner has sent this
instance route hints. If a new flow must be pinned, its opening packet passes
through the owner's backup, which records the flow before it delivers the
packet. So two instances hold the record of each pinned flow.
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
"""The number of times a packet may be relayed between instances."""
RETRY_INTERVAL_MS = 50
"""The time between two sends of an unanswered message."""
ROUTE_HINTS_INTERVAL_MS = 500
"""The shortest time between two sends of a bucket's hints to an instance."""
DEFAULT_IDLE_TIMEOUT_MS = 60_000
"""The idle timeout of services without a setting."""


class TargetSets(NamedTuple):
    """The targets of a service in this instance's registry."""

    live: frozenset[_types.TargetId]
    """Live targets, draining ones included."""
    accepting: frozenset[_types.TargetId]
    """Targets that accept new flows."""


NO_TARGETS = TargetSets(frozenset(), frozenset())


class _RouteHints(NamedTuple):
    """Route hints that an owner has sent."""

    moved_in_epoch: int
    pinned_flows: Mapping[int, _types.TargetId]
    expires_ms: int


class _PendingState(NamedTuple):
    """A state that a new owner still requests from earlier holders."""

    epoch_number: int
    possible_holders: tuple[_types.InstanceId, ...]


class _PendingMirror(NamedTuple):
    """A mirror that the backup has not acknowledged."""

    sequence: int
    is_cutover: bool
    sent_state: _owner.BucketState | None


class _IndexedTable:
    """A service's table with its transitions indexed by bucket."""

    def __init__(self, table: _epoch.ServiceTable) -> None:
        self.assignment = table.assignment
        self.transitions = {item.bucket: item for item in table.transitions}


class Router:
    """The routing state of one instance and its buckets."""

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
        """Updates the targets to the current state of the registry.

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
        """Routes a packet.

        Args:
            packet: The packet.
            now_ms: The current time.

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
        """Records a flow as its bucket's backup, then routes its packet."""
        owned_bucket = self._owned_buckets.get(record.key)
        if owned_bucket is not None:
            owned_bucket.pinned_flows[record.flow_hash] = record.target_id
        else:
            mirror = self._mirrors.get(record.key)
            if mirror is None or mirror.moved_in_epoch != record.moved_in_epoch:
                # The mirror has not arrived yet. The caller retransmits the
                # packet.
                return _packets.Drop(_codes.DropCode.NOT_OWNER)
            pinned_flows = dict(mirror.pinned_flows)
            pinned_flows[record.flow_hash] = record.target_id
            self._mirrors[record.key] = mirror._replace(
                pinned_flows=tuple(pinned_flows.items())
            )
        return self._deliver_or_drop(packet, record.target_id)

    def _deliver_or_drop(
        self, packet: _packets.Packet, target_id: _types.TargetId | None
    ) -> _packets.Decision:
        if not target_id:
            return _packets.Drop(_codes.DropCode.NO_TARGET)
        live = self._targets.get(packet.service, NO_TARGETS).live
        if target_id not in live:
            # The epoch contains the target, but this instance's registry does
            # not contain it yet or any more. Another instance may know it.
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
        hints = self._route_hints.get(key)
        if hints is None or hints.expires_ms <= now_ms:
            return None
        pinned_target = hints.pinned_flows.get(packet.flow_hash)
        if pinned_target is None:
            return table.assignment[key.bucket]
        return None if packet.is_opening else pinned_target

    def _route_as_owner(
        self, key: _epoch.BucketKey, packet: _packets.Packet, now_ms: int
    ) -> tuple[_packets.Decision, list[_packets.SendMessage]]:
        owned_bucket = self._owned_buckets.get(key)
        if owned_bucket is None:
            return _packets.Drop(_codes.DropCode.NOT_OWNER), []
        sends = self._route_hints_for(key, owned_bucket, packet.via, now_ms)
        accepting = self._targets.get(key.service, NO_TARGETS).accepting
        if packet.is_opening and packet.from_target is None:
            forgets = self._forget_requests(
                key, owned_bucket, packet, accepting
            )
            if forgets:
                return _packets.Drop(_codes.DropCode.REOPENING), sends + forgets
        is_opening = packet.is_opening and packet.from_target is None
        owner_decision = owned_bucket.decide(
            packet.flow_hash, is_opening, accepting, now_ms
        )
        decision = self._deliver_or_drop(packet, owner_decision.target_id)
        _, backup = self._owner_and_backup(key)
        if (
            owner_decision.is_record_needed
            and backup is not None
            and isinstance(decision, _packets.Deliver)
        ):
            record = _messages.FlowRecord(
                key,
                owned_bucket.moved_in_epoch,
                packet.flow_hash,
                decision.target_id,
            )
            return _packets.Relay(backup, record), sends
        return decision, sends

    def _route_hints_for(
        self,
        key: _epoch.BucketKey,
        owned_bucket: _owner.OwnedBucket,
        receiver: _types.InstanceId | None,
        now_ms: int,
    ) -> list[_packets.SendMessage]:
        valid_ms = owned_bucket.route_hints_valid_ms(now_ms)
        if receiver is None or valid_ms <= 0:
            return []
        sent_ms = self._hints_sent_ms.get((key, receiver))
        if sent_ms is not None and now_ms - sent_ms < ROUTE_HINTS_INTERVAL_MS:
            return []
        self._hints_sent_ms[(key, receiver)] = now_ms
        hints = _messages.Directions(
            self.name,
            key,
            owned_bucket.moved_in_epoch,
            tuple(sorted(owned_bucket.pinned_flows.items())),
            valid_ms,
        )
        return [_packets.SendMessage(receiver, hints)]

    def _forget_requests(
        self,
        key: _epoch.BucketKey,
        owned_bucket: _owner.OwnedBucket,
        packet: _packets.Packet,
        accepting: frozenset[_types.TargetId],
    ) -> list[_packets.SendMessage]:
        """Returns requests that must be answered before a flow opens anew.

        The flow is pinned to a target that accepts no new flows, and other
        instances may have route hints that send the flow there.
        """
        flow_hash = packet.flow_hash
        pinned_target = owned_bucket.pinned_flows.get(flow_hash)
        if pinned_target is None or pinned_target in accepting:
            return []
        hinted_instances = {
            name
            for hinted_key, name in self._hints_sent_ms
            if hinted_key == key
        }
        unanswered = self._pending_forgets.setdefault(
            (key, flow_hash), hinted_instances
        )
        unanswered &= set(self.epoch.instances if self.epoch else ())
        if not unanswered:
            del self._pending_forgets[(key, flow_hash)]
            return []
        message = _messages.ForgetFlow(self.name, key, flow_hash)
        return [
            _packets.SendMessage(name, message) for name in sorted(unanswered)
        ]

    # Messages.

    def receive(
        self, message: _messages.RouterMessage, now_ms: int
    ) -> list[_packets.SendMessage]:
        """Handles a message from another instance."""
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
            return self._on_forget_flow(message)
        elif isinstance(message, _messages.FlowForgotten):
            unanswered = self._pending_forgets.get(
                (message.key, message.flow_hash)
            )
            if unanswered is not None:
                unanswered.discard(message.sender)
                self._hints_sent_ms.pop((message.key, message.sender), None)
        return []

    def _on_epoch(
        self, message: _messages.EpochDecided, now_ms: int
    ) -> list[_packets.SendMessage]:
        epoch = _wire.from_wire(message.epoch, self.epoch)
        if epoch is not None and _epoch.is_newer(epoch, self.epoch):
            is_own_lineage = self.epoch is None or (
                self.epoch.lineage in (epoch.lineage, epoch.parent_lineage)
            )
            # A coordinator without a majority must not take over instances of
            # another lineage.
            if is_own_lineage or message.has_majority:
                self.install(epoch, now_ms)
        return [
            _packets.SendMessage(message.coordinator, self.epoch_prepared())
        ]

    def epoch_prepared(self) -> _messages.EpochPrepared:
        """Returns the message that reports the prepared epoch.

        An epoch is prepared when this instance has received the states of all
        buckets that it owns in the epoch.
        """
        if self.epoch is None:
            return _messages.EpochPrepared(self.name, "", 0, 0, ())
        stable_buckets = tuple(
            (key, bucket.moved_in_epoch)
            for key, bucket in self._owned_buckets.items()
            if bucket.is_stable()
        )
        epoch_number = self.epoch.number - (1 if self._pending_states else 0)
        return _messages.EpochPrepared(
            self.name,
            self.epoch.lineage,
            epoch_number,
            self.epoch.fork_count,
            stable_buckets,
        )

    def activate(self, epoch_number: int) -> None:
        """Activates an epoch that every live instance has prepared."""
        self.active_epoch_number = max(self.active_epoch_number, epoch_number)
        for bucket in self._owned_buckets.values():
            if bucket.moved_in_epoch <= self.active_epoch_number:
                bucket.activate()

    def install(self, epoch: _epoch.Epoch, now_ms: int) -> None:
        """Prepares an epoch: this instance routes by it from now on."""
        previous_epoch = self.epoch
        is_successor = previous_epoch is not None and (
            previous_epoch.lineage in (epoch.lineage, epoch.parent_lineage)
            and previous_epoch.number + 1 == epoch.number
        )
        if not is_successor:
            # In the epochs that this instance missed, others owned its buckets,
            # so its bucket states are outdated.
            self._clear_bucket_states()
            self.active_epoch_number = 0
        self.epoch = epoch
        if not epoch.parent_lineage:
            # An epoch is planned only after every live instance has prepared
            # the previous one, so the previous one is active. A new instance
            # must not start in an earlier phase.
            self.activate(epoch.number - 1)
        self._tables = {t.service: _IndexedTable(t) for t in epoch.tables}
        transitions = _epoch.buckets_in_transition(epoch)
        self._drop_stable_buckets(set(transitions))
        for key, transition in transitions.items():
            hints = self._route_hints.get(key)
            if (
                hints is not None
                and hints.moved_in_epoch != transition.moved_in_epoch
            ):
                del self._route_hints[key]
            self._assume_role(key, transition, now_ms)

    def _clear_bucket_states(self) -> None:
        for states in (
            self._owned_buckets,
            self._pending_states,
            self._released_states,
            self._mirrors,
            self._route_hints,
            self._hints_sent_ms,
            self._pending_forgets,
            self._pending_mirrors,
        ):
            states.clear()

    def _drop_stable_buckets(
        self, in_transition: set[_epoch.BucketKey]
    ) -> None:
        for states in (
            self._owned_buckets,
            self._pending_states,
            self._released_states,
            self._mirrors,
            self._route_hints,
            self._pending_mirrors,
        ):
            for key in [key for key in states if key not in in_transition]:
                del states[key]
        for instance_key in [
            p for p in self._hints_sent_ms if p[0] not in in_transition
        ]:
            del self._hints_sent_ms[instance_key]
        for flow_key in [
            p for p in self._pending_forgets if p[0] not in in_transition
        ]:
            del self._pending_forgets[flow_key]

    def _assume_role(
        self,
        key: _epoch.BucketKey,
        transition: _epoch.BucketTransition,
        now_ms: int,
    ) -> None:
        assert self.epoch is not None
        owner, backup = self._owner_and_backup(key)
        has_just_started = transition.started_in_epoch == self.epoch.number
        if owner != self.name:
            self._release(key, backup == self.name)
            if has_just_started and backup == self.name:
                # The transition has just started, so the backup knows the
                # state and can record flows before the owner's mirror arrives.
                self._mirrors[key] = _initial_state(transition)
            return
        owned_bucket = self._owned_buckets.get(key)
        if owned_bucket is not None:
            owned_bucket.move(transition)
            self._schedule_mirror(key, is_cutover=False)
            return
        mirror = self._mirrors.pop(key, None)
        holders = () if has_just_started else self._possible_holders(key)
        if mirror is not None and (not holders or holders[0] == self.name):
            self._become_owner(key, mirror, now_ms)
            return
        others = tuple(name for name in holders if name != self.name)
        if others:
            self._pending_states[key] = _PendingState(self.epoch.number, others)
        else:
            self._become_owner(key, _initial_state(transition), now_ms)

    def _possible_holders(
        self, key: _epoch.BucketKey
    ) -> tuple[_types.InstanceId, ...]:
        """Returns the live instances that may have a bucket's state."""
        assert self.epoch is not None
        live = (*self.epoch.instances, *self.epoch.leaving)
        pending = self._pending_states.get(key)
        if pending is not None:
            return tuple(
                name for name in pending.possible_holders if name in live
            )
        ranked = _hashing.rank_instances(
            self.epoch.previous_instances, key.service, key.bucket
        )
        return tuple(name for name in ranked if name in live)

    def _release(self, key: _epoch.BucketKey, is_backup: bool) -> None:
        """Gives up a bucket's ownership and keeps its state for the owner."""
        assert self.epoch is not None
        owned_bucket = self._owned_buckets.pop(key, None)
        self._pending_states.pop(key, None)
        self._pending_mirrors.pop(key, None)
        if owned_bucket is not None:
            self._released_states[key] = (
                self.epoch.number,
                owned_bucket.state(),
            )
        elif key in self._mirrors:
            self._released_states[key] = (self.epoch.number, self._mirrors[key])
        if not is_backup:
            self._mirrors.pop(key, None)

    def _become_owner(
        self, key: _epoch.BucketKey, state: _owner.BucketState, now_ms: int
    ) -> None:
        transition = self._tables[key.service].transitions[key.bucket]
        idle_timeout_ms = self._idle_timeouts_ms.get(
            key.service, DEFAULT_IDLE_TIMEOUT_MS
        )
        owned_bucket = _owner.OwnedBucket(state, idle_timeout_ms)
        if state.moved_in_epoch <= self.active_epoch_number:
            owned_bucket.activate()
        owned_bucket.move(transition)
        if transition.moved_in_epoch <= self.active_epoch_number:
            owned_bucket.activate()
        owned_bucket.start_observation(now_ms)
        self._pending_states.pop(key, None)
        self._released_states.pop(key, None)
        self._owned_buckets[key] = owned_bucket
        self._schedule_mirror(key, is_cutover=False)

    def _schedule_mirror(self, key: _epoch.BucketKey, is_cutover: bool) -> None:
        # The retry timer sends the mirror, so that a change of many buckets
        # causes no burst of messages.
        self._mirror_sequence += 1
        self._pending_mirrors[key] = _PendingMirror(
            self._mirror_sequence, is_cutover, None
        )

    def _on_state_request(
        self, request: _messages.StateRequest
    ) -> list[_packets.SendMessage]:
        if self.epoch is None or self.epoch.number < request.epoch_number:
            # This instance still routes by an older epoch.
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
        pending = self._pending_states.get(message.key)
        if pending is None or pending.epoch_number != message.epoch_number:
            return
        if message.state is not None:
            self._become_owner(message.key, message.state, now_ms)
            return
        other_holders = pending.possible_holders[1:]
        if other_holders:
            self._pending_states[message.key] = pending._replace(
                possible_holders=other_holders
            )
            return
        transition = self._tables[message.key.service].transitions[
            message.key.bucket
        ]
        self._become_owner(message.key, _initial_state(transition), now_ms)

    def _on_mirror(
        self, message: _messages.Mirror
    ) -> list[_packets.SendMessage]:
        if message.key in self._owned_buckets:
            return []
        if self.epoch is None or message.key.service not in self._tables:
            return []
        state = message.state
        known_mirror = self._mirrors.get(message.key)
        if (
            known_mirror is not None
            and not state.is_cut_over
            and (known_mirror.moved_in_epoch == state.moved_in_epoch)
        ):
            # A record may have arrived before a mirror that lacks it.
            pinned_flows = {
                **dict(known_mirror.pinned_flows),
                **dict(state.pinned_flows),
            }
            state = state._replace(pinned_flows=tuple(pinned_flows.items()))
        self._mirrors[message.key] = state
        answer = _messages.MirrorHeld(message.key, message.sequence)
        return [_packets.SendMessage(message.sender, answer)]

    def _on_mirror_held(
        self, message: _messages.MirrorHeld, now_ms: int
    ) -> None:
        pending = self._pending_mirrors.get(message.key)
        if pending is None or pending.sequence != message.sequence:
            return
        del self._pending_mirrors[message.key]
        owned_bucket = self._owned_buckets.get(message.key)
        if not pending.is_cutover or owned_bucket is None:
            return
        if owned_bucket.state_after_cutover() == pending.sent_state:
            owned_bucket.cut_over(now_ms)
        else:
            # An old flow was observed in the meantime; the backup needs it.
            self._schedule_mirror(message.key, is_cutover=True)

    def _on_directions(
        self, message: _messages.Directions, now_ms: int
    ) -> None:
        table = self._tables.get(message.key.service)
        transition = (
            table.transitions.get(message.key.bucket) if table else None
        )
        if (
            transition is None
            or transition.moved_in_epoch != message.moved_in_epoch
        ):
            return
        if self._owner_and_backup(message.key)[0] != message.sender:
            return
        self._route_hints[message.key] = _RouteHints(
            message.moved_in_epoch,
            dict(message.pinned_flows),
            now_ms + message.valid_ms,
        )

    def _on_forget_flow(
        self, message: _messages.ForgetFlow
    ) -> list[_packets.SendMessage]:
        self._route_hints.pop(message.key, None)
        answer = _messages.FlowForgotten(
            self.name, message.key, message.flow_hash
        )
        return [_packets.SendMessage(message.sender, answer)]

    def on_lease_lost(self) -> None:
        """Restarts the observations when this instance may not route.

        It receives no packets in the meantime, so it cannot observe which flows
        are alive.
        """
        for bucket in self._owned_buckets.values():
            bucket.restart_observation()

    # Timers.

    def tick(self, now_ms: int) -> list[_packets.SendMessage]:
        """Runs timers; call it about every 50 ms.

        Args:
            now_ms: The current time.

        Returns:
            Messages to send.
        """
        for key, owned_bucket in self._owned_buckets.items():
            owned_bucket.start_observation(now_ms)
            if (
                owned_bucket.is_cutover_due(now_ms)
                and not owned_bucket.is_cutover_requested
            ):
                self._begin_cutover(key, owned_bucket, now_ms)
            if owned_bucket.expire_pinned_flows(now_ms):
                self._schedule_mirror(key, is_cutover=False)
        if now_ms < self._next_retry_ms:
            return []
        self._next_retry_ms = now_ms + RETRY_INTERVAL_MS
        return self._unanswered_messages()

    def _begin_cutover(
        self,
        key: _epoch.BucketKey,
        owned_bucket: _owner.OwnedBucket,
        now_ms: int,
    ) -> None:
        if self._owner_and_backup(key)[1] is None:
            owned_bucket.cut_over(now_ms)
            return
        owned_bucket.is_cutover_requested = True
        self._schedule_mirror(key, is_cutover=True)

    def _unanswered_messages(self) -> list[_packets.SendMessage]:
        sends = []
        for key, pending_state in self._pending_states.items():
            request = _messages.StateRequest(
                self.name, key, pending_state.epoch_number
            )
            sends.append(
                _packets.SendMessage(pending_state.possible_holders[0], request)
            )
        for key, pending_mirror in list(self._pending_mirrors.items()):
            _, backup = self._owner_and_backup(key)
            owned_bucket = self._owned_buckets.get(key)
            if backup is None or owned_bucket is None:
                del self._pending_mirrors[key]
                continue
            state = (
                owned_bucket.state_after_cutover()
                if pending_mirror.is_cutover
                else owned_bucket.state()
            )
            sequence = pending_mirror.sequence
            if pending_mirror.sent_state != state:
                self._mirror_sequence += 1
                sequence = self._mirror_sequence
                self._pending_mirrors[key] = _PendingMirror(
                    sequence, pending_mirror.is_cutover, state
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
        """Returns the number of pinned flows of the owned buckets."""
        return sum(
            len(bucket.pinned_flows) for bucket in self._owned_buckets.values()
        )

    def owned_bucket_count(self) -> int:
        """Returns how many buckets in transition this instance owns."""
        return len(self._owned_buckets)


def _initial_state(transition: _epoch.BucketTransition) -> _owner.BucketState:
    return _owner.BucketState(
        transition.history, transition.moved_in_epoch, False, ()
    )
