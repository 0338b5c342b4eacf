"""Stand-ins for the platform, the hosts, the clients and the operator.

They use the standard library only, loopback addresses and the real clock. The
words are those of the users' pages: host, client, operator, machine.
"""

import http.client
import json
import os
import pathlib
import random
import select
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]

HEARTBEAT_S = 1.2
CONFIG_APPLY_S = 3.0
DRAIN_TIMEOUT_S = 3.0
CONTACT_S = 4.0
RESTART_DELAY_S = 0.5
CALL_TIMEOUT_S = 1.0
SYN_TIMES_S = (0.0, 0.2, 0.6)
SYN_GIVE_UP_S = 1.4
REQUEST_TIMEOUT_S = 2.5
SHOWN_BREAKS = 4
CUT_CONNECTION_S = 2.0

SYN, ACK, FIN, RST = 32, 64, 4, 8
HEADER = struct.Struct(">BBIIIHH4s4sHI")
ZONES = ("pos-a", "chag-b", "arima-c", "tuna-d")


class CouldNotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._start_s

    def write(self, text):
        with self._lock:
            self._file.write(f"{self.now_s():8.3f}  {text}\n")
            self._file.flush()


def call(address, method, path, body=b"", timeout_s=CALL_TIMEOUT_S):
    """Makes one HTTP call; returns (status, body), or None if unanswered."""
    connection = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        headers = {"Content-Type": "application/json"}
        connection.request(method, path, body=body, headers=headers)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def make_base():
    """Returns the first three numbers of an unused loopback network."""
    return f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"


