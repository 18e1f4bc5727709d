"""Every row of the wire protocol: decoding of events and settings, encoding of actions."""

import io
import json

import pytest

from rosechute.load_balancing import (
    Accept,
    Alarm,
    Begun,
    CloseIdle,
    Defer,
    Directory,
    Echo,
    Entry,
    Fail,
    Fetch,
    Hangup,
    Heard,
    Note,
    Probe,
    Refuse,
    Response,
    Retract,
    Settings,
    SettingsError,
    Submit,
    Subscribe,
    Tell,
    adapter,
)

ENV = {"classes": [{"hardLimitNs": 1_000_000_000}]}
OPEN = f"open_instance who=0 prng=7 env={json.dumps(ENV)}"
SERVER = "server server=a:1 hall=2 model=3 bay=4 lifecycle=draining heft=1.5 startedAtNs=600 odd=1"


class Recorder:
    """Substitute for the module: records events and returns preset actions."""

    events: list = []
    answer: list = []

    def __init__(self, settings, seed, now):
        Recorder.made = (settings, seed, now)

    def handle(self, now, event):
        Recorder.events.append((now, event))
        return Recorder.answer


@pytest.fixture
def run_host(monkeypatch):
    monkeypatch.setattr(adapter, "Balancer", Recorder)
    Recorder.events, Recorder.answer = [], []

    def run(*lines, at=5):
        out = io.StringIO()
        text = "\n".join([f"clock wallNs={at}", OPEN, *lines, "eob"]) + "\n"
        assert adapter.Host(io.StringIO(text), out).run() == 0
        return out.getvalue().splitlines()

    return run


@pytest.mark.parametrize(
    ("line", "event"),
    [
        (
            "accept who=0 tid=aa costNs=12 owner=1 ttlNs=240 type=2 object=k:1 bitmap=7 odd=1",
            Accept("aa", 2, 240, 12, 1, "k:1", True, True),
        ),
        ("accept who=0 tid=aa costNs=12 ttlNs=240 bitmap=0", Accept("aa", 0, 240)),
        ("begun who=0 tid=aa server=a:1 go=1 lagNs=9", Begun("aa", "a:1", 1, 9)),
        ("begun who=0 tid=aa", Begun("aa")),
        (
            "response who=0 tid=aa how=100 lagNs=18 server=a:1 go=1 closed=1 usage=queue:3,util:0.62,x:y",
            Response("aa", 100, 18, "a:1", 1, True, {"queue": 3.0, "util": 0.62}),
        ),
        ("response who=0 tid=aa how=303 server=a:1", Response("aa", 303, 0, "a:1", 0, False, {})),
        ("hangup who=0 tid=aa", Hangup("aa")),
        ("alarm who=0 tag=77", Alarm(77)),
        ("echo who=0 lagNs=4 how=100 server=a:1 usage=inflight:2", Echo("a:1", 100, 4, {"inflight": 2.0})),
        ("heard who=0 from=2 blob=6869", Heard(2, b"hi")),
        ("heard who=0 from=2 blob=-", Heard(2, b"")),
        ("directory_update who=0 scope=FAILED gen=3", Directory("FAILED", (), 3)),
    ],
)
def test_events_are_decoded(run_host, line, event):
    assert run_host(line) == ["next"]
    assert Recorder.events == [(5, event)]


@pytest.mark.parametrize("scope", ["INCREMENTAL", "FULL", "SAVED"])
def test_server_lists_are_decoded(run_host, scope):
    run_host(
        "roster slot=3 nodesList=2",
        SERVER,
        "server server=b:1",
        f"directory_update who=0 scope={scope} gen=41 slot=3",
    )
    entries = (Entry("a:1", 2, 3, 4, "draining", 1.5, 600), Entry("b:1"))
    assert Recorder.events == [(5, Directory(scope, entries, 41))]


def test_roster_slot_can_be_reused(run_host):
    run_host(
        "roster slot=0 nodesList=1",
        "server server=a:1",
        "directory_update who=0 scope=FULL slot=0",
        "roster slot=0 nodesList=1",
        "server server=b:1",
        "directory_update who=0 scope=FULL slot=0",
    )
    assert [event.entries[0].server for _, event in Recorder.events] == ["a:1", "b:1"]


def test_seed_and_clock_are_passed_to_the_module(run_host):
    run_host(at=9)
    assert Recorder.made[1:] == (7, 9)


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (Submit("aa", "a:1", 9), "submit_to who=0 tid=aa server=a:1 abandonAtNs=9"),
        (Refuse("aa", 5), "push_back who=0 tid=aa holdOffNs=5"),
        (Fail("aa"), "finish_error who=0 tid=aa"),
        (Retract("aa", 1), "retract who=0 tid=aa go=1"),
        (Subscribe(), "subscribe who=0 want=1"),
        (Subscribe(False), "subscribe who=0 want=0"),
        (Fetch(), "fetch who=0"),
        (Probe("a:1"), "touch who=0 server=a:1"),
        (CloseIdle("a:1"), "hang_up who=0 server=a:1"),
        (Tell(-1, b"hi"), "signal who=0 to=-1 blob=6869"),
        (Tell(2, b""), "signal who=0 to=2 blob=-"),
        (Note("two\nservers"), "note_down who=0 line=two servers"),
        (Defer(5, 7), "defer who=0 inNs=5 tag=7"),
    ],
)
def test_actions_are_encoded(run_host, action, line):
    Recorder.answer = [action]
    assert run_host("alarm who=0 tag=1") == [line, "next"]


def test_exception_in_the_module_is_reported(run_host, capsys):
    Recorder.answer = None  # not a list, as an example of a fault in the module
    out = run_host("alarm who=0 tag=1")
    assert out[0].startswith("give_in who=0 line=TypeError") and out[1:] == ["next"]
    assert "Traceback" in capsys.readouterr().err


