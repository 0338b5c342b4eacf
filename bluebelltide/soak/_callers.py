"""Stand-in callers and the fabric between them and the entry instances.

The fabric hands each packet to one instance in rotation by a hash that moves
nearly all flows whenever the rotation changes.
"""

from collections.abc import Callable, Sequence
import random
from typing import NamedTuple

import anyio
import anyio.abc
import xxhash

from bluebelltide import _loop
from bluebelltide import _types
from bluebelltide.soak import _adapter
from bluebelltide.soak import _http
from bluebelltide.soak import _invariants
from bluebelltide.soak import _targets

READY_INTERVAL_S = 0.5
"""Time between two questions for readiness."""
READY_MISSES = 2
"""Misses after which an instance leaves the rotation."""
COPIES_S = (0.2, 0.4, 0.8)
"""Waits after each opening packet; then the attempt ends."""
REPEAT_S = 0.2
"""Time after which a request packet is sent again."""
DEADLINE_S = 4.0
"""How long one attempt waits for its answer."""
ATTEMPTS = 3
"""How often a caller tries at most."""
RETRY_PAUSE_S = 0.1
"""How long a caller waits before its next attempt."""
CALLER_HOSTS = 4
"""How many addresses callers have."""
FIRST_PORT = 2000
"""The first port of callers."""


class Fabric:
    """Carries packets between callers, instances and targets."""

    def __init__(
        self,
        wire: _adapter.PlatformAdapter,
        entries: Sequence[_adapter.Machine],
        caller_hosts: Sequence[str],
    ) -> None:
        """Creates the fabric; `start` opens its sockets.

        Args:
            wire: The fabric's words.
            entries: The entry instances' machines.
            caller_hosts: The addresses of callers.
        """
        self._wire = wire
        self._entries = entries
        self._misses = {machine.name: READY_MISSES for machine in entries}
        self._sockets = [
            _loop.open_batch_socket(
                _types.Address(host, wire.caller_packet_port),
                self._on_entry_packet,
            )
            for host in caller_hosts
        ]
        self.flows: dict[_types.Address, CallerFlow] = {}

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Begins to ask instances for readiness."""
        for opened in self._sockets:
            opened.start()
        for machine in self._entries:
            tasks.start_soon(self._ask_forever, machine)

    def close(self) -> None:
        """Closes the sockets."""
        for opened in self._sockets:
            opened.close()

    def in_rotation(self) -> list[_adapter.Machine]:
        """Returns the instances that get packets."""
        ready = [
            machine
            for machine in self._entries
            if self._misses[machine.name] < READY_MISSES
        ]
        return (
            ready if 2 * len(ready) >= len(self._entries) else [*self._entries]
        )

    def ready_count(self) -> int:
        """Returns how many instances are ready."""
        return sum(misses < READY_MISSES for misses in self._misses.values())

    async def _ask_forever(self, machine: _adapter.Machine) -> None:
        address = self._wire.readiness_address(machine)
        while True:
            answer = await _http.make_call(address, self._wire.readiness_call)
            is_ready = answer is not None and answer.status == 200
            misses = self._misses[machine.name]
            self._misses[machine.name] = 0 if is_ready else misses + 1
            await anyio.sleep(READY_INTERVAL_S)

    def send(
        self, packet: _adapter.Packet, only: _adapter.Machine | None = None
    ) -> None:
        """Hands a caller's packet to an instance."""
        machine = only
        if machine is None:
            rotation = self.in_rotation()
            ends = f"{packet.source}{packet.destination}".encode()
            chosen = xxhash.xxh32_intdigest(ends) % len(rotation)
            machine = rotation[chosen]
        self._sockets[0].send(
            self._wire.encode_packet(packet), self._wire.packet_address(machine)
        )

    def deliver(self, data: bytes, target_id: str) -> None:
        """Hands a target's packet to its caller."""
        packet = self._wire.decode_packet(data)
        flow = self.flows.get(packet.destination)
        if flow is not None and packet.source == flow.service:
            flow.receive(packet, target_id)

    def _on_entry_packet(self, data: bytes, sender: tuple[str, int]) -> None:
        del sender
        self.deliver(data, "")


