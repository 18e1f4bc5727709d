"""The states of a client's request, and which of them may follow one another. Pure."""

from __future__ import annotations

import enum


class RequestState(enum.Enum):
    """Where a request stands."""

    QUOTA = "quota"  # its tenant's quota is asked for
    WAITING = "waiting"  # for the router to name a server
    CONNECTING = "connecting"  # to the server that was named; nothing is written
    SENT = "sent"  # some of it may have reached the server
    PASSING = "passing"  # the server's answer is passed on as it comes
    OVER = "over"  # answered, or its client has left


TRANSITIONS: dict[RequestState, frozenset[RequestState]] = {
    RequestState.QUOTA: frozenset({RequestState.WAITING, RequestState.OVER}),
    RequestState.WAITING: frozenset({RequestState.CONNECTING, RequestState.OVER}),
    RequestState.CONNECTING: frozenset({RequestState.SENT, RequestState.WAITING, RequestState.OVER}),
    RequestState.SENT: frozenset({RequestState.PASSING, RequestState.WAITING, RequestState.OVER}),
    RequestState.PASSING: frozenset({RequestState.WAITING, RequestState.OVER}),
    RequestState.OVER: frozenset(),
}
UNSENT = frozenset({RequestState.QUOTA, RequestState.WAITING, RequestState.CONNECTING})  # no attempt is under way
AT_SERVER = frozenset({RequestState.SENT, RequestState.PASSING})  # a server may be at work on it


class ForbiddenTransition(Exception):
    """A request was to change to a state that can't follow its own: a fault of the program."""

    def __init__(self, before: RequestState, after: RequestState) -> None:
        super().__init__(f"{before.value} to {after.value}")


def checked_transition(before: RequestState, after: RequestState) -> RequestState:
    """The state `after`; raises `ForbiddenTransition` where it can't follow `before`."""
    if after not in TRANSITIONS[before]:
        raise ForbiddenTransition(before, after)
    return after
