"""`rosechute completion`: shell completion of commands, options and files."""

from __future__ import annotations

import click
from click.shell_completion import get_completion_class


@click.command(epilog="Example: rosechute completion bash >> ~/.bashrc")
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def command(ctx: click.Context, shell: str) -> None:
    """Print the completion script for SHELL."""
    made = get_completion_class(shell)
    assert made is not None
    click.echo(made(ctx.find_root().command, {}, "rosechute", "_ROSECHUTE_COMPLETE").source())
