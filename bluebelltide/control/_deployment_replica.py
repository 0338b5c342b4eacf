"""The replicated deployment document of one control replica.

The register's protocol is in `catalogue._register`. This controller makes
the acceptor's answers durable, runs proposals over calls to the other voters
and keeps the newest committed states.
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
from bluebelltide.catalogue import _deployment_file
from bluebelltide.catalogue import _register
from bluebelltide.catalogue import _store
from bluebelltide.control import _proposals
from bluebelltide.control import _voters
from bluebelltide.news import _calls

PROPOSAL_TIMEOUT_MS = 900
"""How long a proposal may take; operators turn to another replica after 1 s."""
FIRST_NONCE = "0"
"""The identity's second part at the very first start of a deployment."""


class ReplicaSettings(NamedTuple):
    """What a control replica of a deployment is told."""

    host: str
    """The address of its machine."""
    port: int
    """The port for calls and datagrams between processes, on all machines."""
    data_centre: str
    """Its data centre."""
    seed_hosts: tuple[str, ...]
    """The machines of some replicas."""
    data_folder: pathlib.Path
    """Where its files are."""
    is_first_start: bool
    """Whether the whole deployment starts for the first time."""
    desired_voter_count: int
    """How many replicas should vote."""
    target_lease_ms: int
    """How long a target may be silent."""
    bind_host: str = ""
    """Where `port` is bound and calls leave from, if that isn't `host`."""


class Outcome(NamedTuple):
    """What became of a change or a read."""

    is_certain: bool
    """Whether a quorum answered."""
    state: _register.RegisterState
    """The committed state, if it is certain."""


UNCERTAIN = Outcome(False, _register.RegisterState())
"""No quorum answered in time."""


