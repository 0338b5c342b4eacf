"""The overload experiment: few small hosts, everyone at once.

Real admission cores run on a fake clock against stand-in targets with slots
and a short backlog. Baselines meet the same arrivals: they keep no line, send
each request at once and try again elsewhere when it is shed.
"""

from collections import Counter
from collections import deque
from collections.abc import Callable
import functools
import itertools
import random
from typing import Any, NamedTuple

import numpy as np

from bluebelltide import _codes
from bluebelltide import _types
from bluebelltide import admission
from bluebelltide import catalogue
from bluebelltide import membership
from bluebelltide.bench import _clock
from bluebelltide.bench import _weighted

REPORT_MS = 500
"""Time between two load reports of a target."""
GOSSIP_MS = 20
"""Mean delay until an instance has a report."""
LOCAL_DELAY_MS = 0.25
"""One-way delay within a data centre."""
BACKLOG_PER_SLOT = 1
"""Requests that wait inside a target, for each slot, before it sheds."""
CONNECT_TIMEOUT_MS = 1000
"""How long a dead target keeps a connecting request."""
TICK_MS = 20
"""How often the cores' timers run."""
DURATION_MS = 30_000
"""How long requests arrive."""
BASELINE_ATTEMPTS = 3
"""How often a baseline sends one request at most."""
BASELINES = ("random", "round_robin", "least_reported_load")
"""Policies that the admission core is compared with."""
POLICIES = ("admission", "weighted", *BASELINES)
"""All policies."""
SCENARIOS = ("plain", "slow", "lying", "cold", "death")
"""What goes wrong with one target of each service."""


class ServiceModel(NamedTuple):
    """One service of a user."""

    name: str
    """The service."""
    hosts: int
    """Its targets."""
    slots: int
    """Slots of each target."""
    service_ms: float
    """Mean time that a request takes in a slot."""
    late_ms: float
    """An answer that takes longer is late."""
    service_class: catalogue.ServiceClass
    """The class of the service."""
    callers: int
    """How many callers ask; a few of them ask most."""


class UserModel(NamedTuple):
    """One user's deployment."""

    instances: int
    """Entry instances."""
    data_centres: int
    """Data centres."""
    between_ms: float
    """One-way delay between data centres."""
    services: tuple[ServiceModel, ...]
    """The services."""


USERS = {
    "caroni": UserModel(
        9,
        4,
        5.0,
        (
            ServiceModel(
                "reminder-svc",
                7,
                3,
                60.0,
                1000.0,
                catalogue.ServiceClass.URGENT,
                400,
            ),
            ServiceModel(
                "statement-svc",
                4,
                3,
                250.0,
                4000.0,
                catalogue.ServiceClass.NORMAL,
                80,
            ),
        ),
    ),
    "khuvsgul": UserModel(
        8,
        4,
        3.5,
        (
            ServiceModel(
                "camp-dispatch",
                7,
                2,
                80.0,
                1000.0,
                catalogue.ServiceClass.URGENT,
                300,
            ),
            ServiceModel(
                "quality-archive",
                4,
                2,
                400.0,
                6000.0,
                catalogue.ServiceClass.BACKGROUND,
                40,
            ),
        ),
    ),
}


class Options(NamedTuple):
    """What the experiment runs with."""

    users: str
    """The user."""
    load: float
    """Arrivals as a multiple of capacity."""
    policy: str
    """One of POLICIES."""
    scenario: str
    """One of SCENARIOS."""
    seed: int
    """Seeds everything."""


class _Request:
    """One request; exactly one outcome must reach its caller."""

    def __init__(
        self, number: int, service: ServiceModel, caller: str, now_ms: float
    ) -> None:
        self.number = number
        self.service = service
        self.caller = caller
        self.arrived_ms = now_ms
        self.service_ms = 0.0
        self.runs = 0
        self.outcome = ""
        self.attempts = 0
        self.on_outcome: Callable[[str], None] | None = None

    def end(self, outcome: str, counts: Counter[str]) -> None:
        if self.outcome:
            counts["two_outcomes"] += 1
            return
        self.outcome = outcome


