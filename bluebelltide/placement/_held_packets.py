"""Queue of opening packets that wait for a free slot of a target.

After an outage all callers come back at once. A caller that has waited longer
than its latency goal is late in any case. If such callers took every slot,
new callers would be late, too. So late callers wait for slots that nobody else
needs. The caller with the longest wait goes first, unless the routes of the
service call for another order (`_release_order`).

The code does no I/O; callers pass in the time.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Generic, NamedTuple, TypeVar

from bluebelltide.placement import _observed_flow
from bluebelltide.placement import _placer

MAXIMUM_HELD_PACKETS = 4000
"""Upper bound of held packets; `HeldPacketQueue.hold` rejects more."""
HOLD_TIMES_MS = (180, 370)
"""How long the first transmission and the first retransmission are held.

Each is shorter than the time until the next retransmission. That one may reach
another instance, so this instance must have released the packet by then.
"""
LAST_HOLD_TIME_MS = 600
"""How long the last retransmission is held.

Afterwards the caller still accepts an answer.
"""

HOLD_LIMIT_MS = _placer.TRANSMISSION_TIMES_MS[-1] + LAST_HOLD_TIME_MS
"""How long after the first transmission a caller may still be held."""

ContextT = TypeVar("ContextT")


class CallerNeeds(NamedTuple):
    """What the callers of a route need."""

    kind: str
    """The kind of request: the name of the route."""
    priority: int
    """0 is the highest priority."""
    latency_goal_ms: int
    """The latency that callers expect."""
    timeout_ms: int
    """How long a request may take, from its first opening packet."""


EQUAL_NEEDS = CallerNeeds("", 0, 0, 0)
"""The needs of callers that are released by longest wait."""


class HeldPacket(NamedTuple, Generic[ContextT]):
    """An opening packet that is held."""

    key: _observed_flow.FlowKey
    """The flow."""
    waited_ms: int
    """How long the caller had waited when it sent the packet."""
    retransmissions: int
    """How often the caller had sent the packet before."""
    arrived_ms: int
    """When the packet arrived."""
    context: ContextT
    """What the owner of the queue needs to place the packet."""
    needs: CallerNeeds = EQUAL_NEEDS
    """What the caller needs."""

    @property
    def began_ms(self) -> int:
        """When the caller sent the first transmission."""
        return self.arrived_ms - self.waited_ms

    @property
    def hold_until_ms(self) -> int:
        """Until when the packet may be held."""
        if self.is_last_retransmission:
            return self.arrived_ms + LAST_HOLD_TIME_MS
        return self.arrived_ms + HOLD_TIMES_MS[self.retransmissions]

    @property
    def is_last_retransmission(self) -> bool:
        """Whether the caller will not send the packet again."""
        return self.retransmissions >= len(HOLD_TIMES_MS)


TryPlaceFunction = Callable[[HeldPacket[ContextT], bool], bool]
"""Tries to place a held packet.

The second argument says whether the packet may be held any longer. Returns
whether the packet leaves the queue.
"""


class HeldPacketQueue(Generic[ContextT]):
    """The opening packets that one instance holds."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._by_key: dict[_observed_flow.FlowKey, HeldPacket[ContextT]] = {}

    def __len__(self) -> int:
        """Returns how many packets are held."""
        return len(self._by_key)

    def __iter__(self) -> Iterator[HeldPacket[ContextT]]:
        """Iterates over the packets; the longest wait comes first."""
        return iter(
            sorted(
                self._by_key.values(),
                key=lambda packet: packet.began_ms,
            )
        )

    def hold(self, packet: HeldPacket[ContextT]) -> bool:
        """Adds a packet, or replaces an earlier transmission of it.

        Args:
            packet: The opening packet.

        Returns:
            Whether there was room.
        """
        if len(self) >= MAXIMUM_HELD_PACKETS and packet.key not in self._by_key:
            return False
        self._by_key[packet.key] = packet
        return True

    def remove(self, key: _observed_flow.FlowKey) -> None:
        """Removes a flow's packet, if it is held."""
        self._by_key.pop(key, None)

    def release(
        self,
        try_place: TryPlaceFunction[ContextT],
        now_ms: int,
        ordered: Iterable[HeldPacket[ContextT]] | None = None,
    ) -> list[HeldPacket[ContextT]]:
        """Passes each packet to a function that tries to place it.

        Packets that it places and those whose hold time is over are removed.

        Args:
            try_place: Tries to place a packet.
            now_ms: The current time.
            ordered: The packets in the order in which they are tried; by
                longest wait if None.

        Returns:
            The packets that are still held, in the same order.
        """
        remaining: list[HeldPacket[ContextT]] = []
        for packet in self if ordered is None else ordered:
            may_wait = now_ms < packet.hold_until_ms
            if try_place(packet, may_wait) or not may_wait:
                self.remove(packet.key)
            else:
                remaining.append(packet)
        return remaining
