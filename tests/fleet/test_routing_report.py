"""Tests of the router report for the state endpoint."""

from __future__ import annotations

import unittest

from rosechute.routing.model import AttemptResult
from rosechute.routing.report import router_report
from tests.fleet.test_routing_router import entry, make_router, request, sent_actions


class RouterReportTest(unittest.TestCase):
    """Reports of services, servers and queued requests."""

    def test_servers(self) -> None:
        router = make_router("a1 a2")
        (sent,) = sent_actions(router.route(0.0, request(1)))
        report = router_report(router, 0.0)["svc"]
        self.assertEqual([server.id for server in report.servers], ["a1", "a2"])
        by_id = {server.id: server for server in report.servers}
        self.assertEqual(by_id[sent.server_id].in_flight, 1)
        self.assertEqual(sum(server.in_flight for server in report.servers), 1)
        self.assertTrue(all(0 < server.budget <= server.limit for server in report.servers))
        self.assertEqual(report.waiting, 0)

    def test_a_draining_server_is_not_up(self) -> None:
        router = make_router("a1 a2")
        router.apply_servers(0.1, "svc", [entry("a1"), entry("a2", ready=False)])
        self.assertEqual([server.up for server in router_report(router, 0.1)["svc"].servers], [True, False])

    def test_queued_requests(self) -> None:
        router = make_router("a1")
        ticket = 0
        while sent_actions(router.route(0.0, request(ticket := ticket + 1))):
            self.assertLess(ticket, 200)
        self.assertEqual(router_report(router, 0.0)["svc"].waiting, 1)

    def test_backoff_and_retry_budget(self) -> None:
        router = make_router("a1")
        retries_left = router_report(router, 0.0)["svc"].repeats_left
        self.assertGreater(retries_left, 0)
        for ticket in range(1, 40):
            for sent in sent_actions(router.route(0.0, request(ticket, repeatable=False, max_attempts=1))):
                router.report(0.0, sent.ticket, sent.server_id, AttemptResult.RESET, False)
        (server,) = router_report(router, 0.0)["svc"].servers
        self.assertEqual(server.budget, 0)
        self.assertGreater(server.backoff_ms, 0)
        later = router_report(router, 100.0)["svc"].servers[0]
        self.assertEqual(later.backoff_ms, 0)
