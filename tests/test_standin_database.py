"""The stand-in database: SQL, terms, replication, limits and its process."""

from __future__ import annotations

import signal

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from standin_group import (
    SEED_SQL,
    StandinGroup,
    connect_with_retries,
    free_address,
    read,
    start_process,
    wait_until_applied,
    write,
)
from support import TestCase, trio_test
from tanagerfront.databases import Statement
from tanagerfront.entry_id import EntryId
from tanagerfront.errors import (
    NotPrimaryError,
    SqlError,
    StaleTermError,
    TooManyConnectionsError,
)
from tanagerfront_standin.database_sql import SqlStore
from tanagerfront_standin.database_state import Delays, InstanceState, LogEntry

STEPS = st.lists(st.booleans(), max_size=8)


class TermTest(TestCase):
    @trio_test
    async def test_statement_of_another_term_is_refused(self) -> None:
        # Guards against a write of a replaced primary's client that runs anyway.
        async with trio.open_nursery() as nursery:
            group = StandinGroup()
            await group.start(nursery)
            session = await group.session("a")
            with self.assertRaises(NotPrimaryError):
                await write(session, "early", term=2)
            await session.fence(3)
            with self.assertRaises(StaleTermError) as caught:
                await write(session, "late", term=1)
            self.assertEqual((3, "no"), (caught.exception.term, caught.exception.executed))
            with self.assertRaises(NotPrimaryError):
                await write(session, "unpromoted", term=3)
            self.assertEqual(set(), await read(session, term=3))
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_fence_ends_open_transactions(self) -> None:
        # Guards against a transaction that commits after the fence, or whose lock outlives it.
        async with trio.open_nursery() as nursery:
            group = StandinGroup()
            await group.start(nursery)
            first, second = await group.session("a"), await group.session("a")
            await write(first, "old", commit=False)
            await second.fence(2)
            await second.promote(2)
            await write(second, "new", term=2)
            with self.assertRaises(StaleTermError):
                await write(first, "old2", begin=False)
            await write(first, "newer", term=2)
            self.assertEqual({"new", "newer"}, await read(second, term=2))
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_returning_primary_discards_its_tail(self) -> None:
        # Guards against an instance that keeps showing entries its group has discarded.
        async with trio.open_nursery() as nursery:
            group = StandinGroup()
            await group.start(nursery)
            a, b, c = [await group.session(name) for name in group.addresses]
            kept = await write(a, "kept")
            await wait_until_applied(b, kept.reached.position)
            await wait_until_applied(c, kept.reached.position)
            group.isolate("a")
            await write(a, "lost")
            await b.fence(2)
            await c.fence(2)
            await b.promote(2)
            self.assertEqual(0, (await c.follow(2, "b")).discarded)
            await write(b, "new", term=2)
            group.restore()
            self.assertEqual(1, (await a.follow(2, "b")).discarded)
            await wait_until_applied(a, 4)
            await wait_until_applied(c, 4)
            for session in (a, b, c):
                self.assertEqual({"kept", "new"}, await read(session, term=2))
            nursery.cancel_scope.cancel()


class ReplicationTest(TestCase):
    @trio_test
    async def test_held_and_applied_are_separate(self) -> None:
        # Guards against a replica read that shows data before the replica reports it as applied.
        async with trio.open_nursery() as nursery:
            group = StandinGroup()
            await group.start(nursery, delays=Delays(0.0, 0.05, 0.5))
            primary, replica = await group.session("a"), await group.session("b")
            await wait_until_applied(replica, 1)
            await write(primary, "x")
            status = await replica.status(1, 1, 1.0, applied=1)
            self.assertEqual((2, 1), (status.held, status.applied))
            self.assertEqual(set(), await read(replica))
            self.assertGreater((await replica.status()).age_ms, 0)
            await wait_until_applied(replica, 2)
            self.assertEqual({"x"}, await read(replica))
            self.assertEqual(0, (await replica.status()).age_ms)
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_age_grows_while_cut_off(self) -> None:
        # Guards against a partitioned replica whose data is taken for fresh.
        async with trio.open_nursery() as nursery:
            group = StandinGroup()
            await group.start(nursery)
            replica = await group.session("b")
            await wait_until_applied(replica, 1)
            group.isolate("b")
            await trio.sleep(0.5)
            first = (await replica.status()).age_ms
            await trio.sleep(0.2)
            self.assertGreater((await replica.status()).age_ms, first + 150)
            self.assertGreater(first, 300)
            nursery.cancel_scope.cancel()

    @given(STEPS, STEPS, STEPS)
    @settings(max_examples=60, deadline=None)
    def test_discard_keeps_the_common_prefix(
        self, shared: list[bool], own: list[bool], others: list[bool]
    ) -> None:
        # Guards against a discard that keeps a diverging entry or drops a common one.
        @trio_test
        async def check(case: ReplicationTest) -> None:
            common = grow_log([], 1, shared)
            mine = grow_log(common, 100, [True, *own]) if own else common
            theirs = grow_log(common, 200, [True, *others]) if others else common
            state = InstanceState("a", SqlStore(SEED_SQL), Delays(), primary=False)
            try:
                state.follow(900, "b")
                state.append_received(900, [LogEntry(entry, ()) for entry in mine])
                first = dict(reversed(theirs))
                state.discard_divergent(900, sorted(first.items()), len(theirs))
                case.assertEqual(len(common), state.held)
            finally:
                state.store.close()

        check(self)


