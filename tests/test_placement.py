"""Choice of the instance for a statement of the session interface."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from support import TestCase
from tanagerfront.entry_id import EntryId
from tanagerfront.placement import Candidate, choose_candidate, estimated_delay_s

NOW = 100.0


def candidate(name: str, **changes: Any) -> Candidate:
    default = Candidate(
        id=name,
        is_primary=False,
        same_failure_domain=True,
        has_idle_connection=True,
        busy_connections=0,
        waiting_requests=0,
        connection_limit=2,
        response_s=0.01,
        reached=EntryId(1, 10),
        lagging_since=float("-inf"),
    )
    return default._replace(**changes)


def chosen(
    *candidates: Candidate, after: EntryId | None = None, tried: tuple[str, ...] = ()
) -> str:
    choice = choose_candidate(candidates, after, NOW, tried)
    return choice.id if choice else "none"


class ChooseTest(TestCase):
    def test_reads_prefer_replicas_to_the_primary(self) -> None:
        self.assertEqual("r", chosen(candidate("p", is_primary=True), candidate("r")))

    def test_reads_use_the_primary_when_replicas_are_slow(self) -> None:
        # Guards against reads that queue at slow replicas while the primary is idle.
        slow = candidate("r", response_s=0.1)
        self.assertEqual("p", chosen(candidate("p", is_primary=True), slow))

    def test_an_instance_with_an_idle_connection_is_preferred(self) -> None:
        without_idle = candidate("a", has_idle_connection=False)
        self.assertEqual("b", chosen(without_idle, candidate("b")))

    def test_an_instance_in_the_same_failure_domain_is_preferred(self) -> None:
        self.assertEqual("b", chosen(candidate("a", same_failure_domain=False), candidate("b")))

    def test_a_replica_that_lagged_recently_is_excluded_until_it_may_have_caught_up(self) -> None:
        lagging = candidate("r", reached=EntryId(1, 5), lagging_since=NOW - 0.05)
        primary = candidate("p", is_primary=True)
        self.assertEqual("p", chosen(lagging, primary, after=EntryId(1, 8)))
        later = lagging._replace(lagging_since=NOW - 1.0)
        self.assertEqual("r", chosen(later, primary, after=EntryId(1, 8)))

    def test_instances_that_were_tried_are_excluded(self) -> None:
        self.assertEqual("b", chosen(candidate("a"), candidate("b"), tried=("a",)))
        self.assertEqual("none", chosen(candidate("a"), tried=("a",)))

    @given(st.integers(0, 20), st.integers(0, 20))
    def test_more_busy_connections_never_lower_the_estimated_delay(
        self, busy: int, more: int
    ) -> None:
        less_loaded = candidate("a", busy_connections=busy)
        more_loaded = candidate("a", busy_connections=busy + more)
        self.assertLessEqual(estimated_delay_s(less_loaded), estimated_delay_s(more_loaded))
