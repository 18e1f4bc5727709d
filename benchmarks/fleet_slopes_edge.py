"""Slopes of an edge: changes of the list, picks, and memory of prefixes, sessions and servers."""

from __future__ import annotations

import asyncio
import gc
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterator
from dataclasses import replace

from benchmarks.fitting import Slope, microseconds
from benchmarks.fleet_size import SIZE, configuration, servers
from rosechute.configuration.process import Bounds
from rosechute.data_plane.connection_pool import ConnectionPool
from rosechute.data_plane.dispatcher import Dispatcher
from rosechute.distribution.actions import Action, SendMessage
from rosechute.distribution.membership import EdgeIdentity
from rosechute.distribution.store import TopicStore
from rosechute.distribution.subscriber import Subscriber
from rosechute.distribution.topics import CONFIG_TOPIC, NO_POSITION, Position
from rosechute.distribution.values import Configuration, ServiceList, decode_servers, next_service_list
from rosechute.messages import distribution_pb2 as pb
from rosechute.messages.framing import MessageKind, encode_frame
from rosechute.routing.model import AttemptResult, PromptPart, RoutingRequest, Send, ServerEntry
from rosechute.routing.prefixes import PrefixTable, prefixes_of
from rosechute.routing.router import Router
from rosechute.routing.server import Server
from rosechute.routing.tuning import RouterTuning

LISTED = (130, 523, 1700, 6800)  # of one service
FOLLOWERS = (10, 44, 87, 349)
PREFIXES = (1_000, 11_000, 44_000)
SESSIONS = (1_000, 7_500, 30_000)
SERVICE = "model-00"
NOW = 1000.0
PICKS = 4000
PARTS_TOKENS = (6300, 2000, 890)


def _entries(count: int) -> list[ServerEntry]:
    return [ServerEntry(one.id, one.address, one.zone, one.slots, one.ready) for one in servers(count, 1)]


def _list(count: int, revision: int, ready: bool) -> ServiceList:
    """A list as it was, and with one server that drains."""
    first = next_service_list(None, SERVICE, Position(1, 1), servers(count, 1), NOW)
    changed = [replace(each, ready=ready) if number == 0 else each for number, each in enumerate(servers(count, 1))]
    return first if revision == 1 else next_service_list(first, SERVICE, Position(1, revision), changed, NOW)


def list_at_edge() -> list[Slope]:
    """A delta of one server, and a whole list, by the servers of the service."""
    whole_b, delta_b = Slope("whole list", "B", "servers"), Slope("delta of one server", "B", "servers")
    whole = Slope("take a whole list, nothing known", "us", "servers")
    again = Slope("take a whole list of a new term, the same", "us", "servers")
    delta = Slope("take a delta of one server", "us", "servers")
    parse = Slope("read a whole list's message", "us", "servers")
    plane = Slope("put a list in force, one server changed", "us", "servers")
    first = Slope("put a first list in force", "us", "servers")
    edges = Slope("put another number of living edges in force", "us", "servers")
    for count in LISTED:
        start, after = _list(count, 1, True), _list(count, 2, False)
        message, change = start.update_message(NO_POSITION, NOW), after.update_message(start.position, NOW)
        raw = message.SerializeToString()
        whole_b.points[count], delta_b.points[count] = len(raw) + 5, len(change.SerializeToString()) + 5
        new_term = next_service_list(start, SERVICE, Position(2, 1), servers(count, 1), NOW).update_message(
            NO_POSITION, NOW
        )
        parse.points[count] = microseconds(lambda raw=raw: pb.Distribution.FromString(raw), rounds=3)
        whole.points[count] = microseconds(lambda m=message: TopicStore().apply_list(m.list, NOW), rounds=3)
        base = TopicStore()
        base.apply_list(message.list, NOW)
        delta.points[count] = microseconds(lambda b=base, c=change: _copy(b).apply_list(c.list, NOW), rounds=3)
        again.points[count] = microseconds(lambda b=base, c=new_term: _copy(b).apply_list(c.list, NOW), rounds=3)
        first.points[count], plane.points[count], edges.points[count] = _in_force(count)
        assert decode_servers(message.list, NOW)
    return [whole_b, delta_b, parse, whole, again, delta, first, plane, edges]


