"""Tests of the report of a run."""

import json
import pathlib

import pytest

from bluebelltide import _exceptions
from bluebelltide import _log_lines
from bluebelltide.bench import __main__ as bench
from bluebelltide.bench import _report
from bluebelltide.bench import _report_plot


def line(
    time_ms: int, process: str, event: str, **fields: _log_lines.FieldValue
) -> _log_lines.LogLine:
    return _log_lines.LogLine(time_ms, process, event, fields)


def opening(
    time_ms: int, outcome: str, target: str, copy: int = 0
) -> _log_lines.LogLine:
    return line(
        time_ms,
        "entry-1",
        "flow_opening",
        service="dues",
        target=target,
        outcome=outcome,
        copy=copy,
    )


LINES = [
    opening(1500, "new", "a"),
    opening(1900, "new", "b"),
    opening(2600, "new", "a"),
    opening(2700, "copy", "a", copy=1),
    opening(2800, "no_target", ""),
    line(1000, "entry-1", "started"),
    line(1400, "entry-1", "deployment_in_force", version=3),
    line(1450, "entry-2", "deployment_in_force", version=3),
    line(2900, "entry-2", "deployment_in_force", version=4, lines_left_out=7),
]


def test_lines_are_counted_by_time_target_and_version() -> None:
    report = _report.summarise(LINES)
    assert (report.line_count, report.lines_left_out) == (9, 7)
    assert report.decisions == (
        (0, "new", 2),
        (1, "copy", 1),
        (1, "new", 1),
        (1, "no_target", 1),
    )
    # A retransmission is not a second flow.
    assert report.loads == (("dues", "a", 2), ("dues", "b", 1))
    assert report.versions[0] == (400, "entry-1", 3)
    assert report.process_events == ((0, "entry-1", "started"),)


def test_the_page_names_the_busiest_target_and_the_slowest_instance() -> None:
    page = _report.render(_report.summarise(LINES), "plots.svg")
    assert "![plots](plots.svg)" in page
    assert "| dues | 2 | 3 | 1.33 |" in page
    assert "| 3 | 400 | 2 | 450 |" in page
    assert "| no_target | 1 |" in page


def test_a_run_without_lines_has_an_empty_report() -> None:
    page = _report.render(_report.summarise([]))
    assert page.startswith("# Report of a run")


def test_the_command_writes_the_page(tmp_path: pathlib.Path) -> None:
    log = tmp_path / "entry-1.log"
    log.write_text(
        "\n".join(
            json.dumps(
                {"unix_ms": one.time_ms, "event": one.event, **one.fields}
            )
            for one in LINES
        )
    )
    page = tmp_path / "report.md"
    assert bench.report(str(log), write=str(page)) == 0
    assert "| new | 3 |" in page.read_text()
    assert bench.report(str(tmp_path / "none.log")) == 1


def test_plots_are_written_or_the_missing_extra_is_named(
    tmp_path: pathlib.Path,
) -> None:
    picture = tmp_path / "plots.svg"
    report = _report.summarise(LINES)
    try:
        _report_plot.write_plots(report, str(picture))
    except _exceptions.BluebelltideError as error:
        assert error.code == _exceptions.ErrorCode.BAD_SETTINGS
        with pytest.raises(ImportError):
            __import__("matplotlib")
    else:
        assert picture.read_text().count("<svg") == 1
