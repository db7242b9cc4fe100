"""Histories that the load generator records when answers are lost."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any

import msgspec

from support import TestCase, trio_test
from tanagerfront.errors import ConnectionLostError
from tanagerfront.http_client import Address, HttpReply
from tanagerfront_lab.checker import check_history, count_doubled_writes
from tanagerfront_lab.history import FinalRow, History
from tanagerfront_lab.load import LoadPlan, Recorder, VmBalancer, run_load
from tanagerfront_lab.processes import VmProcess

ADDRESS = Address("127.0.0.1", 1)
VM = VmProcess("vm-1", "suame", ADDRESS, ADDRESS, ADDRESS)
WRITES = LoadPlan("foremen", rate=20.0, duration_s=5.0, read_share=0.5, groups=("orders-1",))


class LossyVm(VmBalancer):
    """Executes calls in memory and loses the answer of each third one.

    `executions` is the number of times that a call is executed.
    """

    def __init__(self, *, executions: int = 1, honours_keys: bool = True) -> None:
        super().__init__([VM], random.Random(1))
        self.rows: list[FinalRow] = []
        self._executions = executions
        self._honours_keys = honours_keys
        self._keys: set[str] = set()
        self._calls = 0

    async def call(
        self, vm: VmProcess, path: str, body: bytes, headers: Sequence[tuple[str, str]]
    ) -> HttpReply:
        self._calls += 1
        params: dict[str, Any] = msgspec.json.decode(body)["params"]
        seen = [row.seq for row in self.rows if row.session == params["session"]]
        if path.endswith("-add"):
            key = dict(headers).get("idempotency-key")
            if not (self._honours_keys and key in self._keys):
                row = FinalRow("orders-1", params["ref"], params["session"], params["seq"])
                self.rows += [row] * self._executions
            if key:
                self._keys.add(key)
        if self._calls % 3 == 0:
            raise ConnectionLostError("the answer was lost")
        content = {"results": [{"rows": [[seq] for seq in seen]}]}
        return HttpReply(200, {}, msgspec.json.encode(content))


async def run(vm: LossyVm, plan: LoadPlan) -> History:
    recorder = Recorder()
    await run_load([plan], vm, recorder, seed=1)
    return History(recorder.operations, tuple(vm.rows))


def guarantees(history: History) -> set[str]:
    return {violation.guarantee for violation in check_history(history)}


class LostAnswerTest(TestCase):
    @trio_test(mock_clock=True)
    async def test_repeat_without_key_is_a_write_of_its_own(self) -> None:
        # Guards against blaming the system for a row that the load wrote twice itself: it repeated
        # a write of unknown outcome under the same reference and without an idempotency key.
        history = await run(LossyVm(), WRITES._replace(idempotency_keys=False))
        self.assertEqual([], check_history(history))
        self.assertGreater(count_doubled_writes(history), 0)

    @trio_test(mock_clock=True)
    async def test_repeat_with_key_is_the_same_write(self) -> None:
        # Guards against a load that never repeats a key, so that no test exercises the ledger.
        history = await run(LossyVm(), WRITES)
        self.assertEqual([], check_history(history))
        self.assertEqual(0, count_doubled_writes(history))
        writes = [op for op in history.operations if op.kind == "write"]
        self.assertGreater(len(writes), len({op.ref for op in writes}))

    @trio_test(mock_clock=True)
    async def test_write_that_the_system_doubles_is_found(self) -> None:
        # Guards against a check that takes rows which the system doubled for the load's repeats.
        for keys in (True, False):
            history = await run(LossyVm(executions=2), WRITES._replace(idempotency_keys=keys))
            self.assertIn("at-most-once", guarantees(history))

    @trio_test(mock_clock=True)
    async def test_ignored_key_is_found(self) -> None:
        # Guards against missing a system that executes the repeat of a key.
        history = await run(LossyVm(honours_keys=False), WRITES)
        self.assertIn("at-most-once", guarantees(history))