class Machine:
    """One machine of the platform with one of the deploy file's programs."""

    def __init__(self, platform, name, role, zone, ip, bind_ip):
        self.platform = platform
        self.name = name
        self.role = role
        self.zone = zone
        self.ip = ip
        self.bind_ip = bind_ip
        self.data = platform.folder / f"{name}-data"
        self.settings = platform.folder / f"{name}.toml"
        self.log = platform.folder / f"{name}.log"
        self.process = None
        self.own_ends = 0
        self.is_wanted = False
        self.bootstrap = True

    @property
    def control_address(self):
        return (self.bind_ip, self.platform.ports["control"])

    @property
    def ready_address(self):
        return (self.bind_ip, self.platform.ports["ready"])

    @property
    def datagram_address(self):
        return (self.bind_ip, self.platform.ports["datagram"])

    def write_settings(self):
        ports = self.platform.ports
        seeds = [
            f"{one.ip}:{ports['control']}" for one in self.platform.cores[:3]
        ]
        lines = [
            f'nodeName = "{self.name}"',
            f'role = "{self.role}"',
            f'ip = "{self.ip}"',
            f'zone = "{self.zone}"',
            'region = "tt-north"',
            f"internalPortRange = [{ports['internal']},"
            f"{ports['internal'] + 15}]",
            f"seeds = {json.dumps(seeds)}",
            f"bootstrap = {'true' if self.bootstrap else 'false'}",
            f"inTolerance = {'true' if self.role == 'control' else 'false'}",
            'discovery = "registration"',
            'entry = "announce"',
            f"heartbeatMs = {int(HEARTBEAT_S * 1000)}",
            'contracts = ["base","drain","config","cost","recover","flows"]',
            'config_mode = "highest"',
            'hash = "mod"',
            'forwardingMode = "echo"',
        ]
        if self.role == "control":
            self.data.mkdir(exist_ok=True)
            lines.append(f'dataDir = "{self.data}"')
        lines += ["[zones]"] + [f'{zone} = "tt-north"' for zone in ZONES]
        lines.append("[bindAddresses]")
        if self.bind_ip != self.ip:
            lines.append(f'internal = "{self.bind_ip}:{ports["internal"]}"')
        if self.role == "control":
            lines.append(f'control = "{self.bind_ip}:{ports["control"]}"')
        else:
            lines.append(
                f'datagramAddr = "{self.bind_ip}:{ports["datagram"]}"'
            )
            lines.append(f'ready = "{self.bind_ip}:{ports["ready"]}"')
        lines += [
            "[faultTolerance]",
            "machines = 1",
            "zones = 1",
            "regions = 0",
            "[bounds]",
            "contactMs = 4000",
            "drainTimeoutMs = 3000",
            "configApplyMs = 3000",
            "graceS = 6",
            "maxFlowS = 60",
        ]
        self.settings.write_text("\n".join(lines) + "\n", encoding="utf-8")

    def start(self):
        self.write_settings()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BLUEBELLTIDE_SETTINGS": str(self.settings),
        }
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                self.platform.commands[self.role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.is_wanted = True
        self.platform.record.write(
            f"platform starts {self.name} (process {self.process.pid})"
        )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.is_wanted = False
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def terminate(self, grace_s=6.0):
        """SIGTERM, then SIGKILL after the grace time."""
        self.is_wanted = False
        self.signal(signal.SIGTERM)
        try:
            self.process.wait(grace_s)
        except subprocess.TimeoutExpired:
            self.kill()


class Platform:
    """Starts the machines and restarts processes that end by themselves."""

    def __init__(self, record, core_count=4, front_count=4, with_proxies=False):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        )
        self.commands = {}
        for role in ("control", "entry"):
            words = deploy["roles"][role]["run"].split()
            if words[0] == "python3":
                words[0] = sys.executable
            self.commands[role] = words
        self.base = make_base()
        self.bind_base = make_base() if with_proxies else self.base
        self.ports = self._free_ports()
        self.cores = []
        self._added_cores = 0
        for number in range(core_count):
            zone = ZONES[number % len(ZONES)]
            self.cores.append(
                Machine(
                    self,
                    f"core-{zone}-{number + 1}",
                    "control",
                    zone,
                    f"{self.base}.{10 + number}",
                    f"{self.bind_base}.{10 + number}",
                )
            )
        self.fronts = []
        for number in range(front_count):
            self.fronts.append(self._make_front(number))
        self.cuts = Cuts()
        self._proxies = []
        if with_proxies:
            self._proxies = [
                Proxy(self.cuts, one) for one in self.cores + self.fronts
            ]
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)

    def add_core(self, zone):
        """Returns a new core machine in a zone, not yet started."""
        self._added_cores += 1
        number = 10 + 10 * self._added_cores
        machine = Machine(
            self,
            f"core-{zone}-{number}",
            "control",
            zone,
            f"{self.base}.{number}",
            f"{self.bind_base}.{number}",
        )
        machine.bootstrap = False
        if self._proxies:
            self._proxies.append(Proxy(self.cuts, machine))
        return machine

    def _make_front(self, number):
        zone = ZONES[number % len(ZONES)]
        return Machine(
            self,
            f"front-{zone}-{number + 1}",
            "entry",
            zone,
            f"{self.base}.{40 + number}",
            f"{self.bind_base}.{40 + number}",
        )

    def _free_ports(self):
        """Returns ports that are free on all loopback addresses."""
        names = ("control", "ready", "datagram", "internal")
        while True:
            first = random.randint(21000, 31000)
            ports = {
                name: first + 20 * index for index, name in enumerate(names)
            }
            if all(_is_free(port) for port in ports.values()):
                return ports

    def start(self):
        for machine in self.cores + self.fronts:
            machine.start()
        self._thread.start()

    def _watch(self):
        while not self._stop.wait(0.05):
            for machine in self.cores + self.fronts:
                process = machine.process
                if process is None or not machine.is_wanted:
                    continue
                if process.poll() is not None:
                    machine.own_ends += 1
                    self.record.write(
                        f"{machine.name} ended BY ITSELF with exit code "
                        f"{process.returncode}; last log line: "
                        f"{last_line(machine.log)}"
                    )
                    if self._stop.wait(RESTART_DELAY_S):
                        return
                    machine.start()

    def replace_core(self, old, new, overlap_s):
        """Replaces a machine as planned: the new one first, then SIGTERM."""
        self.record.write(f"PLANNED: {new.name} is added, empty")
        new.start()
        time.sleep(overlap_s)
        self.record.write(f"PLANNED: {old.name} gets SIGTERM and is gone")
        old.terminate()
        self.cores[self.cores.index(old)] = new

    def wait_ready(self, timeout_s=25.0):
        deadline = time.monotonic() + timeout_s
        waiting = list(self.fronts)
        while waiting:
            if time.monotonic() > deadline:
                raise CouldNotRun(f"not ready: {[m.name for m in waiting]}")
            waiting = [one for one in waiting if not is_ready(one)]
            time.sleep(0.1)

    def close(self):
        self._stop.set()
        for machine in self.cores + self.fronts:
            machine.is_wanted = False
        for machine in self.cores + self.fronts:
            machine.kill()
        if self._thread.is_alive():
            self._thread.join(2)
        for machine in self.cores + self.fronts:
            machine.kill()
        for proxy in self._proxies:
            proxy.close()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def last_line(path):
    lines = path.read_bytes().splitlines()
    return lines[-1][-300:].decode("utf-8", "replace") if lines else ""


