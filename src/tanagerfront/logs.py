"""Structured log: JSON or console, with keys and session tokens redacted."""

from __future__ import annotations

import contextvars
import logging
import re
import sys
from collections.abc import Iterator, Mapping
from types import TracebackType
from typing import Any, TextIO

import structlog
from structlog.typing import EventDict, Processor, WrappedLogger

from .settings import LogSettings

__all__ = ["RequestContext", "configure_logging", "redact"]

REDACTED = "[redacted]"
# Fields that carry a secret by their name, whatever the value looks like.
SECRET_FIELDS = frozenset(
    {"authorization", "key", "api_key", "bearer", "password", "secret", "session_token", "token"}
)
_BEARER = re.compile(r"(?i)\bbearer\s+[^\s'\",}]+")
# The request that the current task serves.
_current: contextvars.ContextVar[RequestContext | None] = contextvars.ContextVar(
    "request", default=None
)


class RequestContext:
    """Bind a request's id and organisation to log lines and redact its secrets in them.

    This is entered for each request, so nothing is computed before a line is logged.
    """

    __slots__ = ("_token", "organisation", "request_id", "secrets")

    def __init__(self, request_id: str, organisation: str, *secrets: str) -> None:
        self.request_id = request_id
        self.organisation = organisation
        self.secrets = secrets

    def __enter__(self) -> RequestContext:
        self._token = _current.set(self)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        _current.reset(self._token)

    def hidden_texts(self) -> Iterator[str]:
        """Yield what must not be readable: each secret, and the key without its scheme."""
        for secret in self.secrets:
            yield secret
            yield from secret.split()


def configure_logging(settings: LogSettings, stream: TextIO | None = None) -> None:
    """Set up structlog and the standard library's logging to write to `stream`."""
    target = stream or sys.stderr
    threshold = logging.getLevelNamesMapping()[settings.level.upper()]
    shared = _shared_processors()
    renderer = _renderer(settings)
    structlog.configure(
        processors=[*shared, renderer],
        wrapper_class=structlog.make_filtering_bound_logger(threshold),
        logger_factory=structlog.PrintLoggerFactory(target),
        cache_logger_on_first_use=False,
    )
    handler = logging.StreamHandler(target)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=shared,
            processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, renderer],
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(max(threshold, logging.WARNING))


def _shared_processors() -> list[Processor]:
    return [
        structlog.contextvars.merge_contextvars,
        _bind_request,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        # Tracebacks become text before redaction, because an error's message may quote a header.
        structlog.processors.format_exc_info,
        redact,
    ]


def _renderer(settings: LogSettings) -> Processor:
    if settings.format == "json":
        return structlog.processors.JSONRenderer(default=str)
    return structlog.dev.ConsoleRenderer(colors=False)


def _bind_request(logger: WrappedLogger, method: str, event: EventDict) -> EventDict:
    context = _current.get()
    if context is not None:
        event["request_id"] = context.request_id
        event["organisation"] = context.organisation
    return event


def redact(logger: WrappedLogger, method: str, event: EventDict) -> EventDict:
    """Replace keys and session tokens in the names, values and text of an event."""
    context = _current.get()
    secrets = tuple(filter(None, context.hidden_texts())) if context else ()
    return {
        _redact_text(str(name), secrets): _redact_field(str(name), value, secrets)
        for name, value in event.items()
    }


def _redact_field(name: str, value: Any, secrets: tuple[str, ...]) -> Any:
    if name.lower().replace("-", "_") in SECRET_FIELDS:
        return REDACTED
    return _redact_value(value, secrets)


def _redact_value(value: Any, secrets: tuple[str, ...]) -> Any:
    match value:
        case None | bool() | int() | float():
            return value
        case str():
            return _redact_text(value, secrets)
        case bytes():
            return _redact_text(value.decode("utf-8", "replace"), secrets)
        case Mapping():
            return {
                _redact_text(str(name), secrets): _redact_field(str(name), item, secrets)
                for name, item in value.items()
            }
        case list() | tuple() | set() | frozenset():
            return [_redact_value(item, secrets) for item in value]
        case _:
            return _redact_text(str(value), secrets)


def _redact_text(text: str, secrets: tuple[str, ...]) -> str:
    for secret in secrets:
        text = text.replace(secret, REDACTED)
    return _BEARER.sub(f"Bearer {REDACTED}", text)
