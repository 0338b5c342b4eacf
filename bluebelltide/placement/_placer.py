"""Where opening packets go, and their copies.

A caller repeats its opening packet when it hears nothing. A copy goes to the
same target, since the caller may hold the token of one answer and acknowledge
another; it goes elsewhere only if that target leaves, is gone or is silent.
"""

from collections.abc import Callable, Mapping, Sequence
from enum import StrEnum
import math
from typing import NamedTuple

from bluebelltide import _types
from bluebelltide.placement import _choice
from bluebelltide.placement import _observations

LAST_RETRANSMISSION = 2
"""The copy with which a caller tries for the last time."""
TRANSMISSION_TIMES_MS = (0, 200, 600)
"""How long a caller has waited when it sends its first packet and each copy."""
INITIAL_DURATION_SHARE = 0.25
"""The share of its aim that a flow is taken to need before any was seen."""
DURATION_SMOOTHING = 0.05
"""The weight of one flow in the mean time that flows of a service take."""


class PlacementOutcome(StrEnum):
    """Why an opening packet went where it went."""

    NEW = "new"
    """The least busy target took a new flow."""
    RETRANSMISSION = "copy"
    """A copy went to the target of the first packet."""
    MOVED = "moved"
    """A copy went to another target, since the first one is unfit."""
    NO_TARGET = "no_target"
    """No target of the service is known to take new flows."""
    WAIT = "wait"
    """The caller is late already and no slot is free; nothing was placed."""


class Placement(NamedTuple):
    """A decision about an opening packet."""

    outcome: PlacementOutcome
    """Why."""
    token: int
    """The chosen target's token; 0 if there is none."""
    own_flows: int = 0
    """Flows that this instance believed to be open there before."""
    peer_flows: int = 0
    """Flows that other instances had reported there."""
    candidate_count: int = 0
    """How many targets were fit for the flow."""


class LatencyBudget(NamedTuple):
    """What a caller has waited, and what it wants."""

    waited_ms: int
    """How long it has waited for an answer."""
    budget_ms: int
    """The latency that its route aims at."""


