"""Model of evacuation orders that are sent again, come late and lose answers.

An operator declares the evacuation of a data centre, sends the order again to
another replica as long as no acknowledgement has arrived, and then withdraws
it in the same way. Each copy of an order is a proposal with a ballot of its
own. Messages form a set that only grows, so each may be lost, duplicated or
late, and so may an acknowledgement.

A proposal ends within its time limit, and the operator moves on after a longer
time. So the next order begins once no proposal of the order before runs any
more; what these have sent may still arrive.

In each state all acceptors may stop and one disk may be lost. Each quorum of
those that are left must then read what was acknowledged last, or an order that
has begun since. Acceptors and orders are the product's own functions.
"""

from collections.abc import Iterator
import itertools
from typing import NamedTuple

from bluebelltide.catalogue import _evacuations
from bluebelltide.catalogue import _register
from bluebelltide.spec import _explorer
from bluebelltide.spec import _proposal_steps

NAME = "south"
"""The data centre of the orders."""
MUTATIONS = (
    "late_copy",
    "acknowledge_before_quorum",
    "answer_from_local_state",
    "count_resent_order",
    *_proposal_steps.MUTATIONS,
)
"""Rules that can be left out, one at a time."""
ORDERS = (_evacuations.Order(NAME, True), _evacuations.Order(NAME, False))
"""The operator's orders, one after the other."""
DECIDED_SETS = {0: (), 1: (NAME,), 2: ()}
"""The set that belongs to each version."""


class Copy(NamedTuple):
    """A copy of an order, handled by one replica."""

    order: int
    """The index of the order."""
    ballot: _register.Ballot
    """The ballot of its proposal."""


COPIES = tuple(
    Copy(order, _register.Ballot(number, f"p{number}"))
    # The second copy of the declaration has a higher ballot than the first
    # copy of the withdrawal, as if it had been rejected and tried again.
    for number, order in enumerate((0, 1, 0, 1), start=1)
)
"""The copies, by their ballots."""


class State(NamedTuple):
    """A state of the model."""

    register: _proposal_steps.Register
    """The register, with a proposal for each copy."""
    acknowledged: int
    """How many orders were acknowledged to the operator."""


def create_evacuations_model(mutation: str = "") -> _explorer.Model[State]:
    """Creates the model.

    Args:
        mutation: The rule to leave out, one of MUTATIONS, or empty.

    Returns:
        The model.
    """

    def apply_copy(
        state: _register.RegisterState, index: int
    ) -> _register.RegisterState:
        order = ORDERS[COPIES[index].order]
        applied, _ = _evacuations.apply_order(state, order)
        if mutation == "count_resent_order" and applied == state:
            return state._replace(encoded_version=state.base_version + 1)
        return applied

    setting = _proposal_steps.Setting(
        _evacuations.EVACUATIONS_KEY,
        tuple(copy.ballot for copy in COPIES),
        apply_copy,
        mutation,
    )
    initial_state = State(_proposal_steps.create_register(len(COPIES)), 0)

    def steps(state: State) -> Iterator[tuple[str, State]]:
        for label, next_state in ordered_steps(state):
            register = next_state.register.sort()
            yield label, next_state._replace(register=register)

    def ordered_steps(state: State) -> Iterator[tuple[str, State]]:
        register = state.register
        for index, copy in enumerate(COPIES):
            phase = register.proposals[index].phase
            if phase == _proposal_steps.IDLE:
                if may_begin(state, copy):
                    begun = register.begin(index)
                    yield f"begin {index}", state._replace(register=begun)
                continue
            for label, delivered in _proposal_steps.deliver(
                setting, register, index
            ):
                yield label, state._replace(register=delivered)
            if phase != _proposal_steps.ENDED:
                ended = register.end(index)
                yield f"end {index}", state._replace(register=ended)
            if copy.order == state.acknowledged and is_acknowledged(
                state, index
            ):
                yield (
                    f"acknowledge {index}",
                    state._replace(acknowledged=state.acknowledged + 1),
                )

    def may_begin(state: State, copy: Copy) -> bool:
        if copy.order > state.acknowledged:
            return False
        if mutation == "late_copy":
            return True
        proposals = state.register.proposals
        for proposal, other in zip(proposals, COPIES, strict=True):
            is_running = proposal.phase in (
                _proposal_steps.PREPARING,
                _proposal_steps.PROPOSING,
            )
            if other.order < copy.order and is_running:
                return False
            # Once the operator has gone on, no copy of an earlier order begins.
            if (
                other.order > copy.order
                and proposal.phase != _proposal_steps.IDLE
            ):
                return False
        return True

    def is_acknowledged(state: State, index: int) -> bool:
        accepted = [one.accepted[index] for one in state.register.acceptors]
        if mutation == "acknowledge_before_quorum":
            return any(accepted)
        if mutation == "answer_from_local_state":
            order = ORDERS[COPIES[index].order]
            local_states = [
                one.acceptor_state.state for one in state.register.acceptors
            ]
            if any(
                _evacuations.apply_order(one, order)[0] == one
                for one in local_states
            ):
                return True
        return _proposal_steps.is_quorum(setting, accepted)

    def find_violation(state: State) -> str | None:
        begun = max(
            (
                copy.order + 1
                for proposal, copy in zip(
                    state.register.proposals, COPIES, strict=True
                )
                if proposal.phase != _proposal_steps.IDLE
            ),
            default=0,
        )
        states = [one.acceptor_state for one in state.register.acceptors]
        # Two of three are left, and they are the only quorum.
        for left in itertools.combinations(states, len(states) - 1):
            newest = max(left, key=lambda one: one.accepted_ballot).state
            # An instance that has heard of a version uses no older one, so
            # the right set under an older version is lost, too.
            if not state.acknowledged <= newest.base_version <= begun:
                return "an order was lost, reverted or counted twice"
            names = _evacuations.read_evacuations(newest).data_centres
            if DECIDED_SETS[newest.base_version] != names:
                return "a version holds the set of another one"
        return None

    return _explorer.Model(initial_state, steps, find_violation)
