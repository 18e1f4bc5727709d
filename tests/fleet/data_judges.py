"""Checks of the recorded behavior of a data plane: what servers executed against what clients received.

Pure: performs no I/O and reads no clock.
"""

from __future__ import annotations

import bisect
import re
from collections.abc import Callable, Iterable, Iterator

from tests.fleet.data_model import EVENTS, GRACE_S, MAX_ATTEMPTS, TIMEOUT_S, Records, Run, SentRequest

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
UNCHANGED_HEADERS = ("x-rosechute-model", "x-rosechute-token-count", "x-rosechute-prompt-prefix")
LATE_TIMER_S = 0.5  # specified bound for everything that has a deadline
MAX_UPLOAD_PAUSE_S = 0.25  # longest pause of a client inside a request
CLOCK_TOLERANCE_S = 0.05  # difference between the virtual clock and the edge's margin
EVENT = re.compile(rb"(?:versions:(\d+)\r?\n)?id: (\d+)\r?\ndata: piece (\d+) of (\S+) by (\d+)(?:\n\n|\r\n\r\n)")
DELIVERY_S = 0.1  # time in which a response that a server has sent reaches the client
Check = Callable[[Records], Iterator[str]]


def check_response_origin(records: Records) -> Iterator[str]:
    """Check that each response comes from an execution of its own request, and is complete or marked as truncated."""
    for request in records.asked.values():
        if not request.status:
            continue
        echoed = [value for name, value in request.headers if name == "x-rosechute-request-id"]
        if echoed != [request.name]:
            yield f"{request.name}: response {request.status} has the request ids {echoed}"
        stamp = request.header("x-rosechute-server-stamp")
        runs = {run.stamp: run for run in records.runs.get(request.name, [])}
        if request.status == 200 and stamp not in runs:
            yield f"{request.name}: success with the stamp {stamp}, expected one of {sorted(runs)}"
        elif stamp is not None and stamp not in runs:
            yield f"{request.name}: stamp {stamp} of no execution of this request"
        elif request.status == 200 and not request.streaming:
            yield from _check_plain_body(request, runs[str(stamp)])
        elif (
            request.status != 200
            and request.received_body
            and (stamp is None or request.received_body != runs[stamp].body)
        ):
            yield f"{request.name}: error response with the body {request.received_body[:60]!r}"


def _check_plain_body(request: SentRequest, run: Run) -> Iterator[str]:
    if not run.body.startswith(request.received_body):
        yield f"{request.name}: bytes that {run.stamp} did not send: {request.received_body[:60]!r}"
    if not run.success:
        yield f"{request.name}: response of {run.stamp}, which was not a success"


def check_completeness(records: Records) -> Iterator[str]:
    """Check that truncated responses, also of connections that were reset, are not presented as complete."""
    for request in records.asked.values():
        if request.status != 200 or not request.is_complete or request.streaming:
            continue
        stamp = request.header("x-rosechute-server-stamp")
        run = next((run for run in records.runs.get(request.name, []) if run.stamp == stamp), None)
        if run is not None and (request.received_body != run.body or run.reset):
            yield f"{request.name}: {len(request.received_body)} of {len(run.body)} bytes, reset: {run.reset}"


def check_sound_responses(records: Records) -> Iterator[str]:
    """Check that a response that a server has finished in time, or is still working on, is not ended early."""
    for request in records.asked.values():
        if request.disconnected_at is not None or (request.status == 200 and request.is_complete):
            continue
        run = _sound_run(request, records)
        if run is not None:
            end = "was at work" if run.response_sent_at is None else "has sent its whole response"
            yield (
                f"{request.name} {request.path}: {request.status}, complete: {request.is_complete}, "
                f"{len(request.received_body)} bytes, although {run.stamp} {end}"
            )


def _sound_run(request: SentRequest, records: Records) -> Run | None:
    """Return the execution that should have completed the request; None if it was interrupted, abandoned or late."""
    runs, arrivals = records.runs.get(request.name, []), records.arrivals.get(request.name, [])
    if not runs or runs[-1].at < arrivals[-1].at:
        return None  # the data plane has abandoned the last execution for another server
    run = runs[-1]
    if run.reset or not run.success or run.is_early:
        return None
    ended_at = run.response_sent_at or request.response_ended_at
    if ended_at is None:
        return None
    limit = request.sent_at + min(request.deadline_s, TIMEOUT_S)
    if records.shutdown_at is not None:
        limit = min(limit, records.shutdown_at + GRACE_S)
    return run if ended_at + records.suspended_s + LATE_TIMER_S + DELIVERY_S < limit else None


