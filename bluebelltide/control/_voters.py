"""The register that holds the voter set of the control replicas."""

from typing import NamedTuple

import msgspec

from bluebelltide.catalogue import _register

VOTERS_KEY = "internal/voters"
"""The key of the register that holds the voter set."""


class VoterLists(NamedTuple):
    """The value of the voters register."""

    voters: tuple[str, ...]
    """The identities of the voters."""
    next_voters: tuple[str, ...]
    """The identities of the next voters during a joint step, else empty."""


def encode_voters(lists: VoterLists) -> bytes:
    """Encodes a voter set as the register's value."""
    return msgspec.json.encode(lists)


def decode_voters(state: _register.RegisterState) -> _register.Voters | None:
    """Decodes the voter set of the register's state, None if it has none."""
    if state.value is None:
        return None
    lists = msgspec.json.decode(state.value, type=VoterLists)
    return _register.Voters(
        state.encoded_version, lists.voters, lists.next_voters
    )
