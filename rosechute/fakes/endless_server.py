"""A faulty server: it answers with bytes without end, until its caller closes.

The query of a request names the form of the answer: `?form=byte_chunks&status=500`, with `&drip=1` in small pieces. A
request without a form gets that of the command line, or an ordinary answer. Run it as a process of its own, so that
it takes no time of its callers':

    python -m rosechute.fakes.endless_server HOST PORT [FORM STATUS]
"""

from __future__ import annotations

import asyncio
import functools
import re
import sys
from typing import NamedTuple

WRITE_BYTES = 64 * 1024
DRIP_BYTES = 48
DRIP_PAUSE_S = 0.005
LARGEST_CHUNK = b"7fffffff"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
STREAM = b"Content-Type: text/event-stream\r\n"
_FORM = re.compile(rb"[?&]form=(\w+)")
_STATUS = re.compile(rb"[?&]status=(\d{3})")
_REQUEST_ID = re.compile(rb"\r\n(X-(?:Rosechute-)?Request-Id): *([^\r\n]*)", re.IGNORECASE)
_LENGTH = re.compile(rb"\r\nContent-Length: *(\d+)", re.IGNORECASE)


class EndlessForm(NamedTuple):
    """What is sent.

    Attributes:
        start: What follows the common headers.
        repeated: What follows without end.
        has_head: Whether the status line and the common headers come first.
    """

    start: bytes
    repeated: bytes
    has_head: bool = True


FORMS = {
    "header_line": EndlessForm(b"X-Long: ", b"x"),
    "many_headers": EndlessForm(b"", b"a:\r\n"),
    "informational": EndlessForm(b"", b"HTTP/1.1 100 Continue\r\n\r\n", has_head=False),
    "chunk_size_junk": EndlessForm(CHUNKED + b"\r\n", b"z"),
    "chunk_size_zeros": EndlessForm(CHUNKED + b"\r\n", b"0"),
    "chunk_extension": EndlessForm(CHUNKED + b"\r\n1;", b"x"),
    "trailers": EndlessForm(CHUNKED + b"\r\n1\r\nx\r\n0\r\n", b"a: b\r\n"),
    "one_chunk": EndlessForm(CHUNKED + b"\r\n" + LARGEST_CHUNK + b"\r\n", b"x"),
    "byte_chunks": EndlessForm(CHUNKED + b"\r\n", b"1\r\nx\r\n"),
    "huge_length": EndlessForm(b"Content-Length: 999999999999\r\n\r\n", b"x"),
    "no_length": EndlessForm(b"\r\n", b"x"),
    "partial_events": EndlessForm(STREAM + CHUNKED + b"\r\n", b"5\r\ndata:\r\n"),
    "whole_events": EndlessForm(STREAM + CHUNKED + b"\r\n", b"9\r\ndata: x\n\n\r\n"),
    "whole_events_no_length": EndlessForm(STREAM + b"\r\n", b"data: x\n\n"),
    "short_lines": EndlessForm(STREAM + b"\r\n", b"x\n"),
}


async def serve(default_query: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer the requests of one connection until it is closed; `default_query` is for those without a form."""
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            length = _LENGTH.search(head)
            if length is not None:
                await reader.readexactly(int(length[1]))
            await _answer(head if _FORM.search(head) else head + default_query, writer)
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        pass
    finally:
        writer.close()


async def _answer(head: bytes, writer: asyncio.StreamWriter) -> None:
    form, status = _FORM.search(head), _STATUS.search(head)
    echoed = _REQUEST_ID.search(head)
    fields = b"%s: %s\r\n" % (echoed[1], echoed[2]) if echoed is not None else b""
    fields += b"X-Rosechute-Server-Stamp: faulty.1\r\n"
    if form is None:
        writer.write(b"HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok" % fields)
        await writer.drain()
        return
    endless = FORMS[form[1].decode()]
    code = status[1] if status is not None else b"200"
    if endless.has_head:
        writer.write(b"HTTP/1.1 %s Endless\r\n%s" % (code, fields))
    writer.write(endless.start)
    is_drip = b"drip=1" in head
    block = endless.repeated * ((DRIP_BYTES if is_drip else WRITE_BYTES) // len(endless.repeated))
    while not writer.is_closing():
        writer.write(block)
        await writer.drain()
        if is_drip:
            await asyncio.sleep(DRIP_PAUSE_S)


async def main(host: str, port: int, form: str = "", status: str = "200") -> None:
    """Listen until the process is ended."""
    default_query = f"?form={form}&status={status}".encode() if form else b""
    server = await asyncio.start_server(functools.partial(serve, default_query), host, port)
    print("listening", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2]), *sys.argv[3:]))
