"""The fair queue: shares, classes, shedding and the limit of work in flight."""

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
FIXED = SchedulerSettings(limit_factor=1.0)


class Tenant(NamedTuple):
    name: str
    rate: float
    cost_s: float = 0.005
    weight: float = 1.0
    request_class: RequestClass = STANDARD


class Trial:
    """Sends requests to one scheduler and records times in the slot and latencies."""

    def __init__(self, scheduler: FairScheduler, timeout_s: float = 2.0) -> None:
        self.scheduler = scheduler
        self.timeout_s = timeout_s
        self.served_s: dict[str, float] = defaultdict(float)
        self.latencies: dict[str, list[float]] = defaultdict(list)
        self.refused: dict[str, int] = defaultdict(int)
        self.order: list[str] = []

    async def request(self, tenant: Tenant) -> None:
        start = trio.current_time()
        place = (tenant.name, tenant.weight, tenant.request_class, start + self.timeout_s)
        try:
            async with self.scheduler.slot(*place):
                self.order.append(tenant.name)
                await trio.sleep(tenant.cost_s)
                self.served_s[tenant.name] += tenant.cost_s
            self.latencies[tenant.name].append(trio.current_time() - start)
        except OverloadedError:
            self.refused[tenant.name] += 1

    async def send(self, tenant: Tenant, seed: int, until: float) -> None:
        rng = random.Random(seed)
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                await trio.sleep(rng.expovariate(tenant.rate))
                nursery.start_soon(self.request, tenant)

    def percentile(self, name: str, share: float) -> float:
        ordered = sorted(self.latencies[name])
        return ordered[math.ceil(share * len(ordered)) - 1]


async def trial(tenants: list[Tenant], seconds: float, slots: int = 2) -> Trial:
    result = Trial(FairScheduler(slots, FIXED))
    async with trio.open_nursery() as nursery:
        for seed, tenant in enumerate(tenants):
            nursery.start_soon(result.send, tenant, seed, trio.current_time() + seconds)
    return result


async def keep_busy(result: Trial, tenant: Tenant, until: float) -> None:
    while trio.current_time() < until:
        await result.request(tenant)


