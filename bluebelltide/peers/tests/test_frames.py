"""Tests of the messages that instances and replicas send each other."""

from bluebelltide import _codec
from bluebelltide.membership.tests import test_directory
from bluebelltide.peers import _frames


def test_an_odd_target_in_a_frame_costs_only_that_target() -> None:
    """Guards against a peer whose other targets are never learned."""
    good = test_directory.make_target("i-1")
    odd = test_directory.make_target("i-2")._replace(slots=10**400)
    plain = _codec.to_plain(_frames.TargetsAnnounced((odd, good)))
    frame = _codec.encode([_frames.TargetsAnnounced.__name__, plain])
    assert _frames.decode_frame(frame) == _frames.TargetsAnnounced((good,))
