"""A report of a run, from the logs of its processes.

The report shows over time how opening packets were decided, how evenly they
were spread over the targets of a service, which versions of the deployment
were in force, and when processes started, stopped or were paused.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from bluebelltide import _log_lines

LIFECYCLE_EVENTS = ("started", "stopping", "paused")
"""The events in the life of a process that the report lists."""


class DecisionCount(NamedTuple):
    """How often opening packets of one second were decided in one way."""

    second: int
    """Seconds since the first line of the logs."""
    outcome: str
    """The outcome of the decisions."""
    packets: int
    """How many there were."""


class TargetLoad(NamedTuple):
    """What one target of a service got."""

    service: str
    """The service."""
    target_id: str
    """The target."""
    flows: int
    """How many flows were placed on it."""


class VersionUse(NamedTuple):
    """When an instance began to use a version of the deployment."""

    after_ms: int
    """Time since the first line of the logs."""
    process: str
    """The instance."""
    version: int
    """The version."""


class ProcessEvent(NamedTuple):
    """An event in the life of a process."""

    after_ms: int
    """Time since the first line of the logs."""
    process: str
    """The process."""
    event: str
    """One of LIFECYCLE_EVENTS."""


class Report(NamedTuple):
    """What the logs of a run show."""

    line_count: int
    """How many structured lines there are."""
    lines_left_out: int
    """How many lines the processes left out, to keep to their budgets."""
    decisions: tuple[DecisionCount, ...]
    """The decisions about opening packets, by time."""
    loads: tuple[TargetLoad, ...]
    """The placed flows, by service and target."""
    versions: tuple[VersionUse, ...]
    """The versions in force, by time."""
    process_events: tuple[ProcessEvent, ...]
    """The starts, stops and pauses, by time."""


def summarise(lines: Iterable[_log_lines.LogLine]) -> Report:
    """Makes the report of a run.

    Args:
        lines: The lines of all processes, in any order.

    Returns:
        The report.
    """
    ordered = sorted(lines, key=lambda line: line.time_ms)
    first_ms = ordered[0].time_ms if ordered else 0
    openings = [line for line in ordered if line.event == "flow_opening"]
    decisions = Counter(
        ((line.time_ms - first_ms) // 1000, line.text("outcome"))
        for line in openings
    )
    loads = Counter(
        (line.text("service"), line.text("target"))
        for line in openings
        if line.text("target") and not line.number("copy")
    )
    return Report(
        len(ordered),
        sum(line.number("lines_left_out") for line in ordered),
        tuple(DecisionCount(*key, decisions[key]) for key in sorted(decisions)),
        tuple(TargetLoad(*key, loads[key]) for key in sorted(loads)),
        tuple(
            VersionUse(
                line.time_ms - first_ms, line.process, line.number("version")
            )
            for line in ordered
            if line.event == "deployment_in_force"
        ),
        tuple(
            ProcessEvent(line.time_ms - first_ms, line.process, line.event)
            for line in ordered
            if line.event in LIFECYCLE_EVENTS
        ),
    )


def render(report: Report, picture: str = "") -> str:
    """Returns the report as a page in Markdown.

    Args:
        report: The report.
        picture: The file of the plots, or empty.
    """
    sections = [
        "# Report of a run",
        f"{report.line_count:,} lines; the processes left out "
        f"{report.lines_left_out:,} more to keep to their budgets.",
    ]
    if picture:
        sections.append(f"![plots]({picture})")
    sections += [
        "## Decisions about opening packets",
        _render_table(("outcome", "packets"), _outcome_rows(report)),
        "## Flows placed, by service",
        _render_table(
            ("service", "targets", "flows", "busiest / mean"),
            _load_rows(report),
        ),
        "## Versions in force",
        _render_table(
            ("version", "first after ms", "instances", "last after ms"),
            _version_rows(report),
        ),
        "## Processes",
        _render_table(
            ("after ms", "process", "event"),
            [
                (f"{one.after_ms:,}", one.process, one.event)
                for one in report.process_events
            ],
        ),
    ]
    return "\n\n".join(sections) + "\n"


def _outcome_rows(report: Report) -> list[tuple[str, ...]]:
    totals: Counter[str] = Counter()
    for decision in report.decisions:
        totals[decision.outcome] += decision.packets
    return [(name, f"{count:,}") for name, count in totals.most_common()]


def _load_rows(report: Report) -> list[tuple[str, ...]]:
    flows_by_service: dict[str, list[int]] = {}
    for load in report.loads:
        flows_by_service.setdefault(load.service, []).append(load.flows)
    return [
        (
            service,
            str(len(flows)),
            f"{sum(flows):,}",
            f"{max(flows) * len(flows) / sum(flows):.2f}",
        )
        for service, flows in flows_by_service.items()
    ]


def _version_rows(report: Report) -> list[tuple[str, ...]]:
    uses: dict[int, dict[str, int]] = {}
    for use in report.versions:
        first_ms = uses.setdefault(use.version, {})
        first_ms.setdefault(use.process, use.after_ms)
    return [
        (
            str(version),
            f"{min(first_ms.values()):,}",
            str(len(first_ms)),
            f"{max(first_ms.values()):,}",
        )
        for version, first_ms in sorted(uses.items())
    ]


def _render_table(columns: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = ["| " + " | ".join(columns) + " |"]
    lines.append("| " + " | ".join("---" for _ in columns) + " |")
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)
