"""State of one request at a home and the rules on what may be said and repeated."""

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
    "needs_new_primary",
    "to_statements",
    "to_wire_results",
    "with_true_executed_flag",
    "is_retryable",
]

PASSING_ERRORS = (
    ConnectionLostError,
    NotPrimaryError,
    OutcomeUnknownError,
    StaleTermError,
    TooManyConnectionsError,
    UnavailableError,
)
# The deadline or the state of this VM speaks against another attempt here.
FINAL_ERRORS = (DrainingError, OverloadedError)


class ExecutionJob:
    """One request; times are in trio's clock, counted from its arrival."""

    def __init__(self, request: ExecuteRequest, arrived_at: float) -> None:
        self.request = request
        self.deadline = arrived_at + request.timeout_s
        self.statements = to_statements(request.statements)
        self.attempts = 0
        # Replicas that failed this request.
        self.avoid: set[str] = set()
        self.work = StatementContext(
            request.organisation,
            RequestClass(request.request_class),
            request.session,
            self.deadline,
        )
        self._token_until = token_expires_at(arrived_at, request.token_lifetime_s)
        self._doubtful_term: int | None = None
        self._last_term = 0

    @property
    def is_read(self) -> bool:
        """Tell whether the request has no effect."""
        return self.request.mode == "read"

    @property
    def in_doubt(self) -> bool:
        """Tell whether an attempt ran or may have run."""
        return self._doubtful_term is not None

    @property
    def ledger_key(self) -> tuple[str, str]:
        """Return the key of the request's ledger record."""
        return self.request.organisation, self.request.idempotency_key or ""

    def remaining_s(self) -> float:
        """Return the time until the deadline in seconds."""
        return self.deadline - trio.current_time()

    def check_token(self) -> None:
        """Raise RateLimitedError if the rate token has ended."""
        check_token(self._token_until)

    def note_sent(self, term: int) -> None:
        """Note the term at which a statement is about to leave."""
        self._last_term = term

    def note_ran(self, term: int) -> None:
        """Note that an attempt ran at this term."""
        self._doubtful_term = max(term, self._doubtful_term or 0)

    def note(self, error: TanagerfrontError) -> None:
        """Note what a failed attempt says about whether the request ran."""
        if error.executed != "no":
            self.note_ran(self._last_term)

    def note_absence(self, reached: EntryId) -> None:
        """Note that acknowledged data at `reached` has no record of this request.

        An entry of a later term that a majority holds excludes that a later primary has entries
        of the attempt's term that this one does not have.
        """
        if self._doubtful_term is not None and reached.term > self._doubtful_term:
            self._doubtful_term = None

    def reply(
        self, result: ExecuteResult, instance: str, *, by_replica: bool = False
    ) -> ExecuteReply:
        """Return the answer for the caller."""
        return ExecuteReply(to_wire_results(result.results), result.reached, instance, by_replica)


def token_expires_at(arrived_at: float, lifetime_s: float | None) -> float | None:
    """Return when a rate token ends, None if no token is needed."""
    return None if lifetime_s is None else arrived_at + lifetime_s


def check_token(until: float | None) -> None:
    """Raise RateLimitedError if a rate token has ended."""
    if until is not None and trio.current_time() >= until:
        raise RateLimitedError("the rate token ended before the statement was sent")


def to_statements(statements: Iterable[WireStatement]) -> tuple[Statement, ...]:
    """Return the statements as the database interface takes them."""
    return tuple(Statement(each.sql, each.params) for each in statements)


def to_wire_results(results: Iterable[StatementResult]) -> tuple[WireResult, ...]:
    """Return results as they go between VMs."""
    return tuple(
        WireResult(each.columns, [list(row) for row in each.rows], each.changes) for each in results
    )


def is_retryable(job: ExecutionJob, error: TanagerfrontError) -> bool:
    """Tell whether another attempt is safe and could end differently.

    A write without a key is safe only if no attempt can have run; with one, the ledger makes the
    repeat safe. Routes marked repeatable get no exception: an attempt whose answer was lost may
    still be running on its old connection.
    """
    if not isinstance(error, PASSING_ERRORS) or isinstance(error, FINAL_ERRORS):
        return False
    return job.is_read or job.request.idempotency_key is not None or not job.in_doubt


def needs_new_primary(error: TanagerfrontError) -> bool:
    """Tell whether waiting for another primary helps, which costs the database nothing."""
    if isinstance(error, ConnectionLostError):
        return error.executed == "no"
    return isinstance(error, StaleTermError | NotPrimaryError)


def with_true_executed_flag(job: ExecutionJob, error: TanagerfrontError) -> TanagerfrontError:
    """Return the error, replaced if its `executed` is wrong for the request as a whole."""
    if error.executed != "no" and not job.in_doubt:
        return UnavailableError(f"{error.message}; the ledger shows that the request did not run")
    if error.executed != "no" or not job.in_doubt:
        return error
    if isinstance(error, IdempotencyMismatchError):
        # The acknowledged record of another request excludes that this one ran.
        return error
    return OutcomeUnknownError(f"{error.message}; an earlier attempt may have run")
