"""State of one request at a home of the HTTP interface, and the rules for retries and errors."""

from __future__ import annotations

from collections.abc import Iterable

import trio

from .configuration import RequestClass
from .databases import ExecuteResult, Statement, StatementResult
from .entry_id import EntryId
from .errors import (
    ConnectionLostError,
    DrainingError,
    IdempotencyMismatchError,
    NotPrimaryError,
    OutcomeUnknownError,
    OverloadedError,
    RateLimitedError,
    StaleTermError,
    TanagerfrontError,
    TooManyConnectionsError,
    UnavailableError,
)
from .instance_access import StatementContext
from .messages import ExecuteReply, ExecuteRequest, WireResult, WireStatement

__all__ = [
    "ExecutionJob",
    "check_token",
    "is_retryable",
    "needs_new_primary",
    "to_statements",
    "to_wire_results",
    "with_true_executed_flag",
]

TRANSIENT_ERRORS = (
    ConnectionLostError,
    NotPrimaryError,
    OutcomeUnknownError,
    StaleTermError,
    TooManyConnectionsError,
    UnavailableError,
)
# Not retried here: the request cannot meet its deadline, or this VM is draining.
NON_RETRYABLE_ERRORS = (DrainingError, OverloadedError)


class ExecutionJob:
    """State of one request across its attempts; times are in trio's clock."""

    def __init__(self, request: ExecuteRequest, arrived_at: float) -> None:
        self.request = request
        self.deadline = arrived_at + request.timeout_s
        self.statements = to_statements(request.statements)
        self.attempts = 0
        # Names of the replicas on which an attempt of this request failed.
        self.failed_replicas: set[str] = set()
        self.context = StatementContext(
            request.organisation,
            RequestClass(request.request_class),
            request.session,
            self.deadline,
        )
        self._token_expires_at = token_expires_at(arrived_at, request.token_lifetime_s)
        self._in_doubt_term: int | None = None
        self._last_sent_term = 0

    @property
    def is_read(self) -> bool:
        """Return whether the request only reads."""
        return self.request.mode == "read"

    @property
    def in_doubt(self) -> bool:
        """Return whether an attempt ran or may have run."""
        return self._in_doubt_term is not None

    @property
    def ledger_key(self) -> tuple[str, str]:
        """Return the key of the request's ledger record."""
        return self.request.organisation, self.request.idempotency_key or ""

    def remaining_s(self) -> float:
        """Return the time until the deadline in seconds."""
        return self.deadline - trio.current_time()

    def check_token(self) -> None:
        """Raise RateLimitedError if the request's rate token has expired."""
        check_token(self._token_expires_at)

    def record_sent(self, term: int) -> None:
        """Record the term at which a statement is about to be sent."""
        self._last_sent_term = term

    def record_executed(self, term: int) -> None:
        """Record that an attempt ran, or may have run, at this term."""
        self._in_doubt_term = max(term, self._in_doubt_term or 0)

    def record_failure(self, error: TanagerfrontError) -> None:
        """Record a failed attempt; it leaves the request in doubt unless it did not run."""
        if error.executed != "no":
            self.record_executed(self._last_sent_term)

    def record_absence(self, reached: EntryId) -> None:
        """Record that acknowledged data at `reached` has no ledger record of this request.

        This settles that the request did not run if `reached` is of a later term than the last
        attempt in doubt: once a majority holds an entry of the later term, no later primary can
        have entries of the attempt's term that are missing here.
        """
        if self._in_doubt_term is not None and reached.term > self._in_doubt_term:
            self._in_doubt_term = None

    def reply(
        self, result: ExecuteResult, instance: str, *, by_replica: bool = False
    ) -> ExecuteReply:
        """Return the reply to the caller."""
        return ExecuteReply(to_wire_results(result.results), result.reached, instance, by_replica)


def token_expires_at(arrived_at: float, lifetime_s: float | None) -> float | None:
    """Return when a rate token expires in trio's clock, or None if no token is needed."""
    return None if lifetime_s is None else arrived_at + lifetime_s


def check_token(expires_at: float | None) -> None:
    """Raise RateLimitedError if a rate token has expired."""
    if expires_at is not None and trio.current_time() >= expires_at:
        raise RateLimitedError("the rate token expired before the statement was sent")


def to_statements(statements: Iterable[WireStatement]) -> tuple[Statement, ...]:
    """Convert statements of a message to statements of the database interface."""
    return tuple(Statement(statement.sql, statement.params) for statement in statements)


def to_wire_results(results: Iterable[StatementResult]) -> tuple[WireResult, ...]:
    """Convert results of the database interface to results of a message."""
    return tuple(
        WireResult(result.columns, [list(row) for row in result.rows], result.changes)
        for result in results
    )


def is_retryable(job: ExecutionJob, error: TanagerfrontError) -> bool:
    """Return whether another attempt is safe and could succeed.

    A write with an idempotency key is safe to retry because of the ledger; one without a key only
    if no attempt can have run. This also holds for routes marked repeatable: an attempt whose
    answer was lost may still be running on its old connection.
    """
    if not isinstance(error, TRANSIENT_ERRORS) or isinstance(error, NON_RETRYABLE_ERRORS):
        return False
    return job.is_read or job.request.idempotency_key is not None or not job.in_doubt


def needs_new_primary(error: TanagerfrontError) -> bool:
    """Return whether to wait for another primary; the wait puts no load on the database."""
    if isinstance(error, ConnectionLostError):
        return error.executed == "no"
    return isinstance(error, StaleTermError | NotPrimaryError)


def with_true_executed_flag(job: ExecutionJob, error: TanagerfrontError) -> TanagerfrontError:
    """Return the error, replaced if its `executed` does not hold for all attempts together."""
    if error.executed != "no" and not job.in_doubt:
        return UnavailableError(f"{error.message}; according to the ledger the request did not run")
    if error.executed != "no" or not job.in_doubt:
        return error
    if isinstance(error, IdempotencyMismatchError):
        # The key's acknowledged record belongs to another request, so this one did not run.
        return error
    return OutcomeUnknownError(f"{error.message}; an earlier attempt may have run")
