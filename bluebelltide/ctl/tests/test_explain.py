"""Tests of explanations from logs."""

import json
import pathlib

import pytest

from bluebelltide import _log_lines
from bluebelltide.ctl import __main__ as ctl
from bluebelltide.ctl import _explain

FLOW = "100.66.0.14:1296>198.18.0.1:8443"


def line(
    time_ms: int, process: str, event: str, **fields: _log_lines.FieldValue
) -> _log_lines.LogLine:
    return _log_lines.LogLine(time_ms, process, event, fields)


def opening(time_ms: int, outcome: str, target: str = "") -> _log_lines.LogLine:
    return line(
        time_ms,
        "entry-1",
        "flow_opening",
        flow=FLOW,
        copy=0,
        version=7,
        target=target,
        outcome=outcome,
        own_flows=1,
        peer_flows=2,
        candidates=6,
        held_ms=300,
        held_before=4,
        wait_ms=500,
    )


def test_a_served_request_leads_to_its_target() -> None:
    lines = [
        line(30, "entry-2", "flow_ended", flow=FLOW, target="i-1", open_ms=20),
        opening(0, "new", "i-1"),
        line(
            10,
            "entry-1",
            "request_forwarded",
            request="r1",
            flow=FLOW,
            target="i-1",
            outcome="forwarded",
        ),
        line(20, "entry-1", "flow_ended", flow="other", open_ms=1),
    ]
    explanation = _explain.explain_request(lines, "r1")
    assert explanation is not None
    assert [one.time_ms for one in explanation.chain] == [0, 10, 30]
    assert explanation.findings == (
        "entry-1 sent transmission 0 to i-1 (new), which had 3 open flows, of "
        "6 candidates",
        "the caller ended the flow; entry-2 had seen it for 20 ms",
    )


def test_only_the_flow_of_the_request_is_shown_when_a_port_is_used_again() -> (
    None
):
    fields = {"flow": FLOW, "target": "i-1"}
    lines = [
        opening(0, "new", "i-1"),
        line(5, "entry-1", "request_forwarded", request="r1", **fields),
        opening(90_000, "new", "i-1"),
        line(90_005, "entry-1", "request_forwarded", request="r2", **fields),
    ]
    first = _explain.explain_request(lines, "r1")
    latest = _explain.explain_flow(lines, FLOW)
    assert first is not None and latest is not None
    assert [one.time_ms for one in first.chain] == [0, 5]
    assert [one.time_ms for one in latest.chain] == [90_000, 90_005]


@pytest.mark.parametrize(
    ("outcome", "others", "expected"),
    [
        (
            "unknown_service",
            [line(-500, "entry-2", "deployment_in_force", version=9)],
            "entry-2 already used version 9: entry-1 was late",
        ),
        (
            "unknown_service",
            [line(500, "entry-2", "deployment_in_force", version=9)],
            "no instance used a later version: nobody serves the address",
        ),
        (
            "no_target",
            [line(-500, "control-1", "target_expired", target="i-1")],
            "targets that had just left or fallen silent: 1",
        ),
        (
            "overload",
            [],
            "entry-1 refused it at once: too many opening packets were "
            "already held for a free slot",
        ),
        (
            "wait",
            [],
            "entry-1 held transmission 0: the caller was late already and no "
            "slot was free",
        ),
        (
            "no_slot_in_time",
            [],
            "entry-1 refused it after 300 ms: 4 held callers came before it, "
            "and a slot was expected in 500 ms, later than the caller can be "
            "held",
        ),
        (
            "deadline",
            [],
            "entry-1 refused it after 300 ms: the request could not finish "
            "before the route's timeout",
        ),
        (
            "dropped_no_slot",
            [],
            "entry-1 dropped transmission 0 after 300 ms: no slot became free",
        ),
        (
            "dropped_deadline",
            [],
            "entry-1 dropped transmission 0 after 300 ms: the request could "
            "not finish before the route's timeout, and a reset might not have "
            "been true",
        ),
    ],
)
def test_a_refusal_leads_to_its_reason(
    outcome: str, others: list[_log_lines.LogLine], expected: str
) -> None:
    explanation = _explain.explain_flow([*others, opening(0, outcome)], FLOW)
    assert explanation is not None
    assert expected in explanation.findings


