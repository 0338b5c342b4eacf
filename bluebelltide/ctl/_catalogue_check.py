"""Checks a catalogue file and compares it with the entries in force."""

from collections.abc import Iterator, Mapping
from typing import Any

from bluebelltide import _checking
from bluebelltide import _exceptions
from bluebelltide.catalogue import _entries
from bluebelltide.catalogue import _entries_check
from bluebelltide.catalogue import _findings
from bluebelltide.ctl import _check
from bluebelltide.ctl import _plan

_VERSIONED_FIELDS = {"version", "value"}
"""The fields of an entry as `bluebelltide-ctl get` prints it."""

_SERVICE_EFFECTS = {
    "owner": "callers notice nothing",
    "service_class": "under overload the service is served in another order",
    "addresses": "new flows to a removed address are refused; open flows go on",
    "target_key_hashes": "targets with a removed key cannot announce "
    "themselves any more",
    "front": "callers must use the other kind of front",
    "objective": "when targets change, flows are spread by another rule",
    "admission_mode": "flows wait for free slots, or no longer do",
    "spray_scope": "flows may arrive at other instances",
    "refusal": "refused callers read the new text",
}
_LIMIT_EFFECTS = {
    "new_flows_per_s": "flows above the new rate are refused",
    "open_flows": "flows above the new number are refused",
    "wait_percent": "requests wait longer or shorter before they are refused",
    "waiting_flows": "requests above the new number of waiting ones are "
    "refused",
    "connect_timeout_ms": "connection attempts are given up earlier or later",
    "shed_grace_ms": "the first byte of a flow is delayed longer or shorter",
    "idle_timeout_ms": "silent flows end earlier or later",
    "deadline_ms": "requests are refused earlier or later",
    "retry_percent": "a different share of the failed attempts is retried",
}

Entries = Mapping[str, _entries.Entry]


def read_file(path: str) -> _check.CheckedFile[Entries]:
    """Reads and checks a catalogue file or the output of `get`."""
    code = _exceptions.ErrorCode.BAD_CATALOGUE
    try:
        raw = _checking.read_json_with_comments(path, code)
    except _exceptions.BluebelltideError as error:
        finding = _findings.error(
            _findings.FindingCode.MALFORMED,
            path,
            f"name a file with a JSON object: {error.message}",
        )
        return _check.CheckedFile(None, (finding,))
    return _check.CheckedFile(*_entries_check.check_entries(_unwrap(raw)))


def _unwrap(raw: dict[str, Any]) -> dict[str, Any]:
    """Returns the entries without the versions that `get` prints."""
    are_versioned = raw and all(
        isinstance(value, dict) and value.keys() == _VERSIONED_FIELDS
        for value in raw.values()
    )
    if not are_versioned:
        return raw
    return {
        key: versioned["value"]
        for key, versioned in raw.items()
        if versioned["value"] is not None
    }


def compare(in_force: Entries, desired: Entries) -> _findings.Comparison:
    """Compares the entries of a file with those in force.

    Args:
        in_force: The entries in force.
        desired: The entries of the file.

    Returns:
        The differences. Entries have no common version, so there are no
        findings.
    """
    current = {
        key: {"version": 0, "value": _entries.entry_to_json(entry)}
        for key, entry in in_force.items()
    }
    differences = [
        difference
        for change in _plan.plan_changes(desired, current, prune=True)
        for difference in _describe(change, current)
    ]
    order = list(_findings.Group)
    differences.sort(key=lambda difference: order.index(difference.group))
    return _findings.Comparison((), tuple(differences))


def _describe(
    change: _plan.PlannedChange, current: Mapping[str, Mapping[str, Any]]
) -> Iterator[_findings.Difference]:
    is_service = change.key.startswith(_entries.SERVICE_PREFIX)
    group = _findings.Group.SERVICE if is_service else _findings.Group.DRAIN
    if change.kind == _plan.ChangeKind.ADD:
        effect = "the drained part gets no new work; open flows go on"
        if is_service:
            effect = "callers can open flows to its addresses"
        kind = _findings.ChangeKind.ADDED
        yield _findings.Difference(group, kind, change.key, "", effect)
    elif change.kind == _plan.ChangeKind.REMOVE:
        effect = "with `apply --prune` new flows to its addresses are refused"
        kind = _findings.ChangeKind.REMOVED
        yield _findings.Difference(group, kind, change.key, "", effect)
    else:
        before = dict(current[change.key]["value"])
        after = dict(change.value or {})
        place = f"{change.key}.limits"
        yield from _describe_fields(
            _findings.Group.LIMIT,
            place,
            before.pop("limits", {}),
            after.pop("limits", {}),
        )
        yield from _describe_fields(group, change.key, before, after)


def _describe_fields(
    group: _findings.Group,
    place: str,
    before: Mapping[str, Any],
    after: Mapping[str, Any],
) -> Iterator[_findings.Difference]:
    effects = _SERVICE_EFFECTS | _LIMIT_EFFECTS
    for field in after:
        if before[field] != after[field]:
            yield _findings.Difference(
                group,
                _findings.ChangeKind.CHANGED,
                f"{place}.{field}",
                f"{before[field]!r} -> {after[field]!r}",
                effects.get(field, "callers notice nothing"),
            )
