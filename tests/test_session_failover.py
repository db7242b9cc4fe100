"""Change of a primary: when, to which instance, and that nobody uses the old one meanwhile."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import trio
from hypothesis import given
from hypothesis import strategies as st

from front_fakes import GROUP, FakeFleetStore, RecordingLog, configuration, registration, vm
from support import TestCase, trio_test
from tanagerfront.confirmed_state import ConfirmedState, StalenessLimits
from tanagerfront.entry_id import EntryId
from tanagerfront.errors import ConnectionLostError
from tanagerfront.fleet_store import (
    Change,
    ConfigurationChanged,
    InstanceChanged,
    PromoterLock,
    PromoterLockAcquired,
    VmChanged,
)
from tanagerfront.fleet_sync import FleetSync
from tanagerfront.instance_directory import Group, Instance, InstanceDirectory, PrimaryRecord
from tanagerfront.instance_pool import InstancePool, PoolLimits
from tanagerfront.rate_shares import UNKNOWN_LENDER, RateShares, TokenLoanRequest
from tanagerfront.session_failover import (
    FailoverController,
    FailoverReason,
    InstanceReport,
    PromotionOutcome,
    ReachabilityVotes,
    decide_failover,
    most_advanced,
)
from tanagerfront.session_model import GroupOptions, InstanceRegistration, InstanceRole, boottime_s
from tanagerfront.session_peer_messages import Heartbeat

NOW = 1000.0


async def _no_opener(_entry: InstanceRegistration, _organisation: str) -> object:
    raise ConnectionLostError("not used", executed="no")


def group(*, primary: bool = True, replicas: int = 2) -> Group:
    made = Group(GROUP)
    names = (["p"] if primary else []) + [f"r{number}" for number in range(replicas)]
    for name in names:
        found = registration(name, primary=name == "p")
        pool = InstancePool(found, _no_opener, PoolLimits(1, 1))  # type: ignore[arg-type]
        made.instances[name] = Instance(found, pool)
    return made


class DecideTest(TestCase):
    def _decide(self, made: Group, unreachable: int = 0, voters: int = 1) -> FailoverReason | None:
        return decide_failover(made, ReachabilityVotes(unreachable, voters), 10.0, NOW)

    def test_a_working_primary_stays(self) -> None:
        self.assertIsNone(self._decide(group()))

    def test_a_vm_that_alone_cannot_reach_the_primary_moves_nothing(self) -> None:
        # Guards against a promotion for a VM's own cut link.
        made = group()
        made.instances["p"].unreachable_since = NOW - 5
        self.assertIsNone(self._decide(made, unreachable=1, voters=3))
        self.assertEqual(FailoverReason.UNREACHABLE, self._decide(made, unreachable=2, voters=3))

    def test_a_moment_of_silence_moves_nothing(self) -> None:
        made = group()
        made.instances["p"].unreachable_since = NOW - 0.05
        self.assertIsNone(self._decide(made, unreachable=3, voters=3))

    def test_a_primary_that_leaves_is_replaced_before_it_has_to_stop(self) -> None:
        made = group()
        made.instances["p"].draining_since = NOW
        self.assertEqual(FailoverReason.LEAVING, self._decide(made))

    def test_nothing_moves_without_a_replica(self) -> None:
        made = group(replicas=0)
        made.instances["p"].unregistered_since = NOW
        self.assertIsNone(self._decide(made))

    def test_a_move_that_its_promoter_did_not_finish_goes_on(self) -> None:
        made = group()
        made.primary_record = PrimaryRecord(GROUP, "p", 2, True, 5)
        self.assertEqual(FailoverReason.UNFINISHED, self._decide(made))

    @given(st.dictionaries(st.text(min_size=1), st.tuples(st.integers(0, 9), st.integers(0, 99))))
    def test_the_most_advanced_replica_has_every_entry_of_the_others(
        self, logs: dict[str, tuple[int, int]]
    ) -> None:
        reports = {
            name: InstanceReport(InstanceRole.REPLICA, 1, EntryId(*log))
            for name, log in logs.items()
        }
        best = most_advanced(reports)
        if best is not None:
            self.assertTrue(
                all(reports[best].received >= each.received for each in reports.values())
            )
        self.assertEqual(best is None, not logs)


class Control:
    """Instances as the promoter sees them; a name in `dead` does not answer."""

    def __init__(self) -> None:
        self.dead: set[str] = set()
        self.received = {"p": EntryId(1, 9), "r0": EntryId(1, 9), "r1": EntryId(1, 7)}
        self.leading = "p"
        self.stepped_down_at: float | None = None
        self.paused: list[str] = []

    def _report(self, name: str) -> InstanceReport:
        if name in self.dead:
            raise ConnectionLostError("dead", executed="no")
        role = InstanceRole.PRIMARY if name == self.leading else InstanceRole.REPLICA
        return InstanceReport(role, 1, self.received[name])

    async def report(self, found: InstanceRegistration) -> InstanceReport:
        await trio.sleep(0.003)
        return self._report(found.id)

    async def pause(self, found: InstanceRegistration, term: int) -> InstanceReport:
        self.paused.append(found.id)
        return self._report(found.id)

    async def step_down(self, found: InstanceRegistration, term: int) -> InstanceReport:
        report = self._report(found.id)
        self.stepped_down_at = trio.current_time()
        self.leading = ""
        return report._replace(role=InstanceRole.REPLICA)


class Peers:
    """Heartbeats of the other VMs."""

    def __init__(self) -> None:
        self.heartbeats: dict[str, Heartbeat] = {}

    def recent_heartbeats(self) -> dict[str, Heartbeat]:
        return self.heartbeats

    def broadcast_heartbeat(self) -> None:
        pass

    def say(self, name: str, *, seen: int = 0, unreachable: list[str] | None = None) -> None:
        self.heartbeats[name] = Heartbeat(name, 0.0, seen, unreachable or [], [], {})


class Promoter:
    """The parts of a VM that may order promotions."""

    def __init__(self, synchronous: int = 0) -> None:
        self.store = FakeFleetStore()
        self.control = Control()
        self.peers = Peers()
        self.log = RecordingLog()
        self.orders: list[tuple[float, str, int]] = []
        self.outcomes: list[PromotionOutcome] = []
        self.confirmed_state = ConfirmedState(StalenessLimits(4.5, 3.0, 4.0, 5.5))
        self.directory = InstanceDirectory(_no_opener, "suame")  # type: ignore[arg-type]
        rates = RateShares("a", self._borrow, lambda _vm, _organisation: 0)
        self.sync = FleetSync(
            self.store, self.confirmed_state, self.directory, rates, vm("a"), self.log
        )
        self.controller = FailoverController(
            self.store,
            self.sync,
            self.confirmed_state,
            self.directory,
            self.peers,  # type: ignore[arg-type]
            self.control,
            self,
            vm("a"),
            self.log,
        )
        options = {GROUP: GroupOptions(GROUP, 16, synchronous)}
        self.store.record(ConfigurationChanged(configuration(groups=options)))
        for name in ("p", "r0", "r1"):
            self.store.record(InstanceChanged(registration(name, primary=name == "p")))

    async def _borrow(self, _request: TokenLoanRequest, _lender: str) -> int:
        return UNKNOWN_LENDER

    async def promote(self, group: str, instance: str, holder: str, token: int) -> PromotionOutcome:
        self.orders.append((trio.current_time(), instance, token))
        outcome = self.outcomes.pop(0) if self.outcomes else PromotionOutcome.ORDERED
        if outcome is PromotionOutcome.ORDERED:
            self.control.leading = instance
        return outcome

    @property
    def leader(self) -> str | None:
        record = self.store.leaders.get(GROUP)
        return record.instance if record and not record.moving else None

    async def play(self, script: Callable[[], None], seconds: float) -> None:
        """Run for a time; the script runs once the VM knows the fleet."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.sync.run)
            nursery.start_soon(self.controller.run)
            await trio.sleep(0.5)
            script()
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()

    def primary_fails(self) -> None:
        self.control.dead.add("p")
        self.directory.group(GROUP).instances["p"].unreachable_since = boottime_s() - 1


class MoveTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_a_dead_primary_is_replaced_by_the_most_advanced_replica(self) -> None:
        tested = Promoter()
        tested.control.received["r1"] = EntryId(1, 8)
        await tested.play(tested.primary_fails, 6)
        self.assertEqual("r0", tested.leader)
        self.assertEqual(1, len(tested.orders))

    @trio_test(mock_clock=True)
    async def test_nothing_is_ordered_before_every_vm_has_seen_the_move(self) -> None:
        # Guards against a read or an acknowledged write at a primary that has been replaced.
        tested = Promoter()
        tested.store.record(VmChanged(vm("b", "adum")))
        tested.peers.say("b", seen=0, unreachable=["p"])

        def fails() -> None:
            tested.primary_fails()

        await tested.play(fails, 1.5)
        self.assertEqual([], tested.orders)
        self.assertTrue(tested.store.leaders[GROUP].moving)

    @trio_test(mock_clock=True)
    async def test_a_vm_that_registered_just_before_the_record_is_waited_for(self) -> None:
        # Guards against a VM that still uses the old primary because the promoter, whose watch is
        # late, does not know of it.
        tested = Promoter()
        watch = tested.store.watch

        async def late_watch(after: int, wait_s: float) -> tuple[Sequence[Change], int]:
            found = await watch(after, wait_s)
            await trio.sleep(1.0)
            return found

        def fails() -> None:
            tested.store.record(VmChanged(vm("b", "adum")))
            tested.primary_fails()

        tested.store.record(PromoterLockAcquired(PromoterLock("a", "inc-a", 0)))
        tested.store.watch = late_watch  # type: ignore[method-assign]
        await tested.play(fails, 0.9)
        self.assertEqual([], tested.orders)

    @trio_test(mock_clock=True)
    async def test_the_order_follows_at_once_when_all_vms_have_seen_the_move(self) -> None:
        tested = Promoter()
        tested.store.record(VmChanged(vm("b", "adum")))
        tested.peers.say("b", seen=10**6, unreachable=["p"])
        await tested.play(tested.primary_fails, 1.0)
        self.assertEqual("r0", tested.leader)

    @trio_test(mock_clock=True)
    async def test_a_leaving_primary_steps_down_and_loses_nothing(self) -> None:
        tested = Promoter()
        tested.control.received = {"p": EntryId(1, 9), "r0": EntryId(1, 5), "r1": EntryId(1, 7)}

        def leaves() -> None:
            tested.store.record(InstanceChanged(registration("p", primary=True, draining=True)))
            nursery_free_catch_up()

        def nursery_free_catch_up() -> None:
            # The replica receives the rest a moment later.
            usual = tested.control.step_down

            async def step_down(found: InstanceRegistration, term: int) -> InstanceReport:
                report = await usual(found, term)
                tested.control.received["r1"] = EntryId(1, 9)
                return report

            tested.control.step_down = step_down  # type: ignore[method-assign]

        await tested.play(leaves, 3)
        self.assertEqual("r1", tested.leader)
        self.assertIsNotNone(tested.control.stepped_down_at)

    @trio_test(mock_clock=True)
    async def test_with_synchronous_replicas_all_of_them_have_to_answer(self) -> None:
        # Guards against losing a commit that only the silent replica had received.
        tested = Promoter(synchronous=1)

        def fails() -> None:
            tested.primary_fails()
            tested.control.dead.add("r0")

        await tested.play(fails, 6)
        self.assertEqual([], tested.orders)
        self.assertIn("r1", tested.control.paused)

    @trio_test(mock_clock=True)
    async def test_a_replica_that_does_not_run_is_not_promoted(self) -> None:
        tested = Promoter()
        tested.outcomes = [PromotionOutcome.NOT_RUNNING]
        await tested.play(tested.primary_fails, 8)
        self.assertIsNotNone(tested.leader)
        self.assertGreaterEqual(len(tested.orders), 2)

    @trio_test(mock_clock=True)
    async def test_a_record_whose_answer_was_lost_does_not_end_the_move(self) -> None:
        tested = Promoter()
        tested.store.lose_answers = 1
        await tested.play(tested.primary_fails, 8)
        self.assertEqual("r0", tested.leader)

    @trio_test(mock_clock=True)
    async def test_a_vm_that_does_not_hold_the_seat_orders_nothing(self) -> None:
        tested = Promoter()
        tested.store.record(VmChanged(vm("b", "adum")))
        await tested.store.acquire_promoter_lock(vm("b"), 1)
        await tested.play(tested.primary_fails, 5)
        self.assertEqual([], tested.orders)

    @trio_test(mock_clock=True)
    async def test_tokens_grow_with_each_holder(self) -> None:
        store = FakeFleetStore()
        first = await store.acquire_promoter_lock(vm("a"), 1)
        store.promoter_lock = None
        second = await store.acquire_promoter_lock(vm("b"), 2)
        assert first is not None and second is not None
        self.assertGreater(second.token, first.token)
