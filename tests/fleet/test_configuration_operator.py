"""Unit tests of `configuration.operator`: decoding and validating the operator's configuration."""

from __future__ import annotations

import copy
import unittest
from collections.abc import Callable
from typing import Any

from returns.result import Failure, Success

from rosechute.configuration.errors import ConfigurationError
from rosechute.configuration.operator import Configuration, parse_configuration
from tests.fleet.configuration_samples import configuration, encode

Change = Callable[[dict[str, Any]], Any]


def parsed(value: Any) -> Configuration:
    """Return the configuration, which must be valid."""
    result = parse_configuration(encode(value))
    if not isinstance(result, Success):
        raise AssertionError(f"rejected: {result}")
    return result.unwrap()


def error_of(body: bytes) -> ConfigurationError:
    """Return the error of a configuration, which must be invalid."""
    result = parse_configuration(body)
    if not isinstance(result, Failure):
        raise AssertionError(f"accepted: {result}")
    return result.failure()


def changed(change: Change) -> bytes:
    """Return the sample after a change."""
    value = configuration()
    change(value)
    return encode(value)


class ValidConfigurationTest(unittest.TestCase):
    """Configurations that must be accepted."""

    def test_every_field_is_read(self) -> None:
        read = parsed(configuration())
        self.assertEqual(read.config_version, 4)
        self.assertEqual(read.limits.idle_timeout_ms, 9000)
        berths, tides = read.routes
        self.assertTrue(berths.streaming and berths.repeatable and berths.sticky)
        split = [(part.service, part.weight) for part in berths.traffic_split]
        self.assertEqual(split, [("pilot", 3), ("ledger", 1)])
        self.assertEqual((tides.service, tides.timeout_ms, tides.max_attempts), ("ledger", 900, 3))
        self.assertTrue(tides.repeatable and tides.public_access)
        self.assertIsNotNone(read.services[0].engine)
        ferries, tugs = read.tenants
        self.assertTrue(ferries.limited and ferries.counts_tokens)
        self.assertEqual((ferries.rate_per_s, ferries.burst, ferries.uncached_tokens), (5000, 2500, 150))
        self.assertFalse(tugs.limited)

    def test_optional_fields_may_be_left_out(self) -> None:
        read = parsed(
            {
                "config_version": 1,
                "routes": [{"host": "a.example", "path_prefix": "/", "timeout_ms": 1, "service": "s"}],
                "services": [{"name": "s"}],
            }
        )
        route = read.routes[0]
        self.assertFalse(route.repeatable or route.streaming or route.sticky or route.public_access)
        self.assertEqual((route.max_attempts, route.priority, route.gap_aim_ms), (1, 0, 0))
        self.assertEqual(read.tenants, ())
        self.assertGreater(read.limits.max_body_bytes, 0)

    def test_unknown_fields_are_ignored(self) -> None:
        value = configuration()
        value["walls"] = [1]
        value["routes"][0]["colour"] = {"deep": [None]}
        value["services"][0]["engine"]["speed"] = "fast"
        value["tenants"][1]["note"] = 3
        self.assertEqual(parsed(value), parsed(configuration()))

    def test_no_routes_no_services(self) -> None:
        self.assertEqual(parsed({"config_version": 1, "routes": [], "services": []}).routes, ())

    def test_a_weight_of_zero_beside_others(self) -> None:
        value = configuration()
        value["routes"][0]["traffic_split"][1]["weight"] = 0
        self.assertEqual(parsed(value).routes[0].service_names, ("pilot",))

    def test_an_unknown_kind_of_route_is_taken_as_not_repeatable(self) -> None:
        value = configuration()
        value["routes"][1]["route_type"] = "batch"
        self.assertFalse(parsed(value).routes[1].repeatable)

    def test_same_prefix_at_another_host(self) -> None:
        value = configuration()
        value["routes"][1].update(host="other.example", path_prefix="/berths/")
        self.assertEqual(len(parsed(value).routes), 2)

    def test_a_key_twice_at_one_tenant(self) -> None:
        value = configuration()
        value["tenants"][0]["api_keys"].append("k-one")
        self.assertEqual(len(parsed(value).tenants), 2)

    def test_times_may_have_fractions(self) -> None:
        value = configuration()
        value["routes"][1]["timeout_ms"] = 0.5
        self.assertEqual(parsed(value).routes[1].timeout_ms, 0.5)


