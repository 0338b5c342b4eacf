"""Model of replicas that are removed while the voters change.

It asks for liveness: while more than half of the replicas run, the voters and,
in a joint step, the next voters that run must be a quorum. Otherwise nothing is
ever read or changed again, since changing the voters needs a quorum, too. What
the joint step itself loses is in the voters model.

Every replica plans by the product's own function. A replica may go with or
without notice, at any moment, also within a joint step. One that goes with
notice stays until it has no vote, or ends at once if nobody can take its vote.
The others notice the silence of one that has gone some time later. What may
go at the same time is bounded as the deployment states it:

- a replica that has gone without notice, and one that has started, counts as
  lost until its silence is noticed and the voters are as planned;
- one that goes with notice counts as lost only if it ends with a vote;
- fewer than half of the replicas are lost at any moment.
"""

from collections.abc import Iterator
from typing import NamedTuple

from bluebelltide.catalogue import _register
from bluebelltide.control import _voter_replacement
from bluebelltide.messaging import _datagrams
from bluebelltide.spec import _explorer

MUTATIONS = (
    "fixed_voter_count",
    "keep_gone_voters",
    "end_without_hand_over",
)
"""Rules that can be left out, one at a time."""
NOW_MS = 100_000
"""The time of all plans."""


class Scope(NamedTuple):
    """The sizes and events of the model."""

    replicas: int
    """How many replicas run at first."""
    first_voters: int
    """How many of them vote at first."""
    minimum_voter_count: int
    """How many voters the tolerated losses need."""
    losses: int
    """How many replicas may go without notice."""
    stops: int
    """How many replicas may go with notice."""
    starts: int = 0
    """How many replicas may start later, with empty disks."""


class State(NamedTuple):
    """A state of the model."""

    voters: frozenset[int]
    """The voters."""
    next_voters: frozenset[int]
    """The next voters in a joint step, else empty."""
    running: frozenset[int]
    """The replicas that run."""
    leaving: frozenset[int]
    """The replicas that said that they are about to stop."""
    starting: frozenset[int]
    """The replicas that run and still count as lost."""
    lost: frozenset[int]
    """The replicas that have gone and still count as lost."""
    unnoticed: frozenset[int]
    """The replicas that have gone and still count as alive elsewhere."""
    losses_left: int
    """How many replicas may still go without notice."""
    stops_left: int
    """How many replicas may still go with notice."""
    starts_left: int
    """How many replicas may still start."""

    def voting(self) -> frozenset[int]:
        """Returns the voters of both sets."""
        return self.voters | self.next_voters


SMALL_SCOPE = Scope(6, 3, 3, 3, 1)
"""Four replicas and two successors, in a scope that is explored quickly."""
NOBODY: frozenset[int] = frozenset()
"""No replica."""