class SchedulerTest(TestCase):
    tenants = st.tuples(st.sampled_from((1.0, 2.0, 4.0)), st.sampled_from((0.002, 0.01, 0.05)))

    @settings(max_examples=15, deadline=None)
    @given(st.lists(tenants, min_size=2, max_size=4), st.integers(1, 3))
    def test_service_follows_weights_whatever_statements_cost(
        self, chosen: list[tuple[float, float]], slots: int
    ) -> None:
        # Guards against an organisation with slow statements that gets more than its share.
        async def main() -> None:
            result = Trial(FairScheduler(slots, FIXED), timeout_s=100)
            named = [Tenant(str(i), 0, c, w) for i, (w, c) in enumerate(chosen)]
            async with trio.open_nursery() as nursery:
                for each in named:
                    for _ in range(4 * slots):
                        nursery.start_soon(keep_busy, result, each, 8.0)
                await trio.sleep(7)
                shares = [result.served_s[each.name] / each.weight for each in named]
                nursery.cancel_scope.cancel()
            slack = 2 * (slots + 1) * max(each.cost_s / each.weight for each in named)
            self.assertLessEqual(max(shares) - min(shares), slack + 0.02 * max(shares))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    @trio_test(mock_clock=True, timeout_s=1000)
    async def test_five_times_the_rate_does_not_slow_the_others(self) -> None:
        # Guards against an organisation that starves others by sending five times its rate.
        calm = [Tenant(f"calm-{number}", 30) for number in range(7)]
        before = await trial([Tenant("loud", 60), *calm], 20)
        during = await trial([Tenant("loud", 300), *calm], 20)
        for each in (tenant.name for tenant in calm):
            self.assertEqual(0, during.refused[each])
            kept = len(during.latencies[each]) / len(before.latencies[each])
            self.assertGreaterEqual(kept, 0.95)
            slowed = during.percentile(each, 0.99) / before.percentile(each, 0.99)
            self.assertLessEqual(slowed, 1.5)

    @trio_test(mock_clock=True)
    async def test_last_class_is_served_while_orders_wait(self) -> None:
        # Guards against browsing that never runs, and against browsing that delays orders.
        result = Trial(FairScheduler(1), timeout_s=100)
        async with trio.open_nursery() as nursery:
            for request_class in RequestClass:
                each = Tenant("one", 0, 0.005, 1.0, request_class)
                for _ in range(6):
                    nursery.start_soon(self._count_class, result, each)
            await trio.sleep(10)
            nursery.cancel_scope.cancel()
        counts = [result.order.count(name.name) for name in RequestClass]
        self.assertGreater(counts[2], 0.03 * sum(counts))
        self.assertGreater(counts[0], 3 * counts[1])

    async def _count_class(self, result: Trial, tenant: Tenant) -> None:
        place = (tenant.name, 1.0, tenant.request_class)
        while True:
            async with result.scheduler.slot(*place, trio.current_time() + 100):
                result.order.append(tenant.request_class.name)
                await trio.sleep(tenant.cost_s)

    @trio_test(mock_clock=True)
    async def test_request_without_a_chance_is_shed_early(self) -> None:
        # Guards against requests that wait for their whole deadline only to be refused.
        result = Trial(FairScheduler(1), timeout_s=10)
        async with trio.open_nursery() as nursery:
            for _ in range(80):
                nursery.start_soon(result.request, Tenant("one", 0, 0.1))
            await trio.sleep(3)
            started = trio.current_time()
            with self.assertRaises(OverloadedError) as caught:
                await result.scheduler.acquire("one", 1, STANDARD, started + 0.3)
            self.assertEqual(started, trio.current_time())
            self.assertEqual("no", caught.exception.executed)
            self.assertGreater(caught.exception.retry_after_s or 0, 0.3)
            # An organisation that does not wait behind that queue is served.
            slot = await result.scheduler.acquire("two", 1, STANDARD, started + 0.3)
            result.scheduler.release(slot)

    @trio_test(mock_clock=True, timeout_s=1000)
    async def test_one_slow_statement_does_not_close_the_organisation_out(self) -> None:
        # Guards against an average above every deadline, after which nothing is tried again.
        result = Trial(FairScheduler(1), timeout_s=0.5)
        await result.request(Tenant("one", 0, 60))
        for _ in range(3):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(result.request, Tenant("two", 0, 0.1))
                await trio.sleep(0.01)
                nursery.start_soon(result.request, Tenant("one", 0, 0.01))
        self.assertEqual((4, 3), (result.order.count("one"), result.order.count("two")))

    @trio_test(mock_clock=True)
    async def test_idle_time_earns_only_the_bounded_credit(self) -> None:
        # Guards against an organisation that stops another for as long as it was idle before.
        result = Trial(FairScheduler(1, FIXED), timeout_s=100)
        for _ in range(400):
            await result.request(Tenant("busy", 0))
        result.order.clear()
        async with trio.open_nursery() as nursery:
            for name in ("idle", "busy"):
                for _ in range(30):
                    nursery.start_soon(result.request, Tenant(name, 0))
        self.assertGreaterEqual(result.order[:30].count("busy"), 10)

    @trio_test(mock_clock=True)
    async def test_full_queue_gives_way_to_more_urgent_requests(self) -> None:
        # Guards against an unbounded queue, and against browsing that locks orders out of it.
        scheduler = FairScheduler(1, SchedulerSettings(max_queued=2))
        result = Trial(scheduler, timeout_s=5)
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(result.request, Tenant("one", 0, 0.1, 1.0, BROWSING))
                await trio.sleep(0.001)
            self.assertEqual((2, 1), (scheduler.queued, result.refused["one"]))
            scheduler.release(await scheduler.acquire("one", 1, ORDERS, trio.current_time() + 5))
        self.assertEqual((2, 2), (result.refused["one"], len(result.order)))

    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.tuples(st.floats(0, 0.03), st.floats(0, 0.03)), max_size=20))
    def test_cancelled_requests_return_their_slots(self, users: list[tuple[float, float]]) -> None:
        # Guards against slots that leak when a caller goes away while it waits or runs.
        async def main() -> None:
            result = Trial(FairScheduler(1))

            async def impatient(start_s: float, patience_s: float) -> None:
                await trio.sleep(start_s)
                with trio.move_on_after(patience_s):
                    await result.request(Tenant("one", 0, 0.01))

            async with trio.open_nursery() as nursery:
                for start_s, patience_s in users:
                    nursery.start_soon(impatient, start_s, patience_s)
            self.assertEqual((0, 0), (result.scheduler.in_flight, result.scheduler.queued))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_limit_follows_latency_within_its_bounds(self) -> None:
        # Guards against a limit that overloads the instance or leaves its slots unused.
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
        # Guards against a silent connection that blocks all requests behind it until its deadline.
        scheduler = FairScheduler(1)
        limit = scheduler.limit
        silent = [
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
        for slot in silent:
            scheduler.release(slot)
        self.assertEqual(0, scheduler.in_flight)
