"""Recent changes of the store's keys, which a coordinator of the session interface forwards.

A change of one key has to reach every VM of a large fleet. If each VM read it from the store, the
change would cost one priced call per VM.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from .kv import WatchEvent

__all__ = ["ChangeHistory", "RecentChanges"]

# Larger values are read from the store, because small VMs have links of 5 to 10 Mbit/s.
MAX_RESPONSE_BYTES = 32 * 1024
# When more keys have changed, the oldest changes are dropped.
MAX_STORED_KEYS = 1000


class RecentChanges(NamedTuple):
    """The newest change of each key after a revision, and the revision to continue from."""

    events: Sequence[WatchEvent]
    revision: int


class ChangeHistory:
    """The newest change of each key since a revision."""

    def __init__(self) -> None:
        self._events: dict[str, WatchEvent] = {}
        self._first_revision = 0
        self._revision = 0

    @property
    def revision(self) -> int:
        """Return the revision up to which all changes are known."""
        return self._revision

    def reset(self, revision: int) -> None:
        """Drop all changes and record those after this revision."""
        self._events.clear()
        self._first_revision = self._revision = revision

    def add(self, after: int, events: Sequence[WatchEvent], revision: int) -> Sequence[WatchEvent]:
        """Add all changes after one revision up to another; return those not known before."""
        if after > self._revision:
            self.reset(after)
        new_events = [event for event in events if self._is_new(event)]
        for event in new_events:
            # Removed first, so that the keys stay in the order of their revisions.
            self._events.pop(event.key, None)
            self._events[event.key] = event
        self._revision = max(self._revision, revision)
        while len(self._events) > MAX_STORED_KEYS:
            oldest = next(iter(self._events))
            self._first_revision = max(self._first_revision, self._events.pop(oldest).revision)
        return new_events

    def _is_new(self, event: WatchEvent) -> bool:
        known = self._events.get(event.key)
        return event.revision > (self._first_revision if known is None else known.revision)

    def since(self, after: int, *, large: bool = False) -> RecentChanges | None:
        """Return the changes after a revision, None if not all are known.

        Without `large` also None if their values exceed MAX_RESPONSE_BYTES in total.
        """
        if after < self._first_revision or not self._revision:
            return None
        events = [event for event in self._events.values() if event.revision > after]
        if not large and sum(len(event.value or b"") for event in events) > MAX_RESPONSE_BYTES:
            return None
        return RecentChanges(events, max(after, self._revision))
