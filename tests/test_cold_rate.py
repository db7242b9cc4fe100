"""Statements to cold instances: the limit over all VMs, also while a home changes."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from front_fakes import GROUP, FakeInstance, registration
from support import TestCase, trio_test
from tanagerfront.cold_rate import TAKEOVER_S, ColdLimit, ColdRate, cold_share
from tanagerfront.errors import OverloadedError
from tanagerfront.evacuation import Evacuation
from tanagerfront.instance_directory import (
    HOMES_PER_INSTANCE,
    MIN_VMS_FOR_RELAY,
    InstanceDirectory,
)
from tanagerfront.instance_pool import InstanceStatement
from tanagerfront.session_model import GroupOptions, Verbatim, boottime_s

LIMIT = ColdLimit(20.0, 1.5, 5.0)
NOW = 100.0


def cold(limit: int, now: float = NOW) -> ColdRate:
    """Return the rate of a VM that has been a home for long."""
    cold_rate = ColdRate(limit, now - TAKEOVER_S)
    cold_rate.until = now + 60.0
    return cold_rate


class ColdRateTest(TestCase):
    @given(st.lists(st.floats(0.0, 0.2), max_size=200))
    def test_no_second_has_more_statements_than_the_limit(self, pauses: list[float]) -> None:
        # Replays callers of all VMs that find the returned instance idle.
        cold_rate, now, sent = cold(10), NOW, []
        for number, pause_s in enumerate(pauses):
            now += pause_s
            if cold_rate.try_take(1, now, begins=number % 2 == 0):
                sent.append(now)
        self.assertTrue(
            all(sum(0 <= other - first < 1.0 for other in sent) <= 10 for first in sent)
        )

    def test_begun_transactions_have_room_to_end(self) -> None:
        # Guards against transactions that are aborted because new statements took the whole limit.
        cold_rate = cold(10)
        while cold_rate.try_take(1, NOW, begins=True):
            pass
        self.assertTrue(cold_rate.try_take(5, NOW, begins=False))
        self.assertFalse(cold_rate.try_take(1, NOW, begins=False))

    def test_a_vm_that_becomes_a_home_leaves_the_rate_to_the_former_one(self) -> None:
        # Guards against twice the limit while VMs disagree on the homes.
        cold_rate = cold(0)
        cold_rate.set_limit(10, NOW)
        self.assertFalse(cold_rate.try_take(1, NOW + TAKEOVER_S - 0.1, begins=False))
        self.assertTrue(cold_rate.try_take(1, NOW + TAKEOVER_S, begins=False))
        new = ColdRate(10, NOW)
        new.until = NOW + 60.0
        self.assertFalse(new.try_take(1, NOW + 1.0, begins=False))

    def test_a_lower_limit_counts_at_once(self) -> None:
        cold_rate = cold(10)
        cold_rate.set_limit(4, NOW)
        self.assertFalse(cold_rate.try_take(5, NOW, begins=False))

    def test_a_warm_instance_has_no_limit(self) -> None:
        cold_rate = cold(1)
        self.assertTrue(cold_rate.try_take(99, cold_rate.until, begins=True))

    @given(st.integers(1, 300))
    def test_all_vms_together_keep_the_limit(self, vms: int) -> None:
        uses_homes = vms >= MIN_VMS_FOR_RELAY
        senders = HOMES_PER_INSTANCE if uses_homes else vms
        share = cold_share(vms, HOMES_PER_INSTANCE, uses_homes=uses_homes)
        self.assertTrue(senders * LIMIT.share(share) <= 20.0 * 1.5 + 5.0)


class ColdInstanceTest(TestCase):
    async def _directory(self, instance: FakeInstance) -> InstanceDirectory:
        directory = InstanceDirectory(instance.open, "suame")
        directory.cold_allowance = (1.5, 5.0)
        directory.set_group_options({GROUP: GroupOptions(GROUP, 16, 0, 2.0, 30.0)})
        await directory.apply(registration("i", failure_domain="adum"))
        return directory

    @trio_test(mock_clock=True)
    async def test_a_returned_domain_is_cold_until_its_entries_say_otherwise(self) -> None:
        # Guards against the load of all VMs on instances whose entries do not tell yet that they
        # became cold during the evacuation.
        directory = await self._directory(FakeInstance("i"))
        directory.set_evacuations({"adum": Evacuation(boottime_s(), 5.0)})
        directory.set_evacuations({})
        pool = directory.group(GROUP).instances["i"].pool
        self.assertFalse(pool.may_begin_work)
        await directory.apply(registration("i", failure_domain="adum", revision=2))
        self.assertTrue(pool.may_begin_work)

    @trio_test(mock_clock=True)
    async def test_a_statement_beyond_the_limit_is_not_sent(self) -> None:
        instance = FakeInstance("i")
        directory = await self._directory(instance)
        entry = registration("i", failure_domain="adum", revision=2)
        await directory.apply(entry._replace(cold_remaining_s=30.0))
        pool = directory.group(GROUP).instances["i"].pool
        connection = await pool.acquire("foremen", 0.0, 1e9)
        with self.assertRaises(OverloadedError):
            await connection.run([InstanceStatement("q", Verbatim("READ 1"))])
        self.assertEqual([], instance.received)
        await pool.release(connection)

    @trio_test(mock_clock=True)
    async def test_an_unreadable_cold_time_leaves_one_log_line(self) -> None:
        directory = await self._directory(FakeInstance("i"))
        changes: list[str] = []
        directory.on_change = lambda change, _instance: changes.append(change)
        entry = registration("i", failure_domain="adum", revision=2)
        await directory.apply(entry._replace(cold_remaining_s=None))
        self.assertEqual(["cold_time_unreadable"], changes)
        self.assertTrue(directory.group(GROUP).instances["i"].pool.may_begin_work)
