"""What the check of a configuration reports: findings and differences."""

from enum import StrEnum
from typing import NamedTuple


class Level(StrEnum):
    """How serious a finding is."""

    ERROR = "error"
    """Control replicas refuse or ignore the configuration."""
    WARNING = "warning"
    """It is accepted, but a part has no effect or contradicts another."""


class FindingCode(StrEnum):
    """The stable code of a finding, which scripts may check."""

    MALFORMED = "malformed"
    """The file is missing or cannot be parsed."""
    TOO_LARGE = "too_large"
    """The file exceeds the size that control replicas accept."""
    MISSING_FIELD = "missing_field"
    """A required field is absent."""
    BAD_FIELD = "bad_field"
    """A value is of another type or out of its range."""
    BAD_ENTRY = "bad_entry"
    """A part of a catalogue entry is invalid."""
    BAD_PORT = "bad_port"
    """There is no such port."""
    BAD_TIMEOUT = "bad_timeout"
    """A request would have no time."""
    UNKNOWN_SERVICE = "unknown_service"
    """A route names a service that is not among the services."""
    NO_POSITIVE_WEIGHT = "no_positive_weight"
    """No service of a route gets flows."""
    DUPLICATE_ADDRESS = "duplicate_address"
    """Two routes or services have the same address and port."""
    VERSION_NOT_HIGHER = "version_not_higher"
    """Control replicas ignore a version that is not above that in force."""
    BAD_AGAINST = "bad_against"
    """The file to compare with is itself invalid."""
    REFUSED = "refused"
    """Control replicas refuse the file for a reason without its own code."""
    SERVICE_WITHOUT_ROUTE = "service_without_route"
    """No route names the service, so it gets no flows."""
    DUPLICATE_SERVICE = "duplicate_service"
    """The same service is listed twice."""
    SHARE_WITHOUT_WEIGHT = "share_without_weight"
    """A service has weight 0 beside others, so it gets no flows."""
    HOST_NEVER_MATCHES = "host_never_matches"
    """A route's host is not an address as packets contain it."""
    LATENCY_GOAL_ABOVE_TIMEOUT = "latency_goal_above_timeout"
    """Requests end before the latency goal is reached."""
    IDLE_TIMEOUT_BELOW_LATENCY_GOAL = "idle_timeout_below_latency_goal"
    """A flow may be discarded while its request is still in time."""
    NO_TARGET_KEYS = "no_target_keys"
    """No target can announce itself for the service."""
    ZERO_LIMIT = "zero_limit"
    """A limit of 0 refuses or ends every flow."""
    NO_TIME_TO_WAIT = "no_time_to_wait"
    """Requests may be queued, but their allowed wait is below 1 ms."""
    NO_TIME_TO_RUN = "no_time_to_run"
    """A request may wait for its whole deadline."""
    CONNECT_TIMEOUT_ABOVE_DEADLINE = "connect_timeout_above_deadline"
    """A connection attempt may outlast the request's deadline."""
    SHED_GRACE_ABOVE_DEADLINE = "shed_grace_above_deadline"
    """The first byte of a flow is sent after the request's deadline."""
    SHED_GRACE_WITHOUT_RETRIES = "shed_grace_without_retries"
    """Flows are delayed for a retry that is never allowed."""
    IDLE_TIMEOUT_BELOW_DEADLINE = "idle_timeout_below_deadline"
    """A silent flow ends before its request's deadline."""


class Finding(NamedTuple):
    """One fault of a configuration."""

    code: FindingCode
    """The stable code."""
    level: Level
    """How serious it is."""
    place: str
    """The route, service or field."""
    advice: str
    """One sentence that says what to change."""


def error(code: FindingCode, place: str, advice: str) -> Finding:
    """Returns a finding that makes the configuration unusable."""
    return Finding(code, Level.ERROR, place, advice)


def warning(code: FindingCode, place: str, advice: str) -> Finding:
    """Returns a finding with which the configuration is still accepted."""
    return Finding(code, Level.WARNING, place, advice)


class Group(StrEnum):
    """The kind of part that differs."""

    VERSION = "version"
    """The version of the whole configuration."""
    ROUTE = "route"
    """A route."""
    SERVICE = "service"
    """A service."""
    LIMIT = "limit"
    """A limit."""
    DRAIN = "drain"
    """A planned drain."""


class ChangeKind(StrEnum):
    """How a part differs from the one in force."""

    ADDED = "added"
    """It is new."""
    REMOVED = "removed"
    """It is absent."""
    CHANGED = "changed"
    """It has another value."""


class Difference(NamedTuple):
    """One difference from the configuration in force."""

    group: Group
    """The kind of part."""
    change: ChangeKind
    """How it differs."""
    place: str
    """The route, service or limit, and its field."""
    values: str
    """The values before and after, empty if the whole part differs."""
    effect: str
    """What callers will notice."""


class Comparison(NamedTuple):
    """A configuration compared with the one in force."""

    findings: tuple[Finding, ...]
    """Why it cannot follow the one in force."""
    differences: tuple[Difference, ...]
    """The differences, grouped."""


def is_error(finding: Finding) -> bool:
    """Returns whether a finding makes the configuration unusable."""
    return finding.level == Level.ERROR
