"""Which VM fetches large values from which other VM."""

from __future__ import annotations

import math
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from front_fakes import vm
from support import TestCase
from tanagerfront.configuration_spread import (
    FETCHERS_PER_VM,
    MAX_SOURCES,
    spread_sources,
    spread_tree,
)
from tanagerfront.fleet_roles import coordinators
from tanagerfront.fleet_store import RegisteredVm

FLEETS = st.lists(
    st.tuples(st.sampled_from(("north", "south", "east")), st.sampled_from((0.5, 1.0, 2.0))),
    min_size=1,
    max_size=90,
).map(
    lambda kinds: [
        vm(f"vm-{number}")._replace(failure_domain=domain, cores=cores)
        for number, (domain, cores) in enumerate(kinds)
    ]
)


def _domain(fleet: list[RegisteredVm], name: str) -> list[RegisteredVm]:
    return [each for each in fleet if each.failure_domain == name]


class TreeTest(TestCase):
    @given(FLEETS)
    def test_every_vm_is_reached_from_one_root_over_few_links(
        self, fleet: list[RegisteredVm]
    ) -> None:
        # Guards against a VM that waits for itself, and against one VM that serves all others.
        names = coordinators(fleet)
        for domain in {each.failure_domain for each in fleet}:
            members = _domain(fleet, domain)
            tree = spread_tree(members, names)
            self.assertEqual({each.name for each in members}, set(tree))
            self.assertEqual(1, list(tree.values()).count(None))
            least = min(each.cores for each in members)
            fetchers = Counter(above for above in tree.values() if above is not None)
            for each in members:
                self.assertLessEqual(fetchers[each.name], FETCHERS_PER_VM * each.cores / least)
            longest = 1 + math.ceil(math.log(len(members) + 1, FETCHERS_PER_VM))
            for each in members:
                self.assertLessEqual(self._depth(tree, each.name), longest)

    def _depth(self, tree: dict[str, str | None], name: str) -> int:
        depth = 0
        above = tree[name]
        while above is not None:
            depth += 1
            self.assertLessEqual(depth, len(tree))
            above = tree[above]
        return depth

    def test_a_coordinator_is_the_root_of_its_failure_domain(self) -> None:
        fleet = [vm(f"vm-{number}") for number in range(9)]
        tree = spread_tree(fleet, ["vm-4"])
        self.assertIsNone(tree["vm-4"])


class SourcesTest(TestCase):
    @given(FLEETS, st.integers(0, 89))
    def test_values_pass_over_the_border_of_a_failure_domain_once(
        self, fleet: list[RegisteredVm], announcer: int
    ) -> None:
        names = coordinators(fleet)
        announcing = fleet[announcer % len(fleet)].name
        domains = {each.name: each.failure_domain for each in fleet}
        for domain in set(domains.values()):
            remote = []
            for each in _domain(fleet, domain):
                sources = spread_sources(each, fleet, names, announcing)
                self.assertNotIn(each.name, sources)
                self.assertLessEqual(len(sources), MAX_SOURCES)
                if sources and domains[sources[0]] != domain:
                    remote.append(each.name)
            self.assertLessEqual(len(remote), 1)

    def test_a_vm_that_is_alone_has_no_source(self) -> None:
        self.assertEqual((), spread_sources(vm("a"), [vm("a")], ["a"], "a"))
        self.assertEqual((), spread_sources(vm("a"), [], [], "gone"))
