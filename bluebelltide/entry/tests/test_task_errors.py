"""Tests that no task of an entry instance ends its process by an error."""

import anyio
import anyio.abc
import pytest

from bluebelltide import _guard
from bluebelltide.entry import _direct_service
from bluebelltide.entry import _load_reporter
from bluebelltide.entry.tests import test_direct_service
from bluebelltide.membership import _directory
from bluebelltide.membership import _replica_poller
from bluebelltide.membership.tests import test_directory
from bluebelltide.messaging import _calls
from bluebelltide.messaging import _datagrams

ENTRY = _direct_service.DirectEntry
STEPS = [
    (ENTRY, "_send_poll"),
    (ENTRY, "_apply_targets"),
    (ENTRY, "_fetch_deployment"),
    (ENTRY, "_poll_replicas_forever"),
    (ENTRY, "_maintain_forever"),
    (ENTRY, "_check_for_pause"),
    (_load_reporter.LoadReporter, "next_wait_ms"),
    (_load_reporter.LoadReporter, "send_due_reports"),
    (_replica_poller.ReplicaPoller, "hosts"),
    (_calls, "call"),
]
"""A step of each kind of task: it polls, applies, fetches or reports."""


@pytest.mark.parametrize(("owner", "name"), STEPS)
def test_an_error_in_any_step_ends_no_process_and_the_instance_recovers(
    monkeypatch: pytest.MonkeyPatch, owner: object, name: str
) -> None:
    """Guards against tasks that run without a guard."""
    monkeypatch.setattr(_guard, "RESTART_DELAY_S", 0.01)
    monkeypatch.setattr(_direct_service, "FEW_TARGETS", 0)
    entry = test_direct_service.make_entry()

    def fail(*args: object) -> None:
        raise RuntimeError(name)

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            with monkeypatch.context() as patch:
                patch.setattr(owner, name, fail)
                await entry.start(tasks)
                for version in (1, 2):
                    with _guard.log_errors("an update"):
                        entry._on_update(make_update(version), 0)
                    await anyio.sleep(0.05)
            entry._on_update(make_update(3), 0)
            await anyio.sleep(0.1)
            assert len(entry._front._endpoints) == 3
            entry.close()
            tasks.cancel_scope.cancel()

    def make_update(number: int) -> _datagrams.Update:
        target = test_directory.make_target(f"i-{number}", port=number)
        return test_direct_service.make_update(1, 0)._replace(
            records=(_directory.TargetRecord(target),)
        )

    anyio.run(run)
