"""Tokens of one organisation held by a requesting VM, and the reports to their owners."""

from __future__ import annotations

import collections
from collections.abc import Iterator
from typing import NamedTuple

import trio

from .messages import TokenGrant, TokenReport

__all__ = ["HeldGrant", "LocalTokens", "OwnerReport", "Token"]

# A token that expires sooner is not used: it could expire on the way to the database.
MIN_REMAINING_S = 0.1
# How long the totals of an ended grant are kept for another report.
ENDED_GRANT_RETENTION_S = 1.0


class OwnerReport(NamedTuple):
    """A token report and the VM that receives it."""

    vm: str
    message: TokenReport


class HeldGrant:
    """A grant, with the numbers of its unused, in-use, spent and returned tokens."""

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
        """Return a report of the current totals and clear `report_due`."""
        self.report_due = False
        grant = self.grant
        return OwnerReport(
            self.vm,
            TokenReport(grant.organisation, grant.part, grant.grant, self.spent, self.returned),
        )

    def schedule_report(self) -> None:
        """Mark the totals to be reported."""
        self.report_due = True
        self.changed_at = trio.current_time()


class Token:
    """Permission to run one statement, ended by `TokenCache.record_spent` or `refund`."""

    __slots__ = ("_ended", "_held_grant")

    def __init__(self, held_grant: HeldGrant) -> None:
        self._held_grant = held_grant
        self._ended = False

    @property
    def organisation(self) -> str:
        """Return the name of the organisation whose rate the token counts against."""
        return self._held_grant.grant.organisation

    @property
    def expires_at(self) -> float:
        """Return the monotonic time in seconds after which the token must not be used."""
        return self._held_grant.expires_at

    def end(self) -> HeldGrant | None:
        """End the token; returns its grant on the first call and None afterwards."""
        if self._ended:
            return None
        self._ended = True
        return self._held_grant


class LocalTokens:
    """Grants of one organisation in the order of arrival, roughly that of their expiry."""

    def __init__(self) -> None:
        self._grants: collections.deque[HeldGrant] = collections.deque()

    @property
    def unused(self) -> int:
        """Return how many tokens can be acquired."""
        return sum(held_grant.unused for held_grant in self._usable_grants())

    def add(self, held_grant: HeldGrant) -> None:
        """Add a new grant."""
        self._grants.append(held_grant)

    def try_acquire(self) -> Token | None:
        """Return a token, or None if none can be acquired."""
        for held_grant in self._usable_grants():
            held_grant.unused -= 1
            held_grant.in_use += 1
            return Token(held_grant)
        return None

    def return_unused(self, keep: int) -> None:
        """Return all but `keep` unused tokens to their owners, keeping those that came last."""
        for held_grant in reversed(self._grants):
            kept = min(keep, held_grant.unused)
            keep -= kept
            if held_grant.unused > kept:
                held_grant.returned += held_grant.unused - kept
                held_grant.unused = kept
                held_grant.schedule_report()

    def collect_reports(self) -> list[OwnerReport]:
        """Return the due reports and remove grants that have ended."""
        due = [held_grant.build_report() for held_grant in self._grants if held_grant.report_due]
        now = trio.current_time()
        self._grants = collections.deque(
            held_grant
            for held_grant in self._grants
            if held_grant.unused + held_grant.in_use > 0 and held_grant.expires_at > now
        )
        return due

    def _usable_grants(self) -> Iterator[HeldGrant]:
        min_expires_at = trio.current_time() + MIN_REMAINING_S
        return (
            held_grant
            for held_grant in self._grants
            if held_grant.unused and held_grant.expires_at > min_expires_at
        )
