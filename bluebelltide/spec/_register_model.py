"""Model of the register: agreement, no revert, resend once, lost disk.

Acceptors answer by the product's own functions. Messages are a set that only
grows: a message that is never taken was lost, one that is taken twice was
doubled, and any order is possible.
"""

from collections.abc import Iterator
from itertools import combinations
from typing import NamedTuple

from bluebelltide import _exceptions
from bluebelltide.catalogue import _register
from bluebelltide.spec import _explorer

KEY = "service/x"
MUTATIONS = (
    "accept_below_promise",
    "adopt_any_promise",
    "single_vote_quorum",
    "forget_history",
    "lost_disk_keeps_identity",
    "reuse_ballot",
    "report_before_quorum",
)
"""Rules that can be left out, one at a time."""


class Attempt(NamedTuple):
    """One ballot of a change; a resend is another attempt of its id."""

    ballot: _register.Ballot
    """The ballot."""
    change: _register.Change
    """The change."""


class State(NamedTuple):
    """A state of the model."""

    slots: tuple[_register.AcceptorState | None, ...]
    """Each acceptor's slot; None once it lost its disk and does not vote."""
    prepared: frozenset[int]
    """Attempts that have sent Prepare."""
    promises: frozenset[
        tuple[int, int, _register.Ballot, _register.RegisterState]
    ]
    """Attempt, acceptor, accepted ballot and state of each promise."""
    accepts: tuple[_register.RegisterState | None, ...]
    """The state that each attempt asks to accept, or None."""
    accepted: frozenset[tuple[int, int]]
    """Attempt and acceptor of each acceptance."""
    answers: tuple[_register.ChangeResult | None, ...]
    """The answer that each attempt's operator got."""
    lost_disks: int
    """How many disks may still be lost."""


