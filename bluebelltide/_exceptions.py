"""Errors with stable codes for operators and scripts."""

from enum import StrEnum


class ErrorCode(StrEnum):
    """The stable code of an error, which scripts may check."""

    BAD_SETTINGS = "bad_settings"
    """The settings file is unreadable or invalid."""
    BAD_CATALOGUE = "bad_catalogue"
    """A catalogue entry is invalid."""
    BAD_FRAME = "bad_frame"
    """A peer sent bytes that are not a valid message."""
    BAD_REQUEST = "bad_request"
    """An HTTP request body is invalid."""
    UNAUTHORISED = "unauthorised"
    """A token or key is missing or invalid."""
    FORBIDDEN = "forbidden"
    """The key is valid, but not for this service or address."""
    STALE_GENERATION = "stale_generation"
    """A newer generation of the same target has already announced itself."""
    CONFLICT = "conflict"
    """The entry has changed since the base version of this change."""
    NO_QUORUM = "no_quorum"
    """Too few replicas answered, and the change was not accepted."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    """The change may have been accepted; resend it with the same id."""
    NOT_FOUND = "not_found"
    """No entry has this key or name."""
    NOT_READY = "not_ready"
    """The process has just started and must first hear from another one."""
    PORT_IN_USE = "port_in_use"
    """An address cannot be bound, usually because another process uses it."""
    CORRUPT_STORE = "corrupt_store"
    """The data folder contains records with an invalid checksum."""
    BAD_TARGET = "bad_target"
    """A target's entry has a field that is missing, of another type or out of
    its range."""
    BAD_ADDRESS = "bad_address"
    """A target's entry has an address at which nothing can be called."""
    TOO_LARGE = "too_large"
    """A body or frame exceeds its size limit."""


class BluebelltideError(Exception):
    """An error with a code, a message and the place of the fault.

    Attributes:
        code: The stable code.
        message: What was expected and what was found instead.
        place: The file, key or peer that the error is about, or empty; HTTP
            error responses contain it as "place".
    """

    def __init__(self, code: ErrorCode, message: str, place: str = "") -> None:
        """Creates the error."""
        super().__init__(message)
        self.code = code
        self.message = message
        self.place = place

    def __str__(self) -> str:
        """Returns the line shown to an operator."""
        prefix = f"{self.place}: " if self.place else ""
        return f"{self.code}: {prefix}{self.message}"
