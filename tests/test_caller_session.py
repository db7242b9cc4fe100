"""Sessions of callers: choice of the instance, at most one execution, isolation of callers."""

from __future__ import annotations

import itertools
from collections import Counter
from typing import Any

import trio
import trio.testing

from front_fakes import (
    GROUP,
    FakeInstance,
    RecordingLog,
    configuration,
    registration,
    route,
)
from support import TestCase, trio_test
from tanagerfront.caller_session import CallerSession, SessionServices
from tanagerfront.confirmed_state import ConfirmedState, StalenessLimits
from tanagerfront.entry_id import EntryId
from tanagerfront.errors import ConnectionLostError
from tanagerfront.evacuation import Evacuation
from tanagerfront.front_metrics import FrontMetrics
from tanagerfront.instance_directory import InstanceDirectory, PrimaryRecord
from tanagerfront.instance_pool import InstanceStatement, PoolLimits
from tanagerfront.platform.lines import decode_caller_line
from tanagerfront.rate_shares import UNKNOWN_LENDER, RateShares, TokenLoanRequest
from tanagerfront.session_model import (
    Begin,
    Connect,
    Failure,
    FailureCode,
    GroupOptions,
    InstanceLoad,
    InstanceRegistration,
    Organisation,
    Prepare,
    Query,
    Reply,
    ResetSession,
    RouteKind,
    SetValue,
    TransactionState,
    Urgency,
    boottime_s,
)
from tanagerfront.session_record import RefusedError

OTHER_GROUP = "stock"
LIMITS = StalenessLimits(keys_s=4.5, primary_s=3.0, lease_s=4.0, leaving_s=5.5)


class Vm:
    """One VM, and a group of a primary and two replicas."""

    def __init__(self) -> None:
        self.primary = FakeInstance("p")
        self.replicas = [FakeInstance("r1", is_primary=False), FakeInstance("r2", is_primary=False)]
        # The primary of another group, which is not registered at the start.
        self.other_primary = FakeInstance("other-p")
        self.log = RecordingLog()
        self.confirmed_state = ConfirmedState(LIMITS)
        self.directory = InstanceDirectory(self._open, "suame")
        self.confirmed_state.on_primaries_confirmed = self.directory.notify_all
        self.rates = RateShares("vm", self._borrow, lambda _vm, _organisation: 0)
        services = SessionServices(
            self.confirmed_state, self.directory, self.rates, self.log, FrontMetrics()
        )
        self.services = services
        self._ids = itertools.count()

    @property
    def instances(self) -> dict[str, FakeInstance]:
        return {instance.id: instance for instance in [self.primary, *self.replicas]}

    @property
    def group(self) -> Any:
        return self.directory.group(GROUP)

    async def start(self, rate: float = 1000.0) -> None:
        organisations = {"foremen": Organisation("foremen", rate, rate)}
        configured = configuration(organisations=organisations)
        self.confirmed_state.apply(configured)
        self.confirmed_state.register(boottime_s())
        self.confirmed_state.confirm(boottime_s())
        self.rates.configure(configured.organisations, ["vm", "vm-2", "vm-3"])
        self.rates.configure(configured.organisations, ["vm"])
        await self.directory.set_connection_shares(1, {GROUP: 16})
        for instance in self.instances.values():
            await self.directory.apply(registration(instance.id, primary=instance is self.primary))
        await trio.sleep(1)

    async def move_routes(self, group: str, version: int) -> None:
        """Apply a configuration in which all routes lead to a group."""
        current = self.confirmed_state.configuration
        assert current is not None
        self.confirmed_state.apply(
            current._replace(
                version=version,
                routes={kind.value: route(kind)._replace(group=group) for kind in RouteKind},
                groups={name: GroupOptions(name, 16, 0) for name in (GROUP, OTHER_GROUP)},
            )
        )
        entry = registration(self.other_primary.id, primary=True, group=OTHER_GROUP)
        await self.directory.apply(entry)

    def sample(self, position: EntryId | None = None) -> None:
        """Replace the samples by one of the primary's position at this moment."""
        self.group.samples.clear()
        self.group.samples.add(boottime_s(), position or self.primary.position)

    def prefer_replicas(self) -> None:
        """Let reads go to the replicas unless they need a newer entry than the sample."""
        self.group.instances["p"].response_s = 1.0
        self.sample(EntryId(1, 2))

    def session(self, kind: RouteKind, key: str = "secret") -> Caller:
        return Caller(CallerSession(self.services, Connect(kind.value, key)), self._ids)

    async def _open(self, registration: InstanceRegistration, organisation: str) -> Any:
        known = self.instances | {self.other_primary.id: self.other_primary}
        return await known[registration.id].open(registration, organisation)

    async def _borrow(self, _request: TokenLoanRequest, _lender: str) -> int:
        return UNKNOWN_LENDER


class Caller:
    """A caller that sends statements as text."""

    def __init__(self, session: CallerSession, ids: Any) -> None:
        self.session = session
        self._ids = ids

    async def send(self, text: str) -> Reply:
        line = f"QUERY q{next(self._ids)} {text}".encode()
        query = decode_caller_line(line, trio.current_time())
        assert isinstance(query, Query)
        return await self.session.execute(query)

    async def code(self, text: str) -> FailureCode | None:
        failure = (await self.send(text)).failure
        return failure.code if failure else None


