"""HTTP interface for callers: one handler per connection."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec
import structlog
import trio

from .caller_requests import EmptyBody, StatementsBody, decode_body, encode_results
from .entry_id import ZERO, EntryId
from .entry_services import OPEN_ORGANISATION, Call, EntryServices, new_request_id
from .entry_work import Batch, batch_from_body, batch_from_route, checked_statements, require_group
from .errors import (
    BadRequestError,
    CanceledError,
    DeadlineExceededError,
    DrainingError,
    ForbiddenError,
    NotFoundError,
    TanagerfrontError,
    TransactionError,
)
from .http_server import ConnectionHandler, Request, Response
from .logs import RequestContext
from .messages import ExecuteReply, TransactionReply
from .metering import run_metered
from .problems import internal_problem, problem_response
from .transactions import StepOptions, Transaction

__all__ = ["CallerHandler"]

# The components called by a request enforce its deadline; this cancels one that fails to do so.
DEADLINE_GRACE_S = 0.25
_log = structlog.get_logger()
_Session = Mapping[str, EntryId]


class CallerHandler(ConnectionHandler):
    """Serve the requests of one caller connection."""

    def __init__(
        self,
        services: EntryServices,
        close_requested: Callable[[], bool],
        caller_left: Callable[[], bool] = lambda: False,
    ) -> None:
        self._services = services
        self._close_requested = close_requested
        self._caller_left = caller_left
        self._transaction: Transaction | None = None
        self._in_progress = False
        self._requests_refused = False
        # Scope of the request in progress, None while there is none.
        self._request_scope: trio.CancelScope | None = None

    @property
    def busy(self) -> bool:
        """Return whether a request is in progress or a transaction is open."""
        return self._in_progress or self._transaction_open

    @property
    def draining(self) -> bool:
        """Return whether the connection must close after the current request."""
        return self._close_requested() and not self._transaction_open

    @property
    def _transaction_open(self) -> bool:
        return self._transaction is not None and self._transaction.is_open

    def refuse_requests(self) -> None:
        """Refuse all further requests because the connection is about to close."""
        self._requests_refused = True

    def interrupt(self) -> None:
        """Answer the request in progress now, and refuse all further ones."""
        self.refuse_requests()
        if self._request_scope is not None:
            self._request_scope.cancel()

    async def handle(self, request: Request) -> Response:
        """Return the response to one request; errors become problem responses."""
        if request.method == "GET" and request.path in ("/healthz", "/readyz"):
            return self._probe_response(request.path)
        call = Call(request)
        headers = request.headers
        redacted = (headers.get("authorization", ""), headers.get("session-token", ""))
        self._in_progress = True
        try:
            with RequestContext(call.id, OPEN_ORGANISATION, *redacted) as context:
                return await self._respond(call, context)
        finally:
            self._in_progress = False

    def handle_bad_request(self, error: BadRequestError) -> Response:
        """Return the response to a request that could not be parsed and so did not run."""
        self._services.metrics.count_refusal(error.problem_type, OPEN_ORGANISATION)
        return problem_response(error, new_request_id(), close=True)

    async def close(self) -> None:
        """Roll back the connection's transaction if it is still open."""
        if self._transaction is not None:
            await self._transaction.rollback()

    def _probe_response(self, path: str) -> Response:
        reason = None if path == "/healthz" else self._services.readiness.not_ready_reason
        return Response(503 if reason else 200, msgspec.json.encode({"status": reason or "ok"}))

    async def _respond(self, call: Call, context: RequestContext) -> Response:
        metrics = self._services.metrics
        try:
            return await self._serve(call, context)
        except TanagerfrontError as error:
            metrics.count_refusal(error.problem_type, call.organisation)
            _log.debug("request_refused", reason=error.problem_type, executed=error.executed)
            return problem_response(error, call.id)
        except Exception:
            metrics.count_refusal("internal", call.organisation)
            _log.exception("request_failed", executed=call.executed)
            return internal_problem(call.executed, call.id)

    async def _serve(self, call: Call, context: RequestContext) -> Response:
        if self._requests_refused:
            raise DrainingError("this connection is closing")
        call.read_headers(self._services)
        context.organisation = call.organisation
        with trio.move_on_at(call.deadline + DEADLINE_GRACE_S) as self._request_scope:
            try:
                body, session = await self._dispatch(call)
            finally:
                self._request_scope = None
            return self._success_response(call, body, session)
        if self._requests_refused:
            raise DrainingError(
                "this VM stops before the request has ended", executed=call.executed
            )
        raise DeadlineExceededError("the request's deadline expired", executed=call.executed)

    def _success_response(self, call: Call, body: bytes, session: _Session) -> Response:
        headers = [("request-id", call.id)]
        if call.served_by is not None:
            headers.append(("served-by", call.served_by))
        if session:
            token = self._services.sessions.encode(session, call.organisation)
            headers.append(("session-token", token))
        seconds = trio.current_time() - call.started_at
        self._services.metrics.observe_request(call.organisation, call.request_class, seconds)
        return Response(200, body, headers)

    async def _dispatch(self, call: Call) -> tuple[bytes, _Session]:
        method, path = call.request.method, call.request.path
        if method != "POST":
            raise NotFoundError("no such path, or the path accepts only POST")
        match path.split("/"):
            case ["", "v1", "routes", name]:
                return await self._run_batch(call, batch_from_route(self._services, call, name))
            case ["", "v1", "groups", group, "batch"]:
                return await self._run_batch(call, batch_from_body(self._services, call, group))
            case ["", "v1", "groups", group, "transaction"]:
                return await self._begin(call, group)
            case ["", "v1", "transaction", "execute"]:
                return await self._execute(call)
            case ["", "v1", "transaction", "commit"]:
                return await self._commit(call)
            case ["", "v1", "transaction", "rollback"]:
                return await self._rollback(call)
        raise NotFoundError("no such path")

    async def _run_batch(self, call: Call, batch: Batch) -> tuple[bytes, _Session]:
        if self._transaction_open:
            raise TransactionError(
                "a transaction is open on this connection; end it or use another connection"
            )
        services = self._services
        request = batch.execute_request(call, services.authenticator.configuration().version)

        async def execute(lifetime_s: float | None) -> ExecuteReply:
            if batch.mode != "read":
                self._require_caller()
            return await services.execution.execute(
                msgspec.structs.replace(
                    request, timeout_s=call.remaining_s, token_lifetime_s=lifetime_s
                )
            )

        reply = await run_metered(services.limiter, call, len(batch.statements), execute)
        call.served_by = "replica" if reply.by_replica else "primary"
        return encode_results(reply.results), _advance_session(
            call.session, batch.group, reply.reached
        )

    async def _begin(self, call: Call, group: str) -> tuple[bytes, _Session]:
        caller = require_group(self._services, call, group)
        _check_bodyless_step(call)
        if self._transaction_open:
            raise TransactionError("a transaction is already open on this connection")
        session = call.session.get(group, ZERO)

        async def begin(lifetime_s: float | None) -> Transaction:
            options = StepOptions(call.remaining_s, lifetime_s)
            return await self._services.transactions.begin(caller, group, session, options)

        self._transaction = await run_metered(self._services.limiter, call, 1, begin)
        return _transaction_body("open"), call.session

    async def _execute(self, call: Call) -> tuple[bytes, _Session]:
        transaction = self._require_transaction(call)
        body = decode_body(call.request.body, StatementsBody)
        statements = checked_statements(call, body.statements)

        async def execute(lifetime_s: float | None) -> TransactionReply:
            return await transaction.execute(statements, StepOptions(call.remaining_s, lifetime_s))

        reply = await run_metered(self._services.limiter, call, len(statements), execute)
        return encode_results(reply.results), call.session

    async def _commit(self, call: Call) -> tuple[bytes, _Session]:
        transaction = self._require_transaction(call)
        _check_bodyless_step(call)
        self._require_caller()
        call.executed = "unknown"
        reply = await transaction.commit(StepOptions(call.remaining_s))
        call.executed = "yes"
        session = _advance_session(call.session, transaction.group, reply.reached)
        return _transaction_body("committed"), session

    async def _rollback(self, call: Call) -> tuple[bytes, _Session]:
        transaction = self._require_transaction(call)
        _check_bodyless_step(call)
        await transaction.rollback()
        return _transaction_body("rolled back"), call.session

    def _require_caller(self) -> None:
        """Raise CanceledError before a write or commit is sent whose caller has left.

        It may have waited in a VM that was frozen, and its caller may have written again elsewhere.
        """
        if self._caller_left():
            raise CanceledError("the caller left before its write was sent")

    def _require_transaction(self, call: Call) -> Transaction:
        """Return the connection's open transaction.

        Raises TanagerfrontError if there is none or the call may not use it.
        """
        caller = call.require_caller()
        if self._transaction is None:
            raise TransactionError("no transaction has been started on this connection")
        if caller.organisation.name != self._transaction.caller.organisation.name:
            raise ForbiddenError("the transaction belongs to another organisation")
        if call.headers.idempotency_key is not None:
            raise BadRequestError("idempotency-key is not supported inside a transaction")
        self._transaction.require_open()
        return self._transaction


def _check_bodyless_step(call: Call) -> None:
    if call.headers.idempotency_key is not None:
        raise BadRequestError("idempotency-key is not supported for a transaction")
    decode_body(call.request.body, EmptyBody)


def _advance_session(session: _Session, group: str, reached: EntryId) -> _Session:
    """Return the session with the group advanced to `reached`, never moved back."""
    known = session.get(group, ZERO)
    return {**session, group: max(known, reached)} if reached > ZERO else session


def _transaction_body(state: str) -> bytes:
    return msgspec.json.encode({"transaction": state})
