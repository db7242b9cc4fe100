"""Recorded load patterns against the choice of the instance, in virtual time."""

from __future__ import annotations

from support import TestCase
from tanagerfront_lab.even_load import ChoiceRule, EvenLoadCase, play_case

# The stated target: the wait's 99th percentile against that with perfect knowledge.
TARGET_RATIO = 1.3
# 84 VMs act on readings of 200 ms ago, while the demand swings by 55 %.
WAVES = EvenLoadCase(choosers=84, instances=3, age_s=0.2, seconds=13.0)
RETURN_S = 6.5


class WaveTest(TestCase):
    def assert_even(self, case: EvenLoadCase) -> None:
        before = play_case(case, ChoiceRule.LOWEST_DELAY)
        after = play_case(case, ChoiceRule.EVEN)
        perfect = play_case(case, ChoiceRule.PERFECT)
        self.assertLessEqual(after.p99_wait_s, TARGET_RATIO * perfect.p99_wait_s)
        self.assertLess(after.p99_wait_s, before.p99_wait_s)
        self.assertLess(after.idle_share, before.idle_share)

    def test_three_instances_are_loaded_evenly(self) -> None:
        # Guards against VMs that choose the same instance at once and leave it together.
        self.assert_even(WAVES)

    def test_twelve_instances_are_loaded_evenly(self) -> None:
        self.assert_even(WAVES._replace(instances=12))

    def test_a_wave_that_reaches_one_failure_domain_first_is_shared(self) -> None:
        self.assert_even(WAVES._replace(domains=True))

    def test_an_instance_that_fails_fast_draws_no_load(self) -> None:
        # Guards against a black hole: with the lowest delay it got half of the statements.
        case = WAVES._replace(failing=True)
        fair_share = 1 / case.instances
        self.assertLess(play_case(case, ChoiceRule.EVEN).failed_share, fair_share / 3)
        self.assertGreater(play_case(case, ChoiceRule.LOWEST_DELAY).failed_share, fair_share)

    def test_a_slow_instance_gets_fewer_statements(self) -> None:
        case = WAVES._replace(slow=True)
        after = play_case(case, ChoiceRule.EVEN)
        self.assertLess(after.p99_wait_s, play_case(case, ChoiceRule.LOWEST_DELAY).p99_wait_s)
        self.assertLess(after.last_instance_share, 1 / case.instances / 2)

    def test_an_instance_that_returns_is_not_overrun(self) -> None:
        case = WAVES._replace(utilisation=0.5, returns_at=RETURN_S)
        after, perfect = (play_case(case, rule) for rule in (ChoiceRule.EVEN, ChoiceRule.PERFECT))
        self.assertLessEqual(after.p99_wait_s, TARGET_RATIO * perfect.p99_wait_s)
