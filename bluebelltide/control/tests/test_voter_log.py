"""Tests that the log tells why a control replica has no quorum."""

import pathlib

import pytest

from bluebelltide.control import _voter_replacement
from bluebelltide.control.tests import replica_network
from bluebelltide.control.tests import test_voter_replacement
from bluebelltide.tests import virtual_time


def test_a_proposal_that_its_caller_ends_is_logged(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a lost quorum that leaves no line in the log.

    The time limits of an operator's change and of its proposal are equal, so
    the outer one often ends first.
    """

    async def run() -> None:
        async with replica_network.open_network(
            tmp_path, monkeypatch
        ) as network:
            first = network.replicas[replica_network.SEEDS[0]]
            network.cut_off_hosts = set(replica_network.SEEDS[1:])
            assert not (await first.put(1, b"one")).is_certain
            assert not (await first.read()).is_certain
            proposals = first._metrics.histograms["proposal_ms"]
            assert proposals.count == 2

    virtual_time.run_in_virtual_time(run, monkeypatch)


def test_the_status_of_the_voters_names_who_is_alive() -> None:
    cluster_view = test_voter_replacement.make_cluster_view(
        ("a~0", "b~0", "c~0"), {"b~0": 9000, "c~0": 9000, "d~0": 0}
    )
    status = _voter_replacement.voter_status(cluster_view)
    assert status.live_voters == ("a~0",)
    assert status.standbys == ("d~0",)
    assert not status.is_quorum_alive
