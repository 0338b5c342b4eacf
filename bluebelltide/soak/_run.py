"""Runs one soak: the deployment, its traffic, the faults and the checks."""

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

FIRST_ADDRESS_BLOCK = 100
"""The second byte of the first block of loopback addresses."""
ADDRESS_BLOCK_COUNT = 150
"""How many blocks there are; runs whose seeds select the same block cannot
run at the same time."""
SEED_REPLICA_COUNT = 3
"""How many control replicas the settings list as seeds."""
START_TIMEOUT_S = 20.0
"""How long the deployment may take until every instance is ready."""
FULL_SERVICE_S = 7.0
"""How long traffic continues after `FULL_RECOVERY_S`; every request must be
served in this time."""
REQUEST_OVERRUN_S = 15.0
"""How long requests may take after the end of the traffic."""
PROCESS_POLL_S = 0.1
"""Time between two checks whether processes run or have become ready."""
EVACUATION_GAP_S = 1.0
"""Time between two evacuations."""
EVACUATION_HOLD_S = 6.0
"""How long a data centre stays evacuated."""
ADDRESS_REUSE_DELAY_S = 2.0
"""Time after a crash until another service reuses the target's address."""
TARGET_RESTART_DELAY_S = 0.5
"""Time after a crash until the target restarts under the same id."""
REQUEST_GAP_S = 0.06
"""The mean time between two requests of a route."""
LONG_LIVED_FLOW_COUNT = 8
"""How many flows are kept open for many requests."""
PROBE_GAP_S = 0.1
"""Time between two probes of the deployment in force."""
TARGETS_PER_SERVICE = (("reminders", 6), ("statements", 3))
"""The services, each with its number of targets."""
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
"""The routes that some versions have."""
PROBE_PORTS = (7001, 7002, 7003)
"""The ports that are probed; the last one never has a route."""


class SoakOptions(NamedTuple):
    """The options of a run."""

    seed: int
    """The seed of the faults and the traffic."""
    fault_time_s: float
    """How long all series of faults last together."""
    source_root: pathlib.Path
    """The folder that contains the programs' sources."""
    output_folder: pathlib.Path | None = None
    """Where settings, logs and data of the run are kept; None to keep none."""


class SoakReport(NamedTuple):
    """The results of a run."""

    seed: int
    """Its seed."""
    faults: dict[str, int]
    """How many faults of each kind were injected."""
    requests: dict[str, int]
    """How many requests had each outcome."""
    runs: int
    """How often targets ran a request."""
    broken: tuple[_invariants.Violation, ...]
    """The violations of invariants."""
    folder: str
    """The folder of the run's files; empty if they were deleted."""


