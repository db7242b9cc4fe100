"""The fair scheduler: shares, classes, load shedding and the concurrency limit."""

from __future__ import annotations

import math
import random
from collections import defaultdict
from typing import Any, NamedTuple

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from support import TestCase, trio_test
from tanagerfront.adaptive_limit import AdaptiveLimit
from tanagerfront.configuration import RequestClass
from tanagerfront.errors import OverloadedError
from tanagerfront.scheduler import FairScheduler, SchedulerSettings

ORDERS, STANDARD, BROWSING = RequestClass
FIXED_LIMIT = SchedulerSettings(limit_factor=1.0)


class Tenant(NamedTuple):
    name: str
    rate: float
    cost_s: float = 0.005
    weight: float = 1.0
    request_class: RequestClass = STANDARD


class Workload:
    """Sends requests to one scheduler and records service times and latencies."""

    def __init__(self, scheduler: FairScheduler, timeout_s: float = 2.0) -> None:
        self.scheduler = scheduler
        self.timeout_s = timeout_s
        self.served_s: dict[str, float] = defaultdict(float)
        self.latencies: dict[str, list[float]] = defaultdict(list)
        self.rejected: dict[str, int] = defaultdict(int)
        self.service_order: list[str] = []

    async def request(self, tenant: Tenant) -> None:
        start = trio.current_time()
        slot_request = (tenant.name, tenant.weight, tenant.request_class, start + self.timeout_s)
        try:
            async with self.scheduler.slot(*slot_request):
                self.service_order.append(tenant.name)
                await trio.sleep(tenant.cost_s)
                self.served_s[tenant.name] += tenant.cost_s
            self.latencies[tenant.name].append(trio.current_time() - start)
        except OverloadedError:
            self.rejected[tenant.name] += 1

    async def send(self, tenant: Tenant, seed: int, until: float) -> None:
        rng = random.Random(seed)
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                await trio.sleep(rng.expovariate(tenant.rate))
                nursery.start_soon(self.request, tenant)

    def latency_quantile(self, name: str, fraction: float) -> float:
        ordered = sorted(self.latencies[name])
        return ordered[math.ceil(fraction * len(ordered)) - 1]


async def run_workload(tenants: list[Tenant], seconds: float, slots: int = 2) -> Workload:
    workload = Workload(FairScheduler(slots, FIXED_LIMIT))
    async with trio.open_nursery() as nursery:
        for seed, tenant in enumerate(tenants):
            nursery.start_soon(workload.send, tenant, seed, trio.current_time() + seconds)
    return workload


async def send_back_to_back(workload: Workload, tenant: Tenant, until: float) -> None:
    while trio.current_time() < until:
        await workload.request(tenant)


