"""Recent changes of the store's keys, which a coordinator of the session interface forwards.

A change of one key has to reach every VM of a large fleet. If each VM read it from the store, the
change would cost one priced call per VM.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

import trio

from .kv import WatchEvent

__all__ = ["LARGE_VALUE_BYTES", "ChangeHistory", "RecentChanges"]

# Larger responses would delay statements and heartbeats on a link of 5 to 10 Mbit/s. Their large
# values are fetched separately, from the VM that `configuration_spread` names.
MAX_RESPONSE_BYTES = 32 * 1024
# Records and registrations of VMs and instances are smaller; configurations may be larger.
LARGE_VALUE_BYTES = 4 * 1024
# When more keys have changed, the oldest changes are dropped.
MAX_STORED_KEYS = 1000


class RecentChanges(NamedTuple):
    """The newest change of each key after a revision, and the revision to continue from."""

    events: Sequence[WatchEvent]
    revision: int
    # Whether changes with large values were left out.
    withheld: bool = False


class ChangeHistory:
    """The newest change of each key since a revision."""

    def __init__(self) -> None:
        self._events: dict[str, WatchEvent] = {}
        self._first_revision = 0
        self._revision = 0
        # Compressed large values with their revisions, by key.
        self._compressed: dict[str, tuple[int, bytes]] = {}
        self._extended = trio.Event()

    @property
    def revision(self) -> int:
        """Return the revision up to which all changes are known."""
        return self._revision

    def reset(self, revision: int) -> None:
        """Drop all changes and record those after this revision."""
        self._events.clear()
        self._compressed.clear()
        self._first_revision = self._revision = revision
        self._notify()

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
        self._notify()
        while len(self._events) > MAX_STORED_KEYS:
            oldest = next(iter(self._events))
            self._first_revision = max(self._first_revision, self._events.pop(oldest).revision)
        return new_events

    def _notify(self) -> None:
        extended, self._extended = self._extended, trio.Event()
        extended.set()

    async def reached(self, revision: int) -> None:
        """Wait until all changes up to a revision are known."""
        while self._revision < revision:
            await self._extended.wait()

    def compressed(self, event: WatchEvent, compress: Callable[[bytes], bytes]) -> bytes:
        """Return the compressed value of a change, which is kept until the key changes again."""
        revision, value = self._compressed.get(event.key, (-1, b""))
        if revision != event.revision:
            value = compress(event.value or b"")
            self.keep_compressed(event.key, event.revision, value)
        return value

    def keep_compressed(self, key: str, revision: int, value: bytes) -> None:
        """Keep the compressed form of a value that arrived compressed."""
        self._compressed[key] = (revision, value)

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
        if not large and _total_bytes(events) > MAX_RESPONSE_BYTES:
            return None
        return RecentChanges(events, max(after, self._revision))

    def small_since(self, after: int) -> RecentChanges | None:
        """Return the changes after a revision, None if not all are known.

        Those with large values are left out if the total would exceed MAX_RESPONSE_BYTES.
        """
        recent = self.since(after, large=True)
        if recent is None or _total_bytes(recent.events) <= MAX_RESPONSE_BYTES:
            return recent
        small = [event for event in recent.events if len(event.value or b"") <= LARGE_VALUE_BYTES]
        return RecentChanges(small, recent.revision, withheld=len(small) < len(recent.events))


def _total_bytes(events: Sequence[WatchEvent]) -> int:
    return sum(len(event.value or b"") for event in events)
