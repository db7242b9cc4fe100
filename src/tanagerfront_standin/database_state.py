"""Replication state of one stand-in database instance: log, term, role and applied data."""

from __future__ import annotations

import bisect
from collections.abc import Sequence
from typing import Literal, NamedTuple

import trio

from tanagerfront.databases import InstanceStatus, Statement
from tanagerfront.entry_id import EntryId

from .database_sql import SqlStore

__all__ = ["Delays", "InstanceState", "LogEntry", "Refusal"]

# A replica that is caught up reports age 0 for this long after its primary last answered a pull.
# This covers one long-polled pull, which the primary would answer at once if it had more entries.
CONTACT_GRACE_S = 0.25

RefusalName = Literal["stale-term", "not-primary", "not-fenced", "diverged"]


class Refusal(Exception):  # noqa: N818
    """Raised when the instance's term or role does not allow a request."""

    def __init__(self, name: RefusalName, term: int) -> None:
        super().__init__(f"{name} at term {term}")
        self.name = name
        self.term = term


class LogEntry(NamedTuple):
    """One committed write transaction; `statements` is empty for the first entry of a term."""

    id: EntryId
    statements: tuple[Statement, ...]


class Delays(NamedTuple):
    """Simulated delays in seconds."""

    open_s: float = 0.012
    receive_s: float = 0.0
    apply_s: float = 0.0
    statement_s: float = 0.0


