"""`rosechute demo`: a sidecar on loopback with a live table of its decisions."""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import click
import uvloop
from rich.console import Console
from rich.live import Live
from rich.table import Table

from rosechute.fakes.load import Application, RequestKind
from rosechute.fakes.scene import SidecarDeployment
from rosechute.fakes.server import ServerBehavior
from rosechute.proxy.core.log import setup
from rosechute.proxy.core.log_writer import LOG_WRITER
from rosechute.sidecar.operator_configuration.problems import FileError

FILE = """version = 1

[[route]]
name = "rooms"
path = "/list-rooms/*"
try_timeout = "400ms"
second_copy_after = "120ms"
retry_budget = { ratio = 0.2, min_per_s = 3 }
rate = { per_s = 120, burst = 40 }
limit_by = "tenant"

[[route]]
name = "confirm"
path = "/confirm-booking/*"
timeout = "2s"
attempts = 3
max_in_flight = 40
max_waiting = 40

[[route]]
name = "hold"
path = "/hold-desk/*"
attempts = 2
retry_on = ["connect-failed", "full"]
"""
KINDS = [
    RequestKind("/list-rooms/north", 70, "charity-partners"),
    RequestKind("/list-rooms/south", 30, "community-hirers"),
    RequestKind("/confirm-booking/7", 20, "charity-partners", "guarded"),
    RequestKind("/hold-desk/7", 20, "community-hirers", "single_shot", 1.2),
]
REFRESH_S = 0.25


@click.command(epilog="Example: rosechute demo --seconds 12")
@click.option(
    "--seconds", type=click.FloatRange(6, 120), default=12.0, show_default=True, help="Duration of the demo."
)
@click.option("--seed", type=int, default=1, show_default=True, help="Random seed of the load and the servers.")
def command(seconds: float, seed: int) -> None:
    """Run fake servers, a sidecar and a light load on loopback, and show the sidecar's decisions while one server
    becomes slow, one drains and one starts cold.

    Ends by itself, with a result for each safety rule. Exit code 0 if all were kept, else 1.
    """
    setup(level="error")
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "routes.toml")
        path.write_text(FILE, encoding="utf-8")
        try:
            kept = uvloop.run(play(path, seconds, seed, Console()))
        except FileError as error:
            raise click.ClickException(str(error)) from None
        finally:
            LOG_WRITER.flush()
    sys.exit(0 if kept else 1)


async def play(path: Path, seconds: float, seed: int, console: Console) -> bool:
    """Run the demo; return whether all rules were kept."""
    scene = SidecarDeployment({f"desk-{i}": ServerBehavior() for i in range(1, 5)}, file=path, seed=seed)
    application = await scene.start()
    messages: list[str] = []
    start = time.monotonic()

    def report(text: str) -> None:
        messages.append(f"{time.monotonic() - start:5.1f} s  {text}")
        if not console.is_terminal:
            console.print(messages[-1])

    story = asyncio.get_running_loop().create_task(inject_faults(scene, seconds, report))
    playing = asyncio.get_running_loop().create_task(application.play(KINDS, seconds))
    if console.is_terminal:
        with Live(console=console, refresh_per_second=1 / REFRESH_S, transient=True) as live:
            while not playing.done():
                live.update(status_tables(scene, application, messages))
                await asyncio.wait([playing], timeout=REFRESH_S)
    outcome = await playing
    await story
    console.print(status_tables(scene, application, messages))
    verdicts = scene.check_rules(outcome)
    await scene.stop()
    for rule, kept, figures in verdicts:
        console.print(f"{'kept  ' if kept else 'BROKEN'}  {rule}: {figures}", markup=False, highlight=False)
    kept_all = all(kept for _, kept, _ in verdicts)
    console.print(
        f"{'all rules kept' if kept_all else 'a rule was broken'}: {outcome.share():.1%} served, p99 "
        f"{outcome.quantile_ms(0.99):.0f} ms, {scene.attempts() / max(1, len(outcome.results)):.2f} attempts "
        "a request",
        markup=False,
        highlight=False,
    )
    return kept_all


async def inject_faults(scene: SidecarDeployment, seconds: float, report: Callable[[str], None]) -> None:
    """Inject the faults of the demo on schedule."""
    await asyncio.sleep(seconds * 0.15)
    scene.servers["desk-1"].behavior.slow = 8.0
    report("desk-1 becomes slow: response times are multiplied by 8")
    await asyncio.sleep(seconds * 0.2)
    scene.drain("desk-2")
    report("desk-2 drains")
    await asyncio.sleep(seconds * 0.15)
    await scene.join("desk-5", ServerBehavior(cold_s=4.0))
    report("desk-5 starts cold as the replacement of desk-2")
    await asyncio.sleep(seconds * 0.25)
    scene.servers["desk-1"].behavior.slow = 1.0
    report("desk-1 has recovered")


def status_tables(scene: SidecarDeployment, application: Application, messages: list[str]) -> Table:
    """Return the tables of the current state."""
    grid = Table.grid(padding=(0, 2))
    servers = Table("server", "state", "under way", "waiting", "begun", "turned away", title="servers")
    for name, server in scene.servers.items():
        state = (
            "draining"
            if name in scene.drained
            else "slow"
            if server.behavior.slow > 1
            else f"cold {server.speed_share():.0%}"
            if server.speed_share() < 1
            else "up"
        )
        busy, waiting = server.load
        servers.add_row(
            name, state, str(busy), str(waiting), str(len(server.stats.started_requests)), str(server.stats.rejected)
        )
    routes = Table(
        "route", "taken", "in flight", "waiting", "served", "refused", "failed", "budget left", title="routes"
    )
    for row in scene.routes()["routes"]:
        ends = row["ended"]
        routes.add_row(
            row["route"],
            str(row["taken"]),
            str(row["in_flight"]),
            str(row["waiting"]),
            str(ends["served"]),
            str(sum(row["refused"].values())),
            str(ends["failed"]),
            "-" if row["budget_left"] is None else f"{row['budget_left']:.0f}",
        )
    recent = application.outcome.results[-400:]
    late = sorted(d.took_s for d in recent if d.status == 200)
    grid.add_row(servers)
    grid.add_row(routes)
    if late:
        grid.add_row(
            f"last {len(recent)} answers: p50 {late[len(late) // 2] * 1e3:.0f} ms, "
            f"p99 {late[int(len(late) * 0.99)] * 1e3:.0f} ms; {scene.attempts()} attempts in all"
        )
    for text in messages[-4:]:
        grid.add_row(text)
    return grid
