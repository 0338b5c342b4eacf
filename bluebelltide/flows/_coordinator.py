"""Agreement on epochs, and the leases that permit instances to route.

The coordinator is the first live instance of the current epoch. The next epoch
is decided by a majority of the current epoch's instances, so two coordinators
that consider each other dead cannot decide differently.

An instance routes only while it holds a lease. The coordinator grants leases
only while it receives heartbeats from a majority. An epoch may become active
although an instance has not prepared it, but only after the last lease of this
instance has expired. The coordinator waits for twice the lease duration, both
since its last grant and since it has had a majority, because an earlier
coordinator may have granted a lease until then. Leases depend on durations
only, not on synchronised clocks.
"""

from collections.abc import Set as AbstractSet
import random
from typing import NamedTuple

from bluebelltide import _codec
from bluebelltide import _types
from bluebelltide.catalogue import _register
from bluebelltide.flows import _epoch
from bluebelltide.flows import _hashing
from bluebelltide.flows import _leases
from bluebelltide.flows import _messages
from bluebelltide.flows import _wire

FIRST_RESEND_INTERVAL_MS = 100
"""The first interval between two sends of an epoch; each next one doubles."""
MAXIMUM_RESEND_INTERVAL_MS = 2000
"""The longest interval between two sends of an epoch to an instance."""
PROPOSAL_TIMEOUT_MS = 1000
"""A proposal that takes longer than this is restarted."""
PREPARE_TIMEOUT_MS = 1500
"""An instance that has not prepared the epoch in this time gets no lease."""
REJOIN_DELAY_MS = 5000
"""An excluded instance may join again after this time."""
TARGET_GRACE_MS = 10_000
"""A coordinator removes no target for this long after it has a majority."""
FORK_AFTER_MS = 8000
"""Instances that have no majority for this long fork the lineage."""
STABLE_BUCKETS_DELAY_MS = 5000
"""An epoch that only ends transitions waits this long after the last epoch."""

CoordinatorMessage = (
    _messages.Heartbeat
    | _messages.LeaseGranted
    | _messages.EpochDecided
    | _register.Prepare
    | _register.Accept
    | _register.Promise
    | _register.Accepted
    | _register.Rejected
)


class SendMessage(NamedTuple):
    """Action: send a message to an instance, which may be the sender."""

    instance: _types.InstanceId
    """The receiver."""
    message: CoordinatorMessage
    """The message."""


