"""The capacity page: measured slopes extrapolated to the size in two years."""

import math
from typing import NamedTuple

from bluebelltide.bench import _slopes
from bluebelltide.entry import _mesh
from bluebelltide.flows import _leases

INSTANCES = 500
"""The number of entry instances of the deployment."""
TARGETS = 4700
"""The number of targets."""
SERVICES = 630
"""The number of service addresses; each belongs to one service."""
DATA_CENTRES = 9
"""The number of data centres."""
FLOWS = 18_000_000
"""The number of open flows."""
NEW_FLOWS_PER_S = 36_000
"""The number of new flows in a second."""
CHANGES_PER_DAY = 470
"""The number of catalogue changes in a day."""
RESTARTS_PER_DAY = 1500
"""The number of instances that are restarted or replaced in a day."""
FAILURES_PER_DAY = 23
"""The number of instances that fail in a day."""
CORE_BUDGET_PERCENT = 3.3
"""The processor time for control on each instance, as part of a core."""
MEMORY_BUDGET_BYTES = 64e6
"""The memory for control on each instance."""
TRAFFIC_BUDGET_BYTES = 19_000
"""The control traffic that each instance sends in a second."""
ANNOUNCE_S = 5
"""Time between two announcements of a target at that size."""
TICKS_PER_S = 20
"""Ticks of the routing engine and of the fronts in a second."""
FULL_CHECKS_PER_S = 2
"""Checks of all target leases and ramps in a second."""
SECONDS_PER_DAY = 86_400
FRAME_OVERHEAD_BYTES = 70
"""The IP, TCP, TLS and websocket headers of one small frame."""


class BudgetLine(NamedTuple):
    """One line of a budget table."""

    purpose: str
    """What the budget is used for."""
    mechanism: str
    """The mechanism that uses it."""
    amount: float
    """The amount that it uses."""


class Page(NamedTuple):
    """The tables of the page."""

    slopes: list[_slopes.Slope]
    """The measured slopes."""
    instance_cpu: list[BudgetLine]
    """The processor time of an entry instance, in percent of a core."""
    coordinator_cpu: list[BudgetLine]
    """The processor time that the coordinator of a data centre adds."""
    instance_memory: list[BudgetLine]
    """The control memory of an entry instance, in bytes."""
    instance_traffic: list[BudgetLine]
    """The control bytes that an entry instance sends in a second."""
    coordinator_traffic: list[BudgetLine]
    """The control bytes that the coordinator adds in a second."""
    control_cpu: list[BudgetLine]
    """The processor time of a control replica, in percent of a core."""
    sizes: dict[str, float]
    """The sizes of one data centre."""


def measure(process_mb: float) -> Page:
    """Measures the slopes and extrapolates them to the size in two years.

    Args:
        process_mb: Resident size of an idle entry instance.

    Returns:
        The tables of the page.
    """
    slopes = _slopes.measure_all()
    slopes["links"] = _slopes.fit_slope(
        "open links, both ends, bytes",
        "links",
        (8, 16, 32),
        _slopes.measure_links_bytes,
    )
    sizes = _data_centre_sizes()
    return Page(
        list(slopes.values()),
        _instance_cpu(slopes, sizes),
        _coordinator_cpu(slopes, sizes),
        _instance_memory(slopes, sizes, process_mb),
        _instance_traffic(slopes, sizes),
        _coordinator_traffic(slopes, sizes),
        _control_cpu(slopes, sizes),
        sizes,
    )


def _data_centre_sizes() -> dict[str, float]:
    instances = math.ceil(INSTANCES / DATA_CENTRES)
    targets = math.ceil(TARGETS / DATA_CENTRES)
    return {
        "instances": instances,
        "services": math.ceil(SERVICES / DATA_CENTRES),
        "targets": targets,
        "flows": FLOWS / DATA_CENTRES,
        "flows_per_instance": FLOWS / INSTANCES,
        "new_flows_per_instance_per_s": NEW_FLOWS_PER_S / INSTANCES,
        "renewals_per_s": targets / ANNOUNCE_S,
        # A restart of an instance is a leave and a join, each with an epoch.
        # Each target is assumed to restart once a day, which is a drain and a
        # join in one table.
        "epochs_per_s": (
            2 * (RESTARTS_PER_DAY + FAILURES_PER_DAY) / DATA_CENTRES
            + 2 * targets
        )
        / SECONDS_PER_DAY,
    }