def _is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        probe = socket.socket(socket.AF_INET, kind)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
        finally:
            probe.close()
    return True


def is_ready(machine):
    answer = call(machine.ready_address, "GET", "/readiness", timeout_s=0.5)
    return answer is not None and answer[0] == 200


class Cuts:
    """Which machines can't send to which, on the links between machines."""

    def __init__(self):
        self._pairs = set()
        self._lock = threading.Lock()

    def cut(self, sender, receiver):
        with self._lock:
            self._pairs.add((sender.bind_ip, receiver.bind_ip))

    def join(self):
        with self._lock:
            self._pairs.clear()

    def is_cut(self, sender_ip, receiver_ip):
        with self._lock:
            return (sender_ip, receiver_ip) in self._pairs


class Proxy:
    """Carries what other machines send to one machine's internal port.

    While a link is cut, datagrams on it are lost, new connections get no
    answer and open ones wait.
    """

    def __init__(self, cuts, machine):
        self._cuts = cuts
        self._machine = machine
        port = machine.platform.ports["internal"]
        self._target = (machine.bind_ip, port)
        self._udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self._udp.bind((machine.ip, port))
        self._tcp = socket.create_server((machine.ip, port), backlog=256)
        self._is_open = True
        threading.Thread(target=self._carry_datagrams, daemon=True).start()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._is_open = False
        self._udp.close()
        self._tcp.close()

    def _carry_datagrams(self):
        while self._is_open:
            try:
                data, sender = self._udp.recvfrom(65535)
                if not self._cuts.is_cut(sender[0], self._machine.bind_ip):
                    self._udp.sendto(data, self._target)
            except OSError:
                continue

    def _accept(self):
        while self._is_open:
            try:
                near, sender = self._tcp.accept()
            except OSError:
                return
            threading.Thread(
                target=self._carry_connection,
                args=(near, sender[0]),
                daemon=True,
            ).start()

    def _carry_connection(self, near, sender):
        me = self._machine.bind_ip
        if self._cuts.is_cut(sender, me) or self._cuts.is_cut(me, sender):
            # A new connection needs both directions. The caller has given up
            # before the link is whole again.
            time.sleep(CUT_CONNECTION_S)
            near.close()
            return
        far = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            far.connect(self._target)
        except OSError:
            near.close()
            far.close()
            return
        back = threading.Thread(
            target=self._copy, args=(far, near, me, sender), daemon=True
        )
        back.start()
        self._copy(near, far, sender, me)
        back.join(30)
        near.close()
        far.close()

    def _copy(self, source, sink, sender, receiver):
        try:
            while data := source.recv(65536):
                while self._is_open and self._cuts.is_cut(sender, receiver):
                    time.sleep(0.02)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            return


# Packets.


def keyed_sum(data):
    """The ends' sum over all fields except echo, pad and BOUNCED."""
    return zlib.crc32(
        b"standin" + bytes([data[0] & ~1]) + data[6:28] + data[32:]
    )


def pack(flags, echo, seq, ack, src, dst, data=b""):
    def header(total):
        return HEADER.pack(
            flags,
            0,
            echo,
            seq,
            ack,
            len(data),
            src[1],
            socket.inet_aton(src[0]),
            socket.inet_aton(dst[0]),
            dst[1],
            total,
        )

    return header(keyed_sum(header(0) + data)) + data


class Packet:
    def __init__(self, raw):
        fields = HEADER.unpack_from(raw)
        self.flags, _, self.echo, self.seq, self.ack = fields[:5]
        self.src = (socket.inet_ntoa(fields[7]), fields[6])
        self.dst = (socket.inet_ntoa(fields[8]), fields[9])
        self.sum = fields[10]
        self.data = raw[HEADER.size :]
        self.is_sound = self.sum == keyed_sum(raw)


