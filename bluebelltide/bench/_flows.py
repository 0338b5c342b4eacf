"""The flows experiment: whether flows stay whole while a plan runs.

A plan changes targets and instances, or lets them fail, while flows are open.
"""

from collections import Counter
from collections.abc import Callable, Iterable
import random
from typing import Any, NamedTuple

import numpy as np
import xxhash

from bluebelltide import _types
from bluebelltide import flows
from bluebelltide.bench import _clock
from bluebelltide.bench import _fabric

SERVICES = ("reminder-svc", "statement-svc")
"""The services of the experiment; the first gets three of four flows."""
IDLE_TIMEOUT_MS = 10_000
"""The idle timeout of both services."""
MEAN_PACKET_INTERVAL_MS = 4000
"""Mean time from an answer to the next packet of the flow."""
MEAN_FLOW_LIFETIME_MS = 40_000
"""Mean lifetime of a flow."""
WARM_UP_MS = 6000
"""When flows start; instances agree on an epoch before."""
PLAN_START_MS = 26_000
"""When the plan starts its changes."""
END_MS = 90_000
"""When the experiment ends."""
INITIAL_RETRANSMISSION_TIMEOUT_MS = 300
"""First retransmission timeout of a caller; it doubles each time."""
STALLED_AFTER_MS = 12_000
"""A flow that has waited longer for an answer at the end counts as broken."""
MAXIMUM_RETRANSMISSIONS = 7
"""How often a caller retransmits a packet before its flow counts as broken."""


class Options(NamedTuple):
    """The settings of the experiment."""

    instances: int
    """The number of entry instances."""
    targets: int
    """The number of targets of the first service; the second has four."""
    flows: int
    """The number of flows that are kept open."""
    plan: str
    """The name of the plan."""
    seed: int
    """The seed of every random choice."""
    loss_percent: float = 0.5
    """The share of packets that the fabric loses."""
    objective: str = "whole_flows"
    """The objective of the services."""


class _Target:
    """A stand-in target that holds its open flows."""

    def __init__(self, service: str, target_id: str, port: int) -> None:
        self.service = service
        self.target_id = target_id
        self.address = _types.Address("127.0.0.1", port)
        self.is_up = True
        self.state = _types.TargetState.READY
        self.sequence = 0
        self.flows: set[int] = set()
        self.leaving_since_ms: float | None = None


class _Flow:
    """One caller's flow."""

    def __init__(self, number: int, service: str, flow_hash: int) -> None:
        self.number = number
        self.service = service
        self.hash = flow_hash
        self.target: _Target | None = None
        self.has_ended = False
        self.end_ms = 0.0
        self.baseline_target: str | None = None
        self.is_baseline_broken = False
        self.transmissions = 0
        self.awaits_answer = False
        self.sent_ms = 0.0


