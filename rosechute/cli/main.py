"""The `rosechute` command group; each subcommand is imported when it is called."""

from __future__ import annotations

import importlib
from typing import Any

import click

from rosechute import __version__

COMMANDS = {
    "check": ("rosechute.cli.check", "Check that an operator's file is valid and safe."),
    "explain": ("rosechute.cli.explain", "Show which route a request takes, and why."),
    "run": ("rosechute.cli.run", "Run a sidecar."),
    "demo": ("rosechute.cli.demo", "Show a sidecar's decisions while servers become slow, drain and start cold."),
    "lab": ("rosechute.cli.lab", "Measure policies in a simulated fleet, with faults."),
    "completion": ("rosechute.cli.completion", "Print a shell completion script."),
}
EXTRAS = {"demo": "demo", "lab": "lab"}  # optional dependencies of a command besides the extra `tool`


class Lazy(click.Group):
    """A group that imports commands on demand, so that `run` does not load the dependencies of the others."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Import and return a command, or None if there is none of that name."""
        if name not in COMMANDS:
            return None
        if name == "lab":
            from rosechute import native

            native.install_finder()
        try:
            found: Any = importlib.import_module(COMMANDS[name][0]).command
        except ImportError as error:
            raise click.ClickException(
                f"{name} needs {error.name}, which is not installed; it comes with "
                f"pip install 'rosechute[{EXTRAS.get(name, 'tool')}]'"
            ) from None
        assert isinstance(found, click.Command)
        return found

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the list of commands without importing them."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, summary) for name, (_, summary) in COMMANDS.items()])


@click.group(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, "--version", prog_name="rosechute")
def main() -> None:
    """A sidecar load balancer that checks its limits against safety rules before applying them.

    \b
    Examples:
      rosechute demo
      rosechute check deploy/routes.toml --against config.json
      rosechute explain deploy/routes.toml "POST /confirm-booking/7" --tenant charity-partners
      rosechute run --config config.json --file deploy/routes.toml
    """