def check_at_most_once(records: Records) -> Iterator[str]:
    """Check that a non-repeatable request is executed at most once."""
    for name, runs in records.runs.items():
        request = records.asked.get(name)
        if request is not None and len(runs) > 1 and not _may_repeat(request, runs[-1].at, records):
            yield f"{name} {request.path}: executed at {[run.server for run in runs]}"


def _may_repeat(request: SentRequest, at: float, records: Records) -> bool:
    """Return whether the configurations at its admission and at its last attempt allow a request to be repeated."""
    slack_s = MAX_UPLOAD_PAUSE_S + records.suspended_s
    at_last = any(since <= at - slack_s and until > at for since, until in records.strict_periods)
    when_taken = any(
        since <= request.sent_at and until > request.sent_at + slack_s for since, until in records.strict_periods
    )
    return request.repeatable and not (at_last or when_taken)


def check_not_executed_statuses(records: Records) -> Iterator[str]:
    """Check that no status claims that a non-repeatable request was not executed although it may have been."""
    for request in records.asked.values():
        runs = records.runs.get(request.name, [])
        if request.status in NOT_EXECUTED_STATUSES and runs and not request.repeatable:
            yield f"{request.name} {request.path}: {request.status} after an execution at {runs[0].server}"


def check_event_streams(records: Records) -> Iterator[str]:
    """Check that streams have complete events without gaps or repetitions.

    The events come from one execution, or from several with the same weights if the stream is resumable.
    """
    for request in records.asked.values():
        if request.status == 200 and request.streaming:
            yield from _check_event_stream(request, records)


def _check_event_stream(request: SentRequest, records: Records) -> Iterator[str]:
    events = list(EVENT.finditer(request.received_body))
    remainder = request.received_body[events[-1].end() :] if events else request.received_body
    if b"".join(found[0] for found in events) != request.received_body[: len(request.received_body) - len(remainder)]:
        yield f"{request.name}: malformed events: {request.received_body!r}"
        return
    if any(int(found[2]) != _event_id(request, int(found[3])) for found in events):
        yield f"{request.name}: events with the ids of others: {request.received_body!r}"
    numbers = [int(found[3]) for found in events]
    first = bisect.bisect_right(request.event_ids, request.last_event_id) + 1
    if numbers != list(range(first, first + len(numbers))):
        yield f"{request.name}: events {numbers} after {request.last_event_id}"
    stamps = {found[4].decode() for found in events}
    known = {run.stamp: run for run in records.runs.get(request.name, [])}
    if not stamps <= set(known):
        yield f"{request.name}: events of another request"
        return
    if len(stamps) > 1 and not request.repeatable:
        yield f"{request.name}: events of two executions of a non-resumable stream"
    if len({found[5] for found in events}) > 1:
        yield f"{request.name}: events of different weights"
    if remainder and (request.is_complete or not _may_forward_partial_events(request, records)):
        yield f"{request.name}: partial event: {remainder!r}, complete: {request.is_complete}"
    if request.is_complete and numbers and numbers[-1] != EVENTS:
        yield f"{request.name}: complete, but ended after event {numbers[-1]}"
    if request.is_complete and not any(
        run.is_response_sent and not run.reset and run.success for run in known.values()
    ):
        yield f"{request.name}: complete, but no execution finished"
    if any(not known[stamp].success for stamp in stamps):
        yield f"{request.name}: events of an execution that was not a success"


def _event_id(request: SentRequest, number: int) -> int | None:
    """Return the id of a stream's event; None if the stream has no such event."""
    return request.event_ids[number - 1] if 1 <= number <= EVENTS else None


def _may_forward_partial_events(request: SentRequest, records: Records) -> bool:
    """Return whether partial events may be forwarded: the stream was not resumable by the configuration."""
    until_s = request.sent_at + MAX_UPLOAD_PAUSE_S + records.suspended_s
    return not request.repeatable or any(
        since <= until_s and until > request.sent_at for since, until in records.strict_periods
    )


def check_attempt_limit(records: Records) -> Iterator[str]:
    """Check that no request is executed at more servers than its route allows."""
    for name, runs in records.runs.items():
        request = records.asked.get(name)
        servers = {run.server for run in runs}
        if request is not None and len(servers) > MAX_ATTEMPTS[request.path]:
            yield f"{name} {request.path}: executed at {sorted(servers)}"


