"""The fault matrix: every fault at every step of the routing protocols.

The steps are not listed here. A run without faults records the kinds of
messages that instances send once a change has started. The first message of
each kind is a trace point, at which each fault is injected. A new kind of
message is thus covered without being listed.
"""

from collections.abc import Callable, Iterable
import itertools
from typing import NamedTuple

from bluebelltide.bench import _fabric
from bluebelltide.bench import _flows

INSTANCES = 5
"""The number of instances of the small deployment."""
TARGETS = 4
"""The number of targets of its first service."""
FLOWS = 60
"""The number of open flows in a cell."""
CUT_DURATION_MS = 6000
"""How long a cut lasts."""


class Cell(NamedTuple):
    """One fault, or a pair of faults, at one trace point."""

    plan: str
    """The plan that runs."""
    point: str
    """The trace point: the class name of the message."""
    faults: tuple[str, ...]
    """The faults that are injected there, in this order."""
    seed: int
    """The seed of the run."""


class Result(NamedTuple):
    """The result of a cell."""

    cell: Cell
    """The cell that ran."""
    was_reached: bool
    """Whether the run reached the trace point and the faults were injected."""
    broken: int
    """The number of flows that broke, without those in `allowed`."""
    allowed: int
    """The number of flows that were lost with their target."""
    wrong_service: int
    """The number of packets that reached a target of another service."""


Fault = Callable[[_flows.Experiment, str, str], None]


def _kill_sender(
    experiment: _flows.Experiment, sender: str, receiver: str
) -> None:
    del receiver
    experiment.fabric.kill_instance(sender)


def _kill_receiver(
    experiment: _flows.Experiment, sender: str, receiver: str
) -> None:
    del sender
    experiment.fabric.kill_instance(receiver)


def _cut_off_receiver(
    experiment: _flows.Experiment, sender: str, receiver: str
) -> None:
    del sender
    fabric = experiment.fabric
    for other in fabric.instances:
        if other != receiver:
            fabric.cut_links |= {(receiver, other), (other, receiver)}
    experiment.clock.after(CUT_DURATION_MS, fabric.heal)


def _cut_one_way(
    experiment: _flows.Experiment, sender: str, receiver: str
) -> None:
    experiment.fabric.cut_links.add((sender, receiver))
    experiment.clock.after(CUT_DURATION_MS, experiment.fabric.heal)


def _add_instance(
    experiment: _flows.Experiment, sender: str, receiver: str
) -> None:
    del sender, receiver
    count = len(experiment.fabric.instances)
    experiment.fabric.add_instance(f"entry-9{count}")


def _leave_sender(
    experiment: _flows.Experiment, sender: str, receiver: str
) -> None:
    del receiver
    experiment.fabric.leave_instance(sender)


def _drain_other_target(
    experiment: _flows.Experiment, sender: str, receiver: str
) -> None:
    del sender, receiver
    experiment.drain_target(_flows.SERVICES[0], "r002")


def _kill_target(
    experiment: _flows.Experiment, sender: str, receiver: str
) -> None:
    del sender, receiver
    experiment.kill_target(_flows.SERVICES[0], "r003")


FAULTS: dict[str, Fault] = {
    "sender-dies": _kill_sender,
    "receiver-dies": _kill_receiver,
    "receiver-cut-off": _cut_off_receiver,
    "one-way-cut": _cut_one_way,
    "instance-joins": _add_instance,
    "sender-leaves": _leave_sender,
    "another-drain": _drain_other_target,
    "target-dies": _kill_target,
}

PLANS = ("target-drain", "instance-leave", "target-join")
"""The plans at whose steps faults are injected."""


class _MessageTracer:
    """Reports the first message of each kind after the plan starts."""

    def __init__(self, experiment: _flows.Experiment) -> None:
        self.points: dict[str, None] = {}
        self.on_point: Callable[[str, str, str], None] | None = None
        self._experiment = experiment
        self._send = experiment.fabric.send
        experiment.fabric.send = self.send  # type: ignore[method-assign]

    def send(
        self,
        sender: _fabric.Instance,
        receiver_name: str,
        message: _fabric.Message,
    ) -> None:
        self._send(sender, receiver_name, message)
        point = type(message).__name__
        has_plan_started = self._experiment.clock.now_ms >= _flows.PLAN_START_MS
        if has_plan_started and point not in self.points:
            self.points[point] = None
            if self.on_point is not None:
                self.on_point(point, sender.name, receiver_name)


def trace_points(plan: str, seed: int) -> list[str]:
    """Returns the trace points of a plan."""
    experiment = _flows.Experiment(_options(plan, seed))
    tracer = _MessageTracer(experiment)
    _flows.run_plan(experiment)
    return list(tracer.points)


def _options(plan: str, seed: int) -> _flows.Options:
    return _flows.Options(INSTANCES, TARGETS, FLOWS, plan, seed)


def run_cell(cell: Cell) -> Result:
    """Runs one cell.

    Args:
        cell: The cell.

    Returns:
        The result.
    """
    experiment = _flows.Experiment(_options(cell.plan, cell.seed))
    tracer = _MessageTracer(experiment)
    reached: list[str] = []

    def on_point(point: str, sender: str, receiver: str) -> None:
        if point != cell.point or reached:
            return
        reached.append(point)
        for number, fault in enumerate(cell.faults):
            # The second fault follows the first after 200 ms.
            experiment.clock.after(
                1 + 200 * number,
                lambda f=fault: FAULTS[f](  # type: ignore[misc]
                    experiment, sender, receiver
                ),
            )

    tracer.on_point = on_point
    _flows.run_plan(experiment)
    counts = experiment.counts
    return Result(
        cell,
        bool(reached),
        counts["broken_flows"] + len(experiment.stalled_flows()),
        counts["lost_with_target"],
        counts["wrong_service_packets"],
    )


def create_cells(pairs: bool, seed: int) -> Iterable[Cell]:
    """Returns every cell.

    Args:
        pairs: Whether to inject pairs of faults instead of single ones.
        seed: The seed of the runs.

    Yields:
        The cells.
    """
    fault_groups: list[tuple[str, ...]] = [(fault,) for fault in FAULTS]
    if pairs:
        fault_groups = list(itertools.permutations(FAULTS, 2))
    for plan in PLANS:
        for point in trace_points(plan, seed):
            for faults in fault_groups:
                yield Cell(plan, point, faults, seed)
