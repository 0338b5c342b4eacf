"""One soak: the deployment, its users, the faults and the verdict."""

from collections import Counter
from collections.abc import Callable, Iterator
import contextlib
import functools
import itertools
import pathlib
import random
import tempfile
import time
from typing import NamedTuple

import anyio
import anyio.abc

from bluebelltide import _types
from bluebelltide.soak import _adapter
from bluebelltide.soak import _callers
from bluebelltide.soak import _faults
from bluebelltide.soak import _invariants
from bluebelltide.soak import _links
from bluebelltide.soak import _operators
from bluebelltide.soak import _plan
from bluebelltide.soak import _processes
from bluebelltide.soak import _targets

FIRST_BLOCK = 100
"""The second number of the first block of loopback addresses."""
BLOCKS = 150
"""How many blocks there are; runs on the same block exclude each other."""
SEEDS = 3
"""How many control replicas the settings name."""
START_TIMEOUT_S = 20.0
"""How long the deployment may take until every instance is ready."""
CALM_AFTER_S = 7.0
"""Time after the recovery bound in which every request must be served."""
OVERDUE_S = 15.0
"""How long requests may take after the last one began."""
WATCH_S = 0.1
"""How often processes are looked at."""
REUSE_AFTER_S = 2.0
"""When the address of a target that is gone goes to another service."""
RESTART_AFTER_S = 0.5
"""When a target is back under its id."""
REQUEST_GAP_S = 0.06
"""The mean time between two requests of a route."""
KEPT_FLOWS = 8
"""Flows that are kept open for many requests."""
PROBE_GAP_S = 0.1
"""Time between two probes of what is in force."""
TARGETS = (("reminders", 6), ("statements", 3))
"""The services and how many targets each has."""
ROUTES = (
    _adapter.Route("fetch", 8080, "reminders"),
    _adapter.Route("post", 8443, "reminders", is_repeatable=False),
    _adapter.Route("pull", 9000, "statements"),
)
"""The routes of every version."""
PROBE_ROUTES = (
    _adapter.Route("probe-1", 7001, "reminders"),
    _adapter.Route("probe-2", 7002, "statements"),
)
"""Routes that come and go."""
PROBE_PORTS = (7001, 7002, 7003)
"""Ports that are probed; the last one never has a route."""


class SoakOptions(NamedTuple):
    """What a run is asked to do."""

    seed: int
    """Decides the faults and the traffic."""
    fault_time_s: float
    """How long faults may last."""
    source_root: pathlib.Path
    """The folder of the programs."""
    output_folder: pathlib.Path | None = None
    """Where settings, logs and data of the run are kept."""


class SoakReport(NamedTuple):
    """What a run showed."""

    seed: int
    """Its seed."""
    faults: dict[str, int]
    """How many faults of each kind there were."""
    requests: dict[str, int]
    """How many requests ended in each way."""
    runs: int
    """How many requests targets ran."""
    broken: tuple[_invariants.Violation, ...]
    """The promises that were broken."""
    folder: str
    """Where the logs are; empty if they were removed."""


