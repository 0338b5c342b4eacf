"""The registry of targets: announcements, leases and who takes new work.

Every entry instance holds a registry. Announcements reach one instance over
HTTP and the others by gossip; the newest `(generation, sequence)` of a target
wins, so order and repetition do not matter. A lease runs from the moment that
an instance first heard of a sequence, so clocks are never compared.
"""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from bluebelltide import _codes
from bluebelltide import _types

RAMP_MS = 10_000
"""How long a cold target's share grows to its full share."""
MINIMUM_SHARE = 0.1
"""The share of a target that has just started."""
GONE_AFTER_LEASES = 2
"""How many missed leases remove a target; one ends its new work."""


class Renewal(NamedTuple):
    """An announcement that changed nothing but its sequence and its load."""

    service: _types.ServiceName
    """The target's service."""
    target_id: _types.TargetId
    """The target."""
    generation: int
    """The generation that is renewed."""
    sequence: int
    """The sequence of the newest announcement."""
    connections: int
    """How many open flows the target reports."""
    load_percent: int
    """Busy slots as the target reports them, in percent of its slots."""


class Known(NamedTuple):
    """One target as the registry holds it."""

    target: _types.Target
    """The newest announcement."""
    heard_ms: int
    """When this instance first heard that sequence."""
    first_heard_ms: int
    """When this instance first heard this generation."""


class TargetAvailability(NamedTuple):
    """What a target may be given now."""

    target: _types.Target
    """The newest announcement."""
    is_accepting: bool
    """Whether it takes new work."""
    share: float
    """Its share of new work, 0 to 1, lower while it ramps from cold."""
    is_local: bool = True
    """Whether it is in the data centre of the instance that asks."""


TargetKey = tuple[_types.ServiceName, _types.TargetId]


def is_material_change(before: _types.Target, after: _types.Target) -> bool:
    """Returns whether more than the sequence and the load has changed."""
    return after._replace(sequence=0, load_percent=0, connections=0) != (
        before._replace(sequence=0, load_percent=0, connections=0)
    )


