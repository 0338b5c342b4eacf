"""A small fake fabric: real decision cores of several instances on one clock.

Every packet goes to a random instance that the fabric takes for ready. Links
between instances delay messages unevenly and may be cut one way or both.
"""

from collections import Counter
from collections.abc import Callable
import functools
import random
from typing import NamedTuple

from bluebelltide import _types
from bluebelltide import flows
from bluebelltide import membership
from bluebelltide.bench import _clock
from bluebelltide.flows import _messages
from bluebelltide.membership import _registry
from bluebelltide.membership import _swim
from bluebelltide.peers import _frames

TICK_MS = 50
"""How often the cores' timers run."""
FABRIC_DELAY_MS = 0.3
"""Mean one-way delay of a packet between two hops."""
FABRIC_PROBE_MS = 400
"""How long the fabric takes to see that an instance's readiness changed."""
MESSAGE_DELAY_MS = 1.0
"""Least delay of a control message."""
UNEVEN_DELAY_MS = 150.0
"""Mean extra delay of the few control messages that are held up."""
UNEVEN_PERCENT = 5
"""How many control messages are held up, of a hundred."""
FORM_AFTER_MS = 3000
"""How long an instance waits to be taken in before it forms a lineage."""
ANNOUNCE_MS = 1000
"""Time between two announcements of a target."""
PLACEHOLDER = _types.Address("127.0.0.1", 1)

Message = (
    flows.EngineMessage
    | _swim.Ping
    | _swim.Ack
    | _swim.PingRequest
    | _frames.TargetsAnnounced
    | _frames.LeasesRenewed
    | _frames.StateDigest
)


class RoutedPacket(NamedTuple):
    """A packet on its way through the instances."""

    packet: flows.Packet
    """What routing sees of it."""
    first_instance: str
    """The instance that the fabric chose."""


class Instance:
    """The decision cores of one instance."""

    def __init__(self, name: str, data_centre: str, seed: int) -> None:
        """Creates an instance at its start."""
        self.name = name
        self.is_up = True
        self.is_stopping = False
        self.drains: set[tuple[str, str]] = set()
        self.weights: dict[str, dict[str, float]] = {}
        self.joined_ms = 0.0
        member = membership.Member(
            name,
            seed,
            membership.MemberStatus.ALIVE,
            data_centre,
            PLACEHOLDER,
            True,
        )
        self.swim = membership.Swim(member, seed)
        self.registry = membership.TargetRegistry()
        self.node = flows.RoutingEngine(name, seed)
        self.control_bytes = 0


