"""Changes of the store's keys that a VM forwards to other VMs."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from support import TestCase
from tanagerfront.change_history import MAX_RESPONSE_BYTES, MAX_STORED_KEYS, ChangeHistory
from tanagerfront.kv import WatchEvent

WRITES = st.lists(st.tuples(st.sampled_from("abc"), st.none() | st.binary(max_size=2)), max_size=12)


class ChangeHistoryTest(TestCase):
    @given(WRITES, st.integers(0, 12), st.integers(1, 4))
    def test_a_reader_ends_with_the_values_in_the_store(
        self, writes: list[tuple[str, bytes | None]], after: int, batch: int
    ) -> None:
        # Guards against a change that is lost at the boundary of two batches.
        events = [WatchEvent(key, value, at) for at, (key, value) in enumerate(writes, 2)]
        history = ChangeHistory()
        history.reset(1)
        for start in range(0, len(events), batch):
            part = events[start : start + batch]
            history.add(part[0].revision - 1, part, part[-1].revision)
        since = min(1 + after, 1 + len(events))
        found = history.since(since)
        assert found is not None
        held = {each.key: each.value for each in events if each.revision <= since}
        held.update({each.key: each.value for each in found.events})
        self.assertEqual({each.key: each.value for each in events}, held)
        self.assertEqual(sorted(found.events, key=lambda each: each.revision), list(found.events))
        self.assertEqual(1 + len(events), found.revision)

    def test_a_reader_behind_the_first_known_revision_gets_no_changes(self) -> None:
        history = ChangeHistory()
        self.assertIsNone(history.since(5))
        history.reset(10)
        self.assertIsNone(history.since(9))

    def test_a_gap_resets_the_history(self) -> None:
        history = ChangeHistory()
        history.reset(10)
        history.add(20, [WatchEvent("a", b"", 21)], 21)
        self.assertIsNone(history.since(15))
        self.assertIsNotNone(history.since(20))

    def test_large_values_are_not_returned(self) -> None:
        # Guards against a coordinator that saturates its link by sending a configuration of 260 kB
        # to 80 VMs.
        history = ChangeHistory()
        history.reset(1)
        history.add(1, [WatchEvent("a", bytes(MAX_RESPONSE_BYTES + 1), 2)], 2)
        self.assertIsNone(history.since(1))
        self.assertIsNotNone(history.since(2))

    def test_the_oldest_changes_are_dropped(self) -> None:
        history = ChangeHistory()
        history.reset(1)
        for revision in range(2, MAX_STORED_KEYS + 12):
            history.add(revision - 1, [WatchEvent(str(revision), b"", revision)], revision)
        self.assertIsNone(history.since(10))
        self.assertIsNotNone(history.since(11))
