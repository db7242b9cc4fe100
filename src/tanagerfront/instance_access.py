"""Access of a home of the HTTP interface to the instances of one group.

Selects an instance, acquires a slot and a session for it, and executes statements.
"""

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
from .routing import (
    InstanceChoice,
    choose_instance,
    includes_entry,
    replica_is_eligible,
    replica_will_catch_up,
)
from .scheduler import FairScheduler, Slot

__all__ = ["AcquiredInstance", "InstanceAccess", "StatementContext"]

POLL_INTERVAL_S = 0.005
APPLY_POLL_INTERVAL_S = 0.002
# Interval at which a wait for a primary checks whether a replica can serve instead.
PRIMARY_WAIT_STEP_S = 0.1
ROLLBACK_TIMEOUT_S = 0.5
BUSY_CODE = "busy"


class StatementContext(NamedTuple):
    """The origin, class and deadline of a statement.

    `session_entry` is the last log entry that the caller's session has seen, and `deadline` is in
    trio's clock.
    """

    organisation: str
    request_class: RequestClass
    session_entry: EntryId
    deadline: float


class AcquiredInstance(NamedTuple):
    """A slot and a session of one instance, held until `InstanceAccess.release`."""

    choice: InstanceChoice
    slot: Slot
    session: PooledSession
    scheduler: FairScheduler
    pool: ConnectionPool

    @property
    def name(self) -> str:
        """Return the name of the instance."""
        return self.choice.instance.instance.name


