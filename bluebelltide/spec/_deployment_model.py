"""Model of a deployment whose operators begin with version 0.

The first document has the version 0. Others of version 1 and, with other
content, of version 0 arrive at another replica, in any order and also late.
Messages form a set that only grows, so each may be lost, duplicated or late.

A replica acknowledges a document at once that a state supersedes which it knows
to be committed; else it proposes it. It learns what its own proposals commit
and what the other replica knows, and forgets it with a restart. It reads by a
query to the acceptors.

In each state all acceptors may stop and one disk may be lost: each quorum of
those that are left must read what was acknowledged, or a newer document. A read
by a query must not return less either. Acceptors, the order of documents and
the tally of a query are the product's own functions.
"""

from collections.abc import Iterator
import itertools
from typing import NamedTuple

from bluebelltide.catalogue import _deployment
from bluebelltide.catalogue import _register
from bluebelltide.control import _read_tally
from bluebelltide.messaging import _calls
from bluebelltide.spec import _explorer
from bluebelltide.spec import _proposal_steps

MUTATIONS = (
    "nothing_is_version_0",
    "acknowledge_before_quorum",
    "acknowledge_by_accepted_state",
    "replace_equal_version",
    *_proposal_steps.MUTATIONS,
)
"""Rules that can be left out, one at a time."""


class Put(NamedTuple):
    """A document that an operator sends."""

    replica: int
    """The replica that gets it."""
    version: int
    """Its version."""
    value: bytes
    """Its content."""


PUTS = (
    Put(0, 0, b"first"),
    Put(1, 1, b"second"),
    Put(1, 0, b"other"),
)
"""The documents, by the round of their ballots."""
NOTHING = _register.RegisterState()


class State(NamedTuple):
    """A state of the model."""

    register: _proposal_steps.Register
    """The register, with a proposal for each document."""
    known: tuple[_register.RegisterState, ...]
    """The newest committed state that each replica knows."""
    acknowledged: int | None
    """The highest version that was acknowledged, None before the first."""
    in_force: tuple[_register.RegisterState, ...]
    """The states that a quorum accepted and a replica learned, sorted."""


