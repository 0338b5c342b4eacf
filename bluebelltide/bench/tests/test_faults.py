"""Tests of the fault matrix; `.ci/run` runs every single fault."""

from bluebelltide.bench import _faults


def test_trace_points_are_found_in_a_run() -> None:
    points = _faults.trace_points("target-drain", 1)
    assert {"Prepare", "EpochDecided", "Mirror", "Heartbeat"} <= set(points)


def test_cut_off_receiver_breaks_no_flow() -> None:
    """Guards against flows that broke when the coordinator was cut off.

    Each of these cells failed once.
    """
    for plan, point in [
        ("target-drain", "Heartbeat"),
        ("target-drain", "MirrorHeld"),
        ("target-join", "PingRequest"),
    ]:
        cell = _faults.Cell(plan, point, ("receiver-cut-off",), 1)
        result = _faults.run_cell(cell)
        assert result.was_reached
        assert result.broken == 0
        assert result.wrong_service == 0


def test_retransmitted_opening_packet_carries_its_record() -> None:
    """Guards against a record that is lost with the owner.

    The owner once delivered the retransmission without its backup. When the
    owner was then cut off, no instance had the flow's record.
    """
    faults = ("instance-joins", "receiver-cut-off")
    result = _faults.run_cell(
        _faults.Cell("target-drain", "Promise", faults, 1)
    )
    assert result.was_reached
    assert result.broken == 0


def test_flows_lost_with_their_target_are_counted() -> None:
    cell = _faults.Cell("target-drain", "Heartbeat", ("target-dies",), 1)
    assert _faults.run_cell(cell).allowed > 0
