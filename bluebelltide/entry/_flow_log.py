"""Log lines of an entry instance about the flows of its callers."""

from collections.abc import Callable

from bluebelltide import _metrics
from bluebelltide._events import events
from bluebelltide.fronts import _token_reports
from bluebelltide.placement import EjectionReport


def log_opening_packet(report: _token_reports.OpeningReport) -> None:
    """Logs a decision about an opening packet."""
    placement = report.placement
    events.write(
        "flow_opening",
        flow=report.flow,
        copy=report.retransmissions,
        route=report.route,
        version=report.version,
        service=report.service,
        target=report.target_id,
        outcome=report.outcome,
        own_flows=placement.own_flows,
        peer_flows=placement.peer_flows,
        candidates=placement.candidate_count,
        held_ms=report.held_ms,
    )


def log_request(report: _token_reports.RequestReport) -> None:
    """Logs the packet in which a request begins."""
    events.write(
        "request_forwarded",
        request=report.request_id,
        flow=report.flow,
        target=report.target_id,
        outcome="forwarded" if report.target_id else "unknown_target",
    )


def make_flow_end_logger(
    metrics: _metrics.Metrics,
) -> Callable[[_token_reports.FlowEndReport], None]:
    """Returns a function that logs and measures the end of a flow.

    Args:
        metrics: The metrics of the process.
    """

    def log_flow_end(report: _token_reports.FlowEndReport) -> None:
        metrics.observe_ms("flow_open_ms", report.open_ms)
        events.write(
            "flow_ended",
            flow=report.flow,
            target=report.target_id,
            open_ms=report.open_ms,
        )

    return log_flow_end


def log_ejection(report: EjectionReport) -> None:
    """Logs that a target is ejected or used again for its unanswered requests.

    Args:
        report: The decision, with what it is based on.
    """
    evidence = report.evidence
    events.write(
        "target_use_changed",
        target=report.target_id,
        service=report.service,
        outcome=report.outcome,
        overdue=evidence.overdue,
        answered=evidence.answered,
        witnesses=evidence.witnesses,
        own_overdue=evidence.own_overdue,
        overdue_after_ms=report.limit_ms,
        ejected_targets=report.ejected_targets,
        service_targets=report.service_targets,
        ejections=report.ejections,
        pause_ms=report.pause_ms,
    )
