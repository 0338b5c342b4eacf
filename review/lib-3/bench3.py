"""A small deployment of the project's own programs on loopback addresses.

It starts the two programs with the commands of the deploy file, and stand-ins
of hosts, clients and the operator that speak what PROTOCOL.md says. Standard
library only.
"""

import http.client
import json
import os
import pathlib
import random
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
import traceback
import zlib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PACKET_PORT = 8172
READY_PORT = 8167
API_PORT = 8166
HOST_PORT = 8080
HEARTBEAT_S = 1.2
CALL_TIMEOUT_S = 1.0
DRAIN_TIMEOUT_S = 3.0
SYN, ACK, FIN, RST, BOUNCED = 32, 64, 4, 8, 1
HEAD = struct.Struct(">BBIIIHH4s4sHI")
SUM_KEY = b"review-3"
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 4000,
    "ackTimeoutMs": 5000,
    "catchupS": 4,
    "drainTimeoutMs": 3000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 12000,
    "recoveryS": 12,
    "misrouteWindowMs": 2000,
    "maxFlowS": 60,
}


class CannotRun(Exception):
    """The case could not run; the script ends with 2."""


class Record:
    """Writes what is sent, answered and run to record.txt."""

    def __init__(self, folder):
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._start_s

    def write(self, text):
        with self._lock:
            self._file.write(f"{self.now_s():8.3f} {text}\n")
            self._file.flush()


def call(host, method, path, body=None, timeout_s=CALL_TIMEOUT_S):
    """Makes one HTTP call; returns (status, body) or None without an answer."""
    connection = http.client.HTTPConnection(host, API_PORT, timeout=timeout_s)
    try:
        headers = {"Content-Type": "application/json"} if body else {}
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def checksum(packet):
    """The keyed sum over all fields except echo, pad and BOUNCED."""
    data = bytearray(packet)
    data[0] &= ~BOUNCED
    data[1:6] = bytes(5)
    data[28:32] = bytes(4)
    return zlib.crc32(SUM_KEY + bytes(data))


def make_packet(flags, echo, seq, ack, source, destination, data=b""):
    fields = [
        flags, 0, echo, seq, ack, len(data), source[1],
        socket.inet_aton(source[0]), socket.inet_aton(destination[0]),
        destination[1], 0,
    ]  # fmt: skip
    fields[-1] = checksum(HEAD.pack(*fields) + data)
    return HEAD.pack(*fields) + data


class Packet:
    """One decoded packet."""

    def __init__(self, data):
        (
            self.flags, _, self.echo, self.seq, self.ack, self.length, sport,
            src, dst, dport, self.sum,
        ) = HEAD.unpack_from(data)  # fmt: skip
        self.source = (socket.inet_ntoa(src), sport)
        self.destination = (socket.inet_ntoa(dst), dport)
        self.data = data[HEAD.size :]
        self.is_sound = self.sum == checksum(data)


