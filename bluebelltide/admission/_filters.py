"""The chain of filters that every new request passes.

A filter is a function that returns None to let the request pass, or the code
of its refusal. No byte of a refused request has reached a target.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from bluebelltide import _codes
from bluebelltide.admission import _limits
from bluebelltide.catalogue import _entries


class Arrival(NamedTuple):
    """A new request and the state that the filters check."""

    entry: _entries.ServiceEntry | None
    """The service that owns the address, or None."""
    has_catalogue: bool
    """Whether the instance has received a catalogue."""
    is_stopping: bool
    """Whether the instance is being stopped."""
    share: _limits.Share
    """The instance's part of the limits."""
    open_flows: int
    """The service's open flows on this instance."""
    waiting_flows: int
    """The service's queued flows on this instance."""
    has_targets: bool
    """Whether any target accepts new requests."""
    now_ms: int
    """The current time."""


Filter = Callable[[Arrival], _codes.RefusalCode | None]


def refuse_when_stopping(arrival: Arrival) -> _codes.RefusalCode | None:
    """Refuses new requests during a graceful stop."""
    return _codes.RefusalCode.STOPPING if arrival.is_stopping else None


def match_service(arrival: Arrival) -> _codes.RefusalCode | None:
    """Refuses requests to addresses that no service owns."""
    if arrival.entry is not None:
        return None
    if not arrival.has_catalogue:
        return _codes.RefusalCode.NO_CATALOGUE
    return _codes.RefusalCode.UNKNOWN_SERVICE


def limit_open_flows(arrival: Arrival) -> _codes.RefusalCode | None:
    """Refuses requests above the instance's share of open flows."""
    assert arrival.entry is not None
    limit = _limits.share_of(arrival.entry.limits.open_flows, arrival.share)
    if arrival.open_flows >= limit:
        return _codes.RefusalCode.OPEN_FLOW_LIMIT
    return None


def require_targets(arrival: Arrival) -> _codes.RefusalCode | None:
    """Refuses requests if no target of the service accepts new ones."""
    return None if arrival.has_targets else _codes.RefusalCode.NO_TARGET


def limit_queued_flows(arrival: Arrival) -> _codes.RefusalCode | None:
    """Refuses requests when the service's queue is full."""
    assert arrival.entry is not None
    if arrival.waiting_flows >= arrival.entry.limits.waiting_flows:
        return _codes.RefusalCode.OVERLOAD
    return None


def create_rate_filter() -> Filter:
    """Creates a filter that limits the rate of one service's new flows."""
    bucket = _limits.TokenBucket()

    def limit_rate(arrival: Arrival) -> _codes.RefusalCode | None:
        assert arrival.entry is not None
        limit = arrival.entry.limits.new_flows_per_s
        rate_per_s = limit / max(1, arrival.share.live_instances)
        if bucket.take(rate_per_s, arrival.now_ms):
            return None
        return _codes.RefusalCode.RATE_LIMIT

    return limit_rate


def create_filters() -> tuple[Filter, ...]:
    """Creates the filter chain of one service, in the order of checking."""
    return (
        refuse_when_stopping,
        match_service,
        limit_open_flows,
        require_targets,
        limit_queued_flows,
        create_rate_filter(),
    )


def run_filters(
    filters: Sequence[Filter], arrival: Arrival
) -> _codes.RefusalCode | None:
    """Returns the first refusal of a chain, or None if all filters pass."""
    for request_filter in filters:
        code = request_filter(arrival)
        if code is not None:
            return code
    return None