def test_silence_leads_to_what_was_lost_meanwhile() -> None:
    lines = [
        opening(0, "new", "i-1"),
        line(800, "entry-1", "started"),
        line(900, "entry-9", "started"),
        line(1000, "control-1", "target_expired", target="i-1"),
        line(1000, "control-2", "target_expired", target="i-1"),
    ]
    explanation = _explain.explain_flow(lines, FLOW)
    assert explanation is not None
    assert explanation.findings[1:] == (
        "no later packet of the caller was seen: the target did not answer, or "
        "packets were lost",
        "entry-1 was started; packets that reached it just before are lost",
        "target i-1 was silent until its lease ended",
    )


def test_a_change_leads_to_the_last_instance_that_used_it() -> None:
    key = "deployment"
    lines = [
        line(
            5,
            "control-1",
            "proposal_ended",
            key=key,
            version=8,
            outcome="committed",
            spent_ms=5,
        ),
        line(5, "control-1", "state_committed", key=key, version=8),
        line(5, "control-1", "state_committed", key="voters", version=8),
        line(9, "entry-1", "deployment_in_force", version=8),
        line(40, "entry-2", "deployment_in_force", version=8),
        line(50, "entry-3", "deployment_in_force", version=9),
        line(60, "entry-4", "deployment_in_force", version=7),
    ]
    explanation = _explain.explain_change(lines, 8)
    assert explanation is not None
    assert explanation.findings == (
        "control-1 proposed it: committed after 5 ms",
        "control-1 knew first that it was committed",
        "2 instances used it; the last one, entry-2, 35 ms after it was "
        "committed",
        "entry-3 did not use it: it went on to version 9",
        "entry-4 did not use it: it stayed at version 7",
    )


def test_nothing_is_found_of_an_unknown_subject() -> None:
    lines = [opening(0, "new", "i-1")]
    assert _explain.explain_request(lines, "r1") is None
    assert _explain.explain_flow(lines, "other") is None
    assert _explain.explain_change(lines, 7) is None


def test_a_proposal_without_a_quorum_is_not_taken_for_version_0() -> None:
    """Nothing was stored then, so its line tells no version."""
    key = "deployment"
    failed = line(
        5,
        "control-1",
        "proposal_ended",
        key=key,
        version=None,
        outcome="no_quorum",
        spent_ms=900,
    )
    assert _explain.explain_change([failed], 0) is None
    stored = line(9, "control-1", "state_committed", key=key, version=0)
    explanation = _explain.explain_change([failed, stored], 0)
    assert explanation is not None
    assert explanation.chain == (stored,)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "plain text",
        "{",
        "[1]",
        '{"event": "started"}',
        '{"event": 3, "unix_ms": 1}',
        '{"event": "started", "unix_ms": "1"}',
    ],
)
def test_other_lines_of_a_log_are_passed_over(text: str) -> None:
    assert _log_lines.parse_line(text, "entry-1") is None


def test_the_prefix_of_a_collector_names_the_process() -> None:
    text = '{"event": "started", "unix_ms": 1, "address": "a"}'
    parsed = _log_lines.parse_line(f"12.5 entry-2: {text}", "all")
    assert parsed == line(1, "entry-2", "started", address="a")


def test_the_command_reads_the_logs_of_all_processes(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    for name, one in (
        ("entry-1", opening(0, "new", "i-1")),
        ("entry-2", line(9, "", "flow_ended", flow=FLOW, open_ms=9)),
    ):
        content = {"unix_ms": one.time_ms, "event": one.event, **one.fields}
        (tmp_path / f"{name}.log").write_text(json.dumps(content) + "\n")
    paths = [str(path) for path in sorted(tmp_path.iterdir())]
    assert ctl.explain(*paths, flow=FLOW, as_json=True) == 0
    printed = json.loads(capsys.readouterr().out)
    assert [one["process"] for one in printed["chain"]] == [
        "entry-1",
        "entry-2",
    ]
    assert ctl.explain(*paths, flow=FLOW) == 0
    assert "seen it for 9 ms" in capsys.readouterr().out.replace("\n", " ")
    assert ctl.explain(*paths, request="r1") == 1
    assert ctl.explain(*paths) == 2
    assert ctl.explain(str(tmp_path / "none"), flow=FLOW) == 1
