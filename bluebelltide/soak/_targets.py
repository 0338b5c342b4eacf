"""Stand-in targets: they hold flows, run requests and answer directly.

A target lives in the soak's process, but everything that the product sends
to it comes over its real socket.
"""

from collections.abc import Callable
import itertools
import random
import time

import anyio
import anyio.abc

from bluebelltide import _loop
from bluebelltide import _types
from bluebelltide.soak import _adapter
from bluebelltide.soak import _http
from bluebelltide.soak import _invariants

ANNOUNCE_S = 1.2
"""Time between two announcements."""
RETRY_S = 0.2
"""Time before the next replica is tried after a failed announcement."""
WORK_S = 0.03
"""The mean time that a request takes."""
RESPONSE_PACKETS = 3
"""In how many packets a target answers."""
RETURN_DELAY_S = 0.002
"""How long an answer takes to a caller."""
LEAVE_S = 4.0
"""How long a leaving target serves after its acknowledgement."""
GONE_FLOWS = 10_000
"""How many ended flows a target remembers."""

SendToCaller = Callable[[bytes, str], None]
"""Delivers a packet to a caller, from a target's id."""


class _HeldFlow:
    """One flow at its target."""

    def __init__(self, sequence: int) -> None:
        self.sequence = sequence
        self.is_open = False
        self.running: set[int] = set()
        self.answers: dict[int, list[bytes]] = {}


def flow_name(caller: _types.Address, service: _types.Address) -> str:
    """Returns a flow's name in the ledger."""
    return f"{caller}>{service}"