def create_deployment_model(mutation: str = "") -> _explorer.Model[State]:
    """Creates the model.

    Args:
        mutation: The rule to leave out, one of MUTATIONS, or empty.

    Returns:
        The model.
    """

    def find_version(state: _register.RegisterState) -> int | None:
        """Returns a state's version as the rules of the model see it."""
        if mutation == "nothing_is_version_0":
            return state.encoded_version
        return state.version

    def is_superseding(put: Put, state: _register.RegisterState) -> bool:
        if mutation == "nothing_is_version_0":
            return put.version > state.encoded_version
        if mutation == "replace_equal_version" and put.version == state.version:
            return True
        return _deployment.is_superseding(put.version, state)

    def apply_put(
        state: _register.RegisterState, index: int
    ) -> _register.RegisterState:
        put = PUTS[index]
        if is_superseding(put, state):
            return _register.RegisterState(put.version, put.value)
        return state

    setting = _proposal_steps.Setting(
        _deployment.DEPLOYMENT_KEY,
        tuple(
            _register.Ballot(number, f"p{number}")
            for number in range(1, len(PUTS) + 1)
        ),
        apply_put,
        mutation,
    )
    initial_state = State(
        _proposal_steps.create_register(len(PUTS)), (NOTHING, NOTHING), None, ()
    )

    def steps(state: State) -> Iterator[tuple[str, State]]:
        for label, next_state in ordered_steps(state):
            register = next_state.register.sort()
            yield label, next_state._replace(register=register)

    def ordered_steps(state: State) -> Iterator[tuple[str, State]]:
        for index in range(len(PUTS)):
            yield from put_steps(state, index)
        for replica, known in enumerate(state.known):
            other = state.known[1 - replica]
            if known != NOTHING:
                yield f"restart {replica}", forget(state, replica)
            learned = learn(state, replica, other)
            if learned != state:
                yield f"learn at {replica}", learned

    def put_steps(state: State, index: int) -> Iterator[tuple[str, State]]:
        register = state.register
        phase = register.proposals[index].phase
        if phase == _proposal_steps.IDLE:
            if is_acknowledged_at_once(state, PUTS[index]):
                # The document takes no part any more.
                ended = state._replace(register=register.end(index))
                yield f"acknowledge {index}", acknowledge(ended, index)
            else:
                begun = register.begin(index)
                yield f"begin {index}", state._replace(register=begun)
            return
        for label, delivered in _proposal_steps.deliver(
            setting, register, index
        ):
            yield label, state._replace(register=delivered)
        if phase == _proposal_steps.ENDED:
            return
        ended = state._replace(register=register.end(index))
        yield f"end {index}", ended
        if is_committed(state, index):
            committed = register.proposals[index].state
            assert committed is not None
            learned = learn(ended, PUTS[index].replica, committed)
            yield f"commit {index}", acknowledge(learned, index)

    def is_acknowledged_at_once(state: State, put: Put) -> bool:
        if not is_superseding(put, state.known[put.replica]):
            return True
        return mutation == "acknowledge_by_accepted_state" and any(
            not is_superseding(put, one.acceptor_state.state)
            for one in state.register.acceptors
        )

    def is_committed(state: State, index: int) -> bool:
        accepted = [one.accepted[index] for one in state.register.acceptors]
        if mutation == "acknowledge_before_quorum":
            return any(accepted)
        return _proposal_steps.is_quorum(setting, accepted)

    def acknowledge(state: State, index: int) -> State:
        version = PUTS[index].version
        if not _register.is_newer(version, state.acknowledged):
            return state
        return state._replace(acknowledged=version)

    def learn(
        state: State, replica: int, committed: _register.RegisterState
    ) -> State:
        known = find_version(state.known[replica])
        if not _register.is_newer(find_version(committed), known):
            return state
        return state._replace(
            known=_proposal_steps.replace_at(state.known, replica, committed),
            in_force=tuple(sorted({*state.in_force, committed})),
        )

    def forget(state: State, replica: int) -> State:
        known = _proposal_steps.replace_at(state.known, replica, NOTHING)
        return state._replace(known=known)

    def find_violation(state: State) -> str | None:
        acceptor_states = [
            one.acceptor_state for one in state.register.acceptors
        ]
        pairs = list(itertools.combinations(acceptor_states, 2))
        for left in pairs:
            newest = max(left, key=lambda one: one.accepted_ballot).state
            violation = find_loss(state, newest)
            if violation is not None:
                return violation
        for known in set(state.known):
            for answering in pairs:
                if query(known, answering) and find_loss(state, known):
                    return "a read by a query returned less"
        versions = [one.encoded_version for one in state.in_force]
        if len(versions) != len(set(versions)):
            return "two documents were in force under one version"
        return None

    def find_loss(state: State, found: _register.RegisterState) -> str | None:
        if _register.is_newer(state.acknowledged, found.version):
            return "an acknowledged document was lost or reverted"
        for one in state.in_force:
            if one.version == found.version and one != found:
                return "a version was read with other content"
        return None

    def query(
        known: _register.RegisterState,
        answering: tuple[_register.AcceptorState, ...],
    ) -> bool:
        """Returns whether two answers let a replica read what it knows."""
        voters = _proposal_steps.VOTERS
        tally = _read_tally.ReadTally(voters, find_version(known))
        finding = _read_tally.Finding.OPEN
        for identity, acceptor_state in zip(
            voters.voters, answering, strict=False
        ):
            version = find_version(acceptor_state.state)
            answer = _calls.QueryAnswer(
                acceptor_state.accepted_ballot,
                _register.encode_version(version),
                voters.version,
            )
            finding = tally.add(identity, answer)
        return finding is _read_tally.Finding.KNOWN_IS_NEWEST

    return _explorer.Model(initial_state, steps, find_violation)
