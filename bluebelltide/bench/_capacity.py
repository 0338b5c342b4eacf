"""The capacity page: measured slopes carried to the size of two years."""

import math
from typing import NamedTuple

from bluebelltide.bench import _slopes
from bluebelltide.entry import _mesh
from bluebelltide.flows import _leases

NODES = 500
"""Entry instances of the deployment."""
HOSTS = 4700
"""Target hosts."""
SERVICES = 630
"""Service addresses; one service each."""
DATA_CENTRES = 9
"""Data centres."""
FLOWS = 18_000_000
"""Open flows."""
NEW_FLOWS_PER_S = 36_000
"""New flows each second."""
CHANGES_PER_DAY = 470
"""Catalogue changes each day."""
RESTARTS_PER_DAY = 1500
"""Instances that are restarted or replaced each day."""
FAILURES_PER_DAY = 23
"""Instances that fail each day."""
CORE_BUDGET_PERCENT = 3.3
"""Processor time for control on each node, of one core."""
MEMORY_BUDGET_BYTES = 64e6
"""Memory for control on each node."""
TRAFFIC_BUDGET_BYTES = 19_000
"""Control traffic of each node in a second."""
ANNOUNCE_S = 5
"""Seconds between two announcements of a target at that size."""
TICKS_PER_S = 20
"""Timer rounds of the node and of the fronts in a second."""
FULL_PER_S = 2
"""Full looks at all leases and ramps in a second."""
SECONDS_PER_DAY = 86_400
FRAME_OVERHEAD_BYTES = 70
"""IP, TCP, TLS and websocket headers of one small frame."""


class Line(NamedTuple):
    """One line of a budget table."""

    what: str
    """What it is for."""
    mechanism: str
    """What carries it."""
    amount: float
    """How much of the budget it takes."""


class Page(NamedTuple):
    """The page's tables."""

    slopes: list[_slopes.Slope]
    """The measured slopes."""
    cpu: list[Line]
    """Processor time of an entry instance in percent of a core."""
    coordinator_cpu: list[Line]
    """What the coordinator of a data centre adds."""
    memory: list[Line]
    """Control memory of an entry instance in bytes."""
    traffic: list[Line]
    """Control bytes that an entry instance sends in a second."""
    coordinator_traffic: list[Line]
    """What the coordinator adds."""
    control: list[Line]
    """Costs of a control replica: percent of a core."""
    sizes: dict[str, float]
    """Sizes of one data centre."""


def measure(process_mb: float) -> Page:
    """Measures the slopes and carries them to the size of two years.

    Args:
        process_mb: Resident size of an idle entry instance.

    Returns:
        The page's tables.
    """
    slopes = _slopes.measure_all()
    slopes["links"] = _slopes.fit(
        "open links, both ends, bytes",
        "links",
        (8, 16, 32),
        _slopes.measure_links_bytes,
    )
    sizes = _sizes()
    return Page(
        list(slopes.values()),
        _cpu(slopes, sizes),
        _coordinator_cpu(slopes, sizes),
        _memory(slopes, sizes, process_mb),
        _traffic(slopes, sizes),
        _coordinator_traffic(slopes, sizes),
        _control(slopes, sizes),
        sizes,
    )


def _sizes() -> dict[str, float]:
    instances = math.ceil(NODES / DATA_CENTRES)
    targets = math.ceil(HOSTS / DATA_CENTRES)
    return {
        "instances": instances,
        "services": math.ceil(SERVICES / DATA_CENTRES),
        "targets": targets,
        "flows": FLOWS / DATA_CENTRES,
        "flows_per_instance": FLOWS / NODES,
        "new_flows_per_instance_per_s": NEW_FLOWS_PER_S / NODES,
        "renewals_per_s": targets / ANNOUNCE_S,
        # Each restart is a leave and a join; each host is taken to restart
        # once a day, which is a drain and a join of one table.
        "epochs_per_s": (
            2 * (RESTARTS_PER_DAY + FAILURES_PER_DAY) / DATA_CENTRES
            + 2 * targets
        )
        / SECONDS_PER_DAY,
    }