class Fabric:
    """Instances, the links between them, and the packet spray."""

    def __init__(
        self,
        clock: _clock.FakeClock,
        seed: int,
        services: tuple[str, ...],
        idle_timeout_ms: int,
        loss_percent: float,
        counts_bytes: bool = True,
        is_even: bool = False,
    ) -> None:
        """Creates a fabric without instances."""
        self.clock = clock
        self.random = random.Random(seed)
        self.services = services
        self.idle_timeout_ms = idle_timeout_ms
        self.loss_percent = loss_percent
        self.instances: dict[str, Instance] = {}
        self.counts: Counter[str] = Counter()
        self.cut: set[tuple[str, str]] = set()
        self.ready: list[str] = []
        self.on_deliver: Callable[[flows.Packet, str, str], None] | None = None
        self.is_even = is_even
        self._counts_bytes = counts_bytes
        self._seed = seed
        self._generations = 0
        self._last_arrival_ms: dict[tuple[str, str], float] = {}
        clock.every(TICK_MS, self._tick)
        clock.every(FABRIC_PROBE_MS, self._probe)
        if is_even:
            clock.every(flows.EVEN_LOAD_INTERVAL_MS, self._correct_weights)

    def now(self) -> int:
        """Returns the present time in whole milliseconds."""
        return int(self.clock.now_ms)

    # Instances.

    def add_instance(self, name: str) -> Instance:
        """Starts an instance and introduces it to the others."""
        self._generations += 1
        instance = Instance(name, "dc", self._seed * 1000 + self._generations)
        instance.joined_ms = self.clock.now_ms
        self.instances[name] = instance
        for other in self.instances.values():
            if other.is_up and other is not instance:
                self._perform(
                    instance,
                    instance.swim.add_member(other.swim.own_member, self.now()),
                )
                self._perform(
                    other,
                    other.swim.add_member(instance.swim.own_member, self.now()),
                )
                instance.registry.merge(other.registry.targets(), self.now())
        return instance

    def heal(self) -> None:
        """Ends all cuts; links open again and compare what they know."""
        self.cut.clear()
        for instance in self.instances.values():
            for other in self.instances.values():
                if instance is not other and instance.is_up:
                    digest = _frames.StateDigest(instance.registry.digest(), ())
                    self.send(instance, other.name, digest)

    def kill_instance(self, name: str) -> None:
        """Ends an instance without notice."""
        self.instances[name].is_up = False

    def leave_instance(self, name: str) -> None:
        """Begins a planned leave; the instance goes once it owns nothing."""
        instance = self.instances[name]
        instance.is_stopping = True

        def ask() -> None:
            instance.node.leave()
            wait()

        def wait() -> None:
            if instance.node.has_left():
                self._depart(instance)
            else:
                self.clock.after(TICK_MS, wait)

        self.clock.after(2.5 * FABRIC_PROBE_MS, ask)

    def _depart(self, instance: Instance) -> None:
        instance.swim.update_own_member(False, membership.MemberStatus.LEFT)
        ping = _swim.Ping(instance.name, 0, (instance.swim.own_member,))
        for other in list(self.instances.values()):
            if other is not instance:
                self.send(instance, other.name, ping)
        instance.is_up = False

    def _probe(self) -> None:
        self.ready = [
            instance.name
            for instance in self.instances.values()
            if instance.is_up
            and not instance.is_stopping
            and instance.node.may_route(self.now())
        ]

    def _tick(self) -> None:
        now_ms = self.now()
        for instance in list(self.instances.values()):
            if not instance.is_up:
                continue
            if now_ms % 100 < TICK_MS:
                self._perform(instance, instance.swim.tick(now_ms))
                instance.registry.remove_expired(now_ms)
            self._gossip(instance)
            live = {member.name for member in instance.swim.live_members()}
            waited_ms = self.clock.now_ms - instance.joined_ms
            node_input = flows.EngineInput(
                live,
                self.plan_input(instance),
                dict.fromkeys(self.services, self.idle_timeout_ms),
                waited_ms > FORM_AFTER_MS and min(live) == instance.name,
            )
            for send in instance.node.tick(node_input, now_ms):
                self.send(instance, send.instance, send.message)

    def plan_input(
        self, instance: Instance
    ) -> dict[str, tuple[flows.TargetWeight, ...]]:
        """Returns the targets as one instance's registry sees them."""
        plan = {}
        for service in self.services:
            standings = instance.registry.availabilities(service, self.now())
            even = instance.weights.get(service, {})
            plan[service] = tuple(
                flows.TargetWeight(
                    standing.target.target_id,
                    _weight(standing, instance.drains)
                    * even.get(standing.target.target_id, 1.0),
                )
                for standing in standings
            )
        return plan

    def _correct_weights(self) -> None:
        for instance in self.instances.values():
            for service in self.services:
                connections = {
                    standing.target.target_id: standing.target.connections
                    for standing in instance.registry.availabilities(
                        service, self.now()
                    )
                    if _weight(standing, instance.drains)
                }
                instance.weights[service] = flows.even_load_weights(
                    instance.node.router.epoch, service, connections
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

    def plan_drain(self, service: str, target_id: str) -> None:
        """Lets a planned drain reach every instance, unevenly."""
        for instance in self.instances.values():
            delay_ms = self.random.uniform(5, 400)
            add = functools.partial(instance.drains.add, (service, target_id))
            self.clock.after(delay_ms, add)

    def announce(self, target: _types.Target) -> None:
        """Hands an announcement to a random instance that is up."""
        up = [i for i in self.instances.values() if i.is_up]
        if up:
            self.random.choice(up).registry.announce(target, self.now())

    # Messages.

    def send(self, sender: Instance, name: str, message: Message) -> None:
        """Sends a control message over the ordered link to an instance."""
        if self._counts_bytes:
            size_bytes = len(_frames.encode_frame(message))
            sender.control_bytes += size_bytes
            self.counts["control_bytes"] += size_bytes
        delay_ms = MESSAGE_DELAY_MS + self.random.expovariate(2)
        if self.random.randrange(100) < UNEVEN_PERCENT:
            delay_ms += self.random.expovariate(1 / UNEVEN_DELAY_MS)
        link = (sender.name, name)
        arrival_ms = max(
            self.clock.now_ms + delay_ms, self._last_arrival_ms.get(link, 0)
        )
        self._last_arrival_ms[link] = arrival_ms
        receiver = self.instances.get(name)

        def arrive() -> None:
            if receiver is None or not receiver.is_up or link in self.cut:
                return
            self._receive(sender.name, receiver, message)

        if link not in self.cut:
            self.clock.after(arrival_ms - self.clock.now_ms, arrive)

    def _receive(
        self, sender: str, instance: Instance, message: Message
    ) -> None:
        now_ms = self.now()
        if isinstance(message, _swim.Ping | _swim.Ack | _swim.PingRequest):
            self._perform(instance, instance.swim.receive(message, now_ms))
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
            for send in instance.node.receive(sender, message, now_ms):
                self.send(instance, send.instance, send.message)

    def _perform(self, instance: Instance, actions: list[_swim.Action]) -> None:
        for action in actions:
            if isinstance(action, _swim.SendTo):
                self.send(instance, action.name, action.message)

    # Packets.

    def spray(self, packet: flows.Packet) -> str | None:
        """Hands a packet to a random ready instance.

        Args:
            packet: The packet.

        Returns:
            The instance, or None if none is ready.
        """
        if not self.ready:
            self.counts["no_instance"] += 1
            return None
        name = self.random.choice(self.ready)
        self.counts["packets"] += 1
        self._hop(packet, name, None)
        return name

    def _hop(
        self,
        packet: flows.Packet,
        name: str,
        record: _messages.FlowRecord | None,
    ) -> None:
        if self.random.random() * 100 < self.loss_percent:
            self.counts["lost"] += 1
            return
        if packet.via is not None and (packet.via, name) in self.cut:
            self.counts["lost"] += 1
            return
        delay_ms = self.random.expovariate(1 / FABRIC_DELAY_MS)
        self.clock.after(delay_ms, lambda: self._handle(packet, name, record))

    def _handle(
        self,
        packet: flows.Packet,
        name: str,
        record: _messages.FlowRecord | None,
    ) -> None:
        instance = self.instances[name]
        if not instance.is_up:
            self.counts["lost"] += 1
            return
        now_ms = self.now()
        if record is not None:
            decision = instance.node.record_and_route(record, packet, now_ms)
        else:
            decision, sends = instance.node.route(packet, now_ms)
            for send in sends:
                self.send(instance, send.instance, send.message)
        if isinstance(decision, flows.Drop):
            self.counts[f"dropped.{decision.code}"] += 1
        elif isinstance(decision, flows.Relay):
            self.counts["relays"] += 1
            if packet.hops == 0:
                self.counts["relayed"] += 1
            relayed = packet._replace(via=name, hops=packet.hops + 1)
            self._hop(relayed, decision.instance, decision.record)
        elif self.on_deliver is not None:
            self.on_deliver(packet, decision.target_id, name)


def _weight(
    standing: _registry.TargetAvailability, drains: set[tuple[str, str]]
) -> float:
    target = standing.target
    if not standing.is_accepting:
        return 0.0
    if (target.service, target.target_id) in drains:
        return 0.0
    return 1.0