class StandInTarget:
    """One incarnation of a target.

    Attributes:
        view: What it says of itself.
        is_alive: Whether it takes packets.
    """

    def __init__(
        self,
        view: _adapter.TargetAnnouncement,
        wire: _adapter.PlatformAdapter,
        ledger: _invariants.InvariantChecker,
        clock: Callable[[], float],
        send: SendToCaller,
        draw: random.Random,
    ) -> None:
        """Creates the target; `start` opens its socket.

        Args:
            view: What it says of itself at first.
            wire: The fabric's words.
            ledger: Takes what it sees.
            clock: Returns the seconds since the start of the traffic.
            send: Delivers packets to callers.
            draw: Decides work and sequences.
        """
        self.view = view
        self.is_alive = True
        self._wire = wire
        self._ledger = ledger
        self._clock = clock
        self._send = send
        self._draw = draw
        self._number = wire.target_number(view.target_id)
        self._flows: dict[str, _HeldFlow] = {}
        self._ended: dict[str, None] = {}
        self._socket: _loop.BatchSocket | None = None
        self._tasks: anyio.abc.TaskGroup | None = None

    def start(
        self,
        tasks: anyio.abc.TaskGroup,
        replicas: Callable[[], list[_types.Address]],
    ) -> None:
        """Opens the socket and begins to announce.

        Args:
            tasks: Runs the target.
            replicas: Returns where control replicas may be called.
        """
        self._tasks = tasks
        self._socket = _loop.open_batch_socket(
            self.view.address, self._on_datagram
        )
        self._socket.start()
        tasks.start_soon(self._announce_forever, replicas)

    def crash(self) -> None:
        """Falls silent and forgets everything."""
        if not self.is_alive:
            return
        self.is_alive = False
        self._flows.clear()
        self._ledger.target_gone(self.view.target_id)
        if self._socket is not None:
            self._socket.close()

    def drain(self) -> None:
        """Begins to leave; the next announcement says so."""
        self.view = self.view._replace(is_draining=True)

    # Announcements.

    async def _announce_forever(
        self, replicas: Callable[[], list[_types.Address]]
    ) -> None:
        sequences = itertools.count(1)
        leaves_at_s: float | None = None
        while self.is_alive:
            self.view = self.view._replace(sequence=next(sequences))
            said = self.view
            address = self._draw.choice(replicas())
            call = self._wire.make_announce_call(said)
            answer = await _http.make_call(address, call)
            is_taken = answer is not None and answer.status < 300
            if is_taken and said.is_draining and leaves_at_s is None:
                now_s = self._clock()
                leaves_at_s = now_s + LEAVE_S
                self._ledger.drain_acknowledged(said.target_id, now_s)
            if leaves_at_s is not None and self._clock() >= leaves_at_s:
                await _http.make_call(
                    address, self._wire.make_deregister_call(said)
                )
                self.crash()
                return
            if said.is_draining != self.view.is_draining or not is_taken:
                await anyio.sleep(RETRY_S)
            else:
                await anyio.sleep(ANNOUNCE_S * self._draw.uniform(0.8, 1.2))

    # Packets.

    def _on_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        del sender
        number, packet = self._wire.decode_target_packet(data)
        if number not in (0, self._number):
            # It is meant for an earlier owner of the address.
            return
        name = flow_name(packet.source, packet.destination)
        if packet.is_opening:
            self._open(name, packet)
            return
        flow = self._flows.get(name)
        if flow is None:
            if name not in self._ended and not packet.is_end:
                now_s = self._clock()
                self._ledger.packet_astray(name, self.view.target_id, now_s)
                self._reply(packet, is_reset=True)
            elif packet.is_end:
                self._reply(packet, is_end=True)
            return
        self._take(name, flow, packet)

    def _open(self, name: str, packet: _adapter.Packet) -> None:
        flow = self._flows.get(name)
        if flow is None:
            now_s = self._clock()
            self._ledger.flow_reached(self.view.target_id, name, now_s)
            flow = _HeldFlow(self._draw.randrange(1, 2**31))
            self._flows[name] = flow
        self._reply(packet, is_opening=True, sequence=flow.sequence)

    def _take(
        self, name: str, flow: _HeldFlow, packet: _adapter.Packet
    ) -> None:
        if not flow.is_open:
            if packet.acknowledged != flow.sequence:
                # The caller took another target's answer.
                del self._flows[name]
                return
            flow.is_open = True
            self._ledger.flow_open(name, self.view.target_id)
        if packet.is_end or packet.is_reset:
            del self._flows[name]
            self._ended[name] = None
            if len(self._ended) > GONE_FLOWS:
                del self._ended[next(iter(self._ended))]
            self._ledger.flow_over(name)
            self._reply(packet, is_end=True)
        elif packet.data:
            self._work(name, flow, packet)

    def _work(
        self, name: str, flow: _HeldFlow, packet: _adapter.Packet
    ) -> None:
        number = packet.sequence
        if number in flow.answers:
            for index, part in enumerate(flow.answers[number]):
                self._reply(packet, sequence=index, data=part)
        elif number not in flow.running and self._tasks is not None:
            flow.running.add(number)
            self._tasks.start_soon(self._run, name, flow, packet)

    async def _run(
        self, name: str, flow: _HeldFlow, packet: _adapter.Packet
    ) -> None:
        """Works on a request, then answers it."""
        request_id = packet.data.partition(b"Request-Id: ")[2]
        own_id = request_id.partition(b"\r")[0].decode()
        service = self.view.service
        self._ledger.request_run(own_id, service, name, self._clock())
        await anyio.sleep(self._draw.uniform(0.3, 1.7) * WORK_S)
        if not self.is_alive:
            return
        flow.answers[packet.sequence] = [
            f"{own_id}|{index}|{RESPONSE_PACKETS}|{'x' * 600}".encode()
            for index in range(RESPONSE_PACKETS)
        ]
        self._work(name, flow, packet)

    def _reply(
        self,
        packet: _adapter.Packet,
        *,
        is_opening: bool = False,
        is_end: bool = False,
        is_reset: bool = False,
        sequence: int = 0,
        data: bytes = b"",
    ) -> None:
        reply = _adapter.Packet(
            source=packet.destination,
            destination=packet.source,
            is_opening=is_opening,
            is_end=is_end,
            is_reset=is_reset,
            token=packet.token,
            sequence=sequence,
            acknowledged=packet.sequence,
            data=data,
        )
        self._send(self._wire.encode_packet(reply), self.view.target_id)


def new_generation() -> int:
    """Returns the start of an incarnation in Unix milliseconds."""
    return int(time.time() * 1000)
