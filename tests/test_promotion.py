"""Test promotion: terms, fencing, choice of the successor, and faults at every step."""

from __future__ import annotations

import contextlib
import json
import signal
import subprocess
from collections.abc import AsyncIterator

import trio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from fake_databases import (
    INSTANCE_NAMES,
    KEY_VALUE_SERVICE,
    FakeGroup,
    FakeGroupHome,
    FakeKeyValueStore,
    FakeNetwork,
    make_group,
)
from standin_group import (
    connect_with_retries,
    free_address,
    read,
    start_process,
    wait_until_applied,
    write,
)
from support import TestCase, trio_test
from tanagerfront.acknowledgement import Verdict, decide_replicated
from tanagerfront.databases import InstanceStatus
from tanagerfront.entry_id import EntryId
from tanagerfront.errors import OutcomeUnknownError
from tanagerfront.group_health import StallDetector
from tanagerfront.group_record import GroupRecordCache, record_key
from tanagerfront.groups import GroupSnapshot, InstanceSnapshot, LiveGroupMonitor
from tanagerfront.http_client import Address
from tanagerfront.kv import KeyValue
from tanagerfront.promotion import Promoter
from tanagerfront.promotion_attempt import choose_successor
from tanagerfront_standin.database_state import Refusal

RECORD_KEY = record_key("orders-1")
STEPS = (
    "before swap",
    "after swap",
    "before fence",
    "after fence",
    "before promote",
    "after promote",
    "before follow",
    "after follow",
)


class Cluster:
    """A group of fake databases, the key-value service's data and the running homes."""

    def __init__(self, nursery: trio.Nursery, databases: FakeGroup) -> None:
        self.nursery = nursery
        self.databases = databases
        self.network = databases.network
        self.data: dict[str, KeyValue] = {}
        self.homes: dict[str, FakeGroupHome] = {}

    def start_home(self, vm: str, rank: int, *, confirmed: bool = True) -> FakeGroupHome:
        home = FakeGroupHome(self.databases, self.data, vm, rank, confirmed=confirmed)
        self.homes[vm] = home
        self.nursery.start_soon(home.run)
        return home

    @property
    def record(self) -> dict[str, object]:
        return dict(json.loads(self.data[RECORD_KEY].value))

    def current_primary(self) -> str | None:
        """Return the primary of the highest term, to which clients send their statements."""
        term = max(state.term for state in self.databases.states.values())
        primaries = [state.name for state in self.databases.states.values() if state.is_primary]
        return next((name for name in primaries if self.databases.states[name].term == term), None)

    async def try_write(self, vm: str, key: str, instance: str, wait_s: float = 2.0) -> bool:
        """Write a key on an instance and return whether the write was acknowledged."""
        try:
            entry = self.databases.write(key, instance)
            deadline = trio.current_time() + wait_s
            await self.homes[vm].monitor.wait_acknowledged(entry, deadline)
        except (Refusal, OutcomeUnknownError):
            return False
        return True


@contextlib.asynccontextmanager
async def open_cluster(
    *, primary: str | None = "a", acknowledge: str = "replicated"
) -> AsyncIterator[Cluster]:
    databases = FakeGroup(primary=primary, acknowledge=acknowledge)
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(databases.run)
            yield Cluster(nursery, databases)
            nursery.cancel_scope.cancel()
    finally:
        databases.close()


class PromotionTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_new_group_gets_one_primary(self) -> None:
        # Guards against two homes that each promote an instance of a new group.
        async with open_cluster(primary=None) as cluster:
            homes = [cluster.start_home("v1", 0), cluster.start_home("v2", 0)]
            await trio.sleep(5)
            self.assertEqual(1, len(cluster.databases.primaries))
            self.assertEqual(1, sum(home.promoter.promotions for home in homes))
            self.assertEqual(cluster.current_primary(), cluster.record["primary"])

    @trio_test(mock_clock=True)
    async def test_existing_primary_is_recorded_without_a_promotion(self) -> None:
        # Guards against an unnecessary failover when the fleet starts.
        async with open_cluster() as cluster:
            cluster.start_home("v1", 0)
            await trio.sleep(5)
            self.assertEqual({(1, "a")}, cluster.databases.primaries)
            self.assertEqual((1, "a"), (cluster.record["term"], cluster.record["primary"]))

    @trio_test(mock_clock=True)
    async def test_failed_primary_is_replaced(self) -> None:
        # Guards against a failover that exceeds the target time or promotes a stale replica.
        async with open_cluster() as cluster:
            cluster.start_home("v1", 0)
            await trio.sleep(1)
            cluster.network.block("b", "a")
            self.assertTrue(await cluster.try_write("v1", "x", "a"))
            cluster.network.block("a", *INSTANCE_NAMES, "v1")
            failed_at = trio.current_time()
            while cluster.current_primary() in (None, "a"):
                await cluster.homes["v1"].monitor.wait_change()
            self.assertLess(trio.current_time() - failed_at, 2)
            self.assertEqual("c", cluster.current_primary())
            self.assertTrue(await cluster.try_write("v1", "y", "c"))
            self.assertEqual({"x", "y"}, cluster.databases.read_keys("b"))
            self.assertEqual("c", cluster.record["primary"])

    @trio_test(mock_clock=True)
    async def test_primary_cut_off_from_its_replicas_is_replaced(self) -> None:
        # Guards against a primary that answers probes but is cut off from its replicas: no write
        # is acknowledged while the partition lasts.
        async with open_cluster() as cluster:
            home = cluster.start_home("v1", 0)
            await trio.sleep(1)
            self.assertTrue(await cluster.try_write("v1", "kept", "a"))
            cluster.network.block("a", "b", "c")
            await trio.sleep(5)
            self.assertEqual("a", cluster.current_primary())
            self.assertFalse(await cluster.try_write("v1", "lost", "a"))
            await home.monitor.wait_primary(trio.current_time() + 1)
            self.assertIn(cluster.current_primary(), ("b", "c"))
            self.assertTrue(await cluster.try_write("v1", "later", str(cluster.current_primary())))
            cluster.network.heal()
            await trio.sleep(3)
            self._check_final_state(cluster, {"kept", "later"})
            self.assertEqual(2, len(cluster.databases.primaries))

    @trio_test(mock_clock=True)
    async def test_unconfirmed_suspicion_causes_no_promotion(self) -> None:
        # Guards against a promotion by the only VM that cannot reach the primary.
        async with open_cluster() as cluster:
            home = cluster.start_home("v1", 0, confirmed=False)
            await trio.sleep(1)
            cluster.network.block("v1", "a")
            await trio.sleep(5)
            self.assertGreater(home.confirmations, 0)
            self.assertEqual({(1, "a")}, cluster.databases.primaries)

    @trio_test(mock_clock=True)
    async def test_isolated_vm_allocates_no_term(self) -> None:
        # Guards against a partitioned VM that allocates terms in which it cannot fence a majority.
        async with open_cluster() as cluster:
            cluster.start_home("v1", 0)
            await trio.sleep(1)
            revision = cluster.data[RECORD_KEY].revision
            cluster.network.block("v1", "a", "b")
            await trio.sleep(10)
            self.assertEqual(revision, cluster.data[RECORD_KEY].revision)

    @trio_test(mock_clock=True)
    async def test_write_on_an_isolated_old_primary_is_not_acknowledged(self) -> None:
        # Guards against an acknowledged write on a primary that has been replaced, and against an
        # old primary that keeps its divergent entries when it becomes reachable again.
        for acknowledge in ("replicated", "majority-term"):
            async with open_cluster(acknowledge=acknowledge) as cluster:
                cluster.start_home("v1", 0)
                cluster.start_home("v2", 1)
                await trio.sleep(1)
                cluster.network.block("a", "b", "c", "v2")
                cluster.network.block("v1", "b", "c", "v2", KEY_VALUE_SERVICE)
                await trio.sleep(5)
                self.assertNotIn(cluster.current_primary(), (None, "a"))
                self.assertFalse(await cluster.try_write("v1", "lost", "a"))
                cluster.network.heal()
                await trio.sleep(5)
                self.assertFalse(cluster.databases.states["a"].is_primary)
                self.assertEqual(set(), cluster.databases.read_keys("a"))
                discarded = [home.promoter.discarded_entries for home in cluster.homes.values()]
                self.assertEqual(1, max(discarded))

    @trio_test(mock_clock=True, timeout_s=600)
    async def test_promoter_that_resumes_late_loses_no_acknowledged_write(self) -> None:
        # Guards against a promoter that is paused at any step and resumes after another one has
        # completed its promotion.
        for step in STEPS:
            with self.subTest(step):
                await self._check_promoter_paused_at(step)

    async def _check_promoter_paused_at(self, step: str) -> None:
        async with open_cluster() as cluster:
            cluster.start_home("v1", 0)
            cluster.start_home("v2", 1)
            await trio.sleep(1)
            resume = cluster.network.pause_events["v1", step] = trio.Event()
            cluster.network.block("a", *INSTANCE_NAMES, "v1", "v2")
            await trio.sleep(5)
            self.assertIn(("v1", step), cluster.network.reached_steps)
            primary = cluster.current_primary()
            self.assertIsNotNone(primary)
            self.assertTrue(await cluster.try_write("v2", "kept", str(primary)))
            resume.set()
            del cluster.network.pause_events["v1", step]
            await trio.sleep(5)
            cluster.network.heal()
            await trio.sleep(5)
            self._check_final_state(cluster, {"kept"})

    def _check_final_state(self, cluster: Cluster, acknowledged: set[str]) -> None:
        terms = [term for term, _name in cluster.databases.primaries]
        self.assertEqual(len(terms), len(set(terms)), "a term has two primaries")
        primary = cluster.current_primary()
        self.assertIsNotNone(primary)
        kept = cluster.databases.read_keys(str(primary))
        self.assertEqual(set(), acknowledged - kept, "acknowledged writes were lost")
        for name in INSTANCE_NAMES:
            self.assertEqual(kept, cluster.databases.read_keys(name))

    @trio_test(mock_clock=True)
    async def test_simultaneous_promoters_lose_no_acknowledged_write(self) -> None:
        # Guards against homes that disagree about their ranks and promote at the same time.
        async with open_cluster() as cluster:
            cluster.start_home("v1", 0)
            cluster.start_home("v2", 0)
            await trio.sleep(1)
            self.assertTrue(await cluster.try_write("v1", "kept", "a"))
            cluster.network.block("a", *INSTANCE_NAMES, "v1", "v2")
            await trio.sleep(5)
            cluster.network.heal()
            await trio.sleep(5)
            self._check_final_state(cluster, {"kept"})

    @trio_test(mock_clock=True)
    async def test_reserved_term_is_used_during_an_outage(self) -> None:
        # Guards against writes being refused for as long as the key-value service is down, and
        # against a later promoter that reuses the reserved term.
        async with open_cluster() as cluster:
            cluster.start_home("v1", 0)
            cluster.start_home("v2", 1)
            await trio.sleep(7)
            reserved = cluster.record["reserved"]
            cluster.network.block(KEY_VALUE_SERVICE, "v1", "v2")
            cluster.network.block("a", *INSTANCE_NAMES, "v1", "v2")
            await trio.sleep(5)
            self.assertEqual({"term": 2, "vm": "v1"}, reserved)
            self.assertEqual(
                {(1, "a"), (2, cluster.current_primary())}, cluster.databases.primaries
            )
            self.assertEqual(0, cluster.homes["v2"].promoter.promotions)
            cluster.network.heal()
            await trio.sleep(8)
            self.assertEqual(
                (2, cluster.current_primary()), (cluster.record["term"], cluster.record["primary"])
            )
            cluster.network.block(str(cluster.current_primary()), *INSTANCE_NAMES, "v1", "v2")
            await trio.sleep(5)
            self.assertGreater(max(cluster.databases.primaries)[0], 2)
            cluster.network.heal()
            await trio.sleep(5)
            self._check_final_state(cluster, set())

    @trio_test(mock_clock=True)
    async def test_reserved_term_is_used_by_its_vm_only(self) -> None:
        # Guards against two VMs that use the same reserved term during an outage.
        async with open_cluster() as cluster:
            cluster.start_home("v1", 0)
            home = cluster.start_home("v2", 1)
            await trio.sleep(7)
            cluster.network.block(KEY_VALUE_SERVICE, "v1", "v2")
            cluster.network.block("v1", *INSTANCE_NAMES)
            cluster.network.block("a", *INSTANCE_NAMES, "v2")
            await trio.sleep(5)
            self.assertGreater(home.confirmations, 0)
            self.assertEqual({(1, "a")}, cluster.databases.primaries)

    @trio_test(mock_clock=True)
    async def test_reserved_term_is_used_once(self) -> None:
        # Guards against two promotions in one term while the key-value service is down.
        async with open_cluster() as cluster:
            cluster.start_home("v1", 0)
            await trio.sleep(7)
            cluster.network.block(KEY_VALUE_SERVICE, "v1")
            cluster.network.block("a", *INSTANCE_NAMES, "v1")
            resume = cluster.network.pause_events["v1", "before promote"] = trio.Event()
            await trio.sleep(2)
            # The promotion request is lost, so its term stays without a primary.
            cluster.network.block("v1", "b", "c")
            resume.set()
            await trio.sleep(2)
            cluster.network.blocked -= {frozenset(("v1", "b")), frozenset(("v1", "c"))}
            await trio.sleep(5)
            self.assertEqual({(1, "a")}, cluster.databases.primaries)
            cluster.network.blocked.discard(frozenset((KEY_VALUE_SERVICE, "v1")))
            await trio.sleep(5)
            self.assertGreater(max(cluster.databases.primaries)[0], 2)

    @trio_test(mock_clock=True)
    async def test_promotion_completes_after_a_lost_swap_response(self) -> None:
        # Guards against a promoter that abandons a term allocated to it, or uses one that was not,
        # after the response of the key-value service is lost.
        for swap_fault in ("after", "before"):
            async with open_cluster() as cluster:
                home = cluster.start_home("v1", 0)
                await trio.sleep(1)
                term_before = cluster.record["term"]
                home.store.swap_fault = swap_fault
                cluster.network.block("a", *INSTANCE_NAMES, "v1")
                await trio.sleep(4)
                self.assertNotIn(cluster.current_primary(), (None, "a"))
                self.assertEqual(cluster.current_primary(), cluster.record["primary"])
                term = max(cluster.databases.primaries)[0]
                self.assertEqual(term, cluster.record["term"])
                if swap_fault == "after":
                    # The request with the lost response allocated the term after the reserved one.
                    self.assertEqual(int(str(term_before)) + 2, term)
                    self.assertEqual(1, home.confirmations)

    @trio_test(mock_clock=True)
    async def test_leaving_primary_hands_over_without_losing_writes(self) -> None:
        # Guards against a hand-over that loses writes or waits until the primary is suspected.
        async with open_cluster() as cluster:
            home = cluster.start_home("v1", 0)
            await trio.sleep(1)
            self.assertTrue(await cluster.try_write("v1", "kept", "a"))
            instances = cluster.databases.group.instances
            leaving = (instances[0]._replace(leaving=True), *instances[1:])
            home.monitor.update_group(cluster.databases.group._replace(instances=leaving))
            seen_handing_over = False
            started_at = trio.current_time()
            while cluster.current_primary() in (None, "a"):
                seen_handing_over |= home.monitor.snapshot.handing_over
                await home.monitor.wait_change()
            self.assertLess(trio.current_time() - started_at, 0.5)
            self.assertTrue(seen_handing_over)
            self.assertEqual(0, home.confirmations)
            await trio.sleep(3)
            self.assertFalse(home.monitor.snapshot.handing_over)
            self.assertEqual(1, home.promoter.promotions)
            self._check_final_state(cluster, {"kept"})


