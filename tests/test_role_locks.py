"""Leases and role locks on a mock clock: at most one valid holder at a time, also with faults."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any
from unittest import mock

import trio
import trio.testing
from hypothesis import given, settings

from fakes import FakeKv
from fleet import DOMAINS, PROFILE, STEPS, Fleet, Vm, apply_step, fleet
from support import TestCase, trio_test
from tanagerfront.role_locks import RoleLock

VIRTUAL_S = 10_000


async def assert_one_holder(running: Fleet, seconds: float) -> None:
    ends_at = trio.current_time() + seconds
    while trio.current_time() < ends_at:
        await trio.sleep(0.1)
        duplicates = {
            role_lock: vms for role_lock, vms in running.valid_holders().items() if len(vms) > 1
        }
        assert not duplicates, f"{duplicates} at {trio.current_time()}"
        for vm in running.vms.values():
            assert_validity_within_lease(running, vm)


def assert_validity_within_lease(running: Fleet, vm: Vm) -> None:
    """Fail if a VM considers its lease valid for longer than the service does."""
    until = vm.lease._renewed_until
    if trio.current_time() < until and not running.faults.paused(vm.id):
        assert running.service.leases[vm.lease.lease][1] >= until, vm.id


async def run_with_faults(steps: list[tuple[str, set[str], float]]) -> None:
    async with fleet() as running:
        await assert_one_holder(running, 15)
        assert len(running.valid_holders()) == 3
        for action, vms, seconds in steps:
            apply_step(running, action, vms)
            await assert_one_holder(running, seconds)
        # After all faults have ended, all role locks are held again.
        apply_step(running, "up", set())
        apply_step(running, "heal", set())
        apply_step(running, "resume", set("abcde"))
        await assert_one_holder(running, 45)
        assert len(running.valid_holders()) == 3, running.valid_holders()


class RoleLocksTest(TestCase):
    @given(STEPS)
    @settings(PROFILE)
    def test_no_role_lock_is_held_twice(self, steps: list[tuple[str, set[str], float]]) -> None:
        # Guards against two VMs that use one role lock at the same time, and against a lock that
        # stays free after an outage.
        trio.run(run_with_faults, steps, clock=trio.testing.MockClock(autojump_threshold=0))

    @trio_test(mock_clock=True, timeout_s=VIRTUAL_S)
    async def test_lease_stays_valid_during_service_outage(self) -> None:
        # Guards against an outage of the service that ends the validity of all leases, and so stops
        # the whole fleet.
        async with fleet() as running:
            await trio.sleep(15)
            before = running.valid_holders()
            running.service.set_down(True)
            for _ in range(100):
                await trio.sleep(1)
                self.assertEqual(before, running.valid_holders())
                self.assertTrue(all(vm.lease.may_serve_keyed() for vm in running.vms.values()))
            running.service.set_down(False)
            await trio.sleep(30)
            self.assertEqual(before, running.valid_holders())

    @trio_test(mock_clock=True, timeout_s=VIRTUAL_S)
    async def test_isolated_vm_stops_serving_and_is_replaced(self) -> None:
        # Guards against a VM that keeps serving while it reaches neither the service nor a peer,
        # and against a role lock that no other VM claims after that.
        async with fleet() as running:
            await trio.sleep(15)
            [victim] = running.valid_holders()[("home", "g", 0)]
            apply_step(running, "isolate", {victim})
            await trio.sleep(3.5)
            self.assertFalse(running.vms[victim].lease.may_serve_keyed())
            await trio.sleep(16)
            holders = running.valid_holders()
            self.assertEqual(3, len(holders))
            self.assertNotIn([victim], holders.values())

    @trio_test(mock_clock=True, timeout_s=VIRTUAL_S)
    async def test_role_locks_are_spread_over_failure_domains(self) -> None:
        # Guards against role locks that stay in the failure domains whose VMs started first.
        async with fleet("ab") as running:
            for vm in running.vms.values():
                vm.role_locks.set_lock_counts({("home", "g"): 3})
            await trio.sleep(15)
            running.start("cde")
            for vm in running.vms.values():
                vm.role_locks.set_lock_counts({("home", "g"): 3})
            await trio.sleep(60)
            holders = running.vms["a"].role_locks.holders("home", "g")
            self.assertEqual({"d1", "d2", "d3"}, {DOMAINS[vm] for vm in holders.values()})
            # No role lock moves while the fleet does not change.
            await trio.sleep(60)
            self.assertEqual(holders, running.vms["a"].role_locks.holders("home", "g"))

    @trio_test(mock_clock=True, timeout_s=VIRTUAL_S)
    async def test_claim_with_lost_answer_is_used(self) -> None:
        # Guards against a role lock whose holder does not use it, because the answer to its claim
        # was lost and no watch event came.
        async with fleet("abc") as running:
            put_if = FakeKv.put_if

            async def lose_answer(kv: FakeKv, *args: Any, **kwargs: Any) -> bool:
                running.faults.lost_replies[kv._vm] = 1
                return await put_if(kv, *args, **kwargs)

            async def watch_silently(kv: FakeKv, prefix: str, revision: int) -> AsyncIterator[Any]:
                await trio.sleep_forever()
                yield

            patches = mock.patch.multiple(FakeKv, put_if=lose_answer, watch=watch_silently)
            with patches:
                await trio.sleep(20)
            self.assertEqual(3, len(running.valid_holders()))

    @trio_test(mock_clock=True, timeout_s=VIRTUAL_S)
    async def test_draining_vm_hands_over_its_role_locks(self) -> None:
        # Guards against a draining VM that keeps its role locks until its lease expires, or claims
        # others.
        async with fleet() as running:
            await trio.sleep(15)
            [draining_vm] = running.valid_holders()[("home", "g", 0)]
            running.vms[draining_vm].membership.set_draining()
            await running.vms[draining_vm].role_locks.release_all()
            await trio.sleep(4)
            holders = running.valid_holders()
            self.assertEqual(3, len(holders))
            self.assertNotIn([draining_vm], holders.values())

    @trio_test(mock_clock=True, timeout_s=VIRTUAL_S)
    async def test_role_lock_claimed_across_a_pause_is_not_used_at_once(self) -> None:
        # Guards against two holders after a claim that was in flight while its VM was paused: the
        # previous holder still extends its lease on evidence of an outage.
        async with fleet() as running:
            await trio.sleep(15)
            role_lock = RoleLock("home", "g", 0)
            [holder] = running.valid_holders()[role_lock]
            claimant = running.vms[min(set("abcde") - {holder})]
            running.faults.service_cuts = set("abcde") - {claimant.id}
            await trio.sleep(2.5)
            running.faults.pause(claimant.id)
            async with trio.open_nursery() as nursery:
                # The claim starts during the pause and reaches the service only after it.
                nursery.start_soon(claimant.role_locks._claim, role_lock)
                while role_lock.key in running.service.values:
                    await trio.sleep(0.05)
                    running.service.expire()
                self.assertIn(claimant.lease.lease, running.service.leases)
                self.assertIn(holder, running.valid_holders()[role_lock])
                running.faults.resume(claimant.id)
                await assert_one_holder(running, 20)

    @trio_test(mock_clock=True, timeout_s=VIRTUAL_S)
    async def test_reconnected_vm_waits_before_it_claims(self) -> None:
        # Guards against a claim while the holder still extends its lease on evidence of an outage.
        async with fleet() as running:
            await trio.sleep(15)
            [holder] = running.valid_holders()[("home", "g", 0)]
            running.faults.service_cuts = set("abcde")
            await trio.sleep(20)
            self.assertIn(holder, running.valid_holders()[("home", "g", 0)])
            claimant = running.vms[min(set("abcde") - {holder})]
            previous_lease = claimant.lease.lease
            running.faults.service_cuts = set("abcde") - {claimant.id}
            for _ in range(500):
                if claimant.lease.lease not in (0, previous_lease):
                    break
                await trio.sleep(0.01)
            self.assertNotIn(claimant.lease.lease, (0, previous_lease))
            await claimant.role_locks._claim(RoleLock("home", "g", 0))
            await assert_one_holder(running, 40)
            self.assertNotIn([holder], running.valid_holders().values())

    @trio_test(mock_clock=True, timeout_s=VIRTUAL_S)
    async def test_expired_lease_is_not_extended(self) -> None:
        # Guards against evidence that revives an expired lease, whose role locks other VMs may have
        # claimed meanwhile.
        async with fleet() as running:
            await trio.sleep(15)
            [holder] = running.valid_holders()[("home", "g", 0)]
            running.faults.service_cuts = set("abcde")
            for vm in set("abcde") - {holder}:
                running.faults.cut(holder, vm)
            await trio.sleep(20)
            running.faults.peer_cuts.clear()
            await trio.sleep(10)
            self.assertTrue(running.vms[holder].membership.outage_evidence().unreachable)
            self.assertFalse(running.vms[holder].lease.valid)

    @trio_test(mock_clock=True, timeout_s=VIRTUAL_S)
    async def test_pause_makes_contact_unstable(self) -> None:
        # Guards against a claim right after a pause that is too short to show as a gap between the
        # service's answers.
        async with fleet() as running:
            await trio.sleep(20)
            lease = running.vms["a"].lease
            self.assertTrue(lease.contact_stable)
            running.faults.pause("a")
            await trio.sleep(1.8)
            running.faults.resume("a")
            self.assertFalse(lease.contact_stable)

    @trio_test(mock_clock=True, timeout_s=VIRTUAL_S)
    async def test_slow_service_does_not_lengthen_validity(self) -> None:
        # Guards against a lease that is counted from the arrival of the answer to its renewal
        # instead of the sending of the call.
        async with fleet("abc") as running:
            await trio.sleep(15)
            with mock.patch("fakes.KV_LATENCY_S", 1.5):
                await assert_one_holder(running, 20)
