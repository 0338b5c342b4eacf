"""Slopes: what one more service, target or instance costs a process.

Each value is measured at three or more sizes on the real cores, and a line is
fitted to the values. Times are processor time; the best of several runs counts
because other load on the machine slows single runs. Bytes are exact.
"""

from collections.abc import Callable, Sequence
import gc
import json
import time
import tracemalloc
from typing import Any, NamedTuple

import anyio
import numpy as np

from bluebelltide import _codec
from bluebelltide import _metrics
from bluebelltide import _tokens
from bluebelltide import _types
from bluebelltide import admission
from bluebelltide import catalogue
from bluebelltide import flows
from bluebelltide import membership
from bluebelltide.catalogue import _register
from bluebelltide.catalogue import _store
from bluebelltide.catalogue import _view
from bluebelltide.entry import _announce
from bluebelltide.flows import _epoch
from bluebelltide.flows import _messages
from bluebelltide.flows import _wire
from bluebelltide.membership import _registry
from bluebelltide.membership import _swim
from bluebelltide.peers import _frames
from bluebelltide.peers import _links

REPEATS = 5
"""How often each time is measured; the shortest counts."""
TARGETS_PER_SERVICE = 8
"""The number of targets of each service in the measured tables."""


class Slope(NamedTuple):
    """A fitted line."""

    name: str
    """What is measured, and its unit."""
    variable: str
    """The quantity that grows."""
    sizes: tuple[int, ...]
    """The measured sizes."""
    values: tuple[float, ...]
    """The measured values."""
    fixed: float
    """The fitted value at size 0."""
    slope: float
    """The cost of one more."""

    def value_at(self, size: float) -> float:
        """Returns the fitted value at a size."""
        return max(0.0, self.fixed + self.slope * size)


def fit_slope(
    name: str,
    variable: str,
    sizes: Sequence[int],
    measure: Callable[[int], float],
) -> Slope:
    """Measures at each size and fits a line."""
    values = tuple(measure(size) for size in sizes)
    slope, fixed = np.polyfit(list(sizes), list(values), 1)
    rounded = tuple(round(value, 4) for value in values)
    return Slope(
        name, variable, tuple(sizes), rounded, float(fixed), float(slope)
    )


def measure_time_us(function: Callable[[], object], count: int) -> float:
    """Returns the processor time of one call in microseconds."""
    best_ns = float("inf")
    for _ in range(REPEATS):
        start_ns = time.process_time_ns()
        for _ in range(count):
            function()
        best_ns = min(best_ns, (time.process_time_ns() - start_ns) / count)
    return best_ns / 1000


def measure_memory_bytes(create: Callable[[], object]) -> int:
    """Returns the memory that a new object uses."""
    gc.collect()
    tracemalloc.start()
    created = create()
    gc.collect()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del created
    return size_bytes


def make_target(service: int, number: int, sequence: int = 1) -> _types.Target:
    """Returns a target as it announces itself."""
    return _types.Target(
        f"host-{service:03}-{number:03}",
        f"service-{service:03}",
        _types.Address(
            f"10.{service // 250}.{service % 250}.{number + 1}", 8080
        ),
        "dc-1",
        1_760_000_000_000,
        sequence,
        _types.TargetState.READY,
        3,
        200,
        50,
        15_000,
    )


def make_renewal(target: _types.Target, sequence: int) -> _registry.Renewal:
    """Returns the renewal of a target's lease."""
    return _registry.Renewal(
        target.service, target.target_id, target.generation, sequence, 200, 50
    )


def make_registry(services: int) -> membership.TargetRegistry:
    """Returns a registry that holds the targets of some services."""
    registry = membership.TargetRegistry()
    registry.merge(
        [
            make_target(service, number)
            for service in range(services)
            for number in range(TARGETS_PER_SERVICE)
        ],
        0,
    )
    return registry


def make_plan(services: int) -> _epoch.TargetWeights:
    """Returns the planner's input for some services."""
    return {
        f"service-{service:03}": tuple(
            flows.TargetWeight(make_target(service, number).target_id, 1.0)
            for number in range(TARGETS_PER_SERVICE)
        )
        for service in range(services)
    }


