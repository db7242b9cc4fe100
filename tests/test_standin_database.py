"""Tests of the stand-in database: SQL, terms, replication, limits and the server process."""

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
        # Guards against running a write that was sent for another term, such as one whose primary
        # has been replaced.
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
        # Guards against a transaction that commits after a fence, or that still holds the write
        # lock then and blocks the new term.
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
    async def test_rejoining_primary_discards_divergent_entries(self) -> None:
        # Guards against a former primary that, after a partition and a failover, still returns
        # entries that were never replicated.
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
    async def test_replica_holds_entry_before_applying_it(self) -> None:
        # Guards against a replica whose reads return data that it does not yet report as applied.
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
    async def test_age_grows_while_partitioned(self) -> None:
        # Guards against treating the data of a partitioned replica as fresh.
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
        self, shared_steps: list[bool], own_steps: list[bool], primary_steps: list[bool]
    ) -> None:
        # Guards against keeping an entry that diverges from the primary, or discarding a common
        # one.
        @trio_test
        async def check(case: ReplicationTest) -> None:
            common_log = grow_log([], 1, shared_steps)
            own_log = grow_log(common_log, 100, [True, *own_steps]) if own_steps else common_log
            primary_log = (
                grow_log(common_log, 200, [True, *primary_steps]) if primary_steps else common_log
            )
            state = InstanceState("a", SqlStore(SEED_SQL), Delays(), primary=False)
            try:
                state.follow(900, "b")
                state.append_received(900, [LogEntry(entry, ()) for entry in own_log])
                term_starts = dict(reversed(primary_log))
                state.discard_divergent(900, sorted(term_starts.items()), len(primary_log))
                case.assertEqual(len(common_log), state.held)
            finally:
                state.store.close()

        check(self)


def grow_log(common: list[EntryId], first_term: int, steps: list[bool]) -> list[EntryId]:
    """Return the log extended by one entry per step; a true step starts a new term."""
    term, log = common[-1].term if common else 1, list(common)
    for new_term in steps:
        if new_term:
            term = max(term + 1, first_term)
        log.append(EntryId(term, len(log) + 1))
    return log


class SqlTest(TestCase):
    @trio_test
    async def test_transactions_are_isolated_and_end_with_their_connection(self) -> None:
        # Guards against dirty reads, and against keeping the writes of a client that disconnected
        # before it committed.
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
        # Guards against a batch that is partly applied when a later statement violates a
        # constraint.
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
    async def test_unsafe_or_invalid_statement_is_refused(self) -> None:
        # Guards against statements whose effect differs between replicas, and against SQL that ends
        # its own transaction. sqlite3 itself refuses writes on a read-only connection.
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
            # Puts the server's own COMMIT into sqlite3's cache of prepared statements.
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
    async def test_idle_connections_count_but_replication_does_not(self) -> None:
        # Guards against a connection limit that ignores idle connections or counts replication.
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
        # Guards against a stand-in that hides overload by running all statements at once.
        async with trio.open_nursery() as nursery:
            group = StandinGroup(["a"])
            await group.start(nursery, slots=2, delays=Delays(0.0, statement_s=0.05))
            sessions = [await group.session("a") for _number in range(6)]
            async with trio.open_nursery() as readers:
                for session in sessions:
                    readers.start_soon(read, session)
            executions = (await group.debug("a", "executions"))["executions"]
            self.assertEqual(6, len(executions))
            for execution in executions:
                overlapping = [
                    other
                    for other in executions
                    if other["began"] <= execution["began"] < other["ended"]
                ]
                self.assertLessEqual(len(overlapping), 2)
            nursery.cancel_scope.cancel()


class ProcessTest(TestCase):
    @trio_test
    async def test_processes_started_from_command_line_replicate(self) -> None:
        # Guards against command-line options that are not passed on to the instance.
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
