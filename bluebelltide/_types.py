"""Types that several packages share."""

from enum import StrEnum
import ipaddress
from typing import NamedTuple

from bluebelltide import _exceptions

InstanceId = str
TargetId = str
ServiceName = str


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


def parse_address(text: str) -> Address:
    """Parses `host:port` or `[host]:port`.

    Args:
        text: The text; the host must be an IP address, not a host name.

    Returns:
        The address.

    Raises:
        BluebelltideError: With BAD_SETTINGS if the text is malformed.
    """
    host, separator, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
        port_number = int(port)
    except ValueError:
        separator = ""
        port_number = -1
    if not separator or not 0 <= port_number <= 65535:
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.BAD_SETTINGS,
            "expected an IP address and port like 127.0.0.1:80, "
            f"found {text!r}",
        )
    return Address(host, port_number)


class TargetState(StrEnum):
    """The state that a target reports."""

    COLD = "cold"
    """Started recently; gets a growing share of new work."""
    READY = "ready"
    """Gets its full share of new work."""
    DRAINING = "draining"
    """Keeps its open flows and gets no new work."""


class Target(NamedTuple):
    """One target's announcement, as the registry stores it."""

    target_id: TargetId
    """The name that the target chooses; unique within its service."""
    service: ServiceName
    """The service that the target runs."""
    address: Address
    """Where the target accepts flows."""
    data_centre: str
    """The data centre that the target is in."""
    generation: int
    """Increases each time the target's process starts."""
    sequence: int
    """Increases with each announcement of one generation."""
    state: TargetState
    """The state that the target reports."""
    slots: int
    """How many requests the target can run at once."""
    connections: int
    """How many open flows the target reports."""
    load_percent: int
    """The busy slots that the target reports, in percent of `slots`."""
    lease_ms: int
    """How long the announcement is valid without renewal."""
    cold_remaining_ms: int = 0
    """How much longer the target stays cold; 0 if it is not cold."""
