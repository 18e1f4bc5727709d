"""The states of a client request and the transitions between them.

```
AWAITING_QUOTA -> QUEUED -> CONNECTING -> SENT -> STREAMING -> FINISHED
                    ^           |           |         |
                    +-----------+-----------+---------+   (a retry on another server)
```

Every state may also change to FINISHED: the client has got its response, or has disconnected.

Pure: performs no I/O and reads no clock.
"""

from __future__ import annotations

import enum


class RequestState(enum.Enum):
    """The state of one client request."""

    AWAITING_QUOTA = "awaiting quota"  # waiting for tokens of the tenant's quota
    QUEUED = "queued"  # waiting for the router to select a server
    CONNECTING = "connecting"  # waiting for a connection to the selected server; no byte of the request is written
    SENT = "sent"  # bytes of the request may have reached the server
    STREAMING = "streaming"  # the response is forwarded as it arrives
    FINISHED = "finished"  # the response was sent, or the client has disconnected


TRANSITIONS: dict[RequestState, frozenset[RequestState]] = {
    RequestState.AWAITING_QUOTA: frozenset({RequestState.QUEUED, RequestState.FINISHED}),
    RequestState.QUEUED: frozenset({RequestState.CONNECTING, RequestState.FINISHED}),
    RequestState.CONNECTING: frozenset({RequestState.SENT, RequestState.QUEUED, RequestState.FINISHED}),
    RequestState.SENT: frozenset({RequestState.STREAMING, RequestState.QUEUED, RequestState.FINISHED}),
    RequestState.STREAMING: frozenset({RequestState.QUEUED, RequestState.FINISHED}),
    RequestState.FINISHED: frozenset(),
}

# States in which no server has the request.
NOT_SENT_STATES = frozenset({RequestState.AWAITING_QUOTA, RequestState.QUEUED, RequestState.CONNECTING})
# States in which a server may be executing the request.
SENT_STATES = frozenset({RequestState.SENT, RequestState.STREAMING})


class InvalidTransitionError(Exception):
    """A state can't follow the current one, which indicates a bug."""

    def __init__(self, before: RequestState, after: RequestState) -> None:
        super().__init__(f"{before.value} to {after.value}")


def validated_transition(before: RequestState, after: RequestState) -> RequestState:
    """Return `after` if the transition is valid.

    Raises:
        InvalidTransitionError: `after` can't follow `before`.
    """
    if after not in TRANSITIONS[before]:
        raise InvalidTransitionError(before, after)
    return after
