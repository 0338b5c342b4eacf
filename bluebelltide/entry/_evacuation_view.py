"""Decides which set of evacuated data centres an entry instance uses.

Replicas send the newest committed set with each update. After a restart they
do not know at first which set is committed, and send the newest one that they
hold as unconfirmed.
"""

from typing import NamedTuple

from bluebelltide.catalogue import _evacuations


class EvacuationView(NamedTuple):
    """The set that an instance uses."""

    evacuations: _evacuations.EvacuationSet = _evacuations.NO_EVACUATIONS
    """The set; version 0 while the instance has heard of none."""
    is_confirmed: bool = False
    """Whether the instance has heard that the set is committed."""


def update_view(
    view: EvacuationView,
    committed: _evacuations.EvacuationSet,
    unconfirmed: _evacuations.EvacuationSet | None,
) -> EvacuationView:
    """Takes in the sets of an update.

    A committed set replaces an unconfirmed one, also one of a higher version:
    what was accepted by a few replicas may never have been committed. Neither
    a committed set nor an unconfirmed one is replaced by an older one of its
    kind.

    Args:
        view: The set in use.
        committed: The newest set that the sender knows to be committed;
            version 0 if it knows none.
        unconfirmed: A newer set that the sender holds, which may not be
            committed, if any.

    Returns:
        The set to use from now on.
    """
    known_version = view.evacuations.version if view.is_confirmed else 0
    if committed.version > known_version:
        return EvacuationView(committed, True)
    if view.is_confirmed or unconfirmed is None:
        return view
    if unconfirmed.version > view.evacuations.version:
        return EvacuationView(unconfirmed, False)
    return view
