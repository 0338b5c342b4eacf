"""A small deployment of the two programs on loopback, for the scripts here.

It starts the programs with the commands of the deploy file, each with settings
of its own, and offers stand-ins of the platform: clients, servers, the operator
and links between machines. All addresses are loopback addresses. All processes
that it starts are ended by their ids.
"""

import asyncio
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
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
INTERNAL_PORT = 7720
API_PORT = 8166
READY_PORT = 8167
PACKET_PORT = 8172
HEARTBEAT_S = 1.2
SYN, ACK, FIN, RST = 32, 64, 4, 8
HEAD = struct.Struct(">BBIIIHH4s4sHI")
ZONES = ("pos-a", "chag-b", "arima-c", "tuna-d")
SERVICE_HOST = "127.99.0.1"


class Record:
    """The file record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w", buffering=1)
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def __call__(self, *words):
        line = f"{self.now():8.3f} " + " ".join(str(word) for word in words)
        self._file.write(line + "\n")
        print(line, flush=True)


_LOCK = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
"""Holds the network of this script, so that no other script takes it."""


def free_block():
    """Returns a free loopback network, as the first two parts of addresses."""
    for number in random.sample(range(20, 99), 79):
        block = f"127.{number}"
        try:
            _LOCK.bind((f"{block}.250.1", 7799))
        except OSError:
            continue
        return block
    raise OSError("no free loopback network")


class Links:
    """The directed links between machines, by their bound addresses."""

    def __init__(self):
        self.cut = set()
        self.delay_s = {}

    def separate(self, side_a, side_b):
        for a in side_a:
            for b in side_b:
                self.cut |= {(a, b), (b, a)}

    def join_all(self):
        self.cut.clear()


class Proxy(asyncio.DatagramProtocol):
    """Stands before a machine's internal port; a cut link carries nothing.

    Bytes on connections wait while the link is cut, as in a partition.
    """

    def __init__(self, links, listen, bound, port=INTERNAL_PORT):
        self.links, self.listen, self.bound, self.port = links, listen, bound, port
        self.on_bytes = None

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.listen, self.port))
        self.server = await asyncio.start_server(self.serve, self.listen, self.port)

    def datagram_received(self, data, address):
        if (address[0], self.bound) not in self.links.cut:
            self.transport.sendto(data, (self.bound, self.port))

    async def wait(self, a, b):
        delay = self.links.delay_s.get((a, b), 0)
        if delay:
            await asyncio.sleep(delay)
        while (a, b) in self.links.cut:
            await asyncio.sleep(0.02)

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        out = None
        try:
            await self.wait(peer, self.bound)
            back, out = await asyncio.open_connection(self.bound, self.port)

            async def pump(source, sink, a, b):
                while data := await source.read(65536):
                    if self.on_bytes:
                        self.on_bytes(a, b, data)
                    await self.wait(a, b)
                    sink.write(data)
                    await sink.drain()
                sink.close()

            await asyncio.gather(pump(reader, out, peer, self.bound), pump(back, writer, self.bound, peer))
        except OSError:
            pass
        finally:
            for one in (writer, out):
                if one is not None:
                    one.close()


class Machine:
    """One process of the system, with its settings and its data folder."""

    def __init__(self, deployment, name, program, zone, number):
        self.deployment, self.name, self.program, self.zone = deployment, name, program, zone
        part = 1 if program == "control" else 2
        self.bound = f"{deployment.block}.{part}.{number}"
        self.ip = f"{deployment.block}.{part + 4}.{number}"
        self.data = deployment.folder / f"{name}.data"
        self.settings = deployment.folder / f"{name}.toml"
        self.log = deployment.folder / f"{name}.log"
        self.process = None

    def write_settings(self, seeds, bootstrap):
        bind = {"internal": f"{self.bound}:{INTERNAL_PORT}"}
        if self.program == "control":
            bind["control"] = f"{self.bound}:{API_PORT}"
        else:
            bind["datagramAddr"] = f"{self.bound}:{PACKET_PORT}"
            bind["ready"] = f"{self.bound}:{READY_PORT}"
        fields = {
            "nodeName": self.name,
            "role": self.program,
            "ip": self.ip,
            "zone": self.zone,
            "region": "tt-north",
            "internalPortRange": [INTERNAL_PORT, INTERNAL_PORT + 15],
            "seeds": [f"{seed.ip}:{API_PORT}" for seed in seeds],
            "bootstrap": bootstrap,
            "discovery": "registration",
            "entry": "announce",
            "heartbeatMs": 1200,
            "contracts": self.deployment.contracts,
            "config_mode": "highest",
            "hash": "mod",
            "forwardingMode": "echo",
        }
        if self.program == "control":
            fields["dataDir"] = str(self.data)
        lines = [f"{name} = {json.dumps(value)}" for name, value in fields.items()]
        lines += ["[zones]"] + [f'{zone} = "tt-north"' for zone in ZONES]
        lines += ["[faultTolerance]", "machines = 1", "zones = 1", "regions = 0"]
        lines += ["[bindAddresses]"] + [f"{name} = {json.dumps(text)}" for name, text in bind.items()]
        self.settings.write_text("\n".join(lines) + "\n")

    def start(self):
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BLUEBELLTIDE_SETTINGS": str(self.settings),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", f"platform/{self.program}.py"],
                cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            )

    async def wait_until_it_listens(self):
        port = API_PORT if self.program == "control" else READY_PORT
        for _ in range(200):
            try:
                _, writer = await asyncio.open_connection(self.bound, port)
                writer.close()
                return
            except OSError:
                await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} does not listen")

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def wipe(self):
        shutil.rmtree(self.data, ignore_errors=True)


class Deployment:
    """Control replicas and entry instances; use as a context manager."""

    def __init__(self, cores=4, entries=4, seeds=3, contracts=("base", "drain", "config", "cost", "recover", "flows")):
        self.block = free_block()
        self.contracts = list(contracts)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.links = Links()
        self.cores = [Machine(self, f"core-{i}", "control", ZONES[(i - 1) % 4], i) for i in range(1, cores + 1)]
        self.entries = [Machine(self, f"entry-{i}", "entry", ZONES[(i - 1) % 4], i) for i in range(1, entries + 1)]
        self.seeds = self.cores[:seeds]
        self.proxies = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for machine in self.cores + self.entries:
            machine.kill()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def start(self):
        for machine in self.cores + self.entries:
            proxy = Proxy(self.links, machine.ip, machine.bound)
            await proxy.start()
            self.proxies[machine.name] = proxy
            machine.write_settings(self.seeds, True)
            machine.start()
        for machine in self.cores + self.entries:
            await machine.wait_until_it_listens()
            machine.write_settings(self.seeds, False)


async def http(host, method, path, body=b"", timeout_s=1.0, port=API_PORT, source=None):
    """Sends one request; returns (status, body), or (0, reason) without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port, local_addr=(source, 0) if source else None)
            head = f"{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split()[1])
            length = 0
            for line in head.lower().split(b"\r\n"):
                if line.startswith(b"content-length:"):
                    length = int(line.partition(b":")[2])
            return status, await reader.readexactly(length)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        return 0, type(error).__name__.encode()
    finally:
        if writer is not None:
            writer.close()