class Experiment:
    """Callers, targets and a plan on the fake fabric."""

    def __init__(self, options: Options) -> None:
        """Creates the instances and targets."""
        self.options = options
        self.clock = _clock.FakeClock()
        self.random = random.Random(options.seed)
        self.fabric = _fabric.Fabric(
            self.clock,
            options.seed,
            SERVICES,
            IDLE_TIMEOUT_MS,
            options.loss_percent,
            has_even_load=options.objective == "even_load",
        )
        self.fabric.on_deliver = self._on_deliver
        self.counts: Counter[str] = Counter()
        self.baseline_counts: Counter[str] = Counter()
        self.targets: dict[tuple[str, str], _Target] = {}
        self.flows: dict[int, _Flow] = {}
        self._flows_by_hash: dict[int, _Flow] = {}
        self.pinned_flows_peak = 0
        self.imbalances: list[float] = []
        self.baseline_imbalances: list[float] = []
        self.last_open_after_leaving_ms = 0.0
        self.baseline_last_open_after_leaving_ms = 0.0
        self._last_flow_number = 0
        for index in range(options.instances):
            self.fabric.add_instance(f"entry-{index:02}")
        for index in range(options.targets):
            self.add_target(SERVICES[0], f"r{index:03}")
        for index in range(4):
            self.add_target(SERVICES[1], f"s{index:03}")

    # Targets.

    def add_target(self, service: str, target_id: str) -> None:
        """Starts a target, which announces itself at intervals."""
        port = 1000 + len(self.targets)
        target = _Target(service, target_id, port)
        self.targets[(service, target_id)] = target

        def announce() -> None:
            if not target.is_up:
                return
            target.sequence += 1
            self.fabric.announce(
                _types.Target(
                    target_id,
                    service,
                    target.address,
                    "dc",
                    1,
                    target.sequence,
                    target.state,
                    3,
                    len(target.flows),
                    0,
                    3000,
                )
            )
            self.clock.after(_fabric.ANNOUNCE_INTERVAL_MS, announce)

        announce()

    def drain_target(self, service: str, target_id: str) -> None:
        """Drains a target, as an operator does."""
        target = self.targets[(service, target_id)]
        target.leaving_since_ms = self.clock.now_ms
        self.fabric.distribute_drain(service, target_id)

    def kill_target(self, service: str, target_id: str) -> None:
        """Kills a target; its flows are lost with it."""
        target = self.targets[(service, target_id)]
        target.is_up = False
        for flow in list(self.flows.values()):
            if flow.target is target:
                self._end_flow(flow)
                self.counts["lost_with_target"] += 1

    # Callers.

    def start_flows(self) -> None:
        """Opens the first flows; each flow that ends is replaced."""
        for _ in range(self.options.flows):
            self.clock.after(self.random.uniform(0, 4000), self._open_flow)

    def _open_flow(self) -> None:
        self._last_flow_number += 1
        service = SERVICES[0] if self._last_flow_number % 4 else SERVICES[1]
        flow_key = f"{self.options.seed}/{self._last_flow_number}"
        flow_hash = xxhash.xxh3_64_intdigest(flow_key.encode())
        flow = _Flow(self._last_flow_number, service, flow_hash)
        lifetime_ms = self.random.expovariate(1 / MEAN_FLOW_LIFETIME_MS)
        flow.end_ms = self.clock.now_ms + lifetime_ms
        self.flows[flow.number] = flow
        self._flows_by_hash[flow.hash] = flow
        self.counts["flows"] += 1
        self._send_packet(flow)

    def _end_flow(self, flow: _Flow) -> None:
        if flow.has_ended:
            return
        flow.has_ended = True
        del self.flows[flow.number]
        del self._flows_by_hash[flow.hash]
        if flow.target is not None:
            flow.target.flows.discard(flow.number)
        self._open_flow()

    def _send_packet(self, flow: _Flow) -> None:
        flow.transmissions = 0
        flow.awaits_answer = True
        flow.sent_ms = self.clock.now_ms
        self._transmit(flow)

    def _transmit(self, flow: _Flow) -> None:
        if flow.has_ended or not flow.awaits_answer:
            return
        if flow.transmissions > MAXIMUM_RETRANSMISSIONS:
            self._mark_broken(flow, "timeout")
            return
        is_opening = flow.target is None
        instance_name = self.fabric.spray(
            flows.Packet(flow.service, flow.hash, is_opening, None)
        )
        if instance_name is not None:
            self._route_by_baseline(flow, instance_name, is_opening)
        delay_ms = INITIAL_RETRANSMISSION_TIMEOUT_MS * 2**flow.transmissions
        flow.transmissions += 1
        self.clock.after(delay_ms, lambda: self._transmit(flow))

    def _on_answer(self, flow: _Flow) -> None:
        if not flow.awaits_answer:
            return
        flow.awaits_answer = False
        wait_ms = self.random.uniform(0.5, 1.5) * MEAN_PACKET_INTERVAL_MS
        if self.clock.now_ms + wait_ms > flow.end_ms:
            self._end_flow(flow)
            return

        def send_next() -> None:
            if not flow.has_ended:
                self._send_packet(flow)

        self.clock.after(wait_ms, send_next)

    def _mark_broken(self, flow: _Flow, cause: str) -> None:
        if flow.has_ended:
            return
        self.counts["broken_flows"] += 1
        self.counts[f"broken.{cause}"] += 1
        if flow.target is not None:
            self.counts["broken_established"] += 1
        self._end_flow(flow)

    # Delivered packets.

    def _on_deliver(
        self, packet: flows.Packet, target_id: str, instance_name: str
    ) -> None:
        del instance_name
        flow = self._flows_by_hash.get(packet.flow_hash)
        if flow is None:
            return
        if packet.from_target is not None:
            self._on_answer(flow)
            return
        target = self.targets[(packet.service, target_id)]
        if target.service != flow.service:
            self.counts["wrong_service_packets"] += 1
        if not target.is_up:
            return
        if packet.is_opening and flow.target is None:
            self._accept_flow(flow, target)
        if flow.target is not target:
            # The target resets a flow that it does not hold.
            self._mark_broken(flow, "reset")
            return
        # The answer passes a random instance, too.
        self.fabric.spray(
            flows.Packet(flow.service, flow.hash, False, target.target_id)
        )

    def _accept_flow(self, flow: _Flow, target: _Target) -> None:
        flow.target = target
        target.flows.add(flow.number)
        if target.leaving_since_ms is not None:
            after_leaving_ms = self.clock.now_ms - target.leaving_since_ms
            self.last_open_after_leaving_ms = max(
                self.last_open_after_leaving_ms, after_leaving_ms
            )

    # The baseline routes the same packets by a hash over the live targets,
    # without state.

    def _route_by_baseline(
        self, flow: _Flow, instance_name: str, is_opening: bool
    ) -> None:
        inputs = self.fabric.plan_input(self.fabric.instances[instance_name])
        names = [t.target_id for t in inputs[flow.service] if t.weight > 0]
        if not names:
            return
        chosen = names[flow.hash % len(names)]
        if flow.baseline_target is None or is_opening:
            flow.baseline_target = chosen
            target = self.targets[(flow.service, chosen)]
            if target.leaving_since_ms is not None:
                after_leaving_ms = self.clock.now_ms - target.leaving_since_ms
                self.baseline_last_open_after_leaving_ms = max(
                    self.baseline_last_open_after_leaving_ms, after_leaving_ms
                )
            return
        is_up = self.targets[(flow.service, flow.baseline_target)].is_up
        if (
            chosen != flow.baseline_target
            and is_up
            and not flow.is_baseline_broken
        ):
            flow.is_baseline_broken = True
            self.baseline_counts["broken_flows"] += 1

    # Measurements.

    def stalled_flows(self) -> list[_Flow]:
        """Returns the flows that have waited too long for an answer."""
        return [
            flow
            for flow in self.flows.values()
            if flow.awaits_answer
            and self.clock.now_ms - flow.sent_ms > STALLED_AFTER_MS
        ]

    def take_sample(self) -> None:
        """Samples the number of pinned flows and the imbalances."""
        pinned_flows = sum(
            instance.engine.router.pinned_flow_count()
            for instance in self.fabric.instances.values()
            if instance.is_up
        )
        self.pinned_flows_peak = max(self.pinned_flows_peak, pinned_flows)
        ready = [
            target
            for target in self.targets.values()
            if target.is_up
            and target.service == SERVICES[0]
            and target.leaving_since_ms is None
        ]
        self.imbalances.append(_imbalance(len(t.flows) for t in ready))
        baseline_flows: Counter[str | None] = Counter(
            flow.baseline_target
            for flow in self.flows.values()
            if flow.service == SERVICES[0]
        )
        self.baseline_imbalances.append(
            _imbalance(baseline_flows[t.target_id] for t in ready)
        )


