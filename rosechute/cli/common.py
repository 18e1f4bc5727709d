"""What several commands share: reading both files, and showing what is wrong."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple, NoReturn

import click
import msgspec

from rosechute.sidecar.config import Config, ConfigError, load
from rosechute.sidecar.operator_configuration.effective import BARE, Site
from rosechute.sidecar.operator_configuration.problems import FileError, Problem
from rosechute.sidecar.operator_configuration.proof import Proven, prove
from rosechute.sidecar.operator_configuration.reading import read
from rosechute.sidecar.operator_policy.policy import load as load_file

REFUSED = 2
FILE = click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
AGAINST = click.option(
    "--against",
    type=click.Path(path_type=Path, dir_okay=False, exists=True),
    metavar="CONFIG.json",
    help="The platform's configuration that the file is for. Without it, the file is checked "
    "as far as it goes by itself.",
)
FORMAT = click.option("--format", "form", type=click.Choice(["text", "json"]), default="text", show_default=True)


class Looked(NamedTuple):
    """A file, and what the proof says of it."""

    proven: Proven | None
    problems: tuple[Problem, ...]
    site: Site


def configuration(path: Path | None) -> Config | None:
    """The platform's configuration; ends the command where it can't be used."""
    if path is None:
        return None
    try:
        return load({"NODE_CONFIG": str(path)})
    except ConfigError as error:
        click.echo(f"{path}: {error}", err=True)
        sys.exit(REFUSED)


def look(file: Path, against: Path | None) -> Looked:
    """Read and prove a file."""
    config = configuration(against)
    site = BARE if config is None else Site.of(config.settings, config.sockets, config.memory_mb)
    try:
        told = read(load_file(file))
        return Looked(prove(told.file, site, told.lines), (), site)
    except FileError as error:
        return Looked(None, error.problems, site)


def refuse(file: Path, problems: tuple[Problem, ...], form: str) -> NoReturn:
    """Show what is wrong, and end with 2."""
    if form == "json":
        click.echo(dumped({"file": str(file), "good": False, "problems": [plain(p) for p in problems]}))
    else:
        for problem in problems:
            click.echo(f"{file}: {problem}", err=True)
        click.echo(f"{file}: refused, {len(problems)} problem{'s' if len(problems) > 1 else ''}", err=True)
    sys.exit(REFUSED)


def plain(problem: Problem) -> dict[str, object]:
    """A problem as plain data."""
    value = problem.value
    kept = isinstance(value, str | int | float | list | bool | None) and type(value).__name__ != "Span"
    return {
        "path": problem.path,
        "line": problem.line or None,
        "value": value if kept else str(value),
        "reason": problem.reason,
    }


def dumped(raw: object) -> str:
    """JSON for people and programs; NaN and infinity, which JSON lacks, as null."""
    return msgspec.json.format(msgspec.json.encode(raw), indent=2).decode()


def table(head: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> str:
    """Columns as wide as what stands in them."""
    widths = [max(map(len, column)) for column in zip(head, *rows, strict=True)]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in (head, tuple("-" * width for width in widths), *rows)
    ]
    return "\n".join(lines)
