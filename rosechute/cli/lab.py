"""`rosechute lab`: run scenarios, sweep over parameters and policies, compare and export results."""

from __future__ import annotations

import contextlib
import csv
import json
import os
import shlex
import sqlite3
import sys
from collections import defaultdict
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, TypeVar

import click
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

from rosechute.sidecar.operator_configuration.problems import FileError
from rosechute.simulation.judge import Breach, Judge
from rosechute.simulation.library import load, names
from rosechute.simulation.rivals import NAMES
from rosechute.simulation.run import run as play
from rosechute.simulation.statistic import interval, verdict
from rosechute.simulation.store import Row, Store, program
from rosechute.simulation.sweep import sweep, tasks
from rosechute.simulation.trace import read as read_trace

LOWER_IS_BETTER = ("_ms", "refused", "failed", "late", "lost", "unanswered", "attempts_a_request", "breaches")
MAX_TRUSTED_LAG_MS = 10.0  # event lag of a real-time run above which the figures reflect an overloaded machine
F = TypeVar("F", bound=Callable[..., Any])


def parse_changes(_: click.Context, __: click.Parameter, options: Sequence[str]) -> dict[str, list[Any]]:
    """Parse options such as fleet.servers=10,20 into paths and values."""
    found: dict[str, list[Any]] = {}
    for text in options:
        path, sep, values = text.partition("=")
        if not sep or not path or not values:
            raise click.BadParameter(f"{text!r} is not PATH=VALUE[,VALUE ...]")
        found[path.strip()] = [_value(value) for value in values.split(",")]
    return found


def _value(text: str) -> Any:
    try:
        return json.loads(text)
    except json.JSONDecodeError:
        return text


def store_option(required: bool = False) -> Callable[[F], F]:
    """Return the `--store` option; with `required`, the file must exist."""
    return click.option(
        "--store",
        type=click.Path(path_type=Path, dir_okay=False, exists=required),
        default=Path("lab.sqlite"),
        show_default=True,
        help="Database of results.",
    )


changes = click.option(
    "--set",
    "changes",
    multiple=True,
    callback=parse_changes,
    metavar="PATH=VALUE[,...]",
    help="Override a key of the scenario; several values form a grid.",
)


@click.group(epilog="Example: rosechute lab run calm")
def command() -> None:
    """Run scenarios in the lab: the load balancer and other policies against a model of servers and faults.

    \b
    Examples:
      rosechute lab ls
      rosechute lab real slow-one --report slow.html
      rosechute lab run metastable --policy module --seed 3 --report report.html
      rosechute lab sweep calm overload --policy module --policy two-choices --seeds 20
      rosechute lab compare module two-choices
    """


def _load(name: str, change: dict[str, list[Any]]) -> Any:
    for path, values in change.items():
        if len(values) != 1:
            raise click.BadParameter(f"{path} has {len(values)} values; one run takes one", param_hint="--set")
    try:
        return load(name, {path: values[0] for path, values in change.items()})
    except FileError as error:
        raise click.ClickException("\n".join(map(str, error.problems))) from None


def _breaches(found: Sequence[Breach], err: bool = False) -> None:
    """Print one line for each breach."""
    for breach in found:
        click.echo(f"{breach.at_ns / 1e9:.3f} s  {breach.rule}: {breach.text}", err=err)


def _repeat_command(parts: list[str], changes: dict[str, list[Any]]) -> str:
    """Return the command that repeats a run."""
    for path, values in changes.items():
        parts = [*parts, "--set", f"{path}={json.dumps(values[0])}"]
    return shlex.join(["rosechute", "lab", *parts])