class InvalidConfigurationTest(unittest.TestCase):
    """Configurations that must be rejected, with the field that the error names."""

    def assert_rejected(self, field: str, change: Change) -> None:
        found = error_of(changed(change))
        self.assertEqual(found.field, field, str(found))
        self.assertTrue(found.reason)

    def test_truncated_at_every_byte(self) -> None:
        body = encode(configuration())
        for length in range(len(body)):
            self.assertEqual(error_of(body[:length]).step, "decode")

    def test_bytes_after_the_end(self) -> None:
        self.assertEqual(error_of(encode(configuration()) + b"}").step, "decode")

    def test_not_text(self) -> None:
        for body in (
            b"",
            b"\xff\xfe",
            b"null",
            b"[]",
            b"3",
            b'{"config_version":1,"routes":[{"host":"\xff"}]}',
            b"[" * 100_000,
        ):
            self.assertEqual(error_of(body).step, "decode", body[:20])

    def test_fields_that_must_be_there(self) -> None:
        for field in ("config_version", "routes", "services"):
            self.assert_rejected("", lambda value, field=field: value.pop(field))
        for field in ("host", "path_prefix", "timeout_ms"):
            self.assert_rejected("routes[1]", lambda value, field=field: value["routes"][1].pop(field))
        self.assert_rejected("services[1]", lambda value: value["services"][1].pop("name"))
        self.assert_rejected("tenants[0]", lambda value: value["tenants"][0].pop("name"))

    def test_wrong_types(self) -> None:
        for field, change in (
            ("config_version", lambda value: value.update(config_version="4")),
            ("config_version", lambda value: value.update(config_version=True)),
            ("config_version", lambda value: value.update(config_version=-1)),
            ("config_version", lambda value: value.update(config_version=2**63)),
            ("routes", lambda value: value.update(routes={})),
            ("tenants", lambda value: value.update(tenants=None)),
            ("limits", lambda value: value.update(limits=[])),
            ("routes[0].timeout_ms", lambda value: value["routes"][0].update(timeout_ms="5")),
            ("routes[0].sticky", lambda value: value["routes"][0].update(sticky=1)),
            (
                "routes[0].traffic_split[1].weight",
                lambda value: value["routes"][0]["traffic_split"][1].update(weight=None),
            ),
            ("tenants[0].api_keys[1]", lambda value: value["tenants"][0]["api_keys"].__setitem__(1, 7)),
            ("services[0].engine", lambda value: value["services"][0].update(engine="large")),
        ):
            with self.subTest(field):
                self.assert_rejected(field, change)

    def test_unknown_services(self) -> None:
        self.assert_rejected("routes[1].service", lambda value: value["routes"][1].update(service="lost"))
        self.assert_rejected(
            "routes[0].traffic_split[1].service",
            lambda value: value["routes"][0]["traffic_split"][1].update(service="lost"),
        )
        self.assert_rejected("routes[0].traffic_split[1].service", lambda value: value["services"].pop(1))

    def test_an_unknown_service_with_no_weight(self) -> None:
        self.assert_rejected(
            "routes[0].traffic_split[1].service",
            lambda value: value["routes"][0]["traffic_split"][1].update(service="lost", weight=0),
        )

    def test_no_service_at_all(self) -> None:
        self.assert_rejected("routes[1].service", lambda value: value["routes"][1].pop("service"))
        self.assert_rejected("routes[0].service", lambda value: value["routes"][0].update(traffic_split=[]))

    def test_same_place(self) -> None:
        self.assert_rejected("routes[1].path_prefix", lambda value: value["routes"][1].update(path_prefix="/berths/"))

    def test_weights(self) -> None:
        def weights(*values: float) -> Change:
            def change(value: dict[str, Any]) -> None:
                value["routes"][0]["traffic_split"] = [{"service": "pilot", "weight": weight} for weight in values]

            return change

        self.assert_rejected("routes[0].traffic_split", weights(0))
        self.assert_rejected("routes[0].traffic_split", weights(0, 0, 0))
        self.assert_rejected("routes[0].traffic_split[1].weight", weights(5, -1))
        self.assert_rejected("routes[0].traffic_split[1].weight", weights(1, -1))

    def test_timeout(self) -> None:
        for timeout in (0, -1, 0.0):
            self.assert_rejected(
                "routes[1].timeout_ms", lambda value, timeout=timeout: value["routes"][1].update(timeout_ms=timeout)
            )

    def test_shared_key(self) -> None:
        self.assert_rejected("tenants[1].api_keys[0]", lambda value: value["tenants"][1].update(api_keys=["k-two"]))

    def test_names_that_occur_twice(self) -> None:
        self.assert_rejected(
            "services[2].name", lambda value: value["services"].append(copy.deepcopy(value["services"][0]))
        )
        self.assert_rejected("tenants[1].name", lambda value: value["tenants"][1].update(name="ferries"))
        self.assert_rejected("routes[1].name", lambda value: value["routes"][1].update(name="berths"))

    def test_an_error_is_one_line(self) -> None:
        text = str(error_of(changed(lambda value: value["routes"][1].update(service="lost"))))
        self.assertEqual(text, "check: routes[1].service: no service is named 'lost'")
