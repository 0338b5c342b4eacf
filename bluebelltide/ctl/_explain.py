"""Explains what happened to a request, a flow or a change, from logs.

The logs of all processes of a direct deployment are read together. The lines
that concern the subject form its chain; each rule below derives findings from
the chain and from what happened to processes and targets meanwhile.

Times are those of the machines' clocks, which may differ slightly.
"""

from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import NamedTuple

from bluebelltide import _codes
from bluebelltide import _log_lines
from bluebelltide.catalogue import _deployment
from bluebelltide.placement import PlacementOutcome

CONTEXT_MS = 3000
"""How long before and after a chain other events may have caused it."""
DECIDING_EVENTS = ("proposal_ended", "state_committed", "deployment_unreadable")
"""The events of a change besides its coming into force."""


class Explanation(NamedTuple):
    """What the logs tell of a subject."""

    chain: tuple[_log_lines.LogLine, ...]
    """The subject's lines, in the order of time."""
    findings: tuple[str, ...]
    """What follows from them, in the order in which to read it."""


class _Evidence(NamedTuple):
    """What a rule sees."""

    chain: Sequence[_log_lines.LogLine]
    """The lines of one flow."""
    context: Sequence[_log_lines.LogLine]
    """The lines of all processes around its time."""

    @property
    def processes(self) -> set[str]:
        """The processes that saw the flow."""
        return {line.process for line in self.chain}

    @property
    def targets(self) -> set[str]:
        """The targets that were chosen for the flow."""
        return {line.text("target") for line in self.chain} - {""}


def explain_request(
    lines: Iterable[_log_lines.LogLine], request_id: str
) -> Explanation | None:
    """Explains a request.

    Args:
        lines: The lines of all processes.
        request_id: The request's id.

    Returns:
        The explanation, or None if no line names the request.
    """
    ordered = _sort(lines)
    for line in ordered:
        if line.text("request") == request_id:
            return _explain_flow(ordered, line.text("flow"), line.time_ms)
    return None


def explain_flow(
    lines: Iterable[_log_lines.LogLine], flow: str
) -> Explanation | None:
    """Explains the last flow between two addresses and ports.

    Args:
        lines: The lines of all processes.
        flow: Both ends of the flow, as the logs show them.

    Returns:
        The explanation, or None if no line names the flow.
    """
    ordered = _sort(lines)
    times_ms = [line.time_ms for line in ordered if line.text("flow") == flow]
    return _explain_flow(ordered, flow, times_ms[-1]) if times_ms else None


def explain_change(
    lines: Iterable[_log_lines.LogLine], version: int
) -> Explanation | None:
    """Explains when a version of the deployment was accepted and in force.

    Args:
        lines: The lines of all processes.
        version: The version.

    Returns:
        The explanation, or None if no line names the version.
    """
    ordered = _sort(lines)
    chain = [
        line
        for line in ordered
        if line.has_number("version", version) and _is_about_deployment(line)
    ]
    if not chain:
        return None
    findings = [*_find_proposals(chain), *_find_force(ordered, chain, version)]
    return Explanation(tuple(chain), tuple(findings))


def _sort(lines: Iterable[_log_lines.LogLine]) -> list[_log_lines.LogLine]:
    return sorted(lines, key=lambda line: line.time_ms)


def _explain_flow(
    ordered: Sequence[_log_lines.LogLine], flow: str, time_ms: int
) -> Explanation:
    chain = _select_flow(ordered, flow, time_ms)
    from_ms = chain[0].time_ms - CONTEXT_MS
    until_ms = chain[-1].time_ms + CONTEXT_MS
    context = [line for line in ordered if from_ms <= line.time_ms <= until_ms]
    evidence = _Evidence(chain, context)
    findings = [text for rule in _FLOW_RULES for text in rule(evidence)]
    return Explanation(tuple(chain), tuple(findings))


