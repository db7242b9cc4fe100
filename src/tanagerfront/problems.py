"""Problem details (RFC 9457) for refused and failed requests of the HTTP interface."""

from __future__ import annotations

import math
from typing import Any

import msgspec

from .errors import (
    Executed,
    KeyRequiredError,
    RateLimitedError,
    SqlError,
    TanagerfrontError,
    UnavailableError,
)
from .http_server import Response

__all__ = ["internal_problem", "problem_response"]

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:tanagerfront:problem:"
DEFAULT_RETRY_AFTER_S = 1


def problem_response(error: TanagerfrontError, request_id: str, *, close: bool = False) -> Response:
    """Return the problem response for an error."""
    members: dict[str, Any] = {
        "type": TYPE_PREFIX + error.problem_type,
        "title": error.problem_type.replace("-", " ").capitalize(),
        "status": error.status,
        "detail": error.message,
        "executed": error.executed,
        "request_id": request_id,
    }
    if isinstance(error, SqlError):
        members |= {"code": error.code, "index": error.index}
    headers = [("request-id", request_id), *_extra_headers(error)]
    return Response(error.status, msgspec.json.encode(members), headers, CONTENT_TYPE, close)


def internal_problem(executed: Executed, request_id: str) -> Response:
    """Return the response to an unexpected error, without its text."""
    error = TanagerfrontError(
        "internal error; the log of the VM has the details", executed=executed
    )
    return problem_response(error, request_id)


def _extra_headers(error: TanagerfrontError) -> list[tuple[str, str]]:
    headers = []
    if isinstance(error, KeyRequiredError):
        headers.append(("www-authenticate", "Bearer"))
    retry_after_s = error.retry_after_s
    if retry_after_s is None and isinstance(error, RateLimitedError | UnavailableError):
        retry_after_s = DEFAULT_RETRY_AFTER_S
    # The header holds whole seconds, and 0 would allow an immediate retry.
    if retry_after_s is not None and math.isfinite(retry_after_s):
        headers.append(("retry-after", str(max(1, math.ceil(retry_after_s)))))
    return headers
