"""The faults of one soak, drawn from its seed.

Pure. Faults come in series and overlap. Disks are lost one at a time and only
once in a run, since the deployment tolerates one lost disk; everything else
may hit any process at any moment.
"""

from enum import StrEnum
import random
from typing import NamedTuple

CONTROLS = 4
"""Control replicas of a soak; three of them vote."""
ENTRIES = 4
"""Entry instances of a soak."""
DATA_CENTRES = 4
"""Data centres; each has one control replica and one entry instance."""
MEAN_GAP_S = 0.9
"""The mean time between the starts of two faults."""
SHORTEST_S = 0.3
"""The shortest fault."""
LONGEST_S = 4.0
"""The longest fault."""
LONGEST_DELAY_S = 4.0
"""How much longer than planned a fault may take."""
QUIET_S = 14.0
"""The pause between two series of faults, in which bounds in time hold."""
SERIES = 2
"""How many series of faults a run has."""


class FaultKind(StrEnum):
    """What goes wrong."""

    PAUSE = "pause"
    """A process stands still and goes on."""
    KILL = "kill"
    """A process is killed and started again."""
    TORN = "torn"
    """A control replica is killed and finds a torn record in its log."""
    WIPE = "wipe"
    """A control replica is killed and its files are lost."""
    STOP = "stop"
    """A process is asked to stop and started again."""
    RELOAD = "reload"
    """A process is told that its settings have changed."""
    FULL_DISK = "full_disk"
    """A control replica's files take no more bytes."""
    CUT = "cut"
    """A machine is cut off from all others, both ways."""
    CUT_IN = "cut_in"
    """Nothing reaches a machine from the others."""
    CUT_OUT = "cut_out"
    """Nothing from a machine reaches the others."""
    CUT_DATA_CENTRE = "cut_data_centre"
    """A data centre is cut off from the others."""
    LOSSY = "lossy"
    """A tenth of the datagrams to and from a machine are lost."""
    DELAY = "delay"
    """Everything to and from a machine takes 150 ms longer."""
    SILENCE = "silence"
    """Connections to a machine are accepted and stay silent."""
    RESET = "reset"
    """Connections to a machine are reset."""
    KILL_CONTROLS = "kill_controls"
    """All control replicas are killed right after an acknowledgement."""
    KILL_ALL = "kill_all"
    """All processes are killed right after an acknowledgement."""
    TARGET_CRASH = "target_crash"
    """A target falls silent for good; a new one starts."""
    TARGET_REUSE = "target_reuse"
    """A target falls silent; its address goes to the other service."""
    TARGET_RESTART = "target_restart"
    """A target starts again under its id, without its flows."""
    TARGET_LEAVE = "target_leave"
    """A target drains and leaves; a new one starts."""


_WEIGHTS = {
    FaultKind.PAUSE: 4,
    FaultKind.KILL: 5,
    FaultKind.TORN: 2,
    FaultKind.STOP: 4,
    FaultKind.RELOAD: 1,
    FaultKind.FULL_DISK: 2,
    FaultKind.CUT: 3,
    FaultKind.CUT_IN: 2,
    FaultKind.CUT_OUT: 2,
    FaultKind.CUT_DATA_CENTRE: 2,
    FaultKind.LOSSY: 2,
    FaultKind.DELAY: 2,
    FaultKind.SILENCE: 2,
    FaultKind.RESET: 2,
    FaultKind.KILL_CONTROLS: 1,
    FaultKind.KILL_ALL: 1,
    FaultKind.TARGET_CRASH: 2,
    FaultKind.TARGET_REUSE: 2,
    FaultKind.TARGET_RESTART: 2,
    FaultKind.TARGET_LEAVE: 4,
}
"""How often each kind comes; a wipe is drawn apart."""

_DELAYS_S = {
    FaultKind.STOP: LONGEST_DELAY_S,
    FaultKind.KILL_CONTROLS: 3.0,
    FaultKind.KILL_ALL: 3.0,
}
"""How much longer a fault may take: a graceful stop, or the wait for the
acknowledgement after which it strikes."""

_ON_CONTROLS = {FaultKind.TORN, FaultKind.WIPE, FaultKind.FULL_DISK}


class Fault(NamedTuple):
    """One fault of a plan."""

    at_s: float
    """When it begins, from the start of the traffic."""
    kind: FaultKind
    """What goes wrong."""
    victim: int
    """Which machine or target, counted over all that the kind fits."""
    for_s: float
    """How long it lasts, or how long a killed process stays down."""

    @property
    def end_s(self) -> float:
        """When it is over at the latest."""
        return self.at_s + self.for_s + _DELAYS_S.get(self.kind, 0.0)


def machine_count(kind: FaultKind) -> int:
    """Returns how many machines a kind of fault may choose from."""
    return CONTROLS if kind in _ON_CONTROLS else CONTROLS + ENTRIES


def make_plan(seed: int, active_s: float) -> tuple[Fault, ...]:
    """Draws the faults of a run.

    Args:
        seed: Decides everything.
        active_s: How long faults may last, all series together.

    Returns:
        The faults, by their start.
    """
    draw = random.Random(seed)
    series_s = active_s / SERIES
    wiped = draw.randrange(SERIES)
    faults: list[Fault] = []
    for number in range(SERIES):
        begin_s = number * (series_s + QUIET_S)
        faults += _draw_series(draw, begin_s, begin_s + series_s)
        if number == wiped:
            at_s = begin_s + draw.uniform(0.1, 0.7) * series_s
            fault = _draw_fault(draw, at_s, begin_s + series_s, FaultKind.WIPE)
            faults.append(fault)
    return tuple(sorted(faults))


def quiet_times(active_s: float) -> list[float]:
    """Returns when the pauses between the series of faults begin."""
    series_s = active_s / SERIES
    return [
        (number + 1) * series_s + number * QUIET_S
        for number in range(SERIES - 1)
    ]


def _draw_series(
    draw: random.Random, begin_s: float, end_s: float
) -> list[Fault]:
    kinds = list(_WEIGHTS)
    weights = list(_WEIGHTS.values())
    faults = []
    at_s = begin_s + draw.uniform(0.3, 1.0)
    while at_s < end_s - SHORTEST_S:
        (kind,) = draw.choices(kinds, weights)
        faults.append(_draw_fault(draw, at_s, end_s, kind))
        if draw.random() < 0.25:
            # Two at the same moment.
            (kind,) = draw.choices(kinds, weights)
            faults.append(_draw_fault(draw, at_s, end_s, kind))
        at_s += draw.expovariate(1 / MEAN_GAP_S)
    return faults


def _draw_fault(
    draw: random.Random, at_s: float, end_s: float, kind: FaultKind
) -> Fault:
    longest_s = max(SHORTEST_S, min(LONGEST_S, end_s - at_s))
    for_s = draw.uniform(SHORTEST_S, longest_s)
    victim = draw.randrange(machine_count(kind))
    return Fault(round(at_s, 3), kind, victim, round(for_s, 3))


def is_calm(
    plan: tuple[Fault, ...], from_s: float, to_s: float, settle_s: float
) -> bool:
    """Returns whether no fault has harmed anything in a span of time.

    Args:
        plan: The faults.
        from_s: When the span begins.
        to_s: When it ends.
        settle_s: How long a fault counts after its end.
    """
    return not any(
        fault.at_s <= to_s and from_s <= fault.end_s + settle_s
        for fault in plan
    )
