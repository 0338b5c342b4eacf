"""Following what the control replicas know, by polls and their answers.

Entry instances and replicas use the same rules. A poll names the last change
that its sender knows, so an answer holds only what is new. Every replica is
polled in turn: one that is cut off from the others must not be the only
source of an instance that can reach them all.
"""

from collections.abc import Iterable
from typing import NamedTuple

from bluebelltide.news import _messages

FORGET_MS = 20_000
"""How long a replica that is not a seed is polled without an answer."""


class _Cursor(NamedTuple):
    """How far this process has followed one replica."""

    run_id: int = 0
    position: int = 0


class _Contact(NamedTuple):
    """A replica's machine that is polled."""

    named_ms: int
    heard_ms: int


class ReplicaPoller:
    """Decides whom to poll, and keeps how far each replica was followed."""

    def __init__(
        self, own_host: str, data_centre: str, replica: _messages.Replica | None
    ) -> None:
        """Creates a follower that knows no replicas.

        Args:
            own_host: The address of this machine, which is not polled.
            data_centre: The data centre of this process.
            replica: This process, if it is a replica itself.
        """
        self._own_host = own_host
        self._data_centre = data_centre
        self._replica = replica
        self._seeds: set[str] = set()
        self._contacts: dict[str, _Contact] = {}
        self._cursors: dict[str, _Cursor] = {}
        self._turn = 0

    def use_seeds(self, hosts: Iterable[str], now_ms: int) -> None:
        """Takes the replicas' machines that the settings name."""
        self._seeds = set(hosts) - {self._own_host}
        for host in self._seeds:
            self._contacts.setdefault(host, _Contact(now_ms, -FORGET_MS))

    def hosts(self, now_ms: int) -> list[str]:
        """Returns the machines to poll, after forgetting silent ones."""
        for host, contact in list(self._contacts.items()):
            latest_ms = max(contact.named_ms, contact.heard_ms)
            if host not in self._seeds and now_ms - latest_ms > FORGET_MS:
                del self._contacts[host]
                self._cursors.pop(host, None)
        return sorted(self._contacts)

    def next_host(self, now_ms: int) -> str | None:
        """Returns the machine whose turn it is, or None."""
        hosts = self.hosts(now_ms)
        if not hosts:
            return None
        self._turn += 1
        return hosts[self._turn % len(hosts)]

    def make_poll(self, host: str, renewals: bytes = b"") -> _messages.Poll:
        """Makes the poll for a replica's machine."""
        cursor = self._cursors.get(host, _Cursor())
        return _messages.Poll(
            self._own_host,
            self._data_centre,
            self._replica,
            cursor.run_id,
            cursor.position,
            renewals,
        )

    def receive(self, update: _messages.Update, now_ms: int) -> bool:
        """Takes an answer or an unasked update.

        Args:
            update: The update; its records may be merged in any case.
            now_ms: The present time.

        Returns:
            Whether to poll the same replica again at once.
        """
        host = update.replica.host
        for replica in update.replicas:
            self._name(replica.host, now_ms)
        self._name(host, now_ms)
        if host not in self._contacts:
            return False
        contact = self._contacts[host]
        self._contacts[host] = contact._replace(heard_ms=now_ms)
        return self._advance(host, update)

    def _name(self, host: str, now_ms: int) -> None:
        if host == self._own_host:
            return
        contact = self._contacts.get(host, _Contact(now_ms, -FORGET_MS))
        self._contacts[host] = contact._replace(named_ms=now_ms)

    def _advance(self, host: str, update: _messages.Update) -> bool:
        cursor = self._cursors.get(host, _Cursor())
        if cursor.run_id != update.run_id:
            # The replica started anew; its indexes count from zero again.
            cursor = _Cursor(update.run_id, 0)
        if update.first_index <= cursor.position < update.last_index:
            cursor = cursor._replace(position=update.last_index)
        self._cursors[host] = cursor
        return update.has_more or update.first_index > cursor.position
