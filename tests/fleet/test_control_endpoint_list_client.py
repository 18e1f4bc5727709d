"""Tests of `EndpointListClient` over loopback: one persistent connection, and the reasons of failures."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web

from rosechute.control_plane import endpoint_list_client
from rosechute.control_plane.endpoint_list_client import EndpointListClient

from .data_site import VirtualTimeTestCase
from .test_planted_control_machine import free_ports, until


class EndpointListClientTest(VirtualTimeTestCase):
    """Fetches pages from a local HTTP server."""

    def serve(self, handler: Any) -> Any:
        async def start() -> tuple[web.AppRunner, EndpointListClient]:
            application = web.Application()
            application.router.add_get("/instances", handler)
            runner = web.AppRunner(application)
            await runner.setup()
            site = web.TCPSite(runner, "127.0.0.1", 0)
            await site.start()
            return runner, EndpointListClient(f"127.0.0.1:{runner.addresses[0][1]}")

        return start()

    def test_pages_are_fetched_by_token_over_one_connection(self) -> None:
        async def scenario() -> None:
            requests: list[Any] = []

            async def instances(request: web.Request) -> web.Response:
                requests.append((dict(request.query), request.transport))
                return web.json_response({"instances": [], "next_token": "n"})

            runner, client = await self.serve(instances)
            for token in (None, "n"):
                self.assertEqual((await client.fetch(token)).unwrap().next_token, "n")
            self.assertEqual([query for query, _ in requests], [{}, {"page_token": "n"}])
            self.assertIs(requests[0][1], requests[1][1])
            await client.close()
            await client.close()
            self.assertTrue((await client.fetch(None)).unwrap() is not None, "a new connection is opened")
            await client.close()
            await runner.cleanup()

        self.run_scenario(scenario)

    def test_connection_is_kept_alive_and_closed(self) -> None:
        async def scenario() -> None:
            transports: list[Any] = []

            async def instances(request: web.Request) -> web.Response:
                transports.append(request.transport)
                return web.json_response({"instances": []})

            runner, client = await self.serve(instances)
            await client.fetch(None)
            connector: Any = client._open_session().connector
            self.assertEqual((connector.limit, connector._keepalive_timeout), (1, endpoint_list_client.KEEP_ALIVE_S))
            self.assertFalse(transports[0].is_closing())
            await client.close()
            await until(transports[0].is_closing)
            await runner.cleanup()

        self.run_scenario(scenario)

    def test_unexpected_status_is_a_failure(self) -> None:
        async def scenario() -> None:
            async def instances(request: web.Request) -> web.Response:
                return web.json_response({"instances": []}, status=429)

            runner, client = await self.serve(instances)
            self.assertEqual((await client.fetch(None)).failure().reason, "status 429")
            await client.close()
            await runner.cleanup()

        self.run_scenario(scenario)

    def test_call_times_out(self) -> None:
        async def scenario() -> None:
            async def instances(request: web.Request) -> web.Response:
                await asyncio.sleep(20.0)
                return web.json_response({"instances": []})

            runner, client = await self.serve(instances)
            started_at = asyncio.get_running_loop().time()
            self.assertIn("no answer within", (await client.fetch(None)).failure().reason)
            self.assertLess(asyncio.get_running_loop().time() - started_at, 1.5)
            self.assertGreater(endpoint_list_client.CALL_TIMEOUT_S, 0.3)
            await client.close()
            await runner.shutdown()

        self.run_scenario(scenario)

    def test_connection_refused(self) -> None:
        async def scenario() -> None:
            client = EndpointListClient(f"127.0.0.1:{free_ports(1)[0]}")
            self.assertTrue((await client.fetch(None)).failure().reason)
            await client.close()

        self.run_scenario(scenario)
