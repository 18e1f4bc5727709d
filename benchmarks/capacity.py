"""Work out docs/CAPACITY.md: the fleet ahead, measured slopes in, ratios of need to bound out.

    python -m benchmarks.capacity [--slopes FILE] [--assume NAME=VALUE ...] [--sensitivity]

Nothing is measured here. MEASURED holds figures with the command that gave each, `--slopes` takes those of the list
from what `python -m benchmarks.slopes --json FILE` wrote (of another checkout too). `--assume` replaces one
assumption, `--sensitivity` prints how each ratio moves when an assumption is a quarter of it or four times as much.
Figures for lists longer than the longest that was measured are extrapolated and marked with a star.
"""

from __future__ import annotations

import argparse
import json
import math
import pathlib
from typing import Any, NamedTuple

DAY_S = 86_400
SERVERS, SERVICES, CALLS_S, HOPS = 7200, 1400, 1.9e6, 14
ZONES, MACHINES, CONFIG_CHANGES = 5, 9, 5400
FAILED, RESTARTED = 13, 390
ADDED_MS, FORCE_S, TOLD_S = 0.72, 19.0, 6.0
RETRY_RATIO = 0.2  # of rosechute/load_balancing/rules.py
CORE_MS_S, MEMORY_MB, BYTES_S = 13.0, 32.0, 4096.0  # of each second: 1.3% of a core

ASSUMED = {
    "listed": 1.0,  # part of the fleet's servers that stands in each sidecar's list: the protocol has one list
    "changes_a_restart": 3.0,  # drains, goes, is back
    "lines_a_config_change": 1.0,  # on the list of every sidecar
    "rack": 40.0,  # servers lost with a rack or switch
    "release_s": 3600.0,  # in which half of all servers are released
    "zone_s": 1.0,  # in which a lost zone is told, one by one
    "wait_s": 2.5,  # that a watch waits: a quarter of must_ask_in, 10 s where the settings say nothing
    "scrape_s": 15.0,  # between two readings of a sidecar's figures
    "machine_mb_s": 1250.0,  # that a machine of the nine can send
    "capacity_used": 0.6,  # of the servers, before anything fails
}

# One line each: what, and the command that gave it. docs/CAPACITY.md says how busy the machine was.
MEASURED = {
    "idle_bytes": 160.0,  # an idle call, both ways: benchmarks.fleet, "nothing", B/s over msgs/s
    "change_bytes": 295.0,  # a change told to one watch, both ways: benchmarks.fleet, "one change"
    "idle_ms": 0.2,  # of a sidecar for an idle call: benchmarks.fleet --point 100 7200, "nothing", ms/s over msgs/s
    "discovery_us": 26.0,  # of the stand-in for an answer: benchmarks.fleet --point 7200 100, disc. core over msgs/s
    "discovery_us_kb": 0.5,  # and for each KB of it: benchmarks.fleet --point 100 7200, "all start"
    "process_mb": 29.4,  # a real sidecar with a list of 100: benchmarks.fleet --point 100 100
    "process_7200_mb": 46.0,  # with 7,200, after all events: benchmarks.fleet --point 100 7200
    "probe_bytes": 57.0,  # a probe's request alone: rosechute/proxy/http1/backend.py
}


class Row(NamedTuple):
    """One need beside its bound."""

    role: str
    what: str
    need: float
    bound: float
    unit: str
    mechanism: str

    @property
    def ratio(self) -> float:
        return self.need / self.bound


