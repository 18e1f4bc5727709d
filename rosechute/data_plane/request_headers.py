"""Parsing of the request headers that admission and routing use.

Pure: performs no I/O and reads no clock.
"""

from __future__ import annotations

import re

from rosechute.proxy.http1.message import Message
from rosechute.routing.model import PromptPart

REQUEST_ID = b"x-rosechute-request-id"
CREDENTIAL = b"x-rosechute-credential"
DEADLINE = b"x-rosechute-deadline-ms"
TOKEN_COUNT = b"x-rosechute-token-count"
PROMPT_PREFIX = b"x-rosechute-prompt-prefix"
MODEL = b"x-rosechute-model"
LAST_EVENT_ID = b"last-event-id"
_SINGLE_HEADERS = (REQUEST_ID, CREDENTIAL, DEADLINE, LAST_EVENT_ID)  # headers that may occur only once
_REQUEST_ID = re.compile(rb"[!-~]{1,256}")
_NUMBER = re.compile(rb"[0-9]{1,12}(?:\.[0-9]{0,9})?")
_TOKEN_COUNTS = re.compile(rb"([0-9]{1,9}) *, *([0-9]{1,9})")
_PROMPT_PART = re.compile(r"([!-+\--9;-~]{1,128}):([0-9]{1,9})")
_MAX_PROMPT_PARTS = 256


def header_fields(message: Message) -> dict[bytes, bytes] | None:
    """Return the first value of each header by name; None if a header is repeated that may occur only once."""
    if message.headers_by_name is not None:
        return message.headers_by_name
    fields: dict[bytes, bytes] = {}
    for name, value in message.headers:
        if name in fields and name in _SINGLE_HEADERS:
            return None
        fields.setdefault(name, value)
    return fields


def is_request_id(value: bytes) -> bool:
    """Return whether a value is a valid request id: 1 to 256 visible ASCII characters."""
    return _REQUEST_ID.fullmatch(value) is not None


def parse_milliseconds(value: bytes | None, default_s: float) -> float:
    """Convert a header value in milliseconds to seconds; return `default_s` if it is absent or malformed."""
    if value is None or _NUMBER.fullmatch(value) is None:
        return default_s
    return float(value) / 1e3


def parse_token_counts(value: bytes | None) -> tuple[int, int] | None:
    """Return the numbers of input and output tokens; None if the header is absent or malformed."""
    found = _TOKEN_COUNTS.fullmatch(value) if value else None
    return (int(found[1]), int(found[2])) if found is not None else None


def parse_prompt_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    """Return the parts of the prompt prefix in order; an empty tuple if the header is absent or malformed."""
    if not value:
        return ()
    parts = []
    for text in value.decode("latin-1").split(",", _MAX_PROMPT_PARTS):
        found = _PROMPT_PART.fullmatch(text.strip())
        if found is None:
            return ()
        parts.append(PromptPart(found[1], int(found[2])))
    return tuple(parts)
