"""Stand-in operators, who change and read the deployment.

They evacuate data centres. They also make concurrent changes, send invalid
deployments and reuse version numbers.
"""

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
CHANGE_RETRY_S = 0.15
"""Time before a change is sent again, to a replica chosen at random."""
LOST_ANSWER_SHARE = 0.15
"""The share of answers to changes that do not reach the operator."""
FINAL_READ_TIMEOUT_S = 8.0
"""How long the final read is retried."""
FINAL_STATUSES = frozenset({400, 409, 412, 413, 422})
"""HTTP statuses after which a change is not sent again."""


class Operators:
    """Operators who share one sequence of version numbers.

    Attributes:
        on_acknowledgement: Called when a change has been acknowledged.
    """

    def __init__(
        self,
        adapter: _adapter.PlatformAdapter,
        checker: _invariants.InvariantChecker,
        clock: Callable[[], float],
        replicas: Sequence[_types.Address],
        routes: Sequence[_adapter.Route],
        probe_routes: Sequence[_adapter.Route],
        rng: random.Random,
    ) -> None:
        """Creates the operators.

        Args:
            adapter: The platform's formats and addresses.
            checker: Records what they observe.
            clock: Returns the seconds since the start of the traffic.
            replicas: The API addresses of the control replicas.
            routes: The routes that every version has.
            probe_routes: The routes that some versions have.
            rng: Decides what they do.
        """
        self.on_acknowledgement: Callable[[], None] = lambda: None
        self._adapter = adapter
        self._checker = checker
        self._clock = clock
        self._replicas = replicas
        self._routes = routes
        self._probe_routes = probe_routes
        self._rng = rng
        # The first deployment may have the version 0.
        self._version = -1
        self._paused_until_s = 0.0

    def pause_changes(self, duration_s: float) -> None:
        """Prevents new changes for some seconds."""
        self._paused_until_s = max(
            self._paused_until_s, self._clock() + duration_s
        )

    def _next_change(self) -> tuple[int, _adapter.HttpCall]:
        self._version += self._rng.randint(1, 4)
        version = self._version
        present_probe_routes = [
            route for route in self._probe_routes if self._rng.random() < 0.5
        ]
        routes = [*self._routes, *present_probe_routes]
        call = self._adapter.make_change_call(version, routes)
        ports = frozenset(route.port for route in routes)
        self._checker.record_change_sent(
            version, call.body, ports, self._clock()
        )
        return version, call

    async def change_once(self) -> None:
        """Makes one change; sends it until it is acknowledged or refused."""
        version, call = self._next_change()
        await self._send_until_decided(version, call)

    async def _send_until_decided(
        self, version: int, call: _adapter.HttpCall
    ) -> None:
        while True:
            awaits_answer = self._rng.random() >= LOST_ANSWER_SHARE
            answer = await _http.make_call(
                self._rng.choice(self._replicas), call, awaits_answer
            )
            now_s = self._clock()
            if answer is not None and answer.status == 200:
                self._checker.record_change_acknowledged(version, now_s)
                self.on_acknowledgement()
                return
            if answer is not None and answer.status in FINAL_STATUSES:
                self._checker.record_change_refused(
                    version, answer.status, now_s
                )
                return
            await anyio.sleep(CHANGE_RETRY_S)

    async def order_evacuation(
        self, data_centre: str, is_evacuated: bool
    ) -> None:
        """Sends an evacuation order until it is acknowledged."""
        call = self._adapter.make_evacuation_call(data_centre, is_evacuated)
        sent_s = self._clock()
        if not is_evacuated:
            self._checker.record_withdrawal_sent(data_centre)
        while True:
            awaits_answer = self._rng.random() >= LOST_ANSWER_SHARE
            answer = await _http.make_call(
                self._rng.choice(self._replicas), call, awaits_answer
            )
            if answer is not None and answer.status == 200:
                self._checker.record_order_acknowledged(
                    data_centre, is_evacuated, sent_s, self._clock()
                )
                return
            await anyio.sleep(CHANGE_RETRY_S)

    async def make_changes(self, until_s: float) -> None:
        """Makes valid and invalid changes at random times."""
        while self._clock() < until_s:
            action = self._rng.random()
            if self._clock() < self._paused_until_s:
                pass
            elif action < 0.15:
                await self._make_concurrent_changes()
            elif action < 0.25:
                await self._send_invalid_change()
            elif action < 0.35:
                await self._reuse_version()
            else:
                await self.change_once()
            await anyio.sleep(self._rng.expovariate(1 / CHANGE_GAP_S))

    async def _make_concurrent_changes(self) -> None:
        """Makes two changes at once, of which the higher version wins."""
        async with anyio.create_task_group() as changes:
            changes.start_soon(self.change_once)
            changes.start_soon(self.change_once)

    async def _send_invalid_change(self) -> None:
        """Sends a deployment that has a route to an unknown service."""
        routes = [*self._routes, _adapter.Route("bad", 9999, "nowhere")]
        call = self._adapter.make_change_call(self._version + 1, routes)
        address = self._rng.choice(self._replicas)
        answer = await _http.make_call(address, call)
        if answer is not None and answer.status < 300:
            self._checker.record_invalid_change_accepted(self._clock())

    async def _reuse_version(self) -> None:
        """Sends other content under the newest version if it is acknowledged.

        If a replica accepted it, reads would violate `never_reverts`.
        """
        if self._version < 0:
            return
        routes = self._routes[:1]
        call = self._adapter.make_change_call(self._version, routes)
        if (
            self._checker.newest_acknowledged_version(self._clock())
            == self._version
        ):
            address = self._rng.choice(self._replicas)
            await _http.make_call(address, call)

    async def read_repeatedly(self, until_s: float) -> None:
        """Reads the deployment from replicas chosen at random."""
        while self._clock() < until_s:
            await self._read(self._rng.choice(self._replicas))
            await anyio.sleep(READ_GAP_S)

    async def _read(self, address: _types.Address) -> int | None:
        asked_s = self._clock()
        answer = await _http.make_call(address, self._adapter.read_call)
        if answer is None or answer.status != 200:
            return None
        version = self._adapter.decode_version(answer.body)
        self._checker.record_read(version, answer.body, asked_s, self._clock())
        return version

    async def read_final_version(self) -> None:
        """Makes the final read, trying all replicas until one answers."""
        version = None
        deadline_s = self._clock() + FINAL_READ_TIMEOUT_S
        while version is None and self._clock() < deadline_s:
            for address in self._replicas:
                version = await self._read(address)
                if version is not None:
                    break
        self._checker.record_final_read(version, self._clock())
