"""Live VMs and evidence of service outages, on a mock clock with faults."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Sequence

import trio

from fakes import FakeHub, FakeKv, FakeService, Faults, ListedVm
from support import TestCase, trio_test
from tanagerfront.membership import Membership, MembershipSettings

# Time limit on the mock clock, which skips all waiting.
VIRTUAL_S = 10_000


class Fleet:
    """VMs that run only the membership and poll the service."""

    def __init__(self, nursery: trio.Nursery, vms: str, settings: MembershipSettings) -> None:
        self.faults = Faults()
        self.service = FakeService(self.faults)
        self.hub = FakeHub(self.faults, nursery)
        self.listed: Sequence[ListedVm] | None = None
        self.kvs = {vm: FakeKv(self.service, vm) for vm in vms}
        self.members = {vm: self._membership(vm, settings) for vm in vms}
        for vm in vms:
            nursery.start_soon(self.members[vm].run)
            nursery.start_soon(self._poll_service, vm)

    def _membership(self, vm: str, settings: MembershipSettings) -> Membership:
        def age_s() -> float:
            return self.kvs[vm].last_answer_age_s

        network = self.hub.network(vm)
        return Membership(
            network,
            self._fetch,
            failure_domain="d" + vm,
            incarnation="1",
            service_age_s=age_s,
            settings=settings,
        )

    async def _fetch(self) -> Sequence[ListedVm]:
        return self.hub.listed() if self.listed is None else self.listed

    async def _poll_service(self, vm: str) -> None:
        while True:
            with contextlib.suppress(Exception):
                await self.kvs[vm].get("x")
            await trio.sleep(2)

    def live(self, vm: str) -> str:
        return "".join(live_vm.id for live_vm in self.members[vm].live())


@contextlib.asynccontextmanager
async def fleet(vms: str, settings: MembershipSettings | None = None) -> AsyncIterator[Fleet]:
    async with trio.open_nursery() as nursery:
        yield Fleet(nursery, vms, settings or MembershipSettings())
        nursery.cancel_scope.cancel()


class MembershipTest(TestCase):
    @trio_test(mock_clock=True, timeout_s=VIRTUAL_S)
    async def test_live_vms_do_not_depend_on_list(self) -> None:
        # Guards against requests sent to a listed VM that does not answer, and against a VM that
        # answers but gets none because the list lacks it.
        async with fleet("abc") as vms:
            await trio.sleep(5)
            self.assertEqual("abc", vms.live("a"))
            vms.listed = vms.hub.listed()[:2]
            vms.faults.cut("a", "b")
            await trio.sleep(60)
            self.assertEqual("ac", vms.live("a"))
            vms.faults.heal()
            await trio.sleep(5)
            self.assertEqual("abc", vms.live("a"))

    @trio_test(mock_clock=True, timeout_s=VIRTUAL_S)
    async def test_unlisted_vm_is_found_by_its_heartbeat(self) -> None:
        # Guards against a new VM that stays unknown until the lagging list has it; its heartbeats
        # make it known earlier.
        async with fleet("abc") as vms:
            vms.listed = [entry for entry in vms.hub.listed() if entry.id == "a"]
            await trio.sleep(5)
            self.assertEqual("abc", vms.live("a"))

    @trio_test(mock_clock=True, timeout_s=VIRTUAL_S)
    async def test_outage_evidence_needs_a_majority(self) -> None:
        # Guards against an outage that is concluded from the replies of a minority.
        async with fleet("abcde") as vms:
            await trio.sleep(10)
            self.assertFalse(vms.members["a"].outage_evidence().unreachable)
            vms.service.set_down(True)
            await trio.sleep(10)
            evidence = vms.members["a"].outage_evidence()
            self.assertTrue(evidence.unreachable)
            self.assertGreater(evidence.at, trio.current_time() - 2)
            for vm in "cde":
                vms.faults.cut("a", vm)
            await trio.sleep(120)
            evidence = vms.members["a"].outage_evidence()
            self.assertLess(evidence.at, trio.current_time() - 100)
            self.assertLess(vms.members["a"].majority_answered_at, trio.current_time() - 100)

    @trio_test(mock_clock=True, timeout_s=VIRTUAL_S)
    async def test_partition_does_not_shrink_the_majority(self) -> None:
        # Guards against an isolated VM that forgets its peers and then is a majority on its own.
        async with fleet("abc") as vms:
            await trio.sleep(10)
            vms.faults.service_cuts.add("a")
            vms.faults.cut("a", "b")
            vms.faults.cut("a", "c")
            vms.listed = [entry for entry in vms.hub.listed() if entry.id == "a"]
            await trio.sleep(300)
            self.assertFalse(vms.members["a"].outage_evidence().unreachable)

    @trio_test(mock_clock=True, timeout_s=VIRTUAL_S)
    async def test_one_vm_that_reaches_service_refutes_outage(self) -> None:
        # Guards against extended leases while a VM behind a partial partition can claim role locks.
        async with fleet("abcde") as vms:
            await trio.sleep(10)
            vms.faults.service_cuts |= set("abcd")
            vms.faults.cut("a", "e")
            await trio.sleep(30)
            self.assertFalse(vms.members["a"].outage_evidence().unreachable)
            # The partition that `outage_evidence` does not detect: a majority cannot reach e.
            for vm in "bcd":
                vms.faults.cut(vm, "e")
            await trio.sleep(30)
            self.assertTrue(vms.members["a"].outage_evidence().unreachable)

    @trio_test(mock_clock=True, timeout_s=VIRTUAL_S)
    async def test_large_fleet_uses_a_sample(self) -> None:
        # Guards against heartbeats to all VMs of a large fleet, whose number grows with its size.
        async with fleet("abcdefghij", MembershipSettings(sample_size=3)) as vms:
            vms.members["a"].set_required_peers(["c"])
            await trio.sleep(5)
            self.assertIn("c", vms.live("a"))
            self.assertLessEqual(len(vms.live("a")), 5)
