"""The replicated compare-and-set register that holds one catalogue entry.

Each key is a register of its own in the manner of CASPaxos: a proposer asks
a majority of voters for a promise, takes the newest state that any of them
accepted, applies the change to it and asks a majority to accept the result.
There is no leader and no log. Versions only grow, a removed entry leaves a
tombstone, and a change that is sent again under its id gets its first answer.

Voters change by a joint step: while `next_voters` is set, a quorum needs a
majority of both sets. An acceptor refuses a proposer whose voter set is older
than its own, so two voter sets never decide apart.

This module does no input or output: acceptors answer messages, and proposals
turn events into actions.
"""

from collections.abc import Callable
from typing import NamedTuple

from bluebelltide import _exceptions

HISTORY_LENGTH = 64
"""How many changes a register remembers, to answer a resent one."""


class Ballot(NamedTuple):
    """A proposal number; ordered by round, then by proposer."""

    round_number: int
    """Grows with each attempt."""
    proposer: str
    """The replica that proposes, so that no two ballots are equal."""


ZERO_BALLOT = Ballot(0, "")


class AppliedChange(NamedTuple):
    """One change that a register has taken, to recognise it when resent."""

    change_id: str
    """The id that the operator's tool chose."""
    version: int
    """The version that the change made."""


class RegisterState(NamedTuple):
    """The value of a register."""

    version: int = 0
    """Grows by one with each change; 0 before the first."""
    value: bytes | None = None
    """The encoded entry, or None if it was removed or never made."""
    history: tuple[AppliedChange, ...] = ()
    """The latest changes, oldest first."""


class Change(NamedTuple):
    """A compare-and-set request."""

    change_id: str
    """Chosen by the operator's tool; the same when resent."""
    key: str
    """The register's key."""
    base_version: int
    """The version that the change was made against."""
    value: bytes | None
    """The new encoded entry, or None to remove it."""


class Voters(NamedTuple):
    """The replicas whose majority decides."""

    version: int
    """Grows with each change of the voter set."""
    voters: tuple[str, ...]
    """The identities of the voters."""
    next_voters: tuple[str, ...] = ()
    """The identities of the next voters during a joint step."""

    def all_voters(self) -> tuple[str, ...]:
        """Returns the voters of both sets, sorted."""
        return tuple(sorted({*self.voters, *self.next_voters}))

    def is_quorum(self, responders: set[str]) -> bool:
        """Returns whether these replicas are enough to decide."""
        groups = [group for group in (self.voters, self.next_voters) if group]
        return all(
            2 * len(responders.intersection(group)) > len(group)
            for group in groups
        )


class Prepare(NamedTuple):
    """Asks an acceptor for a promise."""

    key: str
    """The register's key."""
    ballot: Ballot
    """The proposal's number."""
    voters_version: int
    """The version of the voter set that the proposer uses."""


class Accept(NamedTuple):
    """Asks an acceptor to accept a state."""

    key: str
    """The register's key."""
    ballot: Ballot
    """The proposal's number."""
    voters_version: int
    """The version of the voter set that the proposer uses."""
    state: RegisterState
    """The state to accept."""


class Promise(NamedTuple):
    """An acceptor's answer to Prepare: it takes no lower ballot."""

    key: str
    """The register's key."""
    ballot: Ballot
    """The ballot that was promised."""
    accepted_ballot: Ballot
    """The ballot of the state that the acceptor holds."""
    state: RegisterState
    """The state that the acceptor holds."""


class Accepted(NamedTuple):
    """An acceptor's answer to Accept: the state is durable there."""

    key: str
    """The register's key."""
    ballot: Ballot
    """The ballot that was accepted."""


class Rejected(NamedTuple):
    """An acceptor's refusal of a ballot or of an old voter set."""

    key: str
    """The register's key."""
    ballot: Ballot
    """The ballot that was refused."""
    promised_ballot: Ballot
    """The ballot that the acceptor has promised."""
    voters: Voters
    """The acceptor's voter set; newer than the proposer's, or the same."""


Reply = Promise | Accepted | Rejected