class Program:
    """One machine with one of the two programs."""

    def __init__(self, bed, name, role, host, zone):
        self.bed = bed
        self.name = name
        self.role = role
        self.host = host
        self.zone = zone
        self.settings = bed.folder / f"{name}.toml"
        self.process = None
        self.own_ends = 0

    def settings_text(self, is_first, more_addresses=""):
        bed = self.bed
        seeds = [f"{one.host}:{API_PORT}" for one in bed.controls[:3]]
        is_control = self.role == "control"
        lines = [
            f'nodeName = "{self.name}"',
            f'role = "{self.role}"',
            f'machineClass = "{"core" if is_control else "frontend"}"',
            f'serves = ["{"control_plane" if is_control else "frontend"}"]',
            f'ip = "{self.host}"',
            f'zone = "{self.zone}"',
            'region = "region-1"',
            "internalPortRange = [7720,7735]",
            f"seeds = {json.dumps(seeds)}",
            f"bootstrap = {json.dumps(is_first)}",
            f"inTolerance = {json.dumps(is_control)}",
            'discovery = "registration"',
            'entry = "announce"',
            "heartbeatMs = 1200",
            'contracts = ["base","drain","config","cost","recover","flows"]',
            'config_mode = "highest"',
            'hash = "mod"',
            'forwardingMode = "echo"',
        ]
        if is_control:
            folder = bed.folder / f"{self.name}.data"
            folder.mkdir(exist_ok=True)
            lines.append(f"dataDir = {json.dumps(str(folder))}")
        lines.append("[zones]")
        lines += [f'{zone} = "region-1"' for zone in bed.zones]
        lines.append("[bindAddresses]")
        if is_control:
            lines.append(f'control = "{self.host}:{API_PORT}"')
        else:
            lines.append(f'datagramAddr = "{self.host}:{PACKET_PORT}"')
            lines.append(f'ready = "{self.host}:{READY_PORT}"')
        if more_addresses:
            lines.append(more_addresses)
        lines += [
            "[limits]",
            "cpuShare = 0.537",
            "cpuCores = 2",
            "memoryMb = 300",
            "maxFds = 4100",
            "linkMbps = 1000.0",
            f"diskMb = {128 if is_control else 0}",
            "[faultTolerance]",
            "machines = 1",
            "zones = 1",
            "regions = 0",
            "[bounds]",
        ]
        lines += [f"{name} = {value}" for name, value in BOUNDS.items()]
        return "\n".join(lines) + "\n"

    def write_settings(self, is_first, more_addresses=""):
        text = self.settings_text(is_first, more_addresses)
        temporary = self.settings.with_suffix(".new")
        temporary.write_text(text, encoding="utf-8")
        temporary.replace(self.settings)

    def start(self):
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BLUEBELLTIDE_SETTINGS": str(self.settings),
        }
        words = self.bed.commands[self.role].split(" ")
        with open(self.bed.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.bed.record.write(f"{self.name} started")

    @property
    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running:
            self.process.send_signal(number)

    def is_ready(self):
        """Whether the readiness check answers 200."""
        connection = http.client.HTTPConnection(
            self.host, READY_PORT, timeout=0.5
        )
        try:
            connection.request("GET", "/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def last_log_line(self):
        path = self.bed.folder / f"{self.name}.log"
        lines = path.read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else ""


class Bed:
    """The deployment of one case."""

    def __init__(self, case_folder, control_count=4, entry_count=2):
        self.case_folder = pathlib.Path(case_folder)
        self.record = Record(self.case_folder)
        self.is_troubled = os.environ.get("TROUBLE", "1") != "0"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review3-"))
        self.zones = [f"zone-{number + 1}" for number in range(control_count)]
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {
            name: role["run"] for name, role in deploy["roles"].items()
        }
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("build the deploy file first")
        self.block = self._find_free_block()
        self.hosts = []
        self.clients = []
        self.controls = [
            Program(
                self, f"core-{number + 1}", "control",
                f"127.{self.block}.1.{number + 1}", self.zones[number],
            )
            for number in range(control_count)
        ]  # fmt: skip
        self.entries = [
            Program(
                self, f"frontend-{number + 1}", "entry",
                f"127.{self.block}.2.{number + 1}",
                self.zones[number % control_count],
            )
            for number in range(entry_count)
        ]  # fmt: skip

    def _find_free_block(self):
        for block in random.sample(range(20, 250), 50):
            lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                # Keeps the block for this case until it ends.
                lock.bind((f"127.{block}.9.9", API_PORT))
                with socket.create_server((f"127.{block}.1.1", API_PORT)):
                    self._lock = lock
                    return block
            except OSError:
                lock.close()
        raise CannotRun("no free block of loopback addresses")

    @property
    def service_host(self):
        return f"127.{self.block}.9.1"

    def start(self):
        self.record.write(f"trouble: {self.is_troubled}")
        for program in self.controls + self.entries:
            program.write_settings(True)
        for program in self.controls + self.entries:
            program.start()

    def wait_until(self, what, condition, timeout_s=20.0):
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            if condition():
                self.record.write(f"reached: {what}")
                return
            time.sleep(0.1)
        raise CannotRun(f"not reached in {timeout_s} s: {what}")

    def configuration(self, version, routes):
        """A configuration; `routes` are (port, service) pairs."""
        names = sorted({service for _, service in routes})
        return json.dumps(
            {
                "version": version,
                "routes": [
                    {
                        "name": f"r-{port}",
                        "host": self.service_host,
                        "pathPrefix": f"/{port}/",
                        "type": "unsafe",
                        "timeoutMs": 3000,
                        "targetLatencyMs": 300,
                        "priority": 1,
                        "service": service,
                        "maxAttempts": 2,
                    }
                    for port, service in routes
                ],
                "services": [
                    {
                        "name": name,
                        "healthCheckPath": "/health",
                        "maxFlows": 2000,
                        "protocol": "h1",
                        "tls": False,
                    }
                    for name in names
                ],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 262144,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
            }
        ).encode()

    def put_configuration(self, body, timeout_s=15.0):
        """Sends a configuration until it is acknowledged, to any node."""
        version = json.loads(body)["version"]
        until_s = time.monotonic() + timeout_s
        number = 0
        while time.monotonic() < until_s:
            control = self.controls[number % len(self.controls)]
            number += 1
            answer = call(control.host, "PUT", "/config", body)
            status = answer and answer[0]
            self.record.write(
                f"operator PUT /config version {version} to {control.name}: "
                f"{status}"
            )
            if status == 200:
                return
            if status in (400, 409, 412, 413, 422):
                raise CannotRun("the configuration was refused")
            time.sleep(0.2)
        raise CannotRun("the configuration was not acknowledged")

    def close(self):
        for one in self.hosts + self.clients:
            one.close()
        programs = self.controls + self.entries
        for program in programs:
            if program.is_running:
                program.process.send_signal(signal.SIGCONT)
                program.process.kill()
        for program in programs:
            if program.process is not None:
                program.process.wait()
        if os.environ.get("KEEP"):
            print(f"kept: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class HostAgent:
    """One incarnation of a host: heartbeats, flows and requests.

    It heartbeats about every 1.2 s; without an acknowledgement within a second
    the next node is called.
    """

    def __init__(
        self, bed, host_id, service, address, zone, born_ms=None, slots=3
    ):
        self.bed = bed
        self.id = host_id
        self.service = service
        self.address = address
        self.zone = zone
        self.born_ms = born_ms or int(time.time() * 1000)
        self.slots = slots
        self.state = "ready"
        self.sequence = 0
        self.acknowledged_s = {}
        self.runs = []
        self.opening_packets = []
        self.foreign_packets = []
        self.is_alive = True
        self._wake = threading.Event()
        self._flows = {}
        self._ended = set()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(address)
        self._socket.settimeout(0.1)
        bed.hosts.append(self)
        threading.Thread(target=self._serve, daemon=True).start()

    def heartbeat_body(self, **changes):
        fields = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "capacity": self.slots,
            "state": self.state,
            "rampRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
        }
        fields.update(changes)
        return json.dumps(fields).encode()

    def next_body(self):
        self.sequence += 1
        return self.heartbeat_body()

    def heartbeat_forever(self, controls=None):
        threading.Thread(
            target=self._heartbeat, args=(controls,), daemon=True
        ).start()

    def drain(self):
        """Reports `draining` at once, and with each later heartbeat."""
        self.state = "draining"
        self._wake.set()

    def _heartbeat(self, controls):
        number = random.randrange(100)
        while self.is_alive:
            nodes = controls or self.bed.controls
            for _ in range(len(nodes)):
                if not self.is_alive:
                    return
                node = nodes[number % len(nodes)]
                state = self.state
                body = self.next_body()
                answer = call(node.host, "PUT", f"/instances/{self.id}", body)
                status = answer and answer[0]
                self.bed.record.write(
                    f"host {self.id} born {self.born_ms} seq {self.sequence} "
                    f"{state} to {node.name}: {status}"
                )
                if status is not None and 200 <= status < 300:
                    self.acknowledged_s.setdefault(
                        state, self.bed.record.now_s()
                    )
                    break
                number += 1
            self._wake.wait(HEARTBEAT_S)
            self._wake.clear()

    def close(self):
        """Ends without a word; all flows are lost."""
        self.is_alive = False
        self._wake.set()
        self._socket.close()

    @property
    def number(self):
        digits = [c for c in self.id.lower() if c in "0123456789abcdef"]
        return int("".join(digits), 16)

    def _serve(self):
        while self.is_alive:
            try:
                data, _ = self._socket.recvfrom(65535)
            except TimeoutError:
                continue
            except OSError:
                return
            label = int.from_bytes(data[:8], "big")
            packet = Packet(data[8:])
            if label not in (0, self.number):
                self.foreign_packets.append(
                    (self.bed.record.now_s(), packet.source)
                )
                self.bed.record.write(
                    f"host {self.id} got a packet for host {label:x} from "
                    f"client {packet.source}"
                )
                continue
            try:
                self._handle(packet)
            except OSError:
                return

    def _reply(self, packet, flags, seq, ack, data=b""):
        reply = make_packet(
            flags, packet.echo, seq, ack, packet.destination, packet.source,
            data,
        )  # fmt: skip
        if self.is_alive:
            self._socket.sendto(reply, (packet.source[0], PACKET_PORT))

    def _handle(self, packet):
        key = (packet.source, packet.destination)
        flow = self._flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = {"seq": random.randrange(1, 2**31), "answers": {}}
                self._flows[key] = flow
                self.opening_packets.append(
                    (self.bed.record.now_s(), packet.source)
                )
            ack = (packet.seq + 1) & 0xFFFFFFFF
            self._reply(packet, SYN | ACK, flow["seq"], ack)
            return
        if flow is None:
            if packet.flags & FIN and key in self._ended:
                self._reply(packet, ACK, packet.ack, packet.seq + 1)
            elif not packet.flags & RST:
                self._reply(packet, RST, packet.ack, packet.seq)
            return
        if packet.flags & RST:
            del self._flows[key]
            return
        if packet.data:
            self._run(packet, flow)
        if packet.flags & FIN:
            del self._flows[key]
            self._ended.add(key)
            ack = (packet.seq + len(packet.data) + 1) & 0xFFFFFFFF
            self._reply(packet, FIN | ACK, packet.ack, ack)

    def _run(self, packet, flow):
        ack = (packet.seq + len(packet.data)) & 0xFFFFFFFF
        answer = flow["answers"].get(packet.seq)
        if answer is None:
            head = packet.data.decode()
            request_id = head.partition("Request-Id: ")[2].partition("\r")[0]
            now_s = self.bed.record.now_s()
            self.runs.append((now_s, request_id, packet.source))
            self.bed.record.write(f"host {self.id} ran request {request_id}")
            body = f"{request_id} by {self.id}"
            answer = (
                f"HTTP/1.1 200 OK\r\nServer-Signature: {self.id}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}"
            ).encode()
            flow["answers"][packet.seq] = answer
        self._reply(packet, ACK, packet.ack, ack, answer)


class HeldLink:
    """A link to a control node that holds up what is sent until it heals."""

    def __init__(self, bed, control):
        self.bed = bed
        self.control = control
        self.host = f"127.{bed.block}.8.{random.randrange(1, 250)}"
        self.answer = None
        self._healed = threading.Event()
        self._done = threading.Event()
        self._listener = socket.create_server((self.host, API_PORT))
        bed.clients.append(self)
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        try:
            near, _ = self._listener.accept()
        except OSError:
            return
        near.settimeout(1.5)
        data = b""
        try:
            # The sender gives up after a second and ends.
            while part := near.recv(65536):
                data += part
        except OSError:
            pass
        near.close()
        self._healed.wait(60)
        with socket.create_connection((self.control.host, API_PORT)) as far:
            far.settimeout(2)
            far.sendall(data)
            self.answer = far.recv(65536).split(b"\r\n")[0].decode()
        self._done.set()

    def heal(self):
        """Delivers what was held up; returns the status line it got."""
        self._healed.set()
        self._done.wait(5)
        return self.answer

    def close(self):
        self._healed.set()
        self._listener.close()


class Client:
    """A client with one address; each flow has a port of its own."""

    def __init__(self, bed, number=1):
        self.bed = bed
        self.host = f"127.{bed.block}.3.{number}"
        self.ports = iter(range(20000, 60000))
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((self.host, PACKET_PORT))
        self._lock = threading.Lock()
        self._queues = {}
        self._arrived = threading.Condition(self._lock)
        self.is_alive = True
        bed.clients.append(self)
        threading.Thread(target=self._receive, daemon=True).start()

    def close(self):
        self.is_alive = False
        self._socket.close()

    def _receive(self):
        while self.is_alive:
            try:
                data, _ = self._socket.recvfrom(65535)
            except OSError:
                return
            packet = Packet(data)
            with self._arrived:
                self._queues.setdefault(packet.destination[1], []).append(
                    packet
                )
                self._arrived.notify_all()

    def _next(self, port, timeout_s):
        until_s = time.monotonic() + timeout_s
        with self._arrived:
            while True:
                queue = self._queues.get(port)
                if queue:
                    return queue.pop(0)
                left_s = until_s - time.monotonic()
                if left_s <= 0 or not self._arrived.wait(left_s):
                    if not self._queues.get(port):
                        return None

    def open(self, entry, route_port):
        """Opens a flow through an entry; returns it, or why it did not."""
        port = next(self.ports)
        flow = Flow(self, entry, port, (self.bed.service_host, route_port))
        return flow if flow.open() else flow.outcome

    def request(self, entry, route_port, request_id):
        """One request on a flow of its own; returns the outcome."""
        flow = self.open(entry, route_port)
        if isinstance(flow, str):
            outcome = flow
        else:
            outcome = flow.request(request_id)
            flow.close()
        self.bed.record.write(
            f"client request {request_id} through {entry.name} to port "
            f"{route_port}: {outcome}"
        )
        return outcome


class Flow:
    """The client's end of one flow."""

    def __init__(self, client, entry, port, service):
        self.client = client
        self.entry = entry
        self.source = (client.host, port)
        self.service = service
        self.echo = 0
        self.seq = random.randrange(1, 2**31)
        self.ack = 0
        self.outcome = ""
        self.opened_s = None
        self.reset_s = None

    def send(self, flags, data=b"", entry=None):
        packet = make_packet(
            flags, self.echo, self.seq, self.ack, self.source, self.service,
            data,
        )  # fmt: skip
        self.client._socket.sendto(
            packet, ((entry or self.entry).host, PACKET_PORT)
        )

    def _next(self, timeout_s):
        return self.client._next(self.source[1], timeout_s)

    def open(self):
        for copy, wait_s in enumerate((0.2, 0.4, 0.8)):
            self.ack = copy
            self.send(SYN)
            packet = self._next(wait_s)
            if packet is None:
                continue
            if packet.flags & RST:
                self.outcome = "reset"
                return False
            if packet.flags & SYN and packet.is_sound:
                self.echo = packet.echo
                self.ack = (packet.seq + 1) & 0xFFFFFFFF
                self.seq = (self.seq + 1) & 0xFFFFFFFF
                self.opened_s = self.client.bed.record.now_s()
                self.send(ACK)
                return True
        self.outcome = "no answer to SYN"
        return False

    def request(self, request_id, deadline_s=3.0):
        body = (
            f"POST / HTTP/1.1\r\nHost: s\r\nRequest-Id: {request_id}\r\n"
            "Content-Length: 0\r\n\r\n"
        ).encode()
        until_s = time.monotonic() + deadline_s
        wait_s = 0.2
        while time.monotonic() < until_s:
            self.send(ACK, body)
            limit_s = min(until_s, time.monotonic() + wait_s)
            while time.monotonic() < limit_s:
                packet = self._next(max(0.0, limit_s - time.monotonic()))
                if packet is None:
                    break
                if packet.flags & RST:
                    self.reset_s = self.client.bed.record.now_s()
                    return "reset" if packet.sum else "reset by the system"
                if packet.data:
                    self.echo = packet.echo
                    self.seq = (self.seq + len(body)) & 0xFFFFFFFF
                    self.ack = (
                        packet.seq + len(packet.data)
                    ) & 0xFFFFFFFF
                    if request_id not in packet.data.decode():
                        return "foreign answer"
                    return "200"
            wait_s = min(1.6, wait_s * 2)
        return "no answer"

    def close(self):
        self.send(FIN | ACK)


def run(case_folder, play, **options):
    """Plays a case; ends with 1 if its rule broke, 0 if it held, else 2."""
    bed = None
    try:
        bed = Bed(case_folder, **options)
        verdict = play(bed)
        bed.record.write(f"verdict: {verdict or 'the rule held'}")
        print(verdict or "the rule held")
        code = 1 if verdict else 0
    except CannotRun as error:
        print(f"the case could not run: {error}")
        if bed is not None:
            bed.record.write(f"the case could not run: {error}")
        code = 2
    except Exception:
        traceback.print_exc()
        code = 2
    finally:
        if bed is not None:
            bed.close()
    sys.exit(code)
