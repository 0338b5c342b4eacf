"""Replicates the registers of a direct deployment between control replicas.

One register holds the deployment document, one the evacuated data centres and
one the voters. The register's protocol is in `catalogue._register`. This
controller stores the acceptor's state before it replies, runs proposals by
calls to the other voters and keeps the newest committed states.
"""

from collections.abc import Callable
import pathlib
import time
from typing import NamedTuple
import uuid

import anyio
import anyio.abc

from bluebelltide import _exceptions
from bluebelltide import _metrics
from bluebelltide._events import events
from bluebelltide.catalogue import _deployment
from bluebelltide.catalogue import _evacuations
from bluebelltide.catalogue import _register
from bluebelltide.catalogue import _saved_state
from bluebelltide.catalogue import _store
from bluebelltide.control import _proposals
from bluebelltide.control import _read_tally
from bluebelltide.control import _shared_run
from bluebelltide.control import _voters
from bluebelltide.messaging import _calls

PROPOSAL_TIMEOUT_MS = 900
"""How long a proposal may take. Operators try another replica after 1 s, so a
proposal must end earlier."""
QUERY_ATTEMPTS = 3
"""How many queries a read makes before it proposes."""
QUERY_INTERVAL_MS = 20
"""The time between two queries of a read, in which a change that is in
progress usually ends."""
NO_VOTERS = _register.Voters(0, ())
"""What a replica assumes while it has stored or heard of no voter set: any
proposer's set is newer."""
FIRST_NONCE = "0"
"""Second part of the identities that replicas get at the first start of a
deployment."""


COPIED_KEYS = (_deployment.DEPLOYMENT_KEY, _evacuations.EVACUATIONS_KEY)
"""The keys of the registers that new voters must hold before they decide."""


class ReplicaSettings(NamedTuple):
    """The settings of a control replica."""

    host: str
    """The IP address of the replica's machine."""
    port: int
    """The port for calls and datagrams between processes, on all machines."""
    data_centre: str
    """The data centre of the replica."""
    seed_hosts: tuple[str, ...]
    """The IP addresses of some replicas' machines."""
    data_folder: pathlib.Path
    """The folder that holds the replica's files."""
    is_first_start: bool
    """Whether the whole deployment starts for the first time."""
    minimum_voter_count: int
    """How many voters the tolerated losses need."""
    target_lease_ms: int
    """How long a target may be silent before it counts as gone."""
    bind_host: str = ""
    """The local address for `port` and for outgoing calls, if it is not
    `host`."""


class Outcome(NamedTuple):
    """The outcome of a change or a read."""

    is_certain: bool
    """Whether `state` is known to be committed."""
    state: _register.RegisterState
    """The committed state if the outcome is certain, else an empty one."""


UNCERTAIN = Outcome(False, _register.RegisterState())
"""The outcome if no quorum answered in time, or after a conflict."""


