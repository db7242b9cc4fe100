"""Budget and delays of repeated attempts."""

from __future__ import annotations

import random
from typing import NamedTuple

import trio

__all__ = ["RetryBudget", "RetrySettings", "backoff_s"]


class RetrySettings(NamedTuple):
    """Settings of repeats; times in seconds."""

    # Repeats per first attempt, so that repeats cannot multiply the load of a slow instance.
    retry_ratio: float = 0.2
    # Repeats per second that are always allowed, for homes with little traffic.
    min_retries_per_s: float = 2.0
    max_saved_retries: float = 20.0
    first_backoff_s: float = 0.01
    max_backoff_s: float = 0.25


class RetryBudget:
    """Repeats allowed as a share of traffic with a small floor."""

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._saved_retries = settings.min_retries_per_s
        self._refilled_at = trio.current_time()

    def record_request(self) -> None:
        """Count one request."""
        self._add_retries(self._settings.retry_ratio)

    def try_acquire(self) -> bool:
        """Use one repeat, if one is left."""
        now = trio.current_time()
        self._add_retries((now - self._refilled_at) * self._settings.min_retries_per_s)
        self._refilled_at = now
        if self._saved_retries < 1.0:
            return False
        self._saved_retries -= 1.0
        return True

    def _add_retries(self, amount: float) -> None:
        self._saved_retries = min(self._settings.max_saved_retries, self._saved_retries + amount)


def backoff_s(attempt: int, settings: RetrySettings, rng: random.Random) -> float:
    """Return the delay before repeat number `attempt`, counted from 1, with full jitter."""
    longest_s = min(settings.max_backoff_s, settings.first_backoff_s * 2 ** min(attempt, 16))
    return rng.uniform(longest_s / 4, longest_s)
