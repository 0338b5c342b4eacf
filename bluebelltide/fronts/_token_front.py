"""The packet front for fabrics whose packets carry a target's token.

The front forwards each packet of a caller to the target that the token in the
packet names; for an opening packet it chooses a target. Targets answer callers
directly. The packet layout depends on the fabric, so a codec of plain functions
is passed in.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from bluebelltide import _codes
from bluebelltide import _types
from bluebelltide.catalogue import _deployment
from bluebelltide.fronts import _token_packets
from bluebelltide.fronts import _token_reports
from bluebelltide.placement import TRANSMISSION_TIMES_MS
from bluebelltide.placement import CallerNeeds
from bluebelltide.placement import HeldPacket
from bluebelltide.placement import HeldPacketQueue
from bluebelltide.placement import LatencyBudget
from bluebelltide.placement import Placement
from bluebelltide.placement import PlacementOutcome
from bluebelltide.placement import Placer
from bluebelltide.placement import Refusal
from bluebelltide.placement import ReleaseOrder
from bluebelltide.placement import _affinity
from bluebelltide.placement import _changing_targets
from bluebelltide.placement import find_refusal_reason
from bluebelltide.placement import needs_order


class TargetEndpoint(NamedTuple):
    """What the front needs to forward packets to the target of a token."""

    label: bytes
    """The label that precedes each packet."""
    address: tuple[str, int]
    """The address and port at which the target receives packets."""
    target_id: _types.TargetId
    """The target's id, for logs."""
    service: _types.ServiceName
    """The target's service."""


class _RoutedPacket(NamedTuple):
    """An opening packet with its route and service."""

    packet: _token_packets.TokenPacket
    data: bytes
    route: _deployment.Route
    service: _types.ServiceName


NO_PLACEMENT = Placement(PlacementOutcome.NO_TARGET, 0)
"""The placement that is reported for a flow that matches no route."""


SendFunction = Callable[[bytes, tuple[str, int]], bool]
"""Sends a datagram; returns whether the operating system accepted it."""


