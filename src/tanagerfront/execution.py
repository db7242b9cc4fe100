"""Run one request at a home: selection, queue, statement, acknowledgement, retries."""

from __future__ import annotations

import random
import time
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from typing import NamedTuple

import trio

from .configuration import RequestClass
from .databases import ExecuteResult
from .entry_id import ZERO
from .errors import (
    ConnectionLostError,
    IdempotencyMismatchError,
    OutcomeUnknownError,
    SessionLostError,
    SqlError,
    StaleTermError,
    TanagerfrontError,
    TooManyConnectionsError,
    UnavailableError,
)
from .execution_job import (
    ExecutionJob,
    is_retryable,
    needs_new_primary,
    to_wire_results,
    with_true_executed_flag,
)
from .groups import GroupMonitor
from .instance_access import POLL_INTERVAL_S, AcquiredInstance, InstanceAccess, StatementContext
from .ledger import Ledger
from .messages import ExecuteReply, ExecuteRequest
from .pool import ConnectionPool
from .retries import RetryBudget, RetrySettings, backoff_s
from .routing import Choice, replica_serves
from .scheduler import FairScheduler

__all__ = ["ExecutionSettings", "Executor"]

CONSTRAINT = "constraint"
PRUNE_ORGANISATION = "tanagerfront"


class ExecutionSettings(NamedTuple):
    """Settings of one executor; times in seconds."""

    retries: RetrySettings = RetrySettings()
    # Share of the remaining time for one attempt that may be repeated, so that a silent
    # connection leaves time for another attempt before the caller's deadline.
    attempt_share: float = 0.6
    # Time that a read with a stated age waits for a replica to apply its session's last entry.
    # Reads that follow a write at once would otherwise all go to the primary.
    replica_wait_s: float = 0.05
    prune_interval_s: float = 60.0
    prune_timeout_s: float = 2.0


