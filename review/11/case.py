"""Programs don't start once the settings have an unexplained, empty field."""

import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
sys.dont_write_bytecode = True

import bench3

NEW_FIELD = 'streamAddr = ""'
"""A field that the pages don't explain, empty, beside the known addresses."""
RESTART_DELAY_S = 1.2
"""How long the platform waits before it restarts a process that has ended."""
WATCH_S = 20.0
"""How long the platform watches the machines after they were restarted."""


def play(bed):
    bed.start()
    bed.wait_until(
        "all control nodes answer",
        lambda: all(
            bench3.call(one.host, "GET", "/config") for one in bed.controls
        ),
    )
    bed.put_configuration(bed.configuration(7, [(443, "reminder")]))
    for number in range(3):
        bench3.HostAgent(
            bed,
            f"i-00a1b2c{number}",
            "reminder",
            (f"127.{bed.block}.4.{number + 1}", bench3.HOST_PORT),
            bed.zones[number],
        ).heartbeat_forever()
    bed.wait_until(
        "all frontends are ready",
        lambda: all(one.is_ready() for one in bed.entries),
    )
    client = bench3.Client(bed)
    if client.request(bed.entries[0], 443, "warm-up") != "200":
        raise bench3.CannotRun("the calm deployment does not serve")

    field = NEW_FIELD if bed.is_troubled else ""
    rolled = [bed.entries[0], bed.entries[1], bed.controls[0]]
    bed.record.write(f"the settings change on three: {field or 'none'}")
    for program in rolled:
        program.write_settings(False, field)
        program.signal(signal.SIGHUP)
    time.sleep(2.0)

    # Planned work: two frontends and a core machine are stopped and started.
    for program in rolled:
        program.signal(signal.SIGTERM)
        bed.record.write(f"{program.name} gets SIGTERM")
        try:
            program.process.wait(bench3.BOUNDS["graceS"])
        except bench3.subprocess.TimeoutExpired:
            program.process.kill()
            program.process.wait()
        bed.record.write(f"{program.name} has stopped")
        program.start()
        program.started_s = bed.record.now_s()
        program.ended_s = None

    # No disruption from here on: who ends now ends by itself.
    quiet_s = bed.record.now_s() + 1.0
    until_s = bed.record.now_s() + WATCH_S
    while bed.record.now_s() < until_s:
        for program in rolled:
            now_s = bed.record.now_s()
            if program.is_running:
                continue
            if program.ended_s is None:
                program.ended_s = now_s
                if now_s >= quiet_s:
                    program.own_ends += 1
                bed.record.write(
                    f"{program.name} has ended by itself with status "
                    f"{program.process.returncode}: {program.last_log_line()}"
                )
            elif now_s >= program.ended_s + RESTART_DELAY_S:
                program.start()
                program.ended_s = None
        time.sleep(0.05)
    for program in rolled:
        bed.record.write(f"{program.name}: {program.own_ends} ends of its own")
    for entry in rolled[:2]:
        bed.record.write(f"{entry.name} is ready: {entry.is_ready()}")
        client.request(entry, 443, f"after-{entry.name}")
    answer = bench3.call(rolled[2].host, "GET", "/config")
    bed.record.write(f"{rolled[2].name} GET /config: {answer and answer[0]}")
    broken = [one for one in rolled if one.own_ends >= 3]
    if len(broken) >= 2:
        names = ", ".join(one.name for one in broken)
        return (
            "Fault: processes ended by themselves three times or more, and "
            f"don't start any more: {names}"
        )
    return None


bench3.run(HERE, play, entry_count=4)
