"""The data plane under servers and clients that do everything, by seed; and what each judge is there for, found.

More seeds: `python -m tests.fleet.data_schedules 1000 4000`.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

from hollyport.http1.client import ClientConnection
from hollyport.http1.connection import Connection, Reply
from rosechute.data_plane import admission, attempt, request, verdict
from rosechute.data_plane.admission import Admitted
from rosechute.data_plane.client_answer import ClientAnswer
from rosechute.data_plane.events import EventStream
from rosechute.data_plane.plane import DataPlane
from rosechute.data_plane.request import ClientRequest
from rosechute.data_plane.silence import SilenceWatch
from rosechute.data_plane.verdict import Verdict
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
        own = mock.patch.object(attempt.Attempt, "_names_this_request", lambda *_: True)
        with mock.patch.object(Connection, "send", send):
            self.found(data_judges.judge_own_answer, own)

    def test_two_names_taken(self) -> None:
        self.found(
            data_judges.judge_own_answer, mock.patch.object(attempt.Attempt, "_names_this_request", lambda *_: True)
        )

    def test_successes_taken_without_a_stamp(self) -> None:
        self.found(data_judges.judge_own_answer, mock.patch.object(verdict, "trusted", lambda _: True))

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
            mock.patch.object(ClientAnswer, "cut", lambda self: ClientAnswer.finish(self, b"")),
        )

    def test_a_broken_stream_finished(self) -> None:
        self.found(
            data_judges.judge_streams,
            mock.patch.object(ClientAnswer, "cut", lambda self: ClientAnswer.finish(self, b"")),
        )

    def test_what_may_have_run_sent_again(self) -> None:
        self.found(data_judges.judge_at_most_once, self._repeats_everything())

    @staticmethod
    def _repeats_everything() -> Any:
        """Neither the request nor the router minds that it may have run."""

        def again(self: ClientRequest, ending: Verdict) -> bool:
            return True

        def prepare(self: ClientRequest, out: attempt.Attempt) -> bytes | None:
            self._may_have_run = False
            return original(self, out)

        def report(self: Router, now: float, ticket: int, server: str, result: AttemptResult, more: bool) -> Any:
            return told(self, now, ticket, server, AttemptResult.NOT_EXECUTED if more else result, more)

        original, told = ClientRequest.prepare, Router.report
        return _Patches(
            mock.patch.object(ClientRequest, "_may_repeat", again),
            mock.patch.object(ClientRequest, "prepare", prepare),
            mock.patch.object(Router, "report", report),
        )

    def test_a_newer_configuration_not_asked(self) -> None:
        def refusal(self: DataPlane, admitted: Admitted) -> Any:
            told = original(self, admitted)
            admitted.repeatable = admitted.route.repeatable
            return told

        original = DataPlane.refusal
        self.found(data_judges.judge_at_most_once, mock.patch.object(DataPlane, "refusal", refusal))

    def test_a_reset_taken_for_not_run(self) -> None:
        self.found(
            data_judges.judge_at_most_once,
            mock.patch.object(verdict, "RESET", Verdict(AttemptResult.CONNECT_FAILED, False)),
        )

    def test_a_promise_without_its_mark_believed(self) -> None:
        def of_reply(reply: Reply, server_id: str) -> Verdict:
            if reply.status in verdict.PROMISES:
                return Verdict(AttemptResult.NOT_EXECUTED, False)
            return original(reply, server_id)

        original = verdict.of_reply
        self.found(data_judges.judge_at_most_once, mock.patch.object(verdict, "of_reply", of_reply))

    def test_a_promise_after_a_run(self) -> None:
        def send_own(self: ClientAnswer, status: int, retry_after_s: float = 0.0) -> None:
            original(self, 503 if status == 502 else status, retry_after_s)

        original = ClientAnswer.send_own
        self.found(data_judges.judge_promises, mock.patch.object(ClientAnswer, "send_own", send_own))

    def test_events_of_the_next_run_not_compared(self) -> None:
        def rises(self: EventStream, event_id: bytes) -> bool:
            self._number = int(event_id)
            return True

        def resume_point(self: ClientAnswer) -> None:
            return None

        self.found(
            data_judges.judge_streams,
            _Patches(
                mock.patch.object(EventStream, "_rises", rises),
                mock.patch.object(ClientAnswer, "resume_point", resume_point),
            ),
        )

    def test_part_of_an_event_kept_for_the_next_run(self) -> None:
        def next_run(self: EventStream) -> None:
            self._run_begins = self._begun

        self.found(data_judges.judge_streams, mock.patch.object(EventStream, "next_run", next_run))

    def test_other_weights_joined(self) -> None:
        def resume_point(self: ClientAnswer) -> admission.Resume | None:
            events = self._events
            return admission.Resume(events.last_id, None) if events is not None else None

        def go_on(self: ClientAnswer, reply: Reply) -> bool:
            if self._events is None:
                return False
            self._events.next_run()
            return True

        self.found(
            data_judges.judge_streams,
            _Patches(
                mock.patch.object(ClientAnswer, "resume_point", resume_point),
                mock.patch.object(ClientAnswer, "go_on", go_on),
            ),
        )

    def test_streams_resumed_that_may_not_be(self) -> None:
        def begin(self: ClientAnswer, reply: Reply, length: int | None, source: Any) -> bool:
            begun = original(self, reply, length, source)
            if self._admitted.route.streaming and self._events is None:
                self._events = EventStream(None, None, 10_000)
            return begun

        original = ClientAnswer.begin
        with self._repeats_everything():
            self.found(data_judges.judge_at_most_once, mock.patch.object(ClientAnswer, "begin", begin))

    def test_attempts_not_counted(self) -> None:
        def again(self: Router, now: float, service: Any, call: Any, result: AttemptResult) -> Any:
            call.runs = 0
            return original(self, now, service, call, result)

        original = Router._again
        self.found(data_judges.judge_attempts, mock.patch.object(Router, "_again", again))

    def test_fields_of_the_client_dropped(self) -> None:
        self.found(data_judges.judge_unchanged, mock.patch.object(admission, "END_TO_END", frozenset()))

    def test_a_connection_used_before_its_body_is_out(self) -> None:
        self.found(data_judges.judge_unchanged, mock.patch.object(Connection, "written", property(lambda self: True)))

    def test_no_deadline_handed_on(self) -> None:
        self.found(data_judges.judge_deadlines, self._wire(lambda left_s: None))

    def test_a_deadline_begun_anew(self) -> None:
        self.found(data_judges.judge_deadlines, self._wire(lambda left_s: 4.9))

    @staticmethod
    def _wire(change: Callable[[float], float | None]) -> Any:
        def attempt_wire(admitted: Any, server_id: str, left_s: float, resume: Any, body: bytes) -> bytes:
            changed = change(left_s)
            wire = original(admitted, server_id, left_s if changed is None else changed, resume, body)
            return wire.replace(b"x-rosechute-deadline-ms", b"x-other") if changed is None else wire

        original = admission.attempt_wire
        return mock.patch.object(request, "attempt_wire", attempt_wire)

    def test_servers_kept_at_work_for_clients_that_left(self) -> None:
        self.found(data_judges.judge_gone, mock.patch.object(ClientRequest, "client_left", lambda self: None))

    def test_no_end_to_the_wait(self) -> None:
        with mock.patch.object(ClientRequest, "_time_up", lambda self: None):
            self.found(
                data_judges.judge_answered_in_time,
                mock.patch.object(SilenceWatch, "_give_up_at", lambda self: float("inf")),
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
            mock.patch("rosechute.data_plane.dispatcher.Dispatcher.withdraw", withdraw),
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
        named = set(self._named())
        self.assertEqual(named, {judge.__name__ for judge in data_judges.JUDGES})

    @staticmethod
    def _named() -> Iterator[str]:
        with open(__file__, encoding="utf-8") as source:
            text = source.read()
        for judge in data_judges.JUDGES:
            if f"data_judges.{judge.__name__}," in text:
                yield judge.__name__

    def test_nothing_happened_nothing_is_found(self) -> None:
        self.assertEqual(verdicts(Records()), [])
