"""Accepted edits reach all VMs in time, also on open connections and in service outages."""

from __future__ import annotations

import time

import trio

from support import TestCase, trio_test
from system_support import (
    IN_EFFECT_S,
    ORGANISATION,
    OTHER_ORGANISATION,
    POLL_S,
    Caller,
    SmallCluster,
    active_version,
    committed_refs,
    edit_section,
    recorded_executions,
    set_service_faults,
    wait_until,
)
from tanagerfront_lab.deployments import caller_key, digest
from tanagerfront_lab.processes import Cluster, VmProcess

START_S = 10.0
UNAUTHORISED = 401


async def _revoke_key(cluster: Cluster) -> float:
    """Revoke the organisation's key and return the time at which the edit was accepted."""
    await edit_section(cluster, digest(caller_key(ORGANISATION)), digest("another-key"))
    return time.monotonic()


class _VersionWatch:
    """Record the configuration versions that each VM process reports."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self.versions: dict[tuple[str, int], list[int]] = {}

    async def poll(self, vm: VmProcess) -> None:
        while True:
            process = self._cluster.pid(vm.name)
            version = await active_version(vm)
            if version is not None and process == self._cluster.pid(vm.name):
                self.versions.setdefault((vm.name, process), []).append(version)
            await trio.sleep(POLL_S)


class SystemKeyTest(TestCase):
    """Revoke a key while its callers are connected."""

    @trio_test
    async def test_revoked_key_is_refused_on_open_connections(self) -> None:
        """Guards against revoked keys that stay valid on open connections or transactions."""
        async with SmallCluster() as cluster:
            callers = [await Caller.connect(vm) for vm in cluster.vms]
            for number, caller in enumerate(callers):
                self.assertEqual(200, (await caller.add(f"before-{number}")).status)
            in_transaction = await Caller.connect(cluster.vms[0])
            self.assertEqual(200, (await in_transaction.begin()).status)
            self.assertEqual(200, (await in_transaction.add_in_transaction("uncommitted")).status)
            accepted = await _revoke_key(cluster)
            await trio.sleep(IN_EFFECT_S)
            for caller in callers:
                self.assertEqual(UNAUTHORISED, (await caller.add("after")).status)
            self.assertEqual(UNAUTHORISED, (await in_transaction.commit()).status)
            await self._check_rolled_back(cluster, accepted)

    async def _check_rolled_back(self, cluster: Cluster, accepted: float) -> None:
        steps = await recorded_executions(cluster.databases)
        begun = {step["transaction"] for step in steps if "uncommitted" in step["params"]}
        ends = [s for s in steps if s["kind"] == "rollback" and s["transaction"] in begun]
        self.assertEqual(1, len(ends))
        self.assertLessEqual(ends[0]["ended"], accepted + IN_EFFECT_S)
        # A transaction that still held the write lock would block the others.
        other = await Caller.connect(cluster.vms[0], OTHER_ORGANISATION)
        self.assertEqual(200, (await other.add("other")).status)
        rows = await committed_refs(cluster)
        self.assertLessEqual({"other", "before-0", "before-1", "before-2"}, rows)
        self.assertNotIn("uncommitted", rows)
        self.assertNotIn("after", rows)


class SystemEditTest(TestCase):
    """Apply edits before and during an outage of the key-value service."""

    @trio_test
    async def test_edit_reaches_every_vm_and_is_not_reverted(self) -> None:
        """Guards against VMs that miss an edit or revert to an older version."""
        async with SmallCluster() as cluster, trio.open_nursery() as nursery:
            watch = _VersionWatch(cluster)
            for vm in cluster.vms:
                nursery.start_soon(watch.poll, vm)
            await self._check_in_effect(cluster, await self._edit(cluster, 201))
            # The service stops right after accepting, so other VMs get the edit only from a peer.
            version = await self._edit(cluster, 202)
            await set_service_faults(cluster, down=True)
            await self._check_in_effect(cluster, version)
            await self._restart_without_service(cluster, version)
            await set_service_faults(cluster, down=False)
            await self._check_in_effect(cluster, await self._edit(cluster, 203, vm=2))
            nursery.cancel_scope.cancel()
        self.assertEqual(len(cluster.vms) + 1, len(watch.versions))
        for start, versions in watch.versions.items():
            self.assertEqual(sorted(versions), versions, str(start))

    async def _edit(self, cluster: Cluster, rate: int, vm: int = 0) -> int:
        return await edit_section(cluster, f"rate = {rate - 1}\n", f"rate = {rate}\n", vm=vm)

    async def _check_in_effect(self, cluster: Cluster, version: int) -> None:
        async def everywhere() -> bool:
            found = [await active_version(vm) for vm in cluster.vms]
            return all(each is not None and each >= version for each in found)

        self.assertLessEqual(await wait_until(everywhere, IN_EFFECT_S), IN_EFFECT_S)

    async def _restart_without_service(self, cluster: Cluster, version: int) -> None:
        vm = cluster.vms[-1]
        cluster.kill(vm.name)
        await cluster.wait_exited(vm.name)
        cluster.restart(vm.name)

        async def answers() -> bool:
            return await active_version(vm) is not None

        self.assertLessEqual(await wait_until(answers, START_S), START_S)
        await self._check_in_effect(cluster, version)
