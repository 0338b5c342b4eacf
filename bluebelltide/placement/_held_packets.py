"""Opening packets that wait for a free slot, so that others are not late.

After an outage all callers come back at once. Those that have waited longer
than their latency aim are late whatever happens; if they took every slot, the
callers that come now would be late, too. So they wait for slots that nobody
else needs, the longest wait first. Pure: times are passed in.
"""

from collections.abc import Callable, Iterator
from typing import Generic, NamedTuple, TypeVar

from bluebelltide.placement import _observations

MAXIMUM_HELD_PACKETS = 4000
"""Upper bound of held openings; more are placed at once."""
HOLD_TIMES_MS = (180, 370)
"""How long the first packet and the first copy are held; the next copy, which
may come through another instance, must find them released."""
LAST_HOLD_TIME_MS = 600
"""How long the last copy is held; then the caller still takes an answer."""

ContextT = TypeVar("ContextT")


class HeldPacket(NamedTuple, Generic[ContextT]):
    """An opening packet that waits."""

    key: _observations.FlowKey
    """The flow."""
    waited_ms: int
    """How long the caller had waited when it sent the packet."""
    retransmissions: int
    """How often the caller had sent it before."""
    arrived_ms: int
    """When it came."""
    context: ContextT
    """What the owner of the queue needs to place it."""

    @property
    def hold_until_ms(self) -> int:
        """Until when it may be held."""
        if self.is_last_retransmission:
            return self.arrived_ms + LAST_HOLD_TIME_MS
        return self.arrived_ms + HOLD_TIMES_MS[self.retransmissions]

    @property
    def is_last_retransmission(self) -> bool:
        """Whether the caller repeats it no more."""
        return self.retransmissions >= len(HOLD_TIMES_MS)


TryPlaceFunction = Callable[[HeldPacket[ContextT], bool], bool]
"""Places an opening, if a slot is free or it must not be held any longer;
returns whether it is done with."""


class HeldPacketQueue(Generic[ContextT]):
    """The openings that one instance holds."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._by_key: dict[_observations.FlowKey, HeldPacket[ContextT]] = {}

    def __len__(self) -> int:
        """Returns how many openings are held."""
        return len(self._by_key)

    def __iter__(self) -> Iterator[HeldPacket[ContextT]]:
        """Iterates over the openings, the longest wait first."""
        return iter(
            sorted(
                self._by_key.values(),
                key=lambda held: held.arrived_ms - held.waited_ms,
            )
        )

    def hold(self, packet: HeldPacket[ContextT]) -> bool:
        """Takes an opening; a copy replaces the one before.

        Args:
            packet: The opening packet.

        Returns:
            Whether there was room.
        """
        if len(self) >= MAXIMUM_HELD_PACKETS and packet.key not in self._by_key:
            return False
        self._by_key[packet.key] = packet
        return True

    def remove(self, key: _observations.FlowKey) -> None:
        """Removes an opening, if it is held."""
        self._by_key.pop(key, None)

    def release(
        self, try_place: TryPlaceFunction[ContextT], now_ms: int
    ) -> None:
        """Offers each opening to a function that places it.

        Args:
            try_place: Places an opening; its second argument tells whether
                the opening may be held any longer.
            now_ms: The present time.
        """
        for opening in self:
            may_wait = now_ms < opening.hold_until_ms
            if try_place(opening, may_wait) or not may_wait:
                self.remove(opening.key)
