"""Execution at a home: at most once, truthful errors, session guarantees and retries."""

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


async def outcome(executor: Executor, request: ExecuteRequest) -> tuple[str, ExecuteReply | None]:
    """Return whether the request ran as the executor tells it, and the reply."""
    try:
        return "yes", await executor.execute(request)
    except TanagerfrontError as error:
        return error.executed, None


async def occupy(group: FakeGroup, names: str) -> Callable[[], None]:
    """Take all slots of the named instances; return a function that releases them."""
    queues = [group.schedulers[name] for name in names for _ in range(4)]
    taken = [(queue, await queue.acquire("z", 1, RequestClass.ORDERS, 1e9)) for queue in queues]

    def free() -> None:
        for queue, slot in taken:
            queue.release(slot)

    return free


class AtMostOnceTest(TestCase):
    keys = st.sampled_from((None, None, "k1", "k2"))
    events = st.lists(
        st.tuples(st.floats(0, 0.5), st.sampled_from("abc"), st.booleans()), max_size=3
    )

    @settings(max_examples=100, deadline=None)
    @given(st.lists(keys, max_size=6), st.lists(st.sampled_from(FAULTS), max_size=25), events)
    def test_effects_match_what_callers_are_told(
        self, keys: list[str | None], faults: list[Fault], events: list[tuple[float, str, bool]]
    ) -> None:
        # Guards against a second effect of one request under lost answers, late statements and
        # failovers, against a "not run" for a request that ran, and against a lost answer.
        async def scenario(group: FakeGroup) -> None:
            executor = group.executor()
            told: dict[str, list[str]] = {}

            async def send(name: str, key: str | None) -> None:
                ran, _reply = await outcome(executor, write(name, key))
                told.setdefault(name, []).append(ran)

            group.faults.extend(faults)
            async with trio.open_nursery() as nursery:
                for number, key in enumerate(keys):
                    nursery.start_soon(send, key or f"unkeyed {number}", key)
                for pause_s, name, gap in events:
                    await trio.sleep(pause_s)
                    group.promote(name, gap=gap)
                    await trio.sleep(0.05)
                    if gap:
                        group.promote(name)
            group.faults.clear()
            await trio.sleep(1)
            for name, verdicts in told.items():
                effects = group.rows(COUNT, name)[0][0]
                self.assertLessEqual(effects, 1, name)
                if verdicts == ["no"] * len(verdicts):
                    self.assertEqual(0, effects, name)
                if "yes" in verdicts:
                    self.assertEqual(1, effects, name)

        run_with_fake_group(scenario)

    @with_fake_group
    async def test_repeat_gets_the_first_answer_on_any_vm(self, group: FakeGroup) -> None:
        # Guards against a second effect, and another answer, for a repeat through another home.
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
    async def test_replay_waits_until_the_record_is_acknowledged(self, group: FakeGroup) -> None:
        # Guards against the answer of a record that a failover then discards, and against a home
        # that believes in a ledger table which was discarded too.
        executor = group.executor()
        group.instances["b"].lagging = group.instances["c"].lagging = True
        for _ in range(2):
            ran, _reply = await outcome(executor, write("x", "k"))
            self.assertEqual("unknown", ran)
        group.promote("b")
        group.instances["c"].lagging = False
        self.assertFalse((await executor.execute(write("x", "k"))).replayed)

    @with_fake_group
    async def test_lost_commit_answer_is_looked_up_without_retry_budget(
        self, group: FakeGroup
    ) -> None:
        # Guards against an unknown outcome that the ledger could have told.
        nothing = RetrySettings(share=0.0, floor_per_s=0.0)
        executor = group.executor(settings=ExecutionSettings(retries=nothing))
        await executor.execute(write("w", "w"))
        group.faults.extend(("", "lost-answer"))
        self.assertTrue((await executor.execute(write("x", "k"))).replayed)
        # Without a commit a lost connection leaves no effect.
        group.faults.append("lost-answer")
        ran, _reply = await outcome(executor, write("v", "j"))
        self.assertEqual(("no", 0), (ran, group.rows(COUNT, "v")[0][0]))
        # The lost commit did not run, but only a later acknowledged term proves that.
        group.faults.extend(("", "lost-request"))
        ran, _reply = await outcome(executor, write("y", "l"))
        self.assertEqual("unknown", ran)
        group.faults.extend(("", "lost-request"))
        async with trio.open_nursery() as nursery:
            verdicts: list[str] = []

            async def send() -> None:
                verdicts.append((await outcome(executor, write("z", "m")))[0])

            nursery.start_soon(send)
            await trio.sleep(0.5)
            group.faults.clear()
            group.promote("b")
            await trio.sleep(0.2)
            await group.executor().execute(write("u"))
        self.assertEqual((["no"], 0), (verdicts, group.rows(COUNT, "z")[0][0]))

    @with_fake_group
    async def test_doubtful_write_without_key_is_not_repeated(self, group: FakeGroup) -> None:
        # Guards against a second effect from an attempt that still runs on its old connection,
        # also for a route that is marked repeatable.
        executor = group.executor()
        group.faults.append("late")
        ran, _reply = await outcome(executor, write("x", repeatable=True))
        await trio.sleep(1)
        self.assertEqual(("unknown", 1), (ran, group.rows(COUNT, "x")[0][0]))

    @with_fake_group
    async def test_failed_statement_leaves_no_record(self, group: FakeGroup) -> None:
        # Guards against a key that is used up by a request that had no effect, and against an
        # index that counts the ledger's own statement.
        executor = group.executor()
        wrong = WireStatement("INSERT INTO missing VALUES (1)", [])
        statements = (*write("x").statements, wrong)
        with self.assertRaises(SqlError) as caught:
            await executor.execute(write("x", "k", statements=statements))
        self.assertEqual(1, caught.exception.index)
        self.assertFalse((await executor.execute(write("x", "k"))).replayed)
        self.assertEqual(1, group.rows(COUNT, "x")[0][0])

    @with_fake_group
    async def test_old_records_are_pruned_in_batches(self, group: FakeGroup) -> None:
        # Guards against a ledger that grows without bound, and against one long delete.
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
    def test_reads_see_all_that_their_session_saw(
        self, steps: list[tuple[str, Fault, int]], lagging: set[str]
    ) -> None:
        # Guards against a read that misses its session's write or goes back in time, on lagging
        # replicas and across failovers; one that cannot be served must end as lost.
        async def scenario(group: FakeGroup) -> None:
            executor = group.executor()
            session, seen = ZERO, 0
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
                    session, seen = ZERO, 0
                    continue
                except TanagerfrontError:
                    continue
                if kind == "write":
                    seen += 1
                else:
                    self.assertGreaterEqual(reply.results[0].rows[0][0], seen)
                    seen = reply.results[0].rows[0][0]
                self.assertGreaterEqual(reply.reached, session)
                session = reply.reached

        run_with_fake_group(scenario)

    @with_fake_group
    async def test_answer_of_a_replica_is_checked_itself(self, group: FakeGroup) -> None:
        # Guards against a replica that fell behind after its status was seen.
        executor = group.executor()
        replica = group.instances["b"]
        history, data = list(replica.entry_terms), replica.db.serialize()
        reached = (await executor.execute(write("x"))).reached
        await trio.sleep(0.1)
        group.frozen_view = group.snapshot
        replica.lagging, replica.entry_terms = True, history
        replica.db.deserialize(data)
        reply = await executor.execute(read("x", reached, max_staleness_s=60.0))
        self.assertEqual((1, False), (reply.results[0].rows[0][0], reply.by_replica))

    @with_fake_group
    async def test_reads_with_a_stated_age_use_replicas(self, group: FakeGroup) -> None:
        # Guards against reads that load the primary although replicas are recent enough.
        executor = group.executor()
        reached = (await executor.execute(write("x"))).reached
        await trio.sleep(0.1)
        for _ in range(20):
            reply = await executor.execute(read("x", reached, max_staleness_s=1.0))
            self.assertTrue(reply.by_replica)

    @with_fake_group
    async def test_primary_read_waits_until_its_data_is_replicated(self, group: FakeGroup) -> None:
        # Guards against a session that sees an entry which a failover then discards.
        executor = group.executor()
        group.instances["b"].lagging = group.instances["c"].lagging = True
        self.assertEqual("unknown", (await outcome(executor, write("x")))[0])
        ran, reply = await outcome(executor, read("x"))
        self.assertEqual(("unknown", None), (ran, reply))

    @with_fake_group
    async def test_read_after_a_write_waits_for_a_replica(self, group: FakeGroup) -> None:
        # Guards against reads that all go to the primary when each follows its session's write.
        executor = group.executor()
        replicas = (group.instances["b"], group.instances["c"])
        for each, applied_after_s in ((True, 0.02), (False, 0.2)):
            replicas[0].unapplied = replicas[1].unapplied = 1
            reached = (await executor.execute(write("x"))).reached
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._apply_after, replicas, applied_after_s)
                reply = await executor.execute(read("x", reached, max_staleness_s=1.0))
            self.assertEqual(each, reply.by_replica)

    @with_fake_group
    async def test_wait_for_a_slot_counts_towards_the_age(self, group: FakeGroup) -> None:
        # Guards against data that was young enough before the wait, but not when it was read.
        executor = group.executor()
        free = await occupy(group, "abc")
        async with trio.open_nursery() as nursery:

            async def send() -> None:
                reply = await executor.execute(read("x", max_staleness_s=0.1))
                self.assertFalse(reply.by_replica)

            nursery.start_soon(send)
            await trio.sleep(0.3)
            for name in "bc":
                group.instances[name].age_ms = 300.0
            free()

    async def _apply_after(self, replicas: tuple[FakeInstance, ...], delay_s: float) -> None:
        await trio.sleep(delay_s)
        for each in replicas:
            each.unapplied = 0


