"""Last writes of a session, by group, which its reads have to see (session interface).

The load pattern: operators move a route between groups, and back, while a session uses it and
replicas lag. No input or output.
"""

from __future__ import annotations

from .entry_id import EntryId

__all__ = ["OwnWrites"]


class OwnWrites:
    """Log entries of a session's last acknowledged write in each group."""

    def __init__(self) -> None:
        self._entries: dict[str, EntryId | None] = {}

    def record(self, group: str, entry: EntryId | None) -> None:
        """Record an acknowledged write; `entry` is None if its position is not known."""
        self._entries[group] = entry

    def required_entry(self, group: str) -> EntryId | None:
        """Return the entry that a replica needs, None if the session wrote nothing in the group.

        Raises LookupError if no replica is known to have the write.
        """
        if group not in self._entries:
            return None
        entry = self._entries[group]
        if entry is None:
            raise LookupError("the position of the session's last write is not known")
        return entry
