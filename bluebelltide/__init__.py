"""bluebelltide, a layer-4 load balancer for small on-call teams.

The package root exports the types that other programs may use. The decision
logic is in `catalogue`, `membership`, `flows`, `placement` and `admission` and
does no input or output; the programs connect it to sockets and files.
"""

from bluebelltide._exceptions import BluebelltideError
from bluebelltide._exceptions import ErrorCode
from bluebelltide._types import Address
from bluebelltide._types import Target
from bluebelltide._types import TargetState

__all__ = [
    "Address",
    "BluebelltideError",
    "ErrorCode",
    "Target",
    "TargetState",
    "__version__",
]


def __getattr__(name: str) -> str:
    """Looks up the version on first use, because the lookup is slow."""
    if name != "__version__":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from importlib import metadata

    return metadata.version("bluebelltide")
