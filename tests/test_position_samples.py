"""Positions of a primary by age: the bound never admits older data than the route allows."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from support import TestCase
from tanagerfront.entry_id import EntryId
from tanagerfront.position_samples import PositionSamples


class PositionSamplesTest(TestCase):
    def test_no_sample_gives_no_bound(self) -> None:
        self.assertIsNone(PositionSamples().oldest_since(0.0))

    def test_cleared_samples_of_a_replaced_primary_give_no_bound(self) -> None:
        samples = PositionSamples()
        samples.add(1.0, EntryId(1, 5))
        samples.clear()
        self.assertIsNone(samples.oldest_since(0.0))

    @given(st.lists(st.floats(0.001, 3.0), max_size=60), st.floats(0, 20))
    def test_the_bound_has_every_commit_before_the_stated_age(
        self, gaps: list[float], not_before: float
    ) -> None:
        # Guards against a stale read: a commit acknowledged at or before `not_before` is in the
        # primary's log at every later sample, so the bound must come from one of these.
        samples = PositionSamples()
        now = 0.0
        taken = []
        for number, gap in enumerate(gaps):
            now += gap
            samples.add(now, EntryId(1, number))
            taken.append((now, number))
        bound = samples.oldest_since(not_before)
        if bound is not None:
            [at] = [when for when, number in taken if number == bound.position]
            self.assertGreaterEqual(at, not_before)
