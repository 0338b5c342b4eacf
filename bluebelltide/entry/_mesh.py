"""Links to the other entry instances: membership, targets and catalogue."""

from collections.abc import Awaitable, Callable
import time

import anyio
import anyio.abc
import logbook

from bluebelltide import _clock
from bluebelltide import _guard
from bluebelltide import _metrics
from bluebelltide import _settings
from bluebelltide import _types
from bluebelltide import flows
from bluebelltide.catalogue import _view
from bluebelltide.membership import _registry
from bluebelltide.membership import _swim
from bluebelltide.peers import _frames
from bluebelltide.peers import _links

TICK_MS = 100
"""Time between two runs of the membership timers."""
RENEWAL_GOSSIP_INTERVAL_MS = 500
"""Minimum time between two rounds of lease renewals."""
RENEWAL_GOSSIP_PER_PEER_MS = 40
"""The time between two rounds of lease renewals is at least this time for
each peer, so that many peers get renewals less often."""
SUMMARY_INTERVAL_MS = 5000
"""Time between two summaries of this instance's state; each goes to the next
peer in turn."""
ITEMS_PER_FRAME = 100
"""Maximum number of targets or catalogue entries in one frame."""

_LOG = logbook.Logger("entry")


EngineMessageHandler = Callable[[str, flows.EngineMessage], Awaitable[None]]


def renewal_gossip_interval_ms(peer_count: int) -> int:
    """Returns the time between two rounds of lease renewals."""
    return max(
        RENEWAL_GOSSIP_INTERVAL_MS, RENEWAL_GOSSIP_PER_PEER_MS * peer_count
    )


