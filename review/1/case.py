"""A heartbeat of another writer with bytes that can't be read."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import standins


def case(record, has_trouble):
    platform = standins.Platform(record)
    closing = [platform]
    try:
        return play(platform, closing, record, has_trouble)
    finally:
        for one in reversed(closing):
            one.close()


def play(platform, closing, record, has_trouble):
    base = platform.base
    kept = ("kept", f"{base}.200", 443, "reminder-svc")
    dropped = ("dropped", f"{base}.200", 444, "reminder-svc")
    added = ("added", f"{base}.200", 445, "statement-svc")
    platform.start()
    for number in range(8):
        service = "reminder-svc" if number < 5 else "statement-svc"
        zone = standins.ZONES[number % 4]
        closing.append(
            standins.Host(
                platform,
                record,
                platform.cores,
                service,
                zone,
                f"{base}.{100 + number}",
            )
        )
    clients = standins.Clients(platform, record, f"{base}.150")
    closing.append(clients)
    operator = standins.Operator(platform, record)
    if operator.put(3, [kept, dropped]) is None:
        raise standins.CouldNotRun("the first configuration got no answer")
    platform.wait_ready()
    time.sleep(3)
    for front in platform.fronts:
        _, outcome = clients.request(front, kept[1:3])
        if outcome != "served":
            raise standins.CouldNotRun(f"{front.name} serves nothing")
    if has_trouble:
        closing.append(
            standins.OtherWriter(platform, record, (f"{base}.190", 9))
        )
    time.sleep(3)
    acknowledged_s = operator.put(7, [kept, added], timeout_s=40)
    breaks = []
    if acknowledged_s is None:
        breaks.append("configuration 7 had no acknowledgement for 40 s")
    else:
        time.sleep(standins.CONFIG_APPLY_S + 0.3)
        breaks += probe(platform, clients, dropped, added)
    for machine in platform.cores:
        if machine.own_ends:
            breaks.append(
                f"{machine.name} ended by itself {machine.own_ends} times"
            )
    return breaks


def probe(platform, clients, dropped, added):
    """Sends requests that only an older version would treat otherwise."""
    breaks = []
    end = time.monotonic() + 8
    while time.monotonic() < end:
        for front in platform.fronts:
            name, outcome = clients.request(front, added[1:3])
            if outcome == "reset":
                breaks.append(
                    f"{name}: refused by {front.name}, though its route is in "
                    "the configuration acknowledged over 3 s before"
                )
            name, outcome = clients.request(front, dropped[1:3])
            if outcome == "served":
                breaks.append(
                    f"{name}: run through {front.name}, though its route was "
                    "dropped by the configuration acknowledged over 3 s before"
                )
        time.sleep(0.5)
    return breaks


if __name__ == "__main__":
    sys.exit(standins.play(FOLDER, case))
