"""Slopes: what one more service, target or instance costs a process.

Each slope is measured at three sizes or more on the real cores and fitted by a
line. Times are processor time, the best of several runs, since the machine is
noisy; bytes are exact.
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
"""How often each time is measured; the best counts."""
TARGETS_PER_SERVICE = 8
"""Targets of each service in the measured tables."""


class Slope(NamedTuple):
    """A fitted line."""

    name: str
    """What was measured, with its unit."""
    variable: str
    """What grows."""
    sizes: tuple[int, ...]
    """The measured sizes."""
    values: tuple[float, ...]
    """The measured values."""
    fixed: float
    """The value at size 0."""
    slope: float
    """What one more costs."""

    def at(self, size: float) -> float:
        """Returns the fitted value at a size."""
        return max(0.0, self.fixed + self.slope * size)


def fit(
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


def time_us(function: Callable[[], object], count: int) -> float:
    """Returns the processor time of one call in microseconds."""
    best = float("inf")
    for _ in range(REPEATS):
        started = time.process_time_ns()
        for _ in range(count):
            function()
        best = min(best, (time.process_time_ns() - started) / count)
    return best / 1000


def memory_bytes(build: Callable[[], object]) -> int:
    """Returns the memory that an object holds."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size_bytes


def make_target(service: int, number: int, sequence: int = 1) -> _types.Target:
    """Returns a target as it would announce itself."""
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
    """Returns a registry with the targets of some services."""
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


def make_node(services: int, instances: int) -> flows.RoutingEngine:
    """Returns a node that routes by an epoch and holds a lease."""
    node = flows.RoutingEngine("entry-000", 1)
    names = tuple(f"entry-{number:03}" for number in range(instances))
    plan = make_plan(services)
    planned = _epoch.plan_next_epoch(
        _epoch.first_epoch("l", names),
        _epoch.DesiredInstances(names),
        plan,
        frozenset(),
    )
    assert planned is not None
    node.router.install(planned, 0)
    node.coordinator.adopt(planned, 0)
    grant = _messages.LeaseGranted("entry-000", 0, 10**9, "l", planned.number)
    node.receive("entry-000", grant, 0)
    node.tick(_node_input(services, instances), 0)
    return node


def _node_input(services: int, instances: int) -> flows.EngineInput:
    live = {f"entry-{number:03}" for number in range(instances)}
    plan = make_plan(services)
    return flows.EngineInput(live, plan, dict.fromkeys(plan, 60_000), False)


def measure_route(services: int, instances: int) -> float:
    """Returns the time of one steady routing decision."""
    node = make_node(services, instances)
    packets = [
        flows.Packet(f"service-{n % services:03}", n * 7919, False, None)
        for n in range(1000)
    ]

    def route() -> None:
        for packet in packets:
            node.route(packet, 5)

    return time_us(route, 5) / len(packets)


def measure_tick(services: int) -> float:
    """Returns the time of one timer round of the routing node."""
    node = make_node(services, 9)
    node_input = _node_input(services, 9)
    clock = iter(range(1, 10**9))
    return time_us(lambda: node.tick(node_input, next(clock)), 20)


def measure_standings(services: int) -> float:
    """Returns the time to look up the targets of every service."""
    registry = make_registry(services)

    def look_up() -> None:
        for service in range(services):
            registry.availabilities(f"service-{service:03}", 1)

    return time_us(look_up, 2)


def measure_fronts(services: int) -> float:
    """Returns the time of one timer round of all admissions."""
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

    return time_us(update, 5)


def measure_plan_ms(services: int) -> float:
    """Returns the time to plan an epoch after one target left."""
    names = ("entry-000",)
    plan = make_plan(services)
    wanted = _epoch.DesiredInstances(names)
    epoch = _epoch.plan_next_epoch(
        _epoch.first_epoch("l", names), wanted, plan, frozenset()
    )
    assert epoch is not None
    changed = {**plan, "service-000": plan["service-000"][1:]}
    call = lambda: _epoch.plan_next_epoch(epoch, wanted, changed, frozenset())  # noqa: E731
    return time_us(call, 2) / 1000


def measure_epoch_bytes(services: int) -> float:
    """Returns the size of the news of an epoch in which one target left."""
    names = tuple(f"entry-{number:03}" for number in range(55))
    plan = make_plan(services)
    wanted = _epoch.DesiredInstances(names)
    first = _epoch.plan_next_epoch(
        _epoch.first_epoch("l", names), wanted, plan, frozenset()
    )
    assert first is not None
    changed = {**plan, "service-000": plan["service-000"][1:]}
    second = _epoch.plan_next_epoch(first, wanted, changed, frozenset())
    assert second is not None
    wire = _wire.to_wire(second, first)
    message = _messages.EpochDecided("entry-000", wire, True)
    return float(len(_frames.encode_frame(message)))


