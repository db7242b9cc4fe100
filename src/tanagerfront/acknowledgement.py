"""Decide from the status of a group's instances whether a log entry survives every promotion."""

from __future__ import annotations

import enum
from collections.abc import Collection

from .databases import InstanceStatus
from .entry_id import EntryId, term_at

__all__ = ["Verdict", "decide_replicated", "decide_majority_term", "majority_size"]


class Verdict(enum.Enum):
    """Whether an entry may be acknowledged."""

    ACKNOWLEDGED = "acknowledged"
    PENDING = "pending"
    # The entry was discarded, or its primary was replaced before it was known to be safe.
    LOST = "lost"


def majority_size(size: int) -> int:
    """Return the smallest number of instances that is a majority of `size`."""
    return size // 2 + 1


def _holds(status: InstanceStatus, entry: EntryId) -> bool:
    """Tell whether the instance stores the entry and an entry of the term it is in.

    A holder whose own term is later than its last entry does not count: a promotion that fenced
    it may already have selected another history.
    """
    return (
        status.last_term == status.term
        and status.held >= entry.position
        and term_at(entry.position, status.term_starts) == entry.term
    )


def _is_discarded(status: InstanceStatus, entry: EntryId) -> bool:
    """Tell whether the primary of a later term has a history without the entry."""
    return (
        status.role == "primary"
        and status.term > entry.term
        and term_at(entry.position, status.term_starts) != entry.term
    )


def decide_replicated(
    entry: EntryId, statuses: Collection[InstanceStatus], group_size: int
) -> Verdict:
    """Return whether a majority holds the entry in one term."""
    needed = majority_size(group_size)
    # An entry exists because the primary of its term stored it.
    creators = {
        status.instance
        for status in statuses
        if status.role == "primary" and status.term == entry.term
    }
    for term in {status.term for status in statuses if status.term >= entry.term}:
        holders = {
            status.instance for status in statuses if status.term == term and _holds(status, entry)
        }
        if term == entry.term:
            holders |= creators
        if len(holders) >= needed:
            return Verdict.ACKNOWLEDGED
    if any(_is_discarded(status, entry) for status in statuses):
        return Verdict.LOST
    return Verdict.PENDING


def decide_majority_term(entry: EntryId, terms: Collection[int], group_size: int) -> Verdict:
    """Return whether a majority is still in the entry's term; `terms` were asked for after it."""
    if any(term > entry.term for term in terms):
        return Verdict.LOST
    agreeing = sum(1 for term in terms if term == entry.term)
    return Verdict.ACKNOWLEDGED if agreeing >= majority_size(group_size) else Verdict.PENDING
