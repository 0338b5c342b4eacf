"""Tests of placement under simulated load."""

import pytest

from bluebelltide.placement.tests import load_simulation


@pytest.mark.parametrize("flows_per_s", [650, 1400, 1750])
def test_few_peers_place_no_worse_than_a_full_mesh(flows_per_s: float) -> None:
    """60 instances and 60 targets, from a calm to a heavy hour.

    In a full mesh all instances learn at once which targets are free, and all
    use them.
    """
    plan = load_simulation.LoadPlan(
        instances=60,
        targets=60,
        slots=2,
        queue=8,
        flows_per_s=flows_per_s,
        work_ms=58.0,
        duration_ms=5000.0,
        local_report_ms=100.0,
        remote_report_ms=400.0,
    )
    sparse = load_simulation.simulate_load(plan, seed=1)
    full = load_simulation.simulate_load(
        plan._replace(is_full_mesh=True), seed=1
    )
    assert sparse.shed <= max(full.shed, sparse.requests // 1000)
    assert sparse.p99_ms <= full.p99_ms * 1.05
