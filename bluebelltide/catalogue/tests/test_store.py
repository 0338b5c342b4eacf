"""Tests of the durable store: torn records, corruption, snapshots."""

import os
import pathlib

import pytest

from bluebelltide import _exceptions
from bluebelltide.catalogue import _register
from bluebelltide.catalogue import _store


def make_acceptor_state(version: int) -> _register.AcceptorState:
    ballot = _register.Ballot(version, "c1/x")
    state = _register.RegisterState(version, b"v" * 50)
    return _register.AcceptorState(ballot, ballot, state)


def write_states(folder: pathlib.Path, count: int) -> _store.Store:
    store = _store.Store(folder)
    store.start()
    for number in range(count):
        key = f"service/{number % 5}"
        store.write(
            [_register.AcceptorStateWrite(key, make_acceptor_state(number + 1))]
        )
    return store


def reopen(folder: pathlib.Path) -> _store.RecoveredState:
    store = _store.Store(folder)
    try:
        return store.start()
    finally:
        store.close()


def test_a_restart_after_500_changes_keeps_the_newest(
    tmp_path: pathlib.Path,
) -> None:
    write_states(tmp_path, 500).close()
    found = reopen(tmp_path)
    versions = {
        key: s.state.version for key, s in found.acceptor_states.items()
    }
    assert versions == {f"service/{n}": 496 + n for n in range(5)}


def test_a_snapshot_replaces_the_log(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_store, "COMPACT_AFTER_BYTES", 2000)
    write_states(tmp_path, 100).close()
    names = sorted(path.name.split("-")[0] for path in tmp_path.iterdir())
    assert names == ["log", "snapshot"]
    found = reopen(tmp_path)
    assert found.acceptor_states["service/4"].state.version == 100


@pytest.mark.parametrize("cut_bytes", [1, 7, 12, 40])
def test_a_torn_tail_is_cut_off(tmp_path: pathlib.Path, cut_bytes: int) -> None:
    write_states(tmp_path, 10).close()
    log = tmp_path / "log-0"
    log.write_bytes(log.read_bytes()[:-cut_bytes])
    found = reopen(tmp_path)
    assert found.torn_bytes > 0
    assert found.acceptor_states["service/4"].state.version == 5
    assert reopen(tmp_path).torn_bytes == 0


def test_corruption_before_the_end_is_an_error(tmp_path: pathlib.Path) -> None:
    write_states(tmp_path, 10).close()
    log = tmp_path / "log-0"
    data = bytearray(log.read_bytes())
    data[40] ^= 0xFF
    log.write_bytes(bytes(data))
    with pytest.raises(_exceptions.BluebelltideError) as caught:
        reopen(tmp_path)
    assert caught.value.code == _exceptions.ErrorCode.CORRUPT_STORE


def test_a_crash_between_snapshot_and_new_log_loses_nothing(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    store = write_states(tmp_path, 10)
    monkeypatch.setattr(store, "_open_empty_log", lambda generation: 1 / 0)
    with pytest.raises(ZeroDivisionError):
        store._compact()
    found = reopen(tmp_path)
    assert found.acceptor_states["service/4"].state.version == 10


def test_a_failed_write_leaves_no_torn_record_in_the_log(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    store = _store.Store(tmp_path)
    store.start()
    first = _register.AcceptorState(state=_register.RegisterState(1, b"first"))
    store.write([_register.AcceptorStateWrite("k", first)])

    def fail_with_full_disk(descriptor: int) -> None:
        raise OSError(28, "no space left")

    with monkeypatch.context() as patched:
        patched.setattr(os, "fsync", fail_with_full_disk)
        rejected = _register.AcceptorState(
            state=_register.RegisterState(2, b"refused")
        )
        with pytest.raises(OSError, match="no space"):
            store.write([_register.AcceptorStateWrite("k", rejected)])
    later = _register.AcceptorState(state=_register.RegisterState(3, b"later"))
    store.write([_register.AcceptorStateWrite("other", later)])
    store.close()

    recovered = _store.Store(tmp_path).start()
    assert recovered.acceptor_states == {"k": first, "other": later}
    assert recovered.torn_bytes == 0


def test_a_torn_last_record_with_missing_parts_is_cut_off(
    tmp_path: pathlib.Path,
) -> None:
    store = _store.Store(tmp_path)
    store.start()
    first = _register.AcceptorState(
        state=_register.RegisterState(1, b"x" * 3000)
    )
    store.write([_register.AcceptorStateWrite("k", first)])
    store.close()
    log = tmp_path / "log-0"
    intact = log.read_bytes()
    record = _store.encode_record(_register.AcceptorStateWrite("k", first))
    for torn in (
        bytes(len(record)),
        bytes(512) + record[512:],
        record[:512] + bytes(512) + record[1024:],
    ):
        log.write_bytes(intact + torn)
        reopened = _store.Store(tmp_path)
        recovered = reopened.start()
        reopened.close()
        assert recovered.acceptor_states == {"k": first}
        assert recovered.torn_bytes == len(torn)
        assert log.read_bytes() == intact
