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
COUNT_EFFECTS = "SELECT count(*) FROM effects"


class Caller:
    """Sends the steps of a transaction; counts its effects and the resources in use."""

    def __init__(
        self,
        group: FakeGroup,
        home: HomeTransactions,
        executor: Executor,
        schedulers: dict[str, FairScheduler],
    ) -> None:
        self.group = group
        self.home = home
        self.executor = executor
        self.schedulers = schedulers

    async def step(self, action: str, sql: str = "", **overrides: Any) -> TransactionReply:
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
        vm = overrides.pop("vm", "entry")
        return await self.home.handle(vm, TransactionRequest(**(fields | overrides)))

    async def insert(self, name: str = "x", **overrides: Any) -> None:
        await self.step("execute", f"INSERT INTO effects VALUES ('{name}')", **overrides)

    def effects(self) -> int:
        return int(self.group.rows(COUNT_EFFECTS)[0][0])

    def resources_in_use(self) -> tuple[int, int]:
        """Return the numbers of slots and sessions in use."""
        pools = self.group.pools.values()
        slots = sum(scheduler.in_flight for scheduler in self.schedulers.values())
        return slots, sum(pool.size - pool.idle_count for pool in pools)


async def run_with_home(scenario: Callable[[Caller], Awaitable[None]], group: FakeGroup) -> None:
    executor, schedulers = group.executor(slots=1), group.make_schedulers(1)
    home = HomeTransactions(executor.access.with_schedulers(schedulers), LIMITS)
    async with trio.open_nursery() as nursery:
        await nursery.start(home.run)
        caller = Caller(group, home, executor, schedulers)
        await scenario(caller)
        nursery.cancel_scope.cancel()
    if caller.resources_in_use() != (0, 0):
        raise AssertionError(f"slots and sessions still in use: {caller.resources_in_use()}")


def with_new_home(method: Callable[..., Awaitable[None]]) -> Callable[[Any], None]:
    """Run an async test method with a caller of a new home as its argument."""

    @functools.wraps(method)
    def run(self: Any) -> None:
        run_with_fake_group(functools.partial(run_with_home, functools.partial(method, self)))

    return run


