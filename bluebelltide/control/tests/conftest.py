"""Fixtures of the tests of replicas."""

from collections.abc import Awaitable, Callable
import pathlib

import pytest

from bluebelltide.control.tests import replica_network
from bluebelltide.tests import virtual_time


@pytest.fixture
def run_in_network(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> replica_network.RunInNetwork:
    """Returns a function that runs a test in virtual time."""

    def run_test(
        test: Callable[[replica_network.Network], Awaitable[None]],
    ) -> None:
        async def run() -> None:
            async with replica_network.open_network(
                tmp_path, monkeypatch
            ) as network:
                await test(network)

        virtual_time.run_in_virtual_time(run, monkeypatch)

    return run_test
