"""Limits of header size, body size and time-outs for clients, including the transition between two sets of limits.

Requests over a tenant's quota are not rejected here but by `rosechute.routing.token_cache`.

Pure: performs no I/O and reads no clock.
"""

from __future__ import annotations

from rosechute.configuration.operator import Limits

MS_PER_S = 1e3
# An idle connection stays open this much longer than the client may reuse it: no request arrives during its close.
IDLE_TIMEOUT_MARGIN_S = 1.0
# Wide limits before the first configuration: it may allow what narrower defaults would reject.
UNCONFIGURED = Limits(
    max_header_bytes=1 << 18,
    max_body_bytes=1 << 30,
    header_timeout_ms=15000.0,
    idle_timeout_ms=60000.0,
)


class ClientLimits:
    """The widest of the current limits and of replaced ones that clients may still rely on.

    Replaced limits hold for as long as a connection may stay idle under them: a client that keeps to the limits it
    knows is not rejected, nor its idle connection closed, because of narrower limits that have just been applied.
    """

    def __init__(self) -> None:
        self._current: Limits | None = None
        self._former_until: dict[Limits, float] = {}  # steady time at which they expire

    def change(self, limits: Limits, now: float) -> float:
        """Apply new limits; return the seconds until the last replaced limits expire, 0 if there are none."""
        if self._current is not None and self._current != limits:
            self._former_until[self._current] = now + _max_idle_s(self._current)
        self._current = limits
        self._former_until.pop(limits, None)
        return max((until - now for until in self._former_until.values()), default=0.0)

    def widest(self, now: float) -> Limits:
        """Return the limits that apply to clients at steady time `now`."""
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
    """Return how many seconds a connection under these limits may be idle."""
    return limits.idle_timeout_ms / MS_PER_S + IDLE_TIMEOUT_MARGIN_S