class _Target:
    """A stand-in target with slots and a backlog."""

    def __init__(
        self,
        clock: _clock.FakeClock,
        service: ServiceModel,
        name: str,
        data_centre: int,
    ) -> None:
        self.clock = clock
        self.service = service
        self.name = name
        self.data_centre = data_centre
        self.is_up = True
        self.slowness = 1.0
        self.lies: int | None = None
        self.started_ms = 0.0
        self.is_cold = False
        self.busy = 0
        self.busy_ms = 0.0
        self.sequence = 0
        self.waiting: deque[tuple[_Request, Callable[[], None]]] = deque()
        self.running: dict[int, _Request] = {}

    def has_room(self) -> bool:
        limit = self.service.slots * (1 + BACKLOG_PER_SLOT)
        return self.busy + len(self.waiting) < limit

    def run(self, request: _Request, on_done: Callable[[], None]) -> None:
        """Runs a request whose bytes have arrived."""
        if not self.is_up:
            return
        if self.busy >= self.service.slots:
            self.waiting.append((request, on_done))
            return
        self.busy += 1
        request.runs += 1
        self.running[request.number] = request
        lasts_ms = request.service_ms * self._slowness()
        started_ms = self.clock.now_ms

        def finish() -> None:
            if not self.is_up:
                return
            self.busy -= 1
            self.busy_ms += self.clock.now_ms - started_ms
            self.running.pop(request.number, None)
            on_done()
            if self.waiting:
                self.run(*self.waiting.popleft())

        self.clock.after(lasts_ms, finish)

    def _slowness(self) -> float:
        if self.is_cold and self.clock.now_ms - self.started_ms < 5000:
            return 3.0
        return self.slowness

    def announcement(self) -> _types.Target:
        self.sequence += 1
        load = min(100, self.busy * 100 // self.service.slots)
        is_cold = self.is_cold and (
            self.clock.now_ms - self.started_ms < 10_000
        )
        return _types.Target(
            self.name,
            self.service.name,
            _types.Address("127.0.0.1", 1),
            f"dc{self.data_centre}",
            1,
            self.sequence,
            _types.TargetState.COLD if is_cold else _types.TargetState.READY,
            self.service.slots,
            self.busy,
            load if self.lies is None else self.lies,
            2000,
        )


class _Instance:
    """One instance: its view of the targets, and its policy."""

    def __init__(self, number: int, data_centre: int) -> None:
        self.number = number
        self.data_centre = data_centre
        self.seen: dict[str, membership.Standing] = {}
        self.heard_ms: dict[str, float] = {}
        self.first_ms: dict[str, float] = {}
        self.admissions: dict[str, admission.Admission] = {}
        self.turn = itertools.count()


class Experiment:
    """Arrivals, instances and targets on one clock."""

    def __init__(self, options: Options) -> None:
        """Sets up the deployment."""
        self.options = options
        self.user = USERS[options.users]
        self.clock = _clock.FakeClock()
        self.random = random.Random(options.seed)
        self.policy_random = random.Random(options.seed + 1)
        self.counts: Counter[str] = Counter()
        self.requests: list[_Request] = []
        self.latencies: dict[str, list[float]] = {}
        self.targets: dict[str, _Target] = {}
        self.caller_usage = [
            _weighted.CallerUsage() for _ in range(self.user.instances)
        ]
        self.instances = [
            _Instance(number, number % self.user.data_centres)
            for number in range(self.user.instances)
        ]
        for service in self.user.services:
            self._set_up_service(service)
        self.clock.every(TICK_MS, self._tick)

    def _set_up_service(self, service: ServiceModel) -> None:
        for number in range(service.hosts):
            name = f"{service.name}-{number}"
            target = _Target(
                self.clock, service, name, number % self.user.data_centres
            )
            self.targets[name] = target
            self._announce(target)
        self._break_target(self.targets[f"{service.name}-1"])
        limits = catalogue.Limits(
            new_flows_per_s=1_000_000,
            open_flows=1_000_000,
            waiting_flows=10_000,
            deadline_ms=int(service.late_ms),
        )
        entry = catalogue.ServiceEntry(
            service.name,
            "team",
            service.service_class,
            (),
            (),
            admission_mode=catalogue.AdmissionMode.SLOTS,
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

    def _break_target(self, target: _Target) -> None:
        scenario = self.options.scenario
        if scenario == "slow":
            target.slowness = 3.0
        elif scenario == "lying":
            target.lies = 0
        elif scenario == "cold":
            target.is_up = False
            self.clock.after(8000, lambda: self._start_cold(target))
        elif scenario == "death":
            self.clock.after(10_000, lambda: self._kill(target))

    def _start_cold(self, target: _Target) -> None:
        target.is_up = True
        target.is_cold = True
        target.started_ms = self.clock.now_ms
        self._announce(target)

    def _kill(self, target: _Target) -> None:
        target.is_up = False
        waiting = [request for request, _ in target.waiting]
        for request in [*target.running.values(), *waiting]:
            # Its bytes had reached the target, so it is aborted and never
            # called refused or tried again.
            self.counts["aborted"] += 1
            request.end("aborted", self.counts)
            if request.on_outcome is not None:
                request.on_outcome("aborted")

    def _announce(self, target: _Target) -> None:
        if not target.is_up:
            return
        announced = target.announcement()
        for instance in self.instances:
            delay_ms = self.random.expovariate(1 / GOSSIP_MS)
            if instance.data_centre != target.data_centre:
                delay_ms += self.user.between_ms
            hear = functools.partial(self._hear, instance, announced)
            self.clock.after(delay_ms, hear)
        self.clock.after(REPORT_MS, lambda: self._announce(target))

    def _hear(self, instance: _Instance, target: _types.Target) -> None:
        known = instance.seen.get(target.target_id)
        if known is not None and known.target.sequence >= target.sequence:
            return
        now_ms = self.clock.now_ms
        instance.first_ms.setdefault(target.target_id, now_ms)
        instance.heard_ms[target.target_id] = now_ms
        age_ms = now_ms - instance.first_ms[target.target_id]
        share = 1.0
        if target.state == _types.TargetState.COLD:
            share = max(0.1, min(1.0, age_ms / 10_000))
        is_local = target.data_centre == f"dc{instance.data_centre}"
        instance.seen[target.target_id] = membership.Standing(
            target, True, share, is_local
        )
        self._update(instance, target.service)

    def _standings(
        self, instance: _Instance, service: str
    ) -> list[membership.Standing]:
        limit_ms = self.clock.now_ms - 2000
        return [
            standing._replace(is_accepting=instance.heard_ms[name] >= limit_ms)
            for name, standing in sorted(instance.seen.items())
            if standing.target.service == service
        ]

    def _update(self, instance: _Instance, service: str) -> None:
        peers = [
            other
            for other in self.instances
            if other.data_centre == instance.data_centre
        ]
        share = admission.Share(peers.index(instance), len(peers))
        actions = instance.admissions[service].update(
            self._standings(instance, service), share, int(self.clock.now_ms)
        )
        self._perform(instance, actions)

    def _tick(self) -> None:
        for instance in self.instances:
            for service in instance.admissions:
                self._update(instance, service)
                actions = instance.admissions[service].tick(
                    int(self.clock.now_ms)
                )
                self._perform(instance, actions)

    # Arrivals.

    def start(self) -> None:
        """Begins the arrivals of all services."""
        for service in self.user.services:
            capacity_per_ms = service.hosts * service.slots / service.service_ms
            rate_per_ms = capacity_per_ms * self.options.load
            self._schedule_arrival(service, rate_per_ms)

    def _schedule_arrival(
        self, service: ServiceModel, rate_per_ms: float
    ) -> None:
        wait_ms = self.random.expovariate(rate_per_ms)
        if self.clock.now_ms + wait_ms > DURATION_MS:
            return

        def arrive() -> None:
            self._arrive(service)
            self._schedule_arrival(service, rate_per_ms)

        self.clock.after(wait_ms, arrive)

    def _arrive(self, service: ServiceModel) -> None:
        # One caller in ten asks for half of everything.
        pool = service.callers
        if self.random.random() < 0.5:
            pool = max(1, pool // 10)
        caller = f"caller-{self.random.randrange(pool)}"
        request = _Request(
            len(self.requests), service, caller, self.clock.now_ms
        )
        request.service_ms = self.random.expovariate(1 / service.service_ms)
        instance = self.random.choice(self.instances)
        self.requests.append(request)
        if self.options.policy in BASELINES:
            self._send_by_baseline(instance, request)
            return
        actions = instance.admissions[service.name].arrive(
            request.number, caller, False, int(self.clock.now_ms)
        )
        self._perform(instance, actions)

    # The admission core's actions.

    def _perform(
        self, instance: _Instance, actions: list[admission.Action]
    ) -> None:
        for action in actions:
            request = self.requests[action.request_id]
            if isinstance(action, admission.Refuse):
                self.counts["refused"] += 1
                self.counts[f"refused.{action.code}"] += 1
                if request.runs:
                    self.counts["refused_but_run"] += 1
                request.end("refused", self.counts)
            elif isinstance(action, admission.Retry):
                self.counts["retries"] += 1
            else:
                self._dispatch(instance, request, action.target.target_id)

    def _dispatch(
        self, instance: _Instance, request: _Request, target_id: str
    ) -> None:
        core = instance.admissions[request.service.name]

        def fail(code: _codes.RetryCode) -> None:
            now_ms = int(self.clock.now_ms)
            self._perform(instance, core.fail(request.number, code, now_ms))

        def end(outcome: str) -> None:
            del outcome
            now_ms = int(self.clock.now_ms)
            self._perform(instance, core.end(request.number, now_ms))

        def taken() -> None:
            usage = self.caller_usage[instance.number]
            usage.record_request(request.caller, int(self.clock.now_ms))
            core.note_running(request.number)

        request.on_outcome = end
        self._connect(instance, request, target_id, taken, fail)

    def _connect(
        self,
        instance: _Instance,
        request: _Request,
        target_id: str,
        on_taken: Callable[[], None],
        on_fail: Callable[[_codes.RetryCode], None],
    ) -> None:
        target = self.targets[target_id]
        delay_ms = self._delay(instance, target)
        request.attempts += 1

        def reach() -> None:
            if not target.is_up:
                self.clock.after(
                    CONNECT_TIMEOUT_MS,
                    lambda: on_fail(_codes.RetryCode.CONNECT_TIMEOUT),
                )
            elif not target.has_room():
                self.clock.after(
                    delay_ms, lambda: on_fail(_codes.RetryCode.SHED)
                )
            else:
                on_taken()
                target.run(request, done)

        def done() -> None:
            self.clock.after(delay_ms, lambda: self._answer(request))

        self.clock.after(delay_ms, reach)

    def _delay(self, instance: _Instance, target: _Target) -> float:
        if instance.data_centre == target.data_centre:
            return LOCAL_DELAY_MS
        return self.user.between_ms * self.random.uniform(0.9, 1.4)

    def _answer(self, request: _Request) -> None:
        request.end("answered", self.counts)
        took_ms = self.clock.now_ms - request.arrived_ms
        self.latencies.setdefault(request.service.name, []).append(took_ms)
        if request.on_outcome is not None:
            request.on_outcome("answered")

    # Baselines.

    def _send_by_baseline(self, instance: _Instance, request: _Request) -> None:
        target_id = self._choose_by_baseline(instance, request)
        if target_id is None:
            self.counts["refused"] += 1
            request.end("refused", self.counts)
            return

        def fail(code: _codes.RetryCode) -> None:
            del code
            if request.attempts >= BASELINE_ATTEMPTS:
                self.counts["refused"] += 1
                request.end("refused", self.counts)
                return
            self.counts["retries"] += 1
            self._send_by_baseline(instance, request)

        self._connect(instance, request, target_id, lambda: None, fail)

    def _choose_by_baseline(
        self, instance: _Instance, request: _Request
    ) -> str | None:
        standings = [
            standing
            for standing in self._standings(instance, request.service.name)
            if standing.is_accepting
        ]
        local = [standing for standing in standings if standing.is_local]
        pool = local or standings
        if not pool:
            return None
        if self.options.policy == "random":
            chosen = self.policy_random.choice(pool)
        elif self.options.policy == "round_robin":
            chosen = pool[next(instance.turn) % len(pool)]
        else:
            chosen = min(pool, key=lambda s: s.target.load_percent)
        return chosen.target.target_id


def run_policy(options: Options) -> dict[str, Any]:
    """Runs one policy.

    Args:
        options: What to run.

    Returns:
        The measures.
    """
    experiment = Experiment(options)
    clock = experiment.clock
    clock.run_until(1500)
    for target in experiment.targets.values():
        target.busy_ms = 0.0
    experiment.start()
    clock.run_until(DURATION_MS)
    busy = {t.name: t.busy_ms for t in experiment.targets.values()}
    clock.run_until(DURATION_MS + 12_000)
    return _measures(experiment, busy)


def _measures(experiment: Experiment, busy: dict[str, float]) -> dict[str, Any]:
    counts = experiment.counts
    requests = experiment.requests
    total = max(1, len(requests))
    by_class: dict[str, dict[str, float]] = {}
    goodput = []
    imbalance = []
    late = 0
    span_ms = DURATION_MS - 1500
    for service in experiment.user.services:
        took = experiment.latencies.get(service.name, [])
        in_time = sum(ms <= service.late_ms for ms in took)
        late += len(took) - in_time
        capacity = service.hosts * service.slots * span_ms / service.service_ms
        goodput.append(in_time / (capacity * min(1, experiment.options.load)))
        shares = [
            busy[t.name] / service.slots
            for t in experiment.targets.values()
            if t.service is service and t.is_up and not t.is_cold
        ]
        imbalance.append(max(shares) / (sum(shares) / len(shares)))
        asked = sum(r.service is service for r in requests)
        by_class[service.service_class.value] = {
            "answered": round(len(took) / max(1, asked), 4),
            "late": len(took) - in_time,
            "light_callers_answered": round(_light_share(requests, service), 4),
            "p50_ms": round(float(np.percentile(took or [0], 50)), 1),
            "p99_ms": round(float(np.percentile(took or [0], 99)), 1),
        }
    return {
        "requests": total,
        "goodput": round(min(goodput), 4),
        "late": late,
        "refused_not_run": counts["refused"] - counts["refused_but_run"],
        "refused_but_run": counts["refused_but_run"],
        "aborted": counts["aborted"],
        "doubled": sum(request.runs > 1 for request in requests),
        "lost": sum(not r.outcome for r in requests) + counts["two_outcomes"],
        "imbalance": round(max(imbalance), 3),
        "retries_per_request": round(counts["retries"] / total, 4),
        "by_class": by_class,
    }


def _light_share(requests: list[_Request], service: ServiceModel) -> float:
    """Returns the answered part of what the nine tenths that ask less ask."""
    heavy = {f"caller-{n}" for n in range(max(1, service.callers // 10))}
    light = [
        request
        for request in requests
        if request.service is service and request.caller not in heavy
    ]
    answered = sum(request.outcome == "answered" for request in light)
    return answered / max(1, len(light))


def run(options: Options) -> dict[str, Any]:
    """Runs a policy and every baseline on the same arrivals.

    Args:
        options: What to run.

    Returns:
        The measures of the policy, and those of the baselines.
    """
    report: dict[str, Any] = {**options._asdict(), **run_policy(options)}
    report["baselines"] = {
        name: run_policy(options._replace(policy=name)) for name in BASELINES
    }
    return report