def _percent(us_per_s: float) -> float:
    return us_per_s / 1e6 * 100


def _cpu(
    slopes: dict[str, _slopes.Slope], sizes: dict[str, float]
) -> list[Line]:
    services = sizes["services"]
    renewal_us = slopes["renewal_us"].slope
    own_targets = sizes["targets"] / sizes["instances"]
    beats_per_s = 1000 / _leases.heartbeat_ms(int(sizes["instances"]))
    return [
        Line(
            "membership",
            "SWIM: one ping a round, updates ride on it",
            _percent(slopes["swim_us"].at(sizes["instances"])),
        ),
        Line(
            "routing timers",
            "node timer; work only on change",
            _percent(TICKS_PER_S * slopes["tick"].at(services)),
        ),
        Line(
            "leases and ramps of targets",
            "look-up by service, full look twice a second",
            _percent(2 * FULL_PER_S * slopes["standings"].at(services)),
        ),
        Line(
            "admission updates",
            "by change, all twice a second",
            _percent(FULL_PER_S * slopes["fronts"].at(services)),
        ),
        Line(
            "lease renewals of all targets",
            "batched gossip over the data centre",
            _percent(sizes["renewals_per_s"] * renewal_us),
        ),
        Line(
            "announcements of own targets",
            "HTTP, one instance each",
            _percent(own_targets / ANNOUNCE_S * _slopes.announce_http_us()),
        ),
        Line(
            "routing lease",
            "heartbeat to the coordinator",
            _percent(
                beats_per_s
                * slopes["heartbeats"].at(sizes["instances"])
                / sizes["instances"]
            ),
        ),
        Line(
            "catalogue changes",
            "push from control, merge by version",
            _percent(
                CHANGES_PER_DAY / SECONDS_PER_DAY * slopes["merge"].at(SERVICES)
            ),
        ),
    ]


def _coordinator_cpu(
    slopes: dict[str, _slopes.Slope], sizes: dict[str, float]
) -> list[Line]:
    beats_per_s = 1000 / _leases.heartbeat_ms(int(sizes["instances"]))
    return [
        Line(
            "heartbeats of all instances",
            "routing leases",
            _percent(beats_per_s * slopes["heartbeats"].at(sizes["instances"])),
        ),
        Line(
            "planning epochs",
            "fewest moves from the table before",
            _percent(
                sizes["epochs_per_s"]
                * 2000
                * slopes["plan"].at(sizes["services"])
            ),
        ),
    ]


def _memory(
    slopes: dict[str, _slopes.Slope],
    sizes: dict[str, float],
    process_mb: float,
) -> list[Line]:
    exceptions = 0.04 * sizes["flows_per_instance"]
    return [
        Line(
            "process and libraries",
            "resident size of an idle entry instance, given to the command",
            process_mb * 1e6,
        ),
        Line(
            "links to all instances",
            "one websocket each way",
            slopes["links"].at(sizes["instances"]),
        ),
        Line(
            "target registry",
            "all targets of the data centre",
            slopes["registry"].at(sizes["services"]),
        ),
        Line(
            "routing tables",
            "1024 buckets a service",
            slopes["tables"].at(sizes["services"]),
        ),
        Line(
            "catalogue",
            "all entries of the deployment",
            slopes["view"].at(SERVICES),
        ),
        Line(
            "exceptions, 4 % of flows, owner and backup",
            "owned buckets and mirrors",
            2 * exceptions * _slopes.exception_bytes(),
        ),
    ]


