"""A fake fabric that runs the real cores of several instances on one clock.

Every packet goes to a random instance that the fabric regards as ready. Links
between instances delay messages unevenly and may be cut in one or both
directions.
"""

from collections import Counter
from collections.abc import Callable
import functools
import random

from bluebelltide import _types
from bluebelltide import flows
from bluebelltide.bench import _clock
from bluebelltide.flows import _messages
from bluebelltide.membership import _registry
from bluebelltide.membership import _swim
from bluebelltide.peers import _frames

TICK_INTERVAL_MS = 50
"""Time between two ticks of the cores."""
MEAN_PACKET_DELAY_MS = 0.3
"""Mean one-way delay of a packet on one hop."""
READINESS_PROBE_INTERVAL_MS = 400
"""The fabric sees a change of an instance's readiness within this time."""
MINIMUM_MESSAGE_DELAY_MS = 1.0
"""Minimum delay of a control message."""
SLOW_MESSAGE_DELAY_MS = 150.0
"""Mean extra delay of a slow control message."""
SLOW_MESSAGE_PERCENT = 5
"""The share of control messages that are slow."""
FORM_LINEAGE_AFTER_MS = 3000
"""How long an instance waits to join a lineage before it forms its own."""
ANNOUNCE_INTERVAL_MS = 1000
"""Time between two announcements of a target."""
PLACEHOLDER_ADDRESS = _types.Address("127.0.0.1", 1)

Message = (
    flows.EngineMessage
    | _swim.Ping
    | _swim.Ack
    | _swim.PingRequest
    | _frames.TargetsAnnounced
    | _frames.LeasesRenewed
    | _frames.StateDigest
)


class Instance:
    """The cores of one instance."""

    def __init__(self, name: str, data_centre: str, seed: int) -> None:
        """Creates an instance that has just started."""
        self.name = name
        self.is_up = True
        self.is_stopping = False
        self.drained_targets: set[tuple[str, str]] = set()
        self.load_factors: dict[str, dict[str, float]] = {}
        self.started_ms = 0.0
        member = _swim.Member(
            name,
            seed,
            _swim.MemberStatus.ALIVE,
            data_centre,
            PLACEHOLDER_ADDRESS,
            True,
        )
        self.swim = _swim.Swim(member, seed)
        self.registry = _registry.TargetRegistry()
        self.engine = flows.RoutingEngine(name, seed)
        self.control_bytes = 0


