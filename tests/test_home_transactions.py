"""Interactive transactions at a home: ownership, limits, aborts and commits."""

from __future__ import annotations

import functools
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from fake_group import FakeGroup, Fault, run_with_fake_group
from support import TestCase
from tanagerfront.entry_id import ZERO
from tanagerfront.errors import (
    OutcomeUnknownError,
    OverloadedError,
    RateLimitedError,
    SqlError,
    TanagerfrontError,
    TransactionError,
)
from tanagerfront.execution import Executor
from tanagerfront.home_transactions import HomeTransactionLimits, HomeTransactions
from tanagerfront.messages import TransactionReply, TransactionRequest, WireStatement
from tanagerfront.scheduler import FairScheduler
from test_execution import read

LIMITS = HomeTransactionLimits(idle_limit_s=1.0, total_limit_s=3.0)
COUNT = "SELECT count(*) FROM effects"


class Caller:
    """Sends the steps of one transaction and checks at the end that nothing leaked."""

    def __init__(
        self,
        group: FakeGroup,
        home: HomeTransactions,
        executor: Executor,
        queues: dict[str, FairScheduler],
    ) -> None:
        self.group = group
        self.home = home
        self.executor = executor
        self.queues = queues

    async def step(self, action: str, sql: str = "", **changes: Any) -> TransactionReply:
        fields: dict[str, Any] = {
            "transaction": "t",
            "action": action,
            "group": "g",
            "organisation": "foremen",
            "request_class": 1,
            "timeout_s": 2.0,
            "session": ZERO,
            "statements": (WireStatement(sql, []),) if sql else (),
            "key_digest": "key",
        }
        vm = changes.pop("vm", "entry")
        return await self.home.handle(vm, TransactionRequest(**(fields | changes)))

    async def insert(self, name: str = "x", **changes: Any) -> None:
        await self.step("execute", f"INSERT INTO effects VALUES ('{name}')", **changes)

    def effects(self) -> int:
        return int(self.group.rows(COUNT)[0][0])

    def used(self) -> tuple[int, int]:
        """Return the slots and sessions in use."""
        pools = self.group.pools.values()
        slots = sum(each.in_flight for each in self.queues.values())
        return slots, sum(pool.size - pool.idle_count for pool in pools)


async def run_home(scenario: Callable[[Caller], Awaitable[None]], group: FakeGroup) -> None:
    executor, queues = group.executor(slots=1), group.make_schedulers(1)
    home = HomeTransactions(executor.access.with_schedulers(queues), LIMITS)
    async with trio.open_nursery() as nursery:
        await nursery.start(home.run)
        caller = Caller(group, home, executor, queues)
        await scenario(caller)
        nursery.cancel_scope.cancel()
    if caller.used() != (0, 0):
        raise AssertionError(f"slots and sessions still in use: {caller.used()}")


def on_home(method: Callable[..., Awaitable[None]]) -> Callable[[Any], None]:
    """Run an async test method with a caller of a fresh home as its argument."""

    @functools.wraps(method)
    def run(self: Any) -> None:
        run_with_fake_group(functools.partial(run_home, functools.partial(method, self)))

    return run