def make_engine(services: int, instances: int) -> flows.RoutingEngine:
    """Returns a routing engine that has an epoch and a lease."""
    engine = flows.RoutingEngine("entry-000", 1)
    names = tuple(f"entry-{number:03}" for number in range(instances))
    plan = make_plan(services)
    planned = _epoch.plan_next_epoch(
        _epoch.first_epoch("l", names),
        _epoch.DesiredInstances(names),
        plan,
        frozenset(),
    )
    assert planned is not None
    engine.router.install(planned, 0)
    engine.coordinator.adopt(planned, 0)
    grant = _messages.LeaseGranted("entry-000", 0, 10**9, "l", planned.number)
    engine.receive("entry-000", grant, 0)
    engine.tick(_engine_input(services, instances), 0)
    return engine


def _engine_input(services: int, instances: int) -> flows.EngineInput:
    live = {f"entry-{number:03}" for number in range(instances)}
    plan = make_plan(services)
    return flows.EngineInput(live, plan, dict.fromkeys(plan, 60_000), False)


def measure_route(services: int, instances: int) -> float:
    """Returns the time of one routing decision of an established flow."""
    engine = make_engine(services, instances)
    packets = [
        flows.Packet(f"service-{n % services:03}", n * 7919, False, None)
        for n in range(1000)
    ]

    def route() -> None:
        for packet in packets:
            engine.route(packet, 5)

    return measure_time_us(route, 5) / len(packets)


def measure_tick(services: int) -> float:
    """Returns the time of one tick of the routing engine."""
    engine = make_engine(services, 9)
    engine_input = _engine_input(services, 9)
    clock = iter(range(1, 10**9))
    return measure_time_us(lambda: engine.tick(engine_input, next(clock)), 20)


def measure_look_up(services: int) -> float:
    """Returns the time to look up the targets of every service."""
    registry = make_registry(services)

    def look_up() -> None:
        for service in range(services):
            registry.availabilities(f"service-{service:03}", 1)

    return measure_time_us(look_up, 2)


def measure_admission_updates(services: int) -> float:
    """Returns the time to update and tick all admission cores."""
    registry = make_registry(services)
    cores = {}
    for service in range(services):
        name = f"service-{service:03}"
        entry = catalogue.ServiceEntry(
            name, "team", catalogue.ServiceClass.NORMAL, (), ()
        )
        cores[name] = admission.create_admission(entry, service)
    found = {name: registry.availabilities(name, 1) for name in cores}
    share = admission.Share(0, 9)

    def update() -> None:
        for name, core in cores.items():
            core.update_targets(found[name], share, 1)
            core.tick(1)

    return measure_time_us(update, 5)


def measure_planning_ms(services: int) -> float:
    """Returns the time to plan an epoch after one target left."""
    names = ("entry-000",)
    plan = make_plan(services)
    desired = _epoch.DesiredInstances(names)
    epoch = _epoch.plan_next_epoch(
        _epoch.first_epoch("l", names), desired, plan, frozenset()
    )
    assert epoch is not None
    changed = {**plan, "service-000": plan["service-000"][1:]}
    call = lambda: _epoch.plan_next_epoch(epoch, desired, changed, frozenset())  # noqa: E731
    return measure_time_us(call, 2) / 1000


def measure_epoch_bytes(services: int) -> float:
    """Returns the size of the message for an epoch after one target left."""
    names = tuple(f"entry-{number:03}" for number in range(55))
    plan = make_plan(services)
    desired = _epoch.DesiredInstances(names)
    first = _epoch.plan_next_epoch(
        _epoch.first_epoch("l", names), desired, plan, frozenset()
    )
    assert first is not None
    changed = {**plan, "service-000": plan["service-000"][1:]}
    second = _epoch.plan_next_epoch(first, desired, changed, frozenset())
    assert second is not None
    wire = _wire.to_wire(second, first)
    message = _messages.EpochDecided("entry-000", wire, True)
    return float(len(_frames.encode_frame(message)))


def measure_registry_bytes(services: int) -> float:
    """Returns the memory of a registry."""
    return float(measure_memory_bytes(lambda: make_registry(services)))


