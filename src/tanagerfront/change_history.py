"""Recent changes of the store's keys, which a coordinator passes on to the other VMs.

Load pattern: a change of one key has to reach every VM of a large fleet. If each asked the store,
a change would cost one priced call a VM.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from .kv import WatchEvent

__all__ = ["ChangeHistory", "RecentChanges"]

# Large values go from the store to each VM, because small VMs have links of 5 to 10 Mbit/s.
MAX_RESPONSE_BYTES = 32 * 1024
# Keys that are kept; older changes are dropped first.
MAX_STORED_KEYS = 1000


class RecentChanges(NamedTuple):
    """The newest change of each key after some revision, and where to continue."""

    events: Sequence[WatchEvent]
    revision: int


class ChangeHistory:
    """The newest change of each key since a revision."""

    def __init__(self) -> None:
        self._events: dict[str, WatchEvent] = {}
        self._first = 0
        self._revision = 0

    @property
    def revision(self) -> int:
        """Return the revision up to which all changes are known."""
        return self._revision

    def reset(self, revision: int) -> None:
        """Forget everything; changes after this revision follow."""
        self._events.clear()
        self._first = self._revision = revision

    def add(self, after: int, events: Sequence[WatchEvent], revision: int) -> Sequence[WatchEvent]:
        """Take in all changes after one revision up to another; return those not known before."""
        if after > self._revision:
            self.reset(after)
        fresh = [each for each in events if self._is_fresh(each)]
        for each in fresh:
            # Taken out first, so that the order of the keys is that of their revisions.
            self._events.pop(each.key, None)
            self._events[each.key] = each
        self._revision = max(self._revision, revision)
        while len(self._events) > MAX_STORED_KEYS:
            oldest = next(iter(self._events))
            self._first = max(self._first, self._events.pop(oldest).revision)
        return fresh

    def _is_fresh(self, event: WatchEvent) -> bool:
        known = self._events.get(event.key)
        return event.revision > (self._first if known is None else known.revision)

    def since(self, after: int, *, large: bool = False) -> RecentChanges | None:
        """Return the changes after a revision, None if not all are known.

        Without `large` also None if they have more than MAX_BYTES.
        """
        if after < self._first or not self._revision:
            return None
        events = [each for each in self._events.values() if each.revision > after]
        if not large and sum(len(each.value or b"") for each in events) > MAX_RESPONSE_BYTES:
            return None
        return RecentChanges(events, max(after, self._revision))
