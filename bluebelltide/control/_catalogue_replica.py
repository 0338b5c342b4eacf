"""One replica of the catalogue: acceptor, proposer and source of updates.

The protocol is in `catalogue._register`. This controller passes its messages
between peer links, the store and the requests of operators.
"""

from collections.abc import Callable
import random
from typing import NamedTuple
import uuid

import anyio
import logbook
import msgspec

from bluebelltide import _exceptions
from bluebelltide import _guard
from bluebelltide import _metrics
from bluebelltide import _settings
from bluebelltide.catalogue import _register
from bluebelltide.catalogue import _store
from bluebelltide.catalogue import _view
from bluebelltide.control import _voters
from bluebelltide.peers import _frames
from bluebelltide.peers import _links

BACKOFF_BASE_MS = 10
"""The mean delay after N failed attempts is this times 2**N."""
BACKOFF_LIMIT_MS = 400
"""The upper bound of the mean delay between attempts."""
ENTRIES_PER_FRAME = 100
"""How many entries one frame carries at most."""
REPAIR_INTERVAL_MS = 2000
"""Time between two searches for accepted states that may not be committed."""

_LOG = logbook.Logger("control")


class InstanceReport(NamedTuple):
    """The entry versions that an entry instance reports to be in force."""

    data_centre: str
    """The instance's data centre."""
    versions: dict[str, int]
    """The version in force of each key."""


class _PendingProposal:
    """A proposal that waits for answers."""

    def __init__(self, proposal: _register.Proposal) -> None:
        self.proposal = proposal
        self.done = anyio.Event()
        self.result: _register.ChangeResult | None = None


