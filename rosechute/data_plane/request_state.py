"""The states of a client request and the transitions between them. Pure.

```
AWAITING_QUOTA -> QUEUED -> CONNECTING -> SENT -> STREAMING -> FINISHED
                    ^           |           |         |
                    +-----------+-----------+---------+   (a retry at another server)
```

Every state may also change to FINISHED: the client has its answer, or has disconnected.
"""

from __future__ import annotations

import enum


class RequestState(enum.Enum):
    """The state of one client request."""

    AWAITING_QUOTA = "awaiting quota"  # the tokens of its tenant's quota have been requested
    QUEUED = "queued"  # the router has to select a server
    CONNECTING = "connecting"  # to the selected server; no byte has been written
    SENT = "sent"  # bytes of the request may have reached the server
    STREAMING = "streaming"  # the response is forwarded while it arrives
    FINISHED = "finished"  # answered, or its client has disconnected


TRANSITIONS: dict[RequestState, frozenset[RequestState]] = {
    RequestState.AWAITING_QUOTA: frozenset({RequestState.QUEUED, RequestState.FINISHED}),
    RequestState.QUEUED: frozenset({RequestState.CONNECTING, RequestState.FINISHED}),
    RequestState.CONNECTING: frozenset({RequestState.SENT, RequestState.QUEUED, RequestState.FINISHED}),
    RequestState.SENT: frozenset({RequestState.STREAMING, RequestState.QUEUED, RequestState.FINISHED}),
    RequestState.STREAMING: frozenset({RequestState.QUEUED, RequestState.FINISHED}),
    RequestState.FINISHED: frozenset(),
}

# No attempt is at a server.
NOT_SENT_STATES = frozenset({RequestState.AWAITING_QUOTA, RequestState.QUEUED, RequestState.CONNECTING})
# A server may be executing the request.
SENT_STATES = frozenset({RequestState.SENT, RequestState.STREAMING})


class InvalidTransitionError(Exception):
    """A request was to change to a state that can't follow its current one: a fault of the program."""

    def __init__(self, before: RequestState, after: RequestState) -> None:
        super().__init__(f"{before.value} to {after.value}")


def validated_transition(before: RequestState, after: RequestState) -> RequestState:
    """Return `after`.

    Raises:
        InvalidTransitionError: `after` can't follow `before`.
    """
    if after not in TRANSITIONS[before]:
        raise InvalidTransitionError(before, after)
    return after
