"""Tests of encoding and decoding datagrams."""

import pytest

from bluebelltide import _exceptions
from bluebelltide.messaging import _datagrams

POLL = _datagrams.Poll("10.0.0.1", "north", None, 3, 9, b"")
REPORT = _datagrams.LoadReport("10.0.0.1", {5: 2}, (7,), {5: 1})


@pytest.mark.parametrize("message", [POLL, REPORT])
def test_decoding_returns_the_encoded_message(
    message: _datagrams.Message,
) -> None:
    data = _datagrams.encode_datagram(message)
    assert _datagrams.decode_datagram(data, "test") == message


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