class CatalogueReplica:
    """The catalogue controller of one control process.

    Attributes:
        identity: Identifies this replica by its data: a replica that has lost
            its data folder gets a new identity.
        view: The committed entries that this replica knows.
        reports: What each linked entry instance has in force, by name.
        replica_links: The outgoing links to other replicas, by identity.
    """

    def __init__(
        self,
        settings: _settings.ControlSettings,
        identity: str,
        store: _store.Store,
        metrics: _metrics.Metrics,
    ) -> None:
        """Creates the replica; `start` reads the store."""
        self.identity = identity
        self.view = _view.CatalogueView()
        self.reports: dict[str, InstanceReport] = {}
        self.replica_links: dict[str, _links.Link] = {}
        self._entry_links: set[_links.Link] = set()
        self._settings = settings
        self._store = store
        self._metrics = metrics
        self._acceptor_states: dict[str, _register.AcceptorState] = {}
        self._committed_states: dict[str, _register.RegisterState] = {}
        self._pending_proposals: dict[str, _PendingProposal] = {}
        self._key_listings: dict[str, dict[str, tuple[str, ...]]] = {}
        self._write_lock = anyio.Lock()
        self._initial_voters = _register.Voters(0, settings.initial_voters)

    def start(self) -> None:
        """Recovers the durable state."""
        recovered = self._store.start()
        self._acceptor_states = recovered.acceptor_states
        if recovered.torn_bytes:
            _LOG.warning(
                "cut {} bytes of a torn record off the log",
                recovered.torn_bytes,
            )

    def close(self) -> None:
        """Closes the store."""
        self._store.close()

    @property
    def voters(self) -> _register.Voters:
        """The newest voter set that is accepted or committed here."""
        states = [
            self._acceptor_states.get(
                _voters.VOTERS_KEY, _register.AcceptorState()
            ).state,
            self._committed_states.get(
                _voters.VOTERS_KEY, _register.RegisterState()
            ),
        ]
        known = [_voters.decode_voters(state) for state in states]
        found = [voters for voters in known if voters is not None]
        return max(found, default=self._initial_voters)

    @property
    def is_voter(self) -> bool:
        """Whether this replica is in its newest known voter set."""
        return self.identity in self.voters.all_voters()

    async def change(self, change: _register.Change) -> _register.ChangeResult:
        """Proposes a change.

        Args:
            change: The change.

        Returns:
            The result. Its code is None if the change was made, and
            OUTCOME_UNKNOWN if the change may still take effect.
        """
        result = await self._propose(
            change.key, lambda state: _register.apply_change(state, change)
        )
        self._metrics.count("change", result.code or "accepted")
        return result

    async def read(self, key: str) -> _register.ChangeResult:
        """Reads a register through a quorum and repairs lagging voters."""
        return await self._propose(key, _register.apply_read)

    async def _propose(
        self, key: str, apply_function: _register.ApplyFunction
    ) -> _register.ChangeResult:
        # A ballot must never be used twice, not even after a restart of the
        # process, so each proposal has a unique proposer name.
        proposer = f"{self.identity}/{uuid.uuid4().hex[:12]}"
        proposal = _register.Proposal(
            key, proposer, self.voters, apply_function
        )
        pending = _PendingProposal(proposal)
        self._pending_proposals[proposer] = pending
        promised_round = self._acceptor_states.get(
            key, _register.AcceptorState()
        ).promised_ballot.round_number
        try:
            with anyio.move_on_after(self._settings.change_timeout_ms / 1000):
                await self._perform(proposer, proposal.start(promised_round))
                await pending.done.wait()
            if pending.result is None:
                await self._perform(proposer, proposal.give_up())
        finally:
            del self._pending_proposals[proposer]
        assert pending.result is not None
        if pending.result.state.version is not None:
            await self._commit(key, pending.result.state)
        return pending.result

    async def _perform(
        self, proposer: str, actions: list[_register.Action]
    ) -> None:
        pending = self._pending_proposals[proposer]
        for action in actions:
            if isinstance(action, _register.Send):
                await self._send_all(proposer, action)
            elif isinstance(action, _register.Done):
                pending.result = action.result
                pending.done.set()
            elif isinstance(action, _register.Backoff):
                await self._back_off(action.attempt)
                await self._perform(proposer, pending.proposal.start())

    async def _back_off(self, attempt: int) -> None:
        self._metrics.count("change_retry", "rejected")
        mean_ms = min(BACKOFF_LIMIT_MS, BACKOFF_BASE_MS * 2**attempt)
        await anyio.sleep(random.uniform(0, 2 * mean_ms) / 1000)

    async def _send_all(self, proposer: str, action: _register.Send) -> None:
        for identity in action.replicas:
            link = self.replica_links.get(identity)
            if link is not None:
                await link.send(action.message)
        if self.identity in action.replicas:
            reply = await self.handle_acceptor_request(action.message)
            if reply is not None:
                await self.handle_reply(self.identity, reply)

    async def handle_reply(self, identity: str, reply: _register.Reply) -> None:
        """Passes an acceptor's reply to the proposal that waits for it."""
        pending = self._pending_proposals.get(reply.ballot.proposer)
        if pending is not None:
            actions = pending.proposal.handle_reply(identity, reply)
            await self._perform(reply.ballot.proposer, actions)

    async def handle_acceptor_request(
        self, message: _register.Prepare | _register.Accept
    ) -> _register.Reply | None:
        """Handles a proposer's message; stores the new state, then replies.

        Args:
            message: The proposer's message.

        Returns:
            The reply, or None if this replica does not vote.
        """
        if not self.is_voter:
            return None
        async with self._write_lock:
            old_state = self._acceptor_states.get(
                message.key, _register.AcceptorState()
            )
            reply: _register.Reply
            if isinstance(message, _register.Prepare):
                new_state, reply = _register.handle_prepare(
                    old_state, self.voters, message
                )
            else:
                new_state, reply = _register.handle_accept(
                    old_state, self.voters, message
                )
            if new_state != old_state:
                write = _register.AcceptorStateWrite(message.key, new_state)
                await anyio.to_thread.run_sync(self._store.write, [write])
                self._acceptor_states[message.key] = new_state
        return reply

    async def _commit(self, key: str, state: _register.RegisterState) -> None:
        if self.learn(key, state):
            await self._push((_to_entry(key, state),), to_replicas=True)

    def learn(self, key: str, state: _register.RegisterState) -> bool:
        """Adopts a committed state if it is newer than the known one.

        Args:
            key: The register's key.
            state: The committed state.

        Returns:
            Whether the state is newer.
        """
        known = self._committed_states.get(key, _register.RegisterState())
        if not state.is_newer_than(known.version):
            return False
        self._committed_states[key] = state
        if key != _voters.VOTERS_KEY:
            self.view.merge(_to_entry(key, state))
        return True

    async def learn_from_peer(
        self, entries: tuple[_view.VersionedEntry, ...]
    ) -> None:
        """Adopts committed entries of another replica."""
        newer_entries = tuple(
            entry
            for entry in entries
            if self.learn(
                entry.key, _register.RegisterState(entry.version, entry.value)
            )
        )
        if newer_entries:
            await self._push(newer_entries, to_replicas=False)

    async def _push(
        self, entries: tuple[_view.VersionedEntry, ...], to_replicas: bool
    ) -> None:
        public_entries = tuple(
            entry for entry in entries if entry.key != _voters.VOTERS_KEY
        )
        for link in list(self._entry_links):
            if public_entries:
                await link.send(_frames.Learned(public_entries))
        if to_replicas:
            for link in list(self.replica_links.values()):
                await link.send(_frames.Learned(entries))

    async def send_all_entries(
        self, link: _links.Link, include_internal: bool
    ) -> None:
        """Sends all committed entries over a new link.

        Args:
            link: The link.
            include_internal: Whether to send the voter set, too.
        """
        entries = [
            _to_entry(key, state)
            for key, state in self._committed_states.items()
            if include_internal or key != _voters.VOTERS_KEY
        ]
        for start in range(0, max(1, len(entries)), ENTRIES_PER_FRAME):
            batch = tuple(entries[start : start + ENTRIES_PER_FRAME])
            await link.send(_frames.Learned(batch))

    async def serve_entry(self, link: _links.Link) -> None:
        """Serves the link to an entry instance until the link is lost."""
        self._entry_links.add(link)
        name = link.hello.name
        report = InstanceReport(link.hello.data_centre, {})
        self.reports[name] = report
        try:
            await self.send_all_entries(link, include_internal=False)
            async for message in link.messages():
                if isinstance(message, _frames.InForce):
                    report.versions.update(message.versions)
        finally:
            self._entry_links.discard(link)
            if self.reports.get(name) is report:
                del self.reports[name]

    async def serve_replica(self, link: _links.Link, is_outgoing: bool) -> None:
        """Serves a link to another replica until the link is lost.

        Args:
            link: The link.
            is_outgoing: Whether this replica opened the link.
        """
        identity = link.hello.identity
        if is_outgoing:
            self.replica_links[identity] = link
        await self.send_all_entries(link, include_internal=True)
        try:
            async with anyio.create_task_group() as tasks:
                async for message in link.messages():
                    _guard.start(
                        tasks, "a message", self._on_message, link, message
                    )
                tasks.cancel_scope.cancel()
        finally:
            if self.replica_links.get(identity) is link:
                del self.replica_links[identity]

    async def _on_message(
        self, link: _links.Link, message: _frames.Message
    ) -> None:
        identity = link.hello.identity
        if isinstance(message, _register.Prepare | _register.Accept):
            reply = await self.handle_acceptor_request(message)
            if reply is not None:
                await link.send(reply)
        elif isinstance(
            message,
            _register.Promise | _register.Accepted | _register.Rejected,
        ):
            await self.handle_reply(identity, message)
        elif isinstance(message, _frames.Learned):
            await self.learn_from_peer(message.entries)
        elif isinstance(message, _frames.ListKeys):
            keys = tuple(sorted(self._acceptor_states))
            answer = _frames.KeysListed(message.request_id, keys)
            await link.send(answer)
        elif isinstance(message, _frames.KeysListed):
            listing = self._key_listings.get(message.request_id)
            if listing is not None:
                listing[identity] = message.keys

    async def repair_forever(self) -> None:
        """Commits accepted states that are not known to be committed.

        A proposer may fail after a quorum accepted a state and before it
        reports the state as committed. A restarted replica knows what it
        accepted, but not what is committed.
        """
        while True:
            for key, acceptor_state in list(self._acceptor_states.items()):
                known = self._committed_states.get(
                    key, _register.RegisterState()
                )
                if (
                    acceptor_state.state.is_newer_than(known.version)
                    and self.is_voter
                ):
                    with _guard.log_errors("repairing", key):
                        await self.read(key)
            await anyio.sleep(REPAIR_INTERVAL_MS / 1000)

    async def change_voters(self, desired_voters: tuple[str, ...]) -> None:
        """Changes the voter set through a joint step.

        Calling it again with the same voters continues an interrupted step.

        Args:
            desired_voters: The identities of the new voters.

        Raises:
            BluebelltideError: If a step fails. The voter set is then the old
                or the joint one, both of which are safe.
        """
        current = (await self._read_or_raise(_voters.VOTERS_KEY)).state
        voters = _voters.decode_voters(current) or self._initial_voters
        if voters.voters == desired_voters and not voters.next_voters:
            return
        if voters.next_voters and voters.next_voters != desired_voters:
            raise _exceptions.BluebelltideError(
                _exceptions.ErrorCode.CONFLICT,
                f"the change to {voters.next_voters} must be finished first",
                _voters.VOTERS_KEY,
            )
        if not voters.next_voters:
            current = await self._set_voters(
                current, _voters.VoterLists(voters.voters, desired_voters)
            )
        # Every entry is written again with a joint quorum, so that a majority
        # of the new voters holds it before they decide on their own.
        for key in await self._list_keys(voters.voters):
            if key != _voters.VOTERS_KEY:
                await self._read_or_raise(key)
        await self._set_voters(current, _voters.VoterLists(desired_voters, ()))
        _LOG.info("changed the voters to {}", ", ".join(desired_voters))

    async def _read_or_raise(self, key: str) -> _register.ChangeResult:
        result = await self.read(key)
        if result.code is not None:
            raise _exceptions.BluebelltideError(
                result.code, "no quorum answered", key
            )
        return result

    async def _set_voters(
        self, current: _register.RegisterState, lists: _voters.VoterLists
    ) -> _register.RegisterState:
        change = _register.Change(
            uuid.uuid4().hex,
            _voters.VOTERS_KEY,
            current.base_version,
            msgspec.json.encode(lists),
        )
        result = await self.change(change)
        if result.code is not None:
            raise _exceptions.BluebelltideError(
                result.code, "the voter set was not changed", _voters.VOTERS_KEY
            )
        return result.state

    async def _list_keys(self, voters: tuple[str, ...]) -> list[str]:
        request = _frames.ListKeys(uuid.uuid4().hex)
        listing: dict[str, tuple[str, ...]] = {
            self.identity: tuple(self._acceptor_states)
        }
        self._key_listings[request.request_id] = listing
        voter_set = _register.Voters(0, voters)
        try:
            with anyio.move_on_after(self._settings.change_timeout_ms / 1000):
                for identity in voters:
                    link = self.replica_links.get(identity)
                    if link is not None:
                        await link.send(request)
                await _wait_until(lambda: voter_set.is_quorum(set(listing)))
        finally:
            del self._key_listings[request.request_id]
        if not voter_set.is_quorum(set(listing)):
            raise _exceptions.BluebelltideError(
                _exceptions.ErrorCode.NO_QUORUM,
                "no quorum of voters listed its keys",
                _voters.VOTERS_KEY,
            )
        return sorted({key for keys in listing.values() for key in keys})


async def _wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await anyio.sleep(0.02)


def _to_entry(key: str, state: _register.RegisterState) -> _view.VersionedEntry:
    """Returns what messages and views hold of a register's state."""
    return _view.VersionedEntry(key, state.encoded_version, state.value)
