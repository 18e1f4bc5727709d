"""Names on the wire that stand-ins share, and loopback addresses."""

from __future__ import annotations

REQUEST_ID = "X-Rosechute-Request-Id"
DEADLINE_MS = "X-Rosechute-Deadline-Ms"
CREDENTIAL = "X-Rosechute-Credential"
TENANT = "X-Rosechute-Tenant"
MODEL = "X-Rosechute-Model"
TOKEN_COUNT = "X-Rosechute-Token-Count"
PROMPT_PREFIX = "X-Rosechute-Prompt-Prefix"
EXPECT_INSTANCE = "X-Rosechute-Expect-Instance"
INSTANCE_ID = "X-Rosechute-Instance-Id"
STAMP = "X-Rosechute-Server-Stamp"
NOT_EXECUTED = "X-Rosechute-Not-Executed"
BASE_VERSION = "X-Rosechute-Base-Version"
LAST_EVENT_ID = "Last-Event-Id"
RETRY_AFTER = "Retry-After"
EVENT_STREAM = "text/event-stream"

TOKENS_PER_EVENT = 5
PROMISES = frozenset((408, 421, 429, 503))
"""Statuses that promise that a request has not run and never will."""
END = "end"
"""The data of a stream's last event ends with this word."""


def plain_body(path: str, body: bytes) -> bytes:
    """What every server answers to a plain request: clients can tell whether an answer is whole and theirs."""
    return f"done {path} {len(body)}\n".encode()


def event_count(output_tokens: int) -> int:
    """How many events a stream of so many tokens has."""
    return max(1, -(-output_tokens // TOKENS_PER_EVENT))


def event_data(path: str, number: int, count: int) -> str:
    """The data of one event of a stream."""
    return f"{path} {number}" + (f" {END}" if number == count else "")


def event(path: str, number: int, count: int) -> bytes:
    """One event of a stream as it is sent."""
    return f"id: {number}\ndata: {event_data(path, number, count)}\n\n".encode()
