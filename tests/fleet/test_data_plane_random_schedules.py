"""Random days of one data plane, by seed: servers that misbehave, clients that leave, lists and configurations that
change. A judge compares what clients got with what servers ran."""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass, field, replace

from rosechute.routing.model import ServerEntry
from tests.fleet.data_site import Answer, Call, Site, SiteCase, Talk, configuration, event, until_closed

SEEDS = 24
REQUESTS = 120
EVENTS = 8
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
PATHS = ("/plain/1", "/again/1", "/stream/1", "/resume/1")
MAY_REPEAT = ("/again/1", "/resume/1")
DEADLINES_MS = (400, 1500, 4000)
TROUBLES = (
    "declines",
    "moved",
    "resets",
    "cuts",
    "garbles",
    "silent",
    "slow",
    "surplus",
    "twice",
    "closes",
    "unstamped",
    "fails",
)
TROUBLED = 0.4  # part of the requests at which servers misbehave


@dataclass
class Asked:
    """One request of a client, and what it came to."""

    name: str
    path: str
    sent_at: float
    deadline_s: float
    answer: Answer | None = None
    left: bool = False


@dataclass
class Day:
    """What servers ran and clients got."""

    draw: random.Random
    ran: dict[str, list[str]] = field(default_factory=dict)  # servers by request
    asked: list[Asked] = field(default_factory=list)

    async def serve(self, talk: Talk, call: Call) -> None:
        """One request at a server, in a mood of its own."""
        mood = self.draw.choice(TROUBLES) if self.draw.random() < TROUBLED else ""
        if mood == "declines":
            talk.full()
            return
        if mood == "moved":
            talk.answer(421, b"", "X-Rosechute-Instance-Id: another", stamp=None)
            return
        self.ran.setdefault(call.id, []).append(talk.server.id)
        if mood == "silent":
            await until_closed(talk, call)
        elif mood == "resets":
            await asyncio.sleep(self.draw.choice((0.0, 0.05)))
            talk.reset()
        elif mood == "garbles":
            talk.writer.write(b"\x00 this is no answer\r\n\r\n")
        elif mood == "surplus":
            talk.answer(200, b"of another request", id="another")
        elif mood == "unstamped":
            talk.answer(200, b"not the server's", stamp=None)
        elif mood == "fails":
            talk.answer(500, b"own words")
        if mood in ("silent", "resets", "garbles", "unstamped", "fails"):
            return
        if mood == "slow":
            await asyncio.sleep(self.draw.uniform(0.1, 2.0))
        if call.target.startswith(("/stream", "/resume")):
            await self._stream(talk, call, mood)
        else:
            await self._whole(talk, call, mood)

    async def _whole(self, talk: Talk, call: Call, mood: str) -> None:
        body = body_of(call.id)
        if mood == "cuts":
            talk.writer.write(talk.head(200, f"Content-Length: {len(body)}") + body[:5])
            raise ConnectionError
        talk.answer(200, body)
        if mood == "twice":
            await asyncio.sleep(self.draw.choice((0.0, 0.02)))
            talk.answer(200, body)
        if mood == "closes":
            raise ConnectionError

    async def _stream(self, talk: Talk, call: Call, mood: str) -> None:
        talk.begin()
        first = int(call.headers.get("last-event-id", 0)) + 1
        breaks_at = self.draw.randint(first, EVENTS + 1) if mood == "cuts" else 0
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(self.draw.choice((0.0, 0.05)))
            if number == breaks_at:
                talk.piece(event(number)[: self.draw.randint(1, 20)])
                raise ConnectionError
            talk.event(number)
            await talk.writer.drain()
        if mood == "cuts":
            raise ConnectionError  # behind its last event, without its end
        talk.finish()
        if mood == "closes":
            raise ConnectionError

    async def ask(self, site: Site) -> None:
        """One client with one request."""
        client = await site.client()
        path, deadline_ms = self.draw.choice(PATHS), self.draw.choice(DEADLINES_MS)
        body = b"b" * self.draw.choice((0, 10, 40_000))
        asked = Asked(client.send(path, deadline=deadline_ms, body=body), path, site.loop.time(), deadline_ms / 1e3)
        self.asked.append(asked)
        if self.draw.random() < 0.15:
            await asyncio.sleep(self.draw.choice((0.0, 0.01, 0.2)))
            asked.left = True
            self.draw.choice((client.close, client.reset))()
            return
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            asked.answer = await client.answer()
        client.close()

    def broken_rules(self) -> list[str]:
        """What the data plane did wrong."""
        found = []
        for asked in self.asked:
            runs = self.ran.get(asked.name, [])
            if len(runs) > 1 and asked.path not in MAY_REPEAT:
                found.append(f"{asked} ran at {runs}")
            if asked.left:
                continue
            answer = asked.answer
            if answer is None:
                found.append(f"{asked} got no answer")
                continue
            if answer.at > asked.sent_at + asked.deadline_s + 0.01:
                found.append(f"{asked} was answered late")
            if answer.status in NOT_EXECUTED_STATUSES and runs and asked.path not in MAY_REPEAT:
                found.append(f"{asked} got {answer.status} and ran at {runs}")
            if answer.status == 200:
                found += self._wrong_success(asked, answer, runs)
        return found

    @staticmethod
    def _wrong_success(asked: Asked, answer: Answer, runs: list[str]) -> list[str]:
        expected = body_of(asked.name)
        if "x-rosechute-server-stamp" not in answer.headers or not runs:
            return [f"{asked} got a success of nobody"]
        if asked.path in ("/plain/1", "/again/1"):
            return [] if answer.whole and answer.body == expected else [f"{asked} got {answer.body!r}"]
        whole = b"".join(event(number) for number in range(1, EVENTS + 1))
        if answer.whole:
            return [] if answer.body == whole else [f"{asked} got {answer.body!r} as whole"]
        if not whole.startswith(answer.body):
            return [f"{asked} got {answer.body!r}"]
        cut_within = answer.body and not answer.body.endswith(b"\n\n")
        return [f"{asked} got part of an event"] if asked.path == "/resume/1" and cut_within else []


