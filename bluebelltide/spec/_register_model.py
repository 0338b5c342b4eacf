"""Model of the register with competing changes, a resend and a lost disk.

Decided values agree and never revert, and a change that is sent again is
applied once. Acceptors answer by the product's own functions. Messages form a
set that only grows, so each may be lost, duplicated or reordered.
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
    """One ballot for a change; a resend is another attempt with its id."""

    ballot: _register.Ballot
    """The ballot."""
    change: _register.Change
    """The change."""


class State(NamedTuple):
    """A state of the model."""

    acceptor_states: tuple[_register.AcceptorState | None, ...]
    """Each acceptor's state; None once it lost its disk and does not vote."""
    prepared_attempts: frozenset[int]
    """The attempts that have sent Prepare."""
    promises: frozenset[
        tuple[int, int, _register.Ballot, _register.RegisterState]
    ]
    """Attempt, acceptor, accepted ballot and state of each promise."""
    proposed_states: tuple[_register.RegisterState | None, ...]
    """The register state that each attempt proposes, or None."""
    acceptances: frozenset[tuple[int, int]]
    """Attempt and acceptor of each acceptance."""
    results: tuple[_register.ChangeResult | None, ...]
    """The result that each attempt's operator received, or None."""
    remaining_disk_losses: int
    """How many more acceptors may lose their disk."""


