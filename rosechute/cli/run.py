"""`rosechute run`: the same process as `python -m rosechute.sidecar`, with an operator's file if one is named."""

from __future__ import annotations

import functools
import os
import signal
import sys
from pathlib import Path

import click


@click.command(epilog="Example: rosechute run --config config.json --file deploy/routes.toml")
@click.option(
    "--config",
    type=click.Path(path_type=Path, dir_okay=False),
    metavar="CONFIG.json",
    help="The platform's configuration; $NODE_CONFIG where it is not named.",
)
@click.option(
    "--file",
    "file",
    type=click.Path(path_type=Path, dir_okay=False),
    help="The operator's file. Without it, the platform's settings alone hold.",
)
def command(config: Path | None, file: Path | None) -> None:
    """Run a sidecar until SIGTERM. SIGHUP has both files read again, and taken both or neither."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the loop listens, it must not kill
    env = dict(os.environ)
    if config is not None:
        env["NODE_CONFIG"] = str(config)
    from rosechute import native

    native.prefer()
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
        pass  # told with all the rest once the configuration is known
    sys.exit(run(env, functools.partial(policy, file)))
