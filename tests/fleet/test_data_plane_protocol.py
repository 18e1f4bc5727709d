"""Quotas, keys that are taken away, the lease on the configuration, and priorities."""

from __future__ import annotations

import asyncio
import socket

from rosechute.data_plane.request_state import RequestState
from rosechute.proxy.http1.client import ClientConnection
from tests.fleet.data_site import (
    Answer,
    Call,
    Script,
    Site,
    SiteCase,
    Talk,
    configuration,
    plain,
    route,
    until_closed,
)


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


async def resets_late(talk: Talk, call: Call) -> None:
    """Fails after a while, so that a request may be repeated."""
    await asyncio.sleep(0.3)
    talk.reset()


async def streams_slowly(talk: Talk, call: Call) -> None:
    """An event each tenth of a second, for as long as its connection lasts."""
    talk.begin()
    for number in range(1, 1000):
        if talk.reader.at_eof():
            raise ConnectionError
        talk.event(number)
        await asyncio.sleep(0.1)


class Timeouts(SiteCase):
    """CONFIG: whatever a request waits for, it is answered when its route's time is over."""

    def bounded(self, answer: Answer, begun: float) -> None:
        self.assertTrue(0.9 < answer.at - begun < 1.0, answer.at - begun)

    async def short(self, **scripts: Script) -> Site:
        """A site whose routes have a second."""
        site = await Site().start(**scripts)
        site.plane.apply_configuration(
            configuration(
                2,
                routes=[
                    route("plain", timeout_ms=1000),
                    route("again", route_type="idempotent", timeout_ms=1000),
                    route("stream", route_type="streaming", gap_aim_ms=500, timeout_ms=1000),
                    route("resume", route_type="streaming", gap_aim_ms=500, timeout_ms=1000, stream_resume=True),
                ],
            ),
            2,
        )
        return site

    def test_at_a_silent_server(self) -> None:
        async def scene() -> None:
            async def only_a_head(talk: Talk, call: Call) -> None:
                talk.begin()
                await until_closed(talk, call)

            for script in (until_closed, resets_late, only_a_head):
                site = await self.short(s1=script, s2=script)
                for path in ("/plain/1", "/again/1", "/stream/1", "/resume/1"):
                    begun = site.loop.time()
                    answer = await site.ask(path, deadline=60_000)
                    self.assertLess(answer.at - begun, 1.0, (script.__name__, path))
                    if script is until_closed:
                        self.bounded(answer, begun)
                        self.assertEqual(answer.status, 504)
                site.close()

        self.play(scene)

    def test_while_its_quota_is_asked_for(self) -> None:
        async def scene() -> None:
            site = await self.short()
            site.quota.held = []
            begun = site.loop.time()
            answer = await site.ask(key="m1", deadline=60_000)
            self.bounded(answer, begun)
            self.assertEqual((answer.status, site.calls), (503, []))
            site.close()

        self.play(scene)

    def test_while_it_waits_for_a_server_or_its_connection(self) -> None:
        async def scene() -> None:
            async def never(*_: object, **__: object) -> None:
                await asyncio.sleep(60)

            site = await self.short(s1=until_closed)
            for connects in (True, False):
                if not connects:
                    site.plane.pool.connect = never  # type: ignore[method-assign, assignment]
                    site.plane.pool.close_all_idle()
                begun = site.loop.time()
                asking = [asyncio.ensure_future(site.ask("/again/1", deadline=60_000)) for _ in range(40)]
                for answer in await asyncio.gather(*asking):
                    self.assertLess(answer.at - begun, 1.0)
            site.close()

        self.play(scene)

    def test_while_the_rest_of_its_body_is_awaited(self) -> None:
        async def scene() -> None:
            site = await Site(memory_mb=66).start(s1=plain)
            site.plane.apply_configuration(configuration(2, routes=[route("plain", timeout_ms=1000)]), 2)
            client = await site.client()
            begun = site.loop.time()
            client.writer.write(
                b"POST /plain/1 HTTP/1.1\r\nHost: app.example\r\nX-Rosechute-Request-Id: b\r\n"
                b"X-Rosechute-Credential: k1\r\nContent-Length: 200000\r\n\r\n" + b"x" * 150000
            )
            answer = await client.answer()
            self.assertLess(answer.at - begun, 1.5)
            self.assertEqual(answer.status, 504)
            site.close()

        self.play(scene)


