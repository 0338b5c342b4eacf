"""Tests of evacuation orders at replicas that call each other in memory."""

import pathlib
import random

import anyio
import pytest

from bluebelltide import _exceptions
from bluebelltide.catalogue import _evacuations
from bluebelltide.catalogue import _register
from bluebelltide.control import _deployment_replica
from bluebelltide.control.tests import replica_network
from bluebelltide.control.tests import test_concurrent_reads
from bluebelltide.messaging import _calls
from bluebelltide.tests import virtual_time

KEY = replica_network.EVACUATIONS_KEY
FIRST, SECOND, THIRD = replica_network.SEEDS
DECLARE = _evacuations.Order("south", True)
WITHDRAW = _evacuations.Order("south", False)
SCHEDULE_S = 8
"""How long a random schedule lasts, in virtual time."""
LOST_ANSWER_SHARE = 0.3
"""The share of acknowledgements that do not reach the operator."""

RunInNetwork = replica_network.RunInNetwork


async def order_at(
    replica: _deployment_replica.DeploymentReplica, order: _evacuations.Order
) -> _evacuations.EvacuationSet | None:
    """Sends an order; returns the committed set if it is acknowledged."""
    outcome = await replica.order_evacuation(order)
    if not outcome.is_certain:
        return None
    return _evacuations.read_evacuations(outcome.state)


async def read_at(
    replica: _deployment_replica.DeploymentReplica,
) -> _evacuations.EvacuationSet | None:
    """Reads the set through a quorum; None if there is none."""
    outcome = await replica.confirm(KEY)
    if not outcome.is_certain:
        return None
    return _evacuations.read_evacuations(outcome.state)


def test_an_order_sent_again_to_any_replica_changes_nothing(
    run_in_network: RunInNetwork,
) -> None:
    """Guards against an operator's retry that raises the version."""

    async def run(network: replica_network.Network) -> None:
        replicas = list(network.replicas.values())
        replicas.append(network.start("10.0.0.4", is_first_start=False))
        network.exchange_committed_states()
        for replica in replicas:
            assert await order_at(replica, DECLARE) == (1, ("south",))
        for replica in replicas:
            assert await order_at(replica, WITHDRAW) == (2, ())
        # The set has a version of its own.
        assert replicas[0].committed_state(replica_network.KEY).version is None

    run_in_network(run)


@pytest.mark.parametrize("order", [DECLARE, WITHDRAW])
def test_without_a_quorum_no_order_is_acknowledged(
    run_in_network: RunInNetwork, order: _evacuations.Order
) -> None:
    """Guards against an answer from what a cut-off replica knows.

    That holds for an order that would change nothing, too: the majority may
    have taken the opposite order meanwhile.
    """

    async def run(network: replica_network.Network) -> None:
        first = network.replicas[FIRST]
        assert await order_at(first, DECLARE) == (1, ("south",))
        network.cut_off_hosts = {SECOND, THIRD}
        assert await order_at(first, order) is None
        assert first.evacuations == (1, ("south",))

    run_in_network(run)


def test_a_wiped_replica_that_knows_no_voters_acknowledges_nothing(
    run_in_network: RunInNetwork,
) -> None:
    async def run(network: replica_network.Network) -> None:
        wiped = network.start(SECOND, disk="empty", is_first_start=False)
        assert await order_at(wiped, DECLARE) is None

    run_in_network(run)


def test_an_order_survives_a_power_loss_of_all(
    run_in_network: RunInNetwork,
) -> None:
    """Guards against an acknowledgement before a quorum has synced."""

    async def run(network: replica_network.Network) -> None:
        assert await order_at(network.replicas[FIRST], DECLARE) is not None
        for host in replica_network.SEEDS:
            network.replicas[host].close()
        for host in replica_network.SEEDS:
            network.start(host, is_first_start=False)
        third = network.replicas[THIRD]
        assert await read_at(third) == (1, ("south",))
        # An instance that knows the committed version hears of no other set.
        assert third.evacuations == (1, ("south",))
        assert third.unconfirmed_evacuations is None

    run_in_network(run)


