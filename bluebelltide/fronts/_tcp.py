"""The TCP front: accepts flows and relays them to their targets.

The admission package decides which flow goes to which target and when. The
front connects to the target and relays both directions with half-close and
backpressure. It also tracks whether the first byte of a request has been passed
to a target's connection. Before that, a failure leads to a retry or a refusal,
since no target has run anything of the request; after that, to an abort.
"""

from collections.abc import Awaitable, Callable
import contextlib
import socket
import struct
from typing import NamedTuple

import anyio
import anyio.abc
import anyio.lowlevel

from bluebelltide import _accepting
from bluebelltide import _clock
from bluebelltide import _codes
from bluebelltide import _metrics
from bluebelltide import _types
from bluebelltide import admission

CHUNK_BYTES = 65_536
"""Upper bound of one read from a socket."""


class _Flow:
    """One caller's connection."""

    def __init__(
        self, request_id: int, caller: anyio.abc.SocketStream, now_ms: int
    ) -> None:
        self.request_id = request_id
        self.caller = caller
        self.decided = anyio.Event()
        self.decision: admission.Dispatch | admission.Refuse | None = None
        self.last_activity_ms = now_ms
        self.bytes_to_target = 0
        self.bytes_to_caller = 0
        # Bytes that were read from the caller while it waited for a target.
        self.pending = b""
        self.has_caller_ended = False
        self.scope = anyio.CancelScope()
        self.abort_code: _codes.AbortCode | None = None


class _AttemptOutcome(NamedTuple):
    """How one attempt to relay a flow to a target ended."""

    retry_code: _codes.RetryCode | None
    """Set if the target accepted no byte, so that a retry is allowed."""


def _reset_on_close(stream: anyio.abc.SocketStream) -> None:
    # The peer must not mistake an aborted flow for a complete one, so closing
    # the socket sends a reset.
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    linger = struct.pack("ii", 1, 0)
    with contextlib.suppress(OSError):
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


