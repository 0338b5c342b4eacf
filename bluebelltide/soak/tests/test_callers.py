"""Tests of the stand-in callers."""

import anyio

from bluebelltide import _types
from bluebelltide.soak import _adapter
from bluebelltide.soak import _callers
from bluebelltide.soak import _invariants

CALLER = _types.Address("127.0.0.3", 2001)
SERVICE = _types.Address("198.18.0.1", 80)


class StandInFabric:
    """Records the packets that a caller sends."""

    def __init__(self) -> None:
        """Creates a fabric without packets."""
        self.flows: dict[_types.Address, _callers.CallerFlow] = {}
        self.sent: list[_adapter.Packet] = []

    def send(
        self,
        packet: _adapter.Packet,
        fixed_instance: _adapter.Machine | None = None,
    ) -> None:
        self.sent.append(packet)


def make_answer(number: int, request_id: str) -> _adapter.Packet:
    data = f"{request_id}|0|1|x".encode()
    return _adapter.Packet(SERVICE, CALLER, acknowledged=number, data=data)


def test_a_late_answer_to_the_previous_request_is_ignored() -> None:
    async def run() -> None:
        checker = _invariants.InvariantChecker(lambda from_s, to_s: True)
        fabric = StandInFabric()
        flow = _callers.CallerFlow(
            fabric,  # type: ignore[arg-type]
            checker,
            anyio.current_time,
            CALLER,
            SERVICE,
        )
        opening_answer = _adapter.Packet(
            SERVICE, CALLER, is_opening=True, sequence=9
        )
        flow.receive(opening_answer, "t")
        served: list[bool] = []

        async def send_request() -> None:
            served.append(await flow.send_request(2, "second", "GET"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_request)
            while not fabric.sent:
                await anyio.sleep(0)
            flow.receive(make_answer(1, "first"), "t")
            await anyio.sleep(0.01)
            flow.receive(make_answer(2, "second"), "t")
        assert served == [True]
        assert not checker.violations

    anyio.run(run)
