"""Scenario files, fault schedules, result store, interrupted sweeps and the comparison of policies."""

import sqlite3
import subprocess
import sys
import time

import numpy as np
import pytest
from click.testing import CliRunner

from rosechute.cli.main import main
from rosechute.sidecar.operator_configuration.problems import FileError
from rosechute.sidecar.operator_configuration.units import Span
from rosechute.simulation.faults import schedule
from rosechute.simulation.library import load
from rosechute.simulation.reading import read
from rosechute.simulation.spec import Fault
from rosechute.simulation.statistic import interval, verdict
from rosechute.simulation.store import Store, program
from rosechute.simulation.sweep import grid, sweep, tasks

HEAD = 'version = 1\nname = "x"\nabout = "y"\n'
SECOND = 10**9


@pytest.mark.parametrize(
    ("text", "path", "word"),
    [
        ('name = "x"\nabout = "y"', "version", "version = 1"),
        ('version = 1\nname = "x"', "about", "missing"),
        (HEAD + "[fleet]\nserver = 3", "fleet.server", "did you mean 'servers'"),
        (HEAD + "[fleet]\nservers = 0", "fleet.servers", "1 or more"),
        (HEAD + "[clients]\nrate = -1.0", "clients.rate", "above 0"),
        (HEAD + '[fleet]\ncold = "8"', "fleet.cold", "unit"),
        (HEAD + 'duration = "3s"\nwarmup = "3s"', "warmup", "leaves nothing"),
        (HEAD + '[[fault]]\nkind = "slwo"', "fault[0].kind", "did you mean 'slow'"),
        (HEAD + '[[fault]]\nkind = "slow"\nservers = [10]', "fault[0].servers", "0 to 9"),
        (HEAD + '[[fault]]\nkind = "grey"\ncls = "hold"', "fault[0].cls", "no such class"),
        (HEAD + '[[fault]]\nkind = "zone-loss"\nzone = 1', "fault[0].zone", "zones 0 to 0"),
        (HEAD + '[[fault]]\nkind = "slow"\nat = "31s"', "fault[0].at", "after the run"),
        (HEAD + '[[fault]]\nkind = "false-reports"', "fault[0].kind", "report nothing"),
        (HEAD + '[[class]]\nname = "a"\naim = "3s"', "class[0].aim", "over the deadline"),
        (HEAD + '[[class]]\nname = "a"\n[[class]]\nname = "a"', "class[1].name", "another class"),
        ("version = ", "", "not TOML"),
    ],
)
def test_read_reports_the_path_of_an_invalid_key(text, path, word):
    with pytest.raises(FileError) as caught:
        read(text)
    assert any(p.path == path and word in p.reason for p in caught.value.problems), caught.value


def test_read_reports_all_problems_with_their_lines():
    with pytest.raises(FileError) as caught:
        read(HEAD + '[fleet]\nservers = 0\n[clients]\nrate = "many"\n')
    assert {(p.path, p.line) for p in caught.value.problems} == {("fleet.servers", 5), ("clients.rate", 7)}


def test_load_overrides_values_by_path():
    scenario = load("calm", {"fleet.servers": 3, "class[0].work": "5ms", "network.loss": 0.1})
    assert (scenario.fleet.servers, scenario.classes[0].work, scenario.network.loss) == (3, 5_000_000, 0.1)
    for path in ("class[7].work", "name.x"):
        with pytest.raises(FileError):
            load("calm", {path: 1})
    with pytest.raises(FileError, match="did you mean 'calm'"):
        load("clam")


