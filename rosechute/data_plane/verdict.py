"""What an answer of a server, or its lack, says of one attempt. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from hollyport.http1.connection import Reply
from rosechute.routing.model import AttemptResult

STAMP = b"x-rosechute-server-stamp"
NOT_EXECUTED = b"x-rosechute-not-executed"
INSTANCE_ID = b"x-rosechute-instance-id"
PROMISES = frozenset({408, 421, 429, 503})  # statuses that promise that the request has not run and never will
_REFUSALS = frozenset({408, 429, 503, 504})  # statuses that another server may not answer


@dataclass(frozen=True, slots=True)
class Verdict:
    """How one attempt ended."""

    result: AttemptResult
    may_have_run: bool
    reply: Reply | None = None  # what the client may be answered with, as the server gave it


CONNECT_FAILED = Verdict(AttemptResult.CONNECT_FAILED, False)
RESET = Verdict(AttemptResult.RESET, True)
TIMEOUT = Verdict(AttemptResult.TIMEOUT, True)
SERVER_ERROR = Verdict(AttemptResult.SERVER_ERROR, True)


def of_reply(reply: Reply, server_id: str) -> Verdict:
    """The verdict on a whole answer that carries the request's id."""
    if reply.status == 421:
        # Only the weights' version is in question where the right server has answered.
        same = reply.header(INSTANCE_ID) == server_id.encode()
        return Verdict(AttemptResult.NOT_EXECUTED if same else AttemptResult.WRONG_INSTANCE, False)
    if reply.header(NOT_EXECUTED) is not None:
        if reply.status in _REFUSALS:
            return Verdict(AttemptResult.NOT_EXECUTED, False)
        if not is_success(reply.status):
            return Verdict(AttemptResult.DONE, False, reply)
        return RESET  # it contradicts itself
    if is_success(reply.status):
        return Verdict(AttemptResult.DONE, True, reply) if trusted(reply) else RESET
    if reply.status in PROMISES:
        return Verdict(AttemptResult.SERVER_ERROR, True)  # a promise without its mark: not passed on
    if reply.status < 500:
        return Verdict(AttemptResult.DONE, True, reply)
    return Verdict(AttemptResult.SERVER_ERROR, True, reply)


def is_success(status: int) -> bool:
    """Whether this status is one of success."""
    return 200 <= status < 300


def trusted(reply: Reply) -> bool:
    """Whether a success is the server's own: stamped, not marked as not executed, its body as it was asked for."""
    if reply.header(STAMP) is None or reply.header(NOT_EXECUTED) is not None:
        return False
    return reply.header(b"content-encoding") is None
