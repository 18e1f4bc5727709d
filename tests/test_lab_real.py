"""Runs against real sidecar processes: their settings, the recorded trace and the checks on it."""

import asyncio
import contextlib
import socket
import time
import uuid
from pathlib import Path

import pytest
from click.testing import CliRunner

from rosechute.cli.main import main
from rosechute.load_balancing.interface import Settings
from rosechute.sidecar.operator_configuration.problems import FileError
from rosechute.simulation.engine import Engine
from rosechute.simulation.figures import Figures
from rosechute.simulation.judge import Judge
from rosechute.simulation.library import load, names
from rosechute.simulation.real.asking import SLACK_NS
from rosechute.simulation.real.process import Process, encode_settings, free_ports
from rosechute.simulation.real.pump import Pump
from rosechute.simulation.real.world import RealWorld, playable, real
from rosechute.simulation.run import run
from rosechute.simulation.trace import END, NOTIFIED, OUTCOME, REFUSED, REQUEST, SEND, SERVED
from rosechute.simulation.world import settings

MS = 1_000_000
SMALL = {"duration": "2s", "clients.rate": 100.0, "fleet.servers": 4, "instances.count": 2}


@pytest.mark.parametrize("name", names())
def test_encoded_settings_parse_to_the_same_settings(name):
    scenario = load(name)
    for index in (0, 3):
        wanted = settings(scenario, index, index % scenario.fleet.zones)
        assert Settings.parse(encode_settings(wanted)) == wanted


def test_processes_and_model_serve_the_same_requests():
    scenario = load("rolling-deploy", {**SMALL, "warmup": "1ms", "fault": []})
    played = asyncio.run(real(scenario, 3))
    model = run(scenario, "module", 3).result
    found = played.run.result
    assert not any(found["breaches"].values()), played.run.judge.breaches
    assert found["wanted"] == model["wanted"] > 150  # the seed determines the arrivals
    assert found["unanswered"] == found["lost"] == 0
    assert found["goodput"] > 0.8
    assert sum(played.run.figures.heat().sum(axis=1) > 0) == 4


def test_driver_that_is_late_at_the_end_lets_no_further_requests_arrive(tmp_path):
    scenario = load("rolling-deploy", {**SMALL, "warmup": "1ms", "fault": []})
    model = run(scenario, "module", 3).result

    async def play():
        figures = Figures(scenario)
        world = RealWorld(scenario, 3, tmp_path, (figures,))
        world.engine.at(int(scenario.duration) - MS, lambda _: time.sleep(0.2))
        await world.real()
        return figures.result()

    assert asyncio.run(play())["wanted"] == model["wanted"]


def test_restarts_of_servers_and_sidecars_break_no_rule():
    scenario = load(
        "rolling-deploy",
        {
            **SMALL,
            "duration": "5s",
            "clients.rate": 80.0,
            "warmup": "1ms",
            "fault": [
                {"kind": "rolling-deploy", "at": "300ms", "lasts": "1500ms", "share": 0.5, "pause": "400ms"},
                {"kind": "mass-restart", "at": "2s", "lasts": "100ms", "share": 0.5},
                {"kind": "discovery-down", "at": "2500ms", "lasts": "500ms"},
                {"kind": "crash-loop", "at": "3s", "lasts": "1s", "servers": [3], "pause": "200ms"},
            ],
        },
    )
    played = asyncio.run(real(scenario, 2))
    assert not any(played.run.result["breaches"].values()), played.run.judge.breaches
    assert played.run.result["unanswered"] == 0
    states = {(server, state) for _, server, state in played.run.figures.states}
    assert {state for _, state in states} == {0, 1, 2}  # up again, draining, gone
    late = played.run.figures.heat()[:, -6:].sum(axis=1)
    assert (late > 0).sum() >= 3  # restarted servers, on new ports, receive requests again


def test_unrecorded_sidecar_death_is_reported_as_unanswered_requests(tmp_path):
    scenario = load("calm", {**SMALL, "warmup": "1ms"})

    async def play():
        judge = Judge(scenario, SLACK_NS)
        world = RealWorld(scenario, 1, tmp_path, (Figures(scenario), judge))
        world.engine.at(500 * MS, lambda _: world.sidecars[0].process.kill())
        await world.real()
        judge.finish()
        return judge

    judge = asyncio.run(play())
    assert judge.counts["answer"] > 0
    assert not any(judge.counts[rule] for rule in ("repeat", "drain", "cold", "conservation"))


