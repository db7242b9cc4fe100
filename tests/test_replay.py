"""Replay recorded load patterns against the admission control of one instance."""

from __future__ import annotations

from support import TestCase
from tanagerfront_lab.replay import PATTERNS, replay

SEEDS = (1, 2, 3)


class LaggingReplicasTest(TestCase):
    def test_load_within_the_slots_is_served_in_time(self) -> None:
        # Guards against slots being used up by new connections: requests refused for lack of a
        # slot closed connections of other organisations, and requests that waited for a slot held
        # idle connections. In klw-orders-grown quiet-1 a share of 0.46 to 0.61 was served in time.
        for seed in SEEDS:
            result = replay(PATTERNS["lagging-replicas"], seed)
            self.assertGreaterEqual(result.in_time_share, 0.95)

    def test_overload_is_served_up_to_the_capacity_of_the_slots(self) -> None:
        pattern = PATTERNS["lagging-replicas-burst"]
        # Guards against less throughput than if every statement opened a new connection.
        capacity = pattern.slots / (pattern.mean_statement_s + pattern.connect_s) * pattern.seconds
        for seed in SEEDS:
            result = replay(pattern, seed)
            self.assertGreaterEqual(result.in_time, capacity)
            self.assertLessEqual(result.late, 0.1 * result.asked)

    def test_small_organisations_are_served_like_large_ones(self) -> None:
        # Guards against an admission order that serves only organisations with idle connections.
        for pattern in PATTERNS.values():
            result = replay(pattern, 1)
            self.assertGreaterEqual(result.small_in_time, 0.8 * result.large_in_time)