async def start_vm(rate: float = 1000.0) -> Vm:
    vm = Vm()
    await vm.start(rate)
    return vm


class PlacementTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_a_read_of_a_primary_route_runs_at_the_primary(self) -> None:
        # Guards against a read at a replica that lacks a commit acknowledged before the read.
        vm = await start_vm()
        vm.sample()
        reply = await vm.session(RouteKind.PRIMARY).send("READ 1")
        self.assertEqual((b"row",), reply.rows)
        self.assertEqual(["READ 1"], vm.primary.caller_statements)

    @trio_test(mock_clock=True)
    async def test_a_bounded_read_at_a_replica_requires_the_sampled_entry(self) -> None:
        vm = await start_vm()
        vm.sample(EntryId(1, 9))
        await vm.session(RouteKind.BOUNDED).send("READ 1")
        statements = [statement for replica in vm.replicas for _, statement in replica.received]
        self.assertEqual([EntryId(1, 9)], [statement.after for statement in statements])

    @trio_test(mock_clock=True)
    async def test_a_bounded_read_runs_at_the_primary_if_there_is_no_recent_sample(self) -> None:
        vm = await start_vm()
        await vm.session(RouteKind.BOUNDED).send("READ 1")
        self.assertEqual(["READ 1"], vm.primary.caller_statements)

    @trio_test(mock_clock=True)
    async def test_a_read_that_lagging_replicas_refuse_runs_at_the_primary(self) -> None:
        vm = await start_vm()
        for replica in vm.replicas:
            replica.position = EntryId(1, 3)
        vm.sample()
        reply = await vm.session(RouteKind.BOUNDED).send("READ 1")
        self.assertIsNone(reply.failure)
        self.assertEqual(["READ 1"], vm.primary.caller_statements)

    @trio_test(mock_clock=True)
    async def test_a_session_reads_its_own_writes(self) -> None:
        # Guards against a read at a replica that is within the staleness bound but lacks the
        # session's own commit.
        vm = await start_vm()
        vm.sample(EntryId(1, 2))
        caller = vm.session(RouteKind.READ_YOUR_WRITES)
        await caller.send("WRITE 1 x")
        await caller.send("READ 1")
        written = vm.primary.position
        required = [statement.after for replica in vm.replicas for _, statement in replica.received]
        self.assertTrue(all(after is not None and after >= written for after in required))
        self.assertIn("READ 1", vm.primary.caller_statements)

    @trio_test(mock_clock=True)
    async def test_a_session_keeps_sight_of_its_writes_while_its_route_changes_groups(self) -> None:
        # Guards against a session that reads at a lagging replica without its own write, because it
        # has written in another group since.
        vm = await start_vm()
        caller = vm.session(RouteKind.READ_YOUR_WRITES)
        await caller.send("WRITE 1 x")
        await vm.move_routes(OTHER_GROUP, 2)
        await caller.send("WRITE 2 y")
        await vm.move_routes(GROUP, 3)
        vm.prefer_replicas()
        await caller.send("READ 1")
        self.assertEqual(["WRITE 2 y"], vm.other_primary.caller_statements)
        self.assertEqual(["WRITE 1 x", "READ 1"], vm.primary.caller_statements)

    @trio_test(mock_clock=True)
    async def test_a_session_reads_at_the_primary_if_its_write_has_no_known_position(self) -> None:
        # Guards against a read at a lagging replica after a write whose reply named no position.
        vm = await start_vm()
        vm.prefer_replicas()
        vm.primary.answer = lambda _instance, _statement: Reply(signature=b"signed")
        caller = vm.session(RouteKind.READ_YOUR_WRITES)
        await caller.send("WRITE 1 x")
        await caller.send("READ 1")
        self.assertEqual(["WRITE 1 x", "READ 1"], vm.primary.caller_statements)

    @trio_test(mock_clock=True)
    async def test_the_primary_is_not_used_while_the_store_has_not_confirmed_it(self) -> None:
        # Guards against reads and writes at a primary that was replaced while this VM could not
        # reach the store.
        vm = await start_vm()
        vm.confirmed_state.suspend_primaries(newer_revision=2)
        self.assertEqual(
            FailureCode.OVERLOADED, await vm.session(RouteKind.PRIMARY).code("WRITE 1 x")
        )
        self.assertEqual([], vm.primary.caller_statements)

    @trio_test(mock_clock=True)
    async def test_a_write_waits_for_a_failover_to_complete(self) -> None:
        vm = await start_vm()
        vm.directory.set_primary_record(PrimaryRecord(GROUP, "p", 2, True, 5))

        async def complete_failover() -> None:
            await trio.sleep(0.2)
            vm.replicas[0].is_primary = True
            vm.directory.set_primary_record(PrimaryRecord(GROUP, "r1", 2, False, 6))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(complete_failover)
            reply = await vm.session(RouteKind.PRIMARY).send("WRITE 1 x")
        self.assertIsNone(reply.failure)
        self.assertEqual(["WRITE 1 x"], vm.replicas[0].caller_statements)

    @trio_test(mock_clock=True)
    async def test_a_waiting_write_runs_as_soon_as_the_primary_is_confirmed(self) -> None:
        # Guards against statements that wait until they are refused although the primary became
        # usable: a confirmation woke none of them (melegkez-front trouble-3, 11.76 s to 13 s).
        vm = await start_vm()
        vm.confirmed_state.suspend_primaries(newer_revision=2)
        started_at = trio.current_time()

        async def confirm() -> None:
            await trio.sleep(0.1)
            vm.confirmed_state.confirm(boottime_s())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(confirm)
            reply = await vm.session(RouteKind.PRIMARY).send("WRITE 1 x")
        self.assertIsNone(reply.failure)
        self.assertLess(trio.current_time() - started_at, 0.15)

    @trio_test(mock_clock=True)
    async def test_a_waiting_write_runs_as_soon_as_the_primary_answers_again(self) -> None:
        # Guards against statements that wait for the next probe, or until they are refused, after
        # the answer to an earlier statement showed that the primary is reachable.
        vm = await start_vm()
        vm.primary.work_s = 0.2
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(vm.session(RouteKind.PRIMARY).send, "READ 1")
            await trio.sleep(0.1)
            vm.group.primary.record_failure()
            vm.primary.work_s = 0.005
            reply = await vm.session(RouteKind.PRIMARY).send("WRITE 1 x")
        self.assertIsNone(reply.failure)
        self.assertLess(trio.current_time() - started_at, 0.3)

    @trio_test(mock_clock=True)
    async def test_a_refusal_names_the_group_and_what_prevents_the_use_of_its_primary(self) -> None:
        # Guards against a refusal whose cause can't be found in the log.
        vm = await start_vm()
        vm.confirmed_state.suspend_primaries(newer_revision=2)
        await vm.session(RouteKind.PRIMARY).code("WRITE 1 x")
        [refused] = vm.log.inputs_of("refused")
        found = {name: refused[name] for name in ("group", "primary", "obstacle")}
        self.assertEqual({"group": GROUP, "primary": "p", "obstacle": "not-confirmed"}, found)

    @trio_test(mock_clock=True)
    async def test_a_write_without_a_primary_is_refused_in_time_for_a_retry(self) -> None:
        vm = await start_vm()
        vm.directory.set_primary_record(PrimaryRecord(GROUP, "p", 2, True, 5))
        started_at = trio.current_time()
        code = await vm.session(RouteKind.PRIMARY).code("WRITE 1 x")
        self.assertEqual(FailureCode.OVERLOADED, code)
        self.assertLessEqual(trio.current_time() - started_at, 0.5)


