"""Bytes that programs wrote before a register told version 0 from none.

A rolling update takes machine after machine, forward and back, so each program
must read what the other one wrote: files, calls and updates.
"""

import pytest

from bluebelltide import _codec
from bluebelltide.catalogue import _register
from bluebelltide.catalogue import _store
from bluebelltide.messaging import _calls
from bluebelltide.messaging import _datagrams

BALLOT = _register.Ballot(3, "10.0.0.1~0/ab")
NOTHING = _register.RegisterState()
SEVEN = _register.RegisterState(7, b"seven")
REMOVED = _register.RegisterState(3, None, (_register.AppliedChange("x", 3),))
UPDATE = _datagrams.Update(
    _datagrams.Replica("10.0.0.1~0", "north"),
    run_id=7,
    first_index=0,
    last_index=0,
    has_more=False,
    has_complete_view=True,
    encoded_deployment_version=7,
    voters_version=1,
    replicas=(),
    records=(),
    encoded_unconfirmed_version=7,
)


@pytest.mark.parametrize(
    ("recorded", "state", "version"),
    [
        ("8300f680", NOTHING, None),
        ("830745736576656e80", SEVEN, 7),
        ("8303f68182617803", REMOVED, 3),
    ],
)
def test_saved_states_are_the_same(
    recorded: str, state: _register.RegisterState, version: int | None
) -> None:
    plain = _codec.decode(bytes.fromhex(recorded), "test")
    read = _codec.from_plain(plain, _register.RegisterState, "test")
    assert read == state
    assert read.version == version
    assert _codec.encode(_codec.to_plain(state)).hex() == recorded


@pytest.mark.parametrize(
    ("recorded", "acceptor_state"),
    [
        (
            "00000024d227329c88deb73d826a6465706c6f796d656e748382036d31302e302e"
            "302e317e302f61628200608300f680",
            _register.AcceptorState(BALLOT),
        ),
        (
            "00000036a6373ca42ff8b2b5826a6465706c6f796d656e748382036d31302e302e"
            "302e317e302f616282036d31302e302e302e317e302f6162830745736576656e80",
            _register.AcceptorState(BALLOT, BALLOT, SEVEN),
        ),
    ],
)
def test_records_of_the_log_are_the_same(
    recorded: str, acceptor_state: _register.AcceptorState
) -> None:
    write = _register.AcceptorStateWrite("deployment", acceptor_state)
    data = bytes.fromhex(recorded)
    assert _store.decode_records(data, "log") == ([write], len(data))
    assert _store.encode_record(write) == data


CALLS = [
    (
        "0000002d836750726f6d69736560846a6465706c6f796d656e7482036d31302e302e30"
        "2e317e302f61628200608300f680",
        _register.Promise("deployment", BALLOT, _register.ZERO_BALLOT, NOTHING),
    ),
    (
        "0000003f836750726f6d69736560846a6465706c6f796d656e7482036d31302e302e30"
        "2e317e302f616282036d31302e302e302e317e302f6162830745736576656e80",
        _register.Promise("deployment", BALLOT, BALLOT, SEVEN),
    ),
    (
        "0000002b836641636365707460846b65766163756174696f6e7382036d31302e302e30"
        "2e317e302f6162018300f680",
        _register.Accept("evacuations", BALLOT, 1, NOTHING),
    ),
    (
        "0000002f836641636365707460846a6465706c6f796d656e7482036d31302e302e302e"
        "317e302f616201830745736576656e80",
        _register.Accept("deployment", BALLOT, 1, SEVEN),
    ),
    ("0000001083674665746368656460828300f680f5", _calls.Fetched(NOTHING)),
    (
        "000000158367466574636865646082830745736576656e80f4",
        _calls.Fetched(SEVEN, False),
    ),
    (
        "00000021836b5175657279416e73776572608382036d31302e302e302e317e302f6162"
        "0701",
        _calls.QueryAnswer(BALLOT, 7, 1),
    ),
]


@pytest.mark.parametrize(("recorded", "message"), CALLS)
def test_calls_are_the_same(
    recorded: str, message: _calls.Request | _calls.Answer
) -> None:
    data = bytes.fromhex(recorded)
    assert _calls._unpack(data[4:], "test") == ("", message)
    assert _calls._pack(message, "") == data


def test_an_earlier_voter_with_nothing_stored_answers_with_version_0() -> None:
    """Its ballot is the lowest one, so it proves no version 0 to a reader."""
    data = bytes.fromhex(
        "00000014836b5175657279416e73776572608382006000" + "01"
    )
    answer = _calls.QueryAnswer(_register.ZERO_BALLOT, 0, 1)
    assert _calls._unpack(data[4:], "test") == ("", answer)
    # A later voter says -1, which earlier readers take for an old version.
    encoded = _register.encode_version(NOTHING.version)
    answer = _calls.QueryAnswer(_register.ZERO_BALLOT, encoded, 1)
    assert answer.encoded_version == -1
    assert answer.version is None


def test_updates_are_the_same() -> None:
    data = bytes.fromhex(
        "82018e826a31302e302e302e317e30656e6f727468070000f4f50701808007f4820080f6"
    )
    assert _datagrams.decode_datagram(data, "test") == UPDATE
    assert _datagrams.encode_datagram(UPDATE) == data


def test_an_earlier_replica_with_nothing_stored_offers_version_0() -> None:
    """An instance without routes asks for it then, as it did before."""
    data = bytes.fromhex(
        "82018e826a31302e302e302e317e30656e6f727468070000f4f50001808000f4820080f6"
    )
    update = _datagrams.decode_datagram(data, "test")
    assert isinstance(update, _datagrams.Update)
    assert update.deployment_version == 0
    assert update.unconfirmed_version == 0
    nothing = _register.encode_version(None)
    later = UPDATE._replace(encoded_deployment_version=nothing)
    assert later.deployment_version is None
