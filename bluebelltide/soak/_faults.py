"""Carrying out a plan's faults on processes, links and targets."""

from collections.abc import Callable, Mapping, Sequence
import signal

import anyio

from bluebelltide.soak import _links
from bluebelltide.soak import _plan
from bluebelltide.soak import _processes

STOP_GRACE_S = 6.0
"""How long a process may take to stop before it is killed."""
ENDED_POLL_S = 0.05
"""How often a stopping process is looked at."""
LOST_SHARE = 0.1
"""The share of datagrams that a lossy link loses."""
LONG_DELAY_S = 0.15
"""How much longer everything takes on a slow link."""
READ_AFTER_S = 6.0
"""How long nothing is changed after all replicas were killed and are back."""
ACKNOWLEDGED_WAIT_S = 3.0
"""How long to wait for an acknowledgement to strike at."""


TargetActions = Mapping[_plan.FaultKind, Callable[[int], None]]
"""What can happen to targets: functions that take the number of a victim."""


class FaultRunner:
    """Carries out faults at their times."""

    def __init__(
        self,
        controls: Sequence[_processes.MachineProcess],
        entries: Sequence[_processes.MachineProcess],
        links: _links.Links,
        targets: TargetActions,
        next_acknowledged: Callable[[], anyio.Event],
        hold_changes: Callable[[float], None],
    ) -> None:
        """Creates the runner.

        Args:
            controls: The control replicas' processes.
            entries: The entry instances' processes.
            links: The links between all machines.
            targets: What can happen to targets.
            next_acknowledged: Returns an event that the operators' next
                acknowledgement sets.
            hold_changes: Keeps operators from changes for some seconds, so
                that what a mass kill lost can be read.
        """
        self._controls = controls
        self._all = [*controls, *entries]
        self._links = links
        self._targets = targets
        self._next_acknowledged = next_acknowledged
        self._hold_changes = hold_changes

    async def run(self, fault: _plan.Fault) -> None:
        """Carries out one fault, from its start to its end."""
        kind = fault.kind
        if kind in self._targets:
            self._targets[kind](fault.victim)
        elif kind == _plan.FaultKind.KILL_CONTROLS:
            await self._kill_after_change(self._controls, fault.for_s)
        elif kind == _plan.FaultKind.KILL_ALL:
            await self._kill_after_change(self._all, fault.for_s)
        else:
            await self._harm(self._victim(fault), kind, fault.for_s)

    def _victim(self, fault: _plan.Fault) -> _processes.MachineProcess:
        """Returns the process that a fault hits."""
        count = _plan.machine_count(fault.kind)
        is_control = count == len(self._controls)
        return (self._controls if is_control else self._all)[fault.victim]

    async def _harm(
        self,
        process: _processes.MachineProcess,
        kind: _plan.FaultKind,
        for_s: float,
    ) -> None:
        """Carries out a fault of one process or of its links."""
        if kind in _KILLS:
            await self._kill([process], for_s, kind)
        elif kind == _plan.FaultKind.STOP:
            await self.stop(process, for_s)
        elif kind == _plan.FaultKind.RELOAD:
            process.signal(signal.SIGHUP)
        elif kind == _plan.FaultKind.PAUSE:
            process.pause()
            await anyio.sleep(for_s)
            process.resume()
        elif kind == _plan.FaultKind.FULL_DISK:
            process.fill_disk()
            await anyio.sleep(for_s)
            process.free_disk()
        else:
            harmed = self._links.harm(*self._link_fault(kind, process))
            await anyio.sleep(for_s)
            self._links.mend(harmed)

    async def _kill(
        self,
        processes: Sequence[_processes.MachineProcess],
        down_s: float,
        kind: _plan.FaultKind = _plan.FaultKind.KILL,
    ) -> None:
        for process in processes:
            process.kill()
            if kind == _plan.FaultKind.WIPE:
                process.wipe()
            elif kind == _plan.FaultKind.TORN:
                process.tear_log()
        await anyio.sleep(down_s)
        for process in processes:
            process.start()

    async def _kill_after_change(
        self, processes: Sequence[_processes.MachineProcess], down_s: float
    ) -> None:
        with anyio.move_on_after(ACKNOWLEDGED_WAIT_S):
            await self._next_acknowledged().wait()
        self._hold_changes(down_s + READ_AFTER_S)
        await self._kill(processes, down_s)

    async def stop(
        self, process: _processes.MachineProcess, down_s: float
    ) -> None:
        """Asks a process to stop, and starts it again."""
        process.ask_to_stop()
        with anyio.move_on_after(STOP_GRACE_S):
            while process.ended_with() is None:
                await anyio.sleep(ENDED_POLL_S)
        process.kill()
        await anyio.sleep(min(down_s, 1.0))
        process.start()

    def _link_fault(
        self, kind: _plan.FaultKind, process: _processes.MachineProcess
    ) -> tuple[frozenset[tuple[str, str]], _links.LinkState]:
        """Returns the directed links that a fault harms, and how."""
        inside = {process.machine.bind_host}
        if kind == _plan.FaultKind.CUT_DATA_CENTRE:
            inside = {
                other.machine.bind_host
                for other in self._all
                if other.machine.data_centre == process.machine.data_centre
            }
        outside = {other.machine.bind_host for other in self._all} - inside
        incoming = frozenset(
            (there, here) for there in outside for here in inside
        )
        outgoing = frozenset((here, there) for there, here in incoming)
        both = incoming | outgoing
        cut = _links.LinkState(lost_share=1.0)
        harms = {
            _plan.FaultKind.CUT: (both, cut),
            _plan.FaultKind.CUT_DATA_CENTRE: (both, cut),
            _plan.FaultKind.CUT_IN: (incoming, cut),
            _plan.FaultKind.CUT_OUT: (outgoing, cut),
            _plan.FaultKind.LOSSY: (
                both,
                _links.LinkState(lost_share=LOST_SHARE),
            ),
            _plan.FaultKind.DELAY: (
                both,
                _links.LinkState(delay_s=LONG_DELAY_S),
            ),
            _plan.FaultKind.SILENCE: (
                incoming,
                _links.LinkState(is_silent=True),
            ),
            _plan.FaultKind.RESET: (incoming, _links.LinkState(is_reset=True)),
        }
        return harms[kind]


_KILLS = frozenset(
    {_plan.FaultKind.KILL, _plan.FaultKind.TORN, _plan.FaultKind.WIPE}
)
