"""Decide whether a write of the HTTP interface is durable across every later promotion."""

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
    # The entry was discarded, or its primary was replaced before the entry was known to be durable.
    LOST = "lost"


def majority_size(size: int) -> int:
    """Return the smallest number of instances that is a majority of `size`."""
    return size // 2 + 1


def _stores_entry(status: InstanceStatus, entry: EntryId) -> bool:
    """Return whether the instance stores the entry and an entry of its own current term.

    An instance whose term is higher than that of its last entry does not count: the promotion that
    fenced it may already have selected another history.
    """
    return (
        status.last_term == status.term
        and status.held >= entry.position
        and term_at(entry.position, status.term_starts) == entry.term
    )


def _is_discarded(status: InstanceStatus, entry: EntryId) -> bool:
    """Return whether the instance is primary of a later term without the entry in its history."""
    return (
        status.role == "primary"
        and status.term > entry.term
        and term_at(entry.position, status.term_starts) != entry.term
    )


def decide_replicated(
    entry: EntryId, statuses: Collection[InstanceStatus], group_size: int
) -> Verdict:
    """Check for a majority that stores the entry in one term."""
    majority = majority_size(group_size)
    # The primary of the entry's term stores it, as it created the entry.
    creating_primaries = {
        status.instance
        for status in statuses
        if status.role == "primary" and status.term == entry.term
    }
    for term in {status.term for status in statuses if status.term >= entry.term}:
        holders = {
            status.instance
            for status in statuses
            if status.term == term and _stores_entry(status, entry)
        }
        if term == entry.term:
            holders |= creating_primaries
        if len(holders) >= majority:
            return Verdict.ACKNOWLEDGED
    if any(_is_discarded(status, entry) for status in statuses):
        return Verdict.LOST
    return Verdict.PENDING


def decide_majority_term(entry: EntryId, terms: Collection[int], group_size: int) -> Verdict:
    """Check for a majority in the entry's term; `terms` must be requested after the write."""
    if any(term > entry.term for term in terms):
        return Verdict.LOST
    in_same_term = sum(1 for term in terms if term == entry.term)
    return Verdict.ACKNOWLEDGED if in_same_term >= majority_size(group_size) else Verdict.PENDING
