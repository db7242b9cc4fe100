"""Choice of the instance for a statement of the session interface; pure functions."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .entry_id import EntryId

__all__ = ["Candidate", "choose_candidate", "estimated_delay_s"]

# Opening a connection occupies one of the instance's slots for 12 ms and takes one round trip.
CONNECTION_OPENING_S = 0.015
# Traffic between failure domains is billed, and a round trip takes a few milliseconds longer.
OTHER_FAILURE_DOMAIN_PENALTY_S = 0.004
# The primary serves all writes, so it gets reads only if replicas are slower by this much.
PRIMARY_READ_PENALTY_S = 0.006
# After a replica refused a read because it lagged, it is excluded for this long from reads that
# need a position it isn't known to have.
LAGGING_EXCLUSION_S = 0.15


class Candidate(NamedTuple):
    """An instance that could execute a statement, with the inputs of the choice.

    `connection_limit` is this VM's share of the instance's connections. `reached` is the last log
    position that the instance reported, and `lagging_since` the time of its last refusal for lag.
    """

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


def _may_have_entry(candidate: Candidate, after: EntryId | None, now: float) -> bool:
    """Return whether an instance probably has a log entry, or may have caught up with it by now."""
    if after is None or candidate.is_primary:
        return True
    if candidate.reached is not None and candidate.reached >= after:
        return True
    return now - candidate.lagging_since > LAGGING_EXCLUSION_S


def estimated_delay_s(candidate: Candidate) -> float:
    """Return the expected response time of one more statement, including penalties."""
    requests_ahead = candidate.busy_connections + candidate.waiting_requests
    connections = max(1, candidate.connection_limit)
    delay_s = candidate.response_s * (1.0 + requests_ahead / connections)
    if not candidate.has_idle_connection:
        delay_s += CONNECTION_OPENING_S
    if not candidate.same_failure_domain:
        delay_s += OTHER_FAILURE_DOMAIN_PENALTY_S
    if candidate.is_primary:
        delay_s += PRIMARY_READ_PENALTY_S
    return delay_s


def choose_candidate(
    candidates: Sequence[Candidate], after: EntryId | None, now: float, tried: Iterable[str] = ()
) -> Candidate | None:
    """Return the eligible candidate with the lowest estimated delay, None if there is none.

    A replica is eligible if it probably has the log entry `after`; `tried` are ids to exclude.
    """
    excluded = frozenset(tried)
    eligible = [
        candidate
        for candidate in candidates
        if candidate.id not in excluded
        and candidate.connection_limit > 0
        and _may_have_entry(candidate, after, now)
    ]
    return min(eligible, key=estimated_delay_s, default=None)
