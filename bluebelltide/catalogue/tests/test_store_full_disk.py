"""Tests of the store on a disk that is full for a while.

Each step of a write or of a compaction may be the first that the disk refuses.
"""

from collections.abc import Iterable
import contextlib
import os
import pathlib
import shutil
from typing import Any

import pytest

from bluebelltide.catalogue import _register
from bluebelltide.catalogue import _store

STEPS = 16
"""At least as many refusable steps as a write with a compaction has."""


class RefusingDisk:
    """Counts the steps that need room, and refuses some of them."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Counts from now on; refuses nothing yet."""
        self.is_counting = True
        self.steps = 0
        self.refused_steps: frozenset[int] = frozenset()
        for owner, name in (
            (os, "fsync"),
            (pathlib.Path, "open"),
            (pathlib.Path, "replace"),
        ):
            self._refuse_when_full(monkeypatch, owner, name)

    def _refuse_when_full(
        self, monkeypatch: pytest.MonkeyPatch, owner: object, name: str
    ) -> None:
        original = getattr(owner, name)

        def step(*args: Any, **options: Any) -> Any:  # noqa: ANN401
            if self.is_counting:
                self.steps += 1
                if self.steps in self.refused_steps:
                    raise OSError(28, "no space left")
            return original(*args, **options)

        monkeypatch.setattr(owner, name, step)

    def refuse(self, steps: Iterable[int]) -> None:
        """Refuses some steps, counted from the next one as step 1."""
        self.refused_steps = frozenset(self.steps + step for step in steps)


def write_version(store: _store.Store, version: int) -> None:
    state = _register.RegisterState(version, b"v" * 200)
    store.write(
        [
            _register.AcceptorStateWrite(
                "document", _register.AcceptorState(state=state)
            )
        ]
    )


@pytest.mark.parametrize("refused_count", [1, 3, 100])
@pytest.mark.parametrize("first_refused", range(1, STEPS))
def test_a_full_disk_ends_no_store_and_loses_nothing_acknowledged(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    first_refused: int,
    refused_count: int,
) -> None:
    monkeypatch.setattr(_store, "COMPACT_AFTER_BYTES", 500)
    store = _store.Store(tmp_path)
    store.start()
    disk = RefusingDisk(monkeypatch)
    disk.refuse(range(first_refused, first_refused + refused_count))
    for version in range(1, 9):
        with contextlib.suppress(OSError):
            write_version(store, version)
    # The disk has room again, and every further change is stored.
    disk.refused_steps = frozenset()
    for version in range(9, 12):
        write_version(store, version)
    found = _store.Store(tmp_path).start()
    assert found.acceptor_states["document"].state.version == 11


@pytest.mark.parametrize("first_refused", range(1, STEPS))
def test_a_restart_after_two_refused_steps_keeps_what_was_acknowledged(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    first_refused: int,
) -> None:
    monkeypatch.setattr(_store, "COMPACT_AFTER_BYTES", 500)
    disk = RefusingDisk(monkeypatch)
    for second_refused in range(first_refused, STEPS + 4):
        disk.refused_steps = frozenset()
        folder = tmp_path / str(second_refused)
        store = _store.Store(folder)
        store.start()
        disk.refuse({first_refused, second_refused})
        for version in range(1, 9):
            with contextlib.suppress(OSError):
                write_version(store, version)
                # A restart may follow each acknowledgement.
                disk.is_counting = False
                assert recover_version(folder) >= version
                disk.is_counting = True


def recover_version(folder: pathlib.Path) -> int:
    """Returns the version that a restart recovers from a copy of a folder."""
    copy = folder.with_suffix(".copy")
    shutil.copytree(folder, copy)
    recovered = _store.Store(copy).start().acceptor_states.get("document")
    shutil.rmtree(copy)
    return 0 if recovered is None else recovered.state.base_version
