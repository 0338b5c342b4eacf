"""The settings of the programs, read from a file of JSON with comments."""

from typing import NamedTuple

from bluebelltide import _checking
from bluebelltide import _exceptions
from bluebelltide import _types


class TlsSettings(NamedTuple):
    """The files for mutual TLS between the processes of a deployment."""

    authority_file: str
    """PEM file of the authorities that sign the processes' certificates."""
    certificate_file: str
    """PEM file of this process's certificate chain."""
    key_file: str
    """PEM file of this process's private key."""


class ControlSettings(NamedTuple):
    """The control role: one replica that stores the catalogue."""

    peer_address: _types.Address
    """The address for replicas and entry instances (websockets)."""
    api_address: _types.Address
    """The address for operators (HTTP)."""
    data_folder: str
    """The folder of this replica's durable state."""
    replicas: tuple[_types.Address, ...]
    """Peer addresses of all replicas, including this one."""
    initial_voters: tuple[str, ...]
    """Names of the voters with which the catalogue is created."""
    operator_token_hashes: tuple[str, ...] = ()
    """SHA-256 of each operator's bearer token, in hexadecimal."""
    change_timeout_ms: int = 3000
    """The maximum duration of one catalogue change."""


class PacketSettings(NamedTuple):
    """The packet front of an entry instance.

    The fabric may send each packet of a flow to any instance.
    """

    address: _types.Address
    """Where the instance receives packets from the fabric (IP in UDP)."""
    fabric_address: _types.Address
    """Where the instance sends packets to the fabric."""
    relay_address: _types.Address
    """Where the instance receives packets from other instances (UDP)."""
    relay_key_file: str
    """File with the keys that authenticate relayed packets, one per line."""


class EntrySettings(NamedTuple):
    """The entry role: one instance that carries flows."""

    peer_address: _types.Address
    """The address for other instances (websockets)."""
    announce_address: _types.Address
    """The address for announcements and readiness checks (HTTP)."""
    replicas: tuple[_types.Address, ...] = ()
    """Peer addresses of the control replicas."""
    peers: tuple[_types.Address, ...] = ()
    """Peer addresses of some instances through which this one joins."""
    packet: PacketSettings | None = None
    """The packet front; disabled if absent."""
    data_folder: str | None = None
    """The folder of the saved catalogue; nothing is saved if absent."""
    listen_host: str | None = None
    """Replaces the host of each service address, so that several instances
    can run on one machine; the service's own host is used if absent."""
    stop_timeout_ms: int = 30000
    """The maximum duration of a graceful stop."""
    unready_before_stop_ms: int = 1000
    """How long a stopping instance reports unready before it stops."""
    alone_after_ms: int = 3000
    """How long a starting instance waits for others before it starts alone."""


class Settings(NamedTuple):
    """The contents of a settings file."""

    name: str
    """The instance's name, unique in the deployment."""
    data_centre: str
    """The data centre that the instance is in."""
    statsd_address: _types.Address | None = None
    """The address of statsd (UDP); no metrics are sent if absent."""
    json_logs: bool = False
    """Whether log lines are JSON objects."""
    tls: TlsSettings | None = None
    """Mutual TLS between processes; disabled if absent."""
    entry: EntrySettings | None = None
    """The entry role, if this process has it."""
    control: ControlSettings | None = None
    """The control role, if this process has it."""


def read_settings(path: str) -> Settings:
    """Reads and checks a settings file.

    Args:
        path: The file's path.

    Returns:
        The settings.

    Raises:
        BluebelltideError: With BAD_SETTINGS, listing every problem.
    """
    code = _exceptions.ErrorCode.BAD_SETTINGS
    raw = _checking.read_json_with_comments(path, code)
    settings, problems = _checking.check_record(Settings, raw, "")
    _checking.raise_problems(code, path, problems)
    assert settings is not None
    return settings
