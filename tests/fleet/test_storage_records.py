"""The record store on a simulated disk: every point of power loss and of refusal, and restarts in any order."""

import random
from unittest import TestCase

from returns.result import Success

from rosechute.storage.layout import decode_log, decode_slot, encode_entries, encode_slot
from rosechute.storage.record_store import RecordStore

from .simulated_disk import PowerLoss, SimulatedDirectory

ROUNDS = 12
DRAWS = 12
MOST_OPERATIONS = 200


class Run:
    """One use of a store: what was acknowledged, and what was under way when power failed."""

    def __init__(self, directory: SimulatedDirectory, draw: random.Random, number: int) -> None:
        self.directory = directory
        self.draw = draw
        self.number = number
        self.known: list[bytes] = []
        self.allowed: list[list[bytes]] = []  # what a load may find: acknowledged, or that and what was under way

    def open(self) -> None:
        self.store, self.known = RecordStore.open(self.directory).unwrap()
        self.allowed = [self.known]

    def record(self) -> bytes:
        self.number += 1
        return b"%d " % self.number + self.draw.randbytes(self.draw.choice((0, 3, 70, 300)))

    def step(self) -> None:
        if not self.store.can_append or self.draw.random() < 0.25:
            self._replace()
        else:
            self._append()

    def _replace(self) -> None:
        new = self.known[-4:] + [self.record()]
        self.allowed = [*self.allowed, new]  # after a failure, what was tried before may still be there
        if self.store.write_snapshot(new) == Success(None):
            self.known, self.allowed = new, [new]

    def _append(self) -> None:
        batches = [[self.record() for _ in range(self.draw.randint(1, 3))] for _ in range(self.draw.randint(1, 2))]
        stages = [self.known]
        for batch in batches:
            stages.append(stages[-1] + batch)
        self.allowed = stages
        if self.store.append(batches) == Success(None):
            self.known, self.allowed = stages[-1], [stages[-1]]


def run_until_power_fails(directory: SimulatedDirectory, seed: int, known: list[bytes] | None = None) -> Run:
    draw = random.Random(seed)
    run = Run(directory, draw, seed * 1000)
    try:
        run.open()
        for _ in range(ROUNDS):
            run.step()
    except PowerLoss:
        if not run.allowed:  # while loading: nothing was changed
            run.allowed = [known or []]
    return run


class PowerLossTest(TestCase):
    def test_every_point_of_power_loss(self) -> None:
        for point in range(MOST_OPERATIONS):
            for seed in range(DRAWS):
                directory = SimulatedDirectory()
                directory.power_fails_at = point
                run = run_until_power_fails(directory, seed)
                self.check(run, directory.after_power_loss(random.Random(seed)), (point, seed))

    def test_power_loss_after_power_loss(self) -> None:
        for seed in range(400):
            draw = random.Random(seed)
            directory = SimulatedDirectory()
            known: list[bytes] = []
            for life in range(6):
                directory.power_fails_at = draw.randint(0, 40)
                run = run_until_power_fails(directory, seed * 10 + life, known)
                directory = directory.after_power_loss(draw) if draw.random() < 0.6 else directory.after_kill()
                known = self.check(run, directory, (seed, life))

    def test_refused_writes_lose_nothing_acknowledged(self) -> None:
        for first in range(0, 60):
            for count in (1, 2, 7):
                directory = SimulatedDirectory()
                directory.refused = range(first, first + count)
                directory.power_fails_at = first + count + 6
                run = run_until_power_fails(directory, first)
                self.check(run, directory.after_power_loss(random.Random(first)), (first, count))

    def test_the_check_finds_a_forgotten_sync(self) -> None:
        lost = 0
        for seed in range(DRAWS):
            directory = SimulatedDirectory()
            directory.skip_syncs = True
            directory.power_fails_at = 30
            run = run_until_power_fails(directory, seed)
            found = RecordStore.open(directory.after_power_loss(random.Random(seed))).unwrap()[1]
            lost += found not in run.allowed
        self.assertGreater(lost, 0)

    def check(self, run: Run, directory: SimulatedDirectory, where: object) -> list[bytes]:
        before = directory.power_fails_at
        directory.power_fails_at = None
        found = RecordStore.open(directory).unwrap()[1]
        directory.power_fails_at = before
        self.assertIn(found, run.allowed, where)
        again = RecordStore.open(directory.after_power_loss(random.Random(0))).unwrap()[1]
        self.assertEqual(found, again, ("what was read was not durable", where))
        return found


