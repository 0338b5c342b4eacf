"""Exploration of a model's reachable states, in full or by random walks."""

from collections import deque
from collections.abc import Callable, Hashable, Iterable
import random
from typing import Generic, NamedTuple, TypeVar

StateT = TypeVar("StateT", bound=Hashable)


class Model(NamedTuple, Generic[StateT]):
    """A protocol as guarded steps, with the properties to check."""

    initial_state: StateT
    """The state that the exploration starts from."""
    steps: Callable[[StateT], Iterable[tuple[str, StateT]]]
    """Returns the label and the next state of each step from a state."""
    find_violation: Callable[[StateT], str | None]
    """Returns the property that a state violates, or None."""


class ExplorationResult(NamedTuple):
    """The result of an exploration."""

    state_count: int
    """The number of distinct states that were visited."""
    step_count: int
    """The number of steps that were taken."""
    violation: str | None
    """The property that a state violates, or None if no state does."""
    trace: tuple[str, ...]
    """The shortest sequence of steps to the violating state."""
    is_complete: bool
    """Whether every reachable state was visited."""


def explore(model: Model[StateT], maximum_states: int) -> ExplorationResult:
    """Visits the reachable states of a model.

    Args:
        model: The model.
        maximum_states: The number of states after which the exploration
            stops as incomplete.

    Returns:
        The result; the exploration ends at the first violated property.
    """
    predecessors: dict[StateT, tuple[StateT, str] | None] = {
        model.initial_state: None
    }
    queue = deque([model.initial_state])
    step_count = 0
    while queue:
        state = queue.popleft()
        violation = model.find_violation(state)
        if violation is not None:
            trace = _trace(predecessors, state)
            return ExplorationResult(
                len(predecessors), step_count, violation, trace, False
            )
        for label, next_state in model.steps(state):
            step_count += 1
            if next_state not in predecessors:
                predecessors[next_state] = (state, label)
                queue.append(next_state)
        if len(predecessors) > maximum_states:
            return ExplorationResult(
                len(predecessors), step_count, None, (), False
            )
    return ExplorationResult(len(predecessors), step_count, None, (), True)


def walk_randomly(
    model: Model[StateT], walks: int, seed: int
) -> ExplorationResult:
    """Follows random sequences of steps, each until no step is left.

    This looks for violations in models that are too large to explore in full.
    Every walk must end.

    Args:
        model: The model.
        walks: The number of walks.
        seed: Seeds the choice of steps.

    Returns:
        The result; the first violated property ends the search, and its trace
        is that of the walk. States count each time they are visited.
    """
    generator = random.Random(seed)
    step_count = 0
    for _ in range(walks):
        state = model.initial_state
        trace: list[str] = []
        while steps := list(model.steps(state)):
            label, state = generator.choice(steps)
            trace.append(label)
            step_count += 1
            violation = model.find_violation(state)
            if violation is not None:
                return ExplorationResult(
                    step_count, step_count, violation, tuple(trace), False
                )
    return ExplorationResult(step_count, step_count, None, (), False)


def _trace(
    predecessors: dict[StateT, tuple[StateT, str] | None], state: StateT
) -> tuple[str, ...]:
    labels = []
    predecessor = predecessors[state]
    while predecessor is not None:
        labels.append(predecessor[1])
        predecessor = predecessors[predecessor[0]]
    return tuple(reversed(labels))
