"""Fleet-wide rate limits of organisations, as token buckets divided among VMs.

Part of the session interface. An organisation's token bucket is divided into rate shares among
its holders, which are derived from the VMs with a valid lease. Each holder refills its share at
1/n of the rate. Loans move tokens between VMs and never create any, so the fleet as a whole stays
within the organisation's rate and burst, also when messages are lost or VMs are partitioned.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import NamedTuple

import trio

from .fleet_roles import RateHolders
from .session_model import Organisation

__all__ = ["RateShare", "RateShares", "TokenLoanRequest", "UNKNOWN_LENDER"]

# Added to the burst before it is divided, so that a share of a small burst holds a whole token.
EXTRA_CAPACITY_TOKENS = 6.0
# A lender keeps the tokens for this much time at its own recent rate of use.
LENDER_RESERVE_S = 0.25
USE_SMOOTHING_S = 1.0
# After this time without a reply, the loan is requested from the next peer.
LOAN_TIMEOUT_S = 0.04
MAX_LOAN_ATTEMPTS = 3
# A starting VM waits this long for other VMs to register, unless this many are registered.
STARTUP_WAIT_S = 1.0
MIN_STARTUP_VMS = 3
MAX_LOAN_TOKENS = 8
# Age at which the announced surpluses are computed again, short compared with the 0.3 s between
# heartbeats.
SURPLUS_INTERVAL_S = 0.1
UNKNOWN_LENDER = -1
# Initial tokens of a restarted VM's share: a fixed number and a fraction of the rate and burst over
# a window, out of the overage that the limit tolerates in that window. The previous process may
# have spent the rest.
INITIAL_WINDOW_FRACTION = 0.08
INITIAL_TOKENS = 8.0
RATE_WINDOW_S = 5.0


class TokenLoanRequest(NamedTuple):
    """A VM's request to borrow tokens of an organisation."""

    organisation: str
    tokens: int


class RateShare:
    """One VM's share of one organisation's token bucket."""

    def __init__(self, now: float, tokens: float = 0.0) -> None:
        self._tokens = tokens
        self._rate_per_s = 0.0
        self._capacity = 0.0
        self._refilled_at = now
        self._use_per_s = 0.0

    @property
    def loan_size(self) -> int:
        """Return how many tokens to borrow at once, within the capacity of the share."""
        return max(1, min(MAX_LOAN_TOKENS, int(self._capacity)))

    def set_limits(self, now: float, rate_per_s: float, capacity: float) -> None:
        """Set the share's refill rate and its capacity in tokens."""
        self._refill(now)
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def try_acquire(self, now: float) -> bool:
        """Consume one token if available; return whether one was."""
        self._refill(now)
        self._use_per_s += 1.0 / USE_SMOOTHING_S
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def refund(self) -> None:
        """Return the token of a request that was not executed."""
        self._tokens = min(self._capacity, self._tokens + 1.0)

    def add_borrowed(self, count: int) -> None:
        """Add borrowed tokens; one may exceed the capacity, because it is consumed at once."""
        self._tokens = min(self._capacity + 1.0, self._tokens + count)

    def lend(self, now: float, requested: int) -> int:
        """Remove up to `requested` tokens that this VM doesn't need soon; return how many."""
        count = min(requested, int(self.surplus(now)))
        self._tokens -= count
        return count

    def surplus(self, now: float) -> float:
        """Return how many tokens this VM could lend."""
        self._refill(now)
        reserve = min(self._use_per_s * LENDER_RESERVE_S, self._capacity / 2)
        return max(0.0, self._tokens - reserve)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        free_capacity = max(0.0, self._capacity - self._tokens)
        self._tokens += min(free_capacity, elapsed * self._rate_per_s)
        self._use_per_s *= max(0.0, 1.0 - elapsed / USE_SMOOTHING_S)


Borrow = Callable[[TokenLoanRequest, str], Awaitable[int]]
"""Borrow tokens from a VM; return how many it lent, or UNKNOWN_LENDER."""


