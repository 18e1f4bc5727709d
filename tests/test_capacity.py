"""Arithmetic of the capacity model in docs/CAPACITY.md."""

from __future__ import annotations

import math

import pytest

from benchmarks import capacity


@pytest.fixture
def points() -> dict[int, dict[str, float]]:
    return capacity.load(None)


def test_model_reproduces_measured_list_lengths(points: dict[int, dict[str, float]]) -> None:
    model = capacity.Model(points, capacity.ASSUMED)
    for size, row in points.items():
        for name in ("one_change", "whole_bytes", "module_mb"):
            assert model.at(name, size) == pytest.approx(row[name])
    between = model.at("one_change", 3600)
    assert points[1800]["one_change"] < between < points[7200]["one_change"] and not model.beyond


def test_list_longer_than_measured_is_marked(points: dict[int, dict[str, float]]) -> None:
    model = capacity.Model(points, {**capacity.ASSUMED, "listed": 4.0})
    assert model.beyond and model.at("whole_bytes") == pytest.approx(4 * points[7200]["whole_bytes"], rel=0.05)


def test_changes_a_day_add_up_configuration_and_fleet(points: dict[int, dict[str, float]]) -> None:
    changes = capacity.Model(points, capacity.ASSUMED).changes_a_day()
    assert changes == pytest.approx(5400 + 390 * 3 + 13 * 2 + 80 / 7 + 2880 / 60)
    fewer = capacity.Model(points, {**capacity.ASSUMED, "changes_a_restart": 0.75}).changes_a_day()
    assert changes - fewer == pytest.approx(390 * 2.25)


def test_each_row_has_a_bound_and_a_mechanism(points: dict[int, dict[str, float]]) -> None:
    rows = capacity.Model(points, capacity.ASSUMED).rows()
    assert len({(row.role, row.what) for row in rows}) == len(rows)
    for row in rows:
        assert row.bound > 0.0 and math.isfinite(row.ratio) and row.mechanism


def test_processor_need_is_bounded_for_slow_sidecars(points: dict[int, dict[str, float]]) -> None:
    slow = {
        size: {**row, "one_change": row["one_change"] * 100, "zone_one_by_one": row["zone_one_by_one"] * 100}
        for size, row in points.items()
    }
    for measured in (points, slow):
        model = capacity.Model(measured, capacity.ASSUMED)
        need = next(row.need for row in model.rows() if row.what == "processor, a zone told one by one")
        assert need <= 1000.0 + model.change_ms()


def test_event_costs_no_more_in_one_answer_than_in_single_changes(points: dict[int, dict[str, float]]) -> None:
    model = capacity.Model(points, capacity.ASSUMED)
    for event in capacity.events(model):
        answers, size, told, together, stall, sent, core_s = capacity.cost(model, event)
        assert 0.0 < together <= told * 1.001 and stall > 0.0 and answers >= 1.0
        assert sent == pytest.approx(size * capacity.SERVERS / 1e3) and core_s > 0.0
