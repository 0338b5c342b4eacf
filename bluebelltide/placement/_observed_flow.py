"""What an instance knows of one flow."""

FlowKey = bytes
"""Both ends of a flow, encoded as in its packets."""

FLOW_IDLE_TIMEOUT_MS = 800
"""How long a flow without packets counts as open.

The flow may have moved to another instance, which starts to count it only
after the same time.
"""


KEPT_FLOW_TIMEOUT_MS = 15_000
"""How long an open flow without packets is remembered.

Callers that keep a flow for many requests pause between two of them.
"""


class ObservedFlow:
    """The state of one flow at this instance.

    If a flow was opened through another instance, that instance counts it for
    FLOW_IDLE_TIMEOUT_MS after the last packet there, and this instance counts
    it only afterwards. If the flow ends earlier, this instance subtracts one
    from its own count until then, to offset the count of the other instance.
    """

    __slots__ = (
        "was_slot_free",
        "has_ended",
        "last_seen_ms",
        "is_answered",
        "is_counted",
        "is_first_choice",
        "is_idle",
        "first_seen_ms",
        "request_id",
        "token",
        "was_opened_here",
    )

    def __init__(self, token: int, now_ms: int, is_answered: bool) -> None:
        """Creates the flow's state."""
        self.token = token
        self.first_seen_ms = now_ms
        self.last_seen_ms = now_ms
        self.is_answered = is_answered
        self.was_opened_here = not is_answered
        self.is_counted = self.was_opened_here
        self.has_ended = False
        self.is_idle = False
        self.was_slot_free = False
        self.is_first_choice = False
        self.request_id = ""

    def may_have_token(self, token: int) -> bool:
        """Returns whether a packet with a token can belong to this flow.

        If the first transmission was the only one that was placed here, a
        packet with another token is a late one of an earlier flow from the
        same port.
        """
        return token == self.token or not self.is_first_choice
