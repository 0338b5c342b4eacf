"""Keeps one TCP front for each service of the catalogue that uses TCP."""

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
from bluebelltide.catalogue import _entries
from bluebelltide.catalogue import _view
from bluebelltide.fronts import _tcp
from bluebelltide.membership import _registry

ACCEPT_QUIET_MS = 150
"""A stopping instance closes its listeners after this time without new
flows."""
ACCEPT_TIMEOUT_MS = 2000
"""Maximum time for which a stopping instance accepts new flows."""

_LOG = logbook.Logger("entry")


class _Listener:
    """The listener of one address of a service."""

    def __init__(
        self,
        socket_listener: anyio.abc.SocketListener,
        scope: anyio.CancelScope,
    ) -> None:
        self.socket_listener = socket_listener
        self.scope = scope


class FrontController:
    """Keeps the TCP fronts and their listeners as the catalogue demands."""

    def __init__(
        self,
        view: _view.CatalogueView,
        registry: _registry.TargetRegistry,
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
        self._listeners: dict[
            tuple[_types.ServiceName, _types.Address], _Listener
        ] = {}
        self._is_stopping = False

    @property
    def open_flows(self) -> int:
        """The number of open flows of all fronts."""
        return sum(front.open_flow_count for front in self.fronts.values())

    async def apply_catalogue(self) -> None:
        """Updates fronts and listeners to match the catalogue."""
        desired = {
            (entry.service, address)
            for entry in self._view.services_with_front(_entries.Front.TCP)
            for address in entry.addresses
        }
        for key in set(self._listeners) - desired:
            await self._stop_listening(key)
        for entry in self._view.services_with_front(_entries.Front.TCP):
            self._apply_service(entry)
        if not self._is_stopping:
            for key in sorted(desired - set(self._listeners)):
                await self._start_listening(key)

    def _apply_service(self, entry: _entries.ServiceEntry) -> None:
        front = self.fronts.get(entry.service)
        if front is not None:
            front.admission.update_entry(entry)
            return
        seed = xxhash.xxh3_64_intdigest(entry.service.encode())
        controller = admission.create_admission(entry, seed)
        self.fronts[entry.service] = _tcp.TcpFront(controller, self._metrics)

    async def _start_listening(
        self, key: tuple[_types.ServiceName, _types.Address]
    ) -> None:
        service, address = key
        host = self._listen_host or address.host
        try:
            raw_socket = _http.open_listener(_types.Address(host, address.port))
        except _exceptions.BluebelltideError as error:
            self._metrics.count("front", error.code)
            _LOG.warning("service {}: {}", service, error)
            return
        raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        listener = await anyio.abc.SocketListener.from_socket(raw_socket)
        scope = anyio.CancelScope()
        front = self.fronts[service]
        self._listeners[key] = _Listener(listener, scope)

        async def accept() -> None:
            # Closing the listener raises an error in the accepting task. It
            # must not reach the task group of the flows, which would cancel
            # them.
            with scope, contextlib.suppress(anyio.ClosedResourceError):
                await front.serve(listener, self._tasks)

        self._tasks.start_soon(accept)
        _LOG.info("service {} listens on {}:{}", service, host, address.port)

    async def _stop_listening(
        self, key: tuple[_types.ServiceName, _types.Address]
    ) -> None:
        listener = self._listeners.pop(key)
        listener.scope.cancel()
        with contextlib.suppress(OSError):
            await listener.socket_listener.aclose()

    def apply_targets(
        self,
        share: admission.Share,
        now_ms: int,
        services: AbstractSet[_types.ServiceName] | None = None,
    ) -> None:
        """Updates fronts with the current targets and limit share.

        Args:
            share: This instance's share of the limits.
            now_ms: The current time.
            services: The services to update; all if None.
        """
        for service, front in self.fronts.items():
            if services is not None and service not in services:
                continue
            availabilities = self.usable_targets(service, now_ms)
            front.perform(
                front.admission.update_targets(availabilities, share, now_ms)
            )

    def usable_targets(
        self, service: _types.ServiceName, now_ms: int
    ) -> list[_registry.TargetAvailability]:
        """Returns the targets that this instance may use for a service.

        Targets of other data centres may be used only if none in the own data
        centre accepts new flows.
        """
        availabilities = [
            availability._replace(
                is_accepting=availability.is_accepting
                and not self._view.is_target_drained(
                    service, availability.target.target_id
                ),
                is_local=availability.target.data_centre == self._data_centre,
            )
            for availability in self._registry.availabilities(service, now_ms)
        ]
        local = [
            availability
            for availability in availabilities
            if availability.is_local
        ]
        if any(availability.is_accepting for availability in local):
            return local
        return availabilities

    def tick(self) -> None:
        """Runs the timers of all fronts."""
        for front in self.fronts.values():
            front.tick()

    async def _accept_until_quiet(self) -> None:
        # Closing a listener resets connections that the operating system has
        # accepted and this process has not, so they are accepted first.
        with anyio.move_on_after(ACCEPT_TIMEOUT_MS / 1000):
            last_opened_count = -1
            while last_opened_count != self._metrics.counts["flows.opened"]:
                last_opened_count = self._metrics.counts["flows.opened"]
                await anyio.sleep(ACCEPT_QUIET_MS / 1000)

    async def stop(self, timeout_ms: int) -> None:
        """Closes the listeners and waits until all flows have ended.

        Args:
            timeout_ms: How long to wait; flows still open then are aborted.
        """
        self._is_stopping = True
        await self._accept_until_quiet()
        for key in list(self._listeners):
            await self._stop_listening(key)
        with anyio.move_on_after(timeout_ms / 1000):
            while self.open_flows:
                await anyio.sleep(0.02)
        if self.open_flows:
            open_flows = self.open_flows
            self._metrics.count(
                "stop", _codes.AbortCode.STOP_TIMEOUT, open_flows
            )
            _LOG.warning("stop timeout: aborting {} open flows", open_flows)
            for front in self.fronts.values():
                front.abort_all()
