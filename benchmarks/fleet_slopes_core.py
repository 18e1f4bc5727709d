"""Slopes of the core machines: a configuration, a renewal, a reading of the list, a demand for tokens, a write."""

from __future__ import annotations

import statistics
import tempfile
import time
import zlib
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path

import msgspec

from benchmarks.fitting import Slope, microseconds
from benchmarks.fleet_size import SIZE, ZONES, servers, service_name
from benchmarks.fleet_size import configuration as body_of
from rosechute.configuration.operator import parse_configuration
from rosechute.configuration.process import Bounds
from rosechute.control_plane.endpoint_list_page import decode_endpoint_list_page
from rosechute.control_plane.quota_service import QuotaService
from rosechute.coordination.replica_state import chain_write_message, load_replica_state
from rosechute.coordination.views import RegisterState
from rosechute.data_plane.admission import ActiveConfiguration
from rosechute.distribution.actions import DialedLink
from rosechute.distribution.core_directory import CoreAddress
from rosechute.distribution.membership import MEMBERSHIP_GRACE_S, EdgeIdentity
from rosechute.distribution.publisher import Publisher
from rosechute.distribution.subscriber import Subscriber
from rosechute.distribution.topics import NO_POSITION
from rosechute.distribution.values import Configuration, ListedServer, decode_configuration
from rosechute.fakes.fleet.platform import Instance
from rosechute.messages import coordination_pb2
from rosechute.messages import distribution_pb2 as pb
from rosechute.messages.framing import MessageKind, encode_frame
from rosechute.storage.files import DiskDirectory
from rosechute.storage.record_store import RecordStore

ROUTES = (50, 200, 800)
TENANTS = (50, 210, 840)
MEMBERS = (50, 100, 350, 700, 1400)
LISTED = (425, 1700, 6800, 13600)
NEW_TERM_MEMBERS = (50, 100, 350)
ASKING = (10, 50, 350, 700)
REPORTING = (10, 63, 91, 350)
REPORTED = (1, 10, 38, 210)
REPORT_S = 0.45  # between two of an edge
DISK_BYTES = (10_000, 100_000, 1_000_000)
PAGE = 50
FRAME_BYTES = 5  # before each message
RENEWALS = 400
NOW = 1000.0


def configuration() -> list[Slope]:
    """One configuration, by routes at 210 tenants, and by tenants at 200 routes."""
    found = []
    for by, sizes, body_for in (
        ("routes", ROUTES, lambda routes: body_of(routes, SIZE.tenants)),
        ("tenants", TENANTS, lambda tenants: body_of(200, tenants)),
    ):
        found += _configuration_by(by, sizes, body_for)
    return found


def _configuration_by(by: str, sizes: tuple[int, ...], body_for: Callable[[int], bytes]) -> list[Slope]:
    figures = {
        "body": Slope("body", "B", by),
        "sent": Slope("compressed, sent to each edge", "B", by),
        "read": Slope("core: read and check the order", "us", by),
        "committed": Slope("core: compress and take over quotas", "us", by),
        "chain": Slope("core: a chain write, out and in", "us", by),
        "decode": Slope("edge: take the update", "us", by),
        "force": Slope("edge: read it and put it in force", "us", by),
    }
    for size in sizes:
        body = body_for(size)
        value = Configuration.from_body(1, 1, body)
        quota = QuotaService(Bounds())
        write = coordination_pb2.CoreMessage(chain_write=chain_write_message(RegisterState(1, 1, 1, body, b"d" * 32)))
        message = value.update_message(NO_POSITION, NOW)
        figures["body"].points[size] = len(body)
        figures["sent"].points[size] = len(message.SerializeToString())
        figures["read"].points[size] = microseconds(lambda body=body: parse_configuration(body))
        figures["committed"].points[size] = microseconds(
            lambda body=body, quota=quota: (Configuration.from_body(1, 1, body), quota.committed(NOW, body))
        )
        figures["chain"].points[size] = microseconds(
            lambda write=write: coordination_pb2.CoreMessage.FromString(write.SerializeToString())
        )
        raw = message.SerializeToString()
        figures["decode"].points[size] = microseconds(
            lambda raw=raw: decode_configuration(pb.Distribution.FromString(raw).config)
        )
        figures["force"].points[size] = microseconds(
            lambda body=body: ActiveConfiguration(parse_configuration(body).unwrap(), 1)
        )
        assert len(zlib.decompress(value.compressed)) == len(body)
    return list(figures.values())


def edge_identity(number: int) -> EdgeIdentity:
    """An edge; zones in turn."""
    zone = ZONES[number % len(ZONES)]
    return EdgeIdentity(f"edge-{zone}-{number:04d}", zone, f"10.3.{number // 250}.{number % 250}:7515")


