"""Tests of the targets that a replica saves for a restart."""

import pathlib

import anyio
import pytest

from bluebelltide.bench import _scale
from bluebelltide.control import _saved_targets
from bluebelltide.membership import _directory
from bluebelltide.membership import _target_file

ENTRY_HOSTS = ("10.0.0.1", "10.0.0.2")


def make_saved_targets(
    folder: pathlib.Path, targets: int
) -> tuple[_saved_targets.SavedTargets, _directory.TargetDirectory]:
    directory = _directory.TargetDirectory()
    for number in range(targets):
        target = _scale.make_target(number, 1)
        directory.merge(_directory.TargetRecord(target), 0)
    return _saved_targets.SavedTargets(folder, directory), directory


def test_a_restart_recovers_the_saved_targets_and_instances(
    tmp_path: pathlib.Path,
) -> None:
    saved, _ = make_saved_targets(tmp_path, 3)
    anyio.run(saved.save_if_changed, ENTRY_HOSTS)
    restarted, directory = make_saved_targets(tmp_path, 0)
    restarted.recover(now_ms=0)
    assert restarted.recovered_count == 3
    assert restarted.previous_entry_hosts == ENTRY_HOSTS
    assert len(directory.live_targets()) == 3


def test_targets_are_saved_again_only_if_they_or_the_instances_changed(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    saved, directory = make_saved_targets(tmp_path, 3)
    writes: list[object] = []
    monkeypatch.setattr(
        _target_file, "write_targets", lambda *args: writes.append(args)
    )
    for hosts in (ENTRY_HOSTS, ENTRY_HOSTS, ENTRY_HOSTS[:1]):
        anyio.run(saved.save_if_changed, hosts)
    assert len(writes) == 2
    directory.mark_as_left("i-0001", 0)
    anyio.run(saved.save_if_changed, ENTRY_HOSTS[:1])
    assert len(writes) == 3


def test_a_full_disk_is_tried_again_until_the_departure_is_saved(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    saved, directory = make_saved_targets(tmp_path, 3)
    anyio.run(saved.save_if_changed, ENTRY_HOSTS)
    directory.mark_as_left("i-0001", 0)

    def refuse(*args: object) -> None:
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(_target_file, "write_targets", refuse)
        anyio.run(saved.save_if_changed, ENTRY_HOSTS)
    anyio.run(saved.save_if_changed, ENTRY_HOSTS)
    restarted, recovered_directory = make_saved_targets(tmp_path, 0)
    restarted.recover(now_ms=0)
    live = {one.target_id for one in recovered_directory.live_targets()}
    assert live == {"i-0000", "i-0002"}


def test_a_damaged_file_does_not_prevent_a_start(
    tmp_path: pathlib.Path,
) -> None:
    saved, directory = make_saved_targets(tmp_path, 1)
    anyio.run(saved.save_if_changed, ENTRY_HOSTS)
    for path in tmp_path.iterdir():
        path.write_bytes(path.read_bytes()[:-3])
    restarted, directory = make_saved_targets(tmp_path, 0)
    restarted.recover(now_ms=0)
    assert restarted.recovered_count == 0
    assert directory.live_targets() == []
