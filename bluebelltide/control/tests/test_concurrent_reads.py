"""Tests of many operators that read while others change the deployment."""

import pathlib
import random

import anyio
import pytest

from bluebelltide import _types
from bluebelltide.catalogue import _register
from bluebelltide.control import _deployment_replica
from bluebelltide.control.tests import replica_network
from bluebelltide.messaging import _calls
from bluebelltide.tests import virtual_time

CHANGES = 10
CHANGE_INTERVAL_S = 0.1
READERS = 20
SCHEDULE_S = 5
"""How long a random schedule lasts, in virtual time."""
DELAY_S = (0.001, 0.006)
"""The range of the time that a call takes each way."""


def delay_calls(
    network: replica_network.Network,
    generator: random.Random,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Gives each call between replicas a random delay."""

    async def call_with_delay(
        address: _types.Address,
        receiver: str,
        request: _calls.Request,
        call_timeout_ms: int,
        local_host: str = "",
    ) -> _calls.Answer | None:
        await anyio.sleep(generator.uniform(*DELAY_S))
        answer = await network.call(
            address, receiver, request, call_timeout_ms, local_host
        )
        await anyio.sleep(generator.uniform(*DELAY_S))
        return answer

    monkeypatch.setattr(_calls, "call", call_with_delay)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_reads_at_one_replica_and_changes_at_another_all_succeed(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """A read that finds a change in progress must not compete with others."""
    generator = random.Random(seed)
    timeout_ms = _deployment_replica.PROPOSAL_TIMEOUT_MS
    uncertain: list[str] = []

    async def run() -> None:
        async with replica_network.open_network(
            tmp_path, monkeypatch
        ) as network:
            monkeypatch.setattr(
                _deployment_replica, "PROPOSAL_TIMEOUT_MS", timeout_ms
            )

            delay_calls(network, generator, monkeypatch)
            first, second, _ = network.replicas.values()

            async def change(version: int) -> None:
                if not (await second.put(version, b"value")).is_certain:
                    uncertain.append(f"change {version}")

            async def read_forever() -> None:
                while True:
                    if not (await first.read()).is_certain:
                        uncertain.append("read")

            async with anyio.create_task_group() as operators:
                for _ in range(READERS):
                    operators.start_soon(read_forever)
                for version in range(1, CHANGES + 1):
                    operators.start_soon(change, version)
                    await anyio.sleep(CHANGE_INTERVAL_S)
                await anyio.sleep(timeout_ms / 1000)
                operators.cancel_scope.cancel()

    virtual_time.run_in_virtual_time(run, monkeypatch)
    assert uncertain == []


def test_a_read_proposes_in_time_if_no_quorum_agrees(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One voter holds an interrupted change, and another one hangs."""
    timeout_ms = _deployment_replica.PROPOSAL_TIMEOUT_MS

    async def run() -> None:
        async with replica_network.open_network(
            tmp_path, monkeypatch
        ) as network:
            monkeypatch.setattr(
                _deployment_replica, "PROPOSAL_TIMEOUT_MS", timeout_ms
            )
            first, second, third = network.replicas.values()
            assert (await first.put(1, b"one")).is_certain
            network.exchange_committed_states()
            # The change reaches only the second replica's own disk.
            await second.handle_call(
                second.identity,
                _register.Accept(
                    replica_network.KEY,
                    _register.Ballot(9, "interrupted"),
                    1,
                    _register.RegisterState(2, b"two"),
                ),
            )

            async def call_or_hang(
                address: _types.Address,
                receiver: str,
                request: _calls.Request,
                call_timeout_ms: int,
                local_host: str = "",
            ) -> _calls.Answer | None:
                if receiver == third.identity:
                    await anyio.sleep(call_timeout_ms / 1000)
                    return None
                return await network.call(
                    address, receiver, request, call_timeout_ms, local_host
                )

            monkeypatch.setattr(_calls, "call", call_or_hang)
            outcome = await first.read()
            assert outcome.is_certain
            assert outcome.state.version == 2

    virtual_time.run_in_virtual_time(run, monkeypatch)


@pytest.mark.parametrize("seed", range(6))
def test_no_read_returns_less_than_was_certain_before_it_began(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Reads and changes at all replicas, one of which is cut off at times."""
    generator = random.Random(seed)
    certain_versions = [0]
    stale_reads: list[str] = []
    certain_reads = 0

    async def run() -> None:
        async with replica_network.open_network(
            tmp_path, monkeypatch
        ) as network:
            delay_calls(network, generator, monkeypatch)
            replicas = list(network.replicas.values())

            async def change_forever() -> None:
                while True:
                    version = max(certain_versions) + generator.randint(1, 3)
                    replica = generator.choice(replicas)
                    outcome = await replica.put(version, b"%d" % version)
                    if outcome.is_certain:
                        certain_versions.append(outcome.state.base_version)
                    await anyio.sleep(generator.uniform(0, CHANGE_INTERVAL_S))

            async def read_forever() -> None:
                nonlocal certain_reads
                while True:
                    expected = max(certain_versions)
                    outcome = await generator.choice(replicas).read()
                    if outcome.is_certain:
                        certain_reads += 1
                        found = outcome.state.base_version
                        if found < expected:
                            stale_reads.append(f"{found} after {expected}")
                        certain_versions.append(found)
                    await anyio.sleep(generator.uniform(*DELAY_S))

            async def cut_off_forever() -> None:
                while True:
                    host = generator.choice(replica_network.SEEDS)
                    network.cut_off_hosts = {host}
                    await anyio.sleep(generator.uniform(0, 0.3))
                    network.cut_off_hosts = set()
                    await anyio.sleep(generator.uniform(0, 0.3))

            with anyio.move_on_after(SCHEDULE_S):
                async with anyio.create_task_group() as operators:
                    for _ in range(3):
                        operators.start_soon(change_forever)
                    for _ in range(5):
                        operators.start_soon(read_forever)
                    operators.start_soon(cut_off_forever)

    virtual_time.run_in_virtual_time(run, monkeypatch)
    assert stale_reads == []
    assert certain_reads > 10 * SCHEDULE_S
