"""Tests that plans break no flow; the bench program runs the full sizes."""

import pytest

from bluebelltide.bench import _flows


@pytest.mark.parametrize("plan", list(_flows.PLANS))
def test_plan_breaks_no_flow(plan: str) -> None:
    report = _flows.run(_flows.Options(5, 4, 60, plan, 7))
    assert report["flows_opened"] > 60
    assert report["broken_flows"] == 0
    assert report["wrong_service_packets"] == 0
    assert report["new_flows_to_leaving_after_ms"] <= 3000