class InstanceAccess:
    """Acquire and use the instances of one group; pools and schedulers are keyed by instance name.

    `weight_of` returns the scheduling weight of an organisation. It must accept names that are not
    configured or no longer so, such as the one under which the ledger is pruned.
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
        """Return an access to the same instances and pools that queues in other schedulers."""
        return InstanceAccess(
            self._monitor, self._pools, schedulers, self._weight_of, self._failure_domain
        )

    async def wait_for_instance(
        self,
        context: StatementContext,
        mode: Mode,
        max_staleness_s: float | None = None,
        excluded: frozenset[str] = frozenset(),
    ) -> InstanceChoice:
        """Wait until an instance can serve, and return it.

        Raises UnavailableError at the deadline, and SessionLostError if a failover discarded the
        session's entry.
        """
        while True:
            choice = self._try_choose(context, mode, max_staleness_s, excluded)
            if choice is not None:
                return choice
            if context.session_entry.term > self._monitor.snapshot.term:
                self._monitor.observe_term(context.session_entry.term)
            await self._wait_step(context.deadline)

    async def wait_for_replica(
        self, context: StatementContext, max_staleness_s: float, deadline: float
    ) -> bool:
        """Wait while a replica applies the session's entry; return whether a replica can serve."""
        while trio.current_time() < deadline:
            snapshot, now = self._monitor.snapshot, trio.current_time()
            if any(
                replica_is_eligible(snapshot, replica, context.session_entry, max_staleness_s, now)
                for replica in snapshot.instances
            ):
                return True
            if not replica_will_catch_up(snapshot, context.session_entry, max_staleness_s, now):
                return False
            await trio.sleep(APPLY_POLL_INTERVAL_S)
        return False

    @asynccontextmanager
    async def acquired_primary(
        self, context: StatementContext, mode: Mode
    ) -> AsyncIterator[AcquiredInstance]:
        """Acquire the primary for the duration of a block."""
        acquired = await self.acquire_primary(context, mode)
        try:
            yield acquired
        finally:
            await self.release(acquired)

    async def acquire_primary(self, context: StatementContext, mode: Mode) -> AcquiredInstance:
        """Acquire a slot and a session of the instance that is primary once both are available."""
        while True:
            choice = await self.wait_for_instance(context, mode)
            acquired = await self.acquire(choice, context)
            # A primary that was replaced, or began to leave, while the request was queued must not
            # get the request.
            still_primary = False
            try:
                current = self._try_choose(context, mode, None, frozenset())
                still_primary = current is not None and _same_primary(current, choice)
            finally:
                if not still_primary:
                    await self.release(acquired, observe_latency=False)
            if still_primary:
                return acquired

    async def acquire(self, choice: InstanceChoice, context: StatementContext) -> AcquiredInstance:
        """Acquire a slot and a session of the chosen instance.

        Raises OverloadedError if the queue refuses the request, UnavailableError if this home does
        not use the instance, or the error with which opening a session failed.
        """
        name = choice.instance.instance.name
        scheduler, pool = self._schedulers.get(name), self._pools.get(name)
        if scheduler is None or pool is None:
            raise UnavailableError(f"this home does not use instance {name}")
        weight = self._weight_of(context.organisation)
        slot = await scheduler.acquire(
            context.organisation, weight, context.request_class, context.deadline
        )
        try:
            session = await pool.acquire(context.deadline)
        except BaseException as error:
            scheduler.release(slot, observe_latency=False)
            if isinstance(error, ConnectionLostError):
                self._monitor.report_failure(name)
            raise
        return AcquiredInstance(choice, slot, session, scheduler, pool)

    async def release(self, acquired: AcquiredInstance, *, observe_latency: bool = True) -> None:
        """Release the session and the slot; a session in an unknown state is closed."""
        try:
            await acquired.pool.release(acquired.session)
        finally:
            acquired.scheduler.release(acquired.slot, observe_latency=observe_latency)

    async def execute(
        self,
        acquired: AcquiredInstance,
        statements: Sequence[Statement],
        *,
        begin: bool,
        commit: bool,
        read_only: bool = False,
        timeout_s: float,
    ) -> ExecuteResult:
        """Execute statements at the term in which the instance was chosen.

        Reports lost connections, refusals of a non-primary and later terms to the monitor. Raises
        UnavailableError if a database lock was not granted in time.
        """
        name = acquired.name
        try:
            result = await acquired.session.execute(
                statements,
                term=acquired.choice.term,
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
            if error.code == BUSY_CODE:
                # Another transaction held the lock for too long; the SQL itself is valid.
                raise UnavailableError(
                    f"lock timeout on instance {name}: {error.message}"
                ) from error
            raise
        if result.term > acquired.choice.term:
            self._monitor.observe_term(result.term)
        return result

    async def roll_back(self, acquired: AcquiredInstance) -> None:
        """Roll back the transaction; if this fails, the session is closed on release."""
        try:
            await acquired.session.rollback(timeout_s=ROLLBACK_TIMEOUT_S)
        except TanagerfrontError:
            self._monitor.report_failure(acquired.name)

    async def wait_acknowledged(self, entry: EntryId, deadline: float) -> None:
        """Wait until data up to `entry` may be returned to a caller; raises OutcomeUnknownError."""
        try:
            await self._monitor.wait_acknowledged(entry, deadline)
        except TanagerfrontError as error:
            if error.executed != "no":
                raise
            # The statement has run, so the error must not report it as not executed.
            raise OutcomeUnknownError(error.message) from error

    def reflects_session(self, reached: EntryId, session_entry: EntryId) -> bool:
        """Return whether an answer includes the session's entry according to any known history."""
        statuses = (instance.status for instance in self._monitor.snapshot.instances)
        histories = [status.term_starts for status in statuses if status is not None]
        return any(includes_entry(reached, session_entry, history) for history in [(), *histories])

    def _try_choose(
        self,
        context: StatementContext,
        mode: Mode,
        max_staleness_s: float | None,
        excluded: frozenset[str],
    ) -> InstanceChoice | None:
        return choose_instance(
            _exclude(self._monitor.snapshot, excluded),
            mode,
            context.session_entry,
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
            raise UnavailableError("no instance could serve the request before its deadline")
        try:
            await self._monitor.wait_primary(min(deadline, now + PRIMARY_WAIT_STEP_S))
        except UnavailableError:
            return
        # A primary is known, but the selection did not accept it yet.
        await trio.sleep_until(min(deadline, trio.current_time() + POLL_INTERVAL_S))


def _same_primary(first: InstanceChoice, second: InstanceChoice) -> bool:
    return (first.term, first.instance.instance.name) == (
        second.term,
        second.instance.instance.name,
    )


def _exclude(snapshot: GroupSnapshot, excluded: frozenset[str]) -> GroupSnapshot:
    if not excluded:
        return snapshot
    remaining = tuple(
        instance for instance in snapshot.instances if instance.instance.name not in excluded
    )
    return snapshot._replace(instances=remaining)
