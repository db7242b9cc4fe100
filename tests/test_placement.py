"""Choice of the instance for a statement of the session interface."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from support import TestCase
from tanagerfront.entry_id import EntryId
from tanagerfront.placement import (
    Assessment,
    Candidate,
    ChoiceReason,
    Exclusion,
    LoadEstimate,
    assess_candidates,
    choose_candidate,
    choose_evenly,
    estimated_delay_s,
)

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


def loaded(name: str, statements: float | None, **changes: Any) -> Candidate:
    load = LoadEstimate(
        slots=6,
        service_s=0.03,
        statements=statements,
        trust=0.0 if statements is None else 0.8,
        age_s=2.0 if statements is None else 0.1,
        sent_since=0,
        failed_share=0.0,
    )
    inputs = {name: changes.pop(name) for name in tuple(changes) if name in LoadEstimate._fields}
    return candidate(name, load=load._replace(**inputs), **changes)


def shares(*candidates: Candidate, after: EntryId | None = None) -> dict[str, float]:
    return {a.candidate.id: a.weight for a in assess_candidates(candidates, after, NOW)}


CANDIDATES = st.lists(
    st.builds(
        lambda statements, sent, service_s, failed, primary, near, limit: loaded(
            "i",
            statements,
            sent_since=sent,
            service_s=service_s,
            failed_share=failed,
            is_primary=primary,
            same_failure_domain=near,
            connection_limit=limit,
        ),
        st.none() | st.floats(0, 100),
        st.integers(0, 50),
        st.floats(0.001, 1.0),
        st.floats(0, 1),
        st.booleans(),
        st.booleans(),
        st.integers(0, 8),
    ),
    max_size=12,
).map(lambda found: [c._replace(id=str(number)) for number, c in enumerate(found)])


class EvenChoiceTest(TestCase):
    @given(CANDIDATES)
    def test_weights_of_eligible_candidates_add_up_to_one(self, found: list[Candidate]) -> None:
        assessments = assess_candidates(found, None, NOW)
        eligible = [a for a in assessments if a.exclusion is None]
        self.assertTrue(all(a.weight >= 0 for a in assessments))
        self.assertTrue(all(not a.weight for a in assessments if a.exclusion is not None))
        self.assertAlmostEqual(1.0 if eligible else 0.0, sum(a.weight for a in assessments))
        chosen = choose_evenly(assessments, random.Random(1))
        self.assertEqual(bool(eligible), chosen is not None)

    @given(st.floats(0, 30), st.floats(0, 30), st.integers(0, 20))
    def test_more_load_never_raises_the_weight(self, first: float, other: float, more: int) -> None:
        before = shares(loaded("a", first), loaded("b", other))
        after = shares(loaded("a", first, sent_since=more), loaded("b", other))
        self.assertLessEqual(after["a"], before["a"] + 1e-9)

    def test_a_vm_without_readings_spreads_its_statements(self) -> None:
        # Guards against new VMs that all fall on one instance.
        names = ("a", "b", "c")
        found = [loaded(n, None, same_failure_domain=n == "a") for n in names]
        for share in shares(*found).values():
            self.assertAlmostEqual(1 / 3, share, delta=0.05)

    def test_statements_of_one_choice_are_drawn_by_weight(self) -> None:
        found = (loaded("a", 2.0), loaded("b", 2.0), loaded("c", 30.0))
        assessments = assess_candidates(found, None, NOW)
        rng = random.Random(1)
        drawn = Counter(self.drawn(assessments, rng).candidate.id for _ in range(1000))
        for name, share in shares(*found).items():
            self.assertAlmostEqual(1000 * share, drawn[name], delta=60)
        self.assertLess(drawn["c"], drawn["a"] / 3)

    def drawn(self, assessments: list[Assessment], rng: random.Random) -> Assessment:
        chosen = choose_evenly(assessments, rng)
        assert chosen is not None
        return chosen

    def test_reads_use_the_primary_only_if_it_is_faster_in_spite_of_its_penalty(self) -> None:
        # Guards against reads that take the slots of the writes, which only the primary serves.
        replicas = (loaded("r", 3.0), loaded("s", 3.0))
        self.assertEqual(0.0, shares(loaded("p", 2.5, is_primary=True), *replicas)["p"])
        busy = (loaded("r", 12.0), loaded("s", 12.0))
        self.assertGreater(shares(loaded("p", 1.0, is_primary=True), *busy)["p"], 0.3)
        unknown = (loaded("r", None), loaded("s", None))
        self.assertEqual(0.0, shares(loaded("p", None, is_primary=True), *unknown)["p"])

    def test_statements_stay_in_the_failure_domain_while_slots_are_free(self) -> None:
        near, far = loaded("n", 1.0), loaded("f", 1.0, same_failure_domain=False)
        self.assertEqual({"n": 1.0, "f": 0.0}, shares(near, far))

    def test_an_instance_that_fails_statements_gets_few(self) -> None:
        failing = loaded("f", 0.0, failed_share=0.9)
        self.assertLess(shares(failing, loaded("a", 6.0), loaded("b", 6.0))["f"], 0.02)

    def test_a_lagging_replica_is_excluded(self) -> None:
        lagging = loaded("r", 0.0, reached=EntryId(1, 5), lagging_since=NOW - 0.05)
        [assessment, _] = assess_candidates([lagging, loaded("s", 6.0)], EntryId(1, 8), NOW)
        self.assertEqual((Exclusion.LAGGING, 0.0), (assessment.exclusion, assessment.weight))

    def test_reasons_tell_what_the_choice_rests_on(self) -> None:
        found = [
            loaded("a", 1.0),
            loaded("b", 1.0, same_failure_domain=False),
            loaded("c", 1.0, is_primary=True),
            loaded("d", None),
        ]
        self.assertEqual(
            [
                ChoiceReason.NEAR,
                ChoiceReason.OTHER_DOMAIN,
                ChoiceReason.PRIMARY,
                ChoiceReason.UNKNOWN,
            ],
            [a.reason for a in assess_candidates(found, None, NOW)],
        )
