"""What the soak needs to speak to the programs, as functions.

The words on the wire belong to the fabric that the programs run on, so the
adapter of that fabric passes them in.
"""

from collections.abc import Callable, Sequence
import pathlib
from typing import NamedTuple

from bluebelltide import _types


class Packet(NamedTuple):
    """One packet of a flow."""

    source: _types.Address
    """The sender's end."""
    destination: _types.Address
    """The receiver's end."""
    is_opening: bool = False
    """Whether it opens the flow, or answers the opening."""
    is_end: bool = False
    """Whether the sender has sent everything."""
    is_reset: bool = False
    """Whether it ends the flow at once."""
    token: int = 0
    """The field that both ends echo."""
    sequence: int = 0
    """The sender's position, or its choice at the opening."""
    acknowledged: int = 0
    """What the sender acknowledges; in an opening, how many copies."""
    data: bytes = b""
    """What the packet carries."""


class Route(NamedTuple):
    """A route of the deployment."""

    name: str
    """Its name."""
    port: int
    """The port at the service address that callers use."""
    service: str
    """Where new flows go."""
    is_repeatable: bool = True
    """Whether its requests may run more than once."""


class Machine(NamedTuple):
    """One machine of the soak and its process."""

    name: str
    """Its name."""
    is_control: bool
    """Whether a control replica runs there, else an entry instance."""
    data_centre: str
    """Its data centre."""
    proxy_host: str
    """The address by which other processes know it; a proxy listens there."""
    bind_host: str
    """The address that its process binds."""
    data_folder: pathlib.Path
    """Where a control replica keeps its files."""


class TargetAnnouncement(NamedTuple):
    """What a target says of itself."""

    target_id: str
    """Its id."""
    service: str
    """Its service."""
    address: _types.Address
    """Where it receives."""
    data_centre: str
    """Its data centre."""
    generation: int
    """Unix milliseconds of its start."""
    sequence: int
    """How many announcements came before."""
    slots: int
    """How many requests it runs at once."""
    is_draining: bool
    """Whether it is about to leave."""


class HttpCall(NamedTuple):
    """A call of the control replicas' API."""

    method: str
    """The method."""
    path: str
    """The path."""
    body: bytes = b""
    """The body."""


AddressFunction = Callable[[Machine], _types.Address]
"""Returns one of the addresses of a machine."""


class PlatformAdapter(NamedTuple):
    """The fabric's words, as functions."""

    service_host: str
    """The address that callers send to."""
    make_command: Callable[[pathlib.Path, Machine], Sequence[str]]
    """The command of a machine's process, under a root folder."""
    make_environment: Callable[[pathlib.Path], dict[str, str]]
    """What the process's environment says of its settings file."""
    make_settings: Callable[[Machine, Sequence[Machine], bool], str]
    """The settings of a machine, given the seeds and whether all is new."""
    packet_address: AddressFunction
    """Where an entry instance takes packets."""
    caller_packet_port: int
    """Where callers' addresses take resets."""
    readiness_address: AddressFunction
    """Where an entry instance serves its readiness."""
    readiness_call: HttpCall
    """Asks for readiness."""
    api_address: AddressFunction
    """Where a control replica serves operators and targets."""
    peer_port: int
    """The port of the traffic between processes."""
    make_announce_call: Callable[[TargetAnnouncement], HttpCall]
    """Announces a target."""
    make_deregister_call: Callable[[TargetAnnouncement], HttpCall]
    """Says that a target is gone."""
    make_change_call: Callable[[int, Sequence[Route]], HttpCall]
    """Makes a deployment the one in force."""
    read_call: HttpCall
    """Reads the deployment in force."""
    decode_version: Callable[[bytes], int]
    """Returns the version of a deployment that was read."""
    encode_packet: Callable[[Packet], bytes]
    """Encodes a packet."""
    decode_packet: Callable[[bytes], Packet]
    """Decodes a packet."""
    decode_target_packet: Callable[[bytes], tuple[int, Packet]]
    """Decodes what a target receives: whom it is for, 0 if for any."""
    target_number: Callable[[str], int]
    """The number that stands for a target's id in a delivery."""
