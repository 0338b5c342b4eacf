"""Tests of the weights that even out load."""

from bluebelltide.flows import _epoch
from bluebelltide.flows import _weights


def epoch(**counts: int) -> _epoch.Epoch:
    assignment = tuple(name for name, n in counts.items() for _ in range(n))
    table = _epoch.ServiceTable("s", assignment, ())
    return _epoch.Epoch(1, "l", ("a",), (table,))


def test_fuller_target_gives_up_a_bounded_share() -> None:
    found = _weights.even_load_weights(
        epoch(x=100, y=100), "s", {"x": 3000, "y": 1000}
    )
    assert found == {"x": 0.9, "y": 1.1}


def test_correction_goes_on_from_the_agreed_table() -> None:
    found = _weights.even_load_weights(
        epoch(x=80, y=120), "s", {"x": 1000, "y": 1000}
    )
    assert found == {"x": 0.8, "y": 1.2}


def test_few_flows_are_left_alone() -> None:
    found = _weights.even_load_weights(epoch(x=1, y=9), "s", {"x": 9, "y": 1})
    assert found == {"x": 1.0, "y": 1.0}


def test_weights_stay_in_bounds() -> None:
    found = _weights.even_load_weights(
        epoch(x=50, y=150), "s", {"x": 9000, "y": 100}
    )
    assert found["x"] == _weights.LOWEST_WEIGHT
    assert found["y"] == _weights.HIGHEST_WEIGHT
