"""A stand-in packet fabric with callers and targets behind it.

The fabric hands every packet to a random instance that says it is ready.
Targets and callers exist only as addresses inside the packets. A target knows
the flows that were opened on it; a packet of a flow that it does not know
would be answered with a reset, so it counts as broken.
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

PROBE_MS = 200
"""Time between two readiness probes of an instance."""
ANNOUNCE_MS = 500
"""Time between two announcements of a target."""
RETRANSMIT_MS = 300
"""First time after which a caller sends a packet again; it doubles."""
RETRANSMITS = 5
"""How often a caller sends a packet again."""


class InstanceAddresses(NamedTuple):
    """How the fabric reaches one instance."""

    packets: _types.Address
    """The instance's packet address."""
    probe_url: str
    """Base address of its HTTP interface."""


class VirtualTarget(NamedTuple):
    """A target that exists only inside packets."""

    service: str
    """Its service."""
    target_id: str
    """Its name."""
    address: _types.Address
    """Its address inside packets."""


class FabricOptions(NamedTuple):
    """What the fabric is told."""

    fabric_address: _types.Address
    """Where instances return packets."""
    instances: tuple[InstanceAddresses, ...]
    """The instances."""
    targets: tuple[VirtualTarget, ...]
    """The targets."""
    service_addresses: dict[str, _types.Address]
    """The address of each service."""
    keys: dict[str, str]
    """The key of each service."""
    flows: int
    """How many flows are opened."""
    packets_per_flow: int
    """How many packets each flow sends."""
    interval_ms: int
    """Time between two packets of a flow."""
    seed: int
    """Seeds the spray."""


class PacketFabric:
    """The fabric, its callers and its targets."""

    def __init__(self, options: FabricOptions) -> None:
        """Creates the fabric; `run` starts it."""
        self.options = options
        self.counts: Counter[str] = Counter()
        self.draining: set[str] = set()
        self._random = random.Random(options.seed)
        self._ready: list[_types.Address] = []
        self._flows: dict[str, set[tuple[_types.Address, int]]] = {
            target.target_id: set() for target in options.targets
        }
        self._by_address = {t.address: t for t in options.targets}
        self._waiting: dict[_types.Address, anyio.Event] = {}
        self._acknowledged: dict[_types.Address, int] = {}
        self._service_of: dict[_types.Address, str] = {}
        self._socket: _udp.Datagrams | None = None

    async def run(self) -> Counter[str]:
        """Runs all flows to their ends.

        Returns:
            Counters; `broken`, `wrong_service` and `unfinished` must be 0.
        """
        self._socket = await _udp.open_datagrams(self.options.fabric_address)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._socket.receive_forever, self._receive)
            tasks.start_soon(self._probe_forever)
            tasks.start_soon(self._announce_forever)
            await self._wait_until_ready()
            async with anyio.create_task_group() as callers:
                for number in range(self.options.flows):
                    callers.start_soon(self._call, number)
            tasks.cancel_scope.cancel()
        await self._socket.close()
        return self.counts

    async def _wait_until_ready(self) -> None:
        with anyio.move_on_after(20):
            while len(self._ready) < len(self.options.instances):
                await anyio.sleep(0.1)
            await anyio.sleep(2 * ANNOUNCE_MS / 1000 + 1)

    # Callers.

    async def _call(self, number: int) -> None:
        services = sorted(self.options.service_addresses)
        service = services[number % len(services)]
        caller = _types.Address(
            f"10.9.{number // 200}.{number % 200 + 1}", 20_000 + number
        )
        self._service_of[caller] = service
        await anyio.sleep(self._random.uniform(0, 1))
        for sequence in range(self.options.packets_per_flow):
            if not await self._exchange(caller, service, sequence):
                self.counts["unfinished"] += 1
                return
            wait_ms = self.options.interval_ms * self._random.uniform(0.5, 1.5)
            await anyio.sleep(wait_ms / 1000)
        self.counts["whole"] += 1

    async def _exchange(
        self, caller: _types.Address, service: str, sequence: int
    ) -> bool:
        flags = dpkt.tcp.TH_SYN if sequence == 0 else dpkt.tcp.TH_ACK
        data = _tcp_packet(
            caller, self.options.service_addresses[service], sequence, flags
        )
        for attempt in range(RETRANSMITS + 1):
            self._waiting[caller] = anyio.Event()
            await self._spray(data)
            with anyio.move_on_after(RETRANSMIT_MS * 2**attempt / 1000):
                await self._waiting[caller].wait()
                if self._acknowledged.get(caller, -1) >= sequence:
                    return True
        return False

    # The fabric.

    async def _spray(self, data: bytes) -> None:
        assert self._socket is not None
        if not self._ready:
            self.counts["no_instance"] += 1
            return
        self.counts["packets"] += 1
        await self._socket.send(data, self._random.choice(self._ready))

    async def _receive(self, data: bytes) -> None:
        parsed = _ip.parse_packet(data)
        if not isinstance(parsed, _ip.ParsedPacket):
            self.counts["unparsed"] += 1
        elif parsed.destination in self._by_address:
            await self._at_target(parsed)
        else:
            self._at_caller(parsed)

    async def _at_target(self, parsed: _ip.ParsedPacket) -> None:
        target = self._by_address[parsed.destination]
        transport = parsed.raw.data
        if self._service_of.get(parsed.source) != target.service:
            self.counts["wrong_service"] += 1
            return
        known = self._flows[target.target_id]
        flow = (parsed.source, 0)
        if parsed.is_opening:
            if target.target_id in self.draining and flow not in known:
                self.counts["opened_on_draining"] += 1
            known.add(flow)
        elif flow not in known:
            self.counts["broken"] += 1
            return
        self.counts[f"at.{target.target_id}"] += 1
        answer = _tcp_packet(
            target.address, parsed.source, transport.seq, dpkt.tcp.TH_ACK
        )
        await self._spray(answer)

    def _at_caller(self, parsed: _ip.ParsedPacket) -> None:
        caller = parsed.destination
        service = self._service_of.get(caller)
        expected = self.options.service_addresses.get(service or "")
        if parsed.source != expected:
            self.counts["wrong_source"] += 1
            return
        if parsed.raw.data.flags & dpkt.tcp.TH_RST:
            self.counts["reset"] += 1
            return
        sequence = parsed.raw.data.seq
        if sequence > self._acknowledged.get(caller, -1):
            self._acknowledged[caller] = sequence
            self._waiting[caller].set()

    async def _probe_forever(self) -> None:
        async with httpx.AsyncClient(timeout=1, trust_env=False) as client:
            while True:
                ready = []
                for instance in self.options.instances:
                    url = f"{instance.probe_url}/ready"
                    with contextlib.suppress(httpx.TransportError):
                        if (await client.get(url)).is_success:
                            ready.append(instance.packets)
                self._ready = ready
                await anyio.sleep(PROBE_MS / 1000)

    async def _announce_forever(self) -> None:
        sequence = 0
        async with httpx.AsyncClient(timeout=1, trust_env=False) as client:
            while True:
                sequence += 1
                for target in self.options.targets:
                    await self._announce(client, target, sequence)
                await anyio.sleep(ANNOUNCE_MS / 1000)

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
        key = self.options.keys[target.service]
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