def create_register_model(
    acceptors: int = 3, maximum_disk_losses: int = 1, mutation: str = ""
) -> _explorer.Model[State]:
    """Creates the model.

    Two operators change the same version concurrently, and one of them sends
    its change again.

    Args:
        acceptors: How many acceptors vote.
        maximum_disk_losses: How many acceptors may lose their disk.
        mutation: The rule to leave out, one of MUTATIONS, or empty.

    Returns:
        The model.
    """
    attempts = _create_attempts(mutation)
    voters = _register.Voters(0, tuple(str(i) for i in range(acceptors)))
    initial_state = State(
        (_register.AcceptorState(),) * acceptors,
        frozenset(),
        frozenset(),
        (None,) * len(attempts),
        frozenset(),
        (None,) * len(attempts),
        maximum_disk_losses,
    )

    def have_same_ballot(first: int, second: int) -> bool:
        # A reply identifies its attempt only by the ballot.
        return attempts[first].ballot == attempts[second].ballot

    def is_quorum(members: tuple[int, ...]) -> bool:
        if mutation == "single_vote_quorum":
            return len(members) >= 1
        return voters.is_quorum({str(member) for member in members})

    def steps(state: State) -> Iterator[tuple[str, State]]:
        for index, attempt in enumerate(attempts):
            if index not in state.prepared_attempts:
                prepared_attempts = state.prepared_attempts | {index}
                yield (
                    f"prepare {index}",
                    state._replace(prepared_attempts=prepared_attempts),
                )
                continue
            for acceptor, acceptor_state in enumerate(state.acceptor_states):
                if acceptor_state is not None:
                    yield from deliver_prepare(
                        state, index, acceptor, acceptor_state
                    )
                    yield from deliver_accept(
                        state, index, acceptor, acceptor_state
                    )
            if state.proposed_states[index] is None:
                yield from propose(state, index, attempt)
            elif state.results[index] is None:
                yield from report_result(state, index, attempt)
        if state.remaining_disk_losses:
            yield from lose_disk(state)

    def deliver_prepare(
        state: State,
        index: int,
        acceptor: int,
        acceptor_state: _register.AcceptorState,
    ) -> Iterator[tuple[str, State]]:
        message = _register.Prepare(KEY, attempts[index].ballot, 0)
        next_acceptor_state, reply = _register.handle_prepare(
            acceptor_state, voters, message
        )
        if isinstance(reply, _register.Promise):
            promise = (index, acceptor, reply.accepted_ballot, reply.state)
            yield (
                f"promise {index} by {acceptor}",
                state._replace(
                    acceptor_states=_replace_at(
                        state.acceptor_states, acceptor, next_acceptor_state
                    ),
                    promises=state.promises | {promise},
                ),
            )

    def deliver_accept(
        state: State,
        index: int,
        acceptor: int,
        acceptor_state: _register.AcceptorState,
    ) -> Iterator[tuple[str, State]]:
        value = state.proposed_states[index]
        if value is None or (index, acceptor) in state.acceptances:
            return
        message = _register.Accept(KEY, attempts[index].ballot, 0, value)
        if mutation == "accept_below_promise":
            acceptor_state = acceptor_state._replace(
                promised_ballot=_register.ZERO_BALLOT
            )
        next_acceptor_state, reply = _register.handle_accept(
            acceptor_state, voters, message
        )
        if isinstance(reply, _register.Accepted):
            yield (
                f"accept {index} by {acceptor}",
                state._replace(
                    acceptor_states=_replace_at(
                        state.acceptor_states, acceptor, next_acceptor_state
                    ),
                    acceptances=state.acceptances | {(index, acceptor)},
                ),
            )

    def propose(
        state: State, index: int, attempt: Attempt
    ) -> Iterator[tuple[str, State]]:
        own_promises = [
            p for p in state.promises if have_same_ballot(p[0], index)
        ]
        for size in range(1, len(own_promises) + 1):
            for chosen in combinations(own_promises, size):
                if not is_quorum(tuple(p[1] for p in chosen)):
                    continue
                newest = max(chosen, key=lambda promise: promise[2])[3]
                if mutation == "adopt_any_promise":
                    newest = min(chosen, key=lambda promise: promise[2])[3]
                if mutation == "forget_history":
                    newest = newest._replace(history=())
                proposed, _ = _register.apply_change(newest, attempt.change)
                proposed_states = _replace_at(
                    state.proposed_states, index, proposed
                )
                yield (
                    f"propose {index}",
                    state._replace(proposed_states=proposed_states),
                )

    def report_result(
        state: State, index: int, attempt: Attempt
    ) -> Iterator[tuple[str, State]]:
        accepted_by = tuple(
            a for i, a in state.acceptances if have_same_ballot(i, index)
        )
        needs_quorum = mutation != "report_before_quorum"
        if needs_quorum and not is_quorum(accepted_by):
            return
        value = state.proposed_states[index]
        assert value is not None
        _, result = _register.apply_change(value, attempt.change)
        results = _replace_at(state.results, index, result)
        yield f"report {index}", state._replace(results=results)

    def lose_disk(state: State) -> Iterator[tuple[str, State]]:
        for acceptor, acceptor_state in enumerate(state.acceptor_states):
            if acceptor_state is None:
                continue
            next_acceptor_state = None
            if mutation == "lost_disk_keeps_identity":
                next_acceptor_state = _register.AcceptorState()
            yield (
                f"lose disk {acceptor}",
                state._replace(
                    acceptor_states=_replace_at(
                        state.acceptor_states, acceptor, next_acceptor_state
                    ),
                    remaining_disk_losses=state.remaining_disk_losses - 1,
                ),
            )

    def find_decided(state: State) -> list[tuple[int, _register.RegisterState]]:
        found = []
        for index, value in enumerate(state.proposed_states):
            accepted_by = tuple(
                a for i, a in state.acceptances if have_same_ballot(i, index)
            )
            if value is not None and voters.is_quorum(
                {str(acceptor) for acceptor in accepted_by}
            ):
                found.append((index, value))
        return found

    def find_violation(state: State) -> str | None:
        decided = sorted(
            (attempts[index].ballot, value)
            for index, value in find_decided(state)
        )
        for (_, first), (_, second) in zip(decided, decided[1:], strict=False):
            if first.is_newer_than(second.version):
                return "a decided version reverted"
            if second.version == first.version and second != first:
                return "two states were decided under one version"
            if second.history[: len(first.history)] != first.history:
                return "a decided change was lost"
        for _, value in decided:
            ids = [applied.change_id for applied in value.history]
            if len(ids) != len(set(ids)) or value.is_newer_than(2):
                return "a change was applied twice"
        return find_result_violation(state, [value for _, value in decided])

    def find_result_violation(
        state: State, values: list[_register.RegisterState]
    ) -> str | None:
        for index, result in enumerate(state.results):
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
                return "an accepted change lacks its reported version"
            if result.code == _exceptions.ErrorCode.CONFLICT and versions:
                return "a change was rejected and decided"
        return None

    return _explorer.Model(initial_state, steps, find_violation)


def _create_attempts(mutation: str) -> tuple[Attempt, ...]:
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


def _replace_at(values: tuple, index: int, value: object) -> tuple:  # type: ignore[type-arg]
    return (*values[:index], value, *values[index + 1 :])
