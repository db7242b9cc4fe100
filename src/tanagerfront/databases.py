"""Sessions to the databases of the HTTP interface: SQL execution and control calls."""

from __future__ import annotations

import base64
from collections.abc import Mapping, Sequence
from typing import Any, Literal, NamedTuple, NoReturn

import msgspec

from .decoding import DECODING_ERRORS
from .entry_id import EntryId
from .errors import (
    ConnectionLostError,
    DatabaseError,
    NotPrimaryError,
    SqlError,
    StaleTermError,
    TooManyConnectionsError,
)
from .http_client import Address, HttpConnection, HttpReply

__all__ = [
    "DatabaseSession",
    "ExecuteResult",
    "FollowResult",
    "InstanceStatus",
    "Statement",
    "StatementResult",
    "Value",
    "decode_value",
    "encode_value",
]

Value = str | int | float | bytes | None

CONTROL_TIMEOUT_S = 2.0


class Statement(NamedTuple):
    """One SQL statement with positional or named parameters."""

    sql: str
    params: Sequence[Value] | Mapping[str, Value] = ()


class StatementResult(NamedTuple):
    """Rows that one statement returned, and the number of rows it changed."""

    columns: tuple[str, ...]
    rows: tuple[tuple[Value, ...], ...]
    changes: int


class ExecuteResult(NamedTuple):
    """Result of an execute call; `reached` is the last log entry that it reflects."""

    term: int
    reached: EntryId
    results: tuple[StatementResult, ...]


class InstanceStatus(NamedTuple):
    """Status of one instance; `age_ms` is the staleness of its applied data in milliseconds."""

    instance: str
    role: Literal["primary", "replica"]
    term: int
    last_term: int
    held: int
    applied: int
    age_ms: float
    term_starts: tuple[tuple[int, int], ...]
    primary: str | None


class FollowResult(NamedTuple):
    """Status of a replica and the number of entries it discarded in this term."""

    status: InstanceStatus
    discarded: int


def encode_value(value: Value) -> Any:
    """Return a value in its JSON encoding; bytes become `{"$bytes": BASE64}`."""
    if isinstance(value, bytes):
        return {"$bytes": base64.b64encode(value).decode("ascii")}
    return value


def decode_value(value: Any) -> Value:
    """Decode a value from its JSON encoding; raises TypeError for other JSON types."""
    if isinstance(value, dict):
        return base64.b64decode(value["$bytes"])
    if value is None or isinstance(value, (str, int, float)):
        return value
    raise TypeError(f"cannot decode a {type(value).__name__} as a database value")


def _encode_statement(statement: Statement) -> dict[str, Any]:
    params = statement.params
    if isinstance(params, Mapping):
        named = {name: encode_value(value) for name, value in params.items()}
        return {"sql": statement.sql, "params": named}
    return {"sql": statement.sql, "params": [encode_value(value) for value in params]}


def _decode_result(item: Mapping[str, Any]) -> StatementResult:
    rows = tuple(tuple(decode_value(value) for value in row) for row in item["rows"])
    return StatementResult(tuple(item["columns"]), rows, item["changes"])


class _StatusBody(msgspec.Struct):
    instance: str
    role: Literal["primary", "replica"]
    term: int
    last_term: int
    held: int
    applied: int
    age_ms: float
    term_starts: tuple[tuple[int, int], ...]
    primary: str | None
    discarded: int = 0


def _decode_status(body: bytes) -> tuple[InstanceStatus, int]:
    decoded = msgspec.json.decode(body, type=_StatusBody)
    fields = (getattr(decoded, name) for name in InstanceStatus._fields)
    return InstanceStatus(*fields), decoded.discarded


def _raise_for(reply: HttpReply, address: Address) -> NoReturn:
    """Raise the error that corresponds to a rejected request."""
    try:
        body = msgspec.json.decode(reply.body)
        name = body["error"]
    except (*DECODING_ERRORS, KeyError, TypeError):
        body, name = {}, f"status {reply.status}"
    message = f"{address}: {name}"
    match name:
        case "stale-term":
            raise StaleTermError(f"{message}, now at term {body['term']}", term=body["term"])
        case "not-primary" | "not-fenced":
            raise NotPrimaryError(f"{message} at term {body['term']}")
        case "too-many-connections":
            raise TooManyConnectionsError(message)
        case "sql":
            detail = str(body.get("message", "SQL error"))
            raise SqlError(detail, code=body["code"], index=body["index"])
        case "bad-request":
            raise DatabaseError(f"{message}: {body.get('message', '')}")
        case _:
            raise DatabaseError(message, executed="unknown")


