"""All models with their scopes and mutations."""

from collections.abc import Callable
from typing import Any, NamedTuple

from bluebelltide.spec import _bucket_model
from bluebelltide.spec import _explorer
from bluebelltide.spec import _register_model
from bluebelltide.spec import _voters_model


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
            "bucket",
            "3 instances, 1 bucket, 2 targets, 2 flows, owner may die",
            _bucket_model.create_bucket_model,
            _bucket_model.MUTATIONS,
        ),
    )
