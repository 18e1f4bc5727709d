"""Quotas, keys that are taken away, the lease on the configuration, and priorities."""

from __future__ import annotations

import asyncio

from rosechute.data.request_state import RequestState
from tests.fleet.data_site import Call, Site, SiteCase, Talk, configuration, plain, route, until_closed


class Quotas(SiteCase):
    def test_a_tenant_spends_by_requests_or_by_tokens_and_once_for_each_request(self) -> None:
        async def scene() -> None:
            async def reset(talk: Talk, call: Call) -> None:
                talk.reset()

            site = await Site().start(s1=reset, s2=plain)
            await site.ask("/again/1", key="m1")
            await site.ask("/again/1", "X-Rosechute-Token-Count: 1460,80", key="t1")
            await site.ask("/again/1", key="t1")
            await site.ask("/again/1")  # no limit
            self.assertEqual(site.quota.spent, [("metered", 1), ("tokens", 1540), ("tokens", 150)])
            site.close()
        self.play(scene)

    def test_beyond_its_quota_it_is_told_when_to_come_back(self) -> None:
        async def scene() -> None:
            site = await Site().start()
            site.quota.left["metered"] = 2
            statuses = [(await site.ask(key="m1")).status for _ in range(4)]
            self.assertEqual(statuses, [200, 200, 429, 429])
            answer = await site.ask(key="m1", id="told")
            self.assertEqual(answer.headers["retry-after"], "0.250")
            self.assertEqual(answer.headers["x-rosechute-request-id"], "told")
            self.assertEqual(len(site.calls), 2)
            site.close()
        self.play(scene)

    def test_a_client_that_leaves_while_its_quota_is_asked_for_is_not_served(self) -> None:
        async def scene() -> None:
            site = await Site().start()
            site.quota.held = []
            client = await site.client()
            client.send(key="m1")
            await asyncio.sleep(0.01)
            client.close()
            await asyncio.sleep(0.01)
            site.quota.held[0](True, 0.0)
            await asyncio.sleep(0.5)
            self.assertFalse(site.calls or site.plane.front.requests)
            site.close()
        self.play(scene)

    def test_a_quota_that_never_tells_is_a_promise_in_time(self) -> None:
        async def scene() -> None:
            site = await Site().start()
            site.quota.held = []
            begun = site.loop.time()
            answer = await site.ask(key="m1", deadline=1000)
            self.assertEqual(answer.status, 503)
            self.assertLess(answer.at - begun, 1.0)
            site.quota.held[0](True, 0.0)
            await asyncio.sleep(0.1)
            self.assertFalse(site.calls)
            site.close()
        self.play(scene)


class Keys(SiteCase):
    def test_without_the_lease_only_routes_without_keys_are_served(self) -> None:
        async def scene() -> None:
            site = await Site().start()
            now = site.loop.time()
            site.fresh.at = now - 4.6
            self.assertEqual((await site.ask()).status, 200)
            site.fresh.at = now - 4.8
            answer = await site.ask()
            self.assertEqual(answer.status, 503)
            self.assertIn("retry-after", answer.headers)
            self.assertEqual((await site.ask("/open/1")).status, 200)
            self.assertEqual(len(site.calls), 2)
            site.close()
        self.play(scene)

    def test_a_request_that_waited_is_not_sent_once_the_lease_has_ended(self) -> None:
        async def scene() -> None:
            site = await Site().start()
            site.quota.held = []
            client = await site.client()
            client.send(key="m1")
            await asyncio.sleep(0.01)
            site.fresh.at = site.loop.time() - 4.8
            site.quota.held[0](True, 0.0)
            answer = await client.answer()
            self.assertEqual((answer.status, site.calls), (503, []))
            site.close()
        self.play(scene)

    def test_a_request_that_waited_is_not_sent_once_its_key_or_route_is_gone(self) -> None:
        async def scene() -> None:
            without_key = {"tenants": [{"name": "first", "api_keys": ["k1"]}]}
            for changes, status in ((without_key, 401), ({"routes": []}, 404)):
                site = await Site().start()
                site.quota.held = []
                client = await site.client()
                client.send(key="m1")
                await asyncio.sleep(0.01)
                site.plane.apply_configuration(configuration(2, **changes), 2)
                site.quota.held[0](True, 0.0)
                answer = await client.answer()
                self.assertEqual((answer.status, site.calls), (status, []))
                site.close()
        self.play(scene)

    def test_a_request_whose_key_is_another_tenants_by_now_is_not_sent_under_the_first_name(self) -> None:
        async def scene() -> None:
            site = await Site().start()
            site.quota.held = []
            client = await site.client()
            client.send(key="m1")
            await asyncio.sleep(0.01)
            site.plane.apply_configuration(configuration(2, tenants=[{"name": "second", "api_keys": ["m1"]}]), 2)
            site.quota.held[0](True, 0.0)
            answer = await client.answer()
            self.assertEqual((answer.status, site.calls), (503, []))
            site.close()
        self.play(scene)

    def test_a_key_that_is_taken_away_ends_on_connections_that_are_open(self) -> None:
        async def scene() -> None:
            site = await Site().start()
            client = await site.client()
            self.assertEqual((await client.ask(key="k2")).status, 200)
            site.plane.apply_configuration(configuration(2, tenants=[{"name": "first", "api_keys": ["k1"]}]), 2)
            self.assertEqual((await client.ask(key="k2")).status, 401)
            self.assertEqual((await client.ask(key="k1")).status, 200)
            site.close()
        self.play(scene)

    def test_a_stream_is_not_resumed_without_the_lease(self) -> None:
        async def scene() -> None:
            async def breaks(talk: Talk, call: Call) -> None:
                talk.begin()
                talk.event(1)
                await asyncio.sleep(1.0)
                talk.reset()

            site = await Site().start(s1=breaks, s2=breaks)
            client = await site.client()
            client.send("/resume/1")
            await client.head()
            await client.piece()
            site.fresh.at = site.loop.time() - 4.0
            self.assertEqual(await client.ended(), b"")
            self.assertEqual(len(site.calls), 1)
            site.close()
        self.play(scene)