def _imbalance(counts: Iterable[int]) -> float:
    values = list(counts)
    mean = sum(values) / max(1, len(values))
    return max(values) / mean if mean else 1.0


# Plans; each starts its changes at PLAN_START_MS.

Plan = Callable[[Experiment], None]


def _steady(experiment: Experiment) -> None:
    del experiment


def _target_join(experiment: Experiment) -> None:
    experiment.add_target(SERVICES[0], "r900")


def _target_drain(experiment: Experiment) -> None:
    experiment.drain_target(SERVICES[0], "r001")


def _target_death(experiment: Experiment) -> None:
    experiment.kill_target(SERVICES[0], "r001")


def _instance_join(experiment: Experiment) -> None:
    experiment.fabric.add_instance("entry-90")


def _instance_leave(experiment: Experiment) -> None:
    experiment.fabric.leave_instance("entry-01")


def _instance_death(experiment: Experiment) -> None:
    _target_drain(experiment)
    experiment.clock.after(
        5000, lambda: experiment.fabric.kill_instance("entry-01")
    )


def _two_deaths(experiment: Experiment) -> None:
    _instance_death(experiment)
    experiment.clock.after(
        12_000, lambda: experiment.fabric.kill_instance("entry-02")
    )


def _rolling(experiment: Experiment) -> None:
    names = list(experiment.fabric.instances)

    def roll(index: int) -> None:
        if index == len(names):
            return
        experiment.fabric.leave_instance(names[index])

        def replace() -> None:
            experiment.fabric.add_instance(f"entry-{50 + index}")
            experiment.clock.after(1500, lambda: roll(index + 1))

        experiment.clock.after(3500, replace)

    roll(0)


