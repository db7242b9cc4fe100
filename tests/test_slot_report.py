"""Log lines and metrics of the queue for an instance's slots."""

from __future__ import annotations

import trio

from front_fakes import FakeInstance, RecordingLog, registration
from support import TestCase, trio_test
from tanagerfront.errors import OverloadedError
from tanagerfront.front_metrics import FrontMetrics
from tanagerfront.instance_directory import Instance
from tanagerfront.instance_pool import InstancePool, PoolLimits
from tanagerfront.session_model import Urgency
from tanagerfront.slot_admission import UrgencyOrder
from tanagerfront.slot_queue import SlotRequest
from tanagerfront.slot_report import report_slot_queue


def request(priority: int, objective_s: float) -> SlotRequest:
    now = trio.current_time()
    return SlotRequest("a", Urgency(priority, now + objective_s, now + objective_s))


class SlotReportTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_a_refusal_leads_to_its_reason(self) -> None:
        fake = FakeInstance()
        limits = PoolLimits(9, 9, admission_control=True, slot_order=UrgencyOrder())
        pool = InstancePool(registration("i"), fake.open, limits)
        instance = Instance(registration("i"), pool)
        log, metrics = RecordingLog(), FrontMetrics()
        held = [await pool.acquire("a", 0.0, 1.0, request(1, 0.5)) for _ in range(3)]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._acquire, pool, request(0, 0.5))
            await trio.sleep(0.1)
            with self.assertRaises(OverloadedError):
                await pool.acquire("a", 0.0, 1.0, request(1, 0.001))
            for connection in held:
                await pool.release(connection)
        report_slot_queue(instance, log, metrics)
        [line] = log.inputs_of("slot_queue")
        self.assertEqual(({"0": 1}, {"0": 100.0}), (line["waited"], line["mean_wait_ms"]))
        self.assertEqual(({"1 too_late": 1}, 1), (line["refused"], line["longest_queue"]))
        text = metrics.render().decode()
        self.assertIn('tanagerfront_slot_refusals_total{priority="1",reason="too_late"} 1', text)
        self.assertIn('tanagerfront_slot_waits_total{priority="0"} 1', text)
        report_slot_queue(instance, log, metrics)
        self.assertEqual(1, len(log.inputs_of("slot_queue")))

    @staticmethod
    async def _acquire(pool: InstancePool, needed: SlotRequest) -> None:
        await pool.release(await pool.acquire("a", 0.0, 1.0, needed))

    @trio_test(mock_clock=True)
    async def test_a_pool_without_admission_reports_nothing(self) -> None:
        pool = InstancePool(registration("i"), FakeInstance().open, PoolLimits(9, 9))
        log = RecordingLog()
        report_slot_queue(Instance(registration("i"), pool), log, FrontMetrics())
        self.assertEqual([], log.events)
