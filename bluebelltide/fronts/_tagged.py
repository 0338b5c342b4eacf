"""The packet front for fabrics whose packets carry a target's token.

Each packet of a caller is forwarded to the target that its token names;
opening packets are placed. Targets answer callers directly. The layout of
packets is the fabric's own, so a codec of plain functions is passed in.
"""

from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import NamedTuple

from bluebelltide import _codes
from bluebelltide import _types
from bluebelltide.catalogue import _deployment
from bluebelltide.placement import TRANSMISSION_TIMES_MS
from bluebelltide.placement import HeldPacket
from bluebelltide.placement import HeldPacketQueue
from bluebelltide.placement import LatencyBudget
from bluebelltide.placement import Placement
from bluebelltide.placement import PlacementOutcome
from bluebelltide.placement import Placer
from bluebelltide.placement import _affinity


class PacketKind(StrEnum):
    """What a caller's packet does to its flow."""

    OPENING = "opening"
    """It opens the flow, or repeats the opening."""
    DATA = "data"
    """It carries data or an acknowledgement."""
    ENDING = "ending"
    """The caller ends its side of the flow, or the whole flow."""


class TaggedPacket(NamedTuple):
    """The parts of a caller's packet that decide where it goes."""

    kind: PacketKind
    """What it does."""
    token: int
    """The token that the caller echoes; 0 before it has heard any."""
    flow_key: bytes
    """Both ends of the flow."""
    copy: int
    """How often the opening packet was sent before."""
    host: str
    """The address that the caller sends to."""
    port: int
    """The port that the caller sends to."""
    request_id: str = ""
    """The id of the request that begins in this packet, if it shows."""


class PacketCodec(NamedTuple):
    """The fabric's packet layout, as functions."""

    parse: Callable[[bytes], TaggedPacket | None]
    """Parses a datagram of the fabric; None if it is malformed."""
    name_flow: Callable[[bytes], str]
    """Returns both ends of a packet's flow, readable."""
    label: Callable[[_types.Target], bytes]
    """Returns what precedes a packet to name its intended target."""
    forward: Callable[[bytes, int, bytes], bytes]
    """Makes the datagram for a target of a packet, a token and a label."""
    reset: Callable[[bytes], tuple[bytes, tuple[str, int]]]
    """Makes a reset that answers an opening packet, and its receiver."""


class Receiver(NamedTuple):
    """A target as the packet path needs it."""

    label: bytes
    """What precedes each packet."""
    address: tuple[str, int]
    """Where the target receives."""
    target_id: _types.TargetId
    """The target, for logs."""
    service: _types.ServiceName
    """The target's service."""


class OpeningReport(NamedTuple):
    """One decision about an opening packet, for logs and counters."""

    flow: str
    """Both ends of the flow, readable."""
    copy: int
    """How often the opening packet was sent before."""
    route: str
    """The route's name, or empty."""
    version: int
    """The version of the deployment that decided."""
    service: str
    """The chosen service, or empty."""
    target_id: _types.TargetId
    """The chosen target, or empty."""
    outcome: str
    """What was done and why."""
    placement: Placement
    """What decided."""
    held_ms: int = 0
    """How long the packet waited here for a free slot."""


class _Opening(NamedTuple):
    """An opening packet and what was found out about it."""

    packet: TaggedPacket
    data: bytes
    route: _deployment.Route
    service: _types.ServiceName


REFUSED = Placement(PlacementOutcome.NO_TARGET, 0)
"""Stands for the placement of a flow that no route takes."""


class RequestReport(NamedTuple):
    """The first bytes of a request, for logs."""

    request_id: str
    """The id that they carry."""
    flow: str
    """Both ends of the flow, readable."""
    target_id: _types.TargetId
    """The flow's target, or empty if its token is not known."""


class EndReport(NamedTuple):
    """The end of a flow, for logs and histograms."""

    flow: str
    """Both ends of the flow, readable."""
    target_id: _types.TargetId
    """The flow's target."""
    open_ms: int
    """How long this instance saw the flow."""


SendFunction = Callable[[bytes, tuple[str, int]], bool]
"""Sends a datagram; returns whether the system took it."""


