"""At-most-once record in the database, written in the same transaction as the effect."""

from __future__ import annotations

import base64
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from .databases import ExecuteResult, Statement
from .errors import ConnectionLostError, SqlError, UnavailableError
from .messages import WireResult
from .pool import PooledSession

__all__ = ["Ledger", "LedgerRecord", "Lookup"]

CREATE = (
    Statement(
        "CREATE TABLE IF NOT EXISTS tanagerfront_ledger ("
        "organisation TEXT NOT NULL, idempotency_key TEXT NOT NULL, "
        "request_digest TEXT NOT NULL, answer TEXT, created_at REAL NOT NULL, "
        "PRIMARY KEY (organisation, idempotency_key))"
    ),
    Statement(
        "CREATE INDEX IF NOT EXISTS tanagerfront_ledger_created_at "
        "ON tanagerfront_ledger (created_at)"
    ),
)
INSERT = (
    "INSERT INTO tanagerfront_ledger "
    "(organisation, idempotency_key, request_digest, created_at) VALUES (?, ?, ?, ?)"
)
RECORD_ANSWER = (
    "UPDATE tanagerfront_ledger SET answer = ? WHERE organisation = ? AND idempotency_key = ?"
)
LOOKUP = (
    "SELECT request_digest, answer FROM tanagerfront_ledger "
    "WHERE organisation = ? AND idempotency_key = ?"
)
# The order is total, so that replicas that apply the statement delete the same rows.
PRUNE = (
    "DELETE FROM tanagerfront_ledger WHERE (organisation, idempotency_key) IN "
    "(SELECT organisation, idempotency_key FROM tanagerfront_ledger "
    "WHERE created_at < ? ORDER BY created_at, organisation, idempotency_key LIMIT ?)"
)


class LedgerRecord(NamedTuple):
    """What a key was used for and the first answer."""

    request_digest: str
    results: tuple[WireResult, ...]


class Lookup(NamedTuple):
    """Result of a lookup and the log entry that it reflects."""

    record: LedgerRecord | None
    result: ExecuteResult


class Ledger:
    """Statements on the table `tanagerfront_ledger` of one group."""

    def __init__(self, retention_s: float = 24 * 3600.0, prune_batch: int = 200) -> None:
        self._retention_s = retention_s
        self._prune_batch = prune_batch
        self._created_term = -1

    async def ensure_table(self, session: PooledSession, term: int, timeout_s: float) -> None:
        """Create the table once per term, as a failover may discard an earlier creation."""
        if self._created_term >= term:
            return
        await self._run(session, CREATE, term, timeout_s)
        self._created_term = max(self._created_term, term)

    def insert(self, organisation: str, key: str, digest: str, now: float) -> Statement:
        """Return the statement that claims a key; it violates a constraint on a repeat."""
        return Statement(INSERT, (organisation, key, digest, now))

    def record_answer(
        self, organisation: str, key: str, results: Sequence[WireResult]
    ) -> Statement:
        """Return the statement that stores the answer of a claimed key."""
        text = base64.b64encode(msgspec.msgpack.encode(tuple(results))).decode("ascii")
        return Statement(RECORD_ANSWER, (text, organisation, key))

    async def lookup(
        self, session: PooledSession, term: int, organisation: str, key: str, timeout_s: float
    ) -> Lookup:
        """Return the record of a key, if there is one; raises UnavailableError."""
        await self.ensure_table(session, term, timeout_s)
        statement = Statement(LOOKUP, (organisation, key))
        result = await self._run(session, (statement,), term, timeout_s, read_only=True)
        rows = result.results[0].rows
        return Lookup(_record(rows[0]) if rows else None, result)

    async def prune(self, session: PooledSession, term: int, now: float, timeout_s: float) -> int:
        """Delete one batch of records past their retention; return how many."""
        if self._created_term < 0:
            # No request with a key came here, so there may be no table.
            return 0
        await self.ensure_table(session, term, timeout_s)
        statement = Statement(PRUNE, (now - self._retention_s, self._prune_batch))
        result = await self._run(session, (statement,), term, timeout_s)
        return result.results[0].changes

    async def _run(
        self,
        session: PooledSession,
        statements: Sequence[Statement],
        term: int,
        timeout_s: float,
        read_only: bool = False,
    ) -> ExecuteResult:
        """Run statements of the ledger itself; a failure says that no request has run."""
        try:
            return await session.execute(
                statements,
                term=term,
                begin=True,
                commit=True,
                read_only=read_only,
                timeout_s=timeout_s,
            )
        except ConnectionLostError as error:
            raise ConnectionLostError(error.message, executed="no") from error
        except SqlError as error:
            raise UnavailableError(f"the ledger cannot be used: {error.message}") from error


def _record(row: Sequence[object]) -> LedgerRecord:
    digest, answer = row
    raw = base64.b64decode(str(answer or ""))
    results = msgspec.msgpack.decode(raw, type=tuple[WireResult, ...]) if raw else ()
    return LedgerRecord(str(digest), results)
