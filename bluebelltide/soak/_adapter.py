"""The interface through which the soak starts and calls the programs.

Packet formats, API bodies and settings belong to the platform that the
programs run on, so code outside this package passes functions for them in.
"""

from collections.abc import Callable, Sequence
import pathlib
from typing import NamedTuple

from bluebelltide import _types


class Packet(NamedTuple):
    """One packet of a flow."""

    source: _types.Address
    """The sender's address."""
    destination: _types.Address
    """The receiver's address."""
    is_opening: bool = False
    """Whether it is an opening packet or the answer to one (TCP SYN)."""
    is_end: bool = False
    """Whether the sender closes the flow (TCP FIN)."""
    is_reset: bool = False
    """Whether it aborts the flow (TCP RST)."""
    token: int = 0
    """The token of the target; each end echoes the one it last received."""
    sequence: int = 0
    """The sequence number; in the answer to an opening packet, a number that
    the target chooses at random."""
    acknowledged: int = 0
    """The acknowledged sequence number; in an opening packet, the
    retransmission number."""
    data: bytes = b""
    """The payload."""


class Route(NamedTuple):
    """A route of the deployment."""

    name: str
    """Its name."""
    port: int
    """The port at the service address that callers use."""
    service: str
    """The service that gets new flows."""
    is_repeatable: bool = True
    """Whether its requests may run more than once."""


class Machine(NamedTuple):
    """One machine of the soak and its process."""

    name: str
    """Its name."""
    is_control: bool
    """Whether it runs a control replica; otherwise an entry instance."""
    data_centre: str
    """Its data centre."""
    proxy_host: str
    """The address that other processes send to; a proxy listens there."""
    bind_host: str
    """The address that its process binds."""
    data_folder: pathlib.Path
    """The folder of a control replica's data files."""


class TargetAnnouncement(NamedTuple):
    """The content of one announcement of a target."""

    target_id: str
    """Its id."""
    service: str
    """Its service."""
    address: _types.Address
    """The address at which it receives packets."""
    data_centre: str
    """Its data centre."""
    generation: int
    """When this incarnation started, in Unix milliseconds."""
    sequence: int
    """The number of this announcement; it grows with each one."""
    slots: int
    """How many requests it announces that it can run at once."""
    is_draining: bool
    """Whether it is draining, that is, wants no new flows."""


class HttpCall(NamedTuple):
    """An HTTP request to one of the programs."""

    method: str
    """The method."""
    path: str
    """The path."""
    body: bytes = b""
    """The body."""


AddressFunction = Callable[[Machine], _types.Address]
"""Returns one of the addresses of a machine."""


class PlatformAdapter(NamedTuple):
    """The formats, addresses and commands of the platform's programs."""

    service_host: str
    """The address that callers send to."""
    make_command: Callable[[pathlib.Path, Machine], Sequence[str]]
    """Returns the command of a machine's process, given the source root."""
    make_environment: Callable[[pathlib.Path], dict[str, str]]
    """Returns the environment variables that name the settings file."""
    make_settings: Callable[[Machine, Sequence[Machine], bool], str]
    """Returns a machine's settings, given the seed replicas and whether the
    deployment starts for the first time."""
    packet_address: AddressFunction
    """Returns the address at which an entry instance receives packets."""
    caller_packet_port: int
    """The port at callers' addresses to which entry instances send resets."""
    readiness_address: AddressFunction
    """Returns the address at which an entry instance reports readiness."""
    readiness_call: HttpCall
    """Asks an entry instance whether it is ready."""
    api_address: AddressFunction
    """Returns the API address of a control replica."""
    peer_port: int
    """The port of the traffic between processes."""
    make_announce_call: Callable[[TargetAnnouncement], HttpCall]
    """Returns the call that announces a target."""
    make_deregister_call: Callable[[TargetAnnouncement], HttpCall]
    """Returns the call that deregisters a target."""
    make_change_call: Callable[[int, Sequence[Route]], HttpCall]
    """Returns the call that puts a deployment into force, given its version
    and its routes."""
    make_evacuation_call: Callable[[str, bool], HttpCall]
    """Returns the call that declares the evacuation of a data centre, or
    withdraws it if the second argument is False."""
    read_call: HttpCall
    """Reads the deployment in force."""
    decode_version: Callable[[bytes], int]
    """Returns the version of a deployment that was read."""
    encode_packet: Callable[[Packet], bytes]
    """Encodes a packet."""
    decode_packet: Callable[[bytes], Packet]
    """Decodes a packet."""
    decode_target_packet: Callable[[bytes], tuple[int, Packet]]
    """Decodes a packet that a target receives; returns the number of the
    target that it is meant for, or 0 for any target, and the packet."""
    target_number: Callable[[str], int]
    """Returns the number by which packets to targets name a target id."""
