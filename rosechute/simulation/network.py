"""Network model between instances and servers: delay, jitter, loss, partitions and one-way cuts."""

from __future__ import annotations

from rosechute.simulation.draw import Stream
from rosechute.simulation.spec import Network

TO, FROM = 1, 2  # direction bits: instance to server, server to instance


class Paths:
    """Delay or loss of each message between an instance and a server."""

    def __init__(self, spec: Network, stream: Stream) -> None:
        self._spec, self._stream = spec, stream
        self._same_zone, self._cross_zone, self._jitter = int(spec.delay), int(spec.across), spec.jitter
        self.cuts: dict[int, tuple[frozenset[int], frozenset[int], int]] = {}
        """By fault: instances, servers, and the directions cut (`TO`, `FROM` or both)."""
        self.losses: dict[int, float] = {}

    def delay(self, instance: int, server: int, way: int, near: bool) -> int | None:
        """Return the delay of a message in nanoseconds, or None if it never arrives.

        A lost message is retransmitted with exponential backoff.
        """
        for instances, servers, ways in self.cuts.values():
            if ways & way and instance in instances and server in servers:
                return None
        base = self._same_zone if near else self._cross_zone
        if self._jitter:
            base = int(base * (1.0 + self._jitter * self._stream.exponential()))
        loss = self._spec.loss
        if self.losses:
            for more in self.losses.values():
                loss = loss + more - loss * more
        if loss:
            retransmit_ns = int(self._spec.again)
            while self._stream.uniform() < loss:
                base += retransmit_ns
                retransmit_ns *= 2
                if retransmit_ns > 1 << 40:
                    return None
        return base
