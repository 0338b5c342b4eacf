"""Control replicas that hear of each other and plan their voters, in memory.

Each replica runs its planner as the program does. What datagrams bring is
exchanged at once between all that are connected; calls go over the network of
`replica_network`. Run it in virtual time.
"""

import random

import anyio
import anyio.abc
import pytest

from bluebelltide import _metrics
from bluebelltide.catalogue import _evacuations
from bluebelltide.catalogue import _register
from bluebelltide.control import _deployment_replica
from bluebelltide.control import _direct_service
from bluebelltide.control import _voter_planner
from bluebelltide.control import _voter_replacement
from bluebelltide.control import _voters
from bluebelltide.control.tests import replica_network
from bluebelltide.messaging import _calls
from bluebelltide.messaging import _datagrams

OPERATOR_RETRY_S = 0.3
CATCH_UP_S = 4.0
"""How long a replica that has started counts as lost."""
KEYS = (
    replica_network.KEY,
    replica_network.EVACUATIONS_KEY,
    _voters.VOTERS_KEY,
)


def _now_ms() -> int:
    return int(anyio.current_time() * 1000)


class _Member:
    """One replica, its planner and what it hears."""

    def __init__(
        self,
        replica: _deployment_replica.DeploymentReplica,
        minimum_voter_count: int,
    ) -> None:
        metrics = _metrics.create_metrics(None, "control")
        self.replica = replica
        self.known_as = _datagrams.Replica(replica.identity, "dc")
        self.seen_replicas: dict[str, _voter_replacement.SeenReplica] = {}
        self.planner = _voter_planner.VoterPlanner(
            replica,
            self.known_as,
            self.seen_replicas,
            minimum_voter_count,
            metrics,
            _now_ms,
        )
        self.tasks = anyio.CancelScope()


