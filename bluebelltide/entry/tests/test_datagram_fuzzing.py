"""Random datagrams, well formed or not, must not break an entry instance."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from bluebelltide import _codec
from bluebelltide import _types
from bluebelltide.entry import _direct_service
from bluebelltide.entry.tests import test_direct_service
from bluebelltide.membership import _directory
from bluebelltide.membership.tests import test_directory
from bluebelltide.messaging import _datagrams

SENDER = ("10.0.0.1", 7000)
INTEGERS = strategies.integers(-(2**63), 2**63)
TEXTS = strategies.text(max_size=12)
# Values that pass the checks of a datagram are drawn about as often as others.
NAMES = TEXTS | strategies.sampled_from(["dues", "i-1", "north"])
ADDRESS_HOSTS = TEXTS | strategies.sampled_from(["10.0.0.1", "10.0.0.2"])
IDENTITIES = TEXTS | strategies.sampled_from(["10.0.0.1~0", "10.0.0.2~a1"])
TARGETS = strategies.builds(
    _types.Target,
    NAMES,
    NAMES,
    strategies.builds(
        _types.Address, ADDRESS_HOSTS, INTEGERS | strategies.just(80)
    ),
    NAMES,
    INTEGERS,
    INTEGERS,
    strategies.sampled_from(_types.TargetState),
    INTEGERS,
    INTEGERS,
    INTEGERS,
    INTEGERS,
)
RECORDS = strategies.builds(
    _directory.TargetRecord, TARGETS, strategies.booleans()
)
REPLICAS = strategies.builds(_datagrams.Replica, IDENTITIES, TEXTS)
HOSTS = strategies.lists(ADDRESS_HOSTS, max_size=4).map(tuple)
UPDATES = strategies.builds(
    _datagrams.Update,
    REPLICAS,
    INTEGERS,
    INTEGERS,
    INTEGERS,
    strategies.booleans(),
    strategies.booleans(),
    INTEGERS,
    INTEGERS,
    strategies.lists(REPLICAS, max_size=3).map(tuple),
    strategies.lists(RECORDS, max_size=3).map(tuple),
    INTEGERS,
    strategies.booleans(),
)
LOAD_REPORTS = strategies.builds(
    _datagrams.LoadReport,
    ADDRESS_HOSTS,
    strategies.dictionaries(INTEGERS, INTEGERS, max_size=4),
    strategies.lists(INTEGERS, max_size=4).map(tuple),
    strategies.dictionaries(INTEGERS, INTEGERS, max_size=4),
)
PEER_LISTS = strategies.builds(
    _datagrams.PeerList, INTEGERS, HOSTS, HOSTS, INTEGERS
)
MESSAGES = strategies.one_of(UPDATES, LOAD_REPORTS, PEER_LISTS)
PLAIN = strategies.recursive(
    INTEGERS | TEXTS | strategies.binary(max_size=8) | strategies.none(),
    lambda inner: strategies.lists(inner, max_size=4),
    max_leaves=12,
)


def make_entry_without_sockets() -> _direct_service.DirectEntry:
    entry = test_direct_service.make_entry()
    entry._send_datagram = lambda host, data: None  # type: ignore[method-assign]
    return entry


def assert_targets_still_change(entry: _direct_service.DirectEntry) -> None:
    """Asserts that a well-formed update after the fuzzed ones takes effect."""
    target = test_directory.make_target("i-00ff", generation=2**62)
    update = test_direct_service.make_update(1, 0)._replace(
        records=(_directory.TargetRecord(target),)
    )
    entry._on_datagram(_datagrams.encode_datagram(update), SENDER)
    assert target in entry._directory.live_targets()
    assert any(
        endpoint.target_id == "i-00ff"
        for endpoint in entry._front._endpoints.values()
    )


@settings(derandomize=True, max_examples=150, deadline=None)
@given(strategies.lists(MESSAGES, max_size=6))
def test_absurd_values_do_not_break_an_instance(
    messages: list[_datagrams.Message],
) -> None:
    entry = make_entry_without_sockets()
    for message in messages:
        try:
            data = _datagrams.encode_datagram(message)
        except OverflowError:
            continue
        entry._on_datagram(data, SENDER)
    assert_targets_still_change(entry)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(strategies.integers(-1, 5), PLAIN)
def test_values_of_wrong_types_are_rejected(kind: int, plain: object) -> None:
    entry = make_entry_without_sockets()
    try:
        data = _codec.encode([kind, plain])
    except OverflowError:
        return
    entry._on_datagram(data, SENDER)
    assert_targets_still_change(entry)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(strategies.binary(max_size=200))
def test_random_bytes_are_rejected(data: bytes) -> None:
    entry = make_entry_without_sockets()
    entry._on_datagram(data, SENDER)
    assert_targets_still_change(entry)
