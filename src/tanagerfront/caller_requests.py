"""Decode and validate bodies and headers of the callers' HTTP interface."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Mapping
from typing import Any, Literal, NamedTuple, TypeVar

import msgspec

from .decoding import DECODING_ERRORS
from .errors import BadRequestError
from .http_server import Request
from .messages import WireResult, WireValue

__all__ = [
    "BatchBody",
    "CallHeaders",
    "EmptyBody",
    "RouteBody",
    "StatementsBody",
    "decode_body",
    "encode_results",
    "parse_headers",
    "request_digest",
]

MAX_IDEMPOTENCY_KEY_CHARS = 128
MAX_STATEMENTS = 1000
# Headers in which other services expect a key. A key in them would not be checked here and could
# end up in the logs of components on the way.
MISPLACED_KEY_HEADERS = ("api-key", "apikey", "x-access-token", "x-api-key", "x-auth-token")
_SECONDS = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_IDEMPOTENCY_KEY = re.compile(r"[!-~]{1,128}")
Param = str | int | float | None
_Body = TypeVar("_Body")


class StatementBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One statement of a batch or transaction."""

    sql: str
    params: list[Param] | dict[str, Param] = []


class RouteBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a route call."""

    params: dict[str, Param] = {}


class BatchBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a batch."""

    statements: list[StatementBody]
    mode: Literal["read", "write"] = "write"


class StatementsBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of an execute step of a transaction."""

    statements: list[StatementBody]


class EmptyBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a call without parameters."""


class ResultBody(msgspec.Struct, frozen=True):
    """Result of one statement for JSON encoding; bytes become base64."""

    columns: tuple[str, ...]
    rows: list[list[WireValue]]
    changes: int


class CallHeaders(NamedTuple):
    """Validated headers of one call; times in seconds."""

    timeout_s: float | None
    max_staleness_s: float | None
    idempotency_key: str | None
    session_token: str | None


_decoders: dict[type, msgspec.json.Decoder[object]] = {}
_encoder = msgspec.json.Encoder()


def decode_body(body: bytes, body_type: type[_Body]) -> _Body:
    """Return the decoded body; raises BadRequestError naming the invalid member."""
    decoder = _decoders.get(body_type)
    if decoder is None:
        decoder = _decoders[body_type] = msgspec.json.Decoder(body_type)
    try:
        decoded = decoder.decode(body or b"{}")
    except msgspec.ValidationError as error:
        raise BadRequestError(f"body: {error}{_invalid_param_names(body)}") from error
    except DECODING_ERRORS as error:
        raise BadRequestError("body is not JSON in UTF-8") from error
    statements = getattr(decoded, "statements", None)
    if statements is not None and not 1 <= len(statements) <= MAX_STATEMENTS:
        raise BadRequestError(f"statements must hold 1 to {MAX_STATEMENTS} entries")
    return decoded  # type: ignore[return-value]


def _invalid_param_names(body: bytes) -> str:
    """Return the names of parameters with an invalid type, which the decoder's message omits."""
    try:
        params = msgspec.json.decode(body, type=dict[str, Any]).get("params")
    except DECODING_ERRORS:
        return ""
    if not isinstance(params, dict):
        return ""
    invalid = [name for name, value in params.items() if not _is_param(value)]
    return f" ({', '.join(invalid)})" if invalid else ""


def _is_param(value: Any) -> bool:
    return isinstance(value, Param) and not isinstance(value, bool)


def parse_headers(request: Request, max_timeout_s: float) -> CallHeaders:
    """Return the call's headers; raises BadRequestError for an invalid header or a query."""
    headers = request.headers
    if request.query:
        raise BadRequestError(
            "query parameters are not supported; a key belongs in the Authorization header"
        )
    for name in MISPLACED_KEY_HEADERS:
        if name in headers:
            raise BadRequestError(f"a key belongs in the Authorization header, not in {name}")
    timeout_s = _seconds(headers, "request-timeout")
    if timeout_s is not None and not 0 < timeout_s <= max_timeout_s:
        raise BadRequestError(
            f"request-timeout must be above 0 and at most {max_timeout_s:g} seconds"
        )
    return CallHeaders(
        timeout_s=timeout_s,
        max_staleness_s=_seconds(headers, "max-staleness"),
        idempotency_key=_idempotency_key(headers),
        session_token=headers.get("session-token"),
    )


def _seconds(headers: Mapping[str, str], name: str) -> float | None:
    text = headers.get(name)
    if text is None:
        return None
    if not _SECONDS.fullmatch(text):
        raise BadRequestError(f"{name} must be a number of seconds, such as 2 or 0.5")
    return float(text)


def _idempotency_key(headers: Mapping[str, str]) -> str | None:
    text = headers.get("idempotency-key")
    if text is None:
        return None
    if not _IDEMPOTENCY_KEY.fullmatch(text):
        raise BadRequestError(
            f"idempotency-key must be 1 to {MAX_IDEMPOTENCY_KEY_CHARS} visible ASCII characters"
        )
    return text


def request_digest(path: str, body: object) -> str:
    """Return a SHA-256 digest of path and body that ignores the order of JSON members."""
    canonical = msgspec.json.encode([path, body], order="sorted")
    return hashlib.sha256(canonical).hexdigest()


def encode_results(results: tuple[WireResult, ...]) -> bytes:
    """Return the statement results as the JSON body of a response."""
    bodies = [ResultBody(result.columns, result.rows, result.changes) for result in results]
    return _encoder.encode({"results": bodies})
