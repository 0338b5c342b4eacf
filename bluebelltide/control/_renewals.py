"""Lease renewals that a control replica passes on to the other replicas.

A target announces itself to one replica at a time. The others learn from that
replica's polls that the target still lives.
"""

from bluebelltide import _types
from bluebelltide.membership import _directory
from bluebelltide.placement import _affinity

REPEAT_MS = 1500
"""How long each renewal is repeated in polls, so that a lost poll does not
matter."""


class Renewals:
    """The renewals that one replica received and passes on."""

    def __init__(self, directory: _directory.TargetDirectory) -> None:
        """Creates an empty set of renewals.

        Args:
            directory: The targets whose leases are renewed.
        """
        self._directory = directory
        self._sequences: dict[int, int] = {}
        self._received_ms: dict[int, int] = {}
        self._target_ids: dict[int, _types.TargetId] = {}
        self._indexed_change = -1

    def record(self, target: _types.Target, now_ms: int) -> None:
        """Records an announcement that this replica received itself."""
        token = _affinity.compute_token(target)
        # Reinserting keeps the dictionaries ordered by time.
        self._received_ms.pop(token, None)
        self._received_ms[token] = now_ms
        self._sequences[token] = target.sequence

    def recent(self, now_ms: int) -> dict[int, int]:
        """Returns the sequences to pass on, by token."""
        found: dict[int, int] = {}
        for token, received_ms in reversed(self._received_ms.items()):
            if now_ms - received_ms > REPEAT_MS:
                break
            found[token] = self._sequences[token]
        return found

    def apply(self, sequences_by_token: dict[int, int], now_ms: int) -> None:
        """Renews the leases that another replica passed on."""
        if not sequences_by_token:
            return
        target_ids = self._index_targets()
        for token, sequence in sequences_by_token.items():
            target_id = target_ids.get(token)
            if target_id is not None:
                self._directory.renew(target_id, sequence, now_ms)

    def _index_targets(self) -> dict[int, _types.TargetId]:
        """Returns the ids of the known targets by token."""
        if self._indexed_change != self._directory.last_index:
            self._indexed_change = self._directory.last_index
            self._target_ids = {
                _affinity.compute_token(target): target.target_id
                for target in self._directory.incarnations()
            }
        return self._target_ids

    def forget_old(self, now_ms: int) -> None:
        """Removes renewals that are no longer passed on."""
        for token, received_ms in list(self._received_ms.items()):
            if now_ms - received_ms <= REPEAT_MS:
                break
            del self._received_ms[token]
            del self._sequences[token]
