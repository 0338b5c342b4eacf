"""Lease renewals that a control replica passes on to the other replicas.

A target announces itself to one replica at a time. The others learn from that
replica's polls that the target still lives.
"""

import itertools
from typing import NamedTuple

from bluebelltide import _types
from bluebelltide.membership import _directory
from bluebelltide.messaging import _datagrams
from bluebelltide.placement import _affinity

REPEAT_MS = 1500
"""How long each renewal is repeated in polls, so that a lost poll does not
matter."""


class _Incarnation(NamedTuple):
    """The incarnation of a target that is indexed."""

    generation: int
    token: int


class Renewals:
    """The renewals that one replica received and passes on."""

    def __init__(self, directory: _directory.TargetDirectory) -> None:
        """Creates an empty set of renewals.

        Args:
            directory: The targets whose leases are renewed.
        """
        self._directory = directory
        # Both in order of time.
        self._received_ms: dict[int, int] = {}
        self._packed: dict[int, bytes] = {}
        # The token of each known incarnation, and the targets of each token.
        self._incarnations: dict[_types.TargetId, _Incarnation] = {}
        self._target_ids: dict[int, tuple[_types.TargetId, ...]] = {}
        # The sequence of each token that was applied last.
        self._applied: dict[int, int] = {}
        for target in directory.incarnations():
            self._index_target(target.target_id)
        directory.watch(self._index_target)

    def record(self, target: _types.Target, now_ms: int) -> None:
        """Records an announcement that this replica received itself."""
        token = self._token_of(target)
        # Reinserting keeps the dictionaries ordered by time.
        self._received_ms.pop(token, None)
        self._received_ms[token] = now_ms
        self._packed.pop(token, None)
        self._packed[token] = _datagrams.pack_renewals({token: target.sequence})

    def _token_of(self, target: _types.Target) -> int:
        known = self._incarnations.get(target.target_id)
        if known is not None and known.generation == target.generation:
            return known.token
        return _affinity.compute_token(target)

    def pack_recent(self, now_ms: int) -> bytes:
        """Returns the sequences to pass on, as a poll carries them."""
        self.forget_old(now_ms)
        return b"".join(self._packed.values())

    def apply(self, sequences_by_token: dict[int, int], now_ms: int) -> None:
        """Renews the leases that another replica passed on."""
        applied = self._applied
        for token, sequence in sequences_by_token.items():
            if applied.get(token) == sequence:
                # Most renewals repeat what an earlier poll carried.
                continue
            target_ids = self._target_ids.get(token)
            if target_ids is not None:
                # Tokens rarely collide; then only the target that was indexed
                # last is renewed.
                applied[token] = sequence
                self._directory.renew(target_ids[-1], sequence, now_ms)

    def _index_target(self, target_id: _types.TargetId) -> None:
        """Updates the token of a target whose record has changed."""
        record = self._directory.get(target_id)
        known = self._incarnations.get(target_id)
        generation = None if record is None else record.target.generation
        if known is not None:
            if generation == known.generation:
                return
            self._forget_incarnation(target_id, known.token)
        if record is not None:
            token = _affinity.compute_token(record.target)
            self._incarnations[target_id] = _Incarnation(
                record.target.generation, token
            )
            others = self._target_ids.get(token, ())
            self._target_ids[token] = (*others, target_id)
            self._applied.pop(token, None)

    def _forget_incarnation(
        self, target_id: _types.TargetId, token: int
    ) -> None:
        del self._incarnations[target_id]
        others = tuple(
            one for one in self._target_ids[token] if one != target_id
        )
        if others:
            self._target_ids[token] = others
        else:
            del self._target_ids[token]
        self._applied.pop(token, None)

    def forget_old(self, now_ms: int) -> None:
        """Removes renewals that are no longer passed on."""
        old = itertools.takewhile(
            lambda item: now_ms - item[1] > REPEAT_MS, self._received_ms.items()
        )
        for token, _ in list(old):
            del self._received_ms[token]
            del self._packed[token]