def measure_registry_bytes(services: int) -> float:
    """Returns the memory of a registry."""
    return float(memory_bytes(lambda: make_registry(services)))


def measure_tables_bytes(services: int) -> float:
    """Returns the memory of the routing tables."""
    return float(memory_bytes(lambda: make_node(services, 55)))


def measure_renewal_bytes(targets: int) -> float:
    """Returns the size of a frame that renews leases."""
    renewals = tuple(
        make_renewal(t, 100_000)
        for t in (make_target(n // 8, n % 8) for n in range(targets))
    )
    return float(len(_frames.encode_frame(_frames.LeasesRenewed(renewals))))


def measure_renewal_us(targets: int) -> float:
    """Returns the time to decode and take a frame that renews leases."""
    registry = make_registry(targets // 8)
    sequence = iter(range(2, 10**9))

    def take() -> None:
        number = next(sequence)
        renewals = tuple(
            make_renewal(t, number)
            for t in (make_target(n // 8, n % 8) for n in range(targets))
        )
        frame = _frames.encode_frame(_frames.LeasesRenewed(renewals))
        message = _frames.decode_frame(frame)
        assert isinstance(message, _frames.LeasesRenewed)
        registry.renew(message.renewals, 1)

    return time_us(take, 3)


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
    """Runs quiet membership for 30 seconds of fake time.

    Args:
        instances: How many instances there are.

    Returns:
        Bytes sent and processor time in microseconds, for each instance and
        second.
    """
    cores = {core.own_member.name: core for core in _swim_members(instances)}
    size_bytes = 0
    started = 0
    for now_ms in range(0, 40_000, 100):
        if now_ms == 10_000:
            size_bytes = 0
            started = time.process_time_ns()
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
    spent_us = (time.process_time_ns() - started) / 1000
    each = instances * 30
    return size_bytes / each, spent_us / each


def measure_heartbeats_us(instances: int) -> float:
    """Returns the coordinator's time for one heartbeat of every instance."""
    node = make_node(1, instances)
    live = {f"entry-{number:03}" for number in range(instances)}
    node.coordinator.tick(live, make_plan(1), 1)

    def beat() -> None:
        for name in live:
            frame = _frames.encode_frame(
                _messages.Heartbeat(name, 1, True, False)
            )
            message = _frames.decode_frame(frame)
            assert isinstance(message, _messages.Heartbeat)
            for send in node.receive(name, message, 2):
                _frames.encode_frame(send.message)

    return time_us(beat, 5)


def heartbeat_bytes() -> tuple[int, int]:
    """Returns the sizes of a heartbeat and of its answer."""
    beat = _messages.Heartbeat("entry-000", 1_760_000_000_000, True, False)
    grant = _messages.LeaseGranted(
        "entry-000", 1_760_000_000_000, 4000, "l" * 24, 9
    )
    return len(_frames.encode_frame(beat)), len(_frames.encode_frame(grant))


def make_versioned(number: int) -> _view.VersionedEntry:
    """Returns a catalogue entry as it travels."""
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

    def build() -> object:
        view = _view.CatalogueView()
        for number in range(entries):
            view.merge(make_versioned(number))
        return view

    return float(memory_bytes(build))


def measure_merge_us(entries: int) -> float:
    """Returns the time to take one changed entry into a view."""
    view = _view.CatalogueView()
    for number in range(entries):
        view.merge(make_versioned(number))
    first = make_versioned(0)
    versions = iter(range(2, 10**9))
    return time_us(
        lambda: view.merge(first._replace(version=next(versions))), 20
    )


def push_bytes() -> int:
    """Returns the size of the push of one changed entry."""
    message = _frames.Learned((make_versioned(0),))
    return len(_frames.encode_frame(message))


def slot_bytes() -> int:
    """Returns the size of one durable record."""
    entry = make_versioned(0)
    state = _register.RegisterState(
        1, entry.value, (_register.AppliedChange("c" * 40, 1),)
    )
    ballot = _register.Ballot(1, "control-1/0123456789ab")
    write = _register.AcceptorStateWrite(
        entry.key, _register.AcceptorState(ballot, ballot, state)
    )
    return len(_store.encode_record(write))


def announcement_us() -> float:
    """Returns the time to check and take one announcement."""
    registry = make_registry(1)
    sequence = iter(range(2, 10**9))

    def take() -> None:
        registry.announce(make_target(0, 0, next(sequence)), 1)

    return time_us(take, 500)


def exception_bytes() -> float:
    """Returns the memory of one exception of a flow."""

    def build() -> object:
        return {n * 7919: "host-000-001" for n in range(100_000)}

    return memory_bytes(build) / 100_000


def directions_bytes() -> float:
    """Returns what one exception costs in the directions to an instance."""

    def size(count: int) -> int:
        exceptions = tuple(
            (n * 2**50 + 12345, "host-000-001") for n in range(count)
        )
        message = _messages.Directions(
            "entry-000",
            flows.BucketKey("service-000", 5),
            3,
            exceptions,
            60_000,
        )
        return len(_codec.encode(_codec.to_plain(message)))

    return (size(200) - size(100)) / 100


SERVICES = (10, 35, 70)
"""Sizes of a data centre in services; 70 is the size of two years."""
INSTANCES = (9, 27, 55)
"""Sizes of a data centre in instances; 55 is the size of two years."""


def measure_all() -> dict[str, Slope]:
    """Measures every slope.

    Returns:
        The slopes by short name.
    """
    found = {
        "route": fit(
            "steady routing decision, us",
            "instances",
            INSTANCES,
            lambda n: measure_route(70, n),
        ),
        "route_services": fit(
            "steady routing decision, us",
            "services",
            SERVICES,
            lambda n: measure_route(n, 55),
        ),
        "tick": fit("node timer round, us", "services", SERVICES, measure_tick),
        "standings": fit(
            "target look-up of all services, us",
            "services",
            SERVICES,
            measure_standings,
        ),
        "fronts": fit(
            "admission timer round, us", "services", SERVICES, measure_fronts
        ),
        "plan": fit(
            "planning an epoch, ms", "services", SERVICES, measure_plan_ms
        ),
        "epoch": fit(
            "news of an epoch, bytes", "services", SERVICES, measure_epoch_bytes
        ),
        "registry": fit(
            "registry memory, bytes",
            "services",
            SERVICES,
            measure_registry_bytes,
        ),
        "tables": fit(
            "routing tables' memory, bytes",
            "services",
            SERVICES,
            measure_tables_bytes,
        ),
        "renewal_bytes": fit(
            "frame of lease renewals, bytes",
            "targets",
            (80, 280, 520),
            measure_renewal_bytes,
        ),
        "renewal_us": fit(
            "taking lease renewals, us",
            "targets",
            (80, 280, 520),
            measure_renewal_us,
        ),
        "swim_bytes": fit(
            "quiet membership, bytes/s",
            "instances",
            INSTANCES,
            lambda n: run_swim(n)[0],
        ),
        "swim_us": fit(
            "quiet membership, us/s",
            "instances",
            INSTANCES,
            lambda n: run_swim(n)[1],
        ),
        "heartbeats": fit(
            "coordinator, one heartbeat of all, us",
            "instances",
            INSTANCES,
            measure_heartbeats_us,
        ),
        "view": fit(
            "catalogue memory, bytes",
            "entries",
            (100, 350, 630),
            measure_view_bytes,
        ),
        "merge": fit(
            "taking a changed entry, us",
            "entries",
            (100, 350, 630),
            measure_merge_us,
        ),
    }
    return found


def announce_http_us() -> float:
    """Returns the time of one announcement over the HTTP interface."""
    view = _view.CatalogueView()
    first = make_versioned(0)
    entry = catalogue.decode_entry(first.key, first.value or b"")
    assert isinstance(entry, catalogue.ServiceEntry)
    hashed = entry._replace(target_key_hashes=(_tokens.hash_token("key"),))
    view.merge(first._replace(value=catalogue.encode_entry(hashed)))
    metrics = _metrics.create_metrics(None, "bench")
    registry = make_registry(1)
    handler = _announce.AnnounceHandler(registry, view, "dc-1", metrics)
    api = _announce.create_announce_api(
        handler, metrics, lambda: True, dict, lambda: 1
    )
    body = make_target(0, 0)._asdict()
    del body["data_centre"]
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

    async def many() -> None:
        for _ in range(200):
            await post()

    return time_us(lambda: anyio.run(many), 1) / 200


def measure_links_bytes(links: int) -> float:
    """Returns the memory of open links, both ends of each."""

    async def run() -> int:
        metrics = _metrics.create_metrics(None, "bench")
        hello = _frames.Hello("entry", "entry-000", "1", "dc-1")
        opened: list[_links.Link] = []

        async def hold(link: _links.Link) -> None:
            opened.append(link)
            async for _ in link.messages():
                pass

        gc.collect()
        tracemalloc.start()
        place = _types.Address("127.0.0.1", 0)
        async with (
            _links.serve_links(place, None, hello, metrics, hold) as address,
            anyio.create_task_group() as tasks,
        ):
            for _ in range(links):
                tasks.start_soon(
                    _links.maintain_link, address, None, hello, metrics, hold
                )
            while len(opened) < 2 * links:
                await anyio.sleep(0.01)
            gc.collect()
            size_bytes, _ = tracemalloc.get_traced_memory()
            tasks.cancel_scope.cancel()
        tracemalloc.stop()
        return size_bytes

    return float(anyio.run(run))