class DeploymentReplica:
    """Acceptor, proposer and learner of one control process.

    Attributes:
        identity: Names the data of this replica among all replicas.
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
            on_commit: Called after a newer committed state became known.
            metrics: The counters and histograms.
        """
        self.identity = ""
        self._settings = settings
        self._store = store
        self._on_commit = on_commit
        self._metrics = metrics
        self._acceptor_states: dict[str, _register.AcceptorState] = {}
        self._committed_states: dict[str, _register.RegisterState] = {}
        self._saved_deployment = _register.RegisterState()
        self._write_lock = anyio.Lock()
        self._proposal_lock = anyio.Lock()
        self._tasks: anyio.abc.TaskGroup | None = None

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Recovers the durable state.

        Args:
            tasks: Runs calls that outlive the proposal that made them.
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
            self._committed_states[_voters.VOTERS_KEY] = initial.state
        try:
            self._saved_deployment = _deployment_file.read_deployment(folder)
        except _exceptions.BluebelltideError as error:
            events.write("deployment_not_recovered", error=str(error))

    def _create_identity(self) -> str:
        """Names an empty data folder.

        At the very first start every replica knows the first voters without
        asking, since their names follow from the seeds. Later a replica with
        an empty folder has a name that never voted.
        """
        settings = self._settings
        if settings.is_first_start:
            identity = f"{settings.host}~{FIRST_NONCE}"
            first = tuple(
                sorted(f"{host}~{FIRST_NONCE}" for host in settings.seed_hosts)
            )
            value = _voters.encode_voters(_voters.VoterLists(first, ()))
            slot = _register.AcceptorState(
                state=_register.RegisterState(1, value)
            )
            self._store.write(
                [_register.AcceptorStateWrite(_voters.VOTERS_KEY, slot)]
            )
            self._acceptor_states[_voters.VOTERS_KEY] = slot
        else:
            identity = f"{settings.host}~{uuid.uuid4().hex[:8]}"
        _store.write_identity(settings.data_folder, identity)
        return identity

    def close(self) -> None:
        """Closes the store."""
        self._store.close()

    @property
    def voters(self) -> _register.Voters | None:
        """The newest voter set that this replica knows, if any."""
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
        """The newest voter set that is known to be committed, if any."""
        state = self.committed_state(_voters.VOTERS_KEY)
        return _voters.decode_voters(state)

    def committed_state(self, key: str) -> _register.RegisterState:
        """Returns the newest committed state that is known here."""
        return self._committed_states.get(key, _register.RegisterState())

    def newest_state(self, key: str) -> _register.RegisterState:
        """Returns the newest state that an entry instance may begin with.

        After a restart it is not known to be committed, or the newest. An
        instance that has none serves its callers with it until it hears of a
        newer one; instances never go back to an older version.
        """
        states = [self.committed_state(key)]
        if key in self._acceptor_states:
            states.append(self._acceptor_states[key].state)
        if key == _deployment.DEPLOYMENT_KEY:
            states.append(self._saved_deployment)
        # Of equal versions the committed state comes first.
        return max(states, key=lambda state: state.version)

    def unsaved_deployment(self) -> _register.RegisterState | None:
        """Returns the deployment if it would be lost by a restart here."""
        state = self.committed_state(_deployment.DEPLOYMENT_KEY)
        slot = self._acceptor_states.get(
            _deployment.DEPLOYMENT_KEY, _register.AcceptorState()
        )
        kept_version = max(slot.state.version, self._saved_deployment.version)
        return state if state.version > kept_version else None

    def save_deployment(self, state: _register.RegisterState) -> None:
        """Keeps a deployment for the next start; blocks on the disk.

        Raises:
            OSError: If the disk refuses.
        """
        _deployment_file.write_deployment(self._settings.data_folder, state)
        self._saved_deployment = state

    def learn(self, key: str, state: _register.RegisterState) -> bool:
        """Takes a committed state; returns whether it is news."""
        if state.version <= self.committed_state(key).version:
            return False
        self._committed_states[key] = state
        events.write("state_committed", key=key, version=state.version)
        self._on_commit()
        return True

    def accepted_keys(self) -> list[str]:
        """Returns the keys for which this replica has accepted a state."""
        return [
            key
            for key, slot in self._acceptor_states.items()
            if slot.state.version
        ]

    def unconfirmed_keys(self) -> list[str]:
        """Returns the keys that may hold more than is known committed."""
        return [
            key
            for key, slot in self._acceptor_states.items()
            if slot.state.version > self.committed_state(key).version
        ]

    async def handle_call(
        self, receiver: str, request: _calls.Request
    ) -> _calls.Answer | None:
        """Answers a call of another replica or of an entry instance.

        Args:
            receiver: Whom the call is meant for; empty for any replica.
            request: The request.

        Returns:
            The answer, or None if this replica must not answer.
        """
        if isinstance(request, _calls.Fetch):
            committed = self.committed_state(request.key)
            if not request.may_be_unconfirmed:
                return _calls.Fetched(committed)
            offered = self.newest_state(request.key)
            return _calls.Fetched(offered, offered.version == committed.version)
        voters = self.voters
        if receiver != self.identity or voters is None:
            return None
        if self.identity not in voters.all_voters():
            # A proposer that knows newer voters than this one may call it.
            known = getattr(request, "voters_version", voters.version)
            if known <= voters.version:
                return None
        if isinstance(request, _calls.Query):
            slot = self._acceptor_states.get(
                request.key, _register.AcceptorState()
            )
            return _calls.QueryAnswer(
                slot.accepted_ballot, slot.state.version, voters.version
            )
        return await self._handle_acceptor_request(request)

    async def _handle_acceptor_request(
        self, request: _register.Prepare | _register.Accept
    ) -> _register.Reply | None:
        async with self._write_lock:
            voters = self.voters
            if voters is None:
                return None
            slot = self._acceptor_states.get(
                request.key, _register.AcceptorState()
            )
            reply: _register.Reply
            if isinstance(request, _register.Prepare):
                after, reply = _register.handle_prepare(slot, voters, request)
            else:
                after, reply = _register.handle_accept(slot, voters, request)
            if after != slot:
                write = _register.AcceptorStateWrite(request.key, after)
                try:
                    # The write must end before the next one starts, also
                    # if the caller has gone.
                    with anyio.CancelScope(shield=True):
                        await anyio.to_thread.run_sync(
                            self._store.write, [write]
                        )
                except OSError as error:
                    events.write("vote_not_stored", error=str(error))
                    return None
                self._acceptor_states[request.key] = after
        return reply

    async def put(self, version: int, value: bytes) -> Outcome:
        """Makes a document the newest one, unless a newer one is held.

        Args:
            version: The version of the document.
            value: The compressed document.

        Returns:
            The committed state; its version is at least `version`.
        """
        key = _deployment.DEPLOYMENT_KEY
        with anyio.move_on_after(PROPOSAL_TIMEOUT_MS / 1000):
            async with self._proposal_lock:
                known = self.committed_state(key)
                if known.version >= version:
                    return Outcome(True, known)
                return await self._propose(
                    key,
                    lambda state: _deployment.apply_deployment(
                        state, version, value
                    ),
                )
        return UNCERTAIN

    async def read(self) -> Outcome:
        """Reads the newest document through a quorum."""
        key = _deployment.DEPLOYMENT_KEY
        if await self._is_committed_state_newest(key):
            return Outcome(True, self.committed_state(key))
        return await self._propose(key, _register.apply_read)

    async def confirm(self, key: str) -> Outcome:
        """Finds out what is committed, and repairs voters that lag."""
        return await self._propose(key, _register.apply_read)

    async def _is_committed_state_newest(self, key: str) -> bool:
        """Returns whether a quorum holds just the committed state.

        A quorum that has accepted the same ballot has chosen its state, and
        any newer one would show at one of its members.
        """
        voters = self.voters
        if voters is None:
            return False
        known = self.committed_state(key)
        agreed: dict[_register.Ballot, set[str]] = {}
        request = _calls.Query(key)
        with anyio.move_on_after(_proposals.ATTEMPT_TIMEOUT_MS / 1000):
            replies = self._call_voters(voters.all_voters(), request)
            async for identity, answer in replies:
                if not isinstance(answer, _calls.QueryAnswer):
                    continue
                if answer.voters_version > voters.version:
                    return False
                if answer.version != known.version:
                    return False
                same = agreed.setdefault(answer.accepted_ballot, set())
                same.add(identity)
                if voters.is_quorum(same):
                    return True
        return False

    async def _propose(
        self, key: str, apply_function: _register.ApplyFunction
    ) -> Outcome:
        voters = self.voters
        if voters is None or not voters.voters:
            return UNCERTAIN
        # A ballot must never be used twice, also not by a restarted process,
        # so each proposal is a proposer of its own.
        proposer = f"{self.identity}/{uuid.uuid4().hex[:12]}"
        proposal = _register.Proposal(key, proposer, voters, apply_function)
        result: _register.ChangeResult | None = None
        started = time.monotonic()
        with anyio.move_on_after(PROPOSAL_TIMEOUT_MS / 1000):
            result = await _proposals.run_proposal(
                proposal, lambda: self._promised_round(key), self._call_voters
            )
        spent_ms = int((time.monotonic() - started) * 1000)
        self._metrics.observe_ms("proposal_ms", spent_ms)
        events.write(
            "proposal_ended",
            key=key,
            outcome="committed" if result else "no_quorum",
            version=result.version if result else 0,
            voters_version=voters.version,
            spent_ms=spent_ms,
        )
        if result is None:
            return UNCERTAIN
        # A conflict, too, ends with a state that a quorum holds.
        self.learn(key, result.state)
        if result.code is not None:
            return UNCERTAIN
        return Outcome(True, result.state)

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

    async def change_voters(self, desired_voters: tuple[str, ...]) -> bool:
        """Moves to a new voter set by a joint step.

        The same call again continues a step that was cut short.

        Args:
            desired_voters: The identities of the new voters.

        Returns:
            Whether the new set is in force.
        """
        key = _voters.VOTERS_KEY
        current = await self.confirm(key)
        voters = _voters.decode_voters(current.state)
        if not current.is_certain or voters is None:
            return False
        if voters.next_voters and voters.next_voters != desired_voters:
            return False
        if not voters.next_voters:
            joint = _voters.VoterLists(voters.voters, desired_voters)
            current = await self._set_voters(current.state, joint)
            if not current.is_certain:
                return False
        # The document is written again under the joint quorum, so that a
        # majority of the new voters holds it before they decide alone.
        document = await self.confirm(_deployment.DEPLOYMENT_KEY)
        if not document.is_certain:
            return False
        final = _voters.VoterLists(desired_voters, ())
        return (await self._set_voters(current.state, final)).is_certain

    async def _set_voters(
        self, current: _register.RegisterState, lists: _voters.VoterLists
    ) -> Outcome:
        change = _register.Change(
            uuid.uuid4().hex,
            _voters.VOTERS_KEY,
            current.version,
            _voters.encode_voters(lists),
        )
        return await self._propose(
            _voters.VOTERS_KEY,
            lambda state: _register.apply_change(state, change),
        )
