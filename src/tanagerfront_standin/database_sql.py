"""SQL storage of the stand-in database, based on the standard library's sqlite3.

Replication is statement-based, so a statement of a write transaction must have the same effect on
every instance: functions that depend on the clock, randomness or connection state are denied
there. Transaction control, ATTACH and PRAGMA are denied in all transactions.
"""

from __future__ import annotations

import sqlite3
import tempfile
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

from tanagerfront.databases import Statement, StatementResult

__all__ = ["SqlConnection", "SqlFailure", "SqlStore"]

NONDETERMINISTIC_FUNCTIONS = frozenset(
    (
        "random",
        "randomblob",
        "current_timestamp",
        "current_time",
        "current_date",
        "date",
        "time",
        "datetime",
        "julianday",
        "unixepoch",
        "strftime",
        "timediff",
        "last_insert_rowid",
        "changes",
        "total_changes",
    )
)
DENIED_ACTIONS = frozenset(
    (
        sqlite3.SQLITE_TRANSACTION,
        sqlite3.SQLITE_SAVEPOINT,
        sqlite3.SQLITE_ATTACH,
        sqlite3.SQLITE_DETACH,
        sqlite3.SQLITE_PRAGMA,
    )
)
# sqlite3 caches prepared statements by their text, and a cached statement skips the authorizer.
DENIED_KEYWORDS = frozenset(
    (
        "begin",
        "commit",
        "end",
        "rollback",
        "savepoint",
        "release",
        "attach",
        "detach",
        "pragma",
        "vacuum",
    )
)


class SqlFailure(Exception):  # noqa: N818
    """Raised when a statement fails; `code` is the kind of error, `index` its batch position."""

    def __init__(self, code: str, message: str, index: int = 0) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.index = index


def _error_code(error: sqlite3.Error) -> str:
    text = str(error)
    match error:
        case sqlite3.IntegrityError():
            return "constraint"
        case _ if "syntax error" in text or "incomplete input" in text:
            return "syntax"
        case _ if "no such" in text:
            return "missing"
        case _ if "readonly" in text:
            return "read-only"
        case _ if "not authorized" in text or "prohibited" in text:
            return "denied"
        case _:
            return "other"


class SqlConnection:
    """An sqlite3 connection that runs one transaction at a time."""

    def __init__(self, path: Path, *, writable: bool) -> None:
        self._writable = writable
        self._authorize_all = True
        self._connection = sqlite3.connect(path, isolation_level=None)
        self._connection.execute("PRAGMA journal_mode=WAL")
        self._connection.execute("PRAGMA synchronous=OFF")
        if not writable:
            self._connection.execute("PRAGMA query_only=ON")
        self._connection.set_authorizer(self._authorize)
        self._authorize_all = False

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction is open."""
        return self._connection.in_transaction

    def begin(self) -> None:
        """Begin a transaction; a reader's snapshot is taken now, not at its first statement."""
        self._run_control("BEGIN IMMEDIATE" if self._writable else "BEGIN")
        if not self._writable:
            self._connection.execute("SELECT 1 FROM sqlite_master").fetchone()

    def commit(self) -> None:
        """Commit the open transaction."""
        self._run_control("COMMIT")

    def rollback(self) -> None:
        """Roll back the transaction if one is open."""
        if self._connection.in_transaction:
            self._run_control("ROLLBACK")

    def run(self, statement: Statement, index: int) -> tuple[StatementResult, bool]:
        """Run a statement; return its result and whether to log it. Raises SqlFailure."""
        words = statement.sql.split(None, 1)
        if words and words[0].rstrip(";").lower() in DENIED_KEYWORDS:
            raise SqlFailure("denied", f"{words[0]} statements are not allowed", index)
        params: Any = statement.params
        before = self._connection.total_changes
        try:
            cursor = self._connection.execute(statement.sql, params)
            rows = tuple(cursor.fetchall())
        except sqlite3.Error as error:
            raise SqlFailure(_error_code(error), str(error), index) from error
        except (OverflowError, TypeError, ValueError) as error:
            raise SqlFailure("type", str(error), index) from error
        changes = self._connection.total_changes - before
        columns = tuple(column[0] for column in cursor.description or ())
        return StatementResult(columns, rows, changes), cursor.description is None or changes > 0

    def run_script(self, sql: str) -> None:
        """Run a trusted multi-statement script."""
        self._connection.executescript(sql)

    def close(self) -> None:
        """Close the connection, which rolls back its transaction."""
        self._connection.close()

    def _run_control(self, sql: str) -> None:
        self._authorize_all = True
        try:
            self._connection.execute(sql)
        finally:
            self._authorize_all = False

    def _authorize(self, action: int, _first: Any, second: Any, _db: Any, _trigger: Any) -> int:
        if self._authorize_all:
            return sqlite3.SQLITE_OK
        if action in DENIED_ACTIONS:
            return sqlite3.SQLITE_DENY
        if (
            self._writable
            and action == sqlite3.SQLITE_FUNCTION
            and second in NONDETERMINISTIC_FUNCTIONS
        ):
            return sqlite3.SQLITE_DENY
        return sqlite3.SQLITE_OK


class SqlStore:
    """Applied data of one instance, with one writer and any number of snapshot readers.

    The data is stored in a temporary file in WAL mode, so that readers see a snapshot while a write
    transaction is open; an in-memory SQLite database would block them.
    """

    def __init__(self, seed_sql: str) -> None:
        self._seed_sql = seed_sql
        self._directory = tempfile.TemporaryDirectory(prefix="tanagerfront-standin-")
        self._generation = 0
        self._writer = self._create()

    @property
    def generation(self) -> int:
        """Return the number of rebuilds; readers opened before the last one are invalid."""
        return self._generation

    @property
    def writer(self) -> SqlConnection:
        """Return the only writable connection."""
        return self._writer

    def open_reader(self) -> SqlConnection:
        """Open a read-only connection."""
        return SqlConnection(self._path(), writable=False)

    def apply(self, entries: Iterable[Sequence[Statement]]) -> None:
        """Replay the statements of log entries in one transaction."""
        self._writer.begin()
        for statements in entries:
            for statement in statements:
                self._writer.run(statement, 0)
        self._writer.commit()

    def rebuild(self, entries: Iterable[Sequence[Statement]]) -> None:
        """Replace the data with the seed and these entries."""
        self._writer.close()
        self._generation += 1
        self._writer = self._create()
        self.apply(entries)

    def close(self) -> None:
        """Close the writer and delete the data files."""
        self._writer.close()
        self._directory.cleanup()

    def _path(self) -> Path:
        return Path(self._directory.name) / f"data-{self._generation}.sqlite"

    def _create(self) -> SqlConnection:
        writer = SqlConnection(self._path(), writable=True)
        writer.run_script(self._seed_sql)
        return writer
