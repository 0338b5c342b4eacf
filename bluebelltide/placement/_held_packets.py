"""Queue of opening packets that wait for a free slot of a target.

After an outage all callers come back at once. A caller that has waited longer
than its latency goal is late in any case. If such callers took every slot,
new callers would be late, too. So late callers wait for slots that nobody else
needs; the caller with the longest wait goes first.

The code does no I/O; callers pass in the time.
"""

from collections.abc import Callable, Iterator
from typing import Generic, NamedTuple, TypeVar

from bluebelltide.placement import _observed_flow

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

ContextT = TypeVar("ContextT")


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
                key=lambda packet: packet.arrived_ms - packet.waited_ms,
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
        self, try_place: TryPlaceFunction[ContextT], now_ms: int
    ) -> None:
        """Passes each packet to a function that tries to place it.

        Packets that it places and those whose hold time is over are removed.

        Args:
            try_place: Tries to place a packet.
            now_ms: The current time.
        """
        for packet in self:
            may_wait = now_ms < packet.hold_until_ms
            if try_place(packet, may_wait) or not may_wait:
                self.remove(packet.key)