def measure_tables_bytes(services: int) -> float:
    """Returns the memory of the routing tables."""
    return float(measure_memory_bytes(lambda: make_engine(services, 55)))


def measure_renewal_bytes(targets: int) -> float:
    """Returns the size of a frame that renews leases."""
    renewals = tuple(
        make_renewal(t, 100_000)
        for t in (make_target(n // 8, n % 8) for n in range(targets))
    )
    return float(len(_frames.encode_frame(_frames.LeasesRenewed(renewals))))


def measure_renewal_us(targets: int) -> float:
    """Returns the time to decode and apply a frame that renews leases."""
    registry = make_registry(targets // 8)
    sequence = iter(range(2, 10**9))

    def receive_renewals() -> None:
        number = next(sequence)
        renewals = tuple(
            make_renewal(t, number)
            for t in (make_target(n // 8, n % 8) for n in range(targets))
        )
        frame = _frames.encode_frame(_frames.LeasesRenewed(renewals))
        message = _frames.decode_frame(frame)
        assert isinstance(message, _frames.LeasesRenewed)
        registry.renew(message.renewals, 1)

    return measure_time_us(receive_renewals, 3)


def _swim_members(instances: int) -> list[_swim.Swim]:
    cores = []
    for number in range(instances):
        member = membership.Member(
            f"entry-{number:03}",
            1_760_000_000_000,
            membership.MemberStatus.ALIVE,
            "dc-1",
            _types.Address(f"10.0.0.{number + 1}", 7200),
            True,
        )
        cores.append(membership.Swim(member, number))
    for core in cores:
        for other in cores:
            core.add_member(other.own_member, 0)
    return cores


def run_swim(instances: int) -> tuple[float, float]:
    """Runs the membership protocol without changes, for 30 s of fake time.

    Args:
        instances: The number of instances.

    Returns:
        The bytes sent and the processor time in microseconds, both for each
        instance and second.
    """
    cores = {core.own_member.name: core for core in _swim_members(instances)}
    size_bytes = 0
    start_ns = 0
    for now_ms in range(0, 40_000, 100):
        if now_ms == 10_000:
            size_bytes = 0
            start_ns = time.process_time_ns()
        queue = [
            action for core in cores.values() for action in core.tick(now_ms)
        ]
        while queue:
            action = queue.pop()
            if isinstance(action, _swim.SendTo):
                frame = _frames.encode_frame(action.message)
                size_bytes += len(frame)
                message = _frames.decode_frame(frame)
                assert isinstance(
                    message, _swim.Ping | _swim.Ack | _swim.PingRequest
                )
                queue += cores[action.name].receive(message, now_ms)
    total_us = (time.process_time_ns() - start_ns) / 1000
    instance_seconds = instances * 30
    return size_bytes / instance_seconds, total_us / instance_seconds


def measure_heartbeats_us(instances: int) -> float:
    """Returns the coordinator's time for a heartbeat of every instance."""
    engine = make_engine(1, instances)
    live = {f"entry-{number:03}" for number in range(instances)}
    engine.coordinator.tick(live, make_plan(1), 1)

    def exchange_heartbeats() -> None:
        for name in live:
            frame = _frames.encode_frame(
                _messages.Heartbeat(name, 1, True, False)
            )
            message = _frames.decode_frame(frame)
            assert isinstance(message, _messages.Heartbeat)
            for send in engine.receive(name, message, 2):
                _frames.encode_frame(send.message)

    return measure_time_us(exchange_heartbeats, 5)


def heartbeat_bytes() -> tuple[int, int]:
    """Returns the sizes of a heartbeat and of its answer."""
    heartbeat = _messages.Heartbeat("entry-000", 1_760_000_000_000, True, False)
    grant = _messages.LeaseGranted(
        "entry-000", 1_760_000_000_000, 4000, "l" * 24, 9
    )
    return (
        len(_frames.encode_frame(heartbeat)),
        len(_frames.encode_frame(grant)),
    )


def make_versioned_entry(number: int) -> _view.VersionedEntry:
    """Returns a catalogue entry as processes send it."""
    name = f"service-{number:03}"
    entry = catalogue.ServiceEntry(
        name,
        "team",
        catalogue.ServiceClass.NORMAL,
        (_types.Address(f"10.{number // 250}.{number % 250}.1", 443),),
        ("a" * 64,),
    )
    value = catalogue.encode_entry(entry)
    return _view.VersionedEntry(f"service/{name}", 1, value)


def measure_view_bytes(entries: int) -> float:
    """Returns the memory of a catalogue view."""

    def create() -> object:
        view = _view.CatalogueView()
        for number in range(entries):
            view.merge(make_versioned_entry(number))
        return view

    return float(measure_memory_bytes(create))


def measure_merge_us(entries: int) -> float:
    """Returns the time to merge one changed entry into a view."""
    view = _view.CatalogueView()
    for number in range(entries):
        view.merge(make_versioned_entry(number))
    first = make_versioned_entry(0)
    versions = iter(range(2, 10**9))
    return measure_time_us(
        lambda: view.merge(first._replace(version=next(versions))), 20
    )


def push_bytes() -> int:
    """Returns the size of the frame that pushes one changed entry."""
    message = _frames.Learned((make_versioned_entry(0),))
    return len(_frames.encode_frame(message))


def acceptor_record_bytes() -> int:
    """Returns the size of one stored record of an acceptor's state."""
    entry = make_versioned_entry(0)
    state = _register.RegisterState(
        1, entry.value, (_register.AppliedChange("c" * 40, 1),)
    )
    ballot = _register.Ballot(1, "control-1/0123456789ab")
    write = _register.AcceptorStateWrite(
        entry.key, _register.AcceptorState(ballot, ballot, state)
    )
    return len(_store.encode_record(write))


def announcement_us() -> float:
    """Returns the time to check and store one announcement."""
    registry = make_registry(1)
    sequence = iter(range(2, 10**9))

    def store_announcement() -> None:
        registry.announce(make_target(0, 0, next(sequence)), 1)

    return measure_time_us(store_announcement, 500)


def pinned_flow_bytes() -> float:
    """Returns the memory of one pinned flow."""

    def create() -> object:
        return {n * 7919: "host-000-001" for n in range(100_000)}

    return measure_memory_bytes(create) / 100_000


def route_hint_bytes() -> float:
    """Returns the size of one pinned flow in the route hints to an instance."""

    def size(count: int) -> int:
        pinned_flows = tuple(
            (n * 2**50 + 12345, "host-000-001") for n in range(count)
        )
        message = _messages.Directions(
            "entry-000",
            flows.BucketKey("service-000", 5),
            3,
            pinned_flows,
            60_000,
        )
        return len(_codec.encode(_codec.to_plain(message)))

    return (size(200) - size(100)) / 100


SERVICE_COUNTS = (10, 35, 70)
"""The measured numbers of services of a data centre.

70 is the number expected in two years.
"""
INSTANCE_COUNTS = (9, 27, 55)
"""The measured numbers of instances of a data centre.

55 is the number expected in two years.
"""


def measure_all() -> dict[str, Slope]:
    """Measures every slope.

    Returns:
        The slopes by short name.
    """
    found = {
        "route": fit_slope(
            "steady routing decision, us",
            "instances",
            INSTANCE_COUNTS,
            lambda n: measure_route(70, n),
        ),
        "route_services": fit_slope(
            "steady routing decision, us",
            "services",
            SERVICE_COUNTS,
            lambda n: measure_route(n, 55),
        ),
        "tick": fit_slope(
            "node timer round, us", "services", SERVICE_COUNTS, measure_tick
        ),
        "standings": fit_slope(
            "target look-up of all services, us",
            "services",
            SERVICE_COUNTS,
            measure_look_up,
        ),
        "fronts": fit_slope(
            "admission timer round, us",
            "services",
            SERVICE_COUNTS,
            measure_admission_updates,
        ),
        "plan": fit_slope(
            "planning an epoch, ms",
            "services",
            SERVICE_COUNTS,
            measure_planning_ms,
        ),
        "epoch": fit_slope(
            "news of an epoch, bytes",
            "services",
            SERVICE_COUNTS,
            measure_epoch_bytes,
        ),
        "registry": fit_slope(
            "registry memory, bytes",
            "services",
            SERVICE_COUNTS,
            measure_registry_bytes,
        ),
        "tables": fit_slope(
            "routing tables' memory, bytes",
            "services",
            SERVICE_COUNTS,
            measure_tables_bytes,
        ),
        "renewal_bytes": fit_slope(
            "frame of lease renewals, bytes",
            "targets",
            (80, 280, 520),
            measure_renewal_bytes,
        ),
        "renewal_us": fit_slope(
            "taking lease renewals, us",
            "targets",
            (80, 280, 520),
            measure_renewal_us,
        ),
        "swim_bytes": fit_slope(
            "quiet membership, bytes/s",
            "instances",
            INSTANCE_COUNTS,
            lambda n: run_swim(n)[0],
        ),
        "swim_us": fit_slope(
            "quiet membership, us/s",
            "instances",
            INSTANCE_COUNTS,
            lambda n: run_swim(n)[1],
        ),
        "heartbeats": fit_slope(
            "coordinator, one heartbeat of all, us",
            "instances",
            INSTANCE_COUNTS,
            measure_heartbeats_us,
        ),
        "view": fit_slope(
            "catalogue memory, bytes",
            "entries",
            (100, 350, 630),
            measure_view_bytes,
        ),
        "merge": fit_slope(
            "taking a changed entry, us",
            "entries",
            (100, 350, 630),
            measure_merge_us,
        ),
    }
    return found


def announce_http_us() -> float:
    """Returns the time of one announcement through the HTTP interface."""
    view = _view.CatalogueView()
    first = make_versioned_entry(0)
    entry = catalogue.decode_entry(first.key, first.value or b"")
    assert isinstance(entry, catalogue.ServiceEntry)
    hashed = entry._replace(target_key_hashes=(_tokens.hash_token("key"),))
    view.merge(first._replace(value=catalogue.encode_entry(hashed)))
    metrics = _metrics.create_metrics(None, "bench")
    registry = make_registry(1)
    handler = _announce.AnnounceHandler(
        registry, view, "dc-1", metrics, lambda: True
    )
    api = _announce.create_announce_api(
        handler, metrics, lambda: True, dict, lambda: 1
    )
    body = make_target(0, 0)._asdict()
    del body["data_centre"]
    del body["cold_remaining_ms"]
    body["address"] = str(body["address"])
    sequence = iter(range(2, 10**9))

    async def post() -> None:
        body["sequence"] = next(sequence)
        data = json.dumps(body).encode()
        messages: list[dict[str, Any]] = []

        async def receive() -> dict[str, Any]:
            return {"type": "http.request", "body": data, "more_body": False}

        async def send(message: Any) -> None:  # noqa: ANN401
            messages.append(message)

        scope = {
            "type": "http",
            "method": "POST",
            "path": "/v1/announce",
            "headers": [(b"authorization", b"Bearer key")],
            "query_string": b"",
        }
        await api(scope, receive, send)
        assert messages[0]["status"] == 200

    async def post_many() -> None:
        for _ in range(200):
            await post()

    return measure_time_us(lambda: anyio.run(post_many), 1) / 200


def measure_links_bytes(links: int) -> float:
    """Returns the memory of open links, including both ends of each."""

    async def run() -> int:
        metrics = _metrics.create_metrics(None, "bench")
        hello = _frames.Hello("entry", "entry-000", "1", "dc-1")
        opened: list[_links.Link] = []

        async def hold_link(link: _links.Link) -> None:
            opened.append(link)
            async for _ in link.messages():
                pass

        gc.collect()
        tracemalloc.start()
        listen_address = _types.Address("127.0.0.1", 0)
        async with (
            _links.serve_links(
                listen_address, None, hello, metrics, hold_link
            ) as address,
            anyio.create_task_group() as tasks,
        ):
            for _ in range(links):
                tasks.start_soon(
                    _links.maintain_link,
                    address,
                    None,
                    hello,
                    metrics,
                    hold_link,
                )
            while len(opened) < 2 * links:
                await anyio.sleep(0.01)
            gc.collect()
            size_bytes, _ = tracemalloc.get_traced_memory()
            tasks.cancel_scope.cancel()
        tracemalloc.stop()
        return size_bytes

    return float(anyio.run(run))
