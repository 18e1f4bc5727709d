"""The lab's servers against theory: waits in M/M/1, M/M/c and M/G/1, and the tail under two choices.

    python -m benchmarks.theory [--requests 600000] [--seeds 8] [--workers 4]

Mean waits are compared with Erlang's C formula and that of Pollaczek and Khinchine; the share of servers that hold i
requests or more, with the mean-field fixed point of the supermarket model, rate ** (2 ** i - 1) (Mitzenmacher 2001;
Vvedenskaya, Dobrushin and Karpelevich 1996). Prints a table; exit code 1 where a mean wait is off by over 2%.
"""

from __future__ import annotations

import argparse
import math
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

from rosechute import native

native.install_finder()

from rosechute.simulation.draw import Streams  # noqa: E402 - compiled where it is
from rosechute.simulation.engine import Engine  # noqa: E402
from rosechute.simulation.server import Job, Server  # noqa: E402
from rosechute.simulation.spec import Fleet  # noqa: E402

MEAN = 10_000_000  # ns of work a request
ROOM = 1_000_000


def erlang_c(servers: int, load: float) -> float:
    """The chance that a request has to wait, with `load` in erlangs (Erlang 1917)."""
    last = load**servers / math.factorial(servers) * servers / (servers - load)
    return last / (sum(load**n / math.factorial(n) for n in range(servers)) + last)


class Queue:
    """One server under Poisson arrivals; measures the mean wait."""

    def __init__(self, servers: int, use: float, sigma: float | None, seed: int, count: int) -> None:
        self.engine = Engine()
        streams = Streams(seed)
        self.coming, self.work = streams.of("coming"), streams.of("work")
        self.sigma, self.left, self.skip = sigma, count, count // 10
        self.gap = MEAN / (use * servers)
        fleet = Fleet(cores=servers, slots=servers, room=ROOM)
        self.server = Server(self.engine, fleet, 0, 0, self.began, lambda _: None)
        self.since: dict[int, int] = {}
        self.waited = 0
        self.begun = 0

    def began(self, _: Server, job: Job) -> None:
        came = self.since.pop(job.rid)
        if job.rid > self.skip:
            self.waited += self.engine.now - came
            self.begun += 1

    def come(self, rid: int) -> None:
        if self.sigma is None:
            work = MEAN * self.work.exponential()
        else:
            work = MEAN * math.exp(self.sigma * self.work.normal() - self.sigma**2 / 2)
        self.since[rid] = self.engine.now
        self.server.arrive(Job(rid, 0, 0, -1, work, 0, None, lambda job, ran: None))
        if rid < self.left:
            self.engine.after(int(self.gap * self.coming.exponential()), self.come, rid + 1)

    def mean(self) -> float:
        self.engine.at(0, self.come, 1)
        self.engine.run(1 << 62)
        return self.waited / self.begun


def wait(told: tuple[int, float, float | None, int, int]) -> float:
    return Queue(*told).mean()


def choices(told: tuple[int, float, int, int]) -> list[float]:
    """Shares of time-averaged servers that hold 1, 2, 3 and 4 requests or more, two random ones asked each time."""
    count, use, seed, requests = told
    engine, streams = Engine(), Streams(seed)
    coming, work, pick = streams.of("coming"), streams.of("work"), streams.of("pick")
    fleet = Fleet(servers=count, cores=1, slots=1, room=ROOM)
    servers = [Server(engine, fleet, i, 0, lambda *_: None, lambda _: None) for i in range(count)]
    seen = [0] * 4
    looks = 0
    gap = MEAN / (use * count)

    def come(rid: int) -> None:
        nonlocal looks
        one, other = servers[pick.below(count)], servers[pick.below(count)]
        chosen = other if other.held < one.held else one
        chosen.arrive(Job(rid, 0, 0, -1, MEAN * work.exponential(), 0, None, lambda job, ran: None))
        if rid > requests // 5 and rid % (count // 2) == 0:
            looks += 1
            for server in servers:
                for least in range(min(4, server.held)):
                    seen[least] += 1
        if rid < requests:
            engine.after(int(gap * coming.exponential()), come, rid + 1)

    engine.at(0, come, 1)
    engine.run(1 << 62)
    return [n / looks / count for n in seen]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--requests", type=int, default=600_000)
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--workers", type=int, default=4)
    chosen = parser.parse_args()
    cases: list[tuple[str, int, float, float | None, float]] = []
    for use in (0.5, 0.7, 0.85):
        cases.append((f"M/M/1, use {use}", 1, use, None, use / (1 - use) * MEAN))
    for servers, use in ((2, 0.7), (8, 0.8), (32, 0.9)):
        theory = erlang_c(servers, servers * use) / (servers * (1 - use)) * MEAN
        cases.append((f"M/M/{servers}, use {use}", servers, use, None, theory))
    for sigma in (0.0, 0.5, 1.0):
        theory = 0.7 * MEAN * math.exp(sigma**2) / (2 * 0.3)  # rate times the second moment over 2 (1 - use)
        cases.append((f"M/G/1, use 0.7, lognormal {sigma}", 1, 0.7, sigma, theory))
    off = False
    print("| queue | mean wait, ms | theory, ms | off by | standard error |\n| --- | --- | --- | --- | --- |")
    with ProcessPoolExecutor(chosen.workers, mp_context=get_context("spawn")) as pool:
        for name, servers, use, sigma, theory in cases:
            tasks = [(servers, use, sigma, seed, chosen.requests) for seed in range(1, chosen.seeds + 1)]
            found = list(pool.map(wait, tasks))
            mean = statistics.mean(found)
            error = statistics.stdev(found) / math.sqrt(len(found)) / theory
            off = off or abs(mean / theory - 1) > 0.02
            print(
                f"| {name} | {mean / 1e6:.3f} | {theory / 1e6:.3f} | {mean / theory - 1:+.2%} | {error:.2%} |",
                flush=True,
            )
        print("\n| two choices, share of servers with | found | fixed point |\n| --- | --- | --- |")
        for use in (0.7, 0.9):
            rows = list(pool.map(choices, [(500, use, seed, chosen.requests) for seed in range(1, 5)]))
            for least in range(4):
                share = statistics.mean(row[least] for row in rows)
                print(f"| use {use}, {least + 1} or more | {share:.4f} | {use ** (2 ** (least + 1) - 1):.4f} |")
    sys.exit(1 if off else 0)


if __name__ == "__main__":
    main()
