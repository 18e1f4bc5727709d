"""Changes of the server list in place lead to the same decisions and random draws as a full rebuild."""

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


def load_rules_from_source():
    """Load the module from its source even if a compiled one is in use, as compiled classes cannot be subclassed."""
    source = pathlib.Path(__file__).parents[1] / "rosechute" / "load_balancing" / "rules.py"
    spec = importlib.util.spec_from_file_location("rules_from_source", source)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class RebuildingBalancer(load_rules_from_source().Balancer):
    """Balancer that rebuilds the complete roster at each change of the list."""

    def _apply_list(self, now, event):
        if event.scope != "INCREMENTAL":
            listed = {entry.server for entry in event.entries}
            for name, server in self._servers.items():
                if name not in listed:
                    server.up, server.is_removed = False, True
                    self._update_availability(server)
        for entry in event.entries:
            self._apply_entry(now, entry)
        self._finish_list_change()

    def _apply_entry(self, now, entry):
        server = self._servers.get(entry.server)
        if server is None:
            server = self._servers[entry.server] = Server(entry)
        server.zone, server.cell, server.list_weight = entry.zone, entry.cell, entry.weight
        if server.started >= 0 and entry.started_ns > server.started:
            server.reset()
        if entry.started_ns > server.started:
            server.started = entry.started_ns
            server.credit, server.credit_at = self._random(), now
        server.up, server.is_removed = entry.lifecycle == "up", entry.lifecycle == "removed"
        self._update_availability(server)

    def _finish_list_change(self):
        for server in [s for s in self._servers.values() if s.is_removed and not s.inflight and not s.probing_calls]:
            del self._servers[server.name]
        self._up = sorted((s for s in self._servers.values() if s.up), key=lambda s: s.name)
        self._groups = {}
        for server in self._up:
            self._groups.setdefault(-1 - server.zone, []).append(server)
            self._groups.setdefault(server.cell, []).append(server)
        self._roster.max_weight = max((s.list_weight for s in self._up), default=1.0)
        self._subset = sorted(self._up, key=lambda s: (crc32(f"{self._settings.index}/{s.name}".encode()), s.name))
        self._live_count = sum(1 for s in self._up if s.k)
        self._unavailable_until = 0