class Priorities(SiteCase):
    def test_the_tenants_priority_stands_before_the_routes(self) -> None:
        async def scene() -> None:
            site = await Site().start()
            site.plane.apply_configuration(configuration(
                2, routes=[route("plain"), route("first", priority=0)],
                tenants=[{"name": "a", "api_keys": ["a"], "priority": 0}, {"name": "b", "api_keys": ["b"],
                                                                          "priority": 3}],
            ), 2)
            for path, key in (("/first/1", "a"), ("/plain/1", "a"), ("/first/1", "b"), ("/plain/1", "b")):
                await site.ask(path, key=key)
            priorities = [int(call.headers["priority"]) for call in site.calls]
            self.assertEqual(priorities, sorted(priorities))
            self.assertEqual(len(set(priorities)), 4)
            site.close()
        self.play(scene)


class Leaving(SiteCase):
    def test_a_request_whose_client_left_while_it_waited_is_not_sent(self) -> None:
        async def scene() -> None:
            site = await Site().start(s1=until_closed)
            clients = {}
            for _ in range(60):  # until some wait
                client = await site.client()
                clients[client.send(deadline=3000)] = client
            await asyncio.sleep(0.1)
            waiting = [
                request.admitted.request_id.decode() for request in site.plane.front.requests.values()
                if request.state is RequestState.WAITING
            ]
            self.assertGreater(len(waiting), 0)
            for name in waiting:
                clients[name].reset()
            await asyncio.sleep(0.01)
            self.assertFalse([r for r in site.plane.front.requests.values() if r.state is RequestState.WAITING])
            await asyncio.sleep(4.0)
            self.assertTrue({call.id for call in site.calls}.isdisjoint(waiting))
            site.close()
        self.play(scene)

    def test_a_client_that_leaves_while_its_connection_comes_up_costs_the_server_nothing(self) -> None:
        async def scene() -> None:
            site = await Site().start()
            come, go = asyncio.Event(), asyncio.Event()
            connect = site.loop.create_connection

            async def slow(*arguments: object, **more: object) -> object:
                come.set()
                await go.wait()
                return await connect(*arguments, **more)  # type: ignore[call-overload]

            client = await site.client()
            site.loop.create_connection = slow  # type: ignore[method-assign, assignment]
            client.send()
            await come.wait()
            client.close()
            await asyncio.sleep(0.05)
            go.set()
            await asyncio.sleep(0.2)
            self.assertEqual((site.calls, len(site.plane.front.requests)), ([], 0))
            self.assertEqual(len(site.plane.servers.find("s1").idle), 1)  # type: ignore[union-attr]
            site.close()
        self.play(scene)

    def test_a_server_that_begins_to_drain_while_a_connection_comes_up_gets_nothing(self) -> None:
        async def scene() -> None:
            site = await Site().start(s1=plain)
            come, go = asyncio.Event(), asyncio.Event()
            connect = site.loop.create_connection

            async def slow(*arguments: object, **more: object) -> object:
                come.set()
                await go.wait()
                return await connect(*arguments, **more)  # type: ignore[call-overload]

            client = await site.client()
            site.loop.create_connection = slow  # type: ignore[method-assign, assignment]
            client.send()
            await come.wait()
            site.loop.create_connection = connect  # type: ignore[method-assign]
            await site.serve("svc", s2=plain)
            go.set()
            self.assertEqual((await client.answer()).status, 200)
            self.assertEqual((len(site.servers["s1"].calls), len(site.servers["s2"].calls)), (0, 1))
            site.close()
        self.play(scene)