def _percent_of_core(us_per_s: float) -> float:
    return us_per_s / 1e6 * 100


def _instance_cpu(
    slopes: dict[str, _slopes.Slope], sizes: dict[str, float]
) -> list[BudgetLine]:
    services = sizes["services"]
    renewal_us = slopes["renewal_us"].slope
    own_targets = sizes["targets"] / sizes["instances"]
    heartbeats_per_s = 1000 / _leases.heartbeat_ms(int(sizes["instances"]))
    return [
        BudgetLine(
            "membership",
            "SWIM: one ping a round, updates ride on it",
            _percent_of_core(slopes["swim_us"].value_at(sizes["instances"])),
        ),
        BudgetLine(
            "routing timers",
            "node timer; work only on change",
            _percent_of_core(TICKS_PER_S * slopes["tick"].value_at(services)),
        ),
        BudgetLine(
            "leases and ramps of targets",
            "look-up by service, full look twice a second",
            _percent_of_core(
                2 * FULL_CHECKS_PER_S * slopes["standings"].value_at(services)
            ),
        ),
        BudgetLine(
            "admission updates",
            "by change, all twice a second",
            _percent_of_core(
                FULL_CHECKS_PER_S * slopes["fronts"].value_at(services)
            ),
        ),
        BudgetLine(
            "lease renewals of all targets",
            "batched gossip over the data centre",
            _percent_of_core(sizes["renewals_per_s"] * renewal_us),
        ),
        BudgetLine(
            "announcements of own targets",
            "HTTP, one instance each",
            _percent_of_core(
                own_targets / ANNOUNCE_S * _slopes.announce_http_us()
            ),
        ),
        BudgetLine(
            "routing lease",
            "heartbeat to the coordinator",
            _percent_of_core(
                heartbeats_per_s
                * slopes["heartbeats"].value_at(sizes["instances"])
                / sizes["instances"]
            ),
        ),
        BudgetLine(
            "catalogue changes",
            "push from control, merge by version",
            _percent_of_core(
                CHANGES_PER_DAY
                / SECONDS_PER_DAY
                * slopes["merge"].value_at(SERVICES)
            ),
        ),
    ]


def _coordinator_cpu(
    slopes: dict[str, _slopes.Slope], sizes: dict[str, float]
) -> list[BudgetLine]:
    heartbeats_per_s = 1000 / _leases.heartbeat_ms(int(sizes["instances"]))
    return [
        BudgetLine(
            "heartbeats of all instances",
            "routing leases",
            _percent_of_core(
                heartbeats_per_s
                * slopes["heartbeats"].value_at(sizes["instances"])
            ),
        ),
        BudgetLine(
            "planning epochs",
            "fewest moves from the table before",
            _percent_of_core(
                sizes["epochs_per_s"]
                * 2000
                * slopes["plan"].value_at(sizes["services"])
            ),
        ),
    ]


def _instance_memory(
    slopes: dict[str, _slopes.Slope],
    sizes: dict[str, float],
    process_mb: float,
) -> list[BudgetLine]:
    pinned_flows = 0.04 * sizes["flows_per_instance"]
    return [
        BudgetLine(
            "process and libraries",
            "resident size of an idle entry instance, given to the command",
            process_mb * 1e6,
        ),
        BudgetLine(
            "links to all instances",
            "one websocket each way",
            slopes["links"].value_at(sizes["instances"]),
        ),
        BudgetLine(
            "target registry",
            "all targets of the data centre",
            slopes["registry"].value_at(sizes["services"]),
        ),
        BudgetLine(
            "routing tables",
            "1024 buckets a service",
            slopes["tables"].value_at(sizes["services"]),
        ),
        BudgetLine(
            "catalogue",
            "all entries of the deployment",
            slopes["view"].value_at(SERVICES),
        ),
        BudgetLine(
            "exceptions, 4 % of flows, owner and backup",
            "owned buckets and mirrors",
            2 * pinned_flows * _slopes.pinned_flow_bytes(),
        ),
    ]