class TaggedFront:
    """Forwards the packets of one entry instance.

    Attributes:
        routes: The deployment in force, or None before one is known.
        is_complete: Whether the targets that are known are all that live, so
            that a packet without a target can be refused.
    """

    def __init__(
        self,
        codec: PacketCodec,
        placer: Placer,
        send: SendFunction,
        count: Callable[[str, str], None],
        observe: Callable[[str, float], None],
        report: Callable[[OpeningReport], None],
        report_request: Callable[[RequestReport], None],
        report_end: Callable[[EndReport], None],
    ) -> None:
        """Creates a front without routes and targets.

        Args:
            codec: The fabric's packet layout.
            placer: Chooses targets.
            send: Sends a datagram.
            count: Adds one to a counter of a kind and code.
            observe: Adds a latency in milliseconds to a histogram.
            report: Takes each decision about an opening packet.
            report_request: Takes the first bytes of each request.
            report_end: Takes the end of each flow.
        """
        self.routes: _deployment.RouteTable | None = None
        self.is_complete = False
        self._codec = codec
        self._placer = placer
        self._send = send
        self._count = count
        self._observe = observe
        self._report = report
        self._report_request = report_request
        self._report_end = report_end
        self._receivers: dict[int, Receiver] = {}
        self._held: dict[_types.ServiceName, HeldPacketQueue[_Opening]] = {}

    def use_targets(
        self,
        known: Mapping[int, _types.Target],
        accepting: Mapping[int, _types.Target],
    ) -> None:
        """Takes the targets.

        Args:
            known: Every incarnation that open flows may belong to, by token.
            accepting: Those that take new flows, by token.
        """
        self._receivers = {
            token: Receiver(
                self._codec.label(target),
                (target.address.host, target.address.port),
                target.target_id,
                target.service,
            )
            for token, target in known.items()
        }
        self._placer.use_targets(accepting)

    def take_packet(self, data: bytes, now_ms: int) -> None:
        """Handles one datagram of the fabric.

        Args:
            data: The datagram.
            now_ms: The present time.
        """
        packet = self._codec.parse(data)
        if packet is None:
            self._count("dropped", _codes.DropCode.MALFORMED)
        elif packet.kind == PacketKind.OPENING:
            self._open_flow(packet, data, now_ms)
        else:
            self._carry(packet, data, now_ms)

    def _carry(self, packet: TaggedPacket, data: bytes, now_ms: int) -> None:
        receiver = self._receivers.get(packet.token)
        if packet.request_id:
            self._tell_request(packet, data, receiver)
            if receiver is not None:
                self._placer.note_request(
                    receiver.service, packet.flow_key, packet.request_id
                )
        if receiver is None:
            # The caller sends it again; by then the target may be known.
            self._count("dropped", _codes.DropCode.UNKNOWN_TARGET)
            return
        seen = self._placer.observations
        if packet.kind == PacketKind.ENDING:
            flow = seen.note_flow_end(packet.flow_key, packet.token, now_ms)
            self._placer.update_flow_duration(receiver.service, flow, now_ms)
            self._report_end(
                EndReport(
                    self._codec.name_flow(data),
                    receiver.target_id,
                    now_ms - flow.first_seen_ms,
                )
            )
        else:
            answered = seen.note_packet_with_token(
                packet.flow_key, packet.token, now_ms
            )
            if answered is not None:
                self._observe("handshake_ms", now_ms - answered.first_seen_ms)
        self._forward(data, packet.token, receiver)
        if packet.kind == PacketKind.ENDING and self._held:
            self.release_held(now_ms)

    def _tell_request(
        self, packet: TaggedPacket, data: bytes, receiver: Receiver | None
    ) -> None:
        target_id = "" if receiver is None else receiver.target_id
        name = self._codec.name_flow(data)
        self._report_request(RequestReport(packet.request_id, name, target_id))

    def _forward(self, data: bytes, token: int, receiver: Receiver) -> None:
        datagram = self._codec.forward(data, token, receiver.label)
        if not self._send(datagram, receiver.address):
            self._count("dropped", _codes.DropCode.SEND_FAILED)

    def _open_flow(
        self, packet: TaggedPacket, data: bytes, now_ms: int
    ) -> None:
        if self.routes is None:
            self._count("dropped", _codes.RefusalCode.NO_CATALOGUE)
            return
        route = self.routes.find(packet.host, packet.port)
        if route is None:
            code = _codes.RefusalCode.UNKNOWN_SERVICE
            self._refuse(packet, data, "", code, REFUSED)
            return
        service = _deployment.choose_service(route, packet.flow_key)
        opening = _Opening(packet, data, route, service)
        waited_ms = TRANSMISSION_TIMES_MS[
            min(packet.copy, len(TRANSMISSION_TIMES_MS) - 1)
        ]
        patience = LatencyBudget(waited_ms, route.latency_aim_ms)
        self._place(opening, patience, now_ms)

    def _place(
        self,
        opening: _Opening,
        patience: LatencyBudget | None,
        now_ms: int,
        held_ms: int = 0,
    ) -> None:
        """Sends an opening packet to a target, refuses it or holds it."""
        packet, _, route, service = opening
        placement = self._placer.place(
            packet.flow_key, service, packet.copy, now_ms, patience
        )
        if placement.outcome == PlacementOutcome.WAIT:
            self._hold(opening, placement, now_ms)
        elif placement.outcome != PlacementOutcome.NO_TARGET:
            self._send_opening(opening, placement, held_ms)
        elif self.is_complete:
            code = _codes.RefusalCode.NO_TARGET
            self._refuse(packet, opening.data, route.name, code, placement)
        else:
            self._count("dropped", _codes.DropCode.NO_TARGET)

    def _hold(
        self, opening: _Opening, placement: Placement, now_ms: int
    ) -> None:
        """Lets a late caller wait for a slot that nobody else needs."""
        packet, data, route, service = opening
        queue = self._held.setdefault(service, HeldPacketQueue())
        copy = min(packet.copy, len(TRANSMISSION_TIMES_MS) - 1)
        held = HeldPacket(
            packet.flow_key, TRANSMISSION_TIMES_MS[copy], copy, now_ms, opening
        )
        if queue.hold(held):
            self._count("placed", placement.outcome)
            self._tell_opening(opening, placement, "", 0)
        else:
            code = _codes.RefusalCode.OVERLOAD
            self._refuse(packet, data, route.name, code, placement)

    @property
    def held_count(self) -> int:
        """How many opening packets wait for a free slot."""
        return sum(map(len, self._held.values()))

    def release_held(self, now_ms: int) -> None:
        """Places the held openings for which there is a slot or no time."""
        for service, queue in list(self._held.items()):
            self._release(service, queue, now_ms)
            if not len(queue):
                del self._held[service]

    def _release(
        self,
        service: _types.ServiceName,
        queue: HeldPacketQueue[_Opening],
        now_ms: int,
    ) -> None:
        left = self._placer.release_allowance(service, now_ms)

        def try_place(held: HeldPacket[_Opening], may_wait: bool) -> bool:
            nonlocal left
            if left <= 0 and may_wait:
                return False
            if not may_wait and not held.is_last_retransmission:
                # The caller's next copy is due.
                self._count("dropped", _codes.DropCode.NO_SLOT)
                return True
            left -= 1
            held_ms = now_ms - held.arrived_ms
            self._place(held.context, None, now_ms, held_ms)
            return True

        queue.release(try_place, now_ms)

    def _send_opening(
        self, opening: _Opening, placement: Placement, held_ms: int
    ) -> None:
        receiver = self._receivers[placement.token]
        self._count("placed", placement.outcome)
        self._tell_opening(opening, placement, receiver.target_id, held_ms)
        self._forward(opening.data, placement.token, receiver)

    def _tell_opening(
        self,
        opening: _Opening,
        placement: Placement,
        target_id: _types.TargetId,
        held_ms: int,
    ) -> None:
        assert self.routes is not None
        self._report(
            OpeningReport(
                self._codec.name_flow(opening.data),
                opening.packet.copy,
                opening.route.name,
                self.routes.deployment.version,
                opening.service,
                target_id,
                placement.outcome,
                placement,
                held_ms,
            )
        )

    def _refuse(
        self,
        packet: TaggedPacket,
        data: bytes,
        route: str,
        code: str,
        placement: Placement,
    ) -> None:
        """Resets a flow that is not open, so that nothing of it has run."""
        assert self.routes is not None
        self._count("refused", code)
        self._report(
            OpeningReport(
                self._codec.name_flow(data),
                packet.copy,
                route,
                self.routes.deployment.version,
                "",
                "",
                code,
                placement,
            )
        )
        reset, caller = self._codec.reset(data)
        self._send(reset, caller)


def known_and_accepting(
    incarnations: list[_types.Target], live: list[_types.Target]
) -> tuple[dict[int, _types.Target], dict[int, _types.Target]]:
    """Splits targets by token into those of open and those of new flows.

    Args:
        incarnations: Every incarnation that is remembered.
        live: The targets that have not left.

    Returns:
        The known targets and the accepting ones, by token.
    """
    known = _affinity.assign_tokens(incarnations)
    alive = set(live)
    accepting = {
        token: target
        for token, target in known.items()
        if target in alive and target.state != _types.TargetState.DRAINING
    }
    return known, accepting
