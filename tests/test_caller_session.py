"""A caller's session: what runs where, what is promised, and what no other caller sees."""

from __future__ import annotations

import itertools
from typing import Any

import trio

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
from tanagerfront.front_metrics import FrontMetrics
from tanagerfront.instance_directory import InstanceDirectory, PrimaryRecord
from tanagerfront.platform.lines import decode_caller_line
from tanagerfront.rate_shares import UNKNOWN_LENDER, RateShares, TokenLoanRequest
from tanagerfront.session_model import (
    Begin,
    Connect,
    Failure,
    FailureCode,
    InstanceRegistration,
    Organisation,
    Prepare,
    Query,
    Reply,
    ResetSession,
    RouteKind,
    SetValue,
    TransactionState,
    boottime_s,
)
from tanagerfront.session_record import RefusedError

LIMITS = StalenessLimits(keys_s=4.5, primary_s=3.0, lease_s=4.0, leaving_s=5.5)


class Vm:
    """One VM with a primary and two replicas."""

    def __init__(self) -> None:
        self.primary = FakeInstance("p")
        self.replicas = [FakeInstance("r1", is_primary=False), FakeInstance("r2", is_primary=False)]
        self.log = RecordingLog()
        self.confirmed_state = ConfirmedState(LIMITS)
        self.directory = InstanceDirectory(self._open, "suame")
        self.rates = RateShares("vm", self._borrow, lambda _vm, _organisation: 0)
        services = SessionServices(
            self.confirmed_state, self.directory, self.rates, self.log, FrontMetrics()
        )
        self.services = services
        self._ids = itertools.count()

    @property
    def instances(self) -> dict[str, FakeInstance]:
        return {each.id: each for each in [self.primary, *self.replicas]}

    @property
    def group(self) -> Any:
        return self.directory.group(GROUP)

    async def start(self, rate: float = 1000.0) -> None:
        limits = {"foremen": Organisation("foremen", rate, rate)}
        made = configuration(organisations=limits)
        self.confirmed_state.apply(made)
        self.confirmed_state.register(boottime_s())
        self.confirmed_state.confirm(boottime_s())
        self.rates.configure(made.organisations, ["vm", "vm-2", "vm-3"])
        self.rates.configure(made.organisations, ["vm"])
        await self.directory.set_connection_shares(1, {GROUP: 16})
        for each in self.instances.values():
            await self.directory.apply(registration(each.id, primary=each is self.primary))
        await trio.sleep(1)

    def sample(self, position: EntryId | None = None) -> None:
        """Record that the primary was at a position just now."""
        self.group.samples.clear()
        self.group.samples.add(boottime_s(), position or self.primary.position)

    def session(self, kind: RouteKind, key: str = "secret") -> Caller:
        return Caller(CallerSession(self.services, Connect(kind.value, key)), self._ids)

    async def _open(self, found: InstanceRegistration, organisation: str) -> Any:
        return await self.instances[found.id].open(found, organisation)

    async def _borrow(self, _request: TokenLoanRequest, _lender: str) -> int:
        return UNKNOWN_LENDER


class Caller:
    """A caller that sends texts."""

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


async def vm(rate: float = 1000.0) -> Vm:
    made = Vm()
    await made.start(rate)
    return made


class PlacementTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_a_primary_route_reads_at_the_primary(self) -> None:
        # Guards against a read that lacks a commit acknowledged before it.
        tested = await vm()
        tested.sample()
        reply = await tested.session(RouteKind.PRIMARY).send("READ 1")
        self.assertEqual((b"row",), reply.rows)
        self.assertEqual(["READ 1"], tested.primary.caller_statements)

    @trio_test(mock_clock=True)
    async def test_a_bounded_read_at_a_replica_states_the_entry_it_needs(self) -> None:
        tested = await vm()
        tested.sample(EntryId(1, 9))
        await tested.session(RouteKind.BOUNDED).send("READ 1")
        asked = [each for replica in tested.replicas for _, each in replica.received]
        self.assertEqual([EntryId(1, 9)], [each.after for each in asked])

    @trio_test(mock_clock=True)
    async def test_without_a_recent_position_a_bounded_read_goes_to_the_primary(self) -> None:
        tested = await vm()
        await tested.session(RouteKind.BOUNDED).send("READ 1")
        self.assertEqual(["READ 1"], tested.primary.caller_statements)

    @trio_test(mock_clock=True)
    async def test_a_lagging_replica_is_left_for_the_primary(self) -> None:
        tested = await vm()
        for each in tested.replicas:
            each.position = EntryId(1, 3)
        tested.sample()
        reply = await tested.session(RouteKind.BOUNDED).send("READ 1")
        self.assertIsNone(reply.failure)
        self.assertEqual(["READ 1"], tested.primary.caller_statements)

    @trio_test(mock_clock=True)
    async def test_a_session_reads_its_own_write(self) -> None:
        # Guards against a replica that has the stated age but not the session's own commit.
        tested = await vm()
        tested.sample(EntryId(1, 2))
        caller = tested.session(RouteKind.READ_YOUR_WRITES)
        await caller.send("WRITE 1 x")
        await caller.send("READ 1")
        written = tested.primary.position
        asked = [each.after for replica in tested.replicas for _, each in replica.received]
        self.assertTrue(all(after is not None and after >= written for after in asked))
        self.assertIn("READ 1", tested.primary.caller_statements)

    @trio_test(mock_clock=True)
    async def test_no_primary_is_used_without_confirmation_by_the_store(self) -> None:
        # Guards against reads and writes at a primary that was replaced while this VM was cut off.
        tested = await vm()
        tested.confirmed_state.suspend_primaries()
        self.assertEqual(
            FailureCode.OVERLOADED, await tested.session(RouteKind.PRIMARY).code("WRITE 1 x")
        )
        self.assertEqual([], tested.primary.caller_statements)

    @trio_test(mock_clock=True)
    async def test_a_request_waits_for_a_primary_that_moves(self) -> None:
        tested = await vm()
        tested.directory.set_primary_record(PrimaryRecord(GROUP, "p", 2, True, 5))

        async def finish() -> None:
            await trio.sleep(0.2)
            tested.replicas[0].is_primary = True
            tested.directory.set_primary_record(PrimaryRecord(GROUP, "r1", 2, False, 6))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(finish)
            reply = await tested.session(RouteKind.PRIMARY).send("WRITE 1 x")
        self.assertIsNone(reply.failure)
        self.assertEqual(["WRITE 1 x"], tested.replicas[0].caller_statements)

    @trio_test(mock_clock=True)
    async def test_a_request_without_a_primary_is_refused_in_time_to_come_back(self) -> None:
        tested = await vm()
        tested.directory.set_primary_record(PrimaryRecord(GROUP, "p", 2, True, 5))
        started = trio.current_time()
        code = await tested.session(RouteKind.PRIMARY).code("WRITE 1 x")
        self.assertEqual(FailureCode.OVERLOADED, code)
        self.assertLessEqual(trio.current_time() - started, 0.5)


class OnceTest(TestCase):
    # Guards against a write that runs twice, and against a promise that is not true.

    @trio_test(mock_clock=True)
    async def test_a_write_without_an_answer_is_in_doubt_and_not_repeated(self) -> None:
        tested = await vm()
        tested.primary.loses_connection = True
        code = await tested.session(RouteKind.PRIMARY).code("WRITE 1 x")
        self.assertEqual(FailureCode.IN_DOUBT, code)
        self.assertEqual(["WRITE 1 x"], tested.primary.caller_statements)

    @trio_test(mock_clock=True)
    async def test_a_silent_write_ends_with_the_routes_timeout(self) -> None:
        tested = await vm()
        tested.primary.answer = lambda _instance, _statement: None
        started = trio.current_time()
        code = await tested.session(RouteKind.PRIMARY).code("WRITE 1 x")
        self.assertEqual(FailureCode.TIMEOUT, code)
        self.assertAlmostEqual(1.0, trio.current_time() - started, delta=0.05)

    @trio_test(mock_clock=True)
    async def test_a_read_without_an_answer_runs_elsewhere(self) -> None:
        tested = await vm()
        tested.sample()
        tested.replicas[0].loses_connection = tested.replicas[1].loses_connection = True
        reply = await tested.session(RouteKind.BOUNDED).send("READ 1")
        self.assertIsNone(reply.failure)

    @trio_test(mock_clock=True)
    async def test_a_write_that_did_not_run_is_tried_again(self) -> None:
        tested = await vm()
        usual = tested.primary.answer
        refusals = [Reply(failure=Failure(FailureCode.READ_ONLY, "not yet the primary"))]
        tested.primary.answer = lambda instance, statement: (
            refusals.pop() if refusals else usual(instance, statement)
        )
        self.assertIsNone(await tested.session(RouteKind.PRIMARY).code("WRITE 1 x"))
        self.assertEqual(2, len(tested.primary.caller_statements))

    @trio_test(mock_clock=True)
    async def test_a_write_at_a_full_primary_is_refused_at_once(self) -> None:
        # Guards against attempts that multiply the load of the only instance that can run them.
        tested = await vm()
        full = Reply(failure=Failure(FailureCode.OVERLOADED, "full"))
        tested.primary.answer = lambda _instance, _statement: full
        code = await tested.session(RouteKind.PRIMARY).code("WRITE 1 x")
        self.assertEqual((FailureCode.OVERLOADED, 1), (code, len(tested.primary.caller_statements)))

    @trio_test(mock_clock=True)
    async def test_a_commit_without_an_answer_is_in_doubt_if_the_transaction_wrote(self) -> None:
        for text, expected in (
            ("WRITE 1 x", FailureCode.IN_DOUBT),
            ("READ 1", FailureCode.ABORTED),
        ):
            tested = await vm()
            caller = tested.session(RouteKind.PRIMARY)
            await caller.send("BEGIN")
            await caller.send(text)
            tested.primary.loses_connection = True
            self.assertEqual(expected, await caller.code("COMMIT"))


class TransactionTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_statements_of_a_transaction_use_one_connection_of_its_own(self) -> None:
        # Guards against statements of another caller inside the transaction.
        tested = await vm()
        first, second = tested.session(RouteKind.PRIMARY), tested.session(RouteKind.PRIMARY)
        await first.send("BEGIN")
        await first.send("WRITE 1 x")
        await second.send("WRITE 2 y")
        await first.send("WRITE 3 z")
        await first.send("COMMIT")
        used: dict[Any, list[str]] = {}
        for connection, statement in tested.primary.received:
            text = getattr(statement.statement, "text", "BEGIN")
            used.setdefault(connection, []).append(text)
        self.assertIn(["BEGIN", "WRITE 1 x", "WRITE 3 z", "COMMIT"], used.values())

    @trio_test(mock_clock=True)
    async def test_an_empty_transaction_holds_no_connection(self) -> None:
        tested = await vm()
        reply = await tested.session(RouteKind.PRIMARY).send("BEGIN")
        self.assertEqual(TransactionState.OPEN, reply.state)
        self.assertEqual(0, tested.primary.opened)

    @trio_test(mock_clock=True)
    async def test_a_failed_statement_fails_the_transaction(self) -> None:
        tested = await vm()
        caller = tested.session(RouteKind.PRIMARY)
        await caller.send("BEGIN")
        tested.primary.answer = lambda _instance, _statement: Reply(
            failure=Failure(FailureCode.FAILED, "no")
        )
        usual = FakeInstance().answer
        tested.primary.answer = lambda instance, statement: (
            usual(instance, statement)
            if isinstance(statement.statement, Begin)
            else Reply(failure=Failure(FailureCode.FAILED, "no"))
        )
        reply = await caller.send("READ 1")
        self.assertEqual(TransactionState.FAILED, reply.state)
        self.assertEqual(FailureCode.MALFORMED, await caller.code("READ 2"))
        self.assertEqual(FailureCode.ABORTED, await caller.code("COMMIT"))
        self.assertEqual(TransactionState.IDLE, caller.session.state)

    @trio_test(mock_clock=True)
    async def test_a_transaction_does_not_commit_at_a_primary_that_is_replaced(self) -> None:
        # Guards against an acknowledged commit that the new primary does not have.
        tested = await vm()
        caller = tested.session(RouteKind.PRIMARY)
        await caller.send("BEGIN")
        await caller.send("WRITE 1 x")
        tested.directory.set_primary_record(PrimaryRecord(GROUP, "p", 2, True, 5))
        self.assertEqual(FailureCode.ABORTED, await caller.code("COMMIT"))
        self.assertNotIn("COMMIT", tested.primary.caller_statements)

    @trio_test(mock_clock=True)
    async def test_a_caller_that_leaves_rolls_back_and_frees_the_connection(self) -> None:
        tested = await vm()
        caller = tested.session(RouteKind.PRIMARY)
        await caller.send("BEGIN")
        await caller.send("WRITE 1 x")
        await caller.session.close()
        pool = tested.group.instances["p"].pool
        self.assertEqual(0, pool.busy)

    @trio_test(mock_clock=True)
    async def test_a_read_only_transaction_begins_at_a_replica_that_has_the_bound(self) -> None:
        tested = await vm()
        tested.sample(EntryId(1, 9))
        caller = tested.session(RouteKind.BOUNDED)
        await caller.send("BEGIN READ")
        await caller.send("READ 1")
        begins = [
            each.after
            for replica in tested.replicas
            for _, each in replica.received
            if isinstance(each.statement, Begin)
        ]
        self.assertEqual([EntryId(1, 9)], begins)

    @trio_test(mock_clock=True)
    async def test_transactions_do_not_nest_and_end_only_when_open(self) -> None:
        tested = await vm()
        caller = tested.session(RouteKind.PRIMARY)
        self.assertEqual(FailureCode.MALFORMED, await caller.code("COMMIT"))
        await caller.send("BEGIN")
        self.assertEqual(FailureCode.MALFORMED, await caller.code("BEGIN"))


class SessionStateTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_values_are_set_before_the_statement_and_reset_for_the_next_caller(self) -> None:
        tested = await vm()
        await tested.directory.set_connection_shares(16, {GROUP: 16})
        first, second = tested.session(RouteKind.PRIMARY), tested.session(RouteKind.PRIMARY)
        await first.send("SET colour red")
        await first.send("READ 1")
        await second.send("READ 2")
        statements = [each.statement for _, each in tested.primary.received]
        self.assertIn(SetValue("colour", "red"), statements)
        connections = {connection for connection, _ in tested.primary.received}
        self.assertEqual(len(connections) == 1, ResetSession() in statements)

    @trio_test(mock_clock=True)
    async def test_a_prepared_statement_runs_its_own_callers_shape(self) -> None:
        # Guards against names that collide between callers on a shared connection.
        tested = await vm()
        first, second = tested.session(RouteKind.PRIMARY), tested.session(RouteKind.PRIMARY)
        await first.send("PREPARE s READ one")
        await second.send("PREPARE s READ two")
        await first.send("EXECUTE s 1")
        await second.send("EXECUTE s 1")
        statements = [each.statement for _, each in tested.primary.received]
        prepared = [each.shape for each in statements if isinstance(each, Prepare)]
        self.assertEqual(["one", "two"], prepared)

    @trio_test(mock_clock=True)
    async def test_a_prepared_statement_that_the_instance_lost_is_prepared_again(self) -> None:
        tested = await vm()
        caller = tested.session(RouteKind.PRIMARY)
        await caller.send("PREPARE s READ one")
        usual = tested.primary.answer
        refusals = [Reply(failure=Failure(FailureCode.UNKNOWN_STATEMENT, "s"))]
        tested.primary.answer = lambda instance, statement: (
            refusals.pop()
            if refusals and not isinstance(statement.statement, Prepare)
            else usual(instance, statement)
        )
        self.assertIsNone(await caller.code("EXECUTE s 1"))

    @trio_test(mock_clock=True)
    async def test_unknown_prepared_statements_are_refused(self) -> None:
        tested = await vm()
        caller = tested.session(RouteKind.PRIMARY)
        self.assertEqual(FailureCode.UNKNOWN_STATEMENT, await caller.code("EXECUTE s 1"))
        self.assertEqual(FailureCode.UNKNOWN_STATEMENT, await caller.code("DEALLOC s"))


class KeyTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_unknown_keys_and_names_are_refused_at_connection(self) -> None:
        tested = await vm()
        with self.assertRaises(RefusedError) as denied:
            tested.session(RouteKind.PRIMARY, key="stolen")
        self.assertEqual(FailureCode.DENIED, denied.exception.failure.code)
        with self.assertRaises(RefusedError) as unknown:
            CallerSession(tested.services, Connect("nowhere", "secret"))
        self.assertEqual(FailureCode.UNKNOWN_DATABASE, unknown.exception.failure.code)

    @trio_test(mock_clock=True)
    async def test_a_withdrawn_key_stops_working_in_open_sessions(self) -> None:
        tested = await vm()
        caller = tested.session(RouteKind.PRIMARY)
        self.assertIsNone(await caller.code("READ 1"))
        tested.confirmed_state.apply(configuration(2, organisation_of_key={}))
        self.assertEqual(FailureCode.DENIED, await caller.code("READ 1"))

    @trio_test(mock_clock=True)
    async def test_a_withdrawn_key_ends_its_open_transaction(self) -> None:
        tested = await vm()
        caller = tested.session(RouteKind.PRIMARY)
        await caller.send("BEGIN")
        await caller.send("WRITE 1 x")
        tested.confirmed_state.apply(configuration(2, organisation_of_key={}))
        self.assertEqual(FailureCode.DENIED, await caller.code("COMMIT"))
        self.assertNotIn("COMMIT", tested.primary.caller_statements)

    @trio_test(mock_clock=True)
    async def test_keys_that_cannot_be_confirmed_are_refused_at_once(self) -> None:
        tested = await vm()
        caller = tested.session(RouteKind.PRIMARY)
        tested.confirmed_state._confirmed_at = boottime_s() - LIMITS.keys_s - 0.1
        started = trio.current_time()
        self.assertEqual(FailureCode.OVERLOADED, await caller.code("READ 1"))
        self.assertEqual(started, trio.current_time())

    @trio_test(mock_clock=True)
    async def test_an_open_route_needs_no_key_and_names_no_organisation(self) -> None:
        tested = await vm()
        open_route = route(RouteKind.PRIMARY, anonymous=True)
        tested.confirmed_state.apply(configuration(2, routes={"primary": open_route}))
        caller = tested.session(RouteKind.PRIMARY, key="")
        self.assertIsNone(await caller.code("READ 1"))
        self.assertEqual("-", tested.primary.connections[0].organisation)

    @trio_test(mock_clock=True)
    async def test_no_instance_sees_a_key(self) -> None:
        tested = await vm()
        caller = tested.session(RouteKind.PRIMARY)
        await caller.send("WRITE 1 x")
        seen = repr([(c.organisation, each) for c, each in tested.primary.received])
        self.assertNotIn("secret", seen)


class RateTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_operations_above_the_rate_are_refused(self) -> None:
        tested = await vm(rate=10.0)
        caller = tested.session(RouteKind.PRIMARY)
        codes = [await caller.code("READ 1") for _ in range(60)]
        self.assertIn(FailureCode.OVERLOADED, codes)

    @trio_test(mock_clock=True)
    async def test_a_transaction_counts_once(self) -> None:
        tested = await vm(rate=10.0)
        caller = tested.session(RouteKind.PRIMARY)
        await caller.send("BEGIN")
        codes = [await caller.code("READ 1") for _ in range(60)]
        self.assertEqual({None}, set(codes))

    @trio_test(mock_clock=True)
    async def test_a_vm_whose_lease_lapsed_uses_no_share(self) -> None:
        # Guards against a share that the other VMs have divided among themselves.
        tested = await vm()
        tested.confirmed_state.lose_lease()
        self.assertEqual(
            FailureCode.OVERLOADED, await tested.session(RouteKind.PRIMARY).code("READ 1")
        )

    @trio_test(mock_clock=True)
    async def test_a_vm_whose_lease_lapsed_uses_no_primary(self) -> None:
        # Guards against a commit at a replaced primary: the promoter waits for registered VMs only.
        tested = await vm()
        caller = tested.session(RouteKind.PRIMARY)
        await caller.send("BEGIN")
        self.assertIsNone(await caller.code("WRITE 1 x"))
        tested.confirmed_state.lose_lease()
        self.assertEqual(FailureCode.ABORTED, await caller.code("COMMIT"))

    @trio_test(mock_clock=True)
    async def test_a_vm_that_registered_uses_no_primary_that_it_learned_of_before(self) -> None:
        # Guards against a promotion between the reading of the store and the registration.
        tested = await vm()
        tested.confirmed_state.register(boottime_s())
        self.assertFalse(tested.confirmed_state.primaries_confirmed)
        tested.confirmed_state.confirm(boottime_s())
        self.assertTrue(tested.confirmed_state.primaries_confirmed)


class UnreachableTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_reads_avoid_an_instance_that_refuses_connections(self) -> None:
        tested = await vm()
        tested.sample()
        for each in tested.replicas:
            each.open_error = ConnectionLostError("refused", executed="no")
        caller = tested.session(RouteKind.BOUNDED)
        self.assertIsNone(await caller.code("READ 1"))
        self.assertIsNotNone(tested.group.instances["r1"].unreachable_since)

    @trio_test(mock_clock=True)
    async def test_a_refusal_of_a_home_is_no_sign_of_life_of_the_instance(self) -> None:
        # Guards against a dark primary that stays in place until its entry lapses, because each
        # refusal of its home made the VM vote for it (hfva-harvest-grown trouble-1, 5 s).
        tested = await vm()
        leader = tested.group.instances["p"]

        def refuse(_instance: FakeInstance, _statement: object) -> Reply:
            leader.record_failure()
            return Reply(failure=Failure(FailureCode.MOVED, "cannot connect"))

        tested.primary.answer = refuse
        await tested.session(RouteKind.PRIMARY).code("READ 1")
        self.assertIsNotNone(leader.unreachable_since)

    @trio_test(mock_clock=True)
    async def test_a_draining_replica_gets_no_new_reads(self) -> None:
        tested = await vm()
        tested.sample()
        for each in tested.replicas:
            await tested.directory.apply(registration(each.id, draining=True))
        await tested.session(RouteKind.BOUNDED).send("READ 1")
        self.assertEqual(["READ 1"], tested.primary.caller_statements)
