"""Types that several packages share."""

from enum import StrEnum
import ipaddress
import re
from typing import Annotated, NamedTuple

import msgspec

from bluebelltide import _exceptions

InstanceId = str
TargetId = str
ServiceName = str

MAXIMUM_NAME_LENGTH = 255
"""Upper bound of the characters of a name that a target announces, so that an
update with many targets fits into a datagram."""
MAXIMUM_PORT = 65_535
"""The highest TCP or UDP port."""
MAXIMUM_PORT_DIGITS = 5
"""The number of digits of the highest port."""
MAXIMUM_SLOTS = 1_000_000
"""Upper bound of the slots of a target, far above what one target runs."""
MAXIMUM_INT64 = 2**63 - 1
"""Upper bound of numbers that every encoding and every log line holds."""
MAXIMUM_INT32 = 2**31 - 1
"""Upper bound of counts and durations in milliseconds."""

_NAME = msgspec.Meta(
    min_length=1,
    max_length=MAXIMUM_NAME_LENGTH,
    # Neither control characters nor halves of surrogate pairs, which JSON can
    # hold but UTF-8 cannot.
    pattern=r"^[^\x00-\x1f\x7f\ud800-\udfff]+\Z",
)
Name = Annotated[str, _NAME]
"""A name that others send."""
DataCentre = Name
"""The name of a data centre."""
Count = Annotated[int, msgspec.Meta(ge=0, le=MAXIMUM_INT32)]
"""A count, or a duration in milliseconds, that others send."""
SignedCount = Annotated[int, msgspec.Meta(ge=-MAXIMUM_INT32, le=MAXIMUM_INT32)]
"""A difference of counts that others send."""
Slots = Annotated[int, msgspec.Meta(ge=0, le=MAXIMUM_SLOTS)]
"""A number of slots that others send."""
_OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])"
IPV4_PATTERN = rf"{_OCTET}(\.{_OCTET}){{3}}"
"""The text of an IPv4 address."""
HostAddress = Annotated[str, msgspec.Meta(pattern=rf"^{IPV4_PATTERN}\Z")]
"""The IPv4 address of a machine, never a name that would be looked up."""


def is_data_centre_name(name: str) -> bool:
    """Returns whether a name is in the range of data centres' names."""
    try:
        msgspec.convert(name, DataCentre)
    except msgspec.ValidationError:
        return False
    return True


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    """An IPv4 or IPv6 address in text form, never a host name."""
    port: int
    """A TCP or UDP port; when binding, 0 selects a free port."""

    def __str__(self) -> str:
        """Returns `host:port`, with brackets around an IPv6 host."""
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


def is_ipv4(text: str) -> bool:
    """Returns whether a text is an IPv4 address."""
    return re.fullmatch(IPV4_PATTERN, text) is not None


def parse_address(text: str) -> Address:
    """Parses `host:port` or `[host]:port`.

    Args:
        text: The text; the host must be an IP address, not a host name.

    Returns:
        The address, with the host in its canonical text form.

    Raises:
        BluebelltideError: With BAD_SETTINGS if the text is malformed.
    """
    host, separator, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        address = Address(str(ipaddress.ip_address(host)), _parse_port(port))
    except ValueError:
        separator = ""
    # A scope id belongs to one machine, and may be any text.
    if not separator or "%" in host:
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.BAD_SETTINGS,
            "expected an IP address and port like 127.0.0.1:80, "
            f"found {text!r}",
        )
    return address


def _parse_port(text: str) -> int:
    is_decimal = text.isascii() and text.isdecimal()
    port = int(text) if is_decimal and len(text) <= MAXIMUM_PORT_DIGITS else -1
    if not 0 <= port <= MAXIMUM_PORT:
        raise ValueError(f"expected a port, found {text!r}")
    return port


class TargetState(StrEnum):
    """The state that a target reports."""

    COLD = "cold"
    """Started recently; gets a growing share of new work."""
    READY = "ready"
    """Gets its full share of new work."""
    DRAINING = "draining"
    """Keeps its open flows and gets no new work."""


class Target(NamedTuple):
    """One target's announcement, as the registry stores it.

    The ranges are checked whenever a target is decoded. A value within them
    can be stored, sent, logged and computed with in every process.
    """

    target_id: Name
    """The name that the target chooses; unique within its service."""
    service: Name
    """The service that the target runs."""
    address: Address
    """Where the target accepts flows."""
    data_centre: DataCentre
    """The data centre that the target is in."""
    generation: Annotated[int, msgspec.Meta(ge=0, le=MAXIMUM_INT64)]
    """Increases each time the target's process starts; see `_start_order` for
    targets that tell the time of their start."""
    sequence: Annotated[int, msgspec.Meta(ge=0, le=MAXIMUM_INT64)]
    """Increases with each announcement of one generation."""
    state: TargetState
    """The state that the target reports."""
    slots: Slots
    """How many requests the target can run at once."""
    connections: Count
    """How many open flows the target reports."""
    load_percent: Count
    """The busy slots that the target reports, in percent of `slots`."""
    lease_ms: Count
    """How long the announcement is valid without renewal."""
    cold_remaining_ms: Count = 0
    """How much longer the target stays cold; 0 if it is not cold."""
