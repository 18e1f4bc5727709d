"""The ordinary path of the router: budgets, trials, waiting and refusals."""

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


def make(names: str = "a1 a2", connections: int = 96, edges: int = 6) -> Router:
    router = Router(random.Random(1).random, RouterTuning(zone="east"))
    router.apply_retry_budget(0.2, 10.0, 60.0, edges)
    router.apply_servers(0.0, "svc", [entry(name) for name in names.split()])
    router.apply_limits(0.0, "svc", connections, edges)
    return router


def sends(actions: list[RoutingAction]) -> list[Send]:
    return [action for action in actions if isinstance(action, Send)]


def rejects(actions: list[RoutingAction]) -> list[Reject]:
    return [action for action in actions if isinstance(action, Reject)]


class BudgetTest(unittest.TestCase):
    """Calls over the budget wait; one passes as a trial, and its success raises k."""

    def test_budget_then_trial_then_wait(self) -> None:
        router = make("a1")
        sent = [sends(router.route(0.0, request(n))) for n in range(7)]
        self.assertEqual([len(each) for each in sent], [1, 1, 1, 1, 1, 0, 0])
        self.assertEqual([each[0].trial for each in sent[:5]], [False] * 4 + [True])

    def test_success_of_the_trial_lets_the_next_pass(self) -> None:
        router = make("a1")
        for n in range(8):
            router.route(0.0, request(n))
        self.assertEqual(router.report(0.1, 0, "a1", AttemptResult.HEAD, False), [])
        after = sends(router.report(0.1, 4, "a1", AttemptResult.HEAD, False))
        self.assertEqual([(send.ticket, send.trial) for send in after], [(5, True)])

    def test_no_trial_beyond_the_share(self) -> None:
        router = make("a1 a2", connections=24)
        sent = [send for n in range(14) for send in sends(router.route(0.0, request(n)))]
        self.assertEqual([send.trial for send in sent], [False] * 8)

    def test_refused_trial_starts_a_backoff(self) -> None:
        router = make("a1")
        for n in range(8):
            router.route(0.0, request(n, target_s=4.0))
        self.assertEqual(sends(router.report(0.01, 4, "a1", AttemptResult.NOT_EXECUTED, False)), [])
        wake = router.next_wake()
        assert wake is not None
        self.assertGreater(wake, 0.01)
        self.assertLess(wake, 0.12)
        self.assertEqual([(send.ticket, send.trial) for send in sends(router.tick(wake))], [(5, True)])

    def test_share_is_at_least_one(self) -> None:
        router = make("a1", connections=3, edges=6)
        self.assertEqual(len(sends(router.route(0.0, request(1)))), 1)
        self.assertEqual(router.route(0.0, request(2)), [])

    def test_arrival_order(self) -> None:
        router = make("a1", connections=6)
        for n in range(5):
            router.route(0.01 * n, request(n, 0.01 * n))
        served = []
        running = 0
        for _ in range(4):
            router.report(0.1, running, "a1", AttemptResult.HEAD, False)
            running = sends(router.report(0.1, running, "a1", AttemptResult.DONE, False))[0].ticket
            served.append(running)
        self.assertEqual(served, [1, 2, 3, 4])


