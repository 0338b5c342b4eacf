"""The entry instance: mesh, control links, announcements and fronts."""

import pathlib

import anyio
import anyio.abc
import logbook

from bluebelltide import _clock
from bluebelltide import _codec
from bluebelltide import _exceptions
from bluebelltide import _guard
from bluebelltide import _http
from bluebelltide import _metrics
from bluebelltide import _program
from bluebelltide import _settings
from bluebelltide import admission
from bluebelltide.catalogue import _store
from bluebelltide.catalogue import _view
from bluebelltide.control import _service as control_service
from bluebelltide.entry import _announce
from bluebelltide.entry import _flows
from bluebelltide.entry import _fronts
from bluebelltide.entry import _mesh
from bluebelltide.membership import _registry
from bluebelltide.peers import _frames
from bluebelltide.peers import _links

FRONT_TICK_MS = 50
"""Time between two runs of the timers of the fronts."""
FULL_UPDATE_INTERVAL_MS = 500
"""Time between two updates of the leases and ramps of all targets."""
CATALOGUE_FILE = "catalogue"
"""The file in the data folder that holds the last known catalogue."""

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
        self.entry_settings = settings.entry
        self.metrics = metrics
        self.view = _view.CatalogueView()
        self.registry = _registry.TargetRegistry()
        self._tasks = tasks
        self._control_links: set[_links.Link] = set()
        self._reported_versions: dict[str, int] = {}
        self._is_stopping = False
        self._next_full_update_ms = 0
        self._started_ms = _clock.now_ms()
        self.mesh = _mesh.Mesh(
            settings,
            self.entry_settings.peer_address,
            self.registry,
            self.view,
            metrics,
            tasks,
        )
        self.front_controller = _fronts.FrontController(
            self.view,
            self.registry,
            settings.data_centre,
            self.entry_settings.listen_host,
            metrics,
            tasks,
        )

        self.flow_controller: _flows.FlowController | None = None
        if self.entry_settings.packet is not None:
            self.flow_controller = _flows.FlowController(
                settings,
                self.entry_settings.packet,
                self.mesh,
                self.front_controller,
                self.registry,
                metrics,
                tasks,
            )

    async def start(self) -> None:
        """Opens links to peers and replicas and starts to accept flows."""
        self._load_catalogue()
        self.mesh.start()
        if self.flow_controller is not None:
            await self.flow_controller.start()
        for address in self.entry_settings.replicas:
            self._tasks.start_soon(
                _links.maintain_link,
                address,
                self.settings.tls,
                self.mesh.hello,
                self.metrics,
                self._serve_control_link,
            )
        _guard.start_forever(
            self._tasks, "applying the catalogue", self._apply_catalogue_forever
        )
        _guard.start_forever(
            self._tasks, "a tick of the instance", self._tick_forever
        )

    async def close(self) -> None:
        """Stops gracefully; returns when all flows ended or on a timeout."""
        self._is_stopping = True
        self.mesh.swim.update_own_member(False)
        _LOG.info(
            "stopping with {} open flows", self.front_controller.open_flows
        )
        await anyio.sleep(self.entry_settings.unready_before_stop_ms / 1000)
        await self.front_controller.stop(self.entry_settings.stop_timeout_ms)
        if self.flow_controller is not None:
            await self.flow_controller.close()
        await self.mesh.send_target_updates()
        await self.mesh.close()
        _LOG.info("stopped")

    def is_ready(self) -> bool:
        """Returns whether the fabric may send new flows to this instance."""
        return (
            self.is_initialised()
            and not self._is_stopping
            and not self.view.is_instance_drained(self.settings.name)
            and (
                self.flow_controller is None or self.flow_controller.may_route()
            )
        )

    def is_initialised(self) -> bool:
        """Returns whether the catalogue is current, as far as can be known.

        The saved catalogue of an earlier run may hold keys that have been
        withdrawn since. It counts only after a replica or a peer has confirmed
        or replaced it, or if none is found in time.
        """
        return self.mesh.is_catalogue_confirmed

    def limit_share(self) -> admission.Share:
        """Returns this instance's share of the limits of its data centre."""
        names = [member.name for member in self.mesh.swim.live_members()]
        return admission.Share(names.index(self.settings.name), len(names))

    def status(self) -> dict[str, object]:
        """Returns the body of `/v1/status`."""
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
                service: front.open_flow_count
                for service, front in sorted(
                    self.front_controller.fronts.items()
                )
            },
            "targets": [
                {
                    "service": service,
                    "target_id": availability.target.target_id,
                    "address": str(availability.target.address),
                    "state": availability.target.state.value,
                    "accepting": availability.is_accepting,
                    "share": round(availability.share, 2),
                    "outstanding": front.admission.outstanding().get(
                        availability.target.target_id, 0
                    ),
                }
                for service, front in sorted(
                    self.front_controller.fronts.items()
                )
                for availability in self.front_controller.usable_targets(
                    service, now_ms
                )
            ],
            "routing": self.flow_controller.status()
            if self.flow_controller
            else None,
            "counters": dict(self.metrics.counts),
        }

    async def serve_peer_link(self, link: _links.Link) -> None:
        """Handles the messages of a link that another instance opened."""
        await self.mesh.serve_link(link)

    async def _serve_control_link(self, link: _links.Link) -> None:
        self._control_links.add(link)
        try:
            await self._report_versions(link, dict(self._reported_versions))
            async for message in link.messages():
                if isinstance(message, _frames.Learned):
                    self.mesh.merge_catalogue(message.entries)
                    self.mesh.is_catalogue_confirmed = True
        finally:
            self._control_links.discard(link)

    async def _report_versions(
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
            with _guard.log_errors("applying the catalogue"):
                await self.front_controller.apply_catalogue()
                self._update_all_targets()
                await self._save_catalogue()
                await self._report_changed_versions()

    async def _report_changed_versions(self) -> None:
        """Reports to the replicas which entries have come into force."""
        versions = {
            key: v.version for key, v in self.view.versioned_entries.items()
        }
        changed_versions = {
            key: version
            for key, version in versions.items()
            if self._reported_versions.get(key) != version
        }
        self._reported_versions = versions
        for link in list(self._control_links):
            await self._report_versions(link, changed_versions)

    def _update_all_targets(self) -> None:
        self.front_controller.apply_targets(self.limit_share(), _clock.now_ms())

    def _update_changed_targets(self) -> None:
        # Leases and ramps change with time alone, so all targets are updated
        # at intervals; a change of a target is applied at once.
        now_ms = _clock.now_ms()
        changed_services = self.registry.take_changed_services()
        if now_ms >= self._next_full_update_ms:
            self._next_full_update_ms = now_ms + FULL_UPDATE_INTERVAL_MS
            self._update_all_targets()
        elif changed_services:
            self.front_controller.apply_targets(
                self.limit_share(), now_ms, changed_services
            )
        if self.flow_controller is not None:
            self.flow_controller.invalidate_target_weights(changed_services)

    async def _tick_forever(self) -> None:
        while True:
            await anyio.sleep(FRONT_TICK_MS / 1000)
            with _guard.log_errors("a tick of the instance"):
                self._update_readiness()
                for target in self.registry.remove_expired(_clock.now_ms()):
                    _LOG.info("target {} expired", target.target_id)
                    self.metrics.count("target", "gone")
                self._update_changed_targets()
                self.front_controller.tick()

    def _update_readiness(self) -> None:
        waited_ms = _clock.now_ms() - self._started_ms
        if waited_ms > self.entry_settings.alone_after_ms:
            self.mesh.is_catalogue_confirmed = True
        if self.mesh.swim.own_member.is_ready != self.is_ready():
            self.mesh.swim.update_own_member(self.is_ready())
            _LOG.info("ready: {}", self.is_ready())

    def _load_catalogue(self) -> None:
        if self.entry_settings.data_folder is None:
            return
        path = pathlib.Path(self.entry_settings.data_folder) / CATALOGUE_FILE
        if not path.exists():
            return
        try:
            plain = _codec.decode(path.read_bytes(), str(path))
            entries = _codec.from_plain(
                plain, tuple[_view.VersionedEntry, ...], str(path)
            )
        except _exceptions.BluebelltideError as error:
            # The saved catalogue only shortens a start without replicas and
            # peers, which have the current one, so a damaged file must not
            # prevent the start.
            self.metrics.count("front", error.code)
            _LOG.warning("the saved catalogue is unreadable: {}", error)
            return
        self.mesh.merge_catalogue(entries)

    async def _save_catalogue(self) -> None:
        if self.entry_settings.data_folder is None:
            return
        folder = pathlib.Path(self.entry_settings.data_folder)
        data = _codec.encode(
            [_codec.to_plain(v) for v in self.view.versioned_entries.values()]
        )
        try:
            folder.mkdir(parents=True, exist_ok=True)
            await anyio.to_thread.run_sync(
                _store.write_file_atomically, folder / CATALOGUE_FILE, data
            )
        except OSError as error:
            # The next change is saved again. Until then a restart finds an
            # older catalogue, which counts only once it is confirmed.
            self.metrics.count("catalogue", "not_saved")
            _LOG.warning("the catalogue is not saved: {}", error)


async def serve_entry(settings: _settings.Settings) -> None:
    """Runs the entry role of this process.

    Args:
        settings: The settings; must contain an `entry` section.
    """
    assert settings.entry is not None
    metrics = _metrics.create_metrics(settings.statsd_address, "entry")
    async with anyio.create_task_group() as tasks:
        service = EntryService(settings, metrics, tasks)
        handler = _announce.AnnounceHandler(
            service.registry,
            service.view,
            settings.data_centre,
            metrics,
            service.is_initialised,
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
                service.serve_peer_link,
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
    """Runs the roles that the settings configure in one process.

    Args:
        settings: The settings; must contain an `entry` section.
        create: Whether to create a new catalogue in the control role.
    """
    if settings.control is None:
        await serve_entry(settings)
        return
    async with anyio.create_task_group() as tasks:
        # The control role runs until the entry role has stopped.
        tasks.start_soon(
            control_service.serve_control,
            settings,
            create,
            anyio.sleep_forever,
        )
        await serve_entry(settings)
        tasks.cancel_scope.cancel()
