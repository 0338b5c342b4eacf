"""Models of the core protocols, and a model checker for them.

Each model is a set of guarded steps over immutable states. `explore` visits
every reachable state of a small scope and checks the safety properties in each
state; random walks look for violations in scopes that are too large for that.
A model can be built with one of its rules left out. This must violate a
property, which shows that the properties depend on the rule.
"""

from bluebelltide.spec._explorer import ExplorationResult
from bluebelltide.spec._explorer import Model
from bluebelltide.spec._explorer import explore
from bluebelltide.spec._models import NamedModel
from bluebelltide.spec._models import check_model
from bluebelltide.spec._models import create_models

__all__ = [
    "ExplorationResult",
    "Model",
    "NamedModel",
    "check_model",
    "create_models",
    "explore",
]
