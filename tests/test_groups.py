"""Tests of the group monitor: terms, reachability and acknowledgement."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

import trio

from fake_databases import INSTANCE_NAMES, FakeGroup
from standin_group import StandinGroup, write
from support import TestCase, trio_test
from tanagerfront.databases import DatabaseSession
from tanagerfront.errors import OutcomeUnknownError, UnavailableError
from tanagerfront.groups import ControlSession, LiveGroupMonitor
from tanagerfront.http_client import Address
from tanagerfront_standin.link import TcpLink


class MonitorFixture:
    """A monitor on VM v1 that counts the connections it opens."""

    def __init__(self, databases: FakeGroup) -> None:
        self.databases = databases
        self.open_count = 0
        self._open_session = databases.open_session("v1")
        self.monitor = LiveGroupMonitor(databases.group, open_session=self._open_counted)

    async def _open_counted(self, address: Address, timeout_s: float) -> ControlSession:
        self.open_count += 1
        return await self._open_session(address, timeout_s)

    async def acknowledge(self, key: str, wait_s: float = 1.0) -> float:
        """Write on instance a and return the seconds until the write is acknowledged."""
        entry = self.databases.write(key, "a")
        started_at = trio.current_time()
        await self.monitor.wait_acknowledged(entry, started_at + wait_s)
        return trio.current_time() - started_at


@contextlib.asynccontextmanager
async def open_monitor(acknowledge: str = "replicated") -> AsyncIterator[MonitorFixture]:
    databases = FakeGroup(acknowledge=acknowledge)
    try:
        async with trio.open_nursery() as nursery:
            fixture = MonitorFixture(databases)
            nursery.start_soon(databases.run)
            await nursery.start(fixture.monitor.run)
            await trio.sleep(0.5)
            yield fixture
            nursery.cancel_scope.cancel()
    finally:
        databases.close()


class GroupSnapshotTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_primary_of_a_lower_term_is_not_used(self) -> None:
        # Guards against writes to a replaced primary: its status still says primary after another
        # instance was fenced at a higher term.
        async with open_monitor() as fixture:
            monitor, states = fixture.monitor, fixture.databases.states
            primary = monitor.snapshot.primary
            self.assertEqual("a", primary.instance.name if primary else None)
            states["b"].fence(2)
            await trio.sleep(0.1)
            self.assertEqual((2, None), (monitor.snapshot.term, monitor.snapshot.primary))
            with self.assertRaises(UnavailableError):
                await monitor.wait_primary(trio.current_time() + 1)
            states["b"].promote(2)
            snapshot = await monitor.wait_primary(trio.current_time() + 1)
            self.assertEqual("b", snapshot.primary.instance.name if snapshot.primary else None)
            monitor.observe_term(3)
            self.assertIsNone(monitor.snapshot.primary)

    @trio_test(mock_clock=True)
    async def test_requests_wait_while_the_primary_is_unreachable_or_hands_over(self) -> None:
        # Guards against requests to a primary that does not reply or is about to be replaced.
        async with open_monitor() as fixture:
            fixture.monitor.set_handing_over(True)
            with self.assertRaises(UnavailableError):
                await fixture.monitor.wait_primary(trio.current_time() + 1)
            fixture.monitor.set_handing_over(False)
            await fixture.monitor.wait_primary(trio.current_time() + 1)
            fixture.databases.network.block("v1", "a")
            await trio.sleep(1)
            with self.assertRaises(UnavailableError):
                await fixture.monitor.wait_primary(trio.current_time() + 1)
            fixture.databases.network.heal()
            await fixture.monitor.wait_primary(trio.current_time() + 2)

    @trio_test(mock_clock=True)
    async def test_changed_group_starts_and_stops_probes(self) -> None:
        # Guards against probes that continue after their instance was removed from the group, and
        # against an added instance without a probe.
        async with open_monitor() as fixture:
            group = fixture.databases.group
            fixture.monitor.update_group(group._replace(instances=group.instances[:2]))
            fixture.databases.states["c"].fence(9)
            await trio.sleep(1)
            self.assertEqual(1, fixture.monitor.snapshot.term)
            fixture.monitor.update_group(group)
            await trio.sleep(1)
            self.assertEqual(9, fixture.monitor.snapshot.term)
            self.assertEqual(4, fixture.open_count)

    @trio_test(mock_clock=True)
    async def test_reported_failures_reopen_the_connection_at_a_limited_rate(self) -> None:
        # Guards against a probe connection that hides a failed network path, and against a new
        # probe connection for each of many failed requests.
        async with open_monitor() as fixture:
            for _number in range(100):
                fixture.monitor.report_failure("a")
                await trio.sleep(0.001)
            self.assertEqual(len(INSTANCE_NAMES) + 1, fixture.open_count)

    @trio_test
    async def test_unresponsive_connection_is_replaced(self) -> None:
        # Guards against a probe that waits without limit on a connection that delivers no data.
        async with trio.open_nursery() as nursery:
            group = StandinGroup(["a"])
            await group.start(nursery)
            link = TcpLink(group.addresses["a"])
            address = await nursery.start(link.run)
            config = group.group()
            instance = config.instances[0]._replace(address=address)
            monitor = LiveGroupMonitor(config._replace(instances=(instance,)))
            await nursery.start(monitor.run)
            await monitor.wait_primary(trio.current_time() + 5)
            counts = await group.debug("a", "connections")
            self.assertEqual(1, counts["peak"])
            link.silence_existing()
            silent_at = trio.current_time()
            while monitor.snapshot.primary and monitor.snapshot.primary.reachable:
                await monitor.wait_change()
            await monitor.wait_primary(trio.current_time() + 5)
            self.assertLess(trio.current_time() - silent_at, 1.0)
            nursery.cancel_scope.cancel()


class AcknowledgementTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_write_stored_only_by_the_primary_is_not_acknowledged(self) -> None:
        # Guards against an acknowledged write that the next promotion discards: no replica has it.
        async with open_monitor() as fixture:
            await fixture.acknowledge("x")
            fixture.databases.network.block("a", "b", "c")
            with self.assertRaises(OutcomeUnknownError):
                await fixture.acknowledge("y")
            fixture.databases.network.heal()
            await fixture.acknowledge("z")

    @trio_test(mock_clock=True)
    async def test_discarded_write_is_reported_early(self) -> None:
        # Guards against a caller that waits until its deadline for an entry that a new primary has
        # discarded.
        async with open_monitor() as fixture:
            fixture.databases.network.block("a", "b", "c")
            entry = fixture.databases.write("x", "a")
            fixture.databases.states["b"].fence(2)
            fixture.databases.states["b"].promote(2)
            started_at = trio.current_time()
            with self.assertRaises(OutcomeUnknownError):
                await fixture.monitor.wait_acknowledged(entry, started_at + 30)
            self.assertLess(trio.current_time() - started_at, 1)

    @trio_test(mock_clock=True)
    async def test_term_check_is_sent_after_the_write(self) -> None:
        # Guards against an acknowledgement from terms that instances reported before the write.
        async with open_monitor("majority-term") as fixture:
            for number in range(10):
                await trio.sleep(0.013)
                self.assertLess(await fixture.acknowledge(f"x{number}"), 0.005)
            fixture.databases.network.block("v1", "b", "c")
            with self.assertRaises(OutcomeUnknownError):
                await fixture.acknowledge("y")

    @trio_test(mock_clock=True)
    async def test_concurrent_writes_share_a_term_check(self) -> None:
        # Guards against one term check per write, which would multiply the control traffic.
        async with open_monitor("majority-term") as fixture:
            status_calls = 0
            state = fixture.databases.states["b"]
            status = state.status

            def counted_status() -> object:
                nonlocal status_calls
                status_calls += 1
                return status()

            state.status = counted_status  # type: ignore[method-assign,assignment]
            async with trio.open_nursery() as nursery:
                for number in range(100):
                    nursery.start_soon(fixture.acknowledge, f"k{number}")
            self.assertLessEqual(status_calls, 2)

    @trio_test
    async def test_acknowledgement_over_real_connections(self) -> None:
        # Guards against a long poll that misses the replication of a write over real connections.
        async with trio.open_nursery() as nursery:
            group = StandinGroup()
            await group.start(nursery)
            monitor = LiveGroupMonitor(group.group())
            await nursery.start(monitor.run)
            await monitor.wait_primary(trio.current_time() + 5)
            session: DatabaseSession = await group.session("a")
            started_at = trio.current_time()
            for number in range(20):
                entry = (await write(session, f"k{number}")).reached
                await monitor.wait_acknowledged(entry, trio.current_time() + 2)
            # A missed notification would delay each write by the wait of a poll, 0.1 s or more.
            self.assertLess(trio.current_time() - started_at, 1.5)
            nursery.cancel_scope.cancel()