class AcceptorState(NamedTuple):
    """What an acceptor holds for one key."""

    promised_ballot: Ballot = ZERO_BALLOT
    """The highest ballot promised."""
    accepted_ballot: Ballot = ZERO_BALLOT
    """The ballot of the accepted state."""
    state: RegisterState = RegisterState()
    """The accepted state."""


class AcceptorStateWrite(NamedTuple):
    """What must be durable before an answer may leave the acceptor."""

    key: str
    """The register's key."""
    acceptor_state: AcceptorState
    """The new content of the slot."""


def handle_prepare(
    acceptor_state: AcceptorState, voters: Voters, message: Prepare
) -> tuple[AcceptorState, Reply]:
    """Answers Prepare.

    Args:
        acceptor_state: What the acceptor holds for the key.
        voters: The acceptor's voter set.
        message: The message.

    Returns:
        The slot to make durable before the answer is sent, and the answer.
    """
    if message.voters_version < voters.version or (
        message.ballot <= acceptor_state.promised_ballot
    ):
        return acceptor_state, Rejected(
            message.key, message.ballot, acceptor_state.promised_ballot, voters
        )
    acceptor_state = acceptor_state._replace(promised_ballot=message.ballot)
    return acceptor_state, Promise(
        message.key,
        message.ballot,
        acceptor_state.accepted_ballot,
        acceptor_state.state,
    )


def handle_accept(
    acceptor_state: AcceptorState, voters: Voters, message: Accept
) -> tuple[AcceptorState, Reply]:
    """Answers Accept.

    Args:
        acceptor_state: What the acceptor holds for the key.
        voters: The acceptor's voter set.
        message: The message.

    Returns:
        The slot to make durable before the answer is sent, and the answer.
    """
    if message.voters_version < voters.version or (
        message.ballot < acceptor_state.promised_ballot
    ):
        return acceptor_state, Rejected(
            message.key, message.ballot, acceptor_state.promised_ballot, voters
        )
    acceptor_state = AcceptorState(
        message.ballot, message.ballot, message.state
    )
    return acceptor_state, Accepted(message.key, message.ballot)


class ChangeResult(NamedTuple):
    """What became of a change."""

    code: _exceptions.ErrorCode | None
    """None if the change was accepted, else why it was not."""
    state: RegisterState
    """The committed state that was seen; empty if no quorum answered."""
    version: int
    """The version that the change made, or the winner's version."""


def apply_change(
    state: RegisterState, change: Change
) -> tuple[RegisterState, ChangeResult]:
    """Applies a change to a register's state.

    Args:
        state: The newest state that a quorum holds.
        change: The change.

    Returns:
        The next state, equal to `state` if nothing changes, and the answer.
    """
    for applied in state.history:
        if applied.change_id == change.change_id:
            return state, ChangeResult(None, state, applied.version)
    if change.base_version != state.version:
        code = _exceptions.ErrorCode.CONFLICT
        return state, ChangeResult(code, state, state.version)
    version = state.version + 1
    applied = AppliedChange(change.change_id, version)
    history = (*state.history, applied)[-HISTORY_LENGTH:]
    new_state = RegisterState(version, change.value, history)
    return new_state, ChangeResult(None, new_state, version)


def apply_read(
    state: RegisterState,
) -> tuple[RegisterState, ChangeResult]:
    """Leaves a register's state as it is; a proposal of it is a read.

    It repairs voters that lag, since the state is written back.
    """
    return state, ChangeResult(None, state, state.version)


class Send(NamedTuple):
    """Action: send a message to replicas."""

    replicas: tuple[str, ...]
    """The identities of the receivers."""
    message: Prepare | Accept
    """The message."""


class Done(NamedTuple):
    """Action: the proposal has ended with this result."""

    result: ChangeResult
    """The result for the operator."""


class Backoff(NamedTuple):
    """Action: call `start` again after a random delay."""

    attempt: int
    """How many attempts have failed; the delay grows with it."""


class AdoptVoters(NamedTuple):
    """Action: an acceptor has a newer voter set; adopt it."""

    voters: Voters
    """The newer voter set."""