class Model:
    """The fleet under one set of assumptions."""

    def __init__(self, points: dict[int, dict[str, float]], assumed: dict[str, float]) -> None:
        self._points, self.a = points, assumed
        self.length = max(1.0, SERVERS * assumed["listed"])
        self.beyond = self.length > max(points)

    def at(self, name: str, length: float | None = None) -> float:
        """A figure at a length of list: between measured points as a power of it, beyond them by the last two."""
        size = self.length if length is None else length
        known = sorted(self._points)
        upper = next((i for i, one in enumerate(known) if one >= size), len(known) - 1)
        low, high = known[max(0, upper - 1)], known[max(1, upper)]
        first, last = self._points[low][name], self._points[high][name]
        if first <= 0.0 or last <= 0.0:
            return first + (last - first) * (size - low) / (high - low)
        return float(first * (size / low) ** (math.log(last / first) / math.log(high / low)))

    def changes_a_day(self) -> float:
        """Lines told to every sidecar on an ordinary day."""
        a = self.a
        fleet = (
            RESTARTED * a["changes_a_restart"] + FAILED * 2 + 2 * a["rack"] / 7 + 2 * SERVERS / ZONES / 60
        ) * min(1.0, a["listed"])
        return fleet + CONFIG_CHANGES * a["lines_a_config_change"]

    def change_ms(self) -> float:
        """Of one change told alone: the module, and a call to hear it."""
        return self.at("one_change") + MEASURED["idle_ms"]

    def zone_stall_ms(self) -> float:
        """The longest turn of the loop where a zone goes or comes back in one answer."""
        return max(self.at("stall_zone"), self.at("stall_zone_back"))

    def whole_ms(self, known: bool) -> float:
        """Of a whole list, in all."""
        kind = "again" if known else "first"
        return self.at("parse") + self.at(f"take_{kind}") + self.at(f"targets_{kind}")

    def rows(self) -> list[Row]:
        a, change = self.a, self.change_ms()
        day = self.changes_a_day() / DAY_S
        idle = 1.0 / a["wait_s"]
        zone = self.length / ZONES
        release = SERVERS / 2 * min(1.0, a["listed"]) * a["changes_a_restart"] / a["release_s"]
        whole = self.at("whole_bytes")
        kept = sum(self.at(f"{part}_mb") for part in ("lines", "targets", "module"))
        # A watch is answered with all that is new, so a sidecar that is behind takes several as one: it never works
        # longer than the changes take to be told, and one turn more.
        one_by_one = min(self.at("zone_one_by_one") + zone * MEASURED["idle_ms"], a["zone_s"] * 1e3 + change)
        answers = min(zone, a["zone_s"] * 1e3 / change)
        told = "watch; changes only"
        by_list = "MISSING: cost by the change, not by the list"
        return [
            Row(
                "sidecar, list",
                "processor, ordinary day",
                day * change + idle * MEASURED["idle_ms"] + self.at("sweep"),
                CORE_MS_S,
                "ms/s",
                told,
            ),
            Row("sidecar, list", "processor, half the fleet released", release * change, CORE_MS_S, "ms/s", by_list),
            Row(
                "sidecar, list",
                "processor, a zone told one by one",
                one_by_one / a["zone_s"],
                CORE_MS_S,
                "ms/s",
                by_list,
            ),
            Row(
                "sidecar, list",
                "processor, the same if none were taken together",
                self.at("zone_one_by_one") / a["zone_s"],
                CORE_MS_S,
                "ms/s",
                "answers hold all that is new",
            ),
            Row("sidecar, list", "stall of the loop, one change", self.at("stall_change"), ADDED_MS, "ms", by_list),
            Row(
                "sidecar, list",
                "stall of the loop, a zone as one change",
                self.zone_stall_ms(),
                ADDED_MS,
                "ms",
                by_list,
            ),
            Row(
                "sidecar, list",
                "stall of the loop, whole list, first",
                self.at("stall_first"),
                ADDED_MS,
                "ms",
                "MISSING: parsed and taken in slices",
            ),
            Row(
                "sidecar, list",
                "stall of the loop, whole list, known",
                self.at("stall_again"),
                ADDED_MS,
                "ms",
                "MISSING: compared, parsed and taken in slices",
            ),
            Row(
                "sidecar, data path",
                "part of time stalled, half the fleet released",
                release * change / 1e3,
                0.01,
                "of time",
                by_list,
            ),
            Row(
                "sidecar, list",
                "bytes, ordinary day",
                idle * MEASURED["idle_bytes"] + day * MEASURED["change_bytes"],
                BYTES_S,
                "B/s",
                told,
            ),
            Row(
                "sidecar, list",
                "bytes, half the fleet released",
                release * MEASURED["change_bytes"],
                BYTES_S,
                "B/s",
                told,
            ),
            Row(
                "sidecar, list",
                "bytes, a zone told within its time",
                (answers * MEASURED["idle_bytes"] + zone * whole / self.length) / a["zone_s"],
                BYTES_S,
                "B/s",
                "MISSING: a pause to gather a burst",
            ),
            Row(
                "sidecar, list",
                "bytes, one whole list, in its second",
                whole,
                BYTES_S,
                "B/s",
                "MISSING: a list of what is called, by discovery; none needed while numbers are kept",
            ),
            Row("sidecar, list", "memory, what the list holds", kept, MEMORY_MB, "MB", "tuples and slots"),
            Row(
                "sidecar, list",
                "memory, and while a whole one is read",
                kept + self.at("parse_peak_mb"),
                MEMORY_MB,
                "MB",
                "tuples and slots",
            ),
            Row(
                "sidecar, all",
                "memory, the whole process if all of it is control",
                MEASURED["process_mb"]
                + (MEASURED["process_7200_mb"] - MEASURED["process_mb"]) * self.length / SERVERS,
                MEMORY_MB,
                "MB",
                "the interpreter is 25 to 29 of it",
            ),
            Row(
                "sidecar, probes",
                "bytes, four probes a call, requests alone",
                4 * CALLS_S / SERVERS * MEASURED["probe_bytes"],
                BYTES_S,
                "B/s",
                "off from a price of 0.0025 a probe on",
            ),
            Row(
                "sidecar, control",
                "stall of the loop, figures read",
                self.at("census"),
                ADDED_MS,
                "ms",
                "MISSING: counted as they change",
            ),
            Row(
                "discovery",
                "bytes, one change to all, in 1 s, each of nine",
                SERVERS * MEASURED["change_bytes"] / MACHINES / 1e6,
                a["machine_mb_s"],
                "MB/s",
                "its own",
            ),
            Row(
                "discovery",
                "bytes, whole list to all within 6 s, each of nine",
                SERVERS * whole / MACHINES / TOLD_S / 1e6,
                a["machine_mb_s"],
                "MB/s",
                "its own; numbers that are kept",
            ),
            Row(
                "discovery",
                "processor, idle calls, nine cores of the stand-in's speed",
                SERVERS * idle * MEASURED["discovery_us"] / 1e6,
                MACHINES,
                "cores",
                "its own",
            ),
            Row(
                "discovery",
                "processor, a zone one by one, the same",
                SERVERS * answers * MEASURED["discovery_us"] / 1e6 / a["zone_s"],
                MACHINES,
                "cores",
                "its own; a pause to gather a burst",
            ),
            Row(
                "operators",
                "bytes, figures of all read, each of nine",
                SERVERS * self.at("figures_bytes") / a["scrape_s"] / MACHINES / 1e6,
                a["machine_mb_s"],
                "MB/s",
                "text, counters",
            ),
            Row(
                "servers",
                f"attempts at the end of {HOPS} hops, all failing, of what is left over",
                (1 + RETRY_RATIO) ** HOPS,
                1 / min(1.0, a["capacity_used"]),
                "times",
                "retry budget at each hop; MISSING: one for the path",
            ),
        ]


