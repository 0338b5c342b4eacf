"""Tests of the wiring of an entry instance."""

from collections.abc import Callable
import pathlib

import anyio
import pytest

from bluebelltide import _metrics
from bluebelltide import _settings
from bluebelltide.catalogue import _store
from bluebelltide.entry import _service
from bluebelltide.entry.tests import test_mesh


def read_settings(folder: pathlib.Path) -> _settings.Settings:
    path = folder / "entry.json"
    text = test_mesh.EXAMPLE.read_text()
    path.write_text(text.replace("@N@", "1").replace("@DATA@", str(folder)))
    (folder / "relay.keys").write_text("key")
    settings = _settings.read_settings(str(path))
    assert settings.entry is not None
    entry = settings.entry._replace(data_folder=str(folder))
    return settings._replace(entry=entry)


def test_a_full_disk_costs_the_saved_catalogue_and_nothing_else(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    settings = read_settings(tmp_path)
    metrics = _metrics.create_metrics(None, "test")
    file = tmp_path / _service.CATALOGUE_FILE

    def refuse(path: pathlib.Path, data: bytes) -> None:
        raise OSError(28, "No space left on device")

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            service = _service.EntryService(settings, metrics, tasks)
            tasks.start_soon(service._apply_catalogue_forever)
            with monkeypatch.context() as patch:
                patch.setattr(_store, "write_file_atomically", refuse)
                service.mesh.merge_catalogue((test_mesh.SAVED,))
                await wait_until(
                    lambda: metrics.counts["catalogue.not_saved"] == 1
                )
            newer = test_mesh.SAVED._replace(version=9)
            service.mesh.merge_catalogue((newer,))
            await wait_until(file.exists)
            assert service._reported_versions == {newer.key: 9}
            tasks.cancel_scope.cancel()

    anyio.run(run)


async def wait_until(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(5):
        while not condition():
            await anyio.sleep(0.01)
