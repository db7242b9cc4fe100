"""Choice of the instance to promote in the session interface."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from support import TestCase
from tanagerfront.entry_id import EntryId
from tanagerfront.promotion_choice import (
    Blocked,
    CatchUp,
    InstanceReport,
    LogHolder,
    Promote,
    choose_successor,
)
from tanagerfront.session_model import InstanceRole

# Term of the failover.
TERM = 3
BEHIND = EntryId(1, 4)
NEWEST = EntryId(1, 9)


def holder(
    name: str,
    received: EntryId | None,
    *,
    stays: bool = True,
    overtaken_at: EntryId | None = None,
    role: InstanceRole = InstanceRole.REPLICA,
    term: int = TERM - 1,
) -> LogHolder:
    report = None if received is None else InstanceReport(role, term, received)
    return LogHolder(name, report, stays, overtaken_at)


class SilentPrimaryTest(TestCase):
    def _choose(self, *holders: LogHolder) -> Promote | CatchUp | Blocked:
        return choose_successor(holders, None, TERM, synchronous=True)

    def test_a_leaving_replica_that_alone_has_the_newest_entries_is_promoted(self) -> None:
        # Guards against rolling back commits that were acknowledged because it had received them.
        holders = holder("lagging", BEHIND), holder("leaving", NEWEST, stays=False)
        self.assertEqual(Promote("leaving"), self._choose(*holders))

    def test_a_replica_that_stays_is_preferred_among_complete_ones(self) -> None:
        # Guards against a second failover for no reason.
        holders = holder("leaving", NEWEST, stays=False), holder("staying", NEWEST)
        self.assertEqual(Promote("staying"), self._choose(*holders))

    def test_nothing_is_promoted_while_a_leaving_replica_is_silent(self) -> None:
        # Guards against a promotion without commits that only the silent replica has received.
        holders = holder("r", NEWEST), holder("leaving", None, stays=False)
        self.assertEqual(Blocked(["leaving"]), self._choose(*holders))

    def test_a_departed_replica_is_not_waited_for_once_its_entries_are_elsewhere(self) -> None:
        # Guards against a group without a primary because one of its replicas left for good.
        departed = holder("departed", None, stays=False, overtaken_at=NEWEST)
        self.assertEqual(Promote("r"), self._choose(holder("r", NEWEST), departed))
        self.assertEqual(Blocked(["departed"]), self._choose(holder("r", BEHIND), departed))

    def test_an_asynchronous_group_does_not_wait_for_silent_replicas(self) -> None:
        # Guards against an outage for a guarantee that the group does not give.
        holders = [holder("r", BEHIND), holder("silent", None)]
        self.assertEqual(Promote("r"), choose_successor(holders, None, TERM, synchronous=False))

    @given(
        st.dictionaries(
            st.sampled_from("abcd"), st.tuples(st.integers(0, 3), st.booleans(), st.booleans())
        )
    )
    def test_the_promoted_log_contains_all_others(
        self, logs: dict[str, tuple[int, bool, bool]]
    ) -> None:
        # Guards against any mix of lagging, leaving and silent replicas in which an acknowledged
        # entry is lost.
        holders = [
            holder(name, EntryId(1, length) if answers else None, stays=stays)
            for name, (length, stays, answers) in logs.items()
        ]
        match self._choose(*holders):
            case Promote(name):
                self.assertEqual(max(length for length, _, _ in logs.values()), logs[name][0])
            case choice:
                silent = [name for name, (_, _, answers) in logs.items() if not answers]
                self.assertEqual(Blocked(silent), choice)


class FencedPrimaryTest(TestCase):
    def test_a_synchronous_group_waits_for_the_last_entry(self) -> None:
        # Guards against a promotion without the last entries of a primary that stepped down.
        holders = [holder("r", BEHIND)]
        self.assertEqual(CatchUp(None), choose_successor(holders, NEWEST, TERM, synchronous=True))
        self.assertEqual(CatchUp("r"), choose_successor(holders, NEWEST, TERM, synchronous=False))

    def test_an_old_primary_with_all_entries_is_the_fallback(self) -> None:
        # Guards against a group that stays without a primary because its replicas can't receive the
        # entries of a primary that came back after its failover had begun.
        holders = [holder("r", BEHIND), holder("old", NEWEST, stays=False)]
        self.assertEqual(CatchUp("old"), choose_successor(holders, NEWEST, TERM, synchronous=True))

    def test_no_second_instance_is_promoted(self) -> None:
        # Guards against two primaries after a promoter was lost before it recorded its order.
        primary = holder("p", BEHIND, role=InstanceRole.PRIMARY, term=TERM)
        for synchronous in (True, False):
            choice = choose_successor(
                [holder("r", NEWEST), primary], None, TERM, synchronous=synchronous
            )
            self.assertEqual(Promote("p"), choice)

    def test_a_primary_below_a_reported_term_does_not_count_as_promoted(self) -> None:
        # Guards against writes at a replaced primary, where the failover's term is too low because
        # a record was lost.
        replaced = holder("replaced", BEHIND, role=InstanceRole.PRIMARY, term=TERM)
        replica = holder("replica", NEWEST, term=TERM + 1)
        for synchronous in (True, False):
            choice = choose_successor([replaced, replica], None, TERM, synchronous=synchronous)
            self.assertEqual(Promote("replica"), choice)

    def test_a_replaced_primary_that_still_claims_the_role_is_not_promoted_again(self) -> None:
        # Guards against a primary that was cut off while another was promoted: its log has entries
        # that were rolled back, and lacks those of the other one.
        replaced = holder("a", NEWEST, role=InstanceRole.PRIMARY)
        for synchronous in (True, False):
            holders = [replaced, holder("c", BEHIND)]
            choice = choose_successor(holders, None, TERM, synchronous=synchronous)
            self.assertEqual(Promote("c"), choice)
            alone = choose_successor([replaced], None, TERM, synchronous=synchronous)
            self.assertEqual(Promote("a"), alone)
