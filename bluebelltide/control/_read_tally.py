"""Decides from the voters' answers to a query whether a read is certain.

A query changes nothing at the voters, so any number of reads may run at the
same time, and beside proposals, without delaying one another.
"""

import enum

from bluebelltide.catalogue import _register
from bluebelltide.messaging import _calls


class Finding(enum.Enum):
    """What the answers so far show."""

    OPEN = enum.auto()
    """More answers may decide."""
    KNOWN_IS_NEWEST = enum.auto()
    """No newer state was committed when the query was sent."""
    BALLOT_IS_COMMITTED = enum.auto()
    """A quorum has accepted the same newer ballot."""
    UNDECIDED = enum.auto()
    """The answers still missing cannot decide."""


class ReadTally:
    """Counts the answers to one query.

    Any state that was committed before the query has been accepted by a quorum,
    and an acceptor's version never falls once a version is committed. So if a
    quorum reports no version above that of the known committed state, no newer
    one is committed.

    Attributes:
        committed_ballot: The ballot that a quorum has accepted, once the
            finding is BALLOT_IS_COMMITTED.
    """

    def __init__(
        self, voters: _register.Voters, known_version: int | None
    ) -> None:
        """Creates a tally without answers.

        Args:
            voters: The voter set that is asked.
            known_version: The version of the newest state that the reader
                knows is committed, None if it knows none.
        """
        self.committed_ballot = _register.ZERO_BALLOT
        self._voters = voters
        self._known_version = known_version
        self._missing = set(voters.all_voters())
        self._not_newer: set[str] = set()
        self._voters_by_newer_ballot: dict[_register.Ballot, set[str]] = {}

    def add(self, identity: str, answer: _calls.QueryAnswer) -> Finding:
        """Adds the answer of a voter.

        Args:
            identity: The voter's identity.
            answer: The voter's answer.

        Returns:
            What the answers so far show.
        """
        if answer.voters_version > self._voters.version:
            # Another voter set decides by now.
            return Finding.UNDECIDED
        self._missing.discard(identity)
        if _register.is_newer(answer.version, self._known_version):
            ballot = answer.accepted_ballot
            self._voters_by_newer_ballot.setdefault(ballot, set()).add(identity)
        else:
            self._not_newer.add(identity)
        return self._find()

    def _find(self) -> Finding:
        is_quorum = self._voters.is_quorum
        if is_quorum(self._not_newer):
            return Finding.KNOWN_IS_NEWEST
        for ballot, identities in self._voters_by_newer_ballot.items():
            if is_quorum(identities):
                self.committed_ballot = ballot
                return Finding.BALLOT_IS_COMMITTED
        groups = [self._not_newer, *self._voters_by_newer_ballot.values()]
        if any(is_quorum(group | self._missing) for group in groups):
            return Finding.OPEN
        return Finding.UNDECIDED
