"""Stand-in operators: they change, race, repeat and read the deployment."""

from collections.abc import Callable, Sequence
import random

import anyio

from bluebelltide import _types
from bluebelltide.soak import _adapter
from bluebelltide.soak import _http
from bluebelltide.soak import _invariants

CHANGE_GAP_S = 1.2
"""The mean time between two changes."""
READ_GAP_S = 0.4
"""Time between two reads."""
RETRY_S = 0.15
"""Time before a change is sent to the next replica."""
LOST_ANSWERS = 0.15
"""The share of answers that get lost on their way to the operator."""
FINAL_READ_S = 8.0
"""How long the operator asks for the last read."""
FINAL_STATUSES = frozenset({400, 409, 412, 413, 422})
"""Statuses that end a change at once."""


class Operators:
    """Two operators who share the numbering of versions."""

    def __init__(
        self,
        wire: _adapter.PlatformAdapter,
        ledger: _invariants.InvariantChecker,
        clock: Callable[[], float],
        replicas: Sequence[_types.Address],
        routes: Sequence[_adapter.Route],
        probe_routes: Sequence[_adapter.Route],
        draw: random.Random,
    ) -> None:
        """Creates the operators.

        Args:
            wire: The fabric's words.
            ledger: Takes what they see.
            clock: Returns the seconds since the start of the traffic.
            replicas: Where control replicas may be called.
            routes: Routes of every version.
            probe_routes: Routes that come and go.
            draw: Decides what they do.
        """
        self.on_acknowledged: Callable[[], None] = lambda: None
        self._wire = wire
        self._ledger = ledger
        self._clock = clock
        self._replicas = replicas
        self._routes = routes
        self._probe_routes = probe_routes
        self._draw = draw
        self._version = 0
        self._held_until_s = 0.0

    def hold_changes(self, for_s: float) -> None:
        """Begins no change for some seconds."""
        self._held_until_s = max(self._held_until_s, self._clock() + for_s)

    def _next_change(self) -> tuple[int, _adapter.HttpCall]:
        self._version += self._draw.randint(1, 4)
        version = self._version
        extra = [
            route for route in self._probe_routes if self._draw.random() < 0.5
        ]
        routes = [*self._routes, *extra]
        call = self._wire.make_change_call(version, routes)
        ports = frozenset(route.port for route in routes)
        self._ledger.change_sent(version, call.body, ports, self._clock())
        return version, call

    async def change_once(self) -> None:
        """Makes one change and sends it until it is acknowledged."""
        version, call = self._next_change()
        await self._send(version, call)

    async def _send(self, version: int, call: _adapter.HttpCall) -> None:
        while True:
            is_heard = self._draw.random() >= LOST_ANSWERS
            answer = await _http.make_call(
                self._draw.choice(self._replicas), call, is_heard
            )
            now_s = self._clock()
            if answer is not None and answer.status == 200:
                self._ledger.change_acknowledged(version, now_s)
                self.on_acknowledged()
                return
            if answer is not None and answer.status in FINAL_STATUSES:
                self._ledger.change_refused(version, answer.status, now_s)
                return
            await anyio.sleep(RETRY_S)

    async def keep_changing(self, until_s: float) -> None:
        """Changes, repeats and spoils deployments."""
        while self._clock() < until_s:
            action = self._draw.random()
            if self._clock() < self._held_until_s:
                pass
            elif action < 0.15:
                await self._race()
            elif action < 0.25:
                await self._spoil()
            elif action < 0.35:
                await self._repeat()
            else:
                await self.change_once()
            await anyio.sleep(self._draw.expovariate(1 / CHANGE_GAP_S))

    async def _race(self) -> None:
        """Two operators change at the same time; the higher version wins."""
        async with anyio.create_task_group() as both:
            both.start_soon(self.change_once)
            both.start_soon(self.change_once)

    async def _spoil(self) -> None:
        """Sends a deployment whose route names an unknown service."""
        routes = [*self._routes, _adapter.Route("bad", 9999, "nowhere")]
        call = self._wire.make_change_call(self._version + 1, routes)
        address = self._draw.choice(self._replicas)
        answer = await _http.make_call(address, call)
        if answer is not None and answer.status < 300:
            self._ledger.invalid_change_accepted(self._clock())

    async def _repeat(self) -> None:
        """Sends other content under a version that may be in force."""
        if not self._version:
            return
        routes = self._routes[:1]
        call = self._wire.make_change_call(self._version, routes)
        if self._ledger.newest_acknowledged(self._clock()) == self._version:
            address = self._draw.choice(self._replicas)
            await _http.make_call(address, call)

    async def keep_reading(self, until_s: float) -> None:
        """Reads the deployment at random replicas."""
        while self._clock() < until_s:
            await self._read(self._draw.choice(self._replicas))
            await anyio.sleep(READ_GAP_S)

    async def _read(self, address: _types.Address) -> int | None:
        asked_s = self._clock()
        answer = await _http.make_call(address, self._wire.read_call)
        if answer is None or answer.status != 200:
            return None
        version = self._wire.decode_version(answer.body)
        self._ledger.version_read(version, answer.body, asked_s, self._clock())
        return version

    async def read_at_end(self) -> None:
        """Reads for the last time, at every replica until one answers."""
        version = None
        ends_s = self._clock() + FINAL_READ_S
        while version is None and self._clock() < ends_s:
            for address in self._replicas:
                version = await self._read(address)
                if version is not None:
                    break
        self._ledger.read_at_end(version, self._clock())
