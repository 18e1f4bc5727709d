"""The command line: checks of files, and errors that name the place."""

from __future__ import annotations

import contextlib
import io
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from rosechute.configuration.process import SETTINGS_VARIABLE, ProcessSettings
from rosechute.processes import start
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


class Start(WithFiles):
    """How a process starts and ends."""

    def setUp(self) -> None:
        super().setUp()
        self.errors = io.StringIO()
        patched = mock.patch("sys.stderr", self.errors)
        patched.start()
        self.addCleanup(patched.stop)

    def test_settings_are_handed_over(self) -> None:
        seen: list[ProcessSettings] = []

        async def serve(found: ProcessSettings) -> int:
            seen.append(found)
            return 7
        with mock.patch.dict("os.environ", {SETTINGS_VARIABLE: self.file(encode(settings()))}):
            self.assertEqual(start.run(serve), 7)
        self.assertEqual(seen[0].node_name, "edge-pier-1")

    def test_unusable_settings(self) -> None:
        async def serve(found: ProcessSettings) -> int:
            raise AssertionError("started")
        self.assertEqual(start.run(serve, self.file(b"{")), start.EXIT_UNUSABLE)
        self.assertIn("file.json: decode: ", self.errors.getvalue())

    def test_an_address_that_is_taken(self) -> None:
        async def serve(found: ProcessSettings) -> int:
            raise OSError(98, "Address already in use")
        self.assertEqual(start.run(serve, self.file(encode(settings()))), start.EXIT_UNUSABLE)
        self.assertIn("edge-pier-1 cannot serve: [Errno 98] Address already in use", self.errors.getvalue())
