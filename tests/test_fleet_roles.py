"""Roles of VMs: the same for every VM, spread over failure domains, stable when others change."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from front_fakes import vm
from support import TestCase
from tanagerfront.fleet_roles import COORDINATORS, MAX_HOLDERS, coordinators, rate_holders
from tanagerfront.session_model import Organisation

NAMES = st.sets(st.sampled_from([f"vm-{number}" for number in range(40)]), min_size=1)


class CoordinatorsTest(TestCase):
    @given(NAMES, st.randoms())
    def test_the_order_in_which_vms_registered_does_not_matter(
        self, names: set[str], random: object
    ) -> None:
        vms = [vm(name) for name in sorted(names)]
        shuffled = sorted(vms, key=lambda _: random.random())  # type: ignore[attr-defined]
        self.assertEqual(coordinators(vms), coordinators(shuffled))
        self.assertEqual(min(COORDINATORS, len(names)), len(coordinators(vms)))

    def test_they_are_in_different_failure_domains(self) -> None:
        # Guards against a fleet without coordinators after the loss of one failure domain.
        domains = ("suame", "adum", "ayeduase", "ahinsan")
        vms = [vm(f"vm-{number}", domains[number % 4]) for number in range(20)]
        found = {each.failure_domain for each in vms if each.name in coordinators(vms)}
        self.assertEqual(COORDINATORS, len(found))

    def test_they_have_the_most_processor_time(self) -> None:
        # Guards against a small VM that serves its callers late because it also answers the
        # heartbeats of the whole fleet (hfva-harvest-grown trouble-1, two VMs of 0.5 cores).
        domains = ("suame", "adum", "ayeduase", "ahinsan")
        vms = [vm(f"vm-{number}", domains[number % 4]) for number in range(40)]
        vms[20:28] = [each._replace(cores=2.0) for each in vms[20:28]]
        large = {each.name for each in vms if each.cores > 1.0}
        self.assertLessEqual(set(coordinators(vms)), large)


class HoldersTest(TestCase):
    @given(NAMES, st.floats(0, 10_000))
    def test_holders_are_few_and_registered(self, names: set[str], rate: float) -> None:
        found = rate_holders(Organisation("a", rate, rate), sorted(names))
        self.assertTrue(set(found) <= names)
        self.assertLessEqual(len(found), MAX_HOLDERS)
        self.assertGreaterEqual(len(found), min(2, len(names)))
