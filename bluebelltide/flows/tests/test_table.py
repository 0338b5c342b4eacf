"""Tests of the assignment of buckets to targets."""

from collections import Counter

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bluebelltide.flows import _table

NAMES = st.lists(
    st.sampled_from([f"t{i}" for i in range(12)]), min_size=1, unique=True
)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(NAMES, NAMES)
def test_rebalance_is_exact_and_moves_the_fewest_buckets(
    before: list[str], after: list[str]
) -> None:
    empty = (_table.UNASSIGNED,) * 256
    first = _table.rebalance(empty, dict.fromkeys(before, 1.0))
    second = _table.rebalance(first, dict.fromkeys(after, 1.0))
    counts = Counter(second)
    assert set(counts) <= set(after)
    assert max(counts.values()) - min(counts[n] for n in after) <= 1
    quotas = _table.quotas(dict.fromkeys(after, 1.0), 256)
    could_stay = sum(
        min(n, quotas.get(t, 0)) for t, n in Counter(first).items()
    )
    stayed = sum(a == b for a, b in zip(first, second, strict=True))
    assert stayed == could_stay


def test_quotas_follow_weights() -> None:
    assert _table.quotas({"a": 1.0, "b": 0.5}, 300) == {"a": 200, "b": 100}


def test_without_targets_the_table_does_not_change() -> None:
    assert _table.rebalance(("a", "b"), {}) == ("a", "b")
