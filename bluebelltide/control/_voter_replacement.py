"""Plans which replicas should vote.

The voters are the largest odd number of the replicas that run, within bounds.
Then more than half of the replicas always hold a quorum, so replicas may go
one after the other, or several at once, before the silent ones are given up. A
voter that is about to stop says so and is replaced before it ends.

A plan is only a proposal. The joint step of the voters register decides, so it
is safe for two replicas to plan at the same time.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from bluebelltide.catalogue import _register
from bluebelltide.messaging import _datagrams

ALIVE_TIMEOUT_MS = 1500
"""How long after its latest datagram a replica counts as alive."""
PLANNER_TIMEOUT_MS = 700
"""How long the planner is silent before the next voter plans in its place. It
is short, since while nobody plans no voter is replaced; two planners do no
harm."""
REPLACE_AFTER_MS = 3000
"""How long a voter is silent before it counts as gone."""
MAXIMUM_VOTERS = 9
"""Upper bound of the number of voters, as each change is sent to all and
stored by all."""


class SeenReplica(NamedTuple):
    """Another replica, and when a datagram of it last arrived."""

    replica: _datagrams.Replica
    """The replica."""
    last_seen_ms: int
    """When its latest datagram arrived."""
    is_leaving: bool = False
    """Whether its latest poll said that it is about to stop."""


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
    minimum_voter_count: int
    """How many voters the tolerated losses need. There are fewer only while
    there are not as many replicas."""
    now_ms: int
    """The current time."""
    is_leaving: bool = False
    """Whether this replica is about to stop."""


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
    if not _is_planner(cluster_view):
        return None
    if voters.next_voters:
        return voters.next_voters
    planned = _choose_voters(cluster_view)
    return None if planned == tuple(sorted(voters.voters)) else planned


def can_hand_over(cluster_view: ClusterView) -> bool:
    """Returns whether this replica's vote can be taken over before it stops.

    It cannot if the replica has no vote, or if too few others run.
    """
    voters = cluster_view.voters
    own_identity = cluster_view.own_replica.identity
    if own_identity not in voters.all_voters():
        return False
    after_step = voters._replace(
        voters=voters.next_voters or voters.voters, next_voters=()
    )
    leaving_view = cluster_view._replace(voters=after_step, is_leaving=True)
    return own_identity not in _choose_voters(leaving_view)


def is_quorum_alive(cluster_view: ClusterView) -> bool:
    """Returns whether a quorum of voters, this replica included, is alive.

    A replica that is cut off receives nothing and must not conclude that the
    others have failed.
    """
    alive = _alive_replicas(cluster_view)
    return cluster_view.voters.is_quorum(set(alive))


def _alive_replicas(cluster_view: ClusterView) -> dict[str, _datagrams.Replica]:
    return _replicas_heard_within(cluster_view, ALIVE_TIMEOUT_MS)


def _replicas_heard_within(
    cluster_view: ClusterView, timeout_ms: int
) -> dict[str, _datagrams.Replica]:
    """Returns this replica and those heard of late, by identity."""
    heard = {cluster_view.own_replica.identity: cluster_view.own_replica}
    for identity, seen in cluster_view.seen_replicas.items():
        if cluster_view.now_ms - seen.last_seen_ms <= timeout_ms:
            heard[identity] = seen.replica
    return heard


def _leaving_replicas(cluster_view: ClusterView) -> frozenset[str]:
    """Returns the identities of the replicas that are about to stop."""
    leaving = {
        identity
        for identity, seen in cluster_view.seen_replicas.items()
        if seen.is_leaving
    }
    if cluster_view.is_leaving:
        leaving.add(cluster_view.own_replica.identity)
    return frozenset(leaving)


def _is_planner(cluster_view: ClusterView) -> bool:
    """Returns whether this replica is the first live voter, which plans.

    Only one replica plans at a time, so that plans do not compete. One that is
    about to stop plans only if there is no other.
    """
    alive = _replicas_heard_within(cluster_view, PLANNER_TIMEOUT_MS)
    leaving = _leaving_replicas(cluster_view)
    live_voters = [
        (identity in leaving, identity)
        for identity in cluster_view.voters.voters
        if identity in alive
    ]
    return (
        bool(live_voters)
        and min(live_voters)[1] == cluster_view.own_replica.identity
    )


def _choose_voters(cluster_view: ClusterView) -> tuple[str, ...]:
    """Returns the voters that there should be, sorted."""
    voters = cluster_view.voters.voters
    alive = _alive_replicas(cluster_view)
    leaving = _leaving_replicas(cluster_view)
    standbys = set(alive) - set(voters) - leaving
    standby_hosts = {alive[identity].host for identity in standbys}
    remaining = [
        voter
        for voter in voters
        if voter not in leaving
        and (voter in alive or not _is_gone(cluster_view, voter, standby_hosts))
    ]
    voter_count = _voter_count(
        len(remaining) + len(standbys), cluster_view.minimum_voter_count
    )
    while len(remaining) > voter_count:
        remaining.remove(_choose_surplus(cluster_view, remaining, alive))
    while len(remaining) < voter_count and standbys:
        chosen = _choose_standby(cluster_view, standbys, remaining)
        standbys.remove(chosen)
        remaining.append(chosen)
    # Without a replacement, a voter that may return is better than none.
    missing = min(voter_count, len(voters)) - len(remaining)
    if missing > 0:
        others = [voter for voter in voters if voter not in remaining]
        others.sort(
            key=lambda voter: (
                _host(voter) in standby_hosts,
                _silent_ms(cluster_view, voter),
                voter,
            )
        )
        remaining += others[:missing]
    return tuple(sorted(remaining))


def _voter_count(replica_count: int, minimum: int) -> int:
    """Returns how many of the replicas that run should vote.

    With an even number of voters a quorum is larger, and no more of them may
    be lost than with one voter less.
    """
    odd_count = replica_count - 1 + replica_count % 2
    return max(minimum, min(odd_count, MAXIMUM_VOTERS))


def _is_gone(
    cluster_view: ClusterView, voter: str, standby_hosts: Iterable[str]
) -> bool:
    """Returns whether a voter that is not alive will not return soon.

    A new identity on the voter's machine means that the voter has lost its
    data, so that its old identity never returns.
    """
    return (
        _host(voter) in standby_hosts
        or _silent_ms(cluster_view, voter) >= REPLACE_AFTER_MS
    )


def _silent_ms(cluster_view: ClusterView, identity: str) -> int:
    if identity == cluster_view.own_replica.identity:
        return 0
    seen = cluster_view.seen_replicas.get(identity)
    since_ms = cluster_view.listening_since_ms
    if seen is not None:
        since_ms = max(since_ms, seen.last_seen_ms)
    return cluster_view.now_ms - since_ms


def _host(identity: str) -> str:
    return identity.partition("~")[0]


def _choose_standby(
    cluster_view: ClusterView, standbys: Iterable[str], voters: list[str]
) -> str:
    """Returns the standby replica that should vote beside these voters.

    It is one that replaces a voter on the same machine, or else one of the
    data centre with the fewest voters.
    """
    old_hosts = {_host(voter) for voter in cluster_view.voters.voters}
    voter_data_centres = _data_centres(cluster_view, voters)
    return min(
        standbys,
        key=lambda name: (
            _host(name) not in old_hosts,
            voter_data_centres.count(_data_centre(cluster_view, name)),
            name,
        ),
    )


def _choose_surplus(
    cluster_view: ClusterView,
    voters: list[str],
    alive: Mapping[str, _datagrams.Replica],
) -> str:
    """Returns the voter to remove while there are too many.

    It is a silent one, or else one of the data centre with the most voters.
    """
    voter_data_centres = _data_centres(cluster_view, voters)
    return max(
        voters,
        key=lambda name: (
            name not in alive,
            voter_data_centres.count(_data_centre(cluster_view, name)),
            name,
        ),
    )


def _data_centres(cluster_view: ClusterView, voters: list[str]) -> list[str]:
    return [_data_centre(cluster_view, voter) for voter in voters]


def _data_centre(cluster_view: ClusterView, identity: str) -> str:
    """Returns a replica's data centre, empty if it was never heard."""
    if identity == cluster_view.own_replica.identity:
        return cluster_view.own_replica.data_centre
    seen = cluster_view.seen_replicas.get(identity)
    return "" if seen is None else seen.replica.data_centre
