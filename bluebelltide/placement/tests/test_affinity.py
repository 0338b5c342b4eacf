"""Tests of the target tokens that packets carry."""

import pytest

from bluebelltide import _types
from bluebelltide.placement import _affinity
from bluebelltide.placement.tests import test_placer


def test_each_incarnation_of_a_target_has_its_own_token() -> None:
    target = test_placer.make_target("i-1")
    restarted = target._replace(generation=2)
    assert _affinity.compute_token(target) != _affinity.compute_token(restarted)


def test_no_token_equals_the_empty_field() -> None:
    tokens = {
        _affinity.compute_token(test_placer.make_target(str(number)))
        for number in range(2000)
    }
    assert _affinity.NO_TOKEN not in tokens
    assert len(tokens) == 2000


def test_the_older_incarnation_keeps_a_shared_token(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def compute_same_token(target: _types.Target) -> int:
        del target
        return 7

    monkeypatch.setattr(_affinity, "compute_token", compute_same_token)
    older = test_placer.make_target("b")
    newer = test_placer.make_target("a")._replace(generation=2)
    for order in ([older, newer], [newer, older]):
        assert _affinity.assign_tokens(order) == {7: older}
