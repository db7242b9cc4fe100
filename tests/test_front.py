"""The stop of a whole VM of the session interface, with callers on real sockets."""

from __future__ import annotations

import os
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from unittest import mock

import trio
from testtools import ExpectedException

from front_fakes import GROUP, FakeFleetStore, FakeInstance, RecordingLog, configuration
from front_fakes import registration as instance_registration
from support import TestCase, trio_test
from tanagerfront.entry_id import EntryId
from tanagerfront.fleet_store import ConfigurationChanged, InstanceChanged
from tanagerfront.front import Front, FrontAdapters, FrontTimes, VmIdentity
from tanagerfront.platform.caller_wire import CallerConnections
from tanagerfront.platform.relay_wire import RelayConnections
from tanagerfront.session_failover import InstanceReport, PromotionOutcome
from tanagerfront.session_model import GroupOptions, InstanceRole
from tanagerfront_standin.loopback import ReservedHost

GRACE_S = 3.0
# A release of the lease that takes the store this long.
SLOW_RELEASE_S = 0.4
CALLERS = 20


class SlowReleaseStore(FakeFleetStore):
    """A store that is slow to end a lease."""

    def __init__(self) -> None:
        super().__init__()
        self.releasing = trio.Event()

    async def release(self, lease: int) -> None:
        self.releasing.set()
        await trio.sleep(SLOW_RELEASE_S)


class UnansweredPromotions:
    """The platform's promotion call without an answer; notes when an order is withdrawn."""

    def __init__(self) -> None:
        self.ordered = trio.Event()
        self.withdrawn = trio.Event()

    async def promote(
        self, group: str, instance: str, holder: str, token: int, valid_until: float
    ) -> PromotionOutcome:
        self.ordered.set()
        try:
            await trio.sleep_forever()
        finally:
            self.withdrawn.set()


class Bench:
    """A running VM with one instance, and what its callers saw."""

    def __init__(self, host: ReservedHost) -> None:
        self.store = SlowReleaseStore()
        self.instance = FakeInstance("p")
        self.control = mock.AsyncMock()
        self.promotions = UnansweredPromotions()
        self.callers = host.next_address()
        self.answered = 0
        self.cut: list[str] = []
        options = {GROUP: GroupOptions(GROUP, 16, 0)}
        self.store.record(ConfigurationChanged(configuration(groups=options)))
        self.store.record(InstanceChanged(instance_registration("p", primary=True)))
        identity = VmIdentity(
            "a", "suame", host.name, self.callers, host.next_address(), 30001, 1.0
        )
        adapters = FrontAdapters(
            store=self.store,  # type: ignore[arg-type]
            opener=self.instance.open,  # type: ignore[arg-type]
            relay=mock.AsyncMock(),
            can_connect=mock.AsyncMock(return_value=True),
            instance_control=self.control,
            promotion_api=self.promotions,
            caller_server=CallerConnections,
            probe_path="/ready",
            load_times=lambda: None,
            relay_server=RelayConnections,
            changes_handler=mock.Mock(),
        )
        self.log = RecordingLog()
        self.front = Front(identity, FrontTimes(5.0, 7.0, GRACE_S), adapters, self.log)

    async def call(self) -> None:
        """Open a session and run one read, as a caller that connects anew for each."""
        try:
            stream = await trio.open_tcp_stream(*self.callers)
        except OSError:
            return
        async with stream:
            received = await _exchange(stream, b"CONNECT primary secret\r\n")
            if not received.startswith(b"READY"):
                return
            before = len(self.instance.received)
            answer = await _exchange(stream, b"QUERY q READ 1\r\n")
            if b"READY" in answer:
                self.answered += 1
            elif len(self.instance.received) > before:
                self.cut.append(f"answer {answer!r}")


async def _exchange(stream: trio.SocketStream, message: bytes) -> bytes:
    """Send a message and return the answer up to READY or the end of the stream."""
    answer = b""
    try:
        await stream.send_all(message)
        while b"READY" not in answer and (data := await stream.receive_some()):
            answer += data
    except trio.BrokenResourceError:
        pass
    return answer


@asynccontextmanager
async def running_bench() -> AsyncIterator[Bench]:
    with ReservedHost() as host:
        bench = Bench(host)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(bench.front.run)
            await trio.sleep(0.5)
            yield bench


class StopTest(TestCase):
    @trio_test
    async def test_no_request_is_cut_off_by_a_planned_stop_under_load(self) -> None:
        # Guards against a VM that takes requests to the end of its grace time and cuts off those
        # that an instance is still at work on. Callers go on connecting all the while.
        async with running_bench() as bench:
            bench.instance.work_s = 0.02
            async with trio.open_nursery() as nursery:
                stopped = trio.Event()

                async def use_vm() -> None:
                    while not stopped.is_set():
                        await bench.call()
                        await trio.sleep(0.01)

                for _ in range(CALLERS):
                    nursery.start_soon(use_vm)
                await trio.sleep(0.2)
                os.kill(os.getpid(), signal.SIGTERM)
                await bench.store.releasing.wait()
                await trio.sleep(SLOW_RELEASE_S + 0.2)
                stopped.set()
        self.assertGreater(bench.answered, CALLERS)
        self.assertEqual([], bench.cut)

    @trio_test
    async def test_nobody_connects_to_a_vm_that_only_has_its_lease_to_release(self) -> None:
        # Guards against callers that are accepted, and cut off, while the VM waits for the store.
        async with running_bench() as bench:
            os.kill(os.getpid(), signal.SIGTERM)
            await bench.store.releasing.wait()
            with ExpectedException(OSError):
                await trio.open_tcp_stream(*bench.callers)

    @trio_test
    async def test_an_order_is_withdrawn_before_the_lease_is_released(self) -> None:
        # Guards against an order that is delivered after that of the next promoter, which takes the
        # lock as soon as the lease has ended.
        async with running_bench() as bench:
            report = InstanceReport(InstanceRole.REPLICA, 1, EntryId(1, 0))
            for call in (bench.control.report, bench.control.pause, bench.control.step_down):
                call.return_value = report
            bench.store.record(InstanceChanged(instance_registration("r")))
            leaving = instance_registration("p", primary=True, draining=True)
            bench.store.record(InstanceChanged(leaving))
            await bench.promotions.ordered.wait()
            os.kill(os.getpid(), signal.SIGTERM)
            await bench.store.releasing.wait()
            self.assertTrue(bench.promotions.withdrawn.is_set())
