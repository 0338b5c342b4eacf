"""Tests of encoding and decoding datagrams."""

import pytest

from bluebelltide import _codec
from bluebelltide import _exceptions
from bluebelltide.control import _update_publisher
from bluebelltide.membership import _directory
from bluebelltide.membership.tests import test_directory
from bluebelltide.messaging import _datagrams
from bluebelltide.placement import Observations

POLL = _datagrams.Poll("10.0.0.1", "north", None, 3, 9, b"")
REPORT = _datagrams.LoadReport("10.0.0.1", {5: 2}, (7,), {5: 1})


@pytest.mark.parametrize("message", [POLL, REPORT])
def test_decoding_returns_the_encoded_message(
    message: _datagrams.Message,
) -> None:
    data = _datagrams.encode_datagram(message)
    assert _datagrams.decode_datagram(data, "test") == message


def test_a_report_may_offset_flows_that_another_instance_counts() -> None:
    """Guards against reports refused after flows moved between instances."""
    seen = Observations()
    seen.note_packet_with_token(b"moved flow", 5, 0)
    seen.note_flow_end(b"moved flow", 5, 10)
    report = _datagrams.LoadReport("10.0.0.1", dict(seen.open_flows), ())
    assert report.open_flows == {5: -1}
    data = _datagrams.encode_datagram(report)
    assert _datagrams.decode_datagram(data, "test") == report


@pytest.mark.parametrize(
    "data",
    [b"", b"\xff", b"\x80", b"\x82\x09\x80", b"\x82\x00\x80", b"\x82\x20\x80"],
)
def test_malformed_datagrams_are_rejected(data: bytes) -> None:
    with pytest.raises(_exceptions.BluebelltideError) as caught:
        _datagrams.decode_datagram(data, "test")
    assert caught.value.code == _exceptions.ErrorCode.BAD_FRAME


def test_truncated_datagrams_are_rejected() -> None:
    data = _datagrams.encode_datagram(POLL)
    for length in range(len(data)):
        with pytest.raises(_exceptions.BluebelltideError):
            _datagrams.decode_datagram(data[:length], "test")


def test_renewals_are_unpacked_without_an_incomplete_last_entry() -> None:
    renewals = {1: 2, 2**32 - 1: 7}
    data = _datagrams.pack_renewals(renewals)
    assert _datagrams.unpack_renewals(data) == renewals
    assert _datagrams.unpack_renewals(data[:-1]) == {1: 2}


@pytest.mark.parametrize("count", [0, 1, 16, 23, 24, 40])
def test_updates_are_encoded_as_other_messages(count: int) -> None:
    """Guards against bytes that other processes read differently."""
    records = tuple(
        _directory.TargetRecord(
            test_directory.make_target(f"i-{number}", generation=2**number),
            has_left=number % 3 == 0,
        )
        for number in range(count)
    )
    update = _datagrams.Update(
        _datagrams.Replica("10.0.0.1~0", "north"),
        run_id=7,
        first_index=300,
        last_index=70_000,
        has_more=True,
        has_complete_view=False,
        encoded_deployment_version=-1,
        voters_version=1,
        replicas=(_datagrams.Replica("10.0.0.2~1", "south"),) * 3,
        records=records,
        encoded_unconfirmed_version=2**40,
        is_partial=True,
    )
    for _ in range(2):
        data = _datagrams.encode_datagram(update)
        assert data == _codec.encode([1, _codec.to_plain(update)])
        assert _datagrams.decode_datagram(data, "test") == update


def test_a_record_is_encoded_once_for_all_updates(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a start whose updates are each encoded anew."""
    directory = _directory.TargetDirectory()
    for number in range(300):
        target = test_directory.make_target(f"i-{number}", sequence=77)
        directory.merge(_directory.TargetRecord(target), 0)
    replica = _datagrams.Replica("10.0.0.1~0", "north")
    publisher = _update_publisher.UpdatePublisher(replica, 7, directory)
    status = _update_publisher.ReplicaStatus(-1, 0, False)
    encoded: list[str] = []
    to_plain = _codec.to_plain

    def count(record: object) -> object:
        if isinstance(record, _directory.TargetRecord):
            encoded.append(record.target.target_id)
        return to_plain(record)

    monkeypatch.setattr(_codec, "to_plain", count)
    for known_index in range(250):
        poll = _datagrams.Poll("10.0.0.9", "north", None, 7, known_index)
        update = publisher.answer_poll(poll, status, 0).update
        assert len(update.records) == _datagrams.RECORDS_PER_UPDATE
    assert len(encoded) == len(set(encoded)) == 249 + 16
