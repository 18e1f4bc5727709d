"""Large lists: read and taken up in slices, with the same end as in one piece, and drained servers first."""

from __future__ import annotations

import asyncio
import json
import random

import pytest
from backend import Call, Conversation, Server, dump, line, listing, ok, play, settings, sidecar
from hypothesis import example, given
from hypothesis import strategies as st

import rosechute.sidecar.sidecar
from rosechute.load_balancing import Settings
from rosechute.proxy.core.address import Address
from rosechute.proxy.core.log import SINK
from rosechute.sidecar import discovery, slices
from rosechute.sidecar.discovery import Discovery, Listing, read_in_slices, read_listing
from rosechute.sidecar.slices import Pace, decode

ASKS = settings(discovery="subscribe")
SITE = Settings.parse(ASKS)


def many(count, **changes):
    return [line(f"s{i:04d}", 1000 + i, **changes) for i in range(count)]


# --- reading

values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.sampled_from(["a", "endpoints", "ü", ""]), inner),
    max_leaves=20,
)
spoils = st.lists(st.tuples(st.integers(0, 10**6), st.sampled_from(list('{}[]",: \n1nx\\') + [""])), max_size=2)


@example([{"a": 1}, 2, "x"], [], None, "utf-8", False)
@example([], [], 1, "utf-8-sig", False)
@given(values, spoils, st.sampled_from([None, 1]), st.sampled_from(["utf-8", "utf-8-sig", "utf-16"]), st.booleans())
def test_an_answer_in_slices_is_what_it_is_in_one_piece(value, places, indent, code, twice):
    """Any document, also one with signs changed, dropped or put in at random, and one that names the array twice."""
    text = json.dumps({"index": 7, "endpoints": value, "more": [value]}, indent=indent, ensure_ascii=False)
    if twice:
        text = text[:-1] + ', "endpoints": []}'
    for at, sign in places:
        at %= len(text)
        text = text[:at] + sign + text[at + (len(sign) == 0) :]
    body = text.encode(code, "surrogatepass")
    items = []

    async def read():
        raw, apart = await decode(body, "endpoints", items.append, Pace())
        assert apart or not isinstance(value, list) or places or twice
        return {**raw, "endpoints": items} if apart else raw

    try:
        expected = json.loads(body)
    except ValueError:
        with pytest.raises(ValueError):
            asyncio.run(read())
    else:
        found = asyncio.run(read())
        assert json.dumps(found, sort_keys=True) == json.dumps(expected, sort_keys=True)


def test_lines_that_say_what_is_known_are_the_ones_that_are_known(capfd):
    lines = [*many(300), 7, {}, line("x", 1, address="nowhere"), line("y", 1, weight="heavy"), line("z", 1, zone=[])]
    first = read_listing(listing(*lines), SITE)
    known = {one.entry.server: one for one in first.lines}
    lines[3] = line("s0003", 1003, status="DRAINING")
    again = asyncio.run(read_in_slices(dump(listing(*lines, index=9)), SITE, known))
    assert again == read_listing(listing(*lines, index=9), SITE)
    assert [one is known.get(one.entry.server) for one in again.lines].count(False) == 1
    SINK.flush()
    assert "entry_left_out" in capfd.readouterr().err


def test_calls_go_on_while_a_large_list_is_read(monkeypatch):
    monkeypatch.setattr(slices, "SLICE_S", 0.0)
    turns = 0

    async def scene():
        nonlocal turns
        reading = asyncio.ensure_future(read_in_slices(dump(listing(*many(300))), SITE, {}))
        while not reading.done():
            turns += 1
            await asyncio.sleep(0)
        assert len((await reading).lines) == 300

    asyncio.run(scene())
    assert turns >= 300
    monkeypatch.setattr(slices, "PATIENCE_S", 0.0)  # a loop that is busy for so long: the rest at once
    turns = 0
    asyncio.run(scene())
    assert turns < 10


# --- telling


class Told:
    """Whoever is told: keeps the list as the sidecar does, and each piece."""

    def __init__(self, version=5):
        self.known, self.pieces = {}, []
        self.discovery = Discovery(
            asyncio.get_running_loop(),
            Address("127.0.0.1", 1),
            SITE,
            version,
            self.take,
            random.random,
            known=self.known,
        )

    def take(self, piece):
        self.pieces.append(piece)
        if piece.whole:
            self.known.clear()
        for one in piece.lines:
            if one.entry.lifecycle == "removed":
                self.known.pop(one.entry.server, None)
            else:
                self.known[one.entry.server] = one

    def names(self):
        return [(one.entry.server, one.entry.lifecycle) for piece in self.pieces for one in piece.lines]


