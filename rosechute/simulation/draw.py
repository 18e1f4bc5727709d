"""Random numbers, one stream for each part of the model, so that adding a part leaves the others' draws alone."""

from __future__ import annotations

import numpy as np
import xxhash

BLOCK = 1024  # draws made at a time: a single one by numpy costs thirty times one out of a block


class Stream:
    """The draws of one part. Each kind of draw comes from a generator of its own: how many of one kind a part takes
    does not move the others."""

    __slots__ = ("_key", "_uniform", "_exponential", "_normal", "_makers")

    def __init__(self, seed: int, name: str) -> None:
        self._key = (seed, xxhash.xxh64_intdigest(name.encode()))
        self._makers: dict[int, np.random.Generator] = {}
        self._uniform: list[float] = []
        self._exponential: list[float] = []
        self._normal: list[float] = []

    def _maker(self, kind: int) -> np.random.Generator:
        made = self._makers.get(kind)
        if made is None:
            made = self._makers[kind] = np.random.Generator(
                np.random.PCG64(np.random.SeedSequence(entropy=self._key[0], spawn_key=(self._key[1], kind)))
            )
        return made

    def uniform(self) -> float:
        """At least 0 and below 1."""
        if not self._uniform:
            self._uniform = self._maker(0).random(BLOCK).tolist()
        return self._uniform.pop()

    def exponential(self) -> float:
        """With mean 1."""
        if not self._exponential:
            self._exponential = self._maker(1).standard_exponential(BLOCK).tolist()
        return self._exponential.pop()

    def normal(self) -> float:
        """With mean 0 and deviation 1."""
        if not self._normal:
            self._normal = self._maker(2).standard_normal(BLOCK).tolist()
        return self._normal.pop()

    def below(self, most: int) -> int:
        """A whole number from 0, below `most`."""
        return int(self.uniform() * most)


class Streams:
    """All streams of one run, by name.

    Args:
        seed: Of the run, 0 or more.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self._made: dict[str, Stream] = {}

    def of(self, name: str) -> Stream:
        """The stream of a part; always the same one for the same name."""
        made = self._made.get(name)
        if made is None:
            made = self._made[name] = Stream(self.seed, name)
        return made

    def number(self, name: str) -> int:
        """A seed for a part that draws by itself, such as the decision module."""
        return xxhash.xxh64_intdigest(f"{self.seed}/{name}".encode()) >> 1


class Zipf:
    """Keys 0 to `count` - 1, the n-th drawn in proportion to (n + 1) ** -`skew`.

    Source: inverse of the cumulative weights, exact for any skew of 0 or more (0 is uniform).
    """

    def __init__(self, count: int, skew: float) -> None:
        weights = np.arange(1, count + 1, dtype=np.float64) ** -skew
        self._sums = np.cumsum(weights / weights.sum())
        self._last = count - 1

    def draw(self, stream: Stream) -> int:
        return min(int(np.searchsorted(self._sums, stream.uniform(), side="right")), self._last)
