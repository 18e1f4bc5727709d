"""Self-contained HTML report of a run: SVG plots, tables, rule violations and the command to repeat the run."""

from __future__ import annotations

import html
import io
from collections.abc import Iterator
from typing import Any

import matplotlib
import numpy as np
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from rosechute.sidecar.operator_configuration.units import format_duration
from rosechute.simulation.figures import BIN_NS
from rosechute.simulation.judge import RULES
from rosechute.simulation.run import Run
from rosechute.simulation.spec import Scenario
from rosechute.simulation.statistic import Interval

matplotlib.rcParams.update(
    {
        "svg.hashsalt": "rosechute",
        "svg.fonttype": "none",
        "font.size": 9,
        "axes.spines.top": False,
        "axes.spines.right": False,
    }
)
COLOURS = {"served": "#3b7a57", "late": "#d9a441", "refused": "#7d8aa5", "failed": "#b3433b"}
SHOWN = (
    "goodput",
    "wanted",
    "requests",
    "attempts_a_request",
    "served",
    "late",
    "refused",
    "failed",
    "lost",
    "p50_ms",
    "p90_ms",
    "p99_ms",
    "p99.9_ms",
)
STYLE = """body{font:15px/1.45 system-ui,sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem;color:#222}
table{border-collapse:collapse;margin:.6rem 0}td,th{padding:.2rem .7rem;border-bottom:1px solid #ddd;text-align:right}
td:first-child,th:first-child{text-align:left}.good{color:#2c6b45}.bad{color:#a3322a;font-weight:600}
svg{width:100%;height:auto}code{background:#f2f2ef;padding:.15rem .35rem;border-radius:3px}h2{margin-top:2rem}"""


def spans(run: Run, end_ns: int) -> list[tuple[float, float, str]]:
    """Return start and end (seconds) and kind of each period in which a fault was active."""
    found: list[tuple[float, float, str]] = []
    since: dict[int, int] = {}
    kinds: dict[int, str] = {}
    for at, fault, kind, level in run.figures.levels:
        kinds[fault] = kind
        if level:
            since.setdefault(fault, at)
        elif fault in since:
            found.append((since.pop(fault) / 1e9, at / 1e9, kind))
    return found + [(at / 1e9, end_ns / 1e9, kinds[fault]) for fault, at in since.items()]


def _render_svg(figure: Figure) -> str:
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def _shade(axes: Axes, shades: list[tuple[float, float, str]]) -> None:
    labelled: set[str] = set()
    for start, end, kind in shades:
        axes.axvspan(start, end, color="#b3433b", alpha=0.10, lw=0)
        if kind not in labelled:
            axes.text(start, 1.01, kind, transform=axes.get_xaxis_transform(), fontsize=8, color="#8a3a33")
            labelled.add(kind)


