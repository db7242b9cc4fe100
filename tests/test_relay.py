"""Relaying of statements through the homes of an instance."""

from __future__ import annotations

from collections.abc import Sequence
from contextlib import suppress

import trio
from hypothesis import given
from hypothesis import strategies as st

from front_fakes import FakeConnection, FakeInstance, RecordingLog, registration, vm
from support import TestCase, trio_test
from tanagerfront.errors import ConnectionLostError, TooManyConnectionsError
from tanagerfront.fleet_store import RegisteredVm
from tanagerfront.instance_directory import HOMES_PER_INSTANCE, MIN_VMS_FOR_RELAY
from tanagerfront.instance_pool import (
    InstancePool,
    InstanceRefusedError,
    InstanceStatement,
    PoolLimits,
)
from tanagerfront.relay import RelaySession, RoutingOpener, homes
from tanagerfront.rendezvous import rendezvous_score
from tanagerfront.session_model import (
    Begin,
    Execute,
    Failure,
    FailureCode,
    InstanceRegistration,
    Prepare,
    Reply,
    ResetSession,
    Rollback,
    SetValue,
    TransactionState,
    Urgency,
    Verbatim,
)
from tanagerfront.slot_admission import UrgencyOrder


def make_fleet(count: int) -> list[RegisteredVm]:
    domains = ("suame", "adum", "ayeduase")
    return [vm(f"vm-{number}", domains[number % 3]) for number in range(count)]


class HomesTest(TestCase):
    def test_homes_are_in_the_failure_domain_of_the_instance_and_have_the_most_cores(self) -> None:
        vms = make_fleet(30)
        vms[9] = vms[9]._replace(cores=2.0)
        chosen = homes(registration("i", failure_domain="suame"), vms)
        self.assertEqual("vm-9", chosen[0].name)
        self.assertEqual({"suame"}, {home.failure_domain for home in chosen})

    @given(st.integers(MIN_VMS_FOR_RELAY + 1, 60), st.integers(0, 59))
    def test_only_the_removal_of_a_home_changes_the_homes(
        self, count: int, removed_index: int
    ) -> None:
        vms = make_fleet(count)
        before = homes(registration("i"), vms)
        removed = vms[removed_index % count]
        after = homes(registration("i"), [other for other in vms if other is not removed])
        self.assertEqual(HOMES_PER_INSTANCE, len(after))
        if removed not in before:
            self.assertEqual(before, after)

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from((0.5, 2.0))), max_size=40))
    def test_the_homes_are_the_first_in_the_order_of_all_vms(
        self, properties: list[tuple[str, float]]
    ) -> None:
        # Guards against VMs that disagree on the homes, because one build ranks fewer of them.
        vms = [
            vm(f"vm-{number}", domain)._replace(cores=cores)
            for number, (domain, cores) in enumerate(properties)
        ]

        def rank(each: RegisteredVm) -> tuple[bool, float, int]:
            score = rendezvous_score("home", "i", each.name)
            return each.failure_domain != "a", -each.cores, score

        expected = tuple(sorted(vms, key=rank)[:HOMES_PER_INSTANCE])
        self.assertEqual(expected, homes(registration("i", failure_domain="a"), vms))


class WithoutHomesTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_a_vm_that_reaches_no_home_holds_one_direct_connection_during_its_use(
        self,
    ) -> None:
        # Guards against the direct connections of all VMs, up to eight each, that take an
        # instance's connections while its homes are gone and when they return.
        openings = RecordedOpenings()
        fleet = tuple(make_fleet(40))
        names = {home.name for home in homes(registration("i"), fleet)}
        own = next(other.name for other in fleet if other.name not in names)
        openings.down = names
        opener = RoutingOpener(
            own, openings.open_direct, openings.open_relay, lambda: fleet, RecordingLog()
        )
        pool = InstancePool(registration("i"), opener, PoolLimits(8, 8, relayed=True))
        served: list[str] = []

        async def use(name: str) -> None:
            with suppress(TooManyConnectionsError):
                connection = await pool.acquire(name, 0.0, trio.current_time() + 2.0)
                await connection.run([InstanceStatement("q", Verbatim("READ 1"))])
                await pool.release(connection)
                served.append(name)

        async with trio.open_nursery() as nursery:
            for name in "abcd":
                nursery.start_soon(use, name)
        await use("e")
        self.assertEqual((1, 0), (openings.instance.most_open, openings.instance.open_now))
        self.assertIn("e", served)
        self.assertGreaterEqual(len(served), 2)
        openings.down = set()
        await trio.sleep(2.0)
        await use("f")
        self.assertEqual((1, 1), (openings.instance.open_now, pool.open_connections))


