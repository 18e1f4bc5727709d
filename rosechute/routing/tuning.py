"""Router constants that a deployment may set."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RouterTuning:
    """Constants of the router; times are in seconds."""

    zone: str = ""  # zone of this edge, which is preferred between servers of equal load
    initial_limit: int = 4  # least initial concurrency limit of a new server; its share of the slots may be larger
    backoff_initial_s: float = 0.1  # longest backoff after the first failed trial
    backoff_max_s: float = 1.0  # longest backoff after any number of failed trials
    prefill_tokens_per_s: float = 50_000.0  # prompt tokens that a server prefills per second
    prefix_entries: int = 16_384  # the maximum number of shared prefixes in the prefix table
    prompt_entries: int = 4_096  # the maximum number of complete prompts in the prefix table
    prefix_idle_s: float = 60.0  # time after which an unused prefix expires
    max_queued_requests: int = 4_096  # the maximum number of queued requests of one service