class Cluster:
    """Replicas whose voters change by themselves.

    Attributes:
        network: Delivers the calls; replicas that were removed are not in it.
    """

    def __init__(
        self,
        network: replica_network.Network,
        tasks: anyio.abc.TaskGroup,
        minimum_voter_count: int = 3,
        seed: int = 0,
    ) -> None:
        """Creates the cluster with the replicas that the network has."""
        self.network = network
        self._tasks = tasks
        self._minimum_voter_count = minimum_voter_count
        self._generator = random.Random(seed)
        self._members: dict[str, _Member] = {}
        self._disks: dict[str, str] = {}
        self._version = 0
        for host in list(network.replicas):
            self._add(host)

    def start(self, host: str, disk: str = "") -> None:
        """Starts a replica with its latest disk, or with a new, empty one."""
        if disk:
            self._disks[host] = disk
        disk = self._disks.get(host, "")
        self.network.start(host, disk, is_first_start=False)
        self._add(host)

    def start_first(self, host: str) -> None:
        """Starts a replica together with the whole deployment."""
        self.network.start(host, is_first_start=True)
        self._add(host)

    def _add(self, host: str) -> None:
        replica = self.network.replicas[host]
        member = _Member(replica, self._minimum_voter_count)
        self._members[host] = member
        self._tasks.start_soon(self._plan_forever, member)

    def kill(self, host: str) -> None:
        """Ends a replica at once."""
        member = self._members.pop(host)
        member.tasks.cancel()
        del self.network.replicas[host]
        member.replica.close()

    async def stop(self, host: str) -> float:
        """Stops a replica as planned; returns how long that took."""
        member = self._members[host]
        started_s = anyio.current_time()
        await member.planner.hand_over(self._exchange)
        self.kill(host)
        return anyio.current_time() - started_s

    async def remove(self, host: str, with_notice: bool) -> None:
        """Removes a replica for good."""
        if with_notice:
            await self.stop(host)
        else:
            self.kill(host)

    def hosts(self) -> list[str]:
        """Returns the hosts whose replicas run."""
        return sorted(self._members)

    def voters(self) -> set[str]:
        """Returns the hosts that vote, by the newest set that any knows."""
        voters = self._newest_voters().all_voters()
        return {voter.partition("~")[0] for voter in voters}

    def voters_version(self) -> int:
        """Returns the version of the newest voter set that any knows."""
        return self._newest_voters().version

    def _newest_voters(self) -> _register.Voters:
        return max(
            (
                voters
                for member in self._members.values()
                if (voters := member.replica.voters) is not None
            ),
            key=lambda voters: voters.version,
        )

    async def wait_for_joint_step(self, within_s: float) -> None:
        """Returns once a joint step is open, or after a time limit."""
        with anyio.move_on_after(within_s):
            while not self._newest_voters().next_voters:
                await anyio.sleep(0.001)

    async def change(self, within_s: float) -> bool:
        """Makes a change as an operator does, and reads it back.

        Args:
            within_s: How long the operator tries one replica after the other.

        Returns:
            Whether it was acknowledged and then read in time. A read that
            returns anything else fails the test.
        """
        self._version += 1
        value = str(self._version).encode()
        with anyio.move_on_after(within_s):
            while not await self._change_once(value):
                await anyio.sleep(OPERATOR_RETRY_S)
            while True:
                for member in list(self._members.values()):
                    outcome = await member.replica.read()
                    if outcome.is_certain:
                        assert outcome.state.value == value
                        return True
                await anyio.sleep(OPERATOR_RETRY_S)
        return False

    async def _change_once(self, value: bytes) -> bool:
        for member in list(self._members.values()):
            outcome = await member.replica.put(self._version, value)
            if outcome.is_certain:
                return True
        return False

    async def evacuate(self, data_centre: str) -> None:
        """Declares the evacuation of a data centre; it is acknowledged."""
        order = _evacuations.Order(data_centre, True)
        replica = next(iter(self._members.values())).replica
        assert (await replica.order_evacuation(order)).is_certain

    async def evacuated(self) -> tuple[str, ...]:
        """Reads through a quorum which data centres are evacuated."""
        replica = next(iter(self._members.values())).replica
        outcome = await replica.confirm(replica_network.EVACUATIONS_KEY)
        assert outcome.is_certain
        return _evacuations.read_evacuations(outcome.state).data_centres

    async def run_polls(self) -> None:
        """Exchanges what the polls bring until it is cancelled."""
        while True:
            self._exchange()
            await anyio.sleep(_direct_service.POLL_INTERVAL_MS / 1000)

    def _exchange(self) -> None:
        cut_off = self.network.cut_off_hosts
        connected = {
            host: member
            for host, member in self._members.items()
            if host not in cut_off
        }
        for receiver in connected.values():
            for sender in connected.values():
                if sender is not receiver:
                    receiver.seen_replicas[sender.known_as.identity] = (
                        _voter_replacement.SeenReplica(
                            sender.known_as,
                            _now_ms(),
                            sender.planner.is_leaving,
                        )
                    )
                    for key in KEYS:
                        receiver.replica.learn(
                            key, sender.replica.committed_state(key)
                        )
        for member in self._members.values():
            member.planner.check_quorum()

    async def _plan_forever(self, member: _Member) -> None:
        interval_s = _direct_service.PLAN_INTERVAL_MS / 1000
        with member.tasks:
            while True:
                await anyio.sleep(
                    interval_s * self._generator.uniform(0.7, 1.3)
                )
                for key in member.replica.unconfirmed_keys():
                    await member.replica.confirm(key)
                await member.planner.plan()


def delay_calls(
    network: replica_network.Network, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Lets calls take time, so that replicas may go in the middle of a step."""

    async def call(*args: object, **options: object) -> _calls.Answer | None:
        await anyio.sleep(0.005)
        answer = await network.call(*args, **options)  # type: ignore[arg-type]
        await anyio.sleep(0.005)
        return answer

    monkeypatch.setattr(_calls, "call", call)
