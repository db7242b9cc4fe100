"""An organisation's rate and burst limits apply to the whole fleet, not to each VM."""

from __future__ import annotations

import random
from collections.abc import Sequence

import trio

from support import TestCase, trio_test
from system_support import GROUP, SEED, SmallCluster, plan, recorded_executions
from tanagerfront_lab.checker import check_rate
from tanagerfront_lab.deployments import KUMASI
from tanagerfront_lab.history import Operation
from tanagerfront_lab.load import LoadPlan, Recorder, VmBalancer, run_load
from tanagerfront_lab.processes import Cluster, VmProcess

TENANT = next(each for each in KUMASI.organisations if each.name == "agents-3")
FLOOD_FACTOR = 5
FLOOD_S = 4.0
BELOW_LIMIT_S = 4.0
BELOW_LIMIT_SHARE = 0.7
# A part of a bucket starts empty, so the load begins when the parts hold some tokens.
FILL_S = 1.0
REFUSED = 429
# The load must reach the limit: below this share of the rate the test would prove nothing.
MIN_FLOOD_SHARE = 0.8


class SystemRateTest(TestCase):
    """Count the statements that the databases ran for one organisation."""

    @trio_test
    async def test_rate_on_one_vm_and_on_all(self) -> None:
        """Guards against a rate granted by each VM separately, and refusals within the rate."""
        async with SmallCluster() as cluster:
            await trio.sleep(FILL_S)
            below_limit = await self._load(cluster.vms, BELOW_LIMIT_SHARE, BELOW_LIMIT_S)
            self.assertEqual([], [op.problem for op in below_limit if not op.acknowledged])
            await self._load(cluster.vms[:1], FLOOD_FACTOR, FLOOD_S)
            await self._load(cluster.vms, FLOOD_FACTOR, FLOOD_S)
            times = await self._execution_times(cluster)
        self.assertEqual([], check_rate(times, TENANT.rate, TENANT.burst, TENANT.name))
        flooded = [start for start in times if start > times[-1] - 2 * FLOOD_S]
        self.assertGreater(len(flooded), MIN_FLOOD_SHARE * TENANT.rate * 2 * FLOOD_S)

    async def _load(
        self, vms: Sequence[VmProcess], factor: float, seconds: float
    ) -> Sequence[Operation]:
        recorder = Recorder()
        balancer = VmBalancer(vms, random.Random(SEED))
        load: LoadPlan = plan(TENANT.name, TENANT.rate * factor, seconds, idempotency_keys=False)
        await run_load([load], balancer, recorder, seed=SEED)
        await balancer.close()
        failure_statuses = {op.status for op in recorder.operations if not op.acknowledged}
        self.assertLessEqual(failure_statuses, {REFUSED})
        return recorder.operations

    async def _execution_times(self, cluster: Cluster) -> list[float]:
        """Return the start times of the routes' statements on all databases of the group."""
        self.assertEqual({GROUP}, {database.group for database in cluster.databases})
        steps = await recorded_executions(cluster.databases)
        return sorted(step["began"] for step in steps if "records" in step["sql"])
