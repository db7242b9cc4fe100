"""Instance selection for reads and writes of the HTTP interface; pure functions."""

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

# Load difference from which a replica in another failure domain is preferred.
OTHER_FAILURE_DOMAIN_COST = 0.25


class InstanceChoice(NamedTuple):
    """The selected instance and the group's term."""

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

    Writes and reads without a staleness bound go to the primary. A read without a bound does not
    accept older data, even if a replica is past its session's entry: G1 would hold, but a caller
    without a token would see data go back in time between replicas. A read with a bound goes to a
    replica for which `replica_is_eligible` holds; these are the eligible reads of the replica
    target. If there is none, the primary serves it.
    """
    _check_session(snapshot, session_entry)
    if mode == "read" and max_staleness_s is not None:
        eligible = [
            replica
            for replica in snapshot.instances
            if replica_is_eligible(snapshot, replica, session_entry, max_staleness_s, now)
        ]
        if eligible:

            def cost(replica: InstanceSnapshot) -> float:
                same_domain = replica.instance.failure_domain == own_failure_domain
                return load(replica.instance.name) + (
                    0.0 if same_domain else OTHER_FAILURE_DOMAIN_COST
                )

            return InstanceChoice(min(eligible, key=cost), True, snapshot.term)
    return _primary_choice(snapshot, session_entry)


def replica_is_eligible(
    snapshot: GroupSnapshot,
    replica: InstanceSnapshot,
    session_entry: EntryId,
    max_staleness_s: float,
    now: float,
) -> bool:
    """Return whether a replica is within the staleness bound and includes the session's entry.

    The replica must be in the group's term or a later one: an unfenced replica may still
    replicate from a replaced primary. Its last applied entry must be in the primary's history, so
    that no entry is served that a failover has discarded.
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
    """Return whether a replica has received the session's entry and only has to apply it."""
    return any(
        replica_is_eligible(snapshot, replica, ZERO, max_staleness_s, now)
        and replica.status is not None
        and replica.status.held >= session_entry.position > replica.status.applied
        and term_at(session_entry.position, replica.status.term_starts) == session_entry.term
        for replica in snapshot.instances
    )


def includes_entry(
    reached: EntryId, session_entry: EntryId, term_starts: tuple[tuple[int, int], ...]
) -> bool:
    """Return whether data at `reached` includes the session's entry.

    Entries of one term form one sequence. Entries of different terms are compared only if
    `term_starts` covers both.
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
        # The primary's status is older than the replica's or missing, so the term decides.
        return applied.term >= (primary.last_term if primary else 0)
    return term_at(applied.position, primary.term_starts) == applied.term


def _check_session(snapshot: GroupSnapshot, session_entry: EntryId) -> None:
    """Raise SessionLostError if the primary's history does not have the session's entry.

    A primary adds no entries of earlier terms, so a missing entry of an earlier term is lost.
    An entry of the current or a later term may be newer than the snapshot, so its absence proves
    nothing. A status from before the promotion is not used either.
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
        # The session has used a later primary than the one this VM knows.
        return None
    if (
        session_entry != ZERO
        and session_entry.term < snapshot.term
        and not _status_is_current(snapshot, primary)
    ):
        # Only a status of this term shows whether the session's entry survived the failover.
        return None
    return InstanceChoice(primary, False, snapshot.term)


def _status_is_current(snapshot: GroupSnapshot, primary: InstanceSnapshot) -> bool:
    status = primary.status
    return status is not None and status.role == "primary" and status.term >= snapshot.term