class Coordinator:
    """Epoch agreement in one instance, which may become the coordinator."""

    def __init__(self, name: _types.InstanceId, seed: int) -> None:
        """Creates the state of an instance without an epoch."""
        self.name = name
        self.epoch: _epoch.Epoch | None = None
        self.active_epoch_number = 0
        self.is_leaving = False
        self._random = random.Random(seed)
        self._acceptor_states: dict[str, _register.AcceptorState] = {}
        self._members: dict[str, _leases.Member] = {}
        self._may_rejoin_from_ms: dict[str, int] = {}
        self._is_coordinating = False
        self._majority_since_ms: int | None = None
        self._majority_lost_ms = 0
        self._targets_visible_since_ms = 0
        self._lease_until_ms = -1
        self._difference_base: _epoch.Epoch | None = None
        self._wire_epochs: dict[tuple[int, str, bool], _wire.WireEpoch] = {}
        self._next_heartbeat_ms = 0
        self._is_handing_over = False
        self._proposal: _register.Proposal | None = None
        self._proposal_started_ms = 0
        self._retry_proposal_at_ms: int | None = None
        self._stable_buckets: dict[_epoch.BucketKey, int] = {}
        self._adopted_ms = 0
        self._proposal_count = 0
        self._last_plan_input: object = None
        self._yields_until_ms = 0

    def may_route(self, now_ms: int) -> bool:
        """Returns whether this instance holds a lease."""
        return now_ms < self._lease_until_ms

    def form_lineage(self, now_ms: int) -> None:
        """Forms a lineage that consists of this instance."""
        lineage = f"{self.name}@{now_ms}"
        self._adopt(_epoch.first_epoch(lineage, (self.name,)), now_ms)

    def adopt(self, epoch: _epoch.Epoch, now_ms: int) -> None:
        """Adopts the epoch of this instance's router if it is newer."""
        if _epoch.is_newer(epoch, self.epoch):
            self._adopt(epoch, now_ms)

    def _adopt(self, epoch: _epoch.Epoch, now_ms: int) -> None:
        if self.epoch is not None and self.epoch.lineage != epoch.lineage:
            self.active_epoch_number = 0
            self._members = {}
        is_successor = self.epoch is not None and (
            (self.epoch.lineage, self.epoch.number + 1)
            == (epoch.lineage, epoch.number)
        )
        self._difference_base = self.epoch if is_successor else None
        self._wire_epochs = {}
        self.epoch = epoch
        self._adopted_ms = now_ms
        self._yields_until_ms = 0
        self._proposal = None
        self._retry_proposal_at_ms = None
        transitions = _epoch.buckets_in_transition(epoch)
        self._stable_buckets = {
            key: moved_in_epoch
            for key, moved_in_epoch in self._stable_buckets.items()
            if key in transitions
            and transitions[key].moved_in_epoch == moved_in_epoch
        }
        next_key = self._register_key(epoch.number + 1)
        self._acceptor_states = {
            key: state
            for key, state in self._acceptor_states.items()
            if key == next_key
        }

    def expected_coordinator(
        self, live: AbstractSet[_types.InstanceId]
    ) -> _types.InstanceId | None:
        """Returns the instance that should be the coordinator."""
        if self.epoch is None:
            return None
        for name in self.epoch.instances:
            if name in live:
                return name
        return None

    def tick(
        self,
        live: AbstractSet[_types.InstanceId],
        targets: _epoch.TargetWeights,
        now_ms: int,
    ) -> list[SendMessage]:
        """Runs timers; call it about every 50 ms.

        Args:
            live: The live instances by membership, this one included.
            targets: The live targets of each service.
            now_ms: The current time.

        Returns:
            Messages to send.
        """
        if self.epoch is None:
            return []
        sends: list[SendMessage] = []
        coordinator = self.expected_coordinator(live)
        self._update_role(coordinator == self.name, now_ms)
        if coordinator is not None and now_ms >= self._next_heartbeat_ms:
            interval_ms = _leases.heartbeat_ms(len(self.epoch.instances))
            self._next_heartbeat_ms = now_ms + interval_ms
            heartbeat = _messages.Heartbeat(
                self.name, now_ms, self.may_route(now_ms), self.is_leaving
            )
            sends.append(SendMessage(coordinator, heartbeat))
        if self._is_coordinating:
            self._is_handing_over = False
            self._coordinate(live, targets, now_ms, sends)
        elif self._is_handing_over and coordinator is not None:
            sends.append(SendMessage(coordinator, self._epoch_decided(None)))
        return sends

    def _update_role(self, is_coordinator: bool, now_ms: int) -> None:
        is_coordinator = is_coordinator and now_ms >= self._yields_until_ms
        if is_coordinator and not self._is_coordinating:
            self._members = {}
            self._majority_since_ms = None
            self._majority_lost_ms = now_ms
        self._is_coordinating = is_coordinator

    def _coordinate(
        self,
        live: AbstractSet[_types.InstanceId],
        targets: _epoch.TargetWeights,
        now_ms: int,
        sends: list[SendMessage],
    ) -> None:
        assert self.epoch is not None
        participants = (*self.epoch.instances, *self.epoch.leaving)
        # An excluded instance is not a member and gets no lease. If it joins
        # again, it gets a new member state.
        self._members = {
            name: self._members.get(name) or _leases.Member(now_ms)
            for name in participants
        }
        self._update_majority(now_ms)
        self._announce_epoch(participants, now_ms, sends)
        if self._majority_since_ms is None:
            if not self._has_most_targets(targets):
                self._targets_visible_since_ms = now_ms
            lost_ms = max(
                self._majority_lost_ms, self._targets_visible_since_ms
            )
            if now_ms - lost_ms > FORK_AFTER_MS:
                self._fork(now_ms)
            return
        if self._proposal is not None:
            self._retry_proposal(now_ms, sends)
            return
        excluded = self._excluded_instances(participants, now_ms)
        unprepared = {
            name
            for name in participants
            if self._members[name].prepared_number < self.epoch.number
        }
        if not unprepared:
            self.active_epoch_number = self.epoch.number
        if unprepared - excluded:
            return
        for name in excluded:
            self._may_rejoin_from_ms[name] = now_ms + REJOIN_DELAY_MS
        desired = self._desired_instances(live, excluded, now_ms)
        planned = self._plan(desired, targets, now_ms)
        if planned is not None:
            self._propose(planned, now_ms, sends)

    def _desired_instances(
        self,
        live: AbstractSet[_types.InstanceId],
        excluded: set[str],
        now_ms: int,
    ) -> _epoch.DesiredInstances:
        assert self.epoch is not None
        participants = {*self.epoch.instances, *self.epoch.leaving}
        leaving = {
            name
            for name in participants
            if self._members[name].is_leaving or name in self.epoch.leaving
        }
        joining = {
            name
            for name in live
            if now_ms >= self._may_rejoin_from_ms.get(name, 0)
            and name not in participants
        }
        staying = (participants - leaving | joining) - excluded
        if not staying:
            # The last instance cannot transfer its buckets to another one.
            staying, leaving = {self.name}, leaving - {self.name}
        return _epoch.DesiredInstances(
            tuple(sorted(staying)), tuple(sorted(leaving - excluded))
        )

    def _plan(
        self,
        desired: _epoch.DesiredInstances,
        targets: _epoch.TargetWeights,
        now_ms: int,
    ) -> _epoch.Epoch | None:
        assert self.epoch is not None
        assert self._majority_since_ms is not None
        is_delay_over = now_ms - self._adopted_ms > STABLE_BUCKETS_DELAY_MS
        may_end_transitions = bool(self._stable_buckets) and is_delay_over
        is_in_grace = now_ms - self._majority_since_ms < TARGET_GRACE_MS
        epoch_state = (self.epoch.number, self.epoch.lineage, is_in_grace)
        plan_input = (epoch_state, desired, dict(targets))
        if plan_input == self._last_plan_input and not may_end_transitions:
            return None
        self._last_plan_input = plan_input
        if is_in_grace:
            targets = _epoch.with_epoch_targets(self.epoch, targets)
        no_stable_buckets: frozenset[tuple[_epoch.BucketKey, int]] = frozenset()
        planned = _epoch.plan_next_epoch(
            self.epoch, desired, targets, no_stable_buckets
        )
        if planned is None and not may_end_transitions:
            return None
        stable_buckets = frozenset(self._stable_buckets.items())
        return _epoch.plan_next_epoch(
            self.epoch, desired, targets, stable_buckets
        )

    def _excluded_instances(
        self, participants: tuple[_types.InstanceId, ...], now_ms: int
    ) -> set[str]:
        assert self.epoch is not None
        if self._majority_since_ms is None:
            return set()
        return {
            name
            for name in participants
            if name != self.name
            and now_ms
            - max(self._members[name].last_grant_ms, self._majority_since_ms)
            > _leases.exclude_after_ms(len(self.epoch.instances))
        }

    def _lease_ms(self) -> int:
        assert self.epoch is not None
        return _leases.lease_ms(len(self.epoch.instances))

    def _has_recent_heartbeat(
        self, name: _types.InstanceId, now_ms: int
    ) -> bool:
        if name == self.name:
            return True
        last_heartbeat_ms = self._members[name].last_heartbeat_ms
        return (
            last_heartbeat_ms is not None
            and now_ms - last_heartbeat_ms <= self._lease_ms()
        )

    def _update_majority(self, now_ms: int) -> None:
        assert self.epoch is not None
        reachable = {
            n
            for n in self.epoch.instances
            if self._has_recent_heartbeat(n, now_ms)
        }
        if not _register.Voters(0, self.epoch.instances).is_quorum(reachable):
            if self._majority_since_ms is not None:
                self._majority_lost_ms = now_ms
            self._majority_since_ms = None
        elif self._majority_since_ms is None:
            self._majority_since_ms = now_ms

    def _has_most_targets(self, targets: _epoch.TargetWeights) -> bool:
        """Returns whether at least two thirds of the targets are known here.

        Targets announce themselves to any instance that answers. An instance
        without a majority that constantly knows most targets is among the last
        live ones. An instance that is only cut off from the others knows few
        targets and must not route.
        """
        assert self.epoch is not None
        epoch_targets = {
            (table.service, name)
            for table in self.epoch.tables
            for name in set(table.assignment)
        }
        known_targets = {
            (service, item.target_id)
            for service, items in targets.items()
            for item in items
            if item.weight > 0
        }
        return 3 * len(epoch_targets & known_targets) >= 2 * len(epoch_targets)

    def _fork(self, now_ms: int) -> None:
        assert self.epoch is not None
        survivors = [
            n
            for n in self.epoch.instances
            if self._has_recent_heartbeat(n, now_ms)
        ]
        number = self.epoch.number + 1
        fork = self.epoch._replace(
            number=number,
            lineage=f"{self.name}@{number}/{now_ms}",
            fork_count=self.epoch.fork_count + 1,
            instances=tuple(survivors),
            leaving=(),
            previous_instances=self.epoch.instances,
            parent_lineage=self.epoch.lineage,
        )
        self._adopt(fork, now_ms)
        self._majority_lost_ms = now_ms

    def _epoch_decided(
        self, base: _epoch.Epoch | None
    ) -> _messages.EpochDecided:
        assert self.epoch is not None
        has_majority = self._majority_since_ms is not None
        key = (self.epoch.number, self.epoch.lineage, base is None)
        wire = self._wire_epochs.get(key)
        if wire is None:
            wire = _wire.to_wire(self.epoch, base)
            self._wire_epochs[key] = wire
        return _messages.EpochDecided(self.name, wire, has_majority)

    def _schedule_whole_epoch(
        self, member: _leases.Member, now_ms: int
    ) -> None:
        """Schedules the whole epoch for a member that lacks the base epoch."""
        if not member.needs_whole_epoch:
            member.needs_whole_epoch = True
            member.next_send_ms = now_ms

    def _announce_epoch(
        self,
        participants: tuple[_types.InstanceId, ...],
        now_ms: int,
        sends: list[SendMessage],
    ) -> None:
        assert self.epoch is not None
        for name in participants:
            member = self._members[name]
            if member.prepared_number >= self.epoch.number:
                continue
            if member.announced_number != self.epoch.number:
                member.announced_number = self.epoch.number
                member.needs_whole_epoch = False
                member.next_send_ms = now_ms
                member.resend_interval_ms = FIRST_RESEND_INTERVAL_MS
            if now_ms >= member.next_send_ms:
                member.next_send_ms = now_ms + member.resend_interval_ms
                member.resend_interval_ms = min(
                    2 * member.resend_interval_ms, MAXIMUM_RESEND_INTERVAL_MS
                )
                base = (
                    None if member.needs_whole_epoch else self._difference_base
                )
                message = self._epoch_decided(base)
                sends.append(SendMessage(name, message))

    # Consensus on the next epoch.

    def _register_key(self, number: int) -> str:
        assert self.epoch is not None
        return f"{self.epoch.lineage}/{number}"

    def _propose(
        self, planned: _epoch.Epoch, now_ms: int, sends: list[SendMessage]
    ) -> None:
        assert self.epoch is not None
        wire = _wire.to_wire(planned, self.epoch)
        value = _codec.encode(_codec.to_plain(wire))

        def choose(
            state: _register.RegisterState,
        ) -> tuple[_register.RegisterState, _register.ChangeResult]:
            if state.version is None:
                state = _register.RegisterState(1, value)
            return state, _register.ChangeResult(None, state, 1)

        self._proposal_count += 1
        voters = _register.Voters(0, self.epoch.instances)
        self._proposal = _register.Proposal(
            self._register_key(planned.number),
            f"{self.name}/{now_ms}/{self._proposal_count}",
            voters,
            choose,
        )
        self._proposal_started_ms = now_ms
        self._perform_actions(self._proposal.start(), now_ms, sends)

    def _retry_proposal(self, now_ms: int, sends: list[SendMessage]) -> None:
        assert self._proposal is not None
        is_late = now_ms - self._proposal_started_ms > PROPOSAL_TIMEOUT_MS
        is_due = (
            self._retry_proposal_at_ms is not None
            and now_ms >= self._retry_proposal_at_ms
        )
        if is_late or is_due:
            self._retry_proposal_at_ms = None
            self._proposal_started_ms = now_ms
            self._perform_actions(self._proposal.start(), now_ms, sends)

    def _perform_actions(
        self,
        actions: list[_register.Action],
        now_ms: int,
        sends: list[SendMessage],
    ) -> None:
        for action in actions:
            if isinstance(action, _register.Send):
                for name in action.replicas:
                    sends.append(SendMessage(name, action.message))
            elif isinstance(action, _register.Done):
                self._on_decided(action.result, now_ms)
            elif isinstance(action, _register.Backoff):
                delay_ms = self._random.uniform(10, 50 * action.attempt)
                self._retry_proposal_at_ms = now_ms + int(delay_ms)

    def _on_decided(self, result: _register.ChangeResult, now_ms: int) -> None:
        assert result.state.value is not None
        plain = _codec.decode(result.state.value, "epoch")
        wire = _codec.from_plain(plain, _wire.WireEpoch, "epoch")
        epoch = _wire.from_wire(wire, self.epoch)
        # The voters of an epoch hold it, so they can decode its successor,
        # which is encoded as a difference from it.
        assert epoch is not None
        self._adopt(epoch, now_ms)
        # If the new epoch does not contain this instance, the next coordinator
        # must receive the epoch before this instance stops announcing it.
        self._is_handing_over = True

    # Messages.

    def receive(
        self,
        sender: _types.InstanceId,
        message: CoordinatorMessage,
        now_ms: int,
    ) -> list[SendMessage]:
        """Handles a message from an instance."""
        sends: list[SendMessage] = []
        if isinstance(message, _messages.Heartbeat):
            return self._on_heartbeat(message, now_ms)
        if isinstance(message, _messages.LeaseGranted):
            until_ms = message.sent_ms + message.lease_ms
            self._lease_until_ms = max(self._lease_until_ms, until_ms)
        elif isinstance(message, _register.Prepare | _register.Accept):
            return self._answer_proposer(sender, message)
        elif self._proposal is not None and not isinstance(
            message, _messages.EpochDecided
        ):
            actions = self._proposal.handle_reply(sender, message)
            self._perform_actions(actions, now_ms, sends)
        return sends

    def _on_heartbeat(
        self, heartbeat: _messages.Heartbeat, now_ms: int
    ) -> list[SendMessage]:
        member = self._members.get(heartbeat.sender)
        if not self._is_coordinating or member is None:
            return []
        assert self.epoch is not None
        member.last_heartbeat_ms = now_ms
        member.is_leaving = heartbeat.is_leaving
        if heartbeat.has_lease or self._majority_since_ms is None:
            member.lease_missing_since_ms = None
        if not self._may_grant_lease(member, now_ms):
            return []
        if not heartbeat.has_lease and member.lease_missing_since_ms is None:
            # Grants are sent from now on. If the instance still has no lease
            # some time later, they do not reach it.
            member.lease_missing_since_ms = now_ms
        member.last_grant_ms = now_ms
        grant = _messages.LeaseGranted(
            self.name,
            heartbeat.sent_ms,
            _leases.lease_ms(len(self.epoch.instances)),
            self.epoch.lineage,
            self.active_epoch_number,
        )
        return [SendMessage(heartbeat.sender, grant)]

    def _may_grant_lease(self, member: _leases.Member, now_ms: int) -> bool:
        """Returns whether a member may get a lease.

        A member that does not prepare the epoch, or that no grant reaches, gets
        no more leases, so that it can be excluded and other instances can own
        its buckets.
        """
        assert self.epoch is not None
        if self._majority_since_ms is None:
            return False
        if member.prepared_number < self.epoch.number - 1:
            # It has joined or returned and may still route by an old epoch. It
            # gets a lease once it has prepared a recent one.
            return False
        is_behind = member.prepared_number < self.epoch.number
        if is_behind and now_ms - self._adopted_ms > PREPARE_TIMEOUT_MS:
            return False
        since_ms = member.lease_missing_since_ms
        return since_ms is None or now_ms - since_ms <= 2 * self._lease_ms()

    def on_prepared(
        self, message: _messages.EpochPrepared, now_ms: int
    ) -> None:
        """Handles an instance's answer to an epoch."""
        if self.epoch is None:
            return
        lagging = self._members.get(message.sender)
        is_behind = (
            message.lineage != self.epoch.lineage
            or message.epoch_number < self.epoch.number - 1
        )
        if lagging is not None and is_behind:
            self._schedule_whole_epoch(lagging, now_ms)
        if message.lineage != self.epoch.lineage:
            other_epoch = self.epoch._replace(
                number=message.epoch_number,
                lineage=message.lineage,
                fork_count=message.fork_count,
            )
            if _epoch.is_newer(other_epoch, self.epoch):
                # The other lineage wins. Its coordinator adds this instance.
                self._yields_until_ms = now_ms + FORK_AFTER_MS
            return
        is_from_coordinator = message.sender == self.epoch.instances[0]
        if is_from_coordinator and message.epoch_number >= self.epoch.number:
            self._is_handing_over = False
        member = self._members.get(message.sender)
        if member is not None:
            member.prepared_number = max(
                member.prepared_number, message.epoch_number
            )
        if message.epoch_number < self.epoch.number:
            # Only an owner in the current epoch may report a bucket stable.
            return
        transitions = _epoch.buckets_in_transition(self.epoch)
        for key, moved_in_epoch in message.stable_buckets:
            ranked = _hashing.rank_instances(
                self.epoch.instances, key.service, key.bucket
            )
            is_owner = ranked[0] == message.sender
            is_in_transition = key in transitions and (
                transitions[key].moved_in_epoch == moved_in_epoch
            )
            if is_owner and is_in_transition:
                self._stable_buckets[key] = moved_in_epoch

    def _answer_proposer(
        self,
        sender: _types.InstanceId,
        message: _register.Prepare | _register.Accept,
    ) -> list[SendMessage]:
        if self.epoch is None or self.name not in self.epoch.instances:
            return []
        if message.key != self._register_key(self.epoch.number + 1):
            # The proposer missed an epoch whose coordinator may be dead.
            return [SendMessage(sender, self._epoch_decided(None))]
        state = self._acceptor_states.get(
            message.key, _register.AcceptorState()
        )
        voters = _register.Voters(0, self.epoch.instances)
        reply: _register.Reply
        if isinstance(message, _register.Prepare):
            state, reply = _register.handle_prepare(state, voters, message)
        else:
            state, reply = _register.handle_accept(state, voters, message)
        self._acceptor_states[message.key] = state
        return [SendMessage(sender, reply)]
