"""Failure of a primary or a VM causes no consistency violation and only a short write gap."""

from __future__ import annotations

from support import TestCase, trio_test
from system_support import (
    FAILOVER_S,
    ORGANISATION,
    OTHER_ORGANISATION,
    Fault,
    SmallCluster,
    plan,
    run_observed_load,
)
from tanagerfront_lab.faults import freeze_primary, kill_primary, kill_vm

LOAD_S = 11.0
RATE = 15.0


class SystemFailoverTest(TestCase):
    """Check the history of two organisations, one of which sends no idempotency keys."""

    async def _check(self, fault: Fault) -> None:
        plans = [
            plan(ORGANISATION, RATE, LOAD_S),
            plan(OTHER_ORGANISATION, RATE, LOAD_S, idempotency_keys=False),
        ]
        async with SmallCluster() as cluster:
            result = await run_observed_load(cluster, plans, fault)
        self.assertEqual([], result.violations)
        self.assertLessEqual(result.write_gap_s, FAILOVER_S)
        # The gap also measures short if no write is acknowledged after the fault.
        last = max(op.ended for op in result.operations if op.kind == "write" and op.acknowledged)
        self.assertGreater(last, result.started_s + LOAD_S - 1)

    @trio_test
    async def test_killed_primary(self) -> None:
        """Guards against lost, duplicated or wrongly refused writes when the primary is killed."""
        await self._check(kill_primary)

    @trio_test
    async def test_frozen_primary_that_returns(self) -> None:
        """Guards against a replaced primary that acknowledges or serves unreplicated writes."""
        await self._check(freeze_primary)

    @trio_test
    async def test_killed_vm(self) -> None:
        """Guards against lost or repeated writes when their VM is killed before it answers."""
        await self._check(kill_vm)
