"""The fleet's command line: `python -m rosechute.processes COMMAND`."""

from __future__ import annotations

import asyncio
import importlib
import os
import sys
from pathlib import Path
from typing import NoReturn

import fire
import msgspec
from returns.result import Failure

from rosechute.configuration import operator, process
from rosechute.processes import state

EXIT_OK = 0
EXIT_WRONG = 1
PROGRAM = "rosechute-fleet"


class Commands:
    """The router fleet: run its processes, check its files, ask a process for its state."""

    def edge(self, settings: str = "") -> None:
        """Run an edge process.

        Args:
            settings: The settings file; left out, the one that ROSECHUTE_NODE_FILE names.
        """
        _run("edge", str(settings))

    def core(self, settings: str = "") -> None:
        """Run a core process.

        Args:
            settings: The settings file; left out, the one that ROSECHUTE_NODE_FILE names.
        """
        _run("core", str(settings))

    def check_configuration(self, file: str) -> None:
        """Say whether an operator's configuration is valid; exit code 1 and the place of the problem where it isn't.

        Args:
            file: The configuration, as JSON.
        """
        name = str(file)
        try:
            body = Path(name).read_bytes()
        except OSError as error:
            _fail(f"{name}: read: {error.strerror}")
        read = operator.parse_configuration(body)
        if isinstance(read, Failure):
            _fail(f"{name}: {read.failure()}")
        found = read.unwrap()
        print(
            f"{name}: valid; version {found.config_version}, {len(found.routes)} routes, "
            f"{len(found.services)} services, {len(found.tenants)} tenants"
        )

    def check_settings(self, file: str) -> None:
        """Say whether a settings file is usable; exit code 1 and the place of the problem where it isn't.

        Args:
            file: The settings, as JSON.
        """
        read = process.load_settings(str(file))
        if isinstance(read, Failure):
            _fail(str(read.failure()))
        found = read.unwrap()
        for side in found.serves:
            missing = process.find_missing_setting(found, side, str(file))
            if missing is not None:
                _fail(str(missing))
        print(f"{file}: usable; {found.node_name} in {found.zone} serves {', '.join(found.serves) or 'nothing'}")

    def state(self, address: str) -> None:
        """Print the state of a running process.

        Args:
            address: Its control or readiness address, host:port.
        """
        read = asyncio.run(state.fetch_state(str(address)))
        if isinstance(read, Failure):
            _fail(f"state: {read.failure()}")
        print(msgspec.json.format(msgspec.json.encode(read.unwrap())).decode())

    def demo(self, seconds: float = 20.0) -> None:
        """Run a small fleet on loopback, kill a core process and an edge, and show that requests are still served.

        Args:
            seconds: How long it runs.
        """
        demo = importlib.import_module("rosechute.processes.demo")
        sys.exit(demo.main(float(seconds)))


def _run(role: str, settings: str) -> NoReturn:
    """Run a role's program; its module is loaded only now, since other commands need none of it."""
    if settings:
        os.environ[process.SETTINGS_VARIABLE] = settings
    sys.exit(importlib.import_module(f"rosechute.processes.{role}").main())


def _fail(reason: str) -> NoReturn:
    """End with a reason."""
    print(reason, file=sys.stderr)
    sys.exit(EXIT_WRONG)


def main(arguments: list[str] | None = None) -> None:
    """Run the command that the arguments name."""
    fire.Fire(Commands, command=arguments, name=PROGRAM)


if __name__ == "__main__":
    main()
