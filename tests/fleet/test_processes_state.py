"""Unit tests of `processes.state`: collecting sections, and fetching them from another process."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import dataclass
from typing import Any

from aiohttp import web
from returns.result import Failure, Result, Success

from rosechute.processes.state import ProcessState, StateError, fetch_state
from tests.fleet.configuration_samples import settings
from tests.fleet.test_configuration_process import read


@dataclass
class RoutingSection:
    """A section of a state."""

    routes: int


def serve_and_fetch(application: web.Application) -> Result[dict[str, Any], StateError]:
    """Serve the application on a free loopback port and fetch its state."""

    async def exchange() -> Result[dict[str, Any], StateError]:
        runner = web.AppRunner(application)
        await runner.setup()
        try:
            site = web.TCPSite(runner, "127.0.0.1", 0)
            await site.start()
            return await fetch_state(f"127.0.0.1:{runner.addresses[0][1]}")
        finally:
            await runner.cleanup()

    return asyncio.run(exchange())


class ProcessStateTest(unittest.TestCase):
    """Collection of sections by `ProcessState`."""

    def setUp(self) -> None:
        self.state = ProcessState(read(settings()))

    def test_sections_are_collected(self) -> None:
        self.state.add("routing", lambda: RoutingSection(3))
        found = self.state.collect()
        self.assertEqual((found["node_name"], found["zone"]), ("edge-pier-1", "pier"))
        self.assertEqual(found["routing"], {"routes": 3})

    def test_failing_section_does_not_affect_the_others(self) -> None:
        self.state.add("broken", lambda: 1 / 0)
        self.state.add("well", lambda: {1: "one"})
        found = self.state.collect()
        self.assertEqual(found["broken"], {"error": "ZeroDivisionError: division by zero"})
        self.assertEqual(found["well"], {"1": "one"})


class FetchStateTest(unittest.TestCase):
    """Results of `fetch_state`."""

    def test_state_of_a_running_process(self) -> None:
        application = web.Application()
        ProcessState(read(settings())).add_to(application)
        found = serve_and_fetch(application)
        self.assertIsInstance(found, Success)
        self.assertEqual(found.unwrap()["node_name"], "edge-pier-1")

    def test_status_other_than_200_is_an_answer_error(self) -> None:
        error = serve_and_fetch(web.Application()).failure()
        self.assertEqual((error.step, error.reason), ("answer", "status 404"))

    def test_body_that_is_no_object_is_a_decode_error(self) -> None:
        async def list_body(request: web.Request) -> web.Response:
            return web.Response(text="[1]")

        application = web.Application()
        application.router.add_get("/state", list_body)
        self.assertEqual(serve_and_fetch(application).failure().step, "decode")

    def test_closed_port_is_a_connect_error(self) -> None:
        async def closed_port() -> int:
            server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
            port: int = server.sockets[0].getsockname()[1]
            server.close()
            await server.wait_closed()
            return port

        address = f"127.0.0.1:{asyncio.run(closed_port())}"
        found = asyncio.run(fetch_state(address))
        self.assertIsInstance(found, Failure)
        self.assertEqual(str(found.failure()), f"{address}: connect: Connection refused")