def read(lines, index=6, snapshot=True):
    return read_listing(listing(*lines, index=index, snapshot=snapshot), SITE)


def test_of_a_large_list_only_what_is_new_is_told_with_the_drained_first():
    async def scene():
        told = Told()
        await told.discovery._hand_on(read(many(400)))
        assert [(piece.whole, piece.part, len(piece.lines)) for piece in told.pieces] == [(True, False, 400)]
        told.pieces.clear()
        lines = many(400)
        lines[10] = line("s0010", 1010, since_ms=5)
        lines[20] = line("s0020", 1020, status="DRAINING")
        del lines[30]
        lines += [line(f"t{i:04d}", 2000 + i) for i in range(60)]
        after = read(lines, index=8)
        after = after._replace(
            lines=tuple(
                told.known.get(one.entry.server, one) if told.known.get(one.entry.server) == one else one
                for one in after.lines
            )
        )
        await told.discovery._hand_on(after)
        assert told.known == {one.entry.server: one for one in after.lines}
        assert told.names()[:2] == [("s0020", "draining"), ("s0030", "removed")]
        assert len(told.names()) == 63 and max(len(piece.lines) for piece in told.pieces) <= discovery.PART
        assert [piece.part for piece in told.pieces] == [True] * (len(told.pieces) - 1) + [False]
        assert not any(piece.whole for piece in told.pieces) and told.discovery._version == 8
        told.pieces.clear()
        await told.discovery._hand_on(after)  # nothing new: one piece that says so, and the module has its answer
        assert told.pieces == [Listing(8, False, ())]

    asyncio.run(scene())


def test_new_servers_go_first_where_few_others_would_be_left():
    async def scene():
        told = Told()
        await told.discovery._hand_on(read(many(300)))
        fewest = []
        told.discovery._tell = lambda piece: (told.take(piece), fewest.append(len(told.known)))
        await told.discovery._hand_on(read([line(f"t{i:04d}", 2000 + i) for i in range(300)], index=8))
        assert min(fewest) >= 300 and set(told.known) == {f"t{i:04d}" for i in range(300)}

    asyncio.run(scene())


@pytest.mark.parametrize("seed", range(5))
def test_lists_in_parts_end_where_lists_in_one_piece_do(seed):
    async def scene():
        rng = random.Random(seed)
        told, plain = Told(), {}
        for index in range(6, 16):
            count = rng.choice([0, 5, 250, 400])
            numbers = [rng.randrange(450) if rng.random() < 0.02 else i for i in range(count)]
            if rng.random() < 0.5:
                numbers = sorted(set(numbers))
            rng.shuffle(numbers)
            states = ["SERVING"] * 8 + ["DRAINING", "DELETED"]
            lines = [
                line(f"s{i:04d}", 1000 + i, status=rng.choice(states), since_ms=rng.choice([0, 0, 9]))
                for i in numbers
            ]
            whole = rng.random() < 0.6
            one = read(lines, index, whole)
            await told.discovery._hand_on(one)
            if whole:
                plain = {name: known for name, known in plain.items() if name in {o.entry.server for o in one.lines}}
            for now in one.lines:
                if now.entry.lifecycle == "removed":
                    plain.pop(now.entry.server, None)
                else:
                    plain[now.entry.server] = now
            assert told.known == plain and told.discovery._version == index

    asyncio.run(scene())


def test_one_cut_short_is_not_counted_as_told(monkeypatch):
    """What was not told yet would never come again, if the next call asked for what comes after it."""
    monkeypatch.setattr(slices, "SLICE_S", 0.0)

    async def scene():
        told = Told()
        await told.discovery._hand_on(read(many(300)))
        telling = asyncio.ensure_future(told.discovery._hand_on(read(many(300, since_ms=9), index=8)))
        while len(told.pieces) < 3:
            await asyncio.sleep(0)
        telling.cancel()
        await asyncio.sleep(0)
        assert told.discovery._version == 6 and telling.cancelled() and told.pieces[-1].part

    asyncio.run(scene())


# --- the sidecar


class Registry:
    """A discovery with one list, told whole at first and then as a script says."""

    def __init__(self):
        self.answers, self.asked = asyncio.Queue(), asyncio.Queue()

    async def __call__(self, talk: Conversation, call: Call) -> None:
        self.asked.put_nowait(call.target)
        await talk.answer(200, dump(await self.answers.get()))


