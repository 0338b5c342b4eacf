"""A complete deployment as one catalogue entry with a version of its own.

Where the operators' tool sends the whole set of routes under a version that
it chose, one register holds the document. The highest version wins; a lower
or equal one changes nothing, so that a change may be sent again at any time.
"""

import bisect
from typing import NamedTuple
import zlib

import xxhash

from bluebelltide import _exceptions
from bluebelltide.catalogue import _register

DEPLOYMENT_KEY = "deployment"
"""The register that holds the document."""


class ServiceShare(NamedTuple):
    """A service's part of a route's new flows."""

    service: str
    """The service's name."""
    weight: int
    """Its weight among the shares of the route."""


class Route(NamedTuple):
    """What callers reach at one address and port."""

    name: str
    """The operators' name of the route."""
    host: str
    """The address that callers send to."""
    port: int
    """The port that callers send to."""
    shares: tuple[ServiceShare, ...]
    """Which services take new flows."""
    timeout_ms: int
    """How long a request may take."""
    latency_goal_ms: int
    """The latency that callers expect."""
    priority: int
    """0 is the most important."""
    is_repeatable: bool
    """Whether a request of this route may run more than once."""


class Deployment(NamedTuple):
    """One version of all routes."""

    version: int
    """Chosen by the operators; grows in uneven steps."""
    routes: tuple[Route, ...]
    """The routes; no two share an address and port."""
    services: tuple[str, ...]
    """The names of the services."""
    flow_idle_timeout_ms: int
    """How long a flow may be idle before it may be discarded."""


def check_deployment(deployment: Deployment) -> None:
    """Checks what must hold between the parts of a deployment.

    Args:
        deployment: The deployment.

    Raises:
        BluebelltideError: With BAD_CATALOGUE; the place names the route.
    """
    services = set(deployment.services)
    places: dict[tuple[str, int], str] = {}
    for route in deployment.routes:
        _check_route(route, services)
        place = (route.host, route.port)
        if place in places:
            raise _route_error(
                route, f"the address is that of route {places[place]!r}"
            )
        places[place] = route.name


def _check_route(route: Route, services: set[str]) -> None:
    for share in route.shares:
        if share.service not in services:
            raise _route_error(route, f"unknown service {share.service!r}")
    if sum(share.weight for share in route.shares) <= 0:
        raise _route_error(route, "no service has a positive weight")
    if route.timeout_ms <= 0:
        raise _route_error(route, "the timeout must be positive")


def _route_error(route: Route, message: str) -> _exceptions.BluebelltideError:
    return _exceptions.BluebelltideError(
        _exceptions.ErrorCode.BAD_CATALOGUE, message, f"route {route.name}"
    )


class RouteTable:
    """Looks routes up by the address and port that callers send to."""

    def __init__(self, deployment: Deployment) -> None:
        """Indexes a deployment."""
        self.deployment = deployment
        self._routes = {
            (route.host, route.port): route for route in deployment.routes
        }

    def find(self, host: str, port: int) -> Route | None:
        """Returns the route of an address, or None."""
        return self._routes.get((host, port))


def choose_service(route: Route, flow_key: bytes) -> str:
    """Chooses a service by weight; the same for all packets of a flow."""
    if len(route.shares) == 1:
        return route.shares[0].service
    totals: list[int] = []
    total = 0
    for share in route.shares:
        total += share.weight
        totals.append(total)
    point = xxhash.xxh3_64_intdigest(flow_key) % total
    return route.shares[bisect.bisect_right(totals, point)].service


def apply_deployment(
    state: _register.RegisterState, version: int, value: bytes
) -> tuple[_register.RegisterState, _register.ChangeResult]:
    """Applies a document to the register: the highest version wins.

    Args:
        state: The newest state that a quorum holds.
        version: The version of the document.
        value: The compressed document.

    Returns:
        The next state, equal to `state` if nothing changes, and the answer.
    """
    if version > state.version:
        state = _register.RegisterState(version, value)
    return state, _register.ChangeResult(None, state, state.version)


def compress_document(body: bytes) -> bytes:
    """Returns the stored form of a document."""
    return zlib.compress(body, level=6)


def decompress_document(value: bytes, maximum_bytes: int) -> bytes:
    """Returns the document that the operators sent.

    Args:
        value: The stored form.
        maximum_bytes: Upper bound of the document's size.

    Returns:
        The document.

    Raises:
        BluebelltideError: With CORRUPT_STORE or TOO_LARGE.
    """
    expander = zlib.decompressobj()
    try:
        body = expander.decompress(value, maximum_bytes)
    except zlib.error as error:
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.CORRUPT_STORE, str(error), DEPLOYMENT_KEY
        ) from error
    if expander.unconsumed_tail:
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.TOO_LARGE,
            f"expected at most {maximum_bytes} bytes",
            DEPLOYMENT_KEY,
        )
    return body
