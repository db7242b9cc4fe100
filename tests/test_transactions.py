"""Interactive transactions at the entry VM: binding to a connection, limits and rollback."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from unittest import mock

import trio

from entry_fakes import OTHER_KEY, EntryBench, FakeHome, problem
from support import TestCase, trio_test
from tanagerfront.errors import ConnectionLostError, DrainingError, RateLimitedError, SqlError
from tanagerfront.transactions import TransactionLimits

BEGIN = "/v1/groups/orders-1/transaction"
EXECUTE = "/v1/transaction/execute"
COMMIT = "/v1/transaction/commit"
ROLLBACK = "/v1/transaction/rollback"
INSERT = {"statements": [{"sql": "INSERT INTO a VALUES (?)", "params": [1]}]}


@asynccontextmanager
async def running_sweep(bench: EntryBench) -> AsyncIterator[None]:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(bench.transactions.run)
        yield
        nursery.cancel_scope.cancel()


class TransactionTest(TestCase):
    @trio_test
    async def test_steps_and_commit_use_one_transaction(self) -> None:
        # Guards against steps sent to different transactions, and against a commit whose response
        # lacks the session token.
        bench = EntryBench()
        self.assertEqual({"transaction": "open"}, json.loads((await bench.post(BEGIN)).body))
        self.assertEqual(200, (await bench.post(EXECUTE, INSERT)).status)
        committed = await bench.post(COMMIT)
        self.assertEqual({"transaction": "committed"}, json.loads(committed.body))
        self.assertIn("session-token", dict(committed.headers))
        self.assertEqual(["begin", "execute", "commit"], bench.home.actions)
        self.assertEqual(1, len({step.transaction for step in bench.home.steps}))
        self.assertEqual(0, bench.transactions.open_count)
        self.assertEqual((409, "transaction", "no"), problem(await bench.post(COMMIT)))

    @trio_test
    async def test_connection_has_one_transaction_of_its_own(self) -> None:
        # Guards against a batch that runs outside the connection's open transaction, against a
        # second transaction on one connection, and against steps from another connection or
        # organisation.
        bench = EntryBench()
        await bench.post(BEGIN)
        for path, body in ((BEGIN, None), ("/v1/groups/orders-1/batch", INSERT)):
            self.assertEqual((409, "transaction", "no"), problem(await bench.post(path, body)))
        other_connection = bench.connect()
        self.assertEqual(409, (await bench.post(EXECUTE, INSERT, handler=other_connection)).status)
        self.assertEqual(403, (await bench.post(EXECUTE, INSERT, key=OTHER_KEY)).status)
        self.assertEqual(["begin"], bench.home.actions)

    @trio_test
    async def test_closed_connection_rolls_back(self) -> None:
        # Guards against locks that stay held after the caller disconnected.
        bench = EntryBench()
        await bench.post(BEGIN)
        with trio.CancelScope() as scope:
            scope.cancel()
            await bench.handler.close()
        self.assertEqual(["begin", "rollback"], bench.home.actions)
        self.assertEqual(0, bench.transactions.open_count)

    @trio_test(mock_clock=True)
    async def test_revoked_key_rolls_back(self) -> None:
        # Guards against an idle transaction that stays open after its API key was revoked.
        bench = EntryBench()
        async with running_sweep(bench):
            await bench.post(BEGIN)
            await bench.revoke_keys(0)
            await trio.sleep(1)
            self.assertEqual(["begin", "rollback"], bench.home.actions)
            self.assertEqual(401, (await bench.post(COMMIT)).status)

    @trio_test(mock_clock=True)
    async def test_revoked_key_interrupts_a_step(self) -> None:
        # Guards against a long-running statement that delays the effect of a key revocation.
        bench = EntryBench()
        async with running_sweep(bench):
            await bench.post(BEGIN)
            bench.home.outcomes = [9.0]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(bench.revoke_keys, 1)
                started = trio.current_time()
                answer = await bench.post(EXECUTE, INSERT)
            self.assertEqual((401, "key-required", "no"), problem(answer))
            self.assertLess(trio.current_time() - started, 2.0)
        self.assertEqual("rollback", bench.home.actions[-1])

    @trio_test(mock_clock=True)
    async def test_idle_and_total_limits_roll_back(self) -> None:
        # Guards against a caller that keeps a slot with an idle or never-ending transaction.
        bench = EntryBench(TransactionLimits(total_limit_s=5, idle_limit_s=2))
        async with running_sweep(bench):
            await bench.post(BEGIN)
            await trio.sleep(2.5)
            answer = await bench.post(EXECUTE, INSERT)
            self.assertIn("idle", json.loads(answer.body)["detail"])
            await bench.post(BEGIN)
            for _ in range(6):
                await trio.sleep(1)
                answer = await bench.post(EXECUTE, INSERT)
            self.assertIn("longer than 5 s", json.loads(answer.body)["detail"])
        self.assertEqual(2, bench.home.actions.count("rollback"))

    @trio_test
    async def test_failed_step_ends_the_transaction_without_effect(self) -> None:
        # Guards against a commit of part of a transaction, and against an outcome reported as
        # unknown although nothing was committed.
        for outcome in (SqlError("exists", code="constraint"), ConnectionLostError("silent")):
            bench = EntryBench()
            await bench.post(BEGIN)
            bench.home.outcomes = [outcome]
            answer = await bench.post(EXECUTE, INSERT)
            self.assertEqual("no", problem(answer)[2])
            self.assertIn("rolled back", json.loads(answer.body)["detail"])
            self.assertEqual("rollback", bench.home.actions[-1])
            # A statement whose connection was lost may still run, so its token stays in use until
            # it expires.
            settled_tokens = 2 if isinstance(outcome, SqlError) else 1
            self.assertEqual(409, (await bench.post(EXECUTE, INSERT)).status)
            self.assertEqual((settled_tokens, 0), bench.limiter.settled)
            self.assertEqual(2, len(bench.limiter.acquired))
            self.assertEqual(409, (await bench.post(COMMIT)).status)

    @trio_test
    async def test_rejected_token_leaves_the_transaction_open(self) -> None:
        # Guards against a rollback because of a statement that was never sent to the database.
        bench = EntryBench()
        await bench.post(BEGIN)
        bench.home.outcomes = [RateLimitedError("token expired")]
        self.assertEqual(429, (await bench.post(EXECUTE, INSERT)).status)
        self.assertEqual(200, (await bench.post(COMMIT)).status)

    @trio_test
    async def test_commit_with_lost_reply_has_unknown_outcome(self) -> None:
        # Guards against a commit reported as not executed although it may have taken effect.
        bench = EntryBench()
        await bench.post(BEGIN)
        bench.home.outcomes = [ConnectionLostError("silent")]
        self.assertEqual("unknown", problem(await bench.post(COMMIT))[2])
        self.assertEqual(0, bench.transactions.open_count)

    @trio_test
    async def test_failed_begin_leaves_nothing_open(self) -> None:
        # Guards against a transaction that stays open at the home after its begin reply was lost.
        bench = EntryBench()
        bench.home.outcomes = [ConnectionLostError("silent")]
        self.assertEqual((503, "unavailable", "no"), problem(await bench.post(BEGIN)))
        self.assertEqual(["begin", "rollback"], bench.home.actions)
        self.assertEqual(0, bench.transactions.open_count)

    @trio_test
    async def test_begin_tries_another_home(self) -> None:
        # Guards against later steps sent to a different home than the one that began the
        # transaction.
        peer = FakeHome()
        bench = EntryBench(peers={"vm-2": peer})
        bench.home.outcomes = [DrainingError("stopping")]
        for path in (BEGIN, EXECUTE, COMMIT):
            body = INSERT if path == EXECUTE else None
            self.assertEqual(200, (await bench.post(path, body)).status)
        self.assertEqual(["begin"], bench.home.actions)
        self.assertEqual(["begin", "execute", "commit"], peer.actions)

    @trio_test
    async def test_exception_in_rollback_stays_in_its_connection(self) -> None:
        # Guards against an exception in one connection's rollback that closes all connections of
        # the VM.
        bench = EntryBench()
        await bench.post(BEGIN)
        with mock.patch.object(bench.home, "transact", side_effect=RuntimeError("fault")):
            await bench.handler.close()
        self.assertEqual(0, bench.transactions.open_count)

    @trio_test
    async def test_drain_waits_for_the_transaction(self) -> None:
        # Guards against a connection that is closed between two steps while the VM drains.
        bench = EntryBench()
        await bench.post(BEGIN)
        bench.closing = True
        self.assertEqual((False, True), (bench.handler.draining, bench.handler.busy))
        await bench.post(ROLLBACK)
        self.assertEqual((True, False), (bench.handler.draining, bench.handler.busy))