def route(name, port, service, kind="unsafe", timeout_ms=3000):
    return {"name": name, "host": SERVICE_HOST, "pathPrefix": f"/{port}/", "type": kind, "timeoutMs": timeout_ms,
            "targetLatencyMs": 300, "priority": 1, "service": service, "maxAttempts": 2}


def configuration(version, routes, services=("reminder", "statement")):
    return json.dumps({
        "version": version, "routes": routes,
        "services": [{"name": name, "healthCheckPath": "/health", "maxFlows": 2000, "protocol": "h1", "tls": False} for name in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }).encode()


def pack(flags, echo, seq, ack, source, dest, data=b""):
    return HEAD.pack(flags, 0, echo, seq, ack, len(data), source[1], socket.inet_aton(source[0]),
                     socket.inet_aton(dest[0]), dest[1], 0) + data


def unpack(data):
    flags, _, echo, seq, ack, _, sport, src, dst, dport, _ = HEAD.unpack_from(data)
    return flags, echo, seq, ack, (socket.inet_ntoa(src), sport), (socket.inet_ntoa(dst), dport), data[HEAD.size:]


class Server(asyncio.DatagramProtocol):
    """A server: announces itself, takes flows meant for it, answers requests."""

    def __init__(self, record, number, service, address, zone, cores, ident=None, born=None):
        self.record, self.service, self.address, self.zone = record, service, address, zone
        self.id = ident or f"i-{number:08x}"
        self.number = int(self.id.rpartition("-")[2], 16)
        self.cores, self.state, self.sequence = cores, "ready", 0
        self.born = born or int(time.time() * 1000)
        self.flows, self.ran, self.arrivals, self.task, self.turn = {}, [], [], None, random.randrange(99)

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.address)
        self.task = asyncio.create_task(self.announce_forever())

    def body(self, **other):
        self.sequence += 1
        return json.dumps({"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone, "version": "v1",
                           "capacity": 3, "state": self.state, "rampRemainingMs": 0, "sequence": self.sequence,
                           "born": self.born, **other}).encode()

    async def announce(self, core=None):
        """Calls one replica after the other until one acknowledges."""
        for _ in range(len(self.cores)):
            at = core or self.cores[self.turn % len(self.cores)]
            status, _ = await http(at.bound, "PUT", f"/instances/{self.id}", self.body())
            if status // 100 == 2:
                return at
            self.turn += 1
        return None

    async def announce_forever(self):
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.9, 1.1))

    def stop(self):
        if self.task:
            self.task.cancel()
        self.transport.close()

    def datagram_received(self, data, sender):
        intended = int.from_bytes(data[:8], "big")
        if intended not in (0, self.number):
            return
        flags, echo, seq, ack, source, dest, payload = unpack(data[8:])
        key = (source, dest)
        self.arrivals.append((time.monotonic(), flags, key, sender))
        client = (source[0], PACKET_PORT)
        if flags & SYN:
            flow = self.flows.setdefault(key, {"seq": random.getrandbits(31), "done": False})
            self.transport.sendto(pack(SYN | ACK, echo, flow["seq"], seq + 1, dest, source), client)
            return
        flow = self.flows.get(key)
        if flow is None:
            self.transport.sendto(pack(RST, echo, ack, 0, dest, source), client)
        elif payload and not flags & FIN:
            text = payload.decode("latin-1")
            if not flow["done"]:
                flow["done"] = True
                self.ran.append(text)
            answer = f"HTTP/1.1 200 OK\r\nServer: {self.id}\r\nContent-Length: 2\r\n\r\nok".encode()
            self.transport.sendto(pack(ACK, echo, flow["seq"] + 1, seq + len(payload), dest, source, answer), client)


