"""The replicated compare-and-set register that holds one catalogue entry.

Each key is a separate CASPaxos register. A proposer asks a majority of voters
for a promise, takes the newest state that any of them has accepted, applies
the change to it and asks a majority to accept the result. There is no leader
and no log. Versions only grow, a removed entry leaves a tombstone, and a
change that is sent again under the same id gets the same answer.

The voter set changes through a joint step: while `next_voters` is set, a
quorum needs a majority of both sets. An acceptor rejects a proposer whose
voter set is older than its own, so two voter sets never decide independently.

This module does no input or output: acceptors return replies to messages, and
proposals turn events into actions.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from bluebelltide import _exceptions

HISTORY_LENGTH = 64
"""How many changes a register records, to recognise one that is resent."""


NOTHING_STORED = -1
"""What a message that carries no value has in place of a version if nothing is
stored. Programs that know no such number take it for an old version."""


class Ballot(NamedTuple):
    """A proposal number, ordered by round, then by proposer."""

    round_number: int
    """Grows with each attempt."""
    proposer: str
    """Identifies the proposer, so that no two ballots are equal."""


ZERO_BALLOT = Ballot(0, "")


class AppliedChange(NamedTuple):
    """One change that was applied to a register.

    It is recorded so that the change is recognised when it is resent.
    """

    change_id: str
    """The id that the operator's tool chose."""
    version: int
    """The version that the change produced."""


class RegisterState(NamedTuple):
    """The state of a register.

    Without arguments it is the state before the first change, in which nothing
    is stored. That state has no version, so that it cannot be taken for a
    version 0 that somebody has chosen. Compare states by `is_newer_than` and
    `find_newest`.
    """

    encoded_version: int = 0
    """The version as files and messages hold it, 0 also if nothing is stored.
    Use `version`, which tells the two apart."""
    value: bytes | None = None
    """The encoded entry, or None if it was removed or never created."""
    history: tuple[AppliedChange, ...] = ()
    """The latest changes, oldest first."""

    @property
    def version(self) -> int | None:
        """Grows with each change; None if nothing is stored.

        A register that chooses its versions itself starts with 1, so what it
        removes has a version above 0.
        """
        if self.encoded_version == 0 and self.value is None:
            return None
        return self.encoded_version

    @property
    def base_version(self) -> int:
        """What a change of this state names as its base; 0 without an entry.

        For registers that choose their versions themselves, from 1 on.
        """
        return self.encoded_version

    def is_newer_than(self, version: int | None) -> bool:
        """Returns whether this state is newer than a version.

        Args:
            version: The version, or None for a register with nothing stored.
        """
        return is_newer(self.version, version)


def is_newer(version: int | None, known_version: int | None) -> bool:
    """Returns whether a version is newer than a known one.

    Args:
        version: The version, or None if nothing is stored.
        known_version: The known version, or None if nothing is stored there.
            Any version is newer than that.
    """
    if version is None:
        return False
    return known_version is None or version > known_version


def encode_version(version: int | None) -> int:
    """Encodes a version for a message; -1 if nothing is stored."""
    return NOTHING_STORED if version is None else version


def decode_version(encoded_version: int) -> int | None:
    """Decodes a version of a message, None if nothing is stored there."""
    return None if encoded_version < 0 else encoded_version


def find_newest(states: Iterable[RegisterState]) -> RegisterState:
    """Returns the newest state, the first one of several with its version."""
    newest = RegisterState()
    for state in states:
        if state.is_newer_than(newest.version):
            newest = state
    return newest


class Change(NamedTuple):
    """A compare-and-set request."""

    change_id: str
    """Chosen by the operator's tool; the same when resent."""
    key: str
    """The register's key."""
    base_version: int
    """The version of the entry that the change is based on; 0 if there was
    none."""
    value: bytes | None
    """The new encoded entry, or None to remove it."""


class Voters(NamedTuple):
    """The replicas that vote; a majority of them decides."""

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
        """Returns whether these replicas form a quorum."""
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
    """An acceptor's reply to Prepare: it will accept no lower ballot."""

    key: str
    """The register's key."""
    ballot: Ballot
    """The ballot that was promised."""
    accepted_ballot: Ballot
    """The ballot of the state that the acceptor has accepted."""
    state: RegisterState
    """The state that the acceptor has accepted."""


class Accepted(NamedTuple):
    """An acceptor's reply to Accept: it has stored the state durably."""

    key: str
    """The register's key."""
    ballot: Ballot
    """The ballot that was accepted."""


class Rejected(NamedTuple):
    """An acceptor's rejection of a low ballot or of an old voter set."""

    key: str
    """The register's key."""
    ballot: Ballot
    """The ballot that was rejected."""
    promised_ballot: Ballot
    """The ballot that the acceptor has promised."""
    voters: Voters
    """The acceptor's voter set; the proposer adopts it if it is newer."""


Reply = Promise | Accepted | Rejected


class AcceptorState(NamedTuple):
    """The state of an acceptor for one key."""

    promised_ballot: Ballot = ZERO_BALLOT
    """The highest ballot promised."""
    accepted_ballot: Ballot = ZERO_BALLOT
    """The ballot of the accepted state."""
    state: RegisterState = RegisterState()
    """The accepted state."""


