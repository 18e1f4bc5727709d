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
class Part:
    """A section of a state."""

    routes: int


def fetched(application: web.Application) -> Result[dict[str, Any], StateError]:
    """Serve this application at a free port of loopback and ask for its state."""

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


class Sections(unittest.TestCase):
    """The sections of a state."""

    def setUp(self) -> None:
        self.state = ProcessState(read(settings()))

    def test_sections(self) -> None:
        self.state.add("routing", lambda: Part(3))
        found = self.state.collect()
        self.assertEqual((found["node_name"], found["zone"]), ("edge-pier-1", "pier"))
        self.assertEqual(found["routing"], {"routes": 3})

    def test_a_section_that_fails_costs_the_others_nothing(self) -> None:
        self.state.add("broken", lambda: 1 / 0)
        self.state.add("well", lambda: {1: "one"})
        found = self.state.collect()
        self.assertEqual(found["broken"], {"error": "ZeroDivisionError: division by zero"})
        self.assertEqual(found["well"], {"1": "one"})


class Fetching(unittest.TestCase):
    """What the command line gets from a process."""

    def test_a_running_process(self) -> None:
        application = web.Application()
        ProcessState(read(settings())).add_to(application)
        found = fetched(application)
        self.assertIsInstance(found, Success)
        self.assertEqual(found.unwrap()["node_name"], "edge-pier-1")

    def test_an_address_without_a_state(self) -> None:
        error = fetched(web.Application()).failure()
        self.assertEqual((error.step, error.reason), ("answer", "status 404"))

    def test_an_answer_that_is_none(self) -> None:
        async def odd(request: web.Request) -> web.Response:
            return web.Response(text="[1]")

        application = web.Application()
        application.router.add_get("/state", odd)
        self.assertEqual(fetched(application).failure().step, "decode")

    def test_nobody_there(self) -> None:
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
