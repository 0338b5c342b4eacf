"""Tests of the file of saved targets."""

import pathlib

import pytest

from bluebelltide import _codec
from bluebelltide import _exceptions
from bluebelltide.membership import _directory
from bluebelltide.membership import _target_file
from bluebelltide.membership.tests import test_directory


def test_saved_records_are_read_back(tmp_path: pathlib.Path) -> None:
    records = (
        _directory.TargetRecord(test_directory.make_target("i-1")),
        _directory.TargetRecord(test_directory.make_target("i-2"), True),
    )
    saved = _target_file.SavedMembership(records, ("10.0.0.7", "10.0.0.8"))
    _target_file.write_targets(tmp_path, saved)
    assert _target_file.read_targets(tmp_path) == saved


def test_a_missing_file_reads_as_empty(tmp_path: pathlib.Path) -> None:
    assert _target_file.read_targets(tmp_path) == _target_file.SavedMembership()


def test_a_damaged_file_is_reported(tmp_path: pathlib.Path) -> None:
    target = test_directory.make_target("i-1")
    old_records = [_directory.TargetRecord(target)]
    old_layout = _codec.encode(_codec.to_plain(old_records))
    for data in (b"\xff\x00", old_layout):
        (tmp_path / _target_file.FILE_NAME).write_bytes(data)
        assert_unreadable(tmp_path)


def assert_unreadable(tmp_path: pathlib.Path) -> None:
    with pytest.raises(_exceptions.BluebelltideError):
        _target_file.read_targets(tmp_path)
