"""Order in which held callers get free slots, and who is refused instead.

Callers that can still be in time come first, as a late answer is worth little.
The others follow. Within both groups the priority of the route decides, and a
kind of request that floods yields to the other kinds of its priority. Each
priority that waits gets a minimum share of the released slots, so that none
starves. A caller that no slot will reach in time is refused at once.

The code does no I/O; callers pass in the time.
"""

from collections import deque
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
import math
from typing import Generic, NamedTuple, TypeVar

from bluebelltide import _codes
from bluebelltide.admission import _estimate
from bluebelltide.admission import _limits
from bluebelltide.placement import _held_packets

MINIMUM_SHARE = 0.1
"""The share of the released slots that each waiting priority gets at least."""
RECENT_MS = 2000.0
"""The time constant of the recent openings of a kind."""
USUAL_MS = 60_000.0
"""The time constant of the usual openings of a kind."""
FLOOD_DEVIATIONS = 2.0
"""By how many standard deviations of a Poisson count the recent openings of a
kind must exceed its usual share for it to flood. Small counts vary much by
chance."""
REFUSAL_SHARE = 0.25
"""The share of this instance's slots that refused callers may fill when they
return at once."""
MEASURED_AFTER_MS = 300
"""For how long packets must have been held before the rate of releases is used
to estimate waits."""

ContextT = TypeVar("ContextT")


class Refusal(NamedTuple, Generic[ContextT]):
    """A held packet that no slot will reach in time."""

    packet: _held_packets.HeldPacket[ContextT]
    """The packet."""
    code: _codes.RefusalCode
    """The reason."""
    position: int
    """How many packets were to be released before it."""
    expected_wait_ms: int
    """How long it would have been held."""


def needs_order(needs: Collection[_held_packets.CallerNeeds]) -> bool:
    """Returns whether held callers of a service are released by their needs.

    Args:
        needs: What the callers of each route to the service need.

    Returns:
        Whether the routes differ in priority, or one has a timeout that may
        pass while a caller is held. Otherwise the longest wait comes first.
    """
    has_priorities = len({one.priority for one in needs}) > 1
    return has_priorities or any(
        one.timeout_ms < _held_packets.HOLD_LIMIT_MS + one.latency_goal_ms
        for one in needs
    )


class _DecayingCount:
    """A count in which earlier events weigh exponentially less."""

    def __init__(self, time_constant_ms: float) -> None:
        self._time_constant_ms = time_constant_ms
        self._count = 0.0
        self._updated_ms = 0

    def value(self, now_ms: int) -> float:
        elapsed_ms = max(0, now_ms - self._updated_ms)
        return self._count * math.exp(-elapsed_ms / self._time_constant_ms)

    def add_one(self, now_ms: int) -> None:
        self._count = self.value(now_ms) + 1
        self._updated_ms = now_ms


class OpeningShares:
    """The shares of the kinds of request in the openings of a service."""

    def __init__(self) -> None:
        """Creates the shares of a service without openings."""
        self._recent: dict[str, _DecayingCount] = {}
        self._usual: dict[str, _DecayingCount] = {}

    def note_opening(self, kind: str, now_ms: int) -> None:
        """Counts the first transmission of an opening packet."""
        for counts, time_constant_ms in (
            (self._recent, RECENT_MS),
            (self._usual, USUAL_MS),
        ):
            count = counts.get(kind)
            if count is None:
                count = counts[kind] = _DecayingCount(time_constant_ms)
            count.add_one(now_ms)

    def flooding_kinds(self, now_ms: int) -> set[str]:
        """Returns the kinds that take more than their usual share."""
        recent = {kind: one.value(now_ms) for kind, one in self._recent.items()}
        usual = {kind: one.value(now_ms) for kind, one in self._usual.items()}
        scale = sum(recent.values()) / max(1.0, sum(usual.values()))
        flooding = set()
        for kind, count in recent.items():
            expected = usual[kind] * scale
            if count > expected + FLOOD_DEVIATIONS * math.sqrt(expected):
                flooding.add(kind)
        return flooding


