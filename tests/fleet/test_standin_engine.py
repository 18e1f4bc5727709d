"""The fake model servers, clients and operator and the rule checks, without a fleet between them."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import TypeVar

import aiohttp
from aiohttp import web

from rosechute.fakes.fleet import words
from rosechute.fakes.fleet.clients import Attempt, Clients, RequestKind, RequestResult
from rosechute.fakes.fleet.engine import Engine, EngineRequest, ServiceTimes
from rosechute.fakes.fleet.entry import EdgeEndpoint, Entry
from rosechute.fakes.fleet.judge import check_run
from rosechute.fakes.fleet.operator import Operator

FAST = ServiceTimes(prompt_token=0.0, event=0.0, plain=0.0)
STREAM = RequestKind("stream", "h", "/s/1", 1, streaming=True, repeatable=True, output_tokens=40)
PLAIN = RequestKind("plain", "h", "/p/1", 1)
T = TypeVar("T")


def run_with_clients(engine: Engine, action: Callable[[Clients, str], Awaitable[T]]) -> T:
    """Run `action` with clients whose entry leads directly to `engine`, and return its result."""

    async def run() -> T:
        address = await engine.start("127.0.0.1")
        try:
            return await action(Clients(Entry([EdgeEndpoint("e", "a", address, "", 0)]), ["a"]), address)
        finally:
            await engine.stop()

    return asyncio.run(run())


async def post_statuses(address: str, *headers: dict[str, str]) -> list[int]:
    """Return the statuses of POST requests with the given headers."""
    async with aiohttp.ClientSession() as session:
        statuses = []
        for request_headers in headers:
            async with session.post(f"http://{address}/s/1", headers=request_headers) as answer:
                await answer.read()
                statuses.append(answer.status)
        return statuses


class EngineTest(unittest.TestCase):
    """Responses of a fake model server as its clients see them."""

    def test_stream_and_plain(self) -> None:
        for kind in (STREAM, PLAIN):
            engine = Engine("i-1", kind.streaming, speed=FAST)
            result = run_with_clients(engine, lambda clients, address, kind=kind: clients.request(kind))
            self.assertTrue(result.is_served, result)
            self.assertEqual(
                [run.request_id for run in engine.stats.started_requests], [result.attempts[0].request_id]
            )

    def test_stream_resumes_after_last_event(self) -> None:
        engine = Engine("i-1", True, speed=FAST)
        attempt = run_with_clients(engine, lambda clients, address: clients._send_attempt(STREAM, address, 1, 1e9, 5))
        self.assertTrue(attempt.is_complete, attempt)
        self.assertEqual((engine.stats.started_requests[0].resumed_at, attempt.last_event), (5, 8))

    def test_rejected_requests(self) -> None:
        engine = Engine("i-1", True, slots=1, queue=0, speed=FAST)
        known = {words.REQUEST_ID: "1"}
        statuses = run_with_clients(
            engine,
            lambda clients, address: post_statuses(
                address, {}, known | {words.EXPECT_INSTANCE: "i-2"}, known | {words.EXPECT_INSTANCE: "i-1"}
            ),
        )
        self.assertEqual(statuses, [400, 421, 200])
        self.assertEqual((engine.stats.rejected_instance, len(engine.stats.started_requests)), (1, 1))

    def test_full_queue_is_rejected(self) -> None:
        async def action(clients: Clients, address: str) -> int:
            await engine._free.acquire()
            return (await post_statuses(address, {words.REQUEST_ID: "1"}))[0]

        engine = Engine("i-1", True, slots=1, queue=0, speed=FAST)
        self.assertEqual(run_with_clients(engine, action), 503)
        self.assertEqual((engine.stats.rejected_full, engine.stats.started_requests), (1, []))

    def test_cached_prompt_parts_are_not_read_again(self) -> None:
        engine = Engine("i-1", True, speed=FAST)
        heads = [
            {words.REQUEST_ID: "1", words.PROMPT_PREFIX: prefix}
            for prefix in ("a:100,b:10", "a:100,c:10", "d:5,a:100")
        ]
        run_with_clients(engine, lambda clients, address: post_statuses(address, *heads))
        self.assertEqual(engine.stats.uncached_tokens, 110 + 10 + 105)


class IncompleteResponseTest(unittest.TestCase):
    """Responses that clients must not accept as complete."""

    def send(self, kind: RequestKind, answer: Callable[[str], web.Response]) -> Attempt:
        async def handle(request: web.Request) -> web.Response:
            return answer(request.headers[words.REQUEST_ID])

        async def run() -> Attempt:
            application = web.Application()
            application.router.add_post("/{path:.*}", handle)
            runner = web.AppRunner(application)
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            address = f"127.0.0.1:{runner.addresses[0][1]}"
            clients = Clients(Entry([]), ["a"])
            until = asyncio.get_running_loop().time() + 2.0
            try:
                return await clients._send_attempt(kind, address, 1, until, 0)
            finally:
                await runner.cleanup()

        return asyncio.run(run())

    def test_response_completeness(self) -> None:
        def events(*numbers: int) -> bytes:
            return b"".join(words.event(STREAM.path, number, 8) for number in numbers)

        good = plain = words.plain_body(PLAIN.path, b"x" * PLAIN.input_tokens)
        for kind, body, extra_headers, is_complete in (
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
            with self.subTest((kind.name, body, extra_headers)):

                def answer(
                    request_id: str, body: bytes = body, extra_headers: dict[str, str | None] = extra_headers
                ) -> web.Response:
                    headers = {words.STAMP: "s", words.REQUEST_ID: request_id} | extra_headers
                    return web.Response(body=body, headers={key: value for key, value in headers.items() if value})

                attempt = self.send(kind, answer)
                self.assertEqual((attempt.is_complete, bool(attempt.failure)), (is_complete, not is_complete))


class OperatorTest(unittest.TestCase):
    """The operator retries until a response is final."""

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


class CheckRunTest(unittest.TestCase):
    """Rules that the check reports as broken."""

    def broken_rules(self, results: list[RequestResult], *runs: str) -> list[str]:
        engine = Engine("i-1", True)
        engine.stats.started_requests = [EngineRequest(request_id, "/", "", 0.0) for request_id in runs]
        return [rule_result.rule for rule_result in check_run(results, [engine]) if not rule_result.is_kept]

    @staticmethod
    def make_result(kind: RequestKind, **fields: object) -> RequestResult:
        return RequestResult(kind, 0.0, [Attempt("r", **({"status": 200, "is_complete": True} | fields))])  # type: ignore[arg-type]

    def test_all_rules_kept(self) -> None:
        self.assertEqual(self.broken_rules([self.make_result(PLAIN)], "r"), [])

    def test_repeated_run(self) -> None:
        self.assertEqual(
            self.broken_rules([self.make_result(PLAIN)], "r", "r"), ["non-repeatable requests run at most once"]
        )
        self.assertEqual(self.broken_rules([self.make_result(STREAM)], "r", "r"), [])

    def test_rejected_request_that_ran(self) -> None:
        self.assertIn(
            "rejected requests have not run",
            self.broken_rules([self.make_result(PLAIN, status=503, is_complete=False)], "r"),
        )

    def test_unknown_request(self) -> None:
        self.assertEqual(
            self.broken_rules([self.make_result(PLAIN)], "r", "x"), ["servers run only requests that a client sent"]
        )

    def test_wrong_response_and_unserved_request(self) -> None:
        broken = self.broken_rules(
            [self.make_result(PLAIN, is_complete=False, failure="response body differs from the server's")], "r"
        )
        self.assertEqual(len(broken), 2)
