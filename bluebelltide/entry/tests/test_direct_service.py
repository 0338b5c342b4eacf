"""Tests of an entry instance of a direct deployment."""

import anyio
import pytest

from bluebelltide import _metrics
from bluebelltide import _types
from bluebelltide.catalogue import _deployment
from bluebelltide.entry import _direct_service
from bluebelltide.fronts.tests import test_token_front
from bluebelltide.membership import _directory
from bluebelltide.membership.tests import test_directory
from bluebelltide.messaging import _datagrams
from bluebelltide.tests import virtual_time


def make_entry(
    learns_from_answers: bool = False,
) -> _direct_service.DirectEntry:
    address = _types.Address("127.0.0.1", 0)
    settings = _direct_service.DirectEntrySettings(
        "127.0.0.1",
        "north",
        address,
        address,
        0,
        (),
        "/ready",
        learns_from_answers=learns_from_answers,
    )
    return _direct_service.DirectEntry(
        settings,
        test_token_front.CODEC,
        lambda body: test_token_front.DEPLOYMENT,
        _metrics.create_metrics(None, "entry"),
    )


def make_update(committed: int, unconfirmed: int) -> _datagrams.Update:
    return _datagrams.Update(
        _datagrams.Replica("10.0.0.1~0", "north"),
        run_id=7,
        first_index=0,
        last_index=0,
        has_more=False,
        has_complete_view=True,
        encoded_deployment_version=committed,
        voters_version=1,
        replicas=(),
        records=(),
        encoded_unconfirmed_version=unconfirmed,
    )


@pytest.mark.parametrize(
    ("known", "is_confirmed", "committed", "unconfirmed", "should_fetch"),
    [
        (-1, False, 0, 4, True),
        (4, False, 0, 4, False),
        # Other content may have been committed under the same version.
        (4, False, 4, 4, True),
        (4, True, 4, 4, False),
        (4, False, 3, 3, False),
        (4, True, 5, 5, True),
        # 0 is a version like any other, and -1 says that nothing is stored.
        (-1, False, -1, -1, False),
        (-1, False, -1, 0, True),
        (-1, False, 0, 0, True),
        (0, False, -1, 0, False),
        (0, False, 0, 0, True),
        (0, True, 0, 0, False),
        (0, True, 1, 1, True),
        (1, True, 0, 0, False),
    ],
)
def test_an_unconfirmed_deployment_is_fetched_again_once_it_is_committed(
    known: int,
    is_confirmed: bool,
    committed: int,
    unconfirmed: int,
    should_fetch: bool,
) -> None:
    entry = make_entry()
    if known >= 0:
        deployment = test_token_front.DEPLOYMENT._replace(version=known)
        entry._front.routes = _deployment.RouteTable(deployment)
    entry._is_confirmed = is_confirmed
    assert (
        entry._should_fetch_deployment(make_update(committed, unconfirmed))
        is should_fetch
    )


def test_tombstones_are_purged_before_new_targets_are_merged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_directory, "MAXIMUM_TARGETS", 3)
    entry = make_entry()

    def receive_record(
        name: str, port: int, has_left: bool, now_ms: int
    ) -> None:
        target = test_directory.make_target(name, port=port)
        record = _directory.TargetRecord(target, has_left)
        update = _datagrams.Update(
            _datagrams.Replica("10.0.0.1~0", "north"),
            run_id=7,
            first_index=0,
            last_index=port,
            has_more=False,
            has_complete_view=True,
            encoded_deployment_version=-1,
            voters_version=1,
            replicas=(),
            records=(record,),
        )
        entry._on_update(update, now_ms)

    for number in range(3):
        receive_record(f"old-{number}", number + 1, True, now_ms=0)
    receive_record("new", 9, False, now_ms=_directory.TOMBSTONE_MS + 1)
    live = entry._directory.live_targets()
    assert [target.target_id for target in live] == ["new"]


