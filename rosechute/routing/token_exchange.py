"""Messages about quota tokens: the request of an edge and the answer of the leader."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """A request of an edge for tokens of one tenant.

    Args:
        tenant: Name of the tenant.
        tokens: Tokens that the edge can use.
        minimum: Least number of tokens with which the edge can admit a request.
    """

    tenant: str
    tokens: int
    minimum: int


@dataclass(frozen=True, slots=True)
class TokenIssue:
    """The answer of the leader for one tenant.

    Args:
        tenant: Name of the tenant.
        tokens: Issued tokens: 0, or at least the minimum.
        lifetime_s: Time in seconds after which the tokens expire, counted from when the request was sent.
        retry_after_s: Time in seconds after which to request again if fewer tokens than requested were issued.
    """

    tenant: str
    tokens: int
    lifetime_s: float
    retry_after_s: float
