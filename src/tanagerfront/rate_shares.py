"""Rates of organisations over the whole fleet, divided among the VMs, which lend to each other.

Each VM refills its share of an organisation's bucket at 1/n of the rate, n being the number of VMs
with a valid lease. Lending moves tokens and never creates any, so the sum over all VMs keeps the
organisation's rate and burst, also when messages are lost and on VMs that are cut off.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import NamedTuple

import trio

from .session_model import Organisation

__all__ = ["RateShare", "RateShares", "ShareRequest"]

# Extra capacity of all shares together, so that a share of a small burst holds a whole token.
EXTRA_TOKENS = 6.0
# Seconds of its own recent use that a VM keeps when it lends.
RESERVE_S = 0.25
USE_SMOOTHING_S = 1.0
# A request for tokens that a peer does not answer within this time goes to the next peer.
LOAN_TIMEOUT_S = 0.04
MAX_LOAN_ATTEMPTS = 3
MAX_LOAN_TOKENS = 8


class ShareRequest(NamedTuple):
    """A request of a VM for tokens of an organisation."""

    organisation: str
    tokens: int


class RateShare:
    """One VM's share of one organisation's bucket; starts empty, because it may be a restart."""

    def __init__(self, now: float) -> None:
        self._tokens = 0.0
        self._rate_per_s = 0.0
        self._capacity = 0.0
        self._refilled_at = now
        self._use_per_s = 0.0

    @property
    def tokens(self) -> float:
        """Return the tokens at the time of the last refill."""
        return self._tokens

    @property
    def loan_size(self) -> int:
        """Return how many tokens to borrow at once; more would not fit into the share."""
        return max(1, min(MAX_LOAN_TOKENS, int(self._capacity)))

    def set_limits(self, now: float, rate_per_s: float, capacity: float) -> None:
        """Change the share's rate and capacity."""
        self._refill(now)
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def take(self, now: float) -> bool:
        """Use one token if there is one."""
        self._refill(now)
        self._use_per_s += 1.0 / USE_SMOOTHING_S
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def give_back(self) -> None:
        """Return the token of a request that did not run."""
        self._tokens = min(self._capacity, self._tokens + 1.0)

    def add(self, count: int) -> None:
        """Add borrowed tokens, of which one is about to be used."""
        self._tokens = min(self._capacity + 1.0, self._tokens + count)

    def lend(self, now: float, wanted: int) -> int:
        """Give away tokens that this VM does not need soon."""
        self._refill(now)
        spare = self._tokens - min(self._use_per_s * RESERVE_S, self._capacity / 2)
        count = max(0, min(wanted, int(spare)))
        self._tokens -= count
        return count

    def surplus(self, now: float) -> float:
        """Return the tokens this VM would lend."""
        self._refill(now)
        return max(0.0, self._tokens - self._use_per_s * RESERVE_S)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        room = max(0.0, self._capacity - self._tokens)
        self._tokens += min(room, elapsed * self._rate_per_s)
        self._use_per_s *= max(0.0, 1.0 - elapsed / USE_SMOOTHING_S)


Borrow = Callable[[ShareRequest, int], Awaitable[int]]
"""Ask the `attempt`-th best peer for tokens and return how many it gave."""


class RateShares:
    """The shares of all organisations on this VM."""

    def __init__(self, borrow: Borrow) -> None:
        self._borrow = borrow
        self._shares: dict[str, RateShare] = {}

    def configure(self, organisations: Mapping[str, Organisation], vms: int) -> None:
        """Take in the limits of a configuration and the number of VMs that share them."""
        now = trio.current_time()
        count = max(1, vms)
        extra = EXTRA_TOKENS / count
        for name, limits in organisations.items():
            share = self._shares.setdefault(name, RateShare(now))
            share.set_limits(now, limits.rate_per_s / count, limits.burst / count + extra)
        for name in [each for each in self._shares if each not in organisations]:
            del self._shares[name]

    async def take(self, organisation: str) -> bool:
        """Use one token of an organisation, borrowing if needed; return whether there was one."""
        share = self._shares.get(organisation)
        if share is None:
            return False
        if share.take(trio.current_time()):
            return True
        for attempt in range(MAX_LOAN_ATTEMPTS):
            wanted = ShareRequest(organisation, share.loan_size)
            lent = await self._borrow(wanted, attempt)
            if lent < 0:
                break
            share.add(lent)
            if share.take(trio.current_time()):
                return True
        return False

    def give_back(self, organisation: str) -> None:
        """Return the token of a request that did not run."""
        share = self._shares.get(organisation)
        if share is not None:
            share.give_back()

    def lend(self, request: ShareRequest) -> int:
        """Give tokens to a peer."""
        share = self._shares.get(request.organisation)
        return share.lend(trio.current_time(), request.tokens) if share is not None else 0

    def surpluses(self) -> dict[str, int]:
        """Return the whole tokens that this VM would lend, by organisation."""
        now = trio.current_time()
        found = ((name, int(share.surplus(now))) for name, share in self._shares.items())
        return {name: count for name, count in found if count > 0}
