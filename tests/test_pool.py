"""The connection pool of the HTTP interface: its share, checks before reuse and deadlines."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from support import TestCase, trio_test
from tanagerfront.databases import ExecuteResult, Statement
from tanagerfront.entry_id import ZERO
from tanagerfront.errors import (
    ConnectionLostError,
    DatabaseError,
    DeadlineExceededError,
    OverloadedError,
    TooManyConnectionsError,
)
from tanagerfront.pool import ConnectionPool, PooledSession

EXECUTE_OPTIONS: dict[str, Any] = {
    "term": 1,
    "begin": True,
    "commit": True,
    "read_only": True,
    "timeout_s": 1,
}
STATEMENTS = (Statement("SELECT 2"),)


class FakeDatabase:
    """Counts sessions, including those being opened or closed."""

    def __init__(self) -> None:
        self.session_count = 0
        self.statement_counts: Counter[str] = Counter()
        self.unresponsive = False
        self.error: DatabaseError | None = None
        self.response_delay_s = 0.001
        self.on_change: Callable[[], None] = lambda: None

    async def open(self, _timeout_s: float) -> FakeSession:
        self.session_count += 1
        self.on_change()
        try:
            await trio.sleep(0.012)
        except trio.Cancelled:
            self.session_count -= 1
            raise
        return FakeSession(self)


class FakeSession:
    def __init__(self, database: FakeDatabase) -> None:
        self._database = database

    async def execute(
        self, statements: Sequence[Statement], *, timeout_s: float, **_options: Any
    ) -> ExecuteResult:
        self._database.statement_counts[statements[0].sql] += 1
        await trio.sleep(
            timeout_s if self._database.unresponsive else self._database.response_delay_s
        )
        if self._database.unresponsive:
            raise ConnectionLostError("no answer")
        if self._database.error is not None:
            raise self._database.error
        return ExecuteResult(1, ZERO, ())

    async def rollback(self, *, timeout_s: float) -> None:
        pass

    async def close(self) -> None:
        await trio.sleep(0.003)
        self._database.session_count -= 1


async def use_session(
    pool: ConnectionPool, hold_s: float, cancel_after_s: float, discard: bool
) -> None:
    with trio.move_on_after(cancel_after_s):
        session = await pool.acquire(trio.current_time() + 5)
        try:
            await trio.sleep(hold_s)
        finally:
            await (pool.discard(session) if discard else pool.release(session))


async def acquire_sessions(pool: ConnectionPool, count: int) -> list[PooledSession]:
    return [await pool.acquire(trio.current_time() + 1) for _ in range(count)]


class PoolTest(TestCase):
    times = st.sampled_from((0.0, 0.005, 0.012, 0.03, 0.2))

    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(st.tuples(times, times, times, st.booleans()), max_size=25),
        st.lists(st.tuples(times, st.integers(0, 4)), max_size=4),
    )
    def test_share_is_never_exceeded(
        self, users: list[tuple[float, float, float, bool]], shares: list[tuple[float, int]]
    ) -> None:
        # Guards against exceeding the share because sessions being opened or closed are not
        # counted, and against capacity that leaks when an acquire is cancelled.
        async def main() -> None:
            database = FakeDatabase()
            pool = ConnectionPool(database.open, 3)
            database.on_change = lambda: self.assertLessEqual(database.session_count, pool.share)
            async with trio.open_nursery() as nursery:
                for start, hold, cancel_after, discard in users:
                    await trio.sleep(start / 10)
                    nursery.start_soon(use_session, pool, hold, cancel_after, discard)
                for pause, share in shares:
                    await trio.sleep(pause)
                    await pool.set_share(share)
            await pool.set_share(2)
            self.assertEqual(database.session_count, pool.size)
            self.assertLessEqual(pool.size, 2)
            self.assertEqual(2, len(await acquire_sessions(pool, 2)))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    @trio_test(mock_clock=True)
    async def test_idle_session_is_checked_and_replaced(self) -> None:
        # Guards against a request that spends its whole deadline on an idle connection that
        # stopped responding.
        database = FakeDatabase()
        pool = ConnectionPool(database.open, 2)
        first, second = await acquire_sessions(pool, 2)
        await pool.release(first)
        await pool.release(second)
        await trio.sleep(6)
        database.unresponsive = True
        started = trio.current_time()
        fresh = await pool.acquire(started + 5)
        self.assertEqual(2, database.statement_counts["SELECT 1"])
        self.assertNotIn(fresh, (first, second))
        self.assertLess(trio.current_time() - started, 0.6)

    @trio_test(mock_clock=True)
    async def test_timeout_marks_other_idle_sessions_suspect(self) -> None:
        # Guards against a broken network path that fails one request per idle connection.
        database = FakeDatabase()
        pool = ConnectionPool(database.open, 2)
        broken, idle = await acquire_sessions(pool, 2)
        await pool.release(idle)
        database.unresponsive = True
        with self.assertRaises(ConnectionLostError):
            await broken.execute(STATEMENTS, **EXECUTE_OPTIONS)
        await pool.release(broken)
        self.assertEqual((1, 1), (pool.size, database.session_count))
        database.unresponsive = False
        self.assertIs(idle, await pool.acquire(trio.current_time() + 1))
        self.assertEqual(1, database.statement_counts["SELECT 1"])

    @trio_test(mock_clock=True)
    async def test_session_in_a_transaction_is_not_reused(self) -> None:
        # Guards against handing one caller's open transaction to the next caller.
        pool = ConnectionPool(FakeDatabase().open, 1)
        (session,) = await acquire_sessions(pool, 1)
        await session.execute(STATEMENTS, **{**EXECUTE_OPTIONS, "commit": False})
        await pool.release(session)
        self.assertEqual(0, pool.size)

    @trio_test(mock_clock=True)
    async def test_reduced_share_closes_idle_sessions_and_then_released_ones(self) -> None:
        # Guards against sessions that stay open after their share moved to another home.
        database = FakeDatabase()
        pool = ConnectionPool(database.open, 3)
        first, second, third = await acquire_sessions(pool, 3)
        await pool.release(first)
        await pool.set_share(1)
        self.assertEqual(2, database.session_count)
        await pool.release(second)
        await pool.release(third)
        self.assertEqual((1, 1, 1), (database.session_count, pool.size, pool.idle_count))

    @trio_test(mock_clock=True)
    async def test_wake_up_of_a_cancelled_waiter_is_passed_to_the_next(self) -> None:
        # Guards against a lost wake-up: a waiter is cancelled just as it is woken, and the next
        # one waits on although a session is free.
        pool = ConnectionPool(FakeDatabase().open, 1)
        (session,) = await acquire_sessions(pool, 1)
        async with trio.open_nursery() as nursery:
            scope = trio.CancelScope()

            async def cancelled() -> None:
                with scope:
                    await acquire_sessions(pool, 1)

            nursery.start_soon(cancelled)
            await trio.testing.wait_all_tasks_blocked()
            nursery.start_soon(acquire_sessions, pool, 1)
            await trio.testing.wait_all_tasks_blocked()
            scope.cancel()
            await pool.release(session)

    @trio_test(mock_clock=True)
    async def test_errors_that_make_a_connection_unusable_close_it(self) -> None:
        # Guards against reuse of a connection that the instance closes or whose response is
        # incomplete, and against statements sent after their deadline.
        database = FakeDatabase()
        pool = ConnectionPool(database.open, 1)
        errors = (TooManyConnectionsError(""), DatabaseError("", executed="unknown"))
        for database.error in errors:
            (session,) = await acquire_sessions(pool, 1)
            with self.assertRaises(DatabaseError):
                await session.execute(STATEMENTS, **{**EXECUTE_OPTIONS, "begin": False})
            await pool.release(session)
            self.assertEqual(0, pool.size)
        (session,) = await acquire_sessions(pool, 1)
        with self.assertRaises(DeadlineExceededError):
            await session.execute(STATEMENTS, **{**EXECUTE_OPTIONS, "timeout_s": 0})
        self.assertTrue(session.reusable)

    @trio_test(mock_clock=True)
    async def test_wait_ends_at_the_deadline(self) -> None:
        # Guards against callers that wait past their deadline while all sessions are in use.
        pool = ConnectionPool(FakeDatabase().open, 1)
        await acquire_sessions(pool, 1)
        started = trio.current_time()
        with self.assertRaises(OverloadedError) as caught:
            await pool.acquire(started + 0.5)
        self.assertEqual("no", caught.exception.executed)
        self.assertAlmostEqual(0.5, trio.current_time() - started, places=2)

    @trio_test(mock_clock=True)
    async def test_warm_sessions_are_opened_without_demand(self) -> None:
        # Guards against a first request delayed by opening a connection.
        database = FakeDatabase()
        pool = ConnectionPool(database.open, 4)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pool.run)
            await trio.sleep(20)
            self.assertEqual((2, 2), (pool.idle_count, database.session_count))
            started = trio.current_time()
            await pool.acquire(started + 1)
            self.assertEqual(started, trio.current_time())
            nursery.cancel_scope.cancel()

    @trio_test(mock_clock=True)
    async def test_pool_closed_during_a_check_closes_its_sessions(self) -> None:
        # Guards against a session that stays open because it returns from its check to a closed
        # pool, and against a closed pool that keeps opening warm sessions.
        database = FakeDatabase()
        database.response_delay_s = 0.02
        pool = ConnectionPool(database.open, 2)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pool.run)
            for _step in range(10_000):
                await trio.sleep(0.0005)
                if database.statement_counts:
                    break
            self.assertEqual(1, pool.idle_count)
            await pool.close()
        self.assertEqual((0, 0), (pool.size, database.session_count))
