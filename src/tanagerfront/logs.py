"""Structured logging as JSON or console lines, with keys and session tokens redacted."""

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
# Names of fields that hold a secret; their values are redacted whatever they look like.
SECRET_FIELDS = frozenset(
    {"authorization", "key", "api_key", "bearer", "password", "secret", "session_token", "token"}
)
_BEARER = re.compile(r"(?i)\bbearer\s+[^\s'\",}]+")
# Request that the current task serves.
_current_request: contextvars.ContextVar[RequestContext | None] = contextvars.ContextVar(
    "request", default=None
)


class RequestContext:
    """Context manager that binds a request to log lines and redacts its secrets in them.

    It is entered for every request, so it computes nothing until a line is logged.
    """

    __slots__ = ("_token", "organisation", "request_id", "secrets")

    def __init__(self, request_id: str, organisation: str, *secrets: str) -> None:
        self.request_id = request_id
        self.organisation = organisation
        self.secrets = secrets

    def __enter__(self) -> RequestContext:
        self._token = _current_request.set(self)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        _current_request.reset(self._token)

    def texts_to_redact(self) -> Iterator[str]:
        """Yield the texts that must not be logged: each secret, and the key without its scheme."""
        for secret in self.secrets:
            yield secret
            yield from secret.split()


def configure_logging(settings: LogSettings, stream: TextIO | None = None) -> None:
    """Configure structlog and standard library logging to write to `stream`, or to stderr."""
    output = stream or sys.stderr
    threshold = logging.getLevelNamesMapping()[settings.level.upper()]
    shared_processors = _shared_processors()
    renderer = _renderer(settings)
    structlog.configure(
        processors=[*shared_processors, renderer],
        wrapper_class=structlog.make_filtering_bound_logger(threshold),
        logger_factory=structlog.PrintLoggerFactory(output),
        cache_logger_on_first_use=False,
    )
    handler = logging.StreamHandler(output)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=shared_processors,
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
        # Tracebacks are formatted before redaction, because an error message may quote a header.
        structlog.processors.format_exc_info,
        redact,
    ]


def _renderer(settings: LogSettings) -> Processor:
    if settings.format == "json":
        return structlog.processors.JSONRenderer(default=str)
    return structlog.dev.ConsoleRenderer(colors=False)


def _bind_request(logger: WrappedLogger, method: str, event: EventDict) -> EventDict:
    context = _current_request.get()
    if context is not None:
        event["request_id"] = context.request_id
        event["organisation"] = context.organisation
    return event


def redact(logger: WrappedLogger, method: str, event: EventDict) -> EventDict:
    """Replace keys and session tokens in the field names and values of an event."""
    context = _current_request.get()
    secrets = tuple(filter(None, context.texts_to_redact())) if context else ()
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