def body_of(name: str) -> bytes:
    return f"the whole body of {name}".encode() * 3


class RandomDays(SiteCase):
    def test_no_rule_breaks_and_nothing_is_left_over(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.play(lambda seed=seed: self.day(seed))  # type: ignore[misc]

    async def day(self, seed: int) -> None:
        draw = random.Random(seed)
        day = Day(draw)
        site = await Site(grace_s=6.0).start(s1=day.serve, s2=day.serve, s3=day.serve)
        entries = [server.entry for server in site.servers.values()]
        asking = []
        for number in range(REQUESTS):
            asking.append(asyncio.ensure_future(day.ask(site)))
            await asyncio.sleep(draw.choice((0.0, 0.0, 0.01, 0.1)))
            if number % 20 == 10:
                site.list(*(self._changed(draw, entry) for entry in entries))
            if number % 30 == 15:
                site.plane.apply_configuration(configuration(number), number)
        if seed % 3 == 0:
            site.list(*entries)
            site.plane.begin_shutdown()
            await site.plane.finish_shutdown()
        await asyncio.gather(*asking)
        await asyncio.sleep(1.0)
        self.assertEqual(day.broken_rules(), [])
        self.assertEqual((len(site.plane.front.requests), len(site.router._pending)), (0, 0))
        self.assertEqual(site.plane.budget.used, 0)
        for server in site.plane.pool._servers.values():
            self.assertEqual(server.open_count, len(server.idle), server.id)
        answered = [asked.answer.status for asked in day.asked if asked.answer is not None]
        self.assertGreater(answered.count(200), len(answered) // 5)
        site.close()

    @staticmethod
    def _changed(draw: random.Random, entry: ServerEntry) -> ServerEntry:
        return replace(entry, ready=draw.random() < 0.7)
