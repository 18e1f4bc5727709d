"""The fleet benchmark at its smallest size: it passes for a correct sidecar and detects a planted fault."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any

import pytest
import uvloop

from benchmarks import fleet, slopes

TINY = ["--point", "5", "20", "--no-real", "--changes", "1", "--limit-s", "20", "--helpers", "1"]


def play(*more: str) -> fleet.Point:
    points = uvloop.run(fleet.measure(fleet.options([*TINY, *more])))
    return points[0]


@pytest.mark.parametrize(
    ("mode", "events"),
    [
        (
            "ask",
            {"change": ["one change"], "zone": ["a zone leaves", "a zone comes back"], "restart": ["all restarted"]},
        ),
        ("push", {"change": ["one change"]}),
    ],
)
def test_five_sidecars_end_with_the_list_of_discovery(
    mode: str, events: dict[str, list[str]], capsys: pytest.CaptureFixture[str]
) -> None:
    point = play("--mode", mode, "--events", *events)
    assert point.failures == []
    rows = {row["event"]: row for row in fleet.merged(point.rows)}
    assert list(rows) == ["all start", *(name for names in events.values() for name in names)]
    for row in rows.values():
        assert row["check"] == "ok" and row["late"] == 0
        assert 0.0 <= row["p50"] <= row["p99"] <= row["last"] <= fleet.TOLD_S
        assert row["msgs/s"] > 0.0 and row["B/s"] > 0.0
    assert "FAILED" not in capsys.readouterr().out


def test_discovery_restarts_with_the_same_and_with_other_versions(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fleet, "DOWN_S", 0.3)
    point = play("--events", "back", "renumbered")
    assert point.failures == []
    assert [row["event"] for row in point.rows] == ["all start", "discovery back", "back, renumbered"]


def test_sidecar_that_keeps_removed_servers_fails_the_check(capsys: pytest.CaptureFixture[str]) -> None:
    point = play("--fault", "stale", "--events", "zone")
    zone_failures = [failure for failure in point.failures if failure.startswith("a zone leaves")]
    assert "a zone leaves: sidecar 0: its list is not discovery's" in zone_failures
    assert any("sidecar 0: sends to" in failure for failure in zone_failures)
    # Only this sidecar fails, and it is correct again after the zone has returned.
    assert all("sidecar 0:" in failure for failure in point.failures) and len(zone_failures) == len(point.failures)
    assert "FAILED" in capsys.readouterr().out


def test_missing_change_fails_the_check() -> None:
    point = play("--limit-s", "0.2", "--events", "nothing", "--idle-s", "0.1")
    assert any("not in force at" in failure for failure in point.failures)


def test_repeated_events_are_merged_into_one_row() -> None:
    row: dict[str, Any] = {
        "event": "one change",
        "s": 1.0,
        "took": [0.1, 0.2],
        "late": 0,
        "msgs/s": 1.0,
        "B/s": 1.0,
        "ms/s": 1.0,
        "disc. core": 0.1,
        "disc. KB/s": 1.0,
        "stall ms": 1.0,
        "shared ms": 1.0,
        "real ms/s": 1.0,
        "real p99 ms": math.nan,
        "longest ms": math.nan,
        "check": "ok",
        "real calls": 0,
        "real served": 0,
    }
    other = {**row, "s": 3.0, "took": [0.4], "late": 1, "msgs/s": 5.0, "stall ms": 9.0, "check": "FAILED"}
    (one,) = fleet.merged([row, other])
    assert (one["p50"], one["p99"], one["last"], one["late"]) == (0.2, 0.4, 0.4, 1)
    assert (one["s"], one["msgs/s"], one["stall ms"], one["check"]) == (4.0, 4.0, 9.0, "FAILED")


def test_slopes_fit_the_points(tmp_path: Path) -> None:
    assert slopes.fit([(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)]) == pytest.approx((2.0, 1.0, 0.0))
    rows = slopes.measure(slopes.HERE, [20, 40], 1, True)
    for size, row in rows.items():
        assert not row["compiled"] and row["one_change"] > 0.0 and row["module_mb"] > 0.0
        assert 100 * size < row["whole_bytes"] < 200 * size