SET = {
    "classes": [
        {
            "name": "c",
            "onTimeNs": 4,
            "hardLimitNs": 9,
            "credit": 3.0,
            "lateWorth": 0.1,
            "repeat": "guarded",
            "group": "zone",
            "windowNs": 6,
            "stream": True,
            "aimStretch": 2.0,
        }
    ],
    "clients": {"marksRetry": True},
    "discovery": "subscribe",
    "failureDomains": ["z"],
    "zone": 0,
    "familyInfo": {"warmKeys": True, "passesDeadline": True},
    "workload": "mesh",
    "tier": 1,
    "layers": ["a", "b"],
    "valueBy": "work",
    "weights": "rough",
    "index": 3,
    "replicasOfMe": 9,
    "goal": {"whole": 0.7, "ninesPart": 0.1},
    "kinds": ["k"],
    "overShareWorth": 0.2,
    "periodNs": 5,
    "reporting": {"how": "probe", "columns": ["queue"]},
    "prices": {"waste": 0.1},
    "projects": [{"name": "p", "share": 0.5, "allowancePerS": 7.0}],
    "invariants": {
        "coldFrom": 0.2,
        "coldNs": 3,
        "drainGraceNs": 4,
        "fallMultiple": 2.5,
        "fallNs": 6,
        "graceToAnswerNs": 7,
        "mustAskInNs": 2_000_000_000,
    },
    "limits": {
        "cancel": True,
        "connIdleNs": 1,
        "connectTimeoutNs": 2,
        "cpuUsPerRequest": 10.0,
        "cpuUsPerS": 8000,
        "maxAttempts": 5,
        "maxRetryAfterNs": 6,
        "mayProbe": True,
        "openCap": 7,
        "peers": True,
        "retryAfter": True,
        "secondCopies": True,
        "streamsPerConn": 8,
    },
    "later": {"key": 1},
}


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("classes.0.name", "c"),
        ("classes.0.aim_ns", 4),
        ("classes.0.deadline_ns", 9),
        ("classes.0.worth", 3.0),
        ("classes.0.late_worth", 0.1),
        ("classes.0.repeat", "guarded"),
        ("classes.0.group", "zone"),
        ("classes.0.window_ns", 6),
        ("classes.0.stream", True),
        ("classes.0.aim_stretch", 2.0),
        ("marks_retry", True),
        ("must_ask", True),
        ("zones", ("z",)),
        ("zone", 0),
        ("warm_keys", True),
        ("passes_deadline", True),
        ("workload", "mesh"),
        ("tier", 1),
        ("layers", ("a", "b")),
        ("value_by", "work"),
        ("weights", "rough"),
        ("index", 3),
        ("replicas", 9),
        ("kinds", ("k",)),
        ("goal", {"whole": 0.7, "ninesPart": 0.1}),
        ("over_share_worth", 0.2),
        ("period_ns", 5),
        ("reports", "probe"),
        ("columns", ("queue",)),
        ("prices", {"waste": 0.1}),
        ("tenants.0.name", "p"),
        ("tenants.0.share", 0.5),
        ("tenants.0.allowance_per_s", 7.0),
        ("invariants.cold_from", 0.2),
        ("invariants.cold_ns", 3),
        ("invariants.drain_grace_ns", 4),
        ("invariants.fall_multiple", 2.5),
        ("invariants.fall_ns", 6),
        ("invariants.answer_grace_ns", 7),
        ("invariants.must_ask_in_ns", 2_000_000_000),
        ("limits.cancel", True),
        ("limits.conn_idle_ns", 1),
        ("limits.connect_timeout_ns", 2),
        ("limits.cpu_us_per_request", 10.0),
        ("limits.cpu_us_per_s", 8000.0),
        ("limits.max_attempts", 5),
        ("limits.max_retry_after_ns", 6),
        ("limits.may_probe", True),
        ("limits.open_cap", 7),
        ("limits.peers", True),
        ("limits.retry_after", True),
        ("limits.second_copies", True),
        ("limits.streams_per_conn", 8),
    ],
)
def test_settings_are_parsed(path, value):
    found = Settings.parse(SET)
    for step in path.split("."):
        found = found[int(step)] if step.isdigit() else getattr(found, step)
    assert found == value


def test_settings_have_defaults():
    made = Settings.parse(ENV)
    assert (made.value_by, made.weights, made.reports, made.columns) == ("request", "none", "none", ())
    assert (made.goal, made.layers, made.limits.max_attempts) == ({}, (), 1)
    assert made.classes[0].repeat == "single_shot"


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"classes": []}, "classes"),
        ({"classes": None}, "classes"),
        ({"classes": {}}, "classes"),
        ({"classes": [{"hardLimitNs": 0}]}, "hardLimitNs"),
        ({"classes": [{"hardLimitNs": "9"}]}, "hardLimitNs"),
        ({"classes": [{"hardLimitNs": float("inf")}]}, "hardLimitNs"),
        ({"classes": [3]}, "classes[0]"),
        ({"limits": {"maxAttempts": "five"}}, "limits.maxAttempts"),
        ({"goal": {"whole": True}}, "goal.whole"),
        ({"prices": {"waste": float("nan")}}, "prices.waste"),
        ({"discovery": 4}, "discovery"),
    ],
)
def test_error_of_invalid_settings_names_the_key(change, key):
    with pytest.raises(SettingsError) as caught:
        Settings.parse({**ENV, **change})
    assert key in str(caught.value)


def test_settings_must_be_an_object():
    with pytest.raises(SettingsError):
        Settings.parse([])
