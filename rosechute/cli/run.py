"""`rosechute run`: the process of `python -m rosechute.sidecar`, with an optional operator file."""

from __future__ import annotations

import functools
import os
import sys
from pathlib import Path

import click

from rosechute import process_start


@click.command(epilog="Example: rosechute run --config config.json --file deploy/routes.toml")
@click.option(
    "--config",
    type=click.Path(path_type=Path, dir_okay=False),
    metavar="CONFIG.json",
    help="The platform's configuration; defaults to $NODE_CONFIG.",
)
@click.option(
    "--file",
    "file",
    type=click.Path(path_type=Path, dir_okay=False),
    help="The operator's file. Without it, only the platform's settings apply.",
)
def command(config: Path | None, file: Path | None) -> None:
    """Run a sidecar until SIGTERM. SIGHUP reloads both files atomically."""
    process_start.prepare()
    env = dict(os.environ)
    if config is not None:
        env["NODE_CONFIG"] = str(config)
    from rosechute import native

    native.install_finder()
    from rosechute.sidecar.__main__ import run

    if file is None:
        sys.exit(run(env))
    from rosechute.proxy.core.log import setup
    from rosechute.sidecar.operator_configuration.problems import FileError
    from rosechute.sidecar.operator_configuration.reading import read
    from rosechute.sidecar.operator_policy.policy import load, policy

    try:
        log = read(load(file)).file.log
        setup(log.format, log.level, log.repeats_per_s)
    except FileError:
        pass  # reported with all other problems once the configuration is loaded
    sys.exit(run(env, functools.partial(policy, file)))
