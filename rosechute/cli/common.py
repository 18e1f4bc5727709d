"""Functions shared by several commands: reading the files, and reporting problems."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple, NoReturn

import click
import msgspec

from rosechute.sidecar.config import Config, ConfigError, load
from rosechute.sidecar.operator_configuration.effective import UNKNOWN_SITE, Site
from rosechute.sidecar.operator_configuration.problems import FileError, Problem
from rosechute.sidecar.operator_configuration.proof import CheckedFile, prove
from rosechute.sidecar.operator_configuration.reading import read
from rosechute.sidecar.operator_policy.policy import load as load_file

REFUSED = 2
FILE = click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
AGAINST = click.option(
    "--against",
    type=click.Path(path_type=Path, dir_okay=False, exists=True),
    metavar="CONFIG.json",
    help="The platform's configuration to check the file against. Without it, checks that need it are skipped.",
)
FORMAT = click.option("--format", "form", type=click.Choice(["text", "json"]), default="text", show_default=True)


class CheckResult(NamedTuple):
    """The result of checking a file."""

    proven: CheckedFile | None
    problems: tuple[Problem, ...]
    site: Site


def configuration(path: Path | None) -> Config | None:
    """Return the platform's configuration; exit if it is invalid."""
    if path is None:
        return None
    try:
        return load({"NODE_CONFIG": str(path)})
    except ConfigError as error:
        click.echo(f"{path}: {error}", err=True)
        sys.exit(REFUSED)


def check_file(file: Path, against: Path | None) -> CheckResult:
    """Parse and check a file."""
    config = configuration(against)
    site = UNKNOWN_SITE if config is None else Site.from_settings(config.settings, config.sockets, config.memory_mb)
    try:
        parsed = read(load_file(file))
        return CheckResult(prove(parsed.file, site, parsed.lines), (), site)
    except FileError as error:
        return CheckResult(None, error.problems, site)


def fail(file: Path, problems: tuple[Problem, ...], form: str) -> NoReturn:
    """Print the problems and exit with code 2."""
    if form == "json":
        click.echo(to_json({"file": str(file), "good": False, "problems": [problem_data(p) for p in problems]}))
    else:
        for problem in problems:
            click.echo(f"{file}: {problem}", err=True)
        click.echo(f"{file}: refused, {len(problems)} problem{'s' if len(problems) > 1 else ''}", err=True)
    sys.exit(REFUSED)


def problem_data(problem: Problem) -> dict[str, object]:
    """Return a problem as JSON-compatible data."""
    value = problem.value
    kept = isinstance(value, str | int | float | list | bool | None) and type(value).__name__ != "Span"
    return {
        "path": problem.path,
        "line": problem.line or None,
        "value": value if kept else str(value),
        "reason": problem.reason,
    }


def to_json(raw: object) -> str:
    """Return indented JSON; NaN and infinity, which JSON lacks, become null."""
    return msgspec.json.format(msgspec.json.encode(raw), indent=2).decode()


def table(head: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> str:
    """Return a text table with columns as wide as their contents."""
    widths = [max(map(len, column)) for column in zip(head, *rows, strict=True)]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in (head, tuple("-" * width for width in widths), *rows)
    ]
    return "\n".join(lines)