class Mesh:
    """Keeps links to the other entry instances and gossips over them.

    Attributes:
        view: The catalogue as far as it is known.
        on_engine_message: Handles the messages of flow routing, if set.
        swim: The other instances and their failure detection.
        hello: How the instance introduces itself to peers.
        catalogue_changed: Set when the catalogue changes; replaced each time.
        is_catalogue_confirmed: Whether the catalogue is current, as far as can
            be known, and not only what an earlier run saved.
    """

    def __init__(
        self,
        settings: _settings.Settings,
        peer_address: _types.Address,
        registry: _registry.TargetRegistry,
        view: _view.CatalogueView,
        metrics: _metrics.Metrics,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Creates the mesh; `start` opens links."""
        assert settings.entry is not None
        self._settings = settings
        self._entry_settings = settings.entry
        self._registry = registry
        self.view = view
        self.on_engine_message: EngineMessageHandler | None = None
        self._metrics = metrics
        self._tasks = tasks
        incarnation = time.time_ns() // 1_000_000
        own_member = _swim.Member(
            settings.name,
            incarnation,
            _swim.MemberStatus.ALIVE,
            settings.data_centre,
            peer_address,
            False,
            self._entry_settings.packet.relay_address
            if self._entry_settings.packet
            else None,
        )
        self.swim = _swim.Swim(own_member, incarnation)
        self.hello = _frames.Hello(
            "entry", settings.name, str(incarnation), settings.data_centre
        )
        self.catalogue_changed = anyio.Event()
        self.is_catalogue_confirmed = False
        self._outgoing_links: dict[str, _links.Link] = {}
        # By peer address; cancelling a scope closes the link for good.
        self._link_scopes: dict[_types.Address, anyio.CancelScope] = {}

    def start(self) -> None:
        """Starts to open links to the configured peers and to run timers."""
        for address in self._entry_settings.peers:
            self._maintain_link(address)
        for activity, loop in (
            ("failure detection", self._tick_forever),
            ("sending targets", self._send_target_updates_forever),
            ("sending summaries", self._send_summaries_forever),
        ):
            _guard.start_forever(self._tasks, activity, loop)

    async def close(self) -> None:
        """Notifies the other instances that this one leaves as planned."""
        self.swim.update_own_member(False, _swim.MemberStatus.LEFT)
        ping = _swim.Ping(self.swim.own_member.name, 0, (self.swim.own_member,))
        with anyio.move_on_after(1):
            for link in list(self._outgoing_links.values()):
                await link.send(ping)

    def _maintain_link(self, address: _types.Address) -> None:
        if (
            address in self._link_scopes
            or address == self.swim.own_member.peer_address
        ):
            return
        scope = anyio.CancelScope()
        self._link_scopes[address] = scope

        async def maintain() -> None:
            with scope:
                await _links.maintain_link(
                    address,
                    self._settings.tls,
                    self.hello,
                    self._metrics,
                    self._serve_outgoing_link,
                )

        self._tasks.start_soon(maintain)

    def _drop_link(self, address: _types.Address) -> None:
        if address in self._entry_settings.peers:
            return
        scope = self._link_scopes.pop(address, None)
        if scope is not None:
            scope.cancel()

    async def _serve_outgoing_link(self, link: _links.Link) -> None:
        name = link.hello.name
        self._outgoing_links[name] = link
        try:
            await link.send(
                _swim.Ping(
                    self.swim.own_member.name, 0, (self.swim.own_member,)
                )
            )
            await link.send(self._digest())
            await self.serve_link(link)
        finally:
            if self._outgoing_links.get(name) is link:
                del self._outgoing_links[name]

    async def serve_link(self, link: _links.Link) -> None:
        """Handles the messages of a link until it is lost."""
        async for message in link.messages():
            await self._on_message(link, message)

    async def _on_message(
        self, link: _links.Link, message: _frames.Message
    ) -> None:
        is_local = link.hello.data_centre == self._settings.data_centre
        if isinstance(message, _swim.Ping | _swim.Ack | _swim.PingRequest):
            if is_local:
                await self._perform_actions(
                    self.swim.receive(message, _clock.now_ms())
                )
        elif isinstance(message, _frames.TargetsAnnounced):
            self._registry.merge(message.targets, _clock.now_ms())
        elif isinstance(message, _frames.LeasesRenewed):
            self._registry.renew(message.renewals, _clock.now_ms())
        elif isinstance(message, _frames.Learned):
            self.merge_catalogue(message.entries)
            self.is_catalogue_confirmed = True
        elif isinstance(message, _frames.StateSummary):
            if message != self._summary():
                await link.send(self._digest())
        elif isinstance(message, _frames.StateDigest):
            await self._answer_digest(link, message)
        elif (
            is_local
            and self.on_engine_message is not None
            and isinstance(message, flows.EngineMessage)
        ):
            await self.on_engine_message(link.hello.name, message)

    def merge_catalogue(
        self, entries: tuple[_view.VersionedEntry, ...]
    ) -> None:
        """Stores committed catalogue entries from a replica or a peer."""
        changed = [self.view.merge(entry) for entry in entries]
        if any(changed):
            self.catalogue_changed.set()

    async def send(
        self, name: _types.InstanceId, message: _frames.Message
    ) -> None:
        """Sends a message to an instance; drops it if there is no link."""
        link = self._outgoing_links.get(name)
        if link is not None:
            await link.send(message)

    def _summary(self) -> _frames.StateSummary:
        return _frames.StateSummary(
            self._registry.summary(), self.view.summary()
        )

    def _shared_entries(self) -> dict[str, _view.VersionedEntry]:
        """Returns the catalogue entries that peers may learn from here.

        The saved catalogue of an earlier run is not shared before it is
        confirmed: instances that restart together would confirm each other's.
        """
        if not self.is_catalogue_confirmed:
            return {}
        return self.view.versioned_entries

    def _digest(self) -> _frames.StateDigest:
        return _frames.StateDigest(
            self._registry.digest(),
            tuple(
                (key, versioned.version)
                for key, versioned in self._shared_entries().items()
            ),
        )

    def _is_catalogue_behind(self, digest: _frames.StateDigest) -> bool:
        """Returns whether a peer knows newer catalogue entries."""
        return any(
            version > self.view.version_of(key)
            for key, version in digest.catalogue
        )

    async def _answer_digest(
        self, link: _links.Link, digest: _frames.StateDigest
    ) -> None:
        is_catalogue_behind = self._is_catalogue_behind(digest)
        if digest.catalogue and not is_catalogue_behind:
            self.is_catalogue_confirmed = True
        if is_catalogue_behind or self._registry.is_behind(digest.targets):
            await link.send(self._digest())
        targets = self._registry.newer_than(digest.targets)
        for start in range(0, len(targets), ITEMS_PER_FRAME):
            batch = targets[start : start + ITEMS_PER_FRAME]
            await link.send(_frames.TargetsAnnounced(batch))
        peer_versions = dict(digest.catalogue)
        entries = tuple(
            versioned
            for key, versioned in self._shared_entries().items()
            if versioned.version > peer_versions.get(key, 0)
        )
        for start in range(0, len(entries), ITEMS_PER_FRAME):
            await link.send(
                _frames.Learned(entries[start : start + ITEMS_PER_FRAME])
            )

    async def _perform_actions(self, actions: list[_swim.Action]) -> None:
        for action in actions:
            if isinstance(action, _swim.SendTo):
                link = self._outgoing_links.get(action.name)
                if link is not None:
                    await link.send(action.message)
            else:
                self._on_member_changed(action)

    def _on_member_changed(self, change: _swim.MemberChanged) -> None:
        before, after = change
        if before is None or before.status != after.status:
            _LOG.info("instance {} is {}", after.name, after.status.name)
            self._metrics.count("member", after.status.name.lower())
        # A dead member may only be partitioned, so the link is still retried
        # until the member is removed.
        if after.status == _swim.MemberStatus.LEFT:
            self._drop_link(after.peer_address)
        else:
            self._maintain_link(after.peer_address)
        if before is not None and before.peer_address != after.peer_address:
            self._drop_link(before.peer_address)

    async def _tick_forever(self) -> None:
        while True:
            with _guard.log_errors("failure detection"):
                await self._perform_actions(self.swim.tick(_clock.now_ms()))
            await anyio.sleep(TICK_MS / 1000)

    async def _send_target_updates_forever(self) -> None:
        while True:
            interval_ms = renewal_gossip_interval_ms(len(self._outgoing_links))
            with anyio.move_on_after(interval_ms / 1000):
                await self._wait_for_target_change()
            with _guard.log_errors("sending targets"):
                await self.send_target_updates()

    async def _wait_for_target_change(self) -> None:
        while not self._registry.has_pending_changes():
            await anyio.sleep(TICK_MS / 1000)

    async def send_target_updates(self) -> None:
        """Sends the announcements received here to the other instances."""
        changed, renewed = self._registry.take_pending_updates()
        links = list(self._outgoing_links.values())
        for link in links:
            for start in range(0, len(changed), ITEMS_PER_FRAME):
                batch = changed[start : start + ITEMS_PER_FRAME]
                await link.send(_frames.TargetsAnnounced(batch))
            if renewed:
                await link.send(_frames.LeasesRenewed(renewed))

    async def _send_summaries_forever(self) -> None:
        index = 0
        while True:
            await anyio.sleep(SUMMARY_INTERVAL_MS / 1000)
            links = [link for _, link in sorted(self._outgoing_links.items())]
            if links:
                index += 1
                with _guard.log_errors("sending a summary"):
                    await links[index % len(links)].send(self._summary())