class Host:
    """A host of a service: takes flows, runs requests and sends heartbeats."""

    def __init__(
        self, platform, record, nodes, service, zone, ip, work_s=0.03
    ):
        self.platform = platform
        self.record = record
        self.nodes = nodes
        self.service = service
        self.zone = zone
        self.id = f"i-{random.getrandbits(32):08x}"
        self.number = int(self.id[2:], 16)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.draining_acked_s = None
        self.left_s = None
        self.runs = []
        self.work_s = work_s
        # A host keeps to a node until a heartbeat fails there; it begins with
        # the one of its zone.
        self._node = next(
            (at for at, node in enumerate(nodes) if node.zone == zone), 0
        )
        self.acks = []
        self._flows = {}
        self._stop = threading.Event()
        self._wake = threading.Event()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((ip, platform.ports["datagram"]))
        self.address = self._socket.getsockname()
        self._socket.settimeout(0.2)
        threading.Thread(target=self._serve, daemon=True).start()
        threading.Thread(target=self._beat_forever, daemon=True).start()

    def close(self):
        self._stop.set()
        self._wake.set()

    def drain(self):
        """Reports `draining` at once; the caller ends the host later."""
        self.state = "draining"
        self._wake.set()

    def leave(self):
        """Sends DELETE and exits."""
        self._stop.set()
        self._wake.set()
        for node in self._order():
            answer = call(
                node.control_address, "DELETE", f"/instances/{self.id}"
            )
            if answer is not None and answer[0] < 300:
                break
        self.left_s = self.record.now_s()
        self.record.write(f"host {self.id} has left")

    def _order(self):
        """Returns the nodes: the one that answered last, then the next."""
        nodes = list(self.nodes)
        return nodes[self._node :] + nodes[: self._node]

    def body(self):
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "capacity": 3,
            "state": self.state,
            "rampRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def _beat_forever(self):
        while not self._stop.is_set():
            self._beat()
            self._wake.wait(HEARTBEAT_S * random.uniform(0.95, 1.05))
            self._wake.clear()

    def _beat(self):
        """Reports the state; calls the next node after a failure."""
        for node in self._order():
            self.sequence += 1
            state = self.state
            body = json.dumps(self.body()).encode()
            answer = call(
                node.control_address, "PUT", f"/instances/{self.id}", body
            )
            if answer is not None and answer[0] < 300:
                self._node = self.nodes.index(node)
                self.acks.append((self.record.now_s(), node.name, state))
                if state == "draining" and self.draining_acked_s is None:
                    self.draining_acked_s = self.record.now_s()
                    self.record.write(
                        f"{node.name} acknowledged that host {self.id} of "
                        f"{self.service} is draining (sequence "
                        f"{self.sequence})"
                    )
                return
            self.record.write(
                f"heartbeat {self.sequence} of host {self.id}: {node.name} "
                f"answered {answer and answer[0]}; calling the next node"
            )

    def _serve(self):
        while not self._stop.is_set():
            try:
                raw, _ = self._socket.recvfrom(65535)
            except socket.timeout:
                continue
            except OSError:
                return
            self._handle(raw)
        self._socket.close()

    def _handle(self, raw):
        number = int.from_bytes(raw[:8], "big")
        if number not in (0, self.number) or len(raw) < 8 + HEADER.size:
            return
        packet = Packet(raw[8:])
        key = (packet.src, packet.dst)
        if not packet.is_sound:
            self.record.write(f"host {self.id}: packet not as it was written")
            return
        if packet.flags & RST:
            self._flows.pop(key, None)
            return
        if packet.flags & SYN:
            seq = self._flows.setdefault(
                key, [random.randrange(1, 2**31), False, None]
            )[0]
            self._reply(packet, SYN | ACK, seq, packet.seq)
            return
        flow = self._flows.get(key)
        if flow is None:
            if not packet.flags & FIN:
                self._reply(packet, RST, 0, 0)
            return
        if not flow[1] and packet.ack == flow[0]:
            flow[1] = True
        if flow[1] and packet.data and flow[2] is None:
            flow[2] = b""
            threading.Thread(
                target=self._run, args=(packet, flow), daemon=True
            ).start()
        elif flow[1] and packet.data and flow[2]:
            self._reply(packet, ACK, flow[0] + 1, packet.seq, flow[2])
        if packet.flags & FIN:
            self._flows.pop(key, None)
            self._reply(packet, ACK, flow[0], packet.seq)

    def _run(self, packet, flow):
        request_id = packet.data.partition(b"Request-Id: ")[2]
        request_id = request_id.partition(b"\r")[0].decode()
        run_s = self.record.now_s()
        self.runs.append((run_s, request_id))
        self.record.write(
            f"request {request_id} runs at host {self.id} of {self.service} "
            f"({self.state})"
        )
        time.sleep(self.work_s)
        flow[2] = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
            f"Served-By: {self.id}\r\nContent-Length: 0\r\n\r\n"
        ).encode()
        self._reply(packet, ACK, flow[0] + 1, packet.seq, flow[2])

    def _reply(self, packet, flags, seq, ack, data=b""):
        raw = pack(
            flags, packet.echo, seq, ack, packet.dst, packet.src, data
        )
        address = (packet.src[0], self.platform.ports["datagram"])
        try:
            self._socket.sendto(raw, address)
        except OSError:
            return