def home() -> list[Slope]:
    """What an edge does as the home of a topic, by the edges that follow it there."""
    config = Slope("home: pass a configuration on", "us", "followers")
    delta = Slope("home: pass a delta on", "us", "followers")
    renewed = Slope("home: one follower's subscription renewed", "us", "followers")
    renewed_b = Slope("subscription and its answer", "B", "followers")
    update = TopicStore()
    update.put(Configuration.from_body(1, 1, configuration(200, SIZE.tenants)))
    message = update.get(CONFIG_TOPIC).update_message(NO_POSITION, NOW).config
    start, after = _list(523, 1, True), _list(523, 2, False)
    for followers in FOLLOWERS:
        edge = Subscriber(NOW, EdgeIdentity("edge-0", "east-1", "10.3.0.0:7515"), 1, ["10.9.0.1:7500"])
        edge.receive(NOW, "leader", pb.Distribution(list=start.update_message(NO_POSITION, NOW).list))
        for number in range(followers):
            for topic in (CONFIG_TOPIC, start.topic):
                edge.receive(NOW, number, _subscribe(number, topic))
        sequences, revisions = iter(range(2, 10**6)), iter(range(2, 10**6))

        def pass_configuration(edge: Subscriber = edge, sequences: Iterator[int] = sequences) -> None:
            message.sequence = next(sequences)
            _encode(edge.receive(NOW, "leader", pb.Distribution(config=message)))

        def pass_delta(edge: Subscriber = edge, revisions: Iterator[int] = revisions) -> None:
            change = pb.ListUpdate()
            change.CopyFrom(after.update_message(start.position, NOW).list)
            change.position.revision = next(revisions)
            change.base_revision = change.position.revision - 1
            _encode(edge.receive(NOW, "leader", pb.Distribution(list=change)))

        subscription = _subscribe(0, CONFIG_TOPIC)
        subscription.subscribe.config_sequence = 10**6
        raw = subscription.SerializeToString()
        answer = edge.receive(NOW, 0, subscription)
        renewed_b.points[followers] = len(raw) + 10 + sum(len(one) for one in _encode(answer))
        renewed.points[followers] = microseconds(
            lambda e=edge, raw=raw: _encode(e.receive(NOW, 0, pb.Distribution.FromString(raw)))
        )
        config.points[followers] = microseconds(pass_configuration, rounds=3)
        delta.points[followers] = microseconds(pass_delta, rounds=3)
    return [config, delta, renewed, renewed_b]


def _subscribe(number: int, topic: str) -> pb.Distribution:
    edge = pb.Edge(name=f"edge-east-1-{number:04d}", zone="east-1", address=f"10.3.1.{number}:7515")
    return pb.Distribution(subscribe=pb.Subscribe(edge=edge, topic=topic))


def _encode(actions: list[Action]) -> list[bytes]:
    """What the links do with the messages before the socket."""
    return [
        encode_frame(MessageKind.DISTRIBUTION, action.message.SerializeToString())
        for action in actions
        if isinstance(action, SendMessage)
    ]


def _copy(store: TopicStore) -> TopicStore:
    """A store that holds the same values."""
    other = TopicStore()
    other._values.update(store._values)
    return other


