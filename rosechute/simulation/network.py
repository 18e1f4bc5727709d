"""What lies between instances and servers: delay, jitter, loss, partitions and one-way cuts."""

from __future__ import annotations

from rosechute.simulation.draw import Stream
from rosechute.simulation.spec import Network

TO, FROM = 1, 2  # towards the servers, and back


class Paths:
    """How long each message takes, or that it never comes."""

    def __init__(self, spec: Network, stream: Stream) -> None:
        self._spec, self._stream = spec, stream
        self._near, self._across, self._jitter = int(spec.delay), int(spec.across), spec.jitter
        self.cuts: dict[int, tuple[frozenset[int], frozenset[int], int]] = {}
        """By fault: instances, servers, and which ways are cut (`TO`, `FROM` or both)."""
        self.losses: dict[int, float] = {}

    def delay(self, instance: int, server: int, way: int, near: bool) -> int | None:
        """Nanoseconds on the way; None where it never comes. A lost message is sent again later and later."""
        for instances, servers, ways in self.cuts.values():
            if ways & way and instance in instances and server in servers:
                return None
        base = self._near if near else self._across
        if self._jitter:
            base = int(base * (1.0 + self._jitter * self._stream.exponential()))
        loss = self._spec.loss
        if self.losses:
            for more in self.losses.values():
                loss = loss + more - loss * more
        if loss:
            again = int(self._spec.again)
            while self._stream.uniform() < loss:
                base += again
                again *= 2
                if again > 1 << 40:
                    return None
        return base