class CallerFlow:
    """One flow at its caller."""

    def __init__(
        self,
        fabric: Fabric,
        ledger: _invariants.InvariantChecker,
        clock: Callable[[], float],
        caller: _types.Address,
        service: _types.Address,
        only: _adapter.Machine | None = None,
    ) -> None:
        """Creates the flow.

        Args:
            fabric: Carries its packets.
            ledger: Takes what the caller sees.
            clock: Returns the seconds since the start of the traffic.
            caller: The caller's end.
            service: The service's end.
            only: The instance that gets all packets; by default the fabric
                decides.
        """
        self.service = service
        self.name = _targets.flow_name(caller, service)
        self.is_reset = False
        self._fabric = fabric
        self._ledger = ledger
        self._clock = clock
        self._caller = caller
        self._only = only
        self._token = 0
        self._target_sequence: int | None = None
        self._request_number = 0
        self._parts: dict[int, bytes] = {}
        self._news = anyio.Event()
        fabric.flows[caller] = self

    def close(self) -> None:
        """Ends the flow at the caller."""
        self._send(is_end=True)
        self._fabric.flows.pop(self._caller, None)

    @property
    def is_open(self) -> bool:
        """Whether a target has answered the opening."""
        return self._target_sequence is not None

    def receive(self, packet: _adapter.Packet, target_id: str) -> None:
        """Takes a packet from a target, or a reset from the product."""
        self._news.set()
        self._news = anyio.Event()
        if packet.is_reset:
            self._ledger.flow_reset(self.name, target_id, self._clock())
            self.is_reset = True
            return
        self._token = packet.token
        if packet.is_opening:
            if self._target_sequence is None:
                self._target_sequence = packet.sequence
        elif packet.data and packet.acknowledged == self._request_number:
            # A target answers a repeated request again; what comes after the
            # next request began belongs to the one before.
            self._parts[packet.sequence] = packet.data

    def _send(
        self,
        *,
        is_opening: bool = False,
        is_end: bool = False,
        sequence: int = 0,
        acknowledged: int = 0,
        data: bytes = b"",
    ) -> None:
        packet = _adapter.Packet(
            source=self._caller,
            destination=self.service,
            is_opening=is_opening,
            is_end=is_end,
            token=0 if is_opening else self._token,
            sequence=sequence,
            acknowledged=acknowledged or self._target_sequence or 0,
            data=data,
        )
        self._fabric.send(packet, self._only)

    async def _wait(self, timeout_s: float) -> None:
        with anyio.move_on_after(timeout_s):
            await self._news.wait()

    async def open(self) -> bool:
        """Opens the flow; returns whether a target answered."""
        for copy, wait_s in enumerate(COPIES_S):
            self._send(is_opening=True, acknowledged=copy)
            ends_s = self._clock() + wait_s
            while self._clock() < ends_s:
                await self._wait(ends_s - self._clock())
                if self.is_open or self.is_reset:
                    return self.is_open
        return False

    async def ask(self, number: int, request_id: str, method: str) -> bool:
        """Sends one request; returns whether its whole answer came."""
        self._parts.clear()
        self._request_number = number
        head = f"{method} / HTTP/1.1\r\nRequest-Id: {request_id}\r\n\r\n"
        ends_s = self._clock() + DEADLINE_S
        while self._clock() < ends_s and not self.is_reset:
            self._send(sequence=number, data=head.encode())
            repeat_s = self._clock() + REPEAT_S
            while self._clock() < repeat_s and not self.is_reset:
                await self._wait(repeat_s - self._clock())
                if self._has_whole_answer():
                    own_id = self._parts[0].split(b"|")[0].decode()
                    now_s = self._clock()
                    self._ledger.answer(request_id, own_id, now_s)
                    return True
        return False

    def _has_whole_answer(self) -> bool:
        if 0 not in self._parts:
            return False
        return len(self._parts) == int(self._parts[0].split(b"|")[2])


class _Ports(NamedTuple):
    host: str
    next_port: list[int]


