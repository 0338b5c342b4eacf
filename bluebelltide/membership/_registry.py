"""The registry of targets: announcements, leases and availability.

Every entry instance holds a registry. An announcement reaches one instance
over HTTP and the others by gossip. The highest `(generation, sequence)` of a
target wins, so order and repetition do not matter. A lease runs from the time
at which an instance first receives a sequence, so the clocks of different
machines are never compared.
"""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from bluebelltide import _codes
from bluebelltide import _types

RAMP_MS = 10_000
"""How long the share of a cold target takes to grow to 1."""
MINIMUM_SHARE = 0.1
"""The share of a cold target that has just started."""
REMOVE_AFTER_MISSED_LEASES = 2
"""A target is removed after this many lease times without an announcement;
after one it gets no new flows."""


class Renewal(NamedTuple):
    """An announcement that changes only the sequence and the load."""

    service: _types.ServiceName
    """The target's service."""
    target_id: _types.TargetId
    """The target."""
    generation: int
    """The generation whose lease is renewed."""
    sequence: int
    """The sequence of the newest announcement."""
    connections: int
    """How many open flows the target reports."""
    load_percent: int
    """The reported number of busy slots, in percent of all slots."""


class KnownTarget(NamedTuple):
    """One target of the registry."""

    target: _types.Target
    """The newest announcement."""
    last_received_ms: int
    """When this instance first received the newest sequence."""
    first_received_ms: int
    """When this instance first received the current generation."""
    heard_sequence: int
    """The newest sequence that this instance heard of. A renewal names one
    without the rest of its announcement, so `target` may be older."""


class TargetAvailability(NamedTuple):
    """Whether, and to which extent, a target may get new flows now."""

    target: _types.Target
    """The newest announcement."""
    is_accepting: bool
    """Whether the target may get new flows."""
    share: float
    """The part of its full load that the target may get, from 0 to 1; below 1
    while a cold target ramps up."""
    is_local: bool = True
    """Whether the target is in the same data centre as this instance."""


TargetKey = tuple[_types.ServiceName, _types.TargetId]


def is_material_change(before: _types.Target, after: _types.Target) -> bool:
    """Returns whether anything but the sequence and the load has changed."""
    return after._replace(sequence=0, load_percent=0, connections=0) != (
        before._replace(sequence=0, load_percent=0, connections=0)
    )


