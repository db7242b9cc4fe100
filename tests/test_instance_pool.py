"""The pool of one instance: its limits, owners of connections, and what wakes those who wait."""

from __future__ import annotations

from collections.abc import Sequence

import trio
from hypothesis import given
from hypothesis import strategies as st

from front_fakes import FakeInstance, registration
from support import TestCase, trio_test
from tanagerfront.errors import ConnectionLostError, OverloadedError, TooManyConnectionsError
from tanagerfront.instance_pool import InstancePool, InstanceStatement, PoolLimits
from tanagerfront.session_model import Prepare, ResetSession, SetValue, Verbatim


def pool(instance: FakeInstance, open_limit: int = 2, kept: int = 2) -> InstancePool:
    return InstancePool(registration("i-1"), instance.open, PoolLimits(open_limit, kept))


class LimitTest(TestCase):
    # Guards against more connections than the VM's share, which the instance would reset.

    @trio_test(mock_clock=True)
    async def test_a_third_request_waits_for_a_release(self) -> None:
        instance = FakeInstance()
        tested = pool(instance)
        first = await tested.acquire("a", 0.0, 10.0)
        await tested.acquire("a", 0.0, 10.0)
        got: list[str] = []

        async def third() -> None:
            got.append((await tested.acquire("a", 0.0, 10.0)).organisation)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(third)
            await trio.sleep(1)
            self.assertEqual([], got)
            await tested.release(first)
        self.assertEqual(["a"], got)
        self.assertEqual(2, instance.most_open)

    @trio_test(mock_clock=True)
    async def test_an_idle_connection_of_another_organisation_is_replaced(self) -> None:
        instance = FakeInstance()
        tested = pool(instance, open_limit=1)
        await tested.release(await tested.acquire("a", 0.0, 10.0))
        taken = await tested.acquire("b", 0.0, 10.0)
        self.assertEqual(("b", 1, 1), (taken.organisation, instance.open_now, instance.most_open))

    @trio_test(mock_clock=True)
    async def test_a_request_is_refused_when_its_wait_ends(self) -> None:
        tested = pool(FakeInstance(), open_limit=1)
        await tested.acquire("a", 0.0, 10.0)
        with self.assertRaises(OverloadedError):
            await tested.acquire("a", 0.0, trio.current_time() + 0.3)
        self.assertEqual(0, tested.waiting)

    @trio_test(mock_clock=True)
    async def test_without_kept_connections_each_is_closed_after_its_use(self) -> None:
        instance = FakeInstance()
        tested = pool(instance, open_limit=1, kept=0)
        await tested.release(await tested.acquire("a", 0.0, 10.0))
        self.assertEqual(0, instance.open_now)

    @trio_test(mock_clock=True)
    async def test_idle_connections_above_the_kept_number_are_trimmed(self) -> None:
        # After power loss an instance counts them for 3 s more, so that restarted VMs find no room.
        instance = FakeInstance()
        tested = pool(instance, open_limit=3, kept=1)
        taken = [await tested.acquire("a", 0.0, 10.0) for _ in range(3)]
        for each in taken:
            await tested.release(each)
        await tested.trim()
        self.assertEqual(3, instance.open_now)
        await trio.sleep(1)
        await tested.trim()
        self.assertEqual(1, instance.open_now)


class FullInstanceTest(TestCase):
    # Guards against requests that wait at an instance which was full for a moment, although no
    # connection is in use whose release would wake them (klw-orders trouble-2, 0.529).

    @trio_test(mock_clock=True)
    async def test_waiters_open_connections_after_the_pause(self) -> None:
        instance = FakeInstance()
        tested = pool(instance)
        instance.at_connection_limit = True
        with self.assertRaises(TooManyConnectionsError):
            await tested.acquire("a", 0.0, trio.current_time() + 1)
        instance.at_connection_limit = False
        started = trio.current_time()
        async with trio.open_nursery() as nursery:
            for name in "abc":
                nursery.start_soon(self._use, tested, name)
        self.assertLess(trio.current_time() - started, 0.5)

    @staticmethod
    async def _use(tested: InstancePool, name: str) -> None:
        connection = await tested.acquire(name, 0.0, trio.current_time() + 0.45)
        await tested.release(connection)


class OrderTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_the_most_urgent_waiter_goes_first(self) -> None:
        # Guards against orders that wait behind browsing when connections are scarce.
        order = await self._order([("a", 9.0), ("a", 1.0), ("a", 5.0)], held_by="a")
        self.assertEqual([1.0, 5.0, 9.0], order)

    @trio_test(mock_clock=True)
    async def test_the_same_organisation_passes_others_that_are_a_little_more_urgent(self) -> None:
        # Guards against a new connection, 12 ms of a slot, for each change between organisations.
        order = await self._order([("b", 1.00), ("a", 1.02), ("b", 1.01)], held_by="a")
        self.assertEqual([1.02, 1.0, 1.01], order)

    async def _order(self, waiters: Sequence[tuple[str, float]], held_by: str) -> list[float]:
        tested = pool(FakeInstance(), open_limit=1)
        held = await tested.acquire(held_by, 0.0, 10.0)
        order: list[float] = []

        async def wait(name: str, urgency: float) -> None:
            connection = await tested.acquire(name, urgency, 10.0)
            order.append(urgency)
            await trio.sleep(0.01)
            await tested.release(connection)

        async with trio.open_nursery() as nursery:
            for name, urgency in waiters:
                nursery.start_soon(wait, name, urgency)
            await trio.sleep(0.1)
            await tested.release(held)
        return order


class CancelTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_what_a_cancelled_waiter_was_given_goes_to_the_next(self) -> None:
        # Guards against a place that is lost when a caller leaves at the moment of its turn.
        instance = FakeInstance()
        tested = pool(instance, open_limit=1)
        held = await tested.acquire("a", 0.0, 10.0)
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._use, tested)
                await trio.sleep(0.1)
                await tested.release(held)
                scope.cancel()
        taken = await tested.acquire("a", 0.0, trio.current_time() + 1)
        await tested.release(taken)
        self.assertEqual(1, tested.open_connections)

    @trio_test(mock_clock=True)
    async def test_a_waiter_may_give_up_while_a_connection_is_closed_for_it(self) -> None:
        # Guards against a caller whose connection ends without an answer, and a place that is lost
        # for good (hfva-harvest inc-6131, LOST 1).
        instance = FakeInstance()
        instance.close_s = 0.05
        tested = pool(instance, open_limit=1)
        held = await tested.acquire("a", 0.0, 10.0)
        outcomes: list[str] = []

        async def wait() -> None:
            try:
                connection = await tested.acquire("b", 0.0, trio.current_time() + 0.12)
            except OverloadedError:
                outcomes.append("refused")
            else:
                outcomes.append("served")
                await tested.release(connection)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait)
            await trio.sleep(0.1)
            await tested.release(held)
        self.assertEqual(1, len(outcomes))
        taken = await tested.acquire("c", 0.0, trio.current_time() + 1)
        await tested.release(taken)
        self.assertEqual(1, tested.open_connections)

    @staticmethod
    async def _use(tested: InstancePool) -> None:
        connection = await tested.acquire("a", 0.0, 10.0)
        try:
            await trio.sleep(1)
        finally:
            with trio.CancelScope(shield=True):
                await tested.release(connection)

    @trio_test(mock_clock=True)
    async def test_a_failed_opening_frees_its_place(self) -> None:
        instance = FakeInstance()
        instance.open_error = ConnectionLostError("refused", executed="no")
        tested = pool(instance, open_limit=1)
        for _ in range(3):
            with self.assertRaises(ConnectionLostError):
                await tested.acquire("a", 0.0, 10.0)
        self.assertEqual(0, tested.open_connections)