class _Soak:
    """The parts of one run."""

    def __init__(
        self,
        options: SoakOptions,
        wire: _adapter.PlatformAdapter,
        folder: pathlib.Path,
    ) -> None:
        self.options = options
        self.wire = wire
        self.block = FIRST_BLOCK + options.seed % BLOCKS
        self.draw = random.Random(options.seed + 1)
        self.plan = _plan.make_plan(options.seed, options.fault_time_s)
        self.ledger = _invariants.InvariantChecker(self.is_calm)
        self.links = _links.Links()
        self.targets: list[_targets.StandInTarget] = []
        self.target_numbers = itertools.count(1)
        self.started_s = time.monotonic()
        self.tasks: anyio.abc.TaskGroup | None = None
        self.acknowledged = anyio.Event()
        machines = [*self._machines(folder)]
        self.processes = [
            _processes.MachineProcess(
                machine, wire, options.source_root, folder
            )
            for machine in machines
        ]
        self.controls = self.processes[: _plan.CONTROLS]
        self.entries = self.processes[_plan.CONTROLS :]
        self.replicas = [
            wire.api_address(process.machine) for process in self.controls
        ]
        hosts = [
            f"127.{self.block}.3.{number + 1}"
            for number in range(_callers.CALLER_HOSTS)
        ]
        self.fabric = _callers.Fabric(
            wire, [process.machine for process in self.entries], hosts
        )
        self.callers = _callers.Callers(
            self.fabric, wire, self.ledger, self.clock, hosts, self.draw
        )
        self.operators = _operators.Operators(
            wire,
            self.ledger,
            self.clock,
            self.replicas,
            ROUTES,
            PROBE_ROUTES,
            self.draw,
        )
        self.operators.on_acknowledged = self.note_acknowledged

    def clock(self) -> float:
        return time.monotonic() - self.started_s

    def is_calm(self, from_s: float, to_s: float) -> bool:
        return _plan.is_calm(self.plan, from_s, to_s, _invariants.SETTLE_S)

    def note_acknowledged(self) -> None:
        self.acknowledged.set()
        self.acknowledged = anyio.Event()

    def _machines(self, folder: pathlib.Path) -> Iterator[_adapter.Machine]:
        for number in range(_plan.CONTROLS + _plan.ENTRIES):
            is_control = number < _plan.CONTROLS
            name = f"{'control' if is_control else 'entry'}-{number + 1}"
            yield _adapter.Machine(
                name,
                is_control,
                f"dc-{number % _plan.DATA_CENTRES}",
                f"127.{self.block}.1.{number + 1}",
                f"127.{self.block}.2.{number + 1}",
                folder / f"{name}.data",
            )

    def write_settings(self, is_first_start: bool) -> None:
        machines = [process.machine for process in self.controls]
        for process in self.processes:
            text = self.wire.make_settings(
                process.machine, machines[:SEEDS], is_first_start
            )
            process.write_settings(text)

    # Targets.

    def add_target(
        self,
        service: str,
        address: _types.Address | None = None,
        target_id: str = "",
    ) -> None:
        assert self.tasks is not None
        number = next(self.target_numbers)
        view = _adapter.TargetAnnouncement(
            target_id or f"i-{self.draw.getrandbits(40):010x}",
            service,
            address or _types.Address(f"127.{self.block}.4.{number}", 8080),
            f"dc-{number % _plan.DATA_CENTRES}",
            _targets.new_generation(),
            0,
            2,
            False,
        )
        target = _targets.StandInTarget(
            view,
            self.wire,
            self.ledger,
            self.clock,
            self.fabric.deliver,
            self.draw,
        )
        self.targets.append(target)
        target.start(self.tasks, lambda: self.replicas)

    def pick_target(self, number: int) -> _targets.StandInTarget | None:
        """Returns a live target of a service that keeps two others."""
        live = [
            target
            for target in self.targets
            if target.is_alive and not target.view.is_draining
        ]
        counts = Counter(target.view.service for target in live)
        spare = [target for target in live if counts[target.view.service] > 2]
        return spare[number % len(spare)] if spare else None

    def crash_target(self, number: int) -> None:
        target = self.pick_target(number)
        if target is not None:
            target.crash()
            self.add_target(target.view.service)

    def reuse_target(self, number: int) -> None:
        target = self.pick_target(number)
        if target is not None:
            target.crash()
            others = [
                name for name, _ in TARGETS if name != target.view.service
            ]
            reuse = functools.partial(
                self.add_target, others[0], target.view.address
            )
            self.after(REUSE_AFTER_S, reuse)
            self.add_target(target.view.service)

    def restart_target(self, number: int) -> None:
        target = self.pick_target(number)
        if target is not None:
            view = target.view
            target.crash()
            again = functools.partial(
                self.add_target, view.service, view.address, view.target_id
            )
            self.after(RESTART_AFTER_S, again)

    def leave_target(self, number: int) -> None:
        target = self.pick_target(number)
        if target is not None:
            self.add_target(target.view.service)
            target.drain()

    def after(self, wait_s: float, action: Callable[[], None]) -> None:
        assert self.tasks is not None

        async def run() -> None:
            await anyio.sleep(wait_s)
            action()

        self.tasks.start_soon(run)

    # The run.

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            try:
                await self._start(tasks)
                await self._play()
            finally:
                for process in self.processes:
                    process.kill()
                for target in self.targets:
                    target.crash()
                self.fabric.close()
                tasks.cancel_scope.cancel()

    async def _start(self, tasks: anyio.abc.TaskGroup) -> None:
        port = self.wire.peer_port
        for process in self.processes:
            machine = process.machine
            proxy = _links.Proxy(
                self.links,
                _types.Address(machine.proxy_host, port),
                _types.Address(machine.bind_host, port),
                self.draw,
            )
            await proxy.start(tasks)
        self.write_settings(is_first_start=True)
        for process in self.processes:
            process.start()
        tasks.start_soon(self._watch)
        for service, count in TARGETS:
            for _ in range(count):
                self.add_target(service)
        self.fabric.start(tasks)
        await self.operators.change_once()
        with anyio.fail_after(START_TIMEOUT_S):
            while self.fabric.ready_count() < len(self.entries):
                await anyio.sleep(WATCH_S)
        self.write_settings(is_first_start=False)

    async def _watch(self) -> None:
        """Reports processes that end by themselves, and starts them again."""
        while True:
            await anyio.sleep(WATCH_S)
            for process in self.processes:
                code = process.ended_with()
                if process.is_expected_up and code is not None:
                    name = process.machine.name
                    self.ledger.process_ended(name, code, self.clock())
                    process.start()

    async def _play(self) -> None:
        # Times in the ledger count from here on.
        self.started_s += self.clock()
        last_fault_s = max(fault.end_s for fault in self.plan)
        ends_s = last_fault_s + _invariants.RECOVERY_S + CALM_AFTER_S
        with anyio.move_on_after(ends_s + OVERDUE_S):
            async with anyio.create_task_group() as users:
                for route in ROUTES:
                    users.start_soon(
                        self.callers.keep_asking, route, REQUEST_GAP_S, ends_s
                    )
                for number in range(KEPT_FLOWS):
                    route = ROUTES[2 * (number % 2)]
                    users.start_soon(self.callers.keep_flow, route, ends_s)
                users.start_soon(
                    self.callers.keep_probing, PROBE_PORTS, PROBE_GAP_S, ends_s
                )
                users.start_soon(self.operators.keep_changing, ends_s - 2)
                users.start_soon(self.operators.keep_reading, ends_s)
                users.start_soon(self._strike, last_fault_s)
        await self.operators.read_at_end()
        self.ledger.check_recovery(last_fault_s, ends_s)

    async def _strike(self, last_fault_s: float) -> None:
        """Carries out the plan, and routine changes while it is calm."""
        runner = _faults.FaultRunner(
            self.controls,
            self.entries,
            self.links,
            {
                _plan.FaultKind.TARGET_CRASH: self.crash_target,
                _plan.FaultKind.TARGET_REUSE: self.reuse_target,
                _plan.FaultKind.TARGET_RESTART: self.restart_target,
                _plan.FaultKind.TARGET_LEAVE: self.leave_target,
            },
            lambda: self.acknowledged,
            self.operators.hold_changes,
        )
        async with anyio.create_task_group() as faults:
            for quiet_s in _plan.quiet_times(self.options.fault_time_s):
                leave_s = quiet_s + _plan.LONGEST_DELAY_S + _invariants.SETTLE_S
                faults.start_soon(self._leave_at, leave_s)
            for fault in self.plan:
                await anyio.sleep(max(0.0, fault.at_s - self.clock()))
                faults.start_soon(functools.partial(runner.run, fault))
            stop_s = last_fault_s + _invariants.RECOVERY_S
            faults.start_soon(self._leave_at, stop_s)
            await anyio.sleep(max(0.0, stop_s - self.clock()))
            # A planned stop cuts no request.
            await runner.stop(self.draw.choice(self.entries), 0.5)

    async def _leave_at(self, at_s: float) -> None:
        await anyio.sleep(max(0.0, at_s - self.clock()))
        self.leave_target(self.draw.randrange(len(self.targets)))

    def report(self, folder: str) -> SoakReport:
        outcomes = Counter(
            outcome for _, outcome in self.ledger.outcomes.values()
        )
        return SoakReport(
            self.options.seed,
            dict(Counter(fault.kind.value for fault in self.plan)),
            dict(outcomes),
            sum(self.ledger.runs.values()),
            tuple(self.ledger.broken),
            folder,
        )


def run_soak(
    options: SoakOptions, wire: _adapter.PlatformAdapter
) -> SoakReport:
    """Runs one soak.

    Args:
        options: What to do.
        wire: The fabric's words.

    Returns:
        What it showed.

    Raises:
        TimeoutError: If the deployment was not ready in time at the start.
    """
    with contextlib.ExitStack() as stack:
        if options.output_folder is None:
            folder = pathlib.Path(
                stack.enter_context(tempfile.TemporaryDirectory())
            )
        else:
            folder = options.output_folder / f"seed-{options.seed}"
            folder.mkdir(parents=True)

        async def run() -> SoakReport:
            soak = _Soak(options, wire, folder)
            await soak.run()
            return soak.report(
                "" if options.output_folder is None else str(folder)
            )

        return anyio.run(run)
