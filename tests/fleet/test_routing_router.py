"""Tests of the router: concurrency limits, trials, queueing and rejections."""

from __future__ import annotations

import random
import unittest

from rosechute.routing.model import (
    AttemptResult,
    CloseIdle,
    Reject,
    RejectReason,
    RoutingAction,
    RoutingRequest,
    Send,
    ServerEntry,
)
from rosechute.routing.router import Router
from rosechute.routing.tuning import RouterTuning


def entry(name: str, ready: bool = True, slots: int = 6) -> ServerEntry:
    return ServerEntry(name, f"10.0.0.{name[1:]}:80", "east", slots, ready)


def request(ticket: int, now: float = 0.0, **changes: object) -> RoutingRequest:
    fields: dict[str, object] = {
        "ticket": ticket,
        "service": "svc",
        "route": "r",
        "priority": 1,
        "deadline": now + 4.0,
        "target_s": 0.5,
        "arrived": now,
        "max_attempts": 2,
        "repeatable": True,
    }
    return RoutingRequest(**{**fields, **changes})  # type: ignore[arg-type]


def make_router(names: str = "a1 a2", connections: int = 96, edges: int = 6) -> Router:
    router = Router(random.Random(1).random, RouterTuning(zone="east"))
    router.apply_retry_budget(0.2, 10.0, 60.0, edges)
    router.apply_servers(0.0, "svc", [entry(name) for name in names.split()])
    router.apply_limits(0.0, "svc", connections, edges)
    return router


def sent_actions(actions: list[RoutingAction]) -> list[Send]:
    return [action for action in actions if isinstance(action, Send)]


def rejections(actions: list[RoutingAction]) -> list[Reject]:
    return [action for action in actions if isinstance(action, Reject)]


class ConcurrencyLimitTest(unittest.TestCase):
    """Requests above the limit are queued; one is sent as a trial, whose success raises the limit."""

    def test_requests_fill_the_limit_then_a_trial_is_sent_then_others_are_queued(self) -> None:
        router = make_router("a1")
        sent = [sent_actions(router.route(0.0, request(n))) for n in range(7)]
        self.assertEqual([len(each) for each in sent], [1, 1, 1, 1, 1, 0, 0])
        self.assertEqual([each[0].trial for each in sent[:5]], [False] * 4 + [True])

    def test_a_successful_trial_is_followed_by_the_next(self) -> None:
        router = make_router("a1")
        for n in range(8):
            router.route(0.0, request(n))
        self.assertEqual(router.report(0.1, 0, "a1", AttemptResult.HEAD, False), [])
        after = sent_actions(router.report(0.1, 4, "a1", AttemptResult.HEAD, False))
        self.assertEqual([(send.ticket, send.trial) for send in after], [(5, True)])

    def test_no_trial_above_the_connection_share(self) -> None:
        router = make_router("a1 a2", connections=24)
        sent = [send for n in range(14) for send in sent_actions(router.route(0.0, request(n)))]
        self.assertEqual([send.trial for send in sent], [False] * 8)

    def test_a_rejected_trial_starts_a_backoff(self) -> None:
        router = make_router("a1")
        for n in range(8):
            router.route(0.0, request(n, target_s=4.0))
        self.assertEqual(sent_actions(router.report(0.01, 4, "a1", AttemptResult.NOT_EXECUTED, False)), [])
        wake = router.next_wake()
        assert wake is not None
        self.assertGreater(wake, 0.01)
        self.assertLess(wake, 0.12)
        self.assertEqual([(send.ticket, send.trial) for send in sent_actions(router.tick(wake))], [(5, True)])

    def test_the_connection_share_is_at_least_one(self) -> None:
        router = make_router("a1", connections=3, edges=6)
        self.assertEqual(len(sent_actions(router.route(0.0, request(1)))), 1)
        self.assertEqual(router.route(0.0, request(2)), [])

    def test_queued_requests_are_sent_in_arrival_order(self) -> None:
        router = make_router("a1", connections=6)
        for n in range(5):
            router.route(0.01 * n, request(n, 0.01 * n))
        served = []
        running = 0
        for _ in range(4):
            router.report(0.1, running, "a1", AttemptResult.HEAD, False)
            running = sent_actions(router.report(0.1, running, "a1", AttemptResult.DONE, False))[0].ticket
            served.append(running)
        self.assertEqual(served, [1, 2, 3, 4])


