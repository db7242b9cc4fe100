"""The connection pool: its share, checks before reuse and deadlines."""

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

RUN: dict[str, Any] = {"term": 1, "begin": True, "commit": True, "read_only": True, "timeout_s": 1}
WORK = (Statement("SELECT 2"),)


class Database:
    """Counts sessions, those being opened or closed included."""

    def __init__(self) -> None:
        self.live = 0
        self.calls: Counter[str] = Counter()
        self.silent = False
        self.refusal: DatabaseError | None = None
        self.answer_s = 0.001
        self.on_change: Callable[[], None] = lambda: None

    async def open(self, _timeout_s: float) -> Session:
        self.live += 1
        self.on_change()
        try:
            await trio.sleep(0.012)
        except trio.Cancelled:
            self.live -= 1
            raise
        return Session(self)


class Session:
    def __init__(self, database: Database) -> None:
        self._database = database

    async def execute(
        self, statements: Sequence[Statement], *, timeout_s: float, **_options: Any
    ) -> ExecuteResult:
        self._database.calls[statements[0].sql] += 1
        await trio.sleep(timeout_s if self._database.silent else self._database.answer_s)
        if self._database.silent:
            raise ConnectionLostError("no answer")
        if self._database.refusal is not None:
            raise self._database.refusal
        return ExecuteResult(1, ZERO, ())

    async def rollback(self, *, timeout_s: float) -> None:
        pass

    async def close(self) -> None:
        await trio.sleep(0.003)
        self._database.live -= 1


async def use(pool: ConnectionPool, hold_s: float, patience_s: float, fails: bool) -> None:
    with trio.move_on_after(patience_s):
        session = await pool.acquire(trio.current_time() + 5)
        try:
            await trio.sleep(hold_s)
        finally:
            await (pool.discard(session) if fails else pool.release(session))


