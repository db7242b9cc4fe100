"""A group of databases in memory, with replication, failover and faults on its connections."""

from __future__ import annotations

import functools
import random
import sqlite3
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Literal

import trio
import trio.testing

from tanagerfront.configuration import Group, Instance
from tanagerfront.databases import ExecuteResult, InstanceStatus, Statement, StatementResult
from tanagerfront.entry_id import EntryId, term_at
from tanagerfront.errors import (
    ConnectionLostError,
    NotPrimaryError,
    OutcomeUnknownError,
    SqlError,
    StaleTermError,
    UnavailableError,
)
from tanagerfront.execution import Executor
from tanagerfront.groups import GroupSnapshot, InstanceSnapshot
from tanagerfront.http_client import Address
from tanagerfront.pool import ConnectionPool
from tanagerfront.scheduler import FairScheduler

# "late" runs the batch after the client has given up.
Fault = Literal["lost-request", "lost-answer", "late", "stale", "busy", ""]
LATENCY_S = 0.001
POLL_S = 0.005
LATE_S = 0.3


class FakeInstance:
    """One database; the entry at position p has the term history[p - 1]."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.term = 1
        self.role: Literal["primary", "replica"] = "replica"
        self.entry_terms: list[int] = []
        self.db = sqlite3.connect(":memory:", isolation_level=None)
        self.snapshot = b""
        self.writer = trio.Semaphore(1)
        self.age_ms = 0.0
        self.lagging = False
        self.unapplied = 0
        self.refuses = False

    def status(self) -> InstanceStatus:
        starts: list[tuple[int, int]] = []
        for position, term in enumerate(self.entry_terms, 1):
            if not starts or starts[-1][0] != term:
                starts.append((term, position))
        last, held = self.last_entry()
        applied = held - self.unapplied
        known = (self.name, self.role, self.term, last, held, applied, self.age_ms)
        return InstanceStatus(*known, tuple(starts), None)

    def last_entry(self) -> EntryId:
        return EntryId(self.entry_terms[-1] if self.entry_terms else 0, len(self.entry_terms))

    def copy_from(self, other: FakeInstance) -> None:
        if self.entry_terms != other.entry_terms:
            self.entry_terms = list(other.entry_terms)
            self.snapshot = other.snapshot
            self.db.deserialize(other.snapshot)


class FakeSession:
    """One connection; `faults` of the group apply to its exchanges in order."""

    def __init__(self, group: FakeGroup, instance: FakeInstance) -> None:
        self._group = group
        self._instance = instance
        self._late = False
        self._in_transaction = False

    async def execute(
        self, statements: Sequence[Statement], *, timeout_s: float, **options: Any
    ) -> ExecuteResult:
        fault = self._group.faults.popleft() if self._group.faults else ""
        if fault == "late":
            self._late = True
            self._group.nursery.start_soon(self._run_late, statements, options)
        if fault in ("lost-request", "late"):
            raise ConnectionLostError("no answer")
        if fault == "stale":
            raise StaleTermError("later term", term=self._instance.term)
        if fault == "busy":
            raise SqlError("locked", code="busy")
        with trio.move_on_after(timeout_s):
            await trio.sleep(LATENCY_S)
            result = await self._run(statements, **options)
            if fault != "lost-answer":
                return result
        raise ConnectionLostError("no answer")

    async def rollback(self, *, timeout_s: float) -> None:
        self._end("ROLLBACK")

    async def close(self) -> None:
        self._group.sessions -= 1
        # What was sent before the connection was closed still runs.
        if not self._late:
            self._end("ROLLBACK")

    async def _run_late(self, statements: Sequence[Statement], options: Any) -> None:
        await trio.sleep(LATE_S)
        try:
            await self._run(statements, **options)
        except (SqlError, StaleTermError, NotPrimaryError):
            pass
        finally:
            self._end("ROLLBACK")

    async def _run(
        self, statements: Sequence[Statement], term: int, begin: bool, commit: bool, read_only: bool
    ) -> ExecuteResult:
        instance = self._instance
        if term < instance.term:
            raise StaleTermError("later term", term=instance.term)
        if not read_only and instance.role != "primary":
            raise NotPrimaryError("not the primary")
        if begin:
            await instance.writer.acquire()
            self._in_transaction = True
            instance.db.execute("BEGIN")
        results = tuple(self._one(index, each, commit) for index, each in enumerate(statements))
        if commit:
            if not read_only:
                instance.entry_terms.append(term)
            self._end("COMMIT")
            instance.snapshot = instance.db.serialize()
        return ExecuteResult(instance.term, instance.last_entry(), results)

    def _one(self, index: int, statement: Statement, atomic: bool) -> StatementResult:
        try:
            done = self._instance.db.execute(statement.sql, statement.params)
        except sqlite3.Error as error:
            if atomic:
                self._end("ROLLBACK")
            code = "constraint" if isinstance(error, sqlite3.IntegrityError) else "other"
            raise SqlError(str(error), code=code, index=index) from error
        columns = tuple(each[0] for each in done.description or ())
        return StatementResult(columns, tuple(done.fetchall()), max(done.rowcount, 0))

    def _end(self, how: str) -> None:
        if self._in_transaction:
            self._in_transaction = False
            self._instance.db.execute(how)
            self._instance.writer.release()


class FakeGroup:
    """Three instances that follow `primary`; implements GroupMonitor."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.faults: deque[Fault] = deque()
        self.sessions = 0
        self.term = 1
        self.instances = {name: FakeInstance(name) for name in ("a", "b", "c")}
        self.primary: FakeInstance | None = self.instances["a"]
        self.primary.role = "primary"
        self.handing_over = False
        self.failures: list[str] = []
        self.frozen_view: GroupSnapshot | None = None
        nursery.start_soon(self._replicate)

    @property
    def snapshot(self) -> GroupSnapshot:
        if self.frozen_view is not None:
            return self.frozen_view
        views = {name: self._view_of(each) for name, each in self.instances.items()}
        group = Group("g", tuple(each.instance for each in views.values()), 16, 2)
        primary = views[self.primary.name] if self.primary else None
        return GroupSnapshot(group, self.term, primary, tuple(views.values()), self.handing_over)

    async def wait_primary(self, deadline: float) -> GroupSnapshot:
        while trio.current_time() < deadline:
            if self.primary is not None and not self.handing_over:
                return self.snapshot
            await trio.sleep(POLL_S)
        raise UnavailableError("no primary")

    async def wait_acknowledged(self, entry: EntryId, deadline: float) -> None:
        while trio.current_time() < deadline:
            held = [e for e in self.instances.values() if len(e.entry_terms) >= entry.position]
            ids = [term_at(entry.position, each.status().term_starts) for each in held]
            if ids.count(entry.term) >= 2 and self.term == max(self.term, entry.term):
                return
            await trio.sleep(POLL_S)
        raise OutcomeUnknownError("not acknowledged")

    def report_failure(self, instance: str) -> None:
        self.failures.append(instance)

    def observe_term(self, term: int) -> None:
        pass

    def promote(self, name: str, *, gap: bool = False) -> None:
        """Fence all instances at a new term and make one of them primary, or none yet."""
        self.term += 1
        for each in self.instances.values():
            each.term, each.role = self.term, "replica"
        self.primary = None if gap else self.instances[name]
        if self.primary is not None:
            self.primary.role = "primary"

    def rows(self, sql: str, *params: str | int) -> list[Any]:
        assert self.primary is not None
        return list(self.primary.db.execute(sql, params))

    async def open(self, name: str, timeout_s: float) -> FakeSession:
        await trio.sleep(0.012)
        if self.instances[name].refuses:
            raise ConnectionLostError("refused")
        self.sessions += 1
        return FakeSession(self, self.instances[name])

    def executor(self, slots: int = 4, **options: Any) -> Executor:
        pools = {name: ConnectionPool(self._opener(name), 4) for name in self.instances}
        self.pools, self.schedulers = pools, self.make_schedulers(slots)
        options = {"rng": random.Random(1), "weight_of": lambda _name: 1.0, **options}
        return Executor(self, pools, self.schedulers, failure_domain="a", **options)

    def make_schedulers(self, slots: int) -> dict[str, FairScheduler]:
        return {name: FairScheduler(slots) for name in self.instances}

    def _opener(self, name: str) -> Callable[[float], Any]:
        return lambda timeout_s: self.open(name, timeout_s)

    def _view_of(self, each: FakeInstance) -> InstanceSnapshot:
        instance = Instance(each.name, each.name, Address("127.0.0.1", 1))
        return InstanceSnapshot(instance, each.status(), True, trio.current_time())

    async def _replicate(self) -> None:
        while True:
            await trio.sleep(2 * POLL_S)
            for each in self.instances.values():
                if self.primary and each is not self.primary and not each.lagging:
                    each.copy_from(self.primary)


def run_with_fake_group(scenario: Callable[[FakeGroup], Awaitable[None]]) -> None:
    """Run a scenario on a fresh group with a table of effects and a mock clock."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            group = FakeGroup(nursery)
            for each in group.instances.values():
                each.db.execute("CREATE TABLE effects (name TEXT)")
                each.snapshot = each.db.serialize()
            await scenario(group)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def with_fake_group(method: Callable[..., Awaitable[None]]) -> Callable[[Any], None]:
    """Run an async test method with a fresh group as its argument."""

    @functools.wraps(method)
    def run(self: Any) -> None:
        run_with_fake_group(functools.partial(method, self))

    return run
