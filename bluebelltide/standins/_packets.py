"""A stand-in packet fabric with callers and targets behind it.

The fabric sends every packet to a random instance that reports that it is
ready. Targets and callers exist only as addresses inside the packets. A
target knows the flows that were opened at it. A real target would answer a
packet of any other flow with a reset, so such a packet counts as `broken`.
"""

from collections import Counter
import contextlib
import random
from typing import Any, NamedTuple

import anyio
import dpkt
import httpx

from bluebelltide import _types
from bluebelltide import _udp
from bluebelltide.fronts import _ip

PROBE_INTERVAL_MS = 200
"""Time between two readiness probes of an instance."""
ANNOUNCE_INTERVAL_MS = 500
"""Time between two announcements of a target."""
FIRST_RETRANSMISSION_MS = 300
"""Time before the first retransmission of a packet; it doubles each time."""
MAXIMUM_RETRANSMISSIONS = 5
"""How often a caller retransmits a packet."""


class InstanceAddresses(NamedTuple):
    """The addresses of one instance."""

    packet_address: _types.Address
    """The address at which it receives packets."""
    probe_url: str
    """The base URL of its HTTP interface."""


class VirtualTarget(NamedTuple):
    """A target that exists only inside packets."""

    service: str
    """Its service."""
    target_id: str
    """Its id."""
    address: _types.Address
    """Its address inside packets."""


class FabricOptions(NamedTuple):
    """The options of a packet fabric."""

    fabric_address: _types.Address
    """The address to which instances return packets."""
    instances: tuple[InstanceAddresses, ...]
    """The instances."""
    targets: tuple[VirtualTarget, ...]
    """The targets."""
    service_addresses: dict[str, _types.Address]
    """The address of each service, by name."""
    service_keys: dict[str, str]
    """The key of each service, by name."""
    flows: int
    """How many flows are opened."""
    packets_per_flow: int
    """How many packets each flow sends."""
    interval_ms: int
    """The mean time between two packets of a flow."""
    seed: int
    """The seed of the random choices of instances and times."""


