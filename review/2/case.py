"""The core is split while its machines are replaced; then the final fault."""

import json
import pathlib
import shutil
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import standins

OVERLAP_S = 2.0
SPLIT_AFTER_S = 2.4
SPLIT_S = 5.5
CATCH_UP_S = 4.0
RECOVERY_S = 12.0
FINAL_DOWN_S = 0.7
READ_S = 15.0


def case(record, has_trouble):
    platform = standins.Platform(record, with_proxies=True)
    closing = [platform]
    try:
        return play(platform, closing, record, has_trouble)
    finally:
        for one in reversed(closing):
            one.close()


def play(platform, closing, record, has_trouble):
    base = platform.base
    route = ("reminders", f"{base}.200", 443, "reminder-svc")
    other = ("statements", f"{base}.200", 444, "statement-svc")
    platform.start()
    for number in range(6):
        service = "reminder-svc" if number < 4 else "statement-svc"
        closing.append(
            standins.Host(
                platform,
                record,
                platform.cores,
                service,
                standins.ZONES[number % 4],
                f"{base}.{100 + number}",
            )
        )
    operator = standins.Operator(platform, record)
    if operator.put(3, [route]) is None:
        raise standins.CouldNotRun("the first configuration got no answer")
    platform.wait_ready()
    time.sleep(4)
    for machine in platform.cores + platform.fronts:
        machine.bootstrap = False
    first, second, third, fourth = platform.cores

    added = [platform.add_core(fourth.zone), platform.add_core(first.zone)]
    platform.replace_core(fourth, added[0], OVERLAP_S)
    time.sleep(2 * CATCH_UP_S)
    platform.replace_core(first, added[1], OVERLAP_S)
    time.sleep(SPLIT_AFTER_S)
    if has_trouble:
        record.write(
            f"SPLIT for {SPLIT_S} s: {second.name} and {third.name} from "
            f"{added[0].name} and {added[1].name}"
        )
        for old in (second, third):
            for new in added:
                platform.cuts.cut(old, new)
                platform.cuts.cut(new, old)
    time.sleep(SPLIT_S)
    platform.cuts.join()
    record.write("JOINED: all machines reach each other")
    time.sleep(3 * CATCH_UP_S)

    if operator.put(9, [route, other]) is None:
        raise standins.CouldNotRun("configuration 9 got no answer")
    time.sleep(0.05)
    record.write(
        f"FINAL FAULT: {third.name} loses its disk, all others lose power"
    )
    for machine in platform.cores + platform.fronts:
        machine.is_wanted = False
        machine.process.kill()
    for machine in platform.cores + platform.fronts:
        machine.kill()
    shutil.rmtree(third.data)
    time.sleep(FINAL_DOWN_S)
    for machine in platform.cores + platform.fronts:
        machine.start()
    time.sleep(RECOVERY_S)
    breaks = read_back(platform, record)
    acknowledged_s = operator.put(11, [route], timeout_s=READ_S)
    if acknowledged_s is None:
        record.write("configuration 11 got no acknowledgement either")
    return breaks


def read_back(platform, record):
    """Reads the configuration at all nodes, as the operator does at the end."""
    newest = 0
    end = time.monotonic() + READ_S
    while time.monotonic() < end and newest < 9:
        for core in platform.cores:
            answer = standins.call(core.control_address, "GET", "/config")
            status = answer and answer[0]
            version = 0
            if status == 200:
                version = json.loads(answer[1])["version"]
            record.write(f"{core.name} answered {status}, version {version}")
            newest = max(newest, version)
        time.sleep(0.5)
    if newest >= 9:
        return []
    return [
        "the acknowledged configuration 9 isn't read back in the "
        f"{RECOVERY_S + READ_S:.0f} s after all machines were back; the newest "
        f"version read is {newest or 'none'}"
    ]


if __name__ == "__main__":
    sys.exit(standins.play(FOLDER, case))
