"""Rates of organisations over the whole fleet, divided among VMs that lend to the others.

An organisation's bucket is divided among its holders, which follow from the VMs with a valid
lease. Each refills its share at 1/n of the rate. Lending moves tokens and never creates any, so
the sum over all VMs keeps the organisation's rate and burst, also when messages are lost and on
VMs that are cut off.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import NamedTuple

import trio

from .fleet_roles import rate_holders
from .session_model import Organisation

__all__ = ["RateShare", "RateShares", "TokenLoanRequest", "UNKNOWN_LENDER"]

# Extra capacity of all shares together, so that a share of a small burst holds a whole token.
EXTRA_CAPACITY_TOKENS = 6.0
# Seconds of its own recent use that a VM keeps when it lends.
LENDER_RESERVE_S = 0.25
USE_SMOOTHING_S = 1.0
# A request for tokens that a peer does not answer within this time goes to the next peer.
LOAN_TIMEOUT_S = 0.04
MAX_LOAN_ATTEMPTS = 3
# A VM that starts waits this long for others to register, unless it finds this many.
STARTUP_WAIT_S = 1.0
MIN_STARTUP_VMS = 3
MAX_LOAN_TOKENS = 8
UNKNOWN_LENDER = -1
# Part of what the rules allow above rate and burst in a window of 5 s that a restarted VM's share
# begins with: the former process may have spent the rest.
INITIAL_WINDOW_FRACTION = 0.08
INITIAL_TOKENS = 8.0
RATE_WINDOW_S = 5.0


class TokenLoanRequest(NamedTuple):
    """A request of a VM for tokens of an organisation."""

    organisation: str
    tokens: int


class RateShare:
    """One VM's share of one organisation's bucket."""

    def __init__(self, now: float, tokens: float = 0.0) -> None:
        self._tokens = tokens
        self._rate_per_s = 0.0
        self._capacity = 0.0
        self._refilled_at = now
        self._use_per_s = 0.0

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

    def try_acquire(self, now: float) -> bool:
        """Use one token if there is one."""
        self._refill(now)
        self._use_per_s += 1.0 / USE_SMOOTHING_S
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def refund(self) -> None:
        """Return the token of a request that did not run."""
        self._tokens = min(self._capacity, self._tokens + 1.0)

    def add_borrowed(self, count: int) -> None:
        """Add borrowed tokens, of which one is about to be used."""
        self._tokens = min(self._capacity + 1.0, self._tokens + count)

    def lend(self, now: float, requested: int) -> int:
        """Give away tokens that this VM does not need soon."""
        self._refill(now)
        spare = self._tokens - min(self._use_per_s * LENDER_RESERVE_S, self._capacity / 2)
        count = max(0, min(requested, int(spare)))
        self._tokens -= count
        return count

    def surplus(self, now: float) -> float:
        """Return the tokens this VM would lend."""
        self._refill(now)
        return max(0.0, self._tokens - self._use_per_s * LENDER_RESERVE_S)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        room = max(0.0, self._capacity - self._tokens)
        self._tokens += min(room, elapsed * self._rate_per_s)
        self._use_per_s *= max(0.0, 1.0 - elapsed / USE_SMOOTHING_S)


Borrow = Callable[[TokenLoanRequest, str], Awaitable[int]]
"""Ask a VM for tokens; return how many it gave, or NO_LENDER if it is not known."""


class RateShares:
    """The shares of all organisations on this VM."""

    def __init__(self, own: str, borrow: Borrow, surplus: Callable[[str, str], int]) -> None:
        self._own = own
        self._borrow = borrow
        self._surplus = surplus
        self._shares: dict[str, RateShare] = {}
        self._lenders: dict[str, tuple[str, ...]] = {}
        self._configured = False
        self._startup_ends_at = trio.current_time() + STARTUP_WAIT_S

    @property
    def configured(self) -> bool:
        """Tell whether the shares are in use."""
        return self._configured

    def configure(self, organisations: Mapping[str, Organisation], vms: Sequence[str]) -> None:
        """Take in the limits of a configuration and the VMs that share them."""
        now = trio.current_time()
        if not self._configured and len(vms) < MIN_STARTUP_VMS and now < self._startup_ends_at:
            # The first VM of a starting fleet would take the whole rate for itself.
            return
        for name, limits in organisations.items():
            holders = rate_holders(limits, vms)
            count = len(holders)
            self._lenders[name] = tuple(each for each in holders if each != self._own)
            share = self._shares.get(name)
            if share is None:
                tokens = self._initial_tokens(limits, count) if self._own in holders else 0.0
                share = self._shares[name] = RateShare(now, tokens)
            if self._own in holders:
                capacity = (limits.burst + EXTRA_CAPACITY_TOKENS) / count
                share.set_limits(now, limits.rate_per_s / count, capacity)
            else:
                # A share of a single token holds what was borrowed and not used.
                share.set_limits(now, 0.0, 1.0)
        for name in [each for each in self._shares if each not in organisations]:
            del self._shares[name]
        self._configured = True

    def _initial_tokens(self, limits: Organisation, holders: int) -> float:
        """Return what a share begins with: little after a start, nothing for a new organisation."""
        if self._configured:
            return 0.0
        window = limits.rate_per_s * RATE_WINDOW_S + limits.burst
        return (INITIAL_TOKENS + INITIAL_WINDOW_FRACTION * window) / holders

    async def try_acquire(self, organisation: str) -> bool:
        """Use one token of an organisation, borrowing if needed; return whether there was one."""
        share = self._shares.get(organisation)
        if share is None:
            return False
        if share.try_acquire(trio.current_time()):
            return True
        # In random order, or the first holders alone would lend where no surplus is known.
        lenders = random.sample(self._lenders[organisation], len(self._lenders[organisation]))
        lenders.sort(key=lambda name: -self._surplus(name, organisation))
        for lender in lenders[:MAX_LOAN_ATTEMPTS]:
            lent = await self._borrow(TokenLoanRequest(organisation, share.loan_size), lender)
            if lent > 0:
                share.add_borrowed(lent)
                if share.try_acquire(trio.current_time()):
                    return True
        return False

    def lenders(self, organisation: str) -> Sequence[str]:
        """Return the other VMs that hold shares of the organisation's rate."""
        return self._lenders.get(organisation, ())

    def refund(self, organisation: str) -> None:
        """Return the token of a request that did not run."""
        share = self._shares.get(organisation)
        if share is not None:
            share.refund()

    def lend(self, request: TokenLoanRequest) -> int:
        """Give tokens to a peer."""
        share = self._shares.get(request.organisation)
        return share.lend(trio.current_time(), request.tokens) if share is not None else 0

    def surpluses(self) -> dict[str, int]:
        """Return the whole tokens that this VM would lend, by organisation."""
        now = trio.current_time()
        found = ((name, int(share.surplus(now))) for name, share in self._shares.items())
        return {name: count for name, count in found if count > 0}
