"""Steps of proposals at acceptors, for models of one register.

Each message may be lost, duplicated or late: a proposal's Prepare and Accept
may be delivered at any time, also after its end. As in the code, the answer
that completes a quorum starts the next phase at once, and later answers have no
effect. Acceptors answer by the product's own functions.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from bluebelltide.catalogue import _register

ACCEPTOR_COUNT = 3
"""How many acceptors vote."""
MUTATIONS = (
    "single_vote_quorum",
    "adopt_any_promise",
    "accept_below_promise",
)
"""Rules of proposals that can be left out, one at a time."""
IDLE, PREPARING, PROPOSING, ENDED = range(4)
"""The phases of a proposal."""
VOTERS = _register.Voters(0, tuple(map(str, range(ACCEPTOR_COUNT))))
"""The acceptors as voters."""


class Setting(NamedTuple):
    """What the proposals of a model have in common."""

    key: str
    """The register's key."""
    ballots: tuple[_register.Ballot, ...]
    """The ballot of each proposal."""
    apply: Callable[[_register.RegisterState, int], _register.RegisterState]
    """Returns the state that a proposal makes of the newest one."""
    mutation: str
    """The rule to leave out, or empty."""


class Proposal(NamedTuple):
    """One proposal."""

    phase: int = IDLE
    """How far it has got."""
    newest: _register.AcceptorState = _register.AcceptorState()
    """The newest state that a promise brought, while it prepares."""
    state: _register.RegisterState | None = None
    """The register state that it proposes, which may arrive after its end."""


class Acceptor(NamedTuple):
    """One acceptor with its answers."""

    acceptor_state: _register.AcceptorState
    """Its state."""
    promised: tuple[bool, ...]
    """The proposals that have a promise of it and still prepare."""
    accepted: tuple[bool, ...]
    """The proposals whose state it has accepted."""


class Register(NamedTuple):
    """The acceptors of a register and the proposals for it."""

    acceptors: tuple[Acceptor, ...]
    """The acceptors; they are interchangeable, and sorted by `sort`."""
    proposals: tuple[Proposal, ...]
    """The proposals, by their ballots."""

    def sort(self) -> "Register":
        """Makes states alike that differ only by the order of acceptors."""
        return self._replace(acceptors=tuple(sorted(self.acceptors)))

    def with_proposal(self, index: int, proposal: Proposal) -> "Register":
        """Replaces a proposal."""
        proposals = replace_at(self.proposals, index, proposal)
        return self._replace(proposals=proposals)

    def begin(self, index: int) -> "Register":
        """Begins a proposal."""
        return self.with_proposal(index, Proposal(PREPARING))

    def end(self, index: int) -> "Register":
        """Ends a proposal, whatever its outcome."""
        ended = Proposal(ENDED, state=self.proposals[index].state)
        acceptors = tuple(
            one._replace(promised=replace_at(one.promised, index, False))
            for one in self.acceptors
        )
        return self.with_proposal(index, ended)._replace(acceptors=acceptors)


def create_register(proposal_count: int) -> Register:
    """Creates a register with nothing stored and idle proposals."""
    none = (False,) * proposal_count
    acceptor = Acceptor(_register.AcceptorState(), none, none)
    return Register(
        (acceptor,) * ACCEPTOR_COUNT, (Proposal(),) * proposal_count
    )


def is_quorum(setting: Setting, answers: list[bool]) -> bool:
    """Returns whether the acceptors that answered are a quorum."""
    if setting.mutation == "single_vote_quorum":
        return any(answers)
    members = {str(number) for number, one in enumerate(answers) if one}
    return VOTERS.is_quorum(members)


def deliver(
    setting: Setting, register: Register, index: int
) -> Iterator[tuple[str, Register]]:
    """Delivers a message of a proposal to an acceptor, in each possible way.

    Args:
        setting: What the proposals have in common.
        register: The register.
        index: The proposal.

    Yields:
        The label of each step, and the register afterwards.
    """
    for number in range(ACCEPTOR_COUNT):
        promised = _deliver_prepare(setting, register, index, number)
        if promised is not None:
            yield f"promise {index} by {number}", promised
        accepted = _deliver_accept(setting, register, index, number)
        if accepted is not None:
            yield f"accept {index} by {number}", accepted


def _deliver_prepare(
    setting: Setting, register: Register, index: int, number: int
) -> Register | None:
    """Returns the register after Prepare, None without a promise."""
    acceptor = register.acceptors[number]
    message = _register.Prepare(setting.key, setting.ballots[index], 0)
    acceptor_state, reply = _register.handle_prepare(
        acceptor.acceptor_state, VOTERS, message
    )
    if not isinstance(reply, _register.Promise):
        return None
    acceptor = acceptor._replace(acceptor_state=acceptor_state)
    proposal = register.proposals[index]
    if proposal.phase != PREPARING:
        acceptors = replace_at(register.acceptors, number, acceptor)
        return register._replace(acceptors=acceptors)
    acceptor = acceptor._replace(
        promised=replace_at(acceptor.promised, index, True)
    )
    brought = _register.AcceptorState(
        accepted_ballot=reply.accepted_ballot, state=reply.state
    )
    choose = min if setting.mutation == "adopt_any_promise" else max
    if any(one.promised[index] for one in register.acceptors):
        brought = choose(
            proposal.newest, brought, key=lambda one: one.accepted_ballot
        )
    register = register.with_proposal(index, proposal._replace(newest=brought))
    register = register._replace(
        acceptors=replace_at(register.acceptors, number, acceptor)
    )
    if is_quorum(setting, [one.promised[index] for one in register.acceptors]):
        proposed = Proposal(
            PROPOSING, state=setting.apply(brought.state, index)
        )
        register = register.end(index).with_proposal(index, proposed)
    return register


def _deliver_accept(
    setting: Setting, register: Register, index: int, number: int
) -> Register | None:
    """Returns the register after Accept, None if nothing is accepted anew."""
    acceptor = register.acceptors[number]
    proposed = register.proposals[index].state
    if proposed is None or acceptor.accepted[index]:
        return None
    acceptor_state = acceptor.acceptor_state
    if setting.mutation == "accept_below_promise":
        acceptor_state = acceptor_state._replace(
            promised_ballot=_register.ZERO_BALLOT
        )
    message = _register.Accept(setting.key, setting.ballots[index], 0, proposed)
    acceptor_state, reply = _register.handle_accept(
        acceptor_state, VOTERS, message
    )
    if not isinstance(reply, _register.Accepted):
        return None
    acceptor = acceptor._replace(
        acceptor_state=acceptor_state,
        accepted=replace_at(acceptor.accepted, index, True),
    )
    acceptors = replace_at(register.acceptors, number, acceptor)
    return register._replace(acceptors=acceptors)


def replace_at(values: tuple, index: int, value: object) -> tuple:  # type: ignore[type-arg]
    """Returns a tuple with another value at an index."""
    return (*values[:index], value, *values[index + 1 :])