class SchedulerTest(TestCase):
    tenants = st.tuples(st.sampled_from((1.0, 2.0, 4.0)), st.sampled_from((0.002, 0.01, 0.05)))

    @settings(max_examples=15, deadline=None)
    @given(st.lists(tenants, min_size=2, max_size=4), st.integers(1, 3))
    def test_service_time_follows_weights_regardless_of_statement_cost(
        self, weights_and_costs: list[tuple[float, float]], slots: int
    ) -> None:
        # Guards against an organisation that exceeds its share because its statements are slow.
        async def main() -> None:
            workload = Workload(FairScheduler(slots, FIXED_LIMIT), timeout_s=100)
            tenants = [Tenant(str(i), 0, c, w) for i, (w, c) in enumerate(weights_and_costs)]
            async with trio.open_nursery() as nursery:
                for tenant in tenants:
                    for _ in range(4 * slots):
                        nursery.start_soon(send_back_to_back, workload, tenant, 8.0)
                await trio.sleep(7)
                shares = [workload.served_s[tenant.name] / tenant.weight for tenant in tenants]
                nursery.cancel_scope.cancel()
            tolerance_s = 2 * (slots + 1) * max(tenant.cost_s / tenant.weight for tenant in tenants)
            self.assertLessEqual(max(shares) - min(shares), tolerance_s + 0.02 * max(shares))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    @trio_test(mock_clock=True, timeout_s=1000)
    async def test_five_times_the_rate_of_one_organisation_does_not_slow_the_others(self) -> None:
        # Guards against an organisation that starves others by sending five times its usual rate.
        calm = [Tenant(f"calm-{number}", 30) for number in range(7)]
        before = await run_workload([Tenant("loud", 60), *calm], 20)
        during = await run_workload([Tenant("loud", 300), *calm], 20)
        for name in (tenant.name for tenant in calm):
            self.assertEqual(0, during.rejected[name])
            throughput_ratio = len(during.latencies[name]) / len(before.latencies[name])
            self.assertGreaterEqual(throughput_ratio, 0.95)
            latency_ratio = during.latency_quantile(name, 0.99) / before.latency_quantile(
                name, 0.99
            )
            self.assertLessEqual(latency_ratio, 1.5)

    @trio_test(mock_clock=True)
    async def test_least_urgent_class_is_served_while_orders_wait(self) -> None:
        # Guards against browsing requests that starve, and against browsing that delays orders.
        workload = Workload(FairScheduler(1), timeout_s=100)
        async with trio.open_nursery() as nursery:
            for request_class in RequestClass:
                tenant = Tenant("one", 0, 0.005, 1.0, request_class)
                for _ in range(6):
                    nursery.start_soon(self._send_and_record_class, workload, tenant)
            await trio.sleep(10)
            nursery.cancel_scope.cancel()
        counts = [
            workload.service_order.count(request_class.name) for request_class in RequestClass
        ]
        self.assertGreater(counts[2], 0.03 * sum(counts))
        self.assertGreater(counts[0], 3 * counts[1])

    async def _send_and_record_class(self, workload: Workload, tenant: Tenant) -> None:
        slot_request = (tenant.name, 1.0, tenant.request_class)
        while True:
            async with workload.scheduler.slot(*slot_request, trio.current_time() + 100):
                workload.service_order.append(tenant.request_class.name)
                await trio.sleep(tenant.cost_s)

    @trio_test(mock_clock=True)
    async def test_request_that_cannot_meet_its_deadline_is_rejected_at_once(self) -> None:
        # Guards against requests that wait until their deadline only to be rejected.
        workload = Workload(FairScheduler(1), timeout_s=10)
        async with trio.open_nursery() as nursery:
            for _ in range(80):
                nursery.start_soon(workload.request, Tenant("one", 0, 0.1))
            await trio.sleep(3)
            started = trio.current_time()
            with self.assertRaises(OverloadedError) as caught:
                await workload.scheduler.acquire("one", 1, STANDARD, started + 0.3)
            self.assertEqual(started, trio.current_time())
            self.assertEqual("no", caught.exception.executed)
            self.assertGreater(caught.exception.retry_after_s or 0, 0.3)
            # An organisation with an empty queue is still served.
            slot = await workload.scheduler.acquire("two", 1, STANDARD, started + 0.3)
            workload.scheduler.release(slot)

    @trio_test(mock_clock=True, timeout_s=1000)
    async def test_one_slow_statement_does_not_lock_its_organisation_out(self) -> None:
        # Guards against an average service time that one slow statement raises above every
        # deadline, after which all requests are rejected and the average never falls.
        workload = Workload(FairScheduler(1), timeout_s=0.5)
        await workload.request(Tenant("one", 0, 60))
        for _ in range(3):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(workload.request, Tenant("two", 0, 0.1))
                await trio.sleep(0.01)
                nursery.start_soon(workload.request, Tenant("one", 0, 0.01))
        self.assertEqual(
            (4, 3), (workload.service_order.count("one"), workload.service_order.count("two"))
        )

    @trio_test(mock_clock=True)
    async def test_idle_time_earns_a_bounded_credit(self) -> None:
        # Guards against an organisation that, after being idle, blocks another for as long.
        workload = Workload(FairScheduler(1, FIXED_LIMIT), timeout_s=100)
        for _ in range(400):
            await workload.request(Tenant("busy", 0))
        workload.service_order.clear()
        async with trio.open_nursery() as nursery:
            for name in ("idle", "busy"):
                for _ in range(30):
                    nursery.start_soon(workload.request, Tenant(name, 0))
        self.assertGreaterEqual(workload.service_order[:30].count("busy"), 10)

    @trio_test(mock_clock=True)
    async def test_more_urgent_request_displaces_another_in_a_full_queue(self) -> None:
        # Guards against an unbounded queue, and against browsing that keeps orders out of it.
        scheduler = FairScheduler(1, SchedulerSettings(max_queued=2))
        workload = Workload(scheduler, timeout_s=5)
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(workload.request, Tenant("one", 0, 0.1, 1.0, BROWSING))
                await trio.sleep(0.001)
            self.assertEqual((2, 1), (scheduler.queued, workload.rejected["one"]))
            scheduler.release(await scheduler.acquire("one", 1, ORDERS, trio.current_time() + 5))
        self.assertEqual((2, 2), (workload.rejected["one"], len(workload.service_order)))

    @trio_test(mock_clock=True)
    async def test_displaced_request_learns_why(self) -> None:
        # Guards against a displaced request that is told that its deadline has passed, which hides
        # from its caller that a more urgent class fills the queue.
        scheduler = FairScheduler(1, SchedulerSettings(max_queued=1))
        reasons: list[str] = []

        async def browse(deadline: float) -> None:
            try:
                await scheduler.acquire("one", 1, BROWSING, deadline)
            except OverloadedError as error:
                reasons.append(str(error))

        slot = await scheduler.acquire("one", 1, ORDERS, trio.current_time() + 5)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(browse, trio.current_time() + 5)
            await trio.sleep(0.01)
            nursery.start_soon(scheduler.acquire, "one", 1, ORDERS, trio.current_time() + 5)
            await trio.sleep(0.01)
            scheduler.release(slot)
        self.assertEqual(["a more urgent request took the place in the queue"], reasons)

    @trio_test(mock_clock=True)
    async def test_request_that_is_rejected_displaces_none(self) -> None:
        # Guards against a request that is displaced in vain, by one that is itself rejected because
        # its deadline can't be met.
        scheduler = FairScheduler(1, SchedulerSettings(max_queued=2))
        workload = Workload(scheduler, timeout_s=60)
        async with trio.open_nursery() as nursery:
            for request_class in (ORDERS, ORDERS, BROWSING):
                nursery.start_soon(workload.request, Tenant("one", 0, 1.0, 1.0, request_class))
                await trio.sleep(0.001)
            with self.assertRaises(OverloadedError):
                await scheduler.acquire("one", 1, ORDERS, trio.current_time() + 0.001)
            self.assertEqual(2, scheduler.queued)
        self.assertEqual(0, workload.rejected["one"])

    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.tuples(st.floats(0, 0.03), st.floats(0, 0.03)), max_size=20))
    def test_cancelled_requests_release_their_slots(self, users: list[tuple[float, float]]) -> None:
        # Guards against slots that leak when a request is cancelled while it waits or runs.
        async def main() -> None:
            workload = Workload(FairScheduler(1))

            async def cancelled_request(start_s: float, cancel_after_s: float) -> None:
                await trio.sleep(start_s)
                with trio.move_on_after(cancel_after_s):
                    await workload.request(Tenant("one", 0, 0.01))

            async with trio.open_nursery() as nursery:
                for start_s, cancel_after_s in users:
                    nursery.start_soon(cancelled_request, start_s, cancel_after_s)
            self.assertEqual((0, 0), (workload.scheduler.in_flight, workload.scheduler.queued))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_limit_follows_latency_within_its_bounds(self) -> None:
        # Guards against a limit that overloads the instance or leaves its slots idle.
        limit = AdaptiveLimit(2)
        self.assertEqual(2, limit.value)
        self._observe(limit, 0.005, saturated=False)
        self.assertEqual(2, limit.value)
        self._observe(limit, 0.005, saturated=True)
        self.assertEqual(4, limit.value)
        self._observe(limit, 0.02, saturated=True)
        self.assertEqual(2, limit.value)
        self.assertEqual(1, AdaptiveLimit(0.2).value)

    def _observe(self, limit: AdaptiveLimit, elapsed_s: float, **options: Any) -> None:
        for _ in range(100):
            limit.observe("one", elapsed_s, **options)


class OverdueTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_overdue_slot_lets_the_next_request_run(self) -> None:
        # Guards against an unresponsive connection that blocks all queued requests until its
        # request's deadline.
        scheduler = FairScheduler(1)
        limit = scheduler.limit
        overdue = [
            await scheduler.acquire("org", 1, RequestClass.ORDERS, trio.current_time() + 9)
            for _ in range(limit)
        ]
        granted = trio.Event()

        async def next_request() -> None:
            slot = await scheduler.acquire("org", 1, RequestClass.ORDERS, trio.current_time() + 9)
            granted.set()
            scheduler.release(slot)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(next_request)
            await trio.sleep(0.2)
            scheduler.release_overdue(0.25)
            await trio.testing.wait_all_tasks_blocked()
            self.assertFalse(granted.is_set())
            await trio.sleep(0.1)
            scheduler.release_overdue(0.25)
            await granted.wait()
        for slot in overdue:
            scheduler.release(slot)
        self.assertEqual(0, scheduler.in_flight)
