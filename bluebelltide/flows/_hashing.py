"""Flow hashes, buckets and the ranking of instances for a bucket."""

import functools
from typing import NamedTuple

import xxhash

from bluebelltide import _types

BUCKETS = 1024
"""The number of buckets of each service."""


class FlowTuple(NamedTuple):
    """The 5-tuple of a flow, as the caller sees it."""

    protocol: int
    """The IP protocol number: 6 for TCP, 17 for UDP."""
    caller: _types.Address
    """The caller's address and port."""
    service_address: _types.Address
    """The service's address and port, to which the caller sends."""


def hash_flow(flow: FlowTuple) -> int:
    """Returns the 64-bit hash that identifies a flow between instances."""
    text = f"{flow.protocol}|{flow.caller}|{flow.service_address}"
    return xxhash.xxh3_64_intdigest(text.encode())


def bucket_of(flow_hash: int) -> int:
    """Returns the bucket of a flow."""
    return flow_hash % BUCKETS


@functools.lru_cache(maxsize=65_536)
def rank_instances(
    instances: tuple[_types.InstanceId, ...],
    service: _types.ServiceName,
    bucket: int,
) -> tuple[_types.InstanceId, ...]:
    """Returns a bucket's owner and backup, by rendezvous hashing.

    Args:
        instances: The instances of an epoch.
        service: The service.
        bucket: The bucket.

    Returns:
        The owner, then its backup; at most two instances.
    """

    def score(name: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{name}|{service}|{bucket}".encode())

    return tuple(sorted(instances, key=score, reverse=True)[:2])
