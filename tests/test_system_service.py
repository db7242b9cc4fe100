"""Requests and configuration edits succeed while the key-value service fails."""

from __future__ import annotations

import uuid

import trio

from support import TestCase, trio_test
from system_support import (
    IN_EFFECT_S,
    ORGANISATION,
    OTHER_ORGANISATION,
    SmallCluster,
    active_version,
    admin_client,
    plan,
    run_observed_load,
    service_faults,
    set_service_faults,
    wait_until,
)
from tanagerfront_lab.deployments import TEAM
from tanagerfront_lab.load import VmBalancer
from tanagerfront_lab.processes import Cluster

# Longer than the 10 s lease, which the VMs then extend by agreement among themselves.
OUTAGE_S = 11.5
RATE = 15.0
# An edit writes three times; a fourth lost answer also affects a retry.
LOST_ANSWERS = 4


class SystemServiceTest(TestCase):
    """Stop the key-value service under load, or drop its answers to an edit."""

    @trio_test
    async def test_outage_longer_than_the_lease(self) -> None:
        """Guards against VMs that stop serving or disagree on role locks during an outage."""
        plans = [plan(name, RATE, OUTAGE_S + 2) for name in (ORGANISATION, OTHER_ORGANISATION)]
        async with SmallCluster() as cluster:
            result = await run_observed_load(cluster, plans, self._outage, after_s=1.0)
        self.assertEqual([], result.violations)
        failed = [(op.problem, op.executed) for op in result.operations if not op.acknowledged]
        self.assertEqual([], failed)

    async def _outage(self, cluster: Cluster, _balancer: VmBalancer) -> None:
        await set_service_faults(cluster, down=True)
        await trio.sleep(OUTAGE_S)
        await set_service_faults(cluster, down=False)

    @trio_test
    async def test_lost_answers_to_an_edit(self) -> None:
        """Guards against edits applied twice, or reported as failed after they took effect."""
        async with SmallCluster() as cluster:
            client = admin_client(cluster.vms[0])
            section = await client.section(TEAM)
            before = await client.history()
            text = section.text.replace("rate = 200\n", "rate = 210\n")
            edit_id = uuid.uuid4().hex
            await set_service_faults(cluster, lose_answers=LOST_ANSWERS)
            accepted = await client.apply(TEAM, text, section.version, edit_id)
            self.assertEqual(0, (await service_faults(cluster))["lose_answers"])
            await self._check_in_effect(cluster, accepted.version)
            edits = await client.history()
            self.assertEqual(len(before) + 1, len(edits))
            self.assertEqual([edit_id], [edit["id"] for edit in edits[len(before) :]])
            self.assertEqual(text, (await client.section(TEAM)).text)

    async def _check_in_effect(self, cluster: Cluster, version: int) -> None:
        async def everywhere() -> bool:
            return {await active_version(vm) for vm in cluster.vms} == {version}

        self.assertLessEqual(await wait_until(everywhere, IN_EFFECT_S), IN_EFFECT_S)
