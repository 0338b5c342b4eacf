"""Tests of the links between the machines of a soak."""

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
