"""Hosts drain while a core machine is cut off; entries restart afterwards."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import standins

CUT_S = 5.5
DRAIN_AFTER_S = 4.7
"""The machines that aren't cut off are in touch again 4 s after the cut."""
ROLL_GAP_S = 1.2
SLACK_S = 0.3


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
    platform.start()
    hosts = []
    for number in range(11):
        service = "reminder-svc" if number < 7 else "statement-svc"
        zone = standins.ZONES[number % 4]
        host = standins.Host(
            platform,
            record,
            platform.cores,
            service,
            zone,
            f"{base}.{100 + number}",
        )
        hosts.append(host)
        closing.append(host)
    clients = standins.Clients(platform, record, f"{base}.150")
    closing.append(clients)
    operator = standins.Operator(platform, record)
    if operator.put(3, [route]) is None:
        raise standins.CouldNotRun("the first configuration got no answer")
    platform.wait_ready()
    time.sleep(4)
    for front in platform.fronts:
        _, outcome = clients.request(front, route[1:3])
        if outcome != "served":
            raise standins.CouldNotRun(f"{front.name} serves nothing")

    cut_off = platform.cores[3]
    if has_trouble:
        record.write(
            f"CUT: what {cut_off.name} sends no longer reaches the other core "
            "machines"
        )
        for core in platform.cores:
            if core is not cut_off:
                platform.cuts.cut(cut_off, core)
    time.sleep(DRAIN_AFTER_S)
    leaving = [hosts[0], hosts[1], hosts[4]]
    for host in leaving:
        record.write(f"host {host.id} in {host.zone} begins to drain")
        host.drain()
        time.sleep(0.15)
    time.sleep(CUT_S - DRAIN_AFTER_S - 0.45)
    platform.cuts.join()
    joined_s = record.now_s()
    record.write("JOINED: all machines reach each other again")

    started_s = roll(platform, record)
    in_touch_s = max(joined_s, started_s) + standins.CONTACT_S
    # The strictest reading: only an acknowledgement by a machine in touch,
    # 4 s after the cut, starts the time of the rule.
    limits_s = {}
    while record.now_s() < joined_s + standins.CONTACT_S + 2.5:
        time.sleep(0.1)
    for host in leaving:
        acked_s = next(
            (
                at
                for at, _, state in host.acks
                if state == "draining" and at > joined_s + standins.CONTACT_S
            ),
            None,
        )
        if acked_s is None:
            raise standins.CouldNotRun(f"host {host.id} was not acknowledged")
        limits_s[host.id] = acked_s + standins.DRAIN_TIMEOUT_S + SLACK_S
    while record.now_s() < max(in_touch_s, *limits_s.values()):
        time.sleep(0.05)
    record.write("requests from now on count")
    from_s = record.now_s()
    send_requests(platform, clients, route, seconds=3.0)
    breaks = []
    for host in leaving:
        for run_s, request_id in host.runs:
            if run_s >= from_s:
                breaks.append(
                    f"{request_id} ran at host {host.id} "
                    f"{run_s - host.draining_acked_s:.1f} s after it was "
                    "acknowledged as draining"
                )
        host.leave()
    return breaks


def roll(platform, record):
    """Stops and starts two fronts in turn; returns when both run again."""
    threads = []
    for front in platform.fronts[1:3]:
        thread = threading.Thread(target=restart, args=(front, record))
        thread.start()
        threads.append(thread)
        time.sleep(ROLL_GAP_S)
    for thread in threads:
        thread.join()
    return record.now_s()


def restart(front, record):
    record.write(f"platform sends SIGTERM to {front.name}")
    front.terminate()
    front.bootstrap = False
    front.start()


def send_requests(platform, clients, route, seconds):
    """Sends requests through all fronts, some at a time."""
    end = time.monotonic() + seconds

    def press(front):
        while time.monotonic() < end:
            clients.request(front, route[1:3])

    threads = [
        threading.Thread(target=press, args=(front,))
        for front in platform.fronts
        for _ in range(3)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


if __name__ == "__main__":
    sys.exit(standins.play(FOLDER, case))
