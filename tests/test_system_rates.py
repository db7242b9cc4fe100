"""An organisation gets its rate and burst once, whether its load is on one VM or on all."""

from __future__ import annotations

import random
from collections.abc import Sequence

import trio

from support import TestCase, trio_test
from system_support import GROUP, SEED, SmallCluster, executions, plan
from tanagerfront_lab.checker import check_rate
from tanagerfront_lab.deployments import KUMASI
from tanagerfront_lab.history import Operation
from tanagerfront_lab.load import LoadPlan, Recorder, VmBalancer, run_load
from tanagerfront_lab.processes import Cluster, VmProcess

TENANT = next(each for each in KUMASI.organisations if each.name == "agents-3")
FLOOD_FACTOR = 5
FLOOD_S = 4.0
WITHIN_S = 4.0
WITHIN_SHARE = 0.7
# A part of a bucket starts empty, so the load begins when the parts hold some tokens.
FILL_S = 1.0
REFUSED = 429
# A flood has to reach the limit: less than this share of the rate would prove nothing.
LEAST_SHARE = 0.8


class SystemRateTest(TestCase):
    """Count what the databases ran for one organisation."""

    @trio_test
    async def test_rate_on_one_vm_and_on_all(self) -> None:
        """Guards against a rate that each VM grants anew, and against refusals within the rate."""
        async with SmallCluster() as cluster:
            await trio.sleep(FILL_S)
            within = await self._load(cluster.vms, WITHIN_SHARE, WITHIN_S)
            self.assertEqual([], [op.problem for op in within if not op.acknowledged])
            await self._load(cluster.vms[:1], FLOOD_FACTOR, FLOOD_S)
            await self._load(cluster.vms, FLOOD_FACTOR, FLOOD_S)
            times = await self._execution_times(cluster)
        self.assertEqual([], check_rate(times, TENANT.rate, TENANT.burst, TENANT.name))
        flooded = [moment for moment in times if moment > times[-1] - 2 * FLOOD_S]
        self.assertGreater(len(flooded), LEAST_SHARE * TENANT.rate * 2 * FLOOD_S)

    async def _load(
        self, vms: Sequence[VmProcess], factor: float, seconds: float
    ) -> Sequence[Operation]:
        recorder = Recorder()
        balancer = VmBalancer(vms, random.Random(SEED))
        load: LoadPlan = plan(TENANT.name, TENANT.rate * factor, seconds, idempotency_keys=False)
        await run_load([load], balancer, recorder, seed=SEED)
        await balancer.close()
        unserved = {op.status for op in recorder.operations if not op.acknowledged}
        self.assertLessEqual(unserved, {REFUSED})
        return recorder.operations

    async def _execution_times(self, cluster: Cluster) -> list[float]:
        """Return when the statements of the routes began, on all databases of the group."""
        self.assertEqual({GROUP}, {database.group for database in cluster.databases})
        steps = await executions(cluster.databases)
        return sorted(step["began"] for step in steps if "records" in step["sql"])
