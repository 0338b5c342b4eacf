"""Tests that plans break no flow that is routed by its token."""

import pytest

from bluebelltide.bench import _tokens


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("plan", list(_tokens.PLANS))
def test_plan_breaks_no_flow_of_a_live_target(plan: str, seed: int) -> None:
    report = _tokens.run_plan(plan, 5, 8, 400, seed)
    assert report.broken_flows == 0
    assert report.wrong_service_packets == 0
    assert report.opened_on_leaving == 0


def test_baseline_breaks_flows_when_targets_change() -> None:
    """Shows that the experiment counts the flows that a routing mode breaks."""
    for plan in ("target-drain", "targets-join", "address-reuse"):
        assert _tokens.run_plan(plan, 5, 8, 400, 1).baseline_broken_flows > 0
    assert _tokens.run_plan("steady", 5, 8, 400, 1).baseline_broken_flows == 0
