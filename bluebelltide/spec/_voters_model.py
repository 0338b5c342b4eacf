"""Model of a voter change by a joint step, on top of the register.

Replicas 0, 1 and 2 vote; replica 3, which starts empty, replaces replica 0. In
other scopes a second replica is replaced after it, two replicas join the voters
in one step, or two leave them in one step. Voter sets have
versions: 0 is the first set, odd versions are joint sets, and even versions the
sets that follow them. A state is decided under the voter set that its proposer
used.

As in the register, each ballot takes the newest state that its quorum has
accepted and adds a change of its own. So the decided states must form one
sequence, in which each holds the changes of the one before.

Known voter sets are those on disk: what a replica only heard of is gone after
a restart. A replica that joins has none at first, and may be voted in while
nobody can reach it. In each state all replicas may stop, one disk may be lost,
and the replicas that were replaced are gone. Those that are left must then
still be able to read every decided state.

Equivalent states are explored once, so that the exploration completes:
replicas 1 and 2 are interchangeable, a ballot that can no longer get a quorum
of promises has ended, and a promise only matters for ballots that have not
ended.
"""

from collections.abc import Iterable, Iterator
import itertools
from typing import NamedTuple

from bluebelltide.catalogue import _register
from bluebelltide.spec import _explorer

MUTATIONS = (
    "skip_joint_step",
    "skip_copy",
    "accept_early_copy",
    "ignore_voters_version",
    "answer_without_voter_set",
)
"""Rules that can be left out, one at a time."""
BALLOTS_TO_REVEAL = {"skip_joint_step": 2, "skip_copy": 2}
"""Ballots that reveal a left-out rule, if fewer than in the model's scope."""
NO_VOTER_SET = -1
"""The version known to a replica that has never stored a voter set."""
Spans = tuple[tuple[int, int], ...]
"""The replicas that vote in each set outside of joint steps, one set after the
other: the first of them and the one after the last."""
ONE_REPLACED: Spans = ((0, 3), (1, 4))
TWO_REPLACED: Spans = ((0, 3), (1, 4), (2, 5))
TWO_JOIN: Spans = ((0, 3), (0, 5))
TWO_LEAVE: Spans = ((0, 5), (2, 5))
NOT_STARTED, PREPARING, PROPOSING, ENDED = range(4)
"""The phases of a ballot."""
History = tuple[int, ...]
"""A register's state: the ballots whose changes it holds, oldest first."""
NO_CHANGES: History = ()
"""The state of a register before its first change."""
EXCHANGED_REPLICAS = (0, 2, 1, 3)
"""The replicas of one replacement, with the two that remain exchanged."""


class Proposal(NamedTuple):
    """A ballot."""

    voters_version: int = 0
    """The voter set that its proposer knew when it began."""
    phase: int = NOT_STARTED
    """How far it has got."""
    answers: frozenset[int] = frozenset()
    """The replicas that have answered in this phase."""
    promised_state: tuple[int, History] = (0, NO_CHANGES)
    """The newest state that a promise for it brought, with its ballot."""
    history: History = NO_CHANGES
    """The state that it proposes."""
    is_copy: bool = False
    """Whether it began under the joint set once that was in force."""


ENDED_PROPOSAL = Proposal(phase=ENDED)
"""A ballot that has ended."""


class State(NamedTuple):
    """A state of the model."""

    known_versions: tuple[int, ...]
    """The version of the voter set that each replica has stored."""
    proposed_version: int
    """The version of the newest voter set that was proposed."""
    promised_ballots: tuple[int, ...]
    """The ballot that each replica has promised."""
    accepted: tuple[tuple[int, History], ...]
    """The ballot and state that each replica has accepted; 0 is none."""
    proposals: tuple[Proposal, ...]
    """The proposal of each ballot, from ballot 1."""
    decided_histories: frozenset[History]
    """The states that were decided."""
    is_joint_in_force: bool
    """Whether a majority of the voters before it knows the joint set."""
    is_copied_to_joint: bool
    """Whether a state was decided under the joint set once it was in force."""


def _create_voter_sets(spans: Spans) -> list[_register.Voters]:
    """Returns the voter sets by version."""
    voter_sets = [_register.Voters(0, _names(range(*spans[0])))]
    for span in spans[1:]:
        voters = voter_sets[-1].voters
        successors = _names(range(*span))
        version = len(voter_sets)
        voter_sets.append(_register.Voters(version, voters, successors))
        voter_sets.append(_register.Voters(version + 1, successors))
    return voter_sets


