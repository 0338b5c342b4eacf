"""IP packets of the spraying fabric: parsing, rewriting and refusals.

The payload of each datagram is a whole IPv4 or IPv6 packet, distinguished by
its first four bits (IP in UDP, as in GUE variant 1). dpkt parses and serialises
packets; this module decides which packets are acceptable.
"""

import ipaddress
import socket
import struct
from typing import Any, NamedTuple

import dpkt

from bluebelltide import _codes
from bluebelltide import _types

TCP = 6
"""IP protocol number of TCP."""
UDP = 17
"""IP protocol number of UDP."""
ICMP_UNREACHABLE = 3
"""ICMP type: destination unreachable."""
ICMP_PROHIBITED = 13
"""ICMP code: communication administratively prohibited."""
ICMP6_UNREACHABLE = 1
"""ICMPv6 type: destination unreachable."""
ICMP6_PROHIBITED = 1
"""ICMPv6 code: communication administratively prohibited."""
MAXIMUM_QUOTED_BYTES = 520
"""Upper bound of the part of a refused packet that an ICMP message quotes."""

RawPacket = Any
"""A dpkt.ip.IP or dpkt.ip6.IP6; dpkt has no type annotations."""


class ParsedPacket(NamedTuple):
    """A packet that can be routed."""

    raw: RawPacket
    """The packet as dpkt parsed it; rewriting changes it in place."""
    protocol: int
    """The IP protocol number: TCP or UDP."""
    source: _types.Address
    """Source address and port."""
    destination: _types.Address
    """Destination address and port."""
    is_opening: bool
    """Whether it opens a flow: a TCP SYN without ACK."""


def parse_packet(data: bytes) -> ParsedPacket | _codes.DropCode:
    """Parses an IP packet.

    Args:
        data: The payload of a fabric datagram.

    Returns:
        The packet, or the reason why it must be dropped.
    """
    version = data[0] >> 4 if data else 0
    try:
        if version == 4:
            return _parse_transport(dpkt.ip.IP(data))
        if version == 6:
            return _parse_transport(dpkt.ip6.IP6(data))
    except (dpkt.UnpackError, ValueError, IndexError, struct.error):
        return _codes.DropCode.MALFORMED
    return _codes.DropCode.MALFORMED


def _parse_transport(raw: RawPacket) -> ParsedPacket | _codes.DropCode:
    is_fragment = (
        raw.mf or raw.offset
        if isinstance(raw, dpkt.ip.IP)
        else dpkt.ip.IP_PROTO_FRAGMENT in raw.extension_hdrs
    )
    if is_fragment:
        return _codes.DropCode.FRAGMENT
    transport = raw.data
    if isinstance(transport, dpkt.tcp.TCP):
        protocol = TCP
        is_opening = bool(transport.flags & dpkt.tcp.TH_SYN) and not (
            transport.flags & dpkt.tcp.TH_ACK
        )
    elif isinstance(transport, dpkt.udp.UDP):
        protocol = UDP
        is_opening = False
    elif raw.p in (TCP, UDP):
        return _codes.DropCode.MALFORMED
    else:
        return _codes.DropCode.PROTOCOL
    return ParsedPacket(
        raw,
        protocol,
        _types.Address(_format_host(raw.src), transport.sport),
        _types.Address(_format_host(raw.dst), transport.dport),
        is_opening,
    )


def _format_host(packed: bytes) -> str:
    return str(ipaddress.ip_address(packed))


def _pack_host(host: str) -> bytes:
    return ipaddress.ip_address(host).packed


def rewrite_destination(
    packet: ParsedPacket, destination: _types.Address
) -> bytes:
    """Returns the packet with a new destination and valid checksums."""
    raw = packet.raw
    raw.dst = _pack_host(destination.host)
    raw.data.dport = destination.port
    return _serialise(raw)


def rewrite_source(packet: ParsedPacket, source: _types.Address) -> bytes:
    """Returns the packet with a new source and valid checksums."""
    raw = packet.raw
    raw.src = _pack_host(source.host)
    raw.data.sport = source.port
    return _serialise(raw)


def _serialise(raw: RawPacket) -> bytes:
    # dpkt computes each checksum whose field is zero.
    raw.data.sum = 0
    if isinstance(raw, dpkt.ip.IP):
        raw.sum = 0
    return bytes(raw)


def make_refusal(packet: ParsedPacket) -> bytes | None:
    """Returns the packet that refuses a caller's packet.

    A refusal states that nothing of the request was run.

    Args:
        packet: The caller's packet, which must not have been rewritten.

    Returns:
        A TCP reset for an opening packet, an ICMP message for a UDP datagram,
        or None for a packet of an open TCP flow: part of the request may have
        run, so it must not be refused.
    """
    if packet.protocol == TCP:
        return _make_reset(packet) if packet.is_opening else None
    return _make_unreachable(packet)


def _make_reply_header(packet: ParsedPacket, protocol: int) -> RawPacket:
    raw = packet.raw
    if isinstance(raw, dpkt.ip.IP):
        return dpkt.ip.IP(src=raw.dst, dst=raw.src, p=protocol, ttl=64)
    reply = dpkt.ip6.IP6(src=raw.dst, dst=raw.src, nxt=protocol, hlim=64)
    reply.extension_hdrs = {}
    reply.all_extension_headers = []
    reply.p = protocol
    return reply


def _serialise_reply(reply: RawPacket, transport: dpkt.Packet) -> bytes:
    reply.data = transport
    if isinstance(reply, dpkt.ip.IP):
        reply.len = len(reply)
    else:
        reply.plen = len(transport)
    return bytes(reply)


def _make_reset(packet: ParsedPacket) -> bytes:
    syn = packet.raw.data
    reset = dpkt.tcp.TCP(
        sport=syn.dport,
        dport=syn.sport,
        seq=0,
        ack=(syn.seq + 1 + len(syn.data)) & 0xFFFFFFFF,
        flags=dpkt.tcp.TH_RST | dpkt.tcp.TH_ACK,
        win=0,
    )
    return _serialise_reply(_make_reply_header(packet, TCP), reset)


def _make_unreachable(packet: ParsedPacket) -> bytes:
    quoted = bytes(packet.raw)[:MAXIMUM_QUOTED_BYTES]
    if isinstance(packet.raw, dpkt.ip.IP):
        unreachable = dpkt.icmp.ICMP(
            type=ICMP_UNREACHABLE,
            code=ICMP_PROHIBITED,
            data=dpkt.icmp.ICMP.Unreach(data=quoted),
        )
        return _serialise_reply(
            _make_reply_header(packet, dpkt.ip.IP_PROTO_ICMP), unreachable
        )
    body = struct.pack(">BBHI", ICMP6_UNREACHABLE, ICMP6_PROHIBITED, 0, 0)
    body += quoted
    reply = _make_reply_header(packet, socket.IPPROTO_ICMPV6)
    pseudo_header = struct.pack(
        ">16s16sII", reply.src, reply.dst, len(body), reply.nxt
    )
    checksum = dpkt.in_cksum(pseudo_header + body)
    body = body[:2] + struct.pack(">H", checksum) + body[4:]
    reply.data = body
    reply.plen = len(body)
    return bytes(reply)
