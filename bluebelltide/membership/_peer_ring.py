"""Chooses which entry instances report their load to each other.

The instances form a ring, ordered by a hash of their addresses. An instance
reports to the next ones in the ring, so each sends and receives the same
bounded number of reports, however many instances there are. When an instance
joins or leaves, only its neighbours get other peers.
"""

import bisect
from collections.abc import Mapping
import hashlib
from typing import NamedTuple

MAXIMUM_LOCAL_PEERS = 16
"""How many instances of its data centre an instance reports to."""
MAXIMUM_REMOTE_PEERS = 16
"""How many instances of other data centres an instance reports to."""


class Peers(NamedTuple):
    """The instances that one instance reports to."""

    local_hosts: tuple[str, ...] = ()
    """Addresses in the instance's data centre, in the order of the ring."""
    remote_hosts: tuple[str, ...] = ()
    """Addresses in other data centres, in the order of the ring."""


def _ring_position(host: str) -> bytes:
    return hashlib.blake2b(host.encode(), digest_size=8).digest()


class PeerRing:
    """The ring of the entry instances that are known at one time.

    Attributes:
        instance_count: The number of instances.
    """

    def __init__(self, data_centres_by_host: Mapping[str, str]) -> None:
        """Creates the ring.

        Args:
            data_centres_by_host: The data centre of each instance.
        """
        self.instance_count = len(data_centres_by_host)
        self._data_centres = dict(data_centres_by_host)
        self._ring = sorted(
            (_ring_position(host), host) for host in data_centres_by_host
        )
        self._local_rings: dict[str, list[tuple[bytes, str]]] = {}
        for entry in self._ring:
            data_centre = data_centres_by_host[entry[1]]
            self._local_rings.setdefault(data_centre, []).append(entry)

    def peers_of(self, host: str, data_centre: str) -> Peers:
        """Returns the instances that an instance reports to.

        Args:
            host: The address of the instance, which need not be in the ring.
            data_centre: The data centre of the instance.
        """
        local_ring = self._local_rings.get(data_centre, [])
        remote_count = len(self._ring) - len(local_ring)
        return Peers(
            _successors(local_ring, host, MAXIMUM_LOCAL_PEERS),
            self._remote_successors(
                host, data_centre, min(remote_count, MAXIMUM_REMOTE_PEERS)
            ),
        )

    def _remote_successors(
        self, host: str, data_centre: str, count: int
    ) -> tuple[str, ...]:
        start = bisect.bisect_left(self._ring, (_ring_position(host), host))
        found: list[str] = []
        for step in range(len(self._ring)):
            if len(found) == count:
                break
            other = self._ring[(start + step) % len(self._ring)][1]
            if self._data_centres[other] != data_centre:
                found.append(other)
        return tuple(found)


def _successors(
    ring: list[tuple[bytes, str]], host: str, count: int
) -> tuple[str, ...]:
    """Returns up to `count` other instances that follow one in a ring."""
    start = bisect.bisect_left(ring, (_ring_position(host), host))
    following = ring[start:] + ring[:start]
    others = [other for _, other in following if other != host]
    return tuple(others[:count])
