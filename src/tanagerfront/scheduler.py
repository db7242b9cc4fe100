"""Weighted fair scheduling of an instance's slots in the HTTP interface."""

from __future__ import annotations

import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

import trio

from .adaptive_limit import AdaptiveLimit
from .configuration import RequestClass
from .errors import OverloadedError
from .fair_queue import FairQueue, Waiter

__all__ = ["FairScheduler", "SchedulerSettings", "Slot"]

MIN_RETRY_AFTER_S = 0.05


class SchedulerSettings(NamedTuple):
    """Settings of one scheduler; times in seconds."""

    # Maximum queue length per organisation and instance.
    max_queued: int = 256
    # Estimated service time of a statement before the first measurement.
    initial_estimate_s: float = 0.005
    # Service time that an organisation of weight 1 may catch up on after using less than its
    # share. Without this credit, a short burst waits behind an organisation that exceeds its share.
    burst_credit_s: float = 0.02
    # Maximum number of requests in flight, as a multiple of this VM's share of the slots.
    limit_factor: float = 2.0


class Slot:
    """A request's slot on the instance; `granted_at` is in trio's clock."""

    __slots__ = ("granted_at", "overdue", "released", "waiter")

    def __init__(self, waiter: Waiter, granted_at: float) -> None:
        self.waiter = waiter
        self.granted_at = granted_at
        self.released = False
        # An overdue slot no longer counts towards the limit.
        self.overdue = False


class FairScheduler:
    """Shares one instance's slots between organisations by weight and measured service time."""

    def __init__(self, slot_share: float, settings: SchedulerSettings | None = None) -> None:
        self._settings = settings or SchedulerSettings()
        self._limit = AdaptiveLimit(slot_share, self._settings.limit_factor)
        self._queue = FairQueue(self._settings.initial_estimate_s, self._settings.burst_credit_s)
        self._in_flight = 0
        self._held_slots: set[Slot] = set()

    @property
    def limit(self) -> int:
        """Return the number of requests that may be in flight now."""
        return self._limit.value

    @property
    def in_flight(self) -> int:
        """Return the number of requests that hold a slot, excluding overdue ones."""
        return self._in_flight

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    @property
    def load(self) -> float:
        """Return requests in flight or waiting per available slot; 1.0 means full use."""
        return (self._in_flight + len(self._queue)) / self._limit.value

    def set_slot_share(self, slot_share: float) -> None:
        """Change this VM's share of the instance's slots."""
        self._limit.set_share(slot_share)
        self._dispatch_waiters()

    @asynccontextmanager
    async def slot(
        self, organisation: str, weight: float, request_class: RequestClass, deadline: float
    ) -> AsyncIterator[Slot]:
        """Hold a slot for the duration of a block; raises OverloadedError."""
        slot = await self.acquire(organisation, weight, request_class, deadline)
        try:
            yield slot
        finally:
            self.release(slot)

    async def acquire(
        self, organisation: str, weight: float, request_class: RequestClass, deadline: float
    ) -> Slot:
        """Wait for a slot until `deadline`, in trio's clock.

        Raises OverloadedError if the queue is full, a more urgent request displaces this one or
        the deadline cannot be met.
        """
        waiter = Waiter(organisation, request_class, deadline)
        self._queue.set_weight(organisation, weight)
        now = trio.current_time()
        if not len(self._queue) and self._in_flight < self._limit.value and now < deadline:
            self._queue.serve_immediately(waiter)
            self._in_flight += 1
            return self._grant_slot(waiter, now)
        self._check_admission(waiter)
        self._queue.push(waiter)
        self._dispatch_waiters()
        if waiter.granted:
            # Avoids a cancel scope, which costs about 30 µs.
            return self._grant_slot(waiter, waiter.granted_at)
        try:
            with trio.move_on_at(deadline):
                await waiter.event.wait()
        except trio.Cancelled:
            self._cancel_request(waiter)
            raise
        if waiter.granted:
            return self._grant_slot(waiter, waiter.granted_at)
        if waiter.displaced:
            raise self._build_rejection(waiter, "a more urgent request took the place in the queue")
        self._queue.remove(waiter)
        raise self._build_rejection(waiter, "no slot became available before the deadline")

    def release(self, slot: Slot, *, observe_latency: bool = True) -> None:
        """Release a slot and charge its service time to the organisation.

        Pass `observe_latency=False` if the time does not reflect the instance's latency, as for
        an interactive transaction, whose duration depends on the caller.
        """
        if slot.released:
            return
        slot.released = True
        self._held_slots.discard(slot)
        elapsed_s = trio.current_time() - slot.granted_at
        if not slot.overdue:
            self._in_flight -= 1
        self._queue.charge(slot.waiter, elapsed_s)
        if observe_latency:
            saturated = len(self._queue) > 0
            self._limit.observe(slot.waiter.flow_key, elapsed_s, saturated=saturated)
        self._dispatch_waiters()

    def release_overdue(self, limit_s: float) -> None:
        """Grant slots held for longer than `limit_s` seconds to other requests.

        Otherwise an unresponsive connection would block its slot until the request's deadline.
        If statements are merely slow, the size of the connection pool still limits concurrency.
        """
        granted_before = trio.current_time() - limit_s
        overdue = [
            slot
            for slot in self._held_slots
            if slot.granted_at < granted_before and not slot.overdue
        ]
        for slot in overdue:
            slot.overdue = True
            self._in_flight -= 1
        if overdue:
            self._dispatch_waiters()

    def _grant_slot(self, waiter: Waiter, granted_at: float) -> Slot:
        slot = Slot(waiter, granted_at)
        self._held_slots.add(slot)
        return slot

    def _check_admission(self, waiter: Waiter) -> None:
        """Reject a request if it would wait too long or can displace none in a full queue."""
        # With no request of the organisation ahead, the expected wait is 0 and the request is
        # queued. Otherwise one slow statement could raise the average above every deadline, and
        # with all requests rejected no measurement would lower it again.
        wait_s = self._queue.expected_wait_s(waiter, self._limit.value)
        if trio.current_time() + wait_s > waiter.deadline:
            raise self._build_rejection(waiter, "the expected wait for a slot exceeds the deadline")
        if self._queue.waiting_count(waiter.organisation) >= self._settings.max_queued:
            displaced = self._queue.displace(waiter)
            if displaced is None:
                raise self._build_rejection(waiter, "the organisation's request queue is full")
            displaced.event.set()

    def _dispatch_waiters(self) -> None:
        while self._in_flight < self._limit.value:
            waiter = self._queue.pop(trio.current_time())
            if waiter is None:
                return
            self._in_flight += 1
            waiter.granted = True
            waiter.granted_at = trio.current_time()
            waiter.event.set()

    def _cancel_request(self, waiter: Waiter) -> None:
        if waiter.granted:
            self.release(self._grant_slot(waiter, waiter.granted_at))
        else:
            self._queue.remove(waiter)

    def _build_rejection(self, waiter: Waiter, message: str) -> OverloadedError:
        wait_s = self._queue.expected_wait_s(waiter, self._limit.value)
        retry_after_s = max(MIN_RETRY_AFTER_S, math.ceil(wait_s * 1000) / 1000)
        return OverloadedError(message, retry_after_s=retry_after_s)
