"""Responses of servers in each framing, with their bytes cut at every position, through the sidecar."""

from __future__ import annotations

import asyncio

import pytest
from backend import IDS, Server, line, play, sidecar
from test_streaming import read_response

PIECE_PAUSE_S = 0.002  # between two pieces, so that they are read separately
SHORT_BODY = b"data: a\r\n\r\ndata: b\n\n"
LONG_BODY = b"data: a\n\n" * 20_000  # forwarded as it arrives
LAST_CUTS = 20  # bytes at the end of a long response at each of which it is cut
FRAMINGS = ("length", "chunked", "close")


def response(body: bytes, framing: str) -> bytes:
    """Return a response; one that ends with its connection has neither a length nor chunks."""
    if framing == "length":
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    if framing == "close":
        return b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body
    at = len(body) - 1  # the last byte has a chunk of its own
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in (body[:at], body[at:]))
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("body", [SHORT_BODY, LONG_BODY], ids=["short", "long"])
def test_response_is_complete_wherever_its_bytes_are_cut(framing, body):
    wire = response(body, framing)
    first = 1 if body is SHORT_BODY else len(wire) - LAST_CUTS
    cuts = range(first, len(wire))

    async def scenario():
        remaining = iter(cuts)

        async def respond_in_pieces(conversation, call):
            cut = next(remaining)
            for piece in (wire[:cut], wire[cut:]):
                conversation.writer.write(piece)
                await conversation.writer.drain()
                await asyncio.sleep(PIECE_PAUSE_S)
            if framing == "close":
                raise ConnectionError

        async with Server(respond_in_pieces) as server, sidecar(line("s1", server.port)) as world:
            for cut in cuts:
                client = await world.client()
                request_id = b"cut-%d" % next(IDS)
                await client.send(
                    b"GET /free HTTP/1.1\r\nHost: app\r\nX-Request-ID: %s\r\nX-Timeout: 5\r\n\r\n" % request_id
                )
                status, _, received = await read_response(client)
                assert (status, received) == (200, body), cut
                client.writer.close()

    play(scenario)
