"""Access of a home to the instances of one group: selection, slot, session, statement."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from contextlib import asynccontextmanager
from typing import NamedTuple

import trio

from .configuration import Mode, RequestClass
from .databases import ExecuteResult, Statement
from .entry_id import EntryId
from .errors import (
    ConnectionLostError,
    NotPrimaryError,
    OutcomeUnknownError,
    SqlError,
    StaleTermError,
    TanagerfrontError,
    UnavailableError,
)
from .groups import GroupMonitor, GroupSnapshot
from .pool import ConnectionPool, PooledSession
from .routing import Choice, choose_instance, reflects, replica_is_applying, replica_serves
from .scheduler import FairScheduler, Slot

__all__ = ["AcquiredInstance", "InstanceAccess", "StatementContext"]

POLL_INTERVAL_S = 0.005
APPLY_POLL_INTERVAL_S = 0.002
# A wait for a primary is interrupted this often, as a replica may become able to serve.
WAIT_STEP_S = 0.1
ROLLBACK_TIMEOUT_S = 0.5
BUSY = "busy"


class StatementContext(NamedTuple):
    """Who needs an instance and until when; `deadline` is in trio's clock."""

    organisation: str
    request_class: RequestClass
    session: EntryId
    deadline: float


class AcquiredInstance(NamedTuple):
    """A slot and a session that belong together."""

    choice: Choice
    slot: Slot
    session: PooledSession
    scheduler: FairScheduler
    pool: ConnectionPool

    @property
    def name(self) -> str:
        """Return the name of the instance."""
        return self.choice.instance.instance.name


