"""Flows held by a token in their packets, while a plan changes everything.

A stand-in fabric hands each packet to any of several packet fronts. Stand-in
targets echo the token, answer callers directly and reset what they do not
hold. The same packets are followed through a plain hash over the targets that
accept flows, as a baseline.
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
from bluebelltide.membership import _directory
from bluebelltide.placement import create_placer

SERVICES = ("one", "two")
"""The services; every second target is of the second one."""
PACKETS_PER_FLOW = 12
"""How many packets a caller sends on each flow, the opening included."""
_PACKET = struct.Struct(">BIIH")
"""Kind, token, flow number and port."""
_KINDS = tuple(_token_front.PacketKind)
_CALLER = ("127.0.0.1", 9)


class TokenReport(NamedTuple):
    """What a plan did to flows."""

    plan: str
    """The plan's name."""
    flows: int
    """How many flows were opened."""
    broken_flows: int
    """Flows whose packet reached a target that does not hold them, although
    their own target lives."""
    lost_with_target: int
    """Flows whose target died."""
    wrong_service_packets: int
    """Packets that reached a target of another service."""
    opened_on_leaving: int
    """Flows that a target got after every front knew that it leaves."""
    imbalance: float
    """Flows of the busiest target of a service over the mean."""
    baseline_broken_flows: int
    """Flows that a plain hash would have broken."""
    state_bytes: int
    """What a front keeps for its targets, without open flows."""
    us_per_packet: float
    """The mean time of a decision, in microseconds."""


