"""Orders of events between clients, servers, the list and the clock that each have to come out right."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace

from rosechute.data_plane.request import ClientRequest
from rosechute.data_plane.request_state import RequestState
from rosechute.routing.model import AttemptResult, RoutingAction, Send, ServerEntry
from tests.fleet.data_site import Call, Script, Site, SiteCase, Talk, configuration, event, plain, route, until_closed
from tests.fleet.test_data_plane_streams import events, streaming


def answering_at(times: dict[str, float]) -> Script:
    """A server that answers at the time that is told."""

    async def script(talk: Talk, call: Call) -> None:
        await asyncio.sleep(times["at"] - asyncio.get_running_loop().time())
        talk.answer()

    return script


class AnswersAndEnds(SiteCase):
    def test_an_answer_and_the_end_of_the_clients_time_in_one_turn_give_one_response(self) -> None:
        async def scene() -> None:
            for shift in (-0.001, 0.0, 0.001):
                times: dict[str, float] = {}
                site = await Site().start(s1=answering_at(times))
                client = await site.client()
                times["at"] = site.loop.time() + 1.0 - 0.02 + shift
                client.send(deadline=1000)
                answer = await client.answer()
                self.assertIn(answer.status, (200, 504))
                self.assertEqual((await client.ask("/nowhere/1")).status, 404)  # nothing else came in between
                site.close()

        self.play(scene)

    def test_an_answer_and_the_clients_end_in_one_turn(self) -> None:
        async def scene() -> None:
            for path in ("/plain/1", "/resume/1", "/stream/1"):
                for leave in ("close", "reset"):
                    site = await Site().start(s1=until_closed)
                    client = await site.client()

                    async def script(talk: Talk, call: Call) -> None:
                        talk.begin()
                        talk.event(1)
                        getattr(client, leave)()  # noqa: B023
                        await until_closed(talk, call)

                    site.servers["s1"].script = script
                    client.send(path)
                    await asyncio.sleep(0.1)
                    self.assertEqual(len(site.servers["s1"].closed), 1)
                    self.assertFalse(site.plane.front.requests or site.router._pending)
                    site.close()

        self.play(scene)

    def test_the_servers_end_and_the_clients_reset_in_one_turn(self) -> None:
        """Found: to end the client's answer failed, and with it the end of the server's connection, which counted as
        open for good."""

        async def scene() -> None:
            problems: list[object] = []
            for path in ("/stream/1", "/resume/1"):
                site = await Site().start(s1=streaming(50))
                site.loop.set_exception_handler(lambda _, context: problems.append(context))
                client = await site.client()
                client.send(path)
                await client.head()
                await client.piece()
                (request,) = site.plane.front.requests.values()
                client.reset()
                request._attempt._connection.wire.abort()  # type: ignore[union-attr]  # before the reset is read
                await asyncio.sleep(0.1)
                self.assertEqual(site.plane.pool.find("s1").open_count, 0)  # type: ignore[union-attr]
                self.assertEqual((problems, len(site.plane.front.requests)), ([], 0))
                site.close()

        self.play(scene)

    def test_an_answer_and_the_drain_of_its_server_in_one_turn(self) -> None:
        async def scene() -> None:
            site = await Site().start(s1=plain)

            async def script(talk: Talk, call: Call) -> None:
                talk.answer()
                site.list(replace(talk.server.entry, ready=False))

            site.servers["s1"].script = script
            client = await site.client()
            self.assertEqual((await client.ask()).status, 200)
            await asyncio.sleep(0.01)
            self.assertFalse(site.plane.pool.find("s1").idle)  # type: ignore[union-attr]
            self.assertEqual((await client.ask()).status, 503)
            site.close()

        self.play(scene)

    def test_interim_answers_come_before_the_response(self) -> None:
        async def scene() -> None:
            async def script(talk: Talk, call: Call) -> None:
                talk.writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
                talk.answer()

            site = await Site().start(s1=script)
            self.assertEqual((await site.ask()).status, 200)
            site.close()

        self.play(scene)

    def test_an_endless_head_ends_as_no_response(self) -> None:
        async def scene() -> None:
            async def script(talk: Talk, call: Call) -> None:
                talk.writer.write(talk.head(200)[:-2])
                for _ in range(40):
                    talk.writer.write(b"X-More: " + b"a" * 1000 + b"\r\n")
                await until_closed(talk, call)

            site = await Site().start(s1=script)
            begun = site.loop.time()
            answer = await site.ask()
            self.assertEqual(answer.status, 502)
            self.assertLess(answer.at - begun, 0.2)
            site.close()

        self.play(scene)

    def test_an_answer_with_two_lengths_or_without_the_id_is_none(self) -> None:
        async def scene() -> None:
            async def two(talk: Talk, call: Call) -> None:
                talk.writer.write(talk.head(200, "Content-Length: 4", "Content-Length: 5") + b"whole")

            async def none(talk: Talk, call: Call) -> None:
                talk.writer.write(b"HTTP/1.1 200 OK\r\nX-Rosechute-Server-Stamp: s\r\nContent-Length: 4\r\n\r\nbody")

            for script in (two, none):
                site = await Site().start(s1=script)
                self.assertEqual((await site.ask()).status, 502)
                site.close()

        self.play(scene)

    def test_an_answer_with_two_ids_is_none(self) -> None:
        """Found: a short answer that named another request beside ours was passed on."""

        async def scene() -> None:
            for ours_first in (True, False):

                async def two(talk: Talk, call: Call) -> None:
                    names = (call.id, "another") if ours_first else ("another", call.id)  # noqa: B023
                    fields = "".join(f"X-Rosechute-Request-Id: {name}\r\n" for name in names)
                    head = f"HTTP/1.1 200 OK\r\n{fields}X-Rosechute-Server-Stamp: s\r\nContent-Length: 4\r\n\r\n"
                    talk.writer.write(head.encode() + b"body")

                site = await Site().start(s1=two)
                self.assertEqual((await site.ask()).status, 502)
                await asyncio.sleep(0.1)
                self.assertEqual(site.plane.pool.find("s1").open_count, 0)  # type: ignore[union-attr]
                site.close()

        self.play(scene)

    def test_a_success_that_is_marked_as_not_executed_is_none(self) -> None:
        """Found: streams and long answers were passed on that said of themselves that they had not run."""

        async def scene() -> None:
            async def marked(talk: Talk, call: Call) -> None:
                if call.target.startswith("/stream"):
                    talk.begin("X-Rosechute-Not-Executed: 1")
                    talk.event(1)
                    await asyncio.sleep(0.1)
                    talk.finish()
                elif call.target.endswith("long"):
                    talk.writer.write(talk.head(200, "Content-Length: 100000", "X-Rosechute-Not-Executed: 1"))
                    await asyncio.sleep(0.1)
                    talk.writer.write(b"x" * 100_000)
                else:
                    talk.answer(200, b"x", "X-Rosechute-Not-Executed: 1")

            for path in ("/plain/short", "/plain/long", "/stream/1"):
                site = await Site().start(s1=marked, s2=marked)
                self.assertEqual((await site.ask(path)).status, 502, path)
                self.assertEqual(len(site.calls), 1)
                site.close()

        self.play(scene)

    def test_a_second_answer_to_one_request_goes_to_nobody(self) -> None:
        async def scene() -> None:
            async def twice(talk: Talk, call: Call) -> None:
                talk.answer(200, call.id.encode())
                await talk.writer.drain()
                await asyncio.sleep(0.02)
                talk.answer(200, call.id.encode())

            site = await Site().start(s1=twice)
            client = await site.client()
            for number in range(4):
                answer = await client.ask(id=f"n{number}")
                self.assertEqual(answer.body, b"n%d" % number)
                await asyncio.sleep(0.015 * number)
            site.close()

        self.play(scene)

    def test_a_stream_that_ends_whole_is_whole_even_without_its_last_blank_line(self) -> None:
        async def scene() -> None:
            async def script(talk: Talk, call: Call) -> None:
                talk.begin()
                talk.event(1)
                await asyncio.sleep(0.1)
                talk.piece(b"id: 2\ndata: end")
                await asyncio.sleep(0.1)
                talk.finish()

            site = await Site().start(s1=script)
            answer = await site.ask("/resume/1")
            self.assertEqual((answer.whole, answer.body), (True, event(1) + b"id: 2\ndata: end"))
            site.close()

        self.play(scene)


class RequestsAndServers(SiteCase):
    def test_a_server_that_closes_as_a_request_is_written(self) -> None:
        async def scene() -> None:
            for path, status in (("/plain/1", 502), ("/again/1", 200)):
                site = await Site().start(s1=plain, s2=plain)
                for server in site.servers.values():
                    server.entry = replace(server.entry)
                client = await site.client()
                await client.ask(path)
                used = next(server for server in site.servers.values() if server.calls)

                async def closes(talk: Talk, call: Call) -> None:
                    talk.reset()

                used.script = closes
                statuses = [(await client.ask(path)).status for _ in range(4)]
                self.assertTrue(set(statuses) <= {200, status}, statuses)
                self.assertIn(status, statuses)
                self.assertEqual(
                    len({call.id for call in site.calls if path == "/plain/1"}),
                    len([call for call in site.calls if path == "/plain/1"]),
                )
                site.close()

        self.play(scene)

    def test_a_body_that_has_begun_to_go_is_not_sent_again(self) -> None:
        async def scene() -> None:
            async def half(talk: Talk, call: Call) -> None:
                talk.reset()

            for path in ("/plain/1", "/again/1"):
                site = await Site(memory_mb=66).start(s1=half, s2=half)
                client = await site.client()
                client.writer.write(
                    b"POST %s HTTP/1.1\r\nHost: app.example\r\nX-Rosechute-Request-Id: b\r\n"
                    b"X-Rosechute-Credential: k1\r\nContent-Length: 200000\r\n\r\n" % path.encode() + b"x" * 150000
                )
                await asyncio.sleep(0.05)
                for server in site.servers.values():  # those that read it break off
                    for task in server._tasks:
                        task.cancel()
                answer = await client.answer()
                self.assertEqual(answer.status, 502)
                self.assertEqual(sum(server.connections for server in site.servers.values()), 1)
                site.close()

        self.play(scene)

    def test_a_stream_whose_body_has_gone_is_not_resumed_without_it(self) -> None:
        """Found: it was sent on with the length of a body that was no longer here. A server that answered before it
        had read that body then read the next request on the connection in its place."""

        async def scene() -> None:
            async def breaks(talk: Talk, call: Call) -> None:
                talk.begin()
                talk.event(1)
                await talk.writer.drain()
                await asyncio.sleep(0.05)
                talk.reset()

            site = await Site(memory_mb=66).start(s1=breaks, s2=breaks)
            client = await site.client()
            client.send("/resume/1", body=b"x" * 200_000)
            answer = await client.answer()
            self.assertEqual((answer.status, answer.whole, answer.body), (200, False, event(1)))
            await asyncio.sleep(0.5)
            self.assertEqual(sum(server.connections for server in site.servers.values()), 1)
            self.assertEqual([len(call.body) for call in site.calls], [200_000])
            site.close()

        self.play(scene)

    def test_a_body_that_stops_half_way_is_ended_and_its_server_dropped(self) -> None:
        async def scene() -> None:
            site = await Site(memory_mb=66).start(s1=plain)
            client = await site.client()
            client.writer.write(
                b"POST /plain/1 HTTP/1.1\r\nHost: app.example\r\nX-Rosechute-Request-Id: b\r\n"
                b"X-Rosechute-Credential: k1\r\nContent-Length: 200000\r\n\r\n" + b"x" * 150000
            )
            answer = await client.answer()
            self.assertEqual(answer.status, 504)  # 408 would promise that no server ran what it had of it
            self.assertEqual(await client.ended(), b"")  # and nothing stands behind it
            await asyncio.sleep(0.1)
            self.assertFalse(site.plane.front.requests or site.calls)
            self.assertEqual(site.plane.budget.used, 0)
            site.close()

        self.play(scene)

    def test_a_server_that_is_replaced_under_its_address_gets_no_connection_of_the_one_before(self) -> None:
        async def scene() -> None:
            site = await Site().start(s1=plain)
            client = await site.client()
            await client.ask()
            server = site.servers["s1"]
            site.list(replace(server.entry, id="s1-again"))
            await client.ask()
            self.assertEqual(server.connections, 2)
            self.assertEqual([c.headers["x-rosechute-expect-instance"] for c in server.calls], ["s1", "s1-again"])
            site.close()

        self.play(scene)

    def test_two_requests_sent_at_once_are_answered_in_order(self) -> None:
        async def scene() -> None:
            async def slow_first(talk: Talk, call: Call) -> None:
                if call.id == "one":
                    await asyncio.sleep(0.3)
                talk.answer(200, call.id.encode())

            site = await Site().start(s1=slow_first)
            client = await site.client()
            for name in ("one", "two", "three"):
                client.send(id=name)
            self.assertEqual([(await client.answer()).body for _ in range(3)], [b"one", b"two", b"three"])
            site.close()

        self.play(scene)

    def test_many_clients_that_leave_in_one_turn(self) -> None:
        async def scene() -> None:
            site = await Site().start(s1=until_closed, s2=until_closed)
            clients = [await site.client() for _ in range(80)]
            for number, client in enumerate(clients):
                client.send(("/plain/1", "/resume/1", "/again/1")[number % 3])
            await asyncio.sleep(0.05)
            for client in clients:
                client.reset()
            await asyncio.sleep(0.2)
            self.assertFalse(site.plane.front.requests or site.router._pending)
            self.assertEqual(len(site.calls), sum(len(server.closed) for server in site.servers.values()))
            site.close()

        self.play(scene)

    def test_a_broken_part_of_the_program_costs_the_request_it_came_from(self) -> None:
        async def scene() -> None:
            site = await Site().start()
            real = ClientRequest.on_server_selected

            def broken(self: ClientRequest, action: object) -> None:
                raise ZeroDivisionError

            ClientRequest.on_server_selected = broken  # type: ignore[method-assign, assignment]
            try:
                self.assertEqual((await site.ask()).status, 503)
            finally:
                ClientRequest.on_server_selected = real  # type: ignore[method-assign]
            self.assertEqual((await site.ask()).status, 200)
            self.assertFalse(site.plane.front.requests)
            site.close()

        self.play(scene)


class Configurations(SiteCase):
    def test_a_request_that_may_not_be_repeated_any_more_is_not_sent_again(self) -> None:
        async def scene() -> None:
            site = await Site().start(s1=plain)

            async def changes(talk: Talk, call: Call) -> None:
                site.plane.apply_configuration(
                    configuration(
                        2,
                        routes=[
                            route("again"),
                            route("resume", route_type="streaming", gap_aim_ms=500),
                        ],
                    ),
                    site.plane._active_configuration.sequence + 1,
                )  # type: ignore[union-attr]
                if "/resume" in call.target:
                    talk.begin()
                    talk.event(1)
                    await talk.writer.drain()
                talk.reset()

            for path in ("/again/1", "/resume/1"):
                await site.serve("svc", s1=changes, s2=changes)
                site.plane.apply_configuration(configuration(3), site.plane._active_configuration.sequence + 1)  # type: ignore[union-attr]
                before = len(site.calls)
                if path == "/again/1":
                    self.assertEqual((await site.ask(path)).status, 502)
                else:
                    self.assertFalse((await site.ask(path)).whole)
                self.assertEqual(len(site.calls), 1, before)
                site.servers.clear()
            site.close()

        self.play(scene)


class ClientsThatLeave(SiteCase):
    def test_much_is_sent_at_once_and_the_client_closes(self) -> None:
        async def scene() -> None:
            async def slow(talk: Talk, call: Call) -> None:
                await asyncio.sleep(0.2)
                talk.answer()

            for leave in ("close", "reset"):
                site = await Site().start(s1=slow)
                client = await site.client()
                for _ in range(40):  # more than is read ahead: the client is not read from
                    client.send()
                await asyncio.sleep(0.1)
                getattr(client, leave)()
                await asyncio.sleep(1.0)
                self.assertLessEqual(len(site.calls), 2)
                self.assertFalse(site.plane.front.requests)
                site.close()

        self.play(scene)

    def test_a_long_body_that_no_server_got_is_let_go_of(self) -> None:
        """Found: what a server had not taken yet of a body that was all in counted as held for good."""

        async def scene() -> None:
            head = (
                b"POST /plain/1 HTTP/1.1\r\nHost: app.example\r\nX-Rosechute-Request-Id: b\r\n"
                b"X-Rosechute-Credential: k1\r\nX-Rosechute-Deadline-Ms: 1000\r\nContent-Length: 200000\r\n\r\n"
            )
            for ends in ("client leaves", "time is over"):
                site = await Site(memory_mb=66).start(s1=until_closed)
                client = await site.client()
                client.writer.write(head + b"x" * 150_000)
                await asyncio.sleep(0.1)
                (request,) = site.plane.front.requests.values()
                request._attempt._connection.wire._blocked = True  # type: ignore[union-attr]  # the server reads no more
                client.writer.write(b"x" * 50_000)
                await asyncio.sleep(0.1)
                self.assertTrue(request.message.complete)
                self.assertEqual(site.plane.budget.used, 50_000)
                if ends == "client leaves":
                    client.reset()
                else:
                    self.assertEqual((await client.answer()).status, 504)
                await asyncio.sleep(0.1)
                self.assertEqual((site.plane.budget.used, len(site.plane.front.requests)), (0, 0), ends)
                site.close()

        self.play(scene)

    def test_a_client_that_leaves_while_its_body_goes_out(self) -> None:
        async def scene() -> None:
            site = await Site(memory_mb=66).start(s1=plain)
            client = await site.client()
            client.writer.write(
                b"POST /plain/1 HTTP/1.1\r\nHost: app.example\r\nX-Rosechute-Request-Id: b\r\n"
                b"X-Rosechute-Credential: k1\r\nContent-Length: 200000\r\n\r\n" + b"x" * 150000
            )
            await asyncio.sleep(0.1)
            client.reset()
            await asyncio.sleep(0.1)
            self.assertFalse(site.plane.front.requests or site.calls)
            self.assertEqual((site.plane.budget.used, site.plane.pool.find("s1").open_count), (0, 0))  # type: ignore[union-attr]
            site.close()

        self.play(scene)


class NotReadYet(SiteCase):
    def test_a_timer_that_comes_before_what_has_come_is_read_ends_no_stream(self) -> None:
        async def scene() -> None:
            site = await Site().start(s1=streaming(60), s2=streaming(60))
            answer = asyncio.ensure_future(site.ask("/resume/1"))
            await asyncio.sleep(0.5)
            site.loop._jump.now += 3.5  # type: ignore[attr-defined]
            (request,) = site.plane.front.requests.values()
            request._inactivity.check()  # as on a loop that calls timers before it reads
            self.assertIs(request.state, RequestState.STREAMING)
            self.assertFalse((await answer).whole)  # its client's time is over
            self.assertEqual(len(site.calls), 1)
            site.close()

        self.play(scene)

    def test_a_client_that_has_left_unseen_is_not_sent_for(self) -> None:
        async def scene() -> None:
            site = await Site().start()
            await site.ask()  # leaves a connection that can be written to at once
            site.quota.held = []
            client = await site.client()
            client.send(key="m1")
            await asyncio.sleep(0.1)
            client.writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
            site.quota.held[0](True, 0.0)  # in the same turn: its end has come and is not read
            await asyncio.sleep(0.1)
            self.assertEqual((len(site.calls), len(site.plane.front.requests)), (1, 0))
            site.close()

        self.play(scene)

    def test_a_connection_whose_end_has_come_unseen_is_not_taken(self) -> None:
        async def scene() -> None:
            site = await Site().start()
            with socket.create_server(("127.0.0.1", 0)) as listening:
                site.list(ServerEntry("raw", f"127.0.0.1:{listening.getsockname()[1]}", "east", 8, True))
                client = await site.client()
                client.send(id="one")
                await asyncio.sleep(0.01)
                accepted, _ = listening.accept()
                accepted.recv(65536)
                accepted.sendall(
                    b"HTTP/1.1 200 OK\r\nX-Rosechute-Request-Id: one\r\nX-Rosechute-Server-Stamp: s\r\n"
                    b"Content-Length: 0\r\n\r\n"
                )
                self.assertEqual((await client.answer()).status, 200)
                server = site.plane.pool.find("raw")
                assert server is not None
                self.assertEqual(len(server.idle), 1)
                accepted.close()
                self.assertIsNone(site.plane.pool.acquire_idle(server))
            site.close()

        self.play(scene)


class CarelessRouter(SiteCase):
    def test_however_the_router_answers_nothing_that_may_have_run_is_sent_again(self) -> None:
        async def scene() -> None:
            async def reset(talk: Talk, call: Call) -> None:
                talk.reset()

            site = await Site().start(s1=reset)
            entry = site.servers["s1"].entry
            careless = site.router.report

            def report(
                now: float, ticket: int, server_id: str, result: AttemptResult, again: bool
            ) -> list[RoutingAction]:
                careless(now, ticket, server_id, result, again)
                return [Send(ticket, entry.id, entry.address, False)]

            site.router.report = report  # type: ignore[method-assign]
            for path in ("/plain/1", "/stream/1"):
                self.assertEqual((await site.ask(path)).status, 502)
            self.assertEqual(len(site.calls), 2)
            site.close()

        self.play(scene)


class StandingStill(SiteCase):
    def test_events_that_came_while_the_process_stood_still_count(self) -> None:
        async def scene() -> None:
            async def script(talk: Talk, call: Call) -> None:
                talk.begin()
                talk.event(1)
                await asyncio.sleep(0.1)
                talk.event(2)
                site.loop._jump.now += 6.0  # type: ignore[attr-defined]
                await asyncio.sleep(0.5)
                talk.event(3)
                talk.finish()

            site = await Site().start(s1=script, s2=streaming(3))
            site.list(site.servers["s1"].entry)
            client = await site.client()
            site.plane.apply_configuration(
                configuration(
                    2,
                    routes=[
                        route("resume", route_type="streaming", gap_aim_ms=500, stream_resume=True, timeout_ms=15000),
                    ],
                ),
                2,
            )
            client.send("/resume/1", deadline=15000)
            await client.head()
            body = b""
            while piece := await client.piece():
                body += piece
            self.assertEqual((body, len(site.calls)), (events(1, 3), 1))
            site.close()

        self.play(scene)

    def test_after_standing_still_no_key_is_served_on_an_old_configuration(self) -> None:
        async def scene() -> None:
            site = await Site().start()
            client = await site.client()
            self.assertEqual((await client.ask()).status, 200)
            site.fresh.at = site.loop.time()
            site.loop._jump.now += 6.0  # type: ignore[attr-defined]
            self.assertEqual((await client.ask()).status, 503)
            self.assertEqual(len(site.calls), 1)
            site.close()

        self.play(scene)
