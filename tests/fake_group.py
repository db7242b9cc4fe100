"""A group of in-memory databases with replication, failover and connection faults."""

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

# "late" executes the batch after the client's connection has failed.
Fault = Literal["lost-request", "lost-answer", "late", "stale", "busy", ""]
LATENCY_S = 0.001
POLL_INTERVAL_S = 0.005
LATE_DELAY_S = 0.3


class FakeInstance:
    """One database; the log entry at position p has the term entry_terms[p - 1]."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.term = 1
        self.role: Literal["primary", "replica"] = "replica"
        self.entry_terms: list[int] = []
        self.db = sqlite3.connect(":memory:", isolation_level=None)
        self.db_image = b""
        self.write_lock = trio.Semaphore(1)
        self.age_ms = 0.0
        self.lagging = False
        self.unapplied_entries = 0
        self.refuses_connections = False

    def status(self) -> InstanceStatus:
        term_starts: list[tuple[int, int]] = []
        for position, term in enumerate(self.entry_terms, 1):
            if not term_starts or term_starts[-1][0] != term:
                term_starts.append((term, position))
        last_term, received = self.last_entry()
        applied = received - self.unapplied_entries
        fields = (self.name, self.role, self.term, last_term, received, applied, self.age_ms)
        return InstanceStatus(*fields, tuple(term_starts), None)

    def last_entry(self) -> EntryId:
        return EntryId(self.entry_terms[-1] if self.entry_terms else 0, len(self.entry_terms))

    def copy_from(self, other: FakeInstance) -> None:
        if self.entry_terms != other.entry_terms:
            self.entry_terms = list(other.entry_terms)
            self.db_image = other.db_image
            self.db.deserialize(other.db_image)


class FakeSession:
    """One connection; each call of `execute` takes the next fault of the group."""

    def __init__(self, group: FakeGroup, instance: FakeInstance) -> None:
        self._group = group
        self._instance = instance
        self._runs_late = False
        self._in_transaction = False

    async def execute(
        self, statements: Sequence[Statement], *, timeout_s: float, **options: Any
    ) -> ExecuteResult:
        fault = self._group.faults.popleft() if self._group.faults else ""
        if fault == "late":
            self._runs_late = True
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
        self._end_transaction("ROLLBACK")

    async def close(self) -> None:
        self._group.sessions -= 1
        # A batch that was sent before the connection was closed still runs.
        if not self._runs_late:
            self._end_transaction("ROLLBACK")

    async def _run_late(self, statements: Sequence[Statement], options: Any) -> None:
        await trio.sleep(LATE_DELAY_S)
        try:
            await self._run(statements, **options)
        except (SqlError, StaleTermError, NotPrimaryError):
            pass
        finally:
            self._end_transaction("ROLLBACK")

    async def _run(
        self, statements: Sequence[Statement], term: int, begin: bool, commit: bool, read_only: bool
    ) -> ExecuteResult:
        instance = self._instance
        if term < instance.term:
            raise StaleTermError("later term", term=instance.term)
        if not read_only and instance.role != "primary":
            raise NotPrimaryError("not the primary")
        if begin:
            await instance.write_lock.acquire()
            self._in_transaction = True
            instance.db.execute("BEGIN")
        results = tuple(
            self._execute_statement(index, statement, commit)
            for index, statement in enumerate(statements)
        )
        if commit:
            if not read_only:
                instance.entry_terms.append(term)
            self._end_transaction("COMMIT")
            instance.db_image = instance.db.serialize()
        return ExecuteResult(instance.term, instance.last_entry(), results)

    def _execute_statement(self, index: int, statement: Statement, atomic: bool) -> StatementResult:
        try:
            cursor = self._instance.db.execute(statement.sql, statement.params)
        except sqlite3.Error as error:
            if atomic:
                self._end_transaction("ROLLBACK")
            code = "constraint" if isinstance(error, sqlite3.IntegrityError) else "other"
            raise SqlError(str(error), code=code, index=index) from error
        columns = tuple(column[0] for column in cursor.description or ())
        return StatementResult(columns, tuple(cursor.fetchall()), max(cursor.rowcount, 0))

    def _end_transaction(self, sql: str) -> None:
        if self._in_transaction:
            self._in_transaction = False
            self._instance.db.execute(sql)
            self._instance.write_lock.release()


class FakeGroup:
    """Three instances, of which `primary` is replicated to the others; implements GroupMonitor."""

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
        self.frozen_snapshot: GroupSnapshot | None = None
        nursery.start_soon(self._replicate)

    @property
    def snapshot(self) -> GroupSnapshot:
        if self.frozen_snapshot is not None:
            return self.frozen_snapshot
        snapshots = {name: self._snapshot_of(instance) for name, instance in self.instances.items()}
        group = Group("g", tuple(snapshot.instance for snapshot in snapshots.values()), 16, 2)
        primary = snapshots[self.primary.name] if self.primary else None
        return GroupSnapshot(
            group, self.term, primary, tuple(snapshots.values()), self.handing_over
        )

    async def wait_primary(self, deadline: float) -> GroupSnapshot:
        while trio.current_time() < deadline:
            if self.primary is not None and not self.handing_over:
                return self.snapshot
            await trio.sleep(POLL_INTERVAL_S)
        raise UnavailableError("no primary")

    async def wait_acknowledged(self, entry: EntryId, deadline: float) -> None:
        while trio.current_time() < deadline:
            holders = [
                instance
                for instance in self.instances.values()
                if len(instance.entry_terms) >= entry.position
            ]
            terms = [term_at(entry.position, instance.status().term_starts) for instance in holders]
            if terms.count(entry.term) >= 2 and self.term == max(self.term, entry.term):
                return
            await trio.sleep(POLL_INTERVAL_S)
        raise OutcomeUnknownError("not acknowledged")

    def report_failure(self, instance: str) -> None:
        self.failures.append(instance)

    def observe_term(self, term: int) -> None:
        pass

    def promote(self, name: str, *, without_primary: bool = False) -> None:
        """Fence all instances at a new term and make one of them primary.

        With `without_primary` the group has no primary until the next call.
        """
        self.term += 1
        for instance in self.instances.values():
            instance.term, instance.role = self.term, "replica"
        self.primary = None if without_primary else self.instances[name]
        if self.primary is not None:
            self.primary.role = "primary"

    def rows(self, sql: str, *params: str | int) -> list[Any]:
        assert self.primary is not None
        return list(self.primary.db.execute(sql, params))

    async def open(self, name: str, timeout_s: float) -> FakeSession:
        await trio.sleep(0.012)
        if self.instances[name].refuses_connections:
            raise ConnectionLostError("refused")
        self.sessions += 1
        return FakeSession(self, self.instances[name])

    def executor(self, slots: int = 4, **options: Any) -> Executor:
        pools = {name: ConnectionPool(self._session_opener(name), 4) for name in self.instances}
        self.pools, self.schedulers = pools, self.make_schedulers(slots)
        options = {"rng": random.Random(1), "weight_of": lambda _name: 1.0, **options}
        return Executor(self, pools, self.schedulers, failure_domain="a", **options)

    def make_schedulers(self, slots: int) -> dict[str, FairScheduler]:
        return {name: FairScheduler(slots) for name in self.instances}

    def _session_opener(self, name: str) -> Callable[[float], Any]:
        return lambda timeout_s: self.open(name, timeout_s)

    def _snapshot_of(self, fake: FakeInstance) -> InstanceSnapshot:
        instance = Instance(fake.name, fake.name, Address("127.0.0.1", 1))
        return InstanceSnapshot(instance, fake.status(), True, trio.current_time())

    async def _replicate(self) -> None:
        while True:
            await trio.sleep(2 * POLL_INTERVAL_S)
            for instance in self.instances.values():
                if self.primary and instance is not self.primary and not instance.lagging:
                    instance.copy_from(self.primary)


def run_with_fake_group(scenario: Callable[[FakeGroup], Awaitable[None]]) -> None:
    """Run a scenario under a mock clock on a new group with an empty table `effects`."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            group = FakeGroup(nursery)
            for instance in group.instances.values():
                instance.db.execute("CREATE TABLE effects (name TEXT)")
                instance.db_image = instance.db.serialize()
            await scenario(group)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def with_fake_group(method: Callable[..., Awaitable[None]]) -> Callable[[Any], None]:
    """Make a test of an async method that takes a new group as its argument."""

    @functools.wraps(method)
    def run(self: Any) -> None:
        run_with_fake_group(functools.partial(method, self))

    return run
