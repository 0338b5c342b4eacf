"""The flow controller: runs the routing engine and the packet front."""

from collections.abc import Set as AbstractSet

import anyio
import anyio.abc
import logbook

from bluebelltide import _clock
from bluebelltide import _codes
from bluebelltide import _guard
from bluebelltide import _metrics
from bluebelltide import _settings
from bluebelltide import _udp
from bluebelltide import flows
from bluebelltide.catalogue import _entries
from bluebelltide.entry import _fronts
from bluebelltide.entry import _mesh
from bluebelltide.fronts import _packet
from bluebelltide.fronts import _relay
from bluebelltide.membership import _registry

TICK_MS = 50
"""Time between two runs of the engine's timers."""
WEIGHTS_INTERVAL_MS = 500
"""Time between two updates of the target weights if no target changes."""
LEAVE_TIMEOUT_MS = 5000
"""How long a stopping instance waits until others own its buckets."""
RAMP_STEPS = 4
"""The weight of a target that ramps up grows in this many steps, since each
change of a weight moves buckets."""

_LOG = logbook.Logger("entry")


class FlowController:
    """Runs one instance's routing engine and its packet front."""

    def __init__(
        self,
        settings: _settings.Settings,
        packet: _settings.PacketSettings,
        mesh: _mesh.Mesh,
        fronts: _fronts.FrontController,
        registry: _registry.TargetRegistry,
        metrics: _metrics.Metrics,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Creates the controller; `start` opens its sockets."""
        assert settings.entry is not None
        self.engine = flows.RoutingEngine(settings.name, _seed_from_time())
        self._settings = settings
        self._alone_after_ms = settings.entry.alone_after_ms
        self._packet = packet
        self._mesh = mesh
        self._fronts = fronts
        self._registry = registry
        self._metrics = metrics
        self._tasks = tasks
        self._started_ms = _clock.now_ms()
        self._relay_keys = _relay.KeyFile(packet.relay_key_file)
        self._fabric_socket: _udp.UdpSocket | None = None
        self._relay_socket: _udp.UdpSocket | None = None
        self._logged_epoch_number = 0
        self._target_weights: dict[str, tuple[flows.TargetWeight, ...]] = {}
        self._next_weights_ms = 0
        self._even_load_weights: dict[str, dict[str, float]] = {}
        self._next_even_load_ms = 0

    async def start(self) -> None:
        """Opens the sockets and begins to route."""
        self._mesh.on_engine_message = self._on_message
        self._fabric_socket = await _udp.open_udp_socket(self._packet.address)
        self._relay_socket = await _udp.open_udp_socket(
            self._packet.relay_address
        )
        front = _packet.PacketFront(
            self.engine,
            self._mesh.view,
            self._registry,
            self._metrics,
            self._relay_keys,
            self._send_to_fabric,
            self._send_to_instance,
            self._send,
        )
        for activity, opened_socket, handle in (
            ("fabric packets", self._fabric_socket, front.on_fabric_datagram),
            ("relayed packets", self._relay_socket, front.on_relayed_datagram),
        ):
            _guard.start_forever(
                self._tasks, activity, opened_socket.receive_forever, handle
            )
        _guard.start_forever(self._tasks, "flow routing", self._tick_forever)

    async def close(self) -> None:
        """Transfers the buckets of this instance, then closes the sockets."""
        self.engine.leave()
        with anyio.move_on_after(LEAVE_TIMEOUT_MS / 1000):
            while not self.engine.has_left():
                await anyio.sleep(TICK_MS / 1000)
        if not self.engine.has_left():
            _LOG.warning("leaving before all buckets were transferred")
        for udp_socket in (self._fabric_socket, self._relay_socket):
            if udp_socket is not None:
                await udp_socket.close()

    def may_route(self) -> bool:
        """Returns whether this instance holds a routing lease."""
        return self.engine.may_route(_clock.now_ms())

    def status(self) -> dict[str, object]:
        """Returns the routing section of `/v1/status`."""
        epoch = self.engine.router.epoch
        return {
            "epoch": epoch.number if epoch else 0,
            "instances": list(epoch.instances) if epoch else [],
            "has_lease": self.may_route(),
            "unsettled_buckets_owned": self.engine.router.owned_bucket_count(),
            "exceptions": self.engine.router.pinned_flow_count(),
        }

    async def _tick_forever(self) -> None:
        while True:
            with _guard.log_errors("a tick of flow routing"):
                now_ms = _clock.now_ms()
                self._relay_keys.refresh()
                engine_input = self._make_engine_input(now_ms)
                await self._send(self.engine.tick(engine_input, now_ms))
                self._log_new_epoch()
            await anyio.sleep(TICK_MS / 1000)

    def _log_new_epoch(self) -> None:
        epoch = self.engine.router.epoch
        if epoch is not None and epoch.number != self._logged_epoch_number:
            self._logged_epoch_number = epoch.number
            names = ", ".join(epoch.instances)
            _LOG.info("epoch {} has the instances {}", epoch.number, names)

    def _make_engine_input(self, now_ms: int) -> flows.EngineInput:
        live = {member.name for member in self._mesh.swim.live_members()}
        waited_ms = now_ms - self._started_ms
        services = list(
            self._mesh.view.services_with_front(_entries.Front.PACKETS)
        )
        if now_ms >= self._next_weights_ms:
            self._next_weights_ms = now_ms + WEIGHTS_INTERVAL_MS
            self._target_weights = self._make_target_weights(services, now_ms)
        return flows.EngineInput(
            live,
            self._target_weights,
            {e.service: e.limits.idle_timeout_ms for e in services},
            waited_ms > self._alone_after_ms
            and min(live) == self._settings.name,
        )

    def _make_target_weights(
        self, services: list[_entries.ServiceEntry], now_ms: int
    ) -> dict[str, tuple[flows.TargetWeight, ...]]:
        if now_ms >= self._next_even_load_ms:
            self._next_even_load_ms = now_ms + flows.EVEN_LOAD_INTERVAL_MS
            self._even_load_weights = {
                entry.service: self._make_even_load_weights(
                    entry.service, now_ms
                )
                for entry in services
                if entry.objective == _entries.Objective.EVEN_LOAD
            }
        return {
            entry.service: tuple(
                flows.TargetWeight(
                    availability.target.target_id,
                    _target_weight(availability)
                    * self._even_load_weights.get(entry.service, {}).get(
                        availability.target.target_id, 1.0
                    ),
                )
                for availability in self._fronts.usable_targets(
                    entry.service, now_ms
                )
            )
            for entry in services
        }

    def _make_even_load_weights(
        self, service: str, now_ms: int
    ) -> dict[str, float]:
        connections = {
            availability.target.target_id: availability.target.connections
            for availability in self._fronts.usable_targets(service, now_ms)
            if availability.is_accepting
        }
        return flows.even_load_weights(
            self.engine.router.epoch, service, connections
        )

    def invalidate_target_weights(self, services: AbstractSet[str]) -> None:
        """Updates the target weights at the next tick if they are affected.

        Args:
            services: The services whose targets changed.
        """
        if any(service in self._target_weights for service in services):
            self._next_weights_ms = 0

    async def _on_message(
        self, sender: str, message: flows.EngineMessage
    ) -> None:
        await self._send(self.engine.receive(sender, message, _clock.now_ms()))

    async def _send(self, sends: list[flows.SendMessage]) -> None:
        for send in sends:
            await self._mesh.send(send.instance, send.message)

    async def _send_to_fabric(self, data: bytes) -> None:
        assert self._fabric_socket is not None
        was_sent = await self._fabric_socket.send(
            data, self._packet.fabric_address
        )
        self._count_send_failure(was_sent)

    async def _send_to_instance(self, name: str, data: bytes) -> None:
        assert self._relay_socket is not None
        member = self._mesh.swim.members.get(name)
        if member is not None and member.relay_address is not None:
            was_sent = await self._relay_socket.send(data, member.relay_address)
            self._count_send_failure(was_sent)

    def _count_send_failure(self, was_sent: bool) -> None:
        if not was_sent:
            self._metrics.count("dropped", _codes.DropCode.SEND_FAILED)


def _seed_from_time() -> int:
    return _clock.now_ms()


def _target_weight(availability: _registry.TargetAvailability) -> float:
    if not availability.is_accepting:
        return 0.0
    steps = max(1, int(availability.share * RAMP_STEPS))
    return steps / RAMP_STEPS
