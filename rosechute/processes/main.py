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

from rosechute import process_start
from rosechute.configuration import operator, process
from rosechute.processes import state

EXIT_OK = 0
EXIT_FAILURE = 1
PROGRAM = "rosechute-fleet"


class Commands:
    """The router fleet: run its processes, check its files, ask a process for its state."""

    def edge(self, settings: str = "") -> None:
        """Run an edge process.

        Args:
            settings: The settings file; by default the one that ROSECHUTE_NODE_FILE names.
        """
        _run("edge", str(settings))

    def core(self, settings: str = "") -> None:
        """Run a core process.

        Args:
            settings: The settings file; by default the one that ROSECHUTE_NODE_FILE names.
        """
        _run("core", str(settings))

    def check_configuration(self, file: str) -> None:
        """Check an operator's configuration; if it is invalid, print where and exit with code 1.

        Args:
            file: The configuration, as JSON.
        """
        name = str(file)
        try:
            body = Path(name).read_bytes()
        except OSError as error:
            _fail(f"{name}: read: {error.strerror}")
        result = operator.parse_configuration(body)
        if isinstance(result, Failure):
            _fail(f"{name}: {result.failure()}")
        checked = result.unwrap()
        print(
            f"{name}: valid; version {checked.config_version}, {len(checked.routes)} routes, "
            f"{len(checked.services)} services, {len(checked.tenants)} tenants"
        )

    def check_settings(self, file: str) -> None:
        """Check a settings file; if it is unusable, print where and exit with code 1.

        Args:
            file: The settings, as JSON.
        """
        result = process.load_settings(str(file))
        if isinstance(result, Failure):
            _fail(str(result.failure()))
        checked = result.unwrap()
        for side in checked.serves:
            missing = process.find_missing_setting(checked, side, str(file))
            if missing is not None:
                _fail(str(missing))
        print(
            f"{file}: usable; {checked.node_name} in {checked.zone} serves {', '.join(checked.serves) or 'nothing'}"
        )

    def state(self, address: str) -> None:
        """Print the state of a running process.

        Args:
            address: Control or readiness address of the process, host:port.
        """
        result = asyncio.run(state.fetch_state(str(address)))
        if isinstance(result, Failure):
            _fail(f"state: {result.failure()}")
        print(msgspec.json.format(msgspec.json.encode(result.unwrap())).decode())

    def demo(self, seconds: float = 20.0) -> None:
        """Run a small fleet on loopback, kill a core process and an edge, and show that requests are still served.

        Args:
            seconds: Duration of the demo.
        """
        demo = importlib.import_module("rosechute.processes.demo")
        sys.exit(demo.main(float(seconds)))


def _run(role: str, settings: str) -> NoReturn:
    """Run the entry point of a role; its module is imported here, since the other commands do not need it."""
    if settings:
        os.environ[process.SETTINGS_VARIABLE] = settings
    process_start.prepare_fleet_process()
    sys.exit(importlib.import_module(f"rosechute.processes.{role}").main())


def _fail(reason: str) -> NoReturn:
    """Print the reason on standard error and exit with `EXIT_FAILURE`."""
    print(reason, file=sys.stderr)
    sys.exit(EXIT_FAILURE)


def main(arguments: list[str] | None = None) -> None:
    """Run the command that the arguments name."""
    fire.Fire(Commands, command=arguments, name=PROGRAM)


if __name__ == "__main__":
    main()
