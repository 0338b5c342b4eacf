"""Checks the invariants of the system against what the stand-ins observe.

Pure: times are passed in, in seconds since the start of the traffic.
Invariants with a time limit are checked only when no fault could have had an
effect; whoever creates the checker passes in a function that decides this.
"""

from collections.abc import Callable
from typing import NamedTuple

APPLY_LIMIT_S = 3.0
"""Time after its acknowledgement by which a change is in force everywhere."""
DRAIN_LIMIT_S = 3.0
"""How long a target may get new flows after its drain was acknowledged."""
EVACUATION_LIMIT_S = 3.0
"""How long targets of a data centre may get new flows after its evacuation was
acknowledged."""
ORDER_LIMIT_S = 6.0
"""How long an evacuation order may stay without an acknowledgement."""
STABILISATION_S = 4.0
"""Time after the end of a fault during which time limits do not apply."""
FULL_RECOVERY_S = 12.0
"""Time after the last fault from which every request must be served."""
PARTIAL_RECOVERY_S = 6.0
"""Time after the last fault from which some requests must be served."""
PARTIAL_RECOVERY_SHARE = 0.25
"""The least share of served requests after `PARTIAL_RECOVERY_S`."""


class Violation(NamedTuple):
    """A violation of an invariant."""

    invariant: str
    """The invariant's name."""
    at_s: float
    """When the violation was observed."""
    detail: str
    """What was observed."""


class _Request(NamedTuple):
    sent_s: float
    service: str
    is_repeatable: bool


