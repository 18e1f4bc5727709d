"""What clients may send and how long they may rest, across changes of the configuration. Pure."""

from __future__ import annotations

from rosechute.configuration.operator import Limits

IDLE_TIMEOUT_MARGIN_S = 1.0  # an idle connection is kept so much longer than its client may use it
# Before the first configuration nobody is turned away for a limit that it may not have.
UNCONFIGURED = Limits(
    max_header_bytes=1 << 18,
    max_body_bytes=1 << 30,
    header_timeout_ms=15000.0,
    idle_timeout_ms=60000.0,
)


class ClientLimits:
    """The widest of the limits in force and of those before them, for as long as a connection may rest by those.

    A client that goes by the limits it knows is not refused, and its idle connection not closed, by narrower ones
    that have just come.
    """

    def __init__(self) -> None:
        self._current: Limits | None = None
        self._former: dict[Limits, float] = {}  # with the steady time until which they hold

    def change(self, limits: Limits, now: float) -> float:
        """Other limits are in force. For so many seconds the former ones may still hold."""
        if self._current is not None and self._current != limits:
            self._former[self._current] = now + _rests_s(self._current)
        self._current = limits
        self._former.pop(limits, None)
        return max((until - now for until in self._former.values()), default=0.0)

    def widest(self, now: float) -> Limits:
        """What holds for clients at this time."""
        if self._current is None:
            return UNCONFIGURED
        self._former = {limits: until for limits, until in self._former.items() if until > now}
        held = [self._current, *self._former]
        return Limits(
            max_header_bytes=max(limits.max_header_bytes for limits in held),
            max_body_bytes=max(limits.max_body_bytes for limits in held),
            header_timeout_ms=max(limits.header_timeout_ms for limits in held),
            idle_timeout_ms=max(limits.idle_timeout_ms for limits in held),
        )


def _rests_s(limits: Limits) -> float:
    """For how long a connection that these limits allow may be kept between requests."""
    return limits.idle_timeout_ms / 1e3 + IDLE_TIMEOUT_MARGIN_S
