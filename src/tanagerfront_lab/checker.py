"""Check a recorded history against the guarantees of the HTTP interface."""

from __future__ import annotations

import itertools
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from .history import History, Operation

__all__ = ["Violation", "check_history", "check_rate", "count_doubled_writes"]

# Tolerance for rounding only: all times come from the recorder's clock, not from those of the VMs,
# so clock differences need no margin.
TOKEN_EPSILON = 1e-6


class Violation(NamedTuple):
    """One violated guarantee."""

    guarantee: str
    detail: str


def check_history(history: History) -> list[Violation]:
    """Return all violations of session consistency, at-most-once, durability and isolation."""
    checks = (
        _check_sessions,
        _check_isolation,
        _check_duplicates,
        _check_lost_writes,
        _check_refused_writes,
    )
    return [violation for check in checks for violation in check(history)]


def count_doubled_writes(history: History) -> int:
    """Return how many callers' repeats without an idempotency key wrote a second row.

    They violate no guarantee: without a key the service executes each call.
    """
    present = _present_refs(history)
    return sum(
        (op.group, op.ref) in present and (op.group, op.repeats) in present
        for op in history.operations
        if op.repeats
    )


def _present_refs(history: History) -> frozenset[tuple[str, str]]:
    """Return group and ref of each final row."""
    return frozenset((row.group, row.ref) for row in history.rows)


def _group_by_session(operations: Iterable[Operation]) -> Iterator[list[Operation]]:
    sessions: defaultdict[tuple[str, str], list[Operation]] = defaultdict(list)
    for operation in operations:
        sessions[operation.group, operation.session].append(operation)
    yield from sessions.values()


def _check_sessions(history: History) -> Iterator[Violation]:
    """Check read-your-writes and monotonic reads of each session."""
    for operations in _group_by_session(history.operations):
        for read in (op for op in operations if op.kind == "read" and op.acknowledged):
            earlier = [op for op in operations if op.acknowledged and op.ended <= read.started]
            written = {op.seq for op in earlier if op.kind == "write"}
            seen = {seq for op in earlier if op.kind == "read" for seq in op.seen}
            missing = (written | seen) - set(read.seen)
            if missing:
                detail = f"{read.session} on {read.vm} misses {sorted(missing)[:5]}"
                yield Violation("read-your-writes", detail)


def _check_isolation(history: History) -> Iterator[Violation]:
    """Check that a read returns only rows that its own session attempted to write."""
    for operations in _group_by_session(history.operations):
        attempted = {op.seq for op in operations if op.kind == "write"}
        for read in (op for op in operations if op.kind == "read" and op.acknowledged):
            foreign = set(read.seen) - attempted
            if foreign:
                yield Violation("isolation", f"{read.session} read {sorted(foreign)[:5]}")


def _check_duplicates(history: History) -> Iterator[Violation]:
    """Check that no row occurs twice among the final rows or in a read."""
    counts = Counter((row.group, row.ref) for row in history.rows)
    for (group, ref), count in counts.items():
        if count > 1:
            yield Violation("at-most-once", f"{ref} occurs {count} times in {group}")
    for read in (op for op in history.operations if op.kind == "read"):
        if len(set(read.seen)) != len(read.seen):
            yield Violation("at-most-once", f"{read.session} read a row twice")


def _check_lost_writes(history: History) -> Iterator[Violation]:
    """Check that every acknowledged write is among the final rows."""
    present = _present_refs(history)
    for write in (op for op in history.operations if op.kind == "write" and op.acknowledged):
        if (write.group, write.ref) not in present:
            yield Violation("lost-write", f"{write.ref} acknowledged by {write.vm} is missing")


def _check_refused_writes(history: History) -> Iterator[Violation]:
    """Check that no write is among the final rows if every response to it said "not run"."""
    present = _present_refs(history)
    writes = sorted((op for op in history.operations if op.kind == "write"), key=lambda op: op.ref)
    for ref, attempts in itertools.groupby(writes, key=lambda op: op.ref):
        responses = list(attempts)
        found = (responses[0].group, ref) in present
        if found and all(op.executed == "no" for op in responses):
            yield Violation("false-not-run", f"{ref} was refused as not run and is present")


def check_rate(
    times: Iterable[float], rate: float, burst: float, organisation: str
) -> list[Violation]:
    """Check executions against a token bucket of `rate` per second and `burst`."""
    tokens, previous, violations = burst, None, []
    for time in sorted(times):
        if previous is not None:
            tokens = min(burst, tokens + (time - previous) * rate)
        previous = time
        tokens -= 1
        if tokens < -TOKEN_EPSILON:
            detail = f"{organisation} exceeds its limit by {-tokens:.2f} tokens at {time:.3f} s"
            violations.append(Violation("rate", detail))
            tokens = 0
    return violations
