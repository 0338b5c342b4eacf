"""The flow controller: keeps the routing node going and its packet front."""

from collections.abc import Set as AbstractSet

import anyio
import anyio.abc
import logbook

from bluebelltide import _clock
from bluebelltide import _codes
from bluebelltide import _metrics
from bluebelltide import _settings
from bluebelltide import _udp
from bluebelltide import catalogue
from bluebelltide import flows
from bluebelltide import membership
from bluebelltide.entry import _fronts
from bluebelltide.entry import _mesh
from bluebelltide.fronts import _packet
from bluebelltide.fronts import _relay

TICK_MS = 50
"""How often the node's timers run."""
PLAN_MS = 500
"""How often the planner's input is made anew without a change."""
LEAVE_TIMEOUT_MS = 5000
"""How long a planned leave may take."""
SHARE_STEPS = 4
"""A ramping target's share grows in this many steps, to bound moves."""

_LOG = logbook.Logger("entry")


class FlowController:
    """Runs one instance's node and, if configured, its packet front."""

    def __init__(
        self,
        settings: _settings.Settings,
        packet: _settings.PacketSettings,
        mesh: _mesh.Mesh,
        fronts: _fronts.FrontController,
        registry: membership.TargetRegistry,
        metrics: _metrics.Metrics,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Creates the controller; `start` opens its sockets."""
        assert settings.entry is not None
        self.node = flows.FlowNode(settings.name, _started_seed())
        self._settings = settings
        self._alone_after_ms = settings.entry.alone_after_ms
        self._packet = packet
        self._mesh = mesh
        self._fronts = fronts
        self._registry = registry
        self._metrics = metrics
        self._tasks = tasks
        self._started_ms = _clock.now_ms()
        self._keys = _relay.KeyFile(packet.relay_key_file)
        self._fabric: _udp.UdpSocket | None = None
        self._relay: _udp.UdpSocket | None = None
        self._epoch_number = 0
        self._plan: dict[str, tuple[flows.TargetInput, ...]] = {}
        self._next_plan_ms = 0
        self._even: dict[str, dict[str, float]] = {}
        self._next_even_ms = 0

    async def start(self) -> None:
        """Opens the sockets and begins to route."""
        self._mesh.on_node_message = self._on_message
        self._fabric = await _udp.open_udp_socket(self._packet.address)
        self._relay = await _udp.open_udp_socket(self._packet.relay_address)
        front = _packet.PacketFront(
            self.node,
            self._mesh.view,
            self._registry,
            self._metrics,
            self._keys,
            self._send_to_fabric,
            self._send_to_instance,
            self._send,
        )
        self._tasks.start_soon(
            self._fabric.receive_forever, front.on_fabric_datagram
        )
        self._tasks.start_soon(
            self._relay.receive_forever, front.on_relayed_datagram
        )
        self._tasks.start_soon(self._tick_forever)

    async def close(self) -> None:
        """Hands over what this instance owns, then closes the sockets."""
        self.node.leave()
        with anyio.move_on_after(LEAVE_TIMEOUT_MS / 1000):
            while not self.node.has_left():
                await anyio.sleep(TICK_MS / 1000)
        if not self.node.has_left():
            _LOG.warning("left without handing over")
        for opened in (self._fabric, self._relay):
            if opened is not None:
                await opened.close()

    def may_route(self) -> bool:
        """Returns whether this instance holds a routing lease."""
        return self.node.may_route(_clock.now_ms())

    def status(self) -> dict[str, object]:
        """Returns what `/v1/status` shows of routing."""
        epoch = self.node.router.epoch
        return {
            "epoch": epoch.number if epoch else 0,
            "instances": list(epoch.instances) if epoch else [],
            "has_lease": self.may_route(),
            "unsettled_buckets_owned": self.node.router.owned_count(),
            "exceptions": self.node.router.exception_count(),
        }

    async def _tick_forever(self) -> None:
        while True:
            now_ms = _clock.now_ms()
            self._keys.refresh()
            sends = self.node.tick(self._node_input(now_ms), now_ms)
            await self._send(sends)
            self._log_epoch()
            await anyio.sleep(TICK_MS / 1000)

    def _log_epoch(self) -> None:
        epoch = self.node.router.epoch
        if epoch is not None and epoch.number != self._epoch_number:
            self._epoch_number = epoch.number
            names = ", ".join(epoch.instances)
            _LOG.info("epoch {} with {}", epoch.number, names)

    def _node_input(self, now_ms: int) -> flows.NodeInput:
        live = {member.name for member in self._mesh.swim.live()}
        waited_ms = now_ms - self._started_ms
        services = list(self._mesh.view.services_with(catalogue.Front.PACKETS))
        if now_ms >= self._next_plan_ms:
            self._next_plan_ms = now_ms + PLAN_MS
            self._plan = self._plan_input(services, now_ms)
        return flows.NodeInput(
            live,
            self._plan,
            {e.service: e.limits.idle_timeout_ms for e in services},
            waited_ms > self._alone_after_ms
            and min(live) == self._settings.name,
        )

    def _plan_input(
        self, services: list[catalogue.ServiceEntry], now_ms: int
    ) -> dict[str, tuple[flows.TargetInput, ...]]:
        if now_ms >= self._next_even_ms:
            self._next_even_ms = now_ms + flows.EVEN_LOAD_MS
            self._even = {
                entry.service: self._even_weights(entry.service, now_ms)
                for entry in services
                if entry.objective == catalogue.Objective.EVEN_LOAD
            }
        return {
            entry.service: tuple(
                flows.TargetInput(
                    standing.target.target_id,
                    _weight(standing)
                    * self._even.get(entry.service, {}).get(
                        standing.target.target_id, 1.0
                    ),
                )
                for standing in self._fronts.pool(entry.service, now_ms)
            )
            for entry in services
        }

    def _even_weights(self, service: str, now_ms: int) -> dict[str, float]:
        connections = {
            standing.target.target_id: standing.target.connections
            for standing in self._fronts.pool(service, now_ms)
            if standing.is_accepting
        }
        return flows.even_weights(self.node.router.epoch, service, connections)

    def note_changed(self, services: AbstractSet[str]) -> None:
        """Takes the news that targets of these services changed."""
        if any(service in self._plan for service in services):
            self._next_plan_ms = 0

    async def _on_message(
        self, sender: str, message: flows.NodeMessage
    ) -> None:
        await self._send(self.node.receive(sender, message, _clock.now_ms()))

    async def _send(self, sends: list[flows.Send]) -> None:
        for send in sends:
            await self._mesh.send(send.instance, send.message)

    async def _send_to_fabric(self, data: bytes) -> None:
        assert self._fabric is not None
        sent = await self._fabric.send(data, self._packet.fabric_address)
        self._count_failure(sent)

    async def _send_to_instance(self, name: str, data: bytes) -> None:
        assert self._relay is not None
        member = self._mesh.swim.members.get(name)
        if member is not None and member.relay_address is not None:
            sent = await self._relay.send(data, member.relay_address)
            self._count_failure(sent)

    def _count_failure(self, was_sent: bool) -> None:
        if not was_sent:
            self._metrics.count("dropped", _codes.DropCode.SEND_FAILED)


def _started_seed() -> int:
    return _clock.now_ms()


def _weight(standing: membership.Standing) -> float:
    if not standing.is_accepting:
        return 0.0
    steps = max(1, int(standing.share * SHARE_STEPS))
    return steps / SHARE_STEPS
