"""Rate-limited event log of the session interface: JSON lines on standard output, non-blocking."""

from __future__ import annotations

import os
import time
from collections.abc import Callable, MutableMapping
from typing import Any

import msgspec
import structlog
import trio

__all__ = ["DecisionLog", "configure_decision_log"]

# Rate limit of each event's lines; suppressed lines are counted and reported with the next line.
LINES_PER_S = 25
BURST_LINES = 100
STDOUT = 1

_encode = msgspec.json.Encoder(enc_hook=str).encode


def _timestamp(
    _logger: Any, _method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    return {"time": round(time.time(), 3), **event}


class _StdoutLogger:
    """Writes lines without blocking and reports how many were lost on a full pipe."""

    def __init__(self, descriptor: int = STDOUT) -> None:
        self._descriptor = descriptor
        self._lost = 0
        self._line_incomplete = False

    def msg(self, line: bytes) -> None:
        data = b"\n" if self._line_incomplete else b""
        if self._lost:
            data += _encode({"event": "lines_lost", "count": self._lost}) + b"\n"
        data += line + b"\n"
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            self._lost += 1
            return
        # After a partial write, the line counts as lost and the report, if any, is repeated.
        self._line_incomplete = written < len(data)
        self._lost = self._lost + 1 if self._line_incomplete else 0

    info = warning = error = debug = msg


def configure_decision_log() -> None:
    """Configure structlog to write events to standard output as JSON lines."""
    os.set_blocking(STDOUT, False)
    logger = _StdoutLogger()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            _timestamp,
            lambda _logger, _method, event: _encode(event),
        ],
        logger_factory=lambda *_args: logger,
        cache_logger_on_first_use=True,
    )


class DecisionLog:
    """Logs decisions and failures, with a rate limit for each event."""

    def __init__(self, vm: str, now: Callable[[], float] = trio.current_time) -> None:
        self._log = structlog.get_logger().bind(vm=vm)
        self._now = now
        self._token_buckets: dict[str, tuple[float, float]] = {}
        self._suppressed: dict[str, int] = {}

    def decision(self, event: str, **inputs: Any) -> None:
        """Log a decision with its inputs and outcome at level info."""
        if self._within_rate(event):
            self._log.info(event, **inputs)

    def failure(self, event: str, **inputs: Any) -> None:
        """Log a failure that needs attention at level warning."""
        if self._within_rate(event):
            self._log.warning(event, **inputs)

    def _within_rate(self, event: str) -> bool:
        now = self._now()
        tokens, refilled_at = self._token_buckets.get(event, (float(BURST_LINES), now))
        tokens = min(float(BURST_LINES), tokens + (now - refilled_at) * LINES_PER_S)
        if tokens < 1.0:
            self._token_buckets[event] = (tokens, now)
            self._suppressed[event] = self._suppressed.get(event, 0) + 1
            return False
        self._token_buckets[event] = (tokens - 1.0, now)
        suppressed = self._suppressed.pop(event, 0)
        if suppressed:
            self._log.info("lines_suppressed", of=event, count=suppressed)
        return True
