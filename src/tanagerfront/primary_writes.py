"""Writes in progress at a group's primary, followed across a failover (session interface).

The load pattern: a primary is slow, or its queue is long, when another instance is promoted in its
place, so that writes which were sent to it before are executed after the promotion. No input or
output.
"""

from __future__ import annotations

import math

__all__ = ["ANSWER_LIMIT_S", "PrimaryWrite", "PrimaryWrites"]

# How long a VM waits, after it has learned of a failover, for answers of the old primary. A leaving
# primary steps down within this time, and then refuses the writes that it has not executed.
ANSWER_LIMIT_S = 0.3


class PrimaryWrite:
    """A single write or a commit that was sent to a primary and has not been answered."""

    __slots__ = ("valid_until",)

    def __init__(self) -> None:
        # A success that arrives later may follow the promotion of another instance. In seconds of
        # CLOCK_BOOTTIME; infinite while this VM knows of no failover.
        self.valid_until = math.inf

    @property
    def sent_before_failover(self) -> bool:
        """Return whether this VM has learned of a failover since the write was sent."""
        return self.valid_until < math.inf


class PrimaryWrites:
    """The writes in progress at the primaries of one group."""

    def __init__(self) -> None:
        self._current: set[PrimaryWrite] = set()
        # Those that were sent before the last failover began.
        self._earlier: set[PrimaryWrite] = set()

    @property
    def sent_before_failover(self) -> int:
        """Return how many of the writes in progress were sent before the last failover began."""
        return len(self._earlier)

    def begin(self) -> PrimaryWrite:
        """Note a write that is about to be sent to the primary."""
        write = PrimaryWrite()
        self._current.add(write)
        return write

    def end(self, write: PrimaryWrite) -> None:
        """Note that a write has been answered or given up."""
        self._current.discard(write)
        self._earlier.discard(write)

    def limit(self, valid_until: float) -> None:
        """Limit the validity of the writes in progress, by CLOCK_BOOTTIME: a failover has begun."""
        self._earlier |= self._current
        self._current.clear()
        for write in self._earlier:
            write.valid_until = min(write.valid_until, valid_until)

    def settled(self, now: float) -> bool:
        """Return whether no success of a former primary will be passed on any more."""
        return all(now >= write.valid_until for write in self._earlier)
