"""The packet front: routes whole IP packets that a fabric sprays.

In a packet from a caller the front replaces the destination with the target's
address and keeps the caller's address as the source. In a packet from a target
it replaces the source with the service address. Both go back to the fabric,
which delivers them.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from bluebelltide import _clock
from bluebelltide import _codes
from bluebelltide import _metrics
from bluebelltide import _types
from bluebelltide import flows
from bluebelltide.catalogue import _entries
from bluebelltide.catalogue import _view
from bluebelltide.fronts import _ip
from bluebelltide.fronts import _relay
from bluebelltide.membership import _registry


class _MatchedPacket(NamedTuple):
    """A parsed packet and the service that it belongs to."""

    parsed: _ip.ParsedPacket
    entry: _entries.ServiceEntry
    service_address: _types.Address
    """The address at which the caller reaches the service."""
    packet: flows.Packet
    """The properties of the packet that decide its routing."""


class PacketFront:
    """Routes packets from the fabric and from other instances."""

    def __init__(
        self,
        engine: flows.RoutingEngine,
        view: _view.CatalogueView,
        registry: _registry.TargetRegistry,
        metrics: _metrics.Metrics,
        keys: _relay.KeyFile,
        send_to_fabric: Callable[[bytes], Awaitable[None]],
        send_to_instance: Callable[[str, bytes], Awaitable[None]],
        send_messages: Callable[[list[flows.SendMessage]], Awaitable[None]],
    ) -> None:
        """Creates the front.

        Args:
            engine: Decides where each packet goes.
            view: The catalogue.
            registry: The targets.
            metrics: Counters.
            keys: Keys that authenticate relayed packets.
            send_to_fabric: Sends an IP packet through the fabric.
            send_to_instance: Sends a datagram to an instance's relay address.
            send_messages: Sends control messages to other instances.
        """
        self._engine = engine
        self._view = view
        self._registry = registry
        self._metrics = metrics
        self._keys = keys
        self._send_to_fabric = send_to_fabric
        self._send_to_instance = send_to_instance
        self._send_messages = send_messages

    async def on_fabric_datagram(self, data: bytes) -> None:
        """Routes a packet that the fabric delivered to this instance."""
        self._metrics.count("packets", "from_fabric")
        matched = self._match_packet(data, None, 0)
        if isinstance(matched, _codes.DropCode):
            self._metrics.count("dropped", matched)
            return
        decision, sends = self._engine.route(matched.packet, _clock.now_ms())
        await self._send_messages(sends)
        await self._apply_decision(matched, decision, data)

    async def on_relayed_datagram(self, datagram: bytes) -> None:
        """Routes a packet that another instance relayed to this one."""
        self._metrics.count("packets", "relayed_here")
        unwrapped = _relay.unwrap_packet(datagram, self._keys.keys)
        if unwrapped is None:
            code = _codes.DropCode.UNAUTHENTICATED_RELAY
            self._metrics.count("dropped", code)
            return
        header, data = unwrapped
        matched = self._match_packet(data, header.via, header.hops)
        if isinstance(matched, _codes.DropCode):
            self._metrics.count("dropped", matched)
            return
        now_ms = _clock.now_ms()
        if header.record is not None:
            decision = self._engine.record_and_route(
                header.record, matched.packet, now_ms
            )
        else:
            decision, sends = self._engine.route(matched.packet, now_ms)
            await self._send_messages(sends)
        await self._apply_decision(matched, decision, data)

    def _match_packet(
        self, data: bytes, via: str | None, hops: int
    ) -> _MatchedPacket | _codes.DropCode:
        parsed = _ip.parse_packet(data)
        if isinstance(parsed, _codes.DropCode):
            return parsed
        entry = self._view.service_for_address(parsed.destination)
        if entry is not None and entry.front == _entries.Front.PACKETS:
            flow = flows.FlowTuple(
                parsed.protocol, parsed.source, parsed.destination
            )
            packet = flows.Packet(
                entry.service,
                flows.hash_flow(flow),
                parsed.is_opening,
                None,
                via,
                hops,
            )
            return _MatchedPacket(parsed, entry, parsed.destination, packet)
        return self._match_target_packet(parsed, via, hops)

    def _match_target_packet(
        self, parsed: _ip.ParsedPacket, via: str | None, hops: int
    ) -> _MatchedPacket | _codes.DropCode:
        target = self._registry.target_at(parsed.source)
        entry = self._view.service(target.service) if target else None
        if target is None or entry is None:
            return _codes.DropCode.FOREIGN
        is_ipv6 = ":" in parsed.source.host
        addresses = [
            address
            for address in entry.addresses
            if (":" in address.host) == is_ipv6
        ]
        if not addresses:
            return _codes.DropCode.FOREIGN
        flow = flows.FlowTuple(
            parsed.protocol, parsed.destination, addresses[0]
        )
        packet = flows.Packet(
            entry.service,
            flows.hash_flow(flow),
            False,
            target.target_id,
            via,
            hops,
        )
        return _MatchedPacket(parsed, entry, addresses[0], packet)

    async def _apply_decision(
        self, matched: _MatchedPacket, decision: flows.Decision, data: bytes
    ) -> None:
        if isinstance(decision, flows.Deliver):
            await self._deliver(matched, decision)
        elif isinstance(decision, flows.Relay):
            await self._relay(matched, decision, data)
        else:
            await self._drop(matched, decision)

    async def _deliver(
        self, matched: _MatchedPacket, decision: flows.Deliver
    ) -> None:
        if matched.packet.from_target is not None:
            rewritten = _ip.rewrite_source(
                matched.parsed, matched.service_address
            )
            await self._send_to_fabric(rewritten)
            return
        target = self._registry.find(matched.packet.service, decision.target_id)
        if target is None:
            self._metrics.count("dropped", _codes.DropCode.NO_TARGET)
            return
        rewritten = _ip.rewrite_destination(matched.parsed, target.address)
        await self._send_to_fabric(rewritten)

    async def _relay(
        self, matched: _MatchedPacket, decision: flows.Relay, data: bytes
    ) -> None:
        self._metrics.count("packets", "relayed_on")
        header = _relay.RelayHeader(
            self._engine.name, matched.packet.hops + 1, decision.record
        )
        datagram = _relay.wrap_packet(header, data, self._keys.keys[0])
        await self._send_to_instance(decision.instance, datagram)

    async def _drop(
        self, matched: _MatchedPacket, decision: flows.Drop
    ) -> None:
        self._metrics.count("dropped", decision.code)
        may_refuse = decision.code == _codes.DropCode.NO_TARGET
        if not may_refuse or matched.packet.from_target is not None:
            return
        refusal = _ip.make_refusal(matched.parsed)
        if refusal is not None:
            self._metrics.count("refused", _codes.RefusalCode.NO_TARGET)
            await self._send_to_fabric(refusal)
