"""Tests of IP packets: parsing, rewriting, refusals and relaying."""

import pathlib
from typing import Any

import dpkt
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from bluebelltide import _codes
from bluebelltide import _exceptions
from bluebelltide import _types
from bluebelltide import flows
from bluebelltide.fronts import _ip
from bluebelltide.fronts import _relay

CALLER4 = _types.Address("10.1.2.3", 4321)
TARGET4 = _types.Address("10.9.9.9", 8080)
CALLER6 = _types.Address("2001:db8::1", 4321)
TARGET6 = _types.Address("2001:db8::99", 8080)


def make_packet(
    version: int, protocol: int, flags: int = dpkt.tcp.TH_SYN
) -> bytes:
    caller, service = (CALLER4, "10.7.0.1")
    if version == 6:
        caller, service = (CALLER6, "2001:db8::7")
    transport: Any
    if protocol == _ip.TCP:
        transport = dpkt.tcp.TCP(
            sport=caller.port, dport=80, seq=7, flags=flags, data=b"hello"
        )
    else:
        transport = dpkt.udp.UDP(sport=caller.port, dport=80, data=b"hello")
        transport.ulen = len(transport)
    packed = [_ip._pack_host(caller.host), _ip._pack_host(service)]
    packet: Any
    if version == 4:
        packet = dpkt.ip.IP(
            src=packed[0], dst=packed[1], p=protocol, data=transport
        )
        packet.len = len(packet)
    else:
        packet = dpkt.ip6.IP6(src=packed[0], dst=packed[1], nxt=protocol)
        packet.extension_hdrs = {}
        packet.all_extension_headers = []
        packet.p = protocol
        packet.data = transport
        packet.plen = len(transport)
    return bytes(packet)


def parse(data: bytes) -> _ip.ParsedPacket:
    found = _ip.parse_packet(data)
    assert isinstance(found, _ip.ParsedPacket), found
    return found


def has_valid_transport_checksum(data: bytes) -> bool:
    packet = parse(data)
    raw = packet.raw
    segment = bytes(raw.data)
    length = len(segment).to_bytes(4, "big")
    pseudo = raw.src + raw.dst + length + bytes([0, 0, 0, packet.protocol])
    return bool(dpkt.in_cksum(pseudo + segment) == 0)


@pytest.mark.parametrize("version", [4, 6])
@pytest.mark.parametrize("protocol", [_ip.TCP, _ip.UDP])
def test_rewrite_keeps_payload_and_checksums(
    version: int, protocol: int
) -> None:
    target = TARGET4 if version == 4 else TARGET6
    caller = CALLER4 if version == 4 else CALLER6
    forwarded = _ip.rewrite_destination(
        parse(make_packet(version, protocol)), target
    )
    found = parse(forwarded)
    assert (found.source, found.destination) == (caller, target)
    assert found.raw.data.data == b"hello"
    assert has_valid_transport_checksum(forwarded)
    returned = _ip.rewrite_source(parse(forwarded), target)
    assert parse(returned).source == target
    assert has_valid_transport_checksum(returned)
    if version == 4:
        assert dpkt.in_cksum(forwarded[:20]) == 0


@pytest.mark.parametrize("version", [4, 6])
@pytest.mark.parametrize("protocol", [_ip.TCP, _ip.UDP])
def test_refusal_goes_back_to_the_caller(version: int, protocol: int) -> None:
    refusal = _ip.make_refusal(parse(make_packet(version, protocol)))
    assert refusal is not None
    raw: Any = dpkt.ip.IP(refusal) if version == 4 else dpkt.ip6.IP6(refusal)
    caller = CALLER4 if version == 4 else CALLER6
    assert raw.dst == _ip._pack_host(caller.host)
    if protocol == _ip.TCP:
        assert raw.data.flags & dpkt.tcp.TH_RST
        assert raw.data.ack == 7 + 1 + len(b"hello")
        assert has_valid_transport_checksum(refusal)


def test_packet_of_an_open_flow_is_never_refused() -> None:
    data = make_packet(4, _ip.TCP, dpkt.tcp.TH_ACK)
    assert _ip.make_refusal(parse(data)) is None


def make_fragment(data: bytes) -> bytes:
    packet: Any = dpkt.ip.IP(data)
    packet.mf = 1
    packet.sum = 0
    return bytes(packet)


DROPS = [
    ("empty", b"", _codes.DropCode.MALFORMED),
    ("foreign version", b"\x00" * 40, _codes.DropCode.MALFORMED),
    ("truncated", make_packet(4, _ip.TCP)[:24], _codes.DropCode.MALFORMED),
    (
        "fragment",
        make_fragment(make_packet(4, _ip.TCP)),
        _codes.DropCode.FRAGMENT,
    ),
    (
        "icmp",
        bytes(dpkt.ip.IP(src=b"\x01" * 4, dst=b"\x02" * 4, p=1, len=20)),
        _codes.DropCode.PROTOCOL,
    ),
]


@pytest.mark.parametrize(
    ("data", "code"), [d[1:] for d in DROPS], ids=[d[0] for d in DROPS]
)
def test_bad_packet_has_its_drop_code(
    data: bytes, code: _codes.DropCode
) -> None:
    assert _ip.parse_packet(data) == code


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.sampled_from([(4, 6), (4, 17), (6, 6), (6, 17)]),
    st.lists(st.tuples(st.integers(0, 70), st.integers(0, 255)), max_size=6),
    st.integers(0, 80),
)
def test_damaged_packets_never_crash(
    packet_kind: tuple[int, int], damage: list[tuple[int, int]], cut_bytes: int
) -> None:
    data = bytearray(make_packet(*packet_kind))
    for offset, value in damage:
        if offset < len(data):
            data[offset] = value
    found = _ip.parse_packet(bytes(data[: len(data) - cut_bytes]))
    if isinstance(found, _ip.ParsedPacket):
        target = TARGET4 if ":" not in found.source.host else TARGET6
        _ip.make_refusal(found)
        _ip.rewrite_destination(found, target)


RECORD = flows.FlowRecord(flows.BucketKey("svc", 5), 3, 99, "t1")


def test_relayed_packet_needs_an_accepted_key(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "keys"
    path.write_text("old\n")
    keys = _relay.KeyFile(str(path))
    header = _relay.RelayHeader("entry-1", 1, RECORD)
    datagram = _relay.wrap_packet(header, b"packet", keys.keys[0])
    assert _relay.unwrap_packet(datagram, keys.keys) == (header, b"packet")
    assert _relay.unwrap_packet(datagram, (b"other",)) is None
    assert _relay.unwrap_packet(datagram[:-1] + b"x", keys.keys) is None
    assert _relay.unwrap_packet(b"", keys.keys) is None
    path.write_text("new\nold\n")
    keys._modified_ns = -1
    keys.refresh()
    assert keys.keys == (b"new", b"old")
    assert _relay.unwrap_packet(datagram, keys.keys) is not None
    path.write_text("")
    keys._modified_ns = -1
    keys.refresh()
    assert keys.keys == (b"new", b"old")


def test_missing_key_file_is_a_settings_error(
    tmp_path: pathlib.Path,
) -> None:
    with pytest.raises(_exceptions.BluebelltideError):
        _relay.KeyFile(str(tmp_path / "missing"))


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_malformed_body_with_a_valid_tag_is_rejected(body: bytes) -> None:
    datagram = _relay._compute_tag(b"key", body) + body
    found = _relay.unwrap_packet(datagram, (b"key",))
    assert found is None or isinstance(found[0], _relay.RelayHeader)
