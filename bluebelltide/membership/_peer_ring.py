"""Chooses which entry instances report their load to each other.

In a small deployment each instance reports to all others. In a larger one the
instances form a ring, ordered by a hash of their addresses, and an instance
reports to a few others at growing distances in the ring. So each sends and
receives the same small number of reports, however many instances there are,
and news still reaches a data centre in a few steps.

Reports of more peers do not place flows better: by the time that many
instances know of a target with a free slot, all of them have used it.
"""

import bisect
from collections.abc import Mapping
import hashlib
from typing import NamedTuple

FULL_MESH_INSTANCES = 20
"""Up to this number of instances each one reports to all others. A small
deployment that is rolled or extended must not change its mode meanwhile."""
LOCAL_PEERS = 4
"""How many instances of its data centre an instance reports to otherwise."""
LOCAL_DISTANCES = (1, 3, 9, 27, 2, 5)
"""How far from it in the ring these are: the first ones that fit into the ring.
The distances are fixed, so that an instance that joins changes the peers of a
bounded number of others."""
REMOTE_PEERS = 2
"""How many instances of other data centres an instance reports to
otherwise."""


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
        if self.instance_count <= FULL_MESH_INSTANCES:
            return Peers(
                _successors(local_ring, host),
                self._remote_successors(host, data_centre, len(self._ring)),
            )
        return Peers(
            _at_distances(_successors(local_ring, host)),
            self._remote_successors(host, data_centre, REMOTE_PEERS),
        )

    def rank_of(self, host: str) -> int | None:
        """Returns the place of an instance in the ring; None if unknown."""
        entry = (_ring_position(host), host)
        rank = bisect.bisect_left(self._ring, entry)
        is_known = rank < len(self._ring) and self._ring[rank] == entry
        return rank if is_known else None

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


def _successors(ring: list[tuple[bytes, str]], host: str) -> tuple[str, ...]:
    """Returns the other instances, in the order in which they follow one."""
    start = bisect.bisect_left(ring, (_ring_position(host), host))
    following = ring[start:] + ring[:start]
    return tuple(other for _, other in following if other != host)


def _at_distances(others: tuple[str, ...]) -> tuple[str, ...]:
    """Returns the instances at LOCAL_DISTANCES, or all others if they are few.

    The distances are the same for all instances of a ring, so an instance is
    chosen by as many others as it chooses.
    """
    if len(others) <= LOCAL_PEERS:
        return others
    fitting = [one for one in LOCAL_DISTANCES if one <= len(others)]
    return tuple(others[distance - 1] for distance in fitting[:LOCAL_PEERS])