FAULT_SEQUENCES = st.lists(
    st.tuples(
        st.floats(0.05, 2.0),
        st.sampled_from(
            [
                *(("isolate", name) for name in INSTANCE_NAMES),
                *(("unlink", name) for name in INSTANCE_NAMES),
                ("outage", ""),
                ("pause", "v1"),
                ("split", "v1"),
                ("heal", ""),
            ]
        ),
        st.sampled_from(STEPS),
    ),
    min_size=1,
    max_size=8,
)


def inject_fault(cluster: Cluster, fault: tuple[str, str], step: str) -> None:
    network = cluster.network
    match fault:
        case "isolate", name:
            network.block(name, *INSTANCE_NAMES, "v1", "v2")
        case "unlink", name:
            network.block(name, *(other for other in INSTANCE_NAMES if other != name))
        case "outage", _:
            network.block(KEY_VALUE_SERVICE, "v1", "v2")
        case "pause", vm:
            network.pause_events.setdefault((vm, step), trio.Event())
        case "split", vm:
            network.block(vm, "b", "c")
        case _:
            network.heal()
            for event in network.pause_events.values():
                event.set()
            network.pause_events.clear()


async def write_continuously(cluster: Cluster, vm: str, acknowledged: set[str]) -> None:
    number = 0
    async with trio.open_nursery() as nursery:

        async def write(key: str, instance: str) -> None:
            if await cluster.try_write(vm, key, instance, 1.0):
                acknowledged.add(key)

        while True:
            await trio.sleep(0.05)
            primary = cluster.homes[vm].monitor.snapshot.primary
            if primary and cluster.network.is_open(vm, primary.instance.name):
                number += 1
                nursery.start_soon(write, f"{vm}-{number}", primary.instance.name)


