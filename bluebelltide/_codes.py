"""Codes of refusals, retries, aborts and drops; each has its own counter."""

from enum import StrEnum


class RefusalCode(StrEnum):
    """Why a request was refused; none of its bytes reached a target."""

    UNKNOWN_SERVICE = "unknown_service"
    """No catalogue entry owns the address."""
    NO_CATALOGUE = "no_catalogue"
    """The instance has not received a catalogue yet."""
    RATE_LIMIT = "rate_limit"
    """The service has reached its limit of new flows per second."""
    OPEN_FLOW_LIMIT = "open_flow_limit"
    """The service has reached its limit of open flows."""
    OVERLOAD = "overload"
    """The queue is full, or a new request would wait in it for too long."""
    DEADLINE = "deadline"
    """The request could not finish within its deadline."""
    NO_SLOT_IN_TIME = "no_slot_in_time"
    """No slot is expected to be free before the caller gives up."""
    NO_TARGET = "no_target"
    """No target of the service accepts new work."""
    CONNECT_FAILED = "connect_failed"
    """Every permitted attempt to connect to a target failed."""
    STOPPING = "stopping"
    """The instance is stopping and accepts no new flows."""
    CALLER_GONE = "caller_gone"
    """The caller disconnected before its request was sent to a target."""


class RetryCode(StrEnum):
    """Why a request was retried on another target before its first byte."""

    CONNECT_REFUSED = "connect_refused"
    """The connection to the target was refused or failed."""
    CONNECT_TIMEOUT = "connect_timeout"
    """The target did not accept the connection in time."""
    SHED = "shed"
    """The target closed the connection before it accepted any byte."""


class AbortCode(StrEnum):
    """Why a flow was aborted after its first byte.

    An aborted flow does not count as refused.
    """

    IDLE_TIMEOUT = "idle_timeout"
    """Neither side sent a byte within the service's idle timeout."""
    TARGET_LOST = "target_lost"
    """The connection to the target failed."""
    CALLER_LOST = "caller_lost"
    """The connection to the caller failed."""
    STOP_TIMEOUT = "stop_timeout"
    """The flow was still open when the time for a graceful stop ended."""


class DropCode(StrEnum):
    """Why a packet was dropped."""

    MALFORMED = "malformed"
    """The packet cannot be parsed."""
    FRAGMENT = "fragment"
    """The packet is an IP fragment without a complete transport header."""
    FOREIGN = "foreign"
    """No catalogue entry owns the destination and no target the source."""
    PROTOCOL = "protocol"
    """The transport is neither TCP nor UDP."""
    HOP_LIMIT = "hop_limit"
    """The packet was relayed between instances too many times."""
    UNAUTHENTICATED_RELAY = "unauthenticated_relay"
    """A relayed packet has an invalid authentication tag."""
    NOT_OWNER = "not_owner"
    """The bucket's owner is changing; the sender's retransmission succeeds."""
    REOPENING = "reopening"
    """The flow is reopened while instances still cache its old route hint."""
    NO_LEASE = "no_lease"
    """The instance is isolated: it has no lease and must not route."""
    STALE_ANSWER = "stale_answer"
    """The answer comes from a target that the flow is not assigned to."""
    NO_TARGET = "no_target"
    """No target of the service accepts the flow."""
    NO_SLOT = "no_slot"
    """No slot became free before the caller's next retransmission was due, or
    while the last one was held."""
    DEADLINE = "deadline"
    """The request could not finish within its deadline, and a reset might not
    be true."""
    UNKNOWN_TARGET = "unknown_target"
    """The flow's target is not in this instance's registry."""
    STALE_VIEW = "stale_view"
    """The instance was paused and has not heard from a replica since."""
    SEND_FAILED = "send_failed"
    """The operating system could not send the packet."""


class PeerCode(StrEnum):
    """Why input from a peer, target or operator was refused."""

    BAD_FRAME = "bad_frame"
    """A peer sent a malformed or oversized message."""
    BAD_HANDSHAKE = "bad_handshake"
    """A peer did not complete its handshake."""
    BAD_ANNOUNCEMENT = "bad_announcement"
    """An announcement is malformed or oversized."""
    BAD_KEY = "bad_key"
    """An announcement or an operator used an invalid key."""
    WRONG_SERVICE = "wrong_service"
    """An announcement's address belongs to another service's target."""
    STALE_GENERATION = "stale_generation"
    """An announcement is older than the newest one received."""