def create_voters_model(
    ballots: int = 3, mutation: str = "", spans: Spans = ONE_REPLACED
) -> _explorer.Model[State]:
    """Creates the model.

    Args:
        ballots: The number of ballots.
        mutation: The rule to leave out, one of MUTATIONS, or empty.
        spans: The voters of each set.

    Returns:
        The model.
    """
    replica_count = max(end for _, end in spans)
    first_count = spans[0][1]
    initial_state = State(
        (0,) * first_count + (NO_VOTER_SET,) * (replica_count - first_count),
        0,
        (0,) * replica_count,
        ((0, NO_CHANGES),) * replica_count,
        (Proposal(),) * ballots,
        frozenset(),
        False,
        False,
    )
    voter_sets = _create_voter_sets(spans)
    # Without the joint step each replica goes on to the next even version.
    version_step = 2 if mutation == "skip_joint_step" else 1

    def is_quorum(version: int, members: frozenset[int]) -> bool:
        return voter_sets[version].is_quorum(set(_names(members)))

    def steps(state: State) -> Iterator[tuple[str, State]]:
        yield from change_voters(state)
        for replica in range(replica_count):
            if state.known_versions[replica] < state.proposed_version:
                version = next_known_version(state, replica)
                known = _replace_at(state.known_versions, replica, version)
                yield (
                    f"{replica} learns {version}",
                    state._replace(known_versions=known),
                )
        for number in range(1, ballots + 1):
            yield from advance_ballot(state, number)

    def next_known_version(state: State, replica: int) -> int:
        version = state.known_versions[replica]
        if version == NO_VOTER_SET:
            return state.proposed_version
        return version + version_step

    def replicas_that_know(state: State, version: int) -> frozenset[int]:
        return frozenset(
            replica
            for replica in range(replica_count)
            if state.known_versions[replica] >= version
        )

    def change_voters(state: State) -> Iterator[tuple[str, State]]:
        proposed = state.proposed_version
        knowing = replicas_that_know(state, proposed)
        if proposed % 2 == 0:
            # The next replacement begins once the last one is committed.
            is_committed = proposed == 0 or is_quorum(proposed - 1, knowing)
            if is_committed and proposed + 1 < len(voter_sets):
                version = proposed + version_step
                yield (
                    f"propose voters {version}",
                    state._replace(
                        proposed_version=version,
                        is_joint_in_force=False,
                        is_copied_to_joint=False,
                    ),
                )
            return
        if is_quorum(proposed - 1, knowing) and not state.is_joint_in_force:
            yield (
                f"joint set {proposed} in force",
                state._replace(is_joint_in_force=True),
            )
        has_copy = state.is_copied_to_joint
        if mutation == "skip_copy":
            has_copy = state.is_joint_in_force
        if has_copy and is_quorum(proposed, knowing):
            yield (
                f"propose voters {proposed + 1}",
                state._replace(proposed_version=proposed + 1),
            )

    def advance_ballot(
        state: State, number: int
    ) -> Iterator[tuple[str, State]]:
        proposal = state.proposals[number - 1]
        if proposal.phase == NOT_STARTED:
            yield from begin_ballot(state, number)
            return
        for replica in range(replica_count):
            if proposal.phase != ENDED and may_answer(state, number, replica):
                yield from answer_ballot(state, number, replica)

    def begin_ballot(state: State, number: int) -> Iterator[tuple[str, State]]:
        if number > 1 and state.proposals[number - 2].phase == NOT_STARTED:
            return
        for known in sorted({*state.known_versions} - {NO_VOTER_SET}):
            is_copy = known == state.proposed_version and (
                state.is_joint_in_force or mutation == "accept_early_copy"
            )
            proposal = Proposal(known, PREPARING, is_copy=is_copy)
            yield (
                f"ballot {number} under {known}",
                _with_proposal(state, number, proposal),
            )

    def may_answer(state: State, number: int, replica: int) -> bool:
        proposal = state.proposals[number - 1]
        version = proposal.voters_version
        if (
            replica in proposal.answers
            or str(replica) not in voter_sets[version].all_voters()
        ):
            return False
        if not can_answer(state, replica):
            return False
        is_newer = state.known_versions[replica] > version
        if is_newer and mutation != "ignore_voters_version":
            return False
        return state.promised_ballots[replica] <= number

    def can_answer(state: State, replica: int) -> bool:
        return (
            state.known_versions[replica] != NO_VOTER_SET
            or mutation != "answer_without_voter_set"
        )

    def canonicalise(state: State) -> State:
        """Returns the representative of the states equivalent to this one.

        Promises and voter sets only grow, so a ballot that cannot reach a
        quorum never will. Its further promises would only block others.
        """
        for number in range(1, ballots + 1):
            proposal = state.proposals[number - 1]
            if proposal.phase != PREPARING:
                continue
            possible = proposal.answers | {
                replica
                for replica in range(replica_count)
                if may_answer(state, number, replica)
            }
            if not is_quorum(proposal.voters_version, possible):
                state = _with_proposal(state, number, ENDED_PROPOSAL)
        active_ballots = [
            number
            for number in range(1, ballots + 1)
            if state.proposals[number - 1].phase != ENDED
        ]
        promised_ballots = tuple(
            1
            + max(
                (other for other in active_ballots if other < number),
                default=-1,
            )
            for number in state.promised_ballots
        )
        state = state._replace(promised_ballots=promised_ballots)
        if spans != ONE_REPLACED:
            return state
        return min(state, _exchange_staying_voters(state), key=_sort_key)

    def canonical_steps(state: State) -> Iterator[tuple[str, State]]:
        for label, next_state in steps(state):
            yield label, canonicalise(next_state)

    def answer_ballot(
        state: State, number: int, replica: int
    ) -> Iterator[tuple[str, State]]:
        proposal = state.proposals[number - 1]
        proposal = proposal._replace(answers=proposal.answers | {replica})
        if proposal.phase == PREPARING:
            # The replica may accept a later ballot before the quorum is
            # complete; the promise brings what it had accepted until now.
            newest = max(proposal.promised_state, state.accepted[replica])
            proposal = proposal._replace(promised_state=newest)
        next_state = _with_proposal(state, number, proposal)
        next_state = next_state._replace(
            promised_ballots=_replace_at(
                next_state.promised_ballots, replica, number
            )
        )
        if proposal.phase == PROPOSING:
            next_state = next_state._replace(
                accepted=_replace_at(
                    next_state.accepted, replica, (number, proposal.history)
                )
            )
        if is_quorum(proposal.voters_version, proposal.answers):
            # As in the code, the answer that completes the quorum starts the
            # next phase at once; later answers have no effect.
            next_state = complete_phase(next_state, number)
        yield f"{replica} answers {number}", next_state

    def complete_phase(state: State, number: int) -> State:
        """Returns the state after a quorum has answered a ballot."""
        proposal = state.proposals[number - 1]
        if proposal.phase == PREPARING:
            proposal = proposal._replace(
                phase=PROPOSING,
                answers=frozenset(),
                promised_state=(0, NO_CHANGES),
                history=(*proposal.promised_state[1], number),
            )
            return _with_proposal(state, number, proposal)
        is_copied = state.is_joint_in_force and (
            proposal.is_copy
            and proposal.voters_version == state.proposed_version
        )
        return _with_proposal(state, number, ENDED_PROPOSAL)._replace(
            decided_histories=state.decided_histories | {proposal.history},
            is_copied_to_joint=state.is_copied_to_joint or is_copied,
        )

    def find_violation(state: State) -> str | None:
        ordered = sorted(state.decided_histories, key=len)
        for shorter, longer in itertools.pairwise(ordered):
            if longer[: len(shorter)] != shorter:
                return "a decided change was lost"
        retired = count_retired(state)
        for lost in range(retired, replica_count):
            left = frozenset(range(retired, replica_count)) - {lost}
            violation = find_loss(state, left, ordered)
            if violation is not None:
                return violation
        return None

    def count_retired(state: State) -> int:
        """Returns how many replicas have left the voters for good."""
        return max(
            spans[version // 2][0]
            for version in range(0, len(voter_sets), 2)
            if version == 0
            or is_quorum(version - 1, replicas_that_know(state, version))
        )

    def find_loss(
        state: State, left: frozenset[int], decided: list[History]
    ) -> str | None:
        """Returns what is lost if only some replicas and their disks are left.

        They read under the newest voter set that one of them has stored.
        """
        version = max(state.known_versions[replica] for replica in left)
        answering = [
            replica
            for replica in left
            if str(replica) in voter_sets[version].all_voters()
            and can_answer(state, replica)
        ]
        if not is_quorum(version, frozenset(answering)):
            return "after the loss of a disk no quorum answers"
        if not decided:
            return None
        newest_decided = decided[-1]
        for count in range(1, len(answering) + 1):
            for members in itertools.combinations(answering, count):
                if not is_quorum(version, frozenset(members)):
                    continue
                _, history = max(state.accepted[one] for one in members)
                if history[: len(newest_decided)] != newest_decided:
                    return "a decided change was lost with a disk"
        return None

    return _explorer.Model(initial_state, canonical_steps, find_violation)


def _names(members: Iterable[int]) -> tuple[str, ...]:
    return tuple(str(member) for member in members)


def _with_proposal(state: State, number: int, proposal: Proposal) -> State:
    return state._replace(
        proposals=_replace_at(state.proposals, number - 1, proposal)
    )


def _exchange_staying_voters(state: State) -> State:
    """Returns the state with the two remaining voters exchanged."""

    def exchange(values: tuple) -> tuple:  # type: ignore[type-arg]
        return tuple(values[replica] for replica in EXCHANGED_REPLICAS)

    return state._replace(
        known_versions=exchange(state.known_versions),
        promised_ballots=exchange(state.promised_ballots),
        accepted=exchange(state.accepted),
        proposals=tuple(
            proposal._replace(
                answers=frozenset(
                    EXCHANGED_REPLICAS[replica] for replica in proposal.answers
                )
            )
            for proposal in state.proposals
        ),
    )


def _sort_key(state: State) -> tuple[object, ...]:
    return (
        state.known_versions,
        state.promised_ballots,
        state.accepted,
        tuple(
            proposal._replace(answers=tuple(sorted(proposal.answers)))  # type: ignore[arg-type]
            for proposal in state.proposals
        ),
    )


def _replace_at(values: tuple, index: int, value: object) -> tuple:  # type: ignore[type-arg]
    return (*values[:index], value, *values[index + 1 :])