class OtherWriter:
    """Another writer, whose heartbeats have bytes that can't be read.

    It names a service that doesn't exist, and calls the next node after an
    answer that is no acknowledgement, as a host does.
    """

    UNREADABLE = b"\xed\xa0\x80"
    """Three bytes that are no UTF-8: an encoded half of a surrogate pair."""

    def __init__(self, platform, record, address):
        self._record = record
        self._nodes = platform.cores
        self._node = random.randrange(len(platform.cores))
        self._id = f"i-{random.getrandbits(32):08x}"
        self._body = {
            "service": "no-such-service",
            "address": f"{address[0]}:{address[1]}",
            "zone": "ZONE",
            "version": "v1",
            "capacity": 1,
            "state": "ready",
            "rampRemainingMs": 0,
            "sequence": 0,
            "born": int(time.time() * 1000),
        }
        self._stop = threading.Event()
        threading.Thread(target=self._beat_forever, daemon=True).start()

    def close(self):
        self._stop.set()

    def _beat_forever(self):
        while not self._stop.is_set():
            self._beat()
            self._stop.wait(HEARTBEAT_S * random.uniform(0.95, 1.05))

    def _beat(self):
        for _ in self._nodes:
            self._body["sequence"] += 1
            body = json.dumps(self._body).encode()
            body = body.replace(b"ZONE", self.UNREADABLE)
            node = self._nodes[self._node]
            answer = call(
                node.control_address, "PUT", f"/instances/{self._id}", body
            )
            status = answer and answer[0]
            self._record.write(
                f"other writer {self._id}: {node.name} answered {status}"
            )
            if status is not None and status < 300:
                return
            self._node = (self._node + 1) % len(self._nodes)


