"""The checker finds violations in recorded histories and reports no false ones."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from support import TestCase
from tanagerfront_lab.checker import check_history, check_rate
from tanagerfront_lab.history import FinalRow, History, Operation, read_history, write_history


def operation(kind: Any, started: float, **changes: Any) -> Operation:
    base = Operation(kind, "g", "org", "s1", "vm-1", started, started + 0.5, 200, "yes")
    return base._replace(**changes)


def row(ref: str, seq: int) -> FinalRow:
    return FinalRow("g", ref, "s1", seq)


def guarantees(operations: list[Operation], rows: list[FinalRow]) -> set[str]:
    return {item.guarantee for item in check_history(History(tuple(operations), tuple(rows)))}


class CheckerTest(TestCase):
    def test_correct_history_passes(self) -> None:
        # Guards against a checker that reports violations where there are none.
        operations = [
            operation("write", 0, ref="a", seq=1),
            operation("read", 1, seen=(1,)),
            operation("write", 2, ref="b", seq=2, status=503, executed="unknown"),
            operation("read", 3, seen=(1, 2)),
        ]
        self.assertEqual(set(), guarantees(operations, [row("a", 1), row("b", 2)]))

    def test_stale_read_is_found(self) -> None:
        # Guards against missing a read that does not see its session's own write.
        operations = [operation("write", 0, ref="a", seq=1), operation("read", 1)]
        self.assertEqual({"read-your-writes"}, guarantees(operations, [row("a", 1)]))

    def test_non_monotonic_read_is_found(self) -> None:
        # Guards against missing a read that lacks a row which an earlier read of the session saw.
        operations = [
            operation("write", 0, ref="a", seq=1, status=502, executed="unknown"),
            operation("read", 1, seen=(1,)),
            operation("read", 2),
        ]
        self.assertEqual({"read-your-writes"}, guarantees(operations, [row("a", 1)]))

    def test_concurrent_read_may_miss_a_write(self) -> None:
        # Guards against reporting a read that began before the write was acknowledged.
        operations = [operation("write", 0, ref="a", seq=1), operation("read", 0.4)]
        self.assertEqual(set(), guarantees(operations, [row("a", 1)]))

    def test_duplicate_lost_and_falsely_refused_writes_are_found(self) -> None:
        # Guards against missing a write that ran twice, was lost, or ran after "not run".
        write = operation("write", 0, ref="a", seq=1)
        refused = write._replace(status=503, executed="no")
        self.assertEqual({"at-most-once"}, guarantees([write], [row("a", 1), row("a", 1)]))
        self.assertEqual({"lost-write"}, guarantees([write], []))
        self.assertEqual({"false-not-run"}, guarantees([refused], [row("a", 1)]))

    def test_foreign_row_is_found(self) -> None:
        # Guards against missing a response with another caller's rows.
        self.assertEqual({"isolation"}, guarantees([operation("read", 1, seen=(7,))], []))

    def test_histories_survive_a_round_trip(self) -> None:
        # Guards against a history that gives other results once it was stored and read.
        history = History((operation("read", 1, seen=(1, 2)),), (row("a", 1),))
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "history.jsonl"
            write_history(path, history)
            self.assertEqual(history, read_history(path))

    @given(st.integers(1, 20), st.floats(0.5, 50))
    def test_rate_check_is_exact(self, burst: int, rate: float) -> None:
        # Guards against a rate check that misses a single statement above the limit.
        allowed = [0.0] * burst + [1 / rate * (n + 1) for n in range(5)]
        self.assertEqual([], check_rate(allowed, rate, burst, "org"))
        self.assertEqual(1, len(check_rate([*allowed, 0.0], rate, burst, "org")))