def test_schedule_ramps_repeats_and_ends_faults():
    found = schedule((Fault("slow", at=Span(SECOND), lasts=Span(4 * SECOND), ramp=Span(SECOND)),))
    assert (found[0].at_ns, found[0].level) == (SECOND // 10 + SECOND, 0.1)
    assert max(c.level for c in found) == 1.0
    assert (found[-1].at_ns, found[-1].level) == (5 * SECOND, 0.0)
    found = schedule((Fault("hang", at=Span(SECOND), lasts=Span(SECOND), repeat=3, every=Span(5 * SECOND)),))
    assert [(c.at_ns // SECOND, c.level) for c in found] == [(1, 1), (2, 0), (6, 1), (7, 0), (11, 1), (12, 0)]


def test_verdict_depends_on_the_confidence_interval():
    rng = np.random.default_rng(1)
    apart = rng.normal(0.1, 0.05, 20).tolist()
    assert verdict(apart)[0] == "better"
    assert verdict(apart, more_is_better=False)[0] == "worse"
    assert verdict([-v for v in apart])[0] == "worse"
    assert verdict(rng.normal(0.0, 0.05, 20).tolist())[0] == "cannot tell"
    assert verdict([0.1, 0.2])[0] == "cannot tell"
    with pytest.raises(ValueError, match="no values"):
        interval([])


def test_intervals_cover_the_mean_with_their_confidence():
    rng = np.random.default_rng(2)
    held = 0
    for _ in range(200):
        found = interval(rng.exponential(1.0, 40).tolist())
        held += found.low <= 1.0 <= found.high
    assert 175 <= held <= 198


SMALL = {"duration": ["1500ms"], "warmup": ["200ms"]}


def test_sweep_runs_only_missing_runs_with_results_independent_of_workers(tmp_path):
    wanted = tasks(["calm"], ["random", "module"], range(1, 3), SMALL, program())
    one, two = Store(tmp_path / "one"), Store(tmp_path / "two")
    assert sweep(one, wanted[:2], 1, lambda _: None) == 2
    told = []
    assert sweep(one, wanted, 1, told.append) == 2
    assert told.count(None) == 2
    assert sweep(two, wanted, 3, lambda _: None) == 4
    assert [(r.key, r.digest, r.result) for r in one.rows()] == [(r.key, r.digest, r.result) for r in two.rows()]


def test_killed_sweep_keeps_finished_runs(tmp_path):
    path = tmp_path / "lab"
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "rosechute",
            "lab",
            "sweep",
            "calm",
            "--policy",
            "random",
            "--seeds",
            "500",
            "--workers",
            "2",
            "--set",
            "duration=1s",
            "--set",
            "warmup=100ms",
            "--store",
            str(path),
        ],
        stderr=subprocess.DEVNULL,
        start_new_session=True,
    )
    try:
        deadline = time.monotonic() + 60
        count = 0
        while count < 3 and time.monotonic() < deadline:
            time.sleep(0.1)
            if path.exists():
                try:
                    count = sqlite3.connect(path).execute("select count(*) from run").fetchone()[0]
                except sqlite3.OperationalError:
                    continue
    finally:
        process.kill()
        process.wait()
    rows = list(Store(path).rows())
    assert len(rows) >= count >= 3
    assert all(row.result["requests"] for row in rows)


def test_grid_combines_all_parameter_values():
    assert len(grid({"a": [1, 2], "b": [3, 4, 5]})) == 6
    assert grid({}) == [{}]


def cli(*arguments):
    return CliRunner().invoke(main, ["lab", *map(str, arguments)])


def test_lab_commands_from_run_to_report_and_comparison(tmp_path):
    report, trace, store = tmp_path / "r.html", tmp_path / "r.trace", tmp_path / "s"
    short = ("--set", "duration=2s", "--set", "warmup=200ms", "--set", "fault[0].at=500ms")
    done = cli("run", "slow-one", "--report", report, "--trace", trace, "--format", "json", *short)
    assert done.exit_code == 0, done.output
    page = report.read_text()
    assert page.count("<svg") == 3
    assert "All rules were kept" in page
    assert "--set" in page
    assert "http://" not in page.replace("http://www.w3.org", "").replace("http://purl.org", "").replace(
        "http://creativecommons.org", ""
    )
    assert cli("judge", trace, "--scenario", "slow-one", *short).exit_code == 0
    trace.write_bytes(trace.read_bytes()[:-5])
    assert "truncated trace file" in cli("judge", trace, "--scenario", "slow-one", *short).output
    sweeping = (
        "sweep",
        "calm",
        "--policy",
        "module",
        "--policy",
        "random",
        "--seeds",
        6,
        "--workers",
        2,
        "--store",
        store,
        "--set",
        "duration=1s",
        "--set",
        "warmup=100ms",
    )
    assert "12 runs done" in cli(*sweeping).output
    assert "0 runs done, 12 were there" in cli(*sweeping).output
    assert "calm" in cli("compare", "random", "module", "--store", store, "--format", "markdown").output
    assert "no runs of" in cli("compare", "random", "a105", "--store", store).output
    assert "no figure" in cli("compare", "random", "module", "--store", store, "--figure", "x").output
    assert "module" in cli("show", "calm", "--store", store).output
    told = cli("table", "--store", store, "--format", "markdown", "--seeds", 4).output
    assert "| scenario | module | random |" in told
    assert "±" in told
    assert "12 runs" in cli("export", tmp_path / "o.csv", "--store", store).output
    assert len((tmp_path / "o.csv").read_text().splitlines()) == 13
    cli(*sweeping[:7], 2, *sweeping[8:], "--set", "clients.rate=50.0,100.0,400.0")
    assert "6 points" in cli("curve", "calm", "clients.rate", tmp_path / "c.html", "--store", store).output
    assert (tmp_path / "c.html").read_text().count("<svg") == 1
    assert "has a value of its own" in cli("curve", "calm", "x", tmp_path / "c.html", "--store", store).output
    assert "no such scenario" in cli("run", "nothing").output
    assert "is not PATH=VALUE" in cli("run", "calm", "--set", "x").output
