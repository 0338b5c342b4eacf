"""Tests of many operators that read while others change the deployment."""

import pathlib
import random

import anyio
import pytest

from bluebelltide import _types
from bluebelltide.control import _deployment_replica
from bluebelltide.control.tests import test_deployment_replica
from bluebelltide.messaging import _calls
from bluebelltide.tests import virtual_time

CHANGES = 10
CHANGE_INTERVAL_S = 0.1
READERS = 20
DELAY_S = (0.001, 0.006)
"""The range of the time that a call takes each way."""


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_reads_at_one_replica_and_changes_at_another_all_succeed(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """A read that finds a change in progress must not compete with others."""
    generator = random.Random(seed)
    timeout_ms = _deployment_replica.PROPOSAL_TIMEOUT_MS
    uncertain: list[str] = []

    async def run() -> None:
        async with test_deployment_replica.open_network(
            tmp_path, monkeypatch
        ) as network:
            monkeypatch.setattr(
                _deployment_replica, "PROPOSAL_TIMEOUT_MS", timeout_ms
            )

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