class AcceptorStateWrite(NamedTuple):
    """A write that must be durable before the acceptor's reply is sent."""

    key: str
    """The register's key."""
    acceptor_state: AcceptorState
    """The new state of the acceptor for this key."""


def handle_prepare(
    acceptor_state: AcceptorState, voters: Voters, message: Prepare
) -> tuple[AcceptorState, Reply]:
    """Handles Prepare at an acceptor.

    Args:
        acceptor_state: The acceptor's state for the key.
        voters: The acceptor's voter set.
        message: The message.

    Returns:
        The acceptor's new state, which must be durable before the reply is
        sent, and the reply.
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
    """Handles Accept at an acceptor.

    Args:
        acceptor_state: The acceptor's state for the key.
        voters: The acceptor's voter set.
        message: The message.

    Returns:
        The acceptor's new state, which must be durable before the reply is
        sent, and the reply.
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
    """The result of a change or a read."""

    code: _exceptions.ErrorCode | None
    """None if it succeeded, else why it failed."""
    state: RegisterState
    """The committed state; empty if no quorum answered."""
    version: int | None
    """The version that the change produced. After a conflict or a read, the
    committed version; None if nothing is stored or no quorum answered."""


def apply_change(
    state: RegisterState, change: Change
) -> tuple[RegisterState, ChangeResult]:
    """Applies a change to a register's state.

    Args:
        state: The newest state that a quorum reported.
        change: The change.

    Returns:
        The next state, equal to `state` if nothing changes, and the result.
    """
    for applied in state.history:
        if applied.change_id == change.change_id:
            return state, ChangeResult(None, state, applied.version)
    if change.base_version != state.base_version:
        code = _exceptions.ErrorCode.CONFLICT
        return state, ChangeResult(code, state, state.version)
    version = state.base_version + 1
    applied = AppliedChange(change.change_id, version)
    history = (*state.history, applied)[-HISTORY_LENGTH:]
    new_state = RegisterState(version, change.value, history)
    return new_state, ChangeResult(None, new_state, version)


def apply_read(
    state: RegisterState,
) -> tuple[RegisterState, ChangeResult]:
    """Returns a register's state unchanged, so that its proposal is a read.

    Such a proposal also repairs voters that lag behind, since it writes the
    state back to them.
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
    """The result of the proposal."""


class Backoff(NamedTuple):
    """Action: call `start` again after a random delay."""

    attempt: int
    """How many attempts have failed; the delay grows with this number."""


class AdoptVoters(NamedTuple):
    """Action: use the newer voter set of an acceptor."""

    voters: Voters
    """The newer voter set."""


Action = Send | Done | Backoff | AdoptVoters
ApplyFunction = Callable[[RegisterState], tuple[RegisterState, ChangeResult]]


class Proposal:
    """Runs one change of one register through both phases of the protocol.

    A read is a proposal that does not change the state.
    """

    def __init__(
        self,
        key: str,
        proposer: str,
        voters: Voters,
        apply_function: ApplyFunction,
    ) -> None:
        """Creates the proposal; `start` begins its first attempt."""
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
        self._result = ChangeResult(None, RegisterState(), None)
        self._was_change_sent = False
        self._is_finished = False

    def start(self, highest_seen_round: int = 0) -> list[Action]:
        """Begins an attempt with a ballot above every known round.

        Args:
            highest_seen_round: The highest round known to be promised.

        Returns:
            The actions to perform.
        """
        self._round_number = max(self._round_number, highest_seen_round) + 1
        self._ballot = Ballot(self._round_number, self._proposer)
        self._promises = {}
        self._accepted_by = set()
        self._proposed_state = None
        prepare = Prepare(self._key, self._ballot, self._voters.version)
        return [Send(self._voters.all_voters(), prepare)]

    def handle_reply(self, replica: str, reply: Reply) -> list[Action]:
        """Handles a reply of a replica; replies to old ballots are ignored.

        Args:
            replica: The identity of the replica that sent the reply.
            reply: The reply.

        Returns:
            The actions to perform.
        """
        if self._is_finished or reply.ballot != self._ballot:
            return []
        if isinstance(reply, Promise):
            return self._on_promise(replica, reply)
        if isinstance(reply, Accepted):
            return self._on_accepted(replica)
        return self._on_rejected(reply)

    def give_up(self) -> list[Action]:
        """Ends the proposal after a timeout.

        The result says whether the change may have taken effect: with
        NO_QUORUM it was never sent to be accepted, with OUTCOME_UNKNOWN it
        was.

        Returns:
            The actions to perform.
        """
        if self._is_finished:
            return []
        self._is_finished = True
        code = _exceptions.ErrorCode.NO_QUORUM
        if self._was_change_sent:
            code = _exceptions.ErrorCode.OUTCOME_UNKNOWN
        return [Done(ChangeResult(code, RegisterState(), None))]

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
        # A conflict or a read writes the state back, too: only a minority may
        # have accepted it so far, and it may be reported as committed only
        # once a quorum has accepted it.
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
        # With no current ballot, further replies to this attempt are ignored.
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
        proposer: Identifies the proposer; part of each of its ballots.
        voters: The voter set that the proposer knows.

    Returns:
        The proposal, not yet started.
    """
    return Proposal(
        change.key,
        proposer,
        voters,
        lambda state: apply_change(state, change),
    )
