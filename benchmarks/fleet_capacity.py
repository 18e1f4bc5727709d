"""What the router fleet needs of each role at the size to build towards, beside the bound: by measured slopes.

    python -m benchmarks.fleet_capacity [--slopes FILE] [--assume NAME=VALUE ...] [--events] [--sensitivity]

Prints needs, bounds and ratios, the worst first; with `--events` what events cost; with `--sensitivity` how those
above a tenth move when an assumption is a quarter of what it is taken as, or four times.
"""

from __future__ import annotations

import argparse
import json
import math
import sys
from collections.abc import Sequence
from dataclasses import dataclass, fields, replace
from pathlib import Path

from benchmarks.fitting import Slope, slope_of
from benchmarks.fleet_events import HEAD, Costs, events, row
from benchmarks.fleet_size import SIZE, ZONES

HERE = Path(__file__).resolve().parent
CONTROL_MS_S = SIZE.control_core * 1e3
CONTROL_B_S = SIZE.control_kb_s * 1e3
RENEWALS_S = 2.5  # of each edge
TICKS_S = 25  # of a core machine
RESUBSCRIBE_S = 2.0
LEASE_LEFT_S = 0.8  # a holder renews every 0.3 s and stops after 1.1 s
PATIENCE_S = 0.15 + 0.01 * SIZE.edges_a_zone  # after which an edge fetches from the leader
REPORT_S = 0.45  # between two reports of an edge on its tenants
READING_S = 0.5  # between two readings
LEAST_WORTH = 0.1  # ratios that are shown in the table of assumptions
PREFIX_ENTRIES, SESSION_ENTRIES = 16_384, 4_096  # that a router keeps
LOG_BYTES = 512 * 1024
TAKEN_BYTES = 4096 * 24  # of the orders that were taken


@dataclass(frozen=True, slots=True)
class Assumed:
    """What no page tells for this size."""

    routes: float = 200
    peak_changes: float = 4.0  # changes of the configuration at the busiest, over the mean
    list_calls_s: float = 40.0
    list_share: float = 0.4  # of those calls that the leader uses
    page: float = 50
    drain_s: float = 3.0
    event_tokens: float = 6.0
    asks: float = 1.0  # demands for tokens, for each request
    asking_edges: float = 100.0  # that ask for the same tenant within a second
    reported_s: float = 4.0  # for which a tenant is reported after a request
    release_s: float = 600.0  # for half of a model's servers
    changes_a_restart: float = 3.0  # drains, goes, is back
    rack: float = 40.0  # servers
    apart_s: float = 300.0  # regions
    revoke_s: float = 5.0
    sync_ms: float = 5.0
    one_way_ms: float = 30.0  # between regions
    hops_between: float = 4.0  # of the chain's seven that go from one region to the other
    core_ms_s: float = 1000.0  # of one core machine
    link_mb_s: float = 125.0  # of one core machine
    edge_ms_s: float = 1000.0  # of one edge machine, for its data path
    core_mb: float = 296.0


WHY = {
    "routes": "not told; each adds 263 B to the body, 16 B compressed",
    "peak_changes": "not told",
    "list_calls_s": "the sites that are known",
    "list_share": "`RATE_SHARE` in the list's reader",
    "page": "the platform's pages as they are",
    "drain_s": "the sites that are known",
    "event_tokens": "the sites that are known: 5 and 6",
    "asks": "tokens last 0.4 s, an edge has 0.05 requests a second of each tenant, stores are too small to be leased",
    "asking_edges": "17 for one tenant of 210, 300 for one with a fifth of the traffic",
    "reported_s": "`REPORT_AFTER_DEMAND_S` of the token cache; stands for how the tenants' requests spread, too",
    "release_s": "not told",
    "changes_a_restart": "drains, goes, is back",
    "rack": "not told",
    "apart_s": '"minutes"',
    "revoke_s": "the sites that are known, with `strict_revoke`",
    "sync_ms": "the sites that are known",
    "one_way_ms": "not told",
    "hops_between": "the chain's order is not by region; half of the hops, rounded up",
    "core_ms_s": "one core for each machine",
    "link_mb_s": "the sites that are known: 1,000 Mbit/s",
    "edge_ms_s": "one core for each edge",
    "core_mb": "the sites that are known",
}


