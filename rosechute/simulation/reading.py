"""Scenario files: TOML, every key checked, all problems told at once with their place. Pure: text in, structs out."""

from __future__ import annotations

import tomllib
from typing import Any

from rosechute.sidecar.operator_configuration.problems import FileError, Problem, nearest
from rosechute.sidecar.operator_configuration.reading import Reader, line_of, places
from rosechute.simulation.spec import Class, Clients, Discovery, Fault, Fleet, Instances, Network, Scenario

TABLES = {"clients": Clients, "fleet": Fleet, "instances": Instances, "network": Network, "discovery": Discovery}


def read(text: str) -> Scenario:
    """A scenario; raise FileError with everything that is wrong."""
    try:
        raw: dict[str, Any] = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise FileError([Problem("", None, f"it is not TOML: {error}")]) from None
    return structure(raw, places(text))


def structure(raw: dict[str, Any], lines: dict[str, int] | None = None) -> Scenario:
    """A scenario from its tables; `lines` tells on which line each key stands. Raises as `read` does."""
    raw = dict(raw)
    reader = Reader()
    if raw.pop("version", None) != 1:
        reader.wrong("version", None, "it is missing or another; this program reads version = 1")
    for key in raw.keys() & TABLES.keys():
        raw[key] = reader.table(key, raw[key], TABLES[key])
    for key, name, kind in (("class", "classes", Class), ("fault", "faults", Fault)):
        if key in raw:
            raw[name] = tuple(reader.tables(raw, key, kind))
            del raw[key]
    parts = {key: raw.pop(key) for key in (*TABLES, "classes", "faults") if key in raw}
    head = reader.table("", raw, Scenario)
    if head is not None and not reader.problems:
        scenario = Scenario(**{**{f: getattr(head, f) for f in ("name", "about", "duration", "warmup")}, **parts})
        check(scenario, reader)
        if not reader.problems:
            return scenario
    raise FileError(
        p._replace(path=p.path.lstrip("."), line=line_of(p.path.lstrip("."), lines or {})) for p in reader.problems
    )


def check(scenario: Scenario, reader: Reader) -> None:
    """What no single key can tell."""
    names = [c.name for c in scenario.classes]
    if not names:
        reader.wrong("class", None, "there must be one at least")
    for number, cls in enumerate(scenario.classes):
        if names.index(cls.name) != number:
            reader.wrong(f"class[{number}].name", cls.name, "another class has that name")
        if cls.aim > cls.deadline:
            reader.wrong(f"class[{number}].aim", cls.aim, "is over the deadline")
    if scenario.warmup is not None and scenario.warmup >= scenario.duration:
        reader.wrong("warmup", scenario.warmup, "leaves nothing of the run")
    for number, fault in enumerate(scenario.faults):
        path = f"fault[{number}]"
        if fault.cls and fault.cls not in names:
            reader.wrong(f"{path}.cls", fault.cls, f"there is no such class{nearest(fault.cls, names)}")
        for server in fault.servers:
            if not 0 <= server < scenario.fleet.servers:
                reader.wrong(f"{path}.servers", server, f"there are servers 0 to {scenario.fleet.servers - 1}")
        if fault.kind == "zone-loss" and fault.zone >= scenario.fleet.zones:
            reader.wrong(f"{path}.zone", fault.zone, f"there are zones 0 to {scenario.fleet.zones - 1}")
        if fault.tenant >= len(scenario.clients.tenants):
            reader.wrong(f"{path}.tenant", fault.tenant, f"there are {len(scenario.clients.tenants)} tenants")
        if fault.kind == "false-reports" and scenario.fleet.reports == "none":
            reader.wrong(f"{path}.kind", fault.kind, 'servers report nothing; set fleet.reports = "some"')
        if (fault.at or 0) >= scenario.duration:
            reader.wrong(f"{path}.at", fault.at, "is after the run's end")
