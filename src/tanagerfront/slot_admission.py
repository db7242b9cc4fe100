"""Admission control for an instance's slots, at the VM that holds its connections.

When the replicas of a group lag, all its reads go to the primary and exceed the capacity of its
slots. With an unbounded queue every statement would wait past its caller's deadline, and the
instance would execute statements whose callers have left. With admission control, admitted
statements are served in time, and the others are refused at once and may be retried.
"""

from __future__ import annotations

from collections import deque

import trio

from .errors import OverloadedError
from .session_model import InstanceLoad

__all__ = ["SlotAdmission"]

# A statement that waits longer than this misses the shortest latency objectives, about 150 ms.
MAX_WAIT_S = 0.12
# Statements admitted beyond the slots, so that the instance stays busy during a round trip.
EXTRA_ADMITTED = 1
INITIAL_SERVICE_TIME_S = 0.015
SERVICE_TIME_SMOOTHING = 0.1
# The longest statements take 0.3 s. After this time the reply is presumed lost and the slot free.
MAX_SERVICE_TIME_S = 0.4


class _Waiter:
    """A statement that waits; `admitted_at` is set when it is admitted."""

    __slots__ = ("admitted", "admitted_at")

    def __init__(self) -> None:
        self.admitted = trio.Event()
        self.admitted_at = 0.0


class SlotAdmission:
    """Admit at most `slots + EXTRA_ADMITTED` statements; refuse those that would wait too long."""

    def __init__(self, slots: int) -> None:
        self._limit = slots + EXTRA_ADMITTED
        # Admission times of the statements that run, the oldest first.
        self._admitted_at: list[float] = []
        self._waiting: deque[_Waiter] = deque()
        self._service_time_s = INITIAL_SERVICE_TIME_S
        self._readings = 0

    @property
    def expected_wait_s(self) -> float:
        """Return the expected wait of one more statement in seconds."""
        if self._has_free_slot():
            return 0.0
        return (len(self._waiting) + 1) * self._service_time_s / self._limit

    @property
    def load(self) -> InstanceLoad:
        """Return the present load under the next sequence number."""
        self._readings += 1
        return InstanceLoad(
            self._readings, len(self._admitted_at), len(self._waiting), self.expected_wait_s
        )

    async def acquire(self) -> float:
        """Wait for a slot and return the admission time in trio's clock; raises OverloadedError."""
        self._admit_waiting()
        if not self._waiting and self._has_free_slot():
            return self._admit()
        if self.expected_wait_s > MAX_WAIT_S:
            raise OverloadedError("the queue for the instance's slots is too long")
        waiter = _Waiter()
        self._waiting.append(waiter)
        try:
            with trio.move_on_after(MAX_WAIT_S):
                await waiter.admitted.wait()
        except trio.Cancelled:
            if waiter.admitted.is_set():
                self._free_slot(waiter.admitted_at)
            raise
        finally:
            if not waiter.admitted.is_set():
                self._waiting.remove(waiter)
        if not waiter.admitted.is_set():
            raise OverloadedError("no slot of the instance became free in time")
        return waiter.admitted_at

    def release(self, admitted_at: float) -> None:
        """Release the slot of a statement that has ended."""
        service_time_s = min(trio.current_time() - admitted_at, MAX_SERVICE_TIME_S)
        self._service_time_s += SERVICE_TIME_SMOOTHING * (service_time_s - self._service_time_s)
        self._free_slot(admitted_at)

    def _has_free_slot(self) -> bool:
        overdue = trio.current_time() - MAX_SERVICE_TIME_S
        while self._admitted_at and self._admitted_at[0] < overdue:
            del self._admitted_at[0]
        return len(self._admitted_at) < self._limit

    def _admit(self) -> float:
        self._admitted_at.append(trio.current_time())
        return self._admitted_at[-1]

    def _free_slot(self, admitted_at: float) -> None:
        # The slot of an overdue statement was freed earlier.
        if admitted_at in self._admitted_at:
            self._admitted_at.remove(admitted_at)
        self._admit_waiting()

    def _admit_waiting(self) -> None:
        while self._waiting and self._has_free_slot():
            waiter = self._waiting.popleft()
            waiter.admitted_at = self._admit()
            waiter.admitted.set()