def _select_flow(
    ordered: Sequence[_log_lines.LogLine], flow: str, time_ms: int
) -> list[_log_lines.LogLine]:
    """Returns the lines of one flow.

    A port is used again by later flows; a first transmission begins a new one.
    """
    flows: list[list[_log_lines.LogLine]] = []
    for line in ordered:
        if line.text("flow") != flow:
            continue
        is_first = line.event == "flow_opening" and not line.number("copy")
        if is_first or not flows:
            flows.append([])
        flows[-1].append(line)
    earlier = [one for one in flows if one[0].time_ms <= time_ms]
    return earlier[-1]


def _find_refusal(evidence: _Evidence) -> Iterator[str]:
    for line in evidence.chain:
        outcome = line.text("outcome")
        if outcome == _codes.RefusalCode.UNKNOWN_SERVICE:
            yield (
                f"{line.process} refused it at once: version "
                f"{line.text('version')} has no route for the address"
            )
            yield from _find_newer_version(evidence, line)
        elif outcome == _codes.RefusalCode.NO_TARGET:
            yield (
                f"{line.process} refused it at once: no target of the service "
                "accepted new flows"
            )
            yield from _find_lost_targets(evidence, line)
        elif outcome == _codes.RefusalCode.OVERLOAD:
            yield (
                f"{line.process} refused it at once: too many opening packets "
                "were already held for a free slot"
            )
        elif outcome == _codes.RefusalCode.NO_SLOT_IN_TIME:
            yield (
                f"{line.process} refused it after {line.number('held_ms')} ms: "
                f"{line.number('held_before')} held callers came before it, "
                f"and a slot was expected in {line.number('wait_ms')} ms, "
                "later than the caller can be held"
            )
        elif outcome == _codes.RefusalCode.DEADLINE:
            yield (
                f"{line.process} refused it after {line.number('held_ms')} ms: "
                "the request could not finish before the route's timeout"
            )


def _find_drop(evidence: _Evidence) -> Iterator[str]:
    meanings = {
        f"dropped_{_codes.DropCode.NO_SLOT}": "no slot became free",
        f"dropped_{_codes.DropCode.DEADLINE}": (
            "the request could not finish before the route's timeout, and a "
            "reset might not have been true"
        ),
    }
    for line in evidence.chain:
        meaning = meanings.get(line.text("outcome"))
        if meaning is not None:
            yield (
                f"{line.process} dropped transmission {line.number('copy')} "
                f"after {line.number('held_ms')} ms: {meaning}"
            )


def _find_newer_version(
    evidence: _Evidence, refusal: _log_lines.LogLine
) -> Iterator[str]:
    newer = [
        line
        for line in evidence.context
        if line.event == "deployment_in_force"
        and line.time_ms <= refusal.time_ms
        and line.number("version") > refusal.number("version")
    ]
    if newer:
        yield (
            f"{newer[0].process} already used version "
            f"{newer[0].text('version')}: {refusal.process} was late"
        )
    else:
        yield "no instance used a later version: nobody serves the address"


def _find_lost_targets(
    evidence: _Evidence, refusal: _log_lines.LogLine
) -> Iterator[str]:
    events = ("target_left", "target_expired", "target_not_confirmed")
    gone = {
        line.text("target")
        for line in evidence.context
        if line.event in events and line.time_ms <= refusal.time_ms
    }
    if gone:
        yield f"targets that had just left or fallen silent: {len(gone)}"


def _find_placement(evidence: _Evidence) -> Iterator[str]:
    for line in evidence.chain:
        if line.event != "flow_opening":
            continue
        outcome = line.text("outcome")
        if outcome == PlacementOutcome.WAIT:
            yield (
                f"{line.process} held transmission {line.number('copy')}: the "
                "caller was late already and no slot was free"
            )
        elif line.text("target"):
            flows = line.number("own_flows") + line.number("peer_flows")
            yield (
                f"{line.process} sent transmission {line.number('copy')} to "
                f"{line.text('target')} ({outcome}), which had {flows} open "
                f"flows, of {line.number('candidates')} candidates"
            )


