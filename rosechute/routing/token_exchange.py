"""What an edge and the leader exchange about quota tokens: the edge's request, the leader's answer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """An edge's request for tokens of one tenant.

    Args:
        tenant: Name of the tenant.
        tokens: Tokens that the edge has use for.
        minimum: Fewer tokens than this are of no use now.
    """

    tenant: str
    tokens: int
    minimum: int


@dataclass(frozen=True, slots=True)
class TokenIssue:
    """The leader's answer for one tenant.

    Args:
        tenant: Name of the tenant.
        tokens: Tokens issued; 0, or at least the minimum.
        lifetime_s: The tokens expire this many seconds after the request for them was sent.
        retry_after_s: Where fewer than requested were issued: when to request again, in seconds from now.
    """

    tenant: str
    tokens: int
    lifetime_s: float
    retry_after_s: float
