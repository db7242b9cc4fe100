"""Failure domains that operators take out of service and give back (session interface).

The load pattern: all instances of a failure domain stop taking new statements at once, while the
primaries among them are still needed until others have been promoted. No input or output.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Collection, Iterable
from typing import NamedTuple

__all__ = ["Evacuation", "Evacuations", "OrderOutcome", "concurrent_moves"]

# Open transactions end after this part of the bound, and the use of a primary that could not be
# replaced after the second one. The rest covers the way from the VM to the instance.
TRANSACTIONS_FRACTION = 0.6
PRIMARY_FRACTION = 0.8
# Part of the bound in which the moves of all primaries start; one that starts last still has to
# wait for its promotion.
MOVES_FRACTION = 0.5
# A planned failover that every VM acknowledges takes 0.5 to 0.7 s.
MOVE_DURATION_S = 0.8


class Evacuation(NamedTuple):
    """An order that is in force; `ordered_at` is the earliest time it can have been given.

    Times are readings of `boottime_s`.
    """

    ordered_at: float
    bound_s: float

    def transactions_ended(self, now: float) -> bool:
        """Return whether open transactions on the domain's instances have to end."""
        return now >= self.transactions_until

    def primary_ended(self, now: float) -> bool:
        """Return whether even a primary in the domain gets no more statements."""
        return now >= self.ordered_at + PRIMARY_FRACTION * self.bound_s

    @property
    def transactions_until(self) -> float:
        """Return the end of the time for open transactions."""
        return self.ordered_at + TRANSACTIONS_FRACTION * self.bound_s


class OrderOutcome(enum.Enum):
    """What an order or its removal changed."""

    EVACUATED = "evacuated"
    RETURNED = "returned"
    REPEATED = "repeated"
    OUTDATED = "outdated"
    UNREADABLE = "unreadable"
    NO_DOMAIN_LEFT = "no-domain-left"


class _Order(NamedTuple):
    """The newest order for a failure domain; None instead of an evacuation if it is ignored."""

    revision: int
    evacuation: Evacuation | None


class Evacuations:
    """Orders for failure domains, from sources that may deliver them late or twice."""

    def __init__(self, bound_s: float) -> None:
        self._bound_s = bound_s
        self._orders: dict[str, _Order] = {}
        # Revision up to which orders for a domain have been removed.
        self._removed: dict[str, int] = {}

    @property
    def revisions(self) -> dict[str, int]:
        """Return the revision of the newest order for each domain that has one."""
        return {domain: order.revision for domain, order in self._orders.items()}

    @property
    def in_force(self) -> dict[str, Evacuation]:
        """Return the evacuated failure domains."""
        return {
            domain: order.evacuation
            for domain, order in self._orders.items()
            if order.evacuation is not None
        }

    def order(
        self,
        domain: str,
        revision: int,
        *,
        readable: bool,
        known_domains: Collection[str],
        ordered_at: float,
    ) -> OrderOutcome:
        """Apply an order.

        An order that would leave no failure domain with an instance is ignored until it is given
        again: the instances would serve nobody.
        """
        known = self._orders.get(domain)
        if known is not None and revision <= known.revision:
            return OrderOutcome.OUTDATED
        if revision <= self._removed.get(domain, -1):
            return OrderOutcome.OUTDATED
        if known is not None and known.evacuation is not None:
            self._orders[domain] = known._replace(revision=revision)
            return OrderOutcome.REPEATED
        if not readable:
            self._orders[domain] = _Order(revision, None)
            return OrderOutcome.UNREADABLE
        others = {name for name in known_domains if name != domain}
        if domain in known_domains and others <= self.in_force.keys():
            self._orders[domain] = _Order(revision, None)
            return OrderOutcome.NO_DOMAIN_LEFT
        self._orders[domain] = _Order(revision, Evacuation(ordered_at, self._bound_s))
        return OrderOutcome.EVACUATED

    def remove(self, domain: str, revision: int) -> OrderOutcome:
        """Remove the order for a domain if it is not newer than `revision`."""
        self._removed[domain] = max(revision, self._removed.get(domain, -1))
        known = self._orders.get(domain)
        if known is None or known.revision > revision:
            return OrderOutcome.OUTDATED
        del self._orders[domain]
        return OrderOutcome.REPEATED if known.evacuation is None else OrderOutcome.RETURNED


def concurrent_moves(evacuations: Iterable[Evacuation], now: float) -> int:
    """Return how many primaries may be moved at once; `evacuations` has one item per primary.

    As few as possible, because the statements of a moved group arrive at its new primary all at
    once, but enough for the last move to start in its part of the bound.
    """
    pending = list(evacuations)
    remaining_s = min(
        (item.ordered_at + MOVES_FRACTION * item.bound_s - now for item in pending), default=0.0
    )
    rounds = max(1, int(max(0.0, remaining_s) / MOVE_DURATION_S))
    return max(1, math.ceil(len(pending) / rounds))