def _instance_traffic(
    slopes: dict[str, _slopes.Slope], sizes: dict[str, float]
) -> list[BudgetLine]:
    peers = sizes["instances"] - 1
    heartbeat_bytes, _ = _slopes.heartbeat_bytes()
    heartbeats_per_s = 1000 / _leases.heartbeat_ms(int(sizes["instances"]))
    own_renewals = sizes["renewals_per_s"] / sizes["instances"]
    frames_per_s = 1000 / _mesh.renewal_gossip_interval_ms(int(peers))
    frames = min(frames_per_s, own_renewals) * peers
    renewal = slopes["renewal_bytes"]
    return [
        BudgetLine(
            "membership",
            "SWIM, constant for each instance",
            slopes["swim_bytes"].value_at(sizes["instances"])
            + 4 * FRAME_OVERHEAD_BYTES,
        ),
        BudgetLine(
            "lease renewals of own targets to all peers",
            "batched gossip",
            own_renewals * peers * renewal.slope
            + frames * (renewal.fixed + FRAME_OVERHEAD_BYTES),
        ),
        BudgetLine(
            "routing lease",
            "heartbeat",
            heartbeats_per_s * (heartbeat_bytes + FRAME_OVERHEAD_BYTES),
        ),
        BudgetLine(
            "comparison with one peer",
            "digest of digests every 5 s",
            (30 + FRAME_OVERHEAD_BYTES) / 5,
        ),
    ]


def _coordinator_traffic(
    slopes: dict[str, _slopes.Slope], sizes: dict[str, float]
) -> list[BudgetLine]:
    peers = sizes["instances"] - 1
    _, grant_bytes = _slopes.heartbeat_bytes()
    heartbeats_per_s = 1000 / _leases.heartbeat_ms(int(sizes["instances"]))
    epoch_bytes = slopes["epoch"].value_at(sizes["services"])
    return [
        BudgetLine(
            "lease grants",
            "answers to heartbeats",
            heartbeats_per_s * peers * (grant_bytes + FRAME_OVERHEAD_BYTES),
        ),
        BudgetLine(
            "news of epochs, twice for agreement",
            "differences to every instance",
            sizes["epochs_per_s"] * peers * 2 * epoch_bytes,
        ),
    ]


def _control_cpu(
    slopes: dict[str, _slopes.Slope], sizes: dict[str, float]
) -> list[BudgetLine]:
    changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    frame_us = 50.0
    del sizes
    return [
        BudgetLine(
            "change: register, fsync, merge",
            "CASPaxos register per entry",
            _percent_of_core(
                changes_per_s * (2000 + slopes["merge"].value_at(SERVICES))
            ),
        ),
        BudgetLine(
            "push to every instance and its report",
            "one link from each instance to each replica",
            _percent_of_core(changes_per_s * INSTANCES * 2 * frame_us),
        ),
    ]


def _format_table(lines: list[BudgetLine], unit: str, digits: int) -> list[str]:
    rows = [f"| for | mechanism | {unit} |", "| --- | --- | ---: |"]
    for line in lines:
        rows.append(
            f"| {line.purpose} | {line.mechanism} | {line.amount:,.{digits}f} |"
        )
    total = sum(line.amount for line in lines)
    rows.append(f"| **sum** | | **{total:,.{digits}f}** |")
    return rows


def _format_budget_row(name: str, used: float, budget: float, unit: str) -> str:
    label = "margin" if used <= budget else "SHORTFALL"
    return (
        f"| {name} | {used:,.2f} {unit} | {budget:,.2f} {unit} | "
        f"{label} {abs(budget - used) / budget:.0%} |"
    )


