"""Tests of a replica that starts while its disk is full."""

import pathlib

import anyio
import pytest

from bluebelltide import _metrics
from bluebelltide.catalogue import _store
from bluebelltide.catalogue.tests import test_store_full_disk
from bluebelltide.control import _deployment_replica
from bluebelltide.control import _direct_service
from bluebelltide.control.tests import replica_network
from bluebelltide.tests import virtual_time

HOST = replica_network.SEEDS[0]
STEPS = 10
"""At least as many refusable steps as a first start has."""


def make_replica(
    folder: pathlib.Path,
) -> _deployment_replica.DeploymentReplica:
    settings = _deployment_replica.ReplicaSettings(
        HOST, 7000, "dc", replica_network.SEEDS, folder, True, 3, 9600
    )
    return _deployment_replica.DeploymentReplica(
        settings,
        _store.Store(folder),
        lambda: None,
        _metrics.create_metrics(None, "control"),
    )


def start_replica(
    replica: _deployment_replica.DeploymentReplica,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def start() -> None:
        async with anyio.create_task_group() as tasks:
            await _direct_service.start_when_disk_accepts(
                lambda: replica.start(tasks)
            )

    virtual_time.run_in_virtual_time(start, monkeypatch)


@pytest.mark.parametrize("refused_count", [1, 5])
@pytest.mark.parametrize("first_refused", range(1, STEPS))
def test_a_replica_that_starts_on_a_full_disk_keeps_its_vote(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    first_refused: int,
    refused_count: int,
) -> None:
    disk = test_store_full_disk.RefusingDisk(monkeypatch)
    disk.refuse(range(first_refused, first_refused + refused_count))

    replica = make_replica(tmp_path)
    start_replica(replica, monkeypatch)
    voters = replica.committed_voters
    assert voters is not None
    assert replica.identity in voters.voters
    # A restart finds the same.
    replica.close()
    restarted = make_replica(tmp_path)
    disk.refuse(range(1, 2))
    start_replica(restarted, monkeypatch)
    assert restarted.identity == replica.identity
    assert restarted.committed_voters == voters