def grow_log(common: list[EntryId], first_term: int, steps: list[bool]) -> list[EntryId]:
    """Return the log continued by one entry for each step, true for one of a new term."""
    term, log = common[-1].term if common else 1, list(common)
    for new_term in steps:
        if new_term:
            term = max(term + 1, first_term)
        log.append(EntryId(term, len(log) + 1))
    return log


class SqlTest(TestCase):
    @trio_test
    async def test_transactions_are_isolated_and_end_with_their_connection(self) -> None:
        # Guards against effects of a caller that vanished, and against dirty reads.
        async with trio.open_nursery() as nursery:
            group = StandinGroup(["a"])
            await group.start(nursery)
            first, second = await group.session("a"), await group.session("a")
            await write(first, "x", commit=False)
            self.assertEqual(set(), await read(second))
            await first.close()
            await write(second, "y")
            self.assertEqual({"y"}, await read(second))
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_failed_batch_has_no_effect(self) -> None:
        # Guards against half of an atomic batch that stays behind a constraint error.
        async with trio.open_nursery() as nursery:
            group = StandinGroup(["a"])
            await group.start(nursery)
            session = await group.session("a")
            batch = [Statement("INSERT INTO t VALUES ('x', 1)")] * 2
            with self.assertRaises(SqlError) as caught:
                await session.execute(
                    batch, term=1, begin=True, commit=True, read_only=False, timeout_s=1
                )
            self.assertEqual(("constraint", 1), (caught.exception.code, caught.exception.index))
            self.assertEqual(set(), await read(session))
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_refused_statements(self) -> None:
        # Guards against replicas that compute another effect, and against SQL that ends the
        # transaction it runs in; a reader's refusal to write is the database's own.
        cases = (
            ("INSERT INTO t VALUES (random(), 1)", False, "denied"),
            ("INSERT INTO t VALUES (datetime('now'), 1)", False, "denied"),
            ("COMMIT", False, "denied"),
            ("/* */ ROLLBACK", False, "denied"),
            ("PRAGMA query_only = OFF", True, "denied"),
            ("INSERT INTO t VALUES ('x', 1)", True, "read-only"),
            ("SELEC", True, "syntax"),
            ("SELECT * FROM u", True, "missing"),
        )
        async with trio.open_nursery() as nursery:
            group = StandinGroup(["a"])
            await group.start(nursery)
            session = await group.session("a")
            # Leaves the database's own COMMIT among sqlite3's prepared statements.
            await write(session, "first")
            for sql, read_only, code in cases:
                with self.assertRaises(SqlError) as caught:
                    await session.execute(
                        [Statement(sql)],
                        term=1,
                        begin=True,
                        commit=True,
                        read_only=read_only,
                        timeout_s=1,
                    )
                self.assertEqual((sql, code), (sql, caught.exception.code))
            await write(session, "x")
            nursery.cancel_scope.cancel()


class LimitTest(TestCase):
    @trio_test
    async def test_every_open_connection_counts_but_replication_does_not(self) -> None:
        # Guards against a budget that idle connections escape or that replication uses up.
        async with trio.open_nursery() as nursery:
            group = StandinGroup()
            await group.start(nursery, connections=2, delays=Delays(0.02))
            idle = await trio.open_tcp_stream(*group.addresses["a"])
            session = await group.session("a")
            await session.status()
            extra = await group.session("a")
            with self.assertRaises(TooManyConnectionsError):
                await extra.status()
            await write(session, "x")
            await wait_until_applied(await group.session("b"), 2)
            await idle.aclose()
            await trio.sleep(0.05)
            replacement = await group.session("a")
            await replacement.status()
            counts = await group.debug("a", "connections")
            self.assertEqual((2, 1), (counts["open"], counts["refused"]))
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_slots_limit_concurrent_statements(self) -> None:
        # Guards against a stand-in that hides overload because it runs everything at once.
        async with trio.open_nursery() as nursery:
            group = StandinGroup(["a"])
            await group.start(nursery, slots=2, delays=Delays(0.0, statement_s=0.05))
            sessions = [await group.session("a") for _number in range(6)]
            async with trio.open_nursery() as readers:
                for session in sessions:
                    readers.start_soon(read, session)
            executions = (await group.debug("a", "executions"))["executions"]
            self.assertEqual(6, len(executions))
            for at in executions:
                overlapping = [x for x in executions if x["began"] <= at["began"] < x["ended"]]
                self.assertLessEqual(len(overlapping), 2)
            nursery.cancel_scope.cancel()


class ProcessTest(TestCase):
    @trio_test
    async def test_group_of_processes(self) -> None:
        # Guards against options of the command line that do not reach the instance.
        addresses = {name: free_address() for name in ("a", "b")}
        processes = [start_process(name, addresses) for name in addresses]
        try:
            primary = await connect_with_retries(addresses["a"])
            replica = await connect_with_retries(addresses["b"])
            await write(primary, "x")
            await wait_until_applied(replica, 2)
            self.assertEqual({"x"}, await read(replica))
        finally:
            for process in processes:
                process.send_signal(signal.SIGTERM)
            codes = [process.wait(timeout=10) for process in processes]
        self.assertEqual([0, 0], codes)