class TokenFront:
    """Forwards the packets of one entry instance.

    Attributes:
        routes: The routes of the deployment in force, or None before one is
            known.
        has_all_targets: Whether every live target is known. Before that, an
            opening packet without a target is dropped and not refused.
        is_view_current: Whether routes and targets may be relied on. While
            they may not, opening packets are dropped; callers send them again.
    """

    def __init__(
        self,
        codec: _token_packets.PacketCodec,
        placer: Placer,
        send: SendFunction,
        count: Callable[[str, str], None],
        observe: Callable[[str, float], None],
        report_opening: Callable[[_token_reports.OpeningReport], None],
        report_request: Callable[[_token_reports.RequestReport], None],
        report_end: Callable[[_token_reports.FlowEndReport], None],
    ) -> None:
        """Creates a front without routes and targets.

        Args:
            codec: The fabric's packet layout.
            placer: Chooses targets for opening packets.
            send: Sends a datagram.
            count: Adds one to the counter of a kind and a code.
            observe: Adds a latency in milliseconds to a histogram.
            report_opening: Called with each decision about an opening packet.
            report_request: Called with each packet that begins a request.
            report_end: Called with the end of each flow.
        """
        self._routes: _deployment.RouteTable | None = None
        self._orders: dict[_types.ServiceName, ReleaseOrder] = {}
        self.has_all_targets = False
        self.is_view_current = True
        self._codec = codec
        self._placer = placer
        self._send = send
        self._count = count
        self._observe = observe
        self._report_opening = report_opening
        self._report_request = report_request
        self._report_end = report_end
        self._known: Mapping[int, _types.Target] = {}
        self._endpoints: dict[int, TargetEndpoint] = {}
        self._held_queues: dict[
            _types.ServiceName, HeldPacketQueue[_RoutedPacket]
        ] = {}

    @property
    def routes(self) -> _deployment.RouteTable | None:
        """The routes in force."""
        return self._routes

    @routes.setter
    def routes(self, routes: _deployment.RouteTable | None) -> None:
        self._routes = routes
        ordered = () if routes is None else find_ordered_services(routes)
        # What an order has learnt stays true when the routes change.
        self._orders = {
            service: self._orders.get(service) or ReleaseOrder()
            for service in ordered
        }

    def use_targets(
        self,
        known: Mapping[int, _types.Target],
        accepting: Mapping[int, _types.Target],
    ) -> None:
        """Replaces the known and the accepting targets.

        With the same `ChangingTargets` as before, only their changes are
        walked.

        Args:
            known: Every incarnation that open flows may belong to, by token.
            accepting: The incarnations that accept new flows, by token.
        """
        changed = _changing_targets.find_changed(
            known, self._known, self._endpoints
        )
        self._known = known
        for token in changed:
            target = known.get(token)
            if target is None:
                self._endpoints.pop(token, None)
                continue
            self._endpoints[token] = TargetEndpoint(
                self._codec.make_target_label(target),
                (target.address.host, target.address.port),
                target.target_id,
                target.service,
            )
        self._placer.use_targets(accepting)

    def handle_packet(self, data: bytes, now_ms: int) -> None:
        """Handles one datagram of the fabric.

        Args:
            data: The datagram.
            now_ms: The current time.
        """
        packet = self._codec.parse(data)
        if packet is None:
            self._count("dropped", _codes.DropCode.MALFORMED)
        elif packet.kind == _token_packets.PacketKind.OPENING:
            self._open_flow(packet, data, now_ms)
        else:
            self._forward_by_token(packet, data, now_ms)

    def _forward_by_token(
        self, packet: _token_packets.TokenPacket, data: bytes, now_ms: int
    ) -> None:
        endpoint = self._endpoints.get(packet.token)
        if packet.request_id:
            self._emit_request_report(packet, data, endpoint)
            if endpoint is not None:
                self._placer.note_request(
                    endpoint.service,
                    packet.flow_key,
                    packet.request_id,
                    now_ms,
                )
        if endpoint is None:
            # The caller retransmits the packet; by then the target may be
            # known.
            self._count("dropped", _codes.DropCode.UNKNOWN_TARGET)
            return
        observations = self._placer.observations
        if packet.kind == _token_packets.PacketKind.ENDING:
            flow = observations.note_flow_end(
                packet.flow_key, packet.token, now_ms
            )
            self._placer.update_flow_duration(endpoint.service, flow, now_ms)
            # The caller's acknowledgement may come with the end.
            self._placer.note_response(
                endpoint.service, packet.flow_key, now_ms
            )
            self._report_end(
                _token_reports.FlowEndReport(
                    self._codec.format_flow(data),
                    endpoint.target_id,
                    now_ms - flow.first_seen_ms,
                )
            )
        else:
            answered_flow = observations.note_packet_with_token(
                packet.flow_key, packet.token, now_ms
            )
            if answered_flow is not None:
                self._observe(
                    "handshake_ms", now_ms - answered_flow.first_seen_ms
                )
            elif packet.kind == _token_packets.PacketKind.ACKNOWLEDGEMENT:
                self._placer.note_response(
                    endpoint.service, packet.flow_key, now_ms
                )
        self._send_to_target(data, packet.token, endpoint)
        if (
            packet.kind == _token_packets.PacketKind.ENDING
            and self._held_queues
        ):
            self.release_held_packets(now_ms)

    def _emit_request_report(
        self,
        packet: _token_packets.TokenPacket,
        data: bytes,
        endpoint: TargetEndpoint | None,
    ) -> None:
        target_id = "" if endpoint is None else endpoint.target_id
        flow = self._codec.format_flow(data)
        self._report_request(
            _token_reports.RequestReport(packet.request_id, flow, target_id)
        )

    def _send_to_target(
        self, data: bytes, token: int, endpoint: TargetEndpoint
    ) -> None:
        datagram = self._codec.wrap_for_target(data, token, endpoint.label)
        if not self._send(datagram, endpoint.address):
            self._count("dropped", _codes.DropCode.SEND_FAILED)

    def suspend_openings(self) -> None:
        """Drops held opening packets, and new ones until the view is current.

        Open flows go on: a token stays valid for as long as its target runs.
        """
        self.is_view_current = False
        self._held_queues.clear()

    def _open_flow(
        self, packet: _token_packets.TokenPacket, data: bytes, now_ms: int
    ) -> None:
        if not self.is_view_current:
            self._count("dropped", _codes.DropCode.STALE_VIEW)
            return
        if self.routes is None:
            self._count("dropped", _codes.RefusalCode.NO_CATALOGUE)
            return
        route = self.routes.find(packet.host, packet.port)
        if route is None:
            code = _codes.RefusalCode.UNKNOWN_SERVICE
            self._refuse(packet, data, "", code, NO_PLACEMENT)
            return
        service = _deployment.choose_service(route, packet.flow_key)
        routed = _RoutedPacket(packet, data, route, service)
        waited_ms = TRANSMISSION_TIMES_MS[
            min(packet.retransmissions, len(TRANSMISSION_TIMES_MS) - 1)
        ]
        latency_budget = LatencyBudget(waited_ms, route.latency_goal_ms)
        order = self._orders.get(service)
        if order is not None and packet.retransmissions:
            latency_budget = self._limit_to_share(
                latency_budget, service, now_ms
            )
        elif order is not None:
            order.note_opening(route.name, now_ms)
        self._place_opening_packet(routed, latency_budget, now_ms)

    def _limit_to_share(
        self,
        latency_budget: LatencyBudget,
        service: _types.ServiceName,
        now_ms: int,
    ) -> LatencyBudget:
        """Lets a late caller take only this instance's share of the slots."""
        share = self._placer.estimate_share(service, now_ms)
        return latency_budget._replace(
            queued_rounds=share.queued_rounds,
            may_take_slot=share.free_slots >= 1,
        )

    def _place_opening_packet(
        self,
        routed: _RoutedPacket,
        latency_budget: LatencyBudget | None,
        now_ms: int,
        held_ms: int = 0,
    ) -> None:
        """Sends, holds, refuses or drops an opening packet."""
        packet, _, route, service = routed
        placement = self._placer.place(
            packet.flow_key,
            service,
            packet.retransmissions,
            now_ms,
            latency_budget,
        )
        if placement.is_rate_limited:
            self._count("cold_limit", placement.outcome)
        if placement.outcome == PlacementOutcome.WAIT:
            self._hold(routed, placement, now_ms)
        elif placement.outcome != PlacementOutcome.NO_TARGET:
            self._send_opening_packet(routed, placement, held_ms)
        elif self.has_all_targets:
            code = _codes.RefusalCode.NO_TARGET
            self._refuse(packet, routed.data, route.name, code, placement)
        else:
            self._count("dropped", _codes.DropCode.NO_TARGET)

    def _hold(
        self, routed: _RoutedPacket, placement: Placement, now_ms: int
    ) -> None:
        """Holds the opening packet of a late caller until a slot is free.

        Callers that are not late get free slots first.
        """
        packet, data, route, service = routed
        order = self._orders.get(service)
        if order is not None and service not in self._held_queues:
            order.note_first_held(now_ms)
        queue = self._held_queues.setdefault(service, HeldPacketQueue())
        retransmissions = min(
            packet.retransmissions, len(TRANSMISSION_TIMES_MS) - 1
        )
        held_packet = HeldPacket(
            packet.flow_key,
            TRANSMISSION_TIMES_MS[retransmissions],
            retransmissions,
            now_ms,
            routed,
            make_needs(route),
        )
        if queue.hold(held_packet):
            self._count("placed", placement.outcome)
            self._emit_opening_report(routed, placement, "", 0)
        else:
            code = _codes.RefusalCode.OVERLOAD
            self._refuse(packet, data, route.name, code, placement)

    def target_id_of(self, token: int) -> _types.TargetId:
        """Returns the id of a token's target, for logs; empty if unknown."""
        endpoint = self._endpoints.get(token)
        return "" if endpoint is None else endpoint.target_id

    @property
    def held_packet_count(self) -> int:
        """How many opening packets are held for a free slot."""
        return sum(map(len, self._held_queues.values()))

    def release_held_packets(self, now_ms: int) -> None:
        """Releases held opening packets.

        A held packet is placed when a slot is free, and dropped when its hold
        time ends. Only the last retransmission to a service without a release
        order is then placed in any case. Services with a release order also
        refuse packets that no slot will reach in time.

        Args:
            now_ms: The current time.
        """
        for service, queue in list(self._held_queues.items()):
            self._release_from_queue(service, queue, now_ms)
            if not len(queue):
                del self._held_queues[service]

    def _release_from_queue(
        self,
        service: _types.ServiceName,
        queue: HeldPacketQueue[_RoutedPacket],
        now_ms: int,
    ) -> None:
        order = self._orders.get(service)
        # Without targets, waiting would only delay the refusal.
        if order is not None and self._placer.has_targets(service):
            self._release_in_order(service, queue, order, now_ms)
            return
        allowance = self._placer.release_allowance(service, now_ms)
        if not self._placer.has_targets(service):
            allowance = len(queue)

        def try_place(
            packet: HeldPacket[_RoutedPacket], may_wait: bool
        ) -> bool:
            nonlocal allowance
            if may_wait and (
                allowance <= 0 or self._placer.is_rate_limited(service, now_ms)
            ):
                return False
            if not may_wait and not packet.is_last_retransmission:
                # The caller's next retransmission is due.
                self._count("dropped", _codes.DropCode.NO_SLOT)
                return True
            allowance -= 1
            self._place_held(packet, now_ms)
            return True

        queue.release(try_place, now_ms)

    def _place_held(
        self, packet: HeldPacket[_RoutedPacket], now_ms: int
    ) -> None:
        held_ms = now_ms - packet.arrived_ms
        self._place_opening_packet(packet.context, None, now_ms, held_ms)

    def _release_in_order(
        self,
        service: _types.ServiceName,
        queue: HeldPacketQueue[_RoutedPacket],
        order: ReleaseOrder,
        now_ms: int,
    ) -> None:
        """Releases packets by what callers need, and refuses some others.

        A packet whose hold time ends is dropped, the last retransmission, too:
        in a target's queue it would delay callers that can be in time.
        """
        share = self._placer.estimate_share(service, now_ms)
        allowance = self._placer.draw_allowance(share)
        duration_ms = self._placer.expected_duration_ms(
            service, min(packet.needs.latency_goal_ms for packet in queue)
        )
        waiting = {packet.needs.priority for packet in queue}

        def try_place(
            packet: HeldPacket[_RoutedPacket], may_wait: bool
        ) -> bool:
            nonlocal allowance
            reason = find_refusal_reason(packet, now_ms, duration_ms)
            if reason == _codes.RefusalCode.DEADLINE:
                self._give_up(packet, now_ms)
                return True
            if not may_wait:
                self._drop_held(packet, _codes.DropCode.NO_SLOT, now_ms)
                return True
            if allowance <= 0 or self._placer.is_rate_limited(service, now_ms):
                return False
            allowance -= 1
            order.note_release(packet.needs.priority, waiting, now_ms)
            self._place_held(packet, now_ms)
            return True

        ordered = order.sort(queue, duration_ms, now_ms)
        remaining = queue.release(try_place, now_ms, ordered)
        for refusal in order.find_refusals(
            remaining, self._may_reset, share.slots, duration_ms, now_ms
        ):
            queue.remove(refusal.packet.key)
            self._refuse_held(refusal, now_ms)

    def _may_reset(self, packet: HeldPacket[_RoutedPacket]) -> bool:
        """Returns whether the flow of a held packet may be reset.

        No target has received the flow's opening packet from this instance.
        An earlier transmission may have gone through another instance, though,
        to a target whose answer is late. Then the request may still run after
        the reset, which is harmless only if it may run more than once.
        """
        is_known = self._placer.observations.find_flow(packet.key) is not None
        return packet.context.route.is_repeatable and not is_known

    def _give_up(
        self,
        packet: HeldPacket[_RoutedPacket],
        now_ms: int,
    ) -> None:
        """Refuses or drops a request that cannot finish before its timeout."""
        if self._may_reset(packet):
            code = _codes.RefusalCode.DEADLINE
            self._refuse_held(Refusal(packet, code, 0, 0), now_ms)
        else:
            self._drop_held(packet, _codes.DropCode.DEADLINE, now_ms)

    def _drop_held(
        self, packet: HeldPacket[_RoutedPacket], code: str, now_ms: int
    ) -> None:
        self._count("dropped", code)
        held_ms = now_ms - packet.arrived_ms
        self._emit_opening_report(
            packet.context, NO_PLACEMENT, "", held_ms, f"dropped_{code}"
        )

    def _refuse_held(
        self, refusal: Refusal[_RoutedPacket], now_ms: int
    ) -> None:
        packet = refusal.packet
        self._refuse(
            packet.context.packet,
            packet.context.data,
            packet.context.route.name,
            refusal.code,
            NO_PLACEMENT,
            now_ms - packet.arrived_ms,
            _token_reports.ExpectedRelease(
                refusal.position, refusal.expected_wait_ms
            ),
        )

    def _send_opening_packet(
        self, routed: _RoutedPacket, placement: Placement, held_ms: int
    ) -> None:
        endpoint = self._endpoints[placement.token]
        self._count("placed", placement.outcome)
        self._emit_opening_report(
            routed, placement, endpoint.target_id, held_ms
        )
        self._send_to_target(routed.data, placement.token, endpoint)

    def _emit_opening_report(
        self,
        routed: _RoutedPacket,
        placement: Placement,
        target_id: _types.TargetId,
        held_ms: int,
        outcome: str = "",
    ) -> None:
        assert self.routes is not None
        self._report_opening(
            _token_reports.OpeningReport(
                self._codec.format_flow(routed.data),
                routed.packet.retransmissions,
                routed.route.name,
                self.routes.deployment.version,
                routed.service,
                target_id,
                outcome or placement.outcome,
                placement,
                held_ms,
            )
        )

    def _refuse(
        self,
        packet: _token_packets.TokenPacket,
        data: bytes,
        route_name: str,
        code: str,
        placement: Placement,
        held_ms: int = 0,
        expected_release: _token_reports.ExpectedRelease | None = None,
    ) -> None:
        """Refuses an opening packet with a reset.

        The flow is not open yet, so nothing of its request has run.
        """
        assert self.routes is not None
        self._count("refused", code)
        self._report_opening(
            _token_reports.OpeningReport(
                self._codec.format_flow(data),
                packet.retransmissions,
                route_name,
                self.routes.deployment.version,
                "",
                "",
                code,
                placement,
                held_ms,
                expected_release,
            )
        )
        reset, caller = self._codec.make_reset(data)
        self._send(reset, caller)


