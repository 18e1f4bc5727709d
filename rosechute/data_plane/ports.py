"""Interfaces that the data plane needs from the rest of an edge process."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class QuotaTokens(Protocol):
    """Tokens of tenants' quotas, issued by the leader and cached at this edge until they expire."""

    def acquire(self, tenant: str, tokens: int, decided: Callable[[bool, float], None], priority: int) -> None:
        """Acquire tokens of a tenant with a quota. If tokens are short, the most urgent request is served first.

        Args:
            tenant: Name of the tenant.
            tokens: Cost of the request.
            decided: Called exactly once, before this method returns or after an exchange with the leader of bounded
                duration. Arguments: whether the tokens were acquired; if not, the `Retry-After` in seconds.
            priority: Rank of the request; 0 is the most urgent.
        """


class Freshness(Protocol):
    """The age of this edge's configuration."""

    def confirmed_at(self) -> float:
        """Return the latest time at which the configuration in force was known to be the newest one.

        Returns:
            Seconds on the event loop's clock; minus infinity before the first confirmation.
        """
