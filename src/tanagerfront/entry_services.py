"""What the handlers of caller connections share, and the state of one call."""

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

# Label and queue name of requests on open routes that come without a key; the parentheses keep it
# apart from every configured organisation.
OPEN_ORGANISATION = "(open)"


class SessionCodec(Protocol):
    """Session tokens: the log entry reached in each group, bound to an organisation."""

    def decode(self, text: str, organisation: str) -> Mapping[str, EntryId]:
        """Return the entries by group; raises SessionTokenError."""

    def encode(self, entries: Mapping[str, EntryId], organisation: str) -> str:
        """Return the token for these entries; raises SessionTokenError with executed `yes`."""


class Execution(Protocol):
    """Runs a batch at a home of its group."""

    async def execute(self, request: ExecuteRequest) -> ExecuteReply:
        """Return the reply; raises TanagerfrontError with the true `executed`."""


class Readiness(Protocol):
    """State that the probe reports."""

    @property
    def not_ready_reason(self) -> str | None:
        """Return why no new caller should come here, or None."""


class EntryMetrics(Protocol):
    """The metrics that the interface feeds."""

    def observe_request(
        self, organisation: str, request_class: RequestClass, seconds: float
    ) -> None:
        """Record one request that was served."""

    def count_refusal(self, reason: str, organisation: str) -> None:
        """Count one request that was refused."""


class CallerTimeouts(NamedTuple):
    """Time allowed to a request by default and at most, in seconds."""

    default_s: float = 10.0
    max_s: float = 60.0


class EntryServices(NamedTuple):
    """What all handlers of one VM share."""

    authenticator: Authenticator
    sessions: SessionCodec
    limiter: RateLimiter[Any]
    execution: Execution
    transactions: EntryTransactions
    metrics: EntryMetrics
    readiness: Readiness
    timeouts: CallerTimeouts = CallerTimeouts()


def new_request_id() -> str:
    """Return an identifier that a caller can quote and an operator can find in the log."""
    return f"req-{random.getrandbits(64):016x}"


class Call:
    """One request while it is being served."""

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
        # Role of the instance that served a batch, for the response header Served-By.
        self.served_by: str | None = None

    @property
    def organisation(self) -> str:
        """Return the name that queues, limits and metrics use for the caller."""
        return self.caller.organisation.name if self.caller else OPEN_ORGANISATION

    @property
    def left_s(self) -> float:
        """Return the seconds left until the caller's deadline."""
        return self.deadline - trio.current_time()

    def read_headers(self, services: EntryServices) -> None:
        """Check the headers, the key and the session token; raises TanagerfrontError."""
        timeouts = services.timeouts
        self.headers = parse_headers(self.request, timeouts.max_s)
        self.deadline = self.started_at + (self.headers.timeout_s or timeouts.default_s)
        self.key = bearer_key(self.request.headers)
        if self.key is not None:
            self.caller = services.authenticator.authenticate(self.key)
        if self.headers.session_text is not None:
            text = self.headers.session_text
            self.session = services.sessions.decode(text, self.organisation)

    def require_caller(self) -> Caller:
        """Return the caller; raises KeyRequiredError."""
        if self.caller is None:
            raise KeyRequiredError("this call needs a key: Authorization: Bearer KEY")
        return self.caller
