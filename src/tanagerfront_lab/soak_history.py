"""What callers of a soak were told, and whether the instances' logs agree with it."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from tanagerfront_standin.line_group import Commit

__all__ = ["Attempt", "SoakHistory"]

UNWRITTEN = "-"


@dataclass(slots=True)
class Attempt:
    """One operation; an item's data grow with each write of its only writer."""

    id: str
    item: str
    kind: str
    key: str
    writes: bool
    data: str
    begun_at: float
    # The newest data of the item that had been acknowledged when the operation began.
    acknowledged: str


def _older(found: str, acknowledged: str) -> bool:
    """Tell whether data that were read are older than some that had been acknowledged."""
    if acknowledged == UNWRITTEN:
        return False
    return found == UNWRITTEN or found < acknowledged


class SoakHistory:
    """All attempts of a run and the violations found."""

    def __init__(self) -> None:
        self._ids = itertools.count(1)
        self._acknowledged: dict[str, str] = {}
        self._attempts: dict[str, Attempt] = {}
        self._served: set[str] = set()
        self._promised: set[str] = set()
        self._refused = 0
        self._stale: list[tuple[Attempt, str]] = []
        self.revoked: dict[str, float] = {}
        self.violations: list[str] = []

    def violate(self, text: str) -> None:
        """Record a broken promise."""
        self.violations.append(text)

    def begin(self, item: str, kind: str, key: str, writes: bool, now: float) -> Attempt:
        """Record that an operation begins."""
        number = next(self._ids)
        attempt = Attempt(
            f"q{number}",
            item,
            kind,
            key,
            writes,
            f"{number:09}",
            now,
            self._acknowledged.get(item, UNWRITTEN),
        )
        self._attempts[attempt.id] = attempt
        return attempt

    def refuse(self, attempt: Attempt, *, promised: bool) -> None:
        """Record a refusal; a promise says that nothing is kept."""
        self._refused += 1
        if promised:
            self._promised.add(attempt.id)

    def serve(self, attempt: Attempt, rows: Sequence[str], now: float) -> None:
        """Record a success and check what was read."""
        self._served.add(attempt.id)
        if attempt.writes:
            self._acknowledged[attempt.item] = attempt.data
        elif attempt.kind == "primary" and _older(rows[-1], attempt.acknowledged):
            self._stale.append((attempt, rows[-1]))

    def counts(self) -> tuple[int, int]:
        """Return how many operations were served and refused."""
        return len(self._served), self._refused

    def check_recovery(self, before: tuple[int, int], after: tuple[int, int]) -> None:
        """Check that callers are served again after the last fault."""
        served, refused = after[0] - before[0], after[1] - before[1]
        if served < (served + refused) / 4 or not served:
            self.violate(f"after recovery {served} served and {refused} refused")

    def check(self, log: Sequence[Commit], discarded: Sequence[Commit], revoke_s: float) -> None:
        """Compare what callers were told with the log of the last primary."""
        runs = Counter(query_id for commit in log for _, _, query_id in commit.writes)
        lost = {query_id for commit in discarded for _, _, query_id in commit.writes}
        for query_id, count in runs.items():
            if query_id not in self._attempts:
                self.violate(f"{query_id} was never sent")
            if count > 1:
                self.violate(f"{query_id} was committed {count} times")
            if query_id in self._promised:
                self.violate(f"{query_id} was refused and is kept")
        for query_id in self._served:
            attempt = self._attempts[query_id]
            if attempt.writes and query_id not in runs and query_id not in lost:
                self.violate(f"{query_id} was acknowledged and is not in the log")
            revoked_at = self.revoked.get(attempt.key)
            if revoked_at is not None and attempt.begun_at > revoked_at + revoke_s:
                self.violate(f"{query_id} ran with a key withdrawn long before")
        lost_data = {(item, data) for commit in discarded for item, data, _ in commit.writes}
        for attempt, found in self._stale:
            if (attempt.item, attempt.acknowledged) not in lost_data:
                self.violate(f"{attempt.id} read {found} after {attempt.acknowledged}")
