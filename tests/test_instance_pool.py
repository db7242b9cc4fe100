"""The connection pool of one instance: limits, organisations, order of waiters, session state."""

from __future__ import annotations

from collections.abc import Sequence
from contextlib import suppress
from unittest.mock import PropertyMock, patch

import trio
from hypothesis import given
from hypothesis import strategies as st

from front_fakes import FakeConnection, FakeInstance, registration
from support import TestCase, trio_test
from tanagerfront.errors import ConnectionLostError, OverloadedError, TooManyConnectionsError
from tanagerfront.instance_pool import (
    INSTANCE_FULL_BACKOFF_S,
    InstancePool,
    InstanceStatement,
    PoolLimits,
)
from tanagerfront.session_model import (
    InstanceRegistration,
    Prepare,
    ResetSession,
    SetValue,
    Urgency,
    Verbatim,
)
from tanagerfront.slot_admission import UrgencyOrder
from tanagerfront.slot_queue import SlotRequest


def make_pool(instance: FakeInstance, open_limit: int = 2, kept_open: int = 2) -> InstancePool:
    return InstancePool(registration("i-1"), instance.open, PoolLimits(open_limit, kept_open))


class LimitTest(TestCase):
    # Guards against more connections than the VM's limit, which the instance would reset.

    @trio_test(mock_clock=True)
    async def test_a_third_request_waits_for_a_release(self) -> None:
        instance = FakeInstance()
        pool = make_pool(instance)
        first = await pool.acquire("a", 0.0, 10.0)
        await pool.acquire("a", 0.0, 10.0)
        served: list[str] = []

        async def third() -> None:
            served.append((await pool.acquire("a", 0.0, 10.0)).organisation)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(third)
            await trio.sleep(1)
            self.assertEqual([], served)
            await pool.release(first)
        self.assertEqual(["a"], served)
        self.assertEqual(2, instance.most_open)

    @trio_test(mock_clock=True)
    async def test_an_idle_connection_of_another_organisation_is_replaced(self) -> None:
        instance = FakeInstance()
        pool = make_pool(instance, open_limit=1)
        await pool.release(await pool.acquire("a", 0.0, 10.0))
        acquired = await pool.acquire("b", 0.0, 10.0)
        self.assertEqual(
            ("b", 1, 1), (acquired.organisation, instance.open_now, instance.most_open)
        )

    @trio_test(mock_clock=True)
    async def test_a_request_is_refused_at_its_deadline(self) -> None:
        pool = make_pool(FakeInstance(), open_limit=1)
        await pool.acquire("a", 0.0, 10.0)
        with self.assertRaises(OverloadedError):
            await pool.acquire("a", 0.0, trio.current_time() + 0.3)
        self.assertEqual(0, pool.waiting_requests)

    @trio_test(mock_clock=True)
    async def test_with_kept_open_zero_a_connection_is_closed_after_use(self) -> None:
        instance = FakeInstance()
        pool = make_pool(instance, open_limit=1, kept_open=0)
        await pool.release(await pool.acquire("a", 0.0, 10.0))
        self.assertEqual(0, instance.open_now)

    @trio_test(mock_clock=True)
    async def test_idle_connections_above_kept_open_are_trimmed(self) -> None:
        # Guards against restarted VMs that can't connect: after a power loss an instance counts the
        # former connections for another 3 s.
        instance = FakeInstance()
        pool = make_pool(instance, open_limit=3, kept_open=1)
        acquired = [await pool.acquire("a", 0.0, 10.0) for _ in range(3)]
        for connection in acquired:
            await pool.release(connection)
        await pool.trim()
        self.assertEqual(3, instance.open_now)
        await trio.sleep(1)
        await pool.trim()
        self.assertEqual(1, instance.open_now)


