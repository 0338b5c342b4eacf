"""Failure detection between entry instances, after the SWIM protocol.

In each protocol period an instance pings one peer. If the peer does not
answer, the instance asks other peers to ping it, so that a partition between
two instances, even in one direction, does not count as a failure. Then the
peer is suspected; it can refute the suspicion by raising its incarnation. It
is declared dead when the suspicion times out, which happens sooner if several
instances suspect it. Membership updates are piggybacked on pings and acks.

The module does no I/O: the caller passes in the time and a random seed.
"""

from enum import IntEnum
import random
from typing import NamedTuple

from bluebelltide import _types

PROTOCOL_PERIOD_MS = 500
"""Time between two pings that an instance sends."""
ACK_TIMEOUT_MS = 200
"""How long to wait for an ack before indirect pings are requested; after three
times as long the peer is suspected."""
INDIRECT_PINGS = 3
"""How many peers are asked to ping a peer that does not answer."""
SUSPICION_TIMEOUT_MS = 3000
"""How long a member that one observer suspects has to refute it."""
CONFIRMED_SUSPICION_TIMEOUT_MS = 1000
"""How long a member that several observers suspect has to refute it."""
UPDATES_PER_MESSAGE = 8
"""How many membership updates a message carries at most."""
DEAD_RETENTION_MS = 600_000
"""How long a member that is dead or has left stays in the member list; a dead
one is still pinged."""
PERIODS_PER_DEAD_PING = 10
"""One dead member is pinged every this many protocol periods, so that the
sides of a partition find each other when it heals."""


class MemberStatus(IntEnum):
    """State of a member; at equal incarnation the higher value wins."""

    ALIVE = 0
    """The member answers pings."""
    SUSPECT = 1
    """The member did not answer in time."""
    DEAD = 2
    """The member did not refute the suspicion in time."""
    LEFT = 3
    """The member shut down as planned."""


class Member(NamedTuple):
    """The gossiped record of one instance."""

    name: _types.InstanceId
    """The instance's name."""
    incarnation: int
    """Raised only by the instance itself, at each start and refutation."""
    status: MemberStatus
    """The instance's state as far as the sender knows."""
    data_centre: str
    """The instance's data centre."""
    peer_address: _types.Address
    """Where the instance accepts peer links."""
    is_ready: bool
    """Whether the instance accepts new flows; false during start and stop."""
    relay_address: _types.Address | None = None
    """Where the instance receives relayed packets, if it has a packet
    front."""


class Ping(NamedTuple):
    """Checks that a peer is alive."""

    sender: _types.InstanceId
    """The instance that sends the ping."""
    sequence: int
    """Copied into the ack; 0 if the sender does not wait for one."""
    updates: tuple[Member, ...]
    """Recently changed members."""


class Ack(NamedTuple):
    """Answers a ping."""

    sender: _types.InstanceId
    """The instance that was pinged."""
    sequence: int
    """The sequence of the ping."""
    updates: tuple[Member, ...]
    """Recently changed members."""


class PingRequest(NamedTuple):
    """Asks a peer to ping a member that does not answer the sender."""

    sender: _types.InstanceId
    """The instance that asks."""
    subject: _types.InstanceId
    """The member to ping."""
    sequence: int
    """Copied into the ack that is forwarded to the sender."""
    updates: tuple[Member, ...]
    """Recently changed members."""


SwimMessage = Ping | Ack | PingRequest


class SendTo(NamedTuple):
    """An action: the caller sends a message to a member."""

    name: _types.InstanceId
    """The name of the receiver."""
    message: SwimMessage
    """The message to send."""


class MemberChanged(NamedTuple):
    """An action: the caller handles the change of a member's record."""

    before: Member | None
    """The previous record, or None for a new member."""
    after: Member
    """The new record."""


Action = SendTo | MemberChanged


class _Suspicion(NamedTuple):
    """The instances that suspect a member."""

    since_ms: int
    observers: frozenset[str]