class RecordedOpenings:
    """Opens connections and records how; `down` homes are unreachable, `refusing` ones refuse."""

    def __init__(self) -> None:
        self.direct: list[str] = []
        self.relayed: list[str] = []
        self.down: set[str] = set()
        self.refusing: set[str] = set()
        self.instance = FakeInstance()

    async def open_direct(
        self, registration: InstanceRegistration, organisation: str
    ) -> FakeConnection:
        self.direct.append(registration.id)
        return await self.instance.open(registration, organisation)

    async def open_relay(
        self, home: RegisteredVm, registration: InstanceRegistration, organisation: str
    ) -> FakeConnection:
        self.relayed.append(home.name)
        if home.name in self.down:
            raise ConnectionLostError("down", executed="no")
        if home.name in self.refusing:
            raise InstanceRefusedError(Failure(FailureCode.MOVED, "unknown here"))
        return await self.instance.open(registration, organisation)


class OpenerTest(TestCase):
    def _opener(
        self, openings: RecordedOpenings, vms: Sequence[RegisteredVm], own: str
    ) -> RoutingOpener:
        fleet = tuple(vms)
        return RoutingOpener(
            own, openings.open_direct, openings.open_relay, lambda: fleet, RecordingLog()
        )

    def test_a_changed_fleet_changes_the_homes(self) -> None:
        # Guards against statements that go to a VM that has left, because its role was remembered.
        fleet = [tuple(make_fleet(40))]
        openings = RecordedOpenings()
        first = homes(registration("i"), fleet[0])[0]
        opener = RoutingOpener(
            first.name,
            openings.open_direct,
            openings.open_relay,
            lambda: fleet[0],
            RecordingLog(),
        )
        self.assertFalse(opener.uses_relay(registration("i")))
        fleet[0] = (*fleet[0], first._replace(name="vm-large-1", cores=8.0))
        self.assertEqual(1, opener.home_rank(registration("i")))
        fleet[0] = (*fleet[0], first._replace(name="vm-large-2", cores=9.0))
        self.assertTrue(opener.uses_relay(registration("i")))

    @trio_test(mock_clock=True)
    async def test_a_small_fleet_and_the_homes_connect_directly(self) -> None:
        openings = RecordedOpenings()
        await self._opener(openings, make_fleet(7), "vm-1")(registration("i"), "a")
        vms = make_fleet(40)
        home = homes(registration("i"), vms)[0].name
        await self._opener(openings, vms, home)(registration("i"), "a")
        self.assertEqual((["i", "i"], []), (openings.direct, openings.relayed))

    @trio_test(mock_clock=True)
    async def test_homes_that_refuse_are_not_replaced_by_direct_connections(self) -> None:
        # Guards against a fleet that opens more connections than the instance accepts, because
        # its homes have not seen the instance's registration yet.
        openings = RecordedOpenings()
        vms = make_fleet(40)
        names = {home.name for home in homes(registration("i"), vms)}
        own = next(other.name for other in vms if other.name not in names)
        opener = self._opener(openings, vms, own)
        openings.refusing = names
        with self.assertRaises(InstanceRefusedError):
            await opener(registration("i"), "a")
        self.assertEqual(([], names), (openings.direct, set(openings.relayed)))

    @trio_test(mock_clock=True)
    async def test_a_home_that_refuses_an_instance_is_not_asked_again_at_once(self) -> None:
        # Guards against hundreds of refused sessions a second at a home that stops, each of which
        # costs a connection between VMs, while the other home could be asked.
        openings = RecordedOpenings()
        vms = make_fleet(40)
        first, second = (home.name for home in homes(registration("i"), vms))
        own = next(other.name for other in vms if other.name not in (first, second))
        opener = self._opener(openings, vms, own)
        openings.refusing = {first}
        for _ in range(3):
            await opener(registration("i"), "a")
        self.assertEqual([first, second, second, second], openings.relayed)
        await trio.sleep(0.4)
        openings.refusing = set()
        await opener(registration("i"), "a")
        self.assertEqual(first, openings.relayed[-1])
        openings.refusing = {first, second}
        for _ in range(3):
            with self.assertRaises(InstanceRefusedError):
                await opener(registration("i"), "a")
        self.assertEqual(([], 7), (openings.direct, len(openings.relayed)))

    @trio_test(mock_clock=True)
    async def test_an_unreachable_home_is_skipped_for_a_while(self) -> None:
        # Guards against a fleet that cannot reach an instance because one home has failed.
        openings = RecordedOpenings()
        vms = make_fleet(40)
        first, second = (home.name for home in homes(registration("i"), vms))
        own = next(other.name for other in vms if other.name not in (first, second))
        opener = self._opener(openings, vms, own)
        openings.down = {first}
        await opener(registration("i"), "a")
        await opener(registration("i"), "a")
        self.assertEqual([first, second, second], openings.relayed)
        openings.down = {first, second}
        await trio.sleep(2)
        await opener(registration("i"), "a")
        self.assertEqual(["i"], openings.direct)