class PromotionPropertyTest(TestCase):
    @settings(max_examples=25, deadline=None, suppress_health_check=list(HealthCheck))
    @given(FAULT_SEQUENCES)
    def test_acknowledged_writes_survive_every_promotion(
        self, faults: list[tuple[float, tuple[str, str], str]]
    ) -> None:
        # Guards against a sequence of faults that loses an acknowledged write or leaves a group
        # without a primary.
        @trio_test(mock_clock=True, timeout_s=600)
        async def check(case: PromotionPropertyTest) -> None:
            async with open_cluster() as cluster:
                acknowledged: set[str] = set()
                for rank, vm in enumerate(("v1", "v2")):
                    cluster.start_home(vm, rank)
                    cluster.nursery.start_soon(write_continuously, cluster, vm, acknowledged)
                await trio.sleep(1)
                for delay_s, fault, step in faults:
                    inject_fault(cluster, fault, step)
                    await trio.sleep(delay_s)
                inject_fault(cluster, ("heal", ""), "")
                await trio.sleep(15)
                terms = [term for term, _name in cluster.databases.primaries]
                case.assertEqual(len(terms), len(set(terms)))
                primary = cluster.current_primary()
                case.assertIsNotNone(primary)
                case.assertEqual(set(), acknowledged - cluster.databases.read_keys(str(primary)))
                case.assertGreater(len(acknowledged), 10)

        check(self)