class _SoakRun:
    """The components and the state of one run."""

    def __init__(
        self,
        options: SoakOptions,
        adapter: _adapter.PlatformAdapter,
        folder: pathlib.Path,
    ) -> None:
        self.options = options
        self.adapter = adapter
        self.address_block = (
            FIRST_ADDRESS_BLOCK + options.seed % ADDRESS_BLOCK_COUNT
        )
        self.rng = random.Random(options.seed + 1)
        self.plan = _plan.make_plan(options.seed, options.fault_time_s)
        self.checker = _invariants.InvariantChecker(self.is_fault_free)
        self.links = _links.Links()
        self.targets: list[_targets.StandInTarget] = []
        self.target_numbers = itertools.count(1)
        self.started_s = time.monotonic()
        self.tasks: anyio.abc.TaskGroup | None = None
        self.next_acknowledgement = anyio.Event()
        machines = [*self._machines(folder)]
        self.processes = [
            _processes.MachineProcess(
                machine, adapter, options.source_root, folder
            )
            for machine in machines
        ]
        self.controls = self.processes[: _plan.CONTROL_COUNT]
        self.entries = self.processes[_plan.CONTROL_COUNT :]
        self.replicas = [
            adapter.api_address(process.machine) for process in self.controls
        ]
        hosts = [
            f"127.{self.address_block}.3.{number + 1}"
            for number in range(_callers.CALLER_HOST_COUNT)
        ]
        self.fabric = _callers.Fabric(
            adapter, [process.machine for process in self.entries], hosts
        )
        self.callers = _callers.Callers(
            self.fabric, adapter, self.checker, self.clock, hosts, self.rng
        )
        self.operators = _operators.Operators(
            adapter,
            self.checker,
            self.clock,
            self.replicas,
            ROUTES,
            PROBE_ROUTES,
            self.rng,
        )
        self.operators.on_acknowledgement = self.signal_acknowledgement

    def clock(self) -> float:
        return time.monotonic() - self.started_s

    def is_fault_free(self, from_s: float, to_s: float) -> bool:
        return _plan.is_fault_free(
            self.plan, from_s, to_s, _invariants.STABILISATION_S
        )

    def signal_acknowledgement(self) -> None:
        self.next_acknowledgement.set()
        self.next_acknowledgement = anyio.Event()

    def _machines(self, folder: pathlib.Path) -> Iterator[_adapter.Machine]:
        for number in range(_plan.CONTROL_COUNT + _plan.ENTRY_COUNT):
            is_control = number < _plan.CONTROL_COUNT
            name = f"{'control' if is_control else 'entry'}-{number + 1}"
            yield _adapter.Machine(
                name,
                is_control,
                f"dc-{number % _plan.DATA_CENTRE_COUNT}",
                f"127.{self.address_block}.1.{number + 1}",
                f"127.{self.address_block}.2.{number + 1}",
                folder / f"{name}.data",
            )

    def write_settings(self, is_first_start: bool) -> None:
        machines = [process.machine for process in self.controls]
        for process in self.processes:
            text = self.adapter.make_settings(
                process.machine, machines[:SEED_REPLICA_COUNT], is_first_start
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
        announcement = _adapter.TargetAnnouncement(
            target_id or f"i-{self.rng.getrandbits(40):010x}",
            service,
            address
            or _types.Address(f"127.{self.address_block}.4.{number}", 8080),
            f"dc-{number % _plan.DATA_CENTRE_COUNT}",
            _targets.new_generation(),
            0,
            2,
            False,
        )
        target = _targets.StandInTarget(
            announcement,
            self.adapter,
            self.checker,
            self.clock,
            self.fabric.deliver_to_caller,
            self.rng,
        )
        self.targets.append(target)
        target.start(self.tasks, lambda: self.replicas)

    def pick_target(self, number: int) -> _targets.StandInTarget | None:
        """Returns a live target whose service has at least two others."""
        live = [
            target
            for target in self.targets
            if target.is_alive and not target.announcement.is_draining
        ]
        counts = Counter(target.announcement.service for target in live)
        removable = [
            target for target in live if counts[target.announcement.service] > 2
        ]
        return removable[number % len(removable)] if removable else None

    def crash_target(self, number: int) -> None:
        target = self.pick_target(number)
        if target is not None:
            target.crash()
            self.add_target(target.announcement.service)

    def reuse_target_address(self, number: int) -> None:
        target = self.pick_target(number)
        if target is not None:
            target.crash()
            others = [
                name
                for name, _ in TARGETS_PER_SERVICE
                if name != target.announcement.service
            ]
            reuse_address = functools.partial(
                self.add_target, others[0], target.announcement.address
            )
            self.run_later(ADDRESS_REUSE_DELAY_S, reuse_address)
            self.add_target(target.announcement.service)

    def restart_target(self, number: int) -> None:
        target = self.pick_target(number)
        if target is not None:
            announcement = target.announcement
            target.crash()
            restart = functools.partial(
                self.add_target,
                announcement.service,
                announcement.address,
                announcement.target_id,
            )
            self.run_later(TARGET_RESTART_DELAY_S, restart)

    def drain_target(self, number: int) -> None:
        target = self.pick_target(number)
        if target is not None:
            self.add_target(target.announcement.service)
            target.drain()

    def pick_data_centre(self) -> str | None:
        """Returns a data centre without which each service has two targets."""
        live = [
            target.announcement
            for target in self.targets
            if target.is_alive and not target.announcement.is_draining
        ]
        names = list(_plan.DATA_CENTRES)
        self.rng.shuffle(names)
        for name in names:
            left = Counter(
                one.service for one in live if one.data_centre != name
            )
            if all(left[service] >= 2 for service, _ in TARGETS_PER_SERVICE):
                return name
        return None

    async def evacuate_at(self, at_s: float, hold_s: float) -> None:
        """Evacuates a data centre for some seconds."""
        await anyio.sleep(max(0.0, at_s - self.clock()))
        name = self.pick_data_centre()
        if name is None:
            return
        await self.operators.order_evacuation(name, True)
        await anyio.sleep(hold_s)
        await self.operators.order_evacuation(name, False)

    async def run_evacuations(self, last_fault_s: float) -> None:
        """Evacuates data centres while there are faults and while not."""
        while self.clock() < last_fault_s:
            await self.evacuate_at(
                self.clock() + EVACUATION_GAP_S, EVACUATION_HOLD_S
            )
        await self.evacuate_at(
            last_fault_s + _invariants.STABILISATION_S, EVACUATION_HOLD_S
        )

    def run_later(self, wait_s: float, action: Callable[[], None]) -> None:
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
                await self._run_traffic()
            finally:
                for process in self.processes:
                    process.kill()
                for target in self.targets:
                    target.crash()
                self.fabric.close()
                tasks.cancel_scope.cancel()

    async def _start(self, tasks: anyio.abc.TaskGroup) -> None:
        port = self.adapter.peer_port
        for process in self.processes:
            machine = process.machine
            proxy = _links.Proxy(
                self.links,
                _types.Address(machine.proxy_host, port),
                _types.Address(machine.bind_host, port),
                self.rng,
            )
            await proxy.start(tasks)
        self.write_settings(is_first_start=True)
        for process in self.processes:
            process.start()
        tasks.start_soon(self._restart_ended_processes)
        for service, count in TARGETS_PER_SERVICE:
            for _ in range(count):
                self.add_target(service)
        self.fabric.start(tasks)
        await self.operators.change_once()
        with anyio.fail_after(START_TIMEOUT_S):
            while self.fabric.ready_count() < len(self.entries):
                await anyio.sleep(PROCESS_POLL_S)
        self.write_settings(is_first_start=False)

    async def _restart_ended_processes(self) -> None:
        """Records processes that exit without being asked to; restarts them."""
        while True:
            await anyio.sleep(PROCESS_POLL_S)
            for process in self.processes:
                code = process.exit_code()
                if process.is_expected_up and code is not None:
                    name = process.machine.name
                    self.checker.record_process_exit(name, code, self.clock())
                    process.start()

    async def _run_traffic(self) -> None:
        # The clock of the checker, the faults and the traffic starts here.
        self.started_s += self.clock()
        last_fault_s = max(fault.end_s for fault in self.plan)
        end_s = last_fault_s + _invariants.FULL_RECOVERY_S + FULL_SERVICE_S
        with anyio.move_on_after(end_s + REQUEST_OVERRUN_S):
            async with anyio.create_task_group() as traffic:
                for route in ROUTES:
                    traffic.start_soon(
                        self.callers.make_requests, route, REQUEST_GAP_S, end_s
                    )
                for number in range(LONG_LIVED_FLOW_COUNT):
                    route = ROUTES[2 * (number % 2)]
                    traffic.start_soon(
                        self.callers.use_long_lived_flow, route, end_s
                    )
                traffic.start_soon(
                    self.callers.probe_ports, PROBE_PORTS, PROBE_GAP_S, end_s
                )
                traffic.start_soon(self.operators.make_changes, end_s - 2)
                traffic.start_soon(self.operators.read_repeatedly, end_s)
                traffic.start_soon(self.run_evacuations, last_fault_s)
                traffic.start_soon(self._run_faults, last_fault_s)
        await self.operators.read_final_version()
        self.checker.check_recovery(last_fault_s, end_s)

    async def _run_faults(self, last_fault_s: float) -> None:
        """Injects the planned faults; drains targets while there are none."""
        runner = _faults.FaultRunner(
            self.controls,
            self.entries,
            self.links,
            {
                _plan.FaultKind.TARGET_CRASH: self.crash_target,
                _plan.FaultKind.TARGET_REUSE: self.reuse_target_address,
                _plan.FaultKind.TARGET_RESTART: self.restart_target,
                _plan.FaultKind.TARGET_LEAVE: self.drain_target,
            },
            lambda: self.next_acknowledgement,
            self.operators.pause_changes,
        )
        async with anyio.create_task_group() as fault_tasks:
            for quiet_start_s in _plan.quiet_period_starts(
                self.options.fault_time_s
            ):
                drain_s = (
                    quiet_start_s
                    + _plan.LONGEST_FAULT_DELAY_S
                    + _invariants.STABILISATION_S
                )
                fault_tasks.start_soon(self._drain_target_at, drain_s)
            for fault in self.plan:
                await anyio.sleep(max(0.0, fault.start_s - self.clock()))
                fault_tasks.start_soon(functools.partial(runner.run, fault))
            recovered_s = last_fault_s + _invariants.FULL_RECOVERY_S
            fault_tasks.start_soon(self._drain_target_at, recovered_s)
            await anyio.sleep(max(0.0, recovered_s - self.clock()))
            # All requests must be served now, so a planned stop must not
            # interrupt any.
            await runner.stop_and_restart(self.rng.choice(self.entries), 0.5)

    async def _drain_target_at(self, at_s: float) -> None:
        await anyio.sleep(max(0.0, at_s - self.clock()))
        self.drain_target(self.rng.randrange(len(self.targets)))

    def make_report(self, folder: str) -> SoakReport:
        outcomes = Counter(
            outcome for _, outcome in self.checker.outcomes.values()
        )
        return SoakReport(
            self.options.seed,
            dict(Counter(fault.kind.value for fault in self.plan)),
            dict(outcomes),
            sum(self.checker.run_counts.values()),
            tuple(self.checker.violations),
            folder,
        )


def run_soak(
    options: SoakOptions, adapter: _adapter.PlatformAdapter
) -> SoakReport:
    """Runs one soak.

    Args:
        options: The options of the run.
        adapter: The platform's formats, addresses and commands.

    Returns:
        The results of the run.

    Raises:
        TimeoutError: If the deployment does not become ready in time.
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
            soak = _SoakRun(options, adapter, folder)
            await soak.run()
            return soak.make_report(
                "" if options.output_folder is None else str(folder)
            )

        return anyio.run(run)