@command.command("run", epilog="Example: rosechute lab run slow-one --policy peak-ewma --seed 2 --report slow.html")
@click.argument("scenario")
@click.option("--policy", type=click.Choice(NAMES), default="module", show_default=True)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--report", type=click.Path(path_type=Path, dir_okay=False), help="Write the run as one HTML file.")
@click.option("--trace", type=click.Path(path_type=Path, dir_okay=False), help="Write every record.")
@click.option("--format", "form", type=click.Choice(["text", "json"]), default="text", show_default=True)
@changes
def run(
    scenario: str,
    policy: str,
    seed: int,
    report: Path | None,
    trace: Path | None,
    form: str,
    changes: dict[str, list[Any]],
) -> None:
    """Run SCENARIO (a name from `lab ls`, or a file) once. Exit code 0 if all rules were kept, else 1."""
    wanted = _load(scenario, changes)
    if trace is not None:
        with trace.open("wb") as file:
            done = play(wanted, policy, seed, file)
    else:
        done = play(wanted, policy, seed)
    if report is not None:
        from rosechute.simulation.report import page

        again = _repeat_command(["run", scenario, "--policy", policy, "--seed", str(seed)], changes)
        report.write_text(page(done, wanted, policy, seed, again), encoding="utf-8")
    if form == "json":
        click.echo(json.dumps({"digest": done.digest, **done.result}, sort_keys=True))
    else:
        table = Table(title=f"{wanted.name}, {policy}, seed {seed}")
        table.add_column("figure")
        table.add_column("value", justify="right")
        for name, value in done.result.items():
            if not isinstance(value, dict):
                table.add_row(name, f"{value:.4g}" if isinstance(value, float) else str(value))
        for rule, count in done.result["breaches"].items():
            table.add_row(f"breaches: {rule}", str(count))
        table.add_row("trace", done.digest)
        Console().print(table)
        _breaches(done.judge.breaches[:10], err=True)
    sys.exit(1 if sum(done.result["breaches"].values()) else 0)


@command.command("real", epilog="Example: rosechute lab real slow-one --seed 2 --report slow.html")
@click.argument("scenario")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--report", type=click.Path(path_type=Path, dir_okay=False), help="Write both runs as one HTML file.")
@click.option("--trace", type=click.Path(path_type=Path, dir_okay=False), help="Write the real run's records.")
@click.option("--format", "form", type=click.Choice(["text", "json"]), default="text", show_default=True)
@changes
def real(
    scenario: str, seed: int, report: Path | None, trace: Path | None, form: str, changes: dict[str, list[Any]]
) -> None:
    """Run SCENARIO against real sidecar processes on loopback, in real time, and in the model with the same seed.

    Exit code 0 if the processes kept all rules, else 1.
    """
    import uvloop

    from rosechute.simulation.real.world import real as play_real

    wanted = _load(scenario, changes)
    try:
        with trace.open("wb") if trace is not None else contextlib.nullcontext() as file:
            done = uvloop.run(play_real(wanted, seed, file))
    except FileError as error:
        raise click.ClickException("\n".join(map(str, error.problems))) from None
    except (RuntimeError, ExceptionGroup) as error:
        reasons = error.exceptions if isinstance(error, ExceptionGroup) else (error,)
        raise click.ClickException("; ".join(map(str, reasons))) from None
    model = play(wanted, "module", seed)
    if report is not None:
        from rosechute.simulation.report import beside

        again = _repeat_command(["real", scenario, "--seed", str(seed)], changes)
        lag = done.lag_p99_ms, done.lag_max_ms
        report.write_text(beside(model, done.run, lag, wanted, seed, again), encoding="utf-8")
    if form == "json":
        click.echo(
            json.dumps(
                {
                    "model": model.result,
                    "real": done.run.result,
                    "lag_p99_ms": done.lag_p99_ms,
                    "lag_max_ms": done.lag_max_ms,
                },
                sort_keys=True,
            )
        )
    else:
        rows = [
            [name, f"{value:.4g}", f"{done.run.result[name]:.4g}"]
            for name, value in model.result.items()
            if not isinstance(value, dict)
        ]
        rows += [
            [f"breaches: {rule}", str(count), str(done.run.result["breaches"][rule])]
            for rule, count in model.result["breaches"].items()
        ]
        _print_table(["figure", "model", "processes"], rows, "text")
        click.echo(
            f"event lag of the bench: {done.lag_p99_ms:.1f} ms at the 99th percentile, {done.lag_max_ms:.1f} ms "
            "at most"
        )
        _breaches(done.run.judge.breaches[:10], err=True)
    if done.lag_p99_ms > MAX_TRUSTED_LAG_MS:
        click.echo(
            "this machine is too slow for a real-time run: above "
            f"{MAX_TRUSTED_LAG_MS:g} ms of event lag, the figures reflect the bench",
            err=True,
        )
    sys.exit(1 if sum(done.run.result["breaches"].values()) else 0)