def _leader(members: int, listed: int) -> tuple[Publisher, list[Subscriber]]:
    """A leader with a list and so many members that know everything."""
    publisher = Publisher(lambda now, request: None)
    publisher.set_core_machines(
        [CoreAddress(f"core-{n:08x}", f"10.9.0.{n}:7500", f"10.9.0.{n}:8367") for n in range(8)]
    )
    publisher.leadership_gained(NOW, 1)
    publisher.configuration_committed(NOW, 1, 1, b"{}")
    publisher.update_freshness(NOW, 1, 0.1)
    publisher.endpoint_list_read(NOW, servers(listed))
    edges = [Subscriber(NOW, edge_identity(number), number + 1, ["10.9.0.1:7500"]) for number in range(members)]
    for later in (0.0, MEMBERSHIP_GRACE_S + 0.1, MEMBERSHIP_GRACE_S + 0.6):
        for number, edge in enumerate(edges):
            _renew_once(publisher, edge, number, NOW + later)
    return publisher, edges


def _renew_once(publisher: Publisher, edge: Subscriber, number: int, now: float) -> None:
    """A renewal and all that follows from it between this edge and the leader."""
    edge._search.renew_now(now)
    waiting = [action.message for action in edge.tick(now)]
    while waiting:
        message = waiting.pop(0)
        for send in publisher.receive(now, number, message):
            waiting += [
                action.message
                for action in edge.receive(now, DialedLink("10.9.0.1:7500"), send.message)
                if hasattr(action, "message") and action.message.WhichOneof("body") in ("renew", "fetch")
            ]


def renewal() -> list[Slope]:
    """One renewal, by members: at the leader with its bytes both ways, and at the edge."""
    steady = Slope("leader: a renewal", "us", "members")
    changed = Slope("leader: a renewal after a change of the zone's members", "us", "members")
    expire = Slope("leader: a tick, 25 a second", "us", "members")
    gone = Slope("leader: a connection that ends", "us", "members")
    at_edge = Slope("edge: a renewal and its answer", "us", "members")
    asked, answered = Slope("renewal", "B", "members"), Slope("answer", "B", "members")
    with_members = Slope("answer with the zone's members", "B", "members")
    for members in MEMBERS:
        publisher, edges = _leader(members, SIZE.services)
        now = NOW + 2.0
        renew, behind = edges[0]._requests.renew(1), edges[0]._requests.renew(1)
        behind.renew.members_revision = 0
        data, data_behind = renew.SerializeToString(), behind.SerializeToString()

        def at_leader(data: bytes, publisher: Publisher = publisher, now: float = now) -> bytes:
            sends = publisher.receive(now, 0, pb.Distribution.FromString(data))
            return b"".join(send.message.SerializeToString() for send in sends)

        asked.points[members] = len(data) + FRAME_BYTES
        answered.points[members] = len(at_leader(data)) + FRAME_BYTES
        with_members.points[members] = len(at_leader(data_behind)) + FRAME_BYTES
        steady.points[members] = microseconds(lambda data=data, work=at_leader: work(data))
        changed.points[members] = microseconds(lambda data=data_behind, work=at_leader: work(data))
        expire.points[members] = microseconds(lambda publisher=publisher, now=now: publisher.tick(now))
        gone.points[members] = microseconds(lambda p=publisher, now=now: p.connection_closed(now, "x"))
        at_edge.points[members] = _at_edge_us(edges[0], publisher, now)
    return [steady, changed, expire, gone, at_edge, asked, answered, with_members]


def _at_edge_us(edge: Subscriber, publisher: Publisher, now: float) -> float:
    """Microseconds of the edge for a renewal and its answer, without the leader's part."""
    spent = []
    for turn in range(RENEWALS):
        now += 0.4
        publisher.update_freshness(now, 1, 0.1)
        began = time.thread_time_ns()
        asked = [action.message.SerializeToString() for action in edge.tick(now)]
        half = time.thread_time_ns() - began
        answers = [
            send.message.SerializeToString()
            for data in asked
            for send in publisher.receive(now, 0, pb.Distribution.FromString(data))
        ]
        began = time.thread_time_ns()
        for answer in answers:
            edge.receive(now, DialedLink("10.9.0.1:7500"), pb.Distribution.FromString(answer))
        if turn and len(answers) == 1:
            spent.append((time.thread_time_ns() - began + half) / 1e3)
    assert edge.confirmed_at > now - 1.0, "the answers were not taken"
    return statistics.median(spent)


