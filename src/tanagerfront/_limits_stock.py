"""The tokens that a requester holds of one organisation, and the reports about them."""

from __future__ import annotations

import collections
from collections.abc import Iterator
from typing import NamedTuple

import trio

from .messages import TokenGrant, TokenReport

__all__ = ["HeldGrant", "LocalTokens", "OwnerReport", "Token"]

# A token that ends sooner is not handed out, since it could end on the way to the database.
MIN_USE_S = 0.1
# How long the totals of a grant that has ended are kept for another report.
FORGET_S = 1.0


class OwnerReport(NamedTuple):
    """A report and the VM it goes to."""

    vm: str
    message: TokenReport


class HeldGrant:
    """A grant and what became of its tokens."""

    def __init__(self, vm: str, grant: TokenGrant, expires_at: float) -> None:
        self.vm = vm
        self.grant = grant
        self.expires_at = expires_at
        self.unused = int(grant.count)
        self.in_use = 0
        self.spent = 0
        self.returned = 0
        self.changed_at = trio.current_time()
        self.report_due = False

    def build_report(self) -> OwnerReport:
        """Return the report with the totals so far."""
        self.report_due = False
        grant = self.grant
        return OwnerReport(
            self.vm,
            TokenReport(grant.organisation, grant.part, grant.grant, self.spent, self.returned),
        )

    def schedule_report(self) -> None:
        """Have the totals reported."""
        self.report_due = True
        self.changed_at = trio.current_time()


class Token:
    """The permission to run one statement; `spent` or `give_back` ends it."""

    __slots__ = ("_ended", "_held")

    def __init__(self, held: HeldGrant) -> None:
        self._held = held
        self._ended = False

    @property
    def organisation(self) -> str:
        """Return the organisation that the token counts for."""
        return self._held.grant.organisation

    @property
    def expires_at(self) -> float:
        """Return the monotonic time in seconds after which the token is not to be used."""
        return self._held.expires_at

    def end(self) -> HeldGrant | None:
        """Return the grant when called for the first time, None afterwards."""
        if self._ended:
            return None
        self._ended = True
        return self._held


class LocalTokens:
    """The grants of one organisation, the earliest to expire first."""

    def __init__(self) -> None:
        self._grants: collections.deque[HeldGrant] = collections.deque()

    @property
    def unused(self) -> int:
        """Return how many tokens can be handed out."""
        return sum(held.unused for held in self._usable())

    def add(self, held: HeldGrant) -> None:
        """Add a new grant."""
        self._grants.append(held)

    def try_acquire(self) -> Token | None:
        """Return an unused token, None if there is none."""
        for held in self._usable():
            held.unused -= 1
            held.in_use += 1
            return Token(held)
        return None

    def return_unused(self, keep: int) -> None:
        """Give all but `keep` unused tokens back to their owners."""
        for held in reversed(self._grants):
            kept = min(keep, held.unused)
            keep -= kept
            if held.unused > kept:
                held.returned += held.unused - kept
                held.unused = kept
                held.schedule_report()

    def collect_reports(self) -> list[OwnerReport]:
        """Return the reports that are due and forget grants that have ended."""
        due = [held.build_report() for held in self._grants if held.report_due]
        now = trio.current_time()
        self._grants = collections.deque(
            held for held in self._grants if held.unused + held.in_use > 0 and held.expires_at > now
        )
        return due

    def _usable(self) -> Iterator[HeldGrant]:
        until = trio.current_time() + MIN_USE_S
        return (held for held in self._grants if held.unused and held.expires_at > until)
