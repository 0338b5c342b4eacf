"""Tests of settings, frames, programs and the pages that list codes."""

from enum import StrEnum
import pathlib
import subprocess
import sys

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from bluebelltide import _codec
from bluebelltide import _codes
from bluebelltide import _exceptions
from bluebelltide import _settings
from bluebelltide.catalogue import _entries
from bluebelltide.catalogue import _view
from bluebelltide.peers import _frames

ROOT = pathlib.Path(__file__).parents[2]
FAMILIES: list[tuple[str, type[StrEnum]]] = [
    ("refused", _codes.RefusalCode),
    ("retried", _codes.RetryCode),
    ("aborted", _codes.AbortCode),
    ("dropped", _codes.DropCode),
    ("peer", _codes.PeerCode),
]


@pytest.mark.parametrize(("family", "codes"), FAMILIES)
def test_metrics_page_has_every_code(family: str, codes: type[StrEnum]) -> None:
    page = (ROOT / "docs" / "METRICS.md").read_text(encoding="utf-8")
    missing = [code for code in codes if f"`{family}.{code.value}`" not in page]
    assert not missing


@pytest.mark.parametrize(
    "record",
    [
        _settings.Settings,
        _settings.EntrySettings,
        _settings.PacketSettings,
        _settings.ControlSettings,
        _settings.TlsSettings,
        _entries.ServiceEntry,
        _entries.Limits,
    ],
)
def test_settings_page_has_every_field(record: type[tuple[object]]) -> None:
    page = (ROOT / "docs" / "SETTINGS.md").read_text(encoding="utf-8")
    fields = record._fields  # type: ignore[attr-defined]
    assert not [name for name in fields if f"| `{name}` |" not in page]


def test_settings_errors_list_every_problem_with_its_path(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "settings.json"
    path.write_text(
        """{ // four problems
        name: "x", data_centre: 7, colour: "red",
        entry: { peer_address: "localhost:1", announce_address: "127.0.0.1:2",
                 stop_timeout_ms: -1 } }"""
    )
    with pytest.raises(_exceptions.BluebelltideError) as caught:
        _settings.read_settings(str(path))
    message = str(caught.value)
    assert caught.value.code == _exceptions.ErrorCode.BAD_SETTINGS
    for problem in (
        "data_centre: expected a string, found 7",
        "colour: expected one of",
        "entry.peer_address: expected an IP address and port",
        "entry.stop_timeout_ms: expected a number of at least 0, found -1",
    ):
        assert problem in message


@pytest.mark.parametrize("program", ["entry", "control", "ctl", "bench"])
def test_programs_have_help_and_version(program: str) -> None:
    module = f"bluebelltide.{program}"
    for flag in ("--help", "--version"):
        done = subprocess.run(
            [sys.executable, "-m", module, flag], capture_output=True
        )
        assert done.returncode == 0
        assert done.stdout


def test_example_catalogue_is_unchanged_by_encoding_and_decoding() -> None:
    path = ROOT / "examples" / "demo" / "catalogue.json"
    for key, entry in _entries.read_catalogue(str(path)).items():
        value = _entries.encode_entry(entry)
        assert _entries.decode_entry(key, value) == entry


def test_an_address_belongs_to_one_service_only() -> None:
    path = ROOT / "examples" / "demo" / "catalogue.json"
    entries = _entries.read_catalogue(str(path))
    first, second, *_ = sorted(entries)
    conflicting = entries[first]._replace(addresses=entries[second].addresses)  # type: ignore[call-arg, union-attr]
    assert _entries.check_unique_addresses({**entries, first: conflicting})


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.binary(max_size=100))
def test_malformed_frames_are_rejected_with_an_error(data: bytes) -> None:
    for frame in (data, _codec.encode(["Learned", data])):
        with pytest.raises(_exceptions.BluebelltideError):
            _frames.decode_frame(frame)


def test_view_never_reverts() -> None:
    path = ROOT / "examples" / "demo" / "catalogue.json"
    key, entry = sorted(_entries.read_catalogue(str(path)).items())[0]
    value = _entries.encode_entry(entry)
    view = _view.CatalogueView()
    assert view.merge(_view.VersionedEntry(key, 2, value))
    assert not view.merge(_view.VersionedEntry(key, 1, None))
    assert not view.merge(_view.VersionedEntry(key, 2, None))
    assert key in view.entries
    assert view.merge(_view.VersionedEntry(key, 3, None))
    assert key not in view.entries
    assert not view.merge(_view.VersionedEntry(key, 2, value))


def test_process_with_both_roles_stops_on_a_signal(
    tmp_path: pathlib.Path,
) -> None:
    """A process has one signal receiver, so only one role may wait for signals.

    When both roles waited, only one of them received the signal and stopped.
    """
    path = tmp_path / "settings.json"
    path.write_text(
        """{ name: "one", data_centre: "dc",
        control: { peer_address: "127.0.0.1:0", api_address: "127.0.0.1:0",
          data_folder: "FOLDER", replicas: [], initial_voters: ["one"] },
        entry: { peer_address: "127.0.0.1:0", announce_address: "127.0.0.1:0",
          unready_before_stop_ms: 10, stop_timeout_ms: 1000 } }""".replace(
            "FOLDER", str(tmp_path / "data")
        )
    )
    command = [sys.executable, "-m", "bluebelltide.entry", str(path)]
    process = subprocess.Popen(
        [*command, "--create"], stderr=subprocess.PIPE, text=True
    )
    assert process.stderr is not None
    ready_roles = 0
    while ready_roles < 2:
        ready_roles += " ready: peers on" in process.stderr.readline()
    process.terminate()
    assert process.wait(timeout=20) == 0
