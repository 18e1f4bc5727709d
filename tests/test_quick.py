"""The fast path for ordinary messages: same results as the parser, and nothing that the parser would reject."""

import asyncio

import httptools
import pytest
from backend import Client, Server, line, ok, play, sidecar
from hypothesis import example, given
from hypothesis import strategies as st

from rosechute.proxy.http1 import quick

LIMIT = 1 << 16


class ParserResult:
    """The parser's result for a message."""

    def __init__(self, kind, data):
        self.fields, self.body, self.url, self.is_complete, self.messages = [], b"", b"", False, 0
        self.parser = kind(self)
        self.is_rejected = False
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.is_rejected = True

    def on_message_begin(self):
        self.messages += 1

    def on_url(self, url):
        self.url += url

    def on_header(self, name, value):
        self.fields.append((name.lower(), value.strip(b" \t")))

    def on_body(self, body):
        self.body += body

    def on_message_complete(self):
        self.is_complete = True
        self.keeps_alive = self.parser.should_keep_alive()


NAMES = st.sampled_from(
    [
        b"Host",
        b"X-Request-ID",
        b"Content-Length",
        b"Transfer-Encoding",
        b"Connection",
        b"Expect",
        b"x",
        b"X-Attrs",
        b"Cookie",
        b"Upgrade",
        b"a b",
        b"",
        b"Host ",
        b" folded",
    ]
)
VALUES = st.sampled_from(
    [
        b" app",
        b" 3",
        b" 0",
        b"3",
        b" +3",
        b" 03",
        b" chunked",
        b" close",
        b" keep-alive",
        b" Keep-Alive",
        b" keep-alive, close",
        b"",
        b" \t x \t",
        b" a\x80b",
        b" a\x00b",
        b" a\rb",
        b" a\nb",
        b" 3, 3",
        b" 99999999999",
    ]
)
ENDS = st.sampled_from([b"\r\n", b"\r\n", b"\r\n", b"\r\n", b"\n", b"\r\n "])


@st.composite
def messages(draw, first):
    fields = draw(st.lists(st.tuples(NAMES, VALUES, ENDS), max_size=5))
    has_host = draw(st.booleans())
    text = b"Host: a\r\n" if has_host else b""
    text += b"".join(name + b":" + value + end for name, value, end in fields)
    return draw(first) + text + b"\r\n" + draw(st.sampled_from([b"", b"abc", b"abcd", b"GET / HTTP/1.1\r\n\r\n"]))


REQUESTS = st.sampled_from(
    [
        b"GET /a?b=1 HTTP/1.1\r\n",
        b"POST /a HTTP/1.1\r\n",
        b"GET /a HTTP/1.0\r\n",
        b"GET http://h/a HTTP/1.1\r\n",
        b"GET /a b HTTP/1.1\r\n",
        b"PUT /a HTTP/1.1\r\n",
        b"get /a HTTP/1.1\r\n",
        b"GET  /a HTTP/1.1\r\n",
        b"GET /a\x80 HTTP/1.1\r\n",
    ]
)
REPLIES = st.sampled_from(
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 \r\n",
        b"HTTP/1.1 500 No\r\n",
        b"HTTP/1.0 200 OK\r\n",
        b"HTTP/1.1 204 OK\r\n",
        b"HTTP/1.1 100 Go on\r\n",
        b"HTTP/1.1 200\r\n",
    ]
)


@given(messages(REQUESTS))
@example(b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
@example(b"GET /a HTTP/1.1\r\nHost: a\r\nConnection: keep-alive\r\n\r\n")
@example(b"GET /a HTTP/1.1\r\nHost: a\r\nX-Request-ID: 7\r\nCookie: key=1\r\n\r\n")
def test_fast_path_request_matches_the_parser(data):
    accepted = quick.request(data, LIMIT, LIMIT)
    if accepted is None:
        return
    parsed = ParserResult(httptools.HttpRequestParser, data)
    assert parsed.is_complete and not parsed.is_rejected and parsed.messages == 1 and parsed.keeps_alive
    method, target, fields, fields_by_name, body = accepted
    assert (fields, body, target) == (parsed.fields, parsed.body, parsed.url)
    assert method == parsed.parser.get_method() and parsed.parser.get_http_version() == "1.1"
    assert fields_by_name == dict(parsed.fields) and len(fields_by_name) == len(parsed.fields)


@given(messages(REPLIES))
@example(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-Server-Load: {}\r\n\r\nabc")
def test_fast_path_response_matches_the_parser(data):
    accepted = quick.reply(data, LIMIT, LIMIT)
    if accepted is None:
        return
    parsed = ParserResult(httptools.HttpResponseParser, data)
    assert parsed.is_complete and not parsed.is_rejected and parsed.messages == 1 and parsed.keeps_alive
    assert accepted == (parsed.fields, parsed.body) and parsed.parser.get_status_code() == 200


@given(st.binary(max_size=200))
def test_fast_path_needs_a_complete_head(data):
    assert quick.request(b"GET /a HTTP/1.1\r\n" + data, LIMIT, LIMIT) is None or b"\r\n\r\n" in data
    assert quick.reply(b"HTTP/1.1 200 OK\r\n" + data, LIMIT, LIMIT) is None or b"\r\n\r\n" in data


@pytest.mark.parametrize(
    "data",
    [
        b"GET /a HTTP/1.1\r\n\r\n",
        b"GET /a HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n",
        b"GET /a HTTP/1.1\r\nHost: a\r\nX: 1\r\nX: 2\r\n\r\n",
        b"GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
        b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\nabc",
        b"GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n",
        b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nabc",
        b"GET /a HTTP/1.1\r\nHost: a\r\n",
    ],
)
def test_unusual_request_is_left_to_the_parser(data):
    assert quick.request(data, LIMIT, LIMIT) is None


def test_fast_path_respects_size_limits():
    body = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n" + b"x" * 9
    assert quick.request(body, LIMIT, 9) and not quick.request(body, LIMIT, 8) and not quick.request(body, 20, 9)


def test_fast_path_and_parser_alternate_on_one_connection():
    """A request in pieces, a complete one, two in one write and two single ones are answered in order."""

    async def scenario():
        async with Server(ok) as server, sidecar(*(line(f"s{i}", server.port) for i in range(4))) as world:
            client: Client = await world.client()

            def asking(rid):
                return b"GET /free HTTP/1.1\r\nHost: a\r\nX-Request-ID: %s\r\n\r\n" % rid

            for turn in range(3):
                names = [b"%d-%d" % (turn, i) for i in range(6)]
                await client.send(asking(names[0])[:20])
                await asyncio.sleep(0.01)
                await client.send(asking(names[0])[20:])
                assert (await client.answer())[2] == names[0]
                await client.send(asking(names[1]))
                assert (await client.answer())[2] == names[1]
                await client.send(asking(names[2]) + asking(names[3]))
                assert [(await client.answer())[2] for _ in range(2)] == names[2:4]
                await client.send(asking(names[4]))
                await client.send(asking(names[5]))
                assert [(await client.answer())[2] for _ in range(2)] == names[4:6]

    play(scenario)
