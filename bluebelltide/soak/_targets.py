"""Stand-in targets, which hold flows, run requests and answer callers.

Targets run in the process of the soak. Packets from entry instances reach
them over real sockets; their own packets go to callers directly.
"""

from collections.abc import Callable
import itertools
import random
import time

import anyio
import anyio.abc

from bluebelltide import _batch_socket
from bluebelltide import _types
from bluebelltide.soak import _adapter
from bluebelltide.soak import _http
from bluebelltide.soak import _invariants

ANNOUNCE_INTERVAL_S = 1.2
"""The mean time between two announcements."""
ANNOUNCE_RETRY_S = 0.2
"""Time before the next announcement if the last failed or is out of date."""
MEAN_WORK_S = 0.03
"""The mean time that a request takes."""
RESPONSE_PACKETS = 3
"""The number of packets of an answer."""
LEAVE_DELAY_S = 4.0
"""How long a target serves after its drain was acknowledged."""
MAXIMUM_ENDED_FLOWS = 10_000
"""The number of ended flows that a target keeps track of."""

SendToCaller = Callable[[bytes, str], None]
"""Delivers an encoded packet to a caller; also takes the target's id."""


class _TargetFlow:
    """The target's end of one flow."""

    def __init__(self, sequence: int) -> None:
        self.sequence = sequence
        self.is_open = False
        self.running_requests: set[int] = set()
        self.answers: dict[int, list[bytes]] = {}


def flow_name(caller: _types.Address, service: _types.Address) -> str:
    """Returns a flow's name in the checker."""
    return f"{caller}>{service}"