Action = Send | Done | Backoff | AdoptVoters
ApplyFunction = Callable[[RegisterState], tuple[RegisterState, ChangeResult]]


class Proposal:
    """Drives one change of one register through both phases.

    A read is a proposal that applies the identity.
    """

    def __init__(
        self,
        key: str,
        proposer: str,
        voters: Voters,
        apply_function: ApplyFunction,
    ) -> None:
        """Creates the proposal; `start` begins it."""
        self._key = key
        self._proposer = proposer
        self._voters = voters
        self._apply_function = apply_function
        self._round_number = 0
        self._attempt = 0
        self._ballot = ZERO_BALLOT
        self._promises: dict[str, Promise] = {}
        self._accepted_by: set[str] = set()
        self._proposed_state: RegisterState | None = None
        self._result = ChangeResult(None, RegisterState(), 0)
        self._was_change_sent = False
        self._is_finished = False

    def start(self, highest_seen_round: int = 0) -> list[Action]:
        """Begins an attempt with a ballot above every round seen."""
        self._round_number = max(self._round_number, highest_seen_round) + 1
        self._ballot = Ballot(self._round_number, self._proposer)
        self._promises = {}
        self._accepted_by = set()
        self._proposed_state = None
        prepare = Prepare(self._key, self._ballot, self._voters.version)
        return [Send(self._voters.all_voters(), prepare)]

    def handle_reply(self, replica: str, reply: Reply) -> list[Action]:
        """Takes an answer from a replica; answers to old ballots are late."""
        if self._is_finished or reply.ballot != self._ballot:
            return []
        if isinstance(reply, Promise):
            return self._on_promise(replica, reply)
        if isinstance(reply, Accepted):
            return self._on_accepted(replica)
        return self._on_rejected(reply)

    def give_up(self) -> list[Action]:
        """Ends the proposal on timeout, with a truthful code."""
        if self._is_finished:
            return []
        self._is_finished = True
        code = _exceptions.ErrorCode.NO_QUORUM
        if self._was_change_sent:
            code = _exceptions.ErrorCode.OUTCOME_UNKNOWN
        return [Done(ChangeResult(code, RegisterState(), 0))]

    def _on_promise(self, replica: str, reply: Promise) -> list[Action]:
        self._promises[replica] = reply
        if self._proposed_state is not None:
            return []
        if not self._voters.is_quorum(set(self._promises)):
            return []
        newest = max(
            self._promises.values(), key=lambda promise: promise.accepted_ballot
        )
        self._proposed_state, self._result = self._apply_function(newest.state)
        # A conflict or a read still writes the state back: what was seen may
        # have been accepted by a minority only, and may be reported only once
        # a quorum holds it.
        if self._proposed_state != newest.state:
            self._was_change_sent = True
        accept = Accept(
            self._key, self._ballot, self._voters.version, self._proposed_state
        )
        return [Send(self._voters.all_voters(), accept)]

    def _on_accepted(self, replica: str) -> list[Action]:
        self._accepted_by.add(replica)
        if not self._voters.is_quorum(self._accepted_by):
            return []
        self._is_finished = True
        return [Done(self._result)]

    def _on_rejected(self, reply: Rejected) -> list[Action]:
        actions: list[Action] = []
        if reply.voters.version > self._voters.version:
            self._voters = reply.voters
            actions.append(AdoptVoters(reply.voters))
        self._round_number = max(
            self._round_number, reply.promised_ballot.round_number
        )
        # Answers to this ballot no longer count.
        self._ballot = ZERO_BALLOT
        self._attempt += 1
        actions.append(Backoff(self._attempt))
        return actions


def create_change_proposal(
    change: Change, proposer: str, voters: Voters
) -> Proposal:
    """Creates a proposal that makes a change.

    Args:
        change: The change.
        proposer: The identity of the replica that proposes.
        voters: The voter set it knows.

    Returns:
        The proposal, not yet started.
    """
    return Proposal(
        change.key,
        proposer,
        voters,
        lambda state: apply_change(state, change),
    )