def timeline(run: Run, scenario: Scenario) -> str:
    """Plot completed requests over time, and the requests held by servers and instances."""
    figure = Figure(figsize=(9, 5), layout="constrained")
    top, below = figure.subplots(2, 1, sharex=True)
    lines = run.figures.lines()
    count = int(scenario.duration // BIN_NS)
    at = np.arange(count) * BIN_NS / 1e9
    rates = [np.array(lines[name][:count]) * 1e9 / BIN_NS for name in COLOURS]
    top.stackplot(at, rates, labels=list(COLOURS), colors=list(COLOURS.values()), lw=0)
    top.set_ylabel("requests ended a second")
    top.legend(loc="lower right", bbox_to_anchor=(1.0, 1.0), ncols=4, frameon=False)
    gauges = np.array(run.figures.gauges or [(0, 0, 0, 0)], dtype=float)
    below.plot(gauges[:, 0] / 1e9, gauges[:, 1], color="#34526f", label="held by servers")
    below.plot(gauges[:, 0] / 1e9, gauges[:, 2], color="#c07a2c", label="open at instances")
    below.set_ylabel("requests")
    below.set_xlabel("seconds")
    below.legend(loc="upper left", frameon=False)
    shades = spans(run, int(scenario.duration))
    for axes in (top, below):
        _shade(axes, shades)
        axes.set_xlim(0, scenario.duration / 1e9)
        axes.set_ylim(bottom=0)
    return _render_svg(figure)


def latencies(*runs: tuple[str, Run]) -> str:
    """Plot the complementary distribution of latency on log scales, one line for each named run."""
    figure = Figure(figsize=(9, 3), layout="constrained")
    axes = figure.subplots()
    shares = np.logspace(0, -4, 60)
    for (name, run), colour in zip(runs, ("#34526f", "#c07a2c"), strict=False):
        histogram = run.figures.histogram()
        if histogram.get_total_count():
            axes.plot(
                [histogram.get_value_at_percentile(100 * (1 - share)) / 1000 for share in shares],
                shares,
                color=colour,
                label=name,
            )
    if len(runs) > 1:
        axes.legend(frameon=False)
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlabel("milliseconds to the answer")
    axes.set_ylabel("share that took longer")
    axes.grid(alpha=0.3, which="both", lw=0.4)
    return _render_svg(figure)


def heat(run: Run, scenario: Scenario) -> str:
    """Plot a heat map of attempts by server and time."""
    figure = Figure(figsize=(9, min(6.0, 1.2 + 0.16 * scenario.fleet.servers)), layout="constrained")
    axes = figure.subplots()
    cells = run.figures.heat()[:, : int(scenario.duration // BIN_NS)]
    shown_cells = axes.imshow(
        cells * 1e9 / BIN_NS,
        aspect="auto",
        cmap="cividis",
        interpolation="nearest",
        extent=(0, scenario.duration / 1e9, cells.shape[0] - 0.5, -0.5),
    )
    figure.colorbar(shown_cells, ax=axes, label="attempts a second")
    axes.set_xlabel("seconds")
    axes.set_ylabel("server")
    for start, end, _ in spans(run, int(scenario.duration)):
        for at in (start, end):
            axes.axvline(at, color="white", lw=0.6, ls=":")
    return _render_svg(figure)


def _table(head: list[str], rows: list[list[Any]]) -> str:
    cells = "".join(f"<tr>{''.join(f'<td>{html.escape(_formatted(v))}</td>' for v in row)}</tr>" for row in rows)
    return f"<table><tr>{''.join(f'<th>{html.escape(name)}</th>' for name in head)}</tr>{cells}</table>"


def _breaches(run: Run) -> str:
    return "".join(f"<p>{b.at_ns / 1e9:.3f} s, {b.rule}: {html.escape(b.text)}</p>" for b in run.judge.breaches[:20])


def _formatted(value: Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def _parts(run: Run, scenario: Scenario, policy: str, seed: int, command: str) -> Iterator[str]:
    result = run.result
    total = sum(result["breaches"].values())
    yield f"<h1>{html.escape(scenario.name)}</h1><p>{html.escape(scenario.about)}</p>"
    yield f"<p>Policy <b>{html.escape(policy)}</b>, seed {seed}, {format_duration(scenario.duration)}, "
    yield f"{scenario.instances.count} instances, {scenario.fleet.servers} servers.</p>"
    word = "All rules were kept." if not total else f"{total} breaches of the rules."
    yield f'<p class="{"bad" if total else "good"}">{word}</p>'
    yield _table(["rule", "breaches"], [[rule, result["breaches"][rule]] for rule in RULES])
    yield _breaches(run)
    yield "<h2>Figures</h2>" + _table(["figure", "value"], [[name, result[name]] for name in SHOWN])
    yield "<h2>Service over time</h2><p>Shaded: faults in force.</p>" + timeline(run, scenario)
    yield "<h2>Time to the answer</h2>" + latencies((policy, run))
    yield "<h2>Attempts by server</h2>" + heat(run, scenario)
    kinds = list(next(iter(result["classes"].values())))
    yield "<h2>By class</h2>" + _table(
        ["class", *kinds], [[name, *row.values()] for name, row in result["classes"].items()]
    )
    yield "<h2>By tenant</h2>" + _table(["tenant", "goodput"], [list(pair) for pair in result["tenants"].items()])
    yield f"<h2>Play it again</h2><p><code>{html.escape(command)}</code></p><p>Trace {run.digest}.</p>"


def page(run: Run, scenario: Scenario, policy: str, seed: int, command: str) -> str:
    """Return the HTML report of a run."""
    return (
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{html.escape(scenario.name)}</title>'
        f"<style>{STYLE}</style>{''.join(_parts(run, scenario, policy, seed, command))}</html>\n"
    )


def beside(model: Run, real: Run, lag_ms: tuple[float, float], scenario: Scenario, seed: int, command: str) -> str:
    """Return the HTML report that compares a run against real processes with the simulated run of the same seed.

    Args:
        model: Simulated run.
        real: Run against real processes.
        lag_ms: Delay of the test driver's own events in milliseconds: 99th percentile and maximum.
        scenario: Scenario of both runs.
        seed: Seed of both runs.
        command: Command line that repeats the runs.
    """
    rows = [[name, model.result[name], real.result[name]] for name in SHOWN]
    breaches = [[rule, model.result["breaches"][rule], real.result["breaches"][rule]] for rule in RULES]
    total = sum(real.result["breaches"].values())
    word = "The processes kept all rules." if not total else f"{total} breaches of the rules by the processes."
    heads = ["", "model", "processes"]
    title = html.escape(f"{scenario.name}: model and processes")
    parts = [
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{title}</title><style>{STYLE}</style>',
        f"<h1>{title}</h1><p>{html.escape(scenario.about)}</p><p>The decision module, seed {seed}, "
        f"{format_duration(scenario.duration)}, {scenario.instances.count} sidecars, "
        f"{scenario.fleet.servers} servers.</p>",
        f'<p class="{"bad" if total else "good"}">{word}</p>',
        _table(heads, breaches),
        _breaches(real),
        "<h2>Figures</h2>",
        _table(heads, rows),
        f"<p>The bench's own events were {lag_ms[0]:.1f} ms late (99 of 100), {lag_ms[1]:.1f} ms at the most.</p>"
        "<h2>Service over time: model</h2><p>Shaded: faults in force.</p>",
        timeline(model, scenario),
        "<h2>Service over time: processes</h2>",
        timeline(real, scenario),
        "<h2>Time to the answer</h2>",
        latencies(("model", model), ("processes", real)),
        "<h2>Attempts by server: model</h2>",
        heat(model, scenario),
        "<h2>Attempts by server: processes</h2>",
        heat(real, scenario),
        f"<h2>Play it again</h2><p><code>{html.escape(command)}</code></p><p>A run against processes is like another "
        "and not the same: arrivals, work and faults are the seed's, the rest is the machine's.</p></html>\n",
    ]
    return "".join(parts)


def curves(
    scenario: str, path: str, figure: str, found: dict[str, list[tuple[float, Interval]]], command: str
) -> str:
    """Return an HTML report that plots a statistic against a swept parameter, one line per policy with its interval.

    Args:
        scenario: Name of the scenario.
        path: Path of the swept parameter.
        figure: Name of the statistic.
        found: For each policy, the parameter values with the mean and interval of the statistic.
        command: Command line that repeats the report.
    """
    drawing = Figure(figsize=(9, 4.5), layout="constrained")
    axes = drawing.subplots()
    values = [value for points in found.values() for value, _ in points]
    for policy, points in found.items():
        points = sorted(points, key=lambda point: point[0])
        at = [value for value, _ in points]
        axes.plot(at, [spread.mean for _, spread in points], marker="o", ms=3, label=policy)
        axes.fill_between(at, [spread.low for _, spread in points], [spread.high for _, spread in points], alpha=0.2)
    if min(values) > 0 and max(values) / min(values) >= 8:
        axes.set_xscale("log", base=2)
    axes.set_xlabel(path)
    axes.set_ylabel(figure)
    axes.grid(alpha=0.3, lw=0.4)
    axes.legend(frameon=False, ncols=3)
    rows = [
        [policy, value, spread.mean, spread.low, spread.high, spread.size]
        for policy, points in found.items()
        for value, spread in sorted(points, key=lambda point: point[0])
    ]
    title = html.escape(f"{scenario}: {figure} by {path}")
    return (
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{title}</title><style>{STYLE}</style>'
        f"<h1>{title}</h1><p>Mean of the runs, shaded: its 95% interval.</p>{_render_svg(drawing)}"
        f"{_table(['policy', path, 'mean', 'low', 'high', 'runs'], rows)}"
        f"<h2>Play it again</h2><p><code>{html.escape(command)}</code></p></html>\n"
    )