class InstanceAccess:
    """The pools and schedulers of one group, by name of the instance.

    `weight_of` returns the weight of an organisation, also of one that is not configured (any
    more), such as the name under which the ledger is pruned.
    """

    def __init__(
        self,
        monitor: GroupMonitor,
        pools: Mapping[str, ConnectionPool],
        schedulers: Mapping[str, FairScheduler],
        weight_of: Callable[[str], float],
        failure_domain: str,
    ) -> None:
        self._monitor = monitor
        self._pools = pools
        self._schedulers = schedulers
        self._weight_of = weight_of
        self._failure_domain = failure_domain

    @property
    def monitor(self) -> GroupMonitor:
        """Return the monitor of the group."""
        return self._monitor

    def with_schedulers(self, schedulers: Mapping[str, FairScheduler]) -> InstanceAccess:
        """Return an access to the same instances and pools with queues of its own."""
        return InstanceAccess(
            self._monitor, self._pools, schedulers, self._weight_of, self._failure_domain
        )

    async def choose(
        self,
        work: StatementContext,
        mode: Mode,
        max_staleness_s: float | None = None,
        avoid: frozenset[str] = frozenset(),
    ) -> Choice:
        """Wait for an instance; raises UnavailableError at the deadline and SessionLostError."""
        while True:
            choice = self._try_choose(work, mode, max_staleness_s, avoid)
            if choice is not None:
                return choice
            if work.session.term > self._monitor.snapshot.term:
                self._monitor.observe_term(work.session.term)
            await self._wait_step(work.deadline)

    async def wait_applied(
        self, work: StatementContext, max_staleness_s: float, until: float
    ) -> bool:
        """Wait while a replica applies the session's entry; return whether one serves now."""
        while trio.current_time() < until:
            view, now = self._monitor.snapshot, trio.current_time()
            if any(
                replica_serves(view, each, work.session, max_staleness_s, now)
                for each in view.instances
            ):
                return True
            if not replica_is_applying(view, work.session, max_staleness_s, now):
                return False
            await trio.sleep(APPLY_POLL_INTERVAL_S)
        return False

    @asynccontextmanager
    async def primary(self, work: StatementContext, mode: Mode) -> AsyncIterator[AcquiredInstance]:
        """Lend a session to the primary for a block."""
        lease = await self.acquire_primary(work, mode)
        try:
            yield lease
        finally:
            await self.release(lease)

    async def acquire_primary(self, work: StatementContext, mode: Mode) -> AcquiredInstance:
        """Acquire a slot and a session of the instance that is the primary after the wait."""
        while True:
            choice = await self.choose(work, mode)
            lease = await self.acquire(choice, work)
            # A primary that was replaced or is leaving gets no work that waited in its queue.
            kept = False
            try:
                again = self._try_choose(work, mode, None, frozenset())
                kept = again is not None and _same_primary(again, choice)
            finally:
                if not kept:
                    await self.release(lease, observe_latency=False)
            if kept:
                return lease

    async def acquire(self, choice: Choice, work: StatementContext) -> AcquiredInstance:
        """Acquire a slot and a session; raises OverloadedError or an error of opening."""
        name = choice.instance.instance.name
        scheduler, pool = self._schedulers.get(name), self._pools.get(name)
        if scheduler is None or pool is None:
            raise UnavailableError(f"instance {name} is not in use here")
        weight = self._weight_of(work.organisation)
        slot = await scheduler.acquire(work.organisation, weight, work.request_class, work.deadline)
        try:
            session = await pool.acquire(work.deadline)
        except BaseException as error:
            scheduler.release(slot, observe_latency=False)
            if isinstance(error, ConnectionLostError):
                self._monitor.report_failure(name)
            raise
        return AcquiredInstance(choice, slot, session, scheduler, pool)

    async def release(self, lease: AcquiredInstance, *, observe_latency: bool = True) -> None:
        """Return the session, which is closed unless its state is known, and the slot."""
        try:
            await lease.pool.release(lease.session)
        finally:
            lease.scheduler.release(lease.slot, observe_latency=observe_latency)

    async def execute(
        self,
        lease: AcquiredInstance,
        statements: Sequence[Statement],
        *,
        begin: bool,
        commit: bool,
        read_only: bool = False,
        timeout_s: float,
    ) -> ExecuteResult:
        """Run statements at the lease's term, reporting what a failure says of the instance."""
        name = lease.name
        try:
            result = await lease.session.execute(
                statements,
                term=lease.choice.term,
                begin=begin,
                commit=commit,
                read_only=read_only,
                timeout_s=timeout_s,
            )
        except StaleTermError as error:
            self._monitor.observe_term(error.term)
            raise
        except (ConnectionLostError, NotPrimaryError):
            self._monitor.report_failure(name)
            raise
        except SqlError as error:
            if error.code == BUSY:
                # Another transaction held the lock for too long, which is no fault of the SQL.
                raise UnavailableError(f"{name} is busy: {error.message}") from error
            raise
        if result.term > lease.choice.term:
            self._monitor.observe_term(result.term)
        return result

    async def roll_back(self, lease: AcquiredInstance) -> None:
        """Roll back; a session on which that fails is closed on release."""
        try:
            await lease.session.rollback(timeout_s=ROLLBACK_TIMEOUT_S)
        except TanagerfrontError:
            self._monitor.report_failure(lease.name)

    async def wait_acknowledged(self, entry: EntryId, deadline: float) -> None:
        """Wait until data at `entry` may be shown; raises OutcomeUnknownError."""
        try:
            await self._monitor.wait_acknowledged(entry, deadline)
        except TanagerfrontError as error:
            if error.executed != "no":
                raise
            # The statement has run, whatever the wait reports.
            raise OutcomeUnknownError(error.message) from error

    def reflects_session(self, reached: EntryId, session: EntryId) -> bool:
        """Tell whether an answer includes the session's entry, by any known history."""
        statuses = (each.status for each in self._monitor.snapshot.instances)
        starts = [status.term_starts for status in statuses if status is not None]
        return any(reflects(reached, session, each) for each in [(), *starts])

    def _try_choose(
        self,
        work: StatementContext,
        mode: Mode,
        max_staleness_s: float | None,
        avoid: frozenset[str],
    ) -> Choice | None:
        return choose_instance(
            _without(self._monitor.snapshot, avoid),
            mode,
            work.session,
            max_staleness_s,
            self._failure_domain,
            self._load,
            trio.current_time(),
        )

    def _load(self, name: str) -> float:
        scheduler = self._schedulers.get(name)
        return scheduler.load if scheduler else float("inf")

    async def _wait_step(self, deadline: float) -> None:
        now = trio.current_time()
        if now >= deadline:
            raise UnavailableError("no instance can take the request")
        try:
            await self._monitor.wait_primary(min(deadline, now + WAIT_STEP_S))
        except UnavailableError:
            return
        # The view names a primary that the selection did not accept yet.
        await trio.sleep_until(min(deadline, trio.current_time() + POLL_INTERVAL_S))


def _same_primary(one: Choice, other: Choice) -> bool:
    return (one.term, one.instance.instance.name) == (other.term, other.instance.instance.name)


def _without(view: GroupSnapshot, avoid: frozenset[str]) -> GroupSnapshot:
    if not avoid:
        return view
    kept = tuple(each for each in view.instances if each.instance.name not in avoid)
    return view._replace(instances=kept)
