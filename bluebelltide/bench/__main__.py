"""The program `bluebelltide-bench`."""

from collections.abc import Iterable
from concurrent import futures
import json
import pathlib
import sys
import time
from typing import Annotated

import cyclopts

import bluebelltide
from bluebelltide import _exceptions
from bluebelltide import _log_lines
from bluebelltide import _program
from bluebelltide import _types
from bluebelltide import spec
from bluebelltide.bench import _faults
from bluebelltide.bench import _flows
from bluebelltide.bench import _load
from bluebelltide.bench import _overload
from bluebelltide.bench import _overload_users
from bluebelltide.bench import _report
from bluebelltide.bench import _report_plot
from bluebelltide.bench import _scale
from bluebelltide.bench import _tokens
from bluebelltide.catalogue import _entries

app = cyclopts.App(
    name="bluebelltide-bench",
    help="Load and experiments. Exit codes: 0 done, 1 failed, 2 invalid "
    "arguments.",
    version=bluebelltide.__version__,
)

AsJson = Annotated[bool, cyclopts.Parameter(name="--json", help="Print JSON.")]


def _print_report(report: dict[str, object], as_json: bool) -> None:
    if as_json:
        print(json.dumps(report))
        return
    for name, value in report.items():
        print(f"{name:>36}  {value}")


@app.command
def tokens(
    *,
    instances: int = 9,
    targets: int = 8,
    flows: int = 3000,
    plan: str = "all",
    seed: int = 1,
    as_json: AsJson = False,
) -> int:
    """Check whether flows that are routed by token stay whole during a plan.

    Args:
        instances: Number of packet fronts.
        targets: Number of targets of both services.
        flows: Number of flows to open.
        plan: One of the plans, or `all`.
        seed: Seed of every random choice.
        as_json: Print JSON, one line for each plan.
    """

    def run() -> None:
        plans = list(_tokens.PLANS) if plan == "all" else [plan]
        for name in plans:
            _check_choice("--plan", name, _tokens.PLANS)
            report = _tokens.run_plan(name, instances, targets, flows, seed)
            _print_report(report._asdict(), as_json)

    return _program.run_and_report(run)


@app.command
def flows(
    *,
    instances: int = 9,
    targets: int = 7,
    flows: int = 2000,
    plan: str = "steady",
    objective: str = "whole_flows",
    seed: int = 1,
    as_json: AsJson = False,
) -> int:
    """Check whether flows stay whole while a plan changes the deployment.

    Args:
        instances: Number of entry instances.
        targets: Number of targets of the first service.
        flows: Number of flows that are kept open.
        plan: One of the plans, or `all`.
        objective: `whole_flows` or `even_load`.
        seed: Seed of every random choice.
        as_json: Print JSON, one line for each plan.
    """

    def run() -> None:
        plans = list(_flows.PLANS) if plan == "all" else [plan]
        for name in plans:
            _check_choice("--plan", name, _flows.PLANS)
            _check_choice("--objective", objective, list(_entries.Objective))
            options = _flows.Options(
                instances, targets, flows, name, seed, objective=objective
            )
            start_s = time.perf_counter()
            report = _flows.run(options)
            report["wall_s"] = round(time.perf_counter() - start_s, 1)
            _print_report(report, as_json)

    return _program.run_and_report(run)


@app.command
def overload(
    *,
    users: str = "caroni",
    load: float = 3.0,
    policy: str = "admission",
    scenario: str = "plain",
    seed: int = 1,
    as_json: AsJson = False,
) -> int:
    """Compare admission with baselines under overload.

    Args:
        users: `caroni` or `khuvsgul`.
        load: Arrival rate as a multiple of the capacity.
        policy: The policy to compare.
        scenario: What happens to one target of each service.
        seed: Seed of every random choice.
        as_json: Print JSON.
    """

    def run() -> None:
        _check_choice("--users", users, _overload_users.USERS)
        _check_choice("--policy", policy, _overload.POLICIES)
        _check_choice("--scenario", scenario, _overload.SCENARIOS)
        options = _overload.Options(users, load, policy, scenario, seed)
        _print_report(_overload.run(options), as_json)

    return _program.run_and_report(run)