class TcpFront:
    """Relays the flows of one service on one instance.

    Attributes:
        admission: The admission state of the service.
        is_stopping: Whether the instance is being stopped, so that admission
            refuses new flows.
    """

    def __init__(
        self,
        controller: admission.Admission,
        metrics: _metrics.Metrics,
    ) -> None:
        """Creates the front; `serve` accepts flows on a listener."""
        self.admission = controller
        self.is_stopping = False
        self._metrics = metrics
        self._flows: dict[int, _Flow] = {}
        self._next_id = 0

    @property
    def open_flow_count(self) -> int:
        """How many flows are open."""
        return len(self._flows)

    async def serve(
        self,
        listener: anyio.abc.SocketListener,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Accepts flows until cancelled.

        Args:
            listener: The socket that callers connect to.
            tasks: Runs the flows, which continue after `serve` is cancelled.
        """
        await _accepting.accept_forever(listener, self._serve_flow, tasks)

    def perform(self, actions: list[admission.Action]) -> None:
        """Applies the decisions of admission to the flows."""
        for action in actions:
            if isinstance(action, admission.Retry):
                self._metrics.count("retried", action.code)
                continue
            flow = self._flows.get(action.request_id)
            if flow is None:
                self.perform(
                    self.admission.end_request(
                        action.request_id, _clock.now_ms()
                    )
                )
                continue
            flow.decision = action
            flow.decided.set()

    def tick(self) -> None:
        """Runs the timers of admission and aborts idle flows."""
        now_ms = _clock.now_ms()
        self.perform(self.admission.tick(now_ms))
        idle_timeout_ms = self.admission.entry.limits.idle_timeout_ms
        for flow in list(self._flows.values()):
            if now_ms - flow.last_activity_ms > idle_timeout_ms:
                self._abort(flow, _codes.AbortCode.IDLE_TIMEOUT)

    def abort_all(self) -> None:
        """Aborts the flows that outlast the time limit of a graceful stop."""
        for flow in list(self._flows.values()):
            self._abort(flow, _codes.AbortCode.STOP_TIMEOUT)

    def _abort(self, flow: _Flow, code: _codes.AbortCode) -> None:
        if flow.abort_code is None:
            flow.abort_code = code
            flow.scope.cancel()

    async def _serve_flow(self, caller: anyio.abc.SocketStream) -> None:
        self._next_id += 1
        flow = _Flow(self._next_id, caller, _clock.now_ms())
        self._flows[flow.request_id] = flow
        self._metrics.count("flows", "opened")
        try:
            with flow.scope:
                await self._relay_with_retries(flow)
        finally:
            del self._flows[flow.request_id]
            self.perform(
                self.admission.end_request(flow.request_id, _clock.now_ms())
            )
            if flow.abort_code is not None:
                self._metrics.count("aborted", flow.abort_code)
                _reset_on_close(caller)
            self._metrics.count("flows", "closed")
            with anyio.CancelScope(shield=True), contextlib.suppress(OSError):
                await caller.aclose()

    async def _relay_with_retries(self, flow: _Flow) -> None:
        address = flow.caller.extra(anyio.abc.SocketAttribute.remote_address)
        self.perform(
            self.admission.submit_request(
                flow.request_id,
                str(address[0]),
                self.is_stopping,
                _clock.now_ms(),
            )
        )
        while True:
            if not await self._wait_for_decision(flow):
                return
            decision = flow.decision
            flow.decision = None
            flow.decided = anyio.Event()
            if isinstance(decision, admission.Refuse):
                await self._refuse(flow, decision.code)
                return
            assert decision is not None
            outcome = await self._try_target(flow, decision.target)
            if outcome.retry_code is None:
                return
            self.perform(
                self.admission.retry_or_refuse(
                    flow.request_id, outcome.retry_code, _clock.now_ms()
                )
            )

    async def _wait_for_decision(self, flow: _Flow) -> bool:
        """Returns True on a decision, False if the caller disconnects first."""
        if flow.decided.is_set():
            return True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                self._read_while_waiting, flow, tasks.cancel_scope.cancel
            )
            await flow.decided.wait()
            tasks.cancel_scope.cancel()
        if flow.decided.is_set():
            return True
        self._metrics.count("refused", _codes.RefusalCode.CALLER_GONE)
        return False

    async def _read_while_waiting(
        self, flow: _Flow, on_disconnect: Callable[[], None]
    ) -> None:
        # Only reading detects that a waiting caller has disconnected, so its
        # first bytes are read and kept. A caller that has sent bytes and closed
        # its sending side still expects an answer.
        try:
            while len(flow.pending) < CHUNK_BYTES and not flow.has_caller_ended:
                flow.pending += await flow.caller.receive(CHUNK_BYTES)
                flow.last_activity_ms = _clock.now_ms()
        except anyio.EndOfStream:
            flow.has_caller_ended = True
            if not flow.pending:
                on_disconnect()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            on_disconnect()

    async def _refuse(self, flow: _Flow, code: _codes.RefusalCode) -> None:
        self._metrics.count("refused", code)
        refusal = self.admission.entry.refusal.encode()
        with contextlib.suppress(
            anyio.BrokenResourceError, anyio.ClosedResourceError
        ):
            if refusal:
                await flow.caller.send(refusal)
            await flow.caller.send_eof()
            await self._drain_caller(flow)

    async def _drain_caller(self, flow: _Flow) -> None:
        # Closing a socket that has unread bytes resets the connection, and the
        # caller could lose the refusal before reading it.
        with anyio.move_on_after(1), contextlib.suppress(anyio.EndOfStream):
            while not flow.has_caller_ended:
                await flow.caller.receive(CHUNK_BYTES)

    async def _try_target(
        self, flow: _Flow, target: _types.Target
    ) -> _AttemptOutcome:
        timeout_s = self.admission.entry.limits.connect_timeout_ms / 1000
        try:
            with anyio.fail_after(timeout_s):
                stream = await anyio.connect_tcp(*target.address)
        except TimeoutError:
            return _AttemptOutcome(_codes.RetryCode.CONNECT_TIMEOUT)
        except OSError:
            return _AttemptOutcome(_codes.RetryCode.CONNECT_REFUSED)
        try:
            await self._relay(flow, stream)
        finally:
            if flow.abort_code is not None:
                _reset_on_close(stream)
            with anyio.CancelScope(shield=True), contextlib.suppress(OSError):
                await stream.aclose()
        is_shed = (
            flow.abort_code == _codes.AbortCode.TARGET_LOST
            and flow.bytes_to_target == 0
            and flow.bytes_to_caller == 0
        )
        if is_shed:
            flow.abort_code = None
            return _AttemptOutcome(_codes.RetryCode.SHED)
        return _AttemptOutcome(None)

    async def _relay(self, flow: _Flow, target: anyio.abc.SocketStream) -> None:
        async with anyio.create_task_group() as tasks:

            def on_lost(code: _codes.AbortCode) -> None:
                if flow.abort_code is None:
                    flow.abort_code = code
                tasks.cancel_scope.cancel()

            tasks.start_soon(self._copy_to_target, flow, target, on_lost)
            await self._copy_to_caller(
                flow, target, on_lost, tasks.cancel_scope
            )

    async def _copy_to_target(
        self,
        flow: _Flow,
        target: anyio.abc.SocketStream,
        on_lost: Callable[[_codes.AbortCode], None],
    ) -> None:
        send = self._make_guarded_send(
            target.send, on_lost, _codes.AbortCode.TARGET_LOST
        )
        grace_ms = self.admission.entry.limits.shed_grace_ms
        if grace_ms:
            # A target that sheds the flow closes the connection in this time,
            # before it is sent any byte, so the flow can be retried.
            await anyio.sleep(grace_ms / 1000)
        try:
            if flow.pending:
                self._mark_running(flow, len(flow.pending))
                if not await send(flow.pending):
                    return
                flow.pending = b""
            while not flow.has_caller_ended:
                data = await flow.caller.receive(CHUNK_BYTES)
                flow.last_activity_ms = _clock.now_ms()
                self._mark_running(flow, len(data))
                if not await send(data):
                    return
        except anyio.EndOfStream:
            flow.has_caller_ended = True
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            on_lost(_codes.AbortCode.CALLER_LOST)
            return
        with contextlib.suppress(OSError, anyio.BrokenResourceError):
            await target.send_eof()

    async def _copy_to_caller(
        self,
        flow: _Flow,
        target: anyio.abc.SocketStream,
        on_lost: Callable[[_codes.AbortCode], None],
        scope: anyio.CancelScope,
    ) -> None:
        send = self._make_guarded_send(
            flow.caller.send, on_lost, _codes.AbortCode.CALLER_LOST
        )
        try:
            while True:
                data = await target.receive(CHUNK_BYTES)
                flow.last_activity_ms = _clock.now_ms()
                if flow.bytes_to_caller == 0:
                    self._mark_running(flow, 0)
                flow.bytes_to_caller += len(data)
                if not await send(data):
                    return
        except anyio.EndOfStream:
            # A target that closes before any byte was exchanged sheds the flow.
            is_unused = flow.bytes_to_caller == flow.bytes_to_target == 0
            if is_unused and not flow.has_caller_ended:
                on_lost(_codes.AbortCode.TARGET_LOST)
                return
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            on_lost(_codes.AbortCode.TARGET_LOST)
            return
        with contextlib.suppress(OSError, anyio.BrokenResourceError):
            await flow.caller.send_eof()
        if flow.has_caller_ended:
            scope.cancel()

    def _mark_running(self, flow: _Flow, size_bytes: int) -> None:
        """Counts bytes to the target; the request may no longer be retried."""
        if flow.bytes_to_target == 0:
            self.admission.note_running(flow.request_id)
        flow.bytes_to_target += size_bytes

    def _make_guarded_send(
        self,
        send: Callable[[bytes], Awaitable[None]],
        on_lost: Callable[[_codes.AbortCode], None],
        code: _codes.AbortCode,
    ) -> Callable[[bytes], Awaitable[bool]]:
        """Wraps `send` to report a lost connection and then return False."""

        async def guarded(data: bytes) -> bool:
            try:
                await send(data)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                on_lost(code)
                return False
            return True

        return guarded
