"""Start-time fair queueing between organisations, and between classes within each."""

from __future__ import annotations

from collections import deque

import trio

from .configuration import RequestClass

__all__ = ["FairQueue", "Waiter"]

# Weights of the classes within one organisation; all are positive, so no class starves.
CLASS_WEIGHTS = {RequestClass.ORDERS: 16.0, RequestClass.STANDARD: 4.0, RequestClass.BROWSING: 1.0}
# Weight of the latest measurement in an organisation's moving average of service times.
COST_SMOOTHING = 0.1
MIN_WEIGHT = 1e-6


class Waiter:
    """A request that waits for or holds a slot; times are in trio's clock."""

    __slots__ = (
        "deadline",
        "displaced",
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
        self.displaced = False
        self.event = trio.Event()
        self.granted = False
        self.granted_at = 0.0
        self.estimate_s = 0.0

    @property
    def flow_key(self) -> tuple[str, RequestClass]:
        """Return the organisation and class; their statements have similar service times."""
        return self.organisation, self.request_class


class _ClassQueue:
    """Waiting requests of one class; `start_tag` is the virtual start time of the next one."""

    __slots__ = ("start_tag", "waiters", "weight")

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.start_tag = 0.0
        self.waiters: deque[Waiter] = deque()


class _Flow:
    """State of one organisation; `start_tag` is the virtual start time of its next request."""

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
        """Remove and return the first request of the class that is furthest behind its share."""
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
    """Waiting requests of all organisations, ordered by virtual start time."""

    def __init__(self, initial_estimate_s: float, burst_credit_s: float) -> None:
        self._burst_credit_s = burst_credit_s
        self._initial_estimate_s = initial_estimate_s
        self._flows: dict[str, _Flow] = {}
        # Flows with waiting requests; idle organisations add no work to pop().
        self._backlogged: dict[str, _Flow] = {}
        self._virtual_time = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def set_weight(self, organisation: str, weight: float) -> None:
        """Set the weight by which the organisation's next charges are divided."""
        self._get_flow(organisation).weight = max(weight, MIN_WEIGHT)

    def waiting_count(self, organisation: str) -> int:
        """Return the number of an organisation's waiting requests."""
        return self._get_flow(organisation).waiting_count

    def push(self, waiter: Waiter) -> None:
        """Append a request to the queue of its class."""
        flow = self._get_flow(waiter.organisation)
        if not flow.waiting_count:
            self._limit_credit(flow)
            self._backlogged[waiter.organisation] = flow
        flow.classes[waiter.request_class].waiters.append(waiter)
        flow.waiting_count += 1
        self._length += 1

    def serve_immediately(self, waiter: Waiter) -> None:
        """Charge the estimated service time of a request that bypasses the empty queue."""
        flow = self._get_flow(waiter.organisation)
        self._limit_credit(flow)
        flow.advance_virtual_time(flow.classes[waiter.request_class])
        self._charge_estimate(flow, waiter)

    def pop(self, now: float) -> Waiter | None:
        """Remove and return the next unexpired request and charge its estimated service time."""
        while self._length:
            flow = min(self._backlogged.values(), key=lambda flow: flow.start_tag)
            waiter = flow.pop()
            self._record_removal(waiter.organisation)
            if waiter.deadline <= now:
                continue
            self._charge_estimate(flow, waiter)
            return waiter
        return None

    def charge(self, waiter: Waiter, elapsed_s: float) -> None:
        """Replace the charged estimate with the measured service time."""
        flow = self._get_flow(waiter.organisation)
        flow.charge_cost(waiter, elapsed_s - waiter.estimate_s)
        flow.average_cost_s += COST_SMOOTHING * (elapsed_s - flow.average_cost_s)

    def remove(self, waiter: Waiter) -> None:
        """Remove a cancelled or expired request if it is still queued."""
        waiters = self._get_flow(waiter.organisation).classes[waiter.request_class].waiters
        if waiter in waiters:
            waiters.remove(waiter)
            self._record_removal(waiter.organisation)

    def displace(self, arriving: Waiter) -> Waiter | None:
        """Remove and return the newest request of the organisation's least urgent class.

        Returns None if no class less urgent than that of `arriving` has waiting requests.
        """
        classes = self._get_flow(arriving.organisation).classes
        for name in sorted(classes, reverse=True):
            if name > arriving.request_class and classes[name].waiters:
                displaced = classes[name].waiters.pop()
                displaced.displaced = True
                self._record_removal(displaced.organisation)
                return displaced
        return None

    def expected_wait_s(self, waiter: Waiter, limit: int) -> float:
        """Estimate the wait from the queued requests and the organisation's share of the slots."""
        flow = self._get_flow(waiter.organisation)
        requests_ahead = sum(
            len(queue.waiters)
            for name, queue in flow.classes.items()
            if name <= waiter.request_class
        )
        other_weights = sum(
            other.weight for other in self._backlogged.values() if other is not flow
        )
        return (
            requests_ahead
            * flow.average_cost_s
            * (flow.weight + other_weights)
            / (flow.weight * limit)
        )

    def _limit_credit(self, flow: _Flow) -> None:
        # Debt from earlier slow statements is kept; credit for an unused share is limited.
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
