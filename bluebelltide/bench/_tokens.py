"""The tokens experiment: whether flows that are routed by token stay whole.

A stand-in fabric sends each packet to any of several packet fronts. Stand-in
targets echo the token, answer callers directly and reset flows that they do
not hold. A plan changes targets and fronts while flows are open. As the
baseline, a plain hash over the targets that accept flows routes the same
packets.
"""

from collections.abc import Callable
import random
import struct
import sys
import time
from typing import NamedTuple

from bluebelltide import _types
from bluebelltide.catalogue import _deployment
from bluebelltide.fronts import _token_front
from bluebelltide.fronts import _token_packets
from bluebelltide.membership import _directory
from bluebelltide.placement import create_placer

SERVICES = ("one", "two")
"""The services; targets alternate between them."""
PACKETS_PER_FLOW = 12
"""How many packets a caller sends on a flow, including the opening packet."""
_PACKET_FORMAT = struct.Struct(">BIIH")
"""The kind of a packet, its token, flow number and port."""
_PACKET_KINDS = tuple(_token_packets.PacketKind)
_CALLER_ADDRESS = ("127.0.0.1", 9)


class TokenReport(NamedTuple):
    """The measurements of one plan."""

    plan: str
    """The name of the plan."""
    flows: int
    """The number of flows that were opened."""
    broken_flows: int
    """The number of flows with a packet that did not reach their target.

    Only flows count whose target is alive and still holds them.
    """
    lost_with_target: int
    """The number of flows whose target died."""
    wrong_service_packets: int
    """The number of packets that reached a target of another service."""
    opened_on_leaving: int
    """The number of flows opened on targets that all fronts knew as leaving."""
    imbalance: float
    """The flows of the busiest target of a service, divided by the mean."""
    baseline_broken_flows: int
    """The number of flows that a plain hash would have broken."""
    state_bytes: int
    """The memory that a front uses for its targets, without open flows."""
    us_per_packet: float
    """The mean time per packet in microseconds."""


