"""Concurrency limit that adapts to the latency of an instance."""

from __future__ import annotations

import math
from collections.abc import Hashable

__all__ = ["AdaptiveLimit"]

# The limit grows while latency is below this multiple of its minimum and shrinks above it.
LATENCY_TOLERANCE = 1.5
RATIO_SMOOTHING = 0.1
# Factor by which the minimum rises per measurement, so that it follows statements that became
# slower.
BASELINE_DRIFT = 1.002
MIN_BASELINE_S = 1e-5
GROWTH_STEP = 0.05
SHRINK_FACTOR = 0.95


class AdaptiveLimit:
    """Concurrency limit between this VM's share of the slots, at least 1, and `factor` times it."""

    def __init__(self, share: float, factor: float = 2.0) -> None:
        self._factor = factor
        self._baseline_s: dict[Hashable, float] = {}
        self._latency_ratio = 1.0
        self._limit = 1.0
        self.set_share(share)

    @property
    def value(self) -> int:
        """Return the number of requests that may be in flight."""
        return int(self._limit)

    def set_share(self, share: float) -> None:
        """Change the share of the slots and clamp the limit to the new bounds."""
        self._min_limit = max(1, math.floor(share))
        self._max_limit = max(self._min_limit, math.ceil(self._factor * share))
        self._limit = min(max(self._limit, float(self._min_limit)), float(self._max_limit))

    def observe(self, key: Hashable, elapsed_s: float, *, saturated: bool) -> None:
        """Adjust the limit to a measured time; `key` groups statements of similar cost."""
        elapsed_s = max(elapsed_s, MIN_BASELINE_S)
        baseline_s = min(self._baseline_s.get(key, elapsed_s) * BASELINE_DRIFT, elapsed_s)
        self._baseline_s[key] = baseline_s
        ratio = elapsed_s / baseline_s
        self._latency_ratio += RATIO_SMOOTHING * (ratio - self._latency_ratio)
        if self._latency_ratio > LATENCY_TOLERANCE:
            self._limit = max(self._min_limit, self._limit * SHRINK_FACTOR)
        elif saturated:
            # While the limit is not reached, latency does not show if a higher one is safe.
            self._limit = min(self._max_limit, self._limit + GROWTH_STEP)
