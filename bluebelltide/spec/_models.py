"""All models with their scopes and mutations."""

from collections.abc import Callable
from typing import Any, NamedTuple

from bluebelltide.spec import _bucket_model
from bluebelltide.spec import _deployment_model
from bluebelltide.spec import _directory_model
from bluebelltide.spec import _evacuations_model
from bluebelltide.spec import _explorer
from bluebelltide.spec import _register_model
from bluebelltide.spec import _removals_model
from bluebelltide.spec import _voters_model

WALK_RULES = ("skip_joint_step", "skip_copy")
"""The rules whose removal random walks find in reasonable time. The full model
of one replacement shows that the others are needed."""
WALK_SEED = 1
"""The seed of random walks."""


class NamedModel(NamedTuple):
    """A model that can be built whole or with a rule left out."""

    name: str
    """The model's name."""
    scope: str
    """The sizes and faults that the exploration covers."""
    create: Callable[[str], _explorer.Model[Any]]
    """Creates the model without a rule, or whole for an empty rule."""
    mutations: tuple[str, ...]
    """The rules that can be left out."""
    walks: int = 0
    """How many random walks look for a violation, if the model is too large
    to be explored in full; else 0."""


def check_model(
    model: NamedModel, rule: str, maximum_states: int
) -> _explorer.ExplorationResult:
    """Explores a model in full, or by random walks if it is too large.

    Args:
        model: The model.
        rule: The rule to leave out, or empty.
        maximum_states: The number of states after which a full exploration
            stops as incomplete.

    Returns:
        The result.
    """
    if model.walks:
        return _explorer.walk_randomly(
            model.create(rule), model.walks, WALK_SEED
        )
    return _explorer.explore(model.create(rule), maximum_states)


def create_models() -> tuple[NamedModel, ...]:
    """Returns every model."""
    return (
        NamedModel(
            "register",
            "3 acceptors, 2 racing changes and a resend, 1 lost disk",
            lambda rule: _register_model.create_register_model(mutation=rule),
            _register_model.MUTATIONS,
        ),
        NamedModel(
            "voters",
            "4 replicas, 1 replaced by a joint step, 3 ballots",
            lambda rule: _voters_model.create_voters_model(
                _voters_model.BALLOTS_TO_REVEAL.get(rule, 3), rule
            ),
            _voters_model.MUTATIONS,
        ),
        NamedModel(
            "voters-twice",
            "5 replicas, 2 replaced one after the other, 4 ballots",
            lambda rule: _voters_model.create_voters_model(
                4, rule, _voters_model.TWO_REPLACED
            ),
            WALK_RULES,
            walks=20_000,
        ),
        NamedModel(
            "voters-join",
            "5 replicas, 2 join 3 voters in one step, 3 ballots",
            lambda rule: _voters_model.create_voters_model(
                3, rule, _voters_model.TWO_JOIN
            ),
            WALK_RULES,
            walks=5_000,
        ),
        NamedModel(
            "voters-leave",
            "5 voters, 2 leave in one step, 3 ballots",
            lambda rule: _voters_model.create_voters_model(
                3, rule, _voters_model.TWO_LEAVE
            ),
            WALK_RULES,
            walks=5_000,
        ),
        NamedModel(
            "removals",
            "6 replicas, 3 go without notice and 1 with, 3 voters needed",
            lambda rule: _removals_model.create_removals_model(
                _removals_model.SMALL_SCOPE, rule
            ),
            _removals_model.MUTATIONS,
        ),
        NamedModel(
            "removals-starts",
            "6 replicas, 2 go without notice and 2 with, 1 starts",
            lambda rule: _removals_model.create_removals_model(
                _removals_model.Scope(6, 3, 3, 2, 2, 1), rule
            ),
            _removals_model.MUTATIONS,
        ),
        NamedModel(
            "removals-five",
            "8 replicas, 3 go without notice and 1 with, 5 voters needed",
            lambda rule: _removals_model.create_removals_model(
                _removals_model.Scope(8, 5, 5, 3, 1), rule
            ),
            ("fixed_voter_count", "end_without_hand_over"),
        ),
        NamedModel(
            "evacuations",
            "3 acceptors, 2 orders with a resend each, 1 lost disk",
            _evacuations_model.create_evacuations_model,
            _evacuations_model.MUTATIONS,
        ),
        NamedModel(
            "deployment",
            "3 acceptors, versions 0, 1 and 0 with other content, restarts",
            _deployment_model.create_deployment_model,
            _deployment_model.MUTATIONS,
        ),
        NamedModel(
            "directory",
            "2 replicas, 1 instance that starts anew, a target that drains",
            _directory_model.create_directory_model,
            _directory_model.MUTATIONS,
        ),
        NamedModel(
            "bucket",
            "3 instances, 1 bucket, 2 targets, 2 flows, owner may die",
            _bucket_model.create_bucket_model,
            _bucket_model.MUTATIONS,
        ),
    )
