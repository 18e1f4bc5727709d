"""Tests of replica, runtime and record store together: acknowledged writes survive faults of disks and processes."""

import asyncio
import random
from unittest import IsolatedAsyncioTestCase, mock

from loguru import logger

from rosechute.control_plane import replica_runtime
from rosechute.control_plane.core_report import build_core_report
from rosechute.coordination.outcomes import VersionConflict, WriteAcknowledged
from rosechute.storage.layout import encode_slot

from .simulated_core import SimulatedCore, SimulatedMachine

WRITE_TIMEOUT_S = 4.0
SEEDS = 6


def setUpModule() -> None:
    logger.disable("rosechute.control_plane")  # the injected faults would fill the log


def tearDownModule() -> None:
    logger.enable("rosechute.control_plane")


class RuntimeTest(IsolatedAsyncioTestCase):
    async def cluster(self, machines: int = 3, seed: int = 0) -> SimulatedCore:
        core = SimulatedCore(machines, seed)
        self.assertEqual(await core.write(0, 1, WRITE_TIMEOUT_S), WriteAcknowledged(1))
        return core

    async def test_write_is_acknowledged_and_read_back(self) -> None:
        for machines in (3, 4, 5):
            core = await self.cluster(machines)
            self.assertEqual(await core.write(1, 4, WRITE_TIMEOUT_S), WriteAcknowledged(4))
            read = await core.read(WRITE_TIMEOUT_S)
            assert read is not None
            self.assertEqual((read.version, read.body), (4, b"4 on 1 "))

    async def test_core_report_of_each_machine(self) -> None:
        core = await self.cluster()
        await core.run_for(2.0)
        reports = []
        for machine in core.machines:
            assert machine.runtime is not None
            reports.append(build_core_report(machine.runtime.replica, core.now, 0.02, 0))
        leader = next(each for each in reports if each.leader)
        self.assertEqual(sum(each.leader for each in reports), 1)
        for each in reports:
            self.assertEqual((each.leader_name, each.term), (leader.leader_name, leader.term))
            self.assertEqual((each.config_version, each.config_sequence, each.write_age_ms), (1, 1, 20))
            self.assertEqual(sorted(each.chain), [machine.control for machine in core.machines])
            self.assertLess(each.config_age_ms or 0, 1000)

    async def test_repeated_write_is_acknowledged_and_a_different_one_rejected(self) -> None:
        core = await self.cluster()
        await core.write(1, 2, WRITE_TIMEOUT_S)
        await core.write(2, 3, WRITE_TIMEOUT_S)
        self.assertEqual(await core.write(1, 2, WRITE_TIMEOUT_S), WriteAcknowledged(2))
        self.assertEqual(await core.write(1, 2, WRITE_TIMEOUT_S, "of another operator"), VersionConflict(3))
        self.assertEqual(await core.write(3, 3, WRITE_TIMEOUT_S), VersionConflict(3))

    async def test_one_of_eight_concurrent_writes_wins(self) -> None:
        core = await self.cluster()
        writes = [core.write(1, 2 + number, WRITE_TIMEOUT_S) for number in range(8)]
        outcomes = await asyncio.gather(*writes)
        self.assertEqual(sum(isinstance(each, WriteAcknowledged) for each in outcomes), 1)
        self.assertEqual(sum(isinstance(each, VersionConflict) for each in outcomes), 7)

    async def test_full_disk_of_any_machine(self) -> None:
        for number in range(3):
            core = await self.cluster(seed=number)
            machine = core.machines[number]
            machine.disk_full = True
            self.assertEqual(await core.write(1, 2, WRITE_TIMEOUT_S), WriteAcknowledged(2))
            machine.disk_full = False
            await core.run_for(4.0)
            self.assertEqual(await core.write(2, 3, WRITE_TIMEOUT_S), WriteAcknowledged(3))
            for each in core.machines:
                each.kill(power=True)
                each.start()
            read = await core.read(WRITE_TIMEOUT_S + 2.0)
            self.assertEqual(read and read.version, 3)

    async def test_hung_disk_of_any_machine(self) -> None:
        for number in range(3):
            core = await self.cluster(seed=number)
            core.machines[number].disk_hangs = True
            self.assertEqual(await core.write(1, 2, WRITE_TIMEOUT_S), WriteAcknowledged(2))
            core.machines[number].disk_hangs = False
            await core.run_for(4.0)
            self.assertEqual(await core.write(2, 3, WRITE_TIMEOUT_S), WriteAcknowledged(3))

    async def test_slow_disks(self) -> None:
        core = await self.cluster()
        for machine in core.machines:
            machine.sync_s = 0.12
        for version in range(2, 6):
            self.assertEqual(await core.write(version - 1, version, WRITE_TIMEOUT_S), WriteAcknowledged(version))

    async def test_power_loss_of_all_machines_after_an_acknowledgement(self) -> None:
        for seed in range(SEEDS):
            core = await self.cluster(seed=seed)
            for version in range(2, 6):
                self.assertEqual(
                    await core.write(version - 1, version, WRITE_TIMEOUT_S + 2.0), WriteAcknowledged(version)
                )
                for machine in core.machines:
                    machine.kill(power=True)
                for machine in core.draw.sample(core.machines, 3):
                    machine.start()
                    await core.run_for(core.draw.choice((0.0, 0.3)))
                read = await core.read(WRITE_TIMEOUT_S + 2.0)
                self.assertEqual(read and read.version, version, seed)

    async def test_wiped_machine_and_power_loss_of_the_others(self) -> None:
        for seed in range(SEEDS):
            core = await self.cluster(seed=seed)
            for version in range(2, 5):
                self.assertEqual(
                    await core.write(version - 1, version, WRITE_TIMEOUT_S + 2.0), WriteAcknowledged(version)
                )
                wiped = core.draw.choice(core.machines)
                for machine in core.machines:
                    machine.wipe() if machine is wiped else machine.kill(power=True)
                for machine in core.machines:
                    machine.start()
                read = await core.read(8.0)
                self.assertEqual(read and read.version, version, seed)
                await core.run_for(4.0)

    async def test_lost_acknowledgements_do_not_cause_conflicts(self) -> None:
        for seed in range(SEEDS):
            core = await self.cluster(seed=seed)
            core.answers_lost = 0.6
            for version in range(2, 12):
                self.assertEqual(await core.write(version - 1, version, 20.0), WriteAcknowledged(version), seed)

    async def test_write_with_a_lost_response_is_acknowledged_after_later_writes(self) -> None:
        for seed in range(SEEDS):
            core = await self.cluster(seed=seed)
            core.answers_lost = 1.0
            self.assertIsNone(await core.write(1, 2, 1.0))
            core.answers_lost = 0.0
            self.assertEqual(await core.write(2, 3, WRITE_TIMEOUT_S), WriteAcknowledged(3))
            for machine in core.machines:
                machine.kill(power=True)
                machine.start()
            self.assertEqual(await core.write(1, 2, WRITE_TIMEOUT_S + 2.0), WriteAcknowledged(2), seed)
            read = await core.read(WRITE_TIMEOUT_S)
            self.assertEqual(read and read.version, 3, seed)

    async def test_resets_of_all_links(self) -> None:
        for seed in range(SEEDS):
            core = await self.cluster(seed=seed)
            for version in range(2, 8):
                written = asyncio.create_task(core.write(version - 1, version, WRITE_TIMEOUT_S))
                for _ in range(5):
                    await asyncio.sleep(0)
                    core.reset_links()
                self.assertEqual(await written, WriteAcknowledged(version), seed)

    async def test_eight_concurrent_writes_under_faults(self) -> None:
        for seed in range(SEEDS):
            core = await self.cluster(4, seed)
            for version in (1, 11, 21):
                self.inject_fault(core, core.draw.choice(core.machines))
                writes = [core.write(version, version + 3 + number, 1.5) for number in range(7)]
                outcomes = await asyncio.gather(*writes, core.write(version, version + 10, 1.5))
                self.repair(core)
                acknowledged = [each.version for each in outcomes if isinstance(each, WriteAcknowledged)]
                self.assertLessEqual(len(acknowledged), 1, seed)
                read = await core.read(8.0)
                assert read is not None
                self.assertTrue(not acknowledged or read.version == acknowledged[0], seed)
                if read.version != version + 10:  # continue from a known version
                    self.assertEqual(
                        await core.write(read.version, version + 10, 8.0), WriteAcknowledged(version + 10)
                    )

    async def test_all_disks_hang_and_recover(self) -> None:
        for seed in range(SEEDS):
            core = await self.cluster(seed=seed)
            for machine in core.machines:
                machine.disk_hangs = True
            self.assertIsNone(await core.write(1, 2, 3.0))
            self.repair(core)
            self.assertEqual(await core.write(1, 2, 6.0), WriteAcknowledged(2), seed)

    async def test_log_stays_short_and_snapshot_is_complete(self) -> None:
        with mock.patch.object(replica_runtime, "LOG_LIMIT_BYTES", 2_000):
            core = await self.cluster()
            for version in range(2, 60):
                self.assertEqual(await core.write(version - 1, version, WRITE_TIMEOUT_S), WriteAcknowledged(version))
            for machine in core.machines:
                assert machine.records is not None
                self.assertLess(machine.records.log_size, 8_000)
                machine.kill(power=True)
                machine.start()
            read = await core.read(WRITE_TIMEOUT_S + 2.0)
            self.assertEqual(read and read.version, 59)

    async def test_random_faults(self) -> None:
        for seed in range(SEEDS):
            core = await self.cluster(random.Random(seed).choice((3, 4, 5)), seed)
            version = 1
            for _ in range(8):
                self.inject_fault(core, core.draw.choice(core.machines))
                outcome = await core.write(version, version + 1, core.draw.choice((0.3, 2.0, 6.0)))
                self.repair(core)
                if outcome is None:
                    outcome = await core.write(version, version + 1, 8.0)
                self.assertEqual(outcome, WriteAcknowledged(version + 1), seed)
                version += 1
                read = await core.read(8.0)
                self.assertEqual(read and read.version, version, seed)

    def inject_fault(self, core: SimulatedCore, machine: SimulatedMachine) -> None:
        kind = core.draw.randrange(7)
        if kind == 0:
            machine.kill()
        elif kind == 1:
            for each in core.machines:
                each.kill(power=core.draw.random() < 0.7)
        elif kind == 2:
            machine.disk_full = True
        elif kind == 3:
            machine.disk_hangs = True
        elif kind == 4:
            machine.frozen = True
        elif kind == 5:
            core.cut = {machine.control}
        else:
            machine.sync_s = 0.3

    def repair(self, core: SimulatedCore) -> None:
        core.cut = set()
        for machine in core.machines:
            machine.disk_full = machine.disk_hangs = machine.frozen = False
            machine.sync_s = 0.005
            if machine.runtime is None:
                machine.start()


class SnapshotTest(IsolatedAsyncioTestCase):
    async def test_records_in_a_snapshot_are_not_appended_again(self) -> None:
        with mock.patch.object(replica_runtime, "LOG_LIMIT_BYTES", 0):
            core = SimulatedCore(3, 1)
            for version in range(1, 8):
                self.assertEqual(await core.write(version - 1, version, WRITE_TIMEOUT_S), WriteAcknowledged(version))
            for machine in core.machines:
                assert machine.runtime is not None
                self.assertLessEqual(max(machine.committed_sequences), 7)
                self.assertEqual(len(machine.runtime.replica.snapshot()), 1)
        self.assertGreater(len(encode_slot(1, core.machines[0].runtime.replica.snapshot())[0]), 0)