class ReleaseOrder:
    """The release order of the held callers of a service at one instance."""

    def __init__(self) -> None:
        """Creates the order of a service that holds nobody."""
        self._openings = OpeningShares()
        self._credits: dict[int, float] = {}
        self._rate = _estimate.SendRate()
        self._refusals = _limits.TokenBucket()
        self._held_since_ms: int | None = None

    def note_opening(self, kind: str, now_ms: int) -> None:
        """Counts the first transmission of an opening packet of a kind."""
        self._openings.note_opening(kind, now_ms)

    def note_first_held(self, now_ms: int) -> None:
        """Records that a packet is held and none was before."""
        self._held_since_ms = now_ms

    def note_release(
        self, priority: int, waiting: Collection[int], now_ms: int
    ) -> None:
        """Records that a packet got a slot.

        Args:
            priority: The priority of the packet.
            waiting: The priorities that waited for the slot.
            now_ms: The current time.
        """
        self._rate.note_sent(now_ms)
        _settle(self._credits, waiting, priority)

    def sort(
        self,
        packets: Iterable[_held_packets.HeldPacket[ContextT]],
        duration_ms: float,
        now_ms: int,
    ) -> list[_held_packets.HeldPacket[ContextT]]:
        """Returns packets in the order in which they get slots.

        Args:
            packets: The packets.
            duration_ms: How long a flow of the service is expected to take.
            now_ms: The current time.
        """
        flooding = self._openings.flooding_kinds(now_ms)

        def sort_key(
            packet: _held_packets.HeldPacket[ContextT],
        ) -> tuple[bool, int, bool, float]:
            needs = packet.needs
            waited_ms = now_ms - packet.began_ms
            left_ms = needs.latency_goal_ms - duration_ms - waited_ms
            is_late = left_ms < 0
            return (
                is_late,
                needs.priority,
                needs.kind in flooding,
                -waited_ms if is_late else left_ms,
            )

        return guarantee_shares(sorted(packets, key=sort_key), self._credits)

    def find_refusals(
        self,
        ordered: Sequence[_held_packets.HeldPacket[ContextT]],
        may_refuse: Callable[[_held_packets.HeldPacket[ContextT]], bool],
        slots: float,
        duration_ms: float,
        now_ms: int,
    ) -> list[Refusal[ContextT]]:
        """Returns the packets that no slot will reach in time.

        Refused callers return at once, and their next opening packets are not
        held. So that they neither return all at the same time nor displace
        others, they are refused at a limited rate. The rest stays held.

        Args:
            ordered: The packets in the order of release.
            may_refuse: Returns whether a reset of a packet's flow is true.
            slots: This instance's share of the slots.
            duration_ms: How long a flow of the service is expected to take.
            now_ms: The current time.
        """
        interval_ms = self._release_interval_ms(slots, duration_ms, now_ms)
        rate_per_s = REFUSAL_SHARE * slots * 1000 / max(1.0, duration_ms)
        refusals: list[Refusal[ContextT]] = []
        for index, packet in enumerate(ordered):
            position = index - len(refusals)
            wait_ms = position * interval_ms
            code = find_refusal_reason(packet, now_ms + wait_ms, duration_ms)
            if (
                code is not None
                and may_refuse(packet)
                and self._refusals.take(rate_per_s, now_ms)
            ):
                refusals.append(Refusal(packet, code, position, int(wait_ms)))
        return refusals

    def _release_interval_ms(
        self, slots: float, duration_ms: float, now_ms: int
    ) -> float:
        """Returns the expected time between two releases.

        It is the measured one once packets have been held for a while. One
        release more is counted, because a refusal cannot be undone.
        """
        if self._held_since_ms is None:
            # The order has come into force while packets were held.
            self._held_since_ms = now_ms
        held_ms = now_ms - self._held_since_ms
        if held_ms < MEASURED_AFTER_MS:
            return duration_ms / max(1.0, slots)
        sent, span_ms = self._rate.count_sent(now_ms)
        return min(held_ms, span_ms) / (sent + 1)


def find_refusal_reason(
    packet: _held_packets.HeldPacket[ContextT],
    release_ms: float,
    duration_ms: float,
) -> _codes.RefusalCode | None:
    """Returns why a packet need not be held until a time, or None.

    Args:
        packet: The packet.
        release_ms: When it is expected to get a slot.
        duration_ms: How long a flow of the service is expected to take.
    """
    if release_ms + duration_ms > packet.began_ms + packet.needs.timeout_ms:
        return _codes.RefusalCode.DEADLINE
    if release_ms > packet.began_ms + _held_packets.HOLD_LIMIT_MS:
        return _codes.RefusalCode.NO_SLOT_IN_TIME
    return None


def guarantee_shares(
    ordered: Sequence[_held_packets.HeldPacket[ContextT]],
    credits: Mapping[int, float],
) -> list[_held_packets.HeldPacket[ContextT]]:
    """Moves packets forward so that each priority gets its minimum share.

    Args:
        ordered: The packets in order.
        credits: What earlier releases left to each priority; see `_settle`.

    Returns:
        The packets; those of one priority are in the same order as before.
    """
    queues: dict[int, deque[int]] = {}
    for index, packet in enumerate(ordered):
        queues.setdefault(packet.needs.priority, deque()).append(index)
    if len(queues) <= 1:
        return list(ordered)
    left = dict(credits)
    sequence: list[_held_packets.HeldPacket[ContextT]] = []
    while queues:
        priority = max(queues, key=lambda one: left.get(one, 0.0))
        if left.get(priority, 0.0) < 1:
            priority = min(queues, key=lambda one: queues[one][0])
        _settle(left, queues, priority)
        sequence.append(ordered[queues[priority].popleft()])
        if not queues[priority]:
            del queues[priority]
    return sequence


def _settle(
    credits: dict[int, float], waiting: Collection[int], priority: int
) -> None:
    """Accounts for a released slot.

    Each waiting priority is credited its minimum share of the slot. The
    priority that got the slot pays for it, but never goes into debt. A
    priority with a whole slot to its credit is released next.

    Args:
        credits: The credits by priority; changed.
        waiting: The priorities that waited for the slot.
        priority: The priority that got it.
    """
    share = min(MINIMUM_SHARE, 1 / max(1, len(waiting)))
    for one in waiting:
        credits[one] = credits.get(one, 0.0) + share
    credits[priority] = max(0.0, credits.get(priority, 0.0) - 1)
