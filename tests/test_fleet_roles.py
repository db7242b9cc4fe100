"""Roles of VMs: alike for every VM, spread over failure domains, limited in number."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from front_fakes import vm
from support import TestCase
from tanagerfront.fleet_roles import (
    COORDINATORS,
    MAX_HOLDERS,
    RateHolders,
    coordinators,
    rate_holders,
)
from tanagerfront.session_model import Organisation

NAMES = st.sets(st.sampled_from([f"vm-{number}" for number in range(40)]), min_size=1)


class CoordinatorsTest(TestCase):
    @given(NAMES, st.randoms())
    def test_coordinators_do_not_depend_on_the_order_of_the_vms(
        self, names: set[str], random: object
    ) -> None:
        vms = [vm(name) for name in sorted(names)]
        shuffled = sorted(vms, key=lambda _: random.random())  # type: ignore[attr-defined]
        self.assertEqual(coordinators(vms), coordinators(shuffled))
        self.assertEqual(min(COORDINATORS, len(names)), len(coordinators(vms)))

    def test_coordinators_are_in_different_failure_domains(self) -> None:
        # Guards against a fleet without coordinators after the loss of one failure domain.
        domains = ("suame", "adum", "ayeduase", "ahinsan")
        vms = [vm(f"vm-{number}", domains[number % 4]) for number in range(20)]
        used_domains = {each.failure_domain for each in vms if each.name in coordinators(vms)}
        self.assertEqual(COORDINATORS, len(used_domains))

    def test_coordinators_have_the_most_processor_time(self) -> None:
        # Guards against a small VM (0.5 cores) that serves its callers late because it also replies
        # to the heartbeats of the whole fleet.
        domains = ("suame", "adum", "ayeduase", "ahinsan")
        vms = [vm(f"vm-{number}", domains[number % 4]) for number in range(40)]
        vms[20:28] = [small._replace(cores=2.0) for small in vms[20:28]]
        large = {each.name for each in vms if each.cores > 1.0}
        self.assertLessEqual(set(coordinators(vms)), large)


class HoldersTest(TestCase):
    @given(NAMES, st.floats(0, 10_000))
    def test_rate_holders_are_registered_and_limited_in_number(
        self, names: set[str], rate: float
    ) -> None:
        holders = rate_holders(Organisation("a", rate, rate), sorted(names))
        self.assertTrue(set(holders) <= names)
        self.assertLessEqual(len(holders), MAX_HOLDERS)
        self.assertGreaterEqual(len(holders), min(2, len(names)))

    @given(
        st.lists(
            st.tuples(NAMES, st.sets(st.sampled_from("abcde")), st.sampled_from((1.0, 40.0))),
            max_size=8,
        )
    )
    def test_updated_holders_are_those_of_a_fleet_that_is_ranked_anew(
        self, steps: list[tuple[set[str], set[str], float]]
    ) -> None:
        # Guards against VMs that disagree on the holders after a series of changes, so that the
        # shares of an organisation add up to more or less than its rate.
        updated = RateHolders()
        for names, organisation_names, rate in steps:
            organisations = [Organisation(name, rate, rate) for name in sorted(organisation_names)]
            expected = {each.name: rate_holders(each, sorted(names)) for each in organisations}
            self.assertEqual(expected, updated.update(organisations, names))