def checked(world, lines):
    """What the sidecar's parts hold is this list, each in its order."""
    car, module = world.sidecar, world.sidecar.core.module
    expected = {one.entry.server: one for one in read(lines).lines if one.entry.lifecycle != "removed"}
    assert car._lines == expected
    assert {name: (t.address, t.started_ns, t.up) for name, t in car._upstream._targets.items()} == {
        name: (one.address, one.entry.started_ns, one.entry.lifecycle == "up") for name, one in expected.items()
    }
    up = sorted(name for name, one in expected.items() if one.entry.lifecycle == "up")
    assert [s.name for s in module._up] == up and sorted(s.name for s in module._subset) == up


def test_large_lists_over_sockets_and_a_drained_server_gets_no_more():
    async def scene():
        async with Server(ok) as server:
            registry = Registry()
            lines = [line("a", server.port), *many(600, status="DRAINING")]
            async with (
                Server(registry) as place,
                sidecar(line("a", server.port), discovery=place.port, raw=ASKS) as world,
            ):
                client = await world.client()
                await registry.asked.get()
                for index, status in ((2, "SERVING"), (3, "SERVING"), (4, "DRAINING")):
                    lines[0] = line("a", server.port, status=status)
                    lines[index] = line(f"s{index - 1:04d}", 1, since_ms=index, status="DRAINING")
                    registry.answers.put_nowait(listing(*lines, index=index))
                    assert f"after={index}" in await registry.asked.get()
                    checked(world, lines)
                    answer = await client.ask("single_shot", timeout="1")
                    assert answer[0] == (200 if status == "SERVING" else 503)
                assert len(server.calls) == 2
                gone = [line(f"s{i:04d}", 1, status="DELETED") for i in range(300)]
                registry.answers.put_nowait(listing(line("a", server.port), *gone, index=5, snapshot=False))
                assert "after=5" in await registry.asked.get()
                checked(world, [line("a", server.port), *lines[301:]])
                assert (await client.ask("single_shot"))[0] == 200

    play(scene)


def test_a_part_leaves_the_version_as_it_was():
    """A process that takes over in between must ask for all that comes after the last whole answer."""

    async def scene():
        async with sidecar(*many(3)) as world:
            car = world.sidecar
            car._told(Listing(9, False, read([line("s0000", 1000, status="DRAINING")]).lines, part=True))
            assert car.state()["list"]["index"] == 1 and not car.core.module._servers["s0000"].up
            car._told(Listing(9, False, ()))
            assert car.state()["list"]["index"] == 9

    play(scene)


def test_only_what_has_changed_is_taken_up():
    async def scene():
        async with sidecar(*many(3)) as world:
            car, took = world.sidecar, []
            real = car._upstream

            class Watched:
                def update(self, name, *more):
                    took.append(name)
                    real.update(name, *more)

                def __getattr__(self, name):
                    return getattr(real, name)

            car._upstream = Watched()
            changed = [*many(2), line("s0002", 1002, status="DRAINING")]
            car._told(read(changed, 2))
            assert took == ["s0002"] and not car.core.module._servers["s0002"].up
            car._told(read(changed, 3, snapshot=False))
            assert took == ["s0002"] and car._index == 3
            servers = car.core.module._servers
            assert all(car._lines[name].entry is server.entry for name, server in servers.items())
            car._told(read(changed[1:], 4))  # a whole list without the first
            checked(world, changed[1:])
            car._told(read([line("s0001", 1001, status="DELETED")], 5, snapshot=False))
            checked(world, changed[2:])

    play(scene)


def test_of_a_burst_the_other_process_is_told_the_first_change_and_the_outcome(monkeypatch):
    monkeypatch.setattr(rosechute.sidecar.sidecar, "APART_S", 0.1)

    async def scene():
        async with sidecar(*many(300)) as world:
            car, told = world.sidecar, []

            class Linked:
                def linked(self):
                    return True

                def tell(self, kind, **frame):
                    told.append((kind, frame["index"], len(frame["lines"])))

            car._takeover = Linked()
            for index in range(2, 102):
                car._told(read([line(f"s{index:04d}", 1, status="DELETED")], index, snapshot=False))
            assert told == [("list", 2, 299)]
            while len(told) < 2:
                await asyncio.sleep(0.01)
            assert told[1] == ("list", 101, 200)
            await asyncio.sleep(0.15)
            assert len(told) == 2
            car._told(read([line("s0000", 1, status="DELETED")], 102, snapshot=False))
            assert told[2] == ("list", 102, 199)
            car._takeover = None

    play(scene)