class Placer:
    """Chooses targets for one instance.

    Attributes:
        observations: What the instance sees of flows and targets.
        peer_flows: Open flows that other instances reported, by token.
        peers: How many other instances report.
    """

    def __init__(self, data_centre: str, draw: Callable[[], float]) -> None:
        """Creates the placer; use `create_placer`."""
        self.observations = _observations.Observations()
        self.peer_flows: dict[int, int] = {}
        self.peer_count = 0
        self._data_centre = data_centre
        self._draw = draw
        self._by_service: Mapping[str, Sequence[tuple[int, _types.Target]]] = {}
        self._accepting: set[int] = set()
        self._mean_duration_ms: dict[str, float] = {}
        self._multi_request_services: set[str] = set()

    def use_targets(self, targets: Mapping[int, _types.Target]) -> None:
        """Takes the targets that accept new flows, by token."""
        by_service: dict[str, list[tuple[int, _types.Target]]] = {}
        for token, target in targets.items():
            by_service.setdefault(target.service, []).append((token, target))
        self._by_service = by_service
        self._accepting = set(targets)

    def update_flow_duration(
        self, service: str, flow: _observations.ObservedFlow, now_ms: int
    ) -> None:
        """Learns from a flow that ended how long a service's flows take.

        Only flows that found a free slot tell; the others waited for one.
        """
        if not (flow.was_slot_free and flow.is_answered):
            return
        open_ms = now_ms - flow.first_seen_ms
        mean_ms = self._mean_duration_ms.get(service, float(open_ms))
        mean_ms += DURATION_SMOOTHING * (open_ms - mean_ms)
        self._mean_duration_ms[service] = mean_ms

    def note_request(
        self, service: str, key: _observations.FlowKey, request_id: str
    ) -> None:
        """Notes that a request begins on a flow of a service.

        Where callers keep flows for many requests, an open flow says nothing
        of a slot, so nobody is made to wait for one.
        """
        if self.observations.note_request(key, request_id):
            self._multi_request_services.add(service)

    def _would_be_late(
        self,
        service: str,
        latency_budget: LatencyBudget,
        candidates: Sequence[_choice.Candidate],
    ) -> bool:
        """Returns whether a caller is late in the shortest line of a target."""
        aim_ms = latency_budget.budget_ms
        service_ms = self._mean_duration_ms.get(
            service, aim_ms * INITIAL_DURATION_SHARE
        )
        shortest = min(map(_choice.queued_rounds, candidates), default=0.0)
        return latency_budget.waited_ms + (shortest + 1) * service_ms > aim_ms

    def release_allowance(self, service: str, now_ms: int) -> int:
        """Returns how many late callers may be placed at once.

        All instances see the same free slots. Each takes its share of them,
        so that together they do not fill the lines of the targets.

        Args:
            service: The service.
            now_ms: The present time.
        """
        candidates = [
            self._make_candidate(token, target)
            for token, target in self._eligible_targets(service, now_ms)
        ]
        open_flows = self.observations.open_flows
        own = sum(open_flows.get(one.token, 0) for one in candidates)
        free = sum(max(0.0, one.slots - one.open_flows) for one in candidates)
        instances = 1 + self.peer_count
        own_share = math.ceil(sum(one.slots for one in candidates) / instances)
        wanted = max(own_share - own, int(free / instances + self._draw()))
        return max(0, min(int(free), wanted))

    def place(
        self,
        key: _observations.FlowKey,
        service: str,
        retransmissions: int,
        now_ms: int,
        latency_budget: LatencyBudget | None = None,
    ) -> Placement:
        """Decides where an opening packet goes.

        Args:
            key: The flow.
            service: The service that the route names.
            retransmissions: How often the caller sent the packet before.
            now_ms: The present time.
            latency_budget: How long the caller has waited and what it wants, if
                it may wait for a free slot once it is late; else it is placed
                in any case.

        Returns:
            The decision; an opening is counted as an open flow.
        """
        seen = self.observations
        seen.check_overdue_answers(now_ms)
        flow = seen.find_flow(key)
        if flow is not None and self._may_keep_target(
            flow, retransmissions, now_ms
        ):
            return Placement(PlacementOutcome.RETRANSMISSION, flow.token)
        outcome = (
            PlacementOutcome.NEW if flow is None else PlacementOutcome.MOVED
        )
        fit = self._eligible_targets(service, now_ms)
        candidates = [
            self._make_candidate(token, target) for token, target in fit
        ]
        if service in self._multi_request_services or retransmissions == 0:
            # Who comes now never waits: a wrong estimate of lines or of how
            # long flows take would make everybody late.
            latency_budget = None
        if latency_budget and self._would_be_late(
            service, latency_budget, candidates
        ):
            candidates = [
                one for one in candidates if _choice.has_free_slot(one)
            ]
            if fit and not candidates:
                return Placement(
                    PlacementOutcome.WAIT, 0, candidate_count=len(fit)
                )
        token = _choice.choose_target(candidates, self._draw())
        if token is None:
            return Placement(PlacementOutcome.NO_TARGET, 0)
        own_flows = seen.open_flows.get(token, 0)
        chosen = next(one for one in candidates if one.token == token)
        seen.note_opening_packet(
            key, token, now_ms, _choice.has_free_slot(chosen)
        )
        return Placement(
            outcome, token, own_flows, self.peer_flows.get(token, 0), len(fit)
        )

    def _may_keep_target(
        self,
        flow: _observations.ObservedFlow,
        retransmissions: int,
        now_ms: int,
    ) -> bool:
        """Returns whether a packet is a copy for the flow's target."""
        seen = self.observations
        if retransmissions == 0:
            return False
        if flow.is_answered:
            return True
        if flow.token not in self._accepting:
            return False
        if (
            retransmissions >= LAST_RETRANSMISSION
            and not seen.has_answered_since(flow.token, flow.first_seen_ms)
        ):
            return False
        return not seen.is_ejected(flow.token, now_ms)

    def _eligible_targets(
        self, service: str, now_ms: int
    ) -> Sequence[tuple[int, _types.Target]]:
        """Returns a service's targets without those that are set aside."""
        targets = self._by_service.get(service, ())
        seen = self.observations
        fit = [pair for pair in targets if not seen.is_ejected(pair[0], now_ms)]
        # If all are silent, this instance's own links are the likely cause,
        # and there is nothing better to choose.
        return fit or targets

    def _make_candidate(
        self, token: int, target: _types.Target
    ) -> _choice.Candidate:
        own_flows = self.observations.open_flows.get(token, 0)
        open_flows = max(0, own_flows + self.peer_flows.get(token, 0))
        if self.observations.is_suspect(token):
            # One flow at a time tries a target that was silent.
            open_flows += target.slots * (1 + own_flows)
        return _choice.Candidate(
            token,
            open_flows,
            target.slots,
            target.data_centre == self._data_centre,
            target.cold_remaining_ms > 0,
        )


def create_placer(data_centre: str, draw: Callable[[], float]) -> Placer:
    """Creates the placer of an instance.

    Args:
        data_centre: The data centre of the instance.
        draw: Returns random numbers, 0 to below 1.

    Returns:
        The placer, which knows no targets yet.
    """
    return Placer(data_centre, draw)