def _find_silence(evidence: _Evidence) -> Iterator[str]:
    events = {line.event for line in evidence.chain}
    is_placed = any(
        line.event == "flow_opening" and line.text("target")
        for line in evidence.chain
    )
    if is_placed and events == {"flow_opening"}:
        yield (
            "no later packet of the caller was seen: the target did not "
            "answer, or packets were lost"
        )
    for line in evidence.chain:
        if line.text("outcome") == "unknown_target":
            yield (
                f"{line.process} dropped the request's packet: it knew no "
                "target with the packet's token"
            )


def _find_process_events(evidence: _Evidence) -> Iterator[str]:
    meanings = {
        "started": "was started; packets that reached it just before are lost",
        "stopping": "was stopping by plan and still forwarded packets",
        "paused": "had been paused and opened no flows until it heard news",
    }
    for line in evidence.context:
        if line.event in meanings and line.process in evidence.processes:
            yield f"{line.process} {meanings[line.event]}"


def _find_target_events(evidence: _Evidence) -> Iterator[str]:
    meanings = {
        "target_left": "left as planned",
        "target_expired": "was silent until its lease ended",
        "target_not_confirmed": "did not renew its lease after a restart",
    }
    told: set[str] = set()
    for line in evidence.context:
        target = line.text("target")
        if target not in evidence.targets:
            continue
        meaning = meanings.get(line.event, "")
        is_change = line.event == "target_changed"
        if is_change and line.text("state") == "draining":
            meaning = "was draining"
        finding = f"target {target} {meaning}"
        if meaning and finding not in told:
            told.add(finding)
            yield finding


def _find_end(evidence: _Evidence) -> Iterator[str]:
    for line in evidence.chain:
        if line.event == "flow_ended":
            yield (
                f"the caller ended the flow; {line.process} had seen it for "
                f"{line.number('open_ms')} ms"
            )


_Rule = Callable[[_Evidence], Iterator[str]]

_FLOW_RULES: tuple[_Rule, ...] = (
    _find_refusal,
    _find_drop,
    _find_placement,
    _find_silence,
    _find_process_events,
    _find_target_events,
    _find_end,
)


def _is_about_deployment(line: _log_lines.LogLine) -> bool:
    if line.event in DECIDING_EVENTS:
        return line.text("key") in ("", _deployment.DEPLOYMENT_KEY)
    return line.event == "deployment_in_force"


def _find_proposals(chain: Sequence[_log_lines.LogLine]) -> Iterator[str]:
    for line in chain:
        if line.event == "proposal_ended":
            yield (
                f"{line.process} proposed it: {line.text('outcome')} after "
                f"{line.number('spent_ms')} ms"
            )
        elif line.event == "deployment_unreadable":
            yield f"{line.process} cannot read it: {line.text('error')}"


def _find_force(
    ordered: Sequence[_log_lines.LogLine],
    chain: Sequence[_log_lines.LogLine],
    version: int,
) -> Iterator[str]:
    committed = [one for one in chain if one.event == "state_committed"]
    used = {
        line.process: line.time_ms
        for line in reversed(chain)
        if line.event == "deployment_in_force"
    }
    if not committed:
        yield "no replica logged it as committed"
        return
    first = committed[0]
    yield f"{first.process} knew first that it was committed"
    if used:
        slowest = max(used, key=lambda process: used[process])
        yield (
            f"{len(used)} instances used it; the last one, {slowest}, "
            f"{used[slowest] - first.time_ms} ms after it was committed"
        )
    others = {
        line.process: line.number("version")
        for line in ordered
        if line.event == "deployment_in_force" and line.process not in used
    }
    for process, last_version in sorted(others.items()):
        state = "went on to" if last_version > version else "stayed at"
        yield f"{process} did not use it: it {state} version {last_version}"
