"""Parser of scenario files: validates every TOML key and reports all problems at once with path and line."""

from __future__ import annotations

import tomllib
from typing import Any

from rosechute.sidecar.operator_configuration.problems import FileError, Problem, nearest
from rosechute.sidecar.operator_configuration.reading import Reader, key_lines, line_of
from rosechute.simulation.spec import Class, Clients, Discovery, Fault, Fleet, Instances, Network, Scenario

TABLES = {"clients": Clients, "fleet": Fleet, "instances": Instances, "network": Network, "discovery": Discovery}


def read(text: str) -> Scenario:
    """Parse a scenario.

    Raises:
        FileError: The text is invalid; lists all problems.
    """
    try:
        raw: dict[str, Any] = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise FileError([Problem("", None, f"not TOML: {error}")]) from None
    return structure(raw, key_lines(text))


def structure(raw: dict[str, Any], lines: dict[str, int] | None = None) -> Scenario:
    """Build a scenario from its TOML tables.

    Args:
        raw: The tables.
        lines: Line number of each key path, for problem reports.

    Raises:
        FileError: The tables are invalid; lists all problems.
    """
    raw = dict(raw)
    reader = Reader()
    if raw.pop("version", None) != 1:
        reader.add_problem("version", None, "missing or unsupported; this program reads version = 1")
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
    """Check constraints between keys and report violations to `reader`."""
    names = [c.name for c in scenario.classes]
    if not names:
        reader.add_problem("class", None, "at least one is required")
    for number, cls in enumerate(scenario.classes):
        if names.index(cls.name) != number:
            reader.add_problem(f"class[{number}].name", cls.name, "another class has the same name")
        if cls.aim > cls.deadline:
            reader.add_problem(f"class[{number}].aim", cls.aim, "is over the deadline")
    if scenario.warmup is not None and scenario.warmup >= scenario.duration:
        reader.add_problem("warmup", scenario.warmup, "leaves nothing of the duration to measure")
    for number, fault in enumerate(scenario.faults):
        path = f"fault[{number}]"
        if fault.cls and fault.cls not in names:
            reader.add_problem(f"{path}.cls", fault.cls, f"no such class{nearest(fault.cls, names)}")
        for server in fault.servers:
            if not 0 <= server < scenario.fleet.servers:
                reader.add_problem(f"{path}.servers", server, f"must be in 0 to {scenario.fleet.servers - 1}")
        if fault.kind == "zone-loss" and fault.zone >= scenario.fleet.zones:
            reader.add_problem(
                f"{path}.zone", fault.zone, f"must be one of the zones 0 to {scenario.fleet.zones - 1}"
            )
        if fault.tenant >= len(scenario.clients.tenants):
            reader.add_problem(
                f"{path}.tenant", fault.tenant, f"the scenario has {len(scenario.clients.tenants)} tenants"
            )
        if fault.kind == "false-reports" and scenario.fleet.reports == "none":
            reader.add_problem(f"{path}.kind", fault.kind, 'servers report nothing; set fleet.reports = "some"')
        if (fault.at or 0) >= scenario.duration:
            reader.add_problem(f"{path}.at", fault.at, "is after the run ends")
