"""Tests of the weights for an even load."""

from bluebelltide.flows import _epoch
from bluebelltide.flows import _weights


def epoch(**counts: int) -> _epoch.Epoch:
    assignment = tuple(name for name, n in counts.items() for _ in range(n))
    table = _epoch.ServiceTable("s", assignment, ())
    return _epoch.Epoch(1, "l", ("a",), (table,))


def test_correction_of_an_overloaded_target_is_bounded() -> None:
    weights = _weights.even_load_weights(
        epoch(x=100, y=100), "s", {"x": 3000, "y": 1000}
    )
    assert weights == {"x": 0.9, "y": 1.1}


def test_correction_starts_from_the_weights_of_the_epoch() -> None:
    weights = _weights.even_load_weights(
        epoch(x=80, y=120), "s", {"x": 1000, "y": 1000}
    )
    assert weights == {"x": 0.8, "y": 1.2}


def test_few_flows_cause_no_correction() -> None:
    weights = _weights.even_load_weights(epoch(x=1, y=9), "s", {"x": 9, "y": 1})
    assert weights == {"x": 1.0, "y": 1.0}


def test_weights_stay_in_bounds() -> None:
    weights = _weights.even_load_weights(
        epoch(x=50, y=150), "s", {"x": 9000, "y": 100}
    )
    assert weights["x"] == _weights.LOWEST_WEIGHT
    assert weights["y"] == _weights.HIGHEST_WEIGHT
