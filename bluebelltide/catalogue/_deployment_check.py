"""Checks a deployment before it is sent, and compares it with another one."""

from collections.abc import Iterator
from fractions import Fraction
import ipaddress
from typing import Any

from bluebelltide.catalogue import _deployment
from bluebelltide.catalogue import _findings

_COMPARED_ELSEWHERE = frozenset(
    {"version", "routes", "services", "cold_limits"}
)
"""The fields of a deployment that are not single limits."""
_LIMIT_EFFECTS = {
    "flow_idle_timeout_ms": "idle flows may be discarded earlier or later",
}
_ROUTE_EFFECTS = {
    "name": "callers notice nothing; logs show the new name",
    "timeout_ms": "requests fail after a different time",
    "latency_goal_ms": "when slots are short, opening packets count as late "
    "earlier or later",
    "priority": "callers notice nothing while slots are free",
    "is_repeatable": "callers notice nothing; requests of the route count as "
    "idempotent or not",
}


def find_findings(
    deployment: _deployment.Deployment,
) -> tuple[_findings.Finding, ...]:
    """Returns all errors and warnings of a deployment, the errors first.

    A deployment without errors is accepted by `check_deployment`.
    """
    return (
        *_deployment.find_errors(deployment),
        *_find_service_warnings(deployment),
        *_find_route_warnings(deployment),
        *_find_limit_warnings(deployment),
    )


def _find_service_warnings(
    deployment: _deployment.Deployment,
) -> Iterator[_findings.Finding]:
    routed = {
        share.service for route in deployment.routes for share in route.shares
    }
    for name in dict.fromkeys(deployment.services):
        place = f"service {name}"
        if name not in routed:
            yield _findings.warning(
                _findings.FindingCode.SERVICE_WITHOUT_ROUTE,
                place,
                "name the service in a route or remove it: it gets no flows",
            )
        if deployment.services.count(name) > 1:
            yield _findings.warning(
                _findings.FindingCode.DUPLICATE_SERVICE,
                place,
                "list the service only once",
            )


def _find_route_warnings(
    deployment: _deployment.Deployment,
) -> Iterator[_findings.Finding]:
    for route in deployment.routes:
        place = _deployment.route_place(route)
        if not _is_host_of_packets(route.host):
            yield _findings.warning(
                _findings.FindingCode.HOST_NEVER_MATCHES,
                place,
                f"replace the host {route.host!r} by an IP address in its "
                "usual form: no packet has this one",
            )
        yield from _find_unused_shares(route)
        if route.latency_goal_ms > route.timeout_ms:
            yield _findings.warning(
                _findings.FindingCode.LATENCY_GOAL_ABOVE_TIMEOUT,
                place,
                f"lower the latency goal of {route.latency_goal_ms} ms to the "
                f"timeout of {route.timeout_ms} ms or raise the timeout",
            )


def _is_host_of_packets(host: str) -> bool:
    try:
        return str(ipaddress.ip_address(host)) == host
    except ValueError:
        return False


def _find_unused_shares(
    route: _deployment.Route,
) -> Iterator[_findings.Finding]:
    weights = _weight_by_service(route)
    if not any(weights.values()):
        # The route is refused for this.
        return
    for name, weight in weights.items():
        if weight == 0:
            yield _findings.warning(
                _findings.FindingCode.SHARE_WITHOUT_WEIGHT,
                _deployment.route_place(route),
                f"give service {name!r} a weight above 0 or remove it from "
                "the route: it gets no flows beside the others",
            )


def _weight_by_service(route: _deployment.Route) -> dict[str, int]:
    weights: dict[str, int] = {}
    for share in route.shares:
        weights[share.service] = weights.get(share.service, 0) + share.weight
    return weights


def _find_limit_warnings(
    deployment: _deployment.Deployment,
) -> Iterator[_findings.Finding]:
    if not deployment.routes:
        return
    slowest = max(deployment.routes, key=lambda route: route.latency_goal_ms)
    if deployment.flow_idle_timeout_ms < slowest.latency_goal_ms:
        yield _findings.warning(
            _findings.FindingCode.IDLE_TIMEOUT_BELOW_LATENCY_GOAL,
            "flow_idle_timeout_ms",
            f"raise the idle timeout of {deployment.flow_idle_timeout_ms} ms "
            f"to the latency goal of {slowest.latency_goal_ms} ms of "
            f"{_deployment.route_place(slowest)}",
        )


def compare(
    in_force: _deployment.Deployment, desired: _deployment.Deployment
) -> _findings.Comparison:
    """Compares a deployment with the one in force.

    A route is identified by its address and port, because callers know
    nothing else of it.

    Args:
        in_force: The deployment that control replicas hold.
        desired: The deployment that is to be sent.

    Returns:
        The differences, and an error if control replicas would ignore the
        version.
    """
    findings: tuple[_findings.Finding, ...] = ()
    if desired.version <= in_force.version:
        findings = (
            _findings.error(
                _findings.FindingCode.VERSION_NOT_HIGHER,
                "version",
                f"raise the version above {in_force.version}, which is in "
                f"force: control replicas ignore version {desired.version}",
            ),
        )
    return _findings.Comparison(
        findings,
        (
            *_compare_versions(in_force, desired),
            *_compare_routes(in_force, desired),
            *_compare_services(in_force, desired),
            *_compare_limits(in_force, desired),
            *_compare_cold_limits(in_force, desired),
        ),
    )