class Executor:
    """Execute the requests for one group at a home."""

    def __init__(
        self,
        group_monitor: GroupMonitor,
        pools: Mapping[str, ConnectionPool],
        schedulers: Mapping[str, FairScheduler],
        *,
        weight_of: Callable[[str], float],
        failure_domain: str,
        ledger: Ledger | None = None,
        settings: ExecutionSettings | None = None,
        wall_clock: Callable[[], float] = time.time,
        rng: random.Random | None = None,
    ) -> None:
        self._settings = settings or ExecutionSettings()
        self._access = InstanceAccess(group_monitor, pools, schedulers, weight_of, failure_domain)
        self._ledger = ledger or Ledger()
        self._budget = RetryBudget(self._settings.retries)
        self._wall_clock = wall_clock
        self._rng = rng or random.Random()

    @property
    def access(self) -> InstanceAccess:
        """Return the access to the group's instances, whose pools transactions share."""
        return self._access

    async def execute(self, request: ExecuteRequest) -> ExecuteReply:
        """Run one request; raises an error whose `executed` tells whether it ran."""
        job = ExecutionJob(request, trio.current_time())
        self._budget.note_request()
        while True:
            view = self._access.monitor.snapshot
            mark = (view.term, view.primary.instance.name if view.primary else None)
            try:
                return await self._attempt(job)
            except TanagerfrontError as error:
                job.note(error)
                if not await self._may_repeat(job, error, mark):
                    return await self._conclude(job, error)

    async def run(self) -> None:
        """Prune the ledger from time to time; homes may do so at the same time."""
        while True:
            await trio.sleep(self._settings.prune_interval_s * self._rng.uniform(0.5, 1.5))
            try:
                await self.prune_ledger()
            except TanagerfrontError:
                # Old records only cost space; the next round tries again.
                continue

    async def prune_ledger(self) -> int:
        """Delete one batch of old ledger records; return how many."""
        deadline = trio.current_time() + self._settings.prune_timeout_s
        work = StatementContext(PRUNE_ORGANISATION, RequestClass.BROWSING, ZERO, deadline)
        async with self._access.primary(work, "write") as lease:
            timeout_s = deadline - trio.current_time()
            return await self._ledger.prune(
                lease.session, lease.choice.term, self._wall_clock(), timeout_s
            )

    async def _attempt(self, job: ExecutionJob) -> ExecuteReply:
        job.attempts += 1
        if job.is_read:
            return await self._read(job)
        if job.request.idempotency_key is not None:
            return await self._keyed_write(job)
        return await self._write(job)

    @asynccontextmanager
    async def _lease(
        self, choice: Choice, work: StatementContext
    ) -> AsyncIterator[AcquiredInstance]:
        lease = await self._access.acquire(choice, work)
        try:
            yield lease
        finally:
            await self._access.release(lease)

    async def _batch(
        self, job: ExecutionJob, lease: AcquiredInstance, timeout_s: float
    ) -> ExecuteResult:
        """Run the request as one atomic batch."""
        job.check_token()
        job.note_sent(lease.choice.term)
        result = await self._access.execute(
            lease,
            job.statements,
            begin=True,
            commit=True,
            read_only=job.is_read,
            timeout_s=timeout_s,
        )
        job.note_ran(lease.choice.term)
        return result

    async def _read(self, job: ExecutionJob) -> ExecuteReply:
        staleness_s = job.request.max_staleness_s
        avoid = frozenset(job.avoid)
        choice = await self._access.choose(job.work, "read", staleness_s, avoid)
        if staleness_s is not None and not choice.by_replica:
            until = min(job.deadline, trio.current_time() + self._settings.replica_wait_s)
            if await self._access.wait_applied(job.work, staleness_s, until):
                choice = await self._access.choose(job.work, "read", staleness_s, avoid)
        if choice.by_replica:
            reply = await self._replica_read(job, choice)
            if reply is not None:
                return reply
        return await self._primary_read(job)

    async def _replica_read(self, job: ExecutionJob, choice: Choice) -> ExecuteReply | None:
        """Return the answer of a replica, or None if the primary has to serve the read."""
        name = choice.instance.instance.name
        try:
            async with self._lease(choice, job.work) as lease:
                # The wait for the slot has aged the data.
                if not self._still_serves(job, name):
                    return None
                timeout_s = self._attempt_timeout_s(job)
                result = await self._batch(job, lease, timeout_s)
        except (ConnectionLostError, StaleTermError, TooManyConnectionsError):
            job.avoid.add(name)
            raise
        if not self._access.reflects_session(result.reached, job.work.session):
            return None
        return job.reply(result, name, by_replica=True)

    def _still_serves(self, job: ExecutionJob, name: str) -> bool:
        view = self._access.monitor.snapshot
        staleness_s = job.request.max_staleness_s or 0.0
        now = trio.current_time()
        return any(
            replica_serves(view, each, job.work.session, staleness_s, now)
            for each in view.instances
            if each.instance.name == name
        )

    async def _primary_read(self, job: ExecutionJob) -> ExecuteReply:
        async with self._access.primary(job.work, "read") as lease:
            result = await self._batch(job, lease, self._attempt_timeout_s(job))
        await self._access.wait_acknowledged(result.reached, job.deadline)
        while not self._access.reflects_session(result.reached, job.work.session):
            # The view lags the answer; a session whose entry was discarded ends here.
            await self._access.choose(job.work, "read", None)
            await trio.sleep(POLL_INTERVAL_S)
            if trio.current_time() >= job.deadline:
                raise OutcomeUnknownError("the answer could not be compared with the session")
        return job.reply(result, lease.name)

    async def _write(self, job: ExecutionJob) -> ExecuteReply:
        async with self._access.primary(job.work, "write") as lease:
            result = await self._batch(job, lease, job.remaining_s())
        await self._access.wait_acknowledged(result.reached, job.deadline)
        return job.reply(result, lease.name)

    async def _keyed_write(self, job: ExecutionJob) -> ExecuteReply:
        async with self._access.primary(job.work, "write") as lease:
            timeout_s = self._attempt_timeout_s(job)
            await self._ledger.ensure_table(lease.session, lease.choice.term, timeout_s)
            result = await self._claim_and_run(job, lease)
            if result is None:
                return await self._replay(job, lease)
            reached = await self._commit_with_answer(job, lease, result)
        await self._access.wait_acknowledged(reached.reached, job.deadline)
        return job.reply(reached._replace(results=result.results), lease.name)

    async def _claim_and_run(
        self, job: ExecutionJob, lease: AcquiredInstance
    ) -> ExecuteResult | None:
        """Run the statements in an open transaction, or return None if the key is taken."""
        claim = self._ledger.insert(*job.ledger_key, job.request.request_digest, self._wall_clock())
        job.check_token()
        job.note_sent(lease.choice.term)
        try:
            result = await self._access.execute(
                lease,
                (claim, *job.statements),
                begin=True,
                commit=False,
                timeout_s=self._attempt_timeout_s(job),
            )
        except ConnectionLostError as error:
            # The commit was never sent and the connection is closed, so nothing stays.
            raise ConnectionLostError(error.message, executed="no") from error
        except SqlError as error:
            await self._access.roll_back(lease)
            if error.index > 0:
                raise SqlError(error.message, code=error.code, index=error.index - 1) from error
            if error.code != CONSTRAINT:
                raise UnavailableError(f"the ledger cannot be used: {error.message}") from error
            return None
        return result._replace(results=result.results[1:])

    async def _commit_with_answer(
        self, job: ExecutionJob, lease: AcquiredInstance, result: ExecuteResult
    ) -> ExecuteResult:
        answer = self._ledger.record_answer(*job.ledger_key, to_wire_results(result.results))
        timeout_s = self._attempt_timeout_s(job)
        job.note_sent(lease.choice.term)
        committed = await self._access.execute(
            lease, (answer,), begin=False, commit=True, timeout_s=timeout_s
        )
        job.note_ran(lease.choice.term)
        return committed

    async def _replay(self, job: ExecutionJob, lease: AcquiredInstance) -> ExecuteReply:
        """Return the first answer; raises IdempotencyMismatchError."""
        reply = await self._look_up(job, lease)
        if reply is None:
            # The transaction that held the key was rolled back in between.
            raise UnavailableError("another request with this idempotency key is in progress")
        return reply

    async def _look_up(self, job: ExecutionJob, lease: AcquiredInstance) -> ExecuteReply | None:
        timeout_s = self._attempt_timeout_s(job)
        found = await self._ledger.lookup(
            lease.session, lease.choice.term, *job.ledger_key, timeout_s
        )
        # A record that is not acknowledged could still be discarded by a failover; so could the
        # writes that an absence is concluded from.
        await self._access.wait_acknowledged(found.result.reached, job.deadline)
        if found.record is None:
            job.note_absence(found.result.reached)
            return None
        if found.record.request_digest != job.request.request_digest:
            raise IdempotencyMismatchError("the idempotency key was used with another request")
        return ExecuteReply(
            results=found.record.results,
            reached=found.result.reached,
            instance=lease.name,
            by_replica=False,
            replayed=True,
        )

    async def _conclude(self, job: ExecutionJob, error: TanagerfrontError) -> ExecuteReply:
        """Raise the truth about the request, or return the answer that the ledger has."""
        final = isinstance(error, IdempotencyMismatchError | SessionLostError)
        if job.in_doubt and job.request.idempotency_key is not None and not final:
            reply = await self._resolve(job)
            if reply is not None:
                return reply
        raise with_true_executed_flag(job, error) from error

    async def _resolve(self, job: ExecutionJob) -> ExecuteReply | None:
        """Look the request up until its outcome is known or the deadline passes."""
        while trio.current_time() < job.deadline and job.in_doubt:
            try:
                async with self._access.primary(job.work, "write") as lease:
                    reply = await self._look_up(job, lease)
                if reply is not None:
                    return reply
            except (IdempotencyMismatchError, SessionLostError):
                raise
            except TanagerfrontError:
                # The lookup itself failed, which says nothing about the request.
                pass
            await self._pause(job)
        return None

    async def _may_repeat(
        self, job: ExecutionJob, error: TanagerfrontError, mark: tuple[int, str | None]
    ) -> bool:
        """Wait until a repeat is allowed; False if the request has to end here.

        A repeat after a change of primary is not charged to the budget: each change allows every
        waiting request one attempt, and refusing them would turn a failover into refusals.
        """
        if not is_retryable(job, error):
            return False
        while trio.current_time() < job.deadline:
            if self._primary_changed(mark):
                return True
            if self._budget.take():
                await self._pause(job)
                return trio.current_time() < job.deadline
            if not needs_new_primary(error):
                return False
            await self._pause(job)
        return False

    def _primary_changed(self, mark: tuple[int, str | None]) -> bool:
        view = self._access.monitor.snapshot
        return view.primary is not None and mark != (view.term, view.primary.instance.name)

    async def _pause(self, job: ExecutionJob) -> None:
        delay_s = backoff_s(job.attempts, self._settings.retries, self._rng)
        await trio.sleep_until(min(job.deadline, trio.current_time() + delay_s))

    def _attempt_timeout_s(self, job: ExecutionJob) -> float:
        return job.remaining_s() * self._settings.attempt_share
