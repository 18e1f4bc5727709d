"""The log: one event a line, repeats held back, and a standard error that nobody reads stalls nothing."""

import json
import os
import time

import pytest
import structlog

from rosechute.proxy.core import log


@pytest.fixture
def lines(monkeypatch):
    """What is written, with settings that end with the test."""
    written = []
    monkeypatch.setattr(log.SINK, "write", written.append)
    monkeypatch.setattr(log, "REPEATS", log.Repeats())
    yield written
    log.setup()


def test_one_event_a_line_in_either_form(lines):
    for form in ("console", "json"):
        log.setup(form)
        try:
            raise ValueError("two\nlines")
        except ValueError:
            structlog.get_logger().error("call.broken", call="7", exc_info=True, note='a "b"\nc', size=3)
    assert len(lines) == 2 and not any("\n" in text for text in lines)
    assert "level=error event=call.broken" in lines[0] and "ValueError" in lines[0]
    raw = json.loads(lines[1])
    assert (raw["event"], raw["level"], raw["size"]) == ("call.broken", "error", 3)
    assert "two\nlines" in raw["exception"] and raw["timestamp"].endswith("Z")


def test_levels(lines):
    log.setup("console", "warning")
    structlog.get_logger().info("a.b")
    structlog.get_logger().warning("c.d")
    assert len(lines) == 1 and "c.d" in lines[0]
    with pytest.raises(KeyError):
        log.setup("console", "loud")


def test_repeats_are_held_back_and_counted():
    now = [0.0]
    repeats = log.Repeats(2.0, lambda: now[0])

    def tell(name):
        try:
            return repeats(None, "info", {"event": name})
        except structlog.DropEvent:
            return None

    assert sum(tell("a") is not None for _ in range(100)) == log.BURST
    assert tell("b") is not None  # another event is not held back for it
    assert repeats.settled() == []
    now[0] = 1.0
    assert tell("a") == {"event": "a", "held_back": 90} and "held_back" not in tell("a")
    assert tell("a") is None
    now[0] = 3.0
    assert repeats.settled() == [("a", 1)] and repeats.settled() == []


def test_names_without_end_take_no_memory_without_end():
    repeats = log.Repeats()
    for i in range(5000):
        repeats(None, "info", {"event": f"e{i}"})
    assert len(repeats._known) <= log.MOST_NAMES


def test_a_standard_error_that_is_not_read_costs_lines_and_no_time():
    read, write = os.pipe()
    try:
        sink = log.Sink(write, most=50)
        start = time.monotonic()
        for i in range(5000):
            sink.write(f"line {i} " + "x" * 5000)
        assert time.monotonic() - start < 2.0 and sink.dropped > 0
        assert not sink.flush(0.05)
        got = b""
        while b"event=log.dropped" not in got:
            got += os.read(read, 65536)
        assert got.startswith(b"line 0 ")
        while not sink.flush(0.02):
            got += os.read(read, 65536)
    finally:
        os.close(write)
        os.close(read)


def test_a_closed_standard_error_and_lines_of_any_length():
    read, write = os.pipe()
    sink = log.Sink(write)
    sink.write("y" * 100_000)
    assert sink.flush(2.0) and len(os.read(read, 1 << 20)) == log.MOST_BYTES + 1
    os.close(read)
    os.close(write)
    sink.write("nobody")
    assert sink.flush(2.0)


def test_flushing_what_was_never_written_to():
    assert log.Sink(2).flush(0.0)
