"""The program `bluebelltide-standin`."""

from collections import Counter
import sys
from typing import Annotated

import anyio
import cyclopts
import rich
from rich import table as rich_table

import bluebelltide
from bluebelltide import _program
from bluebelltide import _types
from bluebelltide.standins import _caller
from bluebelltide.standins import _packets
from bluebelltide.standins import _target

app = cyclopts.App(
    name="bluebelltide-standin",
    help="Run stand-in targets, callers or a packet fabric on loopback. Exit "
    "codes: 0 done, 1 an answer was wrong, 2 invalid arguments.",
    version=bluebelltide.__version__,
)


@app.command
def target(
    service: str,
    target_id: str,
    address: str,
    *,
    announce: tuple[str, ...] = (),
    key: str = "",
    slots: int = 3,
    sheds: bool = False,
    lying_load_percent: int | None = None,
    starts_cold: bool = False,
) -> int:
    """Run a target until stopped; a stop signal drains it first.

    Args:
        service: The service of the target.
        target_id: The target's id.
        address: The address at which it accepts connections.
        announce: Base URLs of the entry instances that it announces to.
        key: The service key.
        slots: How many requests it announces that it can run at once.
        sheds: Close connections beyond the slots immediately.
        lying_load_percent: Report this load instead of the real load.
        starts_cold: Report the state cold for the first 10 seconds.
    """
    options = _target.TargetOptions(
        service,
        target_id,
        _types.parse_address(address),
        announce,
        key,
        slots,
        sheds,
        lying_load_percent,
        starts_cold,
    )

    async def run() -> None:
        standin = _target.StandInTarget(options)
        async with anyio.create_task_group() as tasks:
            await tasks.start(standin.serve)
            await _program.wait_for_stop_signal()
            standin.is_draining = True
            with anyio.move_on_after(10):
                await anyio.sleep(2)
                while standin.open_connections:
                    await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()

    return _program.run_and_report(lambda: anyio.run(run))


@app.command
def call(
    address: Annotated[
        tuple[str, ...], cyclopts.Parameter(help="Service addresses.")
    ],
    *,
    service: str = "",
    count: int = 10,
    size_bytes: int = 1000,
    delay_ms: int = 0,
    prefix: str = "call",
) -> int:
    """Send all requests concurrently and check each answer.

    Args:
        address: The addresses to connect to; requests use them in rotation.
        service: The service that must answer.
        count: How many requests to send.
        size_bytes: The size of each answer.
        delay_ms: The time over which the target spreads each answer.
        prefix: The start of each request's id.
    """
    answers: list[_caller.Answer] = []

    async def send_request(index: int) -> None:
        service_address = _types.parse_address(address[index % len(address)])
        answer = await _caller.call(
            service_address, f"{prefix}-{index}", size_bytes, delay_ms
        )
        answers.append(answer)

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            for index in range(count):
                tasks.start_soon(send_request, index)

    anyio.run(run)
    whole = sum(answer.is_whole for answer in answers)
    right_service = sum(answer.service == service for answer in answers)
    doubled = sum(answer.runs > 1 for answer in answers)
    table = rich_table.Table(title=f"{prefix}: {service}")
    names = ("requests", "whole", "right service", "doubled", "targets")
    for name in names:
        table.add_column(name)
    targets = sorted(
        {result.target_id for result in answers if result.target_id}
    )
    values = (count, whole, right_service, doubled, " ".join(targets))
    table.add_row(*(str(value) for value in values))
    rich.print(table)
    has_passed = whole == count and right_service == count and doubled == 0
    return _program.EXIT_OK if has_passed else _program.EXIT_FAILED


@app.command
def packets(
    fabric: str,
    instance: Annotated[
        tuple[str, ...],
        cyclopts.Parameter(help="PACKET_ADDRESS=PROBE_URL; may be repeated."),
    ],
    *,
    service: tuple[str, ...],
    targets: int = 4,
    flows: int = 200,
    packets_per_flow: int = 12,
    interval_ms: int = 800,
    drain_after_ms: int = 0,
    seed: int = 1,
) -> int:
    """Run a packet-spraying fabric with callers and targets behind it.

    Args:
        fabric: The address to which instances return packets.
        instance: PACKET_ADDRESS=PROBE_URL of each instance.
        service: NAME=ADDRESS=KEY of each service.
        targets: How many targets each service has.
        flows: How many flows are opened.
        packets_per_flow: How many packets each flow sends.
        interval_ms: Mean time between two packets of a flow.
        drain_after_ms: When the first target drains; 0 for never.
        seed: Seed of the random choices of instances and times.
    """
    service_parts = [text.split("=") for text in service]
    options = _packets.FabricOptions(
        _types.parse_address(fabric),
        tuple(
            _packets.InstanceAddresses(
                _types.parse_address(text.split("=")[0]), text.split("=")[1]
            )
            for text in instance
        ),
        tuple(
            _packets.VirtualTarget(
                name,
                f"{name}-{number}",
                _types.Address(f"10.8.{index}.{number + 1}", 7000),
            )
            for index, (name, _, _) in enumerate(service_parts)
            for number in range(targets)
        ),
        {
            name: _types.parse_address(service_address)
            for name, service_address, _ in service_parts
        },
        {name: key for name, _, key in service_parts},
        flows,
        packets_per_flow,
        interval_ms,
        seed,
    )

    async def run() -> Counter[str]:
        packet_fabric = _packets.PacketFabric(options)

        async def drain() -> None:
            await anyio.sleep(drain_after_ms / 1000)
            packet_fabric.draining.add(options.targets[0].target_id)

        async with anyio.create_task_group() as tasks:
            if drain_after_ms:
                tasks.start_soon(drain)
            counts = await packet_fabric.run()
            tasks.cancel_scope.cancel()
        return counts

    counts = anyio.run(run)
    names = (
        "whole",
        "broken",
        "unfinished",
        "wrong_service",
        "wrong_source",
        "reset",
        "packets",
    )
    table = rich_table.Table(title="packets through a spraying fabric")
    for name in names:
        table.add_column(name)
    table.add_row(*(str(counts[name]) for name in names))
    rich.print(table)
    has_passed = counts["whole"] == flows and not any(
        counts[name] for name in names[1:6]
    )
    return _program.EXIT_OK if has_passed else _program.EXIT_FAILED


def main() -> None:
    """Runs the program."""
    sys.exit(app())


if __name__ == "__main__":
    main()