@command.command("judge", epilog="Example: rosechute lab judge run.trace --scenario overload")
@click.argument("trace", type=click.Path(path_type=Path, dir_okay=False, exists=True))
@click.option("--scenario", required=True, help="The scenario that produced the trace.")
@changes
def judge(trace: Path, scenario: str, changes: dict[str, list[Any]]) -> None:
    """Check the rules on a recorded trace. Exit code 0 if all were kept, else 1."""
    found = Judge(_load(scenario, changes))
    try:
        with trace.open("rb") as file:
            for record in read_trace(file):
                found(record)
    except ValueError as error:
        raise click.ClickException(f"{trace}: {error}") from None
    found.finish()
    _breaches(found.breaches)
    click.echo(", ".join(f"{rule} {count}" for rule, count in found.counts.items()))
    sys.exit(1 if sum(found.counts.values()) else 0)


@command.command("sweep", epilog="Example: rosechute lab sweep calm --policy module --set fleet.servers=5,10,20")
@click.argument("scenarios", nargs=-1)
@click.option("--policy", "policies", type=click.Choice([*NAMES, "all"]), multiple=True, default=("module",))
@click.option(
    "--seeds", type=click.IntRange(1, 100_000), default=20, show_default=True, help="Number of seeds, starting at 1."
)
@click.option("--workers", type=click.IntRange(1, 512), help="Number of processes; default: one per core.")
@store_option()
@changes
def sweeping(
    scenarios: tuple[str, ...],
    policies: tuple[str, ...],
    seeds: int,
    workers: int | None,
    store: Path,
    changes: dict[str, list[Any]],
) -> None:
    """Run SCENARIOS (default: all bundled ones) for each policy, seed and combination of values.

    An interrupted sweep continues where it stopped when the command is run again.
    """
    chosen = list(NAMES) if "all" in policies else list(dict.fromkeys(policies))
    kept = _open(store)
    try:
        wanted = tasks(scenarios or names(), chosen, range(1, seeds + 1), changes, program())
    except FileError as error:
        raise click.ClickException("\n".join(map(str, error.problems))) from None
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
    try:
        with Progress(*columns, console=Console(stderr=True)) as progress:
            bar = progress.add_task("runs", total=len(wanted))
            done = sweep(kept, wanted, workers or os.cpu_count() or 1, lambda _: progress.advance(bar))
    except KeyboardInterrupt:
        raise click.ClickException("interrupted; run the command again to continue") from None
    finally:
        kept.close()
    click.echo(f"{done} runs done, {len(wanted) - done} were there already; in {store}")


def _open(path: Path) -> Store:
    try:
        return Store(path)
    except sqlite3.DatabaseError as error:
        raise click.ClickException(f"{path} is not a lab result store: {error}") from None


def _figure(row: Row, figure: str) -> float:
    if figure == "breaches":
        return float(sum(row.result["breaches"].values()))
    if figure not in row.result or isinstance(row.result[figure], dict):
        known = ", ".join(name for name, value in row.result.items() if not isinstance(value, dict))
        raise click.BadParameter(f"there is no figure {figure!r}; known: {known}, breaches")
    return float(row.result[figure])


@command.command("compare", epilog="Example: rosechute lab compare module two-choices --figure p99_ms")
@click.argument("first")
@click.argument("second")
@click.option("--figure", default="goodput", show_default=True)
@click.option("--format", "form", type=click.Choice(["text", "markdown"]), default="text", show_default=True)
@click.option("--any-program", is_flag=True, help="Include runs of other source versions.")
@store_option(required=True)
def compare(first: str, second: str, figure: str, form: str, any_program: bool, store: Path) -> None:
    """Compare policy FIRST with SECOND on each scenario, by runs with the same seeds: better, worse or inconclusive.
    `SECOND` may be `all`."""
    kept = _open(store)
    made_by = None if any_program else program()
    values: dict[tuple[str, str], dict[str, dict[int, float]]] = defaultdict(lambda: defaultdict(dict))
    for row in kept.rows(made_by=made_by):
        values[row.scenario, row.changes][row.policy][row.seed] = _figure(row, figure)
    more = not any(figure.endswith(end) for end in LOWER_IS_BETTER)
    rows: list[list[str]] = []
    for (scenario, change), by_policy in values.items():
        for other in sorted(by_policy) if second == "all" else [second]:
            seeds = sorted(by_policy.get(first, {}).keys() & by_policy.get(other, {}).keys())
            if not seeds or other == first:
                continue
            said, found = verdict([by_policy[first][s] - by_policy[other][s] for s in seeds], more)
            own = interval([by_policy[first][s] for s in seeds])
            its = interval([by_policy[other][s] for s in seeds])
            rows.append(
                [
                    scenario + (f" {change}" if change != "{}" else ""),
                    other,
                    f"{own.mean:.4g}",
                    f"{its.mean:.4g}",
                    f"{found.mean:+.4g} [{found.low:+.4g}, {found.high:+.4g}]",
                    str(found.size),
                    said,
                ]
            )
    if not rows:
        raise click.ClickException(f"there are no runs of {first} and {second} with the same seeds by this program")
    _print_table(
        ["scenario", "against", first, "the other", f"{figure}, difference and 95% interval", "pairs", f"{first} is"],
        rows,
        form,
    )