class Event(NamedTuple):
    """What happens to the fleet, as each sidecar is told of it."""

    name: str
    changes: float
    over_s: float
    whole: str = ""  # "first" or "again" where the whole list is told


def events(model: Model) -> list[Event]:
    """A day's events, and the rarer ones."""
    a = model.a
    part = min(1.0, a["listed"])
    per = a["changes_a_restart"]
    return [
        Event("an ordinary day", model.changes_a_day(), DAY_S),
        Event("half of a service released in a minute", SERVERS / SERVICES / 2 * per, 60),
        Event("half of all servers released", SERVERS / 2 * per * part, a["release_s"]),
        Event("a rack lost", a["rack"] * part, 1),
        Event("a zone lost", model.length / ZONES, a["zone_s"]),
        Event("a zone back", model.length / ZONES, a["zone_s"]),
        Event("a region cut off: in the other, lost", model.length / 2, a["zone_s"]),
        Event("a region back after an hour: in it", model.changes_a_day() / 24, 0),
        Event("a region back: in the other", model.length / 2, a["zone_s"]),
        Event("discovery restarted, numbers kept", 0, 0),
        Event("discovery restarted, renumbered", 0, 0, "again"),
        Event("all sidecars restarted, knowing nothing", 0, 0, "first"),
    ]


