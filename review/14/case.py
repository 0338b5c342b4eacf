"""An acknowledged first configuration is lost if its version is 0."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
sys.dont_write_bytecode = True

import bench3


def play(bed):
    bed.start()
    bed.wait_until(
        "all control nodes answer",
        lambda: all(
            bench3.call(one.host, "GET", "/config") for one in bed.controls
        ),
    )
    version = 0 if bed.is_troubled else 1
    body = bed.configuration(version, [(443, "reminder")])
    bed.put_configuration(body)
    bench3.HostAgent(
        bed,
        "i-00a1b2c3",
        "reminder",
        (f"127.{bed.block}.4.1", bench3.HOST_PORT),
        bed.zones[0],
    ).heartbeat_forever()
    time.sleep(bench3.BOUNDS["configApplyMs"] / 1000 + 1)
    client = bench3.Client(bed)
    served = [
        client.request(entry, 443, f"request-{entry.name}")
        for entry in bed.entries
    ]
    # The operator reads it back, repeatedly, at any node.
    read = 0
    until_s = time.monotonic() + bench3.BOUNDS["contactMs"] / 1000
    while time.monotonic() < until_s:
        for control in bed.controls:
            answer = bench3.call(control.host, "GET", "/config")
            status = answer and answer[0]
            bed.record.write(f"GET /config at {control.name}: {status}")
            read += status == 200 and answer[1] == body
        time.sleep(0.5)
    if not read:
        return (
            "CONFIG broken: the acknowledged configuration is never read back; "
            f"requests on its route: {', '.join(served)}"
        )
    return None


bench3.run(HERE, play)