def test_server_closes_connection_on_unknown_request(tmp_path):
    scenario = load("calm", {**SMALL, "warmup": "1ms"})

    async def play():
        world = RealWorld(scenario, 1, tmp_path)
        for listener in world.listeners:
            await listener.opened()
        reader, writer = await asyncio.open_connection("127.0.0.1", world.listeners[0].port)
        writer.write(b"GET /list-rooms/9 HTTP/1.1\r\nX-Request-ID: 9\r\n\r\n")
        with contextlib.suppress(ConnectionResetError):
            assert await reader.read() == b""
        writer.close()
        for listener in world.listeners:
            listener.close()

    asyncio.run(play())


def test_playable_reports_all_unsupported_settings():
    scenario = load(
        "partition", {"clients.rate": 1e4, "instances.count": 500, "fleet.servers": 300, "duration": "1h"}
    )
    with pytest.raises(FileError) as caught:
        playable(scenario)
    assert [p.path for p in caught.value.problems] == [
        "fault[0].kind",
        "clients.rate",
        "fleet.servers",
        "instances.count",
        "duration",
    ]
    done = CliRunner().invoke(main, ["lab", "real", "one-way"])
    assert done.exit_code == 1
    assert "one-way-cut" in done.output


def test_failed_sidecar_start_reports_last_log_lines(tmp_path):
    async def begin():
        with socket.create_server(("127.0.0.1", 0)) as taken:
            port = taken.getsockname()[1]
            process = Process(tmp_path, "n", port, free_ports(1)[0], settings(load("calm")), 1)
            with pytest.raises(
                RuntimeError,
                match=r"sidecar n did not start: .*listener\.retried listener=clients .*Address already in use",
            ):
                await process.start({"index": 1, "snapshot": True, "endpoints": []})
            await process.gone()

    asyncio.run(begin())


def test_real_command_reports_model_and_processes(tmp_path):
    page = tmp_path / f"{uuid.uuid4().hex}.html"
    done = CliRunner().invoke(
        main,
        [
            "lab",
            "real",
            "calm",
            "--report",
            str(page),
            "--set",
            "warmup=1ms",
            *(part for path, value in SMALL.items() for part in ("--set", f"{path}={value}")),
        ],
    )
    assert done.exit_code == 0, done.output
    assert "processes" in done.output
    text = Path(page).read_text(encoding="utf-8")
    assert text.count("<svg") == 5
    assert "rosechute lab real calm --seed 1 --set" in text


def test_pump_orders_engine_and_external_events():
    async def play():
        engine, seen = Engine(), []
        pump = Pump(engine)
        for at in (3, 1, 2):
            engine.at(at * 10 * MS, seen.append, at)
        pump.act(seen.append, "too early")
        pump.start()
        await asyncio.sleep(0.015)
        await asyncio.sleep(0)
        pump.act(seen.append, "between")
        await pump.until(60 * MS)
        pump.stop()
        pump.act(seen.append, "too late")
        assert [one for one in seen if one != "between"] == [1, 2, 3]
        assert seen.index("between") >= 1
        assert engine.now >= 30 * MS
        assert pump.lag_ms(100) >= pump.lag_ms(50) >= 0

    asyncio.run(play())


def _broken_rules(*records, slack=SLACK_NS):
    judge = Judge(load("calm"), slack)
    for record in sorted(records, key=lambda r: r[0]):
        judge(record)
    judge.finish()
    return {rule for rule, count in judge.counts.items() if count}


def test_judge_tolerates_events_up_to_the_slack_apart():
    request = (0, REQUEST, 1, 1, 0, 0, 0, 0, 1000 * MS, 0)
    for after, found in ((SLACK_NS, set()), (SLACK_NS + 1, {"conservation"})):
        end = 300 * MS
        assert (
            _broken_rules(
                request,
                (end, END, 1, REFUSED, 0),
                (end + after, SEND, 1, 0, 2),
                (end + after + 1, OUTCOME, 1, 0, 306),
            )
            == found
        )
    grace = int(load("calm").instances.grace)
    for after, found in ((SLACK_NS, set()), (SLACK_NS + 1, {"drain"})):
        at = 100 * MS + grace + after
        assert (
            _broken_rules(
                (100 * MS, NOTIFIED, 0, 2, 1, 0),
                request,
                (at, SEND, 1, 0, 2),
                (at + 1, OUTCOME, 1, 0, 100),
                (at + 2, END, 1, SERVED, 0),
            )
            == found
        )
    sent = (1, SEND, 1, 0, 2), (2, OUTCOME, 1, 0, 100)
    for late, found in ((SLACK_NS, set()), (SLACK_NS + 1, {"answer"})):
        assert _broken_rules(request, *sent, (1000 * MS + late, END, 1, SERVED, 0)) == found
    assert _broken_rules(request, *sent, (5, END, 1, SERVED, 0), (6, END, 1, SERVED, 0)) == {"answer"}