class SessionStateTest(TestCase):
    # Guards against a statement that runs with another caller's values or prepared statements.

    @trio_test(mock_clock=True)
    async def test_values_of_another_caller_are_reset(self) -> None:
        tested = pool(FakeInstance())
        connection = await tested.acquire("a", 0.0, 10.0)
        self.assertEqual([SetValue("x", "1")], _own(connection.value_statements({"x": "1"})))
        self.assertEqual([], _own(connection.value_statements({"x": "1"})))
        self.assertEqual(
            [ResetSession(), SetValue("y", "2")], _own(connection.value_statements({"y": "2"}))
        )

    @trio_test(mock_clock=True)
    async def test_a_reset_drops_prepared_statements(self) -> None:
        tested = pool(FakeInstance())
        connection = await tested.acquire("a", 0.0, 10.0)
        _own(connection.value_statements({"x": "1"}))
        self.assertEqual([Prepare("p1", True, "q")], _own(connection.prepare_statements(True, "q")))
        self.assertEqual([], _own(connection.prepare_statements(True, "q")))
        _own(connection.value_statements({}))
        self.assertEqual([Prepare("p2", True, "q")], _own(connection.prepare_statements(True, "q")))

    @trio_test(mock_clock=True)
    async def test_values_that_were_not_sent_are_not_taken_for_set(self) -> None:
        # Guards against a statement that runs with other values than its caller has set, after the
        # gate refused the one that would have set them (klw-orders-grown, PINNED 512).
        instance = FakeInstance()
        tested = InstancePool(
            registration("i-1"), instance.open, PoolLimits(9, 9, admission_control=True)
        )
        taken = []
        for _ in range(9):
            connection = await tested.acquire("a", 0.0, 10.0)
            # The admission of the opening ends with the first statement.
            await connection.run([InstanceStatement("-", ResetSession())])
            taken.append(connection)
        instance.work_s = 10.0
        read = InstanceStatement("q", Verbatim("READ 1"))
        async with trio.open_nursery() as nursery:
            for each in taken[:3]:
                nursery.start_soon(each.run, [read])
            await trio.sleep(0.01)
            refused = taken[8]
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
            connection = await pool(FakeInstance()).acquire("a", 0.0, 10.0)
            held: dict[str, str] = {}
            for values in callers:
                for statement in _own(connection.value_statements(values)):
                    match statement:
                        case ResetSession():
                            held = {}
                        case SetValue(name, value):
                            held[name] = value
                self.assertEqual(values, held)

        trio.run(main)


class ReuseTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_a_connection_that_the_instance_closed_while_idle_is_not_used(self) -> None:
        # Guards against a write that is in doubt because it was sent to a closed connection.
        instance = FakeInstance()
        tested = pool(instance)
        await tested.release(await tested.acquire("a", 0.0, 10.0))
        instance.connections[0].closed_by_instance = True
        self.assertIsNotNone(await tested.acquire("a", 0.0, 10.0))
        await tested.trim()
        self.assertEqual((2, 1, 1), (instance.opened, instance.open_now, tested.open_connections))

    @trio_test(mock_clock=True)
    async def test_a_connection_in_a_transaction_or_in_doubt_is_closed(self) -> None:
        # Guards against a statement inside another caller's transaction.
        instance = FakeInstance()
        tested = pool(instance)
        open_transaction = await tested.acquire("a", 0.0, 10.0)
        open_transaction.in_transaction = True
        await tested.release(open_transaction)
        in_doubt = await tested.acquire("a", 0.0, 10.0)
        instance.connections[-1].loses_connection = True
        with self.assertRaises(ConnectionLostError):
            await in_doubt.run([InstanceStatement("q", Verbatim("READ 1"))])
        await tested.release(in_doubt)
        self.assertEqual((0, 0), (tested.open_connections, instance.open_now))


def _own(statements: object) -> list[object]:
    return [each.statement for each in statements]  # type: ignore[attr-defined]
