"""Admission control for an instance's slots under overload."""

from __future__ import annotations

import trio

from support import TestCase, trio_test
from tanagerfront.errors import OverloadedError
from tanagerfront.session_model import Urgency
from tanagerfront.slot_admission import MAX_WAIT_S, QueueCounts, SlotAdmission, UrgencyOrder
from tanagerfront.slot_queue import Refusal, SlotRequest

WORK_S = 0.015
SLOTS = 3


async def offer(slots: SlotAdmission, rate_per_s: float, seconds: float) -> tuple[list[float], int]:
    """Offer statements at a rate; return latencies and how many statements were refused."""
    latencies: list[float] = []
    refused = 0

    async def statement() -> None:
        nonlocal refused
        started = trio.current_time()
        try:
            admitted_at = await slots.acquire()
        except OverloadedError:
            refused += 1
            return
        await trio.sleep(WORK_S)
        slots.release(admitted_at)
        latencies.append(trio.current_time() - started)

    async with trio.open_nursery() as nursery:
        for _ in range(int(rate_per_s * seconds)):
            nursery.start_soon(statement)
            await trio.sleep(1 / rate_per_s)
    return latencies, refused


class SlotAdmissionTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_load_within_the_slots_is_never_refused(self) -> None:
        _, refused = await offer(SlotAdmission(SLOTS), 150.0, 5.0)
        self.assertEqual(0, refused)

    @trio_test(mock_clock=True)
    async def test_twice_the_capacity_is_served_in_time_or_refused_at_once(self) -> None:
        # Guards against an overload that doesn't end: at the primary of klw-orders-grown, with both
        # replicas lagging and no admission control, all statements (1,101) waited until their
        # callers' deadlines.
        slots = SlotAdmission(SLOTS)
        capacity = (SLOTS + 1) / WORK_S
        latencies, refused = await offer(slots, 2 * capacity, 4.0)
        self.assertGreater(len(latencies), 0.9 * capacity * 4)
        self.assertGreater(refused, 0)
        self.assertLessEqual(max(latencies), MAX_WAIT_S + 2 * WORK_S)

    @trio_test(mock_clock=True)
    async def test_it_recovers_as_soon_as_the_load_falls(self) -> None:
        slots = SlotAdmission(SLOTS)
        await offer(slots, 800.0, 2.0)
        # Their service times must not inflate the expected wait of later statements.
        for _ in range(SLOTS + 1):
            await slots.acquire()
        self.assertLessEqual(slots.expected_wait_s, MAX_WAIT_S)

    @trio_test(mock_clock=True)
    async def test_cancelled_statements_hold_no_slot(self) -> None:
        slots = SlotAdmission(0)
        admitted_at = await slots.acquire()
        with trio.move_on_after(0.05):
            await slots.acquire()
        slots.release(admitted_at)
        self.assertEqual(0.0, slots.expected_wait_s)

    @trio_test(mock_clock=True)
    async def test_statements_whose_replies_are_lost_release_their_slots(self) -> None:
        # Guards against refusals at an idle instance because a few replies never arrived
        # (hfva-harvest-grown trouble-1, 5 s).
        slots = SlotAdmission(SLOTS)
        unreleased = [await slots.acquire() for _ in range(SLOTS + 1)]
        await trio.sleep(1.0)
        latencies, refused = await offer(slots, 150.0, 2.0)
        self.assertEqual((300, 0), (len(latencies), refused))
        for admitted_at in unreleased:
            slots.release(admitted_at)
        self.assertEqual(0.0, slots.expected_wait_s)
        # Their service times must not inflate the expected wait of later statements.
        for _ in range(SLOTS + 1):
            await slots.acquire()
        self.assertLessEqual(slots.expected_wait_s, MAX_WAIT_S)


def urgent_request(
    priority: int, organisation: str = "a", *, objective_s: float = 0.4
) -> SlotRequest:
    now = trio.current_time()
    return SlotRequest(organisation, Urgency(priority, now + objective_s, now + 2.0))


class Offered:
    """Statements of one priority that are offered to slots, and what became of them."""

    def __init__(self, slots: SlotAdmission) -> None:
        self._slots = slots
        self.running = 0
        self.most_running = 0
        self.ran: list[int] = []
        self.refused: list[tuple[int, str, float]] = []

    async def run(self, request: SlotRequest, work_s: float = WORK_S) -> None:
        offered_at = trio.current_time()
        try:
            admitted_at = await self._slots.acquire(request)
        except OverloadedError as error:
            waited_s = trio.current_time() - offered_at
            self.refused.append((request.priority, str(error), waited_s))
            return
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        await trio.sleep(work_s)
        self.running -= 1
        self.ran.append(request.priority)
        self._slots.release(admitted_at, request)


class UrgencyOrderTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_a_more_urgent_statement_is_admitted_first(self) -> None:
        offered = Offered(SlotAdmission(0, UrgencyOrder()))
        async with trio.open_nursery() as nursery:
            for priority in (2, 2, 1, 0):
                nursery.start_soon(offered.run, urgent_request(priority))
                await trio.sleep(0.001)
        self.assertEqual([2, 0, 1, 2], offered.ran)

    @trio_test(mock_clock=True)
    async def test_overload_is_refused_at_once_or_when_displaced_and_never_runs(self) -> None:
        # Guards against more statements than slots, and a refusal of one that has run.
        slots = SlotAdmission(SLOTS, UrgencyOrder())
        offered = Offered(slots)
        count = 0
        async with trio.open_nursery() as nursery:
            for step in range(900):
                count += 1
                organisation = "large" if step % 2 else f"small-{step % 7}"
                nursery.start_soon(offered.run, urgent_request(step % 3, organisation))
                await trio.sleep(0.0015)
        self.assertEqual(count, len(offered.ran) + len(offered.refused))
        self.assertLessEqual(offered.most_running, SLOTS + 1)
        self.assertEqual(0, sum(priority == 0 for priority, _, _ in offered.refused))
        reasons = {text for _, text, _ in offered.refused}
        self.assertIn(Refusal.QUEUE_TOO_LONG.value, reasons)
        self.assertEqual(0.0, slots.expected_wait_s)
        counts = slots.take_counts()
        self.assertEqual(len(offered.refused), sum(counts.refused.values()))
        self.assertEqual(
            len(offered.ran), counts.admitted_at_once + sum(counts.admitted_after_wait.values())
        )
        self.assertEqual(QueueCounts(), slots.take_counts())

    @trio_test(mock_clock=True)
    async def test_a_displaced_statement_is_refused_at_once(self) -> None:
        slots = SlotAdmission(0, UrgencyOrder())
        offered = Offered(slots)
        for _ in range(60):
            held = await slots.acquire(urgent_request(2))
            await trio.sleep(0.1)
            slots.release(held, urgent_request(2))
        async with trio.open_nursery() as nursery:
            for _ in range(12):
                nursery.start_soon(offered.run, urgent_request(2, objective_s=0.6), 0.1)
            await trio.sleep(0.01)
            before = len(offered.refused)
            for _ in range(2):
                nursery.start_soon(offered.run, urgent_request(0), 0.1)
            await trio.sleep(0.01)
            displaced = offered.refused[before:]
        self.assertEqual({(2, Refusal.DISPLACED.value)}, {entry[:2] for entry in displaced})
        self.assertLess(max(waited_s for _, _, waited_s in displaced), 0.03)

    @trio_test(mock_clock=True)
    async def test_statements_without_urgency_and_with_it_are_served_side_by_side(self) -> None:
        # Guards against VMs with older builds that get no slot while a fleet is updated.
        slots = SlotAdmission(SLOTS, UrgencyOrder())
        without, refused = 0, 0

        async def older_build() -> None:
            nonlocal without, refused
            try:
                admitted_at = await slots.acquire(None)
            except OverloadedError:
                refused += 1
                return
            await trio.sleep(WORK_S)
            slots.release(admitted_at)
            without += 1

        offered = Offered(slots)
        async with trio.open_nursery() as nursery:
            for step in range(400):
                nursery.start_soon(offered.run, urgent_request(step % 3))
                nursery.start_soon(older_build)
                await trio.sleep(0.009)
        self.assertEqual((400, 0), (without, refused))
        self.assertEqual([], offered.refused)

    @trio_test(mock_clock=True)
    async def test_cancelled_and_lost_statements_hold_no_slot(self) -> None:
        slots = SlotAdmission(0, UrgencyOrder())
        admitted_at = await slots.acquire(urgent_request(1))
        with trio.move_on_after(0.05):
            await slots.acquire(urgent_request(1))
        slots.release(admitted_at)
        self.assertEqual(0.0, slots.expected_wait_s)
        # Its VM has left; that is no refusal.
        self.assertEqual({}, dict(slots.take_counts().refused))
        await slots.acquire(urgent_request(1))
        await trio.sleep(1.0)
        self.assertEqual(trio.current_time(), await slots.acquire(urgent_request(1)))

    @trio_test(mock_clock=True)
    async def test_a_statement_that_waits_is_refused_when_its_time_runs_out(self) -> None:
        slots = SlotAdmission(0, UrgencyOrder())
        offered = Offered(slots)
        # Its reply takes longer than was expected.
        async with trio.open_nursery() as nursery:
            nursery.start_soon(offered.run, urgent_request(1), 0.3)
            await trio.sleep(0.001)
            now = trio.current_time()
            short = SlotRequest("a", Urgency(1, now + 0.1, now + 0.2))
            nursery.start_soon(offered.run, short)
        [(_, text, waited_s)] = offered.refused
        self.assertEqual(Refusal.WAITED_TOO_LONG.value, text)
        self.assertLess(waited_s, 0.1)