class TargetRegistry:
    """All targets that this instance knows, of every data centre."""

    def __init__(self) -> None:
        """Creates an empty registry."""
        self._known: dict[TargetKey, Known] = {}
        self._by_service: dict[_types.ServiceName, set[TargetKey]] = {}
        self._dirty: set[_types.ServiceName] = set()
        self._by_address: dict[_types.Address, set[TargetKey]] = {}
        self._told: dict[TargetKey, _types.Target] = {}
        self._changed: dict[TargetKey, None] = {}
        self._renewed: dict[TargetKey, None] = {}

    def announce(
        self, target: _types.Target, now_ms: int
    ) -> _codes.PeerCode | None:
        """Takes an announcement that arrived from the target itself.

        Args:
            target: The announcement; its key has been checked.
            now_ms: The present time.

        Returns:
            None if it was taken, else why it was refused.
        """
        key = (target.service, target.target_id)
        known = self._known.get(key)
        if known is not None and _rank(target) <= _rank(known.target):
            return _codes.PeerCode.STALE_GENERATION
        is_new_here = known is None or known.target.address != target.address
        if is_new_here and self._is_taken(target, now_ms):
            return _codes.PeerCode.WRONG_SERVICE
        self._take(target, now_ms)
        told = self._told.get(key)
        if told is None or is_material_change(told, target):
            self._told[key] = target
            self._changed[key] = None
        else:
            self._renewed[key] = None
        return None

    def _is_taken(self, target: _types.Target, now_ms: int) -> bool:
        """Returns whether a live target of another service has the address."""
        return any(
            key[0] != target.service
            and not _is_late(self._known[key], now_ms, GONE_AFTER_LEASES)
            for key in self._by_address.get(target.address, ())
        )

    def merge(self, targets: Iterable[_types.Target], now_ms: int) -> bool:
        """Takes announcements from another instance.

        Args:
            targets: The announcements.
            now_ms: The present time.

        Returns:
            Whether any of them was news.
        """
        is_news = False
        for target in targets:
            known = self._known.get((target.service, target.target_id))
            if known is None or _rank(target) > _rank(known.target):
                self._take(target, now_ms)
                is_news = True
        return is_news

    def renew(self, renewals: Iterable[Renewal], now_ms: int) -> None:
        """Takes lease renewals from another instance."""
        for renewal in renewals:
            known = self._known.get((renewal.service, renewal.target_id))
            if known is None or known.target.generation != renewal.generation:
                continue
            if renewal.sequence > known.target.sequence:
                renewed = known.target._replace(
                    sequence=renewal.sequence,
                    connections=renewal.connections,
                    load_percent=renewal.load_percent,
                )
                self._take(renewed, now_ms)

    def _take(self, target: _types.Target, now_ms: int) -> None:
        key = (target.service, target.target_id)
        known = self._known.get(key)
        first_heard_ms = now_ms
        if known is not None and (known.target.generation == target.generation):
            first_heard_ms = known.first_heard_ms
        if known is None or known.target._replace(sequence=0) != (
            target._replace(sequence=0)
        ):
            self._dirty.add(target.service)
        self._drop_address(key)
        self._by_service.setdefault(target.service, set()).add(key)
        self._known[key] = Known(target, now_ms, first_heard_ms)
        self._by_address.setdefault(target.address, set()).add(key)

    def _drop_address(self, key: TargetKey) -> None:
        known = self._known.get(key)
        if known is None:
            return
        keys = self._by_address[known.target.address]
        keys.discard(key)
        if not keys:
            del self._by_address[known.target.address]

    def has_urgent(self) -> bool:
        """Returns whether others must be told of a change at once."""
        return bool(self._changed)

    def take_pending_updates(
        self,
    ) -> tuple[tuple[_types.Target, ...], tuple[Renewal, ...]]:
        """Returns what other instances must be told, and forgets it."""
        changed = tuple(
            self._known[key].target
            for key in self._changed
            if key in self._known
        )
        renewed = tuple(
            _renewal(self._known[key].target)
            for key in self._renewed
            if key not in self._changed and key in self._known
        )
        self._changed = {}
        self._renewed = {}
        return changed, renewed

    def digest(self) -> tuple[Renewal, ...]:
        """Returns the newest sequence of each target."""
        return tuple(_renewal(known.target) for known in self._known.values())

    def summary(self) -> int:
        """Returns a number that is equal where the same targets are known.

        Sequences are left out: they change all the time and are renewed soon.
        """
        text = ";".join(
            f"{service}/{target_id}={known.target.generation}"
            for (service, target_id), known in sorted(self._known.items())
        )
        return xxhash.xxh3_64_intdigest(text.encode())

    def lacks(self, digest: Iterable[Renewal]) -> bool:
        """Returns whether a peer knows a target or generation that is new."""
        for item in digest:
            known = self._known.get((item.service, item.target_id))
            if known is None or known.target.generation < item.generation:
                return True
        return False

    def newer_than(
        self, digest: Iterable[Renewal]
    ) -> tuple[_types.Target, ...]:
        """Returns the targets of which a peer knows less than we do."""
        theirs = {
            (item.service, item.target_id): (item.generation, item.sequence)
            for item in digest
        }
        return tuple(
            known.target
            for key, known in self._known.items()
            if _rank(known.target) > theirs.get(key, (-1, -1))
        )

    def remove_expired(self, now_ms: int) -> list[_types.Target]:
        """Removes and returns targets whose lease is long over."""
        gone = [
            key
            for key, known in self._known.items()
            if _is_late(known, now_ms, GONE_AFTER_LEASES)
        ]
        for key in gone:
            self._told.pop(key, None)
            self._drop_address(key)
            self._by_service[key[0]].discard(key)
            self._dirty.add(key[0])
        return [self._known.pop(key).target for key in gone]

    def find(
        self, service: _types.ServiceName, target_id: _types.TargetId
    ) -> _types.Target | None:
        """Returns a target by its name, or None."""
        known = self._known.get((service, target_id))
        return known.target if known else None

    def target_at(self, address: _types.Address) -> _types.Target | None:
        """Returns the only target at an address, or None."""
        found = [
            self._known[key].target for key in self._by_address.get(address, ())
        ]
        services = {target.service for target in found}
        return found[0] if len(services) == 1 else None

    def targets(self) -> list[_types.Target]:
        """Returns all known targets."""
        return [known.target for known in self._known.values()]

    def availabilities(
        self, service: _types.ServiceName, now_ms: int
    ) -> list[TargetAvailability]:
        """Returns the targets of a service and what they may be given.

        An address that targets of two services claim is contested, after a
        partition for example; neither gets new work until one claim lapses.
        """
        return [
            self._standing(self._known[key], now_ms)
            for key in sorted(self._by_service.get(service, ()))
        ]

    def _standing(self, known: Known, now_ms: int) -> TargetAvailability:
        target = known.target
        is_accepting = (
            target.state != _types.TargetState.DRAINING
            and not _is_late(known, now_ms, 1)
            and not self._is_taken(target, now_ms)
        )
        share = 1.0
        if target.state == _types.TargetState.COLD:
            grown = (now_ms - known.first_heard_ms) / RAMP_MS
            share = max(MINIMUM_SHARE, min(1.0, grown))
        return TargetAvailability(target, is_accepting, share)

    def take_dirty(self) -> set[_types.ServiceName]:
        """Returns services whose targets changed, and forgets them."""
        dirty = self._dirty
        self._dirty = set()
        return dirty


def _rank(target: _types.Target) -> tuple[int, int]:
    return (target.generation, target.sequence)


def _renewal(target: _types.Target) -> Renewal:
    return Renewal(
        target.service,
        target.target_id,
        target.generation,
        target.sequence,
        target.connections,
        target.load_percent,
    )


def _is_late(known: Known, now_ms: int, leases: int) -> bool:
    return now_ms - known.heard_ms > leases * known.target.lease_ms
