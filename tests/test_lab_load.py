"""Load generator: loopback targets only, due times fixed in advance, stalls counted for all requests due in them."""

import asyncio

import pytest
from click.testing import CliRunner

from rosechute.cli.main import main
from rosechute.fakes.server import FakeServer, ServerBehavior
from rosechute.simulation.load import Target, due, load, target


@pytest.mark.parametrize(
    ("url", "word"),
    [
        ("http://10.0.0.1:80/", "loopback"),
        ("http://example.org/", "not looked up"),
        ("https://127.0.0.1/", "http://"),
        ("http://[2001:db8::1]/", "loopback"),
        ("127.0.0.1:80", "http://"),
        ("http://127.0.0.1:99999/", "no address"),
    ],
)
def test_target_rejects_addresses_other_than_loopback(url, word):
    with pytest.raises(ValueError, match=word):
        target(url)
    done = CliRunner().invoke(main, ["lab", "load", url, "--rate", "1"])
    assert done.exit_code == 1
    assert word in done.output


def test_target_parses_loopback_urls():
    assert target("http://localhost:81/a?b=c") == Target("127.0.0.1", 81, "/a?b=c")
    assert target("http://[::1]:81") == Target("::1", 81, "/")


def test_due_times_are_bounded_and_follow_the_shape():
    for rate, seconds in ((1e6, 1.0), (10.0, 1e4), (0.0, 1.0)):
        with pytest.raises(ValueError, match="a load has up to"):
            due(rate, seconds)
    flat = due(2000.0, 10.0)
    assert flat == due(2000.0, 10.0)
    assert flat == sorted(flat)
    assert len(flat) == pytest.approx(20_000, rel=0.03)
    square = due(2000.0, 10.0, "square", 0.5)
    assert sum(t >= 5.0 for t in square) / sum(t < 5.0 for t in square) == pytest.approx(3.0, rel=0.08)


def test_stall_delays_every_request_due_in_it():
    async def run_load():
        server = FakeServer("s", ServerBehavior(slots=1, queue=10_000, service_s=0.0))
        port = await server.start()
        loop = asyncio.get_running_loop()

        def stall(on):
            server.behavior.service_s = 0.4 if on else 0.0

        loop.call_later(0.3, stall, True)
        loop.call_later(0.35, stall, False)
        found = await load(Target("127.0.0.1", port, "/"), due(200.0, 1.0))
        server.stop()
        return found

    found = asyncio.run(run_load())
    assert found.statuses[200] == found.asked == found.times.get_total_count()
    assert found.times.get_value_at_percentile(90) > 100_000  # over 40 of 200 requests were due during the stall
    assert found.times.get_value_at_percentile(20) < 50_000


def test_dropped_requests_count_as_unanswered():
    async def run_load():
        server = FakeServer("s", ServerBehavior(hang=True))
        port = await server.start()
        asyncio.get_running_loop().call_later(0.5, server.stop)
        return await load(Target("127.0.0.1", port, "/"), due(50.0, 0.3), "POST")

    found = asyncio.run(run_load())
    assert found.unanswered == found.asked > 5
    assert dict(found.lines())["unanswered"] == str(found.asked)
