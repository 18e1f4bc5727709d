"""Random schedules of the data plane, and planted faults that each check of the schedules has to detect.

To run more seeds: `python -m tests.fleet.data_schedules 1000 4000`.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

from rosechute.data_plane import attempt, attempt_outcome, request, server_request
from rosechute.data_plane.admission import AdmittedRequest
from rosechute.data_plane.attempt_outcome import AttemptOutcome
from rosechute.data_plane.client_response import ClientResponse
from rosechute.data_plane.event_boundary import EventBoundary
from rosechute.data_plane.event_stream import EventStream
from rosechute.data_plane.inactivity import InactivityWatch
from rosechute.data_plane.plane import DataPlane
from rosechute.data_plane.request import ClientRequest
from rosechute.proxy.http1.client import ClientConnection
from rosechute.proxy.http1.connection import Connection, Reply
from rosechute.routing.model import AttemptResult
from rosechute.routing.router import Router
from tests.fleet import data_judges
from tests.fleet.data_judges import Check, violations
from tests.fleet.data_model import Records
from tests.fleet.data_schedules import play

SEEDS = range(16)
PLANTED_SEEDS = range(0, 120)  # run until one of them reveals the planted fault


class RandomSchedulesTest(unittest.TestCase):
    def test_random_schedules_have_no_violations(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(violations(play(seed)), [])


class PlantedFaultsTest(unittest.TestCase):
    """Each test disables one mechanism; the check that covers it has to find a violation within a few seeds."""

    def assert_detected(self, check: Check, fault: Any) -> None:
        """Run seeds with the fault until this check finds a violation."""
        with fault:
            for seed in PLANTED_SEEDS:
                if self._has_violation(check, seed):
                    return
        self.fail(f"{check.__name__} finds no violation in {len(PLANTED_SEEDS)} schedules")

    @staticmethod
    def _has_violation(check: Check, seed: int) -> bool:
        try:
            return any(check(play(seed)))
        except TimeoutError:
            return False  # the fault made the schedule hang

    def test_request_id_of_response_is_ignored(self) -> None:
        def send(self: Connection, *arguments: Any, **more: Any) -> None:
            original(self, *arguments, **more | {"echo": None})

        original = Connection.send
        own = mock.patch.object(attempt.Attempt, "_echoes_request_id", lambda *_: True)
        with mock.patch.object(Connection, "send", send):
            self.assert_detected(data_judges.check_response_origin, own)

    def test_second_request_id_is_ignored(self) -> None:
        self.assert_detected(
            data_judges.check_response_origin,
            mock.patch.object(attempt.Attempt, "_echoes_request_id", lambda *_: True),
        )

    def test_success_without_stamp_is_forwarded(self) -> None:
        self.assert_detected(
            data_judges.check_response_origin, mock.patch.object(attempt_outcome, "is_trusted", lambda _: True)
        )

    def test_reset_is_handled_as_end_of_body(self) -> None:
        def connection_lost(self: Connection, error: Exception | None) -> None:
            if self._ends_at_close and self._on_done is not None:
                self._end()
            original(self, error)

        original = Connection.connection_lost
        self.assert_detected(
            data_judges.check_completeness, mock.patch.object(Connection, "connection_lost", connection_lost)
        )

    def test_interrupted_response_is_finished(self) -> None:
        self.assert_detected(
            data_judges.check_completeness,
            mock.patch.object(ClientResponse, "truncate", lambda self: ClientResponse.finish(self, b"")),
        )

    def test_interrupted_stream_is_finished(self) -> None:
        self.assert_detected(
            data_judges.check_event_streams,
            mock.patch.object(ClientResponse, "truncate", lambda self: ClientResponse.finish(self, b"")),
        )

    def test_end_of_stream_is_judged_by_its_last_piece(self) -> None:
        def feed(self: EventBoundary, data: bytes) -> None:
            self.is_inside_event = not data.endswith((b"\n\n", b"\n\r\n"))

        self.assert_detected(
            data_judges.check_sound_responses,
            mock.patch.object(EventBoundary, "feed", feed),
        )

    def test_possibly_executed_request_is_retried(self) -> None:
        self.assert_detected(data_judges.check_at_most_once, self._retry_everything())

    @staticmethod
    def _retry_everything() -> Any:
        """Make request and router ignore that a request may have been executed."""

        def retry_always(self: ClientRequest, outcome: AttemptOutcome) -> bool:
            return True

        def build_unexecuted_request(self: ClientRequest, current_attempt: attempt.Attempt) -> bytes | None:
            self._may_have_executed = False
            return original(self, current_attempt)

        def report(self: Router, now: float, ticket: int, server: str, result: AttemptResult, more: bool) -> Any:
            return original_report(self, now, ticket, server, AttemptResult.NOT_EXECUTED if more else result, more)

        original, original_report = ClientRequest.build_request, Router.report
        return _CombinedPatches(
            mock.patch.object(ClientRequest, "_can_retry", retry_always),
            mock.patch.object(ClientRequest, "build_request", build_unexecuted_request),
            mock.patch.object(Router, "report", report),
        )

    def test_newer_configuration_is_ignored_before_retry(self) -> None:
        def rejection_without_update(self: DataPlane, admitted: AdmittedRequest) -> Any:
            rejection = original(self, admitted)
            admitted.repeatable = admitted.route.repeatable
            return rejection

        original = DataPlane.current_rejection
        self.assert_detected(
            data_judges.check_at_most_once,
            mock.patch.object(DataPlane, "current_rejection", rejection_without_update),
        )

    def test_reset_is_handled_as_not_executed(self) -> None:
        self.assert_detected(
            data_judges.check_at_most_once,
            mock.patch.object(attempt_outcome, "RESET", AttemptOutcome(AttemptResult.CONNECT_FAILED, False)),
        )

    def test_not_executed_status_without_header_is_trusted(self) -> None:
        def classify_response(reply: Reply, server_id: str) -> AttemptOutcome:
            if reply.status in attempt_outcome.NOT_EXECUTED_STATUSES:
                return AttemptOutcome(AttemptResult.NOT_EXECUTED, False)
            return original(reply, server_id)

        original = attempt_outcome.classify_response
        self.assert_detected(
            data_judges.check_at_most_once, mock.patch.object(attempt_outcome, "classify_response", classify_response)
        )

    def test_not_executed_status_is_sent_after_execution(self) -> None:
        def send_local_response(self: ClientResponse, status: int, retry_after_s: float = 0.0) -> None:
            original(self, 503 if status == 502 else status, retry_after_s)

        original = ClientResponse.send_local_response
        self.assert_detected(
            data_judges.check_not_executed_statuses,
            mock.patch.object(ClientResponse, "send_local_response", send_local_response),
        )

    def test_event_ids_of_next_response_are_not_checked(self) -> None:
        def accept_any_id(self: EventStream, event_id: bytes) -> bool:
            self._number = int(event_id)
            return True

        def resume_point(self: ClientResponse) -> None:
            return None

        self.assert_detected(
            data_judges.check_event_streams,
            _CombinedPatches(
                mock.patch.object(EventStream, "_follows_last_id", accept_any_id),
                mock.patch.object(ClientResponse, "resume_point", resume_point),
            ),
        )

    def test_partial_event_is_kept_for_next_response(self) -> None:
        def start_next_response(self: EventStream) -> None:
            self._may_repeat_events = self._has_forwarded

        self.assert_detected(
            data_judges.check_event_streams,
            mock.patch.object(EventStream, "start_next_response", start_next_response),
        )

    def test_responses_of_different_weights_are_joined(self) -> None:
        def resume_point(self: ClientResponse) -> server_request.ResumePoint | None:
            events = self._events
            return server_request.ResumePoint(events.last_id, None) if events is not None else None

        def resume_from(self: ClientResponse, reply: Reply) -> bool:
            if self._events is None:
                return False
            self._events.start_next_response()
            return True

        self.assert_detected(
            data_judges.check_event_streams,
            _CombinedPatches(
                mock.patch.object(ClientResponse, "resume_point", resume_point),
                mock.patch.object(ClientResponse, "resume_from", resume_from),
            ),
        )

    def test_non_resumable_stream_is_resumed(self) -> None:
        def start_resumable(self: ClientResponse, reply: Reply, length: int | None, source: Any) -> bool:
            is_started = original(self, reply, length, source)
            if self._admitted.route.streaming and self._events is None:
                self._events = EventStream(None, None, 10_000)
            return is_started

        original = ClientResponse.start
        with self._retry_everything():
            self.assert_detected(
                data_judges.check_at_most_once, mock.patch.object(ClientResponse, "start", start_resumable)
            )

    def test_attempts_are_not_counted(self) -> None:
        def retry_always(self: Router, now: float, service: Any, pending: Any) -> Any:
            pending.executed_attempts = 0
            return original(self, now, service, pending)

        original = Router._retry
        self.assert_detected(data_judges.check_attempt_limit, mock.patch.object(Router, "_retry", retry_always))

    def test_end_to_end_headers_are_dropped(self) -> None:
        self.assert_detected(
            data_judges.check_forwarded_requests, mock.patch.object(server_request, "END_TO_END", frozenset())
        )

    def test_connection_is_reused_before_body_is_sent(self) -> None:
        self.assert_detected(
            data_judges.check_forwarded_requests,
            mock.patch.object(Connection, "written", property(lambda self: True)),
        )

    def test_deadline_is_not_forwarded(self) -> None:
        self.assert_detected(data_judges.check_forwarded_deadlines, self._change_deadline(lambda left_s: None))

    def test_deadline_restarts_for_each_attempt(self) -> None:
        self.assert_detected(data_judges.check_forwarded_deadlines, self._change_deadline(lambda left_s: 4.9))

    @staticmethod
    def _change_deadline(change: Callable[[float], float | None]) -> Any:
        def serialize_attempt(admitted: Any, server_id: str, left_s: float, resume: Any, body: bytes) -> bytes:
            changed = change(left_s)
            wire = original(admitted, server_id, left_s if changed is None else changed, resume, body)
            return wire.replace(b"x-rosechute-deadline-ms", b"x-other") if changed is None else wire

        original = server_request.serialize_attempt
        return mock.patch.object(request, "serialize_attempt", serialize_attempt)

    def test_client_disconnect_is_ignored(self) -> None:
        self.assert_detected(
            data_judges.check_disconnected_clients,
            mock.patch.object(ClientRequest, "on_client_disconnected", lambda self: None),
        )

    def test_deadline_is_not_enforced(self) -> None:
        with mock.patch.object(ClientRequest, "_on_deadline", lambda self: None):
            self.assert_detected(
                data_judges.check_response_deadlines,
                mock.patch.object(InactivityWatch, "_abandon_at", lambda self: float("inf")),
            )

    def test_unsolicited_bytes_are_sent_to_client(self) -> None:
        def answer(self: ClientConnection, message: Any, status: int, body: bytes, headers: Any) -> None:
            transport = self._transport
            original(self, message, status, body, headers)
            if transport is not None and not transport.is_closing():
                asyncio.get_running_loop().call_later(0.02, transport.write, b"HTTP/1.1 200 X\r\n\r\n")

        original = ClientConnection.answer
        self.assert_detected(data_judges.check_no_leftovers, mock.patch.object(ClientConnection, "answer", answer))

    def test_requests_are_left_at_router(self) -> None:
        def do_not_cancel(self: Any, finished_request: ClientRequest) -> None:
            return None

        self.assert_detected(
            data_judges.check_no_leftovers,
            mock.patch("rosechute.data_plane.dispatcher.Dispatcher.cancel", do_not_cancel),
        )


class _CombinedPatches:
    """Several patches as one context manager."""

    def __init__(self, *patches: Any) -> None:
        self._patches = patches

    def __enter__(self) -> None:
        for patch in self._patches:
            patch.start()

    def __exit__(self, *_: object) -> None:
        for patch in self._patches:
            patch.stop()


class ChecksTest(unittest.TestCase):
    def test_each_check_detects_a_planted_fault(self) -> None:
        named = set(self._checks_with_planted_fault())
        self.assertEqual(named, {check.__name__ for check in data_judges.CHECKS})

    @staticmethod
    def _checks_with_planted_fault() -> Iterator[str]:
        with open(__file__, encoding="utf-8") as source:
            text = source.read()
        for check in data_judges.CHECKS:
            if f"data_judges.{check.__name__}," in text:
                yield check.__name__

    def test_empty_records_have_no_violations(self) -> None:
        self.assertEqual(violations(Records()), [])
