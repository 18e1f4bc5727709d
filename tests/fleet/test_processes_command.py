"""The command line: checks of files, and errors that name the place."""

from __future__ import annotations

import contextlib
import io
import os
import tempfile
import types
import unittest
from pathlib import Path
from unittest import mock

from rosechute.configuration.process import SETTINGS_VARIABLE
from rosechute.processes.main import main
from tests.fleet.configuration_samples import configuration, encode, settings


def run(*arguments: str) -> tuple[int, str, str]:
    """Exit code, output and errors of a command."""
    output, errors, code = io.StringIO(), io.StringIO(), 0
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        try:
            main(list(arguments))
        except SystemExit as end:
            code = int(end.code or 0)
    return code, output.getvalue(), errors.getvalue()


class WithFiles(unittest.TestCase):
    """Tests that need files."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def file(self, body: bytes) -> str:
        path = self.folder / "file.json"
        path.write_bytes(body)
        return str(path)


class Checks(WithFiles):
    """check-configuration and check-settings."""

    def test_valid_configuration(self) -> None:
        code, output, _ = run("check-configuration", self.file(encode(configuration())))
        self.assertEqual(code, 0)
        self.assertIn("valid; version 4, 2 routes, 2 services, 2 tenants", output)

    def test_invalid_configuration(self) -> None:
        value = configuration()
        value["routes"][0]["traffic_split"][1]["service"] = "lost"
        code, output, errors = run("check-configuration", self.file(encode(value)))
        self.assertEqual((code, output), (1, ""))
        self.assertIn("routes[0].traffic_split[1].service: no service is named 'lost'", errors)

    def test_no_file(self) -> None:
        for command in ("check-configuration", "check-settings"):
            code, _, errors = run(command, str(self.folder / "none.json"))
            self.assertEqual(code, 1)
            self.assertIn("none.json: read: No such file", errors)

    def test_settings(self) -> None:
        code, output, _ = run("check-settings", self.file(encode(settings())))
        self.assertEqual(code, 0)
        self.assertIn("usable; edge-pier-1 in pier serves edge", output)

    def test_wrong_settings(self) -> None:
        code, _, errors = run("check-settings", self.file(encode(settings() | {"port_range": [1]})))
        self.assertEqual(code, 1)
        self.assertIn("port_range", errors)

    def test_settings_that_lack_what_their_side_needs(self) -> None:
        code, _, errors = run("check-settings", self.file(encode(settings() | {"listen": {"front": "127.0.3.1:1"}})))
        self.assertEqual(code, 1)
        self.assertIn("listen.readiness: is needed to serve edge", errors)


class Roles(WithFiles):
    """Which program runs, with which settings."""

    def test_a_settings_file_is_handed_over(self) -> None:
        path = self.file(encode(settings()))
        for role in ("edge", "core"):
            seen: list[str] = []

            def program(seen: list[str] = seen) -> int:
                seen.append(os.environ[SETTINGS_VARIABLE])
                return 7

            module = types.ModuleType(f"rosechute.processes.{role}")
            module.main = program  # type: ignore[attr-defined]
            with (
                self.subTest(role),
                mock.patch.dict("os.environ"),
                mock.patch.dict("sys.modules", {module.__name__: module}),
            ):
                self.assertEqual(run(role, "--settings", path)[0], 7)
                self.assertEqual(seen, [path])
