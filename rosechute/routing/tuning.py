"""Constants of the router that a deployment may set."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RouterTuning:
    """Constants of the router. Times are seconds."""

    zone: str = ""  # where this edge runs; ties go to servers there
    first_budget: int = 4  # connections to a new server, where its share of the slots is not larger
    backoff_first_s: float = 0.1  # longest pause after one failed trial
    backoff_most_s: float = 1.0  # longest pause after any number of them
    prefill_tokens_per_s: float = 50_000.0  # prompt tokens that a server reads in a second
    prefix_entries: int = 16_384  # prefixes that are remembered
    session_entries: int = 4_096  # whole prompts that are remembered
    prefix_idle_s: float = 60.0  # a prefix that was not sent for so long is forgotten
    max_queued_requests: int = 4_096  # requests of one service that may wait
