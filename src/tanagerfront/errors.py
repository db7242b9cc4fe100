"""Exceptions of the package, with HTTP status, exit code and whether the request ran."""

from __future__ import annotations

from typing import ClassVar, Literal

__all__ = [
    "BadRequestError",
    "CanceledError",
    "ConfigurationError",
    "ConflictError",
    "ConnectionLostError",
    "DatabaseError",
    "DeadlineExceededError",
    "DrainingError",
    "ForbiddenError",
    "HistoryLostError",
    "IdempotencyMismatchError",
    "KeyRequiredError",
    "KeyValueError",
    "KeyValueTimeoutError",
    "KeyValueUnavailableError",
    "NotFoundError",
    "NotPrimaryError",
    "OutcomeUnknownError",
    "OverloadedError",
    "PeerUnreachableError",
    "RateLimitedError",
    "SessionLostError",
    "SessionTokenError",
    "SettingsError",
    "SqlError",
    "StaleTermError",
    "TanagerfrontError",
    "TooLargeError",
    "TooManyConnectionsError",
    "TransactionError",
    "UnavailableError",
    "error_for_type",
]

Executed = Literal["no", "unknown", "yes"]


class TanagerfrontError(Exception):
    """Base of every error that tanagerfront raises itself."""

    problem_type: ClassVar[str] = "internal"
    status: ClassVar[int] = 500
    exit_code: ClassVar[int] = 1
    default_executed: ClassVar[Executed] = "no"

    def __init__(
        self,
        message: str,
        *,
        executed: Executed | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self._message = message
        self._executed = executed or self.default_executed
        self._retry_after_s = retry_after_s

    @property
    def message(self) -> str:
        """Return the text shown to a caller or operator."""
        return self._message

    @property
    def executed(self) -> Executed:
        """Return whether the request ran."""
        return self._executed

    @property
    def retry_after_s(self) -> float | None:
        """Return the delay in seconds after which a retry makes sense, if known."""
        return self._retry_after_s

    def __str__(self) -> str:
        return self._message


class SettingsError(TanagerfrontError):
    """A settings file, environment variable or command-line option is missing or invalid."""

    problem_type = "settings"
    exit_code = 2


class ConfigurationError(TanagerfrontError):
    """A section of the configuration document is invalid."""

    problem_type = "invalid-configuration"
    status = 422
    exit_code = 2


class ConflictError(TanagerfrontError):
    """Another edit of the same section was accepted first."""

    problem_type = "conflict"
    status = 409
    exit_code = 3


class BadRequestError(TanagerfrontError):
    """The request is malformed."""

    problem_type = "bad-request"
    status = 400


class TooLargeError(BadRequestError):
    """The request's head or body exceeds the limit."""

    problem_type = "too-large"
    status = 413


class NotFoundError(BadRequestError):
    """No such route, group or path."""

    problem_type = "not-found"
    status = 404


class KeyRequiredError(TanagerfrontError):
    """The request has no API key, or the key is unknown or no longer valid."""

    problem_type = "key-required"
    status = 401


class ForbiddenError(TanagerfrontError):
    """The API key is valid but does not permit the request."""

    problem_type = "forbidden"
    status = 403


class RateLimitedError(TanagerfrontError):
    """The organisation has used up its rate and burst."""

    problem_type = "rate-limited"
    status = 429


class UnavailableError(TanagerfrontError):
    """The request cannot be served at present and did not run."""

    problem_type = "unavailable"
    status = 503


class OverloadedError(UnavailableError):
    """A queue is full, or the wait would exceed the deadline."""

    problem_type = "overloaded"


class DrainingError(UnavailableError):
    """This VM is shutting down."""

    problem_type = "draining"


class PeerUnreachableError(UnavailableError):
    """A peer VM cannot be reached."""

    problem_type = "peer-unreachable"


class DeadlineExceededError(TanagerfrontError):
    """The caller's deadline passed."""

    problem_type = "deadline-exceeded"
    status = 504


class CanceledError(TanagerfrontError):
    """The caller disconnected before its request was sent."""

    problem_type = "canceled"
    status = 499


class OutcomeUnknownError(TanagerfrontError):
    """The request was sent and its outcome cannot be determined."""

    problem_type = "outcome-unknown"
    status = 502
    default_executed = "unknown"


class SessionTokenError(BadRequestError):
    """The session token is malformed or was not issued by this deployment."""

    problem_type = "bad-session-token"


class SessionLostError(TanagerfrontError):
    """A failover discarded an entry that this session has seen."""

    problem_type = "session-lost"
    status = 409


class IdempotencyMismatchError(TanagerfrontError):
    """The idempotency key was used before with another request."""

    problem_type = "idempotency-mismatch"
    status = 422


class TransactionError(TanagerfrontError):
    """The transaction is not open, or was rolled back."""

    problem_type = "transaction"
    status = 409


class DatabaseError(TanagerfrontError):
    """A database refused a statement."""

    problem_type = "database"
    status = 502


class SqlError(DatabaseError):
    """The database rejected the SQL; the batch was rolled back."""

    problem_type = "sql"
    status = 422

    def __init__(
        self,
        message: str,
        *,
        code: str = "other",
        index: int = 0,
        executed: Executed | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message, executed=executed, retry_after_s=retry_after_s)
        self._code = code
        self._index = index

    @property
    def code(self) -> str:
        """Return the class of the error, such as `constraint` or `syntax`."""
        return self._code

    @property
    def index(self) -> int:
        """Return the index of the failing statement in its batch."""
        return self._index


class StaleTermError(DatabaseError):
    """The term of the statement is older than that of the database; the statement did not run."""

    problem_type = "stale-term"
    status = 503

    def __init__(
        self,
        message: str,
        *,
        term: int = 0,
        executed: Executed | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message, executed=executed, retry_after_s=retry_after_s)
        self._term = term

    @property
    def term(self) -> int:
        """Return the current term of the database."""
        return self._term


class NotPrimaryError(DatabaseError):
    """A write reached an instance that is not the primary of the term; it did not run."""

    problem_type = "not-primary"
    status = 503


class TooManyConnectionsError(DatabaseError):
    """The instance accepts no further connection."""

    problem_type = "too-many-connections"
    status = 503


class ConnectionLostError(TanagerfrontError):
    """A connection broke or timed out; `executed` states whether the request may have run."""

    problem_type = "connection-lost"
    status = 502
    default_executed = "unknown"


class KeyValueError(TanagerfrontError):
    """The key-value service refused a call."""

    problem_type = "key-value"
    status = 502
    exit_code = 4


class KeyValueUnavailableError(KeyValueError):
    """The key-value service cannot be reached, so the call had no effect."""

    status = 503


class HistoryLostError(KeyValueUnavailableError):
    """Changes after the requested revision are no longer available; all must be read again."""


class StoreRestoredError(KeyValueError):
    """The store has returned from an older copy, so the revisions that a call relied on are void.

    The call may have taken effect.
    """

    status = 503
    default_executed = "unknown"


class KeyValueTimeoutError(KeyValueError):
    """No valid reply of the key-value service came in time; the call may have taken effect."""

    status = 504
    default_executed = "unknown"


def _subclasses(base: type[TanagerfrontError]) -> list[type[TanagerfrontError]]:
    direct = base.__subclasses__()
    return direct + [subclass for cls in direct for subclass in _subclasses(cls)]


def error_for_type(problem_type: str) -> type[TanagerfrontError]:
    """Return the class with this problem type, or the base class if there is none."""
    for cls in _subclasses(TanagerfrontError):
        if cls.problem_type == problem_type:
            return cls
    return TanagerfrontError
