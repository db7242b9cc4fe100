"""Admission to an instance's slots at the VM that holds its connections.

Load pattern: all reads of a group turn to the primary, because its replicas lag, and ask for more
than its slots can do. Without a bound every statement waits until its caller has given up, and the
instance works for nobody. With it, those that are admitted are served in time, and the others are
refused at once and may come back.
"""

from __future__ import annotations

from collections import deque

import trio

from .errors import OverloadedError

__all__ = ["SlotGate"]

# The shortest objectives are about 150 ms; a statement that waits longer here is late.
MAX_WAIT_S = 0.12
# One statement beyond the slots keeps the instance busy during a round trip.
AHEAD = 1
FIRST_WORK_S = 0.015
WORK_SMOOTHING = 0.1


class SlotGate:
    """Let at most `slots + AHEAD` statements run; refuse those that would wait too long."""

    def __init__(self, slots: int) -> None:
        self._limit = slots + AHEAD
        self._running = 0
        self._waiting: deque[trio.Event] = deque()
        self._work_s = FIRST_WORK_S

    @property
    def expected_wait_s(self) -> float:
        """Return how long one more statement would wait."""
        if self._running < self._limit:
            return 0.0
        return (len(self._waiting) + 1) * self._work_s / self._limit

    async def enter(self) -> float:
        """Wait for admission and return its time in trio's clock; raises OverloadedError."""
        if self._running < self._limit and not self._waiting:
            self._running += 1
            return trio.current_time()
        if self.expected_wait_s > MAX_WAIT_S:
            raise OverloadedError("the instance has more work than it can do in time")
        event = trio.Event()
        self._waiting.append(event)
        try:
            with trio.move_on_after(MAX_WAIT_S):
                await event.wait()
        except trio.Cancelled:
            if event.is_set():
                self._admit_next()
            raise
        finally:
            if not event.is_set():
                self._waiting.remove(event)
        if not event.is_set():
            raise OverloadedError("the instance had no free slot in time")
        return trio.current_time()

    def leave(self, entered_at: float) -> None:
        """Record that a statement has ended."""
        self._work_s += WORK_SMOOTHING * (trio.current_time() - entered_at - self._work_s)
        self._admit_next()

    def _admit_next(self) -> None:
        """Pass a place on to the next one that waits."""
        if self._waiting:
            self._waiting.popleft().set()
        else:
            self._running -= 1