def _print_table(head: list[str], rows: list[list[str]], form: str) -> None:
    if form == "markdown":
        click.echo("| " + " | ".join(head) + " |")
        click.echo("|" + " --- |" * len(head))
        for row in rows:
            click.echo("| " + " | ".join(row) + " |")
        return
    table = Table()
    for name in head:
        table.add_column(name)
    for row in rows:
        table.add_row(*row)
    Console().print(table)


@command.command("ls", epilog="Example: rosechute lab ls --store lab.sqlite")
@store_option()
def listing(store: Path) -> None:
    """List the bundled scenarios and, if there is a store, the number of stored runs of each."""
    counts: dict[str, int] = defaultdict(int)
    if store.exists():
        kept = _open(store)
        for row in kept.rows():
            counts[row.scenario] += 1
    _print_table(
        ["scenario", "runs", "about"],
        [[name, str(counts.pop(name, 0)), load(name).about] for name in names()]
        + [[name, str(count), ""] for name, count in counts.items()],
        "text",
    )


@command.command("show", epilog="Example: rosechute lab show calm --figure p99_ms")
@click.argument("scenario")
@click.option("--figure", default="goodput", show_default=True)
@click.option("--format", "form", type=click.Choice(["text", "markdown"]), default="text", show_default=True)
@store_option(required=True)
def show(scenario: str, figure: str, form: str, store: Path) -> None:
    """Show a figure of all stored runs of SCENARIO by policy: mean and 95% interval."""
    kept = _open(store)
    values: dict[tuple[str, str, str], list[float]] = defaultdict(list)
    for row in kept.rows(scenario):
        values[row.changes, row.policy, row.program].append(_figure(row, figure))
    if not values:
        raise click.ClickException(f"there are no runs of {scenario!r} in {store}")
    rows = []
    for (change, policy, made_by), sample in values.items():
        found = interval(sample)
        rows.append(
            [policy, change, made_by, f"{found.mean:.4g}", f"[{found.low:.4g}, {found.high:.4g}]", str(found.size)]
        )
    _print_table(["policy", "changes", "program", figure, "95% interval", "runs"], rows, form)


@command.command("table", epilog="Example: rosechute lab table --figure goodput --format markdown")
@click.option("--figure", default="goodput", show_default=True)
@click.option("--format", "form", type=click.Choice(["text", "markdown"]), default="text", show_default=True)
@click.option("--seeds", type=click.IntRange(1), help="Use only seeds up to this number.")
@click.option("--any-program", is_flag=True, help="Include runs of other source versions.")
@store_option(required=True)
def table(figure: str, form: str, seeds: int | None, any_program: bool, store: Path) -> None:
    """Show a figure of all stored scenarios by policy: mean, and half the width of its 95% interval."""
    values: dict[tuple[str, str], dict[str, list[float]]] = defaultdict(lambda: defaultdict(list))
    for row in _open(store).rows(made_by=None if any_program else program()):
        if seeds is None or row.seed <= seeds:
            values[row.scenario, row.changes][row.policy].append(_figure(row, figure))
    if not values:
        raise click.ClickException(f"there are no runs by this program in {store}")
    policies = [name for name in NAMES if any(name in by_policy for by_policy in values.values())]
    rows = []
    for (scenario, change), by_policy in values.items():
        cells = []
        for policy in policies:
            found = interval(by_policy[policy]) if by_policy.get(policy) else None
            cells.append("" if found is None else f"{found.mean:.3f} ±{(found.high - found.low) / 2:.3f}")
        rows.append([scenario + (f" {change}" if change != "{}" else ""), *cells])
    _print_table(["scenario", *policies], rows, form)