def _traffic(
    slopes: dict[str, _slopes.Slope], sizes: dict[str, float]
) -> list[Line]:
    peers = sizes["instances"] - 1
    beat_bytes, _ = _slopes.heartbeat_bytes()
    beats_per_s = 1000 / _leases.heartbeat_ms(int(sizes["instances"]))
    own_renewals = sizes["renewals_per_s"] / sizes["instances"]
    frames_per_s = 1000 / _mesh.renewal_gossip_interval_ms(int(peers))
    frames = min(frames_per_s, own_renewals) * peers
    renewal = slopes["renewal_bytes"]
    return [
        Line(
            "membership",
            "SWIM, constant for each instance",
            slopes["swim_bytes"].at(sizes["instances"])
            + 4 * FRAME_OVERHEAD_BYTES,
        ),
        Line(
            "lease renewals of own targets to all peers",
            "batched gossip",
            own_renewals * peers * renewal.slope
            + frames * (renewal.fixed + FRAME_OVERHEAD_BYTES),
        ),
        Line(
            "routing lease",
            "heartbeat",
            beats_per_s * (beat_bytes + FRAME_OVERHEAD_BYTES),
        ),
        Line(
            "comparison with one peer",
            "digest of digests every 5 s",
            (30 + FRAME_OVERHEAD_BYTES) / 5,
        ),
    ]


def _coordinator_traffic(
    slopes: dict[str, _slopes.Slope], sizes: dict[str, float]
) -> list[Line]:
    peers = sizes["instances"] - 1
    _, grant_bytes = _slopes.heartbeat_bytes()
    beats_per_s = 1000 / _leases.heartbeat_ms(int(sizes["instances"]))
    epoch_bytes = slopes["epoch"].at(sizes["services"])
    return [
        Line(
            "lease grants",
            "answers to heartbeats",
            beats_per_s * peers * (grant_bytes + FRAME_OVERHEAD_BYTES),
        ),
        Line(
            "news of epochs, twice for agreement",
            "differences to every instance",
            sizes["epochs_per_s"] * peers * 2 * epoch_bytes,
        ),
    ]


def _control(
    slopes: dict[str, _slopes.Slope], sizes: dict[str, float]
) -> list[Line]:
    changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    frame_us = 50.0
    del sizes
    return [
        Line(
            "change: register, fsync, merge",
            "CASPaxos register per entry",
            _percent(changes_per_s * (2000 + slopes["merge"].at(SERVICES))),
        ),
        Line(
            "push to every instance and its report",
            "one link from each instance to each replica",
            _percent(changes_per_s * NODES * 2 * frame_us),
        ),
    ]


def _table(lines: list[Line], unit: str, digits: int) -> list[str]:
    rows = [f"| for | mechanism | {unit} |", "| --- | --- | ---: |"]
    for line in lines:
        rows.append(
            f"| {line.what} | {line.mechanism} | {line.amount:,.{digits}f} |"
        )
    total = sum(line.amount for line in lines)
    rows.append(f"| **sum** | | **{total:,.{digits}f}** |")
    return rows


def _verdict(name: str, used: float, budget: float, unit: str) -> str:
    word = "margin" if used <= budget else "SHORTFALL"
    return (
        f"| {name} | {used:,.2f} {unit} | {budget:,.2f} {unit} | "
        f"{word} {abs(budget - used) / budget:.0%} |"
    )


