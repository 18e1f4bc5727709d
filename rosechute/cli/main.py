"""`rosechute`: check, explain, run, demo. Each subcommand is loaded when it is called."""

from __future__ import annotations

import importlib
from typing import Any

import click

from rosechute import __version__

COMMANDS = {
    "check": ("rosechute.cli.check", "Say whether an operator's file is safe."),
    "explain": ("rosechute.cli.explain", "Say which route a request takes, and why."),
    "run": ("rosechute.cli.run", "Run a sidecar."),
    "demo": ("rosechute.cli.demo", "Watch a sidecar decide while servers turn slow, drain and start cold."),
    "lab": ("rosechute.cli.lab", "Measure policies in a simulated fleet, with faults."),
    "completion": ("rosechute.cli.completion", "Print a shell's completion script."),
}
EXTRAS = {"demo": "demo", "lab": "lab"}  # what a command needs besides the extra `tool`


class Lazy(click.Group):
    """A group whose commands are loaded when they are called: `run` need not pay for the rest."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in COMMANDS:
            return None
        if name == "lab":
            from rosechute import native

            native.prefer()
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
        with formatter.section("Commands"):
            formatter.write_dl([(name, told) for name, (_, told) in COMMANDS.items()])


@click.group(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, "--version", prog_name="rosechute")
def main() -> None:
    """A sidecar load balancer whose limits are proven against the rules before they hold.

    \b
    Examples:
      rosechute demo
      rosechute check deploy/routes.toml --against config.json
      rosechute explain deploy/routes.toml "POST /confirm-booking/7" --tenant charity-partners
      rosechute run --config config.json --file deploy/routes.toml
    """