def test_a_partial_update_tells_only_of_its_own_records() -> None:
    entry = make_entry()
    target = test_directory.make_target("i-00ff", port=9)
    update = make_update(-1, -1)._replace(
        records=(_directory.TargetRecord(target),), is_partial=True
    )
    entry._front.is_view_current = False
    entry._on_update(update, now_ms=0)
    assert entry._front._endpoints
    assert not entry._front.has_all_targets
    assert not entry._front.is_view_current
    entry._on_update(make_update(-1, -1), now_ms=1)
    assert entry._front.has_all_targets
    assert entry._front.is_view_current


def test_changes_among_many_targets_are_applied_together(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    entry = make_entry()
    count = 2 * _direct_service.FEW_TARGETS
    applied: list[int] = []
    use_targets = entry._front.use_targets

    def count_and_use(
        known: dict[int, _types.Target], accepting: dict[int, _types.Target]
    ) -> None:
        applied.append(len(known))
        use_targets(known, accepting)

    monkeypatch.setattr(entry._front, "use_targets", count_and_use)

    def receive(number: int) -> None:
        name = f"i-{number:04x}"
        target = test_directory.make_target(name, port=number + 1)
        update = make_update(-1, -1)._replace(
            records=(_directory.TargetRecord(target),),
            has_complete_view=False,
        )
        entry._on_update(update, now_ms=number)

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            entry._tasks = tasks
            for number in range(count):
                receive(number)
            # The last update of the first round completes the view.
            entry._on_update(make_update(-1, -1), now_ms=count)
            assert applied[-1] == count
            applied.clear()
            for number in range(count, count + 20):
                receive(number)

    virtual_time.run_in_virtual_time(run, monkeypatch)
    assert applied == [count + 20]


@pytest.mark.parametrize(
    "loop", ["_maintain_forever", "_poll_replicas_forever"]
)
def test_an_unexpected_error_costs_one_round_of_a_loop(
    loop: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    entry = make_entry()
    rounds: list[int] = []

    def fail(now_ms: int) -> None:
        rounds.append(now_ms)
        raise ZeroDivisionError

    monkeypatch.setattr(entry._reporter, "send_due_reports", fail)
    monkeypatch.setattr(entry._replica_poller, "hosts", fail)

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(getattr(entry, loop))
            with anyio.fail_after(5):
                while len(rounds) < 3:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_a_new_deployment_decides_anew_which_targets_count() -> None:
    """Guards against targets that stay unused until the next one changes."""
    deployment = test_token_front.DEPLOYMENT
    entry = make_entry()
    other = test_directory.make_target("i-other", generation=300)
    other = other._replace(service="elsewhere")
    real = test_directory.make_target("i-real")
    real = real._replace(service=deployment.services[0])
    for target in (real, other):
        entry._directory.merge(_directory.TargetRecord(target), 0)
    entry._apply_targets()
    assert accepting_ids(entry) == {"i-other"}
    entry._apply_deployment(_deployment.compress_document(b""), True)
    assert accepting_ids(entry) == {"i-real"}


def accepting_ids(entry: _direct_service.DirectEntry) -> set[str]:
    return {
        entry._front._endpoints[token].target_id
        for token in entry._placer._accepting
    }


def test_an_entry_of_an_unknown_service_moves_no_open_flow() -> None:
    """Guards against packets that another writer sends to another address."""
    entry = make_entry()
    own = test_directory.make_target("i-1", port=1)
    service = test_token_front.DEPLOYMENT.services[0]
    own = own._replace(service=service)
    entry._directory.merge(_directory.TargetRecord(own), 0)
    document = _deployment.compress_document(b"{}")
    entry._apply_deployment(document, is_committed=True)
    foreign = test_directory.make_target("i-1", port=2, sequence=51)
    foreign = foreign._replace(service="nobody")
    update = make_update(-1, -1)._replace(
        records=(_directory.TargetRecord(foreign),)
    )
    entry._on_update(update, 100)
    (known,) = entry._target_index.known.values()
    assert known.address == own.address
