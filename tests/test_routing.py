"""Selection of instances: histories, positions, ages, load and failure domains."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from support import TestCase
from tanagerfront.configuration import Group, Instance
from tanagerfront.databases import InstanceStatus
from tanagerfront.entry_id import ZERO, EntryId
from tanagerfront.errors import SessionLostError
from tanagerfront.groups import GroupSnapshot, InstanceSnapshot
from tanagerfront.http_client import Address
from tanagerfront.routing import choose_instance

# The primary is in term 3, whose first entry is 11; term 1 ended at entry 10 here.
HISTORY = ((1, 1), (3, 11))
NOW = 100.0


def instance(name: str, **changes: Any) -> InstanceSnapshot:
    """Return an instance that is up to date unless changed."""
    place = Instance(name, name, Address("127.0.0.1", 1), changes.pop("leaving", False))
    view = {"reachable": True, "observed_at": NOW}
    view |= {key: changes.pop(key) for key in list(changes) if key in view}
    status = InstanceStatus(name, "replica", 3, 3, 20, 20, 0.0, HISTORY, None)
    return InstanceSnapshot(place, status._replace(**changes), **view)


def group(*replicas: InstanceSnapshot, **changes: Any) -> GroupSnapshot:
    primary = instance("p", role="primary", **changes)
    instances = (primary, *replicas)
    return GroupSnapshot(Group("g", (), 16, 2), 3, primary, instances)


def choose(
    view: GroupSnapshot,
    session: EntryId = ZERO,
    staleness_s: float | None = 1.0,
    load: dict[str, float] | None = None,
    domain: str = "r",
    mode: Any = "read",
) -> str | None:
    loads = load or {}
    choice = choose_instance(
        view, mode, session, staleness_s, domain, lambda name: loads.get(name, 0.0), NOW
    )
    return choice.instance.instance.name if choice else None


class RoutingTest(TestCase):
    def test_only_reads_with_a_stated_age_use_replicas(self) -> None:
        # Guards against older data for callers that did not accept it, and writes on replicas.
        view = group(instance("r"))
        self.assertEqual("r", choose(view))
        self.assertEqual("p", choose(view, staleness_s=None))
        self.assertEqual("p", choose(view, mode="write"))

    def test_replica_must_reach_the_session_entry(self) -> None:
        # Guards against a read that does not see its own session's write.
        view = group(instance("r", applied=15))
        self.assertEqual("r", choose(view, EntryId(3, 15)))
        self.assertEqual("p", choose(view, EntryId(3, 16)))

    def test_replica_with_another_history_is_not_used(self) -> None:
        # Guards against a replica past the position in a tail that a failover discarded.
        tail = ((1, 1), (2, 11))
        diverged = instance("r", applied=18, last_term=2, term_starts=tail)
        self.assertEqual("p", choose(group(diverged), EntryId(3, 15)))
        self.assertEqual("p", choose(group(diverged)))
        self.assertEqual("p", choose(group(diverged), EntryId(1, 5)))
        ahead = instance("r", applied=30, last_term=2, term_starts=tail)
        self.assertEqual("p", choose(group(ahead)))

    def test_unfenced_replica_is_not_used(self) -> None:
        # Guards against a replica that still follows a replaced primary.
        self.assertEqual("p", choose(group(instance("r", term=2))))

    def test_unsuitable_replicas_are_not_used(self) -> None:
        # Guards against data older than stated, counted since the observation, and against new
        # work for instances that are leaving or out of reach.
        self.assertEqual("p", choose(group(instance("r", age_ms=1500.0))))
        self.assertEqual("p", choose(group(instance("r", age_ms=600.0, observed_at=NOW - 0.5))))
        self.assertEqual("p", choose(group(instance("r", leaving=True))))
        self.assertEqual("p", choose(group(instance("r", reachable=False))))
        self.assertIsNone(choose(group(leaving=True)))
        self.assertIsNone(choose(group(reachable=False)))
        self.assertIsNone(choose(group()._replace(handing_over=True)))

    def test_load_and_failure_domain(self) -> None:
        # Guards against needless latency between failure domains, and against one replica that
        # takes all reads while another is idle.
        view = group(instance("r"), instance("s"))
        self.assertEqual("s", choose(view, domain="s"))
        self.assertEqual("s", choose(view, domain="s", load={"s": 0.2}))
        self.assertEqual("r", choose(view, domain="s", load={"s": 0.5}))

    @given(st.integers(1, 2), st.integers(1, 30), st.sampled_from((None, 1.0)))
    def test_discarded_entry_ends_the_session(
        self, term: int, position: int, staleness_s: float | None
    ) -> None:
        # Guards against silently older data for a session whose entry a failover discarded.
        kept = term == 1 and position <= 10
        view = group(instance("r"))
        if kept:
            self.assertIsNotNone(choose(view, EntryId(term, position), staleness_s))
        else:
            with self.assertRaises(SessionLostError):
                choose(view, EntryId(term, position), staleness_s)

    def test_view_older_than_the_session_decides_nothing(self) -> None:
        # Guards against sessions called lost, or served older data, by a VM whose view lags.
        self.assertIsNone(choose(group(instance("r")), EntryId(4, 21)))
        self.assertEqual("p", choose(group(held=20), EntryId(3, 25)))
        # The status was seen before the promotion, so it does not show the final history.
        old = group(term=2, last_term=1, held=5)
        self.assertIsNone(choose(old, EntryId(2, 15)))
        self.assertIsNone(choose(old, EntryId(1, 9)))
