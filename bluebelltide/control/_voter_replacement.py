"""Which replicas should vote: wiped and lost voters are replaced.

The plan only proposes; the joint step of the voters register decides, so two
replicas that plan at the same time do no harm.
"""

from collections.abc import Mapping
from typing import NamedTuple

from bluebelltide.catalogue import _register
from bluebelltide.news import _messages

ALIVE_TIMEOUT_MS = 1500
"""How long a replica that was heard counts as alive."""
REPLACE_AFTER_MS = 3000
"""How long a voter is silent before a spare replica takes its place."""


class SeenReplica(NamedTuple):
    """When a replica was last heard."""

    replica: _messages.Replica
    """The replica."""
    last_seen_ms: int
    """When its latest datagram came."""


class ClusterView(NamedTuple):
    """What one replica knows when it plans."""

    own_replica: _messages.Replica
    """The replica that plans."""
    voters: _register.Voters
    """The committed voter set."""
    seen_replicas: Mapping[str, SeenReplica]
    """The other replicas, by identity."""
    started_ms: int
    """When this process started; silence counts from then."""
    desired_voter_count: int
    """How many voters there should be."""
    now_ms: int
    """The present time."""


def plan_next_voters(situation: ClusterView) -> tuple[str, ...] | None:
    """Plans one step of the voter set.

    Args:
        situation: What the planning replica knows.

    Returns:
        The next voters, or None if nothing is to be done here.
    """
    voters = situation.voters
    alive = _alive_replicas(situation)
    if not _is_planner(situation, alive):
        return None
    if voters.next_voters:
        return voters.next_voters
    spares = {
        identity: replica
        for identity, replica in alive.items()
        if identity not in voters.voters
    }
    if not spares:
        return None
    return _replace_voter(situation, alive, spares) or _add_voter(
        situation, spares
    )


def is_quorum_alive(situation: ClusterView) -> bool:
    """Returns whether a replica is in touch with most voters.

    One that is cut off must not take its own silence for that of others.
    """
    alive = _alive_replicas(situation)
    return situation.voters.is_quorum(set(alive))


def _alive_replicas(situation: ClusterView) -> dict[str, _messages.Replica]:
    alive = {situation.own_replica.identity: situation.own_replica}
    for identity, heard in situation.seen_replicas.items():
        if situation.now_ms - heard.last_seen_ms <= ALIVE_TIMEOUT_MS:
            alive[identity] = heard.replica
    return alive


def _is_planner(
    situation: ClusterView, alive: Mapping[str, _messages.Replica]
) -> bool:
    """Returns whether this is the first live voter, so that one plans."""
    live_voters = [
        identity for identity in situation.voters.voters if identity in alive
    ]
    return (
        bool(live_voters) and min(live_voters) == situation.own_replica.identity
    )


def _silent_ms(situation: ClusterView, identity: str) -> int:
    heard = situation.seen_replicas.get(identity)
    since_ms = situation.started_ms
    if heard is not None:
        since_ms = max(since_ms, heard.last_seen_ms)
    return situation.now_ms - since_ms


def _replace_voter(
    situation: ClusterView,
    alive: Mapping[str, _messages.Replica],
    spares: Mapping[str, _messages.Replica],
) -> tuple[str, ...] | None:
    voters = situation.voters.voters
    for voter in voters:
        if voter in alive:
            continue
        host = voter.partition("~")[0]
        successor = next(
            (name for name, spare in spares.items() if spare.host == host),
            None,
        )
        # A new identity on the same machine means that its data was lost.
        if successor is None:
            if _silent_ms(situation, voter) < REPLACE_AFTER_MS:
                continue
            successor = _choose_standby(situation, spares, voter)
        return _sorted_with(voters, without=voter, added=successor)
    return None


def _add_voter(
    situation: ClusterView, spares: Mapping[str, _messages.Replica]
) -> tuple[str, ...] | None:
    voters = situation.voters.voters
    if len(voters) >= situation.desired_voter_count:
        return None
    return _sorted_with(
        voters, without="", added=_choose_standby(situation, spares, "")
    )


def _choose_standby(
    situation: ClusterView,
    spares: Mapping[str, _messages.Replica],
    leaving: str,
) -> str:
    """Returns the spare whose data centre has the fewest voters."""
    places = {
        identity: heard.replica.data_centre
        for identity, heard in situation.seen_replicas.items()
    }
    places[situation.own_replica.identity] = situation.own_replica.data_centre
    used = [
        places.get(voter, "")
        for voter in situation.voters.voters
        if voter != leaving
    ]
    return min(
        spares, key=lambda name: (used.count(spares[name].data_centre), name)
    )


def _sorted_with(
    voters: tuple[str, ...], without: str, added: str
) -> tuple[str, ...]:
    kept = [voter for voter in voters if voter != without]
    return tuple(sorted([*kept, added]))
