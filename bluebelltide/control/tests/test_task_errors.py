"""Tests that no task of a control replica ends its process by an error."""

import pathlib

import anyio
import pytest

from bluebelltide import _guard
from bluebelltide import _metrics
from bluebelltide import _types
from bluebelltide.control import _deployment_replica
from bluebelltide.control import _direct_service
from bluebelltide.control import _update_publisher
from bluebelltide.control import _update_sender
from bluebelltide.control import _voter_planner
from bluebelltide.membership.tests import test_directory
from bluebelltide.messaging import _calls
from bluebelltide.messaging import _datagrams

HOST = "127.0.0.1"
REPLICA = _datagrams.Replica("127.0.0.2~0", "south")
STEPS = [
    (_direct_service.DirectControl, "_send_poll"),
    (_direct_service.DirectControl, "_expire_targets"),
    (_voter_planner.VoterPlanner, "plan"),
    (_voter_planner.VoterPlanner, "check_quorum"),
    (_direct_service.DirectControl, "_notify_previous_instances"),
    (_direct_service.DirectControl, "_poll_forever"),
    (_direct_service.DirectControl, "_confirm_and_plan_forever"),
    (_direct_service.DirectControl, "_save_for_restart_forever"),
    (_deployment_replica.DeploymentReplica, "handle_call"),
    (_deployment_replica.DeploymentReplica, "unsaved_states"),
    (_update_publisher.UpdatePublisher, "make_updates"),
    (_update_publisher.UpdatePublisher, "answer_poll"),
    (_update_publisher.UpdatePublisher, "entry_hosts"),
    (_update_sender.UpdateSender, "_push_later"),
    (_calls, "call"),
]
"""A step of each kind of task: it sends, polls, saves, plans or answers."""


@pytest.mark.parametrize(("owner", "name"), STEPS)
def test_an_error_in_any_step_ends_no_process_and_the_replica_recovers(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    owner: object,
    name: str,
) -> None:
    """Guards against tasks that run without a guard.

    A delayed round of updates could not encode one of them, and the error ended
    the process of the replica.
    """
    monkeypatch.setattr(_direct_service, "POLL_INTERVAL_MS", 10)
    monkeypatch.setattr(_direct_service, "PLAN_INTERVAL_MS", 10)
    monkeypatch.setattr(_direct_service, "SAVE_INTERVAL_MS", 10)
    monkeypatch.setattr(_guard, "RESTART_DELAY_S", 0.01)
    metrics = _metrics.create_metrics(None, "control")

    def fail(*args: object) -> None:
        raise RuntimeError(name)

    async def run() -> None:
        control = await start_control(tmp_path, metrics, tasks)
        with monkeypatch.context() as patch:
            patch.setattr(owner, name, fail)
            control = await restart(control)
            exercise(control)
            await anyio.sleep(0.1)
        # The replica works again, without another start.
        exercise(control, sequence=2)
        await anyio.sleep(0.1)
        assert control.directory.live_targets()
        assert (await control.deployment_replica.put(1, b"one")).is_certain

    async def restart(
        control: _direct_service.DirectControl,
    ) -> _direct_service.DirectControl:
        """Starts again, so that tasks of the start fail as well."""
        control.close()
        return await start_control(tmp_path, metrics, tasks)

    tasks: anyio.abc.TaskGroup

    async def run_in_group() -> None:
        nonlocal tasks
        async with anyio.create_task_group() as tasks:
            await run()
            tasks.cancel_scope.cancel()

    anyio.run(run_in_group)


def test_an_error_in_the_hand_over_does_not_prevent_a_stop(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that ends by an error when it should stop."""

    def fail(*args: object) -> None:
        raise RuntimeError("hand-over")

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            metrics = _metrics.create_metrics(None, "control")
            control = await start_control(tmp_path, metrics, tasks)
            monkeypatch.setattr(_voter_planner.VoterPlanner, "hand_over", fail)
            await control.hand_over()
            control.close()
            tasks.cancel_scope.cancel()

    anyio.run(run)


async def start_control(
    folder: pathlib.Path,
    metrics: _metrics.Metrics,
    tasks: anyio.abc.TaskGroup,
) -> _direct_service.DirectControl:
    settings = _deployment_replica.ReplicaSettings(
        HOST, 0, "north", (HOST,), folder, True, 1, 9600
    )
    control = _direct_service.DirectControl(
        settings, lambda body: frozenset(), metrics
    )
    await control.start(tasks)
    return control


def exercise(control: _direct_service.DirectControl, sequence: int = 1) -> None:
    """Lets every kind of task do its work."""
    poll = _datagrams.Poll("127.0.0.3", "north", None, 0, 0)
    update = _datagrams.Update(
        REPLICA, 7, 0, 0, False, True, 5, 9, (REPLICA,), ()
    )
    for message in (poll, update):
        data = _datagrams.encode_datagram(message)
        assert control._socket is not None
        control._socket._socket.sendto(
            data, control._socket._socket.getsockname()
        )
    for port in (80, 81, 82):
        target = test_directory.make_target(
            f"i-{port}",
            sequence=sequence,
            state=_types.TargetState.DRAINING,
            port=port,
        )
        control.record_announcement(target)
