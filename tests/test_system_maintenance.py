"""VMs and databases are taken out of service without failing requests."""

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
    LoadResult,
    SmallCluster,
    committed_refs,
    edit_section,
    plan,
    recorded_executions,
    role_lock_holders,
    run_observed_load,
)
from tanagerfront_lab.faults import BALANCER_DELAY_S
from tanagerfront_lab.load import VmBalancer
from tanagerfront_lab.processes import Cluster, DatabaseProcess

RATE = 25.0
AFTER_LEAVING_S = 2.0
# Connections are accepted for 3 s after the signal; open requests and transactions can finish.
AFTER_DRAIN_DELAY_S = 4.0
# An open transaction occupies a slot of its home, so other requests would have to wait.
SLOTS = 12


class _SystemMaintenanceCase(TestCase):
    def check_all_served(self, result: LoadResult) -> None:
        self.assertEqual([], result.violations)
        failed = [
            (op.vm, op.problem, op.executed) for op in result.operations if not op.acknowledged
        ]
        self.assertEqual([], failed)


class SystemStopTest(_SystemMaintenanceCase):
    """Stop a VM with SIGTERM under load; the balancer notices after 1 s."""

    @trio_test
    async def test_stop_interrupts_no_request(self) -> None:
        """Guards against requests interrupted by a stop, and role locks that are not released."""
        plans = [plan(name, RATE, 8) for name in (ORGANISATION, OTHER_ORGANISATION)]
        async with SmallCluster(slots=SLOTS) as cluster:
            result = await run_observed_load(cluster, plans, self._stop)
            self.check_all_served(result)
            self.assertIn("in-transaction", await committed_refs(cluster))

    async def _stop(self, cluster: Cluster, balancer: VmBalancer) -> None:
        vm = cluster.vms[1]
        lock_count = await self._role_locks_of(cluster, vm.name)
        self.assertGreater(lock_count, 0)
        caller = await Caller.connect(vm)
        self.assertEqual(200, (await caller.begin()).status)
        cluster.terminate(vm.name)
        await trio.sleep(BALANCER_DELAY_S)
        balancer.remove(vm)
        await trio.sleep(AFTER_DRAIN_DELAY_S - BALANCER_DELAY_S)
        self.assertEqual(200, (await caller.add_in_transaction("in-transaction")).status)
        self.assertEqual(200, (await caller.commit()).status)
        self.assertEqual(0, await cluster.wait_exited(vm.name))
        # Without an explicit release, the lease would hold the role locks for another 10 s.
        self.assertEqual(0, await self._role_locks_of(cluster, vm.name))

    async def _role_locks_of(self, cluster: Cluster, vm: str) -> int:
        holders = [msgspec.json.decode(value)["vm"] for value in await role_lock_holders(cluster)]
        return holders.count(vm)


class SystemLeavingTest(_SystemMaintenanceCase):
    """Mark databases as leaving in the configuration under load."""

    @trio_test
    async def test_leaving_replica(self) -> None:
        """Guards against statements that are still sent to a leaving replica."""
        async with SmallCluster() as cluster:
            replica = cluster.databases[1]
            await self._check_leaving(cluster, replica)

    @trio_test
    async def test_leaving_primary(self) -> None:
        """Guards against a handover that fails requests or leaves statements on the old primary."""
        async with SmallCluster() as cluster:
            primary = cluster.databases[0]
            await self._check_leaving(cluster, primary)
            self.assertNotEqual(primary, await cluster.primary(primary.group))

    async def _check_leaving(self, cluster: Cluster, database: DatabaseProcess) -> None:
        accepted: list[float] = []
        leave = functools.partial(self._leave, database, accepted)
        plans = [plan(ORGANISATION, RATE, AFTER_LEAVING_S + IN_EFFECT_S + 3)]
        result = await run_observed_load(cluster, plans, leave, after_s=AFTER_LEAVING_S)
        self.check_all_served(result)
        starts = await self._statement_times(database)
        self.assertTrue([start for start in starts if start <= accepted[0]])
        late = [start - accepted[0] for start in starts if start > accepted[0] + IN_EFFECT_S]
        self.assertEqual([], late)

    async def _leave(
        self, database: DatabaseProcess, accepted: list[float], cluster: Cluster, _: VmBalancer
    ) -> None:
        address = str(database.address)
        await edit_section(cluster, address, f"{address} leaving")
        accepted.append(time.monotonic())

    async def _statement_times(self, database: DatabaseProcess) -> list[float]:
        steps = await recorded_executions([database])
        return [step["began"] for step in steps if "records" in step["sql"]]
