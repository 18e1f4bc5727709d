"""Random numbers: one stream per part of the model, so that adding a part does not change the draws of the others."""

from __future__ import annotations

import numpy as np
import xxhash

BLOCK = 1024  # draws per numpy call: a single draw by numpy costs thirty times as much as one out of a block


class Stream:
    """Random stream of one part of the model.

    Each distribution has its own generator, so the number of draws from one does not affect the others.
    """

    __slots__ = ("_key", "_uniform", "_exponential", "_normal", "_generators")

    def __init__(self, seed: int, name: str) -> None:
        self._key = (seed, xxhash.xxh64_intdigest(name.encode()))
        self._generators: dict[int, np.random.Generator] = {}
        self._uniform: list[float] = []
        self._exponential: list[float] = []
        self._normal: list[float] = []

    def _generator(self, kind: int) -> np.random.Generator:
        generator = self._generators.get(kind)
        if generator is None:
            generator = self._generators[kind] = np.random.Generator(
                np.random.PCG64(np.random.SeedSequence(entropy=self._key[0], spawn_key=(self._key[1], kind)))
            )
        return generator

    def uniform(self) -> float:
        """Draw from the uniform distribution on [0, 1)."""
        if not self._uniform:
            self._uniform = self._generator(0).random(BLOCK).tolist()
        return self._uniform.pop()

    def exponential(self) -> float:
        """Draw from the exponential distribution with mean 1."""
        if not self._exponential:
            self._exponential = self._generator(1).standard_exponential(BLOCK).tolist()
        return self._exponential.pop()

    def normal(self) -> float:
        """Draw from the normal distribution with mean 0 and standard deviation 1."""
        if not self._normal:
            self._normal = self._generator(2).standard_normal(BLOCK).tolist()
        return self._normal.pop()

    def below(self, bound: int) -> int:
        """Draw an integer from 0 to `bound` - 1."""
        return int(self.uniform() * bound)


class Streams:
    """Random streams of one run, by name.

    Args:
        seed: Seed of the run, at least 0.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self._streams: dict[str, Stream] = {}

    def of(self, name: str) -> Stream:
        """Return the stream with this name; create it on first use."""
        stream = self._streams.get(name)
        if stream is None:
            stream = self._streams[name] = Stream(self.seed, name)
        return stream

    def number(self, name: str) -> int:
        """Return a seed for a part with its own generator, such as the load balancing module."""
        return xxhash.xxh64_intdigest(f"{self.seed}/{name}".encode()) >> 1


class Zipf:
    """Zipf distribution over the keys 0 to `count` - 1, with weight (n + 1) ** -`skew` for key n.

    Sampling inverts the cumulative weights, which is exact for any skew of 0 or more (0 is uniform).
    """

    def __init__(self, count: int, skew: float) -> None:
        weights = np.arange(1, count + 1, dtype=np.float64) ** -skew
        self._sums = np.cumsum(weights / weights.sum())
        self._last = count - 1

    def draw(self, stream: Stream) -> int:
        """Draw a key."""
        return min(int(np.searchsorted(self._sums, stream.uniform(), side="right")), self._last)
