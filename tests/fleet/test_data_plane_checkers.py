"""The data plane under servers and clients that do everything, by seed; and what each judge is there for, found.

More seeds: `python -m tests.fleet.data_schedules 1000 4000`.
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
from rosechute.data_plane.event_stream import EventStream
from rosechute.data_plane.inactivity import InactivityWatch
from rosechute.data_plane.plane import DataPlane
from rosechute.data_plane.request import ClientRequest
from rosechute.proxy.http1.client import ClientConnection
from rosechute.proxy.http1.connection import Connection, Reply
from rosechute.routing.model import AttemptResult
from rosechute.routing.router import Router
from tests.fleet import data_judges
from tests.fleet.data_judges import Judge, verdicts
from tests.fleet.data_model import Records
from tests.fleet.data_schedules import play

SEEDS = range(16)
PLANTED_SEEDS = range(0, 40)  # a planted fault is looked for in these, until one shows it


class Schedules(unittest.TestCase):
    def test_no_judge_finds_anything(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(verdicts(play(seed)), [])


class PlantedFaults(unittest.TestCase):
    """Each takes one mechanism away; the judge that is there for it objects within a few seeds."""

    def found(self, judge: Judge, fault: Any) -> None:
        """Play seeds with the fault until this judge objects."""
        with fault:
            for seed in PLANTED_SEEDS:
                if self._objects(judge, seed):
                    return
        self.fail(f"{judge.__name__} finds nothing in {len(PLANTED_SEEDS)} schedules")

    @staticmethod
    def _objects(judge: Judge, seed: int) -> bool:
        try:
            return any(judge(play(seed)))
        except TimeoutError:
            return False  # the fault stops the schedule itself

    def test_answers_taken_whatever_they_name(self) -> None:
        def send(self: Connection, *arguments: Any, **more: Any) -> None:
            original(self, *arguments, **more | {"echo": None})

        original = Connection.send
        own = mock.patch.object(attempt.Attempt, "_echoes_request_id", lambda *_: True)
        with mock.patch.object(Connection, "send", send):
            self.found(data_judges.judge_own_response, own)

    def test_two_names_taken(self) -> None:
        self.found(
            data_judges.judge_own_response, mock.patch.object(attempt.Attempt, "_echoes_request_id", lambda *_: True)
        )

    def test_successes_taken_without_a_stamp(self) -> None:
        self.found(data_judges.judge_own_response, mock.patch.object(attempt_outcome, "is_trusted", lambda _: True))

    def test_a_reset_taken_for_the_end(self) -> None:
        def connection_lost(self: Connection, error: Exception | None) -> None:
            if self._until_end and self._done is not None:
                self._end()
            original(self, error)

        original = Connection.connection_lost
        self.found(data_judges.judge_whole, mock.patch.object(Connection, "connection_lost", connection_lost))

    def test_a_broken_answer_finished(self) -> None:
        self.found(
            data_judges.judge_whole,
            mock.patch.object(ClientResponse, "truncate", lambda self: ClientResponse.finish(self, b"")),
        )

    def test_a_broken_stream_finished(self) -> None:
        self.found(
            data_judges.judge_streams,
            mock.patch.object(ClientResponse, "truncate", lambda self: ClientResponse.finish(self, b"")),
        )

    def test_what_may_have_run_sent_again(self) -> None:
        self.found(data_judges.judge_at_most_once, self._repeats_everything())

    @staticmethod
    def _repeats_everything() -> Any:
        """Neither the request nor the router minds that it may have run."""

        def again(self: ClientRequest, ending: AttemptOutcome) -> bool:
            return True

        def prepare(self: ClientRequest, out: attempt.Attempt) -> bytes | None:
            self._may_have_executed = False
            return original(self, out)

        def report(self: Router, now: float, ticket: int, server: str, result: AttemptResult, more: bool) -> Any:
            return told(self, now, ticket, server, AttemptResult.NOT_EXECUTED if more else result, more)

        original, told = ClientRequest.build_request, Router.report
        return _Patches(
            mock.patch.object(ClientRequest, "_can_retry", again),
            mock.patch.object(ClientRequest, "build_request", prepare),
            mock.patch.object(Router, "report", report),
        )

    def test_a_newer_configuration_not_asked(self) -> None:
        def refusal(self: DataPlane, admitted: AdmittedRequest) -> Any:
            told = original(self, admitted)
            admitted.repeatable = admitted.route.repeatable
            return told

        original = DataPlane.current_rejection
        self.found(data_judges.judge_at_most_once, mock.patch.object(DataPlane, "current_rejection", refusal))

    def test_a_reset_taken_for_not_run(self) -> None:
        self.found(
            data_judges.judge_at_most_once,
            mock.patch.object(attempt_outcome, "RESET", AttemptOutcome(AttemptResult.CONNECT_FAILED, False)),
        )

    def test_a_promise_without_its_mark_believed(self) -> None:
        def classify_response(reply: Reply, server_id: str) -> AttemptOutcome:
            if reply.status in attempt_outcome.NOT_EXECUTED_STATUSES:
                return AttemptOutcome(AttemptResult.NOT_EXECUTED, False)
            return original(reply, server_id)

        original = attempt_outcome.classify_response
        self.found(
            data_judges.judge_at_most_once, mock.patch.object(attempt_outcome, "classify_response", classify_response)
        )

    def test_a_promise_after_a_run(self) -> None:
        def send_local_response(self: ClientResponse, status: int, retry_after_s: float = 0.0) -> None:
            original(self, 503 if status == 502 else status, retry_after_s)

        original = ClientResponse.send_local_response
        self.found(
            data_judges.judge_promises, mock.patch.object(ClientResponse, "send_local_response", send_local_response)
        )

    def test_events_of_the_next_run_not_compared(self) -> None:
        def rises(self: EventStream, event_id: bytes) -> bool:
            self._number = int(event_id)
            return True

        def resume_point(self: ClientResponse) -> None:
            return None

        self.found(
            data_judges.judge_streams,
            _Patches(
                mock.patch.object(EventStream, "_follows_last_id", rises),
                mock.patch.object(ClientResponse, "resume_point", resume_point),
            ),
        )

    def test_part_of_an_event_kept_for_the_next_run(self) -> None:
        def start_next_response(self: EventStream) -> None:
            self._may_repeat_events = self._has_forwarded

        self.found(
            data_judges.judge_streams, mock.patch.object(EventStream, "start_next_response", start_next_response)
        )

    def test_other_weights_joined(self) -> None:
        def resume_point(self: ClientResponse) -> server_request.ResumePoint | None:
            events = self._events
            return server_request.ResumePoint(events.last_id, None) if events is not None else None

        def resume_from(self: ClientResponse, reply: Reply) -> bool:
            if self._events is None:
                return False
            self._events.start_next_response()
            return True

        self.found(
            data_judges.judge_streams,
            _Patches(
                mock.patch.object(ClientResponse, "resume_point", resume_point),
                mock.patch.object(ClientResponse, "resume_from", resume_from),
            ),
        )

    def test_streams_resumed_that_may_not_be(self) -> None:
        def begin(self: ClientResponse, reply: Reply, length: int | None, source: Any) -> bool:
            begun = original(self, reply, length, source)
            if self._admitted.route.streaming and self._events is None:
                self._events = EventStream(None, None, 10_000)
            return begun

        original = ClientResponse.start
        with self._repeats_everything():
            self.found(data_judges.judge_at_most_once, mock.patch.object(ClientResponse, "start", begin))

    def test_attempts_not_counted(self) -> None:
        def again(self: Router, now: float, service: Any, pending: Any) -> Any:
            pending.executed_attempts = 0
            return original(self, now, service, pending)

        original = Router._retry
        self.found(data_judges.judge_attempts, mock.patch.object(Router, "_retry", again))

    def test_fields_of_the_client_dropped(self) -> None:
        self.found(data_judges.judge_unchanged, mock.patch.object(server_request, "END_TO_END", frozenset()))

    def test_a_connection_used_before_its_body_is_out(self) -> None:
        self.found(data_judges.judge_unchanged, mock.patch.object(Connection, "written", property(lambda self: True)))

    def test_no_deadline_handed_on(self) -> None:
        self.found(data_judges.judge_deadlines, self._wire(lambda left_s: None))

    def test_a_deadline_begun_anew(self) -> None:
        self.found(data_judges.judge_deadlines, self._wire(lambda left_s: 4.9))

    @staticmethod
    def _wire(change: Callable[[float], float | None]) -> Any:
        def serialize_attempt(admitted: Any, server_id: str, left_s: float, resume: Any, body: bytes) -> bytes:
            changed = change(left_s)
            wire = original(admitted, server_id, left_s if changed is None else changed, resume, body)
            return wire.replace(b"x-rosechute-deadline-ms", b"x-other") if changed is None else wire

        original = server_request.serialize_attempt
        return mock.patch.object(request, "serialize_attempt", serialize_attempt)

    def test_servers_kept_at_work_for_clients_that_left(self) -> None:
        self.found(
            data_judges.judge_gone, mock.patch.object(ClientRequest, "on_client_disconnected", lambda self: None)
        )

    def test_no_end_to_the_wait(self) -> None:
        with mock.patch.object(ClientRequest, "_on_deadline", lambda self: None):
            self.found(
                data_judges.judge_answered_in_time,
                mock.patch.object(InactivityWatch, "_abandon_at", lambda self: float("inf")),
            )

    def test_unasked_bytes_for_a_client(self) -> None:
        def answer(self: ClientConnection, message: Any, status: int, body: bytes, headers: Any) -> None:
            transport = self._transport
            original(self, message, status, body, headers)
            if transport is not None and not transport.is_closing():
                asyncio.get_running_loop().call_later(0.02, transport.write, b"HTTP/1.1 200 X\r\n\r\n")

        original = ClientConnection.answer
        self.found(data_judges.judge_nothing_else, mock.patch.object(ClientConnection, "answer", answer))

    def test_requests_left_behind(self) -> None:
        def withdraw(self: Any, over: ClientRequest) -> None:
            return None

        self.found(
            data_judges.judge_nothing_else,
            mock.patch("rosechute.data_plane.dispatcher.Dispatcher.cancel", withdraw),
        )


class _Patches:
    """Several patches as one."""

    def __init__(self, *patches: Any) -> None:
        self._patches = patches

    def __enter__(self) -> None:
        for patch in self._patches:
            patch.start()

    def __exit__(self, *_: object) -> None:
        for patch in self._patches:
            patch.stop()


class Judges(unittest.TestCase):
    def test_each_judge_has_a_fault_that_it_finds(self) -> None:
        named = set(self._last_event_has_id())
        self.assertEqual(named, {judge.__name__ for judge in data_judges.JUDGES})

    @staticmethod
    def _last_event_has_id() -> Iterator[str]:
        with open(__file__, encoding="utf-8") as source:
            text = source.read()
        for judge in data_judges.JUDGES:
            if f"data_judges.{judge.__name__}," in text:
                yield judge.__name__

    def test_nothing_happened_nothing_is_found(self) -> None:
        self.assertEqual(verdicts(Records()), [])
