"""Targets by token that are changed in place.

With thousands of targets, an instance that replaced all of them for each change
would spend its processor on the unchanged ones.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from bluebelltide import _types


class TargetChange(NamedTuple):
    """A change of the target of one token."""

    token: int
    """The token."""
    before: _types.Target | None
    """The target until now, if there was one."""
    after: _types.Target | None
    """The target from now on, if there is one."""


class ChangingTargets(dict[int, _types.Target]):
    """Targets by token, for one user that follows the changes."""

    def __init__(self) -> None:
        """Creates an empty mapping."""
        super().__init__()
        self._changed: dict[int, None] = {}

    def put(self, token: int, target: _types.Target | None) -> None:
        """Sets the target of a token; None removes it."""
        if self.get(token) is target:
            return
        if target is None:
            del self[token]
        else:
            self[token] = target
        self._changed[token] = None

    def take_changed(self) -> Iterable[int]:
        """Returns the tokens that changed since the last call."""
        changed = self._changed
        self._changed = {}
        return changed


def find_changed(
    targets: Mapping[int, _types.Target],
    previous: Mapping[int, _types.Target],
    used_tokens: Iterable[int],
) -> Iterable[int]:
    """Returns the tokens whose targets may differ.

    Args:
        targets: The targets to use from now on.
        previous: The mapping that was passed last time.
        used_tokens: The tokens that the caller knows.

    Returns:
        The tokens that were changed in place, or else all.
    """
    if isinstance(targets, ChangingTargets):
        changed = targets.take_changed()
        if targets is previous:
            return changed
    return dict.fromkeys((*used_tokens, *targets))
