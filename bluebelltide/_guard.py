"""Keeps an unexpected error from ending a whole process."""

from collections.abc import Iterator
import contextlib

import logbook

_LOG = logbook.Logger("guard")


@contextlib.contextmanager
def log_errors(activity: str) -> Iterator[None]:
    """Logs an error of one round of a periodic activity and ends the round.

    Cancellation passes through.

    Args:
        activity: What failed, for the log.
    """
    try:
        yield
    except Exception as error:
        _LOG.exception("{} failed: {!r}", activity, error)