class Clients:
    """Clients at one address; each request has a flow and a port of its own."""

    def __init__(self, platform, record, ip):
        self.platform = platform
        self.record = record
        self.ip = ip
        self._port = random.randint(20000, 30000)
        self._request = 0
        self._lock = threading.Lock()
        self._inbox = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((ip, platform.ports["datagram"]))
        self._stop = False
        threading.Thread(target=self._receive, daemon=True).start()

    def close(self):
        self._stop = True

    def _receive(self):
        while not self._stop:
            ready, _, _ = select.select([self._socket], [], [], 0.2)
            if not ready:
                continue
            raw, sender = self._socket.recvfrom(65535)
            if len(raw) < HEADER.size:
                continue
            packet = Packet(raw)
            box = self._inbox.get(packet.dst)
            if box is not None:
                with box[0]:
                    box[1].append((packet, sender))
                    box[0].notify()

    def request(self, front, route, method="GET"):
        """Makes one request through a front on a new flow.

        Returns (request id, outcome): `served`, `reset`, `no answer to SYN`
        or `no answer`.
        """
        with self._lock:
            self._port += 1
            self._request += 1
            me = (self.ip, self._port)
            request_id = f"q{self._request}"
        condition = threading.Condition()
        box = (condition, [])
        self._inbox[me] = box
        try:
            self.record.write(
                f"request {request_id} is sent to {route[0]}:{route[1]} "
                f"through {front.name}"
            )
            outcome = self._exchange(front, route, me, box, request_id, method)
        finally:
            del self._inbox[me]
        self.record.write(f"request {request_id}: {outcome}")
        return request_id, outcome

    def _send(self, front, raw):
        self._socket.sendto(raw, front.datagram_address)

    def _next(self, box, until_s):
        condition, packets = box
        with condition:
            while not packets:
                wait_s = until_s - time.monotonic()
                if wait_s <= 0:
                    return None
                condition.wait(wait_s)
            return packets.pop(0)[0]

    def _exchange(self, front, route, me, box, request_id, method):
        seq = random.randrange(1, 2**31)
        start = time.monotonic()
        answer = None
        for copy, at_s in enumerate(SYN_TIMES_S):
            self._send(front, pack(SYN, 0, seq, copy, me, route))
            later = (*SYN_TIMES_S, SYN_GIVE_UP_S)[copy + 1]
            answer = self._next(box, start + later)
            if answer is not None:
                break
        if answer is None:
            return "no answer to SYN"
        if answer.flags & RST:
            return "reset"
        echo, peer = answer.echo, answer.seq
        body = (
            f"{method} / HTTP/1.1\r\nHost: x\r\n"
            f"Request-Id: {request_id}\r\n\r\n"
        ).encode()
        self._send(front, pack(ACK, echo, seq, peer, me, route))
        deadline = time.monotonic() + REQUEST_TIMEOUT_S
        while time.monotonic() < deadline:
            self._send(front, pack(ACK, echo, seq + 1, peer, me, route, body))
            until = min(deadline, time.monotonic() + 0.2)
            while (packet := self._next(box, until)) is not None:
                if packet.flags & RST:
                    return "reset of an open flow"
                echo = packet.echo
                if packet.data:
                    end = pack(FIN | ACK, echo, seq + 2, peer, me, route)
                    self._send(front, end)
                    return "served"
        return "no answer"


class Operator:
    """Sends configurations until they are acknowledged."""

    def __init__(self, platform, record):
        self.platform = platform
        self.record = record

    def put(self, version, routes, timeout_s=30.0):
        """Sends a configuration; returns when it was acknowledged.

        Args:
            version: Its version.
            routes: (name, host, port, service) of each route.
            timeout_s: How long to try.
        """
        body = json.dumps(make_config(version, routes)).encode()
        deadline = time.monotonic() + timeout_s
        pause_s = 0.1
        self.record.write(f"operator sends configuration {version}")
        while time.monotonic() < deadline:
            node = random.choice(self.platform.cores)
            answer = call(node.control_address, "PUT", "/config", body)
            status = answer and answer[0]
            self.record.write(
                f"{node.name} answered {status} to configuration {version}"
            )
            if status == 200:
                return self.record.now_s()
            if status in (400, 409, 412, 413, 422):
                raise CouldNotRun(f"configuration {version} was refused")
            time.sleep(pause_s)
            pause_s = min(1.0, pause_s * 1.5)
        return None


def make_config(version, routes):
    services = sorted({route[3] for route in routes})
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": host,
                "pathPrefix": f"/{port}/",
                "type": "safe",
                "timeoutMs": 2500,
                "targetLatencyMs": 300,
                "priority": 2,
                "service": service,
                "maxAttempts": 2,
            }
            for name, host, port, service in routes
        ],
        "services": [
            {
                "name": name,
                "healthCheckPath": "/health",
                "maxFlows": 2000,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def play(folder, case):
    """Runs a case; returns the exit code: 1 broken, 0 held, 2 not run.

    Args:
        folder: The folder of the case, in which `record.txt` is written.
        case: Called with the record and whether to disrupt; returns the
            breaks as texts.
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    # A stop from outside unwinds the case, so that its processes end, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record.write(f"TROUBLE={int(has_trouble)}")
    try:
        breaks = case(record, has_trouble)
    except (CouldNotRun, OSError) as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    for text in breaks:
        record.write(f"BROKEN: {text}")
    for text in breaks[:SHOWN_BREAKS]:
        print(f"BROKEN: {text}")
    verdict = f"rule broken, {len(breaks)} times" if breaks else "rule held"
    record.write(verdict)
    print(verdict)
    return 1 if breaks else 0
