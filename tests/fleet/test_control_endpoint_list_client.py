"""Calls of the platform's endpoint list over loopback: one persistent connection, failures by their reason."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web

from rosechute.control_plane import endpoint_list_client
from rosechute.control_plane.endpoint_list_client import EndpointListClient

from .data_site import SiteCase
from .test_planted_control_machine import free_ports, until


class EndpointListClientTest(SiteCase):
    """Calls of the platform's list over loopback."""

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

    def test_pages_by_their_tokens_over_one_connection(self) -> None:
        async def scene() -> None:
            asked: list[Any] = []

            async def instances(request: web.Request) -> web.Response:
                asked.append((dict(request.query), request.transport))
                return web.json_response({"instances": [], "next_token": "n"})

            runner, client = await self.serve(instances)
            for token in (None, "n"):
                self.assertEqual((await client.fetch(token)).unwrap().next_token, "n")
            self.assertEqual([query for query, _ in asked], [{}, {"page_token": "n"}])
            self.assertIs(asked[0][1], asked[1][1])
            await client.close()
            await client.close()
            self.assertTrue((await client.fetch(None)).unwrap() is not None, "opens again")
            await client.close()
            await runner.cleanup()

        self.play(scene)

    def test_one_connection_that_is_kept_and_closed(self) -> None:
        async def scene() -> None:
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

        self.play(scene)

    def test_another_status_is_a_failure(self) -> None:
        async def scene() -> None:
            async def instances(request: web.Request) -> web.Response:
                return web.json_response({"instances": []}, status=429)

            runner, client = await self.serve(instances)
            self.assertEqual((await client.fetch(None)).failure().reason, "status 429")
            await client.close()
            await runner.cleanup()

        self.play(scene)

    def test_a_call_that_takes_too_long(self) -> None:
        async def scene() -> None:
            async def instances(request: web.Request) -> web.Response:
                await asyncio.sleep(20.0)
                return web.json_response({"instances": []})

            runner, client = await self.serve(instances)
            began = asyncio.get_running_loop().time()
            self.assertIn("no answer within", (await client.fetch(None)).failure().reason)
            self.assertLess(asyncio.get_running_loop().time() - began, 1.5)
            self.assertGreater(endpoint_list_client.CALL_TIMEOUT_S, 0.3)
            await client.close()
            await runner.shutdown()

        self.play(scene)

    def test_nobody_listens(self) -> None:
        async def scene() -> None:
            client = EndpointListClient(f"127.0.0.1:{free_ports(1)[0]}")
            self.assertTrue((await client.fetch(None)).failure().reason)
            await client.close()

        self.play(scene)