@dataclass(frozen=True, slots=True)
class Need:
    """One row."""

    role: str
    what: str
    need: float
    bound: float
    unit: str
    mechanism: str

    @property
    def ratio(self) -> float:
        """Need over bound."""
        return self.need / self.bound


class Slopes:
    """Measured slopes by name."""

    def __init__(self, path: Path) -> None:
        groups = json.loads(path.read_text())
        self._slopes: dict[tuple[str, str], Slope] = {}
        for slopes in groups.values():
            for plain in slopes:
                slope = slope_of(plain)
                self._slopes[slope.name, slope.by] = slope

    def at(self, name: str, by: str, size: float) -> float:
        """A figure at a size."""
        return self._slopes[name, by].at(size)

    def each(self, name: str, by: str) -> float:
        """What one more adds."""
        return self._slopes[name, by].line()[0]


def needs(slopes: Slopes, assumed: Assumed) -> list[Need]:
    """All rows, the worst first."""
    rows = [
        *_edge_configuration(slopes, assumed),
        *_edge_membership(slopes),
        *_edge_list(slopes, assumed),
        *_edge_data(slopes, assumed),
        *_edge_tables(slopes),
        *_chain(slopes, assumed),
        *_leader(slopes, assumed),
        *_leader_list(slopes, assumed),
        *_storage(slopes, assumed),
    ]
    return sorted(rows, key=lambda row: -row.ratio)


def _edge_configuration(slopes: Slopes, assumed: Assumed) -> list[Need]:
    sent = slopes.at("compressed, sent to each edge", "routes", assumed.routes)
    take_ms = (
        slopes.at("edge: take the update", "routes", assumed.routes)
        + slopes.at("edge: read it and put it in force", "routes", assumed.routes)
    ) / 1e3
    followers = SIZE.edges_a_zone - 1
    pass_ms = slopes.at("home: pass a configuration on", "followers", followers) / 1e3
    rate, peak = SIZE.changes_per_s, SIZE.changes_per_s * assumed.peak_changes
    whole = "MISSING: changes in place of the whole body, and a tree within the zone"
    return [
        Need("edge, configuration", "bytes in, ordinary day", rate * sent, CONTROL_B_S, "B/s", "zlib"),
        Need("edge, configuration", "bytes in, at the busiest", peak * sent, CONTROL_B_S, "B/s", whole),
        Need("edge, configuration", "processor, at the busiest", peak * take_ms, CONTROL_MS_S, "ms/s", "in one turn"),
        Need("home, configuration", "bytes out, ordinary day", rate * sent * followers, CONTROL_B_S, "B/s", whole),
        Need("home, configuration", "bytes out, at the busiest", peak * sent * followers, CONTROL_B_S, "B/s", whole),
        Need(
            "home, configuration",
            "processor, at the busiest",
            peak * (take_ms + pass_ms),
            CONTROL_MS_S,
            "ms/s",
            "encoded anew for each follower",
        ),
    ]


def _edge_membership(slopes: Slopes) -> list[Need]:
    b = slopes.at("renewal", "members", SIZE.edges) + slopes.at("answer", "members", SIZE.edges)
    ms = slopes.at("edge: a renewal and its answer", "members", SIZE.edges) / 1e3
    topics = SIZE.services + 1
    subscription_b = slopes.at("subscription and its answer", "followers", 87)
    subscription_ms = slopes.at("home: one follower's subscription renewed", "followers", 87) / 1e3
    a_topic = (SIZE.edges_a_zone - 1) / RESUBSCRIBE_S
    return [
        Need("edge, membership", "bytes of renewals", RENEWALS_S * b, CONTROL_B_S, "B/s", "lease of 2 s"),
        Need("edge, membership", "processor of renewals", RENEWALS_S * ms, CONTROL_MS_S, "ms/s", "lease of 2 s"),
        Need(
            "edge, subscriptions",
            "bytes, 14 topics",
            topics / RESUBSCRIBE_S * subscription_b,
            CONTROL_B_S,
            "B/s",
            "one for each topic",
        ),
        Need(
            "home, subscriptions",
            "bytes of one topic",
            a_topic * subscription_b,
            CONTROL_B_S,
            "B/s",
            "one for each topic; hash",
        ),
        Need(
            "home, subscriptions",
            "processor of one topic, without the links",
            a_topic * subscription_ms,
            CONTROL_MS_S,
            "ms/s",
            "one for each topic; hash",
        ),
    ]


