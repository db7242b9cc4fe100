"""What a session's reads have to see of its own writes."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from support import TestCase
from tanagerfront.entry_id import EntryId
from tanagerfront.own_writes import OwnWrites


class OwnWritesTest(TestCase):
    @given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 99) | st.none())))
    def test_each_group_requires_its_own_last_write(
        self, writes: list[tuple[str, int | None]]
    ) -> None:
        # Guards against a write in one group that replaces what a session knows of another.
        own_writes = OwnWrites()
        for group, position in writes:
            own_writes.record(group, None if position is None else EntryId(1, position))
        for group, position in dict(writes).items():
            if position is None:
                with self.assertRaises(LookupError):
                    own_writes.required_entry(group)
            else:
                self.assertEqual(EntryId(1, position), own_writes.required_entry(group))
        self.assertIsNone(own_writes.required_entry("unused"))