def render(page: Page) -> str:
    """Returns the page as Markdown."""

    def total(lines: list[Line]) -> float:
        return sum(line.amount for line in lines)

    sizes = page.sizes
    coordinator_cpu = total(page.cpu) + total(page.coordinator_cpu)
    coordinator_traffic = total(page.traffic) + total(page.coordinator_traffic)
    count = int(sizes["instances"])
    beat_ms = _leases.heartbeat_ms(count)
    lease_ms = _leases.lease_ms(count)
    wait_ms = _leases.exclude_after_ms(count)
    push_kb = _slopes.push_bytes() / 1000
    record_mb = SERVICES * _slopes.slot_bytes() / 1e6
    lines = [
        "# Capacity",
        "",
        "Written by `bluebelltide-bench capacity --write docs/CAPACITY.md`;",
        "its numbers are measured on one core of a developer's machine when it",
        "runs, and carried to the size of two years by straight lines.",
        "",
        f"Size: {NODES} nodes, {HOSTS:,} hosts, {SERVICES} addresses,",
        f"{FLOWS:,} open flows, {NEW_FLOWS_PER_S:,} new a second, 3 regions,",
        f"{DATA_CENTRES} data centres, {CHANGES_PER_DAY} changes a day.",
        f"One data centre: {sizes['instances']:.0f} instances,",
        f"{sizes['services']:.0f} services, {sizes['targets']:.0f} hosts; one",
        f"instance: {sizes['flows_per_instance']:,.0f} open flows,",
        f"{sizes['new_flows_per_instance_per_s']:.0f} new a second. A target",
        f"announces every {ANNOUNCE_S} s.",
        "",
        "## Budgets",
        "",
        "| budget | used | allowed | |",
        "| --- | ---: | ---: | --- |",
        _verdict(
            "processor, entry instance",
            total(page.cpu),
            CORE_BUDGET_PERCENT,
            "%",
        ),
        _verdict(
            "processor, coordinator of a data centre",
            coordinator_cpu,
            CORE_BUDGET_PERCENT,
            "%",
        ),
        _verdict(
            "memory, entry instance",
            total(page.memory) / 1e6,
            MEMORY_BUDGET_BYTES / 1e6,
            "MB",
        ),
        _verdict(
            "traffic sent, entry instance",
            total(page.traffic) / 1000,
            TRAFFIC_BUDGET_BYTES / 1000,
            "KB/s",
        ),
        _verdict(
            "traffic sent, coordinator",
            coordinator_traffic / 1000,
            TRAFFIC_BUDGET_BYTES / 1000,
            "KB/s",
        ),
        "| instances set aside | 5 control replicas | 7 | margin 2 |",
        "",
        "A change in force everywhere within 9 s: one register round (two",
        "round trips and two fsyncs), one push to 500 links, one report each.",
        f"A push is {push_kb:.2f} KB, so {NODES} links take",
        f"{NODES * push_kb / 1000:.2f} MB in one burst on each replica. On",
        "loopback with three instances the demo reports 0.04 s. A cut",
        "region keeps its last catalogue and gets the change on healing.",
        "",
        f"Heartbeats are {beat_ms} ms and leases {lease_ms} ms at this size:",
        f"an epoch waits up to {wait_ms} ms for an instance that died then.",
        "",
        "What the lines cannot show: they are fitted up to 70 services and 55",
        "instances on fakes at the interfaces. A data centre of 55 real",
        "processes has not been run.",
        "",
        "## Entry instance: processor",
        "",
        *_table(page.cpu, "% of a core", 3),
        "",
        "## Coordinator of a data centre: what it adds",
        "",
        *_table(page.coordinator_cpu, "% of a core", 3),
        "",
        "## Entry instance: control memory",
        "",
        *_table(page.memory, "bytes", 0),
        "",
        "The data path is not control: a steady flow of the packet front needs",
        "no memory at all; an open connection of the TCP front is measured by",
        "`bluebelltide-bench load`.",
        "",
        "## Entry instance: control bytes sent in a second",
        "",
        *_table(page.traffic, "bytes/s", 0),
        "",
        "## Coordinator: what it adds in bytes sent",
        "",
        *_table(page.coordinator_traffic, "bytes/s", 0),
        "",
        "## Control replica",
        "",
        *_table(page.control, "% of a core", 4),
        "",
        f"State: {SERVICES} durable records, {record_mb:.2f} MB, and planned",
        "actions. Messages: two rounds to 3 or 5 replicas for each change.",
        "",
        "## Target and operator",
        "",
        "A target sends one HTTP announcement of about 300 bytes every",
        f"{ANNOUNCE_S} s to one instance. An operator's change is one request.",
        "",
        "## Slopes",
        "",
        "| measured | grows with | sizes | values | one more |",
        "| --- | --- | --- | --- | ---: |",
    ]
    for slope in page.slopes:
        sizes_text = ", ".join(str(size) for size in slope.sizes)
        values = ", ".join(f"{value:,.1f}" for value in slope.values)
        lines.append(
            f"| {slope.name} | {slope.variable} | {sizes_text} | {values} | "
            f"{slope.slope:,.3f} |"
        )
    return "\n".join(lines) + "\n"
