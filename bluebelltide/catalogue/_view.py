"""The committed catalogue entries that one process knows, by key.

Merging keeps the highest version of each key. Entries may therefore arrive on
any path, in any order and more than once; no entry goes back to an older
version.
"""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from bluebelltide import _types
from bluebelltide.catalogue import _entries


class VersionedEntry(NamedTuple):
    """One committed entry as it is sent between processes."""

    key: str
    """The entry's key."""
    version: int
    """The entry's version."""
    value: bytes | None
    """The encoded entry, or None for a tombstone."""


class CatalogueView:
    """The newest committed entries, decoded."""

    def __init__(self) -> None:
        """Creates an empty view."""
        self.versioned_entries: dict[str, VersionedEntry] = {}
        self.entries: dict[str, _entries.Entry] = {}
        self._services_by_address: dict[
            _types.Address, _entries.ServiceEntry
        ] = {}

    def merge(self, received: VersionedEntry) -> bool:
        """Adopts an entry if it is newer than the known one of its key.

        Args:
            received: The received entry.

        Returns:
            Whether the view changed.

        Raises:
            BluebelltideError: With BAD_CATALOGUE if the value is not valid;
                the view is then unchanged.
        """
        known = self.versioned_entries.get(received.key)
        if known is not None and known.version >= received.version:
            return False
        entry = None
        if received.value is not None:
            entry = _entries.decode_entry(received.key, received.value)
        self.versioned_entries[received.key] = received
        self.entries.pop(received.key, None)
        if entry is not None:
            self.entries[received.key] = entry
        self._rebuild_address_index()
        return True

    def _rebuild_address_index(self) -> None:
        self._services_by_address = {
            address: entry
            for _, entry in sorted(self.entries.items(), reverse=True)
            if isinstance(entry, _entries.ServiceEntry)
            for address in entry.addresses
        }

    def version_of(self, key: str) -> int:
        """Returns the version of an entry, 0 if none is known."""
        known = self.versioned_entries.get(key)
        return known.version if known else 0

    def service_for_address(
        self, address: _types.Address
    ) -> _entries.ServiceEntry | None:
        """Returns the service that owns an address, or None."""
        return self._services_by_address.get(address)

    def services_with_front(
        self, front: _entries.Front
    ) -> Iterable[_entries.ServiceEntry]:
        """Returns the services that use a front, ordered by key."""
        for entry in self.services():
            if entry.front == front:
                yield entry

    def service(self, name: str) -> _entries.ServiceEntry | None:
        """Returns a service by its name, or None."""
        entry = self.entries.get(_entries.SERVICE_PREFIX + name)
        return entry if isinstance(entry, _entries.ServiceEntry) else None

    def services(self) -> Iterable[_entries.ServiceEntry]:
        """Returns all services, ordered by key."""
        for _, entry in sorted(self.entries.items()):
            if isinstance(entry, _entries.ServiceEntry):
                yield entry

    def is_target_drained(self, service: str, target_id: str) -> bool:
        """Returns whether operators plan to drain a target."""
        key = f"{_entries.DRAIN_TARGET_PREFIX}{service}/{target_id}"
        return key in self.entries

    def is_instance_drained(self, name: str) -> bool:
        """Returns whether operators plan to drain an instance."""
        return _entries.DRAIN_INSTANCE_PREFIX + name in self.entries

    def summary(self) -> int:
        """Returns a hash of all versions, to compare the views of processes."""
        text = ";".join(
            f"{key}={versioned.version}"
            for key, versioned in sorted(self.versioned_entries.items())
        )
        return xxhash.xxh3_64_intdigest(text.encode())
