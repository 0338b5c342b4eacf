"""Stand-in callers and the fabric between them and the entry instances.

The fabric sends each packet to one of the instances in rotation, chosen by a
hash of its flow. It is not a consistent hash: when the rotation changes,
nearly all flows move to other instances.
"""

from collections.abc import Callable, Sequence
import random
from typing import NamedTuple

import anyio
import anyio.abc
import xxhash

from bluebelltide import _batch_socket
from bluebelltide import _types
from bluebelltide.soak import _adapter
from bluebelltide.soak import _http
from bluebelltide.soak import _invariants
from bluebelltide.soak import _targets

READINESS_POLL_S = 0.5
"""Time between two readiness polls of an instance."""
UNREADY_AFTER_FAILURES = 2
"""Consecutive failed polls after which an instance leaves the rotation."""
OPENING_WAITS_S = (0.2, 0.4, 0.8)
"""How long a caller waits after each transmission of its opening packet."""
REQUEST_RETRANSMISSION_S = 0.2
"""Time after which a caller retransmits a request packet."""
ANSWER_TIMEOUT_S = 4.0
"""How long an attempt waits for the complete answer."""
MAXIMUM_ATTEMPTS = 3
"""How many attempts a caller makes for one request."""
RETRY_PAUSE_S = 0.1
"""How long a caller waits before its next attempt."""
CALLER_HOST_COUNT = 4
"""How many host addresses the callers share."""
PORT_BEFORE_FIRST = 2000
"""The port below the first one that a caller uses."""


