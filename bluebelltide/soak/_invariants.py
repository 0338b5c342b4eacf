"""What callers, targets and operators saw, and which promises that breaks.

Pure: times are passed in, in seconds from the start of the traffic. Promises
with a time bound hold while no fault has harmed anything lately; the caller
of the ledger passes in a function that tells.
"""

from collections.abc import Callable
from typing import NamedTuple

APPLY_S = 3.0
"""How long after its acknowledgement a change is in force everywhere."""
DRAIN_S = 3.0
"""How long a leaving target may get new flows after its acknowledgement."""
SETTLE_S = 4.0
"""How long after a fault the bounds in time do not hold yet."""
RECOVERY_S = 12.0
"""How long after the last fault service may be incomplete."""
FIRST_SERVICE_S = 6.0
"""How long after the last fault a quarter of the requests may be lost."""
FIRST_SERVICE_SHARE = 0.25
"""The share of requests that is served after `FIRST_SERVICE_S`."""


class Violation(NamedTuple):
    """A promise that was broken."""

    invariant: str
    """Its short name."""
    at_s: float
    """When it was seen."""
    detail: str
    """What was seen."""


class _Request(NamedTuple):
    sent_s: float
    service: str
    is_repeatable: bool


class InvariantChecker:
    """Everything that was seen in one run."""

    def __init__(self, is_calm: Callable[[float, float], bool]) -> None:
        """Creates an empty ledger.

        Args:
            is_calm: Returns whether no fault, nor what it left behind, lies
                in a span of time.
        """
        self.broken: list[Violation] = []
        self.runs: dict[str, int] = {}
        self.outcomes: dict[str, tuple[float, str]] = {}
        self._is_calm = is_calm
        self._requests: dict[str, _Request] = {}
        self._open_at: dict[str, str] = {}
        self._refused: set[str] = set()
        self._drained_s: dict[str, float] = {}
        self._sent: dict[int, bytes] = {}
        self._ports: dict[int, frozenset[int]] = {}
        self._sent_s: dict[int, float] = {}
        self._acknowledged_s: dict[int, float] = {}

    def _break(self, promise: str, at_s: float, detail: str) -> None:
        self.broken.append(Violation(promise, at_s, detail))

    # Requests and flows.

    def request_sent(
        self,
        request_id: str,
        service: str,
        is_repeatable: bool,
        now_s: float,
    ) -> None:
        """Notes that a caller sends a request."""
        self._requests.setdefault(
            request_id, _Request(now_s, service, is_repeatable)
        )

    def request_run(
        self, request_id: str, service: str, flow: str, now_s: float
    ) -> None:
        """Notes that a target of a service began to work on a request."""
        request = self._requests.get(request_id)
        if request is None:
            self._break("unasked", now_s, f"{request_id} was never sent")
            return
        if service != request.service:
            detail = f"{request_id} of {request.service} ran at {service}"
            self._break("own_service", now_s, detail)
        runs = self.runs.get(request_id, 0) + 1
        self.runs[request_id] = runs
        if runs > 1 and not request.is_repeatable:
            self._break("at_most_once", now_s, f"{request_id} ran {runs} times")
        if flow in self._refused:
            detail = f"{request_id} ran on the refused flow {flow}"
            self._break("not_run_is_true", now_s, detail)

    def flow_open(self, flow: str, target_id: str) -> None:
        """Notes that a target holds an open flow."""
        self._open_at[flow] = target_id

    def flow_over(self, flow: str) -> None:
        """Notes that a flow ended, or that its target is gone."""
        self._open_at.pop(flow, None)

    def target_gone(self, target_id: str) -> None:
        """Notes that a target holds no flows any more."""
        for flow, holder in list(self._open_at.items()):
            if holder == target_id:
                del self._open_at[flow]

    def flow_reset(self, flow: str, sender: str, now_s: float) -> None:
        """Notes a reset that reached a caller.

        Args:
            flow: The flow.
            sender: The target that sent it, or empty for the product.
            now_s: The present time.
        """
        holder = self._open_at.get(flow)
        if holder is None:
            if not sender:
                self._refused.add(flow)
            return
        if sender != holder:
            detail = f"{flow} open at {holder}, reset by {sender or 'entry'}"
            self._break("flows_stay_whole", now_s, detail)

    def packet_astray(self, flow: str, target_id: str, now_s: float) -> None:
        """Notes that a target got a packet of a flow that it does not hold."""
        holder = self._open_at.get(flow)
        if holder is not None and holder != target_id:
            detail = f"{flow} open at {holder}, packet at {target_id}"
            self._break("flows_stay_whole", now_s, detail)

    def answer(self, request_id: str, own_id: str, now_s: float) -> None:
        """Notes a whole answer; `own_id` is the request that it names."""
        if request_id != own_id:
            detail = f"{request_id} got the answer of {own_id}"
            self._break("own_answer", now_s, detail)

    def request_ended(self, name: str, sent_s: float, outcome: str) -> None:
        """Notes how a caller's request ended, after all its attempts."""
        self.outcomes[name] = (sent_s, outcome)

    # Leaving targets.

    def drain_acknowledged(self, target_id: str, now_s: float) -> None:
        """Notes that a replica acknowledged that a target leaves."""
        self._drained_s.setdefault(target_id, now_s)

    def flow_reached(self, target_id: str, flow: str, now_s: float) -> None:
        """Notes that a target got a flow's first opening packet."""
        drained_s = self._drained_s.get(target_id)
        if drained_s is None or now_s <= drained_s + DRAIN_S:
            return
        if self._is_calm(drained_s, now_s):
            late_s = now_s - drained_s
            detail = f"{flow} reached {target_id} {late_s:.2f} s after"
            self._break("drain", now_s, detail)

    # Deployments.

    def change_sent(
        self, version: int, body: bytes, ports: frozenset[int], now_s: float
    ) -> None:
        """Notes a deployment that an operator sends, and its routes' ports."""
        if version not in self._sent:
            self._sent[version] = body
            self._ports[version] = ports
            self._sent_s[version] = now_s

    def change_acknowledged(self, version: int, now_s: float) -> None:
        """Notes that a replica acknowledged a deployment."""
        self._acknowledged_s.setdefault(version, now_s)

    def change_refused(self, version: int, status: int, now_s: float) -> None:
        """Notes that a replica refused a valid deployment for good."""
        detail = f"version {version} got status {status}"
        self._break("valid_change_refused", now_s, detail)

    def invalid_change_accepted(self, now_s: float) -> None:
        """Notes that a replica acknowledged an invalid deployment."""
        self._break("invalid_change", now_s, "acknowledged")

    def newest_acknowledged(self, before_s: float) -> int:
        """Returns the newest version acknowledged before a time; -1 if none."""
        return max(
            (
                version
                for version, at_s in self._acknowledged_s.items()
                if at_s <= before_s
            ),
            default=-1,
        )

    def version_read(
        self, version: int, body: bytes, asked_s: float, now_s: float
    ) -> None:
        """Notes an answer to a read of the deployment."""
        due = self.newest_acknowledged(asked_s - APPLY_S)
        if version < due:
            detail = f"read {version}, {due} was acknowledged"
            self._break("never_reverts", now_s, detail)
        if body != self._sent.get(version):
            detail = f"version {version} was read with other content"
            self._break("never_reverts", now_s, detail)

    def read_at_end(self, version: int | None, now_s: float) -> None:
        """Notes the last read; None if no replica answered."""
        due = self.newest_acknowledged(now_s)
        if version is None or version < due:
            detail = f"read {version} at the end, {due} was acknowledged"
            self._break("never_lost", now_s, detail)

    def probed(self, port: int, opened: bool, sent_s: float) -> None:
        """Notes whether a flow to a port opened or was refused.

        Args:
            port: The port at the service address.
            opened: Whether a target took it; False for a reset.
            sent_s: When the flow began.
        """
        due = self.newest_acknowledged(sent_s - APPLY_S)
        if due < 0 or not self._is_calm(sent_s - APPLY_S, sent_s):
            return
        allowed = {
            port in ports
            for version, ports in self._ports.items()
            if version >= due
        }
        if opened not in allowed:
            what = "opened" if opened else "was refused"
            detail = f"a flow to port {port} {what} under version {due}"
            self._break("change_in_force", sent_s, detail)

    # The whole run.

    def process_ended(self, name: str, code: int, now_s: float) -> None:
        """Notes that a process ended by itself."""
        self._break("process_ended", now_s, f"{name} with code {code}")

    def check_recovery(self, last_fault_s: float, end_s: float) -> None:
        """Checks that service came back after the last fault."""
        first = self._between(last_fault_s + FIRST_SERVICE_S, end_s)
        served = [name for name, outcome in first if outcome == "served"]
        if not first or len(served) < FIRST_SERVICE_SHARE * len(first):
            detail = f"{len(served)} of {len(first)} served after 6 s"
            self._break("recovery", end_s, detail)
        late = self._between(last_fault_s + RECOVERY_S, end_s)
        lost = [name for name, outcome in late if outcome != "served"]
        if lost:
            detail = f"{len(lost)} of {len(late)} lost after 12 s: {lost[:3]}"
            self._break("nothing_lost", end_s, detail)

    def _between(self, from_s: float, to_s: float) -> list[tuple[str, str]]:
        return [
            (name, outcome)
            for name, (sent_s, outcome) in self.outcomes.items()
            if from_s <= sent_s <= to_s
        ]
