"""Weighted fair queue in front of an instance's slots."""

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
    """Settings of one scheduler."""

    # Requests that one organisation may have waiting in front of one instance.
    max_queued: int = 256
    # Estimate of a statement's time in the slot before the first measurement, in seconds.
    initial_estimate_s: float = 0.005
    # Time in the slots that an organisation of weight 1 may catch up on after it used less than
    # its share. Without credit, a short burst waits behind an organisation that sends too much.
    burst_credit_s: float = 0.02
    # Upper bound of the work in flight as a multiple of this VM's share of the slots.
    limit_factor: float = 2.0


class Slot:
    """Permission for one request to use the instance; `granted_at` is in trio's clock."""

    __slots__ = ("granted_at", "overdue", "released", "waiter")

    def __init__(self, waiter: Waiter, granted_at: float) -> None:
        self.waiter = waiter
        self.granted_at = granted_at
        self.released = False
        # Another request may use the instance in place of this one.
        self.overdue = False


class FairScheduler:
    """Share the slots of one instance between organisations by weight and measured time."""

    def __init__(self, slot_share: float, settings: SchedulerSettings | None = None) -> None:
        self._settings = settings or SchedulerSettings()
        self._limit = AdaptiveLimit(slot_share, self._settings.limit_factor)
        self._queue = FairQueue(self._settings.initial_estimate_s, self._settings.burst_credit_s)
        self._in_flight = 0
        self._held_slots: set[Slot] = set()

    @property
    def limit(self) -> int:
        """Return how many requests may be in flight now."""
        return self._limit.value

    @property
    def in_flight(self) -> int:
        """Return the number of requests that hold a slot."""
        return self._in_flight

    @property
    def queued(self) -> int:
        """Return the number of requests that wait."""
        return len(self._queue)

    @property
    def load(self) -> float:
        """Return the work in flight and waiting per slot, 1.0 when the slots are full."""
        return (self._in_flight + len(self._queue)) / self._limit.value

    def set_slot_share(self, slot_share: float) -> None:
        """Change this VM's share of the instance's slots."""
        self._limit.set_share(slot_share)
        self._dispatch()

    @asynccontextmanager
    async def slot(
        self, organisation: str, weight: float, request_class: RequestClass, deadline: float
    ) -> AsyncIterator[Slot]:
        """Hold a slot for a block; raises OverloadedError."""
        slot = await self.acquire(organisation, weight, request_class, deadline)
        try:
            yield slot
        finally:
            self.release(slot)

    async def acquire(
        self, organisation: str, weight: float, request_class: RequestClass, deadline: float
    ) -> Slot:
        """Wait for a slot; raises OverloadedError when the deadline cannot be met."""
        waiter = Waiter(organisation, request_class, deadline)
        self._queue.set_weight(organisation, weight)
        now = trio.current_time()
        if not len(self._queue) and self._in_flight < self._limit.value and now < deadline:
            self._queue.serve_immediately(waiter)
            self._in_flight += 1
            return self._grant_slot(waiter, now)
        self._admit(waiter)
        self._queue.push(waiter)
        self._dispatch()
        if waiter.granted:
            # A free slot needs no wait, and a scope for one costs about 30 µs.
            return self._grant_slot(waiter, waiter.granted_at)
        try:
            with trio.move_on_at(deadline):
                await waiter.event.wait()
        except trio.Cancelled:
            self._cancel_request(waiter)
            raise
        if waiter.granted:
            return self._grant_slot(waiter, waiter.granted_at)
        self._queue.remove(waiter)
        raise self._overloaded(waiter, "no slot became free before the deadline")

    def release(self, slot: Slot, *, observe_latency: bool = True) -> None:
        """Return a slot and charge its time to the organisation.

        Without `observe_latency` the time is no measure of the instance's latency, such as that
        of an interactive transaction, which depends on the caller.
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
        self._dispatch()

    def release_overdue(self, limit_s: float) -> None:
        """Let other requests run in place of those that have held a slot for `limit_s` seconds.

        A connection that went silent would otherwise block the slot until its request's deadline.
        The sessions of the pool still bound what is in flight when statements are only slow.
        """
        since = trio.current_time() - limit_s
        overdue = [
            slot for slot in self._held_slots if slot.granted_at < since and not slot.overdue
        ]
        for slot in overdue:
            slot.overdue = True
            self._in_flight -= 1
        if overdue:
            self._dispatch()

    def _grant_slot(self, waiter: Waiter, granted_at: float) -> Slot:
        slot = Slot(waiter, granted_at)
        self._held_slots.add(slot)
        return slot

    def _admit(self, waiter: Waiter) -> None:
        """Refuse a request that its queue has no room for or that would wait too long."""
        if self._queue.waiting_count(waiter.organisation) >= self._settings.max_queued:
            displaced = self._queue.displace(waiter)
            if displaced is None:
                raise self._overloaded(waiter, "the organisation's queue is full")
            displaced.event.set()
        # With nothing of the organisation ahead a request is always tried: an average that one
        # slow statement has raised could otherwise refuse everything and never be corrected.
        wait_s = self._queue.expected_wait_s(waiter, self._limit.value)
        if trio.current_time() + wait_s > waiter.deadline:
            raise self._overloaded(waiter, "the expected wait for a slot exceeds the deadline")

    def _dispatch(self) -> None:
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

    def _overloaded(self, waiter: Waiter, message: str) -> OverloadedError:
        wait_s = self._queue.expected_wait_s(waiter, self._limit.value)
        retry_after_s = max(MIN_RETRY_AFTER_S, math.ceil(wait_s * 1000) / 1000)
        return OverloadedError(message, retry_after_s=retry_after_s)
