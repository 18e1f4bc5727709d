"""Requests with headers that concern one connection only, such as the offer of another protocol (`Upgrade`)."""

from __future__ import annotations

import asyncio
import itertools

from tests.fleet.data_model import Framing, frame_body, framing_lines
from tests.fleet.data_site import KEY, Client, DataPlaneHarness, VirtualTimeTestCase

PIECE_PAUSE_S = 0.01  # between two pieces, so that they are read separately
PATHS = ("/plain/1", "/again/1", "/open/1", "/stream/1", "/resume/1")
H2C_OFFER = ("Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c", "HTTP2-Settings: AAMAAABkAARAAAAA")
CONNECTION_HEADERS = (
    ("Connection: Upgrade", "Upgrade: h2c"),
    H2C_OFFER,
    ("Upgrade: websocket", "connection: keep-alive, upgrade"),
    ("Connection: Upgrade", "Upgrade: h2c", "Expect: 100-continue"),
    ("Upgrade: h2c",),
    ("Connection: Upgrade",),
    ("Expect: 100-continue",),
    ("TE: trailers", "Connection: TE"),
    ("Connection: X-Other", "X-Other: 1"),
)
NOT_FORWARDED = ("connection", "upgrade", "http2-settings", "te", "expect", "x-other")
LONG_BODY = b"floor plan " * 20_000  # forwarded to the server as it arrives


def serialize(path: str, request_id: str, lines: tuple[str, ...], body: bytes, framing: Framing) -> bytes:
    """Return a request; one without a length or chunks has no body."""
    head = [
        f"POST {path} HTTP/1.1",
        "Host: app.example",
        *lines,
        f"X-Rosechute-Request-Id: {request_id}",
        f"X-Rosechute-Credential: {KEY}",
        *framing_lines(body, framing),
        "",
        "",
    ]
    return "\r\n".join(head).encode() + frame_body(body, framing)


async def read_final_status(client: Client) -> int:
    """Read responses up to the final one; return its status."""
    status, headers = 100, dict[str, str]()
    while status == 100:
        status, headers = await client.read_head()
    if headers.get("transfer-encoding") == "chunked":
        while await client.read_chunk():
            pass
    else:
        await client.reader.readexactly(int(headers["content-length"]))
    return status


class ConnectionHeaderTest(VirtualTimeTestCase):
    def test_request_that_offers_a_protocol_is_served_with_its_body(self) -> None:
        """Guards against requests that run without their body and get no response (incident of review case 1)."""

        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            for path, lines, framing in itertools.product(
                PATHS, CONNECTION_HEADERS, (Framing.LENGTH, Framing.CHUNKED)
            ):
                body = b"pass for desk 7"
                wire = serialize(path, "offer", lines, body, framing)
                await self.assert_served(harness, [wire], [body], (path, lines, framing))
                sent = harness.calls[-1].headers
                self.assertFalse([name for name in NOT_FORWARDED if name in sent], lines)
            harness.close()

        self.run_scenario(scenario)

    def test_request_that_offers_a_protocol_is_served_wherever_its_bytes_are_cut(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            for body, framing in (
                (b"pass for desk 7", Framing.LENGTH),
                (b"", Framing.LENGTH),
                (b"in chunks", Framing.CHUNKED),
            ):
                wire = serialize("/plain/1", "cut", H2C_OFFER, body, framing)
                for cut in range(1, len(wire)):
                    await self.assert_served(harness, [wire[:cut], wire[cut:]], [body], cut)
                await self.assert_served(harness, [wire[at : at + 1] for at in range(len(wire))], [body], "each byte")
            harness.close()

        self.run_scenario(scenario)

    def test_long_body_behind_an_offer_is_forwarded(self) -> None:
        async def scenario() -> None:
            for framing in (Framing.LENGTH, Framing.CHUNKED):
                harness = await DataPlaneHarness(memory_mb=66).start()
                wire = serialize("/plain/1", "long", H2C_OFFER, LONG_BODY, framing)
                await self.assert_served(harness, [wire[:200], wire[200:9000], wire[9000:]], [LONG_BODY], framing)
                harness.close()

        self.run_scenario(scenario)

    def test_requests_behind_one_that_offers_a_protocol_are_served(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            bodies = [b"first", b"", b"third", b"fourth"]
            lines = (H2C_OFFER, H2C_OFFER, (), H2C_OFFER)
            requests = [
                serialize("/plain/1", f"ahead-{number}", offer, body, Framing.LENGTH)
                for number, (offer, body) in enumerate(zip(lines, bodies, strict=True))
            ]
            await self.assert_served(harness, [b"".join(requests)], bodies, "in one write")
            await self.assert_served(harness, requests, bodies, "one by one")
            harness.close()

        self.run_scenario(scenario)

    def test_ambiguous_length_behind_an_offer_is_rejected(self) -> None:
        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            for lines in (
                ("Content-Length: 3", "Transfer-Encoding: chunked"),
                ("Content-Length: 3", "Content-Length: 4"),
                ("Host: other.example",),
                ("Expect: magic",),
            ):
                client = await harness.client()
                wire = serialize("/plain/1", "odd", H2C_OFFER + lines, b"abc", Framing.LENGTH)
                client.writer.write(wire)
                self.assertIn(await read_final_status(client), (400, 417), lines)
                client.close()
            self.assertEqual(harness.calls, [])
            harness.close()

        self.run_scenario(scenario)

    def test_connect_is_rejected_with_the_allowed_methods(self) -> None:
        """Guards against connections that end without a response, as the parser reads nothing behind CONNECT."""

        async def scenario() -> None:
            harness = await DataPlaneHarness().start()
            client = await harness.client()
            client.writer.write(b"CONNECT app.example:1 HTTP/1.1\r\nHost: app.example\r\n\r\nGET / HTTP/1.1\r\n\r\n")
            status, headers = await client.read_head()
            self.assertEqual((status, headers["connection"]), (405, "close"))
            self.assertIn("POST", headers["allow"])
            self.assertEqual(await client.read_until_closed(), b"")
            harness.close()

        self.run_scenario(scenario)

    async def assert_served(
        self, harness: DataPlaneHarness, pieces: list[bytes], bodies: list[bytes], what: object
    ) -> None:
        """Send requests in pieces on one connection; they have to reach a server once each with these bodies."""
        before = len(harness.calls)
        client = await harness.client()
        for piece in pieces:
            client.writer.write(piece)
            await client.writer.drain()
            await asyncio.sleep(PIECE_PAUSE_S)
        statuses = [await read_final_status(client) for _ in bodies]
        self.assertEqual(statuses, [200] * len(bodies), what)
        self.assertEqual([call.body for call in harness.calls[before:]], bodies, what)
        client.close()