class FailureTest(unittest.TestCase):
    """Servers that fail leave, and come back by one trial."""

    def test_connect_failure_goes_to_the_other_server(self) -> None:
        router = make("a1 a2")
        first = sends(router.route(0.0, request(1, repeatable=False, max_attempts=1)))[0]
        again = sends(router.report(0.01, 1, first.server_id, AttemptResult.CONNECT_FAILED, True))
        self.assertEqual(len(again), 1)
        self.assertNotEqual(again[0].server_id, first.server_id)
        for n in range(2, 6):  # the one that failed is skipped
            self.assertEqual(sends(router.route(0.01, request(n)))[0].server_id, again[0].server_id)

    def test_all_at_zero_is_refused_at_once(self) -> None:
        router = make("a1")
        router.route(0.0, request(1))
        answer = router.report(0.01, 1, "a1", AttemptResult.CONNECT_FAILED, True)
        self.assertEqual([reject.reason for reject in rejects(answer)], [RejectReason.NO_SERVERS])
        refused = rejects(router.route(0.02, request(2)))[0]
        self.assertEqual(refused.reason, RejectReason.ALL_BACKED_OFF)
        self.assertGreater(refused.retry_after_s, 0.0)

    def test_one_trial_after_the_backoff(self) -> None:
        router = make("a1")
        router.route(0.0, request(1))
        router.report(0.01, 1, "a1", AttemptResult.CONNECT_FAILED, False)
        trial = sends(router.route(0.5, request(2, 0.5)))
        self.assertTrue(trial[0].trial)
        self.assertEqual(rejects(router.route(0.5, request(3, 0.5)))[0].reason, RejectReason.ALL_BACKED_OFF)
        router.report(0.6, 2, "a1", AttemptResult.HEAD, False)
        self.assertEqual(len(sends(router.route(0.6, request(4, 0.6)))), 1)

    def test_what_may_have_run_is_not_repeated(self) -> None:
        router = make("a1 a2")
        first = sends(router.route(0.0, request(1, repeatable=False)))[0]
        answer = router.report(0.01, 1, first.server_id, AttemptResult.RESET, True)
        self.assertEqual(rejects(answer)[0].reason, RejectReason.ATTEMPTS)

    def test_no_retry_budget(self) -> None:
        router = make("a1 a2")
        router.apply_retry_budget(0.2, 10.0, 0.0, 6)
        first = sends(router.route(0.0, request(1)))[0]
        answer = router.report(0.01, 1, first.server_id, AttemptResult.NOT_EXECUTED, True)
        self.assertEqual(rejects(answer)[0].reason, RejectReason.RETRY_BUDGET)


class ListTest(unittest.TestCase):
    """The list of servers and the limits."""

    def test_unknown_service(self) -> None:
        router = make()
        self.assertEqual(rejects(router.route(0.0, request(1, service="other")))[0].reason, RejectReason.NO_SERVERS)

    def test_draining_takes_nothing_new(self) -> None:
        router = make("a1 a2")
        actions = router.apply_servers(1.0, "svc", [entry("a1", ready=False), entry("a2")])
        self.assertEqual(actions, [CloseIdle("a1")])
        for n in range(4):
            self.assertEqual(sends(router.route(1.0, request(n, 1.0)))[0].server_id, "a2")

    def test_gone(self) -> None:
        router = make("a1 a2")
        self.assertEqual(router.apply_servers(1.0, "svc", [entry("a2")]), [CloseIdle("a1")])
        self.assertEqual(router.apply_servers(1.0, "svc", []), [CloseIdle("a2")])
        self.assertEqual(rejects(router.route(1.0, request(1, 1.0)))[0].reason, RejectReason.NO_SERVERS)

    def test_new_servers_take_what_waits(self) -> None:
        router = make("a1", connections=6)
        for n in range(3):
            router.route(0.0, request(n))
        actions = router.apply_servers(0.1, "svc", [entry("a1"), entry("a2")])
        self.assertEqual([(send.ticket, send.server_id) for send in sends(actions)], [(1, "a2")])

    def test_waiting_ends(self) -> None:
        router = make("a1", connections=6)
        router.route(0.0, request(1))
        router.route(0.0, request(2))
        refused: list[Reject] = []
        wake = router.next_wake()
        while wake is not None:
            self.assertLessEqual(wake, 0.25)  # half of its target
            refused += rejects(router.tick(wake))
            wake = router.next_wake()
        self.assertEqual([(reject.ticket, reject.reason) for reject in refused], [(2, RejectReason.OVERLOADED)])


if __name__ == "__main__":
    unittest.main()
