"""One part of an organisation's token bucket.

The caller passes the current time, in seconds, to each method.
"""

from __future__ import annotations

import itertools
import math
import random
from typing import NamedTuple

__all__ = ["BucketPart", "Grant", "part_capacity", "part_count"]

# The number of parts is limited so that each part gains a token within this time. A request that
# finds only fractions of tokens in the parts then waits instead of being refused.
TOKEN_WAIT_S = 0.25


def part_count(rate: float, burst: float, max_parts: int) -> int:
    """Return the number of parts of a bucket, fewer for a low rate or a small burst."""
    return max(1, min(max_parts, math.floor(burst), math.floor(rate * TOKEN_WAIT_S)))


def part_capacity(burst: float, parts: int, index: int) -> float:
    """Return the burst of one part, in whole tokens; the first part also has the fraction."""
    whole = math.floor(burst)
    base, extra = divmod(whole, parts)
    return base + (1 if index < extra else 0) + (burst - whole if index == 0 else 0)


class Grant(NamedTuple):
    """Tokens granted to a requester, possibly none."""

    id: int
    tokens: int


class _OutstandingGrant:
    """A grant with tokens that may still be spent."""

    def __init__(self, count: int, expires_at: float) -> None:
        self.count = count
        self.expires_at = expires_at
        self.spent = 0.0
        self.returned = 0.0

    @property
    def remaining(self) -> float:
        return max(0.0, self.count - self.spent - self.returned)


class BucketPart:
    """Token bucket whose available and outstanding tokens together never exceed its capacity.

    The tokens spent in any time window are therefore at most the capacity plus those that the rate
    adds during the window, whether the grants are spent, returned or expire.
    """

    def __init__(
        self, rate: float, capacity: float, now: float, *, rng: random.Random | None = None
    ) -> None:
        self._rate = rate
        self._capacity = capacity
        self._available = 0.0
        self._refilled_at = now
        self._grants: dict[int, _OutstandingGrant] = {}
        # The random start prevents a report about a previous owner's grant from matching a grant of
        # this owner.
        self._grant_ids = itertools.count((rng or random.Random()).getrandbits(40) << 20)

    @property
    def capacity(self) -> float:
        """Return the maximum number of tokens of the part."""
        return self._capacity

    @property
    def outstanding(self) -> float:
        """Return how many granted tokens may still be spent."""
        return sum(grant.remaining for grant in self._grants.values())

    def reconfigure(self, rate: float, capacity: float, now: float) -> None:
        """Change the rate, in tokens per second, and the capacity."""
        self._advance(now)
        self._rate, self._capacity = rate, capacity
        self._available = max(0.0, min(self._available, capacity - self.outstanding))

    def available(self, now: float) -> float:
        """Return how many tokens can be granted."""
        self._advance(now)
        return self._available

    def grant(self, count: float, expires_at: float, now: float) -> Grant:
        """Grant at most `count` whole tokens, which must not be spent after `expires_at`."""
        self._advance(now)
        granted = max(0, math.floor(min(count, self._available)))
        grant_id = next(self._grant_ids)
        if granted:
            self._available -= granted
            self._grants[grant_id] = _OutstandingGrant(granted, expires_at)
        return Grant(grant_id, granted)

    def record_report(self, grant_id: int, spent: float, returned: float, now: float) -> None:
        """Record the total numbers of spent and returned tokens of a grant.

        With totals, repeated, late and reordered reports have no further effect.
        """
        self._advance(now)
        grant = self._grants.get(grant_id)
        if grant is None:
            return
        grant.spent = max(grant.spent, min(spent, grant.count))
        returned_before = grant.returned
        grant.returned = max(returned_before, min(returned, grant.count - grant.spent))
        self._available += grant.returned - returned_before
        if grant.remaining <= 0:
            del self._grants[grant_id]

    def wait_s(self, now: float) -> float:
        """Return the seconds until the rate has added enough for one token, inf if it is 0.

        Outstanding tokens can make the wait longer, since they take up capacity.
        """
        missing = 1.0 - self.available(now)
        return max(0.0, missing / self._rate) if self._rate > 0 else math.inf

    def _advance(self, now: float) -> None:
        """Add the tokens gained up to `now`, in steps that end where a grant expired."""
        expiry_times = sorted({g.expires_at for g in self._grants.values() if g.expires_at <= now})
        for until in [*expiry_times, now]:
            self._refill(max(until, self._refilled_at))
            self._grants = {
                grant_id: grant
                for grant_id, grant in self._grants.items()
                if grant.expires_at > until
            }

    def _refill(self, until: float) -> None:
        added = (until - self._refilled_at) * self._rate
        free_capacity = max(0.0, self._capacity - self.outstanding - self._available)
        self._available += min(added, free_capacity)
        self._refilled_at = until
