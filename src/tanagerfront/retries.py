"""Retry budget and backoff of the homes of the HTTP interface."""

from __future__ import annotations

import random
from typing import NamedTuple

import trio

__all__ = ["RetryBudget", "RetrySettings", "backoff_s"]


class RetrySettings(NamedTuple):
    """Settings of the retry budget and the backoff; times in seconds."""

    # Retries per request, limited so that retries cannot multiply the load of a slow instance.
    retry_ratio: float = 0.2
    # Retries that are allowed without any requests, for homes with little traffic.
    min_retries_per_s: float = 2.0
    max_saved_retries: float = 20.0
    first_backoff_s: float = 0.01
    max_backoff_s: float = 0.25


class RetryBudget:
    """Limit retries to a share of the requests, plus a small constant rate."""

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._saved_retries = settings.min_retries_per_s
        self._refilled_at = trio.current_time()

    def record_request(self) -> None:
        """Add the share of one request to the budget."""
        self._add(self._settings.retry_ratio)

    def try_acquire(self) -> bool:
        """Use one retry of the budget; returns False if none is left."""
        now = trio.current_time()
        self._add((now - self._refilled_at) * self._settings.min_retries_per_s)
        self._refilled_at = now
        if self._saved_retries < 1.0:
            return False
        self._saved_retries -= 1.0
        return True

    def _add(self, amount: float) -> None:
        self._saved_retries = min(self._settings.max_saved_retries, self._saved_retries + amount)


def backoff_s(attempt: int, settings: RetrySettings, rng: random.Random) -> float:
    """Return the delay in seconds before a retry, exponential with random jitter.

    `attempt` is the number of the retry, counted from 1.
    """
    max_delay_s = min(settings.max_backoff_s, settings.first_backoff_s * 2 ** min(attempt, 16))
    return rng.uniform(max_delay_s / 4, max_delay_s)
