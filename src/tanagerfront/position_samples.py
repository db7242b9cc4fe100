"""Samples of a primary's log position, which bound the staleness of reads at replicas."""

from __future__ import annotations

from collections import deque

from .entry_id import EntryId

__all__ = ["PositionSamples"]

# Samples in between would hardly make the positions that reads require any older.
MIN_SAMPLE_INTERVAL_S = 0.04
# Reads with a longer maximum staleness require a position of about this age.
SAMPLE_RETENTION_S = 10.0


class PositionSamples:
    """Log positions that a group's primary reported, each with the time of the request for it.

    The primary was at the position at that time or later. Times are in seconds of `boottime_s`.
    """

    def __init__(self) -> None:
        self._samples: deque[tuple[float, EntryId]] = deque()

    @property
    def latest_at(self) -> float:
        """Return the request time of the newest sample, minus infinity if there is none."""
        return self._samples[-1][0] if self._samples else float("-inf")

    @property
    def newest(self) -> tuple[float, EntryId] | None:
        """Return the newest sample's request time and position, None if there is none."""
        return self._samples[-1] if self._samples else None

    def add(self, requested_at: float, position: EntryId) -> None:
        """Add the position that the primary returned for a request sent at `requested_at`."""
        if requested_at - self.latest_at < MIN_SAMPLE_INTERVAL_S:
            return
        self._samples.append((requested_at, position))
        while self._samples and self._samples[0][0] < requested_at - SAMPLE_RETENTION_S:
            self._samples.popleft()

    def clear(self) -> None:
        """Remove all samples, which are invalid after the primary was replaced."""
        self._samples.clear()

    def oldest_since(self, not_before: float) -> EntryId | None:
        """Return the oldest position requested at or after a time, None if there is none."""
        for requested_at, position in self._samples:
            if requested_at >= not_before:
                return position
        return None
