"""Options, transactions and shared state of one stand-in database instance."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Mapping
from typing import Any, NamedTuple

import trio

from tanagerfront.databases import Statement, encode_value
from tanagerfront.entry_id import EntryId
from tanagerfront.http_client import Address

from .database_sql import SqlConnection, SqlStore
from .database_state import Delays, InstanceState

__all__ = ["DatabaseOptions", "SharedState", "Transaction"]

MAX_RECORDED_EXECUTIONS = 200_000


class DatabaseOptions(NamedTuple):
    """Options of one instance; `connections` and `slots` limit connections and running batches."""

    name: str
    listen: Address
    peers: Mapping[str, Address]
    primary: bool = False
    connections: int = 16
    slots: int = 2
    delays: Delays = Delays()
    seed_sql: str = ""


class Execution(NamedTuple):
    """One recorded step of a transaction; times are in seconds of the monotonic clock.

    A statement begins when its batch acquires a slot. A commit is recorded only if it was logged.
    """

    number: int
    kind: str
    transaction: int
    term: int
    began: float
    ended: float
    sql: str = ""
    params: Any = ()
    position: int = 0


class ConnectionCount:
    """Count open connections and enforce their limit."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.open = 0
        self.peak = 0
        self.refused = 0
        self.uncounted = 0

    def record_opened(self) -> None:
        """Add an opened connection to the count."""
        self.open += 1

    def record_closed(self) -> None:
        """Remove a closed or uncounted connection from the count."""
        self.open -= 1

    def admit(self) -> bool:
        """Return whether the limit admits a connection, at its first request."""
        self.peak = max(self.peak, self.open)
        if self.open <= self._limit:
            return True
        self.refused += 1
        return False


class SharedState:
    """State shared by the connections of one instance."""

    def __init__(self, options: DatabaseOptions) -> None:
        self.options = options
        store = SqlStore(options.seed_sql)
        self.state = InstanceState(options.name, store, options.delays, primary=options.primary)
        self.slots = trio.Semaphore(options.slots)
        self.connections = ConnectionCount(options.connections)
        self.executions: deque[Execution] = deque(maxlen=MAX_RECORDED_EXECUTIONS)
        self._write_lock = trio.Lock()
        self._lock_term = 0
        self._transactions = 0
        self._execution_count = 0

    def write_lock(self) -> trio.Lock:
        """Return the write lock of the current term.

        Each term has its own lock, because a fence ends the transactions of lower terms.
        """
        if self._lock_term != self.state.term:
            self._lock_term = self.state.term
            self._write_lock = trio.Lock()
        return self._write_lock

    def next_transaction(self) -> int:
        """Return a new transaction number."""
        self._transactions += 1
        return self._transactions

    def record(self, kind: str, transaction: Transaction, began: float, **detail: Any) -> None:
        """Record a transaction step that ends now."""
        self._execution_count += 1
        number, term = transaction.number, transaction.term
        ended = time.monotonic()
        self.executions.append(
            Execution(self._execution_count, kind, number, term, began, ended, **detail)
        )


class Transaction:
    """An open transaction of one connection."""

    def __init__(
        self, server: SharedState, connection: SqlConnection, lock: trio.Lock | None
    ) -> None:
        self._server = server
        self._connection = connection
        self._lock = lock
        self._logged_statements: list[Statement] = []
        self._generation = server.state.store.generation
        self.term = server.state.term
        self.number = server.next_transaction()
        self.snapshot = server.state.entry_id(server.state.applied)
        connection.begin()

    @property
    def write(self) -> bool:
        """Return whether the transaction may write."""
        return self._lock is not None

    @property
    def valid(self) -> bool:
        """Return whether the transaction can go on.

        A fence ends a write transaction, and a rebuild of the data ends a read transaction.
        """
        state = self._server.state
        if self.write:
            return self.term == state.term
        return self._generation == state.store.generation

    def run(self, statement: Statement, index: int, began: float) -> dict[str, Any]:
        """Run one statement whose slot was acquired at `began`; raises SqlFailure."""
        result, logged = self._connection.run(statement, index)
        if self.write and logged:
            self._logged_statements.append(statement)
        self._server.record("statement", self, began, sql=statement.sql, params=statement.params)
        return {
            "columns": result.columns,
            "rows": [[encode_value(value) for value in row] for row in result.rows],
            "changes": result.changes,
        }

    def commit(self) -> EntryId:
        """Commit, log the statements that had an effect and return the last entry's id."""
        began = time.monotonic()
        self._connection.commit()
        last_entry = self.snapshot
        if self._logged_statements:
            last_entry = self._server.state.append_local(tuple(self._logged_statements))
            self._server.record("commit", self, began, position=last_entry.position)
        self._release()
        return last_entry

    def rollback(self) -> None:
        """Discard the transaction's effects."""
        if self.valid:
            # After a fence, the writer connection may have an open transaction of the new term.
            self._connection.rollback()
        if self.write:
            self._server.record("rollback", self, time.monotonic())
        self._release()

    def _release(self) -> None:
        if self._lock is not None:
            self._lock.release()
