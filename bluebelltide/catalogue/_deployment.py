"""A complete deployment document, held by one register.

Some platforms' operator tools send the whole set of routes as one document,
under a version that the operators choose. The highest version wins; a lower
or equal one changes nothing, so that a document may be resent at any time.
"""

import bisect
from collections.abc import Iterator
from typing import NamedTuple
import zlib

import xxhash

from bluebelltide import _exceptions
from bluebelltide import _types
from bluebelltide.catalogue import _findings
from bluebelltide.catalogue import _register

DEPLOYMENT_KEY = "deployment"
"""The key of the register that holds the document."""


class ServiceShare(NamedTuple):
    """A service's share of a route's new flows."""

    service: str
    """The service's name."""
    weight: int
    """The service's weight relative to the other shares of the route."""


class Route(NamedTuple):
    """Maps one address and port to the services that callers reach there."""

    name: str
    """The name that the operators gave the route."""
    host: str
    """The IP address that callers send to."""
    port: int
    """The port that callers send to."""
    shares: tuple[ServiceShare, ...]
    """The services that get new flows."""
    timeout_ms: int
    """How long a request may take."""
    latency_goal_ms: int
    """The latency that callers expect."""
    priority: int
    """0 is the highest priority."""
    is_repeatable: bool
    """Whether a request is idempotent, so that it may run more than once."""


class ColdLimit(NamedTuple):
    """The rate at which cold targets of a service take flows."""

    service: str
    """The service's name."""
    cold_ms: int
    """For how long a target is cold after a start."""
    flows_per_s: float
    """How many flows per second a cold target can take; above 0."""


class Deployment(NamedTuple):
    """One version of all routes."""

    version: int
    """Chosen by the operators; grows, but not always by one."""
    routes: tuple[Route, ...]
    """The routes; no two have the same address and port."""
    services: tuple[str, ...]
    """The names of the services."""
    flow_idle_timeout_ms: int
    """How long a flow is idle before its state may be discarded."""
    cold_limits: tuple[ColdLimit, ...] = ()
    """The services whose cold targets are limited."""


def check_deployment(deployment: Deployment) -> None:
    """Checks that the parts of a deployment are consistent.

    Args:
        deployment: The deployment.

    Raises:
        BluebelltideError: With BAD_CATALOGUE; its `place` names the route.
    """
    for finding in find_errors(deployment):
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.BAD_CATALOGUE, finding.advice, finding.place
        )


def find_errors(deployment: Deployment) -> Iterator[_findings.Finding]:
    """Yields each reason why control replicas refuse a deployment."""
    services = set(deployment.services)
    route_names: dict[tuple[str, int], str] = {}
    for route in deployment.routes:
        yield from _find_route_errors(route, services)
        endpoint = (route.host, route.port)
        if endpoint in route_names:
            yield _findings.error(
                _findings.FindingCode.DUPLICATE_ADDRESS,
                route_place(route),
                "use another address or port: these belong to route "
                f"{route_names[endpoint]!r}",
            )
        route_names.setdefault(endpoint, route.name)


def _find_route_errors(
    route: Route, services: set[str]
) -> Iterator[_findings.Finding]:
    codes = _findings.FindingCode
    place = route_place(route)
    for name in dict.fromkeys(share.service for share in route.shares):
        if name not in services:
            yield _findings.error(
                codes.UNKNOWN_SERVICE,
                place,
                f"add the unknown service {name!r} to the services or remove "
                "it from the route",
            )
    if sum(share.weight for share in route.shares) <= 0:
        yield _findings.error(
            codes.NO_POSITIVE_WEIGHT,
            place,
            "name a service with a positive weight",
        )
    if not 0 <= route.port <= _types.MAXIMUM_PORT:
        yield _findings.error(
            codes.BAD_PORT,
            place,
            f"replace the port {route.port} by one from 0 to "
            f"{_types.MAXIMUM_PORT}",
        )
    if route.timeout_ms <= 0:
        yield _findings.error(
            codes.BAD_TIMEOUT, place, "set a timeout of at least 1 ms"
        )


def route_place(route: Route) -> str:
    """Returns how errors and findings name a route."""
    return f"route {route.name}"


class RouteTable:
    """Finds routes by the address and port that callers send to.

    Attributes:
        deployment: The deployment.
        services: The names of its services.
    """

    def __init__(self, deployment: Deployment) -> None:
        """Indexes a deployment."""
        self.deployment = deployment
        self.services = frozenset(deployment.services)
        self._routes = {
            (route.host, route.port): route for route in deployment.routes
        }

    def find(self, host: str, port: int) -> Route | None:
        """Returns the route of an address and port, or None."""
        return self._routes.get((host, port))


def choose_service(route: Route, flow_key: bytes) -> str:
    """Chooses a service by weight, always the same one for a flow's key."""
    if len(route.shares) == 1:
        return route.shares[0].service
    cumulative_weights: list[int] = []
    total_weight = 0
    for share in route.shares:
        total_weight += share.weight
        cumulative_weights.append(total_weight)
    point = xxhash.xxh3_64_intdigest(flow_key) % total_weight
    return route.shares[bisect.bisect_right(cumulative_weights, point)].service


def is_superseding(version: int, state: _register.RegisterState) -> bool:
    """Returns whether a document takes the place of what a register holds.

    Operators choose the versions, from 0 on. If nothing is stored, a document
    of any version takes effect.

    Args:
        version: The version of the document.
        state: The register's state.
    """
    return _register.is_newer(version, state.version)


def apply_deployment(
    state: _register.RegisterState, version: int, value: bytes
) -> tuple[_register.RegisterState, _register.ChangeResult]:
    """Applies a document to the register's state: the highest version wins.

    Args:
        state: The newest state that a quorum reported.
        version: The version of the document.
        value: The compressed document.

    Returns:
        The next state, equal to `state` if nothing changes, and the result.
    """
    if is_superseding(version, state):
        state = _register.RegisterState(version, value)
    return state, _register.ChangeResult(None, state, state.version)


def compress_document(body: bytes) -> bytes:
    """Returns a document in the compressed form in which it is stored."""
    return zlib.compress(body, level=6)


def decompress_document(value: bytes, maximum_bytes: int) -> bytes:
    """Returns the document that `compress_document` compressed.

    Args:
        value: The compressed document.
        maximum_bytes: Upper bound of the document's size.

    Returns:
        The document as the operators sent it.

    Raises:
        BluebelltideError: With CORRUPT_STORE if the data is damaged, with
            TOO_LARGE if the document exceeds the bound.
    """
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(value, maximum_bytes)
    except zlib.error as error:
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.CORRUPT_STORE, str(error), DEPLOYMENT_KEY
        ) from error
    if decompressor.unconsumed_tail:
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.TOO_LARGE,
            f"expected at most {maximum_bytes} bytes",
            DEPLOYMENT_KEY,
        )
    return body
