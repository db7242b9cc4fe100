"""Start-time fair queueing between organisations and between the classes of each."""

from __future__ import annotations

from collections import deque

import trio

from .configuration import RequestClass

__all__ = ["FairQueue", "Waiter"]

# Shares of the classes within one organisation; every class has one, so none starves.
CLASS_WEIGHTS = {RequestClass.ORDERS: 16.0, RequestClass.STANDARD: 4.0, RequestClass.BROWSING: 1.0}
# Weight of the newest measurement in an organisation's average time in a slot.
COST_SMOOTHING = 0.1
MIN_WEIGHT = 1e-6


class Waiter:
    """One request that waits for a slot or holds one; `deadline` is in trio's clock."""

    __slots__ = (
        "deadline",
        "estimate_s",
        "event",
        "granted",
        "granted_at",
        "organisation",
        "request_class",
    )

    def __init__(self, organisation: str, request_class: RequestClass, deadline: float) -> None:
        self.organisation = organisation
        self.request_class = request_class
        self.deadline = deadline
        self.event = trio.Event()
        self.granted = False
        self.granted_at = 0.0
        self.estimate_s = 0.0

    @property
    def flow_key(self) -> tuple[str, RequestClass]:
        """Return the organisation and class, whose statements take similar time."""
        return self.organisation, self.request_class


class _ClassQueue:
    """Waiting requests of one class; `start_tag` is its virtual time within the organisation."""

    __slots__ = ("start_tag", "waiters", "weight")

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.start_tag = 0.0
        self.waiters: deque[Waiter] = deque()


class _Flow:
    """State of one organisation; `start_tag` is the virtual time up to which it was served."""

    __slots__ = (
        "average_cost_s",
        "class_virtual_time",
        "classes",
        "start_tag",
        "waiting_count",
        "weight",
    )

    def __init__(self, average_cost_s: float) -> None:
        self.weight = 1.0
        self.start_tag = 0.0
        self.average_cost_s = average_cost_s
        self.class_virtual_time = 0.0
        self.waiting_count = 0
        self.classes = {name: _ClassQueue(weight) for name, weight in CLASS_WEIGHTS.items()}

    def pop(self) -> Waiter:
        """Take the first request of the class that is furthest behind its share."""
        backlogged = [queue for queue in self.classes.values() if queue.waiters]
        queue = min(backlogged, key=lambda queue: max(queue.start_tag, self.class_virtual_time))
        self.advance_virtual_time(queue)
        return queue.waiters.popleft()

    def advance_virtual_time(self, queue: _ClassQueue) -> None:
        queue.start_tag = max(queue.start_tag, self.class_virtual_time)
        self.class_virtual_time = queue.start_tag

    def charge_cost(self, waiter: Waiter, cost_s: float) -> None:
        self.start_tag += cost_s / self.weight
        queue = self.classes[waiter.request_class]
        queue.start_tag += cost_s / queue.weight


class FairQueue:
    """Waiting requests of all organisations, ordered by virtual time."""

    def __init__(self, initial_estimate_s: float, burst_credit_s: float) -> None:
        self._burst_credit_s = burst_credit_s
        self._initial_estimate_s = initial_estimate_s
        self._flows: dict[str, _Flow] = {}
        # The flows with waiting requests, so that idle organisations cost nothing.
        self._backlogged: dict[str, _Flow] = {}
        self._virtual_time = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def set_weight(self, organisation: str, weight: float) -> None:
        """Set the weight that the organisation's next charges are divided by."""
        self._get_flow(organisation).weight = max(weight, MIN_WEIGHT)

    def waiting_count(self, organisation: str) -> int:
        """Return the number of requests of an organisation that wait."""
        return self._get_flow(organisation).waiting_count

    def push(self, waiter: Waiter) -> None:
        """Add a request to the end of its class."""
        flow = self._get_flow(waiter.organisation)
        if not flow.waiting_count:
            self._limit_credit(flow)
            self._backlogged[waiter.organisation] = flow
        flow.classes[waiter.request_class].waiters.append(waiter)
        flow.waiting_count += 1
        self._length += 1

    def serve_immediately(self, waiter: Waiter) -> None:
        """Charge an estimate for a request that is served while nothing waits."""
        flow = self._get_flow(waiter.organisation)
        self._limit_credit(flow)
        flow.advance_virtual_time(flow.classes[waiter.request_class])
        self._charge_estimate(flow, waiter)

    def pop(self, now: float) -> Waiter | None:
        """Take the next request whose deadline has not passed, charging an estimate for it."""
        while self._length:
            flow = min(self._backlogged.values(), key=lambda each: each.start_tag)
            waiter = flow.pop()
            self._record_removal(waiter.organisation)
            if waiter.deadline <= now:
                continue
            self._charge_estimate(flow, waiter)
            return waiter
        return None

    def charge(self, waiter: Waiter, elapsed_s: float) -> None:
        """Replace the estimate by the measured time in the slot."""
        flow = self._get_flow(waiter.organisation)
        flow.charge_cost(waiter, elapsed_s - waiter.estimate_s)
        flow.average_cost_s += COST_SMOOTHING * (elapsed_s - flow.average_cost_s)

    def remove(self, waiter: Waiter) -> None:
        """Remove a request that gave up, if it still waits."""
        waiters = self._get_flow(waiter.organisation).classes[waiter.request_class].waiters
        if waiter in waiters:
            waiters.remove(waiter)
            self._record_removal(waiter.organisation)

    def displace(self, arriving: Waiter) -> Waiter | None:
        """Remove the newest request of a less urgent class of the same organisation."""
        classes = self._get_flow(arriving.organisation).classes
        for name in sorted(classes, reverse=True):
            if name > arriving.request_class and classes[name].waiters:
                displaced = classes[name].waiters.pop()
                self._record_removal(displaced.organisation)
                return displaced
        return None

    def expected_wait_s(self, waiter: Waiter, limit: int) -> float:
        """Estimate the wait from the requests ahead and the organisation's share of the slots."""
        flow = self._get_flow(waiter.organisation)
        ahead = sum(
            len(queue.waiters)
            for name, queue in flow.classes.items()
            if name <= waiter.request_class
        )
        others = sum(each.weight for each in self._backlogged.values() if each is not flow)
        return ahead * flow.average_cost_s * (flow.weight + others) / (flow.weight * limit)

    def _limit_credit(self, flow: _Flow) -> None:
        # A debt from earlier slow statements stays; credit for unused shares is bounded.
        flow.start_tag = max(flow.start_tag, self._virtual_time - self._burst_credit_s)

    def _charge_estimate(self, flow: _Flow, waiter: Waiter) -> None:
        self._virtual_time = max(self._virtual_time, flow.start_tag)
        waiter.estimate_s = flow.average_cost_s
        flow.charge_cost(waiter, waiter.estimate_s)

    def _record_removal(self, organisation: str) -> None:
        self._length -= 1
        flow = self._flows[organisation]
        flow.waiting_count -= 1
        if not flow.waiting_count:
            del self._backlogged[organisation]

    def _get_flow(self, organisation: str) -> _Flow:
        flow = self._flows.get(organisation)
        if flow is None:
            flow = self._flows[organisation] = _Flow(self._initial_estimate_s)
        return flow
