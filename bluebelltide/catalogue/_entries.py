"""Catalogue entries: what operators declare, and how it is checked.

An entry is kept under a key: `service/NAME` for a service and
`drain/target/SERVICE/TARGET` or `drain/instance/NAME` for a planned action.
"""

from enum import StrEnum
from typing import Any, NamedTuple

import msgspec

from bluebelltide import _checking
from bluebelltide import _exceptions
from bluebelltide import _types

SERVICE_PREFIX = "service/"
DRAIN_TARGET_PREFIX = "drain/target/"
DRAIN_INSTANCE_PREFIX = "drain/instance/"


class Objective(StrEnum):
    """What a service weighs more when its targets change."""

    WHOLE_FLOWS = "whole_flows"
    """Move as few flows as possible."""
    EVEN_LOAD = "even_load"
    """Keep the open flows of the targets even."""


class ServiceClass(StrEnum):
    """The order in which services give way under overload."""

    URGENT = "urgent"
    """Served first."""
    NORMAL = "normal"
    """Served after urgent services."""
    BACKGROUND = "background"
    """Served when nothing else waits."""


class Front(StrEnum):
    """How a service's flows reach the instances."""

    TCP = "tcp"
    """As connections that an instance accepts."""
    PACKETS = "packets"
    """As packets that a fabric sprays over the instances."""


class SprayScope(StrEnum):
    """Over which instances the fabric may spread one flow's packets."""

    DATA_CENTRE = "data_centre"
    """Over the instances of one data centre."""
    DEPLOYMENT = "deployment"
    """Over all instances."""


class AdmissionMode(StrEnum):
    """What a target's capacity is counted in."""

    CONNECTIONS = "connections"
    """Flows are spread evenly; a target takes any number."""
    SLOTS = "slots"
    """Each open flow takes one of its target's slots; others wait."""


class Limits(NamedTuple):
    """Limits of one service; they hold for each data centre as a whole."""

    new_flows_per_s: int = 5000
    """How many flows may open in a second."""
    open_flows: int = 100_000
    """How many flows may be open at once."""
    wait_percent: int = 8
    """The part of the deadline that a request may be expected to wait."""
    waiting_flows: int = 200
    """How many flows may wait for a target at once on one instance."""
    connect_timeout_ms: int = 1000
    """How long a target may take to accept a connection."""
    shed_grace_ms: int = 0
    """How long the first byte is held back after a target accepted. A target
    that sheds by closing at once is then noticed while another may be tried."""
    idle_timeout_ms: int = 60_000
    """How long a flow may stay silent in both directions."""
    deadline_ms: int = 5000
    """How long a request may take, its wait and its run together. One that
    could no longer finish is refused before a byte of it reaches a target."""
    retry_percent: int = 10
    """How many retries may be made for each hundred requests."""


class ServiceEntry(NamedTuple):
    """One service of the catalogue."""

    service: _types.ServiceName
    """The service's name."""
    owner: str
    """The team that answers for the service."""
    service_class: ServiceClass
    """The order in which the service gives way under overload."""
    addresses: tuple[_types.Address, ...]
    """The addresses that callers use."""
    target_key_hashes: tuple[str, ...]
    """SHA-256 of each key that targets may announce with, hexadecimal."""
    front: Front = Front.TCP
    """How the service's flows reach the instances."""
    objective: Objective = Objective.WHOLE_FLOWS
    """What the service weighs more when its targets change."""
    admission_mode: AdmissionMode = AdmissionMode.CONNECTIONS
    """What a target's capacity is counted in."""
    spray_scope: SprayScope = SprayScope.DATA_CENTRE
    """Over which instances the fabric spreads one flow's packets."""
    limits: Limits = Limits()
    """The service's limits."""
    refusal: str = ""
    """What a caller is sent when its request is refused."""


class DrainEntry(NamedTuple):
    """A planned action: a target or an instance takes no new work."""

    reason: str
    """Why, for the operators who come later."""
    operator: str
    """Who planned it."""


Entry = ServiceEntry | DrainEntry


def entry_type(key: str) -> type[ServiceEntry] | type[DrainEntry] | None:
    """Returns the type of the entry that a key holds, or None."""
    if key.startswith(SERVICE_PREFIX):
        return ServiceEntry
    if key.startswith((DRAIN_TARGET_PREFIX, DRAIN_INSTANCE_PREFIX)):
        return DrainEntry
    return None


