"""Time of a pick and of a list, and memory of a prefix and of a server, by the number of servers.

python -m benchmarks.routing
"""

from __future__ import annotations

import random
import time
import tracemalloc

from rosechute.routing.model import AttemptResult, PromptPart, RoutingRequest, Send, ServerEntry
from rosechute.routing.prefixes import PrefixTable, prefixes_of
from rosechute.routing.router import Router
from rosechute.routing.server import Server
from rosechute.routing.tuning import RouterTuning

SIZES = (9, 30, 300, 6_800)
REQUESTS = 4_000
OUT = 3  # requests at servers at a time
SUBJECTS = 11_000


def entries(count: int) -> list[ServerEntry]:
    """A list of servers in four zones."""
    return [
        ServerEntry(f"i-{number:x}", f"10.0.{number // 250}.{number % 250}:80", f"z{number % 4}", 64, True)
        for number in range(count)
    ]


def prompt(draw: random.Random, number: int) -> tuple[PromptPart, ...]:
    """A preamble, a subject and an own part."""
    return (
        PromptPart(f"preamble{number % 4}", 2_500),
        PromptPart(f"subject{draw.randrange(SUBJECTS)}", 3_700),
        PromptPart(f"own{number}", 2_800),
    )


def pick_us(router: Router, sticky: bool) -> float:
    """Mean time of one `submit`."""
    draw = random.Random(2)
    out: list[tuple[int, str]] = []
    spent = 0.0
    for number in range(REQUESTS):
        now = number * 0.01
        parts = prompt(draw, number) if sticky else ()
        tokens = sum(part.tokens for part in parts)
        request = RoutingRequest(number, "svc", "r", 1, now + 5, 0.6, now, 2, True, sticky, "m", parts, tokens, 50)
        started = time.perf_counter()
        actions = router.route(now, request)
        spent += time.perf_counter() - started
        out += [(action.ticket, action.server_id) for action in actions if isinstance(action, Send)]
        while len(out) > OUT:
            ticket, name = out.pop(0)
            router.report(now, ticket, name, AttemptResult.HEAD, False)
            router.report(now, ticket, name, AttemptResult.DONE, False)
    for ticket, name in out:
        router.report(REQUESTS * 0.01, ticket, name, AttemptResult.DONE, False)
    return spent / REQUESTS * 1e6


def main() -> None:
    """Print the figures."""
    for count in SIZES:
        router = Router(random.Random(1).random, RouterTuning(zone="z0"))
        router.apply_limits(0.0, "svc", 360, 1)
        listed = entries(count)
        started = time.perf_counter()
        router.apply_servers(0.0, "svc", listed)
        first_ms = (time.perf_counter() - started) * 1e3
        changed = [*listed[1:], ServerEntry("i-new", "10.9.9.9:80", "z0", 64, True)]
        started = time.perf_counter()
        router.apply_servers(0.0, "svc", changed)
        again_ms = (time.perf_counter() - started) * 1e3
        plain_us, sticky_us = pick_us(router, False), pick_us(router, True)
        print(
            f"{count:5} servers: submit {plain_us:.0f} us, with prefixes {sticky_us:.0f} us, "
            f"first list {first_ms:.1f} ms, one change {again_ms:.1f} ms"
        )
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    tuning = RouterTuning()
    servers = [Server(entry, tuning, random.random, number) for number, entry in enumerate(entries(SIZES[-1]))]
    of_servers = tracemalloc.get_traced_memory()[0]
    table, draw = PrefixTable(16_384, 4_096, 60.0), random.Random(3)
    for number in range(SUBJECTS):
        table.record(number * 0.001, prefixes_of("svc", "m", prompt(draw, number)), servers[number % len(servers)])
    of_prefixes = tracemalloc.get_traced_memory()[0]
    a_server, a_prefix = (of_servers - before) / len(servers), (of_prefixes - of_servers) / len(table)
    print(f"{a_server:.0f} B a server, {a_prefix:.0f} B a prefix")


if __name__ == "__main__":
    main()
