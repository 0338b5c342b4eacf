"""The HTTP call that lists the evacuated data centres."""

import msgspec

from bluebelltide import _http1
from bluebelltide.catalogue import _evacuations
from bluebelltide.control import _deployment_replica

LIST_PATH = "/v1/evacuations"
"""The path at which operators read the set that a replica knows."""


def encode_evacuations(
    evacuations: _evacuations.EvacuationSet, is_confirmed: bool
) -> bytes:
    """Returns a set in the form in which operators get it."""
    return msgspec.json.encode(
        {
            "version": evacuations.version,
            "data_centres": evacuations.data_centres,
            "is_confirmed": is_confirmed,
        }
    )


def list_evacuations(
    replica: _deployment_replica.DeploymentReplica, request: _http1.Request
) -> _http1.Response:
    """Answers with the set that a replica tells the entry instances.

    It needs no quorum: it shows what this replica knows, also while it is cut
    off.

    Args:
        replica: The replica.
        request: The request.

    Returns:
        The response.
    """
    if request.method != "GET":
        return _http1.Response(405)
    evacuations = replica.evacuations
    unconfirmed = replica.unconfirmed_evacuations
    if unconfirmed is not None and not evacuations.version:
        return _http1.Response(200, encode_evacuations(unconfirmed, False))
    return _http1.Response(200, encode_evacuations(evacuations, True))
