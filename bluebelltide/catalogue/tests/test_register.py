"""The real proposals under random schedules keep the model's properties."""

import random

import pytest

from bluebelltide import _exceptions
from bluebelltide.catalogue import _register

KEY = "service/x"
CONFLICT = _exceptions.ErrorCode.CONFLICT
UNKNOWN = _exceptions.ErrorCode.OUTCOME_UNKNOWN


class Cluster:
    """Acceptors behind links that lose, double and delay messages."""

    def __init__(self, seed: int, replicas: int = 3) -> None:
        """Starts empty acceptors."""
        self.random = random.Random(seed)
        names = tuple(f"c{number}" for number in range(replicas))
        self.voters = _register.Voters(0, names)
        self.slots = {name: _register.AcceptorState() for name in names}
        self.down: set[str] = set()
        self.wire: list[tuple[str, str, object]] = []
        self.proposals: dict[str, _register.Proposal] = {}
        self.results: dict[str, _register.ChangeResult] = {}
        self.decided: list[_register.RegisterState] = []

    def propose(self, name: str, change: _register.Change) -> None:
        proposal = _register.create_change_proposal(change, name, self.voters)
        self.proposals[name] = proposal
        self._perform(name, proposal.start())

    def _perform(self, name: str, actions: list[_register.Action]) -> None:
        for action in actions:
            if isinstance(action, _register.Send):
                for replica in action.replicas:
                    self.wire.append((name, replica, action.message))
            elif isinstance(action, _register.Done):
                self.results[name] = action.result
                if action.result.state.version:
                    self.decided.append(action.result.state)
            elif isinstance(action, _register.Backoff):
                self._perform(name, self.proposals[name].start())

    def step(self, loss_percent: int) -> None:
        """Takes one random message, or loses or doubles it."""
        index = self.random.randrange(len(self.wire))
        sender, replica, message = self.wire.pop(index)
        if self.random.randrange(100) < loss_percent:
            return
        if self.random.randrange(100) < 10:
            self.wire.append((sender, replica, message))
        if isinstance(message, _register.Prepare | _register.Accept):
            if replica in self.down:
                return
            slot = self.slots[replica]
            reply: _register.Reply
            if isinstance(message, _register.Prepare):
                slot, reply = _register.handle_prepare(
                    slot, self.voters, message
                )
            else:
                slot, reply = _register.handle_accept(
                    slot, self.voters, message
                )
            self.slots[replica] = slot
            self.wire.append((sender, replica, reply))
        else:
            assert isinstance(
                message,
                _register.Promise | _register.Accepted | _register.Rejected,
            )
            proposal = self.proposals[sender]
            self._perform(sender, proposal.handle_reply(replica, message))

    def run(self, steps: int, loss_percent: int = 0) -> None:
        for _ in range(steps):
            if not self.wire:
                return
            self.step(loss_percent)

    def give_up(self) -> None:
        for name, proposal in self.proposals.items():
            if name not in self.results:
                self._perform(name, proposal.give_up())


def change(change_id: str, base: int) -> _register.Change:
    return _register.Change(change_id, KEY, base, change_id.encode())


def check_chain(states: list[_register.RegisterState]) -> None:
    ordered = sorted(states, key=lambda state: state.version)
    for first, second in zip(ordered, ordered[1:], strict=False):
        if first.version == second.version:
            assert first == second
        assert second.history[: len(first.history)] == first.history
    for state in ordered:
        ids = [applied.change_id for applied in state.history]
        assert len(ids) == len(set(ids))


@pytest.mark.parametrize("seed", range(60))
def test_racing_operators_with_losses(seed: int) -> None:
    cluster = Cluster(seed)
    for version in range(3):
        cluster.propose(f"a{version}", change(f"a{version}", version))
        cluster.propose(f"b{version}", change(f"b{version}", version))
        cluster.run(400, loss_percent=10)
    cluster.give_up()
    check_chain(cluster.decided)
    newest = max(cluster.decided, key=lambda s: s.version, default=None)
    taken = {a.change_id for a in newest.history} if newest else set()
    for name, result in cluster.results.items():
        if result.code is None:
            assert any(name == a.change_id for a in result.state.history)
        elif result.code == CONFLICT:
            assert name not in taken


@pytest.mark.parametrize("seed", range(20))
def test_resent_change_gets_its_first_answer(seed: int) -> None:
    cluster = Cluster(seed)
    cluster.propose("p1", change("x", 0))
    cluster.run(seed % 9)
    cluster.wire = [w for w in cluster.wire if w[0] != "p1"]
    cluster.give_up()
    cluster.propose("p2", change("x", 0))
    cluster.run(1000)
    cluster.propose("p3", change("y", 1))
    cluster.run(1000)
    cluster.propose("p4", change("x", 0))
    cluster.run(1000)
    assert cluster.results["p2"].code is None
    assert cluster.results["p4"].version == cluster.results["p2"].version == 1
    assert cluster.results["p3"].version == 2
    check_chain(cluster.decided)


def test_no_quorum_is_said_only_when_nothing_was_sent() -> None:
    cluster = Cluster(1)
    cluster.down = {"c1", "c2"}
    cluster.propose("p1", change("x", 0))
    cluster.run(100)
    cluster.give_up()
    assert cluster.results["p1"].code == _exceptions.ErrorCode.NO_QUORUM
    cluster = Cluster(1)
    cluster.propose("p1", change("x", 0))
    while not any(
        isinstance(message, _register.Accept) for _, _, message in cluster.wire
    ):
        cluster.step(0)
    cluster.wire = []
    cluster.give_up()
    assert cluster.results["p1"].code == UNKNOWN


def test_racing_on_one_version_has_one_winner() -> None:
    cluster = Cluster(5)
    cluster.propose("a", change("a", 0))
    cluster.run(1000)
    cluster.propose("b", change("b", 0))
    cluster.run(1000)
    assert cluster.results["a"].code is None
    assert cluster.results["b"].code == CONFLICT
    assert cluster.results["b"].state.value == b"a"


def test_acceptor_refuses_an_old_voter_set() -> None:
    voters = _register.Voters(3, ("c1", "c2", "c3"))
    message = _register.Prepare(KEY, _register.Ballot(9, "p"), 2)
    slot, reply = _register.handle_prepare(
        _register.AcceptorState(), voters, message
    )
    assert isinstance(reply, _register.Rejected)
    assert reply.voters == voters
    assert slot == _register.AcceptorState()


@pytest.mark.parametrize(
    ("answered", "expected"),
    [("ab", False), ("bc", True), ("ad", False), ("bd", False), ("bcd", True)],
)
def test_joint_quorum_needs_both_sets(answered: str, expected: bool) -> None:
    voters = _register.Voters(1, ("a", "b", "c"), ("b", "c", "d"))
    assert voters.is_quorum(set(answered)) == expected
