"""Interactive transactions are isolated, and end when their caller or its VM disconnects."""

from __future__ import annotations

import trio

from support import TestCase, trio_test
from system_support import (
    ORGANISATION,
    OTHER_ORGANISATION,
    Caller,
    SmallCluster,
    committed_refs,
    homes,
    recorded_executions,
    rows_of,
    wait_until,
)
from tanagerfront_lab.processes import Cluster, VmProcess

# An open transaction occupies a slot of its home.
SLOTS = 12
# A home ends a transaction after this idle time, whether or not its entry VM is reachable.
HOME_IDLE_LIMIT_S = 10.0
# A call takes a few milliseconds; an idle transaction is ended after 5 s.
OTHER_DEADLINE_S = 1.0
SELECT = "SELECT ref FROM records"


class SystemTransactionTest(TestCase):
    """Run transactions of two organisations on one group."""

    async def _begin_with_row(self, vm: VmProcess, organisation: str, ref: str) -> Caller:
        caller = await Caller.connect(vm, organisation)
        self.assertEqual(200, (await caller.begin()).status)
        self.assertEqual(200, (await caller.add_in_transaction(ref)).status)
        return caller

    async def _check_rolled_back(
        self, cluster: Cluster, vm: VmProcess, ref: str, limit_s: float
    ) -> None:
        async def rolled_back() -> bool:
            steps = await recorded_executions(cluster.databases)
            transactions = {step["transaction"] for step in steps if ref in step["params"]}
            ends = {step["kind"] for step in steps if step["transaction"] in transactions}
            return "rollback" in ends

        self.assertLessEqual(await wait_until(rolled_back, limit_s), limit_s)
        # A transaction that still held the write lock would block this write.
        other = await Caller.connect(vm, OTHER_ORGANISATION)
        self.assertEqual(200, (await other.add(f"after-{ref}")).status)
        self.assertNotIn(ref, await committed_refs(cluster))

    @trio_test
    async def test_interleaved_and_abandoned_transactions(self) -> None:
        """Guards against reads of uncommitted rows, and locks held after a caller disconnects."""
        async with SmallCluster(slots=SLOTS) as cluster:
            await self._check_interleaved(cluster.vms[0])
            self.assertEqual({"committed"}, await committed_refs(cluster))
            abandoned = await self._begin_with_row(cluster.vms[1], ORGANISATION, "abandoned")
            await abandoned.close()
            # The idle timeout of the home would also end it, but later.
            vm = cluster.vms[0]
            await self._check_rolled_back(cluster, vm, "abandoned", HOME_IDLE_LIMIT_S / 2)

    async def _check_interleaved(self, vm: VmProcess) -> None:
        first = await self._begin_with_row(vm, ORGANISATION, "rolled-back")
        second = await Caller.connect(vm, OTHER_ORGANISATION)
        self.assertEqual(200, (await second.begin()).status)
        reader = await Caller.connect(vm, OTHER_ORGANISATION)
        self.assertEqual([], await reader.list("rolled-back"))
        rows_in_second: list[list[str]] = []

        async def read_in_second() -> None:
            reply = await second.execute(SELECT)
            self.assertEqual(200, reply.status, reply.body.decode())
            rows_in_second.extend(rows_of(reply))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_in_second)
            await trio.sleep(0.5)
            self.assertEqual(1, len(rows_of(await first.execute(SELECT))))
            self.assertEqual(200, (await first.rollback()).status)
        self.assertEqual([], rows_in_second)
        self.assertEqual(200, (await second.add_in_transaction("committed")).status)
        self.assertEqual([], await reader.list("committed"))
        self.assertEqual(200, (await second.commit()).status)
        self.assertEqual([[1]], await reader.list("committed"))

    @trio_test
    async def test_entry_vm_killed_during_transaction(self) -> None:
        """Guards against a home that keeps a transaction open after its entry VM was killed."""
        async with SmallCluster(vms=4, slots=SLOTS) as cluster:
            entry = await self._vm_without_home(cluster)
            await self._begin_with_row(entry, ORGANISATION, "orphaned")
            cluster.kill(entry.name)
            other = next(vm for vm in cluster.vms if vm != entry)
            await self._check_rolled_back(cluster, other, "orphaned", HOME_IDLE_LIMIT_S / 2)

    @trio_test
    async def test_idle_transactions_of_another_organisation(self) -> None:
        """Guards against idle transactions that occupy the slots of other organisations."""
        async with SmallCluster() as cluster:
            idle = [await Caller.connect(vm, ORGANISATION) for vm in cluster.vms]
            statuses: list[int] = []
            async with trio.open_nursery() as nursery:
                for caller in idle:
                    nursery.start_soon(caller.begin)
                await trio.sleep(0.5)
                for vm in cluster.vms:
                    other = await Caller.connect(vm, OTHER_ORGANISATION)
                    reply = await other.add(f"on-{vm.name}", timeout_s=OTHER_DEADLINE_S)
                    statuses.append(reply.status)
            self.assertEqual([200] * len(cluster.vms), statuses)

    async def _vm_without_home(self, cluster: Cluster) -> VmProcess:
        """Return a VM that forwards the group's statements to another VM."""
        home_states = await homes(cluster)
        return next(vm for vm in cluster.vms if vm.name not in home_states)