def create_removals_model(
    scope: Scope, mutation: str = ""
) -> _explorer.Model[State]:
    """Creates the model.

    Args:
        scope: The sizes.
        mutation: The rule to leave out, one of MUTATIONS, or empty.

    Returns:
        The model.
    """
    everyone = frozenset(range(scope.replicas))
    initial_state = State(
        voters=frozenset(range(scope.first_voters)),
        next_voters=NOBODY,
        running=everyone,
        leaving=NOBODY,
        starting=everyone - frozenset(range(scope.first_voters)),
        lost=NOBODY,
        unnoticed=NOBODY,
        losses_left=scope.losses,
        stops_left=scope.stops,
        starts_left=scope.starts,
    )

    def plan(state: State) -> frozenset[int] | None:
        """Returns the voters that any replica plans, None for no change."""
        for planner in sorted(state.running & state.voters):
            view = make_cluster_view(state, planner)
            planned = _voter_replacement.plan_next_voters(view)
            if planned is not None:
                return restrict(state, _numbers(planned))
        return None

    def restrict(
        state: State, planned: frozenset[int]
    ) -> frozenset[int] | None:
        """Returns what is left of a plan without the rule to leave out."""
        if state.next_voters:
            return planned
        if mutation == "fixed_voter_count":
            # One voter that has gone is replaced, and no others are added.
            gone = sorted(state.voters - planned)[:1]
            added = sorted(planned - state.voters)[: len(gone)]
            kept = state.voters - set(gone[: len(added)])
            planned = frozenset([*kept, *added])
        if mutation == "keep_gone_voters" and len(planned) < len(state.voters):
            gone = sorted(state.voters - planned)
            missing = len(state.voters) - len(planned)
            planned = frozenset([*planned, *gone[:missing]])
        return None if planned == state.voters else planned

    def make_cluster_view(
        state: State, planner: int
    ) -> _voter_replacement.ClusterView:
        seen_replicas = {}
        for number in state.running | state.voting() | state.unnoticed:
            is_heard = number in state.running | state.unnoticed
            silent_ms = 0 if is_heard else _voter_replacement.REPLACE_AFTER_MS
            seen_replicas[_name(number)] = _voter_replacement.SeenReplica(
                _datagrams.Replica(_name(number), ""),
                NOW_MS - silent_ms,
                number in state.leaving,
            )
        del seen_replicas[_name(planner)]
        return _voter_replacement.ClusterView(
            _datagrams.Replica(_name(planner), ""),
            _register.Voters(
                1, _names(state.voters), _names(state.next_voters)
            ),
            seen_replicas,
            0,
            scope.minimum_voter_count,
            NOW_MS,
            planner in state.leaving,
        )

    def is_bearable(state: State) -> bool:
        """Returns whether fewer than half of the replicas are lost."""
        staying = state.running - state.leaving
        lost = state.lost | state.starting
        return 2 * len(lost) < len(state.lost | staying)

    def steps(state: State) -> Iterator[tuple[str, State]]:
        if has_quorum(state):
            yield from change_voters(state)
        for number in sorted(state.unnoticed):
            yield (
                f"silence of {number} is noticed",
                state._replace(
                    unnoticed=state.unnoticed - {number},
                    leaving=state.leaving - {number},
                ),
            )
        for number in sorted(state.running - state.starting):
            if state.losses_left and number not in state.leaving:
                lost = remove(state, number)
                lost = lost._replace(losses_left=state.losses_left - 1)
                if is_bearable(lost):
                    yield f"{number} goes", lost
            yield from stop(state, number)
        if state.starts_left:
            number = max(state.running) + 1
            yield (
                f"{number} starts",
                state._replace(
                    running=state.running | {number},
                    starting=state.starting | {number},
                    starts_left=state.starts_left - 1,
                ),
            )

    def change_voters(state: State) -> Iterator[tuple[str, State]]:
        planned = plan(state)
        if planned is None:
            if (state.starting or state.lost) and not state.unnoticed:
                settled = state._replace(starting=NOBODY, lost=NOBODY)
                yield "the voters are as planned", settled
        elif state.next_voters:
            yield (
                "joint step ends",
                state._replace(voters=state.next_voters, next_voters=NOBODY),
            )
        else:
            yield (
                f"joint step to {sorted(planned)}",
                state._replace(next_voters=planned),
            )

    def stop(state: State, number: int) -> Iterator[tuple[str, State]]:
        if number in state.leaving:
            if number not in state.voting():
                yield f"{number} ends", remove(state, number)
            return
        if not state.stops_left:
            return
        state = state._replace(stops_left=state.stops_left - 1)
        view = make_cluster_view(state, number)
        if mutation == "end_without_hand_over":
            # Its hand-over would let it go without counting as lost.
            ended = remove(state, number)
            yield f"{number} ends at once", ended._replace(lost=state.lost)
        elif number not in state.voting():
            stopped = remove(state, number)
            if is_bearable(stopped):
                yield f"{number} ends", stopped
        elif _voter_replacement.can_hand_over(view):
            leaving = state._replace(leaving=state.leaving | {number})
            if is_bearable(leaving):
                yield f"{number} is about to stop", leaving

    def remove(state: State, number: int) -> State:
        has_vote = number in state.voting() or number not in state.leaving
        return state._replace(
            lost=state.lost | {number} if has_vote else state.lost,
            running=state.running - {number},
            unnoticed=state.unnoticed | {number},
        )

    def has_quorum(state: State) -> bool:
        return all(
            2 * len(group & state.running) > len(group)
            for group in (state.voters, state.next_voters)
            if group
        )

    def find_violation(state: State) -> str | None:
        if has_quorum(state):
            return None
        return "more than half run, and no quorum"

    return _explorer.Model(initial_state, steps, find_violation)


def _name(number: int) -> str:
    return f"10.0.0.{number}~0"


def _names(numbers: frozenset[int]) -> tuple[str, ...]:
    return tuple(sorted(_name(number) for number in numbers))


def _numbers(names: tuple[str, ...]) -> frozenset[int]:
    return frozenset(
        int(name.partition("~")[0].rpartition(".")[2]) for name in names
    )
