"""Simulates the return of all callers after an outage.

Callers retransmit their opening packets, give up after a time and try again.
Targets have slots and a queue, and shed requests when the queue is full.
"""

from collections import deque
from collections.abc import Callable
import functools
import heapq
import random
from typing import NamedTuple

from bluebelltide.placement import _held_packets
from bluebelltide.placement import _placer
from bluebelltide.placement import create_placer
from bluebelltide.placement.tests import load_simulation

ATTEMPT_TIMEOUT_MS = 1400
"""How long a caller waits for an answer before it gives up an attempt."""
MAXIMUM_ATTEMPTS = 3
"""How many attempts a caller makes."""
RELEASE_INTERVAL_MS = 10
"""Time between attempts to release held packets."""
LOCAL_REPORT_MS = 10
"""Time between load reports inside a data centre."""
REMOTE_REPORT_MS = 35
"""Time between load reports to other data centres."""


_PlaceFunction = Callable[[bool], bool]
"""Places a packet; takes whether it may wait, returns whether it was placed."""


class RecoveryPlan(NamedTuple):
    """What is simulated."""

    holds_late_packets: bool
    """Whether packets of late callers wait for free slots."""
    outage_ms: int = 1700
    """How long no instance forwards packets."""
    after_ms: int = 3000
    """For how long new requests begin after the outage."""
    instances: int = 8
    """How many entry instances there are, spread over the data centres."""
    data_centres: int = 4
    """How many data centres there are."""
    targets: int = 7
    """How many targets there are, spread over the data centres."""
    slots: int = 2
    """How many requests a target runs at once."""
    queue: int = 8
    """How many requests a target queues; it sheds further ones."""
    flows_per_s: float = 190.0
    """New requests per second."""
    work_ms: float = 32.0
    """The mean time that a request runs."""
    latency_goal_ms: int = 200
    """The latency that callers want at most."""


class RecoveryResult(NamedTuple):
    """The result, as seen by callers and targets."""

    new_in_time: float
    """The share of requests begun after the outage that were served in time."""
    served: float
    """The share of all requests that were served."""
    shed: int
    """How many attempts were shed by a target with a full queue."""


class _Request:
    def __init__(self, number: int, began_ms: float) -> None:
        self.number = number
        self.began_ms = began_ms
        self.attempt = 0
        self.attempt_began_ms = 0.0
        self.served_ms: float | None = None


class _Target:
    def __init__(self) -> None:
        self.busy = 0
        self.queue: deque[Callable[[], None]] = deque()


