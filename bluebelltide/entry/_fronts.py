"""Keeps one TCP front for each service of the catalogue."""

from collections.abc import Set as AbstractSet
import contextlib
import socket

import anyio
import anyio.abc
import logbook
import xxhash

from bluebelltide import _codes
from bluebelltide import _exceptions
from bluebelltide import _http
from bluebelltide import _metrics
from bluebelltide import _types
from bluebelltide import admission
from bluebelltide import catalogue
from bluebelltide import membership
from bluebelltide.catalogue import _view
from bluebelltide.fronts import _tcp

ACCEPT_QUIET_MS = 150
"""A stopping front closes its listeners after this time without new flows."""
ACCEPT_LIMIT_MS = 2000
"""How long a stopping front accepts at most."""

_LOG = logbook.Logger("entry")


class _Listening:
    """One service address that this instance listens on."""

    def __init__(
        self, listener: anyio.abc.SocketListener, scope: anyio.CancelScope
    ) -> None:
        self.listener = listener
        self.scope = scope


class FrontController:
    """Opens and closes fronts as the catalogue changes."""

    def __init__(
        self,
        view: _view.CatalogueView,
        registry: membership.TargetRegistry,
        data_centre: str,
        listen_host: str | None,
        metrics: _metrics.Metrics,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Creates the controller without fronts."""
        self.fronts: dict[_types.ServiceName, _tcp.TcpFront] = {}
        self._view = view
        self._registry = registry
        self._data_centre = data_centre
        self._listen_host = listen_host
        self._metrics = metrics
        self._tasks = tasks
        self._listening: dict[
            tuple[_types.ServiceName, _types.Address], _Listening
        ] = {}
        self._is_stopping = False

    @property
    def open_flows(self) -> int:
        """How many flows are open."""
        return sum(front.open_flows for front in self.fronts.values())

    async def apply_catalogue(self) -> None:
        """Brings the fronts in line with the catalogue."""
        wanted = {
            (entry.service, address)
            for entry in self._view.services_with(catalogue.Front.TCP)
            for address in entry.addresses
        }
        for key in set(self._listening) - wanted:
            await self._close_listener(key)
        for entry in self._view.services_with(catalogue.Front.TCP):
            self._apply_service(entry)
        if not self._is_stopping:
            for key in sorted(wanted - set(self._listening)):
                await self._open_listener(key)

    def _apply_service(self, entry: catalogue.ServiceEntry) -> None:
        front = self.fronts.get(entry.service)
        if front is not None:
            front.admission.update_entry(entry)
            return
        seed = xxhash.xxh3_64_intdigest(entry.service.encode())
        controller = admission.create_admission(entry, seed)
        self.fronts[entry.service] = _tcp.TcpFront(controller, self._metrics)

    async def _open_listener(
        self, key: tuple[_types.ServiceName, _types.Address]
    ) -> None:
        service, address = key
        host = self._listen_host or address.host
        try:
            raw = _http.open_listener(_types.Address(host, address.port))
        except _exceptions.BluebelltideError as error:
            self._metrics.count("front", error.code)
            _LOG.warning("service {}: {}", service, error)
            return
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        listener = await anyio.abc.SocketListener.from_socket(raw)
        scope = anyio.CancelScope()
        front = self.fronts[service]
        self._listening[key] = _Listening(listener, scope)

        async def accept() -> None:
            # Closing the listener wakes the accepting task with an error
            # that must not reach the flows' task group: it would cut them.
            with scope, contextlib.suppress(anyio.ClosedResourceError):
                await front.serve(listener, self._tasks)

        self._tasks.start_soon(accept)
        _LOG.info("service {} listens on {}:{}", service, host, address.port)

    async def _close_listener(
        self, key: tuple[_types.ServiceName, _types.Address]
    ) -> None:
        listening = self._listening.pop(key)
        listening.scope.cancel()
        with contextlib.suppress(OSError):
            await listening.listener.aclose()

    def apply_targets(
        self,
        share: admission.Share,
        now_ms: int,
        services: AbstractSet[_types.ServiceName] | None = None,
    ) -> None:
        """Hands the present targets and share to fronts.

        Args:
            share: This instance's part of the limits.
            now_ms: The present time.
            services: The services to update; all if absent.
        """
        for service, front in self.fronts.items():
            if services is not None and service not in services:
                continue
            standings = self.pool(service, now_ms)
            front.perform(
                front.admission.update_targets(standings, share, now_ms)
            )

    def pool(
        self, service: _types.ServiceName, now_ms: int
    ) -> list[membership.Standing]:
        """Returns the targets that this instance may use for a service.

        The targets of the own data centre come first; others are used only
        when none here accepts new work.
        """
        standings = [
            standing._replace(
                is_accepting=standing.is_accepting
                and not self._view.is_target_drained(
                    service, standing.target.target_id
                ),
                is_local=standing.target.data_centre == self._data_centre,
            )
            for standing in self._registry.standings(service, now_ms)
        ]
        local = [standing for standing in standings if standing.is_local]
        if any(standing.is_accepting for standing in local):
            return local
        return standings

    def tick(self) -> None:
        """Runs the timers of all fronts."""
        for front in self.fronts.values():
            front.tick()

    async def _accept_until_quiet(self) -> None:
        # Closing a listener resets connections that the system has accepted
        # and this process has not, so they are taken in first.
        with anyio.move_on_after(ACCEPT_LIMIT_MS / 1000):
            seen = -1
            while seen != self._metrics.counts["flows.opened"]:
                seen = self._metrics.counts["flows.opened"]
                await anyio.sleep(ACCEPT_QUIET_MS / 1000)

    async def stop(self, timeout_ms: int) -> None:
        """Closes the listeners and waits until the flows have ended.

        Args:
            timeout_ms: The upper bound; flows that outlive it are aborted.
        """
        self._is_stopping = True
        await self._accept_until_quiet()
        for key in list(self._listening):
            await self._close_listener(key)
        with anyio.move_on_after(timeout_ms / 1000):
            while self.open_flows:
                await anyio.sleep(0.02)
        if self.open_flows:
            count = self.open_flows
            self._metrics.count("stop", _codes.AbortCode.STOP_TIMEOUT, count)
            _LOG.warning("{} flows outlived the stop's bound", count)
            for front in self.fronts.values():
                front.abort_all()
