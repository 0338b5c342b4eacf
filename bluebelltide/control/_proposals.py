"""Runs a register's proposal by calls to the voters.

The protocol is in `catalogue._register`. This module sends its messages as
calls and starts another attempt after a rejected or unanswered one.
"""

from collections.abc import Callable
import random
from typing import NamedTuple

import anyio
import anyio.abc
import anyio.streams.memory

from bluebelltide import _guard
from bluebelltide import _types
from bluebelltide.catalogue import _register
from bluebelltide.messaging import _calls

ATTEMPT_TIMEOUT_MS = 350
"""How long one attempt waits for a quorum before another one starts."""
CALL_TIMEOUT_MS = 800
"""How long one call to a voter may take."""
BACKOFF_BASE_MS = 15
"""The mean delay after N failed attempts is this times 2**N."""
BACKOFF_LIMIT_MS = 150
"""The upper bound of the mean delay between attempts."""

_VoterAnswer = tuple[str, _calls.Answer]
"""A voter's identity and its answer."""
Replies = anyio.streams.memory.MemoryObjectReceiveStream[_VoterAnswer]
"""The answers of voters in order of arrival; ends when all calls have ended."""
CallAll = Callable[[tuple[str, ...], _calls.Request], Replies]
"""Calls voters concurrently."""


class CallOrigin(NamedTuple):
    """The replica that makes the calls."""

    identity: str
    """The replica's identity; calls to itself do not use the network."""
    port: int
    """The port for calls, on all machines."""
    bind_host: str
    """The local address of outgoing calls; empty for any."""
    handle: _calls.RequestHandler
    """Answers the replica's calls to itself."""


def call_voters(
    origin: CallOrigin,
    tasks: anyio.abc.TaskGroup,
    identities: tuple[str, ...],
    request: _calls.Request,
) -> Replies:
    """Calls voters concurrently.

    Args:
        origin: The replica that makes the calls.
        tasks: Runs the calls, which continue if the proposal ends before they
            do.
        identities: The voters.
        request: The request.

    Returns:
        The answers.
    """
    sender, receiver = anyio.create_memory_object_stream[_VoterAnswer](
        len(identities) + 1
    )
    for identity in identities:
        _guard.start(
            tasks,
            "calling a voter",
            _call_voter,
            origin,
            identity,
            request,
            sender.clone(),
        )
    sender.close()
    return receiver


async def _call_voter(
    origin: CallOrigin,
    identity: str,
    request: _calls.Request,
    replies: anyio.streams.memory.MemoryObjectSendStream[_VoterAnswer],
) -> None:
    with replies:
        answer: _calls.Answer | None
        if identity == origin.identity:
            answer = await origin.handle(identity, request)
        else:
            host = identity.partition("~")[0]
            answer = await _calls.call(
                _types.Address(host, origin.port),
                identity,
                request,
                CALL_TIMEOUT_MS,
                origin.bind_host,
            )
        if answer is not None:
            try:
                replies.send_nowait((identity, answer))
            except (anyio.BrokenResourceError, anyio.WouldBlock):
                # The proposal has ended; the voter has stored its state.
                return


async def run_proposal(
    proposal: _register.Proposal,
    promised_round: Callable[[], int],
    call_all: CallAll,
) -> _register.ChangeResult:
    """Runs attempts of a proposal until one succeeds.

    There is no time limit; cancel the call to set one.

    Args:
        proposal: The proposal.
        promised_round: Returns the highest round that this replica's acceptor
            has promised.
        call_all: Calls voters.

    Returns:
        The result that a quorum accepted.
    """
    attempt = 0
    while True:
        actions = proposal.start(promised_round())
        with anyio.move_on_after(ATTEMPT_TIMEOUT_MS / 1000):
            result = await _run_attempt(proposal, actions, call_all)
            if result is not None:
                return result
        attempt += 1
        mean_ms = min(BACKOFF_LIMIT_MS, BACKOFF_BASE_MS * 2**attempt)
        await anyio.sleep(random.uniform(0, 2 * mean_ms) / 1000)


async def _run_attempt(
    proposal: _register.Proposal,
    actions: list[_register.Action],
    call_all: CallAll,
) -> _register.ChangeResult | None:
    """Runs one attempt; returns None if it failed."""
    replies: Replies | None = None
    while True:
        for action in actions:
            if isinstance(action, _register.Send):
                replies = call_all(action.replicas, action.message)
            elif isinstance(action, _register.Done):
                return action.result
            elif isinstance(action, _register.Backoff):
                return None
        assert replies is not None
        actions = []
        try:
            identity, answer = await replies.receive()
        except anyio.EndOfStream:
            # All calls have ended without a quorum.
            return None
        if isinstance(answer, _register.Reply):
            actions = proposal.handle_reply(identity, answer)