def _compare_versions(
    in_force: _deployment.Deployment, desired: _deployment.Deployment
) -> Iterator[_findings.Difference]:
    if desired.version != in_force.version:
        yield _changed(
            _findings.Group.VERSION,
            "version",
            in_force.version,
            desired.version,
            "callers notice nothing",
        )


def _changed(
    group: _findings.Group,
    place: str,
    before: object,
    after: object,
    effect: str,
) -> _findings.Difference:
    return _findings.Difference(
        group,
        _findings.ChangeKind.CHANGED,
        place,
        f"{before} -> {after}",
        effect,
    )


def _index_routes(
    deployment: _deployment.Deployment,
) -> dict[tuple[str, int], _deployment.Route]:
    return {(route.host, route.port): route for route in deployment.routes}


def _compare_routes(
    in_force: _deployment.Deployment, desired: _deployment.Deployment
) -> Iterator[_findings.Difference]:
    earlier = _index_routes(in_force)
    later = _index_routes(desired)
    for endpoint, route in earlier.items():
        if endpoint not in later:
            yield _findings.Difference(
                _findings.Group.ROUTE,
                _findings.ChangeKind.REMOVED,
                _deployment.route_place(route),
                "",
                f"new flows to {_endpoint_text(route)} are reset; open flows "
                "go on",
            )
    for endpoint, route in later.items():
        if endpoint in earlier:
            yield from _compare_route(earlier[endpoint], route)
        else:
            yield _findings.Difference(
                _findings.Group.ROUTE,
                _findings.ChangeKind.ADDED,
                _deployment.route_place(route),
                "",
                f"new flows to {_endpoint_text(route)} go to "
                f"{_format_shares(route)}; before this change they are reset",
            )


def _endpoint_text(route: _deployment.Route) -> str:
    return f"{route.host}:{route.port}"


def _format_shares(route: _deployment.Route) -> str:
    weights = _weight_by_service(route)
    total = max(1, sum(weights.values()))
    return ", ".join(
        f"{name} (weight {weight}, {100 * weight / total:.3g} %)"
        for name, weight in weights.items()
    )


def _exact_shares(route: _deployment.Route) -> dict[str, Fraction]:
    """Returns the share of each service, unrounded."""
    weights = _weight_by_service(route)
    total = max(1, sum(weights.values()))
    return {name: Fraction(weight, total) for name, weight in weights.items()}


def _compare_route(
    before: _deployment.Route, after: _deployment.Route
) -> Iterator[_findings.Difference]:
    if _exact_shares(before) != _exact_shares(after):
        yield _changed(
            _findings.Group.ROUTE,
            f"{_deployment.route_place(after)}, shares",
            _format_shares(before),
            _format_shares(after),
            "new flows go to the services by the new shares; open flows stay "
            "with their targets",
        )
    for field, effect in _ROUTE_EFFECTS.items():
        old, new = getattr(before, field), getattr(after, field)
        if old != new:
            place = f"{_deployment.route_place(after)}, {field}"
            yield _changed(_findings.Group.ROUTE, place, old, new, effect)


def _compare_services(
    in_force: _deployment.Deployment, desired: _deployment.Deployment
) -> Iterator[_findings.Difference]:
    for name in dict.fromkeys(in_force.services):
        if name not in desired.services:
            # Instances still know the tokens of its targets.
            yield _findings.Difference(
                _findings.Group.SERVICE,
                _findings.ChangeKind.REMOVED,
                f"service {name}",
                "",
                "its targets get no new flows; open flows go on",
            )
    for name in dict.fromkeys(desired.services):
        if name not in in_force.services:
            yield _findings.Difference(
                _findings.Group.SERVICE,
                _findings.ChangeKind.ADDED,
                f"service {name}",
                "",
                "its targets get flows from the routes that name it",
            )


def _compare_limits(
    in_force: _deployment.Deployment, desired: _deployment.Deployment
) -> Iterator[_findings.Difference]:
    for field in _deployment.Deployment._fields:
        before: Any = getattr(in_force, field)
        after: Any = getattr(desired, field)
        if field not in _COMPARED_ELSEWHERE and before != after:
            effect = _LIMIT_EFFECTS[field]
            yield _changed(_findings.Group.LIMIT, field, before, after, effect)


def _compare_cold_limits(
    in_force: _deployment.Deployment, desired: _deployment.Deployment
) -> Iterator[_findings.Difference]:
    earlier = {one.service: one for one in in_force.cold_limits}
    later = {one.service: one for one in desired.cold_limits}
    for name in sorted(earlier.keys() | later.keys()):
        before, after = earlier.get(name), later.get(name)
        if before != after:
            yield _changed(
                _findings.Group.LIMIT,
                f"service {name}, cold limit",
                _format_cold_limit(before),
                _format_cold_limit(after),
                "targets that have just started get new flows at a different "
                "rate",
            )


def _format_cold_limit(limit: _deployment.ColdLimit | None) -> str:
    if limit is None:
        return "none"
    return f"{limit.flows_per_s:g} flows/s for {limit.cold_ms} ms"
