"""Tests of the targets that survive a restart."""

import pathlib

import pytest

from bluebelltide import _codec
from bluebelltide import _exceptions
from bluebelltide.membership import _directory
from bluebelltide.membership import _target_file
from bluebelltide.membership.tests import test_directory


def test_records_come_back(tmp_path: pathlib.Path) -> None:
    records = (
        _directory.TargetRecord(test_directory.make_target("i-1")),
        _directory.TargetRecord(test_directory.make_target("i-2"), True),
    )
    known = _target_file.SavedMembership(records, ("10.0.0.7", "10.0.0.8"))
    _target_file.write_targets(tmp_path, known)
    assert _target_file.read_targets(tmp_path) == known


def test_a_new_folder_has_no_records(tmp_path: pathlib.Path) -> None:
    assert _target_file.read_targets(tmp_path) == _target_file.SavedMembership()


def test_a_damaged_file_is_said(tmp_path: pathlib.Path) -> None:
    target = test_directory.make_target("i-1")
    earlier_format = [_directory.TargetRecord(target)]
    earlier = _codec.encode(_codec.to_plain(earlier_format))
    for data in (b"\xff\x00", earlier):
        (tmp_path / _target_file.FILE_NAME).write_bytes(data)
        expect_error(tmp_path)


def expect_error(tmp_path: pathlib.Path) -> None:
    with pytest.raises(_exceptions.BluebelltideError):
        _target_file.read_targets(tmp_path)