class Fabric:
    """Instances, the links between them, and the delivery of packets."""

    def __init__(
        self,
        clock: _clock.FakeClock,
        seed: int,
        services: tuple[str, ...],
        idle_timeout_ms: int,
        loss_percent: float,
        counts_bytes: bool = True,
        has_even_load: bool = False,
    ) -> None:
        """Creates a fabric without instances."""
        self.clock = clock
        self.random = random.Random(seed)
        self.services = services
        self.idle_timeout_ms = idle_timeout_ms
        self.loss_percent = loss_percent
        self.instances: dict[str, Instance] = {}
        self.counts: Counter[str] = Counter()
        self.cut_links: set[tuple[str, str]] = set()
        self.ready_instances: list[str] = []
        self.on_deliver: Callable[[flows.Packet, str, str], None] | None = None
        self.has_even_load = has_even_load
        self._counts_bytes = counts_bytes
        self._seed = seed
        self._generations = 0
        self._last_arrival_ms: dict[tuple[str, str], float] = {}
        clock.every(TICK_INTERVAL_MS, self._tick)
        clock.every(READINESS_PROBE_INTERVAL_MS, self._probe_readiness)
        if has_even_load:
            clock.every(flows.EVEN_LOAD_INTERVAL_MS, self._update_load_factors)

    def now(self) -> int:
        """Returns the current time in whole milliseconds."""
        return int(self.clock.now_ms)

    # Instances.

    def add_instance(self, name: str) -> Instance:
        """Starts an instance and introduces it to the others."""
        self._generations += 1
        instance = Instance(name, "dc", self._seed * 1000 + self._generations)
        instance.started_ms = self.clock.now_ms
        self.instances[name] = instance
        for other in self.instances.values():
            if other.is_up and other is not instance:
                self._send_swim_messages(
                    instance,
                    instance.swim.add_member(other.swim.own_member, self.now()),
                )
                self._send_swim_messages(
                    other,
                    other.swim.add_member(instance.swim.own_member, self.now()),
                )
                instance.registry.merge(other.registry.targets(), self.now())
        return instance

    def heal(self) -> None:
        """Restores all links; their instances compare their registries."""
        self.cut_links.clear()
        for instance in self.instances.values():
            for other in self.instances.values():
                if instance is not other and instance.is_up:
                    digest = _frames.StateDigest(instance.registry.digest(), ())
                    self.send(instance, other.name, digest)

    def kill_instance(self, name: str) -> None:
        """Kills an instance without notice."""
        self.instances[name].is_up = False

    def leave_instance(self, name: str) -> None:
        """Starts a planned leave; the instance ends once it owns no bucket."""
        instance = self.instances[name]
        instance.is_stopping = True

        def start_leaving() -> None:
            instance.engine.leave()
            depart_once_left()

        def depart_once_left() -> None:
            if instance.engine.has_left():
                self._depart(instance)
            else:
                self.clock.after(TICK_INTERVAL_MS, depart_once_left)

        self.clock.after(2.5 * READINESS_PROBE_INTERVAL_MS, start_leaving)

    def _depart(self, instance: Instance) -> None:
        instance.swim.update_own_member(False, _swim.MemberStatus.LEFT)
        ping = _swim.Ping(instance.name, 0, (instance.swim.own_member,))
        for other in list(self.instances.values()):
            if other is not instance:
                self.send(instance, other.name, ping)
        instance.is_up = False

    def _probe_readiness(self) -> None:
        self.ready_instances = [
            instance.name
            for instance in self.instances.values()
            if instance.is_up
            and not instance.is_stopping
            and instance.engine.may_route(self.now())
        ]

    def _tick(self) -> None:
        now_ms = self.now()
        for instance in list(self.instances.values()):
            if not instance.is_up:
                continue
            if now_ms % 100 < TICK_INTERVAL_MS:
                self._send_swim_messages(instance, instance.swim.tick(now_ms))
                instance.registry.remove_expired(now_ms)
            self._gossip(instance)
            live = {member.name for member in instance.swim.live_members()}
            running_ms = self.clock.now_ms - instance.started_ms
            engine_input = flows.EngineInput(
                live,
                self.plan_input(instance),
                dict.fromkeys(self.services, self.idle_timeout_ms),
                running_ms > FORM_LINEAGE_AFTER_MS
                and min(live) == instance.name,
            )
            for send in instance.engine.tick(engine_input, now_ms):
                self.send(instance, send.instance, send.message)

    def plan_input(
        self, instance: Instance
    ) -> dict[str, tuple[flows.TargetWeight, ...]]:
        """Returns the targets of one instance's registry with their weights."""
        plan = {}
        for service in self.services:
            availabilities = instance.registry.availabilities(
                service, self.now()
            )
            load_factors = instance.load_factors.get(service, {})
            plan[service] = tuple(
                flows.TargetWeight(
                    availability.target.target_id,
                    _weight(availability, instance.drained_targets)
                    * load_factors.get(availability.target.target_id, 1.0),
                )
                for availability in availabilities
            )
        return plan

    def _update_load_factors(self) -> None:
        for instance in self.instances.values():
            for service in self.services:
                connections = {
                    each.target.target_id: each.target.connections
                    for each in instance.registry.availabilities(
                        service, self.now()
                    )
                    if _weight(each, instance.drained_targets)
                }
                instance.load_factors[service] = flows.even_load_weights(
                    instance.engine.router.epoch, service, connections
                )

    def _gossip(self, instance: Instance) -> None:
        changed, renewed = instance.registry.take_pending_updates()
        for other in list(self.instances.values()):
            if other is instance or not other.is_up:
                continue
            if changed:
                message = _frames.TargetsAnnounced(changed)
                self.send(instance, other.name, message)
            if renewed:
                self.send(instance, other.name, _frames.LeasesRenewed(renewed))

    def distribute_drain(self, service: str, target_id: str) -> None:
        """Sends a planned drain to every instance, each with its own delay."""
        for instance in self.instances.values():
            delay_ms = self.random.uniform(5, 400)
            add = functools.partial(
                instance.drained_targets.add, (service, target_id)
            )
            self.clock.after(delay_ms, add)

    def announce(self, target: _types.Target) -> None:
        """Sends an announcement to a random running instance."""
        running = [i for i in self.instances.values() if i.is_up]
        if running:
            self.random.choice(running).registry.announce(target, self.now())

    # Messages.

    def send(
        self, sender: Instance, receiver_name: str, message: Message
    ) -> None:
        """Sends a control message over the ordered link to an instance."""
        if self._counts_bytes:
            size_bytes = len(_frames.encode_frame(message))
            sender.control_bytes += size_bytes
            self.counts["control_bytes"] += size_bytes
        delay_ms = MINIMUM_MESSAGE_DELAY_MS + self.random.expovariate(2)
        if self.random.randrange(100) < SLOW_MESSAGE_PERCENT:
            delay_ms += self.random.expovariate(1 / SLOW_MESSAGE_DELAY_MS)
        link = (sender.name, receiver_name)
        arrival_ms = max(
            self.clock.now_ms + delay_ms, self._last_arrival_ms.get(link, 0)
        )
        self._last_arrival_ms[link] = arrival_ms
        receiver = self.instances.get(receiver_name)

        def arrive() -> None:
            if receiver is None or not receiver.is_up or link in self.cut_links:
                return
            self._receive(sender.name, receiver, message)

        if link not in self.cut_links:
            self.clock.after(arrival_ms - self.clock.now_ms, arrive)

    def _receive(
        self, sender: str, instance: Instance, message: Message
    ) -> None:
        now_ms = self.now()
        if isinstance(message, _swim.Ping | _swim.Ack | _swim.PingRequest):
            self._send_swim_messages(
                instance, instance.swim.receive(message, now_ms)
            )
        elif isinstance(message, _frames.TargetsAnnounced):
            instance.registry.merge(message.targets, now_ms)
        elif isinstance(message, _frames.LeasesRenewed):
            instance.registry.renew(message.renewals, now_ms)
        elif isinstance(message, _frames.StateDigest):
            newer = instance.registry.newer_than(message.targets)
            if newer:
                answer = _frames.TargetsAnnounced(newer)
                self.send(instance, sender, answer)
        else:
            for send in instance.engine.receive(sender, message, now_ms):
                self.send(instance, send.instance, send.message)

    def _send_swim_messages(
        self, instance: Instance, actions: list[_swim.Action]
    ) -> None:
        for action in actions:
            if isinstance(action, _swim.SendTo):
                self.send(instance, action.name, action.message)

    # Packets.

    def spray(self, packet: flows.Packet) -> str | None:
        """Sends a packet to a random ready instance.

        Args:
            packet: The packet.

        Returns:
            The instance's name, or None if no instance is ready.
        """
        if not self.ready_instances:
            self.counts["no_instance"] += 1
            return None
        name = self.random.choice(self.ready_instances)
        self.counts["packets"] += 1
        self._send_to_instance(packet, name, None)
        return name

    def _send_to_instance(
        self,
        packet: flows.Packet,
        instance_name: str,
        record: _messages.FlowRecord | None,
    ) -> None:
        if self.random.random() * 100 < self.loss_percent:
            self.counts["lost"] += 1
            return
        if (
            packet.via is not None
            and (packet.via, instance_name) in self.cut_links
        ):
            self.counts["lost"] += 1
            return
        delay_ms = self.random.expovariate(1 / MEAN_PACKET_DELAY_MS)
        self.clock.after(
            delay_ms, lambda: self._handle_packet(packet, instance_name, record)
        )

    def _handle_packet(
        self,
        packet: flows.Packet,
        instance_name: str,
        record: _messages.FlowRecord | None,
    ) -> None:
        instance = self.instances[instance_name]
        if not instance.is_up:
            self.counts["lost"] += 1
            return
        now_ms = self.now()
        if record is not None:
            decision = instance.engine.record_and_route(record, packet, now_ms)
        else:
            decision, sends = instance.engine.route(packet, now_ms)
            for send in sends:
                self.send(instance, send.instance, send.message)
        if isinstance(decision, flows.Drop):
            self.counts[f"dropped.{decision.code}"] += 1
        elif isinstance(decision, flows.Relay):
            self.counts["relays"] += 1
            if packet.hops == 0:
                self.counts["relayed"] += 1
            relayed = packet._replace(via=instance_name, hops=packet.hops + 1)
            self._send_to_instance(relayed, decision.instance, decision.record)
        elif self.on_deliver is not None:
            self.on_deliver(packet, decision.target_id, instance_name)


def _weight(
    availability: _registry.TargetAvailability,
    drained_targets: set[tuple[str, str]],
) -> float:
    target = availability.target
    if not availability.is_accepting:
        return 0.0
    if (target.service, target.target_id) in drained_targets:
        return 0.0
    return 1.0