@app.command
def scale(
    *instances: int,
    seed: int = 1,
    as_json: AsJson = False,
) -> int:
    """Count the control messages of direct deployments of several sizes.

    Args:
        instances: Numbers of entry instances; 30, 100, 300 and 1000 if empty.
        seed: Seed of every random choice.
        as_json: Print JSON, one line for each size.
    """
    for count in instances or (30, 100, 300, 1000):
        _print_report(_scale.run(count, seed)._asdict(), as_json)
    return _program.EXIT_OK


@app.command
def report(*logs: str, write: str = "", plot: str = "") -> int:
    """Make a page from the logs of a run of a direct deployment.

    Args:
        logs: Files with the logs of the processes, each named after one.
        write: File to write; without it, the page is printed.
        plot: Picture to write, for example report.svg; the page shows it.
    """

    def run() -> None:
        summary = _report.summarise(_log_lines.read_logs(logs))
        if plot:
            _report_plot.write_plots(summary, plot)
        page = _report.render(summary, plot)
        if write:
            pathlib.Path(write).write_text(page, encoding="utf-8")
        else:
            print(page)

    return _program.run_and_report(run)


@app.command
def load(
    front: str,
    direct: str,
    *,
    connections: int = 20,
    seconds: float = 5,
    as_json: AsJson = False,
) -> int:
    """Measure a running TCP front, compared with a direct connection.

    Args:
        front: Address of the front.
        direct: Address of the same stand-in target.
        connections: Number of flows that are open at once.
        seconds: How long each of the two is measured.
        as_json: Print JSON.
    """
    report = _load.run(
        _types.parse_address(front),
        _types.parse_address(direct),
        connections,
        seconds,
    )
    _print_report(report, as_json)
    return _program.EXIT_OK


@app.command
def faults(*, pairs: bool = False, seed: int = 1, processes: int = 6) -> int:
    """Run the fault matrix and print every cell that failed.

    Args:
        pairs: Inject pairs of faults instead of single ones.
        seed: Seed of the runs.
        processes: How many cells run at once.
    """
    passed = failed = unreached = 0
    with futures.ProcessPoolExecutor(processes) as pool:
        cells = _faults.create_cells(pairs, seed)
        for result in pool.map(_faults.run_cell, cells):
            if not result.was_reached:
                unreached += 1
            elif result.broken or result.wrong_service:
                failed += 1
                print(f"failed: {result}")
            else:
                passed += 1
    print(f"passed {passed}, failed {failed}, not reached {unreached}")
    return _program.EXIT_OK if not failed else _program.EXIT_FAILED


@app.command
def modelcheck(
    *,
    model: str = "all",
    mutations: bool = True,
    maximum_states: int = 3_000_000,
) -> int:
    """Explore the models of the protocols, in full or by random walks.

    Args:
        model: One model, or `all`.
        mutations: Also leave out each rule; this must violate a property.
        maximum_states: Number of states after which the run stops and fails
            as incomplete.
    """
    has_passed = True
    for named_model in spec.create_models():
        if model not in ("all", named_model.name):
            continue
        rules = ("", *named_model.mutations) if mutations else ("",)
        for rule in rules:
            result = spec.check_model(named_model, rule, maximum_states)
            outcome = result.violation or "all properties hold"
            if rule:
                has_passed &= result.violation is not None
                print(f"{named_model.name}: without {rule}: {outcome}")
                continue
            is_whole = result.is_complete or named_model.walks > 0
            has_passed &= result.violation is None and is_whole
            extent = (
                f"{named_model.walks} random walks"
                if named_model.walks
                else f"{result.state_count} states"
            )
            print(
                f"{named_model.name}: {named_model.scope}: {extent}, "
                f"{result.step_count} steps, "
                f"complete {result.is_complete}: {outcome}"
            )
            for step in result.trace:
                print(f"    {step}")
    return _program.EXIT_OK if has_passed else _program.EXIT_FAILED


def _check_choice(flag: str, value: str, allowed: Iterable[str]) -> None:
    if value not in allowed:
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.BAD_SETTINGS,
            f"expected one of {', '.join(allowed)}",
            flag,
        )


def main() -> None:
    """Runs the program."""
    sys.exit(app())


if __name__ == "__main__":
    main()
