"""What a VM knows of an instance's load from passing replies."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from front_fakes import GROUP, configuration
from support import TestCase
from tanagerfront.entry_id import EntryId
from tanagerfront.instance_load import (
    READING_MAX_AGE_S,
    KnownLoad,
    ReadingFault,
    even_load_enabled,
)
from tanagerfront.session_model import (
    Failure,
    FailureCode,
    GroupOptions,
    InstanceLoad,
    Organisation,
    Reply,
)

SLOTS = 6
NOW = 100.0


def reading(
    sequence: int, statements: int = 3, home: str = "a", opened: float = 1.0
) -> InstanceLoad:
    return InstanceLoad(sequence, statements, 0, 0.0, home, opened)


class ReadingOrderTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.known = KnownLoad()

    def statements(self, now: float = NOW) -> float | None:
        return self.known.estimate(SLOTS, now).statements

    def test_a_late_reading_does_not_replace_a_newer_one(self) -> None:
        # Guards against a slow reply that makes a full instance look idle.
        self.assertIsNone(self.known.record_reading(reading(8, statements=6), SLOTS, NOW))
        late = self.known.record_reading(reading(7, statements=0), SLOTS, NOW + 0.1)
        self.assertIs(ReadingFault.OUTDATED, late)
        self.assertEqual(6.0, self.statements(NOW + 0.1))

    @given(st.permutations(range(1, 8)))
    def test_readings_in_any_order_leave_the_newest(self, sequences: list[int]) -> None:
        known = KnownLoad()
        for sequence in sequences:
            known.record_reading(reading(sequence, statements=sequence), SLOTS, NOW)
        self.assertEqual(7.0, known.estimate(SLOTS, NOW).statements)

    def test_a_former_home_does_not_replace_the_reading_of_its_successor(self) -> None:
        # Guards against old sessions at a home that has handed over its connections.
        self.known.record_reading(reading(900, 1, "a", opened=1.0), SLOTS, NOW)
        self.assertIsNone(self.known.record_reading(reading(1, 5, "b", opened=2.0), SLOTS, NOW))
        former = self.known.record_reading(reading(901, 1, "a", opened=1.0), SLOTS, NOW)
        self.assertIs(ReadingFault.FORMER_HOME, former)
        self.assertEqual(5.0, self.statements())

    def test_an_old_session_at_the_current_home_does_not_admit_the_former_one(self) -> None:
        self.known.record_reading(reading(1, 5, "b", opened=3.0), SLOTS, NOW)
        self.known.record_reading(reading(2, 5, "b", opened=1.0), SLOTS, NOW)
        former = self.known.record_reading(reading(901, 1, "a", opened=2.0), SLOTS, NOW)
        self.assertIs(ReadingFault.FORMER_HOME, former)

    def test_a_home_that_counts_anew_is_believed_once_its_old_reading_is_forgotten(self) -> None:
        # Guards against a home whose readings are ignored for good after it lost and regained
        # its role.
        self.known.record_reading(reading(900), SLOTS, NOW)
        later = NOW + READING_MAX_AGE_S + 0.1
        self.assertIsNone(self.known.record_reading(reading(1, 5), SLOTS, later))
        self.assertEqual(5.0, self.statements(later))

    def test_readings_that_stop_are_forgotten(self) -> None:
        # Guards against a VM that still acts on the load of before it was suspended.
        self.known.record_reading(reading(1), SLOTS, NOW)
        self.assertIsNone(self.statements(NOW + READING_MAX_AGE_S + 0.1))

    @given(st.integers(-9, -1) | st.integers(10_001), st.sampled_from(["running", "waiting"]))
    def test_implausible_readings_are_dropped(self, number: int, field: str) -> None:
        known = KnownLoad()
        bad = reading(1)._replace(**{field: number})
        self.assertIs(ReadingFault.IMPLAUSIBLE, known.record_reading(bad, SLOTS, NOW))
        self.assertIsNone(known.estimate(SLOTS, NOW).statements)


class EstimateTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.known = KnownLoad()

    def test_trust_in_a_reading_falls_with_its_age(self) -> None:
        self.known.record_reading(reading(1), SLOTS, NOW)
        trusts = [self.known.estimate(SLOTS, NOW + age_s).trust for age_s in (0.0, 0.2, 1.0, 3.0)]
        self.assertEqual(sorted(trusts, reverse=True), trusts)
        self.assertEqual((1.0, 0.0), (trusts[0], trusts[-1]))

    def test_own_statements_count_until_the_next_reading(self) -> None:
        self.known.record_reading(reading(1), SLOTS, NOW)
        for _ in range(3):
            self.known.record_sent()
        self.assertEqual(3, self.known.estimate(SLOTS, NOW).sent_since)
        self.known.record_reading(reading(2), SLOTS, NOW)
        self.assertEqual(0, self.known.estimate(SLOTS, NOW).sent_since)

    def test_fast_failures_do_not_make_an_instance_look_fast(self) -> None:
        before = self.known.estimate(SLOTS, NOW).service_s
        failed = Reply(failure=Failure(FailureCode.FAILED), reached=EntryId(1, 1))
        for _ in range(10):
            self.known.record_reply(failed, 0.001, SLOTS, NOW)
        after = self.known.estimate(SLOTS, NOW)
        self.assertEqual(before, after.service_s)
        self.assertGreater(after.failed_share, 0.9)
        later = self.known.estimate(SLOTS, NOW + 30.0)
        self.assertLess(later.failed_share, 0.1)

    def test_a_refusal_of_the_home_is_no_failure_of_the_instance(self) -> None:
        refused = Reply(failure=Failure(FailureCode.OVERLOADED))
        self.known.record_reply(refused, 0.001, SLOTS, NOW)
        self.assertEqual(0.0, self.known.estimate(SLOTS, NOW).failed_share)

    def test_a_slow_instance_is_known_from_the_wait_that_its_home_expects(self) -> None:
        # Guards against a slow instance that each VM has to discover with its own statements.
        for sequence in range(10):
            load = InstanceLoad(sequence, SLOTS, 5, 6 * 0.1 / SLOTS)
            self.known.record_reading(load, SLOTS, NOW)
        self.assertAlmostEqual(0.1, self.known.estimate(SLOTS, NOW).service_s, delta=0.01)

    def test_a_queue_that_ordinary_statements_overtake_does_not_make_an_instance_look_fast(
        self,
    ) -> None:
        # Guards against long queues of late statements, which the expected wait leaves out.
        before = self.known.estimate(SLOTS, NOW).service_s
        for sequence in range(10):
            load = InstanceLoad(sequence, SLOTS, 50, 0.01)
            self.known.record_reading(load, SLOTS, NOW)
        self.assertEqual(before, self.known.estimate(SLOTS, NOW).service_s)


class EnabledTest(TestCase):
    def enabled(self, connections: int, *, urgency: bool = False, relayed: bool = True) -> bool:
        names = [f"org-{number}" for number in range(20)]
        options = configuration(
            groups={GROUP: GroupOptions(GROUP, connections, 0)},
            organisations={name: Organisation(name, 50.0, 50.0) for name in names},
        )
        return even_load_enabled(options, urgency_order=urgency, relayed=relayed)

    def test_statements_are_spread_if_instances_accept_all_organisations(self) -> None:
        self.assertTrue(self.enabled(20))
        self.assertFalse(self.enabled(19))

    def test_callers_that_compete_for_slots_ask_for_it(self) -> None:
        self.assertTrue(self.enabled(19, urgency=True))

    def test_fleets_without_homes_have_no_readings(self) -> None:
        self.assertFalse(self.enabled(20, urgency=True, relayed=False))
