"""Failure detection between entry instances, after the SWIM protocol.

Each round an instance pings one peer. Without an answer it asks other peers to
ping it too, so a one-way cut between two instances is not taken for a death.
Then the peer is suspected; it can refute by raising its incarnation. After a
suspicion time, shortened as more instances suspect it, it is dead. Updates
ride on the pings.

The module does no input or output: time and random numbers are passed in.
"""

from enum import IntEnum
import random
from typing import NamedTuple

from bluebelltide import _types

ROUND_MS = 500
"""Time between two pings of an instance."""
ACK_TIMEOUT_MS = 200
"""How long a peer may take to answer a ping."""
HELPERS = 3
"""How many peers are asked to ping a silent one."""
SUSPICION_MS = 3000
"""How long one observer's suspicion lasts before death."""
CONFIRMED_SUSPICION_MS = 1000
"""How long the suspicion of several observers lasts before death."""
UPDATES_PER_MESSAGE = 8
"""How many member updates ride on one message."""
FORGET_DEAD_MS = 600_000
"""How long a dead member is remembered, and pinged now and then."""
DEAD_PING_ROUNDS = 10
"""A dead member is pinged once in so many rounds, to meet after a cut."""


class MemberStatus(IntEnum):
    """What is known of a member; a higher value wins at equal incarnation."""

    ALIVE = 0
    """It answers."""
    SUSPECT = 1
    """It did not answer in time."""
    DEAD = 2
    """It did not refute the suspicion."""
    LEFT = 3
    """It stopped by plan."""


class Member(NamedTuple):
    """One instance as gossip carries it."""

    name: _types.InstanceId
    """The instance's name."""
    incarnation: int
    """Raised by the instance itself at each start and refutation."""
    status: MemberStatus
    """What is known of it."""
    data_centre: str
    """Its data centre."""
    peer_address: _types.Address
    """Where it accepts links."""
    is_ready: bool
    """Whether it takes new flows; false while it starts or stops."""
    relay_address: _types.Address | None = None
    """Where it takes relayed packets, if it has a packet front."""


class Ping(NamedTuple):
    """A heartbeat."""

    sender: _types.InstanceId
    """Who asks."""
    sequence: int
    """Copied into the answer."""
    updates: tuple[Member, ...]
    """Members that changed lately."""


class Ack(NamedTuple):
    """The answer to a heartbeat."""

    sender: _types.InstanceId
    """Who answered."""
    sequence: int
    """The sequence of the ping."""
    updates: tuple[Member, ...]
    """Members that changed lately."""


class PingRequest(NamedTuple):
    """Asks a peer to ping a silent member."""

    sender: _types.InstanceId
    """Who asks."""
    subject: _types.InstanceId
    """The silent member."""
    sequence: int
    """Copied into the Ack that is passed back."""
    updates: tuple[Member, ...]
    """Members that changed lately."""


SwimMessage = Ping | Ack | PingRequest


class SendTo(NamedTuple):
    """Action: send a message to a member."""

    name: _types.InstanceId
    """The receiver."""
    message: SwimMessage
    """The message."""


class MemberChanged(NamedTuple):
    """Action: a member's record changed."""

    before: Member | None
    """The record until now, or None for a new member."""
    after: Member
    """The record from now on."""


Action = SendTo | MemberChanged


class _Suspicion(NamedTuple):
    since_ms: int
    observers: frozenset[str]


