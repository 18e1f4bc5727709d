"""Estimate of the demand of one tenant at an edge, by exponentially decaying averages."""

from __future__ import annotations

import math

from .token_cache_policy import (
    DEMAND_SPAN_S,
    LEASE_DEMAND_SPAN_S,
    MIN_PREFETCH_REQUESTS,
    PREFETCH_S,
    REQUEST_SIZE_WEIGHT,
)


class DemandMeter:
    """Demanded tokens per second, which include those of rejected requests, and the mean request size in tokens."""

    def __init__(self) -> None:
        self.mean_request_tokens = 0.0
        self.last_request_at = -math.inf
        self._rate = 0.0  # tokens per second as of the last request
        self._lease_rate = 0.0  # the same, with the longer time constant

    def record(self, now: float, tokens: int) -> None:
        """Record one request."""
        elapsed_s = now - self.last_request_at
        self._rate = _updated_rate(self._rate, elapsed_s, tokens, DEMAND_SPAN_S)
        self._lease_rate = _updated_rate(self._lease_rate, elapsed_s, tokens, LEASE_DEMAND_SPAN_S)
        weight = REQUEST_SIZE_WEIGHT if self.mean_request_tokens else 1.0
        self.mean_request_tokens += (tokens - self.mean_request_tokens) * weight
        self.last_request_at = now

    def lease_rate(self, now: float) -> float:
        """Return the demand to report to the leader, in tokens per second."""
        return self._lease_rate * math.exp(-(now - self.last_request_at) / LEASE_DEMAND_SPAN_S)

    def prefetch_tokens(self, now: float) -> int:
        """Return how many tokens to request beyond those that waiting requests need."""
        rate = self._rate * math.exp(-(now - self.last_request_at) / DEMAND_SPAN_S)
        prefetch = rate * PREFETCH_S
        return int(prefetch) if prefetch >= MIN_PREFETCH_REQUESTS * self.mean_request_tokens else 0


def _updated_rate(rate: float, elapsed_s: float, tokens: int, span_s: float) -> float:
    return rate * math.exp(-elapsed_s / span_s) + tokens / span_s
