"""One part of an organisation's token bucket, driven by explicit times."""

from __future__ import annotations

import itertools
import math
import random
from typing import NamedTuple

__all__ = ["BucketPart", "Grant", "part_capacity", "part_count"]

# Part counts are chosen so that one part gains a token within this time; a request that finds
# only fractions of tokens in the parts then waits instead of being refused.
TOKEN_WAIT_S = 0.25


def part_count(rate: float, burst: float, max_parts: int) -> int:
    """Return into how many parts a bucket is divided; slow or small buckets have fewer."""
    return max(1, min(max_parts, math.floor(burst), math.floor(rate * TOKEN_WAIT_S)))


def part_capacity(burst: float, parts: int, index: int) -> float:
    """Return the burst of one part; whole tokens, but for the rest that the first part has."""
    whole = math.floor(burst)
    base, extra = divmod(whole, parts)
    return base + (1 if index < extra else 0) + (burst - whole if index == 0 else 0)


class Grant(NamedTuple):
    """Tokens handed to a requester, possibly none."""

    id: int
    tokens: int


class _Outstanding:
    """Tokens of a grant that may still be spent."""

    def __init__(self, count: int, expires_at: float) -> None:
        self.count = count
        self.expires_at = expires_at
        self.spent = 0.0
        self.returned = 0.0

    @property
    def remaining(self) -> float:
        return max(0.0, self.count - self.spent - self.returned)


class BucketPart:
    """Tokens of one part; available and outstanding ones together never exceed the capacity.

    So what can be spent in a window is at most the capacity plus what the rate adds during it,
    whatever becomes of the grants.
    """

    def __init__(
        self, rate: float, capacity: float, now: float, *, rng: random.Random | None = None
    ) -> None:
        self._rate = rate
        self._capacity = capacity
        self._available = 0.0
        self._refilled_at = now
        self._grants: dict[int, _Outstanding] = {}
        # A report about a grant of an earlier holder must not match a grant of this one.
        self._ids = itertools.count((rng or random.Random()).getrandbits(40) << 20)

    @property
    def capacity(self) -> float:
        """Return how many tokens the part can have."""
        return self._capacity

    @property
    def outstanding(self) -> float:
        """Return how many granted tokens may still be spent."""
        return sum(grant.remaining for grant in self._grants.values())

    def reconfigure(self, rate: float, capacity: float, now: float) -> None:
        """Change rate in tokens per second and capacity."""
        self._advance(now)
        self._rate, self._capacity = rate, capacity
        self._available = max(0.0, min(self._available, capacity - self.outstanding))

    def available(self, now: float) -> float:
        """Return how many tokens can be granted."""
        self._advance(now)
        return self._available

    def grant(self, count: float, expires_at: float, now: float) -> Grant:
        """Grant whole tokens, at most `count`, that are not spent after `expires_at`."""
        self._advance(now)
        granted = max(0, math.floor(min(count, self._available)))
        number = next(self._ids)
        if granted:
            self._available -= granted
            self._grants[number] = _Outstanding(granted, expires_at)
        return Grant(number, granted)

    def record_report(self, grant: int, spent: float, returned: float, now: float) -> None:
        """Record how many tokens of a grant were spent and returned in total so far.

        Totals make a repeated, late or overtaken report harmless.
        """
        self._advance(now)
        found = self._grants.get(grant)
        if found is None:
            return
        found.spent = max(found.spent, min(spent, found.count))
        before = found.returned
        found.returned = max(before, min(returned, found.count - found.spent))
        self._available += found.returned - before
        if found.remaining <= 0:
            del self._grants[grant]

    def wait_s(self, now: float) -> float:
        """Return the seconds until a token can be granted, if the grants come to an end."""
        missing = 1.0 - self.available(now)
        return max(0.0, missing / self._rate) if self._rate > 0 else math.inf

    def _advance(self, now: float) -> None:
        """Add what the rate gave, step by step at the times at which grants expired."""
        ends = sorted({g.expires_at for g in self._grants.values() if g.expires_at <= now})
        for end in [*ends, now]:
            self._refill(max(end, self._refilled_at))
            self._grants = {
                number: found for number, found in self._grants.items() if found.expires_at > end
            }

    def _refill(self, until: float) -> None:
        added = (until - self._refilled_at) * self._rate
        room = max(0.0, self._capacity - self.outstanding - self._available)
        self._available += min(added, room)
        self._refilled_at = until