class _Simulation:
    def __init__(self, plan: RecoveryPlan, seed: int) -> None:
        self.plan = plan
        self.random = random.Random(seed)
        self.now_ms = float(-plan.outage_ms)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_count = 0
        self.requests: list[_Request] = []
        self.shed = 0
        self.targets = {n: _Target() for n in range(1, plan.targets + 1)}
        known_targets = load_simulation.make_targets(
            plan.targets, plan.data_centres, plan.slots
        )
        self.placers = []
        self.held_queues: list[
            _held_packets.HeldPacketQueue[_PlaceFunction]
        ] = []
        self.reports: list[dict[int, dict[int, int]]] = []
        for number in range(plan.instances):
            data_centre = f"dc-{number % plan.data_centres}"
            placer = create_placer(data_centre, self.random.random)
            placer.use_targets(known_targets)
            self.placers.append(placer)
            self.held_queues.append(_held_packets.HeldPacketQueue())
            self.reports.append({})

    def schedule_after(
        self, delay_ms: float, action: Callable[[], None]
    ) -> None:
        self.event_count += 1
        event = (self.now_ms + delay_ms, self.event_count, action)
        heapq.heappush(self.events, event)

    def run(self) -> RecoveryResult:
        self.schedule_after(0, self.begin_request)
        for number in range(self.plan.instances):
            self.schedule_after(
                self.plan.outage_ms,
                functools.partial(self.release_periodically, number),
            )
            for is_local in (True, False):
                self.schedule_after(
                    self.plan.outage_ms + self.random.uniform(0, 10),
                    functools.partial(self.send_reports, number, is_local),
                )
        while self.events:
            self.now_ms, _, action = heapq.heappop(self.events)
            action()
        new = [one for one in self.requests if one.began_ms >= 0]
        in_time = sum(
            one.served_ms is not None
            and one.served_ms - one.began_ms <= self.plan.latency_goal_ms
            for one in new
        )
        served = sum(one.served_ms is not None for one in self.requests)
        return RecoveryResult(
            in_time / len(new), served / len(self.requests), self.shed
        )

    def begin_request(self) -> None:
        if self.now_ms > self.plan.after_ms:
            return
        wait_ms = self.random.expovariate(self.plan.flows_per_s / 1000)
        self.schedule_after(wait_ms, self.begin_request)
        request = _Request(len(self.requests), self.now_ms)
        self.requests.append(request)
        self.start_attempt(request)

    def start_attempt(self, request: _Request) -> None:
        if request.attempt == MAXIMUM_ATTEMPTS:
            return
        request.attempt += 1
        request.attempt_began_ms = self.now_ms
        attempt = request.attempt
        instance = self.random.randrange(self.plan.instances)
        placed: list[bool] = []

        def send(retransmissions: int) -> None:
            if not placed and request.attempt == attempt and self.now_ms >= 0:
                self.receive_opening_packet(
                    instance, request, retransmissions, placed
                )

        for retransmissions, waited_ms in enumerate(
            _placer.TRANSMISSION_TIMES_MS
        ):
            self.schedule_after(
                waited_ms, functools.partial(send, retransmissions)
            )

        def give_up() -> None:
            if not placed and request.attempt == attempt:
                self.held_queues[instance].remove(self.flow_key(request))
                self.start_attempt(request)

        self.schedule_after(ATTEMPT_TIMEOUT_MS, give_up)

    def flow_key(self, request: _Request) -> bytes:
        return f"{request.number}/{request.attempt}".encode()

    def receive_opening_packet(
        self,
        instance: int,
        request: _Request,
        retransmissions: int,
        placed: list[bool],
    ) -> None:
        may_wait = self.plan.holds_late_packets

        def try_place(may_wait: bool) -> bool:
            return self.place(
                instance, request, retransmissions, placed, may_wait
            )

        if may_wait and retransmissions and len(self.held_queues[instance]):
            # Other packets are already held, so this one queues behind them.
            pass
        elif self.place(instance, request, retransmissions, placed, may_wait):
            return
        if not placed:
            self.held_queues[instance].hold(
                _held_packets.HeldPacket(
                    self.flow_key(request),
                    _placer.TRANSMISSION_TIMES_MS[retransmissions],
                    retransmissions,
                    int(self.now_ms),
                    try_place,
                )
            )

    def place(
        self,
        instance: int,
        request: _Request,
        retransmissions: int,
        placed: list[bool],
        may_wait: bool,
    ) -> bool:
        placer = self.placers[instance]
        key = self.flow_key(request)
        waited_ms = int(self.now_ms - request.attempt_began_ms)
        latency_budget = _placer.LatencyBudget(
            waited_ms, self.plan.latency_goal_ms
        )
        placement = placer.place(
            key,
            "service",
            retransmissions,
            int(self.now_ms),
            latency_budget if may_wait else None,
        )
        if placement.outcome == _placer.PlacementOutcome.WAIT:
            return False
        placed.append(True)
        token = placement.token
        is_target_local = (token - instance) % self.plan.data_centres == 0
        hop_ms = 0.2 if is_target_local else 3.5
        self.schedule_after(
            3 * hop_ms,
            lambda: self.receive_at_target(instance, request, key, token),
        )
        return True

    def receive_at_target(
        self, instance: int, request: _Request, key: bytes, token: int
    ) -> None:
        placer = self.placers[instance]
        placer.observations.note_packet_with_token(key, token, int(self.now_ms))
        target = self.targets[token]

        def close_flow() -> None:
            flow = placer.observations.note_flow_end(
                key, token, int(self.now_ms)
            )
            placer.update_flow_duration("service", flow, int(self.now_ms))
            self.release(instance)

        def finish() -> None:
            request.served_ms = self.now_ms
            target.busy -= 1
            if target.queue:
                target.queue.popleft()()
            self.schedule_after(3.0, close_flow)

        def start() -> None:
            target.busy += 1
            work_ms = self.random.lognormvariate(-0.11, 0.47)
            self.schedule_after(work_ms * self.plan.work_ms, finish)

        if target.busy < self.plan.slots:
            start()
        elif len(target.queue) < self.plan.queue:
            target.queue.append(start)
        else:
            self.shed += 1
            self.schedule_after(3.0, close_flow)
            self.schedule_after(3.0, lambda: self.start_attempt(request))

    def release(self, instance: int) -> None:
        placer = self.placers[instance]
        allowance = placer.release_allowance("service", int(self.now_ms))

        def try_place(
            packet: _held_packets.HeldPacket[_PlaceFunction], may_wait: bool
        ) -> bool:
            nonlocal allowance
            if may_wait and allowance <= 0:
                return False
            if not may_wait and not packet.is_last_retransmission:
                return False
            allowance -= 1
            return packet.context(may_wait)

        self.held_queues[instance].release(try_place, int(self.now_ms))

    def release_periodically(self, instance: int) -> None:
        self.release(instance)
        if self.now_ms < self.plan.after_ms + 2000:
            self.schedule_after(
                RELEASE_INTERVAL_MS, lambda: self.release_periodically(instance)
            )

    def send_reports(self, sender: int, is_local: bool) -> None:
        flows = dict(self.placers[sender].observations.open_flows)
        for receiver in range(self.plan.instances):
            is_receiver_local = (
                receiver - sender
            ) % self.plan.data_centres == 0
            if receiver != sender and is_receiver_local == is_local:
                self.schedule_after(
                    0.2 if is_local else 3.5,
                    functools.partial(
                        self.receive_report, receiver, sender, flows
                    ),
                )
        if self.now_ms < self.plan.after_ms + 2000:
            wait_ms = LOCAL_REPORT_MS if is_local else REMOTE_REPORT_MS
            self.schedule_after(
                wait_ms, lambda: self.send_reports(sender, is_local)
            )

    def receive_report(
        self, receiver: int, sender: int, flows: dict[int, int]
    ) -> None:
        self.reports[receiver][sender] = flows
        total: dict[int, int] = {}
        for other in self.reports[receiver].values():
            for token, count in other.items():
                total[token] = total.get(token, 0) + count
        self.placers[receiver].peer_flows = total
        self.placers[receiver].peer_count = len(self.reports[receiver])


def simulate_recovery(plan: RecoveryPlan, seed: int) -> RecoveryResult:
    """Runs a simulation.

    Args:
        plan: What is simulated.
        seed: Seeds arrivals, run times and random choices.

    Returns:
        The result.
    """
    return _Simulation(plan, seed).run()
