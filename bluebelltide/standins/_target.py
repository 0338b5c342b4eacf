"""A stand-in target that can also shed load or report a false state.

It announces itself, answers requests and counts how often it ran each. A
request is one line, `GET ID SIZE DELAY_MS` or `POST ID SIZE DELAY_MS`. The
answer is the line `SERVICE TARGET ID RUNS SIZE`, followed by SIZE bytes that
are sent in ten parts over DELAY_MS. RUNS says how often this target has run
the request ID.
"""

from collections import Counter
import contextlib
import time
from typing import NamedTuple

import anyio
import anyio.abc
import httpx

from bluebelltide import _types

ANSWER_PARTS = 10
"""The number of parts in which an answer is sent."""
ANNOUNCE_INTERVAL_MS = 500
"""Time between two announcements."""
MAXIMUM_LINE_BYTES = 4096
"""The length at which the target stops reading a request line."""


class TargetOptions(NamedTuple):
    """The options of a stand-in target."""

    service: str
    """Its service."""
    target_id: str
    """Its id."""
    address: _types.Address
    """The address at which it accepts connections."""
    announce_urls: tuple[str, ...]
    """Base URLs of the entry instances that it announces itself to."""
    key: str
    """The service key."""
    slots: int
    """How many requests it announces that it can run at once."""
    sheds: bool
    """Whether it closes connections beyond its slots immediately."""
    lying_load_percent: int | None
    """The load to report instead of the real load; None for the real one."""
    starts_cold: bool
    """Whether it reports the state cold for its first 10 seconds."""


class StandInTarget:
    """A running stand-in target.

    Attributes:
        options: The options.
        run_counts: How often it ran each request, by request id.
        is_draining: Whether it announces that it is draining.
        open_connections: How many connections it is serving.
    """

    def __init__(self, options: TargetOptions) -> None:
        """Creates the target; `serve` runs it."""
        self.options = options
        self.run_counts: Counter[str] = Counter()
        self.is_draining = False
        self.open_connections = 0
        self._sequence = 0
        self._generation = time.time_ns() // 1_000_000
        self._started_s = time.monotonic()

    async def serve(
        self, task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Accepts connections and announces the target until cancelled."""
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
        request_line = b""
        while (
            not request_line.endswith(b"\n")
            and len(request_line) < MAXIMUM_LINE_BYTES
        ):
            request_line += await stream.receive(MAXIMUM_LINE_BYTES)
        _, request_id, size_text, delay_text = request_line.decode().split()
        size_bytes = int(size_text)
        delay_ms = int(delay_text)
        self.run_counts[request_id] += 1
        answer_line = (
            f"{self.options.service} {self.options.target_id} {request_id} "
            f"{self.run_counts[request_id]} {size_bytes}\n"
        )
        await stream.send(answer_line.encode())
        sent_bytes = 0
        for part in range(1, ANSWER_PARTS + 1):
            if delay_ms:
                await anyio.sleep(delay_ms / ANSWER_PARTS / 1000)
            end_byte = size_bytes * part // ANSWER_PARTS
            if end_byte > sent_bytes:
                await stream.send(b"x" * (end_byte - sent_bytes))
            sent_bytes = end_byte

    def announcement(self) -> dict[str, object]:
        """Returns the body of the next announcement."""
        self._sequence += 1
        state = _types.TargetState.READY
        if self.is_draining:
            state = _types.TargetState.DRAINING
        elif (
            self.options.starts_cold and time.monotonic() - self._started_s < 10
        ):
            state = _types.TargetState.COLD
        load_percent = min(
            100, self.open_connections * 100 // max(1, self.options.slots)
        )
        if self.options.lying_load_percent is not None:
            load_percent = self.options.lying_load_percent
        return {
            "target_id": self.options.target_id,
            "service": self.options.service,
            "address": str(self.options.address),
            "generation": self._generation,
            "sequence": self._sequence,
            "state": state.value,
            "slots": self.options.slots,
            "connections": self.open_connections,
            "load_percent": load_percent,
        }

    async def _announce_forever(self) -> None:
        headers = {"authorization": f"Bearer {self.options.key}"}
        url_index = 0
        async with httpx.AsyncClient(
            headers=headers, timeout=2, trust_env=False
        ) as client:
            while self.options.announce_urls:
                urls = self.options.announce_urls
                url = urls[url_index % len(urls)]
                try:
                    answer = await client.post(
                        f"{url}/v1/announce", json=self.announcement()
                    )
                    if not answer.is_success:
                        url_index += 1
                except httpx.TransportError:
                    url_index += 1
                await anyio.sleep(ANNOUNCE_INTERVAL_MS / 1000)
