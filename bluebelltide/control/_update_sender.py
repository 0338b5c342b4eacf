"""Sends each change of a control replica to the processes that poll it."""

from collections.abc import Callable, Iterable

import anyio
import anyio.abc

from bluebelltide import _clock
from bluebelltide import _guard
from bluebelltide import _types
from bluebelltide.control import _update_publisher

PUSH_INTERVAL_MS = 20
"""Minimum time between two rounds of updates; changes in between share one."""

SendFunction = Callable[[str, bytes], None]
"""Sends a datagram to the process on a machine."""


class UpdateSender:
    """Sends updates at once, but no more often than PUSH_INTERVAL_MS."""

    def __init__(
        self,
        publisher: _update_publisher.UpdatePublisher,
        read_status: Callable[[], _update_publisher.ReplicaStatus],
        send: SendFunction,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Creates the sender.

        Args:
            publisher: Creates the updates.
            read_status: Returns what to report besides the targets.
            send: Sends a datagram.
            tasks: Runs delayed rounds.
        """
        self._publisher = publisher
        self._read_status = read_status
        self._send = send
        self._tasks = tasks
        self._last_round_ms = -PUSH_INTERVAL_MS
        self._is_round_pending = False
        self._urgent_ids: dict[_types.TargetId, None] = {}

    def push(self, urgent_ids: Iterable[_types.TargetId] = ()) -> None:
        """Sends an update now, or soon if one was sent just before.

        Args:
            urgent_ids: The targets that this replica heard must get no more
                flows.
        """
        self._urgent_ids.update(dict.fromkeys(urgent_ids))
        if self._is_round_pending:
            return
        wait_ms = self._last_round_ms + PUSH_INTERVAL_MS - _clock.now_ms()
        if wait_ms <= 0:
            self._push_now()
            return
        self._is_round_pending = True
        _guard.start(self._tasks, "sending updates", self._push_later, wait_ms)

    async def _push_later(self, wait_ms: int) -> None:
        await anyio.sleep(wait_ms / 1000)
        self._is_round_pending = False
        self._push_now()

    def _push_now(self) -> None:
        now_ms = _clock.now_ms()
        urgent_ids = tuple(self._urgent_ids)
        self._last_round_ms = now_ms
        self._urgent_ids.clear()
        # The change itself is stored, and the next polls ask for it.
        with _guard.log_errors("sending updates"):
            for outgoing in self._publisher.make_updates(
                self._read_status(), now_ms, urgent_ids
            ):
                self._send(outgoing.host, outgoing.encoded.data)