def test_a_restarted_replica_tells_the_set_as_unconfirmed(
    run_in_network: RunInNetwork,
) -> None:
    """Guards against openings to evacuated targets right after an outage.

    An instance may hear first from a replica that cannot reach a quorum yet,
    also from one without a vote.
    """

    async def run(network: replica_network.Network) -> None:
        first = network.replicas[FIRST]
        standby = network.start("10.0.0.4", is_first_start=False)
        assert await order_at(first, DECLARE) is not None
        network.exchange_committed_states()
        for host, replica in network.replicas.items():
            for key, state in replica.unsaved_states().items():
                replica.save_state(key, state)
            assert not replica.unsaved_states(), host
        assert standby.evacuations == (1, ("south",))
        hosts = tuple(network.replicas)
        network.cut_off_hosts = set(hosts)
        for host in hosts:
            network.replicas[host].close()
            restarted = network.start(host, is_first_start=False)
            assert restarted.evacuations == _evacuations.NO_EVACUATIONS
            assert restarted.unconfirmed_evacuations == (1, ("south",))
            assert await read_at(restarted) is None
        network.cut_off_hosts = set()
        assert await read_at(network.replicas[THIRD]) == (1, ("south",))
        network.exchange_committed_states()
        for replica in network.replicas.values():
            assert replica.evacuations == (1, ("south",))
            assert replica.unconfirmed_evacuations is None

    run_in_network(run)


def test_replaced_voters_lose_no_order(run_in_network: RunInNetwork) -> None:
    """Guards against new voters that decide without the register.

    Every voter of the order is lost in the end: one with its disk, and one
    after the voter that replaced the first.
    """

    async def run(network: replica_network.Network) -> None:
        first = network.replicas[FIRST]
        network.cut_off_hosts = {THIRD}
        assert await order_at(first, DECLARE) is not None
        network.cut_off_hosts = set()
        wiped = network.start(SECOND, disk="empty", is_first_start=False)
        network.exchange_committed_states()
        third = network.replicas[THIRD]
        desired_voters = tuple(
            sorted(replica.identity for replica in network.replicas.values())
        )
        assert await third.change_voters(desired_voters)
        network.exchange_committed_states()
        network.cut_off_hosts = {FIRST}
        for replica in (wiped, third):
            assert await read_at(replica) == (1, ("south",))
        assert await order_at(wiped, WITHDRAW) == (2, ())

    run_in_network(run)


def test_a_replica_that_was_away_fetches_the_set(
    run_in_network: RunInNetwork,
) -> None:
    async def run(network: replica_network.Network) -> None:
        network.cut_off_hosts = {THIRD}
        first, _, third = network.replicas.values()
        assert await order_at(first, DECLARE) is not None
        network.cut_off_hosts = set()
        answer = await first.handle_call("", _calls.Fetch(KEY))
        assert isinstance(answer, _calls.Fetched)
        assert third.learn(KEY, answer.state)
        assert third.evacuations == (1, ("south",))
        assert not third.learn(KEY, answer.state)

    run_in_network(run)


def test_a_state_that_holds_no_set_is_not_learned(
    run_in_network: RunInNetwork,
) -> None:
    """Guards against a fetched value that stops a replica's updates."""

    async def run(network: replica_network.Network) -> None:
        first = network.replicas[FIRST]
        with pytest.raises(_exceptions.BluebelltideError):
            first.learn(KEY, _register.RegisterState(4, b"odd"))
        assert first.evacuations == _evacuations.NO_EVACUATIONS

    run_in_network(run)


