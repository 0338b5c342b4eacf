"""Chooses targets for opening packets and their retransmissions.

A caller that gets no answer retransmits its opening packet. A retransmission
goes to the target of the first transmission: if two targets answered, the
caller could return the token of one and acknowledge the other. It goes to
another target only if the first one is leaving, is gone or does not answer.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from enum import StrEnum
import math
from typing import NamedTuple

from bluebelltide import _types
from bluebelltide.placement import _changing_targets
from bluebelltide.placement import _choice
from bluebelltide.placement import _cold_rate_limit
from bluebelltide.placement import _observations
from bluebelltide.placement import _observed_flow
from bluebelltide.placement import _pace
from bluebelltide.placement import _slot_share

LAST_RETRANSMISSION = 2
"""The number of the last retransmission that a caller sends."""
TRANSMISSION_TIMES_MS = (0, 200, 600)
"""When a caller sends its opening packet and each retransmission.

The times count from the first transmission.
"""
INITIAL_DURATION_SHARE = 0.25
"""Assumed duration of a flow, as a share of the caller's latency goal.

It applies until a flow of the service has been measured.
"""
IDLE_FLOW_LOAD = 0.1
"""The load of an idle flow, compared with one whose request runs. Idle flows
are spread over the targets, since any of them may go on at any time."""
DURATION_SMOOTHING = 0.05
"""The weight of one flow in the mean flow duration of a service."""


class PlacementOutcome(StrEnum):
    """What was decided about an opening packet, and why."""

    NEW = "new"
    """A new flow went to the target with the lowest cost, or to a ramping one
    that was drawn."""
    RETRANSMISSION = "copy"
    """A retransmission went to the target of the first transmission."""
    MOVED = "moved"
    """A new choice replaced the flow's earlier target."""
    NO_TARGET = "no_target"
    """No target of the service is known to take new flows."""
    WAIT = "wait"
    """Nothing was placed: the caller would be late and no slot is free, or the
    rate limits of all targets are used up."""


class Placement(NamedTuple):
    """The decision about one opening packet."""

    outcome: PlacementOutcome
    """What was decided."""
    token: int
    """The chosen target's token; 0 if there is none."""
    own_flows: int = 0
    """The target's open flows before this one, counted by this instance."""
    peer_flows: int = 0
    """The target's open flows that other instances reported."""
    candidate_count: int = 0
    """How many targets were eligible for the flow."""
    is_rate_limited: bool = False
    """Whether all of them were cold and their rate limits used up."""


class LatencyBudget(NamedTuple):
    """The latency goal of a caller and how much of it has passed."""

    waited_ms: int
    """How long the caller has waited for an answer."""
    latency_goal_ms: int
    """The latency that flows of the route should not exceed."""
    queued_rounds: float = 0.0
    """How long the flow queues at least, in rounds."""
    may_take_slot: bool = True
    """Whether the caller may take a free slot if it would be late."""


