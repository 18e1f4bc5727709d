"""Unit tests of `configuration.process`: loading and validating a settings file."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from returns.result import Failure, Success

from rosechute.configuration import process
from rosechute.configuration.errors import SettingsError
from tests.fleet.configuration_samples import encode, settings


def read(value: Any) -> process.ProcessSettings:
    """Return the settings, which must be valid."""
    result = process.decode_settings(encode(value), "node.json")
    if not isinstance(result, Success):
        raise AssertionError(f"rejected: {result}")
    return result.unwrap()


def error_of(value: Any) -> SettingsError:
    """Return the error of settings, which must be invalid."""
    result = process.decode_settings(encode(value), "node.json")
    if not isinstance(result, Failure):
        raise AssertionError(f"accepted: {result}")
    return result.failure()


class ValidSettingsTest(unittest.TestCase):
    """Fields, defaults and addresses."""

    def test_fields(self) -> None:
        found = read(settings())
        self.assertEqual((found.node_name, found.zone, found.ip), ("edge-pier-1", "pier", "127.0.3.1"))
        self.assertEqual((found.listen.front, found.listen.control), ("127.0.3.1:8080", ""))
        self.assertEqual((found.limits.memory_mb, found.limits.max_fds), (200, 2000))
        self.assertEqual(found.fault_tolerance.machines, 1)
        self.assertEqual((found.cloud_api.address, found.cloud_api.max_lag_ms), ("127.0.1.1:8300", 500))

    def test_bounds_that_are_left_out_have_defaults(self) -> None:
        bounds = read(settings()).bounds
        self.assertEqual((bounds.drain_ms, bounds.revoke_ms, bounds.strict_revoke), (1500, 4000, False))
        self.assertEqual((bounds.contact_ms, bounds.grace_s), (3000, 8))

    def test_few_fields_are_enough(self) -> None:
        found = read({"node_name": "n", "ip": "127.0.0.1", "zone": "z", "port_range": [7000, 7001]})
        self.assertEqual((found.seeds, found.bootstrap, found.data_dir), ((), False, ""))

    def test_null_counts_as_left_out_and_unknown_fields_are_ignored(self) -> None:
        value = settings() | {"tides": {"deep": None}, "bounds": {"drain_ms": None}, "seeds": None, "entry_mode": 7}
        found = read(value)
        self.assertEqual((found.bounds.drain_ms, found.seeds, found.data_dir), (3000, (), ""))

    def test_addresses(self) -> None:
        found = read(settings())
        self.assertEqual((found.core_link_port, found.edge_link_port), (7100, 7115))
        self.assertEqual(found.edge_link_address, "127.0.3.1:7115")
        self.assertEqual(found.core_link_address, "127.0.3.1:7100")
        self.assertEqual(found.seed_peers, ("127.0.2.1:7100", "127.0.2.2:7100"))


class InvalidSettingsTest(unittest.TestCase):
    """Settings that must be rejected, with step, field and file."""

    def test_fields_of_errors(self) -> None:
        for field, change in (
            ("ip", {"ip": 4}),
            ("limits.memory_mb", {"limits": {"memory_mb": "much"}}),
            ("bounds.drain_ms", {"bounds": {"drain_ms": []}}),
            ("seeds[1]", {"seeds": ["127.0.2.1:9000", "127.0.2.2"]}),
            ("port_range", {"port_range": [7100]}),
            ("port_range", {"port_range": [7115, 7100]}),
            ("listen.front", {"listen": {"front": "127.0.3.1:http"}}),
            ("cloud_api.address", {"cloud_api": {"address": ":80"}}),
        ):
            with self.subTest(field):
                found = error_of(settings() | change)
                self.assertEqual((found.field, found.source), (field, "node.json"), str(found))

    def test_a_field_that_must_be_there(self) -> None:
        value = settings()
        del value["node_name"]
        self.assertEqual(str(error_of(value)), "node.json: decode: Object missing required field `node_name`")

    def test_what_a_side_needs(self) -> None:
        found = read(settings())
        self.assertIsNone(process.find_missing_setting(found, process.SERVES_EDGE))
        missing = process.find_missing_setting(found, process.SERVES_CONTROL_PLANE, "node.json")
        self.assertEqual(str(missing), "node.json: check: listen.control: is needed to serve control_plane")
        without = read(settings() | {"listen": {"control": "127.0.3.1:1"}, "data_dir": "/data"})
        self.assertIsNone(process.find_missing_setting(without, process.SERVES_CONTROL_PLANE))
        wrong = process.find_missing_setting(without, process.SERVES_EDGE)
        self.assertEqual(wrong and wrong.field, "listen.front")

    def test_not_json(self) -> None:
        result = process.decode_settings(b'{"ip": ', "node.json")
        self.assertEqual(result.failure().step, "decode")


class Files(unittest.TestCase):
    """Reading from a path, and from the path that the environment names."""

    def test_file(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "node.json")
            path.write_bytes(encode(settings()))
            self.assertEqual(process.load_settings(path).unwrap(), read(settings()))
            with mock.patch.dict("os.environ", {process.SETTINGS_VARIABLE: str(path)}):
                self.assertEqual(process.load_settings_from_environment().unwrap(), read(settings()))

    def test_no_file(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            found = process.load_settings(Path(folder, "none.json")).failure()
        self.assertEqual((found.step, found.field), ("read", ""))
        self.assertIn("none.json", str(found))

    def test_no_variable(self) -> None:
        with mock.patch.dict("os.environ", clear=True):
            self.assertIn(process.SETTINGS_VARIABLE, process.load_settings_from_environment().failure().reason)