def _edge_list(slopes: Slopes, assumed: Assumed) -> list[Need]:
    servers, per = SIZE.servers, SIZE.servers_a_service
    whole_b = slopes.at("whole list, all services", "servers", servers)
    service_b = slopes.at("whole list", "servers", per)
    delta_ms = (
        slopes.at("take a delta of one server", "servers", per)
        + slopes.at("put a list in force, one server changed", "servers", per)
    ) / 1e3
    again_ms = (
        SIZE.services
        * (
            slopes.at("take a whole list of a new term, the same", "servers", per)
            + slopes.at("put a list in force, one server changed", "servers", per)
        )
        / 1e3
    )
    first_ms = (
        SIZE.services
        * (
            slopes.at("take a whole list, nothing known", "servers", per)
            + slopes.at("put a first list in force", "servers", per)
        )
        / 1e3
    )
    count_ms = slopes.at("put another number of living edges in force", "servers", per) / 1e3
    release = per / 2 * assumed.changes_a_restart / assumed.release_s
    day = (SIZE.fail_a_day * 2 + SIZE.restart_a_day * assumed.changes_a_restart) / 86_400
    term = "MISSING: a position that outlives the leader"
    return [
        Need(
            "edge, list",
            "bytes, whole list, within the drain bound",
            whole_b / assumed.drain_s,
            CONTROL_B_S,
            "B/s",
            term,
        ),
        Need(
            "home, list",
            "bytes, whole list of one service passed on, within the drain bound",
            service_b * (SIZE.edges_a_zone - 1) / assumed.drain_s,
            CONTROL_B_S,
            "B/s",
            term,
        ),
        Need("edge, list", "stall of streams, whole list again, all in one turn", again_ms, 61, "ms", term),
        Need("edge, list", "stall at its own start, not ready yet", first_ms, 1500, "ms", "readiness"),
        Need(
            "edge, list",
            "processor, half of a model released",
            release * delta_ms,
            CONTROL_MS_S,
            "ms/s",
            "deltas; cost by the service's length",
        ),
        Need(
            "edge, shares",
            "processor, edges restarted one after the other",
            RENEWALS_S * SIZE.services * count_ms,
            CONTROL_MS_S,
            "ms/s",
            "MISSING: shares that follow the number of edges in steps",
        ),
        Need("edge, list", "processor, ordinary day", day * delta_ms, CONTROL_MS_S, "ms/s", "deltas"),
        Need("edge, list", "stall of streams, one delta", delta_ms, 61, "ms", "deltas"),
    ]


def _edge_data(slopes: Slopes, assumed: Assumed) -> list[Need]:
    events = SIZE.tokens_per_s / SIZE.edges / assumed.event_tokens
    requests = SIZE.requests_per_s / SIZE.edges
    event_ms = slopes.each("edge: processor time, 60 streams", "events a second") / 1e3
    request_ms = slopes.each("edge: processor time, requests of one event", "requests a second") / 1e3
    pick_ms = slopes.at("a request through the router", "servers", SIZE.servers_a_service) / 1e3
    ask_b = sum(slopes.at(name, "edges that ask for it", SIZE.edges) for name in ("demand", "issue"))
    report_b = sum(slopes.at(name, "tenants in it", _reported(assumed)) for name in ("report", "grants"))
    return [
        Need(
            "edge, streams", "processor of events", events * event_ms, assumed.edge_ms_s, "ms/s", "one turn an event"
        ),
        Need(
            "edge, data path",
            "processor of requests",
            requests * request_ms,
            assumed.edge_ms_s,
            "ms/s",
            "ordinary path",
        ),
        Need("edge, routing", "processor of picks", requests * pick_ms, assumed.edge_ms_s, "ms/s", "two choices"),
        Need("edge, quota", "bytes of demands", requests * assumed.asks * ask_b, CONTROL_B_S, "B/s", "issued tokens"),
        Need("edge, quota", "bytes of reports", report_b / REPORT_S, CONTROL_B_S, "B/s", "one message for all"),
    ]


def _reported(assumed: Assumed) -> float:
    """Tenants in an edge's report: those that it had a request of lately, if all tenants ask alike."""
    requests = SIZE.requests_per_s / SIZE.edges * assumed.reported_s
    return SIZE.tenants * (1 - math.exp(-requests / SIZE.tenants))


