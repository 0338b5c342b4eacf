"""Tests of the flows that an instance counts as load of their targets."""

import random

from bluebelltide.placement import Observations
from bluebelltide.placement import _observed_flow

KEY = b"flow"
TOKEN = 7
SILENT_MS = _observed_flow.FLOW_IDLE_TIMEOUT_MS + 1


def open_flow(observations: Observations) -> None:
    """Opens a flow at 0 ms; its target answers after 10 ms."""
    observations.note_opening_packet(KEY, TOKEN, 0)
    observations.note_packet_with_token(KEY, TOKEN, 10)


def test_a_flow_is_idle_from_a_response_to_the_next_request() -> None:
    observations = Observations()
    open_flow(observations)
    # Only the answer to the opening packet is acknowledged here.
    observations.note_response(KEY)
    assert observations.idle_flows == {}
    observations.note_request(KEY, "first", 20)
    observations.note_response(KEY)
    observations.note_response(KEY)
    assert observations.idle_flows == {TOKEN: 1}
    assert observations.open_flows == {TOKEN: 1}
    observations.note_request(KEY, "second", 300)
    assert observations.idle_flows == {}
    observations.note_response(KEY)
    observations.note_flow_end(KEY, TOKEN, 400)
    assert observations.idle_flows == {}
    assert observations.open_flows == {}


def test_an_idle_flow_counts_until_it_has_been_silent_for_long() -> None:
    observations = Observations()
    open_flow(observations)
    observations.note_request(KEY, "first", 20)
    observations.note_response(KEY)
    last_ms = 10
    observations.expire_idle_flows(last_ms + SILENT_MS)
    assert observations.open_flows == {TOKEN: 1}
    kept_ms = last_ms + _observed_flow.KEPT_FLOW_TIMEOUT_MS
    observations.expire_idle_flows(kept_ms)
    assert observations.idle_flows == {TOKEN: 1}
    observations.expire_idle_flows(kept_ms + 1)
    assert observations.open_flows == {}
    assert observations.idle_flows == {}


def test_a_flow_silent_in_a_request_counts_again_when_it_goes_on() -> None:
    """Its packets may have moved to another instance, which counts it then."""
    observations = Observations()
    open_flow(observations)
    observations.note_request(KEY, "first", 20)
    observations.expire_idle_flows(20 + SILENT_MS)
    assert observations.open_flows == {}
    assert observations.note_request(KEY, "second", 2000)
    assert observations.open_flows == {TOKEN: 1}
    observations.note_flow_end(KEY, TOKEN, 2100)
    assert observations.open_flows == {}
    observations.expire_idle_flows(10_000)
    assert observations.open_flows == {}


def test_a_new_flow_from_a_reused_port_replaces_a_silent_one() -> None:
    observations = Observations()
    open_flow(observations)
    observations.note_request(KEY, "first", 20)
    observations.note_response(KEY)
    observations.expire_idle_flows(20 + SILENT_MS)
    assert observations.find_flow(KEY) is None
    observations.note_opening_packet(KEY, 9, 3000)
    assert observations.open_flows == {9: 1}
    assert observations.idle_flows == {}


def test_no_count_remains_after_any_order_of_events() -> None:
    """Each flow ends or expires, so nothing may be counted at the end."""
    for seed in range(200):
        generator = random.Random(seed)
        observations = Observations()
        now_ms = 0
        for _ in range(60):
            now_ms += generator.choice((1, 50, 900))
            key = generator.choice((b"a", b"b"))
            token = generator.choice((1, 2))
            event = generator.randrange(6)
            if event == 0:
                observations.note_opening_packet(key, token, now_ms)
            elif event == 1:
                observations.note_packet_with_token(key, token, now_ms)
            elif event == 2:
                observations.note_request(key, str(now_ms), now_ms)
            elif event == 3:
                observations.note_response(key)
            elif event == 4:
                observations.note_flow_end(key, token, now_ms)
            else:
                observations.expire_idle_flows(now_ms)
                observations.check_overdue_answers(now_ms)
            for count in observations.idle_flows.values():
                assert count > 0, seed
        observations.expire_idle_flows(now_ms + 2_000)
        observations.expire_idle_flows(now_ms + 30_000)
        assert observations.open_flows == {}, seed
        assert observations.idle_flows == {}, seed
