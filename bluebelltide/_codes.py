"""Codes of refusals, drops and retries; each has a counter of its name."""

from enum import StrEnum


class RefusalCode(StrEnum):
    """Why a request was refused; none of its bytes reached a target."""

    UNKNOWN_SERVICE = "unknown_service"
    """No catalogue entry owns the address."""
    NO_CATALOGUE = "no_catalogue"
    """The instance has not yet learned a catalogue."""
    RATE_LIMIT = "rate_limit"
    """The service's share of new flows a second is used up."""
    OPEN_FLOW_LIMIT = "open_flow_limit"
    """The service's share of open flows is used up."""
    OVERLOAD = "overload"
    """The waiting line is full or a higher class takes the capacity."""
    DEADLINE = "deadline"
    """The request could not finish within its deadline."""
    NO_TARGET = "no_target"
    """No target of the service accepts new work."""
    CONNECT_FAILED = "connect_failed"
    """Every permitted attempt to reach a target failed."""
    STOPPING = "stopping"
    """The instance is being stopped and takes no new flows."""
    CALLER_GONE = "caller_gone"
    """The caller left before its request was sent to a target."""


class RetryCode(StrEnum):
    """Why a request was tried on another target before its first byte."""

    CONNECT_REFUSED = "connect_refused"
    """The target's host refused the connection."""
    CONNECT_TIMEOUT = "connect_timeout"
    """The target did not accept the connection in time."""
    SHED = "shed"
    """The target closed the connection before it took any byte."""


class AbortCode(StrEnum):
    """Why a flow was cut after its first byte; never called a refusal."""

    IDLE_TIMEOUT = "idle_timeout"
    """Neither side sent a byte for the service's idle timeout."""
    TARGET_LOST = "target_lost"
    """The connection to the target failed."""
    CALLER_LOST = "caller_lost"
    """The connection to the caller failed."""
    STOP_TIMEOUT = "stop_timeout"
    """The flow outlived the upper bound of a graceful stop."""


class DropCode(StrEnum):
    """Why a packet was dropped."""

    MALFORMED = "malformed"
    """The packet cannot be parsed."""
    FRAGMENT = "fragment"
    """The packet is a fragment and has no complete transport header."""
    FOREIGN = "foreign"
    """No catalogue entry owns the destination, nor a target the source."""
    PROTOCOL = "protocol"
    """The transport is neither TCP nor UDP."""
    HOP_LIMIT = "hop_limit"
    """The packet was relayed between instances too often."""
    UNAUTHENTICATED_RELAY = "unauthenticated_relay"
    """A relayed packet carries a wrong authentication tag."""
    NOT_OWNER = "not_owner"
    """The owner is changing; the sender's retransmission will pass."""
    REOPENING = "reopening"
    """The flow opens anew while instances still hold its old direction."""
    NO_LEASE = "no_lease"
    """The instance is isolated and may not route."""
    STALE_ANSWER = "stale_answer"
    """The answer is from a target that does not own the flow."""
    NO_TARGET = "no_target"
    """No target of the service accepts the flow."""
    NO_SLOT = "no_slot"
    """No slot came free for a late caller; its next copy is due."""
    UNKNOWN_TARGET = "unknown_target"
    """The flow's target is not in this instance's registry."""
    SEND_FAILED = "send_failed"
    """The system could not send the packet."""


class PeerCode(StrEnum):
    """Why input on a control surface was refused."""

    BAD_FRAME = "bad_frame"
    """A peer sent a malformed or oversized message."""
    BAD_HANDSHAKE = "bad_handshake"
    """A peer did not complete its handshake."""
    BAD_ANNOUNCEMENT = "bad_announcement"
    """An announcement is malformed or oversized."""
    BAD_KEY = "bad_key"
    """An announcement or operator used a wrong key."""
    WRONG_SERVICE = "wrong_service"
    """An announcement's address belongs to another service's target."""
    STALE_GENERATION = "stale_generation"
    """An announcement is older than the one that is known."""
