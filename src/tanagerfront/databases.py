"""One database session; the narrow interface to a database."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Literal, NamedTuple

from .entry_id import EntryId

__all__ = ["ExecuteResult", "InstanceStatus", "Statement", "StatementResult", "Value"]

Value = str | int | float | bytes | None


class Statement(NamedTuple):
    """One SQL statement with positional or named parameters."""

    sql: str
    params: Sequence[Value] | Mapping[str, Value] = ()


class StatementResult(NamedTuple):
    """Rows of one statement, or the number of rows it changed."""

    columns: tuple[str, ...]
    rows: tuple[tuple[Value, ...], ...]
    changes: int


class ExecuteResult(NamedTuple):
    """Answer of a database; `reached` is the last log entry that the answer reflects."""

    term: int
    reached: EntryId
    results: tuple[StatementResult, ...]


class InstanceStatus(NamedTuple):
    """Status of one instance; `age_ms` is the age of its applied data in milliseconds."""

    instance: str
    role: Literal["primary", "replica"]
    term: int
    last_term: int
    held: int
    applied: int
    age_ms: float
    term_starts: tuple[tuple[int, int], ...]
    primary: str | None