class FailureTest(unittest.TestCase):
    """Failing servers are ejected, and return after a successful trial."""

    def test_connect_failure_goes_to_the_other_server(self) -> None:
        router = make_router("a1 a2")
        first = sent_actions(router.route(0.0, request(1, repeatable=False, max_attempts=1)))[0]
        again = sent_actions(router.report(0.01, 1, first.server_id, AttemptResult.CONNECT_FAILED, True))
        self.assertEqual(len(again), 1)
        self.assertNotEqual(again[0].server_id, first.server_id)
        for n in range(2, 6):  # the failed server is skipped
            self.assertEqual(sent_actions(router.route(0.01, request(n)))[0].server_id, again[0].server_id)

    def test_requests_are_rejected_at_once_if_every_limit_is_0(self) -> None:
        router = make_router("a1")
        router.route(0.0, request(1))
        answer = router.report(0.01, 1, "a1", AttemptResult.CONNECT_FAILED, True)
        self.assertEqual([reject.reason for reject in rejections(answer)], [RejectReason.NO_SERVERS])
        rejection = rejections(router.route(0.02, request(2)))[0]
        self.assertEqual(rejection.reason, RejectReason.ALL_BACKED_OFF)
        self.assertGreater(rejection.retry_after_s, 0.0)

    def test_one_trial_is_sent_after_the_backoff(self) -> None:
        router = make_router("a1")
        router.route(0.0, request(1))
        router.report(0.01, 1, "a1", AttemptResult.CONNECT_FAILED, False)
        trial = sent_actions(router.route(0.5, request(2, 0.5)))
        self.assertTrue(trial[0].trial)
        self.assertEqual(rejections(router.route(0.5, request(3, 0.5)))[0].reason, RejectReason.ALL_BACKED_OFF)
        router.report(0.6, 2, "a1", AttemptResult.HEAD, False)
        self.assertEqual(len(sent_actions(router.route(0.6, request(4, 0.6)))), 1)

    def test_a_non_repeatable_request_that_may_have_been_executed_is_not_retried(self) -> None:
        router = make_router("a1 a2")
        first = sent_actions(router.route(0.0, request(1, repeatable=False)))[0]
        answer = router.report(0.01, 1, first.server_id, AttemptResult.RESET, True)
        self.assertEqual(rejections(answer)[0].reason, RejectReason.ATTEMPTS)

    def test_no_retry_without_retry_budget(self) -> None:
        router = make_router("a1 a2")
        router.apply_retry_budget(0.2, 10.0, 0.0, 6)
        first = sent_actions(router.route(0.0, request(1)))[0]
        answer = router.report(0.01, 1, first.server_id, AttemptResult.NOT_EXECUTED, True)
        self.assertEqual(rejections(answer)[0].reason, RejectReason.RETRY_BUDGET)


class EndpointListTest(unittest.TestCase):
    """Changes of the endpoint list, and queue timeouts."""

    def test_requests_of_an_unknown_service_are_rejected(self) -> None:
        router = make_router()
        self.assertEqual(
            rejections(router.route(0.0, request(1, service="other")))[0].reason, RejectReason.NO_SERVERS
        )

    def test_a_draining_server_gets_no_new_requests(self) -> None:
        router = make_router("a1 a2")
        actions = router.apply_servers(1.0, "svc", [entry("a1", ready=False), entry("a2")])
        self.assertEqual(actions, [CloseIdle("a1")])
        for n in range(4):
            self.assertEqual(sent_actions(router.route(1.0, request(n, 1.0)))[0].server_id, "a2")

    def test_removed_servers_get_no_requests(self) -> None:
        router = make_router("a1 a2")
        self.assertEqual(router.apply_servers(1.0, "svc", [entry("a2")]), [CloseIdle("a1")])
        self.assertEqual(router.apply_servers(1.0, "svc", []), [CloseIdle("a2")])
        self.assertEqual(rejections(router.route(1.0, request(1, 1.0)))[0].reason, RejectReason.NO_SERVERS)

    def test_new_servers_get_queued_requests(self) -> None:
        router = make_router("a1", connections=6)
        for n in range(3):
            router.route(0.0, request(n))
        actions = router.apply_servers(0.1, "svc", [entry("a1"), entry("a2")])
        self.assertEqual([(send.ticket, send.server_id) for send in sent_actions(actions)], [(1, "a2")])

    def test_queued_requests_are_rejected_after_half_of_their_target(self) -> None:
        router = make_router("a1", connections=6)
        router.route(0.0, request(1))
        router.route(0.0, request(2))
        rejected: list[Reject] = []
        wake = router.next_wake()
        while wake is not None:
            self.assertLessEqual(wake, 0.25)  # half of its target
            rejected += rejections(router.tick(wake))
            wake = router.next_wake()
        self.assertEqual([(reject.ticket, reject.reason) for reject in rejected], [(2, RejectReason.OVERLOADED)])


if __name__ == "__main__":
    unittest.main()
