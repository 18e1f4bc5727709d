"""Unit tests of `processes.logs`: one line per event, at the configured level."""

from __future__ import annotations

import io
import unittest
from unittest import mock

from loguru import logger

from rosechute.processes import logs


class LoggingTest(unittest.TestCase):
    """Format of log lines and selection by level."""

    def setUp(self) -> None:
        self.stream = io.StringIO()
        self.addCleanup(logger.remove)

    def lines(self) -> list[str]:
        return self.stream.getvalue().splitlines()

    def test_each_event_is_one_line(self) -> None:
        logs.configure_logging(stream=self.stream)
        logger.info("first\nsecond {}", 3)
        (line,) = self.lines()
        self.assertRegex(line, r"^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3} INFO \S+ first\\nsecond 3$")

    def test_exception_is_logged_in_the_same_line(self) -> None:
        logs.configure_logging(stream=self.stream)
        try:
            raise ValueError("no\nport")
        except ValueError:
            logger.exception("listen")
        (line,) = self.lines()
        self.assertRegex(line, r" ERROR \S+ listen \| ValueError: no\\nport at test_processes_logs\.py:\d+$")

    def test_braces_in_a_message_are_kept(self) -> None:
        logs.configure_logging(stream=self.stream)
        logger.info("body {}", '{"a": {0}}')
        self.assertTrue(self.lines()[0].endswith('body {"a": {0}}'))

    def test_environment_overrides_the_configured_level(self) -> None:
        for environment, configured, level in (
            ("", "", "INFO"),
            ("", "warning", "WARNING"),
            ("debug", "warning", "DEBUG"),
            ("loud", "error", "ERROR"),
            ("", "loud", "INFO"),
        ):
            with (
                self.subTest((environment, configured)),
                mock.patch.dict("os.environ", {logs.LEVEL_VARIABLE: environment}),
            ):
                self.assertEqual(logs.configure_logging(configured, self.stream), level)

    def test_events_below_the_level_are_dropped(self) -> None:
        logs.configure_logging("ERROR", self.stream)
        logger.warning("quiet")
        self.assertEqual(self.lines(), [])