def _edge_tables(slopes: Slopes) -> list[Need]:
    mb = 1e6
    prefix = slopes.each("table of shared prefixes, 8 holders each", "prefixes")
    session = slopes.each("table of sessions, 1 holder each", "sessions")
    server = (
        slopes.each("list in the store", "servers")
        + slopes.each("servers in the router", "servers")
        + slopes.each("servers in the table of connections", "servers")
    )
    return [
        Need("edge, prefixes", "entries", SIZE.prefixes, PREFIX_ENTRIES, "entries", "bounded table"),
        Need(
            "edge, prefixes",
            "memory, all shared prefixes",
            SIZE.prefixes * prefix / mb,
            SIZE.control_mb,
            "MB",
            "bounded table",
        ),
        Need(
            "edge, sessions",
            "entries, if each session keeps to one edge",
            SIZE.sessions / SIZE.edges,
            SESSION_ENTRIES,
            "entries",
            "not by the table: by the rendezvous hash, without state",
        ),
        Need(
            "edge, sessions",
            "memory, if each session keeps to one edge",
            SIZE.sessions / SIZE.edges * session / mb,
            SIZE.control_mb,
            "MB",
            "bounded table",
        ),
        Need(
            "edge, sessions",
            "time between two requests of a session, over the time that a prompt is kept",
            SIZE.sessions / SIZE.requests_per_s,
            60,
            "s",
            "not by the table: by the rendezvous hash, without state",
        ),
        Need("edge, list", "memory of 6,800 servers", SIZE.servers * server / mb, SIZE.control_mb, "MB", "slots"),
    ]


def _chain(slopes: Slopes, assumed: Assumed) -> list[Need]:
    body = slopes.at("body", "routes", assumed.routes)
    peak = SIZE.changes_per_s * assumed.peak_changes
    member_ms = (
        slopes.at("core: compress and take over quotas", "routes", assumed.routes)
        + slopes.at("core: a chain write, out and in", "routes", assumed.routes)
        + slopes.at("append", "B", body)
    ) / 1e3
    read_ms = slopes.at("core: read and check the order", "routes", assumed.routes) / 1e3
    hops = SIZE.core_machines - 1
    order_s = (
        SIZE.core_machines * (assumed.sync_ms + member_ms)
        + assumed.hops_between * assumed.one_way_ms
        + (hops - assumed.hops_between) * 1.4
        + assumed.one_way_ms
        + read_ms
    ) / 1e3
    return [
        Need(
            "chain, head",
            "time of one order after the other, at the busiest",
            peak * order_s,
            1.0,
            "of time",
            "one write under way; MISSING: several orders in one write",
        ),
        Need(
            "chain, each",
            "processor, at the busiest",
            peak * (member_ms + read_ms),
            assumed.core_ms_s,
            "ms/s",
            "whole body",
        ),
        Need(
            "chain, each",
            "bytes in and out, at the busiest",
            2 * peak * body / 1e6,
            assumed.link_mb_s,
            "MB/s",
            "whole body",
        ),
        Need(
            "chain",
            "regions apart: time without orders, where neither side has a majority",
            assumed.apart_s,
            SIZE.in_force_s,
            "s",
            "MISSING: an odd number of acceptors over three places",
        ),
        Need(
            "edge, configuration",
            "regions apart: time without a lease on it, side without majority",
            assumed.apart_s,
            assumed.revoke_s,
            "s",
            "none: `strict_revoke` forbids to serve keys on old knowledge",
        ),
    ]


