"""Services shared by the HTTP handlers of caller connections, and the state of one call."""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import Any, NamedTuple, Protocol

import trio

from .authentication import Authenticator, Caller, bearer_key
from .caller_requests import CallHeaders, parse_headers
from .configuration import RequestClass
from .entry_id import EntryId
from .errors import Executed, KeyRequiredError
from .http_server import Request
from .messages import ExecuteReply, ExecuteRequest
from .metering import RateLimiter
from .transactions import EntryTransactions

__all__ = [
    "OPEN_ORGANISATION",
    "Call",
    "CallerTimeouts",
    "EntryMetrics",
    "EntryServices",
    "Execution",
    "Readiness",
    "SessionCodec",
    "new_request_id",
]

# Organisation name for requests without a key, which only open routes accept. The parentheses
# prevent a collision with a configured organisation.
OPEN_ORGANISATION = "(open)"


class SessionCodec(Protocol):
    """Encoder and decoder of session tokens, which are bound to an organisation.

    A token holds the log entry reached in each group.
    """

    def decode(self, text: str, organisation: str) -> Mapping[str, EntryId]:
        """Return the entries by group; raises SessionTokenError if the token is invalid."""

    def encode(self, entries: Mapping[str, EntryId], organisation: str) -> str:
        """Return the token for these entries.

        Raises SessionTokenError with `executed` yes if the token would be too large.
        """


class Execution(Protocol):
    """Executor of batches at a home of their group."""

    async def execute(self, request: ExecuteRequest) -> ExecuteReply:
        """Return the reply; raises TanagerfrontError whose `executed` says if the batch ran."""


class Readiness(Protocol):
    """State that the readiness probe reports."""

    @property
    def not_ready_reason(self) -> str | None:
        """Return why the VM should get no new callers, or None if it is ready."""


class EntryMetrics(Protocol):
    """Metrics that the HTTP interface records."""

    def observe_request(
        self, organisation: str, request_class: RequestClass, seconds: float
    ) -> None:
        """Record the duration of a successful request in seconds."""

    def count_refusal(self, reason: str, organisation: str) -> None:
        """Count a refused or failed request by its problem type."""


class CallerTimeouts(NamedTuple):
    """Default and maximum request timeout, in seconds."""

    default_s: float = 10.0
    max_s: float = 60.0


class EntryServices(NamedTuple):
    """Services shared by all handlers of one VM."""

    authenticator: Authenticator
    sessions: SessionCodec
    limiter: RateLimiter[Any]
    execution: Execution
    transactions: EntryTransactions
    metrics: EntryMetrics
    readiness: Readiness
    timeouts: CallerTimeouts = CallerTimeouts()


def new_request_id() -> str:
    """Return a random id that appears in the response and in the VM's log lines."""
    return f"req-{random.getrandbits(64):016x}"


class Call:
    """State of one request in progress."""

    def __init__(self, request: Request) -> None:
        self.request = request
        self.id = new_request_id()
        self.started_at = trio.current_time()
        self.deadline = self.started_at
        self.key: str | None = None
        self.caller: Caller | None = None
        self.request_class = RequestClass.STANDARD
        self.headers = CallHeaders(None, None, None, None)
        self.session: Mapping[str, EntryId] = {}
        self.executed: Executed = "no"
        # Role of the instance that ran the batch, for the Served-By response header.
        self.served_by: str | None = None

    @property
    def organisation(self) -> str:
        """Return the caller's organisation as named in queues, limits and metrics."""
        return self.caller.organisation.name if self.caller else OPEN_ORGANISATION

    @property
    def remaining_s(self) -> float:
        """Return the seconds left until the caller's deadline."""
        return self.deadline - trio.current_time()

    def read_headers(self, services: EntryServices) -> None:
        """Parse the headers, authenticate the key and decode the session token.

        Raises TanagerfrontError if one of them is invalid.
        """
        timeouts = services.timeouts
        self.headers = parse_headers(self.request, timeouts.max_s)
        self.deadline = self.started_at + (self.headers.timeout_s or timeouts.default_s)
        self.key = bearer_key(self.request.headers)
        if self.key is not None:
            self.caller = services.authenticator.authenticate(self.key)
        if self.headers.session_token is not None:
            token = self.headers.session_token
            self.session = services.sessions.decode(token, self.organisation)

    def require_caller(self) -> Caller:
        """Return the caller; raises KeyRequiredError if the request has no key."""
        if self.caller is None:
            raise KeyRequiredError(
                "this call requires a key in the header Authorization: Bearer KEY"
            )
        return self.caller