class HomeTransactionsTest(TestCase):
    async def _ended(self, caller: Caller) -> None:
        """Check that the transaction is gone without effect and holds nothing."""
        self.assertEqual(((0, 0), 0, 0), (caller.used(), caller.home.open_count, caller.effects()))
        with self.assertRaises(TransactionError) as caught:
            await caller.step("commit")
        self.assertEqual("no", caught.exception.executed)

    @on_home
    async def test_commit_makes_the_statements_visible_together(self, caller: Caller) -> None:
        # Guards against statements that run outside the transaction, and an early answer.
        await caller.step("begin")
        await caller.insert("x")
        await caller.insert("y")
        self.assertEqual(((1, 1), ZERO), (caller.used(), caller.group.instances["a"].last_entry()))
        reached = (await caller.step("commit")).reached
        self.assertEqual(((0, 0), 2), (caller.used(), caller.effects()))
        replicas = caller.group.instances.values()
        self.assertGreaterEqual(sum(len(e.entry_terms) >= reached.position for e in replicas), 2)

    @on_home
    async def test_only_the_owner_may_use_a_transaction(self, caller: Caller) -> None:
        # Guards against statements of another caller in an open transaction.
        await caller.step("begin")
        await caller.insert()
        for other in ({"vm": "b"}, {"organisation": "b"}, {"key_digest": "b"}):
            for action in ("execute", "commit", "rollback"):
                with self.assertRaises(TransactionError):
                    await caller.step(action, **other)
        await caller.step("rollback")
        await self._ended(caller)

    @on_home
    async def test_limits_roll_back(self, caller: Caller) -> None:
        # Guards against an idle or endless transaction that keeps its slot and its locks.
        await caller.step("begin")
        await caller.insert()
        await trio.sleep(1.1)
        await self._ended(caller)
        await caller.step("begin")
        started = trio.current_time()
        with self.assertRaises(TransactionError):
            while True:
                await caller.step("execute", "SELECT 1")
                await trio.sleep(0.5)
        self.assertLess(trio.current_time() - started, 3.6)
        await self._ended(caller)

    @on_home
    async def test_open_transactions_do_not_stop_other_requests(self, caller: Caller) -> None:
        # Guards against an idle transaction that occupies a home's only slot of the primary, and
        # against more transactions than slots.
        await caller.step("begin")
        reply = await caller.executor.execute(read("x"))
        self.assertEqual("a", reply.instance)
        with self.assertRaises(OverloadedError):
            await caller.step("begin", transaction="u", timeout_s=0.1)
        await caller.step("rollback")

    @on_home
    async def test_aborts(self, caller: Caller) -> None:
        # Guards against a transaction that outlives its caller, entry VM or key, also while a
        # step of it waits.
        home = caller.home
        for abort in (
            lambda: home.abort_for_vm("entry"),
            lambda: home.abort_for_key("key"),
            lambda: home.abort("entry", "t"),
        ):
            await caller.step("begin")
            await caller.insert()
            await home.abort_for_vm("other")
            await home.abort_for_key("other")
            self.assertEqual(1, home.open_count)
            await abort()
            await self._ended(caller)
            async with trio.open_nursery() as nursery:
                await caller.step("begin")
                nursery.start_soon(self._fails_rolled_back, caller)
                await trio.sleep(0.0005)
                await abort()
            await self._ended(caller)

    async def _fails_rolled_back(self, caller: Caller) -> None:
        with self.assertRaises(TransactionError):
            await caller.insert()

    @on_home
    async def test_failed_statement_rolls_back(self, caller: Caller) -> None:
        # Guards against a commit of the part that its caller does not expect to stand alone.
        await caller.step("begin")
        await caller.insert()
        with self.assertRaises(SqlError):
            await caller.step("execute", "INSERT INTO missing VALUES (1)")
        await self._ended(caller)

    @on_home
    async def test_rows_that_are_not_replicated_are_not_shown(self, caller: Caller) -> None:
        # Guards against a transaction that shows an entry which a failover then discards.
        for each in (caller.group.instances["b"], caller.group.instances["c"]):
            each.lagging = True
        await caller.step("begin")
        await caller.insert()
        with self.assertRaises(OutcomeUnknownError):
            await caller.step("commit")
        await caller.step("begin")
        with self.assertRaises(TransactionError):
            await caller.step("execute", COUNT)

    @on_home
    async def test_step_without_a_token_is_not_sent(self, caller: Caller) -> None:
        # Guards against statements above the organisation's rate inside transactions.
        await caller.step("begin")
        with self.assertRaises(RateLimitedError):
            await caller.insert(token_lifetime_s=0.0)
        await caller.insert(token_lifetime_s=1.0)
        await caller.step("commit")
        self.assertEqual(1, caller.effects())

    faults = st.sampled_from(("", "lost-request", "lost-answer", "late", "stale"))

    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 3), faults, st.integers(0, 4))
    def test_outcome_is_told_truthfully(self, after: int, fault: Fault, promote_at: int) -> None:
        # Guards against a "not run" for a commit whose answer was lost, and a commit that is
        # acknowledged by a replaced primary.
        async def scenario(caller: Caller) -> None:
            caller.group.faults.extend([""] * after + [fault])
            told = "yes"
            try:
                await caller.step("begin")
                for number in range(2):
                    if number == promote_at:
                        caller.group.promote("b")
                    await caller.insert(str(number))
                await caller.step("commit")
            except OutcomeUnknownError:
                told = "unknown"
            except TanagerfrontError as error:
                told = error.executed
            await trio.sleep(1)
            expected = {"yes": (2,), "no": (0,), "unknown": (0, 2)}[told]
            self.assertIn(caller.effects(), expected)

        run_with_fake_group(functools.partial(run_home, scenario))
