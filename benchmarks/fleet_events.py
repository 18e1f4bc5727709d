"""What events cost each role, from the slopes. Printed by `python -m benchmarks.fleet_capacity --events`."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.fleet_size import SIZE

MACHINES = SIZE.servers + SIZE.edges + SIZE.core_machines
DELTA_HEAD_B = 30  # of a delta, beside its entries
ZONES = 4


@dataclass(frozen=True, slots=True)
class Event:
    """What an event brings to an edge of a zone that works."""

    name: str
    entries: float = 0  # of the list that change
    deltas: float = 0  # messages of one service each
    configurations: float = 0
    terms: float = 0  # new leaders: whole lists
    revisions: float = 0  # of the members of its zone
    starts: float = 0  # of this edge


@dataclass(frozen=True, slots=True)
class Costs:
    """By one of each, from the slopes: bytes and milliseconds."""

    entry_b: float
    entry_ms: float
    delta_ms: float
    config_b: float
    config_ms: float
    lists_b: float
    term_ms: float
    members_b: float
    start_ms: float
    leader_term_ms: float
    leader_renewal_ms: float  # with the zone's members in the answer


def events(release_deltas: float, changes_a_restart: float, rack: float) -> list[Event]:
    """The events that the issue names."""
    zone_servers, zone_edges = SIZE.servers / ZONES, SIZE.edges_a_zone
    day = SIZE.fail_a_day * 2 + SIZE.restart_a_day * changes_a_restart
    day_edges = (SIZE.fail_a_day + SIZE.restart_a_day) * zone_edges / MACHINES
    return [
        Event("an ordinary day", entries=day, deltas=day, configurations=SIZE.changes_a_day, revisions=2 * day_edges),
        Event("half of a model's servers released", entries=release_deltas, deltas=release_deltas),
        Event("a rack: 40 servers and 2 edges", entries=rack, deltas=SIZE.services, revisions=2),
        Event("a zone lost, the leader not in it", entries=zone_servers, deltas=2 * SIZE.services),
        Event("a zone lost, the leader in it", entries=zone_servers, deltas=SIZE.services, terms=1),
        Event("a zone back", entries=zone_servers, deltas=2 * SIZE.services),
        Event("regions apart, side with a majority", terms=1),
        Event("regions joined again", configurations=1, terms=1),
        Event("all edges restarted in a second", configurations=1, revisions=3, starts=1),
        Event("all core machines restarted", terms=1),
    ]


def row(event: Event, costs: Costs) -> tuple[str, ...]:
    """One line: at an edge messages, KB and ms; KB out of the homes of a zone together; at the leader KB and ms.

    A list of a new term comes twice: the leader sends it to every edge, and the homes pass it on.
    """
    followers = SIZE.edges_a_zone - 1
    lists = event.terms + event.starts
    passed = event.entries * costs.entry_b + event.deltas * DELTA_HEAD_B + event.configurations * costs.config_b
    twice = event.terms * costs.lists_b
    kb = (passed + lists * costs.lists_b + twice + event.revisions * costs.members_b) / 1e3
    ms = (
        event.deltas * costs.delta_ms
        + event.entries * costs.entry_ms
        + event.configurations * costs.config_ms
        + event.terms * costs.term_ms
        + event.starts * costs.start_ms
    )
    homes_kb = followers * (passed + twice) / 1e3
    whole = lists * costs.lists_b + event.revisions * costs.members_b
    leader_kb = (ZONES * passed + SIZE.edges * whole) / 1e3
    leader_ms = event.terms * costs.leader_term_ms + event.revisions * SIZE.edges * costs.leader_renewal_ms
    messages = event.deltas + event.configurations + lists * SIZE.services
    return event.name, *(
        f"{value:,.0f}" if value >= 100 else f"{value:.3g}"
        for value in (messages, kb, ms, homes_kb, leader_kb, leader_ms)
    )


HEAD = (
    "event",
    "edge: messages",
    "edge: KB in",
    "edge: ms",
    "homes of a zone: KB out",
    "leader: KB out",
    "leader: ms",
)