class ProcessTest(TestCase):
    @trio_test
    async def test_frozen_primary_process_is_replaced_and_rejoins(self) -> None:
        # Guards against a failover that works only with simulated instances.
        addresses = {name: free_address() for name in INSTANCE_NAMES}
        processes = {name: start_process(name, addresses) for name in INSTANCE_NAMES}
        try:
            for address in addresses.values():
                await (await connect_with_retries(address)).close()
            async with trio.open_nursery() as nursery:
                await self._check_failover(nursery, addresses, processes["a"])
                nursery.cancel_scope.cancel()
        finally:
            for process in processes.values():
                process.send_signal(signal.SIGCONT)
                process.terminate()
                process.wait(timeout=10)

    async def _check_failover(
        self,
        nursery: trio.Nursery,
        addresses: dict[str, Address],
        frozen: subprocess.Popen[bytes],
    ) -> None:
        group = make_group()
        instances = tuple(
            instance._replace(address=addresses[instance.name]) for instance in group.instances
        )
        monitor = LiveGroupMonitor(group._replace(instances=instances))

        async def confirm(_term: int, _primary: str | None) -> bool:
            return True

        promoter = Promoter(
            monitor, FakeKeyValueStore({}, FakeNetwork(), "v1"), "v1", confirm, lambda: 0
        )
        await nursery.start(monitor.run)
        nursery.start_soon(promoter.run)
        snapshot_before = await monitor.wait_primary(trio.current_time() + 10)
        await self._write(snapshot_before, monitor, addresses, "kept")
        frozen.send_signal(signal.SIGSTOP)
        frozen_at = trio.current_time()
        while monitor.snapshot.primary is None or monitor.snapshot.primary.instance.name == "a":
            await monitor.wait_change()
        snapshot_after = await monitor.wait_primary(frozen_at + 7)
        await self._write(snapshot_after, monitor, addresses, "later")
        self.assertLess(trio.current_time() - frozen_at, 5)
        frozen.send_signal(signal.SIGCONT)
        rejoined = await connect_with_retries(addresses["a"])
        await wait_until_applied(rejoined, 4)
        self.assertEqual({"kept", "later"}, await read(rejoined, term=snapshot_after.term))

    async def _write(
        self,
        snapshot: GroupSnapshot,
        monitor: LiveGroupMonitor,
        addresses: dict[str, Address],
        key: str,
    ) -> None:
        assert snapshot.primary is not None
        session = await connect_with_retries(addresses[snapshot.primary.instance.name])
        entry = (await write(session, key, term=snapshot.term)).reached
        await monitor.wait_acknowledged(entry, trio.current_time() + 5)
        await session.close()