class InstanceState:
    """Hold the term, role, log and applied data of one instance, and make every change to them."""

    def __init__(self, name: str, store: SqlStore, delays: Delays, *, primary: bool) -> None:
        self._name = name
        self._store = store
        self._delays = delays
        self._term = 0
        self._role: Literal["primary", "replica"] = "replica"
        self._primary: str | None = None
        self._log: list[LogEntry] = []
        self._stored_at_s: list[float] = []
        self._term_starts: list[tuple[int, int]] = []
        self._applied = 0
        self._changed = trio.Event()
        # (time, position) pairs: when a pull reply first showed that the primary held entries up to
        # a position beyond `applied`.
        self._unapplied_since: list[tuple[float, int]] = []
        self._contact_at = trio.current_time()
        self._synced_term = 0
        self._discarded = 0
        if primary:
            self.fence(1)
            self.promote(1)

    @property
    def name(self) -> str:
        """Return the instance's name."""
        return self._name

    @property
    def store(self) -> SqlStore:
        """Return the applied data."""
        return self._store

    @property
    def delays(self) -> Delays:
        """Return the simulated delays."""
        return self._delays

    @property
    def term(self) -> int:
        """Return the highest term that the instance has received."""
        return self._term

    @property
    def is_primary(self) -> bool:
        """Return whether the instance is the primary of its term."""
        return self._role == "primary"

    @property
    def primary(self) -> str | None:
        """Return the name of the current term's primary, if known."""
        return self._primary

    @property
    def held(self) -> int:
        """Return the position of the last stored entry."""
        return len(self._log)

    @property
    def applied(self) -> int:
        """Return the position of the last entry visible to readers."""
        return self._applied

    @property
    def term_starts(self) -> tuple[tuple[int, int], ...]:
        """Return a (term, first position) pair for each term in the log."""
        return tuple(self._term_starts)

    @property
    def synced_term(self) -> int:
        """Return the last term in which the log was confirmed to be a prefix of its primary's."""
        return self._synced_term

    @property
    def discarded(self) -> int:
        """Return the number of entries discarded since the term was last raised."""
        return self._discarded

    def entry_id(self, position: int) -> EntryId:
        """Return the id of a stored entry."""
        return self._log[position - 1].id if position else EntryId(0, 0)

    def entries_after(self, position: int, limit: int) -> Sequence[LogEntry]:
        """Return up to `limit` entries after a position."""
        return self._log[position : position + limit]

    def status(self) -> InstanceStatus:
        """Return the status reported to clients."""
        return InstanceStatus(
            self._name,
            self._role,
            self._term,
            self.entry_id(self.held).term,
            self.held,
            self._applied,
            self.age_s() * 1000,
            self.term_starts,
            self._primary,
        )

    def age_s(self) -> float:
        """Return the age of the applied data; 0 when caught up with the known primary."""
        now = trio.current_time()
        if self.is_primary:
            return 0.0
        if self._unapplied_since:
            return now - self._unapplied_since[0][0]
        silent_s = now - self._contact_at
        return silent_s if silent_s > CONTACT_GRACE_S or self._primary is None else 0.0

    async def wait_change(self) -> None:
        """Wait for the next change to the reported status."""
        await self._changed.wait()

    def check_term(self, term: int) -> None:
        """Raise Refusal unless `term` is the instance's term."""
        if term < self._term:
            raise Refusal("stale-term", self._term)
        if term > self._term:
            raise Refusal("not-fenced", self._term)

    def check_primary(self) -> None:
        """Raise Refusal unless the instance is the primary of its term."""
        if not self.is_primary:
            raise Refusal("not-primary", self._term)

    def fence(self, term: int) -> None:
        """Raise the term, after which requests with a lower term are refused; raises Refusal."""
        if term < self._term:
            raise Refusal("stale-term", self._term)
        if term == self._term:
            return
        # A transaction of the lower term can no longer commit.
        self._store.writer.rollback()
        self._term = term
        self._role = "replica"
        self._primary = None
        self._discarded = 0
        self._notify()

    def promote(self, term: int) -> None:
        """Become the primary of the term that the instance was fenced at; raises Refusal."""
        self.check_term(term)
        if self.is_primary:
            return
        if self._primary is not None:
            # The instance already follows another primary in this term.
            raise Refusal("not-fenced", self._term)
        self._apply_until(self.held)
        self._role = "primary"
        self._primary = self._name
        self._synced_term = term
        # Entries of earlier terms count as replicated only once an entry of this term is.
        self.append_local(())

    def follow(self, term: int, primary: str) -> None:
        """Become a replica of `primary`, raising the term if needed; raises Refusal."""
        self.fence(term)
        if self.is_primary or primary == self._name:
            raise Refusal("not-fenced", self._term)
        self._primary = primary
        self._contact_at = trio.current_time()
        self._notify()

    def append_local(self, statements: tuple[Statement, ...]) -> EntryId:
        """Append a local write transaction to the log, before or after the writer commits it."""
        entry = LogEntry(EntryId(self._term, self.held + 1), statements)
        self._store_entry(entry)
        self._applied = self.held
        self._notify()
        return entry.id

    def record_primary_position(self, term: int, held: int) -> None:
        """Record that the primary of `term` replied, and the last position it holds."""
        if term != self._term:
            return
        now = trio.current_time()
        self._contact_at = now
        self._synced_term = term
        last = self._unapplied_since[-1][1] if self._unapplied_since else self._applied
        if held > last:
            self._unapplied_since.append((now, held))
        self._notify()

    def append_received(self, term: int, entries: Sequence[LogEntry]) -> None:
        """Store entries pulled from the primary of `term`, unless the term has ended."""
        if term != self._term or self.is_primary:
            return
        for entry in entries:
            if entry.id.position == self.held + 1:
                self._store_entry(entry)
        self._notify()

    def discard_divergent(
        self, term: int, term_starts: Sequence[tuple[int, int]], held: int
    ) -> int:
        """Discard the tail that the primary of `term` lacks; return the number of entries."""
        if term != self._term or self.is_primary:
            return 0
        kept_count = self._common_prefix(term_starts, held)
        discarded_count = self.held - kept_count
        if discarded_count:
            del self._log[kept_count:]
            del self._stored_at_s[kept_count:]
            self._term_starts = [start for start in self._term_starts if start[1] <= kept_count]
            self._discarded += discarded_count
            if self._applied > kept_count:
                self._store.rebuild([entry.statements for entry in self._log])
                self._applied = kept_count
            self._unapplied_since = []
            self._notify()
        return discarded_count

    def apply_due(self) -> float | None:
        """Apply entries whose apply delay has passed; return when the next one is due, if any."""
        if self.is_primary:
            return None
        due_before = trio.current_time() - self._delays.apply_s
        due_position = bisect.bisect_right(self._stored_at_s, due_before)
        if due_position > self._applied:
            self._apply_until(due_position)
            self._notify()
        if self._applied < self.held:
            return self._stored_at_s[self._applied] + self._delays.apply_s
        return None

    def _common_prefix(self, term_starts: Sequence[tuple[int, int]], held: int) -> int:
        """Return the last position at which both logs have an entry of the same term."""
        starts = [*term_starts, (0, held + 1)]
        ends = {starts[index][0]: starts[index + 1][1] - 1 for index in range(len(term_starts))}
        position = min(self.held, held)
        while position and ends.get(self.entry_id(position).term, 0) < position:
            position = max(ends.get(self.entry_id(position).term, 0), self._start_before(position))
        return position

    def _start_before(self, position: int) -> int:
        """Return the last position of the term before the one at `position`."""
        return max(first for _term, first in self._term_starts if first <= position) - 1

    def _store_entry(self, entry: LogEntry) -> None:
        if entry.id.term != self.entry_id(self.held).term:
            self._term_starts.append((entry.id.term, entry.id.position))
        self._log.append(entry)
        self._stored_at_s.append(trio.current_time())

    def _apply_until(self, position: int) -> None:
        if position > self._applied:
            self._store.apply(entry.statements for entry in self._log[self._applied : position])
            self._applied = position
        self._unapplied_since = [
            primary_position
            for primary_position in self._unapplied_since
            if primary_position[1] > position
        ]

    def _notify(self) -> None:
        event, self._changed = self._changed, trio.Event()
        event.set()
