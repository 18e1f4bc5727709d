"""Protocols that the data plane needs the rest of an edge process to implement."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class QuotaTokens(Protocol):
    """Tokens of tenants' quotas, issued by the leader and cached at this edge until they expire."""

    def acquire(self, tenant: str, tokens: int, decided: Callable[[bool, float], None], priority: int) -> None:
        """Acquire tokens of a limited tenant; where they are short, the most urgent request is served first.

        Args:
            tenant: Name of the tenant.
            tokens: The cost of the request.
            decided: Called exactly once, before this returns or after an exchange with the leader, which is bounded:
                whether the tokens were acquired, and otherwise the `Retry-After` in seconds.
            priority: Rank of the request; 0 is the most urgent.
        """


class Freshness(Protocol):
    """When this edge last knew its configuration to be the newest one."""

    def confirmed_at(self) -> float:
        """Return the steady time (the loop's clock) as of which the configuration in force was the newest one.

        Returns:
            Seconds; minus infinity before the first confirmation.
        """
