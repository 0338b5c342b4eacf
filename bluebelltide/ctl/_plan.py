"""Compares a catalogue file with the catalogue and plans the changes."""

from collections.abc import Mapping
from enum import StrEnum
from typing import Any, NamedTuple

from bluebelltide.catalogue import _entries


class ChangeKind(StrEnum):
    """What happens to an entry."""

    ADD = "add"
    """The entry is new."""
    UPDATE = "update"
    """The entry has another value in the file."""
    REMOVE = "remove"
    """The entry is not in the file."""


class PlannedChange(NamedTuple):
    """One change that an apply would make."""

    kind: ChangeKind
    """What happens to the entry."""
    key: str
    """The entry's key."""
    base_version: int
    """The version that the change is made against."""
    value: dict[str, Any] | None
    """The new value, or None to remove the entry."""


def plan_changes(
    desired: Mapping[str, _entries.Entry],
    current: Mapping[str, Mapping[str, Any]],
    prune: bool,
) -> list[PlannedChange]:
    """Compares a file with the catalogue.

    Args:
        desired: The entries of the file.
        current: The version and value of each entry, from a replica.
        prune: Whether to remove services that are not in the file. Drains
            are never removed, because they come from commands, not from the
            file.

    Returns:
        The changes, ordered by key.
    """
    changes = []
    for key, entry in sorted(desired.items()):
        value = _entries.entry_to_json(entry)
        current_entry = current.get(key, {"version": 0, "value": None})
        kind = ChangeKind.UPDATE
        if current_entry["value"] is None:
            kind = ChangeKind.ADD
        if current_entry["value"] != value:
            changes.append(
                PlannedChange(kind, key, int(current_entry["version"]), value)
            )
    if prune:
        for key, current_entry in sorted(current.items()):
            is_service = key.startswith(_entries.SERVICE_PREFIX)
            if (
                is_service
                and key not in desired
                and current_entry["value"] is not None
            ):
                changes.append(
                    PlannedChange(
                        ChangeKind.REMOVE,
                        key,
                        int(current_entry["version"]),
                        None,
                    )
                )
    return changes
