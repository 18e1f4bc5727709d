"""Selection of the home edge of a topic in a zone: rendezvous hashing over the zone's living edges.

Processes that know the same edges select the same home, and an edge that joins or leaves moves only its own topics.
Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM ToN 1998.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b


def rendezvous_weight(topic: str, name: str) -> bytes:
    """Return the weight of an edge for a topic; the edge with the greatest weight is the home."""
    return blake2b(f"{topic}\0{name}".encode(), digest_size=8).digest()


def home_edge(topic: str, names: Iterable[str]) -> str | None:
    """Return the home of a topic among these edges of one zone; None if there are no edges."""
    return max(names, key=lambda name: (rendezvous_weight(topic, name), name), default=None)
