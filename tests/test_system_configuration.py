"""Accepted edits take effect on every VM in time, for open connections and without the service."""

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
    edit,
    executions,
    refs,
    set_service_faults,
    version_on,
    wait_until,
)
from tanagerfront_lab.deployments import caller_key, digest
from tanagerfront_lab.processes import Cluster, VmProcess

START_S = 10.0
UNAUTHORISED = 401


async def _withdraw_key(cluster: Cluster) -> float:
    """Withdraw the organisation's key and return the time of acceptance."""
    await edit(cluster, digest(caller_key(ORGANISATION)), digest("another-key"))
    return time.monotonic()


class _VersionWatch:
    """Follow the version that each VM reports within one start."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self.seen: dict[tuple[str, int], list[int]] = {}

    async def follow(self, vm: VmProcess) -> None:
        while True:
            process = self._cluster.pid(vm.name)
            version = await version_on(vm)
            if version is not None and process == self._cluster.pid(vm.name):
                self.seen.setdefault((vm.name, process), []).append(version)
            await trio.sleep(POLL_S)


class SystemKeyTest(TestCase):
    """Withdraw a key while its callers are connected."""

    @trio_test
    async def test_withdrawn_key_on_open_connections(self) -> None:
        """Guards against keys that go on working on connections or transactions opened before."""
        async with SmallCluster() as cluster:
            open_calls = [await Caller.connect(vm) for vm in cluster.vms]
            for number, caller in enumerate(open_calls):
                self.assertEqual(200, (await caller.add(f"before-{number}")).status)
            in_transaction = await Caller.connect(cluster.vms[0])
            self.assertEqual(200, (await in_transaction.begin()).status)
            self.assertEqual(200, (await in_transaction.add_in_transaction("uncommitted")).status)
            accepted = await _withdraw_key(cluster)
            await trio.sleep(IN_EFFECT_S)
            for caller in open_calls:
                self.assertEqual(UNAUTHORISED, (await caller.add("after")).status)
            self.assertEqual(UNAUTHORISED, (await in_transaction.commit()).status)
            await self._check_rolled_back(cluster, accepted)

    async def _check_rolled_back(self, cluster: Cluster, accepted: float) -> None:
        steps = await executions(cluster.databases)
        begun = {step["transaction"] for step in steps if "uncommitted" in step["params"]}
        ends = [s for s in steps if s["kind"] == "rollback" and s["transaction"] in begun]
        self.assertEqual(1, len(ends))
        self.assertLessEqual(ends[0]["ended"], accepted + IN_EFFECT_S)
        # A transaction that kept the write lock would hold up the others.
        other = await Caller.connect(cluster.vms[0], OTHER_ORGANISATION)
        self.assertEqual(200, (await other.add("other")).status)
        rows = await refs(cluster)
        self.assertLessEqual({"other", "before-0", "before-1", "before-2"}, rows)
        self.assertNotIn("uncommitted", rows)
        self.assertNotIn("after", rows)


class SystemEditTest(TestCase):
    """Make edits around an outage of the key-value service."""

    @trio_test
    async def test_edit_reaches_every_vm_and_stays(self) -> None:
        """Guards against VMs that miss an edit or return to an older one."""
        async with SmallCluster() as cluster, trio.open_nursery() as nursery:
            watch = _VersionWatch(cluster)
            for vm in cluster.vms:
                nursery.start_soon(watch.follow, vm)
            await self._check_in_effect(cluster, await self._edit(cluster, 201))
            # The service ends right after it accepted: the others get the edit from a peer only.
            version = await self._edit(cluster, 202)
            await set_service_faults(cluster, down=True)
            await self._check_in_effect(cluster, version)
            await self._restart_without_service(cluster, version)
            await set_service_faults(cluster, down=False)
            await self._check_in_effect(cluster, await self._edit(cluster, 203, vm=2))
            nursery.cancel_scope.cancel()
        self.assertEqual(len(cluster.vms) + 1, len(watch.seen))
        for start, versions in watch.seen.items():
            self.assertEqual(sorted(versions), versions, str(start))

    async def _edit(self, cluster: Cluster, rate: int, vm: int = 0) -> int:
        return await edit(cluster, f"rate = {rate - 1}\n", f"rate = {rate}\n", vm=vm)

    async def _check_in_effect(self, cluster: Cluster, version: int) -> None:
        async def everywhere() -> bool:
            found = [await version_on(vm) for vm in cluster.vms]
            return all(each is not None and each >= version for each in found)

        self.assertLessEqual(await wait_until(everywhere, IN_EFFECT_S), IN_EFFECT_S)

    async def _restart_without_service(self, cluster: Cluster, version: int) -> None:
        vm = cluster.vms[-1]
        cluster.kill(vm.name)
        await cluster.wait_exited(vm.name)
        cluster.restart(vm.name)

        async def answers() -> bool:
            return await version_on(vm) is not None

        self.assertLessEqual(await wait_until(answers, START_S), START_S)
        await self._check_in_effect(cluster, version)
