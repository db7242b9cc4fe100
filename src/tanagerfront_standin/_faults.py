"""Fault injection, call counts and rate limits shared by the platform's stand-ins."""

from __future__ import annotations

import collections
from typing import Any

import trio

__all__ = ["CallCounter", "Faults", "NoLeaderError", "RateLimiter"]


class NoLeaderError(Exception):
    """The service responds, but has no leader to serve the call."""


class Faults:
    """Faults that a stand-in simulates; set through its `/debug/faults` path."""

    def __init__(self) -> None:
        self._changed = trio.Event()
        self._down = False
        self._hang = False
        self._no_leader = False
        self._slow_ms = 0.0
        self._lose_answers = 0

    @property
    def in_outage(self) -> bool:
        """Return whether the service is down or without a leader, so that no call has an effect."""
        return self._down or self._no_leader

    @property
    def changed(self) -> trio.Event:
        """Return the event that is set at the next change."""
        return self._changed

    def set(self, values: dict[str, Any]) -> None:
        """Set the given faults and keep the others; raises ValueError for an unknown name."""
        unknown = values.keys() - self.describe().keys()
        if unknown:
            raise ValueError(f"unknown faults: {', '.join(sorted(unknown))}")
        self._down = bool(values.get("down", self._down))
        self._hang = bool(values.get("hang", self._hang))
        self._no_leader = bool(values.get("no_leader", self._no_leader))
        self._slow_ms = float(values.get("slow_ms", self._slow_ms))
        self._lose_answers = int(values.get("lose_answers", self._lose_answers))
        self._changed.set()
        self._changed = trio.Event()

    def describe(self) -> dict[str, Any]:
        """Return the current faults by name."""
        return {
            "down": self._down,
            "hang": self._hang,
            "no_leader": self._no_leader,
            "slow_ms": self._slow_ms,
            "lose_answers": self._lose_answers,
        }

    async def before_call(self) -> None:
        """Delay or fail a call; raises BrokenResourceError, NoLeaderError."""
        if self._slow_ms:
            await trio.sleep(self._slow_ms / 1000)
        while self._hang and not self._down:
            await self._changed.wait()
        self.check_available()

    def check_available(self) -> None:
        """Fail the call in an outage.

        Raises BrokenResourceError while the service is down, NoLeaderError without a leader.
        """
        if self._down:
            raise trio.BrokenResourceError("the service is down")
        if self._no_leader:
            raise NoLeaderError

    def after_write(self) -> None:
        """Drop the response to a write that was applied; raises BrokenResourceError."""
        if self._lose_answers:
            self._lose_answers -= 1
            raise trio.BrokenResourceError("the response to an applied write is lost")


class RateLimiter:
    """Limit calls to a rate per second; calls above it wait in arrival order."""

    def __init__(self, calls_per_s: float) -> None:
        self._interval_s = 1 / calls_per_s
        self._next_start = 0.0

    async def acquire(self) -> float:
        """Wait until the rate admits this call and return the seconds waited."""
        now = trio.current_time()
        start = max(now, self._next_start)
        self._next_start = start + self._interval_s
        if start > now:
            await trio.sleep_until(start)
        return start - now


class CallCounter:
    """Count calls by kind, and record the longest wait for the rate limit."""

    def __init__(self) -> None:
        self._calls: collections.Counter[str] = collections.Counter()
        self._longest_wait_s = 0.0
        self._waiting_watches = 0

    @property
    def waiting_watches(self) -> int:
        """Return the number of open watches."""
        return self._waiting_watches

    @waiting_watches.setter
    def waiting_watches(self, value: int) -> None:
        self._waiting_watches = value

    def count(self, kind: str, waited_s: float) -> None:
        """Count one call that waited `waited_s` seconds for the rate limit."""
        self._calls[kind] += 1
        self._longest_wait_s = max(self._longest_wait_s, waited_s)

    def describe(self) -> dict[str, Any]:
        """Return the counts; open watches are listed apart from the total of calls."""
        return {
            "calls": dict(self._calls),
            "total": self._calls.total(),
            "waiting_watches": self._waiting_watches,
            "longest_wait_s": self._longest_wait_s,
        }
