"""The routing engine of one instance: its router and its coordinator."""

from collections.abc import Mapping
from collections.abc import Set as AbstractSet
from typing import NamedTuple

from bluebelltide import _codes
from bluebelltide import _types
from bluebelltide.catalogue import _register
from bluebelltide.flows import _coordinator
from bluebelltide.flows import _epoch
from bluebelltide.flows import _messages
from bluebelltide.flows import _packets
from bluebelltide.flows import _router

REPORT_INTERVAL_MS = 1000
"""The time between two reports of stable buckets to the coordinator."""

EngineMessage = (
    _messages.RouterMessage
    | _messages.Heartbeat
    | _messages.LeaseGranted
    | _register.Prepare
    | _register.Accept
    | _register.Promise
    | _register.Accepted
    | _register.Rejected
)


class SendMessage(NamedTuple):
    """Action: send a message to another instance."""

    instance: _types.InstanceId
    """The receiver."""
    message: EngineMessage
    """The message."""


class EngineInput(NamedTuple):
    """Input of the engine from membership and the target registry."""

    live: AbstractSet[_types.InstanceId]
    """The live instances of the data centre, this one included."""
    targets: _epoch.TargetWeights
    """The live targets of each service, with weights."""
    idle_timeouts_ms: Mapping[_types.ServiceName, int]
    """The idle timeout of each service."""
    may_form_lineage: bool
    """Whether this instance may form a lineage if it has no epoch."""


class RoutingEngine:
    """Routes one instance's flows in agreement with the other instances."""

    def __init__(self, name: _types.InstanceId, seed: int) -> None:
        """Creates an engine without an epoch; it drops every packet."""
        self.name = name
        self.router = _router.Router(name)
        self.coordinator = _coordinator.Coordinator(name, seed)
        self._live: AbstractSet[_types.InstanceId] = frozenset()
        self._next_report_ms = 0
        self._last_targets_input: tuple[object, object] | None = None

    def may_route(self, now_ms: int) -> bool:
        """Returns whether the instance holds a routing lease."""
        return self.coordinator.may_route(now_ms)

    def leave(self) -> None:
        """Starts to transfer the buckets of this instance to others."""
        self.coordinator.is_leaving = True

    def has_left(self) -> bool:
        """Returns whether this instance has no bucket left to transfer."""
        epoch = self.router.epoch
        if epoch is None:
            return True
        is_last = epoch.instances == (self.name,)
        return is_last or (
            self.name not in epoch.instances
            and self.router.active_epoch_number >= epoch.number
        )

    def route(
        self, packet: _packets.Packet, now_ms: int
    ) -> tuple[_packets.Decision, list[SendMessage]]:
        """Routes a packet; see `Router.route`."""
        if not self.may_route(now_ms):
            return _packets.Drop(_codes.DropCode.NO_LEASE), []
        decision, sends = self.router.route(packet, now_ms)
        return decision, [SendMessage(*send) for send in sends]

    def record_and_route(
        self, record: _messages.FlowRecord, packet: _packets.Packet, now_ms: int
    ) -> _packets.Decision:
        """Records a flow and routes its packet; see `Router`."""
        if not self.may_route(now_ms):
            return _packets.Drop(_codes.DropCode.NO_LEASE)
        return self.router.record_and_route(record, packet)

    def tick(self, engine_input: EngineInput, now_ms: int) -> list[SendMessage]:
        """Runs timers; call it about every 50 ms.

        Args:
            engine_input: The state of membership and the target registry.
            now_ms: The current time.

        Returns:
            Messages to send.
        """
        self._live = engine_input.live
        if not self.may_route(now_ms):
            self.router.on_lease_lost()
        self._update_targets(engine_input)
        if self.coordinator.epoch is None and engine_input.may_form_lineage:
            self.coordinator.form_lineage(now_ms)
        sends = [
            SendMessage(*send)
            for send in self.coordinator.tick(
                engine_input.live, engine_input.targets, now_ms
            )
        ]
        sends += [SendMessage(*send) for send in self.router.tick(now_ms)]
        sends += self._report_stable_buckets(now_ms)
        return self._handle_own_messages(sends, now_ms)

    def _update_targets(self, engine_input: EngineInput) -> None:
        targets_input = (engine_input.targets, engine_input.idle_timeouts_ms)
        if targets_input == self._last_targets_input:
            return
        self._last_targets_input = targets_input
        targets = {
            service: _router.TargetSets(
                frozenset(item.target_id for item in weights),
                frozenset(i.target_id for i in weights if i.weight > 0),
            )
            for service, weights in engine_input.targets.items()
        }
        self.router.update_targets(targets, engine_input.idle_timeouts_ms)

    def _report_stable_buckets(self, now_ms: int) -> list[SendMessage]:
        if self.router.epoch is None or now_ms < self._next_report_ms:
            return []
        self._next_report_ms = now_ms + REPORT_INTERVAL_MS
        report = self.router.epoch_prepared()
        coordinator = self.coordinator.expected_coordinator(self._live)
        if coordinator is None or not report.stable_buckets:
            return []
        return [SendMessage(coordinator, report)]

    def receive(
        self, sender: _types.InstanceId, message: EngineMessage, now_ms: int
    ) -> list[SendMessage]:
        """Handles a message from another instance.

        Args:
            sender: The instance that sent the message.
            message: The message.
            now_ms: The current time.

        Returns:
            Messages to send.
        """
        return self._handle_own_messages(
            self._handle_message(sender, message, now_ms), now_ms
        )

    def _handle_message(
        self, sender: _types.InstanceId, message: EngineMessage, now_ms: int
    ) -> list[SendMessage]:
        if isinstance(message, _messages.EpochPrepared):
            self.coordinator.on_prepared(message, now_ms)
            return []
        if isinstance(message, _messages.LeaseGranted):
            self._activate_epoch(message)
        if isinstance(
            message,
            _messages.Heartbeat
            | _messages.LeaseGranted
            | _register.Prepare
            | _register.Accept
            | _register.Promise
            | _register.Accepted
            | _register.Rejected,
        ):
            actions = self.coordinator.receive(sender, message, now_ms)
            return [SendMessage(*send) for send in actions]
        sends = [
            SendMessage(*send) for send in self.router.receive(message, now_ms)
        ]
        if self.router.epoch is not None:
            self.coordinator.adopt(self.router.epoch, now_ms)
        return sends

    def _activate_epoch(self, grant: _messages.LeaseGranted) -> None:
        epoch = self.router.epoch
        if epoch is None or epoch.lineage != grant.lineage:
            return
        # A newer epoch became active that this instance has not prepared, so
        # this instance may no longer decide by its state of older epochs.
        if grant.active_epoch_number <= epoch.number:
            self.router.activate(grant.active_epoch_number)

    def _handle_own_messages(
        self, sends: list[SendMessage], now_ms: int
    ) -> list[SendMessage]:
        """Handles messages to this instance and returns all others."""
        outgoing: list[SendMessage] = []
        queue = list(sends)
        while queue:
            send = queue.pop(0)
            if send.instance == self.name:
                queue += self._handle_message(self.name, send.message, now_ms)
            else:
                outgoing.append(send)
        return outgoing
