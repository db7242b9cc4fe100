"""Revisions across eras of the store, and when the fleet relies on a restored store."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from support import TestCase
from tanagerfront.store_era import (
    FIRST_ERA,
    SETTLING_S,
    EraProgress,
    era_of,
    era_start,
    global_revision,
    stored_revision,
)

ERAS = st.integers(FIRST_ERA, 1000)
REVISIONS = st.integers(1, 10**9)


class RevisionTest(TestCase):
    @given(ERAS, REVISIONS, ERAS, REVISIONS)
    def test_revisions_grow_with_the_era_and_within_it(
        self, era: int, revision: int, other_era: int, other: int
    ) -> None:
        # Guards against a revision that is given out again and taken for the earlier one.
        self.assertEqual(
            (era, revision) < (other_era, other),
            global_revision(era, revision) < global_revision(other_era, other),
        )

    @given(ERAS, REVISIONS)
    def test_a_revision_keeps_its_era_and_its_number_in_the_store(
        self, era: int, revision: int
    ) -> None:
        numbered = global_revision(era, revision)
        self.assertEqual((era, revision), (era_of(numbered), stored_revision(numbered)))
        self.assertLess(era_start(era), numbered)
        self.assertEqual(0, global_revision(era, 0))

    def test_revisions_of_the_first_era_stay_as_they_are(self) -> None:
        # Guards against a fleet in which VMs of an earlier version disagree on every revision.
        self.assertEqual(7, global_revision(FIRST_ERA, 7))


class EraProgressTest(TestCase):
    def test_the_first_coordinator_ends_the_settling_and_the_next_ones_follow_later(self) -> None:
        era = EraProgress()
        era.begin(2, 100.0)
        self.assertFalse(era.settling_is_due(100.0 + SETTLING_S / 2, 0, 0.4))
        self.assertTrue(era.settling_is_due(100.0 + SETTLING_S, 0, 0.4))
        self.assertFalse(era.settling_is_due(100.0 + SETTLING_S, 1, 0.4))
        era.settle(2)
        self.assertFalse(era.settling_is_due(200.0, 0, 0.4))

    def test_an_earlier_era_does_not_settle_a_later_one(self) -> None:
        # Guards against a store that is relied on because its copy says so.
        era = EraProgress()
        era.settle(1)
        era.begin(2, 100.0)
        self.assertFalse(era.settled)
        era.settle(1)
        self.assertFalse(era.settled)
        era.settle(2)
        self.assertTrue(era.settled)

    def test_a_vm_that_starts_in_a_settled_era_does_not_wait(self) -> None:
        era = EraProgress()
        era.begin(2, 100.0)
        era.settle(2, at_first_load=True)
        self.assertEqual(float("inf"), era.for_s(100.0))

    def test_a_confirmation_counts_for_its_era_only(self) -> None:
        era = EraProgress()
        era.record_confirmation()
        era.begin(2, 100.0)
        self.assertFalse(era.confirmed)
