"""Model of the replicated directory of targets.

One target announces itself, each time to any of two replicas: as ready, then as
draining. Replicas tell each other and an entry instance their records, and tell
each other the newest sequence that they received themselves, which renews the
lease. Any of these messages may come late, again or never. The instance may
start anew, and one lease may run out.

Records merge by `(sequence, has left)`. That is only sound if a record says
what the target said under its sequence. Then, after all have told each other
their records, the last announced state is known everywhere.
"""

from collections.abc import Iterator
from typing import NamedTuple

from bluebelltide.spec import _explorer

MUTATIONS = ("renewal_keeps_record", "leaving_covers_renewals")
"""Rules that can be left out, one at a time."""
REPLICAS = (0, 1)
"""The replicas; the entry instance follows them."""
INSTANCE = 2
"""The process that only receives records."""
READY_UNTIL = 1
"""The target says that it is ready up to this sequence, and drains after it."""
LAST_SEQUENCE = 3
"""The last sequence that the target announces."""


class Record(NamedTuple):
    """What a process knows of the target."""

    sequence: int = 0
    """The sequence of the announcement; 0 if the process knows none."""
    has_left: bool = False
    """Whether the lease ran out or the target deregistered."""
    is_draining: bool = False
    """The announced state."""


UNKNOWN = Record()


class State(NamedTuple):
    """A state of the model."""

    announced: int
    """The newest sequence that the target announced."""
    records: tuple[Record, ...]
    """The record of each process."""
    heard: tuple[int, ...]
    """The newest sequence that each replica heard of."""
    received: tuple[int, ...]
    """The newest sequence that each replica received from the target."""
    has_deregistered: bool = False
    """Whether a replica acknowledged that the target left."""


def create_directory_model(mutation: str = "") -> _explorer.Model[State]:
    """Creates the model.

    Args:
        mutation: The rule to leave out, one of MUTATIONS, or empty.

    Returns:
        The model.
    """
    first = Record(1)
    initial_state = State(1, (first,) * 3, (1, 1), (1, 0))

    def steps(state: State) -> Iterator[tuple[str, State]]:
        for replica in REPLICAS:
            yield from announce(state, replica)
            yield from renew(state, replica)
            yield from deregister(state, replica)
            for receiver in (1 - replica, INSTANCE):
                yield (
                    f"{replica} tells {receiver}",
                    merge(state, receiver, state.records[replica]),
                )
        yield "instance starts anew", with_record(state, INSTANCE, UNKNOWN)

    def announce(state: State, replica: int) -> Iterator[tuple[str, State]]:
        if state.announced == LAST_SEQUENCE or state.has_deregistered:
            return
        sequence = state.announced + 1
        record = Record(sequence, is_draining=sequence > READY_UNTIL)
        received = _replace_at(state.received, replica, sequence)
        next_state = state._replace(announced=sequence, received=received)
        yield (
            f"announcement {sequence} to {replica}",
            merge(next_state, replica, record),
        )

    def renew(state: State, replica: int) -> Iterator[tuple[str, State]]:
        """Passes on what a replica received to the other one."""
        receiver = 1 - replica
        sequence = state.received[replica]
        if sequence <= state.heard[receiver]:
            return
        next_state = state._replace(
            heard=_replace_at(state.heard, receiver, sequence)
        )
        if mutation == "renewal_keeps_record":
            renewed = state.records[receiver]._replace(
                sequence=sequence, has_left=False
            )
            next_state = with_record(next_state, receiver, renewed)
        yield f"{receiver} hears of {sequence}", next_state

    def deregister(state: State, replica: int) -> Iterator[tuple[str, State]]:
        """Deregisters at a replica that heard of the last announcement."""
        record = state.records[replica]
        if state.heard[replica] != LAST_SEQUENCE or state.has_deregistered:
            return
        sequence = state.heard[replica]
        if mutation == "leaving_covers_renewals":
            sequence = record.sequence
        left = record._replace(sequence=sequence, has_left=True)
        next_state = state._replace(has_deregistered=True)
        yield f"deregisters at {replica}", merge(next_state, replica, left)

    def merge(state: State, receiver: int, record: Record) -> State:
        if record[:2] <= state.records[receiver][:2]:
            return state
        state = with_record(state, receiver, record)
        if receiver == INSTANCE:
            return state
        heard = max(state.heard[receiver], record.sequence)
        return state._replace(heard=_replace_at(state.heard, receiver, heard))

    def find_violation(state: State) -> str | None:
        # Once all have told each other everything, the newest record is known
        # to all.
        newest = max(state.records, key=lambda record: record[:2])
        for record in state.records:
            is_stale = record[:2] == newest[:2] and record != newest
            if is_stale and not record.has_left:
                return "two records of one announcement differ"
        if state.has_deregistered and not newest.has_left:
            return "a target that left is used again"
        if state.announced > READY_UNTIL and not (
            newest.is_draining or newest.has_left
        ):
            return "a draining target is used again"
        return None

    return _explorer.Model(initial_state, steps, find_violation)


def with_record(state: State, process: int, record: Record) -> State:
    """Returns a state in which a process has another record."""
    return state._replace(records=_replace_at(state.records, process, record))


def _replace_at(values: tuple, index: int, value: object) -> tuple:  # type: ignore[type-arg]
    return (*values[:index], value, *values[index + 1 :])