def list_state(balancer):
    """Return all state that is derived from the list, by server name."""
    return {
        "servers": [
            (
                s.name,
                s.zone,
                s.cell,
                s.list_weight,
                s.up,
                s.is_removed,
                s.started,
                s.k,
                s.inflight,
                s.credit,
                s.credit_at,
            )
            for s in balancer._servers.values()
        ],
        "up": [s.name for s in balancer._up],
        "subset": [s.name for s in balancer._subset],
        "groups": {key: [s.name for s in members] for key, members in balancer._groups.items()},
        "room": [s.name for s in balancer._available],
        "live": balancer._live_count,
        "heaviest": balancer._roster.max_weight,
        "shut": balancer._unavailable_until,
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
again = st.just("again")  # the last complete list once more
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


class BalancerPair:
    """Two balancers that process the same events."""

    def __init__(self, probing, one, other):
        self.probing, self.balancers, self.now, self.count = probing, (one, other), SECOND, 0
        self.attempts, self.probes, self.attempt_counts, self.last_full_list = [], [], {}, None

    def handle_event(self, event):
        self.now += 7 * MS
        actions = [balancer.handle(self.now, event) for balancer in self.balancers]
        assert actions[0] == actions[1]
        for action in actions[0]:
            if isinstance(action, Submit):
                number = self.attempt_counts.get(action.tid, 0)
                self.attempt_counts[action.tid] = number + 1
                self.attempts.append((action.tid, action.server, number))
            elif isinstance(action, Probe):
                self.probes.append(action.server)

    def step(self, step):
        if isinstance(step, int):
            self.count += 1
            self.handle_event(Accept(f"c{self.count}", step, 2 * SECOND))
        elif isinstance(step, Directory):
            if step.scope == "FULL":
                self.last_full_list = step
            self.handle_event(step)
        elif step == "again":
            if self.last_full_list is not None:
                self.handle_event(Directory("FULL", tuple(Entry(*entry) for entry in self.last_full_list.entries)))
        elif step == "hangup":
            self.handle_event(Hangup(f"c{self.count}"))
        elif step == "alarm":
            self.handle_event(Alarm(rules.TICK))
            self.handle_event(Alarm(0))
        elif step[0] == "index":
            self.handle_event(Reconfigure(settings(step[1], self.probing)))
        elif self.probes:
            how = How.OK if step[2] in (How.OK, How.FULL) else step[2]
            self.handle_event(Echo(self.probes.pop(0), how, MS, {"inflight": 0.0}))
        elif self.attempts:
            tid, server, number = self.attempts.pop(step[1] % len(self.attempts))
            self.handle_event(Response(tid, step[2], 40 * MS, server, number, step[2] is How.OK))
        one, other = (list_state(balancer) for balancer in self.balancers)
        assert one == other


@pytest.mark.parametrize("divisor", [0, 2, 10**6], ids=["in place", "by size", "sorted"])
@pytest.mark.parametrize("probing", [False, True])
def test_update_in_place_equals_rebuild(probing, divisor, monkeypatch):
    monkeypatch.setattr(rules, "REBUILD_DIVISOR", divisor)

    @given(steps)
    def holds(events):
        pair = BalancerPair(
            probing, Balancer(settings(1, probing), 7, SECOND), RebuildingBalancer(settings(1, probing), 7, SECOND)
        )
        for event in events:
            pair.step(event)

    holds()


@pytest.mark.parametrize("divisor", [0, 4], ids=["in place", "by size"])
@pytest.mark.parametrize("probing", [False, True])
@pytest.mark.parametrize("seed", range(4))
def test_update_in_place_equals_rebuild_with_failing_servers(seed, probing, divisor, monkeypatch):
    """Servers fail for some time, so that `k` falls to 0 and recovers.

    They are removed from complete lists with calls in flight, and return unchanged.
    """
    monkeypatch.setattr(rules, "REBUILD_DIVISOR", divisor)
    rng = random.Random(seed)
    start = settings(1, probing), seed, SECOND
    pair = BalancerPair(probing, Balancer(*start), RebuildingBalancer(*start))
    names = [f"s{i}" for i in range(rng.choice([6, 40]))]
    known = {name: Entry(name, rng.randint(-1, 2), 0, rng.randint(-1, 2)) for name in names}
    pair.step(Directory("SAVED", tuple(known.values())))
    failing, seen = set(), set()
    for _ in range(4000):
        name = rng.choice(names)
        draw = rng.random()
        if draw < 0.46:
            pair.step(rng.randint(0, 2))
        elif draw < 0.95:
            if pair.probes:
                pair.step(("outcome", 0, How.OK))
            elif len(pair.attempts) > 10 * rng.random():
                at = rng.randrange(len(pair.attempts))
                failed = pair.attempts[at][1] in failing
                pair.step(("outcome", at, How.ERROR if failed else How.OK))
        elif draw < 0.96:
            (failing.discard if name in failing else failing.add)(name)
        elif draw < 0.965:
            pair.step("alarm")
        elif draw < 0.968:
            left = [entry for entry in known.values() if rng.random() < 0.7]
            rng.shuffle(left)
            pair.step(Directory(rng.choice(["FULL", "SAVED"]), tuple(left)))
        elif draw < 0.971:
            pair.step(Directory("FULL", tuple(Entry(*entry) for entry in known.values())))
        elif draw < 0.972:
            pair.step(("index", rng.randint(0, 3)))
        else:
            old = known[name]
            known[name] = rng.choice(
                [
                    old._replace(lifecycle="draining"),
                    old._replace(lifecycle="removed"),
                    old._replace(lifecycle="up"),
                    old._replace(lifecycle="up", started_ns=pair.now),
                    old._replace(zone=rng.randint(-1, 2)),
                    old._replace(cell=rng.randint(-1, 2)),
                    old._replace(weight=rng.choice([0.5, 1.0, 3.0])),
                ]
            )
            pair.step(Directory("INCREMENTAL", (known[name],)))
        seen |= {s.k == 0 for s in pair.balancers[0]._up} | ({"left"} if pair.balancers[0]._removed else set())
    assert seen == {True, False, "left"}


def test_changes_in_place_restore_all_orders():
    """Guards the cost of one change: servers are found by binary search and inserted in sorted order."""
    balancer = Balancer(settings(1, False), 7, SECOND)
    known = tuple(Entry(f"s{i:05d}", i % 3, 0, i % 40 + 1, "up", 1.0, i) for i in range(4096))
    balancer.handle(SECOND, Directory("FULL", known))
    up, subset, groups = list(balancer._up), list(balancer._subset), dict(balancer._groups)
    for entry in known[:40]:
        balancer.handle(SECOND, Directory("INCREMENTAL", (entry._replace(lifecycle="draining"),)))
        balancer.handle(SECOND, Directory("INCREMENTAL", (entry._replace(started_ns=2 * SECOND),)))
    assert (balancer._up, balancer._subset, balancer._groups) == (up, subset, groups)
    assert balancer._live_count == len(balancer._up) == 4096 and not balancer._removed
    ranks = [(crc32(f"1/{s.name}".encode()), s.name) for s in balancer._subset]
    assert ranks == sorted(ranks)
