"""Admission to an instance's slots under more load than it can serve."""

from __future__ import annotations

import trio

from support import TestCase, trio_test
from tanagerfront.errors import OverloadedError
from tanagerfront.slot_admission import MAX_WAIT_S, SlotAdmission

WORK_S = 0.015
SLOTS = 3


async def offer(admission: SlotAdmission, per_s: float, seconds: float) -> tuple[list[float], int]:
    """Offer statements at a rate; return the times of those served, and how many were refused."""
    took: list[float] = []
    refused = 0

    async def statement() -> None:
        nonlocal refused
        started = trio.current_time()
        try:
            admitted_at = await admission.acquire()
        except OverloadedError:
            refused += 1
            return
        await trio.sleep(WORK_S)
        admission.release(admitted_at)
        took.append(trio.current_time() - started)

    async with trio.open_nursery() as nursery:
        for _ in range(int(per_s * seconds)):
            nursery.start_soon(statement)
            await trio.sleep(1 / per_s)
    return took, refused


class SlotAdmissionTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_load_within_the_slots_is_never_refused(self) -> None:
        _, refused = await offer(SlotAdmission(SLOTS), 150.0, 5.0)
        self.assertEqual(0, refused)

    @trio_test(mock_clock=True)
    async def test_twice_the_capacity_is_served_in_time_or_refused_at_once(self) -> None:
        # Replays the primary of klw-orders-grown with both replicas lagging: without the gate all
        # waited until their callers' deadlines and it did not recover (1,101 of them held).
        admission = SlotAdmission(SLOTS)
        capacity = (SLOTS + 1) / WORK_S
        took, refused = await offer(admission, 2 * capacity, 4.0)
        self.assertGreater(len(took), 0.9 * capacity * 4)
        self.assertGreater(refused, 0)
        self.assertLessEqual(max(took), MAX_WAIT_S + 2 * WORK_S)

    @trio_test(mock_clock=True)
    async def test_it_recovers_as_soon_as_the_load_falls(self) -> None:
        admission = SlotAdmission(SLOTS)
        await offer(admission, 800.0, 2.0)
        # Nor do their times make the wait of others look longer than it is.
        for _ in range(SLOTS + 1):
            await admission.acquire()
        self.assertLessEqual(admission.expected_wait_s, MAX_WAIT_S)

    @trio_test(mock_clock=True)
    async def test_cancelled_statements_leave_no_place_taken(self) -> None:
        admission = SlotAdmission(0)
        admitted_at = await admission.acquire()
        with trio.move_on_after(0.05):
            await admission.acquire()
        admission.release(admitted_at)
        self.assertEqual(0.0, admission.expected_wait_s)

    @trio_test(mock_clock=True)
    async def test_statements_whose_answers_are_lost_do_not_keep_their_places(self) -> None:
        # Guards against an instance that is taken for full because a few answers never came
        # (hfva-harvest-grown trouble-1, 5 s).
        admission = SlotAdmission(SLOTS)
        lost = [await admission.acquire() for _ in range(SLOTS + 1)]
        await trio.sleep(1.0)
        took, refused = await offer(admission, 150.0, 2.0)
        self.assertEqual((300, 0), (len(took), refused))
        for each in lost:
            admission.release(each)
        self.assertEqual(0.0, admission.expected_wait_s)
        # Nor do their times make the wait of others look longer than it is.
        for _ in range(SLOTS + 1):
            await admission.acquire()
        self.assertLessEqual(admission.expected_wait_s, MAX_WAIT_S)
