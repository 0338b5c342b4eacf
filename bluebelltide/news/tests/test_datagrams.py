"""Tests of datagrams between processes."""

import pytest

from bluebelltide import _exceptions
from bluebelltide.news import _datagrams

POLL = _datagrams.Poll("10.0.0.1", "north", None, 3, 9, b"")
REPORT = _datagrams.LoadReport("10.0.0.1", {5: 2}, (7,))


@pytest.mark.parametrize("news", [POLL, REPORT])
def test_messages_come_back_as_they_were(news: _datagrams.Message) -> None:
    data = _datagrams.encode_datagram(news)
    assert _datagrams.decode_datagram(data, "test") == news


@pytest.mark.parametrize(
    "data",
    [b"", b"\xff", b"\x80", b"\x82\x09\x80", b"\x82\x00\x80", b"\x82\x20\x80"],
)
def test_malformed_datagrams_are_refused(data: bytes) -> None:
    with pytest.raises(_exceptions.BluebelltideError) as caught:
        _datagrams.decode_datagram(data, "test")
    assert caught.value.code == _exceptions.ErrorCode.BAD_FRAME


def test_truncated_datagrams_are_refused() -> None:
    data = _datagrams.encode_datagram(POLL)
    for length in range(len(data)):
        with pytest.raises(_exceptions.BluebelltideError):
            _datagrams.decode_datagram(data[:length], "test")


def test_renewals_are_packed_and_a_torn_end_is_left_out() -> None:
    renewals = {1: 2, 2**32 - 1: 7}
    data = _datagrams.pack_renewals(renewals)
    assert _datagrams.unpack_renewals(data) == renewals
    assert _datagrams.unpack_renewals(data[:-1]) == {1: 2}
