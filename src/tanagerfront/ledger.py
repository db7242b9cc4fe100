"""Ledger of idempotency keys for the HTTP interface.

Each record is written in the same transaction as the effect of its request, so that a request with
a key runs at most once.
"""

from __future__ import annotations

import base64
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from .databases import ExecuteResult, Statement
from .errors import ConnectionLostError, SqlError, UnavailableError
from .messages import WireResult
from .pool import PooledSession

__all__ = ["Ledger", "LedgerRecord", "LookupResult"]

CREATE_STATEMENTS = (
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
INSERT_SQL = (
    "INSERT INTO tanagerfront_ledger "
    "(organisation, idempotency_key, request_digest, created_at) VALUES (?, ?, ?, ?)"
)
STORE_ANSWER_SQL = (
    "UPDATE tanagerfront_ledger SET answer = ? WHERE organisation = ? AND idempotency_key = ?"
)
LOOKUP_SQL = (
    "SELECT request_digest, answer FROM tanagerfront_ledger "
    "WHERE organisation = ? AND idempotency_key = ?"
)
# The total order makes replicas that apply the statement delete the same rows.
PRUNE_SQL = (
    "DELETE FROM tanagerfront_ledger WHERE (organisation, idempotency_key) IN "
    "(SELECT organisation, idempotency_key FROM tanagerfront_ledger "
    "WHERE created_at < ? ORDER BY created_at, organisation, idempotency_key LIMIT ?)"
)


class LedgerRecord(NamedTuple):
    """Digest of the request that used a key, and the results of its first execution."""

    request_digest: str
    results: tuple[WireResult, ...]


class LookupResult(NamedTuple):
    """The record of a key, if any, and the database result that it was read with."""

    record: LedgerRecord | None
    result: ExecuteResult


class Ledger:
    """Access to the table `tanagerfront_ledger` of one group."""

    def __init__(self, retention_s: float = 24 * 3600.0, prune_batch: int = 200) -> None:
        self._retention_s = retention_s
        self._prune_batch = prune_batch
        self._table_term = -1

    async def ensure_table(self, session: PooledSession, term: int, timeout_s: float) -> None:
        """Create the table if needed, once per term: a failover may discard its creation."""
        if self._table_term >= term:
            return
        await self._run(session, CREATE_STATEMENTS, term, timeout_s)
        self._table_term = max(self._table_term, term)

    def claim_statement(
        self, organisation: str, key: str, request_digest: str, now: float
    ) -> Statement:
        """Return the statement that claims a key; it violates a constraint if the key is in use."""
        return Statement(INSERT_SQL, (organisation, key, request_digest, now))

    def store_answer_statement(
        self, organisation: str, key: str, results: Sequence[WireResult]
    ) -> Statement:
        """Return the statement that stores the results under a claimed key."""
        text = base64.b64encode(msgspec.msgpack.encode(tuple(results))).decode("ascii")
        return Statement(STORE_ANSWER_SQL, (text, organisation, key))

    async def lookup(
        self, session: PooledSession, term: int, organisation: str, key: str, timeout_s: float
    ) -> LookupResult:
        """Look up the record of a key; raises UnavailableError on an SQL error."""
        await self.ensure_table(session, term, timeout_s)
        statement = Statement(LOOKUP_SQL, (organisation, key))
        result = await self._run(session, (statement,), term, timeout_s, read_only=True)
        rows = result.results[0].rows
        return LookupResult(_record(rows[0]) if rows else None, result)

    async def prune(self, session: PooledSession, term: int, now: float, timeout_s: float) -> int:
        """Delete one batch of records past their retention; return their number."""
        if self._table_term < 0:
            # No request with a key has arrived here yet, so the table may not exist.
            return 0
        await self.ensure_table(session, term, timeout_s)
        statement = Statement(PRUNE_SQL, (now - self._retention_s, self._prune_batch))
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
        """Execute the ledger's own statements; errors carry `executed` "no" for the request."""
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
            raise UnavailableError(f"a statement on the ledger failed: {error.message}") from error


def _record(row: Sequence[object]) -> LedgerRecord:
    request_digest, answer = row
    raw = base64.b64decode(str(answer or ""))
    results = msgspec.msgpack.decode(raw, type=tuple[WireResult, ...]) if raw else ()
    return LedgerRecord(str(request_digest), results)
