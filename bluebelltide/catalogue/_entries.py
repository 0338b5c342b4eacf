"""Catalogue entries: what operators declare, and how it is validated.

Each entry has a key: `service/NAME` for a service, and
`drain/target/SERVICE/TARGET` or `drain/instance/NAME` for a planned drain.
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
    """What has priority for a service when its targets change."""

    WHOLE_FLOWS = "whole_flows"
    """Move as few flows as possible to another target."""
    EVEN_LOAD = "even_load"
    """Keep the numbers of open flows of the targets equal."""


class ServiceClass(StrEnum):
    """The priority of a service under overload."""

    URGENT = "urgent"
    """Served first."""
    NORMAL = "normal"
    """Served after urgent services."""
    BACKGROUND = "background"
    """Served when no other service has requests waiting."""


class Front(StrEnum):
    """How a service's flows reach the instances."""

    TCP = "tcp"
    """As TCP connections that an instance accepts."""
    PACKETS = "packets"
    """As packets that the network fabric sprays over the instances."""


class SprayScope(StrEnum):
    """The instances over which the fabric may spread one flow's packets."""

    DATA_CENTRE = "data_centre"
    """The instances of one data centre."""
    DEPLOYMENT = "deployment"
    """All instances."""


class AdmissionMode(StrEnum):
    """How a target's capacity is limited."""

    CONNECTIONS = "connections"
    """A target takes any number of flows, which are spread evenly."""
    SLOTS = "slots"
    """Each open flow takes one slot of its target; without a free slot a
    flow waits."""


class Limits(NamedTuple):
    """Limits of one service, which apply to each data centre as a whole."""

    new_flows_per_s: int = 5000
    """How many flows may open in a second."""
    open_flows: int = 100_000
    """How many flows may be open at once."""
    wait_percent: int = 8
    """The longest expected wait of an admitted request, in percent of its
    deadline."""
    waiting_flows: int = 200
    """How many flows may wait for a target at once on one instance."""
    connect_timeout_ms: int = 1000
    """How long a target may take to accept a connection."""
    shed_grace_ms: int = 0
    """How long the first byte of a flow is delayed after a target accepts the
    connection. A target may shed load by closing the connection at once;
    before any byte was sent, another target may still be tried."""
    idle_timeout_ms: int = 60_000
    """How long a flow may carry no data in either direction."""
    deadline_ms: int = 5000
    """How long a request may wait and run in total. A request that can no
    longer finish in time is refused before a byte of it reaches a target."""
    retry_percent: int = 10
    """How many retries are allowed for each hundred requests."""


class ServiceEntry(NamedTuple):
    """One service of the catalogue."""

    service: _types.ServiceName
    """The service's name."""
    owner: str
    """The team that is responsible for the service."""
    service_class: ServiceClass
    """The priority of the service under overload."""
    addresses: tuple[_types.Address, ...]
    """The addresses that callers connect to."""
    target_key_hashes: tuple[str, ...]
    """Hexadecimal SHA-256 of each key that authenticates the announcements of
    targets."""
    front: Front = Front.TCP
    """How the service's flows reach the instances."""
    objective: Objective = Objective.WHOLE_FLOWS
    """What has priority when the service's targets change."""
    admission_mode: AdmissionMode = AdmissionMode.CONNECTIONS
    """How the capacity of the service's targets is limited."""
    spray_scope: SprayScope = SprayScope.DATA_CENTRE
    """The instances over which the fabric spreads one flow's packets."""
    limits: Limits = Limits()
    """The service's limits."""
    refusal: str = ""
    """What is sent to a caller whose request is refused."""


class DrainEntry(NamedTuple):
    """A planned drain: a target or an instance gets no new flows."""

    reason: str
    """Why it is drained, for other operators."""
    operator: str
    """Who planned the drain."""


Entry = ServiceEntry | DrainEntry


def entry_type(key: str) -> type[ServiceEntry] | type[DrainEntry] | None:
    """Returns the type of entry that a key stands for, or None."""
    if key.startswith(SERVICE_PREFIX):
        return ServiceEntry
    if key.startswith((DRAIN_TARGET_PREFIX, DRAIN_INSTANCE_PREFIX)):
        return DrainEntry
    return None


def check_entry(key: str, raw: object) -> tuple[Entry | None, list[str]]:
    """Validates one entry without regard to the others.

    Args:
        key: The entry's key.
        raw: The parsed JSON value.

    Returns:
        The entry, or None if it is not valid, and the problems found.
    """
    expected_type = entry_type(key)
    if expected_type is None:
        return None, [
            f"{key}: expected a key that starts with service/, "
            "drain/target/ or drain/instance/"
        ]
    entry: Entry | None
    entry, problems = _checking.check_record(expected_type, raw, key)
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
            # A packet from a target to a caller does not carry the service
            # address of its flow. To restore that address, it must be the
            # only one of its IP version.
            lines.append(
                f"{key}.addresses: expected one address of each IP version "
                "for the packet front"
            )
    if entry.limits.retry_percent > 100:
        lines.append(f"{key}.limits.retry_percent: expected at most 100")
    return lines


def check_unique_addresses(entries: dict[str, Entry]) -> list[str]:
    """Checks that no address belongs to more than one service.

    Args:
        entries: All entries by key.

    Returns:
        The problems found, empty if there are none.
    """
    key_by_address: dict[_types.Address, str] = {}
    lines = []
    for key, entry in sorted(entries.items()):
        if not isinstance(entry, ServiceEntry):
            continue
        for address in entry.addresses:
            owner_key = key_by_address.setdefault(address, key)
            if owner_key != key:
                lines.append(f"{key}: address {address} belongs to {owner_key}")
    return lines


def read_catalogue(path: str) -> dict[str, Entry]:
    """Reads a catalogue file.

    Args:
        path: A file of JSON with comments, which holds the entries by key.

    Returns:
        The validated entries by key.

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
    """Converts an entry to the JSON values that `check_entry` accepts."""

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
    """Encodes an entry canonically: equal entries give equal bytes."""
    return msgspec.json.encode(entry_to_json(entry), order="sorted")


def decode_entry(key: str, value: bytes) -> Entry:
    """Decodes and validates an entry.

    Args:
        key: The entry's key.
        value: The result of `encode_entry`.

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
