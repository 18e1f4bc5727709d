"""Changes of the list, taken up one by one in place: the same decisions, draw for draw, as sorting all anew."""

from __future__ import annotations

import importlib.util
import pathlib
import random
from zlib import crc32

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosechute.load_balancing import (
    Accept,
    Alarm,
    Balancer,
    Directory,
    Echo,
    Entry,
    Hangup,
    How,
    Probe,
    Reconfigure,
    Response,
    Settings,
    Submit,
    rules,
)
from rosechute.load_balancing.state import Server

SECOND = 1_000_000_000
MS = 1_000_000
NAMES = [f"s{i}" for i in range(12)]


def settings(index, probing):
    return Settings.parse(
        {
            "index": index,
            "replicasOfMe": 40,
            "failureDomains": ["a", "b", "c"],
            "discovery": "subscribe",
            "classes": [
                {"name": "free", "onTimeNs": SECOND, "hardLimitNs": 2 * SECOND, "repeat": "free"},
                {
                    "name": "zone",
                    "onTimeNs": SECOND,
                    "hardLimitNs": 2 * SECOND,
                    "repeat": "guarded",
                    "group": "zone",
                    "windowNs": 2 * SECOND,
                },
                {
                    "name": "cell",
                    "onTimeNs": SECOND,
                    "hardLimitNs": 2 * SECOND,
                    "repeat": "guarded",
                    "group": "cell",
                    "windowNs": 2 * SECOND,
                },
            ],
            "limits": {"maxAttempts": 4, "mayProbe": probing, "cancel": True},
            "reporting": {"how": "answers"},
        }
    )


def plain_rules():
    """The decision module from its source, also where a compiled one is loaded: that takes no subclass."""
    source = pathlib.Path(__file__).parents[1] / "rosechute" / "load_balancing" / "rules.py"
    spec = importlib.util.spec_from_file_location("rules_from_source", source)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class Rebuilding(plain_rules().Balancer):
    """The list part as it was before changes were taken up in place: everything is rebuilt at each of them."""

    def _take_up(self, now, event):
        if event.scope != "INCREMENTAL":
            listed = {entry.server for entry in event.entries}
            for name, server in self._servers.items():
                if name not in listed:
                    server.up, server.gone = False, True
                    self._refresh(server)
        for entry in event.entries:
            self._enter(now, entry)
        self._relist()

    def _enter(self, now, entry):
        server = self._servers.get(entry.server)
        if server is None:
            server = self._servers[entry.server] = Server(entry)
        server.zone, server.cell, server.heft = entry.zone, entry.cell, entry.weight
        if server.started >= 0 and entry.started_ns > server.started:
            server.reset()
        if entry.started_ns > server.started:
            server.started = entry.started_ns
            server.credit, server.credit_at = self._random(), now
        server.up, server.gone = entry.lifecycle == "up", entry.lifecycle == "removed"
        self._refresh(server)

    def _relist(self):
        for server in [s for s in self._servers.values() if s.gone and not s.inflight and not s.askers]:
            del self._servers[server.name]
        self._up = sorted((s for s in self._servers.values() if s.up), key=lambda s: s.name)
        self._groups = {}
        for server in self._up:
            self._groups.setdefault(-1 - server.zone, []).append(server)
            self._groups.setdefault(server.cell, []).append(server)
        self._roster.heaviest = max((s.heft for s in self._up), default=1.0)
        self._subset = sorted(self._up, key=lambda s: (crc32(f"{self._set.index}/{s.name}".encode()), s.name))
        self._live = sum(1 for s in self._up if s.k)
        self._shut_until = 0


def derived(balancer):
    """All that the list decides, by name."""
    return {
        "servers": [
            (s.name, s.zone, s.cell, s.heft, s.up, s.gone, s.started, s.k, s.inflight, s.credit, s.credit_at)
            for s in balancer._servers.values()
        ],
        "up": [s.name for s in balancer._up],
        "subset": [s.name for s in balancer._subset],
        "groups": {key: [s.name for s in members] for key, members in balancer._groups.items()},
        "room": [s.name for s in balancer._room],
        "live": balancer._live,
        "heaviest": balancer._roster.heaviest,
        "shut": balancer._shut_until,
        "draw": balancer._random(),
    }


