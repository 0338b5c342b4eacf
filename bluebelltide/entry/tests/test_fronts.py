"""Tests of the front controller on real sockets."""

import socket
import time

import anyio

from bluebelltide import _metrics
from bluebelltide import _types
from bluebelltide import admission
from bluebelltide.catalogue import _entries
from bluebelltide.catalogue import _view
from bluebelltide.entry import _fronts
from bluebelltide.membership import _registry
from bluebelltide.standins import _caller
from bluebelltide.standins import _target

REFUSAL = "refused: not run\n"


def find_free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


class FrontFixture:
    """Runs a front controller and stand-in targets in a task group."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        """Creates the front controller; `start` opens the front."""
        self.tasks = tasks
        self.address = _types.Address("127.0.0.1", find_free_port())
        self.metrics = _metrics.create_metrics(None, "test")
        self.view = _view.CatalogueView()
        self.registry = _registry.TargetRegistry()
        self.fronts = _fronts.FrontController(
            self.view, self.registry, "pos-a", None, self.metrics, tasks
        )

    async def start(
        self,
        limits: _entries.Limits | None = None,
        mode: str = "connections",
    ) -> None:
        entry = _entries.ServiceEntry(
            "svc",
            "team",
            _entries.ServiceClass.URGENT,
            (self.address,),
            (),
            admission_mode=_entries.AdmissionMode(mode),
            refusal=REFUSAL,
            limits=limits or _entries.Limits(),
        )
        value = _entries.encode_entry(entry)
        self.view.merge(_view.VersionedEntry("service/svc", 1, value))
        await self.fronts.apply_catalogue()
        self.tasks.start_soon(self._tick)

    async def _tick(self) -> None:
        while True:
            self.fronts.apply_targets(admission.Share(0, 1), now_ms())
            self.fronts.tick()
            await anyio.sleep(0.02)

    def announce(self, target_id: str, port: int, slots: int = 3) -> None:
        target = _types.Target(
            target_id,
            "svc",
            _types.Address("127.0.0.1", port),
            "pos-a",
            1,
            1,
            _types.TargetState.READY,
            slots,
            0,
            0,
            60_000,
        )
        assert self.registry.announce(target, now_ms()) is None
        self.fronts.apply_targets(admission.Share(0, 1), now_ms())

    async def add_target(
        self, target_id: str, slots: int = 3, sheds: bool = False
    ) -> _target.StandInTarget:
        options = _target.TargetOptions(
            "svc",
            target_id,
            _types.Address("127.0.0.1", 0),
            (),
            "",
            slots,
            sheds,
            None,
            False,
        )
        standin = _target.StandInTarget(options)
        port = await self.tasks.start(standin.serve)
        self.announce(target_id, port, slots)
        return standin

    async def call(
        self, request_id: str, size_bytes: int = 100, delay_ms: int = 0
    ) -> _caller.Answer:
        return await _caller.call(
            self.address,
            request_id,
            size_bytes,
            delay_ms,
            refusal=REFUSAL.encode(),
            timeout_s=20,
        )


def test_graceful_stop_aborts_no_flow() -> None:
    """Guards against a closed listener that cancels all flows.

    The error that closing raises must not reach the task group of the flows.
    """

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            fixture = FrontFixture(tasks)
            await fixture.start()
            await fixture.add_target("t1")
            answers: list[_caller.Answer] = []

            async def call_one(index: int) -> None:
                answers.append(await fixture.call(f"r{index}", 50_000, 400))

            async with anyio.create_task_group() as calls:
                for index in range(8):
                    calls.start_soon(call_one, index)
                await anyio.sleep(0.1)
                await fixture.fronts.stop(10_000)
            assert all(answer.is_whole for answer in answers)
            assert fixture.metrics.counts["flows.closed"] == 8
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_refused_connection_is_retried_on_another_target() -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            fixture = FrontFixture(tasks)
            await fixture.start()
            fixture.announce("dead", find_free_port())
            alive = await fixture.add_target("alive")
            for index in range(6):
                answer = await fixture.call(f"r{index}")
                assert answer.is_whole
                assert answer.runs == 1
            assert sum(alive.run_counts.values()) == 6
            assert fixture.metrics.counts["retried.connect_refused"] >= 1
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_shed_request_runs_once_on_another_target() -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            fixture = FrontFixture(tasks)
            await fixture.start(_entries.Limits(shed_grace_ms=50))
            full = await fixture.add_target("full", sheds=True)
            full.open_connections = 99
            other = await fixture.add_target("other")
            answers = [await fixture.call(f"r{index}") for index in range(5)]
            assert all(answer.is_whole for answer in answers)
            assert not full.run_counts
            assert set(other.run_counts.values()) == {1}
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_refused_requests_were_not_run() -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            fixture = FrontFixture(tasks)
            limits = _entries.Limits(deadline_ms=300)
            await fixture.start(limits, "slots")
            standin = await fixture.add_target("t1", slots=1)
            answers: dict[int, _caller.Answer] = {}

            async def call_one(index: int) -> None:
                answers[index] = await fixture.call(f"r{index}", 100, 900)

            async with anyio.create_task_group() as calls:
                for index in range(3):
                    calls.start_soon(call_one, index)
                    await anyio.sleep(0.02)
            refused = [i for i, a in answers.items() if a.was_refused]
            assert len(refused) == 2
            assert not any(f"r{i}" in standin.run_counts for i in refused)
            assert fixture.metrics.counts["refused.deadline"] == 2
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_flow_is_aborted_if_its_target_closes_after_the_first_byte() -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            fixture = FrontFixture(tasks)
            await fixture.start()
            await fixture.add_target("spare")
            received: list[bytes] = []

            async def receive_and_close(stream: anyio.abc.SocketStream) -> None:
                received.append(await stream.receive())
                await stream.aclose()

            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            tasks.start_soon(listener.serve, receive_and_close)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            fixture.announce("cutter", port)
            answers = [await fixture.call(f"r{index}") for index in range(12)]
            aborted = [a for a in answers if not a.is_whole]
            assert len(aborted) == len(received) >= 1
            assert not any(a.was_refused for a in answers)
            assert not any(
                name.startswith("retried") for name in fixture.metrics.counts
            )
            tasks.cancel_scope.cancel()

    anyio.run(run)
