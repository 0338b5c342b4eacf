"""The packet front: routes whole IP packets that a fabric sprays.

Caller to target: the destination becomes the target, the caller's address
stays. Target to caller: the source becomes the service address. Either way the
packet goes back to the fabric, which delivers it.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from bluebelltide import _clock
from bluebelltide import _codes
from bluebelltide import _metrics
from bluebelltide import _types
from bluebelltide import catalogue
from bluebelltide import flows
from bluebelltide import membership
from bluebelltide.catalogue import _view
from bluebelltide.fronts import _ip
from bluebelltide.fronts import _relay


class _Matched(NamedTuple):
    parsed: _ip.ParsedPacket
    entry: catalogue.ServiceEntry
    service_address: _types.Address
    packet: flows.Packet


class PacketFront:
    """Carries packets between the fabric, other instances and the node."""

    def __init__(
        self,
        node: flows.RoutingEngine,
        view: _view.CatalogueView,
        registry: membership.TargetRegistry,
        metrics: _metrics.Metrics,
        keys: _relay.KeyFile,
        send_to_fabric: Callable[[bytes], Awaitable[None]],
        send_to_instance: Callable[[str, bytes], Awaitable[None]],
        send_messages: Callable[[list[flows.SendMessage]], Awaitable[None]],
    ) -> None:
        """Creates the front.

        Args:
            node: Decides where flows belong.
            view: The catalogue.
            registry: The targets.
            metrics: Counters.
            keys: Keys of relayed packets.
            send_to_fabric: Hands an IP packet to the fabric.
            send_to_instance: Sends a datagram to an instance's relay address.
            send_messages: Sends control messages to other instances.
        """
        self._node = node
        self._view = view
        self._registry = registry
        self._metrics = metrics
        self._keys = keys
        self._send_to_fabric = send_to_fabric
        self._send_to_instance = send_to_instance
        self._send_messages = send_messages

    async def on_fabric_datagram(self, data: bytes) -> None:
        """Takes a packet that the fabric handed to this instance."""
        self._metrics.count("packets", "from_fabric")
        matched = self._match(data, None, 0)
        if isinstance(matched, _codes.DropCode):
            self._metrics.count("dropped", matched)
            return
        decision, sends = self._node.route(matched.packet, _clock.now_ms())
        await self._send_messages(sends)
        await self._perform(matched, decision, data)

    async def on_relayed_datagram(self, datagram: bytes) -> None:
        """Takes a packet that another instance relayed."""
        self._metrics.count("packets", "relayed_here")
        unwrapped = _relay.unwrap_packet(datagram, self._keys.keys)
        if unwrapped is None:
            code = _codes.DropCode.UNAUTHENTICATED_RELAY
            self._metrics.count("dropped", code)
            return
        header, data = unwrapped
        matched = self._match(data, header.via, header.hops)
        if isinstance(matched, _codes.DropCode):
            self._metrics.count("dropped", matched)
            return
        time_ms = _clock.now_ms()
        if header.record is not None:
            decision = self._node.record_and_route(
                header.record, matched.packet, time_ms
            )
        else:
            decision, sends = self._node.route(matched.packet, time_ms)
            await self._send_messages(sends)
        await self._perform(matched, decision, data)

    def _match(
        self, data: bytes, via: str | None, hops: int
    ) -> _Matched | _codes.DropCode:
        parsed = _ip.parse_packet(data)
        if isinstance(parsed, _codes.DropCode):
            return parsed
        entry = self._view.service_at(parsed.destination)
        if entry is not None and entry.front == catalogue.Front.PACKETS:
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
            return _Matched(parsed, entry, parsed.destination, packet)
        return self._match_answer(parsed, via, hops)

    def _match_answer(
        self, parsed: _ip.ParsedPacket, via: str | None, hops: int
    ) -> _Matched | _codes.DropCode:
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
        return _Matched(parsed, entry, addresses[0], packet)

    async def _perform(
        self, matched: _Matched, decision: flows.Decision, data: bytes
    ) -> None:
        if isinstance(decision, flows.Deliver):
            await self._deliver(matched, decision)
        elif isinstance(decision, flows.Relay):
            await self._relay(matched, decision, data)
        else:
            await self._drop(matched, decision)

    async def _deliver(
        self, matched: _Matched, decision: flows.Deliver
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
        self, matched: _Matched, decision: flows.Relay, data: bytes
    ) -> None:
        self._metrics.count("packets", "relayed_on")
        header = _relay.RelayHeader(
            self._node.name, matched.packet.hops + 1, decision.record
        )
        datagram = _relay.wrap_packet(header, data, self._keys.keys[0])
        await self._send_to_instance(decision.instance, datagram)

    async def _drop(self, matched: _Matched, decision: flows.Drop) -> None:
        self._metrics.count("dropped", decision.code)
        is_refusal = decision.code == _codes.DropCode.NO_TARGET
        if not is_refusal or matched.packet.from_target is not None:
            return
        refusal = _ip.refuse_packet(matched.parsed)
        if refusal is not None:
            self._metrics.count("refused", _codes.RefusalCode.NO_TARGET)
            await self._send_to_fabric(refusal)