def cost(model: Model, event: Event) -> tuple[float, ...]:
    """For a sidecar: answers, KB, ms told one by one, ms taken together, the longest stall in ms; for discovery: MB
    and seconds of a core at the stand-in's speed."""
    change, line = model.change_ms(), model.at("parse") / model.length
    if event.whole:
        took = model.whole_ms(event.whole == "again")
        answers, size, one, together = 1.0, model.at("whole_bytes"), took, took
        stall = model.at(f"stall_{event.whole}")
    elif not event.changes:
        answers, size, one, together, stall = 1.0, MEASURED["idle_bytes"], *[MEASURED["idle_ms"]] * 3
    else:
        together = change + event.changes * line
        # As fast as told, or as fast as taken: what comes meanwhile is in the next answer.
        answers = max(1.0, min(event.changes, event.over_s * 1e3 / change))
        size = event.changes * model.at("whole_bytes") / model.length + answers * MEASURED["idle_bytes"]
        one = min(event.changes * change, answers * (change + event.changes / answers * line))
        # Between one change in an answer and all that a zone has.
        part = min(1.0, event.changes / answers / (model.length / ZONES))
        stall = model.at("stall_change") + part * max(0.0, model.zone_stall_ms() - model.at("stall_change"))
        if event.over_s >= 60:
            together = one
    return (
        answers,
        size / 1e3,
        one,
        together,
        stall,
        size * SERVERS / 1e6,
        SERVERS * (answers * MEASURED["discovery_us"] + size / 1e3 * MEASURED["discovery_us_kb"]) / 1e6,
    )


def load(path: pathlib.Path | None) -> dict[int, dict[str, float]]:
    """The points of the slopes."""
    if path is None:
        path = pathlib.Path(__file__).with_name("slopes.json")
    raw: dict[str, dict[str, Any]] = json.loads(path.read_text())
    return {int(size): {name: float(value) for name, value in row.items()} for size, row in raw.items()}


def text(value: float) -> str:
    """Three digits that count."""
    return f"{value:,.0f}" if value >= 100 else f"{value:.3g}"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--slopes", type=pathlib.Path)
    parser.add_argument("--assume", action="append", default=[], metavar="NAME=VALUE")
    parser.add_argument("--sensitivity", action="store_true")
    chosen = parser.parse_args()
    points = load(chosen.slopes)
    assumed = dict(ASSUMED)
    for pair in chosen.assume:
        name, _, value = pair.partition("=")
        if name not in assumed:
            parser.error(f"there is no assumption {name!r}: {', '.join(assumed)}")
        assumed[name] = float(value)
    model = Model(points, assumed)
    rows = sorted(model.rows(), key=lambda row: -row.ratio)
    star = "*" if model.beyond else ""
    print(f"{model.changes_a_day():,.0f} changes a day, {model.length:,.0f}{star} servers in each list\n")
    print("| role | what | need | bound | need / bound | mechanism |\n| --- | --- | --- | --- | --- | --- |")
    for row in rows:
        print(
            f"| {row.role} | {row.what} | {text(row.need)}{star} {row.unit} | {text(row.bound)} {row.unit} | "
            f"{text(row.ratio)}{star} | {row.mechanism} |"
        )
    print(
        "\n| event | changes | answers | KB | ms, as told | ms, as one | longest stall, ms | discovery: MB | core s |"
    )
    print("| --- |" + " --- |" * 8)
    for event in events(model):
        cells = " | ".join(text(value) + star for value in cost(model, event))
        print(f"| {event.name} | {event.changes:,.0f} | {cells} |")
    if chosen.sensitivity:
        sensitivity(points, assumed, rows)


def sensitivity(points: dict[int, dict[str, float]], assumed: dict[str, float], rows: list[Row]) -> None:
    """How each ratio moves; only where it does."""
    print("\n| assumption | what | a quarter | as assumed | four times |\n| --- | --- | --- | --- | --- |")
    for name, value in assumed.items():
        low, high = (Model(points, {**assumed, name: value * by}) for by in (0.25, 4.0))
        below, above = ({(r.role, r.what): r.ratio for r in model.rows()} for model in (low, high))
        for row in rows:
            key = row.role, row.what
            if row.ratio >= 0.1 and (abs(below[key] / row.ratio - 1) > 0.1 or abs(above[key] / row.ratio - 1) > 0.1):
                print(
                    f"| {name} {value:g} | {row.what} | {text(below[key])} | {text(row.ratio)} | "
                    f"{text(above[key])}{'*' if high.beyond else ''} |"
                )


if __name__ == "__main__":
    main()