class Swim:
    """One instance's list of the members of its data centre."""

    def __init__(self, own_member: Member, seed: int) -> None:
        """Creates a list that holds only the instance itself."""
        self.own_member = own_member
        self.members: dict[str, Member] = {own_member.name: own_member}
        self._random = random.Random(seed)
        self._ping_order: list[str] = []
        self._sequence = 0
        self._period_count = 0
        # By ping sequence: the pinged peer, when the ping was sent, and
        # whether indirect pings were requested.
        self._pending_acks: dict[int, tuple[str, int, bool]] = {}
        # By ping sequence: the request that the ping serves and when the
        # ping was sent.
        self._indirect_pings: dict[int, tuple[PingRequest, int]] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        # When members became dead or left.
        self._dead_since_ms: dict[str, int] = {}
        # How often each recent update was sent; rarely sent ones go first.
        self._update_send_counts: dict[str, int] = {own_member.name: 0}
        self._next_period_ms = 0
        self.last_received_ms: dict[str, int] = {}

    def live_members(self) -> list[Member]:
        """Returns alive and suspected members, sorted by name."""
        return [
            member
            for _, member in sorted(self.members.items())
            if member.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)
        ]

    def update_own_member(
        self, is_ready: bool, status: MemberStatus = MemberStatus.ALIVE
    ) -> None:
        """Changes this instance's own record and gossips it."""
        self.own_member = self.own_member._replace(
            is_ready=is_ready,
            status=status,
            incarnation=self.own_member.incarnation + 1,
        )
        self.members[self.own_member.name] = self.own_member
        self._update_send_counts[self.own_member.name] = 0

    def tick(self, now_ms: int) -> list[Action]:
        """Runs the timers; must be called about every 100 ms.

        Args:
            now_ms: The current time.

        Returns:
            Messages to send and changes of members.
        """
        actions: list[Action] = []
        self._check_pending_acks(now_ms, actions)
        self._check_suspicions(now_ms, actions)
        self._remove_dead(now_ms, actions)
        if now_ms >= self._next_period_ms:
            self._next_period_ms = now_ms + PROTOCOL_PERIOD_MS
            self._ping_next(now_ms, actions)
        return actions

    def receive(self, message: SwimMessage, now_ms: int) -> list[Action]:
        """Handles a message from a peer.

        Args:
            message: The message.
            now_ms: The current time.

        Returns:
            Messages to send and changes of members.
        """
        actions: list[Action] = []
        self.last_received_ms[message.sender] = now_ms
        for update in message.updates:
            self._merge(update, message.sender, now_ms, actions)
        if isinstance(message, Ping):
            self._notify_dead_sender(message.sender, actions)
            ack = Ack(
                self.own_member.name, message.sequence, self._select_updates()
            )
            actions.append(SendTo(message.sender, ack))
        elif isinstance(message, Ack):
            self._on_ack(message, actions)
        else:
            self._ping_for_requester(message, now_ms, actions)
        return actions

    def _notify_dead_sender(self, name: str, actions: list[Action]) -> None:
        """Notifies a sender that is listed as dead, so that it refutes it."""
        member = self.members.get(name)
        if member is not None and member.status == MemberStatus.DEAD:
            ping = Ping(self.own_member.name, 0, (member,))
            actions.append(SendTo(name, ping))

    def add_member(self, member: Member, now_ms: int) -> list[Action]:
        """Merges a member's record that was not received by gossip."""
        actions: list[Action] = []
        self._merge(member, self.own_member.name, now_ms, actions)
        return actions

    def _ping_next(self, now_ms: int, actions: list[Action]) -> None:
        peers = {peer.name for peer in self.live_members()} - {
            self.own_member.name
        }
        self._ping_order = [name for name in self._ping_order if name in peers]
        if not self._ping_order:
            self._ping_order = sorted(peers)
            self._random.shuffle(self._ping_order)
        if self._ping_order:
            self._send_ping(self._ping_order.pop(), now_ms, actions)
        self._period_count += 1
        dead = sorted(
            member.name
            for member in self.members.values()
            if member.status == MemberStatus.DEAD
        )
        if dead and self._period_count % PERIODS_PER_DEAD_PING == 0:
            name = dead[self._period_count // PERIODS_PER_DEAD_PING % len(dead)]
            ping = Ping(self.own_member.name, 0, self._select_updates(name))
            actions.append(SendTo(name, ping))

    def _send_ping(self, name: str, now_ms: int, actions: list[Action]) -> None:
        self._sequence += 1
        self._pending_acks[self._sequence] = (name, now_ms, False)
        ping = Ping(
            self.own_member.name, self._sequence, self._select_updates(name)
        )
        actions.append(SendTo(name, ping))

    def _check_pending_acks(self, now_ms: int, actions: list[Action]) -> None:
        for sequence, (name, sent_ms, was_requested) in list(
            self._pending_acks.items()
        ):
            waited_ms = now_ms - sent_ms
            if waited_ms > 3 * ACK_TIMEOUT_MS:
                del self._pending_acks[sequence]
                self._suspect(name, self.own_member.name, now_ms, actions)
            elif waited_ms > ACK_TIMEOUT_MS and not was_requested:
                self._pending_acks[sequence] = (name, sent_ms, True)
                self._request_indirect_pings(name, sequence, actions)
        for sequence, (_, sent_ms) in list(self._indirect_pings.items()):
            if now_ms - sent_ms > 3 * ACK_TIMEOUT_MS:
                del self._indirect_pings[sequence]

    def _request_indirect_pings(
        self, name: str, sequence: int, actions: list[Action]
    ) -> None:
        others = [
            member.name
            for member in self.live_members()
            if member.name not in (name, self.own_member.name)
        ]
        for helper in self._random.sample(
            others, min(INDIRECT_PINGS, len(others))
        ):
            request = PingRequest(self.own_member.name, name, sequence, ())
            actions.append(SendTo(helper, request))

    def _ping_for_requester(
        self, request: PingRequest, now_ms: int, actions: list[Action]
    ) -> None:
        self._sequence += 1
        self._indirect_pings[self._sequence] = (request, now_ms)
        ping = Ping(self.own_member.name, self._sequence, ())
        actions.append(SendTo(request.subject, ping))

    def _on_ack(self, ack: Ack, actions: list[Action]) -> None:
        if ack.sequence in self._indirect_pings:
            request, _ = self._indirect_pings.pop(ack.sequence)
            forwarded = Ack(ack.sender, request.sequence, ack.updates)
            actions.append(SendTo(request.sender, forwarded))
            return
        self._pending_acks.pop(ack.sequence, None)

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
            self._set_member(
                member._replace(status=MemberStatus.SUSPECT), actions
            )

    def _check_suspicions(self, now_ms: int, actions: list[Action]) -> None:
        for name, suspicion in list(self._suspicions.items()):
            timeout_ms = SUSPICION_TIMEOUT_MS
            if len(suspicion.observers) > 1:
                timeout_ms = CONFIRMED_SUSPICION_TIMEOUT_MS
            if now_ms - suspicion.since_ms < timeout_ms:
                continue
            del self._suspicions[name]
            member = self.members[name]
            if member.status == MemberStatus.SUSPECT:
                self._dead_since_ms[name] = now_ms
                self._set_member(
                    member._replace(status=MemberStatus.DEAD), actions
                )

    def _remove_dead(self, now_ms: int, actions: list[Action]) -> None:
        for name, since_ms in list(self._dead_since_ms.items()):
            if now_ms - since_ms > DEAD_RETENTION_MS:
                del self._dead_since_ms[name]
                removed = self.members.pop(name)
                self._update_send_counts.pop(name, None)
                left = removed._replace(status=MemberStatus.LEFT)
                actions.append(MemberChanged(removed, left))

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
            self._set_member(update, actions)
            self._suspect(update.name, observer, now_ms, actions)
            return
        self._suspicions.pop(update.name, None)
        self._dead_since_ms.pop(update.name, None)
        if update.status >= MemberStatus.DEAD:
            self._dead_since_ms[update.name] = now_ms
        self._set_member(update, actions)

    def _refute(self, update: Member) -> None:
        is_failure_report = update.status in (
            MemberStatus.SUSPECT,
            MemberStatus.DEAD,
        )
        if (
            is_failure_report
            and update.incarnation >= self.own_member.incarnation
        ):
            self.own_member = self.own_member._replace(
                incarnation=update.incarnation + 1
            )
            self.members[self.own_member.name] = self.own_member
            self._update_send_counts[self.own_member.name] = 0

    def _set_member(self, member: Member, actions: list[Action]) -> None:
        before = self.members.get(member.name)
        self.members[member.name] = member
        self._update_send_counts[member.name] = 0
        actions.append(MemberChanged(before, member))

    def _select_updates(
        self, receiver: str | None = None
    ) -> tuple[Member, ...]:
        # Gossip reaches all members if each update is sent a number of times
        # that grows with the logarithm of the member count.
        maximum_send_count = 3 * max(1, len(self.members)).bit_length()
        names = sorted(
            self._update_send_counts,
            key=lambda name: self._update_send_counts[name],
        )
        # A receiver that is suspected or dead must get its own record, so
        # that it can refute it.
        receiver_record = self.members.get(receiver or "")
        if (
            receiver_record is not None
            and receiver_record.status != MemberStatus.ALIVE
        ):
            names = [receiver_record.name, *names]
        chosen = []
        for name in dict.fromkeys(names[:UPDATES_PER_MESSAGE]):
            chosen.append(self.members[name])
            self._update_send_counts[name] = (
                self._update_send_counts.get(name, 0) + 1
            )
            if self._update_send_counts[name] > maximum_send_count:
                del self._update_send_counts[name]
        return tuple(chosen)
