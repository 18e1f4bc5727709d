"""Header names and response bodies that the fakes share."""

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
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that guarantee that a request has not run and never will."""
LAST_EVENT_MARK = "end"
"""The last word in the data of the last event of a stream."""


def plain_body(path: str, body: bytes) -> bytes:
    """Return the response body of a plain request, by which clients check that it is complete and their own."""
    return f"done {path} {len(body)}\n".encode()


def event_count(output_tokens: int) -> int:
    """Return the number of events in a stream of `output_tokens`."""
    return max(1, -(-output_tokens // TOKENS_PER_EVENT))


def event_data(path: str, number: int, count: int) -> str:
    """Return the data of an event; `number` counts from 1 to `count`."""
    return f"{path} {number}" + (f" {LAST_EVENT_MARK}" if number == count else "")


def event(path: str, number: int, count: int) -> bytes:
    """Return an encoded event; `number` counts from 1 to `count`."""
    return f"id: {number}\ndata: {event_data(path, number, count)}\n\n".encode()
