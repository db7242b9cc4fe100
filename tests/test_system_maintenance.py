"""VMs and databases are taken out of service without a request that fails."""

from __future__ import annotations

import functools
import time

import msgspec
import trio

from support import TestCase, trio_test
from system_support import (
    IN_EFFECT_S,
    ORGANISATION,
    OTHER_ORGANISATION,
    Caller,
    Observed,
    SmallCluster,
    edit,
    executions,
    observe,
    plan,
    refs,
    role_lock_holders,
)
from tanagerfront_lab.faults import BALANCER_DELAY_S
from tanagerfront_lab.load import VmBalancer
from tanagerfront_lab.processes import Cluster, DatabaseProcess

RATE = 25.0
AFTER_LEAVING_S = 2.0
# The VM accepts connections for 3 s after the signal; what is open then may still be finished.
AFTER_DRAIN_DELAY_S = 4.0
# An open transaction occupies a slot of its home, which others would have to wait for.
SLOTS = 12


class _SystemMaintenanceCase(TestCase):
    def check_all_served(self, seen: Observed) -> None:
        self.assertEqual([], seen.violations)
        failed = [(op.vm, op.problem, op.executed) for op in seen.operations if not op.acknowledged]
        self.assertEqual([], failed)


class SystemStopTest(_SystemMaintenanceCase):
    """Stop a VM with SIGTERM under load; the balancer notices after 1 s."""

    @trio_test
    async def test_stop_interrupts_nothing(self) -> None:
        """Guards against requests cut off by a stop, and against seats that stay held."""
        plans = [plan(name, RATE, 8) for name in (ORGANISATION, OTHER_ORGANISATION)]
        async with SmallCluster(slots=SLOTS) as cluster:
            seen = await observe(cluster, plans, self._stop)
            self.check_all_served(seen)
            self.assertIn("in-transaction", await refs(cluster))

    async def _stop(self, cluster: Cluster, balancer: VmBalancer) -> None:
        vm = cluster.vms[1]
        held = await self._role_locks_of(cluster, vm.name)
        self.assertGreater(held, 0)
        caller = await Caller.connect(vm)
        self.assertEqual(200, (await caller.begin()).status)
        cluster.terminate(vm.name)
        await trio.sleep(BALANCER_DELAY_S)
        balancer.remove(vm)
        await trio.sleep(AFTER_DRAIN_DELAY_S - BALANCER_DELAY_S)
        self.assertEqual(200, (await caller.add_in_transaction("in-transaction")).status)
        self.assertEqual(200, (await caller.commit()).status)
        self.assertEqual(0, await cluster.wait_exited(vm.name))
        # The lease would hold the seats for 10 s more.
        self.assertEqual(0, await self._role_locks_of(cluster, vm.name))

    async def _role_locks_of(self, cluster: Cluster, vm: str) -> int:
        holders = [msgspec.json.decode(value)["vm"] for value in await role_lock_holders(cluster)]
        return holders.count(vm)


class SystemLeavingTest(_SystemMaintenanceCase):
    """Mark databases as leaving in the configuration under load."""

    @trio_test
    async def test_leaving_replica(self) -> None:
        """Guards against statements that still go to a replica that is leaving."""
        async with SmallCluster() as cluster:
            replica = cluster.databases[1]
            await self._check_leaving(cluster, replica)

    @trio_test
    async def test_leaving_primary(self) -> None:
        """Guards against a hand-over that fails requests or leaves work on the old primary."""
        async with SmallCluster() as cluster:
            primary = cluster.databases[0]
            await self._check_leaving(cluster, primary)
            self.assertNotEqual(primary, await cluster.primary(primary.group))

    async def _check_leaving(self, cluster: Cluster, database: DatabaseProcess) -> None:
        accepted: list[float] = []
        leave = functools.partial(self._leave, database, accepted)
        plans = [plan(ORGANISATION, RATE, AFTER_LEAVING_S + IN_EFFECT_S + 3)]
        seen = await observe(cluster, plans, leave, after_s=AFTER_LEAVING_S)
        self.check_all_served(seen)
        began = await self._statement_times(database)
        self.assertTrue([moment for moment in began if moment <= accepted[0]])
        late = [moment - accepted[0] for moment in began if moment > accepted[0] + IN_EFFECT_S]
        self.assertEqual([], late)

    async def _leave(
        self, database: DatabaseProcess, accepted: list[float], cluster: Cluster, _: VmBalancer
    ) -> None:
        address = str(database.address)
        await edit(cluster, address, f"{address} leaving")
        accepted.append(time.monotonic())

    async def _statement_times(self, database: DatabaseProcess) -> list[float]:
        steps = await executions([database])
        return [step["began"] for step in steps if "records" in step["sql"]]