entries = st.builds(
    Entry,
    st.sampled_from(NAMES),
    st.integers(-1, 2),
    st.just(0),
    st.integers(-1, 2),
    st.sampled_from(["up", "up", "up", "draining", "removed", "odd"]),
    st.sampled_from([0.0, 0.5, 1.0, 1.0, 4.0]),
    st.sampled_from([0, SECOND, 2 * SECOND, 3 * SECOND]),
)
lists = st.builds(
    Directory,
    st.sampled_from(["INCREMENTAL", "INCREMENTAL", "INCREMENTAL", "FULL", "SAVED"]),
    st.lists(entries, max_size=14).map(tuple),
)
again = st.just("again")  # the last whole list once more
failures = st.sampled_from([Directory("FAILED"), Directory("SILENT")])
calls = st.integers(0, 2)
outcomes = st.tuples(
    st.just("outcome"),
    st.integers(0, 5),
    st.sampled_from([How.OK, How.OK, How.ERROR, How.FULL, How.TIMEOUT, How.CONNECT_FAILED, How.RESET, How.MOOT]),
)
other = st.builds(lambda index: ("index", index), st.integers(0, 3))
steps = st.lists(
    st.one_of(
        lists,
        lists,
        lists,
        again,
        calls,
        calls,
        calls,
        calls,
        outcomes,
        outcomes,
        outcomes,
        failures,
        other,
        st.just("hangup"),
        st.just("alarm"),
    ),
    max_size=60,
)


class Play:
    """One sequence of events, given to both."""

    def __init__(self, probing, one, other):
        self.probing, self.pair, self.now, self.count = probing, (one, other), SECOND, 0
        self.out, self.probes, self.tries, self.whole = [], [], {}, None

    def give(self, event):
        self.now += 7 * MS
        took = [balancer.handle(self.now, event) for balancer in self.pair]
        assert took[0] == took[1]
        for action in took[0]:
            if isinstance(action, Submit):
                number = self.tries.get(action.tid, 0)
                self.tries[action.tid] = number + 1
                self.out.append((action.tid, action.server, number))
            elif isinstance(action, Probe):
                self.probes.append(action.server)

    def step(self, step):
        if isinstance(step, int):
            self.count += 1
            self.give(Accept(f"c{self.count}", step, 2 * SECOND))
        elif isinstance(step, Directory):
            if step.scope == "FULL":
                self.whole = step
            self.give(step)
        elif step == "again":
            if self.whole is not None:
                self.give(Directory("FULL", tuple(Entry(*entry) for entry in self.whole.entries)))
        elif step == "hangup":
            self.give(Hangup(f"c{self.count}"))
        elif step == "alarm":
            self.give(Alarm(rules.TICK))
            self.give(Alarm(0))
        elif step[0] == "index":
            self.give(Reconfigure(settings(step[1], self.probing)))
        elif self.probes:
            how = How.OK if step[2] in (How.OK, How.FULL) else step[2]
            self.give(Echo(self.probes.pop(0), how, MS, {"inflight": 0.0}))
        elif self.out:
            tid, server, number = self.out.pop(step[1] % len(self.out))
            self.give(Response(tid, step[2], 40 * MS, server, number, step[2] is How.OK))
        one, other = (derived(balancer) for balancer in self.pair)
        assert one == other


@pytest.mark.parametrize("anew", [0, 2, 10**6], ids=["in place", "by size", "sorted"])
@pytest.mark.parametrize("probing", [False, True])
def test_in_place_is_draw_for_draw_what_a_rebuild_decides(probing, anew, monkeypatch):
    monkeypatch.setattr(rules, "ANEW", anew)

    @given(steps)
    def holds(events):
        play = Play(probing, Balancer(settings(1, probing), 7, SECOND), Rebuilding(settings(1, probing), 7, SECOND))
        for event in events:
            play.step(event)

    holds()