class TargetRegistry:
    """The targets of all data centres that this instance knows."""

    def __init__(self) -> None:
        """Creates an empty registry."""
        self._known: dict[TargetKey, KnownTarget] = {}
        self._by_service: dict[_types.ServiceName, set[TargetKey]] = {}
        self._changed_services: set[_types.ServiceName] = set()
        self._by_address: dict[_types.Address, set[TargetKey]] = {}
        # The announcement last queued whole; later ones are compared with it.
        self._last_queued: dict[TargetKey, _types.Target] = {}
        self._pending_changes: dict[TargetKey, None] = {}
        self._pending_renewals: dict[TargetKey, None] = {}

    def announce(
        self, target: _types.Target, now_ms: int
    ) -> _codes.PeerCode | None:
        """Stores an announcement that came directly from the target.

        Args:
            target: The announcement; its key has been checked.
            now_ms: The current time.

        Returns:
            None if it was accepted, else why it was refused.
        """
        key = (target.service, target.target_id)
        known = self._known.get(key)
        if known is not None and _recency(target) <= (
            known.target.generation,
            known.heard_sequence,
        ):
            return _codes.PeerCode.STALE_GENERATION
        is_new_address = known is None or known.target.address != target.address
        if is_new_address and self._has_address_conflict(target, now_ms):
            return _codes.PeerCode.WRONG_SERVICE
        self._store(target, now_ms)
        last_queued = self._last_queued.get(key)
        if last_queued is None or is_material_change(last_queued, target):
            self._last_queued[key] = target
            self._pending_changes[key] = None
        else:
            self._pending_renewals[key] = None
        return None

    def _has_address_conflict(self, target: _types.Target, now_ms: int) -> bool:
        """Returns whether a live target of another service has the address."""
        return any(
            key[0] != target.service
            and not _has_missed_leases(
                self._known[key], now_ms, REMOVE_AFTER_MISSED_LEASES
            )
            for key in self._by_address.get(target.address, ())
        )

    def merge(self, targets: Iterable[_types.Target], now_ms: int) -> bool:
        """Stores announcements from another instance.

        Args:
            targets: The announcements.
            now_ms: The current time.

        Returns:
            Whether any of them was newer than the known one.
        """
        has_changed = False
        for target in targets:
            known = self._known.get((target.service, target.target_id))
            if known is None or _recency(target) > _recency(known.target):
                self._store(target, now_ms)
                has_changed = True
        return has_changed

    def renew(self, renewals: Iterable[Renewal], now_ms: int) -> None:
        """Stores lease renewals from another instance."""
        for renewal in renewals:
            known = self._known.get((renewal.service, renewal.target_id))
            if known is None or known.target.generation != renewal.generation:
                continue
            if renewal.sequence > known.heard_sequence:
                # The sequence stays that of the announcement: with the newer
                # one, the announcement that is renewed would be taken for
                # known and never be stored here.
                renewed = known.target._replace(
                    connections=renewal.connections,
                    load_percent=renewal.load_percent,
                )
                self._store(renewed, now_ms, renewal.sequence)

    def _store(
        self, target: _types.Target, now_ms: int, heard_sequence: int = 0
    ) -> None:
        key = (target.service, target.target_id)
        known = self._known.get(key)
        first_received_ms = now_ms
        heard_sequence = max(heard_sequence, target.sequence)
        if known is not None and (known.target.generation == target.generation):
            first_received_ms = known.first_received_ms
            heard_sequence = max(heard_sequence, known.heard_sequence)
        if known is None or known.target._replace(sequence=0) != (
            target._replace(sequence=0)
        ):
            self._changed_services.add(target.service)
        self._unindex_address(key)
        self._by_service.setdefault(target.service, set()).add(key)
        self._known[key] = KnownTarget(
            target, now_ms, first_received_ms, heard_sequence
        )
        self._by_address.setdefault(target.address, set()).add(key)

    def _unindex_address(self, key: TargetKey) -> None:
        known = self._known.get(key)
        if known is None:
            return
        keys = self._by_address[known.target.address]
        keys.discard(key)
        if not keys:
            del self._by_address[known.target.address]

    def has_pending_changes(self) -> bool:
        """Returns whether a change must be sent to other instances at once."""
        return bool(self._pending_changes)

    def take_pending_updates(
        self,
    ) -> tuple[tuple[_types.Target, ...], tuple[Renewal, ...]]:
        """Returns and clears what must be sent to other instances.

        Returns:
            Changed targets and lease renewals.
        """
        changed = tuple(
            self._known[key].target
            for key in self._pending_changes
            if key in self._known
        )
        renewed = tuple(
            _renewal(self._known[key].target)
            for key in self._pending_renewals
            if key not in self._pending_changes and key in self._known
        )
        self._pending_changes = {}
        self._pending_renewals = {}
        return changed, renewed

    def digest(self) -> tuple[Renewal, ...]:
        """Returns the generation and the newest sequence of each target."""
        return tuple(_renewal(known.target) for known in self._known.values())

    def summary(self) -> int:
        """Returns a hash of the known targets, their generations and states.

        Sequences are left out: they change all the time, and the next renewal
        brings them up to date anyway.
        """
        text = ";".join(
            f"{service}/{target_id}={known.target.generation}"
            f"/{known.target.state}"
            for (service, target_id), known in sorted(self._known.items())
        )
        return xxhash.xxh3_64_intdigest(text.encode())

    def is_behind(self, digest: Iterable[Renewal]) -> bool:
        """Returns whether a peer knows a newer generation or another target.

        Args:
            digest: The digest of the peer's registry.
        """
        for item in digest:
            known = self._known.get((item.service, item.target_id))
            if known is None or known.target.generation < item.generation:
                return True
        return False

    def newer_than(
        self, digest: Iterable[Renewal]
    ) -> tuple[_types.Target, ...]:
        """Returns the targets whose announcement here is newer than a peer's.

        Args:
            digest: The digest of the peer's registry.
        """
        peer_versions = {
            (item.service, item.target_id): (item.generation, item.sequence)
            for item in digest
        }
        return tuple(
            known.target
            for key, known in self._known.items()
            if _recency(known.target) > peer_versions.get(key, (-1, -1))
        )

    def remove_expired(self, now_ms: int) -> list[_types.Target]:
        """Removes and returns targets that missed too many leases."""
        expired = [
            key
            for key, known in self._known.items()
            if _has_missed_leases(known, now_ms, REMOVE_AFTER_MISSED_LEASES)
        ]
        for key in expired:
            self._last_queued.pop(key, None)
            self._unindex_address(key)
            self._by_service[key[0]].discard(key)
            self._changed_services.add(key[0])
        return [self._known.pop(key).target for key in expired]

    def find(
        self, service: _types.ServiceName, target_id: _types.TargetId
    ) -> _types.Target | None:
        """Returns a target of a service, or None if it is unknown."""
        known = self._known.get((service, target_id))
        return known.target if known else None

    def target_at(self, address: _types.Address) -> _types.Target | None:
        """Returns the target at an address.

        Returns:
            The target; None if there is none, or if targets of several
            services claim the address.
        """
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
        """Returns the targets of a service and their availability.

        Targets of two services may claim the same address, for example after
        a partition. Neither gets new flows until one of them is removed.
        """
        return [
            self._availability(self._known[key], now_ms)
            for key in sorted(self._by_service.get(service, ()))
        ]

    def _availability(
        self, known: KnownTarget, now_ms: int
    ) -> TargetAvailability:
        target = known.target
        is_accepting = (
            target.state != _types.TargetState.DRAINING
            and not _has_missed_leases(known, now_ms, 1)
            and not self._has_address_conflict(target, now_ms)
        )
        share = 1.0
        if target.state == _types.TargetState.COLD:
            ramped_share = (now_ms - known.first_received_ms) / RAMP_MS
            share = max(MINIMUM_SHARE, min(1.0, ramped_share))
        return TargetAvailability(target, is_accepting, share)

    def take_changed_services(self) -> set[_types.ServiceName]:
        """Returns and clears the services whose targets changed."""
        services = self._changed_services
        self._changed_services = set()
        return services


def _recency(target: _types.Target) -> tuple[int, int]:
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


def _has_missed_leases(
    known: KnownTarget, now_ms: int, lease_count: int
) -> bool:
    return now_ms - known.last_received_ms > lease_count * known.target.lease_ms