def create_register_model(
    acceptors: int = 3, lost_disks: int = 1, mutation: str = ""
) -> _explorer.Model[State]:
    """Creates the model.

    Two operators race against the same version, and one of them resends its
    change.

    Args:
        acceptors: How many acceptors vote.
        lost_disks: How many acceptors may lose their disk.
        mutation: The rule to leave out, one of MUTATIONS, or empty.

    Returns:
        The model.
    """
    attempts = _attempts(mutation)
    voters = _register.Voters(0, tuple(str(i) for i in range(acceptors)))
    initial = State(
        (_register.AcceptorState(),) * acceptors,
        frozenset(),
        frozenset(),
        (None,) * len(attempts),
        frozenset(),
        (None,) * len(attempts),
        lost_disks,
    )

    def same_ballot(first: int, second: int) -> bool:
        # Answers name only the ballot that they belong to.
        return attempts[first].ballot == attempts[second].ballot

    def is_quorum(members: tuple[int, ...]) -> bool:
        if mutation == "single_vote_quorum":
            return len(members) >= 1
        return voters.is_quorum({str(member) for member in members})

    def steps(state: State) -> Iterator[tuple[str, State]]:
        for index, attempt in enumerate(attempts):
            if index not in state.prepared:
                prepared = state.prepared | {index}
                yield f"prepare {index}", state._replace(prepared=prepared)
                continue
            for acceptor, slot in enumerate(state.slots):
                if slot is not None:
                    yield from take_prepare(state, index, acceptor, slot)
                    yield from take_accept(state, index, acceptor, slot)
            if state.accepts[index] is None:
                yield from propose(state, index, attempt)
            elif state.answers[index] is None:
                yield from finish(state, index, attempt)
        if state.lost_disks:
            yield from lose_disk(state)

    def take_prepare(
        state: State, index: int, acceptor: int, slot: _register.AcceptorState
    ) -> Iterator[tuple[str, State]]:
        message = _register.Prepare(KEY, attempts[index].ballot, 0)
        after, reply = _register.handle_prepare(slot, voters, message)
        if isinstance(reply, _register.Promise):
            promise = (index, acceptor, reply.accepted_ballot, reply.state)
            yield (
                f"promise {index} by {acceptor}",
                state._replace(
                    slots=_put(state.slots, acceptor, after),
                    promises=state.promises | {promise},
                ),
            )

    def take_accept(
        state: State, index: int, acceptor: int, slot: _register.AcceptorState
    ) -> Iterator[tuple[str, State]]:
        value = state.accepts[index]
        if value is None or (index, acceptor) in state.accepted:
            return
        message = _register.Accept(KEY, attempts[index].ballot, 0, value)
        if mutation == "accept_below_promise":
            slot = slot._replace(promised_ballot=_register.ZERO_BALLOT)
        after, reply = _register.handle_accept(slot, voters, message)
        if isinstance(reply, _register.Accepted):
            yield (
                f"accept {index} by {acceptor}",
                state._replace(
                    slots=_put(state.slots, acceptor, after),
                    accepted=state.accepted | {(index, acceptor)},
                ),
            )

    def propose(
        state: State, index: int, attempt: Attempt
    ) -> Iterator[tuple[str, State]]:
        mine = [p for p in state.promises if same_ballot(p[0], index)]
        for size in range(1, len(mine) + 1):
            for chosen in combinations(mine, size):
                if not is_quorum(tuple(p[1] for p in chosen)):
                    continue
                newest = max(chosen, key=lambda promise: promise[2])[3]
                if mutation == "adopt_any_promise":
                    newest = min(chosen, key=lambda promise: promise[2])[3]
                if mutation == "forget_history":
                    newest = newest._replace(history=())
                after, _ = _register.apply_change(newest, attempt.change)
                accepts = _put(state.accepts, index, after)
                yield f"propose {index}", state._replace(accepts=accepts)

    def finish(
        state: State, index: int, attempt: Attempt
    ) -> Iterator[tuple[str, State]]:
        holders = tuple(a for i, a in state.accepted if same_ballot(i, index))
        needed = mutation != "report_before_quorum"
        if needed and not is_quorum(holders):
            return
        value = state.accepts[index]
        assert value is not None
        _, result = _register.apply_change(value, attempt.change)
        answers = _put(state.answers, index, result)
        yield f"answer {index}", state._replace(answers=answers)

    def lose_disk(state: State) -> Iterator[tuple[str, State]]:
        for acceptor, slot in enumerate(state.slots):
            if slot is None:
                continue
            after = None
            if mutation == "lost_disk_keeps_identity":
                after = _register.AcceptorState()
            yield (
                f"lose disk {acceptor}",
                state._replace(
                    slots=_put(state.slots, acceptor, after),
                    lost_disks=state.lost_disks - 1,
                ),
            )

    def decided(state: State) -> list[tuple[int, _register.RegisterState]]:
        found = []
        for index, value in enumerate(state.accepts):
            holders = tuple(
                a for i, a in state.accepted if same_ballot(i, index)
            )
            if value is not None and voters.is_quorum(
                {str(h) for h in holders}
            ):
                found.append((index, value))
        return found

    def check(state: State) -> str | None:
        chain = sorted(
            (attempts[index].ballot, value) for index, value in decided(state)
        )
        for (_, first), (_, second) in zip(chain, chain[1:], strict=False):
            if second.version < first.version:
                return "a decided version reverted"
            if second.version == first.version and second != first:
                return "two states were decided under one version"
            if second.history[: len(first.history)] != first.history:
                return "a decided change was lost"
        for _, value in chain:
            ids = [applied.change_id for applied in value.history]
            if len(ids) != len(set(ids)) or value.version > 2:
                return "a change was taken twice"
        return check_answers(state, [value for _, value in chain])

    def check_answers(
        state: State, values: list[_register.RegisterState]
    ) -> str | None:
        for index, result in enumerate(state.answers):
            if result is None:
                continue
            change_id = attempts[index].change.change_id
            versions = {
                applied.version
                for value in values
                for applied in value.history
                if applied.change_id == change_id
            }
            if result.code is None and versions != {result.version}:
                return "an accepted change was not decided as answered"
            if result.code == _exceptions.ErrorCode.CONFLICT and versions:
                return "a change was refused and taken"
        return None

    return _explorer.Model(initial, steps, check)


def _attempts(mutation: str) -> tuple[Attempt, ...]:
    first = _register.Change("x", KEY, 0, b"x")
    second = _register.Change("y", KEY, 0, b"y")
    proposers = ["p1", "p2", "p3"]
    rounds = [1, 2, 3]
    if mutation == "reuse_ballot":
        proposers = ["p1", "p1", "p1"]
        rounds = [1, 1, 2]
    changes = [first, second, first]
    return tuple(
        Attempt(_register.Ballot(number, proposer), change)
        for number, proposer, change in zip(
            rounds, proposers, changes, strict=True
        )
    )


def _put(values: tuple, index: int, value: object) -> tuple:  # type: ignore[type-arg]
    return (*values[:index], value, *values[index + 1 :])
