"""Links to the other entry instances: membership and gossip of targets."""

from collections.abc import Awaitable, Callable
import contextlib
import time

import anyio
import anyio.abc
import logbook

from bluebelltide import _clock
from bluebelltide import _metrics
from bluebelltide import _settings
from bluebelltide import _types
from bluebelltide import flows
from bluebelltide import membership
from bluebelltide.catalogue import _view
from bluebelltide.membership import _swim
from bluebelltide.peers import _frames
from bluebelltide.peers import _links

TICK_MS = 100
"""How often membership timers run."""
GOSSIP_MS = 500
"""How often renewed leases are passed on, at most."""
GOSSIP_PER_PEER_MS = 40
"""With many peers renewals are passed on more rarely: this time for each."""
DIGEST_MS = 5000
"""How often this instance compares what it knows with one peer."""
BATCH = 100
"""How many items one frame carries."""

_LOG = logbook.Logger("entry")


NodeHandler = Callable[[str, flows.EngineMessage], Awaitable[None]]


def gossip_pause_ms(peers: int) -> int:
    """Returns the time between two rounds of lease renewals."""
    return max(GOSSIP_MS, GOSSIP_PER_PEER_MS * peers)


class Mesh:
    """The membership controller of one entry instance."""

    def __init__(
        self,
        settings: _settings.Settings,
        peer_address: _types.Address,
        registry: membership.TargetRegistry,
        view: _view.CatalogueView,
        metrics: _metrics.Metrics,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Creates the controller; `start` begins to dial."""
        assert settings.entry is not None
        self._settings = settings
        self._entry = settings.entry
        self._registry = registry
        self.view = view
        self.on_node_message: NodeHandler | None = None
        self._metrics = metrics
        self._tasks = tasks
        incarnation = time.time_ns() // 1_000_000
        own = membership.Member(
            settings.name,
            incarnation,
            membership.MemberStatus.ALIVE,
            settings.data_centre,
            peer_address,
            False,
            self._entry.packet.relay_address if self._entry.packet else None,
        )
        self.swim = membership.Swim(own, incarnation)
        self.hello = _frames.Hello(
            "entry", settings.name, str(incarnation), settings.data_centre
        )
        self.catalogue_changed = anyio.Event()
        self._outgoing: dict[str, _links.Link] = {}
        self._dials: dict[_types.Address, anyio.CancelScope] = {}

    def start(self) -> None:
        """Begins to dial the configured peers and to run timers."""
        for address in self._entry.peers:
            self._dial(address)
        self._tasks.start_soon(self._tick_forever)
        self._tasks.start_soon(self._gossip_forever)
        self._tasks.start_soon(self._compare_forever)

    async def close(self) -> None:
        """Tells the others that this instance leaves by plan."""
        self.swim.set_own(False, membership.MemberStatus.LEFT)
        ping = _swim.Ping(self.swim.own.name, 0, (self.swim.own,))
        with anyio.move_on_after(1):
            for link in list(self._outgoing.values()):
                await link.send(ping)

    def _dial(self, address: _types.Address) -> None:
        if address in self._dials or address == self.swim.own.peer_address:
            return
        scope = anyio.CancelScope()
        self._dials[address] = scope

        async def dial() -> None:
            with scope:
                await _links.keep_link(
                    address,
                    self._settings.tls,
                    self.hello,
                    self._metrics,
                    self._serve_outgoing,
                )

        self._tasks.start_soon(dial)

    def _hang_up(self, address: _types.Address) -> None:
        if address in self._entry.peers:
            return
        scope = self._dials.pop(address, None)
        if scope is not None:
            scope.cancel()

    async def _serve_outgoing(self, link: _links.Link) -> None:
        name = link.hello.name
        self._outgoing[name] = link
        try:
            await link.send(_swim.Ping(self.swim.own.name, 0, (self.swim.own,)))
            await link.send(self._digest())
            await self.serve(link)
        finally:
            if self._outgoing.get(name) is link:
                del self._outgoing[name]

    async def serve(self, link: _links.Link) -> None:
        """Serves one link until it is lost."""
        async for message in link.messages():
            await self._on_message(link, message)

    async def _on_message(
        self, link: _links.Link, message: _frames.Message
    ) -> None:
        is_local = link.hello.data_centre == self._settings.data_centre
        if isinstance(message, _swim.Ping | _swim.Ack | _swim.PingRequest):
            if is_local:
                await self._perform(self.swim.receive(message, _clock.now_ms()))
        elif isinstance(message, _frames.TargetsAnnounced):
            self._registry.merge(message.targets, _clock.now_ms())
        elif isinstance(message, _frames.LeasesRenewed):
            self._registry.renew(message.renewals, _clock.now_ms())
        elif isinstance(message, _frames.Learned):
            self.learn(message.entries)
        elif isinstance(message, _frames.StateSummary):
            if message != self._summary():
                await link.send(self._digest())
        elif isinstance(message, _frames.StateDigest):
            await self._answer_digest(link, message)
        elif (
            is_local
            and self.on_node_message is not None
            and isinstance(message, flows.EngineMessage)
        ):
            await self.on_node_message(link.hello.name, message)

    def learn(self, entries: tuple[_view.Versioned, ...]) -> None:
        """Takes committed catalogue entries from a replica or a peer."""
        changed = [self.view.merge(entry) for entry in entries]
        if any(changed):
            self.catalogue_changed.set()

    async def send(
        self, name: _types.InstanceId, message: _frames.Message
    ) -> None:
        """Sends a message to an instance; without a link it is dropped."""
        link = self._outgoing.get(name)
        if link is not None:
            await link.send(message)

    def _summary(self) -> _frames.StateSummary:
        return _frames.StateSummary(
            self._registry.summary(), self.view.digest()
        )

    def _digest(self) -> _frames.StateDigest:
        return _frames.StateDigest(
            self._registry.digest(),
            tuple(
                (key, versioned.version)
                for key, versioned in self.view.versions.items()
            ),
        )

    def _lacks(self, digest: _frames.StateDigest) -> bool:
        """Returns whether a peer knows of something that is new here."""
        is_behind = any(
            version > self.view.version_of(key)
            for key, version in digest.catalogue
        )
        return is_behind or self._registry.lacks(digest.targets)

    async def _answer_digest(
        self, link: _links.Link, digest: _frames.StateDigest
    ) -> None:
        if self._lacks(digest):
            await link.send(self._digest())
        targets = self._registry.newer_than(digest.targets)
        for start in range(0, len(targets), BATCH):
            batch = targets[start : start + BATCH]
            await link.send(_frames.TargetsAnnounced(batch))
        theirs = dict(digest.catalogue)
        entries = tuple(
            versioned
            for key, versioned in self.view.versions.items()
            if versioned.version > theirs.get(key, 0)
        )
        for start in range(0, len(entries), BATCH):
            await link.send(_frames.Learned(entries[start : start + BATCH]))

    async def _perform(self, actions: list[_swim.Action]) -> None:
        for action in actions:
            if isinstance(action, _swim.SendTo):
                link = self._outgoing.get(action.name)
                if link is not None:
                    await link.send(action.message)
            else:
                self._on_member_changed(action)

    def _on_member_changed(self, change: _swim.MemberChanged) -> None:
        before, after = change
        if before is None or before.status != after.status:
            _LOG.info("instance {} is {}", after.name, after.status.name)
            self._metrics.count("member", after.status.name.lower())
        # A dead member may only be cut off, so it is dialled on until it is
        # forgotten.
        if after.status == membership.MemberStatus.LEFT:
            self._hang_up(after.peer_address)
        else:
            self._dial(after.peer_address)
        if before is not None and before.peer_address != after.peer_address:
            self._hang_up(before.peer_address)

    async def _tick_forever(self) -> None:
        while True:
            await self._perform(self.swim.tick(_clock.now_ms()))
            await anyio.sleep(TICK_MS / 1000)

    async def _gossip_forever(self) -> None:
        while True:
            pause_ms = gossip_pause_ms(len(self._outgoing))
            with anyio.move_on_after(pause_ms / 1000):
                await self._wait_for_change()
            await self.flush_targets()

    async def _wait_for_change(self) -> None:
        while not self._registry.has_urgent():
            await anyio.sleep(TICK_MS / 1000)

    async def flush_targets(self) -> None:
        """Passes on what targets announced here."""
        changed, renewed = self._registry.take_outgoing()
        links = list(self._outgoing.values())
        for link in links:
            for start in range(0, len(changed), BATCH):
                batch = changed[start : start + BATCH]
                await link.send(_frames.TargetsAnnounced(batch))
            if renewed:
                await link.send(_frames.LeasesRenewed(renewed))

    async def _compare_forever(self) -> None:
        index = 0
        while True:
            await anyio.sleep(DIGEST_MS / 1000)
            links = [link for _, link in sorted(self._outgoing.items())]
            if links:
                index += 1
                with contextlib.suppress(OSError):
                    await links[index % len(links)].send(self._summary())
