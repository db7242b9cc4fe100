"""Tests of execution at a home: at most once, reported outcomes, sessions and retries."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from fake_group import FakeGroup, FakeInstance, Fault, run_with_fake_group, with_fake_group
from support import TestCase
from tanagerfront.configuration import RequestClass
from tanagerfront.entry_id import ZERO, EntryId
from tanagerfront.errors import (
    ConnectionLostError,
    IdempotencyMismatchError,
    OutcomeUnknownError,
    RateLimitedError,
    SessionLostError,
    SqlError,
    TanagerfrontError,
)
from tanagerfront.execution import ExecutionSettings, Executor
from tanagerfront.ledger import Ledger
from tanagerfront.messages import ExecuteReply, ExecuteRequest, WireStatement
from tanagerfront.retries import RetryBudget, RetrySettings

COUNT = "SELECT count(*) FROM effects WHERE name = ?"
FAULTS: tuple[Fault, ...] = ("", "", "lost-request", "lost-answer", "late", "stale")


def write(name: str, key: str | None = None, **changes: Any) -> ExecuteRequest:
    statement = WireStatement("INSERT INTO effects (name) VALUES (?)", [name])
    fields: dict[str, Any] = {
        "group": "g",
        "organisation": "foremen",
        "request_class": 1,
        "mode": "write",
        "statements": (statement,),
        "repeatable": False,
        "timeout_s": 1.0,
        "session": ZERO,
        "idempotency_key": key,
        "request_digest": f"digest of {name}",
    }
    return ExecuteRequest(**(fields | changes))


def read(name: str, session: EntryId = ZERO, **changes: Any) -> ExecuteRequest:
    statements = (WireStatement(COUNT, [name]),)
    return write(name, mode="read", statements=statements, session=session, **changes)


async def execute_outcome(
    executor: Executor, request: ExecuteRequest
) -> tuple[str, ExecuteReply | None]:
    """Return whether the request ran according to the executor, and the reply if there is one."""
    try:
        return "yes", await executor.execute(request)
    except TanagerfrontError as error:
        return error.executed, None


async def occupy_slots(group: FakeGroup, names: str) -> Callable[[], None]:
    """Acquire all slots of the named instances; return a function that releases them."""
    schedulers = [group.schedulers[name] for name in names for _ in range(4)]
    acquired = [
        (scheduler, await scheduler.acquire("z", 1, RequestClass.ORDERS, 1e9))
        for scheduler in schedulers
    ]

    def release_slots() -> None:
        for scheduler, slot in acquired:
            scheduler.release(slot)

    return release_slots


class AtMostOnceTest(TestCase):
    keys = st.sampled_from((None, None, "k1", "k2"))
    failovers = st.lists(
        st.tuples(st.floats(0, 0.5), st.sampled_from("abc"), st.booleans()), max_size=3
    )

    @settings(max_examples=100, deadline=None)
    @given(st.lists(keys, max_size=6), st.lists(st.sampled_from(FAULTS), max_size=25), failovers)
    def test_effects_match_the_reported_outcomes(
        self, keys: list[str | None], faults: list[Fault], failovers: list[tuple[float, str, bool]]
    ) -> None:
        # Guards against a request that takes effect twice, one that is reported as not run although
        # it ran, and one that is reported as run without an effect. Lost answers, late statements
        # and failovers cause these.
        async def scenario(group: FakeGroup) -> None:
            executor = group.executor()
            reported: dict[str, list[str]] = {}

            async def send(name: str, key: str | None) -> None:
                executed, _reply = await execute_outcome(executor, write(name, key))
                reported.setdefault(name, []).append(executed)

            group.faults.extend(faults)
            async with trio.open_nursery() as nursery:
                for number, key in enumerate(keys):
                    nursery.start_soon(send, key or f"unkeyed {number}", key)
                for pause_s, name, without_primary in failovers:
                    await trio.sleep(pause_s)
                    group.promote(name, without_primary=without_primary)
                    await trio.sleep(0.05)
                    if without_primary:
                        group.promote(name)
            group.faults.clear()
            await trio.sleep(1)
            for name, outcomes in reported.items():
                effects = group.rows(COUNT, name)[0][0]
                self.assertLessEqual(effects, 1, name)
                if outcomes == ["no"] * len(outcomes):
                    self.assertEqual(0, effects, name)
                if "yes" in outcomes:
                    self.assertEqual(1, effects, name)

        run_with_fake_group(scenario)

    @with_fake_group
    async def test_a_retry_through_any_vm_gets_the_first_answer(self, group: FakeGroup) -> None:
        # Guards against a retry through another home that takes effect again or is answered
        # differently.
        executor = group.executor()
        first = await executor.execute(write("x", "k"))
        group.promote("b")
        again = await group.executor().execute(write("x", "k"))
        self.assertEqual((False, True), (first.replayed, again.replayed))
        self.assertEqual(1, len(first.results))
        self.assertEqual(first.results, again.results)
        self.assertGreaterEqual(again.reached, first.reached)
        with self.assertRaises(IdempotencyMismatchError):
            await executor.execute(write("y", "k"))
        other = await executor.execute(write("x", "k", organisation="other"))
        self.assertFalse(other.replayed)

    @with_fake_group
    async def test_a_replay_waits_until_the_record_is_acknowledged(self, group: FakeGroup) -> None:
        # Guards against replaying a record that a failover then discards, and against a home that
        # does not create the ledger table again after a failover discarded it.
        executor = group.executor()
        group.instances["b"].lagging = group.instances["c"].lagging = True
        for _ in range(2):
            executed, _reply = await execute_outcome(executor, write("x", "k"))
            self.assertEqual("unknown", executed)
        group.promote("b")
        group.instances["c"].lagging = False
        self.assertFalse((await executor.execute(write("x", "k"))).replayed)

    @with_fake_group
    async def test_a_lost_commit_answer_is_looked_up_without_retry_budget(
        self, group: FakeGroup
    ) -> None:
        # Guards against reporting an unknown outcome although the ledger has the answer.
        no_retries = RetrySettings(retry_ratio=0.0, min_retries_per_s=0.0)
        executor = group.executor(settings=ExecutionSettings(retries=no_retries))
        await executor.execute(write("w", "w"))
        group.faults.extend(("", "lost-answer"))
        self.assertTrue((await executor.execute(write("x", "k"))).replayed)
        # A connection that is lost before the commit leaves no effect.
        group.faults.append("lost-answer")
        executed, _reply = await execute_outcome(executor, write("v", "j"))
        self.assertEqual(("no", 0), (executed, group.rows(COUNT, "v")[0][0]))
        # The lost commit did not run, but only an acknowledged entry of a later term proves that.
        group.faults.extend(("", "lost-request"))
        executed, _reply = await execute_outcome(executor, write("y", "l"))
        self.assertEqual("unknown", executed)
        group.faults.extend(("", "lost-request"))
        async with trio.open_nursery() as nursery:
            outcomes: list[str] = []

            async def send() -> None:
                outcomes.append((await execute_outcome(executor, write("z", "m")))[0])

            nursery.start_soon(send)
            await trio.sleep(0.5)
            group.faults.clear()
            group.promote("b")
            await trio.sleep(0.2)
            await group.executor().execute(write("u"))
        self.assertEqual((["no"], 0), (outcomes, group.rows(COUNT, "z")[0][0]))

    @with_fake_group
    async def test_a_write_in_doubt_without_a_key_is_not_retried(self, group: FakeGroup) -> None:
        # Guards against a second effect when the first attempt still runs on its old connection,
        # also for a route that is marked repeatable.
        executor = group.executor()
        group.faults.append("late")
        executed, _reply = await execute_outcome(executor, write("x", repeatable=True))
        await trio.sleep(1)
        self.assertEqual(("unknown", 1), (executed, group.rows(COUNT, "x")[0][0]))

    @with_fake_group
    async def test_a_failed_statement_leaves_no_record(self, group: FakeGroup) -> None:
        # Guards against a key that stays claimed by a request without effect, and against an error
        # index that counts the ledger's own statement.
        executor = group.executor()
        invalid = WireStatement("INSERT INTO missing VALUES (1)", [])
        statements = (*write("x").statements, invalid)
        with self.assertRaises(SqlError) as caught:
            await executor.execute(write("x", "k", statements=statements))
        self.assertEqual(1, caught.exception.index)
        self.assertFalse((await executor.execute(write("x", "k"))).replayed)
        self.assertEqual(1, group.rows(COUNT, "x")[0][0])

    @with_fake_group
    async def test_old_records_are_pruned_in_batches(self, group: FakeGroup) -> None:
        # Guards against a ledger that grows without bound, and against one long-running delete.
        now = [0.0]
        ledger = Ledger(retention_s=400.0, prune_batch=2)
        executor = group.executor(ledger=ledger, wall_clock=lambda: now[0])
        for number in range(5):
            now[0] = 100.0 * number
            await executor.execute(write("x", f"k{number}"))
        now[0] = 650.0
        pruned = [await executor.prune_ledger() for _ in range(3)]
        self.assertEqual([2, 1, 0], pruned)
        self.assertTrue((await executor.execute(write("x", "k4"))).replayed)


class SessionTest(TestCase):
    steps = st.tuples(
        st.sampled_from(("write", "read", "stale-read")), st.sampled_from(FAULTS), st.integers(0, 3)
    )

    @settings(max_examples=60, deadline=None)
    @given(st.lists(steps, max_size=12), st.sets(st.sampled_from("bc")))
    def test_reads_include_all_that_their_session_has_seen(
        self, steps: list[tuple[str, Fault, int]], lagging: set[str]
    ) -> None:
        # Guards against a read that misses its session's write or returns an earlier state, on
        # lagging replicas and across failovers. If no read can include the session's entry, the
        # session must be reported as lost.
        async def scenario(group: FakeGroup) -> None:
            executor = group.executor()
            session, seen_rows = ZERO, 0
            for kind, fault, event in steps:
                group.instances["b"].lagging = event == 0 and "b" in lagging
                group.instances["c"].lagging = event == 0 and "c" in lagging
                if event == 3:
                    group.promote("b" if group.primary is group.instances["a"] else "a")
                group.faults.extend([fault] if fault else [])
                age_s = 60.0 if kind == "stale-read" else None
                request = read("x", session, max_staleness_s=age_s)
                if kind == "write":
                    request = write("x", session=session)
                try:
                    reply = await executor.execute(request)
                except SessionLostError:
                    session, seen_rows = ZERO, 0
                    continue
                except TanagerfrontError:
                    continue
                if kind == "write":
                    seen_rows += 1
                else:
                    self.assertGreaterEqual(reply.results[0].rows[0][0], seen_rows)
                    seen_rows = reply.results[0].rows[0][0]
                self.assertGreaterEqual(reply.reached, session)
                session = reply.reached

        run_with_fake_group(scenario)

    @with_fake_group
    async def test_the_answer_of_a_replica_is_compared_with_the_session(
        self, group: FakeGroup
    ) -> None:
        # Guards against the answer of a replica that is behind its last known status.
        executor = group.executor()
        replica = group.instances["b"]
        history, data = list(replica.entry_terms), replica.db.serialize()
        written = (await executor.execute(write("x"))).reached
        await trio.sleep(0.1)
        group.frozen_snapshot = group.snapshot
        replica.lagging, replica.entry_terms = True, history
        replica.db.deserialize(data)
        reply = await executor.execute(read("x", written, max_staleness_s=60.0))
        self.assertEqual((1, False), (reply.results[0].rows[0][0], reply.by_replica))

    @with_fake_group
    async def test_reads_with_a_staleness_bound_use_replicas(self, group: FakeGroup) -> None:
        # Guards against load on the primary from reads that replicas could serve.
        executor = group.executor()
        written = (await executor.execute(write("x"))).reached
        await trio.sleep(0.1)
        for _ in range(20):
            reply = await executor.execute(read("x", written, max_staleness_s=1.0))
            self.assertTrue(reply.by_replica)

    @with_fake_group
    async def test_a_primary_read_waits_until_its_data_is_replicated(
        self, group: FakeGroup
    ) -> None:
        # Guards against a session that sees an entry which a failover then discards.
        executor = group.executor()
        group.instances["b"].lagging = group.instances["c"].lagging = True
        self.assertEqual("unknown", (await execute_outcome(executor, write("x")))[0])
        executed, reply = await execute_outcome(executor, read("x"))
        self.assertEqual(("unknown", None), (executed, reply))

    @with_fake_group
    async def test_a_read_after_a_write_waits_for_a_replica(self, group: FakeGroup) -> None:
        # Guards against sending all reads that directly follow their session's write to the
        # primary.
        executor = group.executor()
        replicas = (group.instances["b"], group.instances["c"])
        for by_replica, applied_after_s in ((True, 0.02), (False, 0.2)):
            replicas[0].unapplied_entries = replicas[1].unapplied_entries = 1
            written = (await executor.execute(write("x"))).reached
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._apply_after, replicas, applied_after_s)
                reply = await executor.execute(read("x", written, max_staleness_s=1.0))
            self.assertEqual(by_replica, reply.by_replica)

    @with_fake_group
    async def test_the_wait_for_a_slot_counts_towards_the_staleness(self, group: FakeGroup) -> None:
        # Guards against data that was within the staleness bound before the wait for a slot, but
        # not when it was read.
        executor = group.executor()
        release_slots = await occupy_slots(group, "abc")
        async with trio.open_nursery() as nursery:

            async def send() -> None:
                reply = await executor.execute(read("x", max_staleness_s=0.1))
                self.assertFalse(reply.by_replica)

            nursery.start_soon(send)
            await trio.sleep(0.3)
            for name in "bc":
                group.instances[name].age_ms = 300.0
            release_slots()

    async def _apply_after(self, replicas: tuple[FakeInstance, ...], delay_s: float) -> None:
        await trio.sleep(delay_s)
        for replica in replicas:
            replica.unapplied_entries = 0


class RetryTest(TestCase):
    @with_fake_group
    async def test_queued_requests_are_not_sent_to_a_leaving_primary(
        self, group: FakeGroup
    ) -> None:
        # Guards against a leaving instance that gets new statements from requests in its queue.
        executor = group.executor()
        release_slots = await occupy_slots(group, "a")
        async with trio.open_nursery() as nursery:

            async def send() -> None:
                self.assertEqual("b", (await executor.execute(write("x"))).instance)

            nursery.start_soon(send)
            await trio.sleep(0.1)
            group.handing_over = True
            release_slots()
            await trio.sleep(0.1)
            group.promote("b")
            group.handing_over = False

    @with_fake_group
    async def test_a_session_lost_in_the_queue_releases_the_slot(self, group: FakeGroup) -> None:
        # Guards against a slot that leaks when the check after the wait for it raises an error.
        executor = group.executor()
        group.instances["b"].lagging = group.instances["c"].lagging = True
        await execute_outcome(executor, write("x"))
        release_slots = await occupy_slots(group, "a")
        async with trio.open_nursery() as nursery:

            async def send() -> None:
                with self.assertRaises(SessionLostError):
                    await executor.execute(write("y", session=EntryId(1, 1)))

            nursery.start_soon(send)
            await trio.sleep(0.1)
            group.promote("b")
            release_slots()
        self.assertEqual(0, group.schedulers["a"].in_flight)

    @with_fake_group
    async def test_the_token_is_checked_when_the_statement_is_sent(self, group: FakeGroup) -> None:
        # Guards against a statement that runs after its rate token expired and was granted again.
        executor = group.executor()
        release_slots = await occupy_slots(group, "a")
        async with trio.open_nursery() as nursery:

            async def send() -> None:
                with self.assertRaises(RateLimitedError):
                    await executor.execute(write("x", token_lifetime_s=0.5))

            nursery.start_soon(send)
            await trio.sleep(0.6)
            release_slots()
        self.assertEqual(0, group.rows(COUNT, "x")[0][0])

    @with_fake_group
    async def test_a_failover_refuses_no_request(self, group: FakeGroup) -> None:
        # Guards against refusing requests that only need to wait for the new primary.
        executor = group.executor()
        outcomes: list[str] = []

        async def send(number: int) -> None:
            outcomes.append((await execute_outcome(executor, write(f"x{number}", f"k{number}")))[0])

        async with trio.open_nursery() as nursery:
            for number in range(40):
                nursery.start_soon(send, number)
            group.instances["a"].refuses_connections = True
            group.faults.extend(["stale"] * 30)
            await trio.sleep(0.3)
            group.faults.clear()
            group.promote("b")
        self.assertEqual({"yes"}, set(outcomes))

    def test_retries_are_limited_to_a_share_of_traffic(self) -> None:
        # Guards against retries that multiply the load of a slow or failing instance.
        async def main() -> None:
            budget = RetryBudget(RetrySettings(retry_ratio=0.25, min_retries_per_s=0.0))
            for _ in range(40):
                budget.record_request()
            self.assertEqual(10, [budget.try_acquire() for _ in range(50)].count(True))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    @with_fake_group
    async def test_an_earlier_attempt_in_doubt_is_not_reported_as_not_run(
        self, group: FakeGroup
    ) -> None:
        # Guards against reporting that a request did not run because its last attempt did not, when
        # the answer of an earlier attempt was lost.
        executor = group.executor()
        await executor.execute(read("x"))
        group.faults.append("lost-answer")
        group.nursery.start_soon(self._stop_instances, group)
        with self.assertRaises(OutcomeUnknownError):
            await executor.execute(read("x"))

    async def _stop_instances(self, group: FakeGroup) -> None:
        await trio.sleep(0.0005)
        for instance in group.instances.values():
            instance.refuses_connections = True

    @with_fake_group
    async def test_a_lock_timeout_is_retried(self, group: FakeGroup) -> None:
        # Guards against reporting an SQL error when another transaction only held the lock for too
        # long.
        group.faults.append("busy")
        await group.executor().execute(write("x"))

    @with_fake_group
    async def test_a_read_is_retried_on_another_replica(self, group: FakeGroup) -> None:
        # Guards against a read that fails because of one unresponsive connection although another
        # replica could serve it.
        executor = group.executor()
        group.faults.append("lost-request")
        reply = await executor.execute(read("x", max_staleness_s=1.0))
        self.assertTrue(reply.by_replica)
        self.assertNotEqual(group.failures[-1], reply.instance)
        no_retries = RetrySettings(retry_ratio=0.0, min_retries_per_s=0.0)
        no_retry_executor = group.executor(settings=ExecutionSettings(retries=no_retries))
        group.faults.append("lost-request")
        with self.assertRaises(ConnectionLostError):
            await no_retry_executor.execute(read("x", max_staleness_s=1.0))
