"""Admission control for an instance's slots under overload."""

from __future__ import annotations

import trio

from support import TestCase, trio_test
from tanagerfront.errors import OverloadedError
from tanagerfront.slot_admission import MAX_WAIT_S, SlotAdmission

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
