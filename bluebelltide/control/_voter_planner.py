"""Keeps the voter set of the control replicas as planned.

It connects the plan, which is pure, with what one replica hears of the others
and with the register that holds the voter set.
"""

from collections.abc import Callable, Mapping

import anyio

from bluebelltide import _metrics
from bluebelltide._events import events
from bluebelltide.control import _deployment_replica
from bluebelltide.control import _lease_watch
from bluebelltide.control import _voter_replacement
from bluebelltide.messaging import _datagrams

HAND_OVER_TIMEOUT_MS = 2000
"""How long a replica that stops waits until another one has taken its vote.
With what the stop takes otherwise it stays below the time that a platform gives
a process after SIGTERM."""
HAND_OVER_CHECK_INTERVAL_MS = 20
"""Time between two checks whether the vote has been taken over."""


class VoterPlanner:
    """Plans and changes the voters on behalf of one replica.

    Attributes:
        is_leaving: Whether the replica is about to stop; its polls say so.
    """

    def __init__(
        self,
        replica: _deployment_replica.DeploymentReplica,
        own_replica: _datagrams.Replica,
        seen_replicas: Mapping[str, _voter_replacement.SeenReplica],
        minimum_voter_count: int,
        metrics: _metrics.Metrics,
        now_ms: Callable[[], int],
    ) -> None:
        """Creates the planner.

        Args:
            replica: Proposes the changes.
            own_replica: The replica, as the others know it.
            seen_replicas: The other replicas, by identity; kept up to date by
                the caller.
            minimum_voter_count: See `ClusterView.minimum_voter_count`.
            metrics: The counters.
            now_ms: Returns the current time.
        """
        self.is_leaving = False
        self._replica = replica
        self._own_replica = own_replica
        self._seen_replicas = seen_replicas
        self._minimum_voter_count = minimum_voter_count
        self._metrics = metrics
        self._now_ms = now_ms
        self._lease_watch = _lease_watch.LeaseWatch()
        self._status: _voter_replacement.VoterStatus | None = None

    def check_quorum(self) -> int | None:
        """Records whether this replica hears from a quorum at present.

        Returns:
            Since when it does without a gap, or None if it does not.
        """
        cluster_view = self._cluster_view()
        has_quorum = (
            cluster_view is not None
            and _voter_replacement.is_quorum_alive(cluster_view)
        )
        return self._lease_watch.check(has_quorum, self._now_ms())

    async def plan(self) -> None:
        """Makes one change of the voters if this replica plans one."""
        cluster_view = self._cluster_view()
        if cluster_view is None:
            return
        self._log_status(cluster_view)
        next_voters = _voter_replacement.plan_next_voters(cluster_view)
        if next_voters is None:
            return
        voters = cluster_view.voters
        is_done = await self._replica.change_voters(next_voters, voters.version)
        self._metrics.count("voters", "changed" if is_done else "not_changed")
        events.write(
            "voters_changed",
            voters=list(voters.voters),
            wanted=list(next_voters),
            version=voters.version,
            outcome="in_force" if is_done else "not_finished",
        )

    async def hand_over(self, send_polls: Callable[[], None]) -> None:
        """Waits until another replica has taken over the vote of this one.

        Ends at once if there is no vote or nobody to take it, and after
        HAND_OVER_TIMEOUT_MS in any case. The replica must go on to answer
        calls meanwhile: its own vote may be needed.

        Args:
            send_polls: Polls all replicas, which tells them of the stop.
        """
        if not self._can_hand_over():
            return
        self.is_leaving = True
        started_ms = self._now_ms()
        send_polls()
        with anyio.move_on_after(HAND_OVER_TIMEOUT_MS / 1000):
            while self._can_hand_over():
                await anyio.sleep(HAND_OVER_CHECK_INTERVAL_MS / 1000)
        voters = self._replica.committed_voters
        has_vote = voters is not None and (
            self._own_replica.identity in voters.all_voters()
        )
        outcome = "kept" if has_vote else "handed_over"
        self._metrics.count("vote", outcome)
        events.write(
            "vote_at_stop",
            outcome=outcome,
            spent_ms=self._now_ms() - started_ms,
        )

    def _can_hand_over(self) -> bool:
        cluster_view = self._cluster_view()
        return cluster_view is not None and _voter_replacement.can_hand_over(
            cluster_view
        )

    def _cluster_view(self) -> _voter_replacement.ClusterView | None:
        """Returns what the plan is based on, None without a voter set."""
        voters = self._replica.committed_voters
        if voters is None:
            return None
        now_ms = self._now_ms()
        listening_since_ms = self._lease_watch.listening_since_ms
        return _voter_replacement.ClusterView(
            self._own_replica,
            voters,
            self._seen_replicas,
            now_ms if listening_since_ms is None else listening_since_ms,
            self._minimum_voter_count,
            now_ms,
            self.is_leaving,
        )

    def _log_status(self, cluster_view: _voter_replacement.ClusterView) -> None:
        """Logs which voters are alive whenever that changes."""
        status = _voter_replacement.voter_status(cluster_view)
        if status == self._status:
            return
        self._status = status
        if not status.is_quorum_alive:
            self._metrics.count("voters", "no_quorum")
        events.write(
            "voters_seen",
            version=status.voters.version,
            voters=list(status.voters.voters),
            next_voters=list(status.voters.next_voters),
            live_voters=list(status.live_voters),
            standbys=list(status.standbys),
            is_quorum_alive=status.is_quorum_alive,
        )
