"""Instance selection by log history, position, staleness, load and failure domain."""

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
    configured = Instance(name, name, Address("127.0.0.1", 1), changes.pop("leaving", False))
    snapshot_fields = {"reachable": True, "observed_at": NOW}
    snapshot_fields |= {key: changes.pop(key) for key in list(changes) if key in snapshot_fields}
    status = InstanceStatus(name, "replica", 3, 3, 20, 20, 0.0, HISTORY, None)
    return InstanceSnapshot(configured, status._replace(**changes), **snapshot_fields)


def group(*replicas: InstanceSnapshot, **changes: Any) -> GroupSnapshot:
    primary = instance("p", role="primary", **changes)
    instances = (primary, *replicas)
    return GroupSnapshot(Group("g", (), 16, 2), 3, primary, instances)


def choose(
    snapshot: GroupSnapshot,
    session_entry: EntryId = ZERO,
    staleness_s: float | None = 1.0,
    load: dict[str, float] | None = None,
    domain: str = "r",
    mode: Any = "read",
) -> str | None:
    loads = load or {}
    choice = choose_instance(
        snapshot, mode, session_entry, staleness_s, domain, lambda name: loads.get(name, 0.0), NOW
    )
    return choice.instance.instance.name if choice else None


class RoutingTest(TestCase):
    def test_only_reads_with_a_staleness_bound_use_replicas(self) -> None:
        # Guards against stale data for callers that set no staleness bound, and writes on replicas.
        snapshot = group(instance("r"))
        self.assertEqual("r", choose(snapshot))
        self.assertEqual("p", choose(snapshot, staleness_s=None))
        self.assertEqual("p", choose(snapshot, mode="write"))

    def test_replica_must_reach_the_session_entry(self) -> None:
        # Guards against a read that does not see its own session's write.
        snapshot = group(instance("r", applied=15))
        self.assertEqual("r", choose(snapshot, EntryId(3, 15)))
        self.assertEqual("p", choose(snapshot, EntryId(3, 16)))

    def test_replica_with_another_history_is_not_used(self) -> None:
        # Guards against reads from a replica that has reached the position only with entries that a
        # failover discarded.
        tail = ((1, 1), (2, 11))
        diverged = instance("r", applied=18, last_term=2, term_starts=tail)
        self.assertEqual("p", choose(group(diverged), EntryId(3, 15)))
        self.assertEqual("p", choose(group(diverged)))
        self.assertEqual("p", choose(group(diverged), EntryId(1, 5)))
        ahead = instance("r", applied=30, last_term=2, term_starts=tail)
        self.assertEqual("p", choose(group(ahead)))

    def test_unfenced_replica_is_not_used(self) -> None:
        # Guards against a replica that still replicates from a replaced primary.
        self.assertEqual("p", choose(group(instance("r", term=2))))

    def test_unsuitable_replicas_are_not_used(self) -> None:
        # Guards against data beyond the staleness bound, including the time since the status was
        # observed, and against requests to instances that are leaving or unreachable.
        self.assertEqual("p", choose(group(instance("r", age_ms=1500.0))))
        self.assertEqual("p", choose(group(instance("r", age_ms=600.0, observed_at=NOW - 0.5))))
        self.assertEqual("p", choose(group(instance("r", leaving=True))))
        self.assertEqual("p", choose(group(instance("r", reachable=False))))
        self.assertIsNone(choose(group(leaving=True)))
        self.assertIsNone(choose(group(reachable=False)))
        self.assertIsNone(choose(group()._replace(handing_over=True)))

    def test_nearest_replica_is_used_unless_more_loaded(self) -> None:
        # Guards against needless latency between failure domains, and against one replica that
        # serves all reads while another is idle.
        snapshot = group(instance("r"), instance("s"))
        self.assertEqual("s", choose(snapshot, domain="s"))
        self.assertEqual("s", choose(snapshot, domain="s", load={"s": 0.2}))
        self.assertEqual("r", choose(snapshot, domain="s", load={"s": 0.5}))

    @given(st.integers(1, 2), st.integers(1, 30), st.sampled_from((None, 1.0)))
    def test_discarded_entry_ends_the_session(
        self, term: int, position: int, staleness_s: float | None
    ) -> None:
        # Guards against silently serving older data to a session whose entry a failover discarded.
        kept = term == 1 and position <= 10
        snapshot = group(instance("r"))
        if kept:
            self.assertIsNotNone(choose(snapshot, EntryId(term, position), staleness_s))
        else:
            with self.assertRaises(SessionLostError):
                choose(snapshot, EntryId(term, position), staleness_s)

    def test_snapshot_older_than_the_session_loses_no_session(self) -> None:
        # Guards against a VM with an outdated snapshot that reports a session as lost or serves it
        # older data.
        self.assertIsNone(choose(group(instance("r")), EntryId(4, 21)))
        self.assertEqual("p", choose(group(held=20), EntryId(3, 25)))
        # The status was seen before the promotion, so it does not show the final history.
        outdated = group(term=2, last_term=1, held=5)
        self.assertIsNone(choose(outdated, EntryId(2, 15)))
        self.assertIsNone(choose(outdated, EntryId(1, 9)))