class _Experiment:
    """Fronts, targets and open flows."""

    def __init__(self, instances: int, targets: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_ms = 0
        self.directory = _directory.TargetDirectory()
        self.held: dict[str, set[int]] = {}
        self.live: dict[str, _types.Target] = {}
        self.leaving: set[str] = set()
        self.opened: dict[str, int] = {}
        self.delivered: tuple[str, int] | None = None
        self.wrong_service = 0
        self.opened_on_leaving = 0
        for number in range(targets):
            self.announce(f"t-{number}", SERVICES[number % 2], number)
        self.fronts = [self.make_front() for _ in range(instances)]

    def announce(
        self,
        name: str,
        service: str,
        port: int,
        generation: int = 1,
        state: _types.TargetState = _types.TargetState.READY,
    ) -> None:
        """Lets a target say that it lives, under an id of its own."""
        sequence = 1 + (state == _types.TargetState.DRAINING)
        address = _types.Address("10.0.0.1", port)
        target = _types.Target(
            name,
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
        if self.live.get(name, target).generation < generation:
            self.held[name] = set()
        self.live[name] = target
        self.held.setdefault(name, set())
        self.opened.setdefault(name, 0)

    def kill(self, name: str) -> None:
        """Ends a target without a word; the fronts still know it."""
        del self.live[name]
        self.held[name] = set()

    def make_front(self) -> _token_front.TokenFront:
        """Starts an instance, which gets the directory but no flows."""
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
        codec = _token_front.PacketCodec(
            _parse,
            lambda data: "",
            lambda target: target.target_id.encode(),
            lambda data, token, label: label + b"/" + token.to_bytes(4, "big"),
            lambda data: (b"", _CALLER),
        )

        def send(data: bytes, address: tuple[str, int]) -> bool:
            label, _, token = data.partition(b"/")
            if address != _CALLER:
                number = int.from_bytes(token, "big")
                self.delivered = (label.decode(), number)
            return True

        front = _token_front.TokenFront(
            codec,
            create_placer("dc", self.random.random),
            send,
            _ignore,
            _ignore,
            _ignore,
            _ignore,
            _ignore,
        )
        deployment = _deployment.Deployment(1, routes, SERVICES, 15_000)
        front.routes = _deployment.RouteTable(deployment)
        front.has_all_targets = True
        return front

    def spread(self) -> None:
        """Tells every front what the directory holds."""
        known, accepting = _token_front.index_targets_by_token(
            list(self.directory.incarnations()), self.directory.live_targets()
        )
        for front in self.fronts:
            front.use_targets(known, accepting)

    def deliver(self, kind: int, token: int, flow: int) -> tuple[str, int]:
        """Hands a packet to any front; returns the target and the token."""
        self.delivered = None
        front = self.random.choice(self.fronts)
        data = _PACKET.pack(kind, token, flow, flow % 2)
        front.handle_packet(data, self.now_ms)
        name, number = self.delivered or ("", 0)
        if name in self.live and self.live[name].service != SERVICES[flow % 2]:
            self.wrong_service += 1
        return name, number


def _ignore(*values: object) -> None:
    """Stands for reports that this experiment does not need."""
    del values


def _parse(data: bytes) -> _token_front.TokenPacket:
    kind, token, flow, port = _PACKET.unpack(data)
    key = flow.to_bytes(4, "big")
    return _token_front.TokenPacket(
        _KINDS[kind], token, key, 0, "198.18.0.1", port
    )


def _steady(experiment: _Experiment) -> None:
    """Changes nothing."""


def _target_drain(experiment: _Experiment) -> None:
    target = experiment.live["t-0"]
    experiment.announce(
        "t-0",
        target.service,
        target.address.port,
        state=_types.TargetState.DRAINING,
    )
    experiment.leaving.add("t-0")


def _target_death(experiment: _Experiment) -> None:
    experiment.kill("t-0")


def _target_restart(experiment: _Experiment) -> None:
    target = experiment.live["t-0"]
    experiment.announce(
        "t-0", target.service, target.address.port, generation=2
    )


def _address_reuse(experiment: _Experiment) -> None:
    port = experiment.live["t-0"].address.port
    experiment.kill("t-0")
    experiment.announce("t-new", SERVICES[1], port, generation=2)


def _targets_join(experiment: _Experiment) -> None:
    for number in range(3):
        experiment.announce(f"t-new-{number}", SERVICES[0], 900 + number)


def _instances_restart(experiment: _Experiment) -> None:
    experiment.fronts = [experiment.make_front() for _ in experiment.fronts]


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
"""What changes while half of the flows are open."""


def run_plan(
    plan: str, instances: int, targets: int, flows: int, seed: int
) -> TokenReport:
    """Plays a plan.

    Args:
        plan: The plan's name.
        instances: How many fronts there are.
        targets: How many targets there are at first; at least 4.
        flows: How many flows are opened, half of them before the change.
        seed: Fixes every draw.

    Returns:
        The report.
    """
    experiment = _Experiment(instances, targets, seed)
    experiment.spread()
    started_s = time.perf_counter()
    homes: dict[int, tuple[str, int]] = {}
    broken: set[int] = set()

    def open_flows(numbers: range) -> None:
        for flow in numbers:
            experiment.now_ms += 1
            home = experiment.deliver(0, 0, flow)
            name = home[0]
            homes[flow] = home
            if name in experiment.live:
                experiment.held[name].add(flow)
                experiment.opened[name] += 1
                experiment.opened_on_leaving += name in experiment.leaving
                _carry(range(flow, flow + 1), 1)

    def _carry(numbers: range, packets: int) -> None:
        for flow in numbers:
            home, token = homes[flow]
            for _ in range(packets):
                name, _ = experiment.deliver(1, token, flow)
                is_held = flow in experiment.held.get(home, ())
                if is_held and name != home:
                    broken.add(flow)

    half = range(flows // 2)
    open_flows(half)
    baseline_before = _baseline(experiment, half)
    _carry(half, PACKETS_PER_FLOW // 2)
    PLANS[plan](experiment)
    experiment.spread()
    _carry(half, PACKETS_PER_FLOW // 2)
    baseline_after = _baseline(experiment, half)
    open_flows(range(flows // 2, flows))
    packets = flows * 2 + len(half) * (PACKETS_PER_FLOW // 2) * 2
    lost = sum(
        1
        for flow, (name, _) in homes.items()
        if flow not in experiment.held.get(name, ())
    )
    return TokenReport(
        plan,
        flows,
        len(broken),
        lost,
        experiment.wrong_service,
        experiment.opened_on_leaving,
        _imbalance(experiment, targets),
        sum(
            1
            for flow in half
            if baseline_before[flow] != baseline_after[flow]
            and flow in experiment.held.get(homes[flow][0], ())
        ),
        _state_bytes(experiment),
        (time.perf_counter() - started_s) * 1e6 / packets,
    )


def _baseline(experiment: _Experiment, flows: range) -> dict[int, str]:
    """Returns where a plain hash over the accepting targets sends flows."""
    homes = {}
    for flow in flows:
        names = sorted(
            target.target_id
            for target in experiment.directory.live_targets()
            if target.service == SERVICES[flow % 2]
            and target.state != _types.TargetState.DRAINING
        )
        homes[flow] = names[hash((flow, 17)) % len(names)]
    return homes


def _imbalance(experiment: _Experiment, targets: int) -> float:
    """Returns the busiest over the mean, of the targets there at first."""
    worst = 0.0
    for service in range(2):
        counts = [
            experiment.opened[f"t-{number}"]
            for number in range(service, targets, 2)
        ]
        worst = max(worst, max(counts) * len(counts) / max(1, sum(counts)))
    return worst


def _state_bytes(experiment: _Experiment) -> int:
    known, _ = _token_front.index_targets_by_token(
        list(experiment.directory.incarnations()),
        experiment.directory.live_targets(),
    )
    return sys.getsizeof(known) + sum(
        sys.getsizeof(target) + sys.getsizeof(target.address)
        for target in known.values()
    )