class SelectionTest(TestCase):
    def test_successor_is_chosen_by_last_term_before_log_length(self) -> None:
        # Guards against promoting an old primary because it has more, but unreplicated, entries.
        group = make_group()
        older = InstanceStatus("a", "replica", 3, 1, 90, 90, 0.0, ((1, 1),), None)
        newer = InstanceStatus("b", "replica", 3, 2, 20, 20, 0.0, ((1, 1), (2, 11)), None)
        chosen = choose_successor({"a": older, "b": newer}, group)
        self.assertEqual("b", chosen.instance if chosen else None)
        self.assertIsNone(choose_successor({"a": older}, group))

    @trio_test(mock_clock=True)
    async def test_slow_replication_is_no_stall(self) -> None:
        # Guards against a promotion while lagging replicas still receive entries.
        group = make_group()
        primary = InstanceStatus("a", "primary", 1, 1, 100, 100, 0.0, ((1, 1),), "a")
        detector = StallDetector()
        for held in (10, 20, 20, 30):
            replica = primary._replace(instance="b", role="replica", held=held)
            snapshots = tuple(
                InstanceSnapshot(instance, status, status is not None, 0.0)
                for instance, status in zip(group.instances, (primary, replica, None), strict=True)
            )
            stalled_s = detector.stalled_s(GroupSnapshot(group, 1, snapshots[0], snapshots))
            self.assertEqual(1.0 if held == 20 and stalled_s else 0.0, stalled_s)
            await trio.sleep(1)
        self.assertEqual(1.0, detector.stalled_s(GroupSnapshot(group, 1, snapshots[0], snapshots)))

    def test_entry_held_by_a_fenced_instance_is_not_acknowledged(self) -> None:
        # Guards against an acknowledgement that counts an instance fenced before it replied.
        entry = EntryId(1, 10)
        holder = InstanceStatus("a", "replica", 1, 1, 10, 10, 0.0, ((1, 1),), "b")
        fenced = holder._replace(instance="b", term=2)
        self.assertEqual(Verdict.PENDING, decide_replicated(entry, [holder, fenced], 3))
        unfenced = holder._replace(instance="b")
        self.assertEqual(Verdict.ACKNOWLEDGED, decide_replicated(entry, [holder, unfenced], 3))
        # An instance with an entry of term 2 could still be promoted over these two.
        both = [holder._replace(term=3), fenced._replace(term=3)]
        self.assertEqual(Verdict.PENDING, decide_replicated(entry, both, 3))

    def test_different_entry_at_the_position_is_not_acknowledged(self) -> None:
        # Guards against acknowledging a discarded entry whose position holds another entry.
        replaced = InstanceStatus("b", "replica", 2, 2, 12, 12, 0.0, ((1, 1), (2, 10)), "a")
        statuses = [replaced, replaced._replace(instance="a", role="primary")]
        self.assertEqual(Verdict.LOST, decide_replicated(EntryId(1, 10), statuses, 3))
        self.assertEqual(Verdict.ACKNOWLEDGED, decide_replicated(EntryId(1, 9), statuses, 3))


class RecordTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_nonce_determines_the_outcome_after_a_lost_response(self) -> None:
        # Guards against a VM that uses a term although its write of the record did not take effect.
        data: dict[str, KeyValue] = {}
        store = FakeKeyValueStore(data, FakeNetwork(), "v1")
        records = GroupRecordCache(store, "orders-1", "v1")
        for swap_fault, expected in (("before", False), ("after", True), ("", True)):
            store.swap_fault = swap_fault
            term = records.record.term + 1 if records.record else 1
            written = await records.compare_and_swap(term=term, primary=None, reserved=None)
            self.assertEqual((swap_fault, expected), (swap_fault, written is not None))
            self.assertEqual(expected, RECORD_KEY in data)

    @trio_test(mock_clock=True)
    async def test_outdated_cache_does_not_overwrite_the_record(self) -> None:
        # Guards against a VM that overwrites a term just allocated to another VM.
        data: dict[str, KeyValue] = {}
        network = FakeNetwork()
        first, second = (
            GroupRecordCache(FakeKeyValueStore(data, network, vm), "orders-1", vm)
            for vm in ("v1", "v2")
        )
        await second.refresh()
        self.assertIsNotNone(await first.compare_and_swap(term=1, primary=None, reserved=None))
        self.assertIsNone(await second.compare_and_swap(term=1, primary=None, reserved=None))
        self.assertEqual("v1", second.record.promoter if second.record else None)
