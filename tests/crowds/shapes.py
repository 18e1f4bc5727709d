"""What the clients of a crowd send. None of these requests is ever complete, unless its name says so."""

from __future__ import annotations

import random

from tests.crowds.crowd import Script

CHUNKED = "Transfer-Encoding: chunked"
KILOBYTE, MEGABYTE = 1 << 10, 1 << 20
NOISE_BYTES = 150_000
BODY_BYTES, DECLARED_BODY_BYTES = 200_000, 4 * MEGABYTE
UNREAD = "pipelined"  # the shape of `one_of_each` whose clients read nothing


def head(first_line: str, *lines: str) -> bytes:
    """Return a complete head."""
    return "\r\n".join((f"{first_line} HTTP/1.1", "Host: fleet.example", *lines, "", "")).encode()


def chunks(start: bytes, chunk_bytes: int, body_bytes: int) -> Script:
    """Return a body in chunks of one size, which lacks its last chunk. `start` is a head for a chunked body."""
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    return (start, chunk * (body_bytes // chunk_bytes))


def one_chunk(start: bytes, body_bytes: int) -> Script:
    """Return a body in one chunk, which lacks its last byte."""
    return (start, b"%x\r\n" % body_bytes, b"x" * (body_bytes - 1))


def body_with_length(start: bytes, sent_bytes: int) -> Script:
    """Return a body of which this much is sent; `start` declares more."""
    return (start, b"x" * sent_bytes)


def endless_trailers(start: bytes) -> Script:
    """Return a chunked body of one byte, and trailers that don't end."""
    return (start, b"1\r\nx\r\n0\r\n" + b"a: b\r\n" * (2 * MEGABYTE // 6))


def endless_extension(start: bytes) -> Script:
    """Return a chunk's size with an extension that doesn't end."""
    return (start, b"1;" + b"x" * (2 * MEGABYTE))


def endless_size(start: bytes) -> Script:
    """Return a chunk's size with leading zeros that don't end."""
    return (start, b"0" * (2 * MEGABYTE))


def tiny_headers(first_line: str, head_bytes: int) -> Script:
    """Return a head of many short headers, which lacks its blank line."""
    start = head(first_line)[:-2]
    return (start, b"a:\r\n" * ((head_bytes - len(start)) // 4))


def pipelined(request: bytes, number: int) -> Script:
    """Return complete requests, one right after the other."""
    return (request * number,)


def refused_then_more(start: bytes) -> Script:
    """Return a request that is refused, and bytes that go on after it."""
    return (start, b"x" * (8 * MEGABYTE))


def one_of_each(first_line: str, *lines: str) -> dict[str, Script]:
    """Return one script of each kind for a listener that accepts heads of these lines."""
    return {
        "heads": (head(first_line, *lines)[:-2] + b"a:b\r\n" * 4000,),
        "bodies": body_with_length(head(first_line, *lines, f"Content-Length: {DECLARED_BODY_BYTES}"), BODY_BYTES),
        "noise": (random.Random(1).randbytes(NOISE_BYTES),),
        "length prefix": ((2 << 30).to_bytes(4, "big") + b"x" * 100,),
        UNREAD: pipelined(head(first_line, *lines, "Content-Length: 0"), 3000),
    }