class RetryTest(TestCase):
    # Guards against a write that is executed twice, and against a failure code that claims an
    # outcome which is not certain.

    @trio_test(mock_clock=True)
    async def test_a_write_without_a_reply_is_in_doubt_and_not_retried(self) -> None:
        vm = await start_vm()
        vm.primary.loses_connection = True
        code = await vm.session(RouteKind.PRIMARY).code("WRITE 1 x")
        self.assertEqual(FailureCode.IN_DOUBT, code)
        self.assertEqual(["WRITE 1 x"], vm.primary.caller_statements)

    @trio_test(mock_clock=True)
    async def test_a_write_without_a_reply_ends_at_the_timeout_of_the_route(self) -> None:
        vm = await start_vm()
        vm.primary.answer = lambda _instance, _statement: None
        started_at = trio.current_time()
        code = await vm.session(RouteKind.PRIMARY).code("WRITE 1 x")
        self.assertEqual(FailureCode.TIMEOUT, code)
        self.assertAlmostEqual(1.0, trio.current_time() - started_at, delta=0.05)

    @trio_test(mock_clock=True)
    async def test_no_write_is_sent_after_its_deadline(self) -> None:
        # Guards against a write that a VM makes when it has been frozen between the choice of a
        # connection and the send.
        vm = await start_vm()
        session = vm.session(RouteKind.PRIMARY).session
        acquire = session._acquire_connection

        async def acquire_and_freeze(*arguments: Any) -> Any:
            placement = await acquire(*arguments)
            await trio.sleep(5.0)
            return placement

        session._acquire_connection = acquire_and_freeze  # type: ignore[method-assign]
        query = decode_caller_line(b"QUERY q WRITE 1 x", trio.current_time())
        assert isinstance(query, Query)
        reply = await session.execute(query)
        assert reply.failure is not None
        self.assertEqual(FailureCode.TIMEOUT, reply.failure.code)
        self.assertEqual([], vm.primary.received)

    @trio_test(mock_clock=True)
    async def test_a_read_without_a_reply_is_retried_at_another_instance(self) -> None:
        vm = await start_vm()
        vm.sample()
        vm.replicas[0].loses_connection = vm.replicas[1].loses_connection = True
        reply = await vm.session(RouteKind.BOUNDED).send("READ 1")
        self.assertIsNone(reply.failure)

    @trio_test(mock_clock=True)
    async def test_a_write_that_was_not_executed_is_retried(self) -> None:
        vm = await start_vm()
        default_answer = vm.primary.answer
        refusals = [Reply(failure=Failure(FailureCode.READ_ONLY, "not yet the primary"))]
        vm.primary.answer = lambda instance, statement: (
            refusals.pop() if refusals else default_answer(instance, statement)
        )
        self.assertIsNone(await vm.session(RouteKind.PRIMARY).code("WRITE 1 x"))
        self.assertEqual(2, len(vm.primary.caller_statements))

    @trio_test(mock_clock=True)
    async def test_a_write_at_an_overloaded_primary_is_not_retried(self) -> None:
        # Guards against retries that add to the load of the only instance that can execute writes.
        vm = await start_vm()
        full = Reply(failure=Failure(FailureCode.OVERLOADED, "full"))
        vm.primary.answer = lambda _instance, _statement: full
        code = await vm.session(RouteKind.PRIMARY).code("WRITE 1 x")
        self.assertEqual((FailureCode.OVERLOADED, 1), (code, len(vm.primary.caller_statements)))

    @trio_test(mock_clock=True)
    async def test_what_the_queue_of_a_home_refuses_is_not_sent_to_it_again(self) -> None:
        # Guards against retries within milliseconds that multiply the load of a full queue by five.
        # After a failover they kept a fleet from serving its callers for many seconds.
        for kind, texts in (
            (RouteKind.PRIMARY, ["READ 1"]),
            (RouteKind.PRIMARY, ["BEGIN", "WRITE 1 x"]),
            (RouteKind.BOUNDED, ["READ 1"]),
        ):
            vm = await start_vm()
            refused = 0

            def refuse(_instance: FakeInstance, _statement: object) -> Reply:
                nonlocal refused
                refused += 1
                # A home's own refusal carries no position of the instance's log.
                return Reply(failure=Failure(FailureCode.OVERLOADED, "queue"))

            vm.primary.answer = refuse
            caller = vm.session(kind)
            codes = [await caller.code(text) for text in texts]
            self.assertEqual((FailureCode.OVERLOADED, 1), (codes[-1], refused), f"{kind} {texts}")

    @trio_test(mock_clock=True)
    async def test_a_read_that_one_queue_refuses_runs_at_another_instance(self) -> None:
        # Guards against a refusal although another instance could execute the read.
        vm = await start_vm()
        vm.sample()
        full = Reply(failure=Failure(FailureCode.OVERLOADED, "queue"))
        vm.replicas[0].answer = vm.replicas[1].answer = lambda _instance, _statement: full
        self.assertIsNone(await vm.session(RouteKind.BOUNDED).code("READ 1"))

    @trio_test(mock_clock=True)
    async def test_a_read_that_an_instance_sheds_is_tried_there_again(self) -> None:
        # Guards against a refusal of reads while a primary sheds only a part of its statements.
        vm = await start_vm()
        default_answer = vm.primary.answer
        shed = [Reply(failure=Failure(FailureCode.OVERLOADED, "p"), reached=vm.primary.position)]
        vm.primary.answer = lambda instance, statement: (
            shed.pop() if shed else default_answer(instance, statement)
        )
        self.assertIsNone(await vm.session(RouteKind.PRIMARY).code("READ 1"))

    @trio_test(mock_clock=True)
    async def test_a_commit_without_a_reply_is_in_doubt_if_the_transaction_wrote(self) -> None:
        for text, expected in (
            ("WRITE 1 x", FailureCode.IN_DOUBT),
            ("READ 1", FailureCode.ABORTED),
        ):
            vm = await start_vm()
            caller = vm.session(RouteKind.PRIMARY)
            await caller.send("BEGIN")
            await caller.send(text)
            vm.primary.loses_connection = True
            self.assertEqual(expected, await caller.code("COMMIT"))


class TransactionTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_a_transaction_has_a_connection_for_itself(self) -> None:
        # Guards against another caller's statements on the connection of an open transaction.
        vm = await start_vm()
        first, second = vm.session(RouteKind.PRIMARY), vm.session(RouteKind.PRIMARY)
        await first.send("BEGIN")
        await first.send("WRITE 1 x")
        await second.send("WRITE 2 y")
        await first.send("WRITE 3 z")
        await first.send("COMMIT")
        texts_by_connection: dict[Any, list[str]] = {}
        for connection, statement in vm.primary.received:
            text = getattr(statement.statement, "text", "BEGIN")
            texts_by_connection.setdefault(connection, []).append(text)
        self.assertIn(["BEGIN", "WRITE 1 x", "WRITE 3 z", "COMMIT"], texts_by_connection.values())

    @trio_test(mock_clock=True)
    async def test_a_transaction_without_statements_uses_no_connection(self) -> None:
        vm = await start_vm()
        reply = await vm.session(RouteKind.PRIMARY).send("BEGIN")
        self.assertEqual(TransactionState.OPEN, reply.state)
        self.assertEqual(0, vm.primary.opened)

    @trio_test(mock_clock=True)
    async def test_a_failed_statement_fails_the_transaction(self) -> None:
        vm = await start_vm()
        caller = vm.session(RouteKind.PRIMARY)
        await caller.send("BEGIN")
        vm.primary.answer = lambda _instance, _statement: Reply(
            failure=Failure(FailureCode.FAILED, "no")
        )
        default_answer = FakeInstance().answer
        vm.primary.answer = lambda instance, statement: (
            default_answer(instance, statement)
            if isinstance(statement.statement, Begin)
            else Reply(failure=Failure(FailureCode.FAILED, "no"))
        )
        reply = await caller.send("READ 1")
        self.assertEqual(TransactionState.FAILED, reply.state)
        self.assertEqual(FailureCode.MALFORMED, await caller.code("READ 2"))
        self.assertEqual(FailureCode.ABORTED, await caller.code("COMMIT"))
        self.assertEqual(TransactionState.IDLE, caller.session.state)

    @trio_test(mock_clock=True)
    async def test_a_transaction_does_not_commit_at_a_primary_that_is_being_replaced(self) -> None:
        # Guards against an acknowledged commit that is missing at the new primary.
        vm = await start_vm()
        caller = vm.session(RouteKind.PRIMARY)
        await caller.send("BEGIN")
        await caller.send("WRITE 1 x")
        vm.directory.set_primary_record(PrimaryRecord(GROUP, "p", 2, True, 5))
        self.assertEqual(FailureCode.ABORTED, await caller.code("COMMIT"))
        self.assertNotIn("COMMIT", vm.primary.caller_statements)

    @trio_test(mock_clock=True)
    async def test_closing_a_session_releases_the_connection_of_its_transaction(self) -> None:
        vm = await start_vm()
        caller = vm.session(RouteKind.PRIMARY)
        await caller.send("BEGIN")
        await caller.send("WRITE 1 x")
        await caller.session.close()
        pool = vm.group.instances["p"].pool
        self.assertEqual(0, pool.busy_connections)

    @trio_test(mock_clock=True)
    async def test_a_read_only_transaction_begins_at_a_replica_and_requires_the_sampled_entry(
        self,
    ) -> None:
        vm = await start_vm()
        vm.sample(EntryId(1, 9))
        caller = vm.session(RouteKind.BOUNDED)
        await caller.send("BEGIN READ")
        await caller.send("READ 1")
        begins = [
            statement.after
            for replica in vm.replicas
            for _, statement in replica.received
            if isinstance(statement.statement, Begin)
        ]
        self.assertEqual([EntryId(1, 9)], begins)

    @trio_test(mock_clock=True)
    async def test_nested_begin_and_commit_without_a_transaction_are_refused(self) -> None:
        vm = await start_vm()
        caller = vm.session(RouteKind.PRIMARY)
        self.assertEqual(FailureCode.MALFORMED, await caller.code("COMMIT"))
        await caller.send("BEGIN")
        self.assertEqual(FailureCode.MALFORMED, await caller.code("BEGIN"))


class SessionStateTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_session_values_are_set_before_the_statement_and_reset_for_the_next_caller(
        self,
    ) -> None:
        vm = await start_vm()
        await vm.directory.set_connection_shares(16, {GROUP: 16})
        first, second = vm.session(RouteKind.PRIMARY), vm.session(RouteKind.PRIMARY)
        await first.send("SET colour red")
        await first.send("READ 1")
        await second.send("READ 2")
        statements = [received.statement for _, received in vm.primary.received]
        self.assertIn(SetValue("colour", "red"), statements)
        connections = {connection for connection, _ in vm.primary.received}
        self.assertEqual(len(connections) == 1, ResetSession() in statements)

    @trio_test(mock_clock=True)
    async def test_callers_may_use_the_same_name_for_different_prepared_statements(self) -> None:
        # Guards against callers that share a connection and overwrite each other's statements.
        vm = await start_vm()
        first, second = vm.session(RouteKind.PRIMARY), vm.session(RouteKind.PRIMARY)
        await first.send("PREPARE s READ one")
        await second.send("PREPARE s READ two")
        await first.send("EXECUTE s 1")
        await second.send("EXECUTE s 1")
        statements = [received.statement for _, received in vm.primary.received]
        shapes = [statement.shape for statement in statements if isinstance(statement, Prepare)]
        self.assertEqual(["one", "two"], shapes)

    @trio_test(mock_clock=True)
    async def test_a_prepared_statement_unknown_to_the_instance_is_prepared_again(self) -> None:
        vm = await start_vm()
        caller = vm.session(RouteKind.PRIMARY)
        await caller.send("PREPARE s READ one")
        default_answer = vm.primary.answer
        refusals = [Reply(failure=Failure(FailureCode.UNKNOWN_STATEMENT, "s"))]
        vm.primary.answer = lambda instance, statement: (
            refusals.pop()
            if refusals and not isinstance(statement.statement, Prepare)
            else default_answer(instance, statement)
        )
        self.assertIsNone(await caller.code("EXECUTE s 1"))

    @trio_test(mock_clock=True)
    async def test_unknown_prepared_statements_are_refused(self) -> None:
        vm = await start_vm()
        caller = vm.session(RouteKind.PRIMARY)
        self.assertEqual(FailureCode.UNKNOWN_STATEMENT, await caller.code("EXECUTE s 1"))
        self.assertEqual(FailureCode.UNKNOWN_STATEMENT, await caller.code("DEALLOC s"))


class ApiKeyTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_unknown_keys_and_database_names_are_refused_at_connect(self) -> None:
        vm = await start_vm()
        with self.assertRaises(RefusedError) as denied:
            vm.session(RouteKind.PRIMARY, key="stolen")
        self.assertEqual(FailureCode.DENIED, denied.exception.failure.code)
        with self.assertRaises(RefusedError) as unknown:
            CallerSession(vm.services, Connect("nowhere", "secret"))
        self.assertEqual(FailureCode.UNKNOWN_DATABASE, unknown.exception.failure.code)

    @trio_test(mock_clock=True)
    async def test_a_revoked_key_is_refused_in_open_sessions(self) -> None:
        vm = await start_vm()
        caller = vm.session(RouteKind.PRIMARY)
        self.assertIsNone(await caller.code("READ 1"))
        vm.confirmed_state.apply(configuration(2, organisation_of_key={}))
        self.assertEqual(FailureCode.DENIED, await caller.code("READ 1"))

    @trio_test(mock_clock=True)
    async def test_a_transaction_whose_key_is_revoked_does_not_commit(self) -> None:
        vm = await start_vm()
        caller = vm.session(RouteKind.PRIMARY)
        await caller.send("BEGIN")
        await caller.send("WRITE 1 x")
        vm.confirmed_state.apply(configuration(2, organisation_of_key={}))
        self.assertEqual(FailureCode.DENIED, await caller.code("COMMIT"))
        self.assertNotIn("COMMIT", vm.primary.caller_statements)

    @trio_test(mock_clock=True)
    async def test_keys_are_refused_without_delay_when_their_confirmation_is_too_old(self) -> None:
        vm = await start_vm()
        caller = vm.session(RouteKind.PRIMARY)
        vm.confirmed_state._confirmed_at = boottime_s() - LIMITS.keys_s - 0.1
        started_at = trio.current_time()
        self.assertEqual(FailureCode.OVERLOADED, await caller.code("READ 1"))
        self.assertEqual(started_at, trio.current_time())

    @trio_test(mock_clock=True)
    async def test_an_anonymous_route_needs_no_key_and_sends_no_organisation(self) -> None:
        vm = await start_vm()
        anonymous_route = route(RouteKind.PRIMARY, anonymous=True)
        vm.confirmed_state.apply(configuration(2, routes={"primary": anonymous_route}))
        caller = vm.session(RouteKind.PRIMARY, key="")
        self.assertIsNone(await caller.code("READ 1"))
        self.assertEqual("-", vm.primary.connections[0].organisation)

    @trio_test(mock_clock=True)
    async def test_api_keys_are_not_sent_to_instances(self) -> None:
        vm = await start_vm()
        caller = vm.session(RouteKind.PRIMARY)
        await caller.send("WRITE 1 x")
        received = repr(
            [(connection.organisation, statement) for connection, statement in vm.primary.received]
        )
        self.assertNotIn("secret", received)


class RateAndLeaseTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_operations_above_the_rate_limit_are_refused(self) -> None:
        vm = await start_vm(rate=10.0)
        caller = vm.session(RouteKind.PRIMARY)
        codes = [await caller.code("READ 1") for _ in range(60)]
        self.assertIn(FailureCode.OVERLOADED, codes)

    @trio_test(mock_clock=True)
    async def test_a_transaction_uses_one_token(self) -> None:
        vm = await start_vm(rate=10.0)
        caller = vm.session(RouteKind.PRIMARY)
        await caller.send("BEGIN")
        codes = [await caller.code("READ 1") for _ in range(60)]
        self.assertEqual({None}, set(codes))

    @trio_test(mock_clock=True)
    async def test_a_vm_without_a_valid_lease_uses_no_rate_share(self) -> None:
        # Guards against use of a rate share that was redistributed to the other VMs.
        vm = await start_vm()
        vm.confirmed_state.lose_lease()
        self.assertEqual(FailureCode.OVERLOADED, await vm.session(RouteKind.PRIMARY).code("READ 1"))

    @trio_test(mock_clock=True)
    async def test_a_vm_without_a_valid_lease_uses_no_primary(self) -> None:
        # Guards against a commit at a replaced primary: the promoter waits only for VMs that are
        # registered, and a VM whose lease expired isn't.
        vm = await start_vm()
        caller = vm.session(RouteKind.PRIMARY)
        await caller.send("BEGIN")
        self.assertIsNone(await caller.code("WRITE 1 x"))
        vm.confirmed_state.lose_lease()
        self.assertEqual(FailureCode.ABORTED, await caller.code("COMMIT"))

    @trio_test(mock_clock=True)
    async def test_primaries_need_a_confirmation_after_the_registration_of_the_vm(self) -> None:
        # Guards against use of a primary that was replaced between the VM's read of the store and
        # its registration.
        vm = await start_vm()
        vm.confirmed_state.register(boottime_s())
        self.assertFalse(vm.confirmed_state.primaries_confirmed)
        vm.confirmed_state.confirm(boottime_s())
        self.assertTrue(vm.confirmed_state.primaries_confirmed)


class FailingInstanceTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_a_read_that_an_instance_fails_is_answered_by_another(self) -> None:
        # Guards against callers that get the failures of an instance whose health check is good.
        vm = await start_vm()
        vm.sample()

        def fail(_instance: FakeInstance, _statement: object) -> Reply:
            return Reply(failure=Failure(FailureCode.FAILED, "defect"))

        for replica in vm.replicas:
            replica.answer = fail
        reply = await vm.session(RouteKind.BOUNDED).send("READ 1")
        self.assertEqual((b"row",), reply.rows)
        self.assertEqual(["READ 1"], vm.primary.caller_statements)

    @trio_test(mock_clock=True)
    async def test_a_write_that_an_instance_fails_is_not_repeated(self) -> None:
        # Guards against a second execution of a write that ran and failed.
        vm = await start_vm()

        def fail(_instance: FakeInstance, _statement: object) -> Reply:
            return Reply(failure=Failure(FailureCode.FAILED, "defect"))

        vm.primary.answer = fail
        code = await vm.session(RouteKind.PRIMARY).code("WRITE 1 x")
        self.assertEqual(FailureCode.FAILED, code)
        self.assertEqual(["WRITE 1 x"], vm.primary.caller_statements)


class RestingTransactionTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_a_transaction_of_a_resting_client_frees_its_connection(self) -> None:
        # Guards against clients that rest inside transactions and hold all connections of an
        # instance, and against a commit that seems to succeed after the rollback.
        vm = await start_vm()
        caller = vm.session(RouteKind.PRIMARY)
        await caller.send("BEGIN")
        await caller.send("WRITE 1 x")
        self.assertEqual(1, vm.group.primary.pool.busy_connections)
        self.assertEqual(3.0, caller.session.idle_limit_s)
        await caller.session.expire_transaction()
        self.assertEqual(0, vm.group.primary.pool.busy_connections)
        self.assertEqual(FailureCode.ABORTED, await caller.code("COMMIT"))
        self.assertIsNone(caller.session.idle_limit_s)
        self.assertNotIn("COMMIT", vm.primary.caller_statements)


class UnreachableTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_reads_avoid_an_instance_that_refuses_connections(self) -> None:
        vm = await start_vm()
        vm.sample()
        for replica in vm.replicas:
            replica.open_error = ConnectionLostError("refused", executed="no")
        caller = vm.session(RouteKind.BOUNDED)
        self.assertIsNone(await caller.code("READ 1"))
        self.assertIsNotNone(vm.group.instances["r1"].unreachable_since)

    @trio_test(mock_clock=True)
    async def test_a_refusal_by_a_home_does_not_make_the_instance_reachable(self) -> None:
        # Guards against an unreachable primary that stays in place until its registration expires,
        # 5 s later: each refusal by its home counted as an answer of the instance, so the VM voted
        # that it was reachable.
        vm = await start_vm()
        primary = vm.group.instances["p"]

        def refuse(_instance: FakeInstance, _statement: object) -> Reply:
            primary.record_failure()
            return Reply(failure=Failure(FailureCode.MOVED, "cannot connect"))

        vm.primary.answer = refuse
        await vm.session(RouteKind.PRIMARY).code("READ 1")
        self.assertIsNotNone(primary.unreachable_since)

    @trio_test(mock_clock=True)
    async def test_draining_replicas_get_no_new_reads(self) -> None:
        vm = await start_vm()
        vm.sample()
        for replica in vm.replicas:
            await vm.directory.apply(registration(replica.id, draining=True))
        await vm.session(RouteKind.BOUNDED).send("READ 1")
        self.assertEqual(["READ 1"], vm.primary.caller_statements)


class EvacuationTest(TestCase):
    async def _evacuate(self, vm: Vm, names: set[str], elapsed_s: float = 0.0) -> None:
        """Evacuate the failure domain of some instances; the order was given a while ago."""
        for name in names:
            primary = name == vm.primary.id
            await vm.directory.apply(registration(name, primary=primary, failure_domain="adum"))
        vm.directory.set_evacuations({"adum": Evacuation(boottime_s() - elapsed_s, 5.0)})

    @trio_test(mock_clock=True)
    async def test_no_new_statement_runs_at_a_replica_in_an_evacuated_domain(self) -> None:
        vm = await start_vm()
        await self._evacuate(vm, {"r1"})
        session = vm.session(RouteKind.BOUNDED)
        for _ in range(20):
            vm.sample()
            await session.send("READ 1")
        self.assertEqual([], vm.replicas[0].received)
        self.assertEqual(20, len(vm.replicas[1].caller_statements))

    @trio_test(mock_clock=True)
    async def test_a_waiting_statement_moves_to_another_instance(self) -> None:
        # Guards against a refusal, or a statement at the domain, for those that waited for a
        # connection when the order came.
        vm = await start_vm()
        vm.sample()
        await self._evacuate(vm, set())
        [busy, other] = (vm.group.instances[name].pool for name in ("r1", "r2"))
        await other.set_limits(PoolLimits(0, 0))
        await busy.set_limits(PoolLimits(1, 1))
        held = await busy.acquire("foremen", 0.0, 1e9)
        replies: list[Reply] = []

        async def read() -> None:
            replies.append(await vm.session(RouteKind.BOUNDED).send("READ 1"))

        vm.group.instances["p"].response_s = 9.0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(1, busy.waiting_requests)
            await other.set_limits(PoolLimits(4, 4))
            await self._evacuate(vm, {"r1"})
        self.assertEqual([(b"row",)], [reply.rows for reply in replies])
        self.assertEqual(["READ 1"], vm.replicas[1].caller_statements)
        await busy.release(held)

    @trio_test(mock_clock=True)
    async def test_an_open_transaction_gets_part_of_the_bound_and_a_true_answer(self) -> None:
        # Guards against statements to the domain after the bound, and against an answer that
        # leaves the caller in doubt although nothing was committed.
        vm = await start_vm()
        vm.sample()
        session = vm.session(RouteKind.PRIMARY)
        await session.send("BEGIN")
        await session.send("WRITE 1")
        await self._evacuate(vm, {"p"})
        self.assertIsNone(await session.code("WRITE 2"))
        assert session.session.idle_limit_s is not None
        self.assertTrue(2.5 < session.session.idle_limit_s <= 3.0)
        await self._evacuate(vm, set(), elapsed_s=3.1)
        self.assertIs(FailureCode.ABORTED, await session.code("WRITE 3"))
        self.assertEqual(["WRITE 1", "WRITE 2"], vm.primary.caller_statements)

    @trio_test(mock_clock=True)
    async def test_an_overdue_transaction_sends_no_rollback_to_the_domain(self) -> None:
        vm = await start_vm()
        vm.sample()
        session = vm.session(RouteKind.PRIMARY)
        await session.send("BEGIN")
        await session.send("WRITE 1")
        sent = len(vm.primary.received)
        await self._evacuate(vm, {"p"}, elapsed_s=6.0)
        self.assertIs(FailureCode.ABORTED, await session.code("COMMIT"))
        self.assertEqual(sent, len(vm.primary.received))

    @trio_test(mock_clock=True)
    async def test_only_what_the_primary_alone_can_run_is_refused_and_at_once(self) -> None:
        # Guards against writes that wait for a promotion that no instance elsewhere can follow.
        vm = await start_vm()
        vm.sample()
        await self._evacuate(vm, {"p"})
        self.assertIsNone(await vm.session(RouteKind.PRIMARY).code("WRITE 1"))
        for name in ("r1", "r2"):
            vm.group.instances[name].draining_since = boottime_s()
        await self._evacuate(vm, set(), elapsed_s=4.1)
        started = trio.current_time()
        code = await vm.session(RouteKind.PRIMARY).code("WRITE 2")
        self.assertEqual((FailureCode.OVERLOADED, started), (code, trio.current_time()))
        for name in ("r1", "r2"):
            vm.group.instances[name].draining_since = None
        for replica in vm.replicas:
            replica.position = vm.primary.position
        vm.sample()
        self.assertIsNone(await vm.session(RouteKind.BOUNDED).code("READ 1"))
        self.assertEqual(["WRITE 1"], vm.primary.caller_statements)