def check_forwarded_requests(records: Records) -> Iterator[str]:
    """Check that servers receive the client's method, path, body and end-to-end headers unchanged."""
    yield from (f"malformed request: {data!r}" for data in records.malformed)
    for name, arrivals in records.arrivals.items():
        request = records.asked.get(name)
        if request is None:
            yield from (f"no client sent {name!r}: {vars(arrival)}" for arrival in arrivals)
            continue
        sent = _by_name((key.lower(), value.strip(" \t")) for key, value in request.forwarded_headers)
        for arrival in arrivals:
            received = _by_name((key, value) for key, value in arrival.headers if key in UNCHANGED_HEADERS)
            if received != sent:
                yield f"{name}: headers {received}, expected {sent}"
            if (arrival.method, arrival.target) != ("POST", request.path):
                yield f"{name}: {arrival.method} {arrival.target} for POST {request.path}"
            if arrival.body is not None and arrival.body != request.body:
                yield f"{name}: different body: {arrival.body[:40]!r} for {request.body[:40]!r}"
            if not request.body.startswith(arrival.partial_body):
                yield f"{name}: different bytes in the partial body, which ends with {arrival.partial_body[-60:]!r}"


def _by_name(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Sort headers by name; keep the order of headers with the same name."""
    return sorted(headers, key=lambda pair: pair[0])


def check_forwarded_deadlines(records: Records) -> Iterator[str]:
    """Check that every server receives the remaining time of its client, and not more."""
    for name, arrivals in records.arrivals.items():
        request = records.asked.get(name)
        if request is None:
            continue
        for arrival in arrivals:
            deadline_ms = arrival.header("x-rosechute-deadline-ms")
            if deadline_ms is None:
                yield f"{name}: no deadline header"
            elif (
                arrival.at + int(deadline_ms) / 1e3
                > request.sent_at + request.deadline_s + LATE_TIMER_S + records.suspended_s
            ):
                yield f"{name}: {deadline_ms} ms at {arrival.at - request.sent_at:.2f} s of {request.deadline_s}"


def check_disconnected_clients(records: Records) -> Iterator[str]:
    """Check that after a client has disconnected, its request reaches no server and no server works on it."""
    late_s = LATE_TIMER_S + records.suspended_s
    for request in records.asked.values():
        if request.disconnected_at is None:
            continue
        for arrival in records.arrivals.get(request.name, []):
            if arrival.at > request.disconnected_at + late_s:
                yield f"{request.name}: arrived {arrival.at - request.disconnected_at:.2f} s after the disconnect"
            if (
                arrival.connection_lost_at is not None
                and arrival.connection_lost_at > request.disconnected_at + late_s
            ):
                yield (
                    f"{request.name}: executed {arrival.connection_lost_at - request.disconnected_at:.2f} s "
                    "after the disconnect"
                )


def check_response_deadlines(records: Records) -> Iterator[str]:
    """Check that every connected client gets a response within the route's time-out and its own deadline."""
    for request in records.asked.values():
        if request.disconnected_at is not None:
            continue
        if request.responded_at is None:
            closed_unread = records.shutdown_at is not None and request.name not in records.arrivals
            if not closed_unread:
                yield f"{request.name} {request.path}: no response"
            continue
        limit = request.sent_at + min(request.deadline_s, TIMEOUT_S)
        if request.responded_at > limit + CLOCK_TOLERANCE_S + MAX_UPLOAD_PAUSE_S + records.suspended_s:
            yield f"{request.name} {request.path}: response {request.responded_at - limit:.2f} s late"


def check_no_leftovers(records: Records) -> Iterator[str]:
    """Check that clients receive no unsolicited bytes and that no resources are left over."""
    yield from (f"leftover: {text}" for text in records.leftovers)
    for request in records.asked.values():
        if request.surplus:
            yield f"{request.name}: {request.surplus!r} after the response"


CHECKS: tuple[Check, ...] = (
    check_response_origin,
    check_completeness,
    check_sound_responses,
    check_at_most_once,
    check_not_executed_statuses,
    check_event_streams,
    check_attempt_limit,
    check_forwarded_requests,
    check_forwarded_deadlines,
    check_disconnected_clients,
    check_response_deadlines,
    check_no_leftovers,
)


def violations(records: Records) -> list[str]:
    """Return the violations that any check finds."""
    return [f"{check.__name__}: {text}" for check in CHECKS for text in check(records)]
