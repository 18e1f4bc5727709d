"""The limits of header and body sizes and time-outs that clients are held to, across changes of them. Pure.

Requests over a tenant's quota are not rejected here but by `rosechute.routing.token_cache`.
"""

from __future__ import annotations

from rosechute.configuration.operator import Limits

MS_PER_S = 1e3
# An idle connection is kept for this much longer than its client may use it, so that no request crosses its end.
IDLE_TIMEOUT_MARGIN_S = 1.0
# Before the first configuration no client is rejected by a limit that may not be in force.
UNCONFIGURED = Limits(
    max_header_bytes=1 << 18,
    max_body_bytes=1 << 30,
    header_timeout_ms=15000.0,
    idle_timeout_ms=60000.0,
)


class ClientLimits:
    """The widest of the limits in force and of the former ones, for as long as a connection may be idle by those.

    A client that goes by the limits it knows is not rejected, and its idle connection not closed, by narrower ones
    that have just come into force.
    """

    def __init__(self) -> None:
        self._current: Limits | None = None
        self._former_until: dict[Limits, float] = {}  # steady time until which they hold

    def change(self, limits: Limits, now: float) -> float:
        """Put other limits in force; return for how many seconds former ones may still hold."""
        if self._current is not None and self._current != limits:
            self._former_until[self._current] = now + _max_idle_s(self._current)
        self._current = limits
        self._former_until.pop(limits, None)
        return max((until - now for until in self._former_until.values()), default=0.0)

    def widest(self, now: float) -> Limits:
        """Return the limits that hold for clients at a steady time."""
        if self._current is None:
            return UNCONFIGURED
        self._former_until = {limits: until for limits, until in self._former_until.items() if until > now}
        in_force = [self._current, *self._former_until]
        return Limits(
            max_header_bytes=max(limits.max_header_bytes for limits in in_force),
            max_body_bytes=max(limits.max_body_bytes for limits in in_force),
            header_timeout_ms=max(limits.header_timeout_ms for limits in in_force),
            idle_timeout_ms=max(limits.idle_timeout_ms for limits in in_force),
        )


def _max_idle_s(limits: Limits) -> float:
    """Return for how long a connection under these limits may be idle."""
    return limits.idle_timeout_ms / MS_PER_S + IDLE_TIMEOUT_MARGIN_S