def make_needs(route: _deployment.Route) -> CallerNeeds:
    """Returns what the callers of a route need."""
    return CallerNeeds(
        route.name, route.priority, route.latency_goal_ms, route.timeout_ms
    )


def find_ordered_services(
    routes: _deployment.RouteTable,
) -> list[_types.ServiceName]:
    """Returns the services whose held callers are released by their needs."""
    needs: dict[_types.ServiceName, list[CallerNeeds]] = {}
    for route in routes.deployment.routes:
        for share in route.shares:
            if share.weight:
                needs.setdefault(share.service, []).append(make_needs(route))
    return [service for service, all_ in needs.items() if needs_order(all_)]


def index_targets_by_token(
    incarnations: list[_types.Target], live: list[_types.Target]
) -> tuple[dict[int, _types.Target], dict[int, _types.Target]]:
    """Indexes targets by the tokens of their incarnations.

    Args:
        incarnations: Every incarnation that open flows may belong to.
        live: The targets that have not left.

    Returns:
        All targets by token, and those that accept new flows by token.
    """
    known = _affinity.assign_tokens(incarnations)
    live_targets = set(live)
    accepting = {
        token: target
        for token, target in known.items()
        if target in live_targets
        and target.state != _types.TargetState.DRAINING
    }
    return known, accepting