class InvariantChecker:
    """Collects the observations of one run and the violations in them.

    Attributes:
        violations: The violations so far.
        run_counts: How often targets ran each request, by request id.
        outcomes: When each request was first sent and how it ended, by the
            request's name.
    """

    def __init__(self, is_fault_free: Callable[[float, float], bool]) -> None:
        """Creates a checker without observations.

        Args:
            is_fault_free: Returns whether no fault, nor the time to stabilise
                after one, overlaps the span between two times.
        """
        self.violations: list[Violation] = []
        self.run_counts: dict[str, int] = {}
        self.outcomes: dict[str, tuple[float, str]] = {}
        self._is_fault_free = is_fault_free
        self._requests: dict[str, _Request] = {}
        self._target_by_flow: dict[str, str] = {}
        self._refused_flows: set[str] = set()
        self._drain_acknowledged_s: dict[str, float] = {}
        self._evacuated_since_s: dict[str, float] = {}
        self._sent_bodies: dict[int, bytes] = {}
        self._ports_by_version: dict[int, frozenset[int]] = {}
        self._change_sent_s: dict[int, float] = {}
        self._change_acknowledged_s: dict[int, float] = {}

    def _add_violation(self, invariant: str, at_s: float, detail: str) -> None:
        self.violations.append(Violation(invariant, at_s, detail))

    # Requests and flows.

    def record_request_sent(
        self,
        request_id: str,
        service: str,
        is_repeatable: bool,
        now_s: float,
    ) -> None:
        """Records that a caller sends one attempt of a request."""
        self._requests.setdefault(
            request_id, _Request(now_s, service, is_repeatable)
        )

    def record_request_run(
        self, request_id: str, service: str, flow: str, now_s: float
    ) -> None:
        """Records that a target of a service started to run a request."""
        request = self._requests.get(request_id)
        if request is None:
            self._add_violation(
                "unasked", now_s, f"{request_id} was never sent"
            )
            return
        if service != request.service:
            detail = f"{request_id} of {request.service} ran at {service}"
            self._add_violation("own_service", now_s, detail)
        runs = self.run_counts.get(request_id, 0) + 1
        self.run_counts[request_id] = runs
        if runs > 1 and not request.is_repeatable:
            self._add_violation(
                "at_most_once", now_s, f"{request_id} ran {runs} times"
            )
        if flow in self._refused_flows:
            detail = f"{request_id} ran on the refused flow {flow}"
            self._add_violation("not_run_is_true", now_s, detail)

    def record_flow_open(self, flow: str, target_id: str) -> None:
        """Records that a target holds an open flow."""
        self._target_by_flow[flow] = target_id

    def record_flow_end(self, flow: str) -> None:
        """Records that a flow ended."""
        self._target_by_flow.pop(flow, None)

    def record_target_gone(self, target_id: str) -> None:
        """Records that a target no longer holds any flow."""
        for flow, holder in list(self._target_by_flow.items()):
            if holder == target_id:
                del self._target_by_flow[flow]

    def record_flow_reset(self, flow: str, sender: str, now_s: float) -> None:
        """Records a reset that reached a caller.

        Args:
            flow: The flow.
            sender: The target that sent it; empty if an entry instance did.
            now_s: The current time.
        """
        holder = self._target_by_flow.get(flow)
        if holder is None:
            if not sender:
                self._refused_flows.add(flow)
            return
        if sender != holder:
            detail = f"{flow} open at {holder}, reset by {sender or 'entry'}"
            self._add_violation("flows_stay_whole", now_s, detail)

    def record_misrouted_packet(
        self, flow: str, target_id: str, now_s: float
    ) -> None:
        """Records that a target got a packet of a flow it does not hold."""
        holder = self._target_by_flow.get(flow)
        if holder is not None and holder != target_id:
            detail = f"{flow} open at {holder}, packet at {target_id}"
            self._add_violation("flows_stay_whole", now_s, detail)

    def record_answer(
        self, request_id: str, answered_id: str, now_s: float
    ) -> None:
        """Records a complete answer, which names the request `answered_id`."""
        if request_id != answered_id:
            detail = f"{request_id} got the answer of {answered_id}"
            self._add_violation("own_answer", now_s, detail)

    def record_request_outcome(
        self, name: str, sent_s: float, outcome: str
    ) -> None:
        """Records how a caller's request ended, after all its attempts."""
        self.outcomes[name] = (sent_s, outcome)

    # Draining targets.

    def record_drain_acknowledged(self, target_id: str, now_s: float) -> None:
        """Records that a replica acknowledged that a target is draining."""
        self._drain_acknowledged_s.setdefault(target_id, now_s)

    def record_new_flow(
        self, target_id: str, flow: str, now_s: float, data_centre: str = ""
    ) -> None:
        """Records that a target received a flow's first opening packet."""
        self._check_evacuation(target_id, flow, now_s, data_centre)
        acknowledged_s = self._drain_acknowledged_s.get(target_id)
        if acknowledged_s is None or now_s <= acknowledged_s + DRAIN_LIMIT_S:
            return
        if self._is_fault_free(acknowledged_s, now_s):
            late_s = now_s - acknowledged_s
            detail = f"{flow} reached {target_id} {late_s:.2f} s after"
            self._add_violation("drain", now_s, detail)

    # Evacuated data centres.

    def record_order_acknowledged(
        self, data_centre: str, is_evacuated: bool, sent_s: float, now_s: float
    ) -> None:
        """Records that a replica acknowledged an order first sent at a time."""
        if is_evacuated:
            self._evacuated_since_s[data_centre] = now_s
        if now_s > sent_s + ORDER_LIMIT_S and self._is_fault_free(
            sent_s, now_s
        ):
            detail = f"{data_centre} after {now_s - sent_s:.2f} s"
            self._add_violation("order_acknowledged", now_s, detail)

    def record_withdrawal_sent(self, data_centre: str) -> None:
        """Records that the evacuation of a data centre may end from now on."""
        self._evacuated_since_s.pop(data_centre, None)

    def _check_evacuation(
        self, target_id: str, flow: str, now_s: float, data_centre: str
    ) -> None:
        since_s = self._evacuated_since_s.get(data_centre)
        if since_s is None or now_s <= since_s + EVACUATION_LIMIT_S:
            return
        if self._is_fault_free(since_s, now_s):
            detail = (
                f"{flow} reached {target_id} of {data_centre} "
                f"{now_s - since_s:.2f} s after"
            )
            self._add_violation("evacuation", now_s, detail)

    # Deployments.

    def record_change_sent(
        self, version: int, body: bytes, ports: frozenset[int], now_s: float
    ) -> None:
        """Records a deployment that an operator sends, and its routes' ports.

        A later call with the same version has no effect.
        """
        if version not in self._sent_bodies:
            self._sent_bodies[version] = body
            self._ports_by_version[version] = ports
            self._change_sent_s[version] = now_s

    def record_change_acknowledged(self, version: int, now_s: float) -> None:
        """Records that a replica acknowledged a deployment."""
        self._change_acknowledged_s.setdefault(version, now_s)

    def record_change_refused(
        self, version: int, status: int, now_s: float
    ) -> None:
        """Records that a replica refused a valid deployment permanently."""
        detail = f"version {version} got status {status}"
        self._add_violation("valid_change_refused", now_s, detail)

    def record_invalid_change_accepted(self, now_s: float) -> None:
        """Records that a replica acknowledged an invalid deployment."""
        self._add_violation("invalid_change", now_s, "acknowledged")

    def newest_acknowledged_version(self, before_s: float) -> int:
        """Returns the newest version acknowledged before a time; -1 if none."""
        return max(
            (
                version
                for version, at_s in self._change_acknowledged_s.items()
                if at_s <= before_s
            ),
            default=-1,
        )

    def record_read(
        self, version: int, body: bytes, asked_s: float, now_s: float
    ) -> None:
        """Records the result of a read of the deployment."""
        required = self.newest_acknowledged_version(asked_s - APPLY_LIMIT_S)
        if version < required:
            detail = f"read {version}, {required} was acknowledged"
            self._add_violation("never_reverts", now_s, detail)
        if body != self._sent_bodies.get(version):
            detail = f"version {version} was read with other content"
            self._add_violation("never_reverts", now_s, detail)

    def record_final_read(self, version: int | None, now_s: float) -> None:
        """Records the final read; `version` is None if no replica answered."""
        required = self.newest_acknowledged_version(now_s)
        if version is None or version < required:
            detail = f"read {version} at the end, {required} was acknowledged"
            self._add_violation("never_lost", now_s, detail)

    def record_probe(self, port: int, was_opened: bool, sent_s: float) -> None:
        """Records whether a flow to a port was opened or refused.

        Args:
            port: The port at the service address.
            was_opened: Whether a target accepted the flow; False for a reset.
            sent_s: When its first opening packet was sent.
        """
        required = self.newest_acknowledged_version(sent_s - APPLY_LIMIT_S)
        if required < 0 or not self._is_fault_free(
            sent_s - APPLY_LIMIT_S, sent_s
        ):
            return
        allowed = {
            port in ports
            for version, ports in self._ports_by_version.items()
            if version >= required
        }
        if was_opened not in allowed:
            what = "opened" if was_opened else "was refused"
            detail = f"a flow to port {port} {what} under version {required}"
            self._add_violation("change_in_force", sent_s, detail)

    # The whole run.

    def record_process_exit(self, name: str, code: int, now_s: float) -> None:
        """Records that a process exited without being asked to."""
        self._add_violation("process_ended", now_s, f"{name} with code {code}")

    def check_recovery(self, last_fault_s: float, end_s: float) -> None:
        """Checks that requests are served again after the last fault."""
        since_partial = self._outcomes_between(
            last_fault_s + PARTIAL_RECOVERY_S, end_s
        )
        served = [
            name for name, outcome in since_partial if outcome == "served"
        ]
        if not since_partial or len(served) < PARTIAL_RECOVERY_SHARE * len(
            since_partial
        ):
            detail = f"{len(served)} of {len(since_partial)} served after 6 s"
            self._add_violation("recovery", end_s, detail)
        since_full = self._outcomes_between(
            last_fault_s + FULL_RECOVERY_S, end_s
        )
        unserved = [name for name, outcome in since_full if outcome != "served"]
        if unserved:
            detail = (
                f"{len(unserved)} of {len(since_full)} lost after 12 s: "
                f"{unserved[:3]}"
            )
            self._add_violation("nothing_lost", end_s, detail)

    def _outcomes_between(
        self, from_s: float, to_s: float
    ) -> list[tuple[str, str]]:
        return [
            (name, outcome)
            for name, (sent_s, outcome) in self.outcomes.items()
            if from_s <= sent_s <= to_s
        ]