class FullInstanceTest(TestCase):
    # Guards against requests that wait until their deadline after the instance refused connections
    # for a moment: no connection is in use whose release would wake them (klw-orders trouble-2,
    # 0.529).

    @trio_test(mock_clock=True)
    async def test_waiters_open_connections_after_the_backoff(self) -> None:
        instance = FakeInstance()
        pool = make_pool(instance)
        instance.at_connection_limit = True
        with self.assertRaises(TooManyConnectionsError):
            await pool.acquire("a", 0.0, trio.current_time() + 1)
        instance.at_connection_limit = False
        started = trio.current_time()
        async with trio.open_nursery() as nursery:
            for name in "abc":
                nursery.start_soon(self._use, pool, name)
        self.assertLess(trio.current_time() - started, 0.5)

    @staticmethod
    async def _use(pool: InstancePool, name: str) -> None:
        connection = await pool.acquire(name, 0.0, trio.current_time() + 0.45)
        await pool.release(connection)

    @trio_test(mock_clock=True)
    async def test_a_pool_that_can_serve_asks_a_full_instance_ever_less_often(self) -> None:
        # Guards against hundreds of connections that an instance resets, while it counts those of
        # a VM that lost power (kitahoshi: 846 beyond the limit of 64).
        instance = FakeInstance()
        attempts: list[float] = []
        open_connection = instance.open

        async def count(used: InstanceRegistration, organisation: str) -> FakeConnection:
            attempts.append(trio.current_time())
            return await open_connection(used, organisation)

        pool = InstancePool(registration("i-1"), count, PoolLimits(8, 8))
        held = await pool.acquire("held", 0.0, 10.0)
        attempts.clear()
        instance.at_connection_limit = True
        until = trio.current_time() + 3.0
        while trio.current_time() < until:
            with suppress(TooManyConnectionsError, OverloadedError):
                await pool.acquire("other", 0.0, trio.current_time() + 0.05)
        self.assertLessEqual(len(attempts), 6)
        instance.at_connection_limit = False
        served = await pool.acquire("other", 0.0, trio.current_time() + 1.5)
        self.assertEqual("other", served.organisation)
        await pool.release(held)

    @trio_test(mock_clock=True)
    async def test_a_pool_without_connections_keeps_asking(self) -> None:
        # Guards against a restarted home that serves nothing for a second after there is room.
        instance = FakeInstance()
        pool = make_pool(instance)
        instance.at_connection_limit = True
        for _ in range(5):
            with self.assertRaises(TooManyConnectionsError):
                await pool.acquire("a", 0.0, trio.current_time() + 1.0)
            await trio.sleep(INSTANCE_FULL_BACKOFF_S)
        instance.at_connection_limit = False
        await pool.acquire("a", 0.0, trio.current_time() + 2 * INSTANCE_FULL_BACKOFF_S)


class PathTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_direct_connections_are_closed_when_the_vm_is_a_home_no_longer(self) -> None:
        # Guards against former homes that hold connections which the new ones need.
        instance = FakeInstance()
        pool = make_pool(instance, open_limit=8, kept_open=8)
        idle, busy = [await pool.acquire(name, 0.0, 10.0) for name in "ab"]
        await pool.release(idle)
        await pool.set_limits(PoolLimits(8, 8, relayed=True))
        self.assertEqual(1, instance.open_now)
        await pool.release(busy)
        self.assertEqual((0, 0), (instance.open_now, pool.open_connections))
        await pool.release(await pool.acquire("a", 0.0, 10.0))
        await pool.set_limits(PoolLimits(4, 4, relayed=True))
        self.assertEqual(1, instance.open_now)

    @trio_test(mock_clock=True)
    async def test_a_connection_that_was_being_opened_then_is_not_kept(self) -> None:
        instance = FakeInstance()
        pool = make_pool(instance, open_limit=8, kept_open=8)

        async def use() -> None:
            await pool.release(await pool.acquire("a", 0.0, 10.0))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(use)
            await trio.sleep(instance.open_s / 2)
            await pool.set_limits(PoolLimits(8, 8, relayed=True))
        self.assertEqual((0, 0), (instance.open_now, pool.open_connections))


class OrderTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_the_most_urgent_waiter_is_served_first(self) -> None:
        # Guards against orders that wait for browsing requests when connections are scarce.
        order = await self._order([("a", 9.0), ("a", 1.0), ("a", 5.0)], held_by="a")
        self.assertEqual([1.0, 5.0, 9.0], order)

    @trio_test(mock_clock=True)
    async def test_the_same_organisation_precedes_slightly_more_urgent_waiters(self) -> None:
        # Guards against opening a connection, which occupies a slot for 12 ms, whenever the next
        # request belongs to another organisation.
        order = await self._order([("b", 1.00), ("a", 1.02), ("b", 1.01)], held_by="a")
        self.assertEqual([1.02, 1.0, 1.01], order)

    @trio_test(mock_clock=True)
    async def test_waiters_are_served_by_priority_where_the_settings_ask_for_it(self) -> None:
        # Guards against urgent statements that wait for a connection behind a burst of reads.
        limits = PoolLimits(1, 1, slot_order=UrgencyOrder())
        pool = InstancePool(registration("i-1"), FakeInstance().open, limits)
        held = await pool.acquire("a", 0.0, 10.0)
        order: list[int] = []

        async def wait(priority: int) -> None:
            request = SlotRequest("a", Urgency(priority, 1.0, 2.0))
            connection = await pool.acquire("a", 0.0, 10.0, request)
            order.append(priority)
            await pool.release(connection)

        async with trio.open_nursery() as nursery:
            for priority in (2, 0, 1):
                nursery.start_soon(wait, priority)
                await trio.sleep(0.01)
            await pool.release(held)
        self.assertEqual([0, 1, 2], order)

    async def _order(self, waiters: Sequence[tuple[str, float]], held_by: str) -> list[float]:
        pool = make_pool(FakeInstance(), open_limit=1)
        held = await pool.acquire(held_by, 0.0, 10.0)
        order: list[float] = []

        async def wait(name: str, urgency: float) -> None:
            connection = await pool.acquire(name, urgency, 10.0)
            order.append(urgency)
            await trio.sleep(0.01)
            await pool.release(connection)

        async with trio.open_nursery() as nursery:
            for name, urgency in waiters:
                nursery.start_soon(wait, name, urgency)
            await trio.sleep(0.1)
            await pool.release(held)
        return order


class CancelTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_the_grant_of_a_cancelled_waiter_passes_to_the_next(self) -> None:
        # Guards against a connection that stays counted when a caller leaves as it is granted.
        instance = FakeInstance()
        pool = make_pool(instance, open_limit=1)
        held = await pool.acquire("a", 0.0, 10.0)
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._use, pool)
                await trio.sleep(0.1)
                await pool.release(held)
                scope.cancel()
        acquired = await pool.acquire("a", 0.0, trio.current_time() + 1)
        await pool.release(acquired)
        self.assertEqual(1, pool.open_connections)

    @trio_test(mock_clock=True)
    async def test_a_waiter_can_time_out_while_a_connection_is_closed_for_it(self) -> None:
        # Guards against a caller that gets no reply and a connection that stays counted for good,
        # when the deadline passes while another connection is being closed (hfva-harvest inc-6131,
        # LOST 1).
        instance = FakeInstance()
        instance.close_s = 0.05
        pool = make_pool(instance, open_limit=1)
        held = await pool.acquire("a", 0.0, 10.0)
        outcomes: list[str] = []

        async def wait() -> None:
            try:
                connection = await pool.acquire("b", 0.0, trio.current_time() + 0.12)
            except OverloadedError:
                outcomes.append("refused")
            else:
                outcomes.append("served")
                await pool.release(connection)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait)
            await trio.sleep(0.1)
            await pool.release(held)
        self.assertEqual(1, len(outcomes))
        acquired = await pool.acquire("c", 0.0, trio.current_time() + 1)
        await pool.release(acquired)
        self.assertEqual(1, pool.open_connections)

    @staticmethod
    async def _use(pool: InstancePool) -> None:
        connection = await pool.acquire("a", 0.0, 10.0)
        try:
            await trio.sleep(1)
        finally:
            with trio.CancelScope(shield=True):
                await pool.release(connection)

    @trio_test(mock_clock=True)
    async def test_a_failed_opening_releases_its_reservation(self) -> None:
        instance = FakeInstance()
        instance.open_error = ConnectionLostError("refused", executed="no")
        pool = make_pool(instance, open_limit=1)
        for _ in range(3):
            with self.assertRaises(ConnectionLostError):
                await pool.acquire("a", 0.0, 10.0)
        self.assertEqual(0, pool.open_connections)