class Client(asyncio.DatagramProtocol):
    """A client machine; opens one flow for each request."""

    def __init__(self, record, host):
        self.record, self.host, self.waiting, self.port = record, host, {}, 20000

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.host, PACKET_PORT))

    def datagram_received(self, data, sender):
        flags, echo, seq, ack, source, dest, payload = unpack(data)
        queue = self.waiting.get((dest[1], source[1]))
        if queue is not None:
            queue.put_nowait((flags, echo, seq, payload))

    async def request(self, entry, port, number):
        """Returns what became of one attempt through one entry: the server's id, 'reset' or 'none'."""
        self.port += 1
        source, dest = (self.host, self.port), (SERVICE_HOST, port)
        queue = self.waiting[(self.port, port)] = asyncio.Queue()
        to = (entry.bound, PACKET_PORT)
        seq = random.getrandbits(31)
        try:
            answer = None
            for copy, wait_s in enumerate((0.2, 0.4, 0.8)):
                self.transport.sendto(pack(SYN, 0, seq, copy, source, dest), to)
                try:
                    answer = await asyncio.wait_for(queue.get(), wait_s)
                    break
                except asyncio.TimeoutError:
                    continue
            if answer is None:
                return "none"
            if answer[0] & RST:
                return "reset"
            echo, host_seq = answer[1], answer[2]
            text = f"POST / HTTP/1.1\r\nHost: x\r\nRequest-Id: {number}\r\nContent-Length: 0\r\n\r\n".encode()
            for _ in range(5):
                self.transport.sendto(pack(ACK, echo, seq + 1, host_seq + 1, source, dest, text), to)
                try:
                    flags, echo, _, payload = await asyncio.wait_for(queue.get(), 0.3)
                except asyncio.TimeoutError:
                    continue
                if flags & RST:
                    return "reset while open"
                if payload:
                    self.transport.sendto(pack(FIN | ACK, echo, seq + 1 + len(text), 0, source, dest), to)
                    return payload.split(b"Server: ")[1].split(b"\r\n")[0].decode()
            return "none while open"
        finally:
            self.waiting.pop((self.port, port), None)


def settle(folder, run):
    """Runs a case: run(record, with_trouble) returns what broke, '' if the rule held.

    Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
    """
    record = Record(folder)
    # A stopped script ends its processes, too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def bounded():
        async with asyncio.timeout(115):
            return await run(record, trouble)

    try:
        broken = asyncio.run(bounded())
    except (Exception, KeyboardInterrupt) as error:  # the case could not run
        record("could not run:", repr(error))
        sys.exit(2)
    record("broken: " + broken if broken else "held")
    sys.exit(1 if broken else 0)
