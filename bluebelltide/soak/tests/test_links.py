"""Tests of the links between the machines of a soak."""

import anyio
import anyio.abc

from bluebelltide.soak import _links


def test_overlapping_faults_of_a_link_end_independently() -> None:
    links = _links.Links()
    pairs = frozenset({("a", "b")})
    slow = links.add_fault(pairs, _links.LinkState(delay_s=0.2))
    cut = links.add_fault(pairs, _links.LinkState(lost_share=1.0))
    assert links.state("a", "b") == _links.LinkState(1.0, 0.2)
    assert links.state("b", "a") == _links.NO_FAULT
    links.remove_fault(cut)
    assert links.state("a", "b") == _links.LinkState(delay_s=0.2)
    links.remove_fault(slow)
    assert links.state("a", "b") == _links.NO_FAULT


def test_a_connection_that_is_closed_already_needs_no_reset() -> None:
    """Guards against a soak that its own proxy ends.

    One direction closes a connection while the other one resets it.
    """

    async def run() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        address = listener.extra(anyio.abc.SocketAttribute.local_address)
        async with listener, await anyio.connect_tcp(*address[:2]) as stream:
            await stream.aclose()
            # The transport closes its socket in the next rounds of the loop.
            await anyio.sleep(0.01)
            _links._reset_on_close(stream)

    anyio.run(run)
