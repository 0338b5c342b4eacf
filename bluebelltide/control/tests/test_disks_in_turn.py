"""Tests of replicas whose disks fail for seconds, one after the other.

A full disk refuses every write at once; a stalled one lets writes wait until
the stall is over. There is always a quorum whose disks work.
"""

from collections.abc import Callable
import pathlib
import random
from typing import Any, NamedTuple

import anyio
import pytest

from bluebelltide.catalogue import _store
from bluebelltide.control import _deployment_replica
from bluebelltide.control.tests import replica_network
from bluebelltide.messaging import _calls
from bluebelltide.tests import virtual_time

FAULT_S = 4.0
GAP_S = 0.5
"""The time between the end of one disk's fault and the start of the next."""
CALM_S = 5.0
"""How long changes go on after the last fault."""
CHANGE_INTERVAL_S = 0.2
ACKNOWLEDGED_WITHIN_S = 2.0
"""An operator tries again after a second without an answer, so a change that
one retry acknowledges takes two."""
DISK_WRITE_S = 0.001
CALL_S = 0.004


class _DiskFault(NamedTuple):
    """When the disk of one replica fails."""

    folder: str
    start_s: float

    @property
    def end_s(self) -> float:
        return self.start_s + FAULT_S

    def is_active(self) -> bool:
        return self.start_s <= anyio.current_time() < self.end_s


def _install_disks(
    monkeypatch: pytest.MonkeyPatch, faults: list[_DiskFault], is_full: bool
) -> None:
    """Lets writes in threads take time, and fail while a fault is active."""

    async def write_slowly(
        function: Callable[..., Any],
        *args: Any,  # noqa: ANN401
        **options: object,
    ) -> Any:  # noqa: ANN401
        del options
        await anyio.sleep(DISK_WRITE_S)
        owner = getattr(function, "__self__", None)
        assert isinstance(owner, _store.Store)
        for fault in faults:
            if fault.folder == owner._folder.name and fault.is_active():
                if is_full:
                    raise OSError(28, "no space left")
                await anyio.sleep(fault.end_s - anyio.current_time())
        return function(*args)

    monkeypatch.setattr(anyio.to_thread, "run_sync", write_slowly)


class _Operator:
    """Sends a change to one replica after the other until it is accepted."""

    def __init__(
        self,
        replicas: list[_deployment_replica.DeploymentReplica],
        generator: random.Random,
    ) -> None:
        self.durations_s: list[float] = []
        self.version = 0
        self._replicas = replicas
        self._random = generator

    async def change(self) -> None:
        self.version += 1
        version = self.version
        started_s = anyio.current_time()
        while True:
            replica = self._random.choice(self._replicas)
            outcome = _deployment_replica.UNCERTAIN
            with anyio.move_on_after(1):
                outcome = await replica.put(version, b"%d" % version)
            if outcome.is_certain:
                break
            await anyio.sleep(0.05)
        self.durations_s.append(anyio.current_time() - started_s)


@pytest.mark.parametrize("is_full", [False, True], ids=["stalled", "full"])
@pytest.mark.parametrize("seed", range(4))
def test_changes_are_accepted_while_and_after_disks_fail_in_turn(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    seed: int,
    is_full: bool,
) -> None:
    generator = random.Random(seed)
    # Compactions happen in the faults, too.
    monkeypatch.setattr(_store, "COMPACT_AFTER_BYTES", 2000)
    timeout_ms = _deployment_replica.PROPOSAL_TIMEOUT_MS
    hosts = list(replica_network.SEEDS)
    generator.shuffle(hosts)
    faults = [
        _DiskFault(host, 1 + number * (FAULT_S + GAP_S))
        for number, host in enumerate(hosts * 2)
    ]

    async def run() -> _Operator:
        _install_disks(monkeypatch, faults, is_full)
        async with replica_network.open_network(
            tmp_path, monkeypatch
        ) as network:
            monkeypatch.setattr(
                _deployment_replica, "PROPOSAL_TIMEOUT_MS", timeout_ms
            )
            deliver = network.call

            async def call(
                *args: Any,  # noqa: ANN401
            ) -> _calls.Answer | None:
                await anyio.sleep(CALL_S)
                return await deliver(*args)

            monkeypatch.setattr(_calls, "call", call)
            replicas = list(network.replicas.values())
            operator = _Operator(replicas, generator)
            async with anyio.create_task_group() as changes:
                while anyio.current_time() < faults[-1].end_s + CALM_S:
                    changes.start_soon(operator.change)
                    await anyio.sleep(CHANGE_INTERVAL_S)
            for replica in replicas:
                outcome = await replica.read()
                assert outcome.state.version == operator.version
            return operator

    operator = virtual_time.run_in_virtual_time(run, monkeypatch)
    assert len(operator.durations_s) == operator.version
    assert max(operator.durations_s) <= ACKNOWLEDGED_WITHIN_S
