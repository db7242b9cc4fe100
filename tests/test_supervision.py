"""Restart of background tasks after unexpected errors."""

from __future__ import annotations

import trio

from front_fakes import RecordingLog
from support import TestCase, trio_test
from tanagerfront.supervision import run_restarting


class RunRestartingTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_a_task_runs_again_after_an_unexpected_error(self) -> None:
        # Guards against a process that ends, with the sessions of all its callers, because of one
        # unexpected error: "dictionary changed size during iteration" ended a VM of melegkez-front.
        log = RecordingLog()
        starts: list[float] = []

        async def fail_twice() -> None:
            starts.append(trio.current_time())
            if len(starts) < 3:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(fail)

        async def fail() -> None:
            raise RuntimeError("unexpected")

        await run_restarting(fail_twice, log, "example")
        self.assertEqual(3, len(starts))
        failures = log.inputs_of("task_restarted")
        self.assertEqual(["example"] * 2, [inputs["task"] for inputs in failures])
        self.assertEqual("RuntimeError('unexpected')", failures[0]["error"])
        self.assertIn("test_supervision.py", failures[0]["raised_at"][-1])

    @trio_test(mock_clock=True)
    async def test_cancellation_ends_the_task(self) -> None:
        # Guards against a task that starts again while the VM stops.
        log = RecordingLog()
        with trio.move_on_after(1) as scope:
            await run_restarting(trio.sleep_forever, log)
        self.assertTrue(scope.cancelled_caught)
        self.assertEqual([], log.events)
