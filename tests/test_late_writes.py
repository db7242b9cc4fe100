"""Writes in progress at a primary that is replaced: what their callers are told, who waits."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from unittest import mock

import msgspec
import trio
from hypothesis import given
from hypothesis import strategies as st

from front_fakes import GROUP
from support import TestCase, trio_test
from tanagerfront.fleet_store import PrimaryRecordChanged
from tanagerfront.instance_directory import PrimaryRecord
from tanagerfront.primary_writes import ANSWER_LIMIT_S, PrimaryWrite, PrimaryWrites
from tanagerfront.session_model import FailureCode, RouteKind, boottime_s
from tanagerfront.session_peer_messages import Heartbeat, decode_datagram, encode_datagram
from test_caller_session import Caller, Vm, start_vm
from test_fleet_sync import SyncedVm


@contextlib.contextmanager
def boottime_of_test(*modules: str) -> Iterator[float]:
    """Let CLOCK_BOOTTIME run with the test's clock in some modules; return its offset."""
    offset = boottime_s() - trio.current_time()
    with contextlib.ExitStack() as patches:
        for module in modules:
            target = f"tanagerfront.{module}.boottime_s"
            patches.enter_context(mock.patch(target, lambda: offset + trio.current_time()))
        yield offset


def record_failover(vm: Vm, *, instance: str = "p", moving: bool = True) -> None:
    """Apply the record of a failover; without `moving`, the one with the new primary."""
    progress = 1 if moving else 2
    vm.directory.set_primary_record(PrimaryRecord(GROUP, instance, 2, moving, 100 * progress))


class LateWriteTest(TestCase):
    async def _start_vm(self) -> Vm:
        patches = boottime_of_test("caller_session", "confirmed_state", "instance_directory")
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
    async def test_a_write_is_in_doubt_if_its_primary_was_replaced_and_promoted_again(
        self,
    ) -> None:
        # Guards against the same loss at a VM that missed the time of another primary.
        vm = await self._start_vm()
        record_failover(vm, instance="p", moving=False)
        write = vm.group.writes.begin()
        again = PrimaryRecord(GROUP, "p", 4, False, 300)
        self.assertTrue(vm.directory.set_primary_record(again))
        self.assertTrue(write.sent_before_failover)
        other = vm.group.writes.begin()
        # A record that was written again after the store had lost it replaces nothing.
        self.assertTrue(vm.directory.set_primary_record(again._replace(revision=400)))
        self.assertFalse(other.sent_before_failover)

    @trio_test(mock_clock=True)
    async def test_a_write_in_a_read_only_transaction_needs_a_current_primary(self) -> None:
        # Guards against the same loss for a write in a transaction that began as read-only.
        vm = await self._start_vm()
        caller = vm.session(RouteKind.PRIMARY)
        await caller.send("BEGIN READ")
        await caller.send("READ 1")
        record_failover(vm)
        self.assertEqual(FailureCode.ABORTED, await caller.code("WRITE 1 x"))
        self.assertNotIn("WRITE 1 x", vm.primary.caller_statements)

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


async def begin_failover(synced_vm: SyncedVm) -> int:
    """Let the VM read the record of a failover from the store; return its revision."""
    record = PrimaryRecord(GROUP, "p", 2, True, 0)
    revision = synced_vm.store.record(PrimaryRecordChanged(record))
    await synced_vm.sync._check()
    return revision


class AcknowledgementTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_a_failover_is_acknowledged_when_no_late_success_can_be_passed_on(self) -> None:
        # Guards against a promotion while a VM would still pass on what the old primary commits.
        synced_vm = SyncedVm()
        with boottime_of_test("fleet_sync", "instance_directory") as offset:
            await synced_vm.sync.apply((await synced_vm.store.load()).changes)
            group = synced_vm.directory.group(GROUP)
            answered, silent = group.writes.begin(), group.writes.begin()
            revision = await begin_failover(synced_vm)
            group.writes.end(answered)
            self.assertEqual(revision, synced_vm.sync.seen_revision)
            self.assertGreater(revision, synced_vm.sync.acknowledged_revision)
            await trio.sleep(ANSWER_LIMIT_S + 0.01)
            self.assertEqual(revision, synced_vm.sync.acknowledged_revision)
            self.assertLess(silent.valid_until, offset + trio.current_time())

    @trio_test(mock_clock=True)
    async def test_writes_at_an_unreachable_primary_do_not_delay_its_failover(self) -> None:
        # Guards against a longer failover because writes at a lost primary are never answered.
        synced_vm = SyncedVm()
        await synced_vm.sync.apply((await synced_vm.store.load()).changes)
        group = synced_vm.directory.group(GROUP)
        group.instances["p"].unreachable_since = boottime_s()
        group.writes.begin()
        revision = await begin_failover(synced_vm)
        self.assertEqual(revision, synced_vm.sync.acknowledged_revision)

    @trio_test(mock_clock=True)
    async def test_a_record_that_a_vm_refuses_to_apply_is_not_acknowledged(self) -> None:
        # Guards against a VM that goes on with its newer record while a failover that a restored
        # store began from an older one is thought to be known to it.
        synced_vm = SyncedVm()
        await synced_vm.sync.apply((await synced_vm.store.load()).changes)
        synced_vm.directory.set_primary_record(PrimaryRecord(GROUP, "p", 7, False, 50))
        record = PrimaryRecord(GROUP, "r", 6, True, 0)
        synced_vm.store.revision = 100
        revision = synced_vm.store.record(PrimaryRecordChanged(record))
        await synced_vm.sync._check()
        self.assertEqual(revision, synced_vm.sync.seen_revision)
        self.assertGreater(revision, synced_vm.sync.acknowledged_revision)
        self.assertGreater(revision, synced_vm.sync.applied_revision)

    @trio_test(mock_clock=True)
    async def test_the_end_of_the_last_write_is_reported_at_once(self) -> None:
        # Guards against a failover that waits for the next regular heartbeat.
        synced_vm = SyncedVm()
        reported: list[int] = []
        synced_vm.sync.on_writes_ended = lambda: reported.append(
            synced_vm.sync.acknowledged_revision
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(synced_vm.sync.run)
            await trio.sleep(1)
            group = synced_vm.directory.group(GROUP)
            write = group.writes.begin()
            record = PrimaryRecord(GROUP, "p", 2, True, 0)
            revision = synced_vm.store.record(PrimaryRecordChanged(record))
            await trio.sleep(0.1)
            self.assertEqual([], reported)
            group.writes.end(write)
            await trio.sleep(0.02)
            self.assertEqual([revision], reported)
            nursery.cancel_scope.cancel()

    def test_heartbeats_of_older_builds_acknowledge_what_they_have_seen(self) -> None:
        # Guards against a failover that waits for a VM of an older build until its lease ends.
        new = Heartbeat("b", 1.0, 7, [], [], {}, acknowledged_revision=5)
        fields = msgspec.msgpack.decode(encode_datagram(new))
        for sent, acknowledged in ((fields, 5), (fields[:-1], 7)):
            received = decode_datagram(msgspec.msgpack.encode(sent))
            assert isinstance(received, Heartbeat)
            self.assertEqual(acknowledged, received.acknowledged)

    @given(
        st.lists(
            st.sampled_from(["begin", "end", "move", "record", "wait"]), min_size=1, max_size=30
        )
    )
    def test_nothing_that_was_acknowledged_becomes_valid_again(self, steps: list[str]) -> None:
        # Guards against a success that is passed on after the VM has acknowledged the failover.
        writes, now = PrimaryWrites(), 0.0
        pending: list[PrimaryWrite] = []
        for step in steps:
            now += 0.1 if step == "wait" else 0.01
            match step:
                case "begin":
                    pending.append(writes.begin())
                case "end" if pending:
                    writes.end(pending.pop(0))
                case "move":
                    writes.limit(now + ANSWER_LIMIT_S)
                case "record":
                    writes.limit(now)
            before_failover = [write for write in pending if write.sent_before_failover]
            self.assertEqual(
                all(now >= write.valid_until for write in before_failover), writes.settled(now)
            )