def _leader(slopes: Slopes, assumed: Assumed) -> list[Need]:
    edges = SIZE.edges
    renew_ms = edges * RENEWALS_S * slopes.at("leader: a renewal", "members", edges) / 1e3
    tick_ms = TICKS_S * slopes.at("leader: a tick, 25 a second", "members", edges) / 1e3
    ask_us = slopes.at("leader: a demand of one tenant", "edges that ask for it", assumed.asking_edges)
    ask_ms = SIZE.requests_per_s * assumed.asks * ask_us / 1e3
    reports = slopes.at("leader: a report on several tenants, 63 edges each", "tenants in it", _reported(assumed))
    report_ms = edges / REPORT_S * reports / 1e3
    changed_b = slopes.at("answer with the zone's members", "members", edges)
    return [
        Need(
            "leader, membership",
            "processor of renewals and ticks",
            renew_ms + tick_ms,
            assumed.core_ms_s,
            "ms/s",
            "lease of 2 s at one machine",
        ),
        Need(
            "leader, membership",
            "bytes, all edges restarted: members of the zone in each answer, in a second",
            edges * RENEWALS_S * changed_b / 1e6,
            assumed.link_mb_s,
            "MB/s",
            "revision; the zone in the answer",
        ),
        Need(
            "leader, quota",
            "processor of reports on rate leases",
            report_ms,
            assumed.core_ms_s,
            "ms/s",
            "MISSING: a home for each tenant and zone; cost by the report, not by all who hold",
        ),
        Need(
            "leader, quota",
            "processor of demands",
            ask_ms,
            assumed.core_ms_s,
            "ms/s",
            "one bucket at one machine; cost by the edges that ask",
        ),
    ]


