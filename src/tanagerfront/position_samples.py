"""Positions of a group's primary by age, from which the bound of a stale read is taken."""

from __future__ import annotations

from collections import deque

from .entry_id import EntryId

__all__ = ["PositionSamples"]

# Samples closer together than this bring no older bound that a read could use.
SPACING_S = 0.04
# Longest staleness that a route may state and still be served by replicas.
KEPT_S = 10.0


class PositionSamples:
    """Positions at which the primary was, each with a time that is no later than that.

    Times are in the clock of `boottime_s`.
    """

    def __init__(self) -> None:
        self._samples: deque[tuple[float, EntryId]] = deque()

    @property
    def latest_at(self) -> float:
        """Return the time of the newest sample, minus infinity if there is none."""
        return self._samples[-1][0] if self._samples else float("-inf")

    def add(self, asked_at: float, position: EntryId) -> None:
        """Record a position that the primary reported to a statement sent at `asked_at`."""
        if asked_at - self.latest_at < SPACING_S:
            return
        self._samples.append((asked_at, position))
        while self._samples and self._samples[0][0] < asked_at - KEPT_S:
            self._samples.popleft()

    def clear(self) -> None:
        """Forget all samples, as those of a replaced primary."""
        self._samples.clear()

    def oldest_since(self, not_before: float) -> EntryId | None:
        """Return the oldest position that was sampled at or after a time."""
        for asked_at, position in self._samples:
            if asked_at >= not_before:
                return position
        return None