@pytest.mark.parametrize("anew", [0, 4], ids=["in place", "by size"])
@pytest.mark.parametrize("probing", [False, True])
@pytest.mark.parametrize("seed", range(4))
def test_in_place_holds_over_a_long_day_with_sick_servers(seed, probing, anew, monkeypatch):
    """Servers fail for a while, so that k falls to 0 and comes back; they are left out of whole lists and come back
    as they were, and have calls in flight while they go."""
    monkeypatch.setattr(rules, "ANEW", anew)
    rng = random.Random(seed)
    start = settings(1, probing), seed, SECOND
    play = Play(probing, Balancer(*start), Rebuilding(*start))
    names = [f"s{i}" for i in range(rng.choice([6, 40]))]
    known = {name: Entry(name, rng.randint(-1, 2), 0, rng.randint(-1, 2)) for name in names}
    play.step(Directory("SAVED", tuple(known.values())))
    sick, seen = set(), set()
    for _ in range(4000):
        name = rng.choice(names)
        draw = rng.random()
        if draw < 0.46:
            play.step(rng.randint(0, 2))
        elif draw < 0.95:
            if play.probes:
                play.step(("outcome", 0, How.OK))
            elif len(play.out) > 10 * rng.random():
                at = rng.randrange(len(play.out))
                failed = play.out[at][1] in sick
                play.step(("outcome", at, How.ERROR if failed else How.OK))
        elif draw < 0.96:
            (sick.discard if name in sick else sick.add)(name)
        elif draw < 0.965:
            play.step("alarm")
        elif draw < 0.968:
            left = [entry for entry in known.values() if rng.random() < 0.7]
            rng.shuffle(left)
            play.step(Directory(rng.choice(["FULL", "SAVED"]), tuple(left)))
        elif draw < 0.971:
            play.step(Directory("FULL", tuple(Entry(*entry) for entry in known.values())))
        elif draw < 0.972:
            play.step(("index", rng.randint(0, 3)))
        else:
            old = known[name]
            known[name] = rng.choice(
                [
                    old._replace(lifecycle="draining"),
                    old._replace(lifecycle="removed"),
                    old._replace(lifecycle="up"),
                    old._replace(lifecycle="up", started_ns=play.now),
                    old._replace(zone=rng.randint(-1, 2)),
                    old._replace(cell=rng.randint(-1, 2)),
                    old._replace(weight=rng.choice([0.5, 1.0, 3.0])),
                ]
            )
            play.step(Directory("INCREMENTAL", (known[name],)))
        seen |= {s.k == 0 for s in play.pair[0]._up} | ({"left"} if play.pair[0]._gone else set())
    assert seen == {True, False, "left"}


def test_a_change_is_compared_and_not_sorted():
    """The cost of one change: no more servers are looked at than a search by halves needs."""
    balancer = Balancer(settings(1, False), 7, SECOND)
    known = tuple(Entry(f"s{i:05d}", i % 3, 0, i % 40 + 1, "up", 1.0, i) for i in range(4096))
    balancer.handle(SECOND, Directory("FULL", known))
    up, subset, groups = list(balancer._up), list(balancer._subset), dict(balancer._groups)
    for entry in known[:40]:
        balancer.handle(SECOND, Directory("INCREMENTAL", (entry._replace(lifecycle="draining"),)))
        balancer.handle(SECOND, Directory("INCREMENTAL", (entry._replace(started_ns=2 * SECOND),)))
    assert (balancer._up, balancer._subset, balancer._groups) == (up, subset, groups)
    assert balancer._live == len(balancer._up) == 4096 and not balancer._gone
    ranks = [(crc32(f"1/{s.name}".encode()), s.name) for s in balancer._subset]
    assert ranks == sorted(ranks)
