"""`rosechute check`: is this file safe?"""

from __future__ import annotations

from pathlib import Path

import click

from rosechute.cli.common import AGAINST, FILE, FORMAT, dumped, look, refuse, table
from rosechute.sidecar.operator_configuration.effective import Effective, Site
from rosechute.sidecar.operator_configuration.units import shown

HEAD = (
    "route",
    "for",
    "class",
    "repeat",
    "timeout",
    "tries",
    "each",
    "copy after",
    "in flight",
    "waiting",
    "rate",
    "budget",
    "by",
)


@click.command(epilog="Example: rosechute check deploy/routes.toml --against config.json")
@FILE
@AGAINST
@FORMAT
def command(file: Path, against: Path | None, form: str) -> None:
    """Check an operator's FILE: its form, and the proof that it keeps the rules.

    Exit code 0 where it is good, with a table of what holds on each route; 2 where it is refused, with all
    that is wrong.
    """
    found = look(file, against)
    if found.proven is None:
        refuse(file, found.problems, form)
    routes = found.proven.routes
    if form == "json":
        click.echo(
            dumped(
                {
                    "file": str(file),
                    "good": True,
                    "checked_against": str(against) if against else None,
                    "not_checked": left_out(found.site),
                    "routes": [
                        {
                            "route": r.name,
                            **{key: {"value": value, "from": source} for key, value, source in r.rows()},
                        }
                        for r in routes
                    ],
                }
            )
        )
        return
    click.echo(table(HEAD, [row(r) for r in routes]) if routes else "no routes: all goes by the platform's settings")
    for text in left_out(found.site):
        click.echo(f"not checked: {text}")
    click.echo(f"{file}: good, {len(routes)} route{'s' if len(routes) != 1 else ''}")


def left_out(site: Site) -> list[str]:
    """What could not be checked without the platform's configuration."""
    if site.at_hand:
        return []
    return [
        "whether classes are as strict as the platform's",
        "whether tenants exist",
        "the most attempts and second copies that the settings allow",
        "descriptors and memory",
    ]


def row(route: Effective) -> tuple[str, ...]:
    """One line of the table."""
    made = route.route
    tenant = f" tenant {made.tenant}" if made.tenant else ""
    headers = "".join(f" {name}: {value}" for name, value in made.headers.items())
    rate, budget = route.rate.value, route.budget.value
    return (
        route.name,
        f"{made.method or 'any'} {made.path}{tenant}{headers}",
        route.cls.name,
        route.cls.repeat,
        shown(route.timeout_ns.value),
        str(route.attempts),
        "-" if route.try_ns.value is None else shown(route.try_ns.value),
        "-" if route.copy_ns.value is None else shown(route.copy_ns.value),
        str(route.max_in_flight.value or "-"),
        str(route.max_waiting.value or "-"),
        "-" if rate is None else f"1 in {shown(rate.interval_ns)}, {rate.burst} at once",
        "-" if budget is None else f"{budget.ratio:g} + {budget.min_per_s:g}/s",
        str(route.limit_by),
    )
