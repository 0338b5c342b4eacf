"""Tests of deployments whose first version is 0.

Operators choose the versions, so 0 is one like any other. Guards against a
replica that takes it for "nothing stored": it then acknowledges the first
deployment without storing it.
"""

import pytest

from bluebelltide.catalogue import _register
from bluebelltide.control import _deployment_replica
from bluebelltide.control import _read_tally
from bluebelltide.control.tests import replica_network
from bluebelltide.messaging import _calls

KEY = replica_network.KEY
SEEDS = replica_network.SEEDS
RunInNetwork = replica_network.RunInNetwork


async def read_everywhere(
    network: replica_network.Network,
) -> list[_deployment_replica.Outcome]:
    return [await replica.read() for replica in network.replicas.values()]


def make_committed(version: int, value: bytes) -> _deployment_replica.Outcome:
    return _deployment_replica.Outcome(
        True, _register.RegisterState(version, value)
    )


def test_a_first_document_of_version_0_is_read_back_everywhere(
    run_in_network: RunInNetwork,
) -> None:
    async def run(network: replica_network.Network) -> None:
        first = network.replicas[SEEDS[0]]
        assert await first.put(0, b"zero") == make_committed(0, b"zero")
        expected = [make_committed(0, b"zero")] * len(SEEDS)
        assert await read_everywhere(network) == expected

    run_in_network(run)


def test_the_same_number_with_other_content_changes_nothing(
    run_in_network: RunInNetwork,
) -> None:
    async def run(network: replica_network.Network) -> None:
        first, second, third = network.replicas.values()
        await first.put(0, b"zero")
        for replica in (first, second, third):
            outcome = await replica.put(0, b"other")
            assert outcome == make_committed(0, b"zero")

    run_in_network(run)


def test_a_late_version_0_takes_no_newer_document_back(
    run_in_network: RunInNetwork,
) -> None:
    async def run(network: replica_network.Network) -> None:
        first, second, third = network.replicas.values()
        await first.put(0, b"zero")
        assert await second.put(1, b"one") == make_committed(1, b"one")
        for replica in (third, second, first):
            assert (await replica.put(0, b"zero")).is_certain
            assert await replica.read() == make_committed(1, b"one")
        network.exchange_committed_states()
        expected = [make_committed(1, b"one")] * len(SEEDS)
        assert await read_everywhere(network) == expected

    run_in_network(run)


def test_version_0_survives_a_restart_of_all_replicas(
    run_in_network: RunInNetwork,
) -> None:
    """All are killed right after the acknowledgement, and one disk is lost."""

    async def run(network: replica_network.Network) -> None:
        first = network.replicas[SEEDS[0]]
        network.cut_off_hosts = {SEEDS[2]}
        assert (await first.put(0, b"zero")).is_certain
        network.cut_off_hosts = set()
        for host in SEEDS:
            network.replicas[host].close()
        for host in SEEDS:
            network.start(host, is_first_start=False)
        second = network.replicas[SEEDS[1]]
        assert second.committed_state(KEY).version is None
        assert KEY in second.accepted_keys()
        assert KEY in second.unconfirmed_keys()
        assert await second.confirm(KEY) == make_committed(0, b"zero")
        network.exchange_committed_states()
        expected = [make_committed(0, b"zero")] * len(SEEDS)
        assert await read_everywhere(network) == expected

    run_in_network(run)


def test_version_0_moves_to_the_successor_of_a_wiped_voter(
    run_in_network: RunInNetwork,
) -> None:
    async def run(network: replica_network.Network) -> None:
        network.cut_off_hosts = {SEEDS[2]}
        await network.replicas[SEEDS[0]].put(0, b"zero")
        network.cut_off_hosts = set()
        wiped = network.start(SEEDS[1], disk="empty", is_first_start=False)
        network.exchange_committed_states()
        third = network.replicas[SEEDS[2]]
        voters = tuple(
            sorted(replica.identity for replica in network.replicas.values())
        )
        assert await third.change_voters(voters)
        network.exchange_committed_states()
        network.cut_off_hosts = {SEEDS[0]}
        for replica in (wiped, third):
            assert await replica.read() == make_committed(0, b"zero")

    run_in_network(run)


def test_a_standby_replica_saves_version_0_and_serves_it_after_a_restart(
    run_in_network: RunInNetwork,
) -> None:
    """Guards against an instance that starts later and finds no routes."""

    async def run(network: replica_network.Network) -> None:
        first = network.replicas[SEEDS[0]]
        standby = network.start("10.0.0.4", is_first_start=False)
        await first.put(0, b"zero")
        network.exchange_committed_states()
        state = standby.unsaved_states()[KEY]
        standby.save_state(KEY, state)
        assert not standby.unsaved_states()
        standby.close()
        network.cut_off_hosts = set(SEEDS)
        standby = network.start("10.0.0.4", is_first_start=False)
        request = _calls.Fetch(KEY, may_be_unconfirmed=True)
        answer = await standby.handle_call("", request)
        assert answer == _calls.Fetched(state, is_committed=False)
        # Operators get it from a quorum only.
        assert not (await standby.read()).is_certain

    run_in_network(run)


def test_nothing_stored_is_certain_to_be_nothing(
    run_in_network: RunInNetwork,
) -> None:
    """A read before the first document must not look like a version 0."""

    async def run(network: replica_network.Network) -> None:
        for outcome in await read_everywhere(network):
            assert outcome.state.version is None
            assert outcome.state.value is None
        first = network.replicas[SEEDS[0]]
        await first.confirm(KEY)
        assert not first.accepted_keys().count(KEY)
        assert not first.unsaved_states()

    run_in_network(run)


@pytest.mark.parametrize(
    ("known_version", "versions", "finding"),
    [
        (None, (None, None), _read_tally.Finding.KNOWN_IS_NEWEST),
        (None, (0, 0), _read_tally.Finding.BALLOT_IS_COMMITTED),
        (None, (None, 0), _read_tally.Finding.OPEN),
        (0, (None, 0), _read_tally.Finding.KNOWN_IS_NEWEST),
        (0, (0, 0), _read_tally.Finding.KNOWN_IS_NEWEST),
        (0, (1, 1), _read_tally.Finding.BALLOT_IS_COMMITTED),
    ],
)
def test_a_query_tells_version_0_from_nothing_stored(
    known_version: int | None,
    versions: tuple[int | None, ...],
    finding: _read_tally.Finding,
) -> None:
    voters = _register.Voters(1, ("a", "b", "c"))
    tally = _read_tally.ReadTally(voters, known_version)
    for identity, version in zip("ab", versions, strict=True):
        ballot = _register.Ballot(0 if version is None else 1, "p")
        encoded = _register.encode_version(version)
        found = tally.add(identity, _calls.QueryAnswer(ballot, encoded, 1))
    assert found is finding