class RetryTest(TestCase):
    @with_fake_group
    async def test_queued_work_is_not_sent_to_a_primary_that_leaves(self, group: FakeGroup) -> None:
        # Guards against new work for a leaving instance from requests that waited in its queue.
        executor = group.executor()
        free = await occupy(group, "a")
        async with trio.open_nursery() as nursery:

            async def send() -> None:
                self.assertEqual("b", (await executor.execute(write("x"))).instance)

            nursery.start_soon(send)
            await trio.sleep(0.1)
            group.handing_over = True
            free()
            await trio.sleep(0.1)
            group.promote("b")
            group.handing_over = False

    @with_fake_group
    async def test_session_lost_in_the_queue_returns_the_slot(self, group: FakeGroup) -> None:
        # Guards against slots that leak when the check after the wait refuses the request.
        executor = group.executor()
        group.instances["b"].lagging = group.instances["c"].lagging = True
        await outcome(executor, write("x"))
        free = await occupy(group, "a")
        async with trio.open_nursery() as nursery:

            async def send() -> None:
                with self.assertRaises(SessionLostError):
                    await executor.execute(write("y", session=EntryId(1, 1)))

            nursery.start_soon(send)
            await trio.sleep(0.1)
            group.promote("b")
            free()
        self.assertEqual(0, group.schedulers["a"].in_flight)

    @with_fake_group
    async def test_token_is_checked_when_the_statement_leaves(self, group: FakeGroup) -> None:
        # Guards against a statement that runs after its rate token was given to another.
        executor = group.executor()
        free = await occupy(group, "a")
        async with trio.open_nursery() as nursery:

            async def send() -> None:
                with self.assertRaises(RateLimitedError):
                    await executor.execute(write("x", token_lifetime_s=0.5))

            nursery.start_soon(send)
            await trio.sleep(0.6)
            free()
        self.assertEqual(0, group.rows(COUNT, "x")[0][0])

    @with_fake_group
    async def test_failover_refuses_nothing(self, group: FakeGroup) -> None:
        # Guards against refusals of requests that only had to wait for the new primary.
        executor = group.executor()
        verdicts: list[str] = []

        async def send(number: int) -> None:
            verdicts.append((await outcome(executor, write(f"x{number}", f"k{number}")))[0])

        async with trio.open_nursery() as nursery:
            for number in range(40):
                nursery.start_soon(send, number)
            group.instances["a"].refuses = True
            group.faults.extend(["stale"] * 30)
            await trio.sleep(0.3)
            group.faults.clear()
            group.promote("b")
        self.assertEqual({"yes"}, set(verdicts))

    def test_retries_are_a_share_of_traffic(self) -> None:
        # Guards against repeats that multiply the load of an instance in trouble.
        async def main() -> None:
            budget = RetryBudget(RetrySettings(share=0.25, floor_per_s=0.0))
            for _ in range(40):
                budget.note_request()
            self.assertEqual(10, [budget.take() for _ in range(50)].count(True))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    @with_fake_group
    async def test_errors_after_an_earlier_attempt_do_not_claim_not_run(
        self, group: FakeGroup
    ) -> None:
        # Guards against the verdict of the last attempt replacing that of the first.
        executor = group.executor()
        await executor.execute(read("x"))
        group.faults.append("lost-answer")
        group.nursery.start_soon(self._stop_instances, group)
        with self.assertRaises(OutcomeUnknownError):
            await executor.execute(read("x"))

    async def _stop_instances(self, group: FakeGroup) -> None:
        await trio.sleep(0.0005)
        for each in group.instances.values():
            each.refuses = True

    @with_fake_group
    async def test_lock_timeout_is_repeated(self, group: FakeGroup) -> None:
        # Guards against an error of the caller's SQL that only reports another's transaction.
        group.faults.append("busy")
        await group.executor().execute(write("x"))

    @with_fake_group
    async def test_read_is_repeated_on_another_replica(self, group: FakeGroup) -> None:
        # Guards against one silent connection that fails reads others could serve.
        executor = group.executor()
        group.faults.append("lost-request")
        reply = await executor.execute(read("x", max_staleness_s=1.0))
        self.assertTrue(reply.by_replica)
        self.assertNotEqual(group.failures[-1], reply.instance)
        nothing = RetrySettings(share=0.0, floor_per_s=0.0)
        strict = group.executor(settings=ExecutionSettings(retries=nothing))
        group.faults.append("lost-request")
        with self.assertRaises(ConnectionLostError):
            await strict.execute(read("x", max_staleness_s=1.0))
