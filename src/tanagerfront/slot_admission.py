"""Admission control for an instance's slots, at the VM that holds its connections.

When the replicas of a group lag, all its reads go to the primary and exceed the capacity of its
slots. With an unbounded queue every statement would wait past its caller's deadline, and the
instance would execute statements whose callers have left. With admission control, admitted
statements are served in time, and the others are refused at once and may be retried.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

import trio

from .errors import OverloadedError
from .session_model import InstanceLoad
from .slot_queue import (
    INITIAL_SERVICE_TIME_S,
    SERVICE_TIME_SMOOTHING,
    Refusal,
    SlotQueue,
    SlotRequest,
    StatementKind,
    Ticket,
)

__all__ = [
    "ArrivalOrder",
    "QueueCounts",
    "SlotAdmission",
    "SlotOrder",
    "UrgencyOrder",
]

# A statement that waits longer than this misses the shortest latency objectives, about 150 ms.
MAX_WAIT_S = 0.12
# Statements admitted beyond the slots, so that the instance stays busy during a round trip.
EXTRA_ADMITTED = 1
# The longest statements take 0.3 s. After this time the reply is presumed lost and the slot free.
MAX_SERVICE_TIME_S = 0.4
NO_ORGANISATION = "-"


@dataclass(frozen=True, slots=True)
class ArrivalOrder:
    """First come, first served, with one longest wait for all statements."""


@dataclass(frozen=True, slots=True)
class UrgencyOrder:
    """By priority, latency objective and organisation; see `slot_queue`."""


SlotOrder = ArrivalOrder | UrgencyOrder


@dataclass(slots=True)
class QueueCounts:
    """What happened in an instance's queue since the counts were last taken.

    The keys are a route's priority, and in `refused` also the reason.
    """

    admitted_at_once: int = 0
    admitted_after_wait: dict[int, int] = field(default_factory=lambda: defaultdict(int))
    waited_s: dict[int, float] = field(default_factory=lambda: defaultdict(float))
    refused: dict[tuple[int, Refusal], int] = field(default_factory=lambda: defaultdict(int))
    longest_queue: int = 0


class _Waiter:
    """A statement that waits; `admitted_at` is set when it is admitted."""

    __slots__ = ("admitted_at", "decided", "refusal", "ticket")

    def __init__(self, ticket: Ticket | None = None) -> None:
        self.decided = trio.Event()
        self.admitted_at: float | None = None
        self.refusal: Refusal | None = None
        self.ticket = ticket

    def admit(self, admitted_at: float) -> None:
        self.admitted_at = admitted_at
        self.decided.set()

    def refuse(self, refusal: Refusal) -> None:
        self.refusal = refusal
        self.decided.set()


class SlotAdmission:
    """Admit at most `slots + EXTRA_ADMITTED` statements; refuse those that would wait too long."""

    def __init__(self, slots: int, order: SlotOrder | None = None) -> None:
        self._limit = slots + EXTRA_ADMITTED
        self._order = order or ArrivalOrder()
        # Admission times of the statements that run, the oldest first.
        self._admitted_at: list[float] = []
        self._waiting: deque[_Waiter] = deque()
        self._service_time_s = INITIAL_SERVICE_TIME_S
        self._readings = 0
        self._queue = SlotQueue(self._limit)
        self._waiter_by_ticket: dict[Ticket, _Waiter] = {}
        self._counts = QueueCounts()

    @property
    def order(self) -> SlotOrder:
        """Return the order in which statements are admitted."""
        return self._order

    @property
    def expected_wait_s(self) -> float:
        """Return the expected wait of one more ordinary statement in seconds."""
        if self._has_free_slot():
            return 0.0
        match self._order:
            case UrgencyOrder():
                return self._queue.expected_wait_s
        return (len(self._waiting) + 1) * self._service_time_s / self._limit

    @property
    def load(self) -> InstanceLoad:
        """Return the present load under the next sequence number."""
        self._readings += 1
        waiting = len(self._waiting) + len(self._queue)
        return InstanceLoad(self._readings, len(self._admitted_at), waiting, self.expected_wait_s)

    def take_counts(self) -> QueueCounts:
        """Return the counts since the last call, and start new ones."""
        counts, self._counts = self._counts, QueueCounts()
        return counts

    async def acquire(self, request: SlotRequest | None = None) -> float:
        """Wait for a slot and return the admission time in trio's clock; raises OverloadedError."""
        self._admit_waiting()
        match self._order:
            case UrgencyOrder():
                return await self._acquire_by_urgency(request)
        return await self._acquire_by_arrival()

    def release(self, admitted_at: float, request: SlotRequest | None = None) -> None:
        """Release the slot of a statement that has ended."""
        service_time_s = min(trio.current_time() - admitted_at, MAX_SERVICE_TIME_S)
        self._service_time_s += SERVICE_TIME_SMOOTHING * (service_time_s - self._service_time_s)
        if request is not None:
            self._queue.service_times.observe(request, service_time_s)
        self._free_slot(admitted_at)

    async def _acquire_by_arrival(self) -> float:
        if not self._waiting and self._has_free_slot():
            return self._admit()
        if self.expected_wait_s > MAX_WAIT_S:
            raise OverloadedError(Refusal.QUEUE_TOO_LONG.value)
        waiter = _Waiter()
        self._waiting.append(waiter)
        try:
            return await self._wait(waiter, trio.current_time() + MAX_WAIT_S)
        finally:
            if not waiter.decided.is_set():
                self._waiting.remove(waiter)

    async def _acquire_by_urgency(self, request: SlotRequest | None) -> float:
        now = trio.current_time()
        request = request or SlotRequest.of(NO_ORGANISATION, None, StatementKind.READ, now)
        if not self._queue and self._has_free_slot():
            self._counts.admitted_at_once += 1
            self._queue.record_admitted(request, now)
            return self._admit()
        offer = self._queue.offer(request, now)
        self._refuse(offer.displaced, Refusal.DISPLACED)
        if offer.ticket is None:
            refusal = offer.refusal or Refusal.QUEUE_TOO_LONG
            self._counts.refused[request.priority, refusal] += 1
            raise OverloadedError(refusal.value)
        if offer.ticket in offer.displaced:
            raise OverloadedError(Refusal.DISPLACED.value)
        self._counts.longest_queue = max(self._counts.longest_queue, len(self._queue))
        waiter = self._waiter_by_ticket[offer.ticket] = _Waiter(offer.ticket)
        try:
            admitted_at = await self._wait(waiter, offer.ticket.latest_start)
        except OverloadedError:
            # What the queue itself refused is counted already.
            if not waiter.decided.is_set():
                self._counts.refused[request.priority, Refusal.WAITED_TOO_LONG] += 1
            raise
        finally:
            if not waiter.decided.is_set():
                del self._waiter_by_ticket[offer.ticket]
                self._queue.remove(offer.ticket)
        self._counts.admitted_after_wait[request.priority] += 1
        self._counts.waited_s[request.priority] += admitted_at - now
        return admitted_at

    async def _wait(self, waiter: _Waiter, until: float) -> float:
        """Wait until a statement is admitted and return when; raises OverloadedError."""
        try:
            with trio.move_on_at(until):
                await waiter.decided.wait()
        except trio.Cancelled:
            if waiter.admitted_at is not None:
                self._free_slot(waiter.admitted_at)
            raise
        if waiter.admitted_at is None:
            raise OverloadedError((waiter.refusal or Refusal.WAITED_TOO_LONG).value)
        return waiter.admitted_at

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
            self._waiting.popleft().admit(self._admit())
        while self._queue and self._has_free_slot():
            ticket, expired = self._queue.pop(trio.current_time())
            self._refuse(expired, Refusal.WAITED_TOO_LONG)
            if ticket is not None:
                self._waiter_by_ticket.pop(ticket).admit(self._admit())

    def _refuse(self, tickets: Iterable[Ticket], refusal: Refusal) -> None:
        for ticket in tickets:
            self._counts.refused[ticket.request.priority, refusal] += 1
            waiter = self._waiter_by_ticket.pop(ticket, None)
            if waiter is not None:
                waiter.refuse(refusal)
