"""Plots of a report; needs the extra `plot`."""

from typing import Any

from bluebelltide import _exceptions
from bluebelltide.bench import _report

Axes = Any
"""The axes of one plot. The library is optional, so its type is not named."""

FIGURE_SIZE_IN = (11.0, 9.0)
"""Width and height of the picture, in inches."""


def write_plots(report: _report.Report, path: str) -> None:
    """Writes the plots of a report to a picture.

    Args:
        report: The report.
        path: The picture; its suffix names the format.

    Raises:
        BluebelltideError: With BAD_SETTINGS if matplotlib is not installed.
    """
    try:
        from matplotlib import figure
    except ImportError as error:
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.BAD_SETTINGS,
            "install the extra 'plot' for pictures",
            "--plot",
        ) from error
    picture = figure.Figure(figsize=FIGURE_SIZE_IN, layout="constrained")
    axes = picture.subplots(3, 1)
    _plot_decisions(axes[0], report)
    _plot_versions(axes[1], report)
    _plot_loads(axes[2], report)
    picture.savefig(path)


def _plot_decisions(axes: Axes, report: _report.Report) -> None:
    outcomes = sorted({one.outcome for one in report.decisions})
    seconds = range(
        max((one.second for one in report.decisions), default=0) + 1
    )
    counts = {
        (one.outcome, one.second): one.packets for one in report.decisions
    }
    axes.stackplot(
        list(seconds),
        *(
            [counts.get((outcome, second), 0) for second in seconds]
            for outcome in outcomes
        ),
        labels=outcomes,
    )
    for one in report.process_events:
        if one.event == "started" and one.after_ms:
            axes.axvline(one.after_ms / 1000, color="grey", linewidth=0.4)
    axes.set_title("opening packets by outcome; grey: a process starts")
    axes.set_xlabel("seconds")
    axes.set_ylabel("a second")
    axes.legend(loc="upper left", fontsize="small")


def _plot_versions(axes: Axes, report: _report.Report) -> None:
    for process in sorted({one.process for one in report.versions}):
        uses = [one for one in report.versions if one.process == process]
        axes.step(
            [one.after_ms / 1000 for one in uses],
            [one.version for one in uses],
            where="post",
            linewidth=0.8,
        )
    axes.set_title("version of the deployment in force, a line an instance")
    axes.set_xlabel("seconds")
    axes.set_ylabel("version")


def _plot_loads(axes: Axes, report: _report.Report) -> None:
    loads = sorted(report.loads, key=lambda one: (one.service, -one.flows))
    services = sorted({one.service for one in loads})
    for service in services:
        positions = [
            position
            for position, one in enumerate(loads)
            if one.service == service
        ]
        flows = [one.flows for one in loads if one.service == service]
        axes.bar(positions, flows, label=service)
    axes.set_title("flows placed on each target, by service")
    axes.set_xticks([])
    axes.set_xlabel("targets")
    axes.set_ylabel("flows")
    if services:
        axes.legend(fontsize="small")
