"""Look-up of routes and tenants, and the choice by weights."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from rosechute.configuration.operator import Configuration, Route, Service, TrafficSplit
from rosechute.configuration.route_table import RouteTable, host_name
from tests.fleet.configuration_samples import configuration
from tests.fleet.test_configuration_operator import parsed

HOSTS = ("a.example", "b.example")
SEGMENTS = ("x", "y", "long-segment")


def random_prefix(source: random.Random) -> str:
    """A prefix of up to four segments."""
    return "/" + "".join(f"{source.choice(SEGMENTS)}/" for _ in range(source.randrange(5)))


def longest(routes: tuple[Route, ...], host: str, path: str) -> Route | None:
    """The same look-up, by trying every route."""
    fitting = [route for route in routes if route.host == host and path.startswith(route.path_prefix)]
    return max(fitting, key=lambda route: len(route.path_prefix), default=None)


class Finding(unittest.TestCase):
    """The longest prefix at the host wins."""

    def setUp(self) -> None:
        self.table = RouteTable(parsed(configuration()))

    def name(self, host: str, path: str) -> str | None:
        route = self.table.find_route(host, path)
        return None if route is None else route.name

    def test_longest_prefix(self) -> None:
        self.assertEqual(self.name("harbour.example", "/berths/7"), "berths")
        self.assertEqual(self.name("harbour.example", "/berths/"), "berths")
        self.assertEqual(self.name("harbour.example", "/berths/tides"), "berths")
        self.assertEqual(self.name("harbour.example", "/berths/tides/3?day=2"), "tides")

    def test_none(self) -> None:
        for host, path in (
            ("harbour.example", "/berths"),
            ("harbour.example", "/"),
            ("harbour.example", ""),
            ("other.example", "/berths/7"),
            ("", "/berths/7"),
            ("harbour.example", "/Berths/7"),
        ):
            self.assertIsNone(self.name(host, path), (host, path))

    def test_host_without_port_in_any_case(self) -> None:
        self.assertEqual(self.name("HARBOUR.Example:8080", "/berths/7"), "berths")
        self.assertEqual(host_name("[::1]:80"), "[::1]")
        self.assertEqual(host_name("Harbour.example"), "harbour.example")

    def test_agrees_with_trying_every_route(self) -> None:
        source = random.Random(5)
        for _ in range(50):
            places = {(source.choice(HOSTS), random_prefix(source)) for _ in range(12)}
            routes = tuple(Route(host=host, path_prefix=prefix, timeout_ms=1, service="s") for host, prefix in places)
            table = RouteTable(Configuration(config_version=1, routes=routes, services=(Service(name="s"),)))
            for _ in range(40):
                host, path = source.choice(HOSTS), random_prefix(source) + source.choice(("", "x", "end"))
                self.assertIs(table.find_route(host, path), longest(routes, host, path))

    def test_tenants(self) -> None:
        self.assertTrue(self.table.has_tenants)
        found = self.table.find_tenant("k-two")
        self.assertEqual(found and found.name, "ferries")
        self.assertIsNone(self.table.find_tenant("k-four"))
        self.assertIsNone(self.table.find_tenant(""))

    def test_without_tenants(self) -> None:
        value = configuration()
        del value["tenants"]
        self.assertFalse(RouteTable(parsed(value)).has_tenants)


class Picking(unittest.TestCase):
    """Services are chosen by weight."""

    @staticmethod
    def route(*weights: float) -> Route:
        parts = tuple(TrafficSplit(service=f"s{index}", weight=weight) for index, weight in enumerate(weights))
        return Route(host="h", path_prefix="/", timeout_ms=1, traffic_split=parts)

    def test_one_service_needs_no_draw(self) -> None:
        def draw() -> float:
            raise AssertionError("drawn")

        self.assertEqual(Route(host="h", path_prefix="/", timeout_ms=1, service="only").pick_service(draw), "only")

    def test_shares(self) -> None:
        route = self.route(90, 10)
        counts = Counter(route.pick_service(lambda step=step: step / 1000) for step in range(1000))
        self.assertEqual(counts, {"s0": 900, "s1": 100})

    def test_no_weight_is_never_chosen(self) -> None:
        route = self.route(0, 2, 0, 1, 0)
        picked = {route.pick_service(lambda step=step: step / 100) for step in range(100)}
        self.assertEqual(picked, {"s1", "s3"})
        self.assertEqual(route.pick_service(lambda: 0.0), "s1")
        self.assertEqual(route.pick_service(lambda: 1.0), "s3")
