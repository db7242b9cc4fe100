"""Build the batch that a call to the HTTP interface requests, from a route or its body."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .authentication import Caller, check_group
from .caller_requests import BatchBody, RouteBody, StatementBody, decode_body, request_digest
from .configuration import Mode
from .entry_id import ZERO
from .entry_services import Call, EntryServices
from .errors import BadRequestError, NotFoundError
from .messages import ExecuteRequest, WireStatement
from .statements import bind_route, check_statement, forwarded_texts

__all__ = ["Batch", "batch_from_body", "batch_from_route", "checked_statements", "require_group"]

# A shorter key can occur by chance in the text of a statement.
MIN_SEARCHED_KEY_CHARS = 8


class Batch(NamedTuple):
    """Statements to run in one group, taken from a route or from the request body."""

    group: str
    mode: Mode
    statements: tuple[WireStatement, ...]
    repeatable: bool
    digest: str

    def execute_request(self, call: Call, config_version: int) -> ExecuteRequest:
        """Return the message to a home; raises BadRequestError for a forbidden idempotency key."""
        idempotency_key = call.headers.idempotency_key
        if idempotency_key is not None:
            _check_idempotency_key(call, idempotency_key)
        is_read = self.mode == "read"
        return ExecuteRequest(
            group=self.group,
            organisation=call.organisation,
            request_class=call.request_class,
            mode=self.mode,
            statements=self.statements,
            repeatable=self.repeatable,
            timeout_s=call.remaining_s,
            session=call.session.get(self.group, ZERO),
            max_staleness_s=call.headers.max_staleness_s if is_read else None,
            # A read changes nothing, so repeating it is safe and needs no ledger entry.
            idempotency_key=None if is_read else idempotency_key,
            request_digest=self.digest,
            config_version=config_version,
            key_digest=call.caller.key_digest if call.caller else "",
        )


def batch_from_route(services: EntryServices, call: Call, name: str) -> Batch:
    """Return the batch of a route call; raises TanagerfrontError."""
    route = services.authenticator.configuration().routes.get(name)
    if route is None:
        # Without a key, the response must not reveal which routes exist.
        if call.caller is None:
            call.require_caller()
        raise NotFoundError("no route of this name")
    if not route.open_to_all:
        check_group(call.require_caller(), route.group)
    call.request_class = route.request_class
    body = decode_body(call.request.body, RouteBody)
    statements = bind_route(route.statements, body.params)
    _check_key_not_in_values(call, statements)
    return Batch(route.group, route.mode, statements, route.repeatable, _digest(call, body))


def batch_from_body(services: EntryServices, call: Call, group: str) -> Batch:
    """Return the batch that the request body describes; raises TanagerfrontError."""
    require_group(services, call, group)
    body = decode_body(call.request.body, BatchBody)
    statements = checked_statements(call, body.statements)
    return Batch(group, body.mode, statements, body.mode == "read", _digest(call, body))


def require_group(services: EntryServices, call: Call, group: str) -> Caller:
    """Return the caller; raises TanagerfrontError if the group is forbidden or unknown."""
    caller = call.require_caller()
    check_group(caller, group)
    if group not in services.authenticator.configuration().groups:
        raise NotFoundError("no group of this name")
    return caller


def checked_statements(
    call: Call, statements: Iterable[StatementBody]
) -> tuple[WireStatement, ...]:
    """Return the statements of a request body, validated; raises BadRequestError."""
    checked = tuple(
        check_statement(statement.sql, statement.params, index)
        for index, statement in enumerate(statements)
    )
    _check_key_not_in_values(call, checked)
    return checked


def _digest(call: Call, body: RouteBody | BatchBody) -> str:
    """Return the request digest that the ledger compares, or "" without an idempotency key."""
    if call.headers.idempotency_key is None:
        return ""
    return request_digest(call.request.path, body)


def _check_key_not_in_values(call: Call, statements: tuple[WireStatement, ...]) -> None:
    """Raise BadRequestError if a statement would send the caller's key to a database."""
    key = call.key
    if key is None or len(key) < MIN_SEARCHED_KEY_CHARS:
        return
    if any(key in text for text in forwarded_texts(statements)):
        raise BadRequestError("the body contains the key, which belongs in Authorization only")


def _check_idempotency_key(call: Call, text: str) -> None:
    # Callers without a key would share one namespace and could read each other's responses.
    if call.caller is None:
        raise BadRequestError("idempotency-key requires a key in the Authorization header")
    if call.key and call.key in text:
        raise BadRequestError("idempotency-key contains the key, which belongs in Authorization")