class Fabric:
    """Carries callers' packets to instances, and all replies to callers."""

    def __init__(
        self,
        adapter: _adapter.PlatformAdapter,
        entries: Sequence[_adapter.Machine],
        caller_hosts: Sequence[str],
    ) -> None:
        """Creates the fabric and opens its sockets; `start` starts reading.

        Args:
            adapter: The platform's formats and addresses.
            entries: The machines of the entry instances.
            caller_hosts: The host addresses of callers.
        """
        self._adapter = adapter
        self._entries = entries
        self._failed_polls = {
            machine.name: UNREADY_AFTER_FAILURES for machine in entries
        }
        self._sockets = [
            _batch_socket.open_batch_socket(
                _types.Address(host, adapter.caller_packet_port),
                self._on_entry_packet,
            )
            for host in caller_hosts
        ]
        self.flows: dict[_types.Address, CallerFlow] = {}

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts to read packets and to poll the readiness of instances."""
        for caller_socket in self._sockets:
            caller_socket.start()
        for machine in self._entries:
            tasks.start_soon(self._poll_readiness, machine)

    def close(self) -> None:
        """Closes the sockets."""
        for caller_socket in self._sockets:
            caller_socket.close()

    def instances_in_rotation(self) -> list[_adapter.Machine]:
        """Returns the instances that get packets.

        These are the ready ones, or all if fewer than half are ready.
        """
        ready = [
            machine
            for machine in self._entries
            if self._failed_polls[machine.name] < UNREADY_AFTER_FAILURES
        ]
        return (
            ready if 2 * len(ready) >= len(self._entries) else [*self._entries]
        )

    def ready_count(self) -> int:
        """Returns how many instances are ready."""
        return sum(
            failed_polls < UNREADY_AFTER_FAILURES
            for failed_polls in self._failed_polls.values()
        )

    async def _poll_readiness(self, machine: _adapter.Machine) -> None:
        address = self._adapter.readiness_address(machine)
        while True:
            answer = await _http.make_call(
                address, self._adapter.readiness_call
            )
            is_ready = answer is not None and answer.status == 200
            failed_polls = self._failed_polls[machine.name]
            self._failed_polls[machine.name] = (
                0 if is_ready else failed_polls + 1
            )
            await anyio.sleep(READINESS_POLL_S)

    def send(
        self,
        packet: _adapter.Packet,
        fixed_instance: _adapter.Machine | None = None,
    ) -> None:
        """Sends a caller's packet to an instance.

        Args:
            packet: The packet.
            fixed_instance: The instance that gets it; None to choose one from
                the rotation by the hash of the flow.
        """
        machine = fixed_instance
        if machine is None:
            rotation = self.instances_in_rotation()
            flow_key = f"{packet.source}{packet.destination}".encode()
            chosen = xxhash.xxh32_intdigest(flow_key) % len(rotation)
            machine = rotation[chosen]
        self._sockets[0].send(
            self._adapter.encode_packet(packet),
            self._adapter.packet_address(machine),
        )

    def deliver_to_caller(self, data: bytes, target_id: str) -> None:
        """Delivers a packet to the caller that it is addressed to.

        Args:
            data: The encoded packet.
            target_id: The target that sent it; empty for an entry instance.
        """
        packet = self._adapter.decode_packet(data)
        flow = self.flows.get(packet.destination)
        if flow is not None and packet.source == flow.service:
            flow.receive(packet, target_id)

    def _on_entry_packet(self, data: bytes, sender: tuple[str, int]) -> None:
        del sender
        self.deliver_to_caller(data, "")


class CallerFlow:
    """The caller's end of one flow.

    Attributes:
        service: The service address.
        name: The flow's name in the checker.
        is_reset: Whether the flow was reset.
    """

    def __init__(
        self,
        fabric: Fabric,
        checker: _invariants.InvariantChecker,
        clock: Callable[[], float],
        caller: _types.Address,
        service: _types.Address,
        fixed_instance: _adapter.Machine | None = None,
    ) -> None:
        """Creates the flow.

        Args:
            fabric: Carries its packets.
            checker: Records what the caller observes.
            clock: Returns the seconds since the start of the traffic.
            caller: The caller's address.
            service: The service address.
            fixed_instance: The instance that gets all packets; by default the
                fabric chooses.
        """
        self.service = service
        self.name = _targets.flow_name(caller, service)
        self.is_reset = False
        self._fabric = fabric
        self._checker = checker
        self._clock = clock
        self._caller = caller
        self._fixed_instance = fixed_instance
        self._token = 0
        self._target_sequence: int | None = None
        self._request_number = 0
        self._answer_parts: dict[int, bytes] = {}
        self._packet_received = anyio.Event()
        fabric.flows[caller] = self

    def close(self) -> None:
        """Ends the flow at the caller."""
        self._send(is_end=True)
        self._fabric.flows.pop(self._caller, None)

    @property
    def is_open(self) -> bool:
        """Whether a target has answered the opening packet."""
        return self._target_sequence is not None

    def receive(self, packet: _adapter.Packet, target_id: str) -> None:
        """Processes a packet from a target, or a reset from an instance."""
        self._packet_received.set()
        self._packet_received = anyio.Event()
        if packet.is_reset:
            self._checker.record_flow_reset(self.name, target_id, self._clock())
            self.is_reset = True
            return
        self._token = packet.token
        if packet.is_opening:
            if self._target_sequence is None:
                self._target_sequence = packet.sequence
        elif packet.data and packet.acknowledged == self._request_number:
            # A target also answers a retransmitted request. Without the check
            # of the request number, such an answer to the previous request
            # would be taken for the answer to the current one.
            self._answer_parts[packet.sequence] = packet.data

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
        self._fabric.send(packet, self._fixed_instance)

    async def _wait_for_packet(self, timeout_s: float) -> None:
        with anyio.move_on_after(timeout_s):
            await self._packet_received.wait()

    async def open(self) -> bool:
        """Opens the flow; returns whether a target answered."""
        for retransmissions, wait_s in enumerate(OPENING_WAITS_S):
            self._send(is_opening=True, acknowledged=retransmissions)
            deadline_s = self._clock() + wait_s
            while self._clock() < deadline_s:
                await self._wait_for_packet(deadline_s - self._clock())
                if self.is_open or self.is_reset:
                    return self.is_open
        return False

    async def send_request(
        self, number: int, request_id: str, method: str
    ) -> bool:
        """Sends one request; returns whether its complete answer arrived."""
        self._answer_parts.clear()
        self._request_number = number
        request = f"{method} / HTTP/1.1\r\nRequest-Id: {request_id}\r\n\r\n"
        deadline_s = self._clock() + ANSWER_TIMEOUT_S
        while self._clock() < deadline_s and not self.is_reset:
            self._send(sequence=number, data=request.encode())
            retransmit_s = self._clock() + REQUEST_RETRANSMISSION_S
            while self._clock() < retransmit_s and not self.is_reset:
                await self._wait_for_packet(retransmit_s - self._clock())
                if self._has_complete_answer():
                    answered_id = self._answer_parts[0].split(b"|")[0].decode()
                    now_s = self._clock()
                    self._checker.record_answer(request_id, answered_id, now_s)
                    return True
        return False

    def _has_complete_answer(self) -> bool:
        if 0 not in self._answer_parts:
            return False
        return len(self._answer_parts) == int(
            self._answer_parts[0].split(b"|")[2]
        )


class _CallerHost(NamedTuple):
    host: str
    last_port: list[int]


class Callers:
    """All callers of a soak."""

    def __init__(
        self,
        fabric: Fabric,
        adapter: _adapter.PlatformAdapter,
        checker: _invariants.InvariantChecker,
        clock: Callable[[], float],
        hosts: Sequence[str],
        rng: random.Random,
    ) -> None:
        """Creates the callers.

        Args:
            fabric: Carries their packets.
            adapter: The platform's formats and addresses.
            checker: Records what they observe.
            clock: Returns the seconds since the start of the traffic.
            hosts: Their host addresses.
            rng: Decides when they send which requests.
        """
        self._fabric = fabric
        self._adapter = adapter
        self._checker = checker
        self._clock = clock
        self._rng = rng
        self._caller_hosts = [
            _CallerHost(host, [PORT_BEFORE_FIRST]) for host in hosts
        ]
        self._last_request_number = 0

    def new_flow(
        self, port: int, fixed_instance: _adapter.Machine | None = None
    ) -> CallerFlow:
        """Creates a flow from a caller port that was not used before.

        Args:
            port: The port at the service address.
            fixed_instance: The instance that gets all packets; by default the
                fabric chooses.
        """
        caller_host = self._rng.choice(self._caller_hosts)
        caller_host.last_port[0] += 1
        caller = _types.Address(caller_host.host, caller_host.last_port[0])
        service = _types.Address(self._adapter.service_host, port)
        return CallerFlow(
            self._fabric,
            self._checker,
            self._clock,
            caller,
            service,
            fixed_instance,
        )

    async def make_request(self, route: _adapter.Route) -> None:
        """Makes one request, and retries it where that is allowed.

        A request that may run only once is retried only while no flow has
        been opened for it.
        """
        name = f"{route.name}-{self._next_request_number()}"
        sent_s = self._clock()
        for attempt in range(MAXIMUM_ATTEMPTS):
            flow = self.new_flow(route.port)
            is_served, is_open = await self._attempt(
                flow, route, f"{name}-{attempt}"
            )
            flow.close()
            if is_served:
                self._checker.record_request_outcome(name, sent_s, "served")
                return
            if is_open and not route.is_repeatable:
                break
            await anyio.sleep(RETRY_PAUSE_S)
        self._checker.record_request_outcome(name, sent_s, "failed")

    async def _attempt(
        self, flow: CallerFlow, route: _adapter.Route, request_id: str
    ) -> tuple[bool, bool]:
        if not await flow.open():
            return False, False
        self._record_request(request_id, route)
        method = "GET" if route.is_repeatable else "POST"
        return await flow.send_request(1, request_id, method), True

    def _record_request(self, request_id: str, route: _adapter.Route) -> None:
        self._checker.record_request_sent(
            request_id, route.service, route.is_repeatable, self._clock()
        )

    def _next_request_number(self) -> int:
        self._last_request_number += 1
        return self._last_request_number

    async def make_requests(
        self, route: _adapter.Route, mean_gap_s: float, until_s: float
    ) -> None:
        """Makes requests of a route at random times, each on its own flow."""
        async with anyio.create_task_group() as request_tasks:
            while self._clock() < until_s:
                request_tasks.start_soon(self.make_request, route)
                gap_s = self._rng.expovariate(1 / mean_gap_s)
                await anyio.sleep(gap_s)

    async def use_long_lived_flow(
        self, route: _adapter.Route, until_s: float
    ) -> None:
        """Makes many requests on one flow; opens a new one when it fails."""
        while self._clock() < until_s:
            flow = self.new_flow(route.port)
            number = 0
            is_served = await flow.open()
            while is_served and self._clock() < until_s:
                number += 1
                request_id = f"kept-{flow.name}-{number}"
                self._record_request(request_id, route)
                is_served = await flow.send_request(number, request_id, "GET")
                await anyio.sleep(self._rng.uniform(0.1, 1.2))
            flow.close()
            await anyio.sleep(RETRY_PAUSE_S)

    async def probe_ports(
        self, ports: Sequence[int], gap_s: float, until_s: float
    ) -> None:
        """Opens flows, each through one instance of the rotation.

        Whether a flow opens shows which deployment is in force there.
        """
        while self._clock() < until_s:
            port = self._rng.choice(ports)
            fixed_instance = self._rng.choice(
                self._fabric.instances_in_rotation()
            )
            flow = self.new_flow(port, fixed_instance)
            sent_s = self._clock()
            is_open = await flow.open()
            if is_open or flow.is_reset:
                self._checker.record_probe(port, is_open, sent_s)
            flow.close()
            await anyio.sleep(gap_s)
