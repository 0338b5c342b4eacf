"""Plans which replicas should vote: replaces lost voters, adds missing ones.

A plan is only a proposal. The joint step of the voters register decides, so it
is safe for two replicas to plan at the same time.
"""

from collections.abc import Mapping
from typing import NamedTuple

from bluebelltide.catalogue import _register
from bluebelltide.messaging import _datagrams

ALIVE_TIMEOUT_MS = 1500
"""How long after its latest datagram a replica counts as alive."""
REPLACE_AFTER_MS = 3000
"""How long a voter is silent before a standby replica replaces it."""


class SeenReplica(NamedTuple):
    """Another replica, and when a datagram of it last arrived."""

    replica: _datagrams.Replica
    """The replica."""
    last_seen_ms: int
    """When its latest datagram arrived."""


class ClusterView(NamedTuple):
    """What one replica knows of the others when it plans."""

    own_replica: _datagrams.Replica
    """The replica that plans."""
    voters: _register.Voters
    """The committed voter set."""
    seen_replicas: Mapping[str, SeenReplica]
    """The other replicas, by identity."""
    listening_since_ms: int
    """Since when this replica hears from a quorum without a gap. Silence is
    counted from then on, as a replica that was paused or cut off heard nobody.
    """
    desired_voter_count: int
    """How many voters there should be."""
    now_ms: int
    """The current time."""


class VoterStatus(NamedTuple):
    """Which voters and standby replicas one replica knows to be alive."""

    voters: _register.Voters
    """The committed voter set."""
    live_voters: tuple[str, ...]
    """The identities of the voters of both sets that are alive."""
    standbys: tuple[str, ...]
    """The identities of the other replicas that are alive."""
    is_quorum_alive: bool
    """Whether the live voters are a quorum."""


def voter_status(cluster_view: ClusterView) -> VoterStatus:
    """Returns which voters and standby replicas are alive, for the log."""
    voters = cluster_view.voters
    alive = set(_alive_replicas(cluster_view))
    all_voters = set(voters.all_voters())
    return VoterStatus(
        voters,
        tuple(sorted(alive & all_voters)),
        tuple(sorted(alive - all_voters)),
        voters.is_quorum(alive),
    )


def plan_next_voters(cluster_view: ClusterView) -> tuple[str, ...] | None:
    """Plans one change of the voter set.

    Args:
        cluster_view: What the planning replica knows.

    Returns:
        The next voters, or None if this replica has nothing to change.
    """
    voters = cluster_view.voters
    alive = _alive_replicas(cluster_view)
    if not _is_planner(cluster_view, alive):
        return None
    if voters.next_voters:
        return voters.next_voters
    standbys = {
        identity: replica
        for identity, replica in alive.items()
        if identity not in voters.voters
    }
    if not standbys:
        return None
    return _replace_voter(cluster_view, alive, standbys) or _add_voter(
        cluster_view, standbys
    )


def is_quorum_alive(cluster_view: ClusterView) -> bool:
    """Returns whether a quorum of voters, this replica included, is alive.

    A replica that is cut off receives nothing and must not conclude that the
    others have failed.
    """
    alive = _alive_replicas(cluster_view)
    return cluster_view.voters.is_quorum(set(alive))


def _alive_replicas(cluster_view: ClusterView) -> dict[str, _datagrams.Replica]:
    alive = {cluster_view.own_replica.identity: cluster_view.own_replica}
    for identity, seen in cluster_view.seen_replicas.items():
        if cluster_view.now_ms - seen.last_seen_ms <= ALIVE_TIMEOUT_MS:
            alive[identity] = seen.replica
    return alive


def _is_planner(
    cluster_view: ClusterView, alive: Mapping[str, _datagrams.Replica]
) -> bool:
    """Returns whether this replica is the first live voter, which plans.

    Only one replica plans at a time, so that plans do not compete.
    """
    live_voters = [
        identity for identity in cluster_view.voters.voters if identity in alive
    ]
    return (
        bool(live_voters)
        and min(live_voters) == cluster_view.own_replica.identity
    )


def _silent_ms(cluster_view: ClusterView, identity: str) -> int:
    seen = cluster_view.seen_replicas.get(identity)
    since_ms = cluster_view.listening_since_ms
    if seen is not None:
        since_ms = max(since_ms, seen.last_seen_ms)
    return cluster_view.now_ms - since_ms


def _replace_voter(
    cluster_view: ClusterView,
    alive: Mapping[str, _datagrams.Replica],
    standbys: Mapping[str, _datagrams.Replica],
) -> tuple[str, ...] | None:
    voters = cluster_view.voters.voters
    for voter in voters:
        if voter in alive:
            continue
        host = voter.partition("~")[0]
        # A new identity on the voter's machine means that the voter has lost
        # its data. The old identity will not return, so it is replaced without
        # a delay.
        replacement = next(
            (
                name
                for name, standby in standbys.items()
                if standby.host == host
            ),
            None,
        )
        if replacement is None:
            if _silent_ms(cluster_view, voter) < REPLACE_AFTER_MS:
                continue
            replacement = _choose_standby(cluster_view, standbys, voter)
        return _replace_in(voters, removed=voter, added=replacement)
    return None


def _add_voter(
    cluster_view: ClusterView, standbys: Mapping[str, _datagrams.Replica]
) -> tuple[str, ...] | None:
    voters = cluster_view.voters.voters
    if len(voters) >= cluster_view.desired_voter_count:
        return None
    return _replace_in(
        voters, removed="", added=_choose_standby(cluster_view, standbys, "")
    )


def _choose_standby(
    cluster_view: ClusterView,
    standbys: Mapping[str, _datagrams.Replica],
    removed: str,
) -> str:
    """Returns the standby replica whose data centre has the fewest voters."""
    data_centres = {
        identity: seen.replica.data_centre
        for identity, seen in cluster_view.seen_replicas.items()
    }
    data_centres[cluster_view.own_replica.identity] = (
        cluster_view.own_replica.data_centre
    )
    voter_data_centres = [
        data_centres.get(voter, "")
        for voter in cluster_view.voters.voters
        if voter != removed
    ]
    return min(
        standbys,
        key=lambda name: (
            voter_data_centres.count(standbys[name].data_centre),
            name,
        ),
    )


def _replace_in(
    voters: tuple[str, ...], removed: str, added: str
) -> tuple[str, ...]:
    remaining = [voter for voter in voters if voter != removed]
    return tuple(sorted([*remaining, added]))