def list_at_leader() -> list[Slope]:
    """A reading of the list, by servers in 13 services."""
    page = Slope("a page of 50 entries, read", "us", "page")
    instances = [
        Instance(id=one.id, service=one.service, address=one.address, zone=one.zone, slots=one.slots)
        for one in servers(PAGE)
    ]
    raw = msgspec.json.encode({"instances": instances, "next_token": "i-1"})

    def read() -> None:
        for instance in decode_endpoint_list_page(raw, "platform").unwrap().instances:
            instance.to_listed_server(NOW)

    page.points[PAGE] = microseconds(read)
    calls = Slope("calls of a reading", "calls", "servers")
    same = Slope("leader: a reading without a change", "us", "servers")
    one = Slope("leader: a reading with one change", "us", "servers")
    whole, delta = Slope("whole list, all services", "B", "servers"), Slope("one change", "B", "servers")
    for count in LISTED:
        publisher, _ = _leader(8, count)
        listed = servers(count)
        other = [replace(listed[0], ready=False), *listed[1:]]
        readings = [other, listed]

        def reading_with_change(publisher: Publisher = publisher, readings: list = readings) -> None:
            readings.reverse()
            publisher.endpoint_list_read(NOW + 2.0, list(readings[0]))

        calls.points[count] = -(-count // PAGE)
        same.points[count] = microseconds(lambda p=publisher, listed=listed: p.endpoint_list_read(NOW + 2.0, listed))
        one.points[count] = microseconds(reading_with_change)
        lists = publisher._store.lists()
        messages = [value.update_message(NO_POSITION, NOW).SerializeToString() for value in lists]
        whole.points[count] = sum(len(message) + FRAME_BYTES for message in messages)
        first = publisher._store.service_list(service_name(0))
        assert first is not None
        delta.points[count] = len(first.update_message(first.base, NOW).SerializeToString()) + FRAME_BYTES
    return [page, calls, same, one, whole, delta]


def new_term() -> list[Slope]:
    """The first reading of a new leader, before it knows who lives: the whole list to every member, in one turn."""
    spent = Slope("leader: first reading of a term, with its messages, one turn", "us", "members")
    sent = Slope("leader: bytes of it", "B", "members")
    again = Slope("leader: the same where each message is encoded once", "us", "members")
    for members in NEW_TERM_MEMBERS:
        publisher, edges = _leader(members, SIZE.servers)
        listed, terms, sizes = servers(SIZE.servers), iter(range(2, 1000)), []

        def turn(
            once: bool,
            publisher: Publisher = publisher,
            edges: list[Subscriber] = edges,
            listed: list[ListedServer] = listed,
            terms: Iterator[int] = terms,
            sizes: list[int] = sizes,
        ) -> int:
            now = NOW + 10.0
            publisher.leadership_gained(now, next(terms))
            for number, edge in enumerate(edges):
                publisher.receive(now, number, edge._requests.renew(1))
            began = time.thread_time_ns()
            encoded: dict[int, bytes] = {}
            total = 0
            for send in publisher.endpoint_list_read(now, listed):
                data = encoded.get(id(send.message)) if once else None
                if data is None:
                    data = encoded[id(send.message)] = send.message.SerializeToString()
                total += len(encode_frame(MessageKind.DISTRIBUTION, data))
            sizes.append(total)
            return time.thread_time_ns() - began

        spent.points[members] = statistics.median(turn(False) for _ in range(3)) / 1e3
        again.points[members] = statistics.median(turn(True) for _ in range(3)) / 1e3
        sent.points[members] = sizes[0]
    return [spent, sent, again]


def quota() -> list[Slope]:
    """A demand for one tenant's tokens, and a report on tenants, at the leader: by edges, by tenants in a message."""
    by_edges = Slope("leader: a demand of one tenant", "us", "edges that ask for it")
    by_tenants = Slope("leader: a demand, each tenant in turn", "us", "tenants")
    request_b, issue_b = Slope("demand", "B", "edges that ask for it"), Slope("issue", "B", "edges that ask for it")
    report = Slope("leader: a report on one tenant, granted anew", "us", "edges that report it")
    message = Slope("leader: a report on several tenants, 63 edges each", "us", "tenants in it")
    report_b, grant_b = Slope("report", "B", "tenants in it"), Slope("grants", "B", "tenants in it")
    for edges in ASKING:
        service = _quota_service(SIZE.tenants)
        demands = [_demand(f"edge-{ZONES[0]}-{number:04d}", "t-0000") for number in range(edges)]
        by_edges.points[edges] = _turn_us(service, demands, 0.5)
        request_b.points[edges] = len(demands[0]) + FRAME_BYTES
        issue_b.points[edges] = len(_answer(service, demands[0], NOW + 20)) + FRAME_BYTES
    for tenants in TENANTS:
        service = _quota_service(tenants)
        by_tenants.points[tenants] = _turn_us(service, [_demand("edge-1", f"t-{n:04d}") for n in range(tenants)], 0.5)
    for edges in REPORTING:
        report.points[edges] = _reports_us(edges, 1)[0]
    for tenants in REPORTED:
        message.points[tenants], report_b.points[tenants], grant_b.points[tenants] = _reports_us(63, tenants)
    return [by_edges, by_tenants, request_b, issue_b, report, message, report_b, grant_b]


def _quota_service(tenants: int) -> QuotaService:
    service = QuotaService(Bounds(quota_overshoot=0.1, quota_slack=110_000))
    service.lease_gained(NOW - 10.0, 1)
    service.committed(NOW, body_of(13, tenants))
    return service


def _demand(edge: str, tenant: str) -> bytes:
    request = pb.QuotaRequest(request=1, edge=edge)
    request.wanted.add(tenant=tenant, tokens=1500, min_tokens=400)
    return pb.Distribution(quota_request=request).SerializeToString()


def _answer(service: QuotaService, data: bytes, now: float) -> bytes:
    issue = service.answer(now, pb.Distribution.FromString(data).quota_request)
    return pb.Distribution(quota_issue=issue).SerializeToString()


def _turn_us(service: QuotaService, messages: list[bytes], spread_s: float) -> float:
    """Microseconds a message; all in turn, spread evenly over a time."""
    clock = [NOW]

    def turn() -> None:
        for data in messages:
            clock[0] += spread_s / len(messages)
            _answer(service, data, clock[0])

    return microseconds(turn) / len(messages)


def _reports_us(edges: int, tenants: int) -> tuple[float, float, float]:
    """Microseconds of a report at the leader, with edges that report in turn; bytes of it and of its answer."""
    service, now, spent, sizes = _quota_service(SIZE.tenants), NOW, [], (0, 0)
    for turn in range(4 * edges):
        now += REPORT_S / edges
        edge = turn % edges
        request = pb.QuotaRequest(request=turn + 1, edge=f"edge-east-1-{edge:04d}", boot=edge + 1, term=1)
        for number in range(tenants):
            request.held.add(
                tenant=f"t-{number:04d}",
                rate=900.0,
                depth=2000.0,
                stored=1000.0,
                lifetime_ms=4500,
                demand=234.0,
                mean_request_tokens=1700.0,
            )
        data = pb.Distribution(quota_request=request).SerializeToString()
        began = time.thread_time_ns()
        answer = _answer(service, data, now)
        spent.append((time.thread_time_ns() - began) / 1e3)
        sizes = (len(data) + FRAME_BYTES, len(answer) + FRAME_BYTES)
    return statistics.median(spent[2 * edges :]), *sizes


def storage() -> list[Slope]:
    """A write of the chain on disk, by the size of the configuration: processor time and wall time with its sync."""
    append_cpu, append_wall = Slope("append", "us", "B"), Slope("append, wall", "us", "B")
    replace_cpu, replace_wall = Slope("snapshot", "us", "B"), Slope("snapshot, wall", "us", "B")
    loading = Slope("load and fold at a start", "us", "B")
    for size in DISK_BYTES:
        write = chain_write_message(RegisterState(1, 1, 1, b"x" * size, b"d" * 32))
        record = coordination_pb2.Record(write=write).SerializeToString()
        with tempfile.TemporaryDirectory(prefix="rosechute-slopes-") as folder:
            store, _ = RecordStore.open(DiskDirectory(folder)).unwrap()
            replace_cpu.points[size], replace_wall.points[size] = _disk(
                lambda s=store, r=record: s.write_snapshot([r])
            )
            append_cpu.points[size], append_wall.points[size] = _disk(lambda s=store, r=record: s.append([[r]]))
            store.write_snapshot([record])
            loading.points[size] = microseconds(
                lambda f=folder: load_replica_state(RecordStore.open(DiskDirectory(f)).unwrap()[1]), rounds=3
            )
            assert Path(folder).exists()
    return [append_cpu, append_wall, replace_cpu, replace_wall, loading]


def _disk(write: Callable[[], object], times: int = 15) -> tuple[float, float]:
    """Microseconds of processor time and of wall time."""
    cpu, wall = time.thread_time_ns(), time.perf_counter_ns()
    for _ in range(times):
        write()
    return (time.thread_time_ns() - cpu) / 1e3 / times, (time.perf_counter_ns() - wall) / 1e3 / times