class PacketFabric:
    """The fabric, its callers and its targets.

    Attributes:
        options: The options.
        counts: How often each event occurred, by its name.
        draining: The ids of the targets that are draining.
    """

    def __init__(self, options: FabricOptions) -> None:
        """Creates the fabric; `run` starts it."""
        self.options = options
        self.counts: Counter[str] = Counter()
        self.draining: set[str] = set()
        self._rng = random.Random(options.seed)
        self._ready_instances: list[_types.Address] = []
        self._flows_by_target: dict[str, set[tuple[_types.Address, int]]] = {
            target.target_id: set() for target in options.targets
        }
        self._target_by_address = {
            virtual_target.address: virtual_target
            for virtual_target in options.targets
        }
        self._answer_events: dict[_types.Address, anyio.Event] = {}
        self._acknowledged_sequences: dict[_types.Address, int] = {}
        self._service_by_caller: dict[_types.Address, str] = {}
        self._socket: _udp.UdpSocket | None = None

    async def run(self) -> Counter[str]:
        """Runs all flows until they end.

        Returns:
            The counts, of which `broken`, `unfinished`, `wrong_service`,
            `wrong_source` and `reset` must be 0.
        """
        self._socket = await _udp.open_udp_socket(self.options.fabric_address)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._socket.receive_forever, self._deliver)
            tasks.start_soon(self._probe_forever)
            tasks.start_soon(self._announce_forever)
            await self._wait_until_ready()
            async with anyio.create_task_group() as callers:
                for number in range(self.options.flows):
                    callers.start_soon(self._run_flow, number)
            tasks.cancel_scope.cancel()
        await self._socket.close()
        return self.counts

    async def _wait_until_ready(self) -> None:
        with anyio.move_on_after(20):
            while len(self._ready_instances) < len(self.options.instances):
                await anyio.sleep(0.1)
            await anyio.sleep(2 * ANNOUNCE_INTERVAL_MS / 1000 + 1)

    # Callers.

    async def _run_flow(self, number: int) -> None:
        services = sorted(self.options.service_addresses)
        service = services[number % len(services)]
        caller = _types.Address(
            f"10.9.{number // 200}.{number % 200 + 1}", 20_000 + number
        )
        self._service_by_caller[caller] = service
        await anyio.sleep(self._rng.uniform(0, 1))
        for sequence in range(self.options.packets_per_flow):
            if not await self._send_until_answered(caller, service, sequence):
                self.counts["unfinished"] += 1
                return
            wait_ms = self.options.interval_ms * self._rng.uniform(0.5, 1.5)
            await anyio.sleep(wait_ms / 1000)
        self.counts["whole"] += 1

    async def _send_until_answered(
        self, caller: _types.Address, service: str, sequence: int
    ) -> bool:
        flags = dpkt.tcp.TH_SYN if sequence == 0 else dpkt.tcp.TH_ACK
        data = _tcp_packet(
            caller, self.options.service_addresses[service], sequence, flags
        )
        for attempt in range(MAXIMUM_RETRANSMISSIONS + 1):
            self._answer_events[caller] = anyio.Event()
            await self._spray(data)
            with anyio.move_on_after(
                FIRST_RETRANSMISSION_MS * 2**attempt / 1000
            ):
                await self._answer_events[caller].wait()
                if self._acknowledged_sequences.get(caller, -1) >= sequence:
                    return True
        return False

    # The fabric.

    async def _spray(self, data: bytes) -> None:
        assert self._socket is not None
        if not self._ready_instances:
            self.counts["no_instance"] += 1
            return
        self.counts["packets"] += 1
        await self._socket.send(data, self._rng.choice(self._ready_instances))

    async def _deliver(self, data: bytes) -> None:
        parsed = _ip.parse_packet(data)
        if not isinstance(parsed, _ip.ParsedPacket):
            self.counts["unparsed"] += 1
        elif parsed.destination in self._target_by_address:
            await self._handle_target_packet(parsed)
        else:
            self._handle_caller_packet(parsed)

    async def _handle_target_packet(self, parsed: _ip.ParsedPacket) -> None:
        target = self._target_by_address[parsed.destination]
        segment = parsed.raw.data
        if self._service_by_caller.get(parsed.source) != target.service:
            self.counts["wrong_service"] += 1
            return
        opened_flows = self._flows_by_target[target.target_id]
        flow = (parsed.source, 0)
        if parsed.is_opening:
            if target.target_id in self.draining and flow not in opened_flows:
                self.counts["opened_on_draining"] += 1
            opened_flows.add(flow)
        elif flow not in opened_flows:
            self.counts["broken"] += 1
            return
        self.counts[f"at.{target.target_id}"] += 1
        answer = _tcp_packet(
            target.address, parsed.source, segment.seq, dpkt.tcp.TH_ACK
        )
        await self._spray(answer)

    def _handle_caller_packet(self, parsed: _ip.ParsedPacket) -> None:
        caller = parsed.destination
        service = self._service_by_caller.get(caller)
        expected = self.options.service_addresses.get(service or "")
        if parsed.source != expected:
            self.counts["wrong_source"] += 1
            return
        if parsed.raw.data.flags & dpkt.tcp.TH_RST:
            self.counts["reset"] += 1
            return
        sequence = parsed.raw.data.seq
        if sequence > self._acknowledged_sequences.get(caller, -1):
            self._acknowledged_sequences[caller] = sequence
            self._answer_events[caller].set()

    async def _probe_forever(self) -> None:
        async with httpx.AsyncClient(timeout=1, trust_env=False) as client:
            while True:
                ready_instances = []
                for instance in self.options.instances:
                    url = f"{instance.probe_url}/ready"
                    with contextlib.suppress(httpx.TransportError):
                        if (await client.get(url)).is_success:
                            ready_instances.append(instance.packet_address)
                self._ready_instances = ready_instances
                await anyio.sleep(PROBE_INTERVAL_MS / 1000)

    async def _announce_forever(self) -> None:
        sequence = 0
        async with httpx.AsyncClient(timeout=1, trust_env=False) as client:
            while True:
                sequence += 1
                for target in self.options.targets:
                    await self._announce(client, target, sequence)
                await anyio.sleep(ANNOUNCE_INTERVAL_MS / 1000)

    async def _announce(
        self, client: httpx.AsyncClient, target: VirtualTarget, sequence: int
    ) -> None:
        is_draining = target.target_id in self.draining
        body = {
            "target_id": target.target_id,
            "service": target.service,
            "address": str(target.address),
            "generation": 1,
            "sequence": sequence,
            "state": "draining" if is_draining else "ready",
            "slots": 100,
            "lease_ms": 4000,
        }
        key = self.options.service_keys[target.service]
        headers = {"authorization": f"Bearer {key}"}
        for instance in self.options.instances:
            url = f"{instance.probe_url}/v1/announce"
            with contextlib.suppress(httpx.TransportError):
                answer = await client.post(url, json=body, headers=headers)
                if answer.is_success or answer.status_code == 409:
                    return


def _tcp_packet(
    source: _types.Address,
    destination: _types.Address,
    sequence: int,
    flags: int,
) -> bytes:
    transport: Any = dpkt.tcp.TCP(
        sport=source.port,
        dport=destination.port,
        seq=sequence,
        ack=1,
        flags=flags,
        data=b"payload",
    )
    packet: Any = dpkt.ip.IP(
        src=bytes(int(part) for part in source.host.split(".")),
        dst=bytes(int(part) for part in destination.host.split(".")),
        p=_ip.TCP,
        ttl=64,
        data=transport,
    )
    packet.len = len(packet)
    return bytes(packet)