class Placer:
    """Chooses targets for one instance.

    Attributes:
        observations: What the instance sees of flows and targets.
        peer_flows: Open flows that other instances reported, by token.
        peer_idle_flows: Those of them that are idle.
        peer_count: How many other instances share the targets.
        reporting_instances: How many instances the known flows come from,
            this one included; 0 if from all that share the targets.
        paces: The paces of started and recovered targets; None if they are
            not found from the targets' answers.
        cold_rate_limit: Limits the flows that are opened at cold targets.
    """

    def __init__(
        self,
        data_centre: str,
        draw: Callable[[], float],
        paces: _pace.Paces | None,
    ) -> None:
        """Creates the placer; use `create_placer`."""
        self.observations = _observations.Observations()
        self.paces = paces
        self.cold_rate_limit = _cold_rate_limit.ColdRateLimit()
        if paces is not None:
            self.observations.note_ejection = paces.note_ejection
            self.observations.is_on_trial = paces.is_ramping
        self.peer_flows: dict[int, int] = {}
        self.peer_idle_flows: dict[int, int] = {}
        self.peer_count = 0
        self.reporting_instances = 0
        self._data_centre = data_centre
        self._draw = draw
        self._by_service: dict[str, dict[int, _types.Target]] = {}
        self._targets: Mapping[int, _types.Target] = {}
        self._accepting: dict[int, _types.Target] = {}
        self._slot_count = 0
        self._mean_duration_ms: dict[str, float] = {}
        self._multi_request_services: set[str] = set()

    def use_targets(self, targets: Mapping[int, _types.Target]) -> None:
        """Replaces the targets that accept new flows, by token.

        With the same `ChangingTargets` as before, only its changes are walked.
        """
        changed = _changing_targets.find_changed(
            targets, self._targets, self._accepting
        )
        self._targets = targets
        known_services = {
            service for service, known in self._by_service.items() if known
        }
        changes: list[_changing_targets.TargetChange] = []
        for token in changed:
            previous = self._accepting.pop(token, None)
            if previous is not None:
                del self._by_service[previous.service][token]
                self._slot_count -= previous.slots
            target = targets.get(token)
            if target is not None:
                self._accepting[token] = target
                self._by_service.setdefault(target.service, {})[token] = target
                self._slot_count += target.slots
            changes.append(
                _changing_targets.TargetChange(token, previous, target)
            )
        self.cold_rate_limit.use_changes(changes)
        if self.paces is not None:
            self.paces.use_changes(changes, known_services)

    def has_targets(self, service: str) -> bool:
        """Returns whether any target of a service accepts new flows."""
        return bool(self._by_service.get(service))

    def update_flow_duration(
        self, service: str, flow: _observed_flow.ObservedFlow, now_ms: int
    ) -> None:
        """Updates the mean flow duration of a service when a flow ends.

        Flows that found no free slot are ignored, as their duration includes
        the wait for one.
        """
        if not (flow.was_slot_free and flow.is_answered):
            return
        open_ms = now_ms - flow.first_seen_ms
        mean_ms = self._mean_duration_ms.get(service, float(open_ms))
        mean_ms += DURATION_SMOOTHING * (open_ms - mean_ms)
        self._mean_duration_ms[service] = mean_ms

    def note_request(
        self,
        service: str,
        key: _observed_flow.FlowKey,
        request_id: str,
        now_ms: int,
    ) -> None:
        """Records that a request begins on a flow of a service.

        Once a flow has carried two requests, callers of the service no longer
        wait for free slots: an open flow does not mean a busy slot there.
        """
        if self.observations.note_request(key, request_id, now_ms):
            self._multi_request_services.add(service)
        if self.paces is not None:
            self.paces.note_request(key, now_ms)

    def note_response(
        self, service: str, key: _observed_flow.FlowKey, now_ms: int
    ) -> None:
        """Records that a caller acknowledges a response on a flow.

        Where callers keep flows for many requests, the flow then occupies no
        slot until its next request.
        """
        if self.paces is not None:
            self.paces.note_response(key, now_ms)
        if service in self._multi_request_services:
            self.observations.note_response(key)

    def expected_duration_ms(self, service: str, latency_goal_ms: int) -> float:
        """Returns how long a flow of a service takes that finds a free slot.

        Args:
            service: The service.
            latency_goal_ms: The latency goal of the flow's route, which tells
                the order of magnitude until a flow has been measured.
        """
        return self._mean_duration_ms.get(
            service, latency_goal_ms * INITIAL_DURATION_SHARE
        )

    def note_returned_targets(self, tokens: Iterable[int], now_ms: int) -> None:
        """Records that targets are in use again after an evacuation.

        They may be as slow as after a start, and announce it only later.

        Args:
            tokens: The targets' tokens.
            now_ms: The current time.
        """
        self.cold_rate_limit.note_returned_targets(tokens, now_ms)
        if self.paces is not None:
            self.paces.note_returned_targets(tokens, now_ms)

    def check_overdue_answers(self, now_ms: int) -> None:
        """Finds openings and requests whose answer is overdue."""
        self.observations.check_overdue_answers(now_ms)
        if self.paces is not None:
            self.paces.check(now_ms)

    def _would_be_late(
        self,
        service: str,
        latency_budget: LatencyBudget,
        candidates: Sequence[_choice.Candidate],
    ) -> bool:
        """Returns whether a caller would be late even in the shortest queue."""
        latency_goal_ms = latency_budget.latency_goal_ms
        duration_ms = self.expected_duration_ms(service, latency_goal_ms)
        shortest_rounds = min(
            map(_choice.queued_rounds, candidates), default=0.0
        )
        shortest_rounds = max(shortest_rounds, latency_budget.queued_rounds)
        return (
            latency_budget.waited_ms + (shortest_rounds + 1) * duration_ms
            > latency_goal_ms
        )

    def estimate_utilisation(self, reporting_instances: int) -> float:
        """Returns the share of the slots of all targets that are busy.

        Args:
            reporting_instances: How many instances the known flows come from,
                this one included. All instances are taken to be equally busy.

        Returns:
            The share; above 1 if flows queue.
        """
        own = self.observations
        known_load = _load_of(
            sum(own.open_flows.values()) + sum(self.peer_flows.values()),
            sum(own.idle_flows.values()) + sum(self.peer_idle_flows.values()),
        )
        instances = 1 + self.peer_count
        load = max(0.0, known_load) * instances / reporting_instances
        return load / max(1, self._slot_count)

    def release_allowance(self, service: str, now_ms: int) -> int:
        """Returns how many held packets may be placed now.

        All instances see the same free slots. Each instance uses only its
        share of them, so that together they do not fill the targets' queues.

        Args:
            service: The service.
            now_ms: The current time.
        """
        candidates = [
            self._make_candidate(token, target)
            for token, target in self._remove_limited(
                self._eligible_targets(service, now_ms), now_ms
            )
        ]
        open_flows = self.observations.open_flows
        own_flows = sum(open_flows.get(one.token, 0) for one in candidates)
        free_slots = sum(
            self._pace_share(one.token) * max(0.0, one.slots - one.open_flows)
            for one in candidates
        )
        instances = 1 + self.peer_count
        own_slots = math.ceil(sum(one.slots for one in candidates) / instances)
        own_share = max(
            own_slots - own_flows, int(free_slots / instances + self._draw())
        )
        return max(0, min(int(free_slots), own_share))

    def estimate_share(
        self, service: str, now_ms: int
    ) -> _slot_share.SlotShare:
        """Estimates what this instance may use of a service's slots.

        Args:
            service: The service.
            now_ms: The current time.
        """
        eligible = self._eligible_targets(service, now_ms)
        slots = sum(target.slots for _, target in eligible)
        open_flows = self.observations.open_flows
        own_flows = sum(open_flows.get(token, 0) for token, _ in eligible)
        known_flows = own_flows + sum(
            self.peer_flows.get(token, 0) for token, _ in eligible
        )
        instances = 1 + self.peer_count
        return _slot_share.estimate_share(
            slots,
            own_flows,
            known_flows,
            instances,
            self.reporting_instances or instances,
        )

    def draw_allowance(self, share: _slot_share.SlotShare) -> int:
        """Returns how many flows may be placed now; fractions at random."""
        return int(share.free_slots + self._draw())

    def place(
        self,
        key: _observed_flow.FlowKey,
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
            now_ms: The current time.
            latency_budget: The caller's latency goal and wait, if the packet
                may wait for a free slot once the caller would be late; None
                if the packet must be placed now.

        Returns:
            The decision. A placed packet counts as an open flow from now on.
        """
        observations = self.observations
        observations.check_overdue_answers(now_ms)
        flow = observations.find_flow(key)
        if flow is not None and self._may_keep_target(
            flow, retransmissions, now_ms
        ):
            self.cold_rate_limit.note_opening(flow.token, now_ms)
            return Placement(PlacementOutcome.RETRANSMISSION, flow.token)
        outcome = (
            PlacementOutcome.NEW if flow is None else PlacementOutcome.MOVED
        )
        eligible = self._eligible_targets(service, now_ms)
        usable = self._remove_limited(eligible, now_ms)
        if eligible and not usable:
            return Placement(
                PlacementOutcome.WAIT
                if latency_budget
                else PlacementOutcome.NO_TARGET,
                0,
                candidate_count=len(eligible),
                is_rate_limited=True,
            )
        candidates = self._make_paced_candidates(usable, retransmissions)
        if service in self._multi_request_services or retransmissions == 0:
            # A first transmission does not wait for a free slot: if the
            # estimate of queues or of flow durations were wrong, every caller
            # would be late.
            latency_budget = None
        if latency_budget and self._would_be_late(
            service, latency_budget, candidates
        ):
            candidates = [
                one
                for one in candidates
                if latency_budget.may_take_slot and _choice.has_free_slot(one)
            ]
            if eligible and not candidates:
                return Placement(
                    PlacementOutcome.WAIT, 0, candidate_count=len(eligible)
                )
        token = _choice.choose_target(candidates, self._draw())
        if token is None:
            return Placement(PlacementOutcome.NO_TARGET, 0)
        own_flows = observations.open_flows.get(token, 0)
        chosen = next(one for one in candidates if one.token == token)
        self.cold_rate_limit.note_opening(token, now_ms)
        if self.paces is not None:
            self.paces.note_opening(key, service, token, now_ms)
        observations.note_opening_packet(
            key,
            token,
            now_ms,
            was_slot_free=_choice.has_free_slot(chosen),
            is_first_choice=retransmissions == 0,
        )
        return Placement(
            outcome,
            token,
            own_flows,
            self.peer_flows.get(token, 0),
            len(eligible),
        )

    def _may_keep_target(
        self,
        flow: _observed_flow.ObservedFlow,
        retransmissions: int,
        now_ms: int,
    ) -> bool:
        """Returns whether a packet goes to the flow's current target."""
        observations = self.observations
        if retransmissions == 0:
            return False
        if flow.is_answered:
            return True
        if flow.token not in self._accepting:
            return False
        if (
            retransmissions >= LAST_RETRANSMISSION
            and not observations.has_answered_since(
                flow.token, flow.first_seen_ms
            )
        ):
            return False
        return not observations.is_ejected(flow.token, now_ms)

    def _eligible_targets(
        self, service: str, now_ms: int
    ) -> Sequence[tuple[int, _types.Target]]:
        """Returns a service's targets that are not ejected, or else all."""
        targets = self._by_service.get(service, {}).items()
        observations = self.observations
        eligible = [
            pair
            for pair in targets
            if not observations.is_ejected(pair[0], now_ms)
        ]
        # If no target answers, the links of this instance are the likely
        # cause, and there is no better choice.
        return eligible or list(targets)

    def _make_paced_candidates(
        self,
        eligible: Sequence[tuple[int, _types.Target]],
        retransmissions: int,
    ) -> list[_choice.Candidate]:
        """Makes the candidates, or the only one if a ramping one is drawn.

        A ramping target is drawn with the probability that its pace gives. The
        probabilities of all instances add up to its share of the flows,
        whatever each of them knows of the others. Apart from that it is chosen
        only if all others are busier than its pace allows it to be. If too
        many slots ramp, all targets take the load normally.
        """
        candidates = [self._make_candidate(*one) for one in eligible]
        if self.paces is None or not self.paces.ramping:
            return candidates
        ramping = [
            index
            for index, one in enumerate(candidates)
            if one.token in self.paces.ramping
        ]
        if not ramping:
            return candidates
        slots = sum(one.slots for one in candidates)
        ramping_slots = sum(candidates[index].slots for index in ramping)
        if ramping_slots > _pace.MAXIMUM_RAMPING_SHARE * slots:
            return candidates
        point = self._draw() * slots
        for index in ramping:
            one = candidates[index]
            # Where few instances may use the target, each does so more often.
            weight = self.paces.share_of(one.token) * one.slots
            weight *= self.cold_rate_limit.instances_per_allowed(one.token)
            was_drawn = 0 <= point < weight
            if was_drawn and self._may_try(one, retransmissions):
                return [one]
            point -= weight
            usable_share = self.paces.usable_share_of(one.token)
            candidates[index] = one._replace(is_cold=False, pace=usable_share)
        return candidates

    def _may_try(
        self, candidate: _choice.Candidate, retransmissions: int
    ) -> bool:
        """Returns whether one more flow is worth trying at a ramping target.

        A target that left its latest flows unanswered gets one at a time, of
        callers who have lost no time yet.
        """
        if self.observations.is_suspect(candidate.token):
            open_flows = self.observations.open_flows.get(candidate.token, 0)
            return open_flows <= 0 and retransmissions == 0
        return _choice.has_free_slot(candidate)

    def _pace_share(self, token: int) -> float:
        return 1.0 if self.paces is None else self.paces.share_of(token)

    def is_rate_limited(self, service: str, now_ms: int) -> bool:
        """Returns whether rate limits exclude all eligible targets now."""
        eligible = self._eligible_targets(service, now_ms)
        return bool(eligible) and not self._remove_limited(eligible, now_ms)

    def _remove_limited(
        self, eligible: Sequence[tuple[int, _types.Target]], now_ms: int
    ) -> Sequence[tuple[int, _types.Target]]:
        """Removes cold targets at which no flow may be opened now."""
        limit = self.cold_rate_limit
        if not limit.check(now_ms):
            return eligible
        return [pair for pair in eligible if limit.may_open(pair[0], now_ms)]

    def _make_candidate(
        self, token: int, target: _types.Target
    ) -> _choice.Candidate:
        own_flows = self.observations.open_flows.get(token, 0)
        idle_flows = self.observations.idle_flows.get(token, 0)
        idle_flows += self.peer_idle_flows.get(token, 0)
        open_flows = max(
            0.0,
            _load_of(own_flows + self.peer_flows.get(token, 0), idle_flows),
        )
        if self.observations.is_suspect(token):
            # Adds load, so that one flow at a time probes the target.
            open_flows += target.slots * (1 + own_flows)
        return _choice.Candidate(
            token,
            open_flows,
            target.slots,
            target.data_centre == self._data_centre,
            target.cold_remaining_ms > 0 and self._must_expect_slowness(token),
        )

    def _must_expect_slowness(self, token: int) -> bool:
        """Returns whether a cold target has not shown yet how fast it is."""
        return self.paces is None or token in self.paces.ramping


def _load_of(open_flows: int, idle_flows: int) -> float:
    """Returns the load of open flows, of which some are idle."""
    return open_flows - idle_flows * (1 - IDLE_FLOW_LOAD)


def create_placer(
    data_centre: str,
    draw: Callable[[], float],
    paces: _pace.Paces | None = None,
) -> Placer:
    """Creates the placer of an instance.

    Args:
        data_centre: The data centre of the instance.
        draw: Returns a random number, 0 to below 1.
        paces: Finds the pace of started and recovered targets from their
            answers; if None, a target that is cold counts as slower.

    Returns:
        The placer, without targets until `Placer.use_targets`.
    """
    return Placer(data_centre, draw, paces)
