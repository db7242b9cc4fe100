"""Execution of requests at a home of the HTTP interface.

Covers the selection of an instance, queueing, the statements, their acknowledgement and retries.
"""

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
from .routing import InstanceChoice, replica_is_eligible
from .scheduler import FairScheduler

__all__ = ["ExecutionSettings", "Executor"]

CONSTRAINT_CODE = "constraint"
PRUNE_ORGANISATION = "tanagerfront"


class ExecutionSettings(NamedTuple):
    """Settings of one executor; times in seconds."""

    retries: RetrySettings = RetrySettings()
    # Share of the remaining time that one attempt of a retryable request may use. It leaves time
    # for a retry before the caller's deadline if a connection stops responding.
    attempt_share: float = 0.6
    # How long a read with a staleness bound waits for a replica to apply its session's last entry.
    # Without the wait all reads that directly follow a write would go to the primary.
    replica_wait_s: float = 0.05
    prune_interval_s: float = 60.0
    prune_timeout_s: float = 2.0


class Executor:
    """Execute requests for one group at a home."""

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
        self._retry_budget = RetryBudget(self._settings.retries)
        self._wall_clock = wall_clock
        self._rng = rng or random.Random()

    @property
    def access(self) -> InstanceAccess:
        """Return the access to the group's instances; transactions use the same pools."""
        return self._access

    async def execute(self, request: ExecuteRequest) -> ExecuteReply:
        """Execute one request; raises TanagerfrontError, whose `executed` says whether it ran."""
        job = ExecutionJob(request, trio.current_time())
        self._retry_budget.record_request()
        while True:
            snapshot = self._access.monitor.snapshot
            previous_primary = (
                snapshot.term,
                snapshot.primary.instance.name if snapshot.primary else None,
            )
            try:
                return await self._attempt(job)
            except TanagerfrontError as error:
                job.record_failure(error)
                if not await self._wait_for_retry(job, error, previous_primary):
                    return await self._resolve_failure(job, error)

    async def run(self) -> None:
        """Prune the ledger periodically; several homes may prune at the same time."""
        while True:
            await trio.sleep(self._settings.prune_interval_s * self._rng.uniform(0.5, 1.5))
            try:
                await self.prune_ledger()
            except TanagerfrontError:
                # Records that are kept for longer only use space; the next round retries.
                continue

    async def prune_ledger(self) -> int:
        """Delete one batch of expired ledger records; return their number."""
        deadline = trio.current_time() + self._settings.prune_timeout_s
        context = StatementContext(PRUNE_ORGANISATION, RequestClass.BROWSING, ZERO, deadline)
        async with self._access.acquired_primary(context, "write") as acquired:
            timeout_s = deadline - trio.current_time()
            return await self._ledger.prune(
                acquired.session, acquired.choice.term, self._wall_clock(), timeout_s
            )

    async def _attempt(self, job: ExecutionJob) -> ExecuteReply:
        job.attempts += 1
        if job.is_read:
            return await self._read(job)
        if job.request.idempotency_key is not None:
            return await self._keyed_write(job)
        return await self._write(job)

    @asynccontextmanager
    async def _acquired(
        self, choice: InstanceChoice, context: StatementContext
    ) -> AsyncIterator[AcquiredInstance]:
        acquired = await self._access.acquire(choice, context)
        try:
            yield acquired
        finally:
            await self._access.release(acquired)

    async def _execute_batch(
        self, job: ExecutionJob, acquired: AcquiredInstance, timeout_s: float
    ) -> ExecuteResult:
        """Execute the request as one atomic batch."""
        job.check_token()
        job.record_sent(acquired.choice.term)
        result = await self._access.execute(
            acquired,
            job.statements,
            begin=True,
            commit=True,
            read_only=job.is_read,
            timeout_s=timeout_s,
        )
        job.record_executed(acquired.choice.term)
        return result

    async def _read(self, job: ExecutionJob) -> ExecuteReply:
        staleness_s = job.request.max_staleness_s
        excluded = frozenset(job.failed_replicas)
        choice = await self._access.wait_for_instance(job.context, "read", staleness_s, excluded)
        if staleness_s is not None and not choice.by_replica:
            wait_until = min(job.deadline, trio.current_time() + self._settings.replica_wait_s)
            if await self._access.wait_for_replica(job.context, staleness_s, wait_until):
                choice = await self._access.wait_for_instance(
                    job.context, "read", staleness_s, excluded
                )
        if choice.by_replica:
            reply = await self._replica_read(job, choice)
            if reply is not None:
                return reply
        return await self._primary_read(job)

    async def _replica_read(self, job: ExecutionJob, choice: InstanceChoice) -> ExecuteReply | None:
        """Return the answer of a replica, or None if the primary has to serve the read."""
        name = choice.instance.instance.name
        try:
            async with self._acquired(choice, job.context) as acquired:
                # The data may have exceeded the staleness bound while the request was queued.
                if not self._still_serves(job, name):
                    return None
                timeout_s = self._attempt_timeout_s(job)
                result = await self._execute_batch(job, acquired, timeout_s)
        except (ConnectionLostError, StaleTermError, TooManyConnectionsError):
            job.failed_replicas.add(name)
            raise
        if not self._access.reflects_session(result.reached, job.context.session_entry):
            return None
        return job.reply(result, name, by_replica=True)

    def _still_serves(self, job: ExecutionJob, name: str) -> bool:
        snapshot = self._access.monitor.snapshot
        staleness_s = job.request.max_staleness_s or 0.0
        now = trio.current_time()
        return any(
            replica_is_eligible(snapshot, replica, job.context.session_entry, staleness_s, now)
            for replica in snapshot.instances
            if replica.instance.name == name
        )

    async def _primary_read(self, job: ExecutionJob) -> ExecuteReply:
        async with self._access.acquired_primary(job.context, "read") as acquired:
            result = await self._execute_batch(job, acquired, self._attempt_timeout_s(job))
        await self._access.wait_acknowledged(result.reached, job.deadline)
        while not self._access.reflects_session(result.reached, job.context.session_entry):
            # The monitor may lag behind the answer. This raises SessionLostError once it shows that
            # the session's entry was discarded.
            await self._access.wait_for_instance(job.context, "read", None)
            await trio.sleep(POLL_INTERVAL_S)
            if trio.current_time() >= job.deadline:
                raise OutcomeUnknownError(
                    "could not verify that the answer includes the session's last entry"
                )
        return job.reply(result, acquired.name)

    async def _write(self, job: ExecutionJob) -> ExecuteReply:
        async with self._access.acquired_primary(job.context, "write") as acquired:
            result = await self._execute_batch(job, acquired, job.remaining_s())
        await self._access.wait_acknowledged(result.reached, job.deadline)
        return job.reply(result, acquired.name)

    async def _keyed_write(self, job: ExecutionJob) -> ExecuteReply:
        async with self._access.acquired_primary(job.context, "write") as acquired:
            timeout_s = self._attempt_timeout_s(job)
            await self._ledger.ensure_table(acquired.session, acquired.choice.term, timeout_s)
            result = await self._claim_and_run(job, acquired)
            if result is None:
                return await self._replay(job, acquired)
            committed = await self._commit_with_answer(job, acquired, result)
        await self._access.wait_acknowledged(committed.reached, job.deadline)
        return job.reply(committed._replace(results=result.results), acquired.name)

    async def _claim_and_run(
        self, job: ExecutionJob, acquired: AcquiredInstance
    ) -> ExecuteResult | None:
        """Claim the key and run the statements, without commit; None if the key is in use."""
        claim_statement = self._ledger.claim_statement(
            *job.ledger_key, job.request.request_digest, self._wall_clock()
        )
        job.check_token()
        job.record_sent(acquired.choice.term)
        try:
            result = await self._access.execute(
                acquired,
                (claim_statement, *job.statements),
                begin=True,
                commit=False,
                timeout_s=self._attempt_timeout_s(job),
            )
        except ConnectionLostError as error:
            # No commit was sent and the connection is closed, so the database rolls back.
            raise ConnectionLostError(error.message, executed="no") from error
        except SqlError as error:
            await self._access.roll_back(acquired)
            if error.index > 0:
                raise SqlError(error.message, code=error.code, index=error.index - 1) from error
            if error.code != CONSTRAINT_CODE:
                raise UnavailableError(
                    f"a statement on the ledger failed: {error.message}"
                ) from error
            return None
        return result._replace(results=result.results[1:])

    async def _commit_with_answer(
        self, job: ExecutionJob, acquired: AcquiredInstance, result: ExecuteResult
    ) -> ExecuteResult:
        answer = self._ledger.store_answer_statement(
            *job.ledger_key, to_wire_results(result.results)
        )
        timeout_s = self._attempt_timeout_s(job)
        job.record_sent(acquired.choice.term)
        committed = await self._access.execute(
            acquired, (answer,), begin=False, commit=True, timeout_s=timeout_s
        )
        job.record_executed(acquired.choice.term)
        return committed

    async def _replay(self, job: ExecutionJob, acquired: AcquiredInstance) -> ExecuteReply:
        """Return the recorded answer; raises IdempotencyMismatchError for another request's key."""
        reply = await self._look_up_reply(job, acquired)
        if reply is None:
            # The transaction that had claimed the key was rolled back before the lookup.
            raise UnavailableError("another request with this idempotency key is in progress")
        return reply

    async def _look_up_reply(
        self, job: ExecutionJob, acquired: AcquiredInstance
    ) -> ExecuteReply | None:
        timeout_s = self._attempt_timeout_s(job)
        lookup = await self._ledger.lookup(
            acquired.session, acquired.choice.term, *job.ledger_key, timeout_s
        )
        # A failover could still discard a record that is not acknowledged, or the entries that show
        # the absence of a record.
        await self._access.wait_acknowledged(lookup.result.reached, job.deadline)
        if lookup.record is None:
            job.record_absence(lookup.result.reached)
            return None
        if lookup.record.request_digest != job.request.request_digest:
            raise IdempotencyMismatchError("the idempotency key was used with another request")
        return ExecuteReply(
            results=lookup.record.results,
            reached=lookup.result.reached,
            instance=acquired.name,
            by_replica=False,
            replayed=True,
        )

    async def _resolve_failure(self, job: ExecutionJob, error: TanagerfrontError) -> ExecuteReply:
        """Return the answer from the ledger, or raise the error with its `executed` corrected."""
        final = isinstance(error, IdempotencyMismatchError | SessionLostError)
        if job.in_doubt and job.request.idempotency_key is not None and not final:
            reply = await self._resolve_outcome(job)
            if reply is not None:
                return reply
        raise with_true_executed_flag(job, error) from error

    async def _resolve_outcome(self, job: ExecutionJob) -> ExecuteReply | None:
        """Look the request up in the ledger until its outcome is known or the deadline passes."""
        while trio.current_time() < job.deadline and job.in_doubt:
            try:
                async with self._access.acquired_primary(job.context, "write") as acquired:
                    reply = await self._look_up_reply(job, acquired)
                if reply is not None:
                    return reply
            except (IdempotencyMismatchError, SessionLostError):
                raise
            except TanagerfrontError:
                # A failed lookup leaves the outcome of the request open.
                pass
            await self._back_off(job)
        return None

    async def _wait_for_retry(
        self, job: ExecutionJob, error: TanagerfrontError, previous_primary: tuple[int, str | None]
    ) -> bool:
        """Wait until a retry is allowed; return False if the request must not be retried.

        A retry after a change of primary is not charged to the retry budget. Each change allows
        every waiting request one attempt; with the budget, a failover would cause refusals.
        """
        if not is_retryable(job, error):
            return False
        while trio.current_time() < job.deadline:
            if self._primary_changed(previous_primary):
                return True
            if self._retry_budget.try_acquire():
                await self._back_off(job)
                return trio.current_time() < job.deadline
            if not needs_new_primary(error):
                return False
            await self._back_off(job)
        return False

    def _primary_changed(self, previous_primary: tuple[int, str | None]) -> bool:
        snapshot = self._access.monitor.snapshot
        return snapshot.primary is not None and previous_primary != (
            snapshot.term,
            snapshot.primary.instance.name,
        )

    async def _back_off(self, job: ExecutionJob) -> None:
        delay_s = backoff_s(job.attempts, self._settings.retries, self._rng)
        await trio.sleep_until(min(job.deadline, trio.current_time() + delay_s))

    def _attempt_timeout_s(self, job: ExecutionJob) -> float:
        return job.remaining_s() * self._settings.attempt_share
