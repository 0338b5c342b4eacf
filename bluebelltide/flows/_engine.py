"""One instance's flow routing: its router and its coordinator together."""

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
"""How often settled buckets are reported to the coordinator."""

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
    """What the instance knows from membership and from the registry."""

    live: AbstractSet[_types.InstanceId]
    """The live instances of the data centre, this one included."""
    targets: _epoch.TargetWeights
    """The live targets of each service, with weights."""
    idle_timeouts_ms: Mapping[_types.ServiceName, int]
    """The idle timeout of each service."""
    may_form_lineage: bool
    """Whether this instance may form a lineage if it knows of none."""


class RoutingEngine:
    """Routes the flows of one instance together with the other instances."""

    def __init__(self, name: _types.InstanceId, seed: int) -> None:
        """Creates a node that knows no epoch and drops every packet."""
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
        """Asks to hand over everything that this instance owns."""
        self.coordinator.is_leaving = True

    def has_left(self) -> bool:
        """Returns whether this instance owns nothing any more."""
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
        """Decides what happens to a packet; see `Router.route`."""
        if not self.may_route(now_ms):
            return _packets.Drop(_codes.DropCode.NO_LEASE), []
        decision, sends = self.router.route(packet, now_ms)
        return decision, [SendMessage(*send) for send in sends]

    def record_and_route(
        self, record: _messages.FlowRecord, packet: _packets.Packet, now_ms: int
    ) -> _packets.Decision:
        """Records a flow and delivers its packet; see `Router`."""
        if not self.may_route(now_ms):
            return _packets.Drop(_codes.DropCode.NO_LEASE)
        return self.router.record_and_route(record, packet)

    def tick(self, node_input: EngineInput, now_ms: int) -> list[SendMessage]:
        """Runs timers; call it about every 50 ms.

        Args:
            node_input: What membership and the registry say.
            now_ms: The present time.

        Returns:
            Messages to send.
        """
        self._live = node_input.live
        if not self.may_route(now_ms):
            self.router.on_lease_lost()
        self._update_targets(node_input)
        if self.coordinator.epoch is None and node_input.may_form_lineage:
            self.coordinator.form_lineage(now_ms)
        sends = [
            SendMessage(*send)
            for send in self.coordinator.tick(
                node_input.live, node_input.targets, now_ms
            )
        ]
        sends += [SendMessage(*send) for send in self.router.tick(now_ms)]
        sends += self._report_stable_buckets(now_ms)
        return self._handle_own_messages(sends, now_ms)

    def _update_targets(self, node_input: EngineInput) -> None:
        known = (node_input.targets, node_input.idle_timeouts_ms)
        if known == self._last_targets_input:
            return
        self._last_targets_input = known
        targets = {
            service: _router.TargetSets(
                frozenset(item.target_id for item in items),
                frozenset(i.target_id for i in items if i.weight > 0),
            )
            for service, items in node_input.targets.items()
        }
        self.router.update_targets(targets, node_input.idle_timeouts_ms)

    def _report_stable_buckets(self, now_ms: int) -> list[SendMessage]:
        if self.router.epoch is None or now_ms < self._next_report_ms:
            return []
        self._next_report_ms = now_ms + REPORT_INTERVAL_MS
        report = self.router.epoch_prepared()
        leader = self.coordinator.expected_coordinator(self._live)
        if leader is None or not report.stable_buckets:
            return []
        return [SendMessage(leader, report)]

    def receive(
        self, sender: _types.InstanceId, message: EngineMessage, now_ms: int
    ) -> list[SendMessage]:
        """Takes a message from another instance.

        Args:
            sender: The instance that sent it.
            message: The message.
            now_ms: The present time.

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
            found = self.coordinator.receive(sender, message, now_ms)
            return [SendMessage(*send) for send in found]
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
        # An epoch that this instance has not prepared became active without
        # it; what it holds of earlier ones is not its to decide any more.
        if grant.active_epoch_number <= epoch.number:
            self.router.activate(grant.active_epoch_number)

    def _handle_own_messages(
        self, sends: list[SendMessage], now_ms: int
    ) -> list[SendMessage]:
        """Delivers what the node sends to itself; returns the rest."""
        outgoing: list[SendMessage] = []
        queue = list(sends)
        while queue:
            send = queue.pop(0)
            if send.instance == self.name:
                queue += self._handle_message(self.name, send.message, now_ms)
            else:
                outgoing.append(send)
        return outgoing
