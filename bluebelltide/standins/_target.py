"""A stand-in target: announces itself, counts runs, answers, misbehaves.

The request is one line, `GET ID SIZE DELAY_MS` or `POST ID SIZE DELAY_MS`.
The answer is `SERVICE TARGET ID RUNS SIZE`, a line end and SIZE bytes, paced
over DELAY_MS in ten parts. RUNS is how often this target has run that id.
"""

from collections import Counter
import contextlib
import time
from typing import NamedTuple

import anyio
import anyio.abc
import httpx

from bluebelltide import _types

PARTS = 10
"""In how many parts an answer is paced."""
ANNOUNCE_INTERVAL_MS = 500
"""Time between two announcements."""
MAXIMUM_LINE_BYTES = 4096
"""Upper bound of a request line."""


class TargetOptions(NamedTuple):
    """How the stand-in behaves."""

    service: str
    """The service that it plays."""
    target_id: str
    """Its name."""
    address: _types.Address
    """Where it accepts flows."""
    announce_urls: tuple[str, ...]
    """Base addresses of entry instances."""
    key: str
    """The service key."""
    slots: int
    """How many requests it runs at once."""
    sheds: bool
    """Whether it closes connections above its slots at once."""
    lying_load_percent: int | None
    """The load that it reports whatever its real load is."""
    starts_cold: bool
    """Whether it reports itself cold for its first seconds."""


class StandInTarget:
    """One running stand-in target."""

    def __init__(self, options: TargetOptions) -> None:
        """Creates the target; `serve` runs it."""
        self.options = options
        self.run_counts: Counter[str] = Counter()
        self.is_draining = False
        self.open_connections = 0
        self._sequence = 0
        self._generation = time.time_ns() // 1_000_000
        self._started = time.monotonic()

    async def serve(
        self, task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Accepts flows and announces until cancelled."""
        host, port = self.options.address
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=1024
        )
        bound = listener.extra(anyio.abc.SocketAttribute.local_port)
        address = _types.Address(host, bound)
        self.options = self.options._replace(address=address)
        task_status.started(bound)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(self._announce_forever)
            await listener.serve(self._handle, tasks)

    async def _handle(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            if (
                self.options.sheds
                and self.open_connections >= self.options.slots
            ):
                return
            self.open_connections += 1
            try:
                with contextlib.suppress(
                    anyio.BrokenResourceError,
                    anyio.EndOfStream,
                    ValueError,
                ):
                    await self._answer(stream)
            finally:
                self.open_connections -= 1

    async def _answer(self, stream: anyio.abc.SocketStream) -> None:
        line = b""
        while not line.endswith(b"\n") and len(line) < MAXIMUM_LINE_BYTES:
            line += await stream.receive(MAXIMUM_LINE_BYTES)
        _, request_id, size_text, delay_text = line.decode().split()
        size_bytes = int(size_text)
        delay_ms = int(delay_text)
        self.run_counts[request_id] += 1
        head = (
            f"{self.options.service} {self.options.target_id} {request_id} "
            f"{self.run_counts[request_id]} {size_bytes}\n"
        )
        await stream.send(head.encode())
        sent = 0
        for part in range(1, PARTS + 1):
            if delay_ms:
                await anyio.sleep(delay_ms / PARTS / 1000)
            upto = size_bytes * part // PARTS
            if upto > sent:
                await stream.send(b"x" * (upto - sent))
            sent = upto

    def announcement(self) -> dict[str, object]:
        """Returns the body of the next announcement."""
        self._sequence += 1
        state = _types.TargetState.READY
        if self.is_draining:
            state = _types.TargetState.DRAINING
        elif self.options.starts_cold and time.monotonic() - self._started < 10:
            state = _types.TargetState.COLD
        load = min(
            100, self.open_connections * 100 // max(1, self.options.slots)
        )
        if self.options.lying_load_percent is not None:
            load = self.options.lying_load_percent
        return {
            "target_id": self.options.target_id,
            "service": self.options.service,
            "address": str(self.options.address),
            "generation": self._generation,
            "sequence": self._sequence,
            "state": state.value,
            "slots": self.options.slots,
            "connections": self.open_connections,
            "load_percent": load,
        }

    async def _announce_forever(self) -> None:
        headers = {"authorization": f"Bearer {self.options.key}"}
        index = 0
        async with httpx.AsyncClient(
            headers=headers, timeout=2, trust_env=False
        ) as client:
            while self.options.announce_urls:
                urls = self.options.announce_urls
                url = urls[index % len(urls)]
                try:
                    answer = await client.post(
                        f"{url}/v1/announce", json=self.announcement()
                    )
                    if not answer.is_success:
                        index += 1
                except httpx.TransportError:
                    index += 1
                await anyio.sleep(ANNOUNCE_INTERVAL_MS / 1000)
