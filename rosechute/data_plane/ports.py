"""Protocols that the data plane needs the rest of an edge process to implement."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class QuotaTokens(Protocol):
    """Tokens of a tenant's quota, issued by the leader and held by this edge until they expire."""

    def acquire(self, tenant: str, tokens: int, decided: Callable[[bool, float], None], priority: int) -> None:
        """Take so many tokens of a limited tenant; where they are short, the most urgent request has them first.
        `decided(allowed, retry_after_s)` is called exactly once, possibly before this returns, or after an exchange
        with the leader (bounded; on silence it is refused)."""


class Freshness(Protocol):
    """How long ago this edge knew its configuration to be the newest one."""

    def confirmed_at(self) -> float:
        """Steady time (the loop's clock) as of which the configuration in force was the newest acknowledged one;
        minus infinity before the first confirmation."""