class DeploymentReplica:
    """Acceptor, proposer and learner of one control process.

    Attributes:
        identity: Identifies this replica by its data: a replica that has lost
            its data folder gets a new identity.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        store: _store.Store,
        on_commit: Callable[[], None],
        metrics: _metrics.Metrics,
    ) -> None:
        """Creates the replica; `start` reads its files.

        Args:
            settings: The settings.
            store: The durable store, not yet started.
            on_commit: Called after this replica learns a newer committed
                state.
            metrics: The counters and histograms.
        """
        self.identity = ""
        self._settings = settings
        self._store = store
        self._on_commit = on_commit
        self._metrics = metrics
        self._acceptor_states: dict[str, _register.AcceptorState] = {}
        self._committed_states: dict[str, _register.RegisterState] = {}
        # What the files of `_saved_state` hold, by key.
        self._saved_states: dict[str, _register.RegisterState] = {}
        self._write_lock = anyio.Lock()
        self._proposal_lock = anyio.Lock()
        self._evacuation_lock = anyio.Lock()
        self._deployment_read = _shared_run.SharedRun(
            lambda: self.confirm(_deployment.DEPLOYMENT_KEY)
        )
        self._tasks: anyio.abc.TaskGroup | None = None

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Recovers the durable state.

        Args:
            tasks: Runs calls that may outlive the proposal that made them.
        """
        self._tasks = tasks
        folder = self._settings.data_folder
        identity = _store.read_identity(folder)
        recovered = self._store.start()
        self._acceptor_states = recovered.acceptor_states
        if recovered.torn_bytes:
            events.write("torn_log_cut", torn_bytes=recovered.torn_bytes)
        if identity is None:
            identity = self._create_identity()
        self.identity = identity
        initial = self._acceptor_states.get(_voters.VOTERS_KEY)
        if initial is not None and initial.accepted_ballot.proposer == "":
            # This voter set comes from the first start, not from a proposal.
            # All replicas derive the same one, so it counts as committed.
            self._committed_states[_voters.VOTERS_KEY] = initial.state
        for key in _saved_state.SAVED_KEYS:
            try:
                saved = _saved_state.read_state(folder, key)
            except _exceptions.BluebelltideError as error:
                events.write(f"{key}_not_recovered", error=str(error))
            else:
                self._saved_states[key] = saved

    def _create_identity(self) -> str:
        """Creates an identity for an empty data folder.

        At the first start of a deployment the identities of the voters follow
        from the seeds, so every replica knows the voter set without asking.
        A replica that finds its folder empty later has lost its data and gets
        an identity that has never voted.
        """
        settings = self._settings
        if settings.is_first_start:
            identity = f"{settings.host}~{FIRST_NONCE}"
            first_voters = tuple(
                sorted(f"{host}~{FIRST_NONCE}" for host in settings.seed_hosts)
            )
            value = _voters.encode_voters(_voters.VoterLists(first_voters, ()))
            acceptor_state = _register.AcceptorState(
                state=_register.RegisterState(1, value)
            )
            self._store.write(
                [
                    _register.AcceptorStateWrite(
                        _voters.VOTERS_KEY, acceptor_state
                    )
                ]
            )
            self._acceptor_states[_voters.VOTERS_KEY] = acceptor_state
        else:
            identity = f"{settings.host}~{uuid.uuid4().hex[:8]}"
        _store.write_identity(settings.data_folder, identity)
        return identity

    def close(self) -> None:
        """Closes the store."""
        self._store.close()

    @property
    def voters(self) -> _register.Voters | None:
        """The newest voter set that is accepted or committed here, if any."""
        states = [
            self._committed_states.get(_voters.VOTERS_KEY),
            self._acceptor_states.get(
                _voters.VOTERS_KEY, _register.AcceptorState()
            ).state,
        ]
        found = [
            voters
            for state in states
            if state is not None
            and (voters := _voters.decode_voters(state)) is not None
        ]
        return max(found, key=lambda voters: voters.version, default=None)

    @property
    def committed_voters(self) -> _register.Voters | None:
        """The newest voter set that this replica knows is committed, if any."""
        state = self.committed_state(_voters.VOTERS_KEY)
        return _voters.decode_voters(state)

    def committed_state(self, key: str) -> _register.RegisterState:
        """Returns the newest state that this replica knows is committed."""
        return self._committed_states.get(key, _register.RegisterState())

    def newest_state(self, key: str) -> _register.RegisterState:
        """Returns the newest state that this replica holds, for instances.

        After a restart the state may be uncommitted or out of date. An entry
        instance without any state serves its callers with this one until it
        learns a newer one; instances never go back to an older version.
        """
        # The first one of several with the same version is chosen, so the
        # committed one is preferred.
        states = [self.committed_state(key)]
        if key in self._acceptor_states:
            states.append(self._acceptor_states[key].state)
        if key in self._saved_states:
            states.append(self._saved_states[key])
        return _register.find_newest(states)

    @property
    def evacuations(self) -> _evacuations.EvacuationSet:
        """The newest set of evacuated data centres known to be committed."""
        key = _evacuations.EVACUATIONS_KEY
        return _evacuations.read_evacuations(self.committed_state(key))

    @property
    def unconfirmed_evacuations(self) -> _evacuations.EvacuationSet | None:
        """A newer set that this replica holds, which may be uncommitted."""
        key = _evacuations.EVACUATIONS_KEY
        newest = self.newest_state(key)
        if not newest.is_newer_than(self.committed_state(key).version):
            return None
        try:
            return _evacuations.read_evacuations(newest)
        except _exceptions.BluebelltideError:
            # Another writer may have sent it. It must not end all updates.
            return None

    def unsaved_states(self) -> dict[str, _register.RegisterState]:
        """Returns the committed states that a restart would lose, by key."""
        unsaved = {}
        for key in _saved_state.SAVED_KEYS:
            state = self.committed_state(key)
            acceptor_state = self._acceptor_states.get(
                key, _register.AcceptorState()
            )
            saved = self._saved_states.get(key, _register.RegisterState())
            durable = _register.find_newest((acceptor_state.state, saved))
            if state.is_newer_than(durable.version):
                unsaved[key] = state
        return unsaved

    def save_state(self, key: str, state: _register.RegisterState) -> None:
        """Saves a state for the next start; blocks on the disk.

        Args:
            key: The register's key.
            state: The committed state.

        Raises:
            OSError: If the write fails.
        """
        _saved_state.write_state(self._settings.data_folder, key, state)
        self._saved_states[key] = state

    def learn(self, key: str, state: _register.RegisterState) -> bool:
        """Adopts a committed state if it is newer than the known one.

        Args:
            key: The register's key.
            state: The committed state.

        Returns:
            Whether the state is newer.

        Raises:
            BluebelltideError: With CORRUPT_STORE if the state holds no set of
                evacuated data centres, although its key is theirs.
        """
        if key == _evacuations.EVACUATIONS_KEY:
            _evacuations.read_evacuations(state)
        if not state.is_newer_than(self.committed_state(key).version):
            return False
        self._committed_states[key] = state
        events.write("state_committed", key=key, version=state.version)
        self._on_commit()
        return True

    def accepted_keys(self) -> list[str]:
        """Returns the keys for which this replica has accepted a state."""
        return [
            key
            for key, acceptor_state in self._acceptor_states.items()
            if acceptor_state.state.version is not None
        ]

    def unconfirmed_keys(self) -> list[str]:
        """Returns the keys whose accepted state may not be committed yet."""
        return [
            key
            for key, acceptor_state in self._acceptor_states.items()
            if acceptor_state.state.is_newer_than(
                self.committed_state(key).version
            )
        ]

    async def handle_call(
        self, receiver: str, request: _calls.Request
    ) -> _calls.Answer | None:
        """Answers a call of another replica or of an entry instance.

        Args:
            receiver: The identity that the call is addressed to; empty for
                any replica.
            request: The request.

        Returns:
            The answer, or None if this replica must not answer.
        """
        if isinstance(request, _calls.Fetch):
            committed = self.committed_state(request.key)
            if not request.may_be_unconfirmed:
                return _calls.Fetched(committed)
            newest = self.newest_state(request.key)
            return _calls.Fetched(newest, newest.version == committed.version)
        if receiver != self.identity:
            return None
        voters = self.voters or NO_VOTERS
        if self.identity not in voters.all_voters():
            # A newer voter set, which the proposer knows and this replica
            # does not, may include this replica. It may have become a voter
            # while nobody could reach it, and have stored no voter set. It
            # must answer all the same: the others may need its vote to read
            # what was accepted.
            proposer_voters_version = getattr(
                request, "voters_version", voters.version
            )
            if proposer_voters_version <= voters.version:
                return None
        if isinstance(request, _calls.Query):
            acceptor_state = self._acceptor_states.get(
                request.key, _register.AcceptorState()
            )
            return _calls.QueryAnswer(
                acceptor_state.accepted_ballot,
                _register.encode_version(acceptor_state.state.version),
                voters.version,
            )
        return await self._handle_acceptor_request(request)

    async def _handle_acceptor_request(
        self, request: _register.Prepare | _register.Accept
    ) -> _register.Reply | None:
        async with self._write_lock:
            voters = self.voters or NO_VOTERS
            old_state = self._acceptor_states.get(
                request.key, _register.AcceptorState()
            )
            reply: _register.Reply
            if isinstance(request, _register.Prepare):
                new_state, reply = _register.handle_prepare(
                    old_state, voters, request
                )
            else:
                new_state, reply = _register.handle_accept(
                    old_state, voters, request
                )
            if new_state != old_state:
                write = _register.AcceptorStateWrite(request.key, new_state)
                try:
                    # Even if the call is cancelled, the write must end before
                    # the next one starts.
                    with anyio.CancelScope(shield=True):
                        await anyio.to_thread.run_sync(
                            self._store.write, [write]
                        )
                except OSError as error:
                    events.write("vote_not_stored", error=str(error))
                    return None
                self._acceptor_states[request.key] = new_state
        return reply

    async def put(self, version: int, value: bytes) -> Outcome:
        """Proposes a document; it takes effect unless a newer one exists.

        A document that a committed state supersedes is certain without a
        proposal: a quorum holds that state or a newer one, and each later read
        meets one of them. New voters copy it before they decide alone.

        Args:
            version: The version of the document.
            value: The compressed document.

        Returns:
            The outcome. If it is certain, the version of its state is at
            least `version`.
        """
        key = _deployment.DEPLOYMENT_KEY
        with anyio.move_on_after(PROPOSAL_TIMEOUT_MS / 1000):
            async with self._proposal_lock:
                known = self.committed_state(key)
                if not _deployment.is_superseding(version, known):
                    return Outcome(True, known)
                return await self._propose(
                    key,
                    lambda state: _deployment.apply_deployment(
                        state, version, value
                    ),
                )
        return UNCERTAIN

    async def order_evacuation(self, order: _evacuations.Order) -> Outcome:
        """Proposes an order; one that changes nothing needs a quorum, too.

        Orders have a lock of their own, so that they do not wait for changes
        of the deployment.

        Args:
            order: The order.

        Returns:
            The outcome. If it is certain, the order was in force in its state.
        """
        with anyio.move_on_after(PROPOSAL_TIMEOUT_MS / 1000):
            async with self._evacuation_lock:
                return await self._propose(
                    _evacuations.EVACUATIONS_KEY,
                    lambda state: _evacuations.apply_order(state, order),
                )
        return UNCERTAIN

    async def read(self) -> Outcome:
        """Reads the newest document through a quorum.

        Only a read that several queries leave open makes a proposal, and it
        shares it with the others: proposals for the same key compete.
        """
        key = _deployment.DEPLOYMENT_KEY
        with anyio.move_on_after(PROPOSAL_TIMEOUT_MS / 1000):
            for _ in range(QUERY_ATTEMPTS):
                finding = await self._query_voters(key)
                if finding is _read_tally.Finding.KNOWN_IS_NEWEST:
                    return Outcome(True, self.committed_state(key))
                if finding is _read_tally.Finding.OPEN:
                    # Voters do not answer, so another query would not help.
                    break
                await anyio.sleep(QUERY_INTERVAL_MS / 1000)
            return await self._deployment_read.get()
        return UNCERTAIN

    async def confirm(self, key: str) -> Outcome:
        """Reads a state through a proposal, which repairs voters that lag."""
        return await self._propose(key, _register.apply_read)

    async def _query_voters(self, key: str) -> _read_tally.Finding:
        """Asks the voters what they hold, and learns what is committed.

        Args:
            key: The register's key.

        Returns:
            KNOWN_IS_NEWEST if no newer state is committed than is known here
            now, UNDECIDED if the answers do not tell, and OPEN if too few
            came in time.
        """
        voters = self.voters
        if voters is None:
            return _read_tally.Finding.OPEN
        known_version = self.committed_state(key).version
        tally = _read_tally.ReadTally(voters, known_version)
        finding = _read_tally.Finding.OPEN
        request = _calls.Query(key)
        with anyio.move_on_after(_proposals.ATTEMPT_TIMEOUT_MS / 1000):
            replies = self._call_voters(voters.all_voters(), request)
            async for identity, answer in replies:
                if isinstance(answer, _calls.QueryAnswer):
                    finding = tally.add(identity, answer)
                if finding is not _read_tally.Finding.OPEN:
                    break
        if finding is _read_tally.Finding.BALLOT_IS_COMMITTED:
            is_held = self._learn_accepted(key, tally.committed_ballot)
            return (
                _read_tally.Finding.KNOWN_IS_NEWEST
                if is_held
                else _read_tally.Finding.UNDECIDED
            )
        return finding

    def _learn_accepted(self, key: str, ballot: _register.Ballot) -> bool:
        """Learns the state of a committed ballot if this replica accepted it.

        Args:
            key: The register's key.
            ballot: A ballot that a quorum has accepted.

        Returns:
            Whether this replica holds the state.
        """
        accepted = self._acceptor_states.get(key, _register.AcceptorState())
        if accepted.accepted_ballot != ballot:
            return False
        self.learn(key, accepted.state)
        return True

    async def _propose(
        self, key: str, apply_function: _register.ApplyFunction
    ) -> Outcome:
        voters = self.voters
        if voters is None or not voters.voters:
            return UNCERTAIN
        # A ballot must never be used twice, not even after a restart of the
        # process, so each proposal has a unique proposer name.
        proposer = f"{self.identity}/{uuid.uuid4().hex[:12]}"
        proposal = _register.Proposal(key, proposer, voters, apply_function)
        result: _register.ChangeResult | None = None
        started_s = time.monotonic()
        try:
            with anyio.move_on_after(PROPOSAL_TIMEOUT_MS / 1000):
                result = await _proposals.run_proposal(
                    proposal,
                    lambda: self._promised_round(key),
                    self._call_voters,
                )
        finally:
            # The time limit of a caller may end the proposal, too.
            self._record_proposal(key, voters, started_s, result)
        if result is None:
            return UNCERTAIN
        # The state is committed even if the change conflicted with it.
        self.learn(key, result.state)
        if result.code is not None:
            return UNCERTAIN
        return Outcome(True, result.state)

    def _record_proposal(
        self,
        key: str,
        voters: _register.Voters,
        started_s: float,
        result: _register.ChangeResult | None,
    ) -> None:
        spent_ms = int((time.monotonic() - started_s) * 1000)
        self._metrics.observe_ms("proposal_ms", spent_ms)
        events.write(
            "proposal_ended",
            key=key,
            outcome="committed" if result else "no_quorum",
            version=result.version if result else None,
            voters_version=voters.version,
            spent_ms=spent_ms,
        )

    def _promised_round(self, key: str) -> int:
        return self._acceptor_states.get(
            key, _register.AcceptorState()
        ).promised_ballot.round_number

    def _call_voters(
        self, identities: tuple[str, ...], request: _calls.Request
    ) -> _proposals.Replies:
        assert self._tasks is not None
        return _proposals.call_voters(
            _proposals.CallOrigin(
                self.identity,
                self._settings.port,
                self._settings.bind_host,
                self.handle_call,
            ),
            self._tasks,
            identities,
            request,
        )

    async def change_voters(
        self, desired_voters: tuple[str, ...], base_version: int | None = None
    ) -> bool:
        """Changes the voter set through a joint step.

        Calling it again with the same voters continues an interrupted step.

        Args:
            desired_voters: The identities of the new voters.
            base_version: The version of the voter set that the change is based
                on, None for any. A plan for an older set could bring back a
                voter that has left since.

        Returns:
            Whether the new voter set is committed.
        """
        key = _voters.VOTERS_KEY
        current = await self.confirm(key)
        voters = _voters.decode_voters(current.state)
        if not current.is_certain or voters is None:
            return False
        if voters.next_voters and voters.next_voters != desired_voters:
            return False
        if not voters.next_voters:
            if base_version not in (None, voters.version):
                return False
            joint = _voters.VoterLists(voters.voters, desired_voters)
            current = await self._set_voters(current.state, joint)
            if not current.is_certain:
                return False
        # Each register is written again with a joint quorum, so that a
        # majority of the new voters holds it before they decide on their own.
        for copied_key in COPIED_KEYS:
            copied = await self.confirm(copied_key)
            if not copied.is_certain:
                return False
        final = _voters.VoterLists(desired_voters, ())
        return (await self._set_voters(current.state, final)).is_certain

    async def _set_voters(
        self, current: _register.RegisterState, lists: _voters.VoterLists
    ) -> Outcome:
        change = _register.Change(
            uuid.uuid4().hex,
            _voters.VOTERS_KEY,
            current.base_version,
            _voters.encode_voters(lists),
        )
        return await self._propose(
            _voters.VOTERS_KEY,
            lambda state: _register.apply_change(state, change),
        )
