"""Tests of the tokens that travel in packets."""

import pytest

from bluebelltide import _types
from bluebelltide.placement import _affinity
from bluebelltide.placement.tests import test_placer


def test_a_restart_under_the_same_id_has_another_token() -> None:
    target = test_placer.make_target("i-1")
    again = target._replace(generation=2)
    assert _affinity.compute_token(target) != _affinity.compute_token(again)


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
    def compute(target: _types.Target) -> int:
        del target
        return 7

    monkeypatch.setattr(_affinity, "compute_token", compute)
    older = test_placer.make_target("b")
    newer = test_placer.make_target("a")._replace(generation=2)
    for order in ([older, newer], [newer, older]):
        assert _affinity.assign_tokens(order) == {7: older}