def _in_force(count: int) -> tuple[float, float, float]:
    """Microseconds for a first list, for one with one other server, and for another number of edges, in router and
    connections."""
    loop = asyncio.new_event_loop()
    try:
        entries = _entries(count)
        other = [replace(entries[0], ready=False), *entries[1:]]
        turns = [other, entries]
        firsts = []
        for _ in range(3):
            dispatcher, pool = _dispatcher(loop)
            began = time.thread_time_ns()
            pool.apply(SERVICE, entries)
            dispatcher.apply_servers(SERVICE, entries)
            firsts.append((time.thread_time_ns() - began) / 1e3)

        def change() -> None:
            turns.reverse()
            pool.apply(SERVICE, turns[0])
            dispatcher.apply_servers(SERVICE, turns[0])

        numbers = [SIZE.edges, SIZE.edges - 1]

        def count_edges() -> None:
            numbers.reverse()
            pool.set_server_limit(SERVICE, 830 // numbers[0])
            dispatcher.apply_limits(SERVICE, 830, numbers[0])

        return statistics.median(firsts), microseconds(change, rounds=3), microseconds(count_edges, rounds=3)
    finally:
        loop.close()


def _dispatcher(loop: asyncio.AbstractEventLoop) -> tuple[Dispatcher, ConnectionPool]:
    """Router and connections with their limits told."""
    from rosechute.proxy.core.flow import Budget

    pool = ConnectionPool(loop, Budget(200), 1000)
    dispatcher = Dispatcher(loop, Router(random.Random(1).random, RouterTuning()), pool)
    dispatcher.apply_retry_budget(Bounds(), SIZE.edges)
    dispatcher.apply_limits(SERVICE, 830, SIZE.edges)
    return dispatcher, pool


def _request(ticket: int, draw: random.Random, prefixes: int, sessions: int) -> RoutingRequest:
    shared = draw.randrange(prefixes)
    session = draw.randrange(sessions)
    parts = (
        PromptPart(f"{shared:08x}", PARTS_TOKENS[0]),
        PromptPart(f"{session:08x}s", PARTS_TOKENS[1]),
        PromptPart(f"{ticket:08x}t", PARTS_TOKENS[2]),
    )
    return RoutingRequest(
        ticket=ticket,
        service=SERVICE,
        route="r",
        priority=0,
        deadline=NOW + 60,
        target_s=1.5,
        arrived=NOW,
        max_attempts=2,
        repeatable=True,
        sticky=True,
        model="m",
        parts=parts,
        input_tokens=sum(PARTS_TOKENS),
        output_tokens=300,
    )


def routing() -> list[Slope]:
    """One request through the router: placed, head, done; by servers, by prefixes and by sessions."""
    by_servers = Slope("a request through the router", "us", "servers")
    by_prefixes = Slope("a request through the router, 523 servers", "us", "prefixes")
    by_sessions = Slope("a request through the router, 523 servers", "us", "sessions")
    for count in LISTED:
        by_servers.points[count] = _pick_us(count, SIZE.prefixes, 7_500)
    for prefixes in PREFIXES:
        by_prefixes.points[prefixes] = _pick_us(523, prefixes, 7_500)
    for sessions in SESSIONS:
        by_sessions.points[sessions] = _pick_us(523, SIZE.prefixes, sessions)
    return [by_servers, by_prefixes, by_sessions]


def _pick_us(count: int, prefixes: int, sessions: int) -> float:
    """Microseconds a request, with 200 streams out as there would be at the peak; the table is filled first."""
    router = Router(random.Random(1).random, RouterTuning(prefix_entries=65_536, prompt_entries=65_536))
    router.apply_limits(NOW, SERVICE, 830, SIZE.edges)
    router.apply_retry_budget(0.2, 10.0, 52.0, SIZE.edges)
    router.apply_servers(NOW, SERVICE, _entries(count))
    draw, out = random.Random(2), []
    tickets = iter(range(10**9))
    spent = []
    for turn in range(3 * PICKS):
        request = _request(next(tickets), draw, prefixes, sessions)
        began = time.thread_time_ns()
        sends = [action for action in router.route(NOW + turn / 100, request) if isinstance(action, Send)]
        for send in sends:
            router.report(NOW + turn / 100, send.ticket, send.server_id, AttemptResult.HEAD, False)
            out.append(send)
        if len(out) > 200:
            done = out.pop(0)
            router.report(NOW + turn / 100, done.ticket, done.server_id, AttemptResult.DONE, False)
        spent.append(time.thread_time_ns() - began)
    return statistics.median(spent[PICKS:]) / 1e3


def memory() -> list[Slope]:
    """Bytes of each kind of state, by tracemalloc."""
    by_prefix = Slope("table of shared prefixes, 8 holders each", "B", "prefixes")
    by_one = Slope("table of shared prefixes, 1 holder each", "B", "prefixes")
    by_session = Slope("table of sessions, 1 holder each", "B", "sessions")
    by_server = Slope("list in the store", "B", "servers")
    in_router = Slope("servers in the router", "B", "servers")
    in_connections = Slope("servers in the table of connections", "B", "servers")
    for count in PREFIXES:
        by_prefix.points[count] = _allocated(lambda count=count: _table(count, 8))
        by_one.points[count] = _allocated(lambda count=count: _table(count, 1))
    for count in SESSIONS:
        by_session.points[count] = _allocated(lambda count=count: _sessions(count))
    for count in LISTED:
        raw = _list(count, 1, True).update_message(NO_POSITION, NOW).SerializeToString()
        by_server.points[count] = _allocated(lambda raw=raw: _store(raw))
        in_router.points[count] = _allocated(lambda count=count: _router(count))
        in_connections.points[count] = _allocated(lambda count=count: _connections(count))
    return [by_prefix, by_one, by_session, by_server, in_router, in_connections]


def _allocated(make: Callable[[], object]) -> float:
    """Bytes that stay allocated while what `make` returns lives."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    made = make()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del made
    return float(held)


def _targets() -> list[Server]:
    return [
        Server(entry, RouterTuning(), random.Random(1).random, number) for number, entry in enumerate(_entries(8))
    ]


def _table(count: int, holders: int) -> object:
    """Shared prefixes of two parts and one whole prompt; the whole ones share one place."""
    table, targets = PrefixTable(10**6, 1, 1e9), _targets()
    for number in range(count):
        prefixes = prefixes_of(SERVICE, "m", (PromptPart(f"{number:08x}", 800), PromptPart("t", 400)))
        for server in targets[:holders]:
            table.record(NOW, prefixes, server)
    return table, targets


def _sessions(count: int) -> object:
    table, targets = PrefixTable(1, 10**6, 1e9), _targets()
    for number in range(count):
        prefixes = prefixes_of(SERVICE, "m", (PromptPart("a", 800), PromptPart(f"{number:08x}", 400)))
        table.record(NOW, prefixes, targets[0])
    return table, targets


def _store(raw: bytes) -> object:
    store = TopicStore()
    store.apply_list(pb.Distribution.FromString(raw).list, NOW)
    return store


def _router(count: int) -> object:
    router = Router(random.Random(1).random, RouterTuning())
    router.apply_limits(NOW, SERVICE, 830, SIZE.edges)
    router.apply_servers(NOW, SERVICE, _entries(count))
    return router


def _connections(count: int) -> object:
    from rosechute.proxy.core.flow import Budget

    loop = asyncio.new_event_loop()
    pool = ConnectionPool(loop, Budget(200), 1000)
    pool.apply(SERVICE, _entries(count))
    loop.close()
    return pool
