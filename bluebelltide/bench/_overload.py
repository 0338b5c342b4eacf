"""The overload experiment: more requests than a few small targets can serve.

Real admission cores run on a fake clock against stand-in targets with slots
and a short backlog. Baselines get the same arrivals: they have no queue, send
each request at once and retry it when it is shed or cannot connect.
"""

from collections import Counter
from collections.abc import Callable
import functools
import itertools
import random
from typing import Any, NamedTuple

import numpy as np

from bluebelltide import _codes
from bluebelltide import _types
from bluebelltide import admission
from bluebelltide.bench import _clock
from bluebelltide.bench import _overload_targets
from bluebelltide.bench import _overload_users
from bluebelltide.bench import _weighted
from bluebelltide.catalogue import _entries
from bluebelltide.membership import _registry

REPORT_INTERVAL_MS = 500
"""Time between two load reports of a target."""
MEAN_GOSSIP_DELAY_MS = 20
"""Mean delay until an instance receives a report."""
LOCAL_DELAY_MS = 0.25
"""One-way delay within a data centre."""
CONNECT_TIMEOUT_MS = 1000
"""How long a connection attempt to a dead target takes to fail."""
TICK_INTERVAL_MS = 20
"""Time between two ticks of the cores."""
DURATION_MS = 30_000
"""How long requests arrive."""
MAXIMUM_BASELINE_ATTEMPTS = 3
"""How often a baseline sends a request before it refuses the request."""
BASELINES = ("random", "round_robin", "least_reported_load")
"""The policies that the admission core is compared with."""
POLICIES = ("admission", "weighted", *BASELINES)
"""All policies that can run."""
SCENARIOS = ("plain", "slow", "lying", "cold", "death")
"""What happens to one target of each service."""


class Options(NamedTuple):
    """The settings of the experiment."""

    users: str
    """The name of the user, a key of USERS."""
    load: float
    """The arrival rate as a multiple of the capacity."""
    policy: str
    """One of POLICIES."""
    scenario: str
    """One of SCENARIOS."""
    seed: int
    """The seed of every random choice."""


class _Instance:
    """One instance with its view of the targets and its admission cores."""

    def __init__(self, number: int, data_centre: int) -> None:
        self.number = number
        self.data_centre = data_centre
        self.availabilities: dict[str, _registry.TargetAvailability] = {}
        self.last_received_ms: dict[str, float] = {}
        self.first_received_ms: dict[str, float] = {}
        self.admissions: dict[str, admission.Admission] = {}
        self.round_robin_counter = itertools.count()