class StandInTarget:
    """One incarnation of a target.

    Attributes:
        announcement: What it announces.
        is_alive: Whether it still runs.
    """

    def __init__(
        self,
        announcement: _adapter.TargetAnnouncement,
        adapter: _adapter.PlatformAdapter,
        checker: _invariants.InvariantChecker,
        clock: Callable[[], float],
        send: SendToCaller,
        rng: random.Random,
    ) -> None:
        """Creates the target; `start` opens its socket.

        Args:
            announcement: What it announces at first.
            adapter: The platform's formats.
            checker: Records what it observes.
            clock: Returns the seconds since the start of the traffic.
            send: Delivers packets to callers.
            rng: Chooses how long requests take, the initial sequence
                numbers, and when and to which replicas the target announces
                itself.
        """
        self.announcement = announcement
        self.is_alive = True
        self._adapter = adapter
        self._checker = checker
        self._clock = clock
        self._send = send
        self._rng = rng
        self._number = adapter.target_number(announcement.target_id)
        self._flows: dict[str, _TargetFlow] = {}
        self._ended_flows: dict[str, None] = {}
        self._socket: _batch_socket.BatchSocket | None = None
        self._tasks: anyio.abc.TaskGroup | None = None

    def start(
        self,
        tasks: anyio.abc.TaskGroup,
        replicas: Callable[[], list[_types.Address]],
    ) -> None:
        """Opens the socket and starts to announce the target.

        Args:
            tasks: Runs the target.
            replicas: Returns the API addresses of the control replicas.
        """
        self._tasks = tasks
        self._socket = _batch_socket.open_batch_socket(
            self.announcement.address, self._on_datagram
        )
        self._socket.start()
        tasks.start_soon(self._announce_forever, replicas)

    def crash(self) -> None:
        """Stops without notice and loses all flows."""
        if not self.is_alive:
            return
        self.is_alive = False
        self._flows.clear()
        self._checker.record_target_gone(self.announcement.target_id)
        if self._socket is not None:
            self._socket.close()

    def drain(self) -> None:
        """Starts to drain; the next announcement reports it."""
        self.announcement = self.announcement._replace(is_draining=True)

    # Announcements.

    async def _announce_forever(
        self, replicas: Callable[[], list[_types.Address]]
    ) -> None:
        sequences = itertools.count(1)
        gone_at_s: float | None = None
        while self.is_alive:
            self.announcement = self.announcement._replace(
                sequence=next(sequences)
            )
            announced = self.announcement
            address = self._rng.choice(replicas())
            call = self._adapter.make_announce_call(announced)
            answer = await _http.make_call(address, call)
            is_accepted = answer is not None and answer.status < 300
            if is_accepted and announced.is_draining and gone_at_s is None:
                now_s = self._clock()
                gone_at_s = now_s + LEAVE_DELAY_S
                self._checker.record_drain_acknowledged(
                    announced.target_id, now_s
                )
            if gone_at_s is not None and self._clock() >= gone_at_s:
                await _http.make_call(
                    address, self._adapter.make_deregister_call(announced)
                )
                self.crash()
                return
            if (
                announced.is_draining != self.announcement.is_draining
                or not is_accepted
            ):
                await anyio.sleep(ANNOUNCE_RETRY_S)
            else:
                await anyio.sleep(
                    ANNOUNCE_INTERVAL_S * self._rng.uniform(0.8, 1.2)
                )

    # Packets.

    def _on_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        del sender
        number, packet = self._adapter.decode_target_packet(data)
        if number not in (0, self._number):
            # The packet is meant for a target that had this address before.
            return
        name = flow_name(packet.source, packet.destination)
        if packet.is_opening:
            self._handle_opening_packet(name, packet)
            return
        flow = self._flows.get(name)
        if flow is None:
            if name not in self._ended_flows and not packet.is_end:
                now_s = self._clock()
                self._checker.record_misrouted_packet(
                    name, self.announcement.target_id, now_s
                )
                self._reply(packet, is_reset=True)
            elif packet.is_end:
                self._reply(packet, is_end=True)
            return
        self._handle_flow_packet(name, flow, packet)

    def _handle_opening_packet(
        self, name: str, packet: _adapter.Packet
    ) -> None:
        flow = self._flows.get(name)
        if flow is None:
            now_s = self._clock()
            self._checker.record_new_flow(
                self.announcement.target_id,
                name,
                now_s,
                self.announcement.data_centre,
            )
            flow = _TargetFlow(self._rng.randrange(1, 2**31))
            self._flows[name] = flow
        self._reply(packet, is_opening=True, sequence=flow.sequence)

    def _handle_flow_packet(
        self, name: str, flow: _TargetFlow, packet: _adapter.Packet
    ) -> None:
        if not flow.is_open:
            if packet.acknowledged != flow.sequence:
                # The caller opened the flow at another target.
                del self._flows[name]
                return
            flow.is_open = True
            self._checker.record_flow_open(name, self.announcement.target_id)
        if packet.is_end or packet.is_reset:
            del self._flows[name]
            self._ended_flows[name] = None
            if len(self._ended_flows) > MAXIMUM_ENDED_FLOWS:
                del self._ended_flows[next(iter(self._ended_flows))]
            self._checker.record_flow_end(name)
            self._reply(packet, is_end=True)
        elif packet.data:
            self._answer_or_run(name, flow, packet)

    def _answer_or_run(
        self, name: str, flow: _TargetFlow, packet: _adapter.Packet
    ) -> None:
        number = packet.sequence
        if number in flow.answers:
            for index, part in enumerate(flow.answers[number]):
                self._reply(packet, sequence=index, data=part)
        elif number not in flow.running_requests and self._tasks is not None:
            flow.running_requests.add(number)
            self._tasks.start_soon(self._run_request, name, flow, packet)

    async def _run_request(
        self, name: str, flow: _TargetFlow, packet: _adapter.Packet
    ) -> None:
        """Runs a request, then answers it."""
        id_and_rest = packet.data.partition(b"Request-Id: ")[2]
        request_id = id_and_rest.partition(b"\r")[0].decode()
        service = self.announcement.service
        self._checker.record_request_run(
            request_id, service, name, self._clock()
        )
        await anyio.sleep(self._rng.uniform(0.3, 1.7) * MEAN_WORK_S)
        if not self.is_alive:
            return
        flow.answers[packet.sequence] = [
            f"{request_id}|{index}|{RESPONSE_PACKETS}|{'x' * 600}".encode()
            for index in range(RESPONSE_PACKETS)
        ]
        self._answer_or_run(name, flow, packet)

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
        self._send(
            self._adapter.encode_packet(reply), self.announcement.target_id
        )


def new_generation() -> int:
    """Returns the generation of an incarnation that starts now.

    It is the current time in Unix milliseconds.
    """
    return int(time.time() * 1000)
