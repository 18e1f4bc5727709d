"""`rosechute explain`: which route a request takes, why not the others, and where each value comes from."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from pathlib import Path

import click

from rosechute.cli.common import AGAINST, FILE, FORMAT, REFUSED, dumped, look, refuse, table
from rosechute.sidecar.operator_configuration.effective import Effective
from rosechute.sidecar.operator_configuration.proof import Proven
from rosechute.sidecar.route_matching.pattern import decoded

MOST_OTHERS = 12


@click.command(
    epilog='Example: rosechute explain routes.toml "POST /confirm-booking/7" --tenant charity-partners '
    "--header X-Attrs=write=1"
)
@FILE
@click.argument("request")
@click.option("--tenant", help="The request's tenant.")
@click.option("--header", "headers", multiple=True, metavar="NAME=VALUE", help="A header of the request; repeatable.")
@AGAINST
@FORMAT
def command(
    file: Path, request: str, tenant: str | None, headers: tuple[str, ...], against: Path | None, form: str
) -> None:
    """Say which route of FILE the REQUEST takes, such as "POST /confirm-booking/7"."""
    found = look(file, against)
    if found.proven is None:
        refuse(file, found.problems, form)
    method, _, target = request.strip().partition(" ")
    target = target.strip()
    if not target.startswith("/") or not method.isalpha():
        click.echo(f'{request!r} is no request; write it as "POST /confirm-booking/7"', err=True)
        sys.exit(REFUSED)
    told: dict[bytes, bytes] = {}
    for text in headers:
        name, equals, value = text.partition("=")
        if not equals or not name:
            click.echo(f"--header {text!r} is not NAME=VALUE", err=True)
            sys.exit(REFUSED)
        told[name.lower().encode("latin-1", "replace")] = value.encode("latin-1", "replace")
    chosen, others = explained(found.proven, method.upper(), target, tenant, told)
    if form == "json":
        click.echo(
            dumped(
                {
                    "request": request,
                    "route": chosen.name if chosen else None,
                    "values": [{"key": k, "value": v, "from": s} for k, v, s in chosen.rows()] if chosen else [],
                    "others": [{"route": name, "why_not": why} for name, why in others],
                }
            )
        )
        return
    if chosen is None:
        click.echo(f"{request}: no route matches; the platform's settings hold")
    else:
        click.echo(f"{request}: route {chosen.name}\n")
        click.echo(table(("key", "value", "from"), list(chosen.rows())))
    if others:
        click.echo("\nnot the others:")
        click.echo(table(("route", "why not"), others[:MOST_OTHERS]))
        if len(others) > MOST_OTHERS:
            click.echo(f"... and {len(others) - MOST_OTHERS} more; --format json has all")


def explained(
    proven: Proven, method: str, target: str, tenant: str | None, headers: Mapping[bytes, bytes]
) -> tuple[Effective | None, list[tuple[str, str]]]:
    """The route that a request takes, and for each other one why it does not; those that match come first."""
    who = tenant.encode() if tenant is not None else None
    chosen = proven.table().find(method.encode(), target.encode("latin-1", "replace"), who, headers)
    near: list[tuple[str, str]] = []
    far: list[tuple[str, str]] = []
    for route in proven.routes:
        if route is chosen:
            continue
        why = misfit(route, method.encode(), target, who, headers)
        if why is None and chosen is not None:
            near.append((route.name, f"it matches, but {chosen.name} is more specific: {by_what(chosen, route)}"))
        elif why is not None:
            far.append((route.name, why))
    return chosen, near + far


def misfit(
    route: Effective, method: bytes, target: str, tenant: bytes | None, headers: Mapping[bytes, bytes]
) -> str | None:
    """Why a route does not match; None where it does."""
    match = route.match
    parts = decoded(target.partition("?")[0].encode("latin-1", "replace")).split(b"/")[1:]
    own = match.pattern.parts
    for i, part in enumerate(own):
        if i >= len(parts):
            return f"the path ends before {route.route.path}"
        if part is not None and part != parts[i]:
            return f"part {i + 1} of the path is {parts[i].decode('latin-1')!r} and not {part.decode('latin-1')!r}"
        if part is None and not parts[i]:
            return f"part {i + 1} of the path is empty"
    if match.pattern.below and len(parts) == len(own):
        return f"it is for what lies below {route.route.path[:-2]}"
    if not match.pattern.below and len(parts) > len(own):
        return f"the path goes on after {route.route.path}"
    if match.method is not None and match.method != method:
        return f"it is for {match.method.decode()}"
    if match.tenant is not None and match.tenant != tenant:
        return f"it is for the tenant {match.tenant.decode('utf-8', 'replace')!r}"
    for name, value in match.headers:
        if headers.get(name) != value:
            return f"it wants the header {name.decode('latin-1')}: {value.decode('latin-1')}"
    return None


def by_what(winner: Effective, loser: Effective) -> str:
    """By which part of the order one route wins over another."""
    one, two = winner.match, loser.match
    if one.pattern.shape != two.pattern.shape:
        return f"its path {winner.route.path} is closer than {loser.route.path}"
    if (one.method is None) != (two.method is None):
        return "it names the method"
    if (one.tenant is None) != (two.tenant is None):
        return "it names the tenant"
    return f"it wants {len(one.headers)} headers and not {len(two.headers)}"