def check_entry(key: str, raw: object) -> tuple[Entry | None, list[str]]:
    """Checks one entry by itself.

    Args:
        key: The entry's key.
        raw: The parsed JSON value.

    Returns:
        The entry, or None if it has problems, and the problems.
    """
    found_type = entry_type(key)
    if found_type is None:
        return None, [f"{key}: expected a key that starts with service/..."]
    entry: Entry | None
    entry, problems = _checking.check_record(found_type, raw, key)
    lines = [str(problem) for problem in problems]
    if isinstance(entry, ServiceEntry):
        lines += _check_service(key, entry)
    return (None if lines else entry), lines


def _check_service(key: str, entry: ServiceEntry) -> list[str]:
    lines = []
    if SERVICE_PREFIX + entry.service != key:
        lines.append(f"{key}: expected service {key[8:]!r}")
    if not entry.owner:
        lines.append(f"{key}.owner: expected a team, found nothing")
    if not entry.addresses:
        lines.append(f"{key}.addresses: expected at least one address")
    if entry.front == Front.PACKETS:
        families = [":" in address.host for address in entry.addresses]
        if len(families) != len(set(families)):
            # An answer shows its target and caller only, so the service
            # address that its flow used must be the only one.
            lines.append(
                f"{key}.addresses: expected one address of each IP version "
                "for the packet front"
            )
    if entry.limits.retry_percent > 100:
        lines.append(f"{key}.limits.retry_percent: expected at most 100")
    return lines


def check_unique_addresses(entries: dict[str, Entry]) -> list[str]:
    """Checks rules that span entries: an address has one service.

    Args:
        entries: All entries by key.

    Returns:
        The problems, empty if there are none.
    """
    owners: dict[_types.Address, str] = {}
    lines = []
    for key, entry in sorted(entries.items()):
        if not isinstance(entry, ServiceEntry):
            continue
        for address in entry.addresses:
            other = owners.setdefault(address, key)
            if other != key:
                lines.append(f"{key}: address {address} belongs to {other}")
    return lines


def read_catalogue(path: str) -> dict[str, Entry]:
    """Reads a catalogue file from version control.

    Args:
        path: A file of JSON with comments: entries by key.

    Returns:
        The checked entries by key.

    Raises:
        BluebelltideError: With BAD_CATALOGUE, listing every problem.
    """
    code = _exceptions.ErrorCode.BAD_CATALOGUE
    raw = _checking.read_json_with_comments(path, code)
    entries: dict[str, Entry] = {}
    lines: list[str] = []
    for key, value in raw.items():
        entry, problems = check_entry(key, value)
        lines += problems
        if entry is not None:
            entries[key] = entry
    lines += check_unique_addresses(entries)
    if lines:
        text = "\n  ".join(lines)
        raise _exceptions.BluebelltideError(code, f"\n  {text}", path)
    return entries


def entry_to_json(entry: Entry) -> dict[str, Any]:
    """Returns an entry as plain JSON values that `check_entry` accepts."""

    def plain(value: Any) -> Any:  # noqa: ANN401
        if isinstance(value, _types.Address):
            return str(value)
        if hasattr(value, "_asdict"):
            return {k: plain(v) for k, v in value._asdict().items()}
        if isinstance(value, tuple):
            return [plain(item) for item in value]
        return value

    return dict(plain(entry))


def encode_entry(entry: Entry) -> bytes:
    """Encodes an entry in one canonical form, so that equal is equal."""
    return msgspec.json.encode(entry_to_json(entry), order="sorted")


def decode_entry(key: str, value: bytes) -> Entry:
    """Decodes and checks an entry.

    Args:
        key: The entry's key.
        value: What `encode_entry` returned.

    Returns:
        The entry.

    Raises:
        BluebelltideError: With BAD_CATALOGUE if the value is not valid.
    """
    code = _exceptions.ErrorCode.BAD_CATALOGUE
    try:
        raw = msgspec.json.decode(value)
    except msgspec.DecodeError as error:
        raise _exceptions.BluebelltideError(code, str(error), key) from error
    entry, lines = check_entry(key, raw)
    if entry is None:
        raise _exceptions.BluebelltideError(code, "; ".join(lines), key)
    return entry