class DatabaseSession:
    """One connection to a database, which runs one transaction at a time.

    An error that leaves the state of the connection uncertain closes it.
    """

    def __init__(self, connection: HttpConnection) -> None:
        self._connection = connection
        self._in_transaction = False

    @property
    def address(self) -> Address:
        """Return the address of the instance."""
        return self._connection.address

    @property
    def usable(self) -> bool:
        """Return whether the connection accepts another call."""
        return self._connection.usable

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction may be open."""
        return self._in_transaction

    @classmethod
    async def open(cls, address: Address, timeout_s: float) -> DatabaseSession:
        """Connect within `timeout_s`; raises ConnectionLostError with executed `no`."""
        return cls(await HttpConnection.open(address, timeout_s=timeout_s))

    async def execute(
        self,
        statements: Sequence[Statement],
        *,
        term: int,
        begin: bool,
        commit: bool,
        read_only: bool,
        timeout_s: float,
    ) -> ExecuteResult:
        """Run statements; raises DatabaseError (executed `no`) or ConnectionLostError.

        A connection lost before a write's commit was sent means executed `no`, because the
        database rolls back a transaction whose connection ends.
        """
        body = msgspec.json.encode(
            {
                "term": term,
                "statements": [_encode_statement(statement) for statement in statements],
                "begin": begin,
                "commit": commit,
                "read_only": read_only,
            }
        )
        self._in_transaction = True
        try:
            reply = await self._call("POST", "/execute", body, timeout_s)
        except ConnectionLostError as error:
            if error.executed == "unknown" and not read_only and not commit:
                raise ConnectionLostError(error.message, executed="no") from error
            raise
        except DatabaseError:
            # The database rolls the transaction back whenever it rejects a request.
            self._in_transaction = False
            raise
        self._in_transaction = not commit
        return self._decode_execute(reply)

    async def rollback(self, timeout_s: float) -> None:
        """Roll back the open transaction, if any; a failure closes the connection."""
        await self._call("POST", "/rollback", b"{}", timeout_s)
        self._in_transaction = False

    async def status(
        self,
        term: int = -1,
        held: int = -1,
        wait_s: float = 0.0,
        *,
        applied: int | None = None,
        timeout_s: float = CONTROL_TIMEOUT_S,
    ) -> InstanceStatus:
        """Return the status once it differs from the given one or `wait_s` has passed."""
        path = f"/status?term={term}&held={held}&wait={int(wait_s * 1000)}"
        if applied is not None:
            path += f"&applied={applied}"
        reply = await self._call("GET", path, b"", wait_s + timeout_s)
        return self._decode_status(reply)[0]

    async def fence(self, term: int, timeout_s: float = CONTROL_TIMEOUT_S) -> InstanceStatus:
        """Raise the instance's term; raises StaleTermError if it is already higher."""
        body = msgspec.json.encode({"term": term})
        return self._decode_status(await self._call("POST", "/fence", body, timeout_s))[0]

    async def promote(self, term: int, timeout_s: float = CONTROL_TIMEOUT_S) -> InstanceStatus:
        """Make the instance primary of the term it was fenced at."""
        body = msgspec.json.encode({"term": term})
        return self._decode_status(await self._call("POST", "/promote", body, timeout_s))[0]

    async def follow(
        self, term: int, primary: str, timeout_s: float = CONTROL_TIMEOUT_S
    ) -> FollowResult:
        """Make the instance a replica of `primary`; it discards the entries that diverge."""
        body = msgspec.json.encode({"term": term, "primary": primary})
        reply = await self._call("POST", "/follow", body, timeout_s)
        return FollowResult(*self._decode_status(reply))

    async def close(self) -> None:
        """Close the connection; the database rolls back an open transaction."""
        await self._connection.close()

    async def _call(self, method: str, path: str, body: bytes, timeout_s: float) -> HttpReply:
        reply = await self._connection.request(method, path, body, timeout_s=timeout_s)
        if reply.status != 200:
            _raise_for(reply, self.address)
        return reply

    def _decode_status(self, reply: HttpReply) -> tuple[InstanceStatus, int]:
        try:
            return _decode_status(reply.body)
        except DECODING_ERRORS as error:
            raise DatabaseError(f"{self.address} sent a malformed status") from error

    def _decode_execute(self, reply: HttpReply) -> ExecuteResult:
        try:
            body = msgspec.json.decode(reply.body)
            reached = EntryId(body["entry_term"], body["position"])
            results = tuple(_decode_result(item) for item in body["results"])
            return ExecuteResult(body["term"], reached, results)
        except (*DECODING_ERRORS, KeyError, TypeError) as error:
            message = f"{self.address} sent a malformed answer"
            raise DatabaseError(message, executed="unknown") from error
