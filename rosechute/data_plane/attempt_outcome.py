"""Classification of a server's response, or of its absence, as the outcome of one attempt.

Pure: performs no I/O and reads no clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from rosechute.proxy.http1.connection import Reply
from rosechute.routing.model import AttemptResult

STAMP = b"x-rosechute-server-stamp"
NOT_EXECUTED = b"x-rosechute-not-executed"
INSTANCE_ID = b"x-rosechute-instance-id"
# Statuses that guarantee to a client that the request has not been executed and never will be.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# Statuses marked as not executed after which another server may still succeed.
_RETRYABLE_STATUSES = frozenset({408, 429, 503, 504})


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """The outcome of one attempt.

    Attributes:
        result: The result that is reported to the router.
        may_have_executed: Whether the server may have executed the request.
        reply: The server's response, if it may be forwarded to the client.
    """

    result: AttemptResult
    may_have_executed: bool
    reply: Reply | None = None


CONNECT_FAILED = AttemptOutcome(AttemptResult.CONNECT_FAILED, False)
RESET = AttemptOutcome(AttemptResult.RESET, True)
TIMEOUT = AttemptOutcome(AttemptResult.TIMEOUT, True)
SERVER_ERROR = AttemptOutcome(AttemptResult.SERVER_ERROR, True)


def classify_response(reply: Reply, server_id: str) -> AttemptOutcome:
    """Return the outcome of an attempt from a complete response that echoes the request's id."""
    if reply.status == 421:
        # The requested instance itself responds 421 if only the version of its weights differs.
        same = reply.header(INSTANCE_ID) == server_id.encode()
        return AttemptOutcome(AttemptResult.NOT_EXECUTED if same else AttemptResult.WRONG_INSTANCE, False)
    if reply.header(NOT_EXECUTED) is not None:
        if reply.status in _RETRYABLE_STATUSES:
            return AttemptOutcome(AttemptResult.NOT_EXECUTED, False)
        if not is_success(reply.status):
            return AttemptOutcome(AttemptResult.DONE, False, reply)
        return RESET  # a success that is marked as not executed contradicts itself
    if is_success(reply.status):
        return AttemptOutcome(AttemptResult.DONE, True, reply) if is_trusted(reply) else RESET
    if reply.status in NOT_EXECUTED_STATUSES:
        # Without the header the server has not confirmed that nothing ran, which this status would tell the client.
        return AttemptOutcome(AttemptResult.SERVER_ERROR, True)
    if reply.status < 500:
        return AttemptOutcome(AttemptResult.DONE, True, reply)
    return AttemptOutcome(AttemptResult.SERVER_ERROR, True, reply)


def is_success(status: int) -> bool:
    """Return whether a status is a success (RFC 9110, section 15.3)."""
    return 200 <= status < 300


def is_trusted(reply: Reply) -> bool:
    """Return whether a success comes from the server itself.

    It has the server's stamp, is not marked as not executed, and has no content coding.
    """
    if reply.header(STAMP) is None or reply.header(NOT_EXECUTED) is not None:
        return False
    return reply.header(b"content-encoding") is None