class Experiment:
    """Arrivals, instances and targets on one clock."""

    def __init__(self, options: Options) -> None:
        """Creates the deployment."""
        self.options = options
        self.user = _overload_users.USERS[options.users]
        self.clock = _clock.FakeClock()
        self.random = random.Random(options.seed)
        self.policy_random = random.Random(options.seed + 1)
        self.counts: Counter[str] = Counter()
        self.requests: list[_overload_targets.Request] = []
        self.latencies: dict[str, list[float]] = {}
        self.targets: dict[str, _overload_targets.Target] = {}
        self.caller_usage = [
            _weighted.CallerUsage() for _ in range(self.user.instances)
        ]
        self.instances = [
            _Instance(number, number % self.user.data_centres)
            for number in range(self.user.instances)
        ]
        for service in self.user.services:
            self._set_up_service(service)
        self.clock.every(TICK_INTERVAL_MS, self._tick)

    def _set_up_service(self, service: _overload_users.ServiceModel) -> None:
        for number in range(service.target_count):
            name = f"{service.name}-{number}"
            target = _overload_targets.Target(
                self.clock, service, name, number % self.user.data_centres
            )
            self.targets[name] = target
            self._announce(target)
        self._apply_scenario(self.targets[f"{service.name}-1"])
        limits = _entries.Limits(
            new_flows_per_s=1_000_000,
            open_flows=1_000_000,
            waiting_flows=10_000,
            deadline_ms=int(service.late_after_ms),
        )
        entry = _entries.ServiceEntry(
            service.name,
            "team",
            service.service_class,
            (),
            (),
            admission_mode=_entries.AdmissionMode.SLOTS,
            limits=limits,
        )
        for instance in self.instances:
            seed = self.options.seed * 100 + instance.number
            core = admission.create_admission(entry, seed)
            if self.options.policy == "weighted":
                order = _weighted.create_weighted_order(
                    self.caller_usage[instance.number], 1.0, 1.0
                )
                core = admission.Admission(entry, order, seed)
            instance.admissions[service.name] = core

    def _apply_scenario(self, target: _overload_targets.Target) -> None:
        scenario = self.options.scenario
        if scenario == "slow":
            target.slowdown_factor = 3.0
        elif scenario == "lying":
            target.false_load_percent = 0
        elif scenario == "cold":
            target.is_up = False
            self.clock.after(8000, lambda: self._start_cold(target))
        elif scenario == "death":
            self.clock.after(10_000, lambda: self._kill(target))

    def _start_cold(self, target: _overload_targets.Target) -> None:
        target.is_up = True
        target.has_started_cold = True
        target.started_ms = self.clock.now_ms
        self._announce(target)

    def _kill(self, target: _overload_targets.Target) -> None:
        target.is_up = False
        backlog = [request for request, _ in target.backlog]
        for request in [*target.running_requests.values(), *backlog]:
            # The request had reached the target and may have run, so it is
            # aborted, and neither reported as refused nor retried.
            self.counts["aborted"] += 1
            request.set_outcome("aborted", self.counts)
            if request.on_outcome is not None:
                request.on_outcome("aborted")

    def _announce(self, target: _overload_targets.Target) -> None:
        if not target.is_up:
            return
        announced = target.create_announcement()
        for instance in self.instances:
            delay_ms = self.random.expovariate(1 / MEAN_GOSSIP_DELAY_MS)
            if instance.data_centre != target.data_centre:
                delay_ms += self.user.data_centre_delay_ms
            receive = functools.partial(
                self._receive_announcement, instance, announced
            )
            self.clock.after(delay_ms, receive)
        self.clock.after(REPORT_INTERVAL_MS, lambda: self._announce(target))

    def _receive_announcement(
        self, instance: _Instance, target: _types.Target
    ) -> None:
        known = instance.availabilities.get(target.target_id)
        if known is not None and known.target.sequence >= target.sequence:
            return
        now_ms = self.clock.now_ms
        instance.first_received_ms.setdefault(target.target_id, now_ms)
        instance.last_received_ms[target.target_id] = now_ms
        age_ms = now_ms - instance.first_received_ms[target.target_id]
        share = 1.0
        if target.state == _types.TargetState.COLD:
            share = max(0.1, min(1.0, age_ms / 10_000))
        is_local = target.data_centre == f"dc{instance.data_centre}"
        instance.availabilities[target.target_id] = (
            _registry.TargetAvailability(target, True, share, is_local)
        )
        self._update_admission(instance, target.service)

    def _availabilities(
        self, instance: _Instance, service: str
    ) -> list[_registry.TargetAvailability]:
        oldest_valid_ms = self.clock.now_ms - 2000
        return [
            availability._replace(
                is_accepting=instance.last_received_ms[name] >= oldest_valid_ms
            )
            for name, availability in sorted(instance.availabilities.items())
            if availability.target.service == service
        ]

    def _update_admission(self, instance: _Instance, service: str) -> None:
        peers = [
            other
            for other in self.instances
            if other.data_centre == instance.data_centre
        ]
        share = admission.Share(peers.index(instance), len(peers))
        actions = instance.admissions[service].update_targets(
            self._availabilities(instance, service),
            share,
            int(self.clock.now_ms),
        )
        self._perform_actions(instance, actions)

    def _tick(self) -> None:
        for instance in self.instances:
            for service in instance.admissions:
                self._update_admission(instance, service)
                actions = instance.admissions[service].tick(
                    int(self.clock.now_ms)
                )
                self._perform_actions(instance, actions)

    # Arrivals.

    def start(self) -> None:
        """Starts the arrivals of all services."""
        for service in self.user.services:
            capacity_per_ms = (
                service.target_count * service.slots / service.service_ms
            )
            rate_per_ms = capacity_per_ms * self.options.load
            self._schedule_arrival(service, rate_per_ms)

    def _schedule_arrival(
        self, service: _overload_users.ServiceModel, rate_per_ms: float
    ) -> None:
        wait_ms = self.random.expovariate(rate_per_ms)
        if self.clock.now_ms + wait_ms > DURATION_MS:
            return

        def arrive() -> None:
            self._arrive(service)
            self._schedule_arrival(service, rate_per_ms)

        self.clock.after(wait_ms, arrive)

    def _arrive(self, service: _overload_users.ServiceModel) -> None:
        # Half of the requests come from a tenth of the callers; the other half
        # comes from all callers.
        caller_count = service.caller_count
        if self.random.random() < 0.5:
            caller_count = max(1, caller_count // 10)
        caller = f"caller-{self.random.randrange(caller_count)}"
        request = _overload_targets.Request(
            len(self.requests), service, caller, self.clock.now_ms
        )
        request.service_ms = self.random.expovariate(1 / service.service_ms)
        instance = self.random.choice(self.instances)
        self.requests.append(request)
        if self.options.policy in BASELINES:
            self._send_by_baseline(instance, request)
            return
        actions = instance.admissions[service.name].submit_request(
            request.number, caller, False, int(self.clock.now_ms)
        )
        self._perform_actions(instance, actions)

    # The admission core's actions.

    def _perform_actions(
        self, instance: _Instance, actions: list[admission.Action]
    ) -> None:
        for action in actions:
            request = self.requests[action.request_id]
            if isinstance(action, admission.Refuse):
                self.counts["refused"] += 1
                self.counts[f"refused.{action.code}"] += 1
                if request.run_count:
                    self.counts["refused_but_run"] += 1
                request.set_outcome("refused", self.counts)
            elif isinstance(action, admission.Retry):
                self.counts["retries"] += 1
            else:
                self._send_to_target(instance, request, action.target.target_id)

    def _send_to_target(
        self,
        instance: _Instance,
        request: _overload_targets.Request,
        target_id: str,
    ) -> None:
        core = instance.admissions[request.service.name]

        def handle_failure(code: _codes.RetryCode) -> None:
            now_ms = int(self.clock.now_ms)
            self._perform_actions(
                instance, core.retry_or_refuse(request.number, code, now_ms)
            )

        def handle_outcome(outcome: str) -> None:
            del outcome
            now_ms = int(self.clock.now_ms)
            self._perform_actions(
                instance, core.end_request(request.number, now_ms)
            )

        def mark_running() -> None:
            usage = self.caller_usage[instance.number]
            usage.record_request(request.caller, int(self.clock.now_ms))
            core.note_running(request.number)

        request.on_outcome = handle_outcome
        self._connect(
            instance, request, target_id, mark_running, handle_failure
        )

    def _connect(
        self,
        instance: _Instance,
        request: _overload_targets.Request,
        target_id: str,
        on_accepted: Callable[[], None],
        on_failure: Callable[[_codes.RetryCode], None],
    ) -> None:
        target = self.targets[target_id]
        delay_ms = self._one_way_delay_ms(instance, target)
        request.attempts += 1

        def reach_target() -> None:
            if not target.is_up:
                self.clock.after(
                    CONNECT_TIMEOUT_MS,
                    lambda: on_failure(_codes.RetryCode.CONNECT_TIMEOUT),
                )
            elif not target.has_room():
                self.clock.after(
                    delay_ms, lambda: on_failure(_codes.RetryCode.SHED)
                )
            else:
                on_accepted()
                target.run(request, done)

        def done() -> None:
            self.clock.after(delay_ms, lambda: self._deliver_answer(request))

        self.clock.after(delay_ms, reach_target)

    def _one_way_delay_ms(
        self, instance: _Instance, target: _overload_targets.Target
    ) -> float:
        if instance.data_centre == target.data_centre:
            return LOCAL_DELAY_MS
        return self.user.data_centre_delay_ms * self.random.uniform(0.9, 1.4)

    def _deliver_answer(self, request: _overload_targets.Request) -> None:
        request.set_outcome("answered", self.counts)
        latency_ms = self.clock.now_ms - request.arrived_ms
        self.latencies.setdefault(request.service.name, []).append(latency_ms)
        if request.on_outcome is not None:
            request.on_outcome("answered")

    # Baselines.

    def _send_by_baseline(
        self, instance: _Instance, request: _overload_targets.Request
    ) -> None:
        target_id = self._choose_by_baseline(instance, request)
        if target_id is None:
            self.counts["refused"] += 1
            request.set_outcome("refused", self.counts)
            return

        def handle_failure(code: _codes.RetryCode) -> None:
            del code
            if request.attempts >= MAXIMUM_BASELINE_ATTEMPTS:
                self.counts["refused"] += 1
                request.set_outcome("refused", self.counts)
                return
            self.counts["retries"] += 1
            self._send_by_baseline(instance, request)

        self._connect(
            instance, request, target_id, lambda: None, handle_failure
        )

    def _choose_by_baseline(
        self, instance: _Instance, request: _overload_targets.Request
    ) -> str | None:
        candidates = [
            availability
            for availability in self._availabilities(
                instance, request.service.name
            )
            if availability.is_accepting
        ]
        local_candidates = [
            availability for availability in candidates if availability.is_local
        ]
        pool = local_candidates or candidates
        if not pool:
            return None
        if self.options.policy == "random":
            chosen = self.policy_random.choice(pool)
        elif self.options.policy == "round_robin":
            chosen = pool[next(instance.round_robin_counter) % len(pool)]
        else:
            chosen = min(pool, key=lambda s: s.target.load_percent)
        return chosen.target.target_id


def run_policy(options: Options) -> dict[str, Any]:
    """Runs one policy.

    Args:
        options: The settings.

    Returns:
        The measurements.
    """
    experiment = Experiment(options)
    clock = experiment.clock
    clock.run_until(1500)
    for target in experiment.targets.values():
        target.busy_ms = 0.0
    experiment.start()
    clock.run_until(DURATION_MS)
    busy_ms = {t.name: t.busy_ms for t in experiment.targets.values()}
    clock.run_until(DURATION_MS + 12_000)
    return _create_report(experiment, busy_ms)


def _create_report(
    experiment: Experiment, busy_ms: dict[str, float]
) -> dict[str, Any]:
    counts = experiment.counts
    requests = experiment.requests
    total = max(1, len(requests))
    by_class: dict[str, dict[str, float]] = {}
    goodput = []
    imbalance = []
    late = 0
    measured_ms = DURATION_MS - 1500
    for service in experiment.user.services:
        latencies_ms = experiment.latencies.get(service.name, [])
        in_time = sum(ms <= service.late_after_ms for ms in latencies_ms)
        late += len(latencies_ms) - in_time
        capacity = (
            service.target_count
            * service.slots
            * measured_ms
            / service.service_ms
        )
        goodput.append(in_time / (capacity * min(1, experiment.options.load)))
        busy_ms_per_slot = [
            busy_ms[t.name] / service.slots
            for t in experiment.targets.values()
            if t.service is service and t.is_up and not t.has_started_cold
        ]
        imbalance.append(
            max(busy_ms_per_slot)
            / (sum(busy_ms_per_slot) / len(busy_ms_per_slot))
        )
        request_count = sum(r.service is service for r in requests)
        by_class[service.service_class.value] = {
            "answered": round(len(latencies_ms) / max(1, request_count), 4),
            "late": len(latencies_ms) - in_time,
            "light_callers_answered": round(
                _answered_share_of_light_callers(requests, service), 4
            ),
            "p50_ms": round(float(np.percentile(latencies_ms or [0], 50)), 1),
            "p99_ms": round(float(np.percentile(latencies_ms or [0], 99)), 1),
        }
    return {
        "requests": total,
        "goodput": round(min(goodput), 4),
        "late": late,
        "refused_not_run": counts["refused"] - counts["refused_but_run"],
        "refused_but_run": counts["refused_but_run"],
        "aborted": counts["aborted"],
        "doubled": sum(request.run_count > 1 for request in requests),
        "lost": sum(not r.outcome for r in requests) + counts["two_outcomes"],
        "imbalance": round(max(imbalance), 3),
        "retries_per_request": round(counts["retries"] / total, 4),
        "by_class": by_class,
    }


def _answered_share_of_light_callers(
    requests: list[_overload_targets.Request],
    service: _overload_users.ServiceModel,
) -> float:
    """Returns the answered share of the requests of light callers.

    Light callers are the nine tenths that send fewer requests.
    """
    heavy_callers = {
        f"caller-{n}" for n in range(max(1, service.caller_count // 10))
    }
    light_requests = [
        request
        for request in requests
        if request.service is service and request.caller not in heavy_callers
    ]
    answered = sum(request.outcome == "answered" for request in light_requests)
    return answered / max(1, len(light_requests))


def run(options: Options) -> dict[str, Any]:
    """Runs a policy and every baseline on the same arrivals.

    Args:
        options: The settings.

    Returns:
        The measurements of the policy, and those of the baselines under
        `baselines`.
    """
    report: dict[str, Any] = {**options._asdict(), **run_policy(options)}
    report["baselines"] = {
        name: run_policy(options._replace(policy=name)) for name in BASELINES
    }
    return report
