"""Model of a bucket that moves from target A to target B.

Instance 0 owns the bucket, instance 1 is its backup, and instance 2 stands for
any other. Flow `old` was open on A before the move; flow `new` opens while the
bucket moves. A packet may reach any instance at any time. Instance 0 may fail.
"""

from collections.abc import Iterator
from typing import NamedTuple

from bluebelltide.spec import _explorer

MUTATIONS = (
    "activate_early",
    "record_only_at_owner",
    "redeliver_alone",
    "flip_without_watch",
    "flip_without_mirror",
    "unknown_to_newest",
    "takeover_before_lease_ends",
)
"""Rules that can be left out, one at a time."""
INSTANCES = (0, 1, 2)
OWNER = 0
BACKUP = 1


class State(NamedTuple):
    """A state of the model."""

    prepared_instances: frozenset[int]
    """Instances that route the bucket through its owner."""
    is_active: bool
    """Whether new flows go to B."""
    has_seen_old: bool
    """Whether the current owner has seen flow `old` during its observation."""
    is_observation_complete: bool
    """Whether the owner has observed for one idle timeout.

    By then it has seen every live flow.
    """
    is_cut_over: bool
    """Whether the owner routes unknown flows to B."""
    owner_records: frozenset[str]
    """The owner's flow records: `new` on B, or `old` pinned to A."""
    backup_records: frozenset[str]
    """The flow records of the backup."""
    is_backup_cut_over: bool
    """Whether the backup has stored the cutover."""
    in_flight: frozenset[str]
    """Flows whose opening packet is on its way from the owner to the backup."""
    target_of_new: str
    """The target on which flow `new` was opened; empty before."""
    is_owner_up: bool
    """Whether instance 0 is alive."""
    owner_has_lease: bool
    """Whether instance 0 has a lease and may route."""
    is_taken_over: bool
    """Whether the backup owns the bucket."""
    violation: str
    """The property that a step violated."""


INITIAL_STATE = State(
    frozenset(),
    False,
    False,
    False,
    False,
    frozenset(),
    frozenset(),
    False,
    frozenset(),
    "",
    True,
    True,
    False,
    "",
)


