"""The targets of a directory by token, changed in place.

An instance forwards by token and opens flows to those targets that accept
them. Both depend on other targets in two ways only: incarnations may have the
same token, and an address belongs to the one that started last. So a changed
record touches only the targets that share its token or address.
"""

from collections.abc import Container, Iterable
import itertools
from typing import NamedTuple, TypeVar

from bluebelltide import _types
from bluebelltide.membership import _directory
from bluebelltide.membership import _start_order
from bluebelltide.placement import _affinity
from bluebelltide.placement import _changing_targets

KeyT = TypeVar("KeyT")


class _IndexedRecord(NamedTuple):
    """A record as it is indexed."""

    record: _directory.TargetRecord
    token: int
    order: int
    """Grows with each new target."""


class _Touched(NamedTuple):
    """What must be decided anew."""

    tokens: dict[int, None]
    addresses: dict[_types.Address, None]


class TargetIndex:
    """Finds the targets of one directory by token.

    Attributes:
        known: Every incarnation that open flows may belong to. If several have
            the same token, the oldest one keeps it.
        accepting: Those of them that accept new flows.
    """

    def __init__(self, directory: _directory.TargetDirectory) -> None:
        """Creates the index.

        Args:
            directory: The targets; each of their changes is noted, and is in
                the index after the next `refresh`.
        """
        self.known = _changing_targets.ChangingTargets()
        self.accepting = _changing_targets.ChangingTargets()
        self._directory = directory
        self._services: Container[_types.ServiceName] | None = None
        self._evacuated: tuple[str, ...] = ()
        self._orders = itertools.count()
        self._indexed: dict[_types.TargetId, _IndexedRecord] = {}
        self._by_token: dict[int, tuple[_types.TargetId, ...]] = {}
        self._by_address: dict[_types.Address, tuple[_types.TargetId, ...]] = {}
        # The targets whose records have changed, in the order of the changes.
        self._noted: dict[_types.TargetId, None] = {}
        self._note_all()
        directory.watch(self._note)

    def _note(self, target_id: _types.TargetId) -> None:
        self._noted[target_id] = None

    def _note_all(self) -> None:
        for target in self._directory.incarnations():
            self._noted[target.target_id] = None

    def refresh(
        self,
        services: Container[_types.ServiceName] | None = None,
        evacuated: tuple[str, ...] = (),
    ) -> None:
        """Brings the index up to date.

        If the arguments differ from those of the last call, all targets are
        decided anew.

        Args:
            services: The services that the deployment names; all if None.
            evacuated: The data centres whose targets accept no new flows.
        """
        if (services, evacuated) != (self._services, self._evacuated):
            self._services = services
            self._evacuated = evacuated
            self._note_all()
        touched = _Touched({}, {})
        for target_id in self._noted:
            self._replace(target_id, touched)
        self._noted.clear()
        for token in touched.tokens:
            self.known.put(token, self._find_known(token))
        to_decide = dict(touched.tokens)
        for address in touched.addresses:
            for target_id in self._by_address.get(address, ()):
                to_decide[self._indexed[target_id].token] = None
        owners = self._find_owners(touched.addresses)
        for token in to_decide:
            self._decide(token, owners)

    def _replace(self, target_id: _types.TargetId, touched: _Touched) -> None:
        """Replaces an indexed record by the present one."""
        before = self._indexed.get(target_id)
        record = self._directory.get(target_id)
        token = 0
        if before is not None:
            touched.tokens[before.token] = None
            touched.addresses[before.record.target.address] = None
        if record is not None:
            token = self._token_of(record.target, before)
            touched.tokens[token] = None
            touched.addresses[record.target.address] = None
        if before is not None:
            _remove(self._by_token, before.token, target_id)
            address = before.record.target.address
            _remove(self._by_address, address, target_id)
        if record is None:
            self._indexed.pop(target_id, None)
            return
        order = next(self._orders) if before is None else before.order
        self._indexed[target_id] = _IndexedRecord(record, token, order)
        _add(self._by_token, token, target_id)
        _add(self._by_address, record.target.address, target_id)

    def _token_of(
        self, target: _types.Target, before: _IndexedRecord | None
    ) -> int:
        if (
            before is not None
            and before.record.target.generation == target.generation
        ):
            return before.token
        return _affinity.compute_token(target)

    def _find_known(self, token: int) -> _types.Target | None:
        targets = [
            self._indexed[target_id].record.target
            for target_id in self._by_token.get(token, ())
        ]
        return min(targets, key=_affinity.age_order, default=None)

    def _find_owners(
        self, addresses: Iterable[_types.Address]
    ) -> dict[_types.Address, _types.TargetId]:
        """Returns the target that each of some addresses belongs to.

        The rule is that of `TargetDirectory.live_targets`.
        """
        owners = {}
        for address in addresses:
            candidates = [
                one
                for target_id in self._by_address.get(address, ())
                if self._is_served(one := self._indexed[target_id])
            ]
            if candidates:
                owner = max(candidates, key=_ownership)
                owners[address] = owner.record.target.target_id
        return owners

    def _is_served(self, indexed: _IndexedRecord) -> bool:
        services = self._services
        return services is None or indexed.record.target.service in services

    def _decide(
        self, token: int, owners: dict[_types.Address, _types.TargetId]
    ) -> None:
        """Decides whether the target of a token accepts new flows."""
        target = self.known.get(token)
        if target is not None:
            address = target.address
            if address not in owners:
                owners.update(self._find_owners((address,)))
            record = self._indexed[target.target_id].record
            if (
                owners.get(address) != target.target_id
                or record.has_left
                or target.state == _types.TargetState.DRAINING
                or target.data_centre in self._evacuated
            ):
                target = None
        self.accepting.put(token, target)


def _ownership(indexed: _IndexedRecord) -> tuple[int, int]:
    generation = indexed.record.target.generation
    return _start_order.started_ms(generation), -indexed.order


def _add(
    groups: dict[KeyT, tuple[_types.TargetId, ...]],
    key: KeyT,
    target_id: _types.TargetId,
) -> None:
    groups[key] = (*groups.get(key, ()), target_id)


def _remove(
    groups: dict[KeyT, tuple[_types.TargetId, ...]],
    key: KeyT,
    target_id: _types.TargetId,
) -> None:
    left = tuple(one for one in groups[key] if one != target_id)
    if left:
        groups[key] = left
    else:
        del groups[key]
