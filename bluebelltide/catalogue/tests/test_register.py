"""Tests of the register protocol under random message schedules.

They check the product's proposals and acceptors for the properties that the
register's model in `spec` checks: versions form one chain, and no change is
applied twice.
"""

import random

import pytest

from bluebelltide import _exceptions
from bluebelltide.catalogue import _register

KEY = "service/x"
CONFLICT = _exceptions.ErrorCode.CONFLICT
UNKNOWN = _exceptions.ErrorCode.OUTCOME_UNKNOWN


class Cluster:
    """Acceptors behind links that lose, duplicate and delay messages."""

    def __init__(self, seed: int, replicas: int = 3) -> None:
        """Creates acceptors without any state."""
        self.random = random.Random(seed)
        names = tuple(f"c{number}" for number in range(replicas))
        self.voters = _register.Voters(0, names)
        self.acceptor_states = {
            name: _register.AcceptorState() for name in names
        }
        self.down: set[str] = set()
        self.in_transit: list[tuple[str, str, object]] = []
        self.proposals: dict[str, _register.Proposal] = {}
        self.results: dict[str, _register.ChangeResult] = {}
        self.committed: list[_register.RegisterState] = []

    def propose(self, name: str, change: _register.Change) -> None:
        proposal = _register.create_change_proposal(change, name, self.voters)
        self.proposals[name] = proposal
        self._perform(name, proposal.start())

    def _perform(self, name: str, actions: list[_register.Action]) -> None:
        for action in actions:
            if isinstance(action, _register.Send):
                for replica in action.replicas:
                    self.in_transit.append((name, replica, action.message))
            elif isinstance(action, _register.Done):
                self.results[name] = action.result
                if action.result.state.version:
                    self.committed.append(action.result.state)
            elif isinstance(action, _register.Backoff):
                self._perform(name, self.proposals[name].start())

    def step(self, loss_percent: int) -> None:
        """Delivers, loses or duplicates one random message in transit."""
        index = self.random.randrange(len(self.in_transit))
        proposer, replica, message = self.in_transit.pop(index)
        if self.random.randrange(100) < loss_percent:
            return
        if self.random.randrange(100) < 10:
            self.in_transit.append((proposer, replica, message))
        if isinstance(message, _register.Prepare | _register.Accept):
            if replica in self.down:
                return
            acceptor_state = self.acceptor_states[replica]
            reply: _register.Reply
            if isinstance(message, _register.Prepare):
                acceptor_state, reply = _register.handle_prepare(
                    acceptor_state, self.voters, message
                )
            else:
                acceptor_state, reply = _register.handle_accept(
                    acceptor_state, self.voters, message
                )
            self.acceptor_states[replica] = acceptor_state
            self.in_transit.append((proposer, replica, reply))
        else:
            assert isinstance(
                message,
                _register.Promise | _register.Accepted | _register.Rejected,
            )
            proposal = self.proposals[proposer]
            self._perform(proposer, proposal.handle_reply(replica, message))

    def run(self, steps: int, loss_percent: int = 0) -> None:
        for _ in range(steps):
            if not self.in_transit:
                return
            self.step(loss_percent)

    def give_up(self) -> None:
        for name, proposal in self.proposals.items():
            if name not in self.results:
                self._perform(name, proposal.give_up())


def make_change(change_id: str, base_version: int) -> _register.Change:
    return _register.Change(change_id, KEY, base_version, change_id.encode())


def check_chain(states: list[_register.RegisterState]) -> None:
    ordered = sorted(states, key=lambda state: state.base_version)
    for first, second in zip(ordered, ordered[1:], strict=False):
        if first.version == second.version:
            assert first == second
        assert second.history[: len(first.history)] == first.history
    for state in ordered:
        ids = [applied.change_id for applied in state.history]
        assert len(ids) == len(set(ids))


@pytest.mark.parametrize("seed", range(60))
def test_concurrent_changes_with_lost_messages(seed: int) -> None:
    cluster = Cluster(seed)
    for version in range(3):
        cluster.propose(f"a{version}", make_change(f"a{version}", version))
        cluster.propose(f"b{version}", make_change(f"b{version}", version))
        cluster.run(400, loss_percent=10)
    cluster.give_up()
    check_chain(cluster.committed)
    newest = max(cluster.committed, key=lambda s: s.base_version, default=None)
    applied = {a.change_id for a in newest.history} if newest else set()
    for name, result in cluster.results.items():
        if result.code is None:
            assert any(name == a.change_id for a in result.state.history)
        elif result.code == CONFLICT:
            assert name not in applied


@pytest.mark.parametrize("seed", range(20))
def test_a_resent_change_gets_the_same_answer(seed: int) -> None:
    cluster = Cluster(seed)
    cluster.propose("p1", make_change("x", 0))
    cluster.run(seed % 9)
    cluster.in_transit = [m for m in cluster.in_transit if m[0] != "p1"]
    cluster.give_up()
    cluster.propose("p2", make_change("x", 0))
    cluster.run(1000)
    cluster.propose("p3", make_change("y", 1))
    cluster.run(1000)
    cluster.propose("p4", make_change("x", 0))
    cluster.run(1000)
    assert cluster.results["p2"].code is None
    assert cluster.results["p4"].version == cluster.results["p2"].version == 1
    assert cluster.results["p3"].version == 2
    check_chain(cluster.committed)


def test_no_quorum_is_reported_only_if_no_accept_was_sent() -> None:
    cluster = Cluster(1)
    cluster.down = {"c1", "c2"}
    cluster.propose("p1", make_change("x", 0))
    cluster.run(100)
    cluster.give_up()
    assert cluster.results["p1"].code == _exceptions.ErrorCode.NO_QUORUM
    cluster = Cluster(1)
    cluster.propose("p1", make_change("x", 0))
    while not any(
        isinstance(message, _register.Accept)
        for _, _, message in cluster.in_transit
    ):
        cluster.step(0)
    cluster.in_transit = []
    cluster.give_up()
    assert cluster.results["p1"].code == UNKNOWN


def test_one_of_two_changes_to_the_same_version_wins() -> None:
    cluster = Cluster(5)
    cluster.propose("a", make_change("a", 0))
    cluster.run(1000)
    cluster.propose("b", make_change("b", 0))
    cluster.run(1000)
    assert cluster.results["a"].code is None
    assert cluster.results["b"].code == CONFLICT
    assert cluster.results["b"].state.value == b"a"


def test_an_acceptor_rejects_an_old_voter_set() -> None:
    voters = _register.Voters(3, ("c1", "c2", "c3"))
    message = _register.Prepare(KEY, _register.Ballot(9, "p"), 2)
    acceptor_state, reply = _register.handle_prepare(
        _register.AcceptorState(), voters, message
    )
    assert isinstance(reply, _register.Rejected)
    assert reply.voters == voters
    assert acceptor_state == _register.AcceptorState()


@pytest.mark.parametrize(
    ("responders", "expected"),
    [("ab", False), ("bc", True), ("ad", False), ("bd", False), ("bcd", True)],
)
def test_a_joint_quorum_needs_both_sets(
    responders: str, expected: bool
) -> None:
    voters = _register.Voters(1, ("a", "b", "c"), ("b", "c", "d"))
    assert voters.is_quorum(set(responders)) == expected
