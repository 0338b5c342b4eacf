"""Two core machines are replaced in turn; their successors run long before.

Voters are replaced only after three seconds of silence, and a voter that is
stopped with SIGTERM does not hand over its vote. So the second removal, two
seconds after the first, leaves one voter of three, and no quorum ever again.
"""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
import harness

CATCHUP_S = 4
"""`catchupS` of the small deployments."""
GAP_S = 2.0
"""Time from the end of the first removed process to the second SIGTERM."""
WATCH_S = 45
"""How long the operator goes on afterwards: recoveryS 12, maxStretchMs 12 s,
ackTimeoutMs 5 s and contactMs 4 s are 33 s together."""


async def put(record, machines, version):
    """Sends a configuration to the machines in turn; returns who acknowledged."""
    body = harness.configuration(version, [harness.route("a", 8080, "reminder"), harness.route("b", 8443, "statement")])
    for machine in machines:
        status, _ = await harness.http(machine.bound, "PUT", "/config", body)
        record(f"operator: PUT /config version {version} to {machine.name}: {status or 'no response'}")
        if status == 200:
            return machine
    return None


async def read(record, machines):
    """Reads the configuration from the machines in turn; returns the first body."""
    for machine in machines:
        status, body = await harness.http(machine.bound, "GET", "/config")
        record(f"operator: GET /config from {machine.name}: {status or 'no response'}")
        if status == 200:
            return body
    return b""


async def run(record, trouble):
    with harness.Deployment(cores=4, entries=2) as deployment:
        cores = deployment.cores
        await deployment.start()
        record("started", *(machine.name for machine in cores + deployment.entries))
        deadline = record.now() + 20
        while not await put(record, cores, 1):
            if record.now() > deadline:
                raise RuntimeError("the first configuration was not acknowledged")
            await asyncio.sleep(0.5)
        await asyncio.sleep(3)
        successors = []
        for number in (5, 6):
            successor = harness.Machine(deployment, f"core-{number}", "control", harness.ZONES[number - 5], number)
            proxy = harness.Proxy(deployment.links, successor.ip, successor.bound)
            await proxy.start()
            successor.write_settings(deployment.seeds, False)
            successor.start()
            successors.append(successor)
            record(f"added {successor.name}: new address, empty disk")
        deployment.cores = cores = cores + successors
        await asyncio.sleep(2.5 * CATCHUP_S)
        if not await put(record, cores, 2):
            raise RuntimeError("version 2 was not acknowledged with all machines up")
        left = cores
        if trouble:
            first, second = cores[0], cores[1]
            for machine in (first, second):
                record(f"SIGTERM to {machine.name}, which is removed for good; its successor has run for {2.5 * CATCHUP_S} s")
                machine.signal(signal.SIGTERM)
                await asyncio.to_thread(machine.process.wait, 6)
                record(f"{machine.name} has ended with code {machine.process.returncode}")
                if machine is first:
                    await asyncio.sleep(GAP_S)
            left = cores[2:]
        await asyncio.sleep(2.5 * CATCHUP_S)
        until = record.now() + (WATCH_S if trouble else 10)
        acknowledged = body = None
        while record.now() < until and not (acknowledged and body):
            acknowledged = acknowledged or await put(record, left, 3)
            body = body or await read(record, left)
            await asyncio.sleep(1)
        running = [machine.name for machine in left if machine.process.poll() is None]
        record("running:", *running)
        if not body:
            return f"no machine returned the configuration that was acknowledged, for {WATCH_S} s, and version 3 was never acknowledged"
        if not acknowledged:
            return "version 3 was never acknowledged"
        return ""


harness.settle(FOLDER, run)
