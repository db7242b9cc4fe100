"""Identifier of a log entry in a group of databases."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["ZERO", "EntryId", "term_at"]


class EntryId(NamedTuple):
    """Term and position of a log entry; ids of one history are ordered by term, then position."""

    term: int
    position: int


ZERO = EntryId(0, 0)


def term_at(position: int, term_starts: tuple[tuple[int, int], ...]) -> int:
    """Return the term of the entry at `position`, or 0 if it precedes every term.

    `term_starts` holds (term, first position) in ascending order.
    """
    latest_term = 0
    for term, first in term_starts:
        if first <= position:
            latest_term = term
    return latest_term