class Swim:
    """One instance's view of the members of its data centre."""

    def __init__(self, own: Member, seed: int) -> None:
        """Creates a view that knows only the instance itself."""
        self.own_member = own
        self.members: dict[str, Member] = {own.name: own}
        self._random = random.Random(seed)
        self._order: list[str] = []
        self._sequence = 0
        self._rounds = 0
        self._waiting: dict[int, tuple[str, int, bool]] = {}
        self._helping: dict[int, tuple[PingRequest, int]] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        self._dead_since_ms: dict[str, int] = {}
        self._spread: dict[str, int] = {own.name: 0}
        self._next_round_ms = 0
        self.last_heard_ms: dict[str, int] = {}

    def live_members(self) -> list[Member]:
        """Returns members that are alive or only suspected, by name."""
        return [
            member
            for _, member in sorted(self.members.items())
            if member.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)
        ]

    def update_own_member(
        self, is_ready: bool, status: MemberStatus = MemberStatus.ALIVE
    ) -> None:
        """Publishes this instance's own state."""
        self.own_member = self.own_member._replace(
            is_ready=is_ready,
            status=status,
            incarnation=self.own_member.incarnation + 1,
        )
        self.members[self.own_member.name] = self.own_member
        self._spread[self.own_member.name] = 0

    def tick(self, now_ms: int) -> list[Action]:
        """Runs timers; call it about every 100 ms.

        Args:
            now_ms: The present time.

        Returns:
            Messages to send and members that changed.
        """
        actions: list[Action] = []
        self._check_waiting(now_ms, actions)
        self._check_suspicions(now_ms, actions)
        self._forget_dead(now_ms, actions)
        if now_ms >= self._next_round_ms:
            self._next_round_ms = now_ms + ROUND_MS
            self._ping_next(now_ms, actions)
        return actions

    def receive(self, message: SwimMessage, now_ms: int) -> list[Action]:
        """Takes a message from a peer.

        Args:
            message: The message.
            now_ms: The present time.

        Returns:
            Messages to send and members that changed.
        """
        actions: list[Action] = []
        self.last_heard_ms[message.sender] = now_ms
        for update in message.updates:
            self._merge(update, message.sender, now_ms, actions)
        if isinstance(message, Ping):
            self._tell_accused(message.sender, actions)
            ack = Ack(self.own_member.name, message.sequence, self._updates())
            actions.append(SendTo(message.sender, ack))
        elif isinstance(message, Ack):
            self._on_ack(message, actions)
        else:
            self._help(message, now_ms, actions)
        return actions

    def _tell_accused(self, name: str, actions: list[Action]) -> None:
        """Tells a sender that this instance takes it for dead."""
        member = self.members.get(name)
        if member is not None and member.status == MemberStatus.DEAD:
            ping = Ping(self.own_member.name, 0, (member,))
            actions.append(SendTo(name, ping))

    def add_member(self, member: Member, now_ms: int) -> list[Action]:
        """Takes a member that was learned outside of gossip."""
        actions: list[Action] = []
        self._merge(member, self.own_member.name, now_ms, actions)
        return actions

    def _ping_next(self, now_ms: int, actions: list[Action]) -> None:
        peers = {m.name for m in self.live_members()} - {self.own_member.name}
        self._order = [name for name in self._order if name in peers]
        if not self._order:
            self._order = sorted(peers)
            self._random.shuffle(self._order)
        if self._order:
            self._send_ping(self._order.pop(), now_ms, actions)
        self._rounds += 1
        dead = sorted(
            member.name
            for member in self.members.values()
            if member.status == MemberStatus.DEAD
        )
        if dead and self._rounds % DEAD_PING_ROUNDS == 0:
            name = dead[self._rounds // DEAD_PING_ROUNDS % len(dead)]
            ping = Ping(self.own_member.name, 0, self._updates(name))
            actions.append(SendTo(name, ping))

    def _send_ping(self, name: str, now_ms: int, actions: list[Action]) -> None:
        self._sequence += 1
        self._waiting[self._sequence] = (name, now_ms, False)
        ping = Ping(self.own_member.name, self._sequence, self._updates(name))
        actions.append(SendTo(name, ping))

    def _check_waiting(self, now_ms: int, actions: list[Action]) -> None:
        for sequence, (name, since_ms, asked) in list(self._waiting.items()):
            waited_ms = now_ms - since_ms
            if waited_ms > 3 * ACK_TIMEOUT_MS:
                del self._waiting[sequence]
                self._suspect(name, self.own_member.name, now_ms, actions)
            elif waited_ms > ACK_TIMEOUT_MS and not asked:
                self._waiting[sequence] = (name, since_ms, True)
                self._ask_helpers(name, sequence, actions)
        for sequence, (_, since_ms) in list(self._helping.items()):
            if now_ms - since_ms > 3 * ACK_TIMEOUT_MS:
                del self._helping[sequence]

    def _ask_helpers(
        self, name: str, sequence: int, actions: list[Action]
    ) -> None:
        others = [
            member.name
            for member in self.live_members()
            if member.name not in (name, self.own_member.name)
        ]
        for helper in self._random.sample(others, min(HELPERS, len(others))):
            request = PingRequest(self.own_member.name, name, sequence, ())
            actions.append(SendTo(helper, request))

    def _help(
        self, request: PingRequest, now_ms: int, actions: list[Action]
    ) -> None:
        self._sequence += 1
        self._helping[self._sequence] = (request, now_ms)
        ping = Ping(self.own_member.name, self._sequence, ())
        actions.append(SendTo(request.subject, ping))

    def _on_ack(self, ack: Ack, actions: list[Action]) -> None:
        if ack.sequence in self._helping:
            request, _ = self._helping.pop(ack.sequence)
            passed = Ack(ack.sender, request.sequence, ack.updates)
            actions.append(SendTo(request.sender, passed))
            return
        self._waiting.pop(ack.sequence, None)

    def _suspect(
        self, name: str, observer: str, now_ms: int, actions: list[Action]
    ) -> None:
        member = self.members.get(name)
        if member is None or member.status >= MemberStatus.DEAD:
            return
        suspicion = self._suspicions.get(name)
        if suspicion is None:
            suspicion = _Suspicion(now_ms, frozenset())
        observers = suspicion.observers | {observer}
        self._suspicions[name] = suspicion._replace(observers=observers)
        if member.status == MemberStatus.ALIVE:
            self._set(member._replace(status=MemberStatus.SUSPECT), actions)

    def _check_suspicions(self, now_ms: int, actions: list[Action]) -> None:
        for name, suspicion in list(self._suspicions.items()):
            limit_ms = SUSPICION_MS
            if len(suspicion.observers) > 1:
                limit_ms = CONFIRMED_SUSPICION_MS
            if now_ms - suspicion.since_ms < limit_ms:
                continue
            del self._suspicions[name]
            member = self.members[name]
            if member.status == MemberStatus.SUSPECT:
                self._dead_since_ms[name] = now_ms
                self._set(member._replace(status=MemberStatus.DEAD), actions)

    def _forget_dead(self, now_ms: int, actions: list[Action]) -> None:
        for name, since_ms in list(self._dead_since_ms.items()):
            if now_ms - since_ms > FORGET_DEAD_MS:
                del self._dead_since_ms[name]
                gone = self.members.pop(name)
                self._spread.pop(name, None)
                left = gone._replace(status=MemberStatus.LEFT)
                actions.append(MemberChanged(gone, left))

    def _merge(
        self,
        update: Member,
        observer: str,
        now_ms: int,
        actions: list[Action],
    ) -> None:
        if update.name == self.own_member.name:
            self._refute(update)
            return
        known = self.members.get(update.name)
        if known is not None and (
            (update.incarnation, update.status)
            <= (known.incarnation, known.status)
        ):
            if update == known and update.status == MemberStatus.SUSPECT:
                self._suspect(update.name, observer, now_ms, actions)
            return
        if update.status == MemberStatus.SUSPECT:
            self._set(update, actions)
            self._suspect(update.name, observer, now_ms, actions)
            return
        self._suspicions.pop(update.name, None)
        self._dead_since_ms.pop(update.name, None)
        if update.status >= MemberStatus.DEAD:
            self._dead_since_ms[update.name] = now_ms
        self._set(update, actions)

    def _refute(self, update: Member) -> None:
        is_accusation = update.status in (
            MemberStatus.SUSPECT,
            MemberStatus.DEAD,
        )
        if is_accusation and update.incarnation >= self.own_member.incarnation:
            self.own_member = self.own_member._replace(
                incarnation=update.incarnation + 1
            )
            self.members[self.own_member.name] = self.own_member
            self._spread[self.own_member.name] = 0

    def _set(self, member: Member, actions: list[Action]) -> None:
        before = self.members.get(member.name)
        self.members[member.name] = member
        self._spread[member.name] = 0
        actions.append(MemberChanged(before, member))

    def _updates(self, receiver: str | None = None) -> tuple[Member, ...]:
        limit = 3 * max(1, len(self.members)).bit_length()
        names = sorted(self._spread, key=lambda name: self._spread[name])
        # An accused receiver must hear of it, so that it can refute.
        accused = self.members.get(receiver or "")
        if accused is not None and accused.status != MemberStatus.ALIVE:
            names = [accused.name, *names]
        chosen = []
        for name in dict.fromkeys(names[:UPDATES_PER_MESSAGE]):
            chosen.append(self.members[name])
            self._spread[name] = self._spread.get(name, 0) + 1
            if self._spread[name] > limit:
                del self._spread[name]
        return tuple(chosen)