def _leader_list(slopes: Slopes, assumed: Assumed) -> list[Need]:
    servers = SIZE.servers
    calls = -(-servers // assumed.page)
    reading_ms = (
        calls * slopes.at("a page of 50 entries, read", "page", 50)
        + slopes.at("leader: a reading with one change", "servers", servers)
    ) / 1e3
    all_calls_s = calls / assumed.list_calls_s
    term_ms = slopes.at("leader: first reading of a term, with its links, one turn", "members", SIZE.edges) / 1e3
    term_mb = slopes.at("leader: bytes of it", "members", SIZE.edges) / 1e6
    paced = "MISSING: pages at an even pace, readings by zone or by change"
    return [
        Need(
            "leader, list",
            "calls of a reading, made at once, over those of a second",
            calls,
            assumed.list_calls_s,
            "calls",
            "MISSING: the reading fails, always; " + paced.removeprefix("MISSING: "),
        ),
        Need(
            "leader, list",
            "from a change until it is read, at the share of the calls",
            2 * all_calls_s / assumed.list_share,
            assumed.drain_s,
            "s",
            paced,
        ),
        Need(
            "leader, list",
            "from a change until it is read, at all of the calls",
            2 * all_calls_s,
            assumed.drain_s,
            "s",
            paced,
        ),
        Need(
            "leader, list",
            "processor of readings, two a second, without HTTP",
            reading_ms / READING_S,
            assumed.core_ms_s,
            "ms/s",
            "compared entry by entry",
        ),
        Need(
            "leader, list",
            "new term: its first reading, in one turn, over what its lease leaves",
            term_ms,
            LEASE_LEFT_S * 1e3,
            "ms",
            "MISSING: encoded once, sent to homes only, in slices",
        ),
        Need(
            "leader, list",
            "new term: bytes to all edges before they fetch",
            term_mb / PATIENCE_S,
            assumed.link_mb_s,
            "MB/s",
            "MISSING: a position that outlives the leader",
        ),
        Need(
            "leader, list",
            "new term: memory of the messages",
            term_mb,
            assumed.core_mb - 50,
            "MB",
            "MISSING: the same",
        ),
    ]


def _storage(slopes: Slopes, assumed: Assumed) -> list[Need]:
    body = slopes.at("body", "routes", assumed.routes)
    peak = SIZE.changes_per_s * assumed.peak_changes
    snapshots = peak * body / LOG_BYTES
    written = peak * body + snapshots * 2 * body
    return [
        Need(
            "storage",
            "time of the disk in syncs, at the busiest",
            (peak + 2 * snapshots) * assumed.sync_ms,
            1000,
            "ms/s",
            "two slots and a log",
        ),
        Need("storage", "bytes written, at the busiest", written / 1e6, 10, "MB/s", "two slots and a log"),
        Need("storage", "disk", 2 * (3 * body + TAKEN_BYTES + LOG_BYTES) / 1e6, 128, "MB", "two slots and a log"),
    ]


def event_table(slopes: Slopes, assumed: Assumed) -> str:
    """What events cost."""
    per, edges = SIZE.servers_a_service, SIZE.edges
    delta_ms = (
        slopes.at("take a delta of one server", "servers", per)
        + slopes.at("put a list in force, one server changed", "servers", per)
    ) / 1e3
    first_us = slopes.at("take a whole list, nothing known", "servers", per)
    again_us = slopes.at("take a whole list of a new term, the same", "servers", per)
    in_force_us = slopes.at("put a list in force, one server changed", "servers", per)
    start_us = first_us + slopes.at("put a first list in force", "servers", per)
    config_us = slopes.at("edge: take the update", "routes", assumed.routes) + slopes.at(
        "edge: read it and put it in force", "routes", assumed.routes
    )
    costs = Costs(
        entry_b=slopes.each("whole list", "servers"),
        entry_ms=first_us / per / 1e3,
        delta_ms=delta_ms,
        config_b=slopes.at("compressed, sent to each edge", "routes", assumed.routes),
        config_ms=config_us / 1e3,
        lists_b=slopes.at("whole list, all services", "servers", SIZE.servers),
        term_ms=SIZE.services * (again_us + in_force_us) / 1e3,
        members_b=slopes.at("answer with the zone's members", "members", edges),
        start_ms=SIZE.services * start_us / 1e3,
        leader_term_ms=slopes.at("leader: first reading of a term, with its links, one turn", "members", edges) / 1e3,
        leader_renewal_ms=slopes.at("leader: a renewal after a change of the zone's members", "members", edges) / 1e3,
    )
    released = per / 2 * assumed.changes_a_restart
    lines = [f"| {' | '.join(HEAD)} |", "| --- " * len(HEAD) + "|"]
    lines += [
        f"| {' | '.join(row(event, costs))} |" for event in events(released, assumed.changes_a_restart, assumed.rack)
    ]
    return "\n".join(lines)


def table(rows: Sequence[Need]) -> str:
    """Needs, bounds and ratios."""
    lines = ["| role | what | need | bound | need / bound | mechanism |", "| --- | --- | --- | --- | --- | --- |"]
    lines += [
        f"| {row.role} | {row.what} | {short(row.need)} {row.unit} | {short(row.bound)} {row.unit} "
        f"| {short(row.ratio)} | {row.mechanism} |"
        for row in rows
    ]
    return "\n".join(lines)


def assumptions(assumed: Assumed) -> str:
    """What is taken as what, and why."""
    lines = ["| name | taken as | why |", "| --- | --- | --- |"]
    taken = {each.name: short(getattr(assumed, each.name)) for each in fields(assumed)}
    lines += [f"| {name} | {value} | {WHY[name]} |" for name, value in taken.items()]
    return "\n".join(lines)


def sensitivity(slopes: Slopes, assumed: Assumed) -> str:
    """How ratios move with each assumption."""
    lines = ["| assumption | what | a quarter | as assumed | four times |", "| --- | --- | --- | --- | --- |"]
    base = _ratios(slopes, assumed)
    for each in fields(assumed):
        value = getattr(assumed, each.name)
        less, more = (_ratios(slopes, replace(assumed, **{each.name: other})) for other in (value / 4, value * 4))
        for key, ratio in base.items():
            moved = max(abs(less[key] - ratio), abs(more[key] - ratio)) > 0.1 * ratio
            if moved and max(ratio, less[key], more[key]) >= LEAST_WORTH:
                cells = (
                    f"{each.name} {short(value)}",
                    f"{key[0]}: {key[1]}",
                    short(less[key]),
                    short(ratio),
                    short(more[key]),
                )
                lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)


def _ratios(slopes: Slopes, assumed: Assumed) -> dict[tuple[str, str], float]:
    return {(row.role, row.what): row.ratio for row in needs(slopes, assumed)}


def short(value: float) -> str:
    """A figure of three digits."""
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--slopes", type=Path, default=HERE / "fleet_slopes.json")
    parser.add_argument("--assume", nargs="*", default=[], metavar="NAME=VALUE")
    parser.add_argument("--sensitivity", action="store_true")
    parser.add_argument("--events", action="store_true")
    options = parser.parse_args(arguments)
    assumed = Assumed(**{name: float(value) for name, _, value in (text.partition("=") for text in options.assume)})
    slopes = Slopes(options.slopes)
    print(f"{SIZE.edges} edges in {len(ZONES)} zones\n\n{table(needs(slopes, assumed))}\n\n{assumptions(assumed)}")
    if options.events:
        print(f"\n{event_table(slopes, assumed)}")
    if options.sensitivity:
        print(f"\n{sensitivity(slopes, assumed)}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
