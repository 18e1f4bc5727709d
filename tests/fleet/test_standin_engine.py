"""The stand-ins for model servers, clients, operator and judge, without a fleet between them."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import TypeVar

import aiohttp
from aiohttp import web

from rosechute.fakes.fleet import words
from rosechute.fakes.fleet.clients import Clients, Done, Kind, Try
from rosechute.fakes.fleet.engine import Engine, Run, Speed
from rosechute.fakes.fleet.entry import Entry, Gate
from rosechute.fakes.fleet.judge import judge
from rosechute.fakes.fleet.operator import Operator

FAST = Speed(token_read=0.0, event=0.0, plain=0.0)
STREAM = Kind("stream", "h", "/s/1", 1, streaming=True, repeatable=True, output_tokens=40)
PLAIN = Kind("plain", "h", "/p/1", 1)
T = TypeVar("T")


def played(engine: Engine, work: Callable[[Clients, str], Awaitable[T]]) -> T:
    """Do some work with clients whose entry leads straight to this server."""

    async def run() -> T:
        address = await engine.start("127.0.0.1")
        try:
            return await work(Clients(Entry([Gate("e", "a", address, "", 0)]), ["a"]), address)
        finally:
            await engine.stop()

    return asyncio.run(run())


async def statuses(address: str, *headers: dict[str, str]) -> list[int]:
    """The answers to posts with these headers."""
    async with aiohttp.ClientSession() as session:
        found = []
        for head in headers:
            async with session.post(f"http://{address}/s/1", headers=head) as answer:
                await answer.read()
                found.append(answer.status)
        return found


class Serving(unittest.TestCase):
    """What a server does, as its clients see it."""

    def test_stream_and_plain(self) -> None:
        for kind in (STREAM, PLAIN):
            engine = Engine("i-1", kind.streaming, speed=FAST)
            done = played(engine, lambda clients, address, kind=kind: clients.request(kind))
            self.assertTrue(done.served, done)
            self.assertEqual([run.request_id for run in engine.seen.runs], [done.tries[0].request_id])

    def test_a_stream_goes_on_after_the_last_event(self) -> None:
        engine = Engine("i-1", True, speed=FAST)
        tried = played(engine, lambda clients, address: clients._try(STREAM, address, 1, 1e9, 5))
        self.assertTrue(tried.whole, tried)
        self.assertEqual((engine.seen.runs[0].resumed_at, tried.last_event), (5, 8))

    def test_refusals(self) -> None:
        engine = Engine("i-1", True, slots=1, queue=0, speed=FAST)
        known = {words.REQUEST_ID: "1"}
        found = played(
            engine,
            lambda clients, address: statuses(
                address, {}, known | {words.EXPECT_INSTANCE: "i-2"}, known | {words.EXPECT_INSTANCE: "i-1"}
            ),
        )
        self.assertEqual(found, [400, 421, 200])
        self.assertEqual((engine.seen.wrong_instance, len(engine.seen.runs)), (1, 1))

    def test_full(self) -> None:
        async def work(clients: Clients, address: str) -> int:
            await engine._free.acquire()
            return (await statuses(address, {words.REQUEST_ID: "1"}))[0]

        engine = Engine("i-1", True, slots=1, queue=0, speed=FAST)
        self.assertEqual(played(engine, work), 503)
        self.assertEqual((engine.seen.full, engine.seen.runs), (1, []))

    def test_parts_that_are_kept_are_not_read_again(self) -> None:
        engine = Engine("i-1", True, speed=FAST)
        heads = [
            {words.REQUEST_ID: "1", words.PROMPT_PREFIX: prefix}
            for prefix in ("a:100,b:10", "a:100,c:10", "d:5,a:100")
        ]
        played(engine, lambda clients, address: statuses(address, *heads))
        self.assertEqual(engine.seen.tokens_read, 110 + 10 + 105)


class Wrong(unittest.TestCase):
    """Answers that clients must not take for whole."""

    def tried(self, kind: Kind, answer: Callable[[str], web.Response]) -> Try:
        async def handle(request: web.Request) -> web.Response:
            return answer(request.headers[words.REQUEST_ID])

        async def run() -> Try:
            application = web.Application()
            application.router.add_post("/{path:.*}", handle)
            runner = web.AppRunner(application)
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            address = f"127.0.0.1:{runner.addresses[0][1]}"
            clients = Clients(Entry([]), ["a"])
            until = asyncio.get_running_loop().time() + 2.0
            try:
                return await clients._try(kind, address, 1, until, 0)
            finally:
                await runner.cleanup()

        return asyncio.run(run())

    def test_wrong_answers(self) -> None:
        def events(*numbers: int) -> bytes:
            return b"".join(words.event(STREAM.path, number, 8) for number in numbers)

        good = plain = words.plain_body(PLAIN.path, b"x" * PLAIN.input_tokens)
        for kind, body, head, whole in (
            (PLAIN, good, {}, True),
            (PLAIN, plain[:-1], {}, False),
            (PLAIN, good, {words.STAMP: None}, False),
            (PLAIN, good, {words.REQUEST_ID: "other"}, False),
            (STREAM, events(*range(1, 9)), {}, True),
            (STREAM, events(*range(1, 8)), {}, False),
            (STREAM, events(1, 2, 2, 3), {}, False),
            (STREAM, events(*range(2, 9)), {}, False),
            (STREAM, events(*range(1, 9))[:-1], {}, False),
        ):
            with self.subTest((kind.name, body, head)):

                def answer(request_id: str, body: bytes = body, head: dict[str, str | None] = head) -> web.Response:
                    headers = {words.STAMP: "s", words.REQUEST_ID: request_id} | head
                    return web.Response(body=body, headers={key: value for key, value in headers.items() if value})

                tried = self.tried(kind, answer)
                self.assertEqual((tried.whole, bool(tried.problem)), (whole, not whole))


class Ordering(unittest.TestCase):
    """The operator calls on until an answer is clear."""

    def test_redirects_and_failures(self) -> None:
        calls: list[str] = []

        async def run() -> tuple[int, int]:
            answers = iter([503, 307, 200])

            async def handle(request: web.Request) -> web.Response:
                status = next(answers)
                calls.append(request.headers[words.BASE_VERSION])
                return web.Response(status=status, headers={"Location": f"http://{address}/config/replace"})

            application = web.Application()
            application.router.add_post("/config/replace", handle)
            runner = web.AppRunner(application)
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            address = f"127.0.0.1:{runner.addresses[0][1]}"
            outcome = await Operator([address]).replace({"config_version": 2}, 1)
            await runner.cleanup()
            return outcome.status, outcome.calls

        self.assertEqual(asyncio.run(run()), (200, 2))
        self.assertEqual(calls, ["1"] * 3)


class Judging(unittest.TestCase):
    """What the judge sees as broken."""

    def broken(self, done: list[Done], *runs: str) -> list[str]:
        engine = Engine("i-1", True)
        engine.seen.runs = [Run(request_id, "/", "", 0.0) for request_id in runs]
        return [verdict.rule for verdict in judge(done, [engine]) if not verdict.kept]

    @staticmethod
    def done(kind: Kind, **fields: object) -> Done:
        return Done(kind, 0.0, [Try("r", **({"status": 200, "whole": True} | fields))])  # type: ignore[arg-type]

    def test_kept(self) -> None:
        self.assertEqual(self.broken([self.done(PLAIN)], "r"), [])

    def test_twice(self) -> None:
        self.assertEqual(self.broken([self.done(PLAIN)], "r", "r"), ["what may run once has run once at most"])
        self.assertEqual(self.broken([self.done(STREAM)], "r", "r"), [])

    def test_refused_and_run(self) -> None:
        self.assertIn("what was refused has not run", self.broken([self.done(PLAIN, status=503, whole=False)], "r"))

    def test_unasked(self) -> None:
        self.assertEqual(self.broken([self.done(PLAIN)], "r", "x"), ["servers run only what a client sent"])

    def test_wrong_answer_and_unserved(self) -> None:
        found = self.broken([self.done(PLAIN, whole=False, problem="a body that is not the server's")], "r")
        self.assertEqual(len(found), 2)