class SessionTest(TestCase):
    def _session(self, instance: FakeInstance, limit: int = 2) -> RelaySession:
        pool = InstancePool(registration("i"), instance.open, PoolLimits(limit, limit))
        return RelaySession(pool, "a")

    async def _run_texts(self, session: RelaySession, *texts: str) -> list[Reply]:
        return [await session.run(InstanceStatement("q", Verbatim(text))) for text in texts]

    @trio_test(mock_clock=True)
    async def test_a_transaction_holds_one_connection_until_its_end(self) -> None:
        instance = FakeInstance()
        session = self._session(instance)
        await session.run(InstanceStatement("-", Begin(False)))
        self.assertTrue(session.in_transaction)
        await self._run_texts(session, "WRITE 1 x", "COMMIT")
        self.assertFalse(session.in_transaction)
        self.assertEqual(1, len({connection for connection, _ in instance.received}))

    @trio_test(mock_clock=True)
    async def test_a_rolled_back_transaction_frees_the_connection(self) -> None:
        session = self._session(FakeInstance())
        await session.run(InstanceStatement("-", Begin(False)))
        reply = await session.run(InstanceStatement("-", Rollback()))
        self.assertEqual(TransactionState.IDLE, reply.state)
        self.assertFalse(session.in_transaction)

    @trio_test(mock_clock=True)
    async def test_closing_a_session_in_a_transaction_closes_the_connection(self) -> None:
        # Guards against another caller's statement in an abandoned transaction.
        instance = FakeInstance()
        session = self._session(instance)
        await session.run(InstanceStatement("-", Begin(False)))
        await session.close()
        self.assertEqual(0, instance.open_now)

    @trio_test(mock_clock=True)
    async def test_replies_generated_by_the_home_carry_no_position(self) -> None:
        # Guards against a VM that takes an old position for the current one of the primary.
        session = self._session(FakeInstance())
        reply = await session.run(InstanceStatement("-", SetValue("x", "1")))
        self.assertIsNone(reply.reached)
        reply = await session.run(InstanceStatement("-", ResetSession()))
        self.assertIsNotNone(reply.reached)

    @trio_test(mock_clock=True)
    async def test_values_and_prepared_statements_of_a_session_are_sent_first(self) -> None:
        instance = FakeInstance()
        session = self._session(instance, limit=1)
        await session.run(InstanceStatement("-", SetValue("x", "1")))
        await session.run(InstanceStatement("-", Prepare("p1", False, "shape")))
        await session.run(InstanceStatement("q", Execute("p1", "7")))
        statements = [received.statement for _, received in instance.received]
        self.assertEqual([SetValue("x", "1"), Prepare("p1", False, "shape")], statements[:2])

    @trio_test(mock_clock=True)
    async def test_statements_are_prepared_again_after_a_reset(self) -> None:
        # Guards against a failure for an unknown prepared statement, because the home assumes that
        # it survived the reset (hfva-harvest-grown, PINNED 12).
        instance = FakeInstance()
        session = self._session(instance, limit=1)
        for _ in range(2):
            await session.run(InstanceStatement("-", Prepare("p1", False, "shape")))
            await session.run(InstanceStatement("q", Execute("p1", "7")))
            await session.run(InstanceStatement("-", ResetSession()))
        prepared = [sent for _, sent in instance.received if isinstance(sent.statement, Prepare)]
        self.assertEqual(2, len(prepared))

    @trio_test(mock_clock=True)
    async def test_a_statement_abandoned_by_its_vm_is_not_run(self) -> None:
        # Guards against an instance that executes statements of callers that have left.
        instance = FakeInstance()
        pool = InstancePool(registration("i"), instance.open, PoolLimits(1, 1))
        session = RelaySession(pool, "a", peer_waiting=lambda: False)
        await self._run_texts(session, "READ 1")
        self.assertEqual([], instance.caller_statements)

    @trio_test(mock_clock=True)
    async def test_a_statement_that_did_not_run_is_refused_and_a_lost_one_raises(self) -> None:
        instance = FakeInstance()
        instance.open_error = ConnectionLostError("down", executed="no")
        session = self._session(instance)
        [reply] = await self._run_texts(session, "WRITE 1 x")
        assert reply.failure is not None
        self.assertEqual(FailureCode.MOVED, reply.failure.code)
        instance.open_error, instance.loses_connection = None, True
        with self.assertRaises(ConnectionLostError):
            await self._run_texts(session, "WRITE 1 x")

    @trio_test(mock_clock=True)
    async def test_a_busy_home_refuses_in_time(self) -> None:
        instance = FakeInstance()
        session = self._session(instance, limit=1)
        other = RelaySession(session._pool, "b")
        await other.run(InstanceStatement("-", Begin(False)))
        started = trio.current_time()
        [reply] = await self._run_texts(session, "READ 1")
        assert reply.failure is not None
        self.assertEqual(FailureCode.OVERLOADED, reply.failure.code)
        self.assertLess(trio.current_time() - started, 0.5)

    @trio_test(mock_clock=True)
    async def test_a_home_serves_relayed_statements_by_urgency(self) -> None:
        # Guards against urgent statements of a VM that stand behind another VM's, also if those
        # state no urgency because their VM has an older build.
        instance = FakeInstance()
        instance.work_s = 0.02
        limits = PoolLimits(9, 9, admission_control=True, slot_order=UrgencyOrder())
        pool = InstancePool(registration("i"), instance.open, limits)

        async def run(text: str, urgency: Urgency | None) -> None:
            statement = InstanceStatement("q", Verbatim(text), urgency=urgency)
            reply = await RelaySession(pool, "a").run(statement)
            self.assertIsNone(reply.failure)

        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(run, "READ running", None)
                # One slot becomes free after the other.
                await trio.sleep(0.005)
            now = trio.current_time()
            nursery.start_soon(run, "READ patient", Urgency(2, now + 1.2, now + 2.0))
            nursery.start_soon(run, "READ unstated", None)
            await trio.sleep(0.001)
            nursery.start_soon(run, "READ urgent", Urgency(0, now + 0.2, now + 1.0))
        order = instance.caller_statements[3:]
        self.assertEqual(["READ urgent", "READ unstated", "READ patient"], order)


class EvacuationTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_a_home_begins_nothing_at_an_instance_that_is_out_of_service(self) -> None:
        # Guards against statements of a VM that does not know of the evacuation yet.
        instance = FakeInstance()
        pool = InstancePool(registration("i"), instance.open, PoolLimits(4, 4))
        out_of_service = False
        session = RelaySession(pool, "foremen", refuses_work=lambda: out_of_service)
        await session.run(InstanceStatement("q1", Begin(False)))
        out_of_service = True
        # A transaction that is open gets its part of the bound from the VM of its caller.
        reply = await session.run(InstanceStatement("q2", Verbatim("READ 1")))
        self.assertIsNone(reply.failure)
        await session.run(InstanceStatement("q3", Rollback()))
        sent = len(instance.received)
        reply = await session.run(InstanceStatement("q4", Verbatim("READ 1")))
        assert reply.failure is not None
        # The VM that sent it tries another instance.
        self.assertIs(FailureCode.MOVED, reply.failure.code)
        self.assertEqual(sent, len(instance.received))
