"""Injects the faults of a plan into processes, links and targets."""

from collections.abc import Callable, Mapping, Sequence
import signal

import anyio

from bluebelltide.soak import _links
from bluebelltide.soak import _plan
from bluebelltide.soak import _processes

STOP_GRACE_S = 6.0
"""How long a process may take to stop before it is killed."""
EXIT_POLL_S = 0.05
"""Time between two checks whether a stopping process has exited."""
LOSSY_LINK_LOSS_SHARE = 0.1
"""The share of datagrams that a lossy link drops."""
SLOW_LINK_DELAY_S = 0.15
"""The delay that a slow link adds."""
READ_ONLY_S = 6.0
"""Time without changes after the processes of a mass kill have restarted."""
ACKNOWLEDGEMENT_WAIT_S = 3.0
"""How long a mass kill waits for a change to be acknowledged."""


TargetActions = Mapping[_plan.FaultKind, Callable[[int], None]]
"""Functions that inject faults into targets; each takes a victim's number."""


class FaultRunner:
    """Injects each fault when `run` is called; faults may overlap."""

    def __init__(
        self,
        controls: Sequence[_processes.MachineProcess],
        entries: Sequence[_processes.MachineProcess],
        links: _links.Links,
        target_actions: TargetActions,
        next_acknowledgement: Callable[[], anyio.Event],
        pause_changes: Callable[[float], None],
    ) -> None:
        """Creates the runner.

        Args:
            controls: The control replicas' processes.
            entries: The entry instances' processes.
            links: The links between all machines.
            target_actions: Functions that inject faults into targets.
            next_acknowledgement: Returns an event that is set when the next
                change of an operator is acknowledged.
            pause_changes: Keeps operators from making changes for some
                seconds, so that reads can show what a mass kill lost.
        """
        self._controls = controls
        self._processes = [*controls, *entries]
        self._links = links
        self._target_actions = target_actions
        self._next_acknowledgement = next_acknowledgement
        self._pause_changes = pause_changes

    async def run(self, fault: _plan.Fault) -> None:
        """Injects one fault and returns after it has ended."""
        kind = fault.kind
        if kind in self._target_actions:
            self._target_actions[kind](fault.victim)
        elif kind == _plan.FaultKind.KILL_CONTROLS:
            await self._kill_after_change(self._controls, fault.duration_s)
        elif kind == _plan.FaultKind.KILL_ALL:
            await self._kill_after_change(self._processes, fault.duration_s)
        else:
            await self._inject(self._victim(fault), kind, fault.duration_s)

    def _victim(self, fault: _plan.Fault) -> _processes.MachineProcess:
        """Returns the process into which a fault is injected."""
        count = _plan.eligible_machine_count(fault.kind)
        hits_controls_only = count == len(self._controls)
        return (self._controls if hits_controls_only else self._processes)[
            fault.victim
        ]

    async def _inject(
        self,
        process: _processes.MachineProcess,
        kind: _plan.FaultKind,
        duration_s: float,
    ) -> None:
        """Injects a fault into one process or its links."""
        if kind in _KILL_KINDS:
            await self._kill([process], duration_s, kind)
        elif kind == _plan.FaultKind.STOP:
            await self.stop_and_restart(process, duration_s)
        elif kind == _plan.FaultKind.RELOAD:
            process.signal(signal.SIGHUP)
        elif kind == _plan.FaultKind.PAUSE:
            process.pause()
            await anyio.sleep(duration_s)
            process.resume()
        elif kind == _plan.FaultKind.FULL_DISK:
            process.fill_disk()
            await anyio.sleep(duration_s)
            process.free_disk()
        else:
            fault_number = self._links.add_fault(
                *self._link_fault(kind, process)
            )
            await anyio.sleep(duration_s)
            self._links.remove_fault(fault_number)

    async def _kill(
        self,
        processes: Sequence[_processes.MachineProcess],
        down_s: float,
        kind: _plan.FaultKind = _plan.FaultKind.KILL,
    ) -> None:
        for process in processes:
            process.kill()
            if kind == _plan.FaultKind.WIPE:
                process.delete_data()
            elif kind == _plan.FaultKind.TORN:
                process.append_torn_record()
        await anyio.sleep(down_s)
        for process in processes:
            process.start()

    async def _kill_after_change(
        self, processes: Sequence[_processes.MachineProcess], down_s: float
    ) -> None:
        with anyio.move_on_after(ACKNOWLEDGEMENT_WAIT_S):
            await self._next_acknowledgement().wait()
        self._pause_changes(down_s + READ_ONLY_S)
        await self._kill(processes, down_s)

    async def stop_and_restart(
        self, process: _processes.MachineProcess, down_s: float
    ) -> None:
        """Stops a process, by force after a grace period, and restarts it."""
        process.request_stop()
        with anyio.move_on_after(STOP_GRACE_S):
            while process.exit_code() is None:
                await anyio.sleep(EXIT_POLL_S)
        process.kill()
        await anyio.sleep(min(down_s, 1.0))
        process.start()

    def _link_fault(
        self, kind: _plan.FaultKind, process: _processes.MachineProcess
    ) -> tuple[frozenset[tuple[str, str]], _links.LinkState]:
        """Returns the directed links that a fault affects, and their state."""
        affected_hosts = {process.machine.bind_host}
        if kind == _plan.FaultKind.CUT_DATA_CENTRE:
            affected_hosts = {
                other.machine.bind_host
                for other in self._processes
                if other.machine.data_centre == process.machine.data_centre
            }
        other_hosts = {
            other.machine.bind_host for other in self._processes
        } - affected_hosts
        incoming = frozenset(
            (remote, local)
            for remote in other_hosts
            for local in affected_hosts
        )
        outgoing = frozenset((local, remote) for remote, local in incoming)
        both_directions = incoming | outgoing
        cut = _links.LinkState(lost_share=1.0)
        link_faults = {
            _plan.FaultKind.CUT: (both_directions, cut),
            _plan.FaultKind.CUT_DATA_CENTRE: (both_directions, cut),
            _plan.FaultKind.CUT_IN: (incoming, cut),
            _plan.FaultKind.CUT_OUT: (outgoing, cut),
            _plan.FaultKind.LOSSY: (
                both_directions,
                _links.LinkState(lost_share=LOSSY_LINK_LOSS_SHARE),
            ),
            _plan.FaultKind.DELAY: (
                both_directions,
                _links.LinkState(delay_s=SLOW_LINK_DELAY_S),
            ),
            _plan.FaultKind.SILENCE: (
                incoming,
                _links.LinkState(is_silent=True),
            ),
            _plan.FaultKind.RESET: (incoming, _links.LinkState(is_reset=True)),
        }
        return link_faults[kind]


_KILL_KINDS = frozenset(
    {_plan.FaultKind.KILL, _plan.FaultKind.TORN, _plan.FaultKind.WIPE}
)
