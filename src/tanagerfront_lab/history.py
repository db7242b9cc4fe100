"""Records of the operations of concurrent callers, stored as JSON lines."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Literal, NamedTuple

__all__ = ["FinalRow", "History", "Operation", "read_history", "write_history"]


class Operation(NamedTuple):
    """One call; times are in seconds of the recorder's monotonic clock.

    A write adds the row (ref, session, seq); a read returns the seqs of its session in `seen`.
    `executed` is `yes` for an acknowledged call, otherwise the value in the error. `repeats` is the
    ref of a write of unknown outcome that the caller sent again without an idempotency key.
    """

    kind: Literal["write", "read"]
    group: str
    organisation: str
    session: str
    vm: str
    started: float
    ended: float
    status: int
    executed: Literal["no", "unknown", "yes"]
    ref: str = ""
    seq: int = 0
    seen: tuple[int, ...] = ()
    by_replica: bool = False
    eligible: bool = False
    problem: str = ""
    repeats: str = ""

    @property
    def acknowledged(self) -> bool:
        """Return whether the operation succeeded."""
        return self.status == 200


class FinalRow(NamedTuple):
    """A row read from the primary of a group after the run."""

    group: str
    ref: str
    session: str
    seq: int


class History(NamedTuple):
    """Operations in the order in which they ended, and the final rows of the groups."""

    operations: tuple[Operation, ...]
    rows: tuple[FinalRow, ...]


def write_history(path: Path, history: History) -> None:
    """Write a history as JSON lines."""
    with path.open("w", encoding="utf-8") as file:
        for operation in history.operations:
            file.write(json.dumps(operation._asdict()) + "\n")
        for row in history.rows:
            file.write(json.dumps(row._asdict()) + "\n")


def _parse(lines: Iterable[str]) -> Iterator[Operation | FinalRow]:
    for line in lines:
        fields = json.loads(line)
        if "kind" in fields:
            fields["seen"] = tuple(fields["seen"])
            yield Operation(**fields)
        else:
            yield FinalRow(**fields)


def read_history(path: Path) -> History:
    """Read a history written by `write_history`."""
    with path.open(encoding="utf-8") as file:
        items = list(_parse(file))
    operations = tuple(item for item in items if isinstance(item, Operation))
    rows = tuple(item for item in items if isinstance(item, FinalRow))
    return History(operations, rows)