class RefusedWriteTest(TestCase):
    def test_append_after_a_refusal_needs_a_snapshot(self) -> None:
        directory = SimulatedDirectory()
        store, _ = RecordStore.open(directory).unwrap()
        self.assertFalse(store.can_append)
        store.write_snapshot([b"a"]).unwrap()
        directory.refused = range(directory.operations, directory.operations + 1)
        error = store.append([[b"b"]]).failure()
        self.assertEqual(error.file_name, "records-a.log")
        self.assertFalse(store.can_append)
        store.append([[b"c"]]).failure()
        store.write_snapshot([b"a", b"d"]).unwrap()
        store.append([[b"e"]]).unwrap()
        self.assertEqual(RecordStore.open(directory).unwrap()[1], [b"a", b"d", b"e"])

    def test_a_snapshot_that_failed_never_overwrites_the_whole_one(self) -> None:
        directory = SimulatedDirectory()
        store, _ = RecordStore.open(directory).unwrap()
        store.write_snapshot([b"a"]).unwrap()
        for _ in range(3):
            directory.refused = range(directory.operations, directory.operations + 1)
            store.write_snapshot([b"b" * 500]).failure()
            self.assertEqual(RecordStore.open(directory.after_kill()).unwrap()[1], [b"a"])

    def test_an_entry_behind_a_torn_one_never_returns(self) -> None:
        directory = SimulatedDirectory()
        store, _ = RecordStore.open(directory).unwrap()
        store.write_snapshot([b"a"]).unwrap()
        store.append([[b"first"]]).unwrap()
        store.append([[b"second"]]).unwrap()
        log = directory.files["records-a.log"]
        log.durable = b"\0" * 4 + log.durable[4:]  # the first is torn, the second whole
        store, found = RecordStore.open(directory).unwrap()
        self.assertEqual(found, [b"a"])
        self.assertFalse(store.can_append)
        store.write_snapshot(found).unwrap()
        store.append([[b"first"]]).unwrap()
        self.assertEqual(RecordStore.open(directory).unwrap()[1], [b"a", b"first"])


class LayoutTest(TestCase):
    def test_slot_of_every_length_cut_or_changed_is_refused(self) -> None:
        image, _ = encode_slot(7, [b"", b"abc", b"x" * 40])
        slot = decode_slot(image + b"rest of an older slot")
        assert slot is not None
        self.assertEqual((slot.generation, slot.records), (7, [b"", b"abc", b"x" * 40]))
        for length in range(len(image)):
            self.assertIsNone(decode_slot(image[:length]))
            changed = bytearray(image)
            changed[length] ^= 1
            self.assertIsNone(decode_slot(bytes(changed)))

    def test_log_ends_at_the_first_entry_that_is_not_whole(self) -> None:
        first, checksum = encode_entries([[b"a"], [b"b", b"c"]], 5)
        second, _ = encode_entries([[b"d"]], checksum)
        self.assertEqual(decode_log(first + second, 5).records, [b"a", b"b", b"c", b"d"])
        self.assertEqual(decode_log(first + second[:-1], 5).records, [b"a", b"b", b"c"])
        self.assertEqual(decode_log(first + b"\0" * 100, 5).size, len(first))
        self.assertEqual(decode_log(first, 6).records, [])
        self.assertEqual(decode_log(None, 5).records, [])