def _partition(experiment: Experiment) -> None:
    fabric = experiment.fabric
    isolated = "entry-02"
    others = [name for name in fabric.instances if name != isolated]
    _target_drain(experiment)

    def cut() -> None:
        fabric.cut_links |= {(isolated, other) for other in others}
        fabric.cut_links |= {(other, isolated) for other in others}

    experiment.clock.after(2000, cut)
    experiment.clock.after(22_000, fabric.heal)


def _drain_while_instances_roll(experiment: Experiment) -> None:
    _rolling(experiment)
    experiment.clock.after(
        4000, lambda: experiment.drain_target(SERVICES[0], "r001")
    )
    experiment.clock.after(
        9000, lambda: experiment.drain_target(SERVICES[0], "r002")
    )
    experiment.clock.after(
        14_000, lambda: experiment.add_target(SERVICES[0], "r900")
    )


PLANS: dict[str, Plan] = {
    "steady": _steady,
    "target-join": _target_join,
    "target-drain": _target_drain,
    "target-death": _target_death,
    "instance-join": _instance_join,
    "instance-leave": _instance_leave,
    "instance-death": _instance_death,
    "two-deaths": _two_deaths,
    "rolling": _rolling,
    "partition": _partition,
    "drain-while-instances-roll": _drain_while_instances_roll,
}

PLANS_WITH_FAILURES = {
    "target-death",
    "instance-death",
    "two-deaths",
    "partition",
}
"""Plans in which something fails; the others make planned changes only."""


def run(options: Options) -> dict[str, Any]:
    """Runs one experiment.

    Args:
        options: The settings.

    Returns:
        The measurements, and those of the baseline under `baseline`.
    """
    experiment = Experiment(options)
    run_plan(experiment)
    return _report(experiment)


def run_plan(experiment: Experiment) -> None:
    """Runs an experiment's flows and plan to the end."""
    clock = experiment.clock
    plan = PLANS[experiment.options.plan]
    clock.run_until(WARM_UP_MS)
    experiment.start_flows()
    clock.after(PLAN_START_MS - WARM_UP_MS, lambda: plan(experiment))
    clock.after(10_000, lambda: clock.every(500, experiment.take_sample))
    clock.run_until(END_MS)


def _report(experiment: Experiment) -> dict[str, Any]:
    options = experiment.options
    counts = experiment.counts
    stalled_flows = experiment.stalled_flows()
    counts["broken_flows"] += len(stalled_flows)
    counts["broken.stalled"] += len(stalled_flows)
    fabric = experiment.fabric.counts
    is_planned = options.plan not in PLANS_WITH_FAILURES
    broken = counts["broken_flows"]
    seconds = END_MS / 1000
    packets = max(1, fabric["packets"])
    report: dict[str, Any] = {
        **options._asdict(),
        "flows_opened": counts["flows"],
        "broken_flows": broken,
        "broken_by_planned_change": broken if is_planned else 0,
        "wrong_service_packets": counts["wrong_service_packets"],
        "new_flows_to_leaving_after_ms": round(
            experiment.last_open_after_leaving_ms
        ),
        "imbalance": round(float(np.median(experiment.imbalances)), 3),
        "imbalance_at_end": round(float(experiment.imbalances[-1]), 3),
        "relayed_fraction": round(fabric["relayed"] / packets, 4),
        "exceptions_peak": experiment.pinned_flows_peak,
        "control_bytes_per_instance_per_s": round(
            fabric["control_bytes"] / options.instances / seconds
        ),
        "no_instance_packets": fabric["no_instance"],
        "lost_with_target": counts["lost_with_target"],
        "drops": {
            name.removeprefix("dropped."): count
            for name, count in sorted(fabric.items())
            if name.startswith("dropped.")
        },
        "broken_why": {
            name.removeprefix("broken."): count
            for name, count in sorted(counts.items())
            if name.startswith("broken.")
        },
    }
    baseline_broken = experiment.baseline_counts["broken_flows"]
    report["baseline"] = {
        "flows_opened": counts["flows"],
        "broken_flows": baseline_broken,
        "broken_by_planned_change": baseline_broken if is_planned else 0,
        "wrong_service_packets": 0,
        "new_flows_to_leaving_after_ms": round(
            experiment.baseline_last_open_after_leaving_ms
        ),
        "imbalance": round(float(np.median(experiment.baseline_imbalances)), 3),
        "relayed_fraction": 0.0,
        "exceptions_peak": 0,
        "control_bytes_per_instance_per_s": 0,
    }
    return report
