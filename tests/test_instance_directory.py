"""The directory of instances while its tasks run at the same time."""

from __future__ import annotations

import trio

from front_fakes import GROUP, FakeInstance, registration
from support import TestCase, trio_test
from tanagerfront.entry_id import EntryId
from tanagerfront.instance_directory import InstanceDirectory, PrimaryRecord
from tanagerfront.session_model import InstanceRegistration, boottime_s


async def _open(_registration: InstanceRegistration, organisation: str) -> object:
    instance = FakeInstance()
    instance.close_s = 0.1
    return await instance.open(_registration, organisation)


class ConcurrentChangesTest(TestCase):
    async def _directory(self) -> InstanceDirectory:
        """Return a directory with an instance that has more idle connections than it may keep."""
        directory = InstanceDirectory(_open, "suame")  # type: ignore[arg-type]
        await directory.set_connection_shares(1, {GROUP: 16})
        await directory.apply(registration("a", primary=True))
        pool = directory.instances()[0].pool
        now = trio.current_time()
        connections = [await pool.acquire(f"org-{n}", now, now + 1) for n in range(8)]
        for connection in connections:
            await pool.release(connection)
        return directory

    @trio_test(mock_clock=True)
    async def test_an_instance_registers_while_pools_are_trimmed(self) -> None:
        # Guards against "dictionary changed size during iteration", which ended a VM that trimmed
        # its pools when a replacement of an instance registered (melegkez-front, a primary was
        # released while VMs froze).
        directory = await self._directory()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(directory.set_connection_shares, 8, {GROUP: 16})
            await trio.sleep(0.05)
            await directory.apply(registration("b"))
            await directory.apply(registration("c", group="other"))
        self.assertEqual({"a", "b", "c"}, {i.registration.id for i in directory.instances()})

    @trio_test(mock_clock=True)
    async def test_an_instance_registers_while_an_unregistered_one_is_removed(self) -> None:
        # Guards against the same error in the removal of instances.
        directory = await self._directory()
        await directory.apply(registration("r"))
        removed = directory.find("r")
        assert removed is not None
        now = trio.current_time()
        await removed.pool.release(await removed.pool.acquire("org", now, now + 1))
        await directory.mark_unregistered("r")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(directory.remove_unregistered, 0.0)
            await trio.sleep(0.05)
            await directory.apply(registration("c", group="other"))
        self.assertEqual({"a", "c"}, {i.registration.id for i in directory.instances()})


class OwnLoadTest(TestCase):
    async def _estimated(self, rank: int) -> float | None:
        """Return the statements known at a home of a rank that runs one."""
        directory = InstanceDirectory(_open, "suame")  # type: ignore[arg-type]
        directory.home_rank = lambda _registration: rank
        await directory.set_connection_shares(30, {GROUP: 16})
        await directory.apply(registration("a"))
        instance = directory.instances()[0]
        now = trio.current_time()
        connection = await instance.pool.acquire("org", now, now + 1)
        estimate = instance.load_estimate(boottime_s())
        await instance.pool.release(connection)
        return estimate.statements

    @trio_test(mock_clock=True)
    async def test_the_first_home_knows_the_load_from_its_own_queue(self) -> None:
        self.assertEqual(1.0, await self._estimated(0))

    @trio_test(mock_clock=True)
    async def test_the_second_home_does_not_take_its_own_queue_for_that_of_the_instance(
        self,
    ) -> None:
        # Guards against a second home that sees few statements and sends all its own there.
        self.assertIsNone(await self._estimated(1))


class LogHoldersTest(TestCase):
    async def _directory(self) -> InstanceDirectory:
        """Return a directory with a primary and two replicas, of which `gone` is unregistered."""
        directory = InstanceDirectory(_open, "suame")  # type: ignore[arg-type]
        for port, name in enumerate(("p", "staying", "gone"), start=1):
            await directory.apply(registration(name, primary=name == "p", port=port))
        await directory.mark_unregistered("gone")
        return directory

    def _holders(self, directory: InstanceDirectory) -> set[str]:
        group = directory.group(GROUP)
        return {holder.registration.id for holder in group.log_holders(group.instances["p"])}

    @trio_test(mock_clock=True)
    async def test_an_unregistered_instance_is_replaced_by_the_one_at_its_address(self) -> None:
        # Guards against a promotion without a log that has moved, and against waiting for the
        # instance that it has moved from.
        directory = await self._directory()
        self.assertEqual({"staying", "gone"}, self._holders(directory))
        await directory.apply(registration("elsewhere", port=9))
        self.assertEqual({"staying", "gone", "elsewhere"}, self._holders(directory))
        await directory.apply(registration("replacement", port=3))
        self.assertEqual({"staying", "elsewhere", "replacement"}, self._holders(directory))

    @trio_test(mock_clock=True)
    async def test_only_positions_after_the_departure_show_that_it_was_overtaken(self) -> None:
        # Guards against a promotion without commits that were acknowledged between the position
        # and the departure.
        directory = await self._directory()
        group = directory.group(GROUP)
        left_at = group.instances["gone"].unregistered_since
        assert left_at is not None
        group.samples.add(left_at - 1.0, EntryId(1, 5))
        group.record_overtaken()
        self.assertIsNone(group.instances["gone"].overtaken_at)
        group.samples.add(left_at + 1.0, EntryId(1, 9))
        group.samples.add(left_at + 2.0, EntryId(1, 12))
        group.record_overtaken()
        self.assertEqual(EntryId(1, 9), group.instances["gone"].overtaken_at)
        await directory.apply(registration("gone", port=3))
        self.assertIsNone(group.instances["gone"].overtaken_at)

    @trio_test(mock_clock=True)
    async def test_no_instance_is_forgotten_during_a_failover(self) -> None:
        # Guards against a failover that waits for a log until that is forgotten, and then promotes
        # an instance without its entries.
        directory = await self._directory()
        for moving, known in ((True, {"staying", "gone"}), (False, {"staying"})):
            directory.set_primary_record(PrimaryRecord(GROUP, "p", 2, moving, 4 - moving))
            await directory.remove_unregistered(0.0)
            self.assertEqual(known, self._holders(directory))
