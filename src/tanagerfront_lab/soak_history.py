"""History of a soak run and its comparison with the log of the primary."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from tanagerfront.entry_id import EntryId
from tanagerfront_standin.line_group import Arrival, Commit, Promotion, ReadRun

__all__ = ["Attempt", "Origin", "SoakHistory"]

# What a read returns for an item that has not been written.
UNWRITTEN = "-"
# A VM that was frozen, or cut off from an instance, within this time may have sent a write late.
DISRUPTION_SLACK_S = 0.3
# A statement may reach an instance this long after its caller was answered or has left.
LATE_ARRIVAL_S = 0.3


class Origin(NamedTuple):
    """Where an operation was sent: the group, the VM, and the number of the client's session."""

    group: str = ""
    vm: str = ""
    session: int = 0


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
    origin: Origin = Origin()
    # When the success of the operation arrived, None without one.
    succeeded_at: float | None = None
    # When the caller was answered or gave up, None before that.
    ended_at: float | None = None


def _is_older(found: str, acknowledged: str) -> bool:
    """Return whether the data read are older than the acknowledged data."""
    if acknowledged == UNWRITTEN:
        return False
    return found == UNWRITTEN or found < acknowledged


def _text(entry: EntryId) -> str:
    return f"{entry.term}.{entry.position}"


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
        # VMs that were frozen and instances with disrupted links, with the start and end.
        self.disruptions: list[tuple[str, float, float]] = []
        # Failure domains that were out of service, with the times of the order and of its removal.
        self.evacuations: list[tuple[str, float, float]] = []
        self.violations: list[str] = []

    def record_violation(self, text: str) -> None:
        """Record a violated guarantee."""
        self.violations.append(text)

    def start_attempt(
        self,
        item: str,
        consistency: str,
        api_key: str,
        is_write: bool,
        now: float,
        origin: Origin = Origin(),  # noqa: B008, immutable
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
            origin,
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
        attempt.succeeded_at = now
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

    def check_evacuations(self, domain: str, arrivals: Sequence[Arrival], bound_s: float) -> None:
        """Check that nothing reached a domain that was out of service for `bound_s` seconds."""
        for evacuated, ordered_at, returned_at in self.evacuations:
            if evacuated != domain:
                continue
            for query_id, arrived_at in arrivals:
                if ordered_at + bound_s < arrived_at < returned_at:
                    self.record_violation(f"{query_id} ran in {domain}, which was evacuated")

    def check_late_arrivals(self, instance: str, arrivals: Sequence[Arrival]) -> None:
        """Check that no statement reached an instance long after it was answered or given up.

        Frozen VMs can withdraw nothing, also when they relay statements of others.
        """
        for query_id, arrived_at in arrivals:
            attempt = self._attempts.get(query_id)
            if attempt is None or attempt.ended_at is None:
                continue
            if arrived_at <= attempt.ended_at + LATE_ARRIVAL_S:
                continue
            since = attempt.started_at - DISRUPTION_SLACK_S
            if any(
                subject.startswith("vm-") and start < arrived_at and since < end
                for subject, start, end in self.disruptions
            ):
                continue
            self.record_violation(
                f"{query_id} ({attempt.origin.group}) was sent to {attempt.origin.vm} at "
                f"{attempt.started_at:.3f}, ended at {attempt.ended_at:.3f} and reached "
                f"{instance} at {arrived_at:.3f}"
            )

    def _was_disrupted(self, attempt: Attempt, instance: str, until: float) -> bool:
        since = attempt.started_at - DISRUPTION_SLACK_S
        return any(
            subject in (attempt.origin.vm, instance) and start < until and since < end
            for subject, start, end in self.disruptions
        )

    def check_promotions(self, commits: Sequence[Commit], promotions: Sequence[Promotion]) -> None:
        """Check that no write was acknowledged that an old primary committed after a promotion."""
        for commit in commits:
            promotion = next(
                (one for one in promotions if one.term > commit.entry.term and one.at < commit.at),
                None,
            )
            if promotion is None:
                continue
            for _, _, query_id in commit.writes:
                attempt = self._attempts.get(query_id)
                if attempt is None or attempt.succeeded_at is None:
                    continue
                if self._was_disrupted(attempt, commit.instance, commit.at):
                    continue
                self.record_violation(
                    f"{query_id} ({attempt.origin.group}) was sent to {attempt.origin.vm} at "
                    f"{attempt.started_at:.3f}, committed at {commit.instance} in term "
                    f"{commit.entry.term} at {commit.at:.3f} and acknowledged at "
                    f"{attempt.succeeded_at:.3f}, after the promotion of {promotion.instance} to "
                    f"term {promotion.term} at {promotion.at:.3f}"
                )

    def check_reads(
        self, reads: Sequence[ReadRun], log: Sequence[Commit], max_staleness_s: float
    ) -> None:
        """Check that reads ran on logs with the commits that had been acknowledged before.

        `log` is that of the last primary: commits that a promotion rolled back don't count.
        """
        acknowledged: list[tuple[float, EntryId, Attempt]] = []
        for commit in log:
            for _, _, query_id in commit.writes:
                attempt = self._attempts.get(query_id)
                if attempt is not None and attempt.succeeded_at is not None:
                    acknowledged.append((attempt.succeeded_at, commit.entry, attempt))
        for run in reads:
            read = self._attempts.get(run.query_id)
            if read is None or read.succeeded_at is None:
                continue
            slack_s = 0.0 if read.consistency == "primary" else max_staleness_s
            missing = [
                (entry, write)
                for at, entry, write in acknowledged
                if entry > run.position
                and (
                    at < read.started_at - slack_s
                    or (
                        read.consistency == "read_your_writes"
                        and write.origin.session == read.origin.session
                        and at < read.started_at
                    )
                )
            ]
            if missing:
                entry, write = missing[0]
                self.record_violation(
                    f"{read.consistency} read {read.id} ({read.origin.group}) was sent to "
                    f"{read.origin.vm} at {read.started_at:.3f} and ran at {run.instance} at "
                    f"{run.at:.3f} on log {_text(run.position)}, without {_text(entry)} of "
                    f"{write.id}, acknowledged at {write.succeeded_at:.3f}"
                )

    def check_log(
        self,
        log: Sequence[Commit],
        discarded: Sequence[Commit],
        revoke_s: float,
        group: str = "",
    ) -> None:
        """Compare the recorded outcomes with the log of the last primary of a group.

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
            if attempt.origin.group != group:
                continue
            if attempt.is_write and query_id not in commit_counts and query_id not in discarded_ids:
                self.record_violation(f"{query_id} was acknowledged and is not in the log")
            revoked_at = self.revoked_at.get(attempt.api_key)
            if revoked_at is not None and attempt.started_at > revoked_at + revoke_s:
                self.record_violation(f"{query_id} ran with an API key revoked too long before")
        discarded_data = {(item, data) for commit in discarded for item, data, _ in commit.writes}
        for attempt, found in self._stale_reads:
            if (
                attempt.origin.group == group
                and (attempt.item, attempt.acknowledged) not in discarded_data
            ):
                self.record_violation(
                    f"{attempt.id} read {found} after acknowledged {attempt.acknowledged}"
                )
