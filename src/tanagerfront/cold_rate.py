"""Rate of statements to an instance that has just started and is still slow (session interface).

The load pattern: when a failure domain is given back, its idle instances look best to all VMs at
once, while their caches are empty. No input or output.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

__all__ = ["ColdLimit", "ColdRate", "cold_share"]

# Span of the limit on statements; every span of this length counts.
WINDOW_S = 1.0
# Until then a VM that becomes a home leaves the rate to the former ones, which may not know yet.
TAKEOVER_S = 2.0
# Part of the limit for statements that begin work; transactions in progress use the rest too.
NEW_WORK_FRACTION = 0.5


class ColdLimit(NamedTuple):
    """Statements per second that a group's cold instances take from all VMs together."""

    rate_per_s: float
    overage: float = 1.0
    slack: float = 0.0

    def share(self, share: float) -> int:
        """Return the whole number of statements in a second for a share of the limit."""
        return max(0, int((self.rate_per_s * self.overage + self.slack) * share))


def cold_share(vms: int, homes: int, *, uses_homes: bool) -> float:
    """Return the share of a VM that connects to the instance.

    Two VMs may hold the role of the first home while it changes, so that each home has only a part.
    """
    return 1.0 / homes if uses_homes else 1.0 / max(1, vms)


class ColdRate:
    """Count the statements of this VM at one instance in a sliding window."""

    def __init__(self, limit: int, now: float) -> None:
        # The instance is cold until then.
        self.until = float("-inf")
        self._limit = limit
        self._raised_at = now
        self._limit_before = 0
        self._sent_at: deque[float] = deque()

    def set_limit(self, limit: int, now: float) -> None:
        """Set the limit; a higher one counts after TAKEOVER_S."""
        if limit > self._limit:
            self._limit_before = self._current_limit(now)
            self._raised_at = now
        self._limit = limit

    def try_take(self, count: int, now: float, *, begins: bool) -> bool:
        """Take room for statements and return whether there was enough."""
        if not self.has_room(count, now, begins=begins):
            return False
        self.take(count, now)
        return True

    def has_room(self, count: int, now: float, *, begins: bool) -> bool:
        """Return whether statements may be sent now."""
        if now >= self.until:
            return True
        while self._sent_at and self._sent_at[0] <= now - WINDOW_S:
            self._sent_at.popleft()
        limit = self._current_limit(now)
        if begins:
            limit = int(limit * NEW_WORK_FRACTION)
        return len(self._sent_at) + count <= limit

    def take(self, count: int, now: float) -> None:
        """Count statements that are sent in any case."""
        if now >= self.until:
            return
        self._sent_at.extend([now] * count)

    def _current_limit(self, now: float) -> int:
        if now - self._raised_at < TAKEOVER_S:
            return min(self._limit, self._limit_before)
        return self._limit
