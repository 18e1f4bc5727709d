"""Which edge of a zone is the home of a topic: rendezvous hash over the zone's living edges.

All who know the same edges name the same home, and an edge that comes or goes moves only its own topics.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b


def rendezvous_weight(topic: str, name: str) -> bytes:
    """The place of an edge in a topic's order; the greatest is the home."""
    return blake2b(f"{topic}\0{name}".encode(), digest_size=8).digest()


def home_edge(topic: str, names: Iterable[str]) -> str | None:
    """The home of a topic among these edges of one zone; None where there are none."""
    return max(names, key=lambda name: (rendezvous_weight(topic, name), name), default=None)
