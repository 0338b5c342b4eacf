"""Finds every error and warning of a catalogue file."""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from bluebelltide.catalogue import _entries
from bluebelltide.catalogue import _findings

_ZERO_LIMITS = {
    "new_flows_per_s": "new flows are refused",
    "open_flows": "every flow is refused",
    "waiting_flows": "every flow is refused",
    "connect_timeout_ms": "no connection to a target succeeds",
    "idle_timeout_ms": "flows end as soon as they carry no data",
    "deadline_ms": "no request can finish in time",
}
"""What a limit of 0 does to the flows of a TCP front."""


class CheckedEntries(NamedTuple):
    """The entries of a catalogue and what is wrong with them."""

    entries: dict[str, _entries.Entry]
    """The valid entries by key."""
    findings: tuple[_findings.Finding, ...]
    """All errors and warnings, the errors first."""


def check_entries(raw: Mapping[str, object]) -> CheckedEntries:
    """Checks a parsed catalogue.

    Args:
        raw: The parsed JSON value of each entry by key.

    Returns:
        The valid entries and the findings. Among them is an error if and only
        if `apply` refuses the catalogue.
    """
    entries: dict[str, _entries.Entry] = {}
    errors: list[_findings.Finding] = []
    for key, value in raw.items():
        entry, lines = _entries.check_entry(key, value)
        errors += [
            _to_error(_findings.FindingCode.BAD_ENTRY, key, line)
            for line in lines
        ]
        if entry is not None:
            entries[key] = entry
    for line in _entries.check_unique_addresses(entries):
        key = line.partition(": address ")[0]
        errors.append(
            _to_error(_findings.FindingCode.DUPLICATE_ADDRESS, key, line)
        )
    warnings = [
        warning
        for key, entry in entries.items()
        if isinstance(entry, _entries.ServiceEntry)
        for warning in _find_warnings(key, entry)
    ]
    return CheckedEntries(entries, (*errors, *warnings))


def _to_error(
    code: _findings.FindingCode, key: str, line: str
) -> _findings.Finding:
    """Converts a problem of an entry, a line that begins with the key."""
    field, _, problem = line.removeprefix(key).partition(": ")
    advice = f"correct the value: {problem}"
    if code == _findings.FindingCode.DUPLICATE_ADDRESS:
        advice = f"use another address: {problem}"
    return _findings.error(code, key + field, advice)


def _find_warnings(
    key: str, entry: _entries.ServiceEntry
) -> Iterator[_findings.Finding]:
    if not entry.target_key_hashes:
        yield _findings.warning(
            _findings.FindingCode.NO_TARGET_KEYS,
            f"{key}.target_key_hashes",
            "add the hash of a key: without one no target can announce itself",
        )
    # The packet front neither queues requests nor connects to targets.
    if entry.front == _entries.Front.TCP:
        place = f"{key}.limits"
        yield from _find_zero_limits(place, entry.limits)
        yield from _find_wait_warnings(place, entry)
        yield from _find_retry_warnings(place, entry.limits)
        yield from _find_deadline_warnings(place, entry.limits)


def _find_zero_limits(
    place: str, limits: _entries.Limits
) -> Iterator[_findings.Finding]:
    for field, effect in _ZERO_LIMITS.items():
        if getattr(limits, field) == 0:
            yield _findings.warning(
                _findings.FindingCode.ZERO_LIMIT,
                f"{place}.{field}",
                f"set a limit above 0: with 0 {effect}",
            )


def _find_wait_warnings(
    place: str, entry: _entries.ServiceEntry
) -> Iterator[_findings.Finding]:
    limits = entry.limits
    uses_slots = entry.admission_mode == _entries.AdmissionMode.SLOTS
    if not uses_slots or not limits.deadline_ms:
        return
    place += ".wait_percent"
    if limits.deadline_ms * limits.wait_percent < 100:
        yield _findings.warning(
            _findings.FindingCode.NO_TIME_TO_WAIT,
            place,
            f"raise wait_percent or deadline_ms: {limits.wait_percent} % of "
            f"{limits.deadline_ms} ms is below 1 ms, so no request can wait "
            "for a slot",
        )
    elif limits.wait_percent == 100:
        yield _findings.warning(
            _findings.FindingCode.NO_TIME_TO_RUN,
            place,
            "lower wait_percent: a request that waits for its whole deadline "
            "has no time left to run",
        )


def _find_retry_warnings(
    place: str, limits: _entries.Limits
) -> Iterator[_findings.Finding]:
    if limits.shed_grace_ms and not limits.retry_percent:
        yield _findings.warning(
            _findings.FindingCode.SHED_GRACE_WITHOUT_RETRIES,
            f"{place}.shed_grace_ms",
            "set retry_percent above 0 or shed_grace_ms to 0: flows are "
            "delayed for a retry that is never allowed",
        )


def _find_deadline_warnings(
    place: str, limits: _entries.Limits
) -> Iterator[_findings.Finding]:
    deadline_ms = limits.deadline_ms
    if not deadline_ms:
        return
    if limits.connect_timeout_ms > deadline_ms:
        yield _findings.warning(
            _findings.FindingCode.CONNECT_TIMEOUT_ABOVE_DEADLINE,
            f"{place}.connect_timeout_ms",
            f"lower connect_timeout_ms of {limits.connect_timeout_ms} to "
            f"deadline_ms of {deadline_ms}: a request may end before its "
            "target accepts the connection",
        )
    if limits.shed_grace_ms >= deadline_ms:
        yield _findings.warning(
            _findings.FindingCode.SHED_GRACE_ABOVE_DEADLINE,
            f"{place}.shed_grace_ms",
            f"lower shed_grace_ms of {limits.shed_grace_ms} below deadline_ms "
            f"of {deadline_ms}: the first byte is sent after the deadline",
        )
    if 0 < limits.idle_timeout_ms < deadline_ms:
        yield _findings.warning(
            _findings.FindingCode.IDLE_TIMEOUT_BELOW_DEADLINE,
            f"{place}.idle_timeout_ms",
            f"raise idle_timeout_ms of {limits.idle_timeout_ms} to "
            f"deadline_ms of {deadline_ms}: a request that runs silently "
            "ends before its deadline",
        )
