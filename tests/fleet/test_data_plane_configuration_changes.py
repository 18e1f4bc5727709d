"""What clients are told while the configuration may be out of date, and what is under way as it changes."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from tests.fleet.data_site import Call, Site, SiteCase, Talk, configuration, route
from tests.fleet.test_data_plane_streams import streaming


class Denials(SiteCase):
    """401 and 404 are for good: a client does not try again."""

    def test_nobody_is_denied_by_a_machine_that_knows_no_configuration(self) -> None:
        async def scene() -> None:
            site = Site()
            await site.plane.start()
            asked: tuple[tuple[str, dict[str, Any]], ...] = (
                ("/plain/1", {}),
                ("/nowhere", {}),
                ("/plain/1", {"key": "unknown"}),
                ("/plain/1", {"key": None}),
                ("/plain/1", {"body": bytes(5 << 20)}),
            )
            for path, more in asked:
                answer = await site.ask(path, **more)
                self.assertEqual(answer.status, 503)
                self.assertGreater(float(answer.headers["retry-after"]), 0.0)
            self.assertEqual((await site.ask("/plain/1", "X-Long: " + "a" * 60000)).status, 503)
            client = await site.client()
            client.writer.write(b"POST /plain/1 HTTP/1.1\r\nHost: app.example\r\n")
            await asyncio.sleep(4.0)
            client.writer.write(b"X-Rosechute-Request-Id: slow\r\n\r\n")
            self.assertEqual((await client.answer()).status, 503)
            site.close()

        self.play(scene)

    def test_nobody_is_denied_by_a_configuration_that_may_be_out_of_date(self) -> None:
        async def scene() -> None:
            site = await Site().start()
            for age_s, missing, without_key in ((0.9, 404, 401), (1.1, 503, 503), (20.0, 503, 503)):
                site.fresh.at = site.loop.time() - age_s
                self.assertEqual((await site.ask("/nowhere")).status, missing)
                self.assertEqual((await site.ask(key="unknown")).status, without_key)
            site.fresh.at = float("-inf")
            self.assertEqual((await site.ask("/nowhere")).status, 503)
            self.assertFalse(site.calls)
            site.close()

        self.play(scene)

    def test_nor_once_it_has_waited(self) -> None:
        async def scene() -> None:
            site = await Site().start()
            site.quota.held = []
            client = await site.client()
            client.send(key="m1")
            await asyncio.sleep(0.01)
            site.plane.apply_configuration(configuration(2, routes=[]), 2)
            site.fresh.at = site.loop.time() - 1.1
            site.quota.held[0](True, 0.0)
            answer = await client.answer()
            self.assertEqual((answer.status, site.calls), (503, []))
            site.close()

        self.play(scene)


class UnderWay(SiteCase):
    """A configuration or a reload of the settings leaves alone what is under way."""

    def test_what_a_server_has_is_answered_whole_whatever_changes(self) -> None:
        async def scene() -> None:
            changes: tuple[dict[str, Any], ...] = (
                {"routes": [], "services": []},
                {"routes": [route(name, service="other") for name in ("plain", "stream", "resume")]},
                {"tenants": [{"name": "second", "api_keys": ["k9"]}]},
                {"services": [{"name": "svc", "max_connections": 1}, {"name": "other", "max_connections": 1}]},
                {"routes": [route(name, timeout_ms=1) for name in ("plain", "stream", "resume")]},
                {"limits": dict.fromkeys(("max_header_bytes", "max_body_bytes", "idle_timeout_ms"), 1)},
            )

            async def slow(talk: Talk, call: Call) -> None:
                if call.target.startswith("/plain"):
                    await asyncio.sleep(1.0)
                    talk.answer()
                else:
                    await streaming(10, 0.1)(talk, call)

            for change in changes:
                site = await Site().start(s1=slow)
                paths = ("/plain/1", "/stream/1", "/resume/1")
                asked = [asyncio.ensure_future(site.ask(path, body=b"x" * 1000)) for path in paths]
                await asyncio.sleep(0.3)
                self.assertEqual(len(site.calls), 3)
                site.plane.apply_configuration(configuration(2, **change), 2)
                bounds = msgspec.structs.replace(site.settings.limits, max_fds=264, memory_mb=40)
                site.plane.apply_settings(msgspec.structs.replace(site.settings, limits=bounds))
                site.plane.apply_edges(5)
                for answer in await asyncio.gather(*asked):
                    self.assertEqual((answer.status, answer.whole), (200, True), change)
                self.assertEqual(len(site.calls), 3)
                site.close()

        self.play(scene)

    def test_a_shorter_idle_time_does_not_close_a_connection_that_rests_by_the_one_before(self) -> None:
        async def scene() -> None:
            site = await Site().start()
            old, late = await site.client(), await site.client()
            for client in (old, late):
                await client.ask()
            limits = {"max_header_bytes": 8192, "max_body_bytes": 10, "header_timeout_ms": 3000}
            await asyncio.sleep(1.0)
            site.plane.apply_configuration(configuration(2, limits={**limits, "idle_timeout_ms": 2000}), 2)
            await asyncio.sleep(11.0)  # four fifths of the former idle time
            self.assertEqual((await old.ask(body=b"x" * 100)).status, 200)
            await asyncio.sleep(6.0)  # since then the former one holds for nobody
            self.assertEqual(await late.ended(), b"")
            self.assertEqual(await old.ended(), b"")
            fresh = await site.client()
            self.assertEqual((await fresh.ask(body=b"x" * 100)).status, 413)
            site.close()

        self.play(scene)

    def test_a_request_that_has_come_unread_is_answered_as_idle_connections_are_closed(self) -> None:
        async def scene() -> None:
            site = await Site().start()
            asks, rests = await site.client(), await site.client()
            for client in (asks, rests):
                await client.ask()
            asks.send()
            site.plane.front.listener.close()  # in the same turn: the request is in the kernel
            self.assertEqual((await asks.answer()).status, 200)
            self.assertEqual(await rests.ended(), b"")
            site.close()

        self.play(scene)

    def test_a_first_request_has_its_time_from_its_first_byte_on(self) -> None:
        async def scene() -> None:
            site = await Site().start()
            client = await site.client()
            await asyncio.sleep(11.0)
            client.writer.write(b"POST /plain/3 HTTP/1.1\r\nHost: app.example\r\n")
            await asyncio.sleep(1.0)
            client.writer.write(
                b"X-Rosechute-Request-Id: three\r\nX-Rosechute-Credential: k1\r\nContent-Length: 8\r\n\r\nhalf"
            )
            await asyncio.sleep(1.0)
            client.writer.write(b"half")
            self.assertEqual((await client.answer()).status, 200)
            self.assertEqual(site.calls[-1].body, b"halfhalf")
            site.close()

        self.play(scene)