async def borrow(pool: ConnectionPool, count: int) -> list[PooledSession]:
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
        # Guards against sessions that are being opened or closed and are not counted, and
        # against slots that leak when an acquire is cancelled.
        async def main() -> None:
            database = Database()
            pool = ConnectionPool(database.open, 3)
            database.on_change = lambda: self.assertLessEqual(database.live, pool.share)
            async with trio.open_nursery() as nursery:
                for start, hold, patience, fails in users:
                    await trio.sleep(start / 10)
                    nursery.start_soon(use, pool, hold, patience, fails)
                for pause, share in shares:
                    await trio.sleep(pause)
                    await pool.set_share(share)
            await pool.set_share(2)
            self.assertEqual(database.live, pool.size)
            self.assertLessEqual(pool.size, 2)
            self.assertEqual(2, len(await borrow(pool, 2)))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    @trio_test(mock_clock=True)
    async def test_idle_session_is_checked_and_replaced(self) -> None:
        # Guards against a request that waits its whole deadline on a connection gone silent.
        database = Database()
        pool = ConnectionPool(database.open, 2)
        first, second = await borrow(pool, 2)
        await pool.release(first)
        await pool.release(second)
        await trio.sleep(6)
        database.silent = True
        started = trio.current_time()
        fresh = await pool.acquire(started + 5)
        self.assertEqual(2, database.calls["SELECT 1"])
        self.assertNotIn(fresh, (first, second))
        self.assertLess(trio.current_time() - started, 0.6)

    @trio_test(mock_clock=True)
    async def test_timeout_makes_the_other_idle_sessions_suspect(self) -> None:
        # Guards against one silent path that costs one request per idle connection.
        database = Database()
        pool = ConnectionPool(database.open, 2)
        broken, idle = await borrow(pool, 2)
        await pool.release(idle)
        database.silent = True
        with self.assertRaises(ConnectionLostError):
            await broken.execute(WORK, **RUN)
        await pool.release(broken)
        self.assertEqual((1, 1), (pool.size, database.live))
        database.silent = False
        self.assertIs(idle, await pool.acquire(trio.current_time() + 1))
        self.assertEqual(1, database.calls["SELECT 1"])

    @trio_test(mock_clock=True)
    async def test_session_in_a_transaction_is_not_reused(self) -> None:
        # Guards against a caller's open transaction that reaches the next caller.
        pool = ConnectionPool(Database().open, 1)
        (session,) = await borrow(pool, 1)
        await session.execute(WORK, **{**RUN, "commit": False})
        await pool.release(session)
        self.assertEqual(0, pool.size)

    @trio_test(mock_clock=True)
    async def test_smaller_share_closes_idle_sessions_and_then_released_ones(self) -> None:
        # Guards against sessions that stay open although the share now belongs to another home.
        database = Database()
        pool = ConnectionPool(database.open, 3)
        first, second, third = await borrow(pool, 3)
        await pool.release(first)
        await pool.set_share(1)
        self.assertEqual(2, database.live)
        await pool.release(second)
        await pool.release(third)
        self.assertEqual((1, 1, 1), (database.live, pool.size, pool.idle_count))

    @trio_test(mock_clock=True)
    async def test_wake_up_of_a_cancelled_waiter_goes_to_the_next(self) -> None:
        # Guards against a free session that nobody is told of.
        pool = ConnectionPool(Database().open, 1)
        (session,) = await borrow(pool, 1)
        async with trio.open_nursery() as nursery:
            scope = trio.CancelScope()

            async def cancelled() -> None:
                with scope:
                    await borrow(pool, 1)

            nursery.start_soon(cancelled)
            await trio.testing.wait_all_tasks_blocked()
            nursery.start_soon(borrow, pool, 1)
            await trio.testing.wait_all_tasks_blocked()
            scope.cancel()
            await pool.release(session)

    @trio_test(mock_clock=True)
    async def test_refusals_that_leave_the_connection_unusable(self) -> None:
        # Guards against reuse of a connection that the instance closes, or whose answer could
        # not be read, and against statements that are sent after their deadline.
        database = Database()
        pool = ConnectionPool(database.open, 1)
        refusals = (TooManyConnectionsError(""), DatabaseError("", executed="unknown"))
        for database.refusal in refusals:
            (session,) = await borrow(pool, 1)
            with self.assertRaises(DatabaseError):
                await session.execute(WORK, **{**RUN, "begin": False})
            await pool.release(session)
            self.assertEqual(0, pool.size)
        (session,) = await borrow(pool, 1)
        with self.assertRaises(DeadlineExceededError):
            await session.execute(WORK, **{**RUN, "timeout_s": 0})
        self.assertTrue(session.reusable)

    @trio_test(mock_clock=True)
    async def test_wait_ends_at_the_deadline(self) -> None:
        # Guards against callers that queue without bound behind lent sessions.
        pool = ConnectionPool(Database().open, 1)
        await borrow(pool, 1)
        started = trio.current_time()
        with self.assertRaises(OverloadedError) as caught:
            await pool.acquire(started + 0.5)
        self.assertEqual("no", caught.exception.executed)
        self.assertAlmostEqual(0.5, trio.current_time() - started, places=2)

    @trio_test(mock_clock=True)
    async def test_warm_sessions_are_opened_without_demand(self) -> None:
        # Guards against a first request that pays for opening a connection.
        database = Database()
        pool = ConnectionPool(database.open, 4)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pool.run)
            await trio.sleep(20)
            self.assertEqual((2, 2), (pool.idle_count, database.live))
            started = trio.current_time()
            await pool.acquire(started + 1)
            self.assertEqual(started, trio.current_time())
            nursery.cancel_scope.cancel()

    @trio_test(mock_clock=True)
    async def test_pool_closed_during_a_check(self) -> None:
        # Guards against a checked session that is put back into a closed pool and stays open, and
        # against a closed pool that opens warm sessions for ever.
        database = Database()
        database.answer_s = 0.02
        pool = ConnectionPool(database.open, 2)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pool.run)
            for _step in range(10_000):
                await trio.sleep(0.0005)
                if database.calls:
                    break
            self.assertEqual(1, pool.idle_count)
            await pool.close()
        self.assertEqual((0, 0), (pool.size, database.live))
