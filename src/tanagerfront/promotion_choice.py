"""Which instance of a group becomes primary, decided without input or output (session interface).

The load pattern: a primary fails while one replica lags and another one is about to leave, so that
the acknowledged entries are spread over logs that are not all fit to stay in use.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from .entry_id import EntryId
from .session_model import InstanceRole

__all__ = [
    "Blocked",
    "CatchUp",
    "InstanceReport",
    "LogHolder",
    "Promote",
    "PromotionChoice",
    "choose_successor",
    "is_promoted",
    "most_advanced",
]


class InstanceReport(NamedTuple):
    """Replication status of an instance; `received` is the last entry in its log."""

    role: InstanceRole
    term: int
    received: EntryId


class LogHolder(NamedTuple):
    """An instance whose log may hold acknowledged entries; `report` is None while it is silent."""

    id: str
    report: InstanceReport | None
    # Whether the instance may stay primary; one that is leaving or evacuated has to be replaced.
    stays: bool = True
    # A log that has reached this entry has all entries of the instance; None if that isn't known.
    overtaken_at: EntryId | None = None


@dataclass(frozen=True)
class Promote:
    """Promote an instance now."""

    instance: str


@dataclass(frozen=True)
class CatchUp:
    """Wait for a replica to receive the last entries; then promote the fallback, if any."""

    fallback: str | None


@dataclass(frozen=True)
class Blocked:
    """Promote none: an acknowledged entry may be in the log of a silent instance."""

    silent: Sequence[str]


PromotionChoice = Promote | CatchUp | Blocked


def most_advanced(reports: Mapping[str, InstanceReport]) -> str | None:
    """Return the instance whose log has the newest entry, None without reports."""
    return max(reports, key=lambda name: reports[name].received, default=None)


def is_promoted(report: InstanceReport, term: int) -> bool:
    """Return whether an instance leads the term of a failover, or a later one.

    A primary that was replaced while it was cut off goes on in its old term.
    """
    return report.role is InstanceRole.PRIMARY and report.term >= term


def choose_successor(
    holders: Sequence[LogHolder], last_entry: EntryId | None, term: int, *, synchronous: bool
) -> PromotionChoice:
    """Return which instance to promote; `last_entry` is the old primary's, None if it is silent.

    `term` is that of the failover. A synchronous group acknowledges an entry after one replica has
    received it, whichever that is. Its new primary must have all such entries, so it may be an
    instance that is about to leave.
    """
    answers = {holder.id: holder.report for holder in holders if holder.report is not None}
    # A primary below a reported term has been replaced, whatever the failover's term is.
    promoted_from = max([term, *(report.term for report in answers.values())])
    for name, report in answers.items():
        if is_promoted(report, promoted_from):
            # An earlier order has been done; a second one would give the group two primaries.
            return Promote(name)
    # The log of a replaced primary has entries that were rolled back. It is the last resort.
    replicas = {
        name: report for name, report in answers.items() if report.role is InstanceRole.REPLICA
    }
    reports = replicas or answers
    staying = {
        holder.id: reports[holder.id] for holder in holders if holder.stays and holder.id in reports
    }
    best = most_advanced(staying)
    if last_entry is not None:
        if best is not None and staying[best].received >= last_entry:
            return Promote(best)
        if not synchronous:
            return CatchUp(best)
        return CatchUp(most_advanced(_with_entry(reports, last_entry)))
    if not synchronous:
        return Blocked(()) if best is None else Promote(best)
    silent = _uncovered(holders, reports)
    newest = most_advanced(reports)
    if silent or newest is None:
        return Blocked(silent)
    # No primary is left from which the others could receive the newest entries.
    complete = _with_entry(staying, reports[newest].received)
    return Promote(most_advanced(complete) or newest)


def _with_entry(reports: Mapping[str, InstanceReport], entry: EntryId) -> dict[str, InstanceReport]:
    """Return the reports of the instances whose logs have reached an entry."""
    return {name: report for name, report in reports.items() if report.received >= entry}


def _uncovered(holders: Sequence[LogHolder], reports: Mapping[str, InstanceReport]) -> list[str]:
    """Return the silent instances whose entries no report is certain to contain."""
    newest = max((report.received for report in reports.values()), default=None)
    return [
        holder.id
        for holder in holders
        if holder.report is None
        and (newest is None or holder.overtaken_at is None or newest < holder.overtaken_at)
    ]
