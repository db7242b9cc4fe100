"""The directory of instances while its tasks run at the same time."""

from __future__ import annotations

import trio

from front_fakes import GROUP, FakeInstance, registration
from support import TestCase, trio_test
from tanagerfront.instance_directory import InstanceDirectory
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
