"""Tests of the deployment document and its register."""

import itertools

import pytest

from bluebelltide import _exceptions
from bluebelltide.catalogue import _deployment
from bluebelltide.catalogue import _register

ROUTE = _deployment.Route(
    "r",
    "198.18.0.1",
    443,
    (_deployment.ServiceShare("dues", 1),),
    3000,
    300,
    1,
    is_repeatable=False,
)


def make_deployment(*routes: _deployment.Route) -> _deployment.Deployment:
    return _deployment.Deployment(1, routes, ("dues", "slips"), 15_000)


@pytest.mark.parametrize(
    ("routes", "word"),
    [
        ((ROUTE, ROUTE._replace(name="s")), "address"),
        ((ROUTE._replace(timeout_ms=0),), "timeout"),
        (
            (ROUTE._replace(shares=(_deployment.ServiceShare("x", 1),)),),
            "unknown service",
        ),
        (
            (ROUTE._replace(shares=(_deployment.ServiceShare("dues", 0),)),),
            "weight",
        ),
    ],
)
def test_an_invalid_route_is_named_in_the_error(
    routes: tuple[_deployment.Route, ...], word: str
) -> None:
    with pytest.raises(_exceptions.BluebelltideError, match=word) as caught:
        _deployment.check_deployment(make_deployment(*routes))
    assert caught.value.place.startswith("route ")


def test_the_highest_version_wins_in_any_order_of_arrival() -> None:
    for order in itertools.permutations([0, 1, 4, 9]):
        state = _register.RegisterState()
        for version in order:
            value = str(version).encode()
            state, result = _deployment.apply_deployment(state, version, value)
            assert result.code is None
            assert not _register.is_newer(version, result.version)
        assert state.version == 9
        assert state.value == b"9"


def test_other_content_under_the_current_version_changes_nothing() -> None:
    current = _register.RegisterState(4, b"first")
    state, result = _deployment.apply_deployment(current, 4, b"second")
    assert state == current
    assert result.state == current


def test_flows_are_split_by_weight_and_a_flow_keeps_its_service() -> None:
    shares = (
        _deployment.ServiceShare("dues", 90),
        _deployment.ServiceShare("slips", 10),
    )
    route = ROUTE._replace(shares=shares)
    keys = [number.to_bytes(4, "big") for number in range(4000)]
    chosen = [_deployment.choose_service(route, key) for key in keys]
    assert chosen == [_deployment.choose_service(route, key) for key in keys]
    assert 0.87 < chosen.count("dues") / len(chosen) < 0.93


def test_a_document_is_decompressed_completely_or_not_at_all() -> None:
    body = b'{"version": 3}' * 1000
    value = _deployment.compress_document(body)
    assert len(value) < len(body) / 10
    assert _deployment.decompress_document(value, len(body)) == body
    with pytest.raises(_exceptions.BluebelltideError):
        _deployment.decompress_document(value, len(body) - 1)
    with pytest.raises(_exceptions.BluebelltideError):
        _deployment.decompress_document(b"damaged", 100)
