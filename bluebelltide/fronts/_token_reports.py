"""What the packet front for tokens reports, for logs and counters."""

from typing import NamedTuple

from bluebelltide import _types
from bluebelltide.placement import Placement


class ExpectedRelease(NamedTuple):
    """When a held packet is expected to be released."""

    position: int
    """How many held packets are released before it."""
    wait_ms: int
    """How long it would still be held."""


class OpeningReport(NamedTuple):
    """One decision about an opening packet, for logs and counters."""

    flow: str
    """Both ends of the flow as readable text."""
    retransmissions: int
    """How often the caller sent the opening packet before this one."""
    route: str
    """The name of the matched route, or empty."""
    version: int
    """The version of the deployment that the decision is based on."""
    service: str
    """The chosen service, or empty."""
    target_id: _types.TargetId
    """The chosen target, or empty."""
    outcome: str
    """The outcome of the placement, or the code of the refusal."""
    placement: Placement
    """The placement, with the figures that it is based on."""
    held_ms: int = 0
    """How long the packet was held here until this decision."""
    expected_release: ExpectedRelease | None = None
    """When a refused packet that was held was expected to be released."""


class RequestReport(NamedTuple):
    """The packet in which a request begins, for logs."""

    request_id: str
    """The id of the request."""
    flow: str
    """Both ends of the flow as readable text."""
    target_id: _types.TargetId
    """The flow's target, or empty if its token is unknown."""


class FlowEndReport(NamedTuple):
    """The end of a flow, for logs and histograms."""

    flow: str
    """Both ends of the flow as readable text."""
    target_id: _types.TargetId
    """The flow's target."""
    open_ms: int
    """The time since this instance saw the flow's first packet."""
