"""Selection of the instance for a read or write."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from .configuration import Mode
from .entry_id import ZERO, EntryId, term_at
from .errors import SessionLostError
from .groups import GroupSnapshot, InstanceSnapshot

__all__ = [
    "InstanceChoice",
    "choose_instance",
    "includes_entry",
    "replica_will_catch_up",
    "replica_is_eligible",
]

# A replica in another failure domain is taken only if it is less loaded by this much.
OTHER_FAILURE_DOMAIN_LOAD = 0.25


class InstanceChoice(NamedTuple):
    """The selected instance."""

    instance: InstanceSnapshot
    by_replica: bool
    term: int


def choose_instance(
    snapshot: GroupSnapshot,
    mode: Mode,
    session_entry: EntryId,
    max_staleness_s: float | None,
    own_failure_domain: str,
    load: Callable[[str], float],
    now: float,
) -> InstanceChoice | None:
    """Return the instance to use, or None while there is none; raises SessionLostError.

    Writes and reads without a stated age go to the primary. A read without a stated age has not
    accepted older data, also when a replica is past its session's entry: G1 would hold, but a
    caller without a token would see replicas go back in time. A read with a stated age goes to a
    replica that passes `replica_serves`; these are the eligible reads of the replica target. If
    no replica passes, the primary serves it.
    """
    _check_session(snapshot, session_entry)
    if mode == "read" and max_staleness_s is not None:
        eligible = [
            each
            for each in snapshot.instances
            if replica_is_eligible(snapshot, each, session_entry, max_staleness_s, now)
        ]
        if eligible:

            def cost(each: InstanceSnapshot) -> float:
                near = each.instance.failure_domain == own_failure_domain
                return load(each.instance.name) + (0.0 if near else OTHER_FAILURE_DOMAIN_LOAD)

            return InstanceChoice(min(eligible, key=cost), True, snapshot.term)
    return _primary_choice(snapshot, session_entry)


def replica_is_eligible(
    snapshot: GroupSnapshot,
    replica: InstanceSnapshot,
    session_entry: EntryId,
    max_staleness_s: float,
    now: float,
) -> bool:
    """Tell whether a replica's data is young enough and at or past the session's entry.

    The replica must be in the group's term or a later one: one that was not fenced may still
    follow a replaced primary. Its last applied entry must be in the primary's history, so that
    no entry is served that a failover has discarded.
    """
    status = replica.status
    if status is None or status.role != "replica" or status.term < snapshot.term:
        return False
    if not replica.reachable or replica.instance.leaving:
        return False
    if status.age_ms / 1000 + (now - replica.observed_at) > max_staleness_s:
        return False
    applied = EntryId(term_at(status.applied, status.term_starts), status.applied)
    if not _in_primary_history(snapshot, applied):
        return False
    return session_entry == ZERO or includes_entry(applied, session_entry, status.term_starts)


def replica_will_catch_up(
    snapshot: GroupSnapshot, session_entry: EntryId, max_staleness_s: float, now: float
) -> bool:
    """Tell whether some replica has received the session's entry and will serve once applied."""
    return any(
        replica_is_eligible(snapshot, each, ZERO, max_staleness_s, now)
        and each.status is not None
        and each.status.held >= session_entry.position > each.status.applied
        and term_at(session_entry.position, each.status.term_starts) == session_entry.term
        for each in snapshot.instances
    )


def includes_entry(
    reached: EntryId, session_entry: EntryId, term_starts: tuple[tuple[int, int], ...]
) -> bool:
    """Tell whether data at `reached` includes the session's entry.

    Entries of one term form one sequence. Across terms, `term_starts` has to know both entries.
    """
    if session_entry == ZERO:
        return True
    if reached.position < session_entry.position or reached.term < session_entry.term:
        return False
    if reached.term == session_entry.term:
        return True
    return (
        term_at(reached.position, term_starts) == reached.term
        and term_at(session_entry.position, term_starts) == session_entry.term
    )


def _in_primary_history(snapshot: GroupSnapshot, applied: EntryId) -> bool:
    primary = snapshot.primary.status if snapshot.primary else None
    if primary is None or applied.position > primary.held:
        # The view of the primary is older than the replica's, or there is none: the term decides.
        return applied.term >= (primary.last_term if primary else 0)
    return term_at(applied.position, primary.term_starts) == applied.term


def _check_session(snapshot: GroupSnapshot, session_entry: EntryId) -> None:
    """Raise SessionLostError if the primary's history does not have the session's entry.

    A primary adds no entries of earlier terms, so a missing entry of an earlier term is lost.
    One of the current or a later term is newer than the view, which says nothing about it; nor
    does a status from before the promotion.
    """
    if (
        session_entry == ZERO
        or snapshot.primary is None
        or not _status_is_current(snapshot, snapshot.primary)
    ):
        return
    status = snapshot.primary.status
    if status is None or session_entry.term >= status.term:
        return
    held = session_entry.position <= status.held
    if not held or term_at(session_entry.position, status.term_starts) != session_entry.term:
        raise SessionLostError(
            f"a failover discarded entry {session_entry.position} of term {session_entry.term}"
        )


def _primary_choice(snapshot: GroupSnapshot, session_entry: EntryId) -> InstanceChoice | None:
    primary = snapshot.primary
    if (
        primary is None
        or snapshot.handing_over
        or primary.instance.leaving
        or not primary.reachable
    ):
        return None
    if session_entry.term > snapshot.term:
        # The session has seen a later primary than this VM.
        return None
    if (
        session_entry != ZERO
        and session_entry.term < snapshot.term
        and not _status_is_current(snapshot, primary)
    ):
        # Whether the session's entry survived is only known from a status of this term.
        return None
    return InstanceChoice(primary, False, snapshot.term)


def _status_is_current(snapshot: GroupSnapshot, primary: InstanceSnapshot) -> bool:
    status = primary.status
    return status is not None and status.role == "primary" and status.term >= snapshot.term