class RateShares:
    """This VM's rate shares of all organisations."""

    def __init__(
        self, own_vm: str, borrow: Borrow, known_surplus: Callable[[str, str], int]
    ) -> None:
        self._own_vm = own_vm
        self._borrow = borrow
        self._known_surplus = known_surplus
        self._shares: dict[str, RateShare] = {}
        self._lenders: dict[str, tuple[str, ...]] = {}
        self._holders = RateHolders()
        # Names of the organisations of whose buckets this VM holds a share.
        self._held: frozenset[str] = frozenset()
        self._surpluses: dict[str, int] = {}
        self._surpluses_at = float("-inf")
        self._configured = False
        self._divided: tuple[Mapping[str, Organisation], tuple[str, ...]] | None = None
        self._startup_ends_at = trio.current_time() + STARTUP_WAIT_S

    @property
    def configured(self) -> bool:
        """Return whether the shares have been configured."""
        return self._configured

    def configure(self, organisations: Mapping[str, Organisation], vms: Sequence[str]) -> None:
        """Apply the limits of a configuration, divided among the holders out of `vms`."""
        now = trio.current_time()
        if not self._configured and len(vms) < MIN_STARTUP_VMS and now < self._startup_ends_at:
            # Otherwise the first VM of a starting fleet would assume the whole rate.
            return
        divided = (organisations, tuple(vms))
        if divided == self._divided:
            # A configuration that only changes routes; ranking all VMs for each organisation would
            # delay statements.
            return
        self._divided = divided
        all_holders = self._holders.update(organisations.values(), vms)
        for name, limits in organisations.items():
            holders = all_holders[limits.name]
            count = len(holders)
            self._lenders[name] = tuple(holder for holder in holders if holder != self._own_vm)
            share = self._shares.get(name)
            if share is None:
                tokens = self._initial_tokens(limits, count) if self._own_vm in holders else 0.0
                share = self._shares[name] = RateShare(now, tokens)
            if self._own_vm in holders:
                capacity = (limits.burst + EXTRA_CAPACITY_TOKENS) / count
                share.set_limits(now, limits.rate_per_s / count, capacity)
            else:
                # A capacity of one token keeps a borrowed token that was not used.
                share.set_limits(now, 0.0, 1.0)
        for name in [name for name in self._shares if name not in organisations]:
            del self._shares[name]
        self._held = frozenset(
            name
            for name, limits in organisations.items()
            if self._own_vm in all_holders[limits.name]
        )
        self._surpluses_at = float("-inf")
        self._configured = True

    def _initial_tokens(self, limits: Organisation, holders: int) -> float:
        """Return a share's initial tokens: few after a start, none for a new organisation."""
        if self._configured:
            return 0.0
        window = limits.rate_per_s * RATE_WINDOW_S + limits.burst
        return (INITIAL_TOKENS + INITIAL_WINDOW_FRACTION * window) / holders

    async def try_acquire(self, organisation: str) -> bool:
        """Consume one token, borrowed from a peer if needed; return whether one was available."""
        share = self._shares.get(organisation)
        if share is None:
            return False
        if share.try_acquire(trio.current_time()):
            return True
        # In random order, because the first holders would get all requests if no surplus is known.
        lenders = random.sample(self._lenders[organisation], len(self._lenders[organisation]))
        lenders.sort(key=lambda name: -self._known_surplus(name, organisation))
        for lender in lenders[:MAX_LOAN_ATTEMPTS]:
            lent = await self._borrow(TokenLoanRequest(organisation, share.loan_size), lender)
            if lent > 0:
                share.add_borrowed(lent)
                if share.try_acquire(trio.current_time()):
                    return True
        return False

    def lenders(self, organisation: str) -> Sequence[str]:
        """Return the other VMs that hold rate shares of the organisation."""
        return self._lenders.get(organisation, ())

    def refund(self, organisation: str) -> None:
        """Return the token of a request that was not executed."""
        share = self._shares.get(organisation)
        if share is not None:
            share.refund()

    def lend(self, request: TokenLoanRequest) -> int:
        """Lend tokens to a peer; return how many."""
        share = self._shares.get(request.organisation)
        return share.lend(trio.current_time(), request.tokens) if share is not None else 0

    def surpluses(self) -> dict[str, int]:
        """Return how many whole tokens this VM could lend, by organisation.

        Only holders are asked for loans. The result may be SURPLUS_INTERVAL_S old: a coordinator
        sends it with each reply to the heartbeats of the whole fleet.
        """
        now = trio.current_time()
        if now - self._surpluses_at >= SURPLUS_INTERVAL_S:
            counts = ((name, int(self._shares[name].surplus(now))) for name in self._held)
            self._surpluses = {name: count for name, count in counts if count > 0}
            self._surpluses_at = now
        return self._surpluses
