"""History of a soak run and its comparison with the log of the primary."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from tanagerfront_standin.line_group import Commit

__all__ = ["Attempt", "SoakHistory"]

# What a read returns for an item that has not been written.
UNWRITTEN = "-"


@dataclass(slots=True)
class Attempt:
    """One operation; each item has one writer, whose data increase with each write."""

    id: str
    item: str
    consistency: str
    api_key: str
    is_write: bool
    data: str
    started_at: float
    # The newest acknowledged data of the item when the operation started.
    acknowledged: str


def _is_older(found: str, acknowledged: str) -> bool:
    """Return whether the data read are older than the acknowledged data."""
    if acknowledged == UNWRITTEN:
        return False
    return found == UNWRITTEN or found < acknowledged


class SoakHistory:
    """All operations of a run and the violations found."""

    def __init__(self) -> None:
        self._ids = itertools.count(1)
        self._acknowledged: dict[str, str] = {}
        self._attempts: dict[str, Attempt] = {}
        self._served: set[str] = set()
        self._reported_not_applied: set[str] = set()
        self._refused = 0
        self._stale_reads: list[tuple[Attempt, str]] = []
        self.revoked_at: dict[str, float] = {}
        # Failure domains that were out of service, with the times of the order and of its removal.
        self.evacuations: list[tuple[str, float, float]] = []
        self.violations: list[str] = []

    def record_violation(self, text: str) -> None:
        """Record a violated guarantee."""
        self.violations.append(text)

    def start_attempt(
        self, item: str, consistency: str, api_key: str, is_write: bool, now: float
    ) -> Attempt:
        """Create and record an attempt that starts at `now`."""
        number = next(self._ids)
        attempt = Attempt(
            f"q{number}",
            item,
            consistency,
            api_key,
            is_write,
            f"{number:09}",
            now,
            self._acknowledged.get(item, UNWRITTEN),
        )
        self._attempts[attempt.id] = attempt
        return attempt

    def record_rejection(self, attempt: Attempt, *, not_applied: bool) -> None:
        """Record a refusal; `not_applied` says that it guarantees that nothing was written."""
        self._refused += 1
        if not_applied:
            self._reported_not_applied.add(attempt.id)

    def record_success(self, attempt: Attempt, rows: Sequence[str], now: float) -> None:
        """Record a success and check reads from the primary for stale data."""
        self._served.add(attempt.id)
        if attempt.is_write:
            self._acknowledged[attempt.item] = attempt.data
        elif attempt.consistency == "primary" and _is_older(rows[-1], attempt.acknowledged):
            self._stale_reads.append((attempt, rows[-1]))

    def outcome_counts(self) -> tuple[int, int]:
        """Return the numbers of operations served and refused."""
        return len(self._served), self._refused

    def check_recovery(self, before: tuple[int, int], after: tuple[int, int]) -> None:
        """Check that at least a quarter of the operations succeed after recovery."""
        served, refused = after[0] - before[0], after[1] - before[1]
        if served < (served + refused) / 4 or not served:
            self.record_violation(
                f"after recovery {served} operations were served and {refused} refused"
            )

    def check_evacuations(self, domain: str, query_ids: Sequence[str], bound_s: float) -> None:
        """Check that nothing ran in a domain that had been out of service for `bound_s` seconds."""
        for evacuated, ordered_at, returned_at in self.evacuations:
            if evacuated != domain:
                continue
            for query_id in query_ids:
                started_at = self._attempts[query_id].started_at
                if ordered_at + bound_s < started_at < returned_at:
                    self.record_violation(f"{query_id} ran in {domain}, which was evacuated")

    def check_log(
        self, log: Sequence[Commit], discarded: Sequence[Commit], revoke_s: float
    ) -> None:
        """Compare the recorded outcomes with the log of the last primary.

        Losing a write in `discarded` is no violation: a promotion rolled it back. A revoked key
        may be accepted for `revoke_s` seconds.
        """
        commit_counts = Counter(query_id for commit in log for _, _, query_id in commit.writes)
        discarded_ids = {query_id for commit in discarded for _, _, query_id in commit.writes}
        for query_id, count in commit_counts.items():
            if query_id not in self._attempts:
                self.record_violation(f"{query_id} was never sent")
            if count > 1:
                self.record_violation(f"{query_id} was committed {count} times")
            if query_id in self._reported_not_applied:
                self.record_violation(f"{query_id} was refused as not applied and is in the log")
        for query_id in self._served:
            attempt = self._attempts[query_id]
            if attempt.is_write and query_id not in commit_counts and query_id not in discarded_ids:
                self.record_violation(f"{query_id} was acknowledged and is not in the log")
            revoked_at = self.revoked_at.get(attempt.api_key)
            if revoked_at is not None and attempt.started_at > revoked_at + revoke_s:
                self.record_violation(f"{query_id} ran with an API key revoked too long before")
        discarded_data = {(item, data) for commit in discarded for item, data, _ in commit.writes}
        for attempt, found in self._stale_reads:
            if (attempt.item, attempt.acknowledged) not in discarded_data:
                self.record_violation(
                    f"{attempt.id} read {found} after acknowledged {attempt.acknowledged}"
                )
