"""Writes in progress at a primary that is replaced: what their callers are told, who waits."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from unittest import mock

import trio

from front_fakes import GROUP
from support import TestCase, trio_test
from tanagerfront.instance_directory import PrimaryRecord
from tanagerfront.session_model import FailureCode, RouteKind, boottime_s
from test_caller_session import Caller, Vm, start_vm


@contextlib.contextmanager
def boottime_of_test() -> Iterator[None]:
    """Let CLOCK_BOOTTIME run with the test's clock."""
    offset = boottime_s() - trio.current_time()
    with contextlib.ExitStack() as patches:
        for module in ("caller_session", "confirmed_state", "instance_directory"):
            target = f"tanagerfront.{module}.boottime_s"
            patches.enter_context(mock.patch(target, lambda: offset + trio.current_time()))
        yield


def record_failover(vm: Vm, *, instance: str = "p", moving: bool = True) -> None:
    """Apply the record of a failover; without `moving`, the one with the new primary."""
    progress = 1 if moving else 2
    vm.directory.set_primary_record(PrimaryRecord(GROUP, instance, 2, moving, 100 * progress))


class LateWriteTest(TestCase):
    async def _start_vm(self) -> Vm:
        patches = boottime_of_test()
        patches.__enter__()
        self.addCleanup(patches.__exit__, None, None, None)
        return await start_vm()

    async def _code_after_failover(
        self, vm: Vm, caller: Caller, text: str, *, answered_after_s: float, moving: bool = True
    ) -> FailureCode | None:
        """Run a statement that the old primary answers some time after the failover began."""
        codes: list[FailureCode | None] = []

        async def send() -> None:
            codes.append(await caller.code(text))

        vm.primary.work_s = 0.1 + answered_after_s
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await trio.sleep(0.1)
            record_failover(vm, instance="p" if moving else "r1", moving=moving)
        return codes[0]

    @trio_test(mock_clock=True)
    async def test_a_write_that_a_replaced_primary_may_have_committed_is_in_doubt(self) -> None:
        # Guards against a write that is acknowledged to its caller although the old primary
        # committed it after the promotion of another instance, so that it is lost.
        vm = await self._start_vm()
        caller = vm.session(RouteKind.PRIMARY)
        code = await self._code_after_failover(vm, caller, "WRITE 1 x", answered_after_s=0.7)
        self.assertEqual(FailureCode.IN_DOUBT, code)

    @trio_test(mock_clock=True)
    async def test_a_commit_that_a_replaced_primary_may_have_done_is_in_doubt(self) -> None:
        # Guards against the same loss for the commit of a transaction.
        vm = await self._start_vm()
        caller = vm.session(RouteKind.PRIMARY)
        await caller.send("BEGIN")
        await caller.send("WRITE 1 x")
        code = await self._code_after_failover(vm, caller, "COMMIT", answered_after_s=0.7)
        self.assertEqual(FailureCode.IN_DOUBT, code)

    @trio_test(mock_clock=True)
    async def test_a_write_is_in_doubt_once_the_new_primary_is_recorded(self) -> None:
        # Guards against the same loss at a VM that missed the beginning of the failover.
        vm = await self._start_vm()
        caller = vm.session(RouteKind.PRIMARY)
        code = await self._code_after_failover(
            vm, caller, "WRITE 1 x", answered_after_s=0.05, moving=False
        )
        self.assertEqual(FailureCode.IN_DOUBT, code)

    @trio_test(mock_clock=True)
    async def test_a_write_answered_before_the_vm_has_let_go_of_it_succeeds(self) -> None:
        # Guards against doubt about writes that a leaving primary ends before it steps down.
        vm = await self._start_vm()
        caller = vm.session(RouteKind.PRIMARY)
        code = await self._code_after_failover(vm, caller, "WRITE 1 x", answered_after_s=0.15)
        self.assertIsNone(code)

    @trio_test(mock_clock=True)
    async def test_a_write_is_in_doubt_after_the_confirmation_of_its_primary_has_ended(
        self,
    ) -> None:
        # Guards against the same loss at a VM that is cut off from the store and the other VMs: the
        # promoter waits until its confirmation has ended, not longer.
        vm = await self._start_vm()
        limits = vm.confirmed_state.limits
        caller = vm.session(RouteKind.PRIMARY)
        codes: list[FailureCode | None] = []

        async def send() -> None:
            codes.append(await caller.code("WRITE 1 x"))

        vm.primary.work_s = 0.9
        async with trio.open_nursery() as nursery:
            # The VM was confirmed one second ago.
            await trio.sleep(limits.primary_s - 1.2)
            nursery.start_soon(send)
        self.assertEqual([FailureCode.IN_DOUBT], codes)
