"""Choice of the instance for a statement; a decision without input or output."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .entry_id import EntryId

__all__ = ["Candidate", "choose_candidate", "estimated_delay_s"]

# A new connection takes 12 ms of an instance's slot and one round trip.
OPENING_S = 0.015
# Bytes between failure domains are priced, and a round trip takes a few milliseconds more.
OTHER_DOMAIN_S = 0.004
# The primary serves every write; reads go there when replicas are this much busier.
PRIMARY_READ_S = 0.006
# A replica that lacked a position is not asked for a later one for this long.
LAGGING_S = 0.15


class Candidate(NamedTuple):
    """What is known of an instance that could serve; times in seconds."""

    id: str
    is_primary: bool
    same_failure_domain: bool
    has_idle_connection: bool
    busy_connections: int
    waiting_requests: int
    connection_limit: int
    response_s: float
    reached: EntryId | None
    lagging_since: float


def _may_reach(candidate: Candidate, after: EntryId | None, now: float) -> bool:
    """Tell whether a replica probably has an entry already."""
    if after is None or candidate.is_primary:
        return True
    if candidate.reached is not None and candidate.reached >= after:
        return True
    return now - candidate.lagging_since > LAGGING_S


def estimated_delay_s(candidate: Candidate) -> float:
    """Return the expected time until an instance answers one more statement."""
    ahead = candidate.busy_connections + candidate.waiting_requests
    slots = max(1, candidate.connection_limit)
    delay_s = candidate.response_s * (1.0 + ahead / slots)
    if not candidate.has_idle_connection:
        delay_s += OPENING_S
    if not candidate.same_failure_domain:
        delay_s += OTHER_DOMAIN_S
    if candidate.is_primary:
        delay_s += PRIMARY_READ_S
    return delay_s


def choose_candidate(
    candidates: Sequence[Candidate], after: EntryId | None, now: float, tried: Iterable[str] = ()
) -> Candidate | None:
    """Return the candidate that probably answers first, None if none may serve."""
    excluded = frozenset(tried)
    able = [
        each
        for each in candidates
        if each.id not in excluded and each.connection_limit > 0 and _may_reach(each, after, now)
    ]
    return min(able, key=estimated_delay_s, default=None)
