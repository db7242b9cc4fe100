"""Choice of an instance, by what is known of each."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from support import TestCase
from tanagerfront.entry_id import EntryId
from tanagerfront.placement import Candidate, choose_candidate, estimated_delay_s

NOW = 100.0


def candidate(name: str, **changes: Any) -> Candidate:
    made = Candidate(
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
    return made._replace(**changes)


def chosen(
    *candidates: Candidate, after: EntryId | None = None, tried: tuple[str, ...] = ()
) -> str:
    found = choose_candidate(candidates, after, NOW, tried)
    return found.id if found else "none"


class ChooseTest(TestCase):
    def test_reads_leave_the_primary_to_writes_while_replicas_are_free(self) -> None:
        self.assertEqual("r", chosen(candidate("p", is_primary=True), candidate("r")))

    def test_reads_go_back_to_the_primary_when_replicas_are_slow(self) -> None:
        # Guards against reads that queue at slow replicas beside an idle primary.
        slow = candidate("r", response_s=0.1)
        self.assertEqual("p", chosen(candidate("p", is_primary=True), slow))

    def test_an_idle_connection_of_the_organisation_saves_opening_one(self) -> None:
        opening = candidate("a", has_idle_connection=False)
        self.assertEqual("b", chosen(opening, candidate("b")))

    def test_bytes_between_failure_domains_are_avoided(self) -> None:
        self.assertEqual("b", chosen(candidate("a", same_failure_domain=False), candidate("b")))

    def test_a_replica_that_lagged_a_moment_ago_is_not_asked_again(self) -> None:
        lagging = candidate("r", reached=EntryId(1, 5), lagging_since=NOW - 0.05)
        primary = candidate("p", is_primary=True)
        self.assertEqual("p", chosen(lagging, primary, after=EntryId(1, 8)))
        later = lagging._replace(lagging_since=NOW - 1.0)
        self.assertEqual("r", chosen(later, primary, after=EntryId(1, 8)))

    def test_an_instance_that_was_tried_is_left_out(self) -> None:
        self.assertEqual("b", chosen(candidate("a"), candidate("b"), tried=("a",)))
        self.assertEqual("none", chosen(candidate("a"), tried=("a",)))

    @given(st.integers(0, 20), st.integers(0, 20))
    def test_more_work_ahead_never_makes_an_instance_look_faster(
        self, busy: int, more: int
    ) -> None:
        less_loaded = candidate("a", busy_connections=busy)
        more_loaded = candidate("a", busy_connections=busy + more)
        self.assertLessEqual(estimated_delay_s(less_loaded), estimated_delay_s(more_loaded))
