"""Draws the faults of one soak from its seed.

Pure. Faults occur in series, in which they may overlap. Each run loses the
disk of exactly one control replica, since the deployment tolerates one lost
disk; any other fault may hit any eligible process or target at any time.
"""

from enum import StrEnum
import random
from typing import NamedTuple

CONTROL_COUNT = 4
"""How many control replicas a soak has; three of them vote."""
ENTRY_COUNT = 4
"""How many entry instances a soak has."""
DATA_CENTRE_COUNT = 4
"""How many data centres a soak has; each has one control replica and one
entry instance."""
DATA_CENTRES = tuple(f"dc-{number}" for number in range(DATA_CENTRE_COUNT))
"""The names of the data centres."""
MEAN_GAP_S = 0.9
"""The mean time between the starts of two faults."""
SHORTEST_FAULT_S = 0.3
"""The shortest duration of a fault."""
LONGEST_FAULT_S = 4.0
"""The longest duration of a fault."""
LONGEST_FAULT_DELAY_S = 4.0
"""How much later than planned a fault may end."""
QUIET_PERIOD_S = 14.0
"""Time without faults between two series; long enough for time limits to
apply again and be checked."""
SERIES_COUNT = 2
"""How many series of faults a run has."""


class FaultKind(StrEnum):
    """The kinds of faults."""

    PAUSE = "pause"
    """A process is suspended and resumed."""
    KILL = "kill"
    """A process is killed and restarted."""
    TORN = "torn"
    """A control replica is killed and restarts with a torn record in its
    log."""
    WIPE = "wipe"
    """A control replica is killed and restarts without its files."""
    STOP = "stop"
    """A process is asked to stop and is restarted."""
    RELOAD = "reload"
    """A process is asked to reload its settings."""
    FULL_DISK = "full_disk"
    """A control replica's files cannot grow."""
    CUT = "cut"
    """A machine is cut off from all others in both directions."""
    CUT_IN = "cut_in"
    """Nothing that other machines send reaches a machine."""
    CUT_OUT = "cut_out"
    """Nothing that a machine sends reaches the others."""
    CUT_DATA_CENTRE = "cut_data_centre"
    """A data centre is cut off from the others in both directions."""
    LOSSY = "lossy"
    """A tenth of the datagrams to and from a machine are lost."""
    DELAY = "delay"
    """All traffic to and from a machine is delayed by 150 ms."""
    SILENCE = "silence"
    """Connections to a machine are accepted but carry no data to it."""
    RESET = "reset"
    """Connections to a machine are reset."""
    KILL_CONTROLS = "kill_controls"
    """All control replicas are killed right after a change is acknowledged."""
    KILL_ALL = "kill_all"
    """All processes are killed right after a change is acknowledged."""
    TARGET_CRASH = "target_crash"
    """A target stops responding permanently; a new one starts."""
    TARGET_REUSE = "target_reuse"
    """A target crashes; another service reuses its address."""
    TARGET_RESTART = "target_restart"
    """A target crashes and restarts under the same id, without its flows."""
    TARGET_LEAVE = "target_leave"
    """A target drains and deregisters; a new one starts."""


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
"""The relative frequency of each kind; a wipe is drawn separately."""

_FAULT_DELAYS_S = {
    FaultKind.STOP: LONGEST_FAULT_DELAY_S,
    FaultKind.KILL_CONTROLS: 3.0,
    FaultKind.KILL_ALL: 3.0,
}
"""How much later than planned a fault may end: a graceful stop takes time,
and a mass kill first waits for an acknowledgement."""

_CONTROL_ONLY_KINDS = {FaultKind.TORN, FaultKind.WIPE, FaultKind.FULL_DISK}


class Fault(NamedTuple):
    """One fault of a plan."""

    start_s: float
    """When it begins, in seconds since the start of the traffic."""
    kind: FaultKind
    """Its kind."""
    victim: int
    """The number of the affected machine or target among the eligible ones."""
    duration_s: float
    """How long it lasts, or how long a killed process stays down."""

    @property
    def end_s(self) -> float:
        """The latest time at which it ends."""
        return (
            self.start_s + self.duration_s + _FAULT_DELAYS_S.get(self.kind, 0.0)
        )


def eligible_machine_count(kind: FaultKind) -> int:
    """Returns how many machines a kind of fault may hit."""
    return (
        CONTROL_COUNT
        if kind in _CONTROL_ONLY_KINDS
        else CONTROL_COUNT + ENTRY_COUNT
    )


def make_plan(seed: int, fault_time_s: float) -> tuple[Fault, ...]:
    """Draws the faults of a run.

    Args:
        seed: The seed from which all faults are drawn.
        fault_time_s: How long all series of faults last together.

    Returns:
        The faults, ordered by their start.
    """
    rng = random.Random(seed)
    series_s = fault_time_s / SERIES_COUNT
    wipe_series = rng.randrange(SERIES_COUNT)
    faults: list[Fault] = []
    for number in range(SERIES_COUNT):
        begin_s = number * (series_s + QUIET_PERIOD_S)
        faults += _draw_series(rng, begin_s, begin_s + series_s)
        if number == wipe_series:
            start_s = begin_s + rng.uniform(0.1, 0.7) * series_s
            fault = _draw_fault(
                rng, start_s, begin_s + series_s, FaultKind.WIPE
            )
            faults.append(fault)
    return tuple(sorted(faults))


def quiet_period_starts(fault_time_s: float) -> list[float]:
    """Returns when the quiet periods between the series begin."""
    series_s = fault_time_s / SERIES_COUNT
    return [
        (number + 1) * series_s + number * QUIET_PERIOD_S
        for number in range(SERIES_COUNT - 1)
    ]


def _draw_series(
    rng: random.Random, begin_s: float, end_s: float
) -> list[Fault]:
    kinds = list(_WEIGHTS)
    weights = list(_WEIGHTS.values())
    faults = []
    start_s = begin_s + rng.uniform(0.3, 1.0)
    while start_s < end_s - SHORTEST_FAULT_S:
        (kind,) = rng.choices(kinds, weights)
        faults.append(_draw_fault(rng, start_s, end_s, kind))
        if rng.random() < 0.25:
            # A second fault starts at the same time.
            (kind,) = rng.choices(kinds, weights)
            faults.append(_draw_fault(rng, start_s, end_s, kind))
        start_s += rng.expovariate(1 / MEAN_GAP_S)
    return faults


def _draw_fault(
    rng: random.Random, start_s: float, end_s: float, kind: FaultKind
) -> Fault:
    longest_s = max(SHORTEST_FAULT_S, min(LONGEST_FAULT_S, end_s - start_s))
    duration_s = rng.uniform(SHORTEST_FAULT_S, longest_s)
    victim = rng.randrange(eligible_machine_count(kind))
    return Fault(round(start_s, 3), kind, victim, round(duration_s, 3))


def is_fault_free(
    plan: tuple[Fault, ...], from_s: float, to_s: float, stabilisation_s: float
) -> bool:
    """Returns whether no fault could have had an effect in a span of time.

    Args:
        plan: The faults.
        from_s: When the span begins.
        to_s: When it ends.
        stabilisation_s: How long a fault may have an effect after its end.
    """
    return not any(
        fault.start_s <= to_s and from_s <= fault.end_s + stabilisation_s
        for fault in plan
    )