def is_probed(connection: ClientConnection) -> bool:
    """Return whether the kernel probes that the client lives."""
    assert connection._transport is not None
    client: socket.socket = connection._transport.get_extra_info("socket")
    return bool(client.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))


class DeadlinesHandedOn(SiteCase):
    """BUDGET: servers are told how long the client still waits."""

    def test_each_attempt_ends_with_the_clients_own_deadline(self) -> None:
        async def scene() -> None:
            for path in ("/again/1", "/resume/1"):
                site = await Site().start(s1=resets_late, s2=resets_late, s3=resets_late)
                begun = site.loop.time()
                await site.ask(path, deadline=3000)
                self.assertGreater(len(site.calls), 1)
                for call in site.calls:
                    ends_s = call.at - begun + int(call.headers["x-rosechute-deadline-ms"]) / 1e3
                    self.assertTrue(2.9 < ends_s <= 3.0, ends_s)
                site.close()

        self.play(scene)

    def test_the_time_of_a_slow_upload_is_not_handed_on(self) -> None:
        """The deadline counts from the first byte, also where the body goes on as it comes."""

        async def scene() -> None:
            for size in (1_000, 200_000):
                site = await Site(memory_mb=66).start()
                client = await site.client()
                begun = site.loop.time()
                client.send(deadline=3000, length=size)
                for _ in range(4):
                    await asyncio.sleep(0.2)
                    client.writer.write(b"x" * (size // 4))
                self.assertEqual((await client.answer()).status, 200)
                (call,) = site.calls
                ends_s = call.at - begun + int(call.headers["x-rosechute-deadline-ms"]) / 1e3
                self.assertTrue(2.9 < ends_s <= 3.0, (size, ends_s))
                site.close()

        self.play(scene)

    def test_an_upload_that_outlasts_its_deadline_reaches_no_server(self) -> None:
        async def scene() -> None:
            site = await Site().start()
            client = await site.client()
            client.send(body=b"x", length=2, deadline=300)
            await asyncio.sleep(0.4)
            client.writer.write(b"x")
            self.assertEqual((await client.answer()).status, 503)
            self.assertEqual(site.calls, [])
            site.close()

        self.play(scene)

    def test_a_body_that_pauses_is_awaited_while_its_client_lives(self) -> None:
        async def scene() -> None:
            site = await Site().start()
            client = await site.client()
            client.send(body=b"x", length=2, deadline=9000)
            await asyncio.sleep(2.0)
            (connection,) = site.plane.front.listener.connections
            self.assertFalse(is_probed(connection), "not before its head would have been too late")
            await asyncio.sleep(2.0)
            self.assertTrue(is_probed(connection), "the kernel ends the connection of a client that has died")
            client.writer.write(b"x")
            self.assertEqual((await client.answer()).status, 200)
            site.close()

        self.play(scene)

    def test_without_one_or_with_one_that_is_no_number_it_is_the_routes_time(self) -> None:
        async def scene() -> None:
            site = await Site().start()
            for path in ("/plain/1", "/stream/1"):
                for lines in ((), ("X-Rosechute-Deadline-Ms: soon",), ("X-Rosechute-Deadline-Ms: -1",)):
                    await site.ask(path, *lines, deadline=0)
                    self.assertTrue(4900 < int(site.calls[-1].headers["x-rosechute-deadline-ms"]) <= 5000)
            site.close()

        self.play(scene)

    def test_no_request_runs_at_more_servers_than_its_route_allows(self) -> None:
        async def scene() -> None:
            async def resets(talk: Talk, call: Call) -> None:
                if "/resume" in call.target:
                    talk.begin()
                    talk.event(int(call.headers.get("last-event-id", 0)) + 1)
                    await asyncio.sleep(0.05)
                talk.reset()

            scripts = {f"s{number}": resets for number in range(8)}
            for most in (1, 2, 3):
                site = await Site().start(**scripts)
                site.plane.apply_configuration(
                    configuration(
                        2,
                        routes=[
                            route("again", route_type="idempotent", max_attempts=most),
                            route(
                                "resume",
                                route_type="streaming",
                                gap_aim_ms=500,
                                stream_resume=True,
                                max_attempts=most,
                            ),
                        ],
                    ),
                    2,
                )
                for path in ("/again/1", "/resume/1"):
                    before = len(site.calls)
                    await site.ask(path)
                    self.assertEqual(len(site.calls) - before, most)
                site.close()

        self.play(scene)


class Priorities(SiteCase):
    def test_the_tenants_priority_stands_before_the_routes(self) -> None:
        async def scene() -> None:
            site = await Site().start()
            site.plane.apply_configuration(
                configuration(
                    2,
                    routes=[route("plain"), route("first", priority=0)],
                    tenants=[
                        {"name": "a", "api_keys": ["a"], "priority": 0},
                        {"name": "b", "api_keys": ["b"], "priority": 3},
                    ],
                ),
                2,
            )
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
                request.admitted.request_id.decode()
                for request in site.plane.front.requests.values()
                if request.state is RequestState.QUEUED
            ]
            self.assertGreater(len(waiting), 0)
            for name in waiting:
                clients[name].reset()
            await asyncio.sleep(0.01)
            self.assertFalse([r for r in site.plane.front.requests.values() if r.state is RequestState.QUEUED])
            await asyncio.sleep(4.0)
            self.assertTrue({call.id for call in site.calls}.isdisjoint(waiting))
            site.close()

        self.play(scene)

    def test_nothing_of_a_request_reaches_a_server_half_a_second_after_its_client_left(self) -> None:
        """GONE: whatever it was doing, and the server at work on it sees its connection close at once."""

        async def scene(at_work: Script) -> None:
            for path in ("/again/1", "/resume/1", "/stream/1", "/plain/1"):
                for leave in ("close", "reset", "half close"):
                    for after_s in (0.02, 0.4):  # before and after the first attempt has failed
                        site = await Site().start(s1=at_work, s2=at_work)
                        client = await site.client()
                        client.send(path)
                        await asyncio.sleep(after_s)
                        left_at = site.loop.time()
                        if leave == "half close":
                            client.writer.write_eof()
                        else:
                            getattr(client, leave)()
                        await asyncio.sleep(0.1)
                        self.assertFalse(site.plane.front.requests or site.router._pending)
                        servers = site.plane.pool._servers.values()
                        self.assertEqual(sum(server.open_count - len(server.idle) for server in servers), 0)
                        await asyncio.sleep(1.0)
                        self.assertFalse([call for call in site.calls if call.at > left_at + 0.1], (path, leave))
                        site.close()

        for at_work in (resets_late, until_closed, streams_slowly):
            self.play(lambda at_work=at_work: scene(at_work))  # type: ignore[misc]

    def test_a_client_that_leaves_with_a_long_answer_unread_ends_the_servers_work(self) -> None:
        async def scene() -> None:
            async def flood(talk: Talk, call: Call) -> None:
                talk.begin()
                for number in range(1, 4000):
                    talk.piece(b"id: %d\ndata: %s\n\n" % (number, b"x" * 4000))
                    await talk.writer.drain()

            for path in ("/stream/1", "/resume/1"):
                for leave in ("close", "reset"):
                    site = await Site(memory_mb=118).start(s1=flood)
                    client = await site.client()
                    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
                    client.send(path)
                    client.send(path)  # one more behind it, which nobody waits for either
                    await asyncio.sleep(1.0)
                    self.assertFalse(site.servers["s1"].closed)
                    getattr(client, leave)()
                    await asyncio.sleep(0.4)
                    self.assertEqual(len(site.servers["s1"].closed), 1)
                    self.assertEqual((len(site.calls), len(site.plane.front.requests)), (1, 0))
                    site.close()

        self.play(scene)

    def test_a_client_that_leaves_while_a_repeat_waits_for_a_server(self) -> None:
        async def scene() -> None:
            site = await Site().start(s1=resets_late, s2=resets_late)
            client = await site.client()
            client.send("/again/1")
            await asyncio.sleep(0.2)
            site.router._try_dispatch = lambda *_: None  # type: ignore[method-assign]  # no server has room for a repeat
            await asyncio.sleep(0.2)
            (request,) = site.plane.front.requests.values()
            self.assertIs(request.state, RequestState.QUEUED)
            self.assertEqual(len(site.calls), 1)
            client.close()
            await asyncio.sleep(0.1)
            calls = len(site.calls)
            self.assertFalse(site.plane.front.requests or site.router._pending)
            await asyncio.sleep(3.0)
            self.assertEqual(len(site.calls), calls)
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
            self.assertEqual(len(site.plane.pool.find("s1").idle), 1)  # type: ignore[union-attr]
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