def create_bucket_model(mutation: str = "") -> _explorer.Model[State]:
    """Creates the model.

    Args:
        mutation: The rule to leave out, one of MUTATIONS, or empty.

    Returns:
        The model.
    """

    def deciders(state: State) -> Iterator[tuple[int, frozenset[str], bool]]:
        """Yields each instance that may decide, its records and its cutover."""
        if state.is_owner_up and state.owner_has_lease:
            yield OWNER, state.owner_records, state.is_cut_over
        if state.is_taken_over:
            yield BACKUP, state.backup_records, state.is_backup_cut_over

    def default_target(state: State, is_cut_over: bool) -> str:
        if mutation == "unknown_to_newest" and state.is_active:
            return "B"
        return "B" if is_cut_over else "A"

    def route_established(
        state: State, flow: str, opened_on: str
    ) -> Iterator[tuple[str, State]]:
        """Yields the steps of a later packet of a flow at any instance."""
        for instance in INSTANCES:
            if instance == OWNER and not (
                state.is_owner_up and state.owner_has_lease
            ):
                continue
            if instance not in state.prepared_instances:
                yield from deliver(
                    state, flow, opened_on, "A", f"{instance} direct"
                )
                continue
            for decider, records, is_cut_over in deciders(state):
                target = default_target(state, is_cut_over)
                if flow in records:
                    target = "B" if flow == "new" else "A"
                label = f"{instance} via {decider}"
                next_state = state
                if flow == "old":
                    next_state = state._replace(has_seen_old=True)
                yield from deliver(next_state, flow, opened_on, target, label)

    def deliver(
        state: State, flow: str, opened_on: str, target: str, label: str
    ) -> Iterator[tuple[str, State]]:
        if target != opened_on:
            state = state._replace(
                violation=f"flow {flow} was moved to another target"
            )
        yield f"packet of {flow} at {label}", state

    def open_new_flow(state: State) -> Iterator[tuple[str, State]]:
        if any(
            i not in state.prepared_instances for i in INSTANCES if i != OWNER
        ) or (OWNER not in state.prepared_instances and state.is_owner_up):
            yield "open at an unprepared instance", mark_opened(state, "A")
        for decider, _, is_cut_over in deciders(state):
            if decider not in state.prepared_instances:
                continue
            if not state.is_active or is_cut_over:
                target = "B" if is_cut_over else "A"
                yield f"open by {decider}", mark_opened(state, target)
            elif decider == BACKUP:
                records = state.backup_records | {"new"}
                next_state = state._replace(backup_records=records)
                yield "open by the backup", mark_opened(next_state, "B")
            else:
                yield from open_through_backup(state)

    def open_through_backup(state: State) -> Iterator[tuple[str, State]]:
        records = state.owner_records | {"new"}
        next_state = state._replace(owner_records=records)
        if mutation == "redeliver_alone" and "new" in state.owner_records:
            yield (
                "owner delivers a retransmission alone",
                mark_opened(state, "B"),
            )
        elif mutation == "record_only_at_owner":
            yield "open by the owner alone", mark_opened(next_state, "B")
        else:
            in_flight = next_state.in_flight | {"new"}
            yield (
                "owner records and sends to the backup",
                next_state._replace(in_flight=in_flight),
            )

    def deliver_record(state: State) -> Iterator[tuple[str, State]]:
        if "new" in state.in_flight:
            records = state.backup_records | {"new"}
            next_state = state._replace(
                backup_records=records, in_flight=frozenset[str]()
            )
            yield "backup records and delivers", mark_opened(next_state, "B")

    def mark_opened(state: State, target: str) -> State:
        if state.target_of_new not in ("", target):
            # The caller's retransmitted opening packet reached the other
            # target, so two targets run the flow.
            return state._replace(
                violation="flow new was opened on two targets"
            )
        return state._replace(target_of_new=target)

    def move_bucket(state: State) -> Iterator[tuple[str, State]]:
        for instance in INSTANCES:
            if instance not in state.prepared_instances and (
                instance != OWNER or state.is_owner_up
            ):
                prepared_instances = state.prepared_instances | {instance}
                yield (
                    f"{instance} prepares",
                    state._replace(prepared_instances=prepared_instances),
                )
        required_instances = {
            i for i in INSTANCES if i != OWNER or state.is_owner_up
        }
        is_ready = required_instances <= state.prepared_instances and (
            state.is_owner_up or not state.owner_has_lease
        )
        if mutation == "activate_early":
            is_ready = OWNER in state.prepared_instances
        # A flow that opens on A before the activation stays there; the model
        # opens `new` at most once.
        if is_ready and not state.is_active:
            yield "activate", state._replace(is_active=True)
        # Flow `old` is alive, so a complete observation sees it; the same is
        # true of flow `new` if it was opened on A.
        has_observed = state.has_seen_old or mutation == "flip_without_watch"
        if (
            state.is_active
            and not state.is_observation_complete
            and has_observed
        ):
            yield (
                "observation ends",
                state._replace(is_observation_complete=True),
            )

    def cut_over(state: State) -> Iterator[tuple[str, State]]:
        if not state.is_observation_complete or state.target_of_new == "A":
            # Flow `new` on A behaves like flow `old` and adds no case.
            return
        retained = (
            frozenset({"old"}) if state.has_seen_old else frozenset[str]()
        )
        if (
            state.is_owner_up
            and state.owner_has_lease
            and not state.is_taken_over
        ):
            if (
                not state.is_backup_cut_over
                and mutation != "flip_without_mirror"
            ):
                records = state.backup_records | retained
                yield (
                    "backup stores the cutover",
                    state._replace(
                        backup_records=records, is_backup_cut_over=True
                    ),
                )
            elif not state.is_cut_over:
                records = state.owner_records | retained
                yield (
                    "owner cuts over",
                    state._replace(owner_records=records, is_cut_over=True),
                )

    def fail_owner(state: State) -> Iterator[tuple[str, State]]:
        if state.is_owner_up:
            yield "owner fails", state._replace(is_owner_up=False)
            if state.owner_has_lease:
                yield "owner is cut off", state._replace(owner_has_lease=False)
        elif state.owner_has_lease:
            yield (
                "failed owner's lease ends",
                state._replace(owner_has_lease=False),
            )
        may_take_over = not state.owner_has_lease
        if mutation == "takeover_before_lease_ends":
            may_take_over = True
        if (
            may_take_over
            and not state.is_taken_over
            and BACKUP in state.prepared_instances
        ):
            yield (
                "backup takes over",
                state._replace(
                    is_taken_over=True,
                    has_seen_old=False,
                    is_observation_complete=False,
                ),
            )

    def steps(state: State) -> Iterator[tuple[str, State]]:
        if state.violation:
            return
        yield from move_bucket(state)
        yield from cut_over(state)
        yield from fail_owner(state)
        yield from deliver_record(state)
        yield from route_established(state, "old", "A")
        if state.target_of_new:
            yield from route_established(state, "new", state.target_of_new)
        else:
            yield from open_new_flow(state)

    def find_violation(state: State) -> str | None:
        return state.violation or None

    return _explorer.Model(INITIAL_STATE, steps, find_violation)