class Callers:
    """All callers of a soak."""

    def __init__(
        self,
        fabric: Fabric,
        wire: _adapter.PlatformAdapter,
        ledger: _invariants.InvariantChecker,
        clock: Callable[[], float],
        hosts: Sequence[str],
        draw: random.Random,
    ) -> None:
        """Creates the callers.

        Args:
            fabric: Carries their packets.
            wire: The fabric's words.
            ledger: Takes what they see.
            clock: Returns the seconds since the start of the traffic.
            hosts: Their addresses.
            draw: Decides when they ask for what.
        """
        self._fabric = fabric
        self._wire = wire
        self._ledger = ledger
        self._clock = clock
        self._draw = draw
        self._ports = [_Ports(host, [FIRST_PORT]) for host in hosts]
        self._next_request = 0

    def new_flow(
        self, port: int, only: _adapter.Machine | None = None
    ) -> CallerFlow:
        """Creates a flow from a port that was not used before."""
        ports = self._draw.choice(self._ports)
        ports.next_port[0] += 1
        caller = _types.Address(ports.host, ports.next_port[0])
        service = _types.Address(self._wire.service_host, port)
        return CallerFlow(
            self._fabric, self._ledger, self._clock, caller, service, only
        )

    async def request(self, route: _adapter.Route) -> None:
        """Makes one request, with further attempts where they are allowed."""
        name = f"{route.name}-{self._new_number()}"
        sent_s = self._clock()
        for attempt in range(ATTEMPTS):
            flow = self.new_flow(route.port)
            is_served, is_open = await self._attempt(
                flow, route, f"{name}-{attempt}"
            )
            flow.close()
            if is_served:
                self._ledger.request_ended(name, sent_s, "served")
                return
            if is_open and not route.is_repeatable:
                break
            await anyio.sleep(RETRY_PAUSE_S)
        self._ledger.request_ended(name, sent_s, "failed")

    async def _attempt(
        self, flow: CallerFlow, route: _adapter.Route, request_id: str
    ) -> tuple[bool, bool]:
        if not await flow.open():
            return False, False
        self._note_request(request_id, route)
        method = "GET" if route.is_repeatable else "POST"
        return await flow.ask(1, request_id, method), True

    def _note_request(self, request_id: str, route: _adapter.Route) -> None:
        self._ledger.request_sent(
            request_id, route.service, route.is_repeatable, self._clock()
        )

    def _new_number(self) -> int:
        self._next_request += 1
        return self._next_request

    async def keep_asking(
        self, route: _adapter.Route, mean_gap_s: float, until_s: float
    ) -> None:
        """Makes requests at random times, each on a flow of its own."""
        async with anyio.create_task_group() as requests:
            while self._clock() < until_s:
                requests.start_soon(self.request, route)
                gap_s = self._draw.expovariate(1 / mean_gap_s)
                await anyio.sleep(gap_s)

    async def keep_flow(self, route: _adapter.Route, until_s: float) -> None:
        """Keeps a flow open for many requests, and opens another if it ends."""
        while self._clock() < until_s:
            flow = self.new_flow(route.port)
            number = 0
            is_served = await flow.open()
            while is_served and self._clock() < until_s:
                number += 1
                request_id = f"kept-{flow.name}-{number}"
                self._note_request(request_id, route)
                is_served = await flow.ask(number, request_id, "GET")
                await anyio.sleep(self._draw.uniform(0.1, 1.2))
            flow.close()
            await anyio.sleep(RETRY_PAUSE_S)

    async def keep_probing(
        self, ports: Sequence[int], gap_s: float, until_s: float
    ) -> None:
        """Opens flows at single ready instances, to see what is in force."""
        while self._clock() < until_s:
            port = self._draw.choice(ports)
            only = self._draw.choice(self._fabric.in_rotation())
            flow = self.new_flow(port, only)
            sent_s = self._clock()
            is_open = await flow.open()
            if is_open or flow.is_reset:
                self._ledger.probed(port, is_open, sent_s)
            flow.close()
            await anyio.sleep(gap_s)
