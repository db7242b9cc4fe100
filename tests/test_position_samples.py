"""Samples of a primary's position: a read never gets older data than its route allows."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from support import TestCase
from tanagerfront.entry_id import EntryId
from tanagerfront.position_samples import PositionSamples


class PositionSamplesTest(TestCase):
    def test_there_is_no_position_without_samples(self) -> None:
        self.assertIsNone(PositionSamples().oldest_since(0.0))

    def test_there_is_no_position_after_the_samples_were_cleared(self) -> None:
        samples = PositionSamples()
        samples.add(1.0, EntryId(1, 5))
        samples.clear()
        self.assertIsNone(samples.oldest_since(0.0))

    @given(st.lists(st.floats(0.001, 3.0), max_size=60), st.floats(0, 20))
    def test_the_position_covers_every_commit_before_the_requested_time(
        self, gaps: list[float], not_before: float
    ) -> None:
        # Guards against reads staler than allowed: a commit acknowledged at or before `not_before`
        # is in the primary's log at every later sample, so the position must be from one of these.
        samples = PositionSamples()
        now = 0.0
        sampled = []
        for number, gap in enumerate(gaps):
            now += gap
            samples.add(now, EntryId(1, number))
            sampled.append((now, number))
        oldest = samples.oldest_since(not_before)
        if oldest is not None:
            [sampled_at] = [at for at, number in sampled if number == oldest.position]
            self.assertGreaterEqual(sampled_at, not_before)