class _Operator:
    """Sends one order after the other, each until it is acknowledged.

    Attributes:
        acknowledged: The newest order that a replica acknowledged.
        acknowledged_count: How many orders were acknowledged.
        violations: Acknowledged orders that were not in force afterwards.
    """

    def __init__(
        self, network: replica_network.Network, generator: random.Random
    ) -> None:
        self.acknowledged: _evacuations.Order | None = None
        self.acknowledged_count = 0
        self.violations: list[str] = []
        self._network = network
        self._random = generator

    async def order_forever(self) -> None:
        is_evacuated = True
        while True:
            order = _evacuations.Order("south", is_evacuated)
            # Until it is acknowledged, either of both may be in force.
            self.acknowledged = None
            await self._send_until_acknowledged(order)
            self.acknowledged = order
            self.acknowledged_count += 1
            await self._check_readers(order)
            is_evacuated = not is_evacuated

    async def _send_until_acknowledged(self, order: _evacuations.Order) -> None:
        while True:
            hosts = list(self._network.replicas)
            replica = self._network.replicas[self._random.choice(hosts)]
            found = await order_at(replica, order)
            is_lost = self._random.random() < LOST_ANSWER_SHARE
            if found is not None and not is_lost:
                return
            await anyio.sleep(self._random.uniform(0, 0.05))

    async def _check_readers(self, order: _evacuations.Order) -> None:
        for _ in range(self._random.randint(1, 4)):
            hosts = list(self._network.replicas)
            replica = self._network.replicas[self._random.choice(hosts)]
            found = await read_at(replica)
            if found is not None and (
                (order.data_centre in found.data_centres) != order.is_evacuated
            ):
                self.violations.append(f"{order} at {found}")
            await anyio.sleep(self._random.uniform(0, 0.1))


@pytest.mark.parametrize("seed", range(8))
def test_no_acknowledged_order_is_lost_while_replicas_fail(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against orders that come back or vanish.

    Replicas are cut off and restarted, one loses its disk and is voted in
    again, acknowledgements get lost and orders are sent again elsewhere.
    """
    generator = random.Random(seed)

    async def run() -> _Operator:
        async with replica_network.open_network(
            tmp_path, monkeypatch
        ) as network:
            test_concurrent_reads.delay_calls(network, generator, monkeypatch)
            operator = _Operator(network, generator)

            async def restart_forever() -> None:
                while True:
                    await anyio.sleep(generator.uniform(0, 0.6))
                    host = generator.choice(replica_network.SEEDS)
                    disk = network.replicas[host]._store._folder.name
                    network.replicas.pop(host).close()
                    await anyio.sleep(generator.uniform(0, 0.2))
                    network.start(host, disk, is_first_start=False)

            async def cut_off_forever() -> None:
                while True:
                    await anyio.sleep(generator.uniform(0, 0.3))
                    host = generator.choice(replica_network.SEEDS)
                    network.cut_off_hosts = {host}
                    await anyio.sleep(generator.uniform(0, 0.2))
                    network.cut_off_hosts = set()

            with anyio.move_on_after(SCHEDULE_S / 2):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(operator.order_forever)
                    tasks.start_soon(restart_forever)
                    tasks.start_soon(cut_off_forever)
            network.cut_off_hosts = set()
            await _replace_a_lost_disk(network, generator)
            with anyio.move_on_after(SCHEDULE_S / 2):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(operator.order_forever)
                    tasks.start_soon(cut_off_forever)
            return operator

    operator = virtual_time.run_in_virtual_time(run, monkeypatch)
    assert operator.violations == []
    assert operator.acknowledged_count > SCHEDULE_S


async def _replace_a_lost_disk(
    network: replica_network.Network, generator: random.Random
) -> None:
    """Starts one replica without its files and lets it vote again."""
    for host in replica_network.SEEDS:
        if host not in network.replicas:
            network.start(host, is_first_start=False)
    for replica in network.replicas.values():
        for key in replica.unconfirmed_keys():
            await replica.confirm(key)
    network.exchange_committed_states()
    wiped_host = generator.choice(replica_network.SEEDS)
    network.replicas.pop(wiped_host).close()
    network.start(wiped_host, disk="empty", is_first_start=False)
    network.exchange_committed_states()
    voters = tuple(
        sorted(replica.identity for replica in network.replicas.values())
    )
    planner = network.replicas[
        next(host for host in replica_network.SEEDS if host != wiped_host)
    ]
    while not await planner.change_voters(voters):
        await anyio.sleep(0.05)
    network.exchange_committed_states()