class _Experiment:
    """Fronts, targets and open flows."""

    def __init__(self, instances: int, targets: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_ms = 0
        self.directory = _directory.TargetDirectory()
        self.held_flows: dict[str, set[int]] = {}
        self.live_targets: dict[str, _types.Target] = {}
        self.leaving_targets: set[str] = set()
        self.opened_counts: dict[str, int] = {}
        self.delivered: tuple[str, int] | None = None
        self.wrong_service_packets = 0
        self.opened_on_leaving = 0
        for number in range(targets):
            self.announce(f"t-{number}", SERVICES[number % 2], number)
        self.fronts = [self.create_front() for _ in range(instances)]

    def announce(
        self,
        target_id: str,
        service: str,
        port: int,
        generation: int = 1,
        state: _types.TargetState = _types.TargetState.READY,
    ) -> None:
        """Announces a target to the directory."""
        sequence = 1 + (state == _types.TargetState.DRAINING)
        address = _types.Address("10.0.0.1", port)
        target = _types.Target(
            target_id,
            service,
            address,
            "dc",
            generation,
            sequence,
            state,
            slots=4,
            connections=0,
            load_percent=0,
            lease_ms=9600,
        )
        self.directory.merge(_directory.TargetRecord(target), self.now_ms)
        if self.live_targets.get(target_id, target).generation < generation:
            self.held_flows[target_id] = set()
        self.live_targets[target_id] = target
        self.held_flows.setdefault(target_id, set())
        self.opened_counts.setdefault(target_id, 0)

    def kill(self, target_id: str) -> None:
        """Kills a target without notice; the fronts still know it."""
        del self.live_targets[target_id]
        self.held_flows[target_id] = set()

    def create_front(self) -> _token_front.TokenFront:
        """Creates a front that has the routes but no flows."""
        routes = tuple(
            _deployment.Route(
                service,
                "198.18.0.1",
                port,
                (_deployment.ServiceShare(service, 1),),
                3000,
                300,
                1,
                is_repeatable=False,
            )
            for port, service in enumerate(SERVICES)
        )
        codec = _token_packets.PacketCodec(
            _parse,
            lambda data: "",
            lambda target: target.target_id.encode(),
            lambda data, token, target_id: (
                target_id + b"/" + token.to_bytes(4, "big")
            ),
            lambda data: (b"", _CALLER_ADDRESS),
        )

        def send(data: bytes, address: tuple[str, int]) -> bool:
            target_id, _, token = data.partition(b"/")
            if address != _CALLER_ADDRESS:
                number = int.from_bytes(token, "big")
                self.delivered = (target_id.decode(), number)
            return True

        front = _token_front.TokenFront(
            codec,
            create_placer("dc", self.random.random),
            send,
            _discard,
            _discard,
            _discard,
            _discard,
            _discard,
        )
        deployment = _deployment.Deployment(1, routes, SERVICES, 15_000)
        front.routes = _deployment.RouteTable(deployment)
        front.has_all_targets = True
        return front

    def update_fronts(self) -> None:
        """Gives every front the targets of the directory."""
        known, accepting = _token_front.index_targets_by_token(
            list(self.directory.incarnations()), self.directory.live_targets()
        )
        for front in self.fronts:
            front.use_targets(known, accepting)

    def send_packet(self, kind: int, token: int, flow: int) -> tuple[str, int]:
        """Sends a packet to a random front; returns its target and token."""
        self.delivered = None
        front = self.random.choice(self.fronts)
        data = _PACKET_FORMAT.pack(kind, token, flow, flow % 2)
        front.handle_packet(data, self.now_ms)
        target_id, new_token = self.delivered or ("", 0)
        if (
            target_id in self.live_targets
            and self.live_targets[target_id].service != SERVICES[flow % 2]
        ):
            self.wrong_service_packets += 1
        return target_id, new_token


def _discard(*values: object) -> None:
    """Discards reports that this experiment does not need."""
    del values


def _parse(data: bytes) -> _token_packets.TokenPacket:
    kind, token, flow, port = _PACKET_FORMAT.unpack(data)
    key = flow.to_bytes(4, "big")
    return _token_packets.TokenPacket(
        _PACKET_KINDS[kind], token, key, 0, "198.18.0.1", port
    )


def _steady(experiment: _Experiment) -> None:
    """Makes no change."""


def _target_drain(experiment: _Experiment) -> None:
    target = experiment.live_targets["t-0"]
    experiment.announce(
        "t-0",
        target.service,
        target.address.port,
        state=_types.TargetState.DRAINING,
    )
    experiment.leaving_targets.add("t-0")


def _target_death(experiment: _Experiment) -> None:
    experiment.kill("t-0")


def _target_restart(experiment: _Experiment) -> None:
    target = experiment.live_targets["t-0"]
    experiment.announce(
        "t-0", target.service, target.address.port, generation=2
    )


def _address_reuse(experiment: _Experiment) -> None:
    port = experiment.live_targets["t-0"].address.port
    experiment.kill("t-0")
    experiment.announce("t-new", SERVICES[1], port, generation=2)


def _targets_join(experiment: _Experiment) -> None:
    for number in range(3):
        experiment.announce(f"t-new-{number}", SERVICES[0], 900 + number)


def _instances_restart(experiment: _Experiment) -> None:
    experiment.fronts = [experiment.create_front() for _ in experiment.fronts]


def _everything(experiment: _Experiment) -> None:
    _targets_join(experiment)
    _target_drain(experiment)
    experiment.kill("t-2")
    _instances_restart(experiment)


PLANS: dict[str, Callable[[_Experiment], None]] = {
    "steady": _steady,
    "target-drain": _target_drain,
    "target-death": _target_death,
    "target-restart": _target_restart,
    "address-reuse": _address_reuse,
    "targets-join": _targets_join,
    "instances-restart": _instances_restart,
    "everything": _everything,
}
"""The changes of each plan, made while half of the flows are open."""


def run_plan(
    plan: str, instances: int, targets: int, flows: int, seed: int
) -> TokenReport:
    """Runs a plan.

    Args:
        plan: The name of the plan.
        instances: The number of fronts.
        targets: The number of targets at first; at least 4.
        flows: The number of flows to open, half of them before the change.
        seed: The seed of every random choice.

    Returns:
        The report.
    """
    experiment = _Experiment(instances, targets, seed)
    experiment.update_fronts()
    start_s = time.perf_counter()
    assigned: dict[int, tuple[str, int]] = {}
    broken: set[int] = set()

    def open_flows(numbers: range) -> None:
        for flow in numbers:
            experiment.now_ms += 1
            target_and_token = experiment.send_packet(0, 0, flow)
            target_id = target_and_token[0]
            assigned[flow] = target_and_token
            if target_id in experiment.live_targets:
                experiment.held_flows[target_id].add(flow)
                experiment.opened_counts[target_id] += 1
                experiment.opened_on_leaving += (
                    target_id in experiment.leaving_targets
                )
                send_packets(range(flow, flow + 1), 1)

    def send_packets(numbers: range, packets: int) -> None:
        for flow in numbers:
            assigned_target, token = assigned[flow]
            for _ in range(packets):
                target_id, _ = experiment.send_packet(1, token, flow)
                is_held = flow in experiment.held_flows.get(assigned_target, ())
                if is_held and target_id != assigned_target:
                    broken.add(flow)

    first_half = range(flows // 2)
    open_flows(first_half)
    baseline_before = _route_by_baseline(experiment, first_half)
    send_packets(first_half, PACKETS_PER_FLOW // 2)
    PLANS[plan](experiment)
    experiment.update_fronts()
    send_packets(first_half, PACKETS_PER_FLOW // 2)
    baseline_after = _route_by_baseline(experiment, first_half)
    open_flows(range(flows // 2, flows))
    packets = flows * 2 + len(first_half) * (PACKETS_PER_FLOW // 2) * 2
    lost_with_target = sum(
        1
        for flow, (target_id, _) in assigned.items()
        if flow not in experiment.held_flows.get(target_id, ())
    )
    return TokenReport(
        plan,
        flows,
        len(broken),
        lost_with_target,
        experiment.wrong_service_packets,
        experiment.opened_on_leaving,
        _imbalance(experiment, targets),
        sum(
            1
            for flow in first_half
            if baseline_before[flow] != baseline_after[flow]
            and flow in experiment.held_flows.get(assigned[flow][0], ())
        ),
        _state_bytes(experiment),
        (time.perf_counter() - start_s) * 1e6 / packets,
    )


def _route_by_baseline(experiment: _Experiment, flows: range) -> dict[int, str]:
    """Returns the target of each flow by a hash over the accepting targets."""
    assigned = {}
    for flow in flows:
        names = sorted(
            target.target_id
            for target in experiment.directory.live_targets()
            if target.service == SERVICES[flow % 2]
            and target.state != _types.TargetState.DRAINING
        )
        assigned[flow] = names[hash((flow, 17)) % len(names)]
    return assigned


def _imbalance(experiment: _Experiment, targets: int) -> float:
    """Returns the highest load over the mean, among the initial targets."""
    highest = 0.0
    for service in range(2):
        counts = [
            experiment.opened_counts[f"t-{number}"]
            for number in range(service, targets, 2)
        ]
        highest = max(highest, max(counts) * len(counts) / max(1, sum(counts)))
    return highest


def _state_bytes(experiment: _Experiment) -> int:
    known, _ = _token_front.index_targets_by_token(
        list(experiment.directory.incarnations()),
        experiment.directory.live_targets(),
    )
    return sys.getsizeof(known) + sum(
        sys.getsizeof(target) + sys.getsizeof(target.address)
        for target in known.values()
    )
