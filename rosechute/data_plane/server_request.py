"""Serialization of requests to model servers.

Pure: performs no I/O and reads no clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from rosechute.configuration.operator import Tenant
from rosechute.data_plane.request_headers import (
    CREDENTIAL,
    DEADLINE,
    LAST_EVENT_ID,
    MODEL,
    PROMPT_PREFIX,
    REQUEST_ID,
    TOKEN_COUNT,
)
from rosechute.proxy.http1.message import HOP_BY_HOP, Message

if TYPE_CHECKING:
    from rosechute.data_plane.admission import AdmittedRequest

# Headers that are not forwarded: hop-by-hop ones (RFC 9110, section 7.6.1), and those that the edge itself sets.
NOT_FORWARDED = HOP_BY_HOP | {
    b"content-length",
    b"expect",
    b"priority",
    b"expect-version",
    LAST_EVENT_ID,
    CREDENTIAL,
    DEADLINE,
    b"x-rosechute-tenant",
    b"x-rosechute-expect-instance",
}
# Headers that servers need unchanged: a client can't remove them by naming them in its `Connection` header.
END_TO_END = frozenset({b"host", REQUEST_ID, MODEL, TOKEN_COUNT, PROMPT_PREFIX})


@dataclass(frozen=True, slots=True)
class ResumePoint:
    """The position at which another server has to continue an interrupted event stream.

    Attributes:
        last_event_id: Id of the last forwarded event, or the client's `Last-Event-Id` if none was forwarded; None for
            neither.
        version: Version of the weights that the response is produced with; None if it is not known.
    """

    last_event_id: bytes | None
    version: bytes | None


def serialize_head(message: Message, tenant: Tenant | None, priority: int) -> bytes:
    """Serialize the part of the head that is common to all attempts, without the blank line at its end.

    Args:
        message: The request.
        tenant: Tenant of the request; None for a request without a tenant.
        priority: Value of the header `Priority`; 0 is the most urgent.
    """
    dropped = NOT_FORWARDED
    for value in message.all(b"connection"):
        dropped = dropped | ({name.strip().lower() for name in value.split(b",")} - END_TO_END)
    lines = [b"%s %s HTTP/1.1\r\n" % (message.method, message.target)]
    lines += [b"%s: %s\r\n" % pair for pair in message.headers if pair[0] not in dropped]
    if message.stream is not None:
        length = message.stream.length
        lines.append(b"transfer-encoding: chunked\r\n" if length is None else b"content-length: %d\r\n" % length)
    elif message.body or message.method != b"GET":
        lines.append(b"content-length: %d\r\n" % len(message.body))
    if tenant is not None:
        lines.append(b"x-rosechute-tenant: %s\r\n" % tenant.name.encode())
    lines.append(b"priority: %d\r\n" % priority)
    return b"".join(lines)


def serialize_attempt(
    admitted: AdmittedRequest, server_id: str, left_s: float, resume: ResumePoint | None, body: bytes
) -> bytes:
    """Serialize the request for one attempt.

    Args:
        admitted: The request.
        server_id: Id of the server, which rejects a request that is meant for another instance.
        left_s: Seconds until the deadline.
        resume: Position at which the server has to continue; None for a new response.
        body: The body; empty if it is forwarded as it arrives.
    """
    lines = [admitted.head]
    last = resume.last_event_id if resume is not None else admitted.last_event_id
    if last is not None:
        lines.append(b"last-event-id: %s\r\n" % last)
    if resume is not None and resume.version is not None:
        lines.append(b"expect-version: %s\r\n" % resume.version)
    lines.append(b"x-rosechute-expect-instance: %s\r\n" % server_id.encode())
    lines.append(b"x-rosechute-deadline-ms: %d\r\n\r\n" % max(1, int(left_s * 1e3)))
    lines.append(body)
    return b"".join(lines)