class UrgencyTest(TestCase):
    """What the VM that holds an instance's connections learns of a statement's urgency."""

    @trio_test(mock_clock=True)
    async def test_statements_carry_the_priority_and_the_limits_of_their_route(self) -> None:
        # Guards against a home that serves urgent statements in the order of arrival.
        vm = await start_vm()
        received_at = trio.current_time()
        await vm.session(RouteKind.PRIMARY).send("WRITE 1 x")
        [(_, statement)] = vm.primary.received
        self.assertEqual(Urgency(1, received_at + 0.2, received_at + 1.0), statement.urgency)

    @trio_test(mock_clock=True)
    async def test_a_read_states_when_its_vm_gives_the_attempt_up(self) -> None:
        # Guards against a home that keeps a read after its VM has tried another instance.
        vm = await start_vm()
        received_at = trio.current_time()
        await vm.session(RouteKind.PRIMARY).send("READ 1")
        [(_, statement)] = vm.primary.received
        assert statement.urgency is not None
        self.assertAlmostEqual(received_at + 0.45, statement.urgency.deadline, delta=0.03)

    @trio_test(mock_clock=True)
    async def test_statements_after_the_first_are_those_of_an_open_transaction(self) -> None:
        vm = await start_vm()
        caller = vm.session(RouteKind.PRIMARY)
        for text in ("BEGIN", "WRITE 1 x", "COMMIT"):
            await caller.send(text)
        urgencies = [statement.urgency for _, statement in vm.primary.received]
        self.assertEqual(
            [False, True, True], [urgency.in_transaction for urgency in urgencies if urgency]
        )


class EvenLoadTest(TestCase):
    async def _reads_by_replica(self, vm: Vm, reads: int = 20) -> Counter[str]:
        """Let the home of r1 report a long queue; return where further reads ran."""
        vm.directory.uses_relay = lambda registration: True
        await vm.directory.set_connection_shares(30, {GROUP: 16})
        numbers = itertools.count(1)
        for replica in vm.replicas:
            usual, waiting = replica.answer, 40 if replica.id == "r1" else 0

            def reply(
                instance: FakeInstance,
                statement: InstanceStatement,
                usual: Any = usual,
                waiting: int = waiting,
            ) -> Reply:
                load = InstanceLoad(next(numbers), 2, waiting, waiting * 0.01, "home", 1.0)
                return usual(instance, statement)._replace(load=load)

            replica.answer = reply
        vm.sample()
        caller = vm.session(RouteKind.BOUNDED)
        await caller.send("READ x")
        for replica in vm.replicas:
            if not replica.received:
                load = InstanceLoad(next(numbers), 2, 40 if replica.id == "r1" else 0, 0.0, "home")
                vm.group.instances[replica.id].known_load.record_reading(load, 2, boottime_s())
            replica.received.clear()
        for _ in range(reads):
            vm.sample()
            await caller.send("READ x")
        return Counter({i.id: len(i.caller_statements) for i in vm.instances.values()})

    @trio_test(mock_clock=True)
    async def test_reads_avoid_an_instance_whose_home_reports_a_long_queue(self) -> None:
        ran = await self._reads_by_replica(await start_vm())
        self.assertGreater(ran["r2"], 15)
        self.assertLess(ran["r1"], 3)

    @trio_test(mock_clock=True)
    async def test_loads_are_not_used_if_instances_accept_fewer_connections_than_organisations(
        self,
    ) -> None:
        # Guards against a changed choice in deployments that did not ask for it.
        vm = await start_vm()
        names = ["foremen", *(f"org-{number}" for number in range(20))]
        organisations = {name: Organisation(name, 1000.0, 1000.0) for name in names}
        vm.confirmed_state.apply(configuration(2, organisations=organisations))
        ran = await self._reads_by_replica(vm)
        self.assertEqual(20, ran["r1"])
