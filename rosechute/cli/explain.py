"""`rosechute explain`: the route of a request, the reasons against other routes, and the source of each value."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from pathlib import Path

import click

from rosechute.cli.common import AGAINST, FILE, FORMAT, REFUSED, check_file, fail, table, to_json
from rosechute.sidecar.operator_configuration.effective import Effective
from rosechute.sidecar.operator_configuration.proof import CheckedFile
from rosechute.sidecar.route_matching.pattern import decode_unreserved

MAX_OTHERS = 12


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
    """Show which route of FILE matches the REQUEST, such as "POST /confirm-booking/7"."""
    found = check_file(file, against)
    if found.proven is None:
        fail(file, found.problems, form)
    method, _, target = request.strip().partition(" ")
    target = target.strip()
    if not target.startswith("/") or not method.isalpha():
        click.echo(f'{request!r} is not a request; the form is "POST /confirm-booking/7"', err=True)
        sys.exit(REFUSED)
    header_values: dict[bytes, bytes] = {}
    for text in headers:
        name, equals, value = text.partition("=")
        if not equals or not name:
            click.echo(f"--header {text!r} is not NAME=VALUE", err=True)
            sys.exit(REFUSED)
        header_values[name.lower().encode("latin-1", "replace")] = value.encode("latin-1", "replace")
    chosen, others = explain_request(found.proven, method.upper(), target, tenant, header_values)
    if form == "json":
        click.echo(
            to_json(
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
        click.echo(f"{request}: no route matches; the platform's settings apply")
    else:
        click.echo(f"{request}: route {chosen.name}\n")
        click.echo(table(("key", "value", "from"), list(chosen.rows())))
    if others:
        click.echo("\nother routes:")
        click.echo(table(("route", "why not"), others[:MAX_OTHERS]))
        if len(others) > MAX_OTHERS:
            click.echo(f"... and {len(others) - MAX_OTHERS} more; --format json has all")


def explain_request(
    proven: CheckedFile, method: str, target: str, tenant: str | None, headers: Mapping[bytes, bytes]
) -> tuple[Effective | None, list[tuple[str, str]]]:
    """Return the route of a request, and for each other route the reason why it was not chosen.

    Routes that also match come first.
    """
    who = tenant.encode() if tenant is not None else None
    chosen = proven.table().find(method.encode(), target.encode("latin-1", "replace"), who, headers)
    near: list[tuple[str, str]] = []
    far: list[tuple[str, str]] = []
    for route in proven.routes:
        if route is chosen:
            continue
        why = mismatch_reason(route, method.encode(), target, who, headers)
        if why is None and chosen is not None:
            near.append(
                (route.name, f"it matches, but {chosen.name} is more specific: {precedence_reason(chosen, route)}")
            )
        elif why is not None:
            far.append((route.name, why))
    return chosen, near + far


def mismatch_reason(
    route: Effective, method: bytes, target: str, tenant: bytes | None, headers: Mapping[bytes, bytes]
) -> str | None:
    """Return the reason why a route does not match, or None if it does."""
    match = route.match
    parts = decode_unreserved(target.partition("?")[0].encode("latin-1", "replace")).split(b"/")[1:]
    own = match.pattern.parts
    for i, part in enumerate(own):
        if i >= len(parts):
            return f"the path ends before {route.route.path}"
        if part is not None and part != parts[i]:
            return f"segment {i + 1} of the path is {parts[i].decode('latin-1')!r} and not {part.decode('latin-1')!r}"
        if part is None and not parts[i]:
            return f"segment {i + 1} of the path is empty"
    if match.pattern.below and len(parts) == len(own):
        return f"it only matches paths below {route.route.path[:-2]}"
    if not match.pattern.below and len(parts) > len(own):
        return f"the path continues after {route.route.path}"
    if match.method is not None and match.method != method:
        return f"it only matches {match.method.decode()}"
    if match.tenant is not None and match.tenant != tenant:
        return f"it only matches the tenant {match.tenant.decode('utf-8', 'replace')!r}"
    for name, value in match.headers:
        if headers.get(name) != value:
            return f"it requires the header {name.decode('latin-1')}: {value.decode('latin-1')}"
    return None


def precedence_reason(winner: Effective, loser: Effective) -> str:
    """Return the reason why one matching route takes precedence over another."""
    one, two = winner.match, loser.match
    if one.pattern.shape != two.pattern.shape:
        return f"its path {winner.route.path} is more specific than {loser.route.path}"
    if (one.method is None) != (two.method is None):
        return "it specifies the method"
    if (one.tenant is None) != (two.tenant is None):
        return "it specifies the tenant"
    return f"it requires {len(one.headers)} headers rather than {len(two.headers)}"
