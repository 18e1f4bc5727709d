"""`rosechute check`: validation of an operator file."""

from __future__ import annotations

from pathlib import Path

import click

from rosechute.cli.common import AGAINST, FILE, FORMAT, check_file, fail, table, to_json
from rosechute.sidecar.operator_configuration.effective import Effective, Site
from rosechute.sidecar.operator_configuration.units import format_duration

COLUMNS = (
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
    """Check an operator's FILE: its syntax, and that it cannot break the safety rules.

    Exit code 0 if it is valid, with a table of the effective values of each route; 2 if it is rejected, with all
    problems.
    """
    found = check_file(file, against)
    if found.proven is None:
        fail(file, found.problems, form)
    routes = found.proven.routes
    if form == "json":
        click.echo(
            to_json(
                {
                    "file": str(file),
                    "good": True,
                    "checked_against": str(against) if against else None,
                    "not_checked": skipped_checks(found.site),
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
    click.echo(
        table(COLUMNS, [row(r) for r in routes])
        if routes
        else "no routes: the platform's settings apply to all requests"
    )
    for text in skipped_checks(found.site):
        click.echo(f"not checked: {text}")
    click.echo(f"{file}: good, {len(routes)} route{'s' if len(routes) != 1 else ''}")


def skipped_checks(site: Site) -> list[str]:
    """Return the checks that were skipped for lack of the platform's configuration."""
    if site.has_platform_settings:
        return []
    return [
        "whether classes are as strict as the platform's",
        "whether tenants exist",
        "the number of attempts and second copies that the settings allow",
        "descriptors and memory",
    ]


def row(route: Effective) -> tuple[str, ...]:
    """Return one row of the table."""
    made = route.route
    tenant = f" tenant {made.tenant}" if made.tenant else ""
    headers = "".join(f" {name}: {value}" for name, value in made.headers.items())
    rate, budget = route.rate.value, route.budget.value
    return (
        route.name,
        f"{made.method or 'any'} {made.path}{tenant}{headers}",
        route.cls.name,
        route.cls.repeat,
        format_duration(route.timeout_ns.value),
        str(route.attempts),
        "-" if route.try_ns.value is None else format_duration(route.try_ns.value),
        "-" if route.copy_ns.value is None else format_duration(route.copy_ns.value),
        str(route.max_in_flight.value or "-"),
        str(route.max_waiting.value or "-"),
        "-" if rate is None else f"1 in {format_duration(rate.interval_ns)}, {rate.burst} at once",
        "-" if budget is None else f"{budget.ratio:g} + {budget.min_per_s:g}/s",
        str(route.limit_by),
    )
