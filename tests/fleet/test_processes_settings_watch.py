"""Unit tests of `processes.settings_watch`, which the core and the edge program share."""

from __future__ import annotations

import json
import os
import tempfile
from pathlib import Path
from unittest import TestCase

from loguru import logger

from rosechute.configuration.process import ProcessSettings, load_settings
from rosechute.processes.settings_watch import NO_FILE, SettingsWatch, file_version


def setUpModule() -> None:
    logger.disable("rosechute.processes.settings_watch")  # it warns of invalid files


def tearDownModule() -> None:
    logger.enable("rosechute.processes.settings_watch")


class SettingsWatchTest(TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = str(Path(directory.name) / "node.json")
        self.writes = 0
        self.write(zone="a")
        self.applied: list[ProcessSettings] = []
        self.watch = SettingsWatch(load_settings(self.path).unwrap(), self.path, self.applied.append)

    def write(self, **changed: object) -> None:
        """Write the file with a modification time of its own, however fast writes follow each other."""
        settings = {
            "node_name": "n",
            "ip": "10.0.0.1",
            "zone": "a",
            "serves": ["edge"],
            "port_range": [7500, 7515],
            "listen": {"front": "10.0.0.1:80", "readiness": "10.0.0.1:81"},
        }
        self.text(json.dumps(settings | changed))

    def text(self, text: str) -> None:
        Path(self.path).write_text(text, encoding="utf-8")
        self.writes += 1
        os.utime(self.path, ns=(self.writes * 10**9, self.writes * 10**9))

    def test_a_changed_file_is_applied_once(self) -> None:
        self.watch.reload_if_changed()
        self.assertEqual(self.applied, [])
        self.write(zone="b")
        self.watch.reload_if_changed()
        self.watch.reload_if_changed()
        self.assertEqual([each.zone for each in self.applied], ["b"])
        self.assertEqual(self.watch.settings.zone, "b")

    def test_a_change_between_loading_and_watching_is_read(self) -> None:
        settings = load_settings(self.path).unwrap()
        self.write(zone="b")
        watch = SettingsWatch(settings, self.path, self.applied.append)
        watch.reload_if_changed()
        self.assertEqual([each.zone for each in self.applied], ["b"])

    def test_a_signal_reads_it_again_and_the_same_settings_change_nothing(self) -> None:
        self.watch.reload()
        self.write(zone="a")
        self.watch.reload()
        self.assertEqual(self.applied, [])

    def test_a_file_that_cannot_be_used_changes_nothing_until_it_can(self) -> None:
        self.text('{"node_name": ')
        self.watch.reload_if_changed()
        self.assertEqual((self.applied, self.watch.settings.zone), ([], "a"))
        self.write(zone="c")
        self.watch.reload_if_changed()
        self.assertEqual(self.watch.settings.zone, "c")

    def test_a_file_that_is_gone_changes_nothing(self) -> None:
        os.unlink(self.path)
        self.assertEqual(file_version(self.path), NO_FILE)
        self.watch.reload_if_changed()
        self.assertEqual(self.applied, [])
