"""Recorded load patterns against the admission to one instance."""

from __future__ import annotations

from support import TestCase
from tanagerfront_lab.replay import PATTERNS, replay

SEEDS = (1, 2, 3)


class LaggingReplicasTest(TestCase):
    def test_load_within_the_slots_is_served_in_time(self) -> None:
        # Guards against a collapse in which requests that are refused for want of a slot close
        # other organisations' connections, and those that wait for one keep theirs from others, so
        # that openings use up the slots (klw-orders-grown quiet-1: 0.46 to 0.61 in time).
        for seed in SEEDS:
            result = replay(PATTERNS["lagging-replicas"], seed)
            self.assertGreaterEqual(result.in_time_share, 0.95)

    def test_overload_is_served_as_far_as_the_slots_go(self) -> None:
        pattern = PATTERNS["lagging-replicas-burst"]
        # Every statement with an opening of its own.
        capacity = pattern.slots / (pattern.mean_statement_s + pattern.connect_s) * pattern.seconds
        for seed in SEEDS:
            result = replay(pattern, seed)
            self.assertGreaterEqual(result.in_time, capacity)
            self.assertLessEqual(result.late, 0.1 * result.asked)

    def test_small_organisations_are_served_like_large_ones(self) -> None:
        # Guards against an order of admission that serves only those with idle connections.
        for pattern in PATTERNS.values():
            result = replay(pattern, 1)
            self.assertGreaterEqual(result.small_in_time, 0.8 * result.large_in_time)
