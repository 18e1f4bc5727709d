"""Connections to servers without sockets: which one is taken, kept, closed, and how many there are."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import Any
from unittest import mock

from rosechute.data_plane import connection_pool, request_state
from rosechute.data_plane.connection_pool import (
    DEFAULT_IDLE_TIMEOUT_S,
    SWEEP_INTERVAL_S,
    ConnectionPool,
    PooledConnection,
    ServerConnections,
)
from rosechute.data_plane.request_state import InvalidTransitionError, RequestState, validated_transition
from rosechute.proxy.http1.connection import Reply
from rosechute.routing.model import ServerEntry

from .test_planted_data_plane_requests import NOW, Loop


class FakeWire:
    """In place of a connection."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        self.lost_told = arguments[0] if arguments else None
        self.options = options
        self.owner: Any = None
        self.done: list[str] = []
        self.reusable, self.lost, self.is_silent = True, False, True

    def silent(self) -> bool:
        return self.is_silent

    def close(self) -> None:
        self.done.append("close")

    def abort(self) -> None:
        self.done.append("abort")


class ConnectionPoolTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = Loop()
        self.transport = SimpleNamespace(get_extra_info=lambda name: self.socket)
        self.socket = mock.Mock()
        self.dialed: list[tuple[str, int]] = []
        self.error: Exception | None = None
        untyped: Any = self.loop
        untyped.create_connection = self.create_connection
        untyped.call_later = lambda seconds, call: self.loop.call_at(self.loop.now + seconds, call)
        patch = mock.patch.object(connection_pool, "Connection", FakeWire)
        patch.start()
        self.addCleanup(patch.stop)
        self.budget: Any = object()
        self.pool = ConnectionPool(untyped, self.budget, 10)
        self.name_servers("s1", "s2")

    async def create_connection(self, factory: Any, host: str, port: int) -> Any:
        self.dialed.append((host, port))
        wire = factory()
        if self.error is not None:
            raise self.error
        return self.transport, wire

    def name_servers(self, *names: str, service: str = "svc", ready: bool = True, host: str = "10.0.0.1") -> None:
        entries = [ServerEntry(name, f"{host}:{name[1:]}", "z", 8, ready) for name in names]
        self.pool.apply(service, entries)

    def server(self, name: str = "s1") -> ServerConnections:
        found = self.pool.find(name)
        assert found is not None
        return found

    def connect(self, name: str = "s1") -> PooledConnection:
        work = self.pool.connect(self.server(name))
        with mock.patch("asyncio.timeout", lambda seconds: Timeout()):
            try:
                work.send(None)
            except StopIteration as done:
                link: PooledConnection = done.value
                return link
        raise AssertionError("it waits")

    def idle(self, name: str = "s1", answer: Reply | None = None) -> PooledConnection:
        link = self.connect(name)
        self.pool.release(link, answer or Reply(200, [], b""))
        return link

    def wire(self, link: PooledConnection) -> Any:
        return link.wire

    def closed(self, link: PooledConnection) -> bool:
        return "close" in self.wire(link).done

    # --- the list

    def test_the_whole_list_of_a_service(self) -> None:
        self.name_servers("t1", service="other")
        self.name_servers("s2", "s3")
        listed = [bool(self.pool.find(name)) for name in ("s1", "s2", "s3", "t1")]
        self.assertEqual(listed, [False, True, True, True])
        self.assertTrue(self.pool.has_ready_server("svc"))
        self.assertFalse(self.pool.has_ready_server("none"))
        self.name_servers("s2", "s3", ready=False)
        self.assertFalse(self.pool.has_ready_server("svc"))
        self.pool.forget_service("svc")
        self.assertIsNone(self.pool.find("s2"))

    def test_a_server_that_is_gone_is_not_ready_and_its_idle_connections_close(self) -> None:
        server, link = self.server(), self.idle()
        self.name_servers("s2")
        self.assertEqual((server.ready, self.closed(link), server.open_count), (False, True, 0))

    def test_a_server_that_drains(self) -> None:
        kept, link = self.server(), self.idle()
        self.name_servers("s1", "s2", ready=False)
        self.assertIs(self.server(), kept)
        self.assertEqual((kept.ready, self.closed(link)), (False, True))
        other = self.idle("s2")
        self.assertTrue(self.closed(other), "nothing is kept of it")
        self.name_servers("s1", "s2")
        self.assertTrue(kept.ready)
        link = self.idle()
        self.name_servers("s1", "s2")
        self.assertFalse(self.closed(link))

    def test_another_server_under_the_same_id(self) -> None:
        before, link = self.server(), self.idle()
        self.name_servers("s1", "s2", host="10.0.0.2")
        self.assertIsNot(self.server(), before)
        self.assertEqual((before.ready, self.closed(link), self.server().address), (False, True, "10.0.0.2:1"))
        again = self.server()
        self.name_servers("s1", service="other", host="10.0.0.2")
        self.assertIsNot(self.server(), again)
        self.assertEqual(self.server().service, "other")
        self.name_servers("s2")
        self.assertIsNotNone(self.pool.find("s1"), "it is another service's now")

    # --- connections

    def test_a_new_connection(self) -> None:
        link = self.connect()
        self.assertEqual((self.dialed, self.server().open_count), ([("10.0.0.1", 1)], 1))
        self.assertIs(self.wire(link).owner, link)
        options = self.wire(link).options
        self.assertIs(options["budget"], self.budget)
        self.assertEqual((options["successes"], self.socket.setsockopt.call_count), (range(200, 300), 5))

    def test_no_connection_comes_up(self) -> None:
        self.error = OSError("refused")
        for lost in (False, True):
            abort = mock.patch.object(FakeWire, "abort", lambda wire, lost=lost: lost and wire.lost_told(wire))
            with abort, self.assertRaises(OSError):
                self.connect()
            self.assertEqual((self.server().open_count, self.pool._open_count), (0, 0), "counted once")

    def test_closed_as_soon_as_it_was_up(self) -> None:
        with mock.patch.object(FakeWire, "__init__", lost_at_once), self.assertRaises(ConnectionResetError):
            self.connect()
        self.assertEqual(self.server().open_count, 0)

    def test_the_one_that_rested_longest_is_taken(self) -> None:
        first, second = self.connect(), self.connect()
        for link in (first, second):
            self.pool.release(link, Reply(200, [], b""))
        self.assertEqual([self.pool.acquire_idle(self.server()) for _ in range(3)], [first, second, None])

    def test_not_one_with_unread_bytes_or_past_its_time(self) -> None:
        stray, old = self.idle(), self.idle()
        self.wire(stray).is_silent = False
        good = self.connect()
        old.retire_at = self.loop.now
        self.pool.release(good, None)
        self.assertIs(self.pool.acquire_idle(self.server()), good)
        self.assertEqual((self.closed(stray), self.closed(old), self.server().open_count), (True, True, 1))

    def test_kept_only_where_another_request_may_follow(self) -> None:
        link = self.connect()
        self.wire(link).reusable = False
        self.pool.release(link, Reply(200, [], b""))
        self.assertTrue(self.closed(link))
        link = self.connect()
        self.server().ready = False
        self.pool.release(link, None)
        self.assertTrue(self.closed(link))

    def test_no_more_than_its_share(self) -> None:
        self.pool.set_server_limit("svc", 1)
        first, second = self.connect(), self.connect()
        self.pool.release(first, None)
        self.assertTrue(self.closed(first))
        self.wire(first).lost_told(self.wire(first))
        self.pool.release(second, None)
        self.assertFalse(self.closed(second))

    def test_a_lowered_share_binds_at_once(self) -> None:
        links = [self.connect() for _ in range(3)]
        for link in links:
            self.pool.release(link, None)
        self.name_servers("t1", service="other")
        other = self.idle("t1")
        self.pool.set_server_limit("svc", 2)
        self.assertEqual([self.closed(link) for link in links], [True, False, False])
        self.pool.set_server_limit("none", 0)
        self.assertFalse(self.closed(other))

    def test_the_longest_rested_of_all_gives_way(self) -> None:
        self.pool.max_connections = 2
        first = self.idle("s1")
        self.loop.now += 1.0
        second = self.idle("s2")
        self.connect("s2")
        self.assertEqual((self.closed(first), self.closed(second)), (True, False))
        self.connect("s2")
        self.assertTrue(self.closed(second))
        with self.assertRaises(OSError):
            self.connect("s1")

    def test_fewer_in_all(self) -> None:
        links = [self.connect() for _ in range(4)]
        for link in links[:3]:
            self.pool.release(link, None)
        self.pool.resize(3)
        self.assertEqual([self.closed(link) for link in links], [True, False, False, False])
        self.pool.resize(0)
        self.assertEqual(
            ([self.closed(link) for link in links], self.pool.max_connections), ([True] * 3 + [False], 0)
        )

    def test_closed_by_hand(self) -> None:
        first, second = self.idle("s1"), self.idle("s2")
        self.pool.close_idle("unknown")
        self.pool.close_idle("s1")
        self.assertEqual((self.closed(first), self.closed(second)), (True, False))
        self.pool.close_all_idle()
        self.assertTrue(self.closed(second))

    # --- how long one rests

    def test_swept_once_it_has_rested_for_its_time(self) -> None:
        first = self.idle()
        self.loop.run_to(NOW + 1.0)
        second = self.connect()
        self.pool.release(second, None)
        self.assertEqual(len(self.loop.pending), 1, "one sweep for all")
        self.loop.run_to(NOW + DEFAULT_IDLE_TIMEOUT_S - 0.01)
        self.assertFalse(self.closed(first))
        self.loop.run_to(NOW + DEFAULT_IDLE_TIMEOUT_S + SWEEP_INTERVAL_S)
        self.assertEqual((self.closed(first), self.closed(second)), (True, False))
        self.loop.run_to(NOW + DEFAULT_IDLE_TIMEOUT_S + 1.0 + 2 * SWEEP_INTERVAL_S)
        self.assertTrue(self.closed(second))
        self.assertEqual(self.loop.pending, [], "nothing rests")
        third = self.idle()
        self.loop.run_to(self.loop.now + DEFAULT_IDLE_TIMEOUT_S + SWEEP_INTERVAL_S)
        self.assertTrue(self.closed(third), "swept again")

    def test_for_as_long_as_the_server_says(self) -> None:
        told = (
            (b"timeout=10", 9.0),
            (b'max=3, Timeout = "5"', 4.0),
            (b"timeout=1", 0.5),
            (b"x", DEFAULT_IDLE_TIMEOUT_S),
        )
        for text, kept in told:
            self.setUp()
            link = self.idle(answer=Reply(200, [(b"keep-alive", text)], b""))
            self.assertEqual(link.retire_at, NOW + kept, text)
        self.assertFalse(self.idle().is_used is False)

    def test_learns_from_a_server_that_closed_one_sooner(self) -> None:
        for used, rested, kept in (
            (True, 2.5, 1.5),
            (True, 1.0, 0.5),
            (True, 0.4, DEFAULT_IDLE_TIMEOUT_S),
            (False, 2.5, DEFAULT_IDLE_TIMEOUT_S),
        ):
            self.setUp()
            link = self.connect()
            self.pool.release(link, Reply(200, [], b"") if used else None)
            self.loop.now += rested
            self.wire(link).lost_told(self.wire(link))
            self.assertEqual((self.server().idle_timeout_s, self.server().open_count), (kept, 0), (used, rested))
            self.assertIsNone(self.pool.acquire_idle(self.server()))

    def test_learns_nothing_from_a_server_that_drains(self) -> None:
        link, server = self.idle(), self.server()
        server.ready = False
        self.loop.now += 2.5
        self.wire(link).lost_told(self.wire(link))
        self.assertEqual(server.idle_timeout_s, DEFAULT_IDLE_TIMEOUT_S)

    def test_learns_nothing_from_one_at_work(self) -> None:
        link = self.connect()
        link.is_used = True
        self.loop.now += 2.5
        self.wire(link).lost_told(self.wire(link))
        self.assertEqual(self.server().idle_timeout_s, DEFAULT_IDLE_TIMEOUT_S)

    def test_the_end_of_a_connection_counts_once(self) -> None:
        link = self.idle()
        server = self.server()
        self.pool.close_idle("s1")
        self.wire(link).lost_told(self.wire(link))
        self.assertEqual((server.open_count, self.pool._open_count), (0, 0))

    def test_times(self) -> None:
        self.assertGreater(connection_pool.CONNECT_TIMEOUT_S, 0.05)
        self.assertGreater(DEFAULT_IDLE_TIMEOUT_S, connection_pool.IDLE_MARGIN_S)
        self.assertGreater(connection_pool.IDLE_MARGIN_S, 0.2)
        self.assertGreater(SWEEP_INTERVAL_S, 0.05)
        self.assertLess(SWEEP_INTERVAL_S, connection_pool.IDLE_MARGIN_S)
        self.assertGreater(connection_pool.KEEPALIVE_PROBE_INTERVAL_S, 0)


class Timeout:
    async def __aenter__(self) -> None:
        pass

    async def __aexit__(self, *_: object) -> None:
        pass


def lost_at_once(self: FakeWire, *arguments: Any, **options: Any) -> None:
    self.lost_told, self.options, self.owner = arguments[0], options, None
    self.done, self.reusable, self.lost, self.is_silent = [], True, True, True


class TransitionsTest(unittest.TestCase):
    def test_only_those_that_are_named(self) -> None:
        for before, allowed in request_state.TRANSITIONS.items():
            for after in RequestState:
                if after in allowed:
                    self.assertIs(validated_transition(before, after), after)
                else:
                    with self.assertRaises(InvalidTransitionError):
                        validated_transition(before, after)
