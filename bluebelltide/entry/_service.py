"""Wires an entry instance: mesh, control links, announcements and fronts."""

import pathlib

import anyio
import anyio.abc
import logbook

from bluebelltide import _clock
from bluebelltide import _codec
from bluebelltide import _exceptions
from bluebelltide import _http
from bluebelltide import _metrics
from bluebelltide import _program
from bluebelltide import _settings
from bluebelltide import admission
from bluebelltide import membership
from bluebelltide.catalogue import _store
from bluebelltide.catalogue import _view
from bluebelltide.control import _service as control_service
from bluebelltide.entry import _announce
from bluebelltide.entry import _flows
from bluebelltide.entry import _fronts
from bluebelltide.entry import _mesh
from bluebelltide.peers import _frames
from bluebelltide.peers import _links

FRONT_TICK_MS = 50
"""How often the timers of the fronts run."""
FULL_APPLY_MS = 500
"""How often leases and ramps of all targets are looked at."""
CATALOGUE_FILE = "catalogue"
"""The file that keeps the last known catalogue."""

_LOG = logbook.Logger("entry")


class EntryService:
    """One running entry instance."""

    def __init__(
        self,
        settings: _settings.Settings,
        metrics: _metrics.Metrics,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Creates the instance; `start` opens its sockets."""
        assert settings.entry is not None
        self.settings = settings
        self.entry = settings.entry
        self.metrics = metrics
        self.view = _view.CatalogueView()
        self.registry = membership.TargetRegistry()
        self._tasks = tasks
        self._control_links: set[_links.Link] = set()
        self._reported: dict[str, int] = {}
        self._is_stopping = False
        self._next_full_ms = 0
        self._has_started = False
        self._started_ms = _clock.now_ms()
        self.mesh = _mesh.Mesh(
            settings,
            self.entry.peer_address,
            self.registry,
            self.view,
            metrics,
            tasks,
        )
        self.fronts = _fronts.FrontController(
            self.view,
            self.registry,
            settings.data_centre,
            self.entry.listen_host,
            metrics,
            tasks,
        )

        self.flows: _flows.FlowController | None = None
        if self.entry.packet is not None:
            self.flows = _flows.FlowController(
                settings,
                self.entry.packet,
                self.mesh,
                self.fronts,
                self.registry,
                metrics,
                tasks,
            )

    async def start(self) -> None:
        """Begins to dial, gossip and accept flows."""
        self._load_catalogue()
        self.mesh.start()
        if self.flows is not None:
            await self.flows.start()
        for address in self.entry.replicas:
            self._tasks.start_soon(
                _links.keep_link,
                address,
                self.settings.tls,
                self.mesh.hello,
                self.metrics,
                self._serve_control,
            )
        self._tasks.start_soon(self._apply_catalogue_forever)
        self._tasks.start_soon(self._tick_forever)

    async def close(self) -> None:
        """Stops gracefully; returns when no flow is left or time is up."""
        self._is_stopping = True
        self.mesh.swim.set_own(False)
        _LOG.info("stopping with {} open flows", self.fronts.open_flows)
        await anyio.sleep(self.entry.unready_before_stop_ms / 1000)
        await self.fronts.stop(self.entry.stop_timeout_ms)
        if self.flows is not None:
            await self.flows.close()
        await self.mesh.flush_targets()
        await self.mesh.close()
        _LOG.info("stopped")

    def is_ready(self) -> bool:
        """Returns whether the fabric may hand this instance new flows."""
        return (
            self._has_started
            and not self._is_stopping
            and not self.view.is_instance_drained(self.settings.name)
            and (self.flows is None or self.flows.may_route())
        )

    def share(self) -> admission.Share:
        """Returns this instance's part of its data centre's limits."""
        names = [member.name for member in self.mesh.swim.live()]
        return admission.Share(names.index(self.settings.name), len(names))

    def status(self) -> dict[str, object]:
        """Returns what `/v1/status` shows."""
        now_ms = _clock.now_ms()
        return {
            "name": self.settings.name,
            "data_centre": self.settings.data_centre,
            "ready": self.is_ready(),
            "members": {
                name: member.status.name.lower()
                for name, member in sorted(self.mesh.swim.members.items())
            },
            "catalogue": {
                key: versioned.version
                for key, versioned in sorted(
                    self.view.versioned_entries.items()
                )
            },
            "open_flows": {
                service: front.open_flows
                for service, front in sorted(self.fronts.fronts.items())
            },
            "targets": [
                {
                    "service": service,
                    "target_id": standing.target.target_id,
                    "address": str(standing.target.address),
                    "state": standing.target.state.value,
                    "accepting": standing.is_accepting,
                    "share": round(standing.share, 2),
                    "outstanding": front.admission.outstanding().get(
                        standing.target.target_id, 0
                    ),
                }
                for service, front in sorted(self.fronts.fronts.items())
                for standing in self.fronts.pool(service, now_ms)
            ],
            "routing": self.flows.status() if self.flows else None,
            "counters": dict(self.metrics.counts),
        }

    async def serve_peer(self, link: _links.Link) -> None:
        """Serves a link that another instance opened."""
        await self.mesh.serve(link)

    async def _serve_control(self, link: _links.Link) -> None:
        self._control_links.add(link)
        try:
            await self._report_in_force(link, dict(self._reported))
            async for message in link.messages():
                if isinstance(message, _frames.Learned):
                    self.mesh.learn(message.entries)
                    self._has_started = True
        finally:
            self._control_links.discard(link)

    async def _report_in_force(
        self, link: _links.Link, versions: dict[str, int]
    ) -> None:
        if versions:
            items = tuple(sorted(versions.items()))
            name = self.settings.name
            await link.send(_frames.InForce(name, items))

    async def _apply_catalogue_forever(self) -> None:
        while True:
            await self.mesh.catalogue_changed.wait()
            self.mesh.catalogue_changed = anyio.Event()
            await self.fronts.apply_catalogue()
            self._apply_targets()
            await self._save_catalogue()
            now = {
                key: v.version for key, v in self.view.versioned_entries.items()
            }
            fresh = {
                key: version
                for key, version in now.items()
                if self._reported.get(key) != version
            }
            self._reported = now
            for link in list(self._control_links):
                await self._report_in_force(link, fresh)

    def _apply_targets(self) -> None:
        self.fronts.apply_targets(self.share(), _clock.now_ms())

    def _apply_changed_targets(self) -> None:
        # Leases and ramps move with time alone, so everything is looked at
        # now and then; a change of a target is applied at once.
        now_ms = _clock.now_ms()
        dirty = self.registry.take_dirty()
        if now_ms >= self._next_full_ms:
            self._next_full_ms = now_ms + FULL_APPLY_MS
            self._apply_targets()
        elif dirty:
            self.fronts.apply_targets(self.share(), now_ms, dirty)
        if self.flows is not None:
            self.flows.note_changed(dirty)

    async def _tick_forever(self) -> None:
        while True:
            await anyio.sleep(FRONT_TICK_MS / 1000)
            self._tick_readiness()
            for target in self.registry.expire(_clock.now_ms()):
                _LOG.info("target {} is gone", target.target_id)
                self.metrics.count("target", "gone")
            self._apply_changed_targets()
            self.fronts.tick()

    def _tick_readiness(self) -> None:
        waited_ms = _clock.now_ms() - self._started_ms
        if self.view.versioned_entries and len(self.mesh.swim.live()) > 1:
            self._has_started = True
        if waited_ms > self.entry.alone_after_ms:
            self._has_started = True
        if self.mesh.swim.own.is_ready != self.is_ready():
            self.mesh.swim.set_own(self.is_ready())
            _LOG.info("ready: {}", self.is_ready())

    def _load_catalogue(self) -> None:
        if self.entry.data_folder is None:
            return
        path = pathlib.Path(self.entry.data_folder) / CATALOGUE_FILE
        if not path.exists():
            return
        try:
            plain = _codec.decode(path.read_bytes(), str(path))
            entries = _codec.from_plain(
                plain, tuple[_view.VersionedEntry, ...], str(path)
            )
        except _exceptions.BluebelltideError as error:
            # The copy only shortens a lonely start; replicas and peers hold
            # the truth, so a damaged copy is not worth refusing to start.
            self.metrics.count("front", error.code)
            _LOG.warning("the kept catalogue is unreadable: {}", error)
            return
        self.mesh.learn(entries)

    async def _save_catalogue(self) -> None:
        if self.entry.data_folder is None:
            return
        folder = pathlib.Path(self.entry.data_folder)
        folder.mkdir(parents=True, exist_ok=True)
        data = _codec.encode(
            [_codec.to_plain(v) for v in self.view.versioned_entries.values()]
        )
        await anyio.to_thread.run_sync(
            _store.write_file_atomically, folder / CATALOGUE_FILE, data
        )


async def serve_entry(settings: _settings.Settings) -> None:
    """Runs the entry role, and the control role if configured.

    Args:
        settings: The settings; `entry` must be present.
    """
    assert settings.entry is not None
    metrics = _metrics.create_metrics(settings.statsd_address, "entry")
    async with anyio.create_task_group() as tasks:
        service = EntryService(settings, metrics, tasks)
        handler = _announce.AnnounceHandler(
            service.registry, service.view, settings.data_centre, metrics
        )
        api = _announce.create_announce_api(
            handler,
            metrics,
            service.is_ready,
            service.status,
            _clock.now_ms,
        )
        async with (
            _links.serve_links(
                settings.entry.peer_address,
                settings.tls,
                service.mesh.hello,
                metrics,
                service.serve_peer,
            ) as peer_address,
            _http.serve_http(
                settings.entry.announce_address, api
            ) as announce_address,
        ):
            await service.start()
            _LOG.info(
                "instance {} ready: peers on {}, targets on {}",
                settings.name,
                peer_address,
                announce_address,
            )
            await _program.wait_for_stop_signal()
            await service.close()
            tasks.cancel_scope.cancel()
    metrics.close()


async def serve_roles(settings: _settings.Settings, create: bool) -> None:
    """Runs every role that the settings hold in one process.

    Args:
        settings: The settings; `entry` must be present.
        create: Whether the operator creates a new catalogue here.
    """
    if settings.control is None:
        await serve_entry(settings)
        return
    async with anyio.create_task_group() as tasks:
        # The control role goes on until the entry role has stopped.
        tasks.start_soon(
            control_service.serve_control,
            settings,
            create,
            anyio.sleep_forever,
        )
        await serve_entry(settings)
        tasks.cancel_scope.cancel()