class SessionStateTest(TestCase):
    # Guards against a statement that runs with another caller's values or prepared statements.

    @trio_test(mock_clock=True)
    async def test_values_of_another_caller_are_reset(self) -> None:
        pool = make_pool(FakeInstance())
        connection = await pool.acquire("a", 0.0, 10.0)
        self.assertEqual([SetValue("x", "1")], _own(connection.value_statements({"x": "1"})))
        self.assertEqual([], _own(connection.value_statements({"x": "1"})))
        self.assertEqual(
            [ResetSession(), SetValue("y", "2")], _own(connection.value_statements({"y": "2"}))
        )

    @trio_test(mock_clock=True)
    async def test_a_reset_drops_prepared_statements(self) -> None:
        pool = make_pool(FakeInstance())
        connection = await pool.acquire("a", 0.0, 10.0)
        _own(connection.value_statements({"x": "1"}))
        self.assertEqual([Prepare("p1", True, "q")], _own(connection.prepare_statements(True, "q")))
        self.assertEqual([], _own(connection.prepare_statements(True, "q")))
        _own(connection.value_statements({}))
        self.assertEqual([Prepare("p2", True, "q")], _own(connection.prepare_statements(True, "q")))

    @trio_test(mock_clock=True)
    async def test_values_that_were_not_sent_are_sent_again(self) -> None:
        # Guards against a statement that runs with other values than its caller has set, after
        # admission control refused the statements that set them (klw-orders-grown, PINNED 512).
        instance = FakeInstance()
        pool = InstancePool(
            registration("i-1"), instance.open, PoolLimits(9, 9, admission_control=True)
        )
        acquired = []
        for _ in range(9):
            connection = await pool.acquire("a", 0.0, 10.0)
            # The slot acquired for the opening is released after the first statement.
            await connection.run([InstanceStatement("-", ResetSession())])
            acquired.append(connection)
        instance.work_s = 10.0
        read = InstanceStatement("q", Verbatim("READ 1"))
        async with trio.open_nursery() as nursery:
            for connection in acquired[:3]:
                nursery.start_soon(connection.run, [read])
            await trio.sleep(0.01)
            refused = acquired[8]
            with self.assertRaises(OverloadedError):
                await refused.run([*refused.value_statements({"x": "1"}), read])
            statements = _own(refused.value_statements({"x": "1"}))
            nursery.cancel_scope.cancel()
        self.assertEqual([ResetSession(), SetValue("x", "1")], statements)

    @given(
        st.lists(
            st.dictionaries(st.sampled_from("xyz"), st.sampled_from("123"), max_size=3), max_size=8
        )
    )
    def test_the_instance_has_exactly_the_values_of_each_caller(
        self, callers: list[dict[str, str]]
    ) -> None:
        async def main() -> None:
            connection = await make_pool(FakeInstance()).acquire("a", 0.0, 10.0)
            instance_values: dict[str, str] = {}
            for values in callers:
                for statement in _own(connection.value_statements(values)):
                    match statement:
                        case ResetSession():
                            instance_values = {}
                        case SetValue(name, value):
                            instance_values[name] = value
                self.assertEqual(values, instance_values)

        trio.run(main)


class ReuseTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_a_connection_that_the_instance_closed_while_idle_is_not_used(self) -> None:
        # Guards against a write whose outcome is unknown because its connection was closed.
        instance = FakeInstance()
        pool = make_pool(instance)
        await pool.release(await pool.acquire("a", 0.0, 10.0))
        instance.connections[0].closed_by_instance = True
        self.assertIsNotNone(await pool.acquire("a", 0.0, 10.0))
        await pool.trim()
        self.assertEqual((2, 1, 1), (instance.opened, instance.open_now, pool.open_connections))

    @trio_test(mock_clock=True)
    async def test_an_acquisition_checks_only_the_connection_that_it_returns(self) -> None:
        # Guards against system calls for all idle connections of a home with each statement.
        pool = make_pool(FakeInstance(), open_limit=20, kept_open=20)
        acquired = [await pool.acquire(f"o{number}", 0.0, 10.0) for number in range(20)]
        for connection in acquired:
            await pool.release(connection)
        with patch.object(FakeConnection, "alive", PropertyMock(return_value=True)) as alive:
            await pool.acquire("o7", 0.0, 10.0)
        self.assertEqual(1, alive.call_count)

    @trio_test(mock_clock=True)
    async def test_all_connections_that_a_restarted_instance_closed_make_room(self) -> None:
        # Guards against requests that wait for connections which no longer exist.
        instance = FakeInstance()
        pool = make_pool(instance, open_limit=3, kept_open=3)
        for connection in [await pool.acquire(name, 0.0, 10.0) for name in "abb"]:
            await pool.release(connection)
        for each in instance.connections:
            each.closed_by_instance = True
        held = [await pool.acquire("b", 0.0, 10.0) for _ in range(3)]
        await pool.trim()
        self.assertEqual((6, 3), (instance.opened, instance.open_now))
        self.assertEqual({"b"}, {connection.organisation for connection in held})

    @trio_test(mock_clock=True)
    async def test_a_connection_in_a_transaction_or_after_a_lost_reply_is_closed(self) -> None:
        # Guards against a statement that runs in another caller's transaction.
        instance = FakeInstance()
        pool = make_pool(instance)
        open_transaction = await pool.acquire("a", 0.0, 10.0)
        open_transaction.in_transaction = True
        await pool.release(open_transaction)
        in_doubt = await pool.acquire("a", 0.0, 10.0)
        instance.connections[-1].loses_connection = True
        with self.assertRaises(ConnectionLostError):
            await in_doubt.run([InstanceStatement("q", Verbatim("READ 1"))])
        await pool.release(in_doubt)
        self.assertEqual((0, 0), (pool.open_connections, instance.open_now))


def _own(statements: object) -> list[object]:
    return [statement.statement for statement in statements]  # type: ignore[attr-defined]