def render(page: Page) -> str:
    """Returns the page as Markdown."""

    def total(lines: list[BudgetLine]) -> float:
        return sum(line.amount for line in lines)

    sizes = page.sizes
    coordinator_cpu = total(page.instance_cpu) + total(page.coordinator_cpu)
    coordinator_traffic = total(page.instance_traffic) + total(
        page.coordinator_traffic
    )
    instance_count = int(sizes["instances"])
    heartbeat_ms = _leases.heartbeat_ms(instance_count)
    lease_ms = _leases.lease_ms(instance_count)
    wait_ms = _leases.exclude_after_ms(instance_count)
    push_kb = _slopes.push_bytes() / 1000
    record_mb = SERVICES * _slopes.acceptor_record_bytes() / 1e6
    lines = [
        "# Capacity",
        "",
        "Written by `bluebelltide-bench capacity --write docs/CAPACITY.md`;",
        "its numbers are measured on one core of a developer's machine when it",
        "runs, and carried to the size of two years by straight lines.",
        "",
        f"Size: {INSTANCES} nodes, {TARGETS:,} hosts, {SERVICES} addresses,",
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
        _format_budget_row(
            "processor, entry instance",
            total(page.instance_cpu),
            CORE_BUDGET_PERCENT,
            "%",
        ),
        _format_budget_row(
            "processor, coordinator of a data centre",
            coordinator_cpu,
            CORE_BUDGET_PERCENT,
            "%",
        ),
        _format_budget_row(
            "memory, entry instance",
            total(page.instance_memory) / 1e6,
            MEMORY_BUDGET_BYTES / 1e6,
            "MB",
        ),
        _format_budget_row(
            "traffic sent, entry instance",
            total(page.instance_traffic) / 1000,
            TRAFFIC_BUDGET_BYTES / 1000,
            "KB/s",
        ),
        _format_budget_row(
            "traffic sent, coordinator",
            coordinator_traffic / 1000,
            TRAFFIC_BUDGET_BYTES / 1000,
            "KB/s",
        ),
        "| instances set aside | 5 control replicas | 7 | margin 2 |",
        "",
        "A change in force everywhere within 9 s: one register round (two",
        "round trips and two fsyncs), one push to 500 links, one report each.",
        f"A push is {push_kb:.2f} KB, so {INSTANCES} links take",
        f"{INSTANCES * push_kb / 1000:.2f} MB in one burst on each replica. On",
        "loopback with three instances the demo reports 0.04 s. A cut",
        "region keeps its last catalogue and gets the change on healing.",
        "",
        f"Heartbeats are {heartbeat_ms} ms and leases {lease_ms} ms at this "
        "size:",
        f"an epoch waits up to {wait_ms} ms for an instance that died then.",
        "",
        "What the lines cannot show: they are fitted up to 70 services and 55",
        "instances on fakes at the interfaces. A data centre of 55 real",
        "processes has not been run.",
        "",
        "## Entry instance: processor",
        "",
        *_format_table(page.instance_cpu, "% of a core", 3),
        "",
        "## Coordinator of a data centre: what it adds",
        "",
        *_format_table(page.coordinator_cpu, "% of a core", 3),
        "",
        "## Entry instance: control memory",
        "",
        *_format_table(page.instance_memory, "bytes", 0),
        "",
        "The data path is not control: a steady flow of the packet front needs",
        "no memory at all; an open connection of the TCP front is measured by",
        "`bluebelltide-bench load`.",
        "",
        "## Entry instance: control bytes sent in a second",
        "",
        *_format_table(page.instance_traffic, "bytes/s", 0),
        "",
        "## Coordinator: what it adds in bytes sent",
        "",
        *_format_table(page.coordinator_traffic, "bytes/s", 0),
        "",
        "## Control replica",
        "",
        *_format_table(page.control_cpu, "% of a core", 4),
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
