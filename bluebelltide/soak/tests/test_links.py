"""Tests of the links between the machines of a soak."""

from bluebelltide.soak import _links


def test_faults_on_a_direction_overlap_and_end_on_their_own() -> None:
    links = _links.Links()
    there = frozenset({("a", "b")})
    slow = links.harm(there, _links.LinkState(delay_s=0.2))
    cut = links.harm(there, _links.LinkState(lost_share=1.0))
    assert links.state("a", "b") == _links.LinkState(1.0, 0.2)
    assert links.state("b", "a") == _links.CLEAR
    links.mend(cut)
    assert links.state("a", "b") == _links.LinkState(delay_s=0.2)
    links.mend(slow)
    assert links.state("a", "b") == _links.CLEAR