@command.command("curve", epilog="Example: rosechute lab curve calm clients.rate load.html --figure p99_ms")
@click.argument("scenario")
@click.argument("path")
@click.argument("target", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--figure", default="goodput", show_default=True)
@click.option("--any-program", is_flag=True, help="Include runs of other source versions.")
@store_option(required=True)
def curve(scenario: str, path: str, target: Path, figure: str, any_program: bool, store: Path) -> None:
    """Plot a figure against the values of PATH in sweeps of SCENARIO, one line per policy with its 95% interval, and
    write it to TARGET as one HTML file."""
    values: dict[tuple[str, float], list[float]] = defaultdict(list)
    for row in _open(store).rows(scenario, made_by=None if any_program else program()):
        at = json.loads(row.changes).get(path)
        if isinstance(at, str):
            from rosechute.sidecar.operator_configuration.units import parse_duration

            try:
                at = parse_duration(at) / 1e9
            except ValueError:
                continue
        if at is not None:
            values[row.policy, float(at)].append(_figure(row, figure))
    if not values:
        raise click.ClickException(
            f"no run of {scenario!r} in {store} has a value of its own for {path!r}; sweep with --set {path}=..."
        )
    found: dict[str, list[Any]] = defaultdict(list)
    for (policy, at), sample in values.items():
        found[policy].append((at, interval(sample)))
    from rosechute.simulation.report import curves

    again = shlex.join(["rosechute", "lab", "curve", scenario, path, str(target), "--figure", figure])
    target.write_text(curves(scenario, path, figure, found, again), encoding="utf-8")
    click.echo(f"{len(values)} points in {target}")


@command.command("export", epilog="Example: rosechute lab export runs.csv --scenario calm")
@click.argument("target", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--scenario", help="Only runs of this scenario.")
@store_option(required=True)
def export(target: Path, scenario: str | None, store: Path) -> None:
    """Write the stored runs to TARGET as CSV, one line per run."""
    kept = _open(store)
    count = 0
    with target.open("w", newline="", encoding="utf-8") as file:
        writer: Any = None
        for row in kept.rows(scenario):
            flat = {
                "scenario": row.scenario,
                "changes": row.changes,
                "policy": row.policy,
                "seed": row.seed,
                "program": row.program,
                "digest": row.digest,
                "took_s": row.took_s,
            }
            flat |= {name: value for name, value in row.result.items() if not isinstance(value, dict)}
            flat |= {f"breaches_{rule}": value for rule, value in row.result["breaches"].items()}
            if writer is None:
                writer = csv.DictWriter(file, list(flat))
                writer.writeheader()
            writer.writerow(flat)
            count += 1
    click.echo(f"{count} runs in {target}")


@command.command("load", epilog="Example: rosechute lab load http://127.0.0.1:8080/list-rooms --rate 500")
@click.argument("url")
@click.option("--rate", type=click.FloatRange(0, min_open=True), required=True, help="Requests a second, on average.")
@click.option("--duration", default="10s", show_default=True, help="Duration of the load; up to 10m.")
@click.option(
    "--shape", type=click.Choice(["flat", "daily", "burst", "square", "ramp"]), default="flat", show_default=True
)
@click.option(
    "--depth",
    type=click.FloatRange(0, 1),
    default=0.5,
    show_default=True,
    help="Amplitude of the shape as a fraction of the mean rate.",
)
@click.option("--period", default="10s", show_default=True, help="Period of the shape.")
@click.option("--method", type=click.Choice(["GET", "POST"]), default="GET", show_default=True)
@click.option("--header", "headers", multiple=True, metavar="NAME: VALUE")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
def loading(
    url: str,
    rate: float,
    duration: str,
    shape: str,
    depth: float,
    period: str,
    method: str,
    headers: tuple[str, ...],
    seed: int,
) -> None:
    """Send an open-loop load to URL, which must be a loopback address. Latencies are measured from the scheduled send
    time. Exit code 1 if any request was not answered."""
    import uvloop

    from rosechute.sidecar.operator_configuration.units import parse_duration
    from rosechute.simulation.load import due, load, target

    try:
        to = target(url)
        times = due(rate, parse_duration(duration) / 1e9, shape, depth, parse_duration(period) / 1e9, seed)
    except ValueError as error:
        raise click.ClickException(str(error)) from None
    for header in headers:
        name, sep, _ = header.partition(":")
        if not sep or not name or not header.isprintable():
            raise click.BadParameter(f"{header!r} is not NAME: VALUE", param_hint="--header")
    found = uvloop.run(load(to, times, method, list(headers)))
    _print_table(["figure", "value"], [list(line) for line in found.lines()], "text")
    sys.exit(1 if found.unanswered or found.not_sent else 0)
