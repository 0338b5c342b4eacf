"""Checks a file, compares it with the one in force, and prints the result."""

from collections.abc import Callable
import itertools
import json
from typing import Any, Generic, NamedTuple, TypeVar

from bluebelltide import _program
from bluebelltide.catalogue import _findings

ContentT = TypeVar("ContentT")


class CheckedFile(NamedTuple, Generic[ContentT]):
    """A file and what is wrong with it."""

    content: ContentT | None
    """What the file holds, or None if a part of it cannot be read."""
    findings: tuple[_findings.Finding, ...]
    """Its errors and warnings."""


class CheckReport(NamedTuple):
    """The result of a check."""

    file: str
    """The file that was checked."""
    findings: tuple[_findings.Finding, ...]
    """The errors and warnings."""
    differences: tuple[_findings.Difference, ...] | None
    """The differences from the other file; None if they are not known."""


def check_file(
    file: str,
    against: str,
    read: Callable[[str], CheckedFile[ContentT]],
    compare: Callable[[ContentT, ContentT], _findings.Comparison],
) -> CheckReport:
    """Checks a file.

    Args:
        file: The file.
        against: The file that is in force, or empty.
        read: Reads and checks a file.
        compare: Compares the content in force with that of the file.

    Returns:
        The report; without differences if either file cannot be read.
    """
    checked = read(file)
    if not against:
        return CheckReport(file, checked.findings, None)
    in_force = read(against)
    errors = list(filter(_findings.is_error, in_force.findings))
    if errors or in_force.content is None:
        finding = _findings.error(
            _findings.FindingCode.BAD_AGAINST,
            against,
            "compare with a file that replicas accept; the first of its "
            f"{len(errors)} errors is {errors[0].place}: {errors[0].advice}",
        )
        return CheckReport(file, (*checked.findings, finding), None)
    if checked.content is None:
        return CheckReport(file, checked.findings, None)
    comparison = compare(in_force.content, checked.content)
    findings = (*checked.findings, *comparison.findings)
    return CheckReport(file, findings, comparison.differences)


def print_report(report: CheckReport, as_json: bool) -> None:
    """Prints a report, one line for each finding and difference."""
    if as_json:
        print(json.dumps(_to_json(report)))
        return
    for finding in report.findings:
        _print_line(
            f"{finding.level} {finding.code}: {finding.place}: {finding.advice}"
        )
    differences = report.differences or ()
    for group, members in itertools.groupby(differences, lambda d: d.group):
        print(f"{group}:")
        for difference in members:
            values = f": {difference.values}" if difference.values else ""
            _print_line(
                f"  {difference.change} {difference.place}{values}; "
                f"{difference.effect}"
            )
    if report.differences == ():
        print("no differences")
    error_count = sum(map(_findings.is_error, report.findings))
    warning_count = len(report.findings) - error_count
    _print_line(
        f"{report.file}: {error_count} errors, {warning_count} warnings"
    )


def _print_line(text: str) -> None:
    """Prints a line; names may hold control characters, which are escaped."""
    print("".join(c if c.isprintable() else ascii(c)[1:-1] for c in text))


def _to_json(report: CheckReport) -> dict[str, Any]:
    differences = report.differences
    return {
        "file": report.file,
        "findings": [finding._asdict() for finding in report.findings],
        "differences": None
        if differences is None
        else [difference._asdict() for difference in differences],
    }


def exit_code(report: CheckReport, strict: bool) -> int:
    """Returns the exit code: 2 for errors, 1 for warnings if strict."""
    if any(map(_findings.is_error, report.findings)):
        return _program.EXIT_USAGE
    if strict and report.findings:
        return _program.EXIT_FAILED
    return _program.EXIT_OK