class HomeTransactionsTest(TestCase):
    async def _assert_rolled_back(self, caller: Caller) -> None:
        """Check that the transaction has ended without effect and holds no slot or session."""
        self.assertEqual(
            ((0, 0), 0, 0), (caller.resources_in_use(), caller.home.open_count, caller.effects())
        )
        with self.assertRaises(TransactionError) as caught:
            await caller.step("commit")
        self.assertEqual("no", caught.exception.executed)

    @with_new_home
    async def test_commit_makes_the_statements_visible_together(self, caller: Caller) -> None:
        # Guards against statements that run outside the transaction, and against a commit that is
        # confirmed before a majority of the group has its entry.
        await caller.step("begin")
        await caller.insert("x")
        await caller.insert("y")
        self.assertEqual(
            ((1, 1), ZERO), (caller.resources_in_use(), caller.group.instances["a"].last_entry())
        )
        reached = (await caller.step("commit")).reached
        self.assertEqual(((0, 0), 2), (caller.resources_in_use(), caller.effects()))
        instances = caller.group.instances.values()
        self.assertGreaterEqual(
            sum(len(instance.entry_terms) >= reached.position for instance in instances), 2
        )

    @with_new_home
    async def test_only_the_owner_may_use_a_transaction(self, caller: Caller) -> None:
        # Guards against an open transaction that accepts steps from another entry VM, organisation
        # or key.
        await caller.step("begin")
        await caller.insert()
        for foreign_owner in ({"vm": "b"}, {"organisation": "b"}, {"key_digest": "b"}):
            for action in ("execute", "commit", "rollback"):
                with self.assertRaises(TransactionError):
                    await caller.step(action, **foreign_owner)
        await caller.step("rollback")
        await self._assert_rolled_back(caller)

    @with_new_home
    async def test_idle_and_total_limits_roll_back(self, caller: Caller) -> None:
        # Guards against an idle or very long transaction that keeps its slot and its locks.
        await caller.step("begin")
        await caller.insert()
        await trio.sleep(1.1)
        await self._assert_rolled_back(caller)
        await caller.step("begin")
        started = trio.current_time()
        with self.assertRaises(TransactionError):
            while True:
                await caller.step("execute", "SELECT 1")
                await trio.sleep(0.5)
        self.assertLess(trio.current_time() - started, 3.6)
        await self._assert_rolled_back(caller)

    @with_new_home
    async def test_open_transaction_does_not_block_other_requests(self, caller: Caller) -> None:
        # Guards against an idle transaction that blocks other requests because it occupies the
        # home's only slot of the primary, and against more open transactions than slots.
        await caller.step("begin")
        reply = await caller.executor.execute(read("x"))
        self.assertEqual("a", reply.instance)
        with self.assertRaises(OverloadedError):
            await caller.step("begin", transaction="u", timeout_s=0.1)
        await caller.step("rollback")

    @with_new_home
    async def test_abort_by_vm_key_or_caller_rolls_back(self, caller: Caller) -> None:
        # Guards against a transaction that stays open after its entry VM became unreachable, its
        # key was revoked or its caller disconnected, both while idle and during a step.
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
            await self._assert_rolled_back(caller)
            async with trio.open_nursery() as nursery:
                await caller.step("begin")
                nursery.start_soon(self._assert_insert_fails, caller)
                await trio.sleep(0.0005)
                await abort()
            await self._assert_rolled_back(caller)

    async def _assert_insert_fails(self, caller: Caller) -> None:
        with self.assertRaises(TransactionError):
            await caller.insert()

    @with_new_home
    async def test_failed_statement_rolls_back(self, caller: Caller) -> None:
        # Guards against a commit of only the statements that ran before the failed one.
        await caller.step("begin")
        await caller.insert()
        with self.assertRaises(SqlError):
            await caller.step("execute", "INSERT INTO missing VALUES (1)")
        await self._assert_rolled_back(caller)

    @with_new_home
    async def test_unreplicated_rows_are_not_returned(self, caller: Caller) -> None:
        # Guards against a step that returns rows of an entry that a failover can still discard.
        for replica in (caller.group.instances["b"], caller.group.instances["c"]):
            replica.lagging = True
        await caller.step("begin")
        await caller.insert()
        with self.assertRaises(OutcomeUnknownError):
            await caller.step("commit")
        await caller.step("begin")
        with self.assertRaises(TransactionError):
            await caller.step("execute", COUNT_EFFECTS)

    @with_new_home
    async def test_step_with_an_expired_token_is_not_sent(self, caller: Caller) -> None:
        # Guards against a statement that runs with an expired rate token, and so exceeds the
        # organisation's rate limit.
        await caller.step("begin")
        with self.assertRaises(RateLimitedError):
            await caller.insert(token_lifetime_s=0.0)
        await caller.insert(token_lifetime_s=1.0)
        await caller.step("commit")
        self.assertEqual(1, caller.effects())

    faults = st.sampled_from(("", "lost-request", "lost-answer", "late", "stale"))

    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 3), faults, st.integers(0, 4))
    def test_reported_outcome_matches_the_effects(
        self, exchanges_before_fault: int, fault: Fault, promote_at: int
    ) -> None:
        # Guards against a commit reported as not executed although only its reply was lost, and
        # against a commit that a replaced primary confirms.
        async def scenario(caller: Caller) -> None:
            caller.group.faults.extend([""] * exchanges_before_fault + [fault])
            reported = "yes"
            try:
                await caller.step("begin")
                for index in range(2):
                    if index == promote_at:
                        caller.group.promote("b")
                    await caller.insert(str(index))
                await caller.step("commit")
            except OutcomeUnknownError:
                reported = "unknown"
            except TanagerfrontError as error:
                reported = error.executed
            await trio.sleep(1)
            expected = {"yes": (2,), "no": (0,), "unknown": (0, 2)}[reported]
            self.assertIn(caller.effects(), expected)

        run_with_fake_group(functools.partial(run_with_home, scenario))
